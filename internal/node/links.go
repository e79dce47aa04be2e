package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/cancellog"
	"honeylock/internal/core/model"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/httpserve"
	"honeylock/internal/peer"
	"honeylock/internal/peer/peerpb"
)

// link is the leader's end of a member's stream.
type link struct {
	host     string
	queue    *peer.Queue
	codec    *peer.Codec
	grantEnd time.Duration // of the longest grant given

	lastGrant            uint64
	grantsSent           map[uint64]time.Duration // grants, by number
	promisedUntil        time.Duration            // the member does not take over before
	stateServedAt        time.Duration            // the state service last answered it
	reportsCancellations bool                     // the member says of which cancellations it told users
	coverage             cancellog.Coverage       // how far that is known
	progressAsOf         time.Duration            // the picture that its last progress was of was made
	demand               ratelimit.Allocation     // what it asked of the state service lately; none: not told
	allocation           ratelimit.Allocation     // of the state service's rate, which it is told with each grant
}

// ServePeers serves the other controllers until the context ends.
func (n *Node) ServePeers(ctx context.Context, addr string) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peer.Path, n.serveMember)
	mux.HandleFunc("POST "+peer.UserPath, n.serveForwarded)
	mux.HandleFunc("POST "+peer.OpsPath, n.serveCall)
	mux.HandleFunc("GET "+peer.LeadingPath, func(w http.ResponseWriter, _ *http.Request) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.lead != nil || n.election.Leading(n.now()) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	httpserve.Until(ctx, peer.NewServer(mux), addr, " other controllers", n.log,
		func(l net.Listener) net.Listener { return l })
}

func (n *Node) serveMember(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	l := n.lead
	ready := l != nil && l.loaded
	n.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(l.ctx, func() { cancel(l.ctx.Err()) })
	defer stop()
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if err := rc.Flush(); err != nil {
		return
	}
	k := &link{queue: peer.NewQueue(), codec: peer.NewCodec(n.names), grantsSent: map[uint64]time.Duration{}}
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(k.queue.Run(ctx, w, rc.Flush))
	}()
	watchdog := time.AfterFunc(linkTimeout, func() { cancel(errLinkTimeout) })
	defer watchdog.Stop()
	// Reading and writing end when the context does.
	broken := make(chan struct{})
	stopBreak := context.AfterFunc(ctx, func() {
		defer close(broken)
		_ = rc.SetReadDeadline(time.Unix(1, 0))
		_ = rc.SetWriteDeadline(time.Unix(1, 0))
	})
	defer func() {
		if !stopBreak() { // it must not touch the stream after the handler
			<-broken
		}
	}()
	id, err := n.readMemberMessages(l, k, r.Body, watchdog)
	if c := context.Cause(ctx); c != nil {
		err = c
	}
	n.mu.Lock()
	if id != 0 && n.lead == l {
		now := n.now()
		n.log.Info("member lost", "host", k.host, "shard", id, "err", err, "authority_left", k.grantEnd-now)
		delete(l.links, id)
		l.memberLostAt = now
		l.dispatcher.ShardLost(id, max(now, k.grantEnd))
		n.requestCycle()
	}
	n.mu.Unlock()
	cancel(err)
	<-written
}

// readMemberMessages takes a member's messages until the stream ends.
func (n *Node) readMemberMessages(l *leadership, k *link, body io.Reader,
	watchdog *time.Timer) (id model.ShardID, err error) {
	in := peer.NewReader(body)
	for {
		var m peerpb.Up
		if err := in.Next(&m); err != nil {
			return id, err
		}
		watchdog.Reset(linkTimeout)
		n.mu.Lock()
		if n.lead != l {
			n.mu.Unlock()
			return id, errors.New("leadership over")
		}
		now := n.now()
		n.siblingSeenAt = now
		if h := m.GetHello(); h != nil && id == 0 {
			id = l.acceptMember(now, k, h)
		} else if id != 0 && l.links[id] == k {
			l.handleMessage(now, id, k, &m)
		} else {
			n.mu.Unlock()
			return 0, errors.New("replaced")
		}
		n.mu.Unlock()
	}
}

func (l *leadership) acceptMember(now time.Duration, k *link, hello *peerpb.Hello) model.ShardID {
	host := hello.GetHost()
	k.host = host
	for id, o := range l.links {
		if o.host == host {
			// Its Hello says that the shard before acts no more.
			delete(l.links, id)
			l.dispatcher.ShardLost(id, now)
		}
	}
	id := l.dispatcher.AddShard(now, host)
	l.links[id] = k
	k.queue.Send(&peerpb.Down{Msg: &peerpb.Down_Welcome{Welcome: &peerpb.Welcome{Term: l.term,
		Attempts: l.dispatcher.FirstAttempt(id),
		Tell:     l.drains.disruptions.Enabled(), Compares: true}}})
	k.queue.Send(l.dispatchLoop.collectProgress())
	k.progressAsOf = l.dispatchLoop.progressAsOf
	l.node.log.Info("member joined", "host", host, "shard", id, "release", hello.GetRelease())
	l.siblingReleases[host] = hello.GetRelease()
	all, oldest := true, uint32(release)
	for _, s := range l.node.cfg.Siblings {
		r, joined := l.siblingReleases[s.HostName]
		all, oldest = all && joined, min(oldest, r)
	}
	if all {
		l.dispatcher.AllControllersJoined(now)
		l.applyOldestRelease(oldest)
	}
	l.node.requestCycle()
	return id
}

func (l *leadership) handleMessage(now time.Duration, id model.ShardID, k *link, m *peerpb.Up) {
	switch msg := m.Msg.(type) {
	case *peerpb.Up_Ask:
		if !l.node.election.Leading(now) {
			return
		}
		if age := msg.Ask.GetStateAgeUs(); age >= 0 {
			k.stateServedAt = now - time.Duration(age)*time.Microsecond
		}
		for _, id := range msg.Ask.GetTold() {
			l.dispatchLoop.applyCancellation(now, model.JobID(id))
		}
		if d := time.Duration(msg.Ask.GetToldForUs()) * time.Microsecond; d > 0 {
			k.reportsCancellations, k.coverage.Since = true, now-(d-d/500) // its clock may be the faster one
		}
		// The member promised when it received that grant, so after it was
		// sent: from then on by this clock, less drift.
		if at, ok := k.grantsSent[msg.Ask.GetPromised()]; ok {
			k.promisedUntil = max(k.promisedUntil, at+config.Promise-config.Promise/200-50*time.Millisecond)
			// ... and what it told users before that came in no later than this.
			k.coverage.Until = max(k.coverage.Until, at)
			for no := range k.grantsSent {
				if no < msg.Ask.GetPromised() {
					delete(k.grantsSent, no)
				}
			}
		}
		k.demand = ratelimit.Allocation{Requests: msg.Ask.GetRequestsNeeded(), Writes: msg.Ask.GetWritesNeeded()}
		l.extendAuthority()
		l.dispatchLoop.updateOpenJobsView(now)
		k.grantEnd = max(k.grantEnd, l.authorityEnd())
		k.lastGrant++
		k.grantsSent[k.lastGrant] = now
		k.queue.Send(&peerpb.Down{Msg: &peerpb.Down_Grant{Grant: &peerpb.Grant{Seq: msg.Ask.GetSeq(),
			ForUs: max(0, l.authorityEnd()-now).Microseconds(), Number: k.lastGrant,
			SettledAgeUs:  max(1, (now - l.dependencies.propagatedUntil(now)).Microseconds()),
			ToldAgeUs:     max(1, (now - k.progressAsOf).Microseconds()),
			RequestsShare: k.allocation.Requests, WritesShare: k.allocation.Writes}}})
	case *peerpb.Up_Questions:
		l.handleQuestions(k, msg.Questions.GetQuestions())
	case *peerpb.Up_Event:
		l.handleEvent(now, id, k.codec.FromEvent(msg.Event))
		l.node.requestCycle()
	case *peerpb.Up_Status:
		ms, jobs := k.codec.FromStatus(now, msg.Status)
		l.dispatcher.UpdateStatus(now, id, ms, jobs, msg.Status.GetDeals())
		l.dispatchLoop.dispatchDue = true
		l.node.requestCycle()
	}
}

// extendAuthority extends this leader's authority to where every sibling's promise lasts.
func (l *leadership) extendAuthority() {
	promisedUntil := map[string]time.Duration{}
	for _, k := range l.links {
		promisedUntil[k.host] = max(promisedUntil[k.host], k.promisedUntil)
	}
	earliest := time.Duration(1<<63 - 1)
	for _, s := range l.node.cfg.Siblings {
		earliest = min(earliest, promisedUntil[s.HostName])
	}
	if len(l.node.cfg.Siblings) > 0 {
		l.node.election.ExtendAuthority(earliest)
	}
}

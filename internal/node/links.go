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

// link is the leader's end of the connection to a member.
type link struct {
	host     string
	queue    *peer.Queue
	codec    *peer.Codec
	grantEnd time.Duration // latest end of any grant sent on this link

	lastGrantNumber      uint64
	grantsSentAt         map[uint64]time.Duration // by grant number
	promisedUntil        time.Duration            // the member does not take leadership before this
	stateServedAt        time.Duration            // when the state service last served the member
	reportsCancellations bool                     // the member reports the cancellations that it acknowledged to users
	coverage             cancellog.Coverage       // the time for which all of these reports have arrived
	progressAsOf         time.Duration            // as of when the open jobs were known in the last progress sent
	demand               ratelimit.Allocation     // share of the state service's rate that it needs; zero: not reported
	allocation           ratelimit.Allocation     // its share of the state service's rate, sent with each grant
}

// ServePeers serves requests and connections from the other controllers until the context ends.
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
	httpserve.Serve(ctx, peer.NewServer(mux), addr, " other controllers", n.log,
		func(l net.Listener) net.Listener { return l })
}

// serveMember serves a member's connection: it reads the member's messages while a queue sends it the
// leader's. It refuses the connection until this controller leads and has read the stored state.
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
	memberLink := &link{queue: peer.NewQueue(), codec: peer.NewCodec(n.names), grantsSentAt: map[uint64]time.Duration{}}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		cancel(memberLink.queue.Run(ctx, w, rc.Flush))
	}()
	watchdog := time.AfterFunc(linkTimeout, func() { cancel(errLinkTimeout) })
	defer watchdog.Stop()
	// Deadlines in the past end blocked reads and writes when the context ends.
	deadlinesSet := make(chan struct{})
	cancelDeadlines := context.AfterFunc(ctx, func() {
		defer close(deadlinesSet)
		_ = rc.SetReadDeadline(time.Unix(1, 0))
		_ = rc.SetWriteDeadline(time.Unix(1, 0))
	})
	defer func() {
		if !cancelDeadlines() { // the stream must not be used after the handler has returned
			<-deadlinesSet
		}
	}()
	id, err := n.readMemberMessages(l, memberLink, r.Body, watchdog)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	n.mu.Lock()
	if id != 0 && n.lead == l {
		now := n.now()
		n.log.Info("member lost", "host", memberLink.host, "shard", id, "err", err, "authority_left", memberLink.grantEnd-now)
		delete(l.links, id)
		l.memberLostAt = now
		l.dispatcher.ShardLost(id, max(now, memberLink.grantEnd))
		n.requestCycle()
	}
	n.mu.Unlock()
	cancel(err)
	<-writerDone
}

// readMemberMessages handles a member's messages until the connection fails, leadership ends, or a newer
// connection of the same member replaces this one. The first message must be a Hello.
func (n *Node) readMemberMessages(l *leadership, memberLink *link, body io.Reader,
	watchdog *time.Timer) (id model.ShardID, err error) {
	reader := peer.NewReader(body)
	for {
		var message peerpb.Up
		if err := reader.Next(&message); err != nil {
			return id, err
		}
		watchdog.Reset(linkTimeout)
		n.mu.Lock()
		if n.lead != l {
			n.mu.Unlock()
			return id, errors.New("leadership ended")
		}
		now := n.now()
		n.siblingSeenAt = now
		if hello := message.GetHello(); hello != nil && id == 0 {
			id = l.acceptMember(now, memberLink, hello)
		} else if id != 0 && l.links[id] == memberLink {
			l.handleMessage(now, id, memberLink, &message)
		} else {
			n.mu.Unlock()
			return 0, errors.New("link is not registered: replaced by a newer one, or no Hello was received")
		}
		n.mu.Unlock()
	}
}

// acceptMember registers a member and its new shard, and sends it the Welcome and the open jobs'
// progress. Once all controllers have joined, no shard of an earlier term acts any more.
func (l *leadership) acceptMember(now time.Duration, memberLink *link, hello *peerpb.Hello) model.ShardID {
	host := hello.GetHost()
	memberLink.host = host
	for id, other := range l.links {
		if other.host == host {
			// The Hello says that the member's previous shard no longer acts.
			delete(l.links, id)
			l.dispatcher.ShardLost(id, now)
		}
	}
	id := l.dispatcher.AddShard(now, host)
	l.links[id] = memberLink
	memberLink.queue.Send(&peerpb.Down{Msg: &peerpb.Down_Welcome{Welcome: &peerpb.Welcome{Term: l.term,
		Attempts: l.dispatcher.FirstAttempt(id),
		Tell:     l.drains.disruptions.Enabled(), Compares: true}}})
	memberLink.queue.Send(l.dispatchLoop.collectProgress())
	memberLink.progressAsOf = l.dispatchLoop.progressAsOf
	l.node.log.Info("member joined", "host", host, "shard", id, "release", hello.GetRelease())
	l.siblingReleases[host] = hello.GetRelease()
	allJoined, oldest := true, uint32(release)
	for _, sibling := range l.node.cfg.Siblings {
		siblingRelease, joined := l.siblingReleases[sibling.HostName]
		allJoined, oldest = allJoined && joined, min(oldest, siblingRelease)
	}
	if allJoined {
		l.dispatcher.AllControllersJoined(now)
		l.applyOldestRelease(oldest)
	}
	l.node.requestCycle()
	return id
}

// handleMessage handles one message of a member; an Ask is answered with a grant.
func (l *leadership) handleMessage(now time.Duration, id model.ShardID, memberLink *link, message *peerpb.Up) {
	switch msg := message.Msg.(type) {
	case *peerpb.Up_Ask:
		if !l.node.election.Leading(now) {
			return
		}
		if age := msg.Ask.GetStateAgeUs(); age >= 0 {
			memberLink.stateServedAt = now - time.Duration(age)*time.Microsecond
		}
		for _, id := range msg.Ask.GetTold() {
			l.dispatchLoop.applyCancellation(now, model.JobID(id))
		}
		if coverageDuration := time.Duration(msg.Ask.GetToldForUs()) * time.Microsecond; coverageDuration > 0 {
			memberLink.reportsCancellations, memberLink.coverage.Since = true,
				now-(coverageDuration-coverageDuration/500) // the member's clock may run faster than this one
		}
		// The member made its promise when it received that grant, which was after the grant
		// was sent. The promise is counted from the sending, less a margin for clock drift.
		if sentAt, ok := memberLink.grantsSentAt[msg.Ask.GetPromised()]; ok {
			memberLink.promisedUntil = max(memberLink.promisedUntil,
				sentAt+config.PromiseDuration-config.PromiseDuration/200-50*time.Millisecond)
			// The member has by now reported all cancellations that it acknowledged before the
			// grant was sent.
			memberLink.coverage.Until = max(memberLink.coverage.Until, sentAt)
			for number := range memberLink.grantsSentAt {
				if number < msg.Ask.GetPromised() {
					delete(memberLink.grantsSentAt, number)
				}
			}
		}
		memberLink.demand = ratelimit.Allocation{Requests: msg.Ask.GetRequestsNeeded(), Writes: msg.Ask.GetWritesNeeded()}
		l.extendAuthority()
		l.dispatchLoop.updateOpenJobsView(now)
		memberLink.grantEnd = max(memberLink.grantEnd, l.authorityEnd())
		memberLink.lastGrantNumber++
		memberLink.grantsSentAt[memberLink.lastGrantNumber] = now
		memberLink.queue.Send(&peerpb.Down{Msg: &peerpb.Down_Grant{Grant: &peerpb.Grant{Seq: msg.Ask.GetSeq(),
			ForUs: max(0, l.authorityEnd()-now).Microseconds(), Number: memberLink.lastGrantNumber,
			SettledAgeUs:  max(1, (now - l.dependencies.propagatedUntil(now)).Microseconds()),
			ToldAgeUs:     max(1, (now - memberLink.progressAsOf).Microseconds()),
			RequestsShare: memberLink.allocation.Requests, WritesShare: memberLink.allocation.Writes}}})
	case *peerpb.Up_Questions:
		l.handleQuestions(memberLink, msg.Questions.GetQuestions())
	case *peerpb.Up_Event:
		l.handleEvent(now, id, memberLink.codec.FromEvent(msg.Event))
		l.node.requestCycle()
	case *peerpb.Up_Status:
		machines, taskCounts := memberLink.codec.FromStatus(now, msg.Status)
		l.dispatcher.UpdateStatus(now, id, machines, taskCounts, msg.Status.GetDeals())
		l.dispatchLoop.dispatchDue = true
		l.node.requestCycle()
	}
}

// extendAuthority extends this leader's authority to the earliest end of the other controllers' promises.
func (l *leadership) extendAuthority() {
	promisedUntil := map[string]time.Duration{}
	for _, memberLink := range l.links {
		promisedUntil[memberLink.host] = max(promisedUntil[memberLink.host], memberLink.promisedUntil)
	}
	earliest := time.Duration(1<<63 - 1)
	for _, sibling := range l.node.cfg.Siblings {
		earliest = min(earliest, promisedUntil[sibling.HostName])
	}
	if len(l.node.cfg.Siblings) > 0 {
		l.node.election.ExtendAuthority(earliest)
	}
}

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
	host  string
	out   *peer.Queue
	codec *peer.Codec
	until time.Duration // of the longest grant given

	number  uint64
	sent    map[uint64]time.Duration // grants, by number
	promise time.Duration            // the member does not take over before
	stateAt time.Duration            // the state service last answered it
	tells   bool                     // the member says of which cancellations it told users
	word    cancellog.Coverage       // how far that is known
	told    time.Duration            // the picture that its last progress was of was made
	needs   ratelimit.Allocation     // what it asked of the state service lately; none: not told
	part    ratelimit.Allocation     // of the state service's rate, which it is told with each grant
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
		if n.lead != nil || n.el.Leading(n.now()) {
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
	k := &link{out: peer.NewQueue(), codec: peer.NewCodec(n.names), sent: map[uint64]time.Duration{}}
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(k.out.Run(ctx, w, rc.Flush))
	}()
	alive := time.AfterFunc(linkTimeout, func() { cancel(errSilent) })
	defer alive.Stop()
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
	id, err := n.readMember(l, k, r.Body, alive)
	if c := context.Cause(ctx); c != nil {
		err = c
	}
	n.mu.Lock()
	if id != 0 && n.lead == l {
		now := n.now()
		n.log.Info("member lost", "host", k.host, "shard", id, "err", err, "authority_left", k.until-now)
		delete(l.links, id)
		l.lost = now
		l.d.ShardLost(id, max(now, k.until))
		n.soon()
	}
	n.mu.Unlock()
	cancel(err)
	<-written
}

// readMember takes a member's messages until the stream ends.
func (n *Node) readMember(l *leadership, k *link, body io.Reader, alive *time.Timer) (id model.ShardID, err error) {
	in := peer.NewReader(body)
	for {
		var m peerpb.Up
		if err := in.Next(&m); err != nil {
			return id, err
		}
		alive.Reset(linkTimeout)
		n.mu.Lock()
		if n.lead != l {
			n.mu.Unlock()
			return id, errors.New("leadership over")
		}
		now := n.now()
		n.sibling = now
		if h := m.GetHello(); h != nil && id == 0 {
			id = l.welcome(now, k, h)
		} else if id != 0 && l.links[id] == k {
			l.heard(now, id, k, &m)
		} else {
			n.mu.Unlock()
			return 0, errors.New("replaced")
		}
		n.mu.Unlock()
	}
}

func (l *leadership) welcome(now time.Duration, k *link, hello *peerpb.Hello) model.ShardID {
	host := hello.GetHost()
	k.host = host
	for id, o := range l.links {
		if o.host == host {
			// Its Hello says that the shard before acts no more.
			delete(l.links, id)
			l.d.ShardLost(id, now)
		}
	}
	id := l.d.AddShard(now, host)
	l.links[id] = k
	k.out.Send(&peerpb.Down{Msg: &peerpb.Down_Welcome{Welcome: &peerpb.Welcome{Term: l.term, Attempts: l.d.FirstAttempt(id),
		Tell: l.drains.book.Enabled(), Compares: true}}})
	k.out.Send(l.deals.progress())
	k.told = l.deals.told
	l.n.log.Info("member joined", "host", host, "shard", id, "release", hello.GetRelease())
	l.hosts[host] = hello.GetRelease()
	all, oldest := true, uint32(release)
	for _, s := range l.n.cfg.Siblings {
		r, here := l.hosts[s.HostName]
		all, oldest = all && here, min(oldest, r)
	}
	if all {
		l.d.AllControllersJoined(now)
		l.upgraded(oldest)
	}
	l.n.soon()
	return id
}

func (l *leadership) heard(now time.Duration, id model.ShardID, k *link, m *peerpb.Up) {
	switch msg := m.Msg.(type) {
	case *peerpb.Up_Ask:
		if !l.n.el.Leading(now) {
			return
		}
		if age := msg.Ask.GetStateAgeUs(); age >= 0 {
			k.stateAt = now - time.Duration(age)*time.Microsecond
		}
		for _, id := range msg.Ask.GetTold() {
			l.deals.cancelled(now, model.JobID(id))
		}
		if d := time.Duration(msg.Ask.GetToldForUs()) * time.Microsecond; d > 0 {
			k.tells, k.word.Since = true, now-(d-d/500) // its clock may be the faster one
		}
		// The member promised when it received that grant, so after it was
		// sent: from then on by this clock, less drift.
		if at, ok := k.sent[msg.Ask.GetPromised()]; ok {
			k.promise = max(k.promise, at+config.Promise-config.Promise/200-50*time.Millisecond)
			// ... and what it told users before that came in no later than this.
			k.word.Until = max(k.word.Until, at)
			for no := range k.sent {
				if no < msg.Ask.GetPromised() {
					delete(k.sent, no)
				}
			}
		}
		k.needs = ratelimit.Allocation{Requests: msg.Ask.GetRequestsNeeded(), Writes: msg.Ask.GetWritesNeeded()}
		l.back()
		l.deals.listen(now)
		k.until = max(k.until, l.until())
		k.number++
		k.sent[k.number] = now
		k.out.Send(&peerpb.Down{Msg: &peerpb.Down_Grant{Grant: &peerpb.Grant{Seq: msg.Ask.GetSeq(),
			ForUs: max(0, l.until()-now).Microseconds(), Number: k.number,
			SettledAgeUs:  max(1, (now - l.chains.settled(now)).Microseconds()),
			ToldAgeUs:     max(1, (now - k.told).Microseconds()),
			RequestsShare: k.part.Requests, WritesShare: k.part.Writes}}})
	case *peerpb.Up_Questions:
		l.heardQuestions(k, msg.Questions.GetQuestions())
	case *peerpb.Up_Event:
		l.hear(now, id, k.codec.FromEvent(msg.Event))
		l.n.soon()
	case *peerpb.Up_Status:
		ms, jobs := k.codec.FromStatus(now, msg.Status)
		l.d.UpdateStatus(now, id, ms, jobs, msg.Status.GetDeals())
		l.deals.due = true
		l.n.soon()
	}
}

// back extends this leader's authority to where every sibling's promise lasts.
func (l *leadership) back() {
	end := map[string]time.Duration{}
	for _, k := range l.links {
		end[k.host] = max(end[k.host], k.promise)
	}
	least := time.Duration(1<<63 - 1)
	for _, s := range l.n.cfg.Siblings {
		least = min(least, end[s.HostName])
	}
	if len(l.n.cfg.Siblings) > 0 {
		l.n.el.ExtendAuthority(least)
	}
}

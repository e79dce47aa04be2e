package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/model"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/rateshare"
	"honeylock/internal/core/shard"
	"honeylock/internal/peer"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/wire"
)

const (
	askEvery      = 400 * time.Millisecond
	linkTimeout   = 2500 * time.Millisecond // nothing heard for so long: the link is dead
	statusEvery   = 100 * time.Millisecond
	maxDirect     = 48
	directTimeout = 2 * time.Second
	gather        = 5 * time.Millisecond // what arrives within so long is dealt with together
)

// seat is this controller's shard. A member's seat outlives its link until its
// grant ends: its workers go on being answered.
type seat struct {
	s      *shard.Shard
	out    *peer.Queue // nil: the leader's own, or the link is lost
	codec  *peer.Codec
	ticked time.Duration
	dirty  bool
	asked  map[uint64]time.Duration
	// granted: the shard may act, as last told in the log.
	granted bool
	seq     uint64
	askAt   time.Duration
	number  uint64 // of the newest grant
	toldTo  int    // of the cancellations that users were told of here: what the leader has
}

func (n *Node) newSeat(attempts uint64) *seat {
	st := &seat{asked: map[uint64]time.Duration{}, codec: peer.NewCodec(n.names),
		s: shard.New(n.shardParams(), attempts, n.rng)}
	st.s.RestoreImages(n.kept)
	return st
}

// leaveSeat drops this controller's shard. The machines' workers will report
// here again: the next leader is told of them.
func (n *Node) leaveSeat() {
	if n.seat != nil {
		n.seated, n.unseated = make(chan struct{}), n.now()
		if ms := n.seat.s.Images(); len(ms) > 0 {
			n.kept = ms
		}
	}
	n.seat = nil
}

// takeSeat lets this controller's shard begin, and wakes the reports that wait for
// that.
func (n *Node) takeSeat(st *seat) {
	n.seat = st
	close(n.seated)
}

// soon asks for a turn: what comes in until then is dealt with together. The
// more a turn costs, the more is gathered for the next.
func (n *Node) soon() {
	if n.turning {
		return
	}
	n.turning = true
	time.AfterFunc(min(max(gather, 4*n.cost), 60*gather), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.turning = false
		began := n.now()
		n.turn(began)
		n.cost = n.now() - began
	})
}

// turn lets shard and dealer settle, and sends what they have to say.
func (n *Node) turn(now time.Duration) {
	if n.lead != nil {
		n.lead.deals.turn(now)
		return
	}
	if n.seat == nil {
		return
	}
	n.seat.s.Place(now)
	n.flush(now)
	n.tell(now)
	n.seat.dirty = true
}

// tell passes the shard's events to the dealer, wherever it is. Without a link
// they are lost: the next shard of this controller finds out anew what there is.
func (n *Node) tell(now time.Duration) {
	if n.lead != nil {
		n.lead.deals.exchange(now)
		return
	}
	for _, e := range n.seat.s.TakeEvents() {
		if n.seat.out != nil {
			n.seat.out.Send(n.seat.codec.Event(&e))
		}
	}
}

func (n *Node) flush(now time.Duration) {
	st := n.seat
	st.s.Flush(now, n.health.atOnce(now, maxDirect))
	for _, d := range st.s.TakeDirectCommands() {
		n.logStarts(d.Machine, d.Token, d.Session, d.Commands, true)
		go n.direct(st, d)
	}
}

func (n *Node) direct(st *seat, d shard.DirectCommand) {
	// Opening the connection takes time, and the process may stand still: what is
	// decided under a grant is not sent once it is over.
	ctx, cancel := context.WithTimeout(context.Background(), d.NotAfter-n.now())
	defer cancel()
	raw, executed, err := n.work.Send(ctx, d.Addr, d.Token, d.Session, d.Commands)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var rep *model.Report
	if err == nil {
		rep, err = raw.Report(n.names)
	}
	if err != nil {
		n.log.Debug("direct command unanswered", "machine", wire.MachineName(d.Machine), "err", err)
		rep = nil
	}
	st.s.DirectCommandDone(now, d, rep, executed)
	if n.seat == st {
		if rep != nil {
			n.wake(d.Machine)
		}
		n.soon()
	}
}

// tickSeat is called a few times a second on a member.
func (n *Node) tickSeat(now time.Duration) {
	st := n.seat
	if now-st.ticked < statusEvery {
		return
	}
	st.ticked = now
	n.logGrant(now, st)
	st.s.Tick(now)
	n.flush(now)
	n.tell(now)
	if st.out == nil {
		return
	}
	if now-st.askAt >= askEvery {
		// The grant counts from here, however late the answer comes.
		st.seq++
		st.asked[st.seq] = now
		st.askAt = now
		needs := n.state.Needs()
		ask := &peerpb.Ask{
			Seq:            st.seq,
			Promised:       st.number,
			StateAgeUs:     n.health.servedAgo(now).Microseconds(),
			ToldForUs:      max(1, (now - n.told.CompleteSince()).Microseconds()),
			RequestsNeeded: needs.Requests,
			WritesNeeded:   needs.Writes,
		}
		var told []model.JobID
		told, st.toldTo = n.told.EntriesFrom(st.toldTo)
		for _, id := range told {
			ask.Told = append(ask.Told, uint64(id))
		}
		st.out.Send(&peerpb.Up{Msg: &peerpb.Up_Ask{Ask: ask}})
		st.dirty = true
	}
	if st.dirty {
		st.dirty = false
		st.out.Send(st.codec.Status(now, st.s.TakeStatus(now), st.s.TaskCounts(now), st.s.AssignmentsReceived()))
	}
}

// owned wakes reports that wait for their machine's owner.
func (n *Node) owned(o *model.Order) {
	id := o.Machine.ID
	switch o.Kind {
	case model.OwnMachine:
	case model.RedirectWorker:
		id = o.ID
	default:
		return
	}
	n.wake(id)
}

// wake lets the reports of a machine go on that wait.
func (n *Node) wake(id model.MachineID) {
	for _, c := range n.waits[id] {
		close(c)
	}
	delete(n.waits, id)
}

func (n *Node) siblingAddr(host string) string {
	for _, s := range n.cfg.Siblings {
		if s.HostName == host {
			return s.Address
		}
	}
	return ""
}

// askSiblings finds out, while this controller's start holds it off from
// leadership, whether any sibling leads: if none does, nobody can count on a
// promise of its last life.
func (n *Node) askSiblings(ctx context.Context) {
	dialer := peer.NewDialer()
	free := map[string]bool{}
	for ctx.Err() == nil && n.now() < config.Promise {
		all := true
		for _, s := range n.cfg.Siblings {
			if !free[s.HostName] {
				leads, known := dialer.Leading(ctx, s.Address)
				free[s.HostName] = known && !leads
			}
			all = all && free[s.HostName]
		}
		if all {
			n.mu.Lock()
			n.el.ClearPriorPromise(n.now())
			n.mu.Unlock()
			return
		}
		sleep(ctx, 150*time.Millisecond)
	}
}

// runMember keeps a link to the leader while another controller leads.
func (n *Node) runMember(ctx context.Context) {
	dialer := peer.NewDialer()
	for ctx.Err() == nil {
		n.mu.Lock()
		host := n.el.Holder()
		leading := n.lead != nil
		missed := n.health.missing(n.now())
		n.mu.Unlock()
		if missed && !leading {
			host = n.findLeader(ctx, dialer)
		}
		addr := n.siblingAddr(host)
		if leading || addr == "" {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		err := n.member(ctx, dialer, host, addr)
		n.mu.Lock()
		level := slog.LevelDebug
		if n.leader != "" {
			level = slog.LevelInfo
		}
		n.leader, n.tried = "", host
		n.mu.Unlock()
		n.log.Log(ctx, level, "link to the leader ended", "leader", host, "err", err)
		sleep(ctx, 300*time.Millisecond)
	}
}

// findLeader asks the siblings who leads, for a controller that can't read the
// leader's key.
func (n *Node) findLeader(ctx context.Context, dialer *peer.Dialer) string {
	for _, s := range n.cfg.Siblings {
		leads, known := dialer.Leading(ctx, s.Address)
		if known {
			n.mu.Lock()
			n.sibling = n.now()
			n.mu.Unlock()
		}
		if leads {
			return s.HostName
		}
	}
	return ""
}

var errSilent = errors.New("nothing heard from the other side")

func (n *Node) member(ctx context.Context, dialer *peer.Dialer, host, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pw, body, err := dialer.Open(ctx, addr)
	if err != nil {
		return err
	}
	defer body.Close()
	defer pw.Close()
	out := peer.NewQueue()
	go func() { cancel(out.Run(ctx, pw, nil)) }()
	alive := time.AfterFunc(linkTimeout, func() { cancel(errSilent) })
	defer alive.Stop()
	// From here the shard of before acts no more: that is what Hello says.
	n.mu.Lock()
	if n.lead != nil {
		n.mu.Unlock()
		return errors.New("leading myself")
	}
	n.leaveSeat()
	n.mu.Unlock()
	out.Send(&peerpb.Up{Msg: &peerpb.Up_Hello{Hello: &peerpb.Hello{Host: n.cfg.HostName,
		Release: release}}})
	in := peer.NewReader(body)
	var st *seat
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.questions.follow(nil)
		n.el.CheckSoon(n.now())
		if st != nil {
			st.out = nil
		}
	}()
	for {
		var m peerpb.Down
		if err := in.Next(&m); err != nil {
			if c := context.Cause(ctx); c != nil {
				return c
			}
			return err
		}
		alive.Reset(linkTimeout)
		n.mu.Lock()
		now := n.now()
		n.sibling = now
		if st != nil && n.seat != st {
			n.mu.Unlock()
			return errors.New("another shard took over")
		}
		switch msg := m.Msg.(type) {
		case *peerpb.Down_Welcome:
			if n.lead != nil || st != nil {
				n.mu.Unlock()
				return errors.New("unexpected welcome")
			}
			st = n.newSeat(msg.Welcome.GetAttempts())
			st.out = out
			st.s.ReportInterruptions(msg.Welcome.GetTell())
			n.leader = host
			n.takeSeat(st)
			if msg.Welcome.GetCompares() {
				n.questions.follow(out)
			}
			n.log.Info("joined", "leader", host, "term", msg.Welcome.GetTerm(), "remembered", len(n.kept))
			for id := range n.kept {
				out.Send(st.codec.Event(&model.Event{Kind: model.MachineRemembered, Machine: id}))
			}
		case *peerpb.Down_Progress:
			n.leaderStateAt = now - time.Duration(msg.Progress.GetStateAgeUs())*time.Microsecond
			before := n.progress
			n.progress = make(map[model.JobID]progress, len(msg.Progress.GetJobs()))
			open := make(map[model.JobID]bool, len(msg.Progress.GetJobs()))
			if st != nil {
				st.s.SetOpenJobs(open)
			}
			for _, j := range msg.Progress.GetJobs() {
				open[model.JobID(j.GetJob())] = true
				n.progress[model.JobID(j.GetJob())] = progress{int(j.GetDone()), int(j.GetRunning()), j.GetVersion(),
					j.GetWaits(), j.GetDoubt()}
			}
			n.keepVersions(before)
		case *peerpb.Down_Answers:
			n.questions.answered(msg.Answers.GetAnswers())
		case *peerpb.Down_Grant:
			if st == nil {
				break
			}
			if share := msg.Grant.GetRequestsShare(); share > 0 {
				n.state.SetPart(ratelimit.Allocation{Requests: share, Writes: msg.Grant.GetWritesShare()}, rateshare.AllocationTTL)
			}
			if at, ok := st.asked[msg.Grant.GetSeq()]; ok {
				delete(st.asked, msg.Grant.GetSeq())
				st.number = msg.Grant.GetNumber()
				if age := msg.Grant.GetSettledAgeUs(); age > 0 { // as old as its asking
					n.vouch.SetPropagated(at - time.Duration(age)*time.Microsecond)
				}
				if age := msg.Grant.GetToldAgeUs(); age > 0 {
					n.vouch.SetInDoubtKnown(at - time.Duration(age)*time.Microsecond)
				}
				n.el.Promise(now + config.Promise)
				d := time.Duration(msg.Grant.GetForUs()) * time.Microsecond
				// Both clocks may drift, and timers are late.
				st.s.SetGrant(at + d - d/500 - 50*time.Millisecond)
			}
		case *peerpb.Down_Order:
			if st == nil {
				break
			}
			o, err := st.codec.FromOrder(now, msg.Order)
			if err != nil {
				n.mu.Unlock()
				return err
			}
			st.s.HandleOrder(now, o)
			n.owned(&o)
			n.soon()
		}
		n.mu.Unlock()
	}
}

// progress of an open job, for display, with its open record's version.
type progress struct {
	done, running int
	version       uint64
	waits         bool // jobs that it needs are not done
	doubt         bool // ... or one of them was cancelled, or that is being found out
}

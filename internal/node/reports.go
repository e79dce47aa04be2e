package node

import (
	"context"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/shard"
	"honeylock/internal/wire"
)

const (
	seatSoon = 4 * time.Second // a controller without a shard mostly has one again within
	seatWait = 900 * time.Millisecond
)

// Report answers a worker: its commands, or (not ok) where to report instead.
func (n *Node) Report(ctx context.Context, raw *wire.RawReport) (a shard.Answer, keeper string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, err := raw.Report(n.names)
	if err != nil {
		return a, "", err
	}
	n.stats.Reports++
	n.reported = n.now()
	if n.seat == nil && n.now()-n.unseated < seatSoon {
		// This controller has just started, or its leader is gone: it will have a
		// shard within moments. Sent to the leader at once, the workers of all
		// controllers came to it together, when it had most else to do.
		n.wait(ctx, n.seated, seatWait)
	}
	if l := n.lead; l != nil && !l.loaded {
		// The store is being read: worth a moment, for the next node would
		// only send the worker back here.
		n.wait(ctx, l.ready, 2*time.Second)
	}
	a, keeper, unowned := n.answer(r)
	if !a.OK && unowned && (n.lead != nil || n.seat.out != nil) {
		// The leader is asked whose machine it is; that takes a moment.
		a, keeper = n.answerLater(ctx, r)
	}
	if !a.OK && n.seat != nil && n.seat.s.Verifying(n.now(), r.Machine.ID) {
		// Nothing shows that it hears; it is being asked, and mostly answers at once.
		a, keeper = n.answerLater(ctx, r)
	}
	if a.OK {
		return a, "", nil
	}
	n.stats.Redirected++
	if keeper == "" && n.seat == nil && n.lead == nil && n.now()-n.unseated >= seatSoon {
		// Nothing can be done for the worker here, for longer than it takes to join
		// a leader; the leader, if it lives, can.
		if keeper = n.el.Holder(); keeper == n.cfg.HostName || keeper != n.leader && n.tried == keeper {
			keeper = ""
		}
	}
	return a, keeper, nil
}

// answerLater waits for news of a report's machine, then answers it as answer does.
func (n *Node) answerLater(ctx context.Context, r *model.Report) (a shard.Answer, keeper string) {
	c := make(chan struct{})
	n.waits[r.Machine.ID] = append(n.waits[r.Machine.ID], c)
	n.wait(ctx, c, time.Second)
	delete(n.waits, r.Machine.ID)
	a, keeper, _ = n.answer(r)
	return a, keeper
}

// wait lets go of the lock until c is closed or the time is over.
func (n *Node) wait(ctx context.Context, c <-chan struct{}, d time.Duration) {
	n.mu.Unlock()
	defer n.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	case <-ctx.Done():
	}
}

// answer takes a report to this controller's shard. unowned tells that the
// shard may act, but does not own the machine.
func (n *Node) answer(r *model.Report) (a shard.Answer, keeper string, unowned bool) {
	now := n.now()
	if n.seat == nil || !n.seat.s.HasGrant(now) {
		return a, "", false
	}
	s := n.seat.s
	refused := s.Stats.ExpiredSessionReports
	ok := s.HandleReport(now, r)
	if !ok && n.lead != nil { // the dealer is at hand: it may be ours by now
		n.lead.deals.exchange(now)
		ok = s.HandleReport(now, r)
	}
	if ok {
		s.PlaceOn(now, r.Machine.ID)
		a = s.Answer(now, r)
		n.logStarts(r.Machine.ID, a.Token, r.Session, a.Commands, false)
	} else {
		if s.Stats.ExpiredSessionReports > refused {
			n.logRefused(r)
		}
		keeper = s.TakeRedirect(r.Machine.ID)
		n.tell(now) // at once: the worker waits for its owner
	}
	n.soon()
	return a, keeper, !ok && keeper == "" && !s.Owns(r.Machine.ID)
}

package node

import (
	"context"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/shard"
	"honeylock/internal/wire"
)

const (
	rejoinGrace = 4 * time.Second // a controller without a shard mostly has one again within
	rejoinWait  = 900 * time.Millisecond
)

// Report answers a worker: its commands, or (not ok) where to report instead.
func (n *Node) Report(ctx context.Context, raw *wire.RawReport) (a shard.Answer, redirectTo string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, err := raw.Report(n.names)
	if err != nil {
		return a, "", err
	}
	n.stats.Reports++
	n.lastReport = n.now()
	if n.local == nil && n.now()-n.localDroppedAt < rejoinGrace {
		// This controller has just started, or its leader is gone: it will have a
		// shard within moments. Sent to the leader at once, the workers of all
		// controllers came to it together, when it had most else to do.
		n.waitUnlocked(ctx, n.localReady, rejoinWait)
	}
	if l := n.lead; l != nil && !l.loaded {
		// The store is being read: worth a moment, for the next node would
		// only send the worker back here.
		n.waitUnlocked(ctx, l.loadedSignal, 2*time.Second)
	}
	a, redirectTo, unowned := n.handleReport(r)
	if !a.OK && unowned && (n.lead != nil || n.local.leaderQueue != nil) {
		// The leader is asked whose machine it is; that takes a moment.
		a, redirectTo = n.handleReportLater(ctx, r)
	}
	if !a.OK && n.local != nil && n.local.shard.Verifying(n.now(), r.Machine.ID) {
		// Nothing shows that it hears; it is being asked, and mostly answers at once.
		a, redirectTo = n.handleReportLater(ctx, r)
	}
	if a.OK {
		return a, "", nil
	}
	n.stats.Redirected++
	if redirectTo == "" && n.local == nil && n.lead == nil && n.now()-n.localDroppedAt >= rejoinGrace {
		// Nothing can be done for the worker here, for longer than it takes to join
		// a leader; the leader, if it lives, can.
		if redirectTo = n.election.Holder(); redirectTo == n.cfg.HostName ||
			redirectTo != n.leader && n.lastLinkHost == redirectTo {
			redirectTo = ""
		}
	}
	return a, redirectTo, nil
}

// handleReportLater waits for news of a report's machine, then answers it as answer does.
func (n *Node) handleReportLater(ctx context.Context, r *model.Report) (a shard.Answer, redirectTo string) {
	c := make(chan struct{})
	n.reportWaiters[r.Machine.ID] = append(n.reportWaiters[r.Machine.ID], c)
	n.waitUnlocked(ctx, c, time.Second)
	delete(n.reportWaiters, r.Machine.ID)
	a, redirectTo, _ = n.handleReport(r)
	return a, redirectTo
}

// waitUnlocked lets go of the lock until c is closed or the time is over.
func (n *Node) waitUnlocked(ctx context.Context, c <-chan struct{}, d time.Duration) {
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

// handleReport takes a report to this controller's shard. unowned tells that the
// shard may act, but does not own the machine.
func (n *Node) handleReport(r *model.Report) (a shard.Answer, redirectTo string, unowned bool) {
	now := n.now()
	if n.local == nil || !n.local.shard.HasGrant(now) {
		return a, "", false
	}
	s := n.local.shard
	refused := s.Stats.ExpiredSessionReports
	ok := s.HandleReport(now, r)
	if !ok && n.lead != nil { // the dealer is at hand: it may be ours by now
		n.lead.dispatchLoop.exchangeMessages(now)
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
		redirectTo = s.TakeRedirect(r.Machine.ID)
		n.sendEvents(now) // at once: the worker waits for its owner
	}
	n.requestCycle()
	return a, redirectTo, !ok && redirectTo == "" && !s.Owns(r.Machine.ID)
}

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
func (n *Node) Report(ctx context.Context, raw *wire.RawReport) (answer shard.Answer, redirectTo string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	report, err := raw.Report(n.names)
	if err != nil {
		return answer, "", err
	}
	n.stats.Reports++
	n.lastReportAt = n.now()
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
	answer, redirectTo, unowned := n.handleReport(report)
	if !answer.OK && unowned && (n.lead != nil || n.local.leaderQueue != nil) {
		// The leader is asked whose machine it is; that takes a moment.
		answer, redirectTo = n.handleReportLater(ctx, report)
	}
	if !answer.OK && n.local != nil && n.local.shard.Verifying(n.now(), report.Machine.ID) {
		// Nothing shows that it hears; it is being asked, and mostly answers at once.
		answer, redirectTo = n.handleReportLater(ctx, report)
	}
	if answer.OK {
		return answer, "", nil
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
	return answer, redirectTo, nil
}

// handleReportLater waits for news of a report's machine, then answers it as answer does.
func (n *Node) handleReportLater(ctx context.Context, report *model.Report) (answer shard.Answer, redirectTo string) {
	notified := make(chan struct{})
	n.reportWaiters[report.Machine.ID] = append(n.reportWaiters[report.Machine.ID], notified)
	n.waitUnlocked(ctx, notified, time.Second)
	delete(n.reportWaiters, report.Machine.ID)
	answer, redirectTo, _ = n.handleReport(report)
	return answer, redirectTo
}

// waitUnlocked lets go of the lock until c is closed or the time is over.
func (n *Node) waitUnlocked(ctx context.Context, done <-chan struct{}, timeout time.Duration) {
	n.mu.Unlock()
	defer n.mu.Lock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// handleReport takes a report to this controller's shard. unowned tells that the
// shard may act, but does not own the machine.
func (n *Node) handleReport(report *model.Report) (answer shard.Answer, redirectTo string, unowned bool) {
	now := n.now()
	if n.local == nil || !n.local.shard.HasGrant(now) {
		return answer, "", false
	}
	s := n.local.shard
	refusedBefore := s.Stats.ExpiredSessionReports
	ok := s.HandleReport(now, report)
	if !ok && n.lead != nil { // the dealer is at hand: it may be ours by now
		n.lead.dispatchLoop.exchangeMessages(now)
		ok = s.HandleReport(now, report)
	}
	if ok {
		s.PlaceOn(now, report.Machine.ID)
		answer = s.Answer(now, report)
		n.logStarts(report.Machine.ID, answer.Token, report.Session, answer.Commands, false)
	} else {
		if s.Stats.ExpiredSessionReports > refusedBefore {
			n.logRefused(report)
		}
		redirectTo = s.TakeRedirect(report.Machine.ID)
		n.sendEvents(now) // at once: the worker waits for its owner
	}
	n.requestCycle()
	return answer, redirectTo, !ok && redirectTo == "" && !s.Owns(report.Machine.ID)
}

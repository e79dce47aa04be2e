package node

import (
	"context"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/shard"
	"honeylock/internal/wire"
)

const (
	rejoinGrace = 4 * time.Second        // a controller that lost its shard usually has a new one by then
	rejoinWait  = 900 * time.Millisecond // how long a report waits for that shard
)

// Report handles a worker's report. The answer holds the worker's commands; if it is not OK, redirectTo
// is the host that the worker should report to instead, "" if none is known.
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
		// This controller has just started, or lost its leader, and will have a shard soon.
		// Redirecting at once would send the workers of all controllers to the new leader
		// together, when it is busiest.
		n.waitUnlocked(ctx, n.localReady, rejoinWait)
	}
	if l := n.lead; l != nil && !l.loaded {
		// The stored state is being read. Wait for it, because any other controller would
		// only redirect the worker back here.
		n.waitUnlocked(ctx, l.loadedSignal, 2*time.Second)
	}
	answer, redirectTo, unowned := n.handleReport(report)
	if !answer.OK && unowned && (n.lead != nil || n.local.leaderQueue != nil) {
		// Wait until the leader has decided which shard owns the machine, which takes a moment.
		answer, redirectTo = n.handleReportLater(ctx, report)
	}
	if !answer.OK && n.local != nil && n.local.shard.Verifying(n.now(), report.Machine.ID) {
		// The shard is verifying that the worker receives messages. Wait for the worker's answer,
		// which usually arrives at once.
		answer, redirectTo = n.handleReportLater(ctx, report)
	}
	if answer.OK {
		return answer, "", nil
	}
	n.stats.Redirected++
	if redirectTo == "" && n.local == nil && n.lead == nil && n.now()-n.localDroppedAt >= rejoinGrace {
		// This controller has had no shard for longer than it takes to join a leader. The
		// leader can serve the worker, unless the last link that ended was the one to it.
		if redirectTo = n.election.Holder(); redirectTo == n.cfg.HostName ||
			redirectTo != n.leader && n.lastLinkHost == redirectTo {
			redirectTo = ""
		}
	}
	return answer, redirectTo, nil
}

// handleReportLater waits until wakeReports is called for the report's machine, at most a second, then
// handles the report.
func (n *Node) handleReportLater(ctx context.Context, report *model.Report) (answer shard.Answer, redirectTo string) {
	notified := make(chan struct{})
	n.reportWaiters[report.Machine.ID] = append(n.reportWaiters[report.Machine.ID], notified)
	n.waitUnlocked(ctx, notified, time.Second)
	delete(n.reportWaiters, report.Machine.ID)
	answer, redirectTo, _ = n.handleReport(report)
	return answer, redirectTo
}

// waitUnlocked releases the lock until done is closed, the timeout expires or the context ends.
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

// handleReport passes a report to this controller's shard. unowned is true if the shard may act but does
// not own the machine, and its owner is not known yet.
func (n *Node) handleReport(report *model.Report) (answer shard.Answer, redirectTo string, unowned bool) {
	now := n.now()
	if n.local == nil || !n.local.shard.HasGrant(now) {
		return answer, "", false
	}
	s := n.local.shard
	refusedBefore := s.Stats.ExpiredSessionReports
	ok := s.HandleReport(now, report)
	if !ok && n.lead != nil { // the dispatcher is here and may assign the machine at once
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
		n.sendEvents(now) // at once, because the worker waits until its owner is known
	}
	n.requestCycle()
	return answer, redirectTo, !ok && redirectTo == "" && !s.Owns(report.Machine.ID)
}

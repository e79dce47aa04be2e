package shard

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Tick settles what time alone decides.
func (s *Shard) Tick(now time.Duration) {
	for _, m := range s.sortedMachines {
		if now-m.answeredAt > s.params.MaxLease && (!m.leaseExpired || now-m.expiryReportedAt > 5*time.Second) {
			// Its lease is over, unless another controller has answered it:
			// the dealer knows.
			m.leaseExpired, m.expiryReportedAt = true, now
			s.emit(model.Event{Kind: model.LeaseExpired, Machine: m.ID, Token: m.token})
		}
		s.probeOverdue(now, m)
		if m.preemptionAt != 0 {
			s.evacuate(now, m)
		}
		if s.notReporting(now, m) || m.inboundLost {
			s.cancelUnsent(now, m)
		}
	}
	if s.HasGrant(now) {
		s.replanAll = true // machines may have become ready, victims cheap
		s.Place(now)
	}
	// A task pinned to a zone without room goes back, to be pinned anew.
	for _, g := range s.waiting {
		if g.zone == model.None {
			continue
		}
		for _, t := range slices.Clone(g.tasks) {
			if now-t.queuedAt > maxPinnedWait && !s.isExpedited(now, g.job) {
				s.dequeue(t)
				s.returnTask(t, model.CauseStopped)
			}
		}
	}
}

const maxPinnedWait = 15 * time.Second

// notReporting tells whether a worker's report is overdue: nothing new goes there.
func (s *Shard) notReporting(now time.Duration, m *machine) bool {
	return now-m.answeredAt > s.params.ReportInterval*5/2+500*time.Millisecond
}

// evacuate moves tasks off a machine that will be taken: those that save, just
// in time; those that would not finish, at once.
func (s *Shard) evacuate(now time.Duration, m *machine) {
	for _, a := range slices.Clone(m.attempts) {
		if a.assigned == nil || a.state == exited || a.stopping {
			continue
		}
		spec := a.assigned.Spec
		if !a.launchSent {
			s.stopAttempt(now, a, 0)
			continue
		}
		left := m.preemptionAt - now
		switch {
		case spec.CheckpointInterval > 0 || spec.Daemon:
			// The notice may be half its nominal value: do not cut it fine.
			if left/2 < checkpointGrace(spec)+s.params.ReportInterval {
				s.stopAttempt(now, a, checkpointGrace(spec))
			}
		case a.stage == model.Fetching || spec.Estimate-a.ran(now) > left:
			s.stopAttempt(now, a, 0)
		}
	}
}

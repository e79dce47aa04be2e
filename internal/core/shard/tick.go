package shard

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Tick handles everything that depends on time alone: expired leases, overdue reports, preemption
// notices, a new placement round, and pinned tasks that have waited too long.
func (s *Shard) Tick(now time.Duration) {
	for _, m := range s.sortedMachines {
		if now-m.answeredAt > s.params.MaxLease && (!m.leaseExpired || now-m.expiryReportedAt > 5*time.Second) {
			// The lease has expired unless another controller has answered the worker. Only the
			// dispatcher knows that. The event is repeated until it decides.
			m.leaseExpired, m.expiryReportedAt = true, now
			s.emitAsOwner(m, model.Event{Kind: model.LeaseExpired, Token: m.token})
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
		s.replanAll = true // machines may have become ready, and evictions may pay off by now
		s.Place(now)
	}
	// A task pinned to a zone without capacity is returned, so that the dispatcher can pin it to
	// another zone, or assign it to a shard with machines there.
	for _, g := range s.waiting {
		if g.zone == model.None {
			continue
		}
		for _, t := range slices.Clone(g.tasks) {
			if now-t.queuedAt > maxPinnedWait && !(s.isExpedited(now, g.job) && s.mayHold(g)) {
				s.dequeue(t)
				s.returnTask(t, model.CauseStopped)
			}
		}
	}
}

// mayHold reports whether the group's tasks would fit on one of the shard's machines if it were empty. A
// machine is kept free for an expedited job only if so.
func (s *Shard) mayHold(g *waitingGroup) bool {
	return slices.ContainsFunc(s.sortedMachines, func(m *machine) bool {
		return (g.zone == model.None || g.zone == m.Zone) && g.spec.Allows(&m.Machine) && g.spec.PerTask.Fits(m.Cap)
	})
}

// maxPinnedWait is how long a task pinned to a zone may wait before it is returned.
const maxPinnedWait = 15 * time.Second

// notReporting reports whether a worker's report is so late that it gets no new tasks.
func (s *Shard) notReporting(now time.Duration, m *machine) bool {
	return now-m.answeredAt > s.params.ReportInterval*5/2+500*time.Millisecond
}

// evacuate stops tasks on a machine that the cloud is going to take. Daemons and tasks with
// checkpoints are stopped just in time to save. Other tasks are stopped at once if they would
// not finish in time, and run on if they would.
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
			// The cloud may take the machine after half of the announced time.
			if left/2 < checkpointGrace(spec)+s.params.ReportInterval {
				s.stopAttempt(now, a, checkpointGrace(spec))
			}
		case a.stage == model.Fetching || spec.Estimate-a.ran(now) > left:
			s.stopAttempt(now, a, 0)
		}
	}
}

package shard

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Tick settles what time alone decides.
func (s *Shard) Tick(now time.Duration) {
	for _, m := range s.order {
		if now-m.answered > s.p.MaxLease && (!m.leaseExpired || now-m.expiryTold > 5*time.Second) {
			// Its lease is over, unless another controller has answered it:
			// the dealer knows.
			m.leaseExpired, m.expiryTold = true, now
			s.emit(model.Event{Kind: model.LeaseExpired, Machine: m.ID, Token: m.token})
		}
		s.probe(now, m)
		if m.noticeAt != 0 {
			s.evacuate(now, m)
		}
		if s.quiet(now, m) || m.inboundLost {
			s.unreserve(now, m)
		}
	}
	if s.HasGrant(now) {
		s.replan = true // machines may have become ready, victims cheap
		s.Place(now)
	}
	// A task pinned to a zone without room goes back, to be pinned anew.
	for _, g := range s.queue {
		if g.zone == model.None {
			continue
		}
		for _, t := range slices.Clone(g.tasks) {
			if now-t.queued > pinPatience && !s.first(now, g.job) {
				s.dequeue(t)
				s.release(t, model.CauseStopped)
			}
		}
	}
}

const pinPatience = 15 * time.Second

// quiet tells whether a worker's report is overdue: nothing new goes there.
func (s *Shard) quiet(now time.Duration, m *machine) bool {
	return now-m.answered > s.p.ReportInterval*5/2+500*time.Millisecond
}

// evacuate moves tasks off a machine that will be taken: those that save, just
// in time; those that would not finish, at once.
func (s *Shard) evacuate(now time.Duration, m *machine) {
	for _, sl := range slices.Clone(m.slots) {
		if sl.t == nil || sl.state == exited || sl.stop {
			continue
		}
		sp := sl.t.Spec
		if !sl.sent {
			s.stop(now, sl, 0)
			continue
		}
		left := m.noticeAt - now
		switch {
		case sp.CheckpointInterval > 0 || sp.Daemon:
			// The notice may be half its nominal value: do not cut it fine.
			if left/2 < graceOf(sp)+s.p.ReportInterval {
				s.stop(now, sl, graceOf(sp))
			}
		case sl.stage == model.Fetching || sp.Estimate-sl.ran(now) > left:
			s.stop(now, sl, 0)
		}
	}
}

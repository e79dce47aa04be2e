package shard

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// A job that should have begun: its next task comes before all else, once. Where no
// machine has room for it, one is kept free of other work until it has.

const (
	expediteDuration       = 20 * time.Second // the dealer says it again while it holds
	machinesPerReservation = 50               // of the machines that may be kept at a time, but one in any case
)

func (s *Shard) isExpedited(now time.Duration, job model.JobID) bool { return now < s.expedited[job] }

// placeExpedited puts one task of each such job on a machine, or keeps one for it.
func (s *Shard) placeExpedited(now time.Duration, available []*machine, index *victimIndex) {
	if len(s.expedited) == 0 {
		return
	}
	var expedited []*waitingGroup
	for _, g := range s.rankedGroups {
		if s.isExpedited(now, g.job) {
			expedited = append(expedited, g)
		}
	}
	slices.SortStableFunc(expedited, func(a, b *waitingGroup) int { return cmp.Compare(a.waitingSince, b.waitingSince) })
	for _, g := range expedited {
		if !s.isExpedited(now, g.job) {
			continue // it had one in another zone
		}
		s.placeGroup(now, g, 1, s.candidates(now, g, available), index)
		if s.isExpedited(now, g.job) {
			s.reserve(now, g)
		}
	}
}

// placeExpeditedOn gives the room that came free on a machine to such jobs before all others:
// the first task of each.
func (s *Shard) placeExpeditedOn(now time.Duration, m *machine) {
	if len(s.expedited) == 0 {
		return
	}
	for _, g := range s.rankedGroups {
		if len(g.tasks) > 0 && s.isExpedited(now, g.job) && g.spec.PerTask.Fits(m.Cap.Sub(m.used)) && s.canPlace(now, g, m) {
			s.placeNext(m, g)
			s.removeIfEmpty(g)
		}
	}
}

// expedite takes the dealer's word that a job should have begun.
func (s *Shard) expedite(now time.Duration, job model.JobID) {
	if s.expedited == nil {
		s.expedited = map[model.JobID]time.Duration{}
	}
	s.expedited[job] = now + expediteDuration
	s.replanAll = true
}

// endExpedite notes that a task of such a job is placed, or that it is over: no machine is kept
// for it any more.
func (s *Shard) endExpedite(job model.JobID) {
	if _, ok := s.expedited[job]; !ok {
		return
	}
	delete(s.expedited, job)
	for _, m := range s.sortedMachines {
		if m.reservedFor == job && m.reservedUntil > 0 {
			m.reservedUntil, s.replanAll = 0, true
		}
	}
}

// reservedForOther tells whether a machine is kept for another job.
func (m *machine) reservedForOther(now time.Duration, job model.JobID) bool {
	return now < m.reservedUntil && m.reservedFor != job
}

// reserve has a machine get no other work until a job's first task has room there: the one
// that lacks least.
func (s *Shard) reserve(now time.Duration, g *waitingGroup) {
	reserved := 0
	var best *machine
	for _, m := range s.sortedMachines {
		if now < m.reservedUntil {
			if m.reservedFor == g.job && s.canPlace(now, g, m) {
				m.reservedUntil = now + expediteDuration
				return
			}
			reserved++
			continue
		}
		if s.canPlace(now, g, m) && (best == nil || m.Cap.CPU-m.used.CPU > best.Cap.CPU-best.used.CPU) {
			best = m
		}
	}
	if best != nil && reserved < max(1, len(s.sortedMachines)/machinesPerReservation) {
		best.reservedFor, best.reservedUntil = g.job, now+expediteDuration
	}
}

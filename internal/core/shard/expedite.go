package shard

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// The dispatcher expedites a job that should have started by now. One task of the job is placed
// before all other tasks. If no machine has capacity for it, one machine is reserved: it gets no
// tasks of other jobs until the task fits.

const (
	expediteDuration       = 20 * time.Second // the dispatcher repeats the order while it applies
	machinesPerReservation = 50               // one machine in this many may be reserved, but at least one
)

// isExpedited reports whether a task of the job is to be placed before all others.
func (s *Shard) isExpedited(now time.Duration, job model.JobID) bool { return now < s.expedited[job] }

// placeExpedited places one task of each expedited job, the longest waiting first, or reserves a
// machine for it.
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
			continue // a task of it was placed in another zone
		}
		s.placeGroup(now, g, 1, s.candidates(now, g, available), index)
		if s.isExpedited(now, g.job) {
			s.reserve(now, g)
		}
	}
}

// placeExpeditedOn places one task of each expedited job on a machine with freed capacity, as far
// as they fit.
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

// expedite marks a job for expediteDuration: its next task is placed before all others.
func (s *Shard) expedite(now time.Duration, job model.JobID) {
	if s.expedited == nil {
		s.expedited = map[model.JobID]time.Duration{}
	}
	s.expedited[job] = now + expediteDuration
	s.replanAll = true
}

// endExpedite stops expediting a job, once a task of it is placed or the job has ended, and cancels
// its reservations.
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

// reservedForOther reports whether the machine is reserved for a job other than the given one.
func (m *machine) reservedForOther(now time.Duration, job model.JobID) bool {
	return now < m.reservedUntil && m.reservedFor != job
}

// reserve reserves the machine with the most free CPU on which the group may run, or extends the
// job's reservation. The number of reserved machines is limited.
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

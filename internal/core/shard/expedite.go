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
	firstFor = 20 * time.Second // the dealer says it again while it holds
	keepPart = 50               // of the machines that may be kept at a time, but one in any case
)

func (s *Shard) first(now time.Duration, job model.JobID) bool { return now < s.firsts[job] }

// placeFirsts puts one task of each such job on a machine, or keeps one for it.
func (s *Shard) placeFirsts(now time.Duration, open []*machine, v *prey) {
	if len(s.firsts) == 0 {
		return
	}
	var late []*group
	for _, g := range s.ranked {
		if s.first(now, g.job) {
			late = append(late, g)
		}
	}
	slices.SortStableFunc(late, func(a, b *group) int { return cmp.Compare(a.since, b.since) })
	for _, g := range late {
		if !s.first(now, g.job) {
			continue // it had one in another zone
		}
		s.placeGroup(now, g, 1, s.rooms(now, g, open), v)
		if s.first(now, g.job) {
			s.keep(now, g)
		}
	}
}

// placeFirstsOn gives the room that came free on a machine to such jobs before all others:
// the first task of each.
func (s *Shard) placeFirstsOn(now time.Duration, m *machine) {
	if len(s.firsts) == 0 {
		return
	}
	for _, g := range s.ranked {
		if len(g.tasks) > 0 && s.first(now, g.job) && g.spec.PerTask.Fits(m.Cap.Sub(m.used)) && s.allows(now, g, m) {
			s.putNext(m, g)
			s.leave(g)
		}
	}
}

// press takes the dealer's word that a job should have begun.
func (s *Shard) press(now time.Duration, job model.JobID) {
	if s.firsts == nil {
		s.firsts = map[model.JobID]time.Duration{}
	}
	s.firsts[job] = now + firstFor
	s.replan = true
}

// pressed notes that a task of such a job is placed, or that it is over: no machine is kept
// for it any more.
func (s *Shard) pressed(job model.JobID) {
	if _, ok := s.firsts[job]; !ok {
		return
	}
	delete(s.firsts, job)
	for _, m := range s.order {
		if m.keptFor == job && m.keptUntil > 0 {
			m.keptUntil, s.replan = 0, true
		}
	}
}

// kept tells whether a machine is kept for another job.
func (m *machine) kept(now time.Duration, job model.JobID) bool {
	return now < m.keptUntil && m.keptFor != job
}

// keep has a machine get no other work until a job's first task has room there: the one
// that lacks least.
func (s *Shard) keep(now time.Duration, g *group) {
	kept := 0
	var best *machine
	for _, m := range s.order {
		if now < m.keptUntil {
			if m.keptFor == g.job && s.allows(now, g, m) {
				m.keptUntil = now + firstFor
				return
			}
			kept++
			continue
		}
		if s.allows(now, g, m) && (best == nil || m.Cap.CPU-m.used.CPU > best.Cap.CPU-best.used.CPU) {
			best = m
		}
	}
	if best != nil && kept < max(1, len(s.order)/keepPart) {
		best.keptFor, best.keptUntil = g.job, now+firstFor
	}
}

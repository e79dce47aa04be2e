package shard

import (
	"cmp"
	"slices"

	"honeylock/internal/core/model"
)

// slots are a machine's attempts, by task and attempt. There are a few tens at
// most, which are all looked at with every report: a map of them, sorted each
// time, took a third of a shard's time where machines hold 24 tasks.
type slots []*slot

func (k key) compare(o key) int {
	return cmp.Or(k.task.Compare(o.task), cmp.Compare(k.attempt, o.attempt))
}

func (x slots) find(k key) (int, bool) {
	return slices.BinarySearchFunc(x, k, func(sl *slot, k key) int { return sl.key.compare(k) })
}

// get returns an attempt, nil if it is not there.
func (x slots) get(k key) *slot {
	if i, ok := x.find(k); ok {
		return x[i]
	}
	return nil
}

// put adds an attempt to its machine's books and to its job's.
func (s *Shard) put(m *machine, sl *slot) {
	i, _ := m.slots.find(sl.key)
	m.slots = slices.Insert(m.slots, i, sl)
	m.priced = false
	job := sl.task.Job
	sl.m, sl.at = m, len(s.ofJob[job])
	s.ofJob[job] = append(s.ofJob[job], sl)
}

// cut takes an attempt out of both.
func (s *Shard) cut(sl *slot) {
	i, ok := sl.m.slots.find(sl.key)
	if !ok {
		return
	}
	sl.m.slots = slices.Delete(sl.m.slots, i, i+1)
	sl.m.priced = false
	s.unlist(sl)
}

// unlist takes an attempt out of its job's books.
func (s *Shard) unlist(sl *slot) {
	job := sl.task.Job
	l := s.ofJob[job]
	last := l[len(l)-1]
	l[sl.at], last.at = last, sl.at
	l[len(l)-1] = nil
	if l = l[:len(l)-1]; len(l) > 0 {
		s.ofJob[job] = l
	} else {
		delete(s.ofJob, job)
	}
}

// attempts are all of a job's, by machine. Looking for them on every machine, at
// the end of each job, once took a fifth of a shard's time.
func (s *Shard) attempts(job model.JobID) []*slot {
	l := slices.Clone(s.ofJob[job])
	slices.SortFunc(l, func(a, b *slot) int { return cmp.Or(cmp.Compare(a.m.ID, b.m.ID), a.key.compare(b.key)) })
	return l
}

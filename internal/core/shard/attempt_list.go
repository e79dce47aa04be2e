package shard

import (
	"cmp"
	"slices"

	"honeylock/internal/core/model"
)

// attemptList are a machine's attempts, by task and attempt. There are a few tens at
// most, which are all looked at with every report: a map of them, sorted each
// time, took a third of a shard's time where machines hold 24 tasks.
type attemptList []*attempt

func (k attemptKey) compare(o attemptKey) int {
	return cmp.Or(k.task.Compare(o.task), cmp.Compare(k.number, o.number))
}

func (list attemptList) find(key attemptKey) (int, bool) {
	return slices.BinarySearchFunc(list, key, func(a *attempt, key attemptKey) int { return a.attemptKey.compare(key) })
}

// get returns an attempt, nil if it is not there.
func (list attemptList) get(key attemptKey) *attempt {
	if i, ok := list.find(key); ok {
		return list[i]
	}
	return nil
}

// addAttempt adds an attempt to its machine's books and to its job's.
func (s *Shard) addAttempt(m *machine, a *attempt) {
	i, _ := m.attempts.find(a.attemptKey)
	m.attempts = slices.Insert(m.attempts, i, a)
	m.minPriceValid = false
	job := a.task.Job
	a.machine, a.jobIndex = m, len(s.attemptsByJob[job])
	s.attemptsByJob[job] = append(s.attemptsByJob[job], a)
}

// detachAttempt takes an attempt out of both.
func (s *Shard) detachAttempt(a *attempt) {
	i, ok := a.machine.attempts.find(a.attemptKey)
	if !ok {
		return
	}
	a.machine.attempts = slices.Delete(a.machine.attempts, i, i+1)
	a.machine.minPriceValid = false
	s.removeFromJob(a)
}

// removeFromJob takes an attempt out of its job's books.
func (s *Shard) removeFromJob(a *attempt) {
	job := a.task.Job
	list := s.attemptsByJob[job]
	last := list[len(list)-1]
	list[a.jobIndex], last.jobIndex = last, a.jobIndex
	list[len(list)-1] = nil
	if list = list[:len(list)-1]; len(list) > 0 {
		s.attemptsByJob[job] = list
	} else {
		delete(s.attemptsByJob, job)
	}
}

// sortedAttempts are all of a job's, by machine. Looking for them on every machine, at
// the end of each job, once took a fifth of a shard's time.
func (s *Shard) sortedAttempts(job model.JobID) []*attempt {
	list := slices.Clone(s.attemptsByJob[job])
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.machine.ID, b.machine.ID), a.attemptKey.compare(b.attemptKey))
	})
	return list
}

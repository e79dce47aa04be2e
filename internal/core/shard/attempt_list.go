package shard

import (
	"cmp"
	"slices"

	"honeylock/internal/core/model"
)

// attemptList holds a machine's attempts, sorted by task and attempt number. Each report
// iterates over all of them in order, usually a few tens. With a map that was sorted for
// each report, this took a third of a shard's CPU time with 24 tasks per machine.
type attemptList []*attempt

// compare orders keys by task, then by attempt number.
func (key attemptKey) compare(other attemptKey) int {
	return cmp.Or(key.task.Compare(other.task), cmp.Compare(key.number, other.number))
}

// find returns the index of an attempt, or where to insert it, and whether it is in the list.
func (list attemptList) find(key attemptKey) (int, bool) {
	return slices.BinarySearchFunc(list, key, func(a *attempt, key attemptKey) int { return a.attemptKey.compare(key) })
}

// get returns an attempt; nil if it is not in the list.
func (list attemptList) get(key attemptKey) *attempt {
	if i, ok := list.find(key); ok {
		return list[i]
	}
	return nil
}

// addAttempt adds an attempt to the lists of its machine and its job, and to what is used of the machine.
func (s *Shard) addAttempt(m *machine, a *attempt) {
	i, _ := m.attempts.find(a.attemptKey)
	m.attempts = slices.Insert(m.attempts, i, a)
	m.used = m.used.Add(a.resources)
	m.minPriceValid = false
	job := a.task.Job
	a.machine, a.jobIndex = m, len(s.attemptsByJob[job])
	s.attemptsByJob[job] = append(s.attemptsByJob[job], a)
}

// detachAttempt removes an attempt from the lists of its machine and its job.
func (s *Shard) detachAttempt(a *attempt) {
	i, ok := a.machine.attempts.find(a.attemptKey)
	if !ok {
		return
	}
	a.machine.attempts = slices.Delete(a.machine.attempts, i, i+1)
	a.machine.minPriceValid = false
	s.removeFromJob(a)
}

// removeFromJob removes an attempt from the list of its job.
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

// sortedAttempts returns all attempts of a job, sorted by machine. It uses a list per job,
// because a search of all machines at the end of each job took a fifth of a shard's CPU time.
func (s *Shard) sortedAttempts(job model.JobID) []*attempt {
	list := slices.Clone(s.attemptsByJob[job])
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.machine.ID, b.machine.ID), a.attemptKey.compare(b.attemptKey))
	})
	return list
}

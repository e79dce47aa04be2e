package shard

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Errors tell of a faulty machine or of a broken job, and the two are told
// apart by evidence: a job that fails on several machines, and has not been seen
// to succeed, is broken; a machine where several other jobs fail is faulty. A
// broken array once marked every machine that it touched as faulty, half of all
// machines, for minutes.

const (
	avoidDuration   = 30 * time.Second // a job keeps away from a machine that it failed on
	faultyDuration  = time.Minute      // less than a job may wait beside room
	errorRetention  = 5 * time.Minute
	minFaultyJobs   = 2 // jobs, not held to be broken, that failed on a machine
	minFaultyErrors = 4 // errors of such jobs on a machine
)

type jobError struct {
	job model.JobID
	at  time.Duration
}

// jobFailures is what this shard has seen of a job that has failed.
type jobFailures struct {
	lastFailure  map[model.MachineID]time.Duration // it failed there last
	hasSucceeded bool                              // a task of it has completed since
}

// broken tells whether the job, not the machines, is held to be at fault.
func (f *jobFailures) broken() bool {
	return f != nil && !f.hasSucceeded && len(f.lastFailure) >= model.BrokenJobMachines
}

// recordFailure notes an error of a job's task on a machine.
func (s *Shard) recordFailure(now time.Duration, m *machine, job model.JobID) {
	failures := s.failures[job]
	if failures == nil {
		failures = &jobFailures{lastFailure: map[model.MachineID]time.Duration{}}
		s.failures[job] = failures
	}
	wasBroken := failures.broken()
	failures.lastFailure[m.ID] = now
	m.errors = slices.DeleteFunc(m.errors, func(e jobError) bool { return now-e.at > errorRetention })
	m.errors = append(m.errors, jobError{job, now})
	if wasBroken != failures.broken() {
		s.updateFaultyMachines(failures)
	}
	s.updateFaulty(m)
}

// recordSuccess notes that a task of the job has completed: its errors were the
// machines'.
func (s *Shard) recordSuccess(job model.JobID) {
	if failures := s.failures[job]; failures != nil && !failures.hasSucceeded {
		failures.hasSucceeded = true
		s.updateFaultyMachines(failures)
	}
}

func (s *Shard) updateFaultyMachines(failures *jobFailures) {
	for id := range failures.lastFailure {
		if m := s.machines[id]; m != nil {
			s.updateFaulty(m)
		}
	}
	s.replanAll = true
}

// updateFaulty holds a machine to be faulty, or no longer.
func (s *Shard) updateFaulty(m *machine) {
	m.faultyUntil = 0
	jobs := map[model.JobID]bool{}
	count := 0
	var last time.Duration
	for _, e := range m.errors {
		if !s.failures[e.job].broken() {
			jobs[e.job] = true
			count++
			last = e.at
		}
	}
	if len(jobs) >= minFaultyJobs || count >= minFaultyErrors {
		m.faultyUntil = last + faultyDuration
	}
}

// avoids tells whether a job failed on the machine a moment ago.
func (s *Shard) avoids(now time.Duration, job model.JobID, m *machine) bool {
	failures := s.failures[job]
	if failures == nil {
		return false
	}
	at, ok := failures.lastFailure[m.ID]
	return ok && now-at < avoidDuration
}

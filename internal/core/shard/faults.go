package shard

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Task errors may be caused by a faulty machine or by a broken job. A job that has failed on
// several machines and of which no task has completed is considered broken. A machine on which
// several other jobs have failed is considered faulty. Without this distinction, one broken job
// with many tasks marked all machines that it ran on as faulty: half of a cluster, for minutes.

const (
	avoidDuration   = 30 * time.Second // a job is not placed on a machine for so long after it failed there
	faultyDuration  = time.Minute      // below the 90 s that a job may wait while a machine has capacity for it
	errorRetention  = 5 * time.Minute  // older errors do not count
	minFaultyJobs   = 2                // a machine is faulty once this many jobs that are not broken failed on it
	minFaultyErrors = 4                // or once such jobs had this many errors on it
)

// jobError is an error of a job's task on a machine.
type jobError struct {
	job model.JobID
	at  time.Duration
}

// jobFailures is the shard's record of a job whose tasks have failed.
type jobFailures struct {
	lastFailure  map[model.MachineID]time.Duration // when the job last failed on each machine
	hasSucceeded bool                              // a task has completed after the first failure
}

// broken reports whether the job is considered to be at fault, and not the machines.
func (f *jobFailures) broken() bool {
	return f != nil && !f.hasSucceeded && len(f.lastFailure) >= model.BrokenJobMachines
}

// recordFailure records an error of a job's task on a machine.
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

// recordSuccess records that a task of the job has completed. The job's earlier errors
// then count against the machines.
func (s *Shard) recordSuccess(job model.JobID) {
	if failures := s.failures[job]; failures != nil && !failures.hasSucceeded {
		failures.hasSucceeded = true
		s.updateFaultyMachines(failures)
	}
}

// updateFaultyMachines runs updateFaulty for each machine that the job has failed on.
func (s *Shard) updateFaultyMachines(failures *jobFailures) {
	for id := range failures.lastFailure {
		if m := s.machines[id]; m != nil {
			s.updateFaulty(m)
		}
	}
	s.replanAll = true
}

// updateFaulty recomputes until when a machine is considered faulty. Errors of broken jobs do not
// count.
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

// avoids reports whether a job failed on the machine within avoidDuration.
func (s *Shard) avoids(now time.Duration, job model.JobID, m *machine) bool {
	failures := s.failures[job]
	if failures == nil {
		return false
	}
	at, ok := failures.lastFailure[m.ID]
	return ok && now-at < avoidDuration
}

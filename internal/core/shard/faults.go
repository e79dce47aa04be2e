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
	shunFor    = 30 * time.Second // a job keeps away from a machine that it failed on
	faultyFor  = time.Minute      // less than a job may wait beside room
	rememberIt = 5 * time.Minute
	faultyJobs = 2 // jobs, not held to be broken, that failed on a machine
	faultyRuns = 4 // errors of such jobs on a machine
)

type jobError struct {
	job model.JobID
	at  time.Duration
}

// record is what this shard has seen of a job that has failed.
type record struct {
	on map[model.MachineID]time.Duration // it failed there last
	ok bool                              // a task of it has completed since
}

// broken tells whether the job, not the machines, is held to be at fault.
func (r *record) broken() bool { return r != nil && !r.ok && len(r.on) >= model.BrokenJobMachines }

// blame notes an error of a job's task on a machine.
func (s *Shard) blame(now time.Duration, m *machine, job model.JobID) {
	r := s.records[job]
	if r == nil {
		r = &record{on: map[model.MachineID]time.Duration{}}
		s.records[job] = r
	}
	was := r.broken()
	r.on[m.ID] = now
	m.errors = slices.DeleteFunc(m.errors, func(e jobError) bool { return now-e.at > rememberIt })
	m.errors = append(m.errors, jobError{job, now})
	if was != r.broken() {
		s.rejudge(r)
	}
	s.judge(m)
}

// succeeded notes that a task of the job has completed: its errors were the
// machines'.
func (s *Shard) succeeded(job model.JobID) {
	if r := s.records[job]; r != nil && !r.ok {
		r.ok = true
		s.rejudge(r)
	}
}

func (s *Shard) rejudge(r *record) {
	for id := range r.on {
		if m := s.machines[id]; m != nil {
			s.judge(m)
		}
	}
	s.replan = true
}

// judge holds a machine to be faulty, or no longer.
func (s *Shard) judge(m *machine) {
	m.faultyUntil = 0
	jobs := map[model.JobID]bool{}
	n := 0
	var last time.Duration
	for _, e := range m.errors {
		if !s.records[e.job].broken() {
			jobs[e.job] = true
			n++
			last = e.at
		}
	}
	if len(jobs) >= faultyJobs || n >= faultyRuns {
		m.faultyUntil = last + faultyFor
	}
}

// shuns tells whether a job failed on the machine a moment ago.
func (s *Shard) shuns(now time.Duration, job model.JobID, m *machine) bool {
	r := s.records[job]
	if r == nil {
		return false
	}
	at, ok := r.on[m.ID]
	return ok && now-at < shunFor
}

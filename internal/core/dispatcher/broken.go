package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

// jobFailures is the evidence against a job since a task of it last completed. A job
// that fails on several machines without a success is held to be broken: its
// user made a mistake, and will cancel it some day. Until then one task at a time
// tries again, less and less often, for it must not take room, victims or
// machines from work that can succeed. One success clears it.
type jobFailures struct {
	machines   map[model.MachineID]bool // machines that it failed on
	broken     bool
	retryDelay time.Duration // until the next try
}

const (
	brokenMachinesAfterSuccess = 4 // machines that a job with completed tasks fails on; without: model.BrokenFrom
	minRetryDelay              = 2 * time.Second
	maxRetryDelay              = 2 * time.Minute
)

// taskFailed takes an error of a job's task on a machine.
func (d *Dispatcher) taskFailed(now time.Duration, j *job, machine model.MachineID) {
	failures := &j.failures
	if failures.machines == nil {
		failures.machines = map[model.MachineID]bool{}
	}
	failures.machines[machine] = true
	threshold := model.BrokenJobMachines
	if j.doneCount > 0 {
		threshold = brokenMachinesAfterSuccess
	}
	switch {
	case !failures.broken && len(failures.machines) >= threshold:
		failures.broken, failures.retryDelay = true, minRetryDelay
		d.newlyBroken = append(d.newlyBroken, j.spec.ID)
		d.broadcast(model.Order{Kind: model.RecallWaitingTasks, Job: j.spec.ID, Count: int(j.spec.Tasks)})
	case failures.broken && now >= j.blockedUntil:
		failures.retryDelay = min(2*failures.retryDelay, maxRetryDelay)
	}
	if failures.broken {
		j.blockedUntil = now + failures.retryDelay
	}
}

// probeCount is how many of n tasks a job that is held to be broken may be dealt. A
// service has no completed task to clear it: that its probe lives on does.
func (j *job) probeCount(now time.Duration, n int32) int32 {
	if len(j.assignments) == 0 {
		return min(1, n)
	}
	if j.spec.Daemon && now >= j.blockedUntil+maxRetryDelay/2 {
		j.failures = jobFailures{}
		return n
	}
	return 0
}

// IsJobBroken tells whether a job is held to be broken: its failures say nothing of machines.
func (d *Dispatcher) IsJobBroken(id model.JobID) bool {
	j := d.jobs[id]
	return j != nil && j.failures.broken
}

// BrokenJobCount counts the jobs held to be broken.
func (d *Dispatcher) BrokenJobCount() int {
	n := 0
	for _, j := range d.jobsBySubmission {
		if j.failures.broken && !j.ended {
			n++
		}
	}
	return n
}

// TakeBrokenJobs takes away the jobs newly held to be broken.
func (d *Dispatcher) TakeBrokenJobs() []model.JobID {
	b := d.newlyBroken
	d.newlyBroken = nil
	return b
}

package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

// jobFailures records a job's failures since one of its tasks last completed. A job that fails on
// several machines without a success is considered broken by a mistake of its user, who will cancel
// it eventually. Until then one task at a time is retried, at growing intervals, so that the job
// takes no capacity, evictions or machines from work that can succeed. One success clears the
// record.
type jobFailures struct {
	machines   map[model.MachineID]bool // machines that tasks failed on
	broken     bool
	retryDelay time.Duration // time until the next retry
}

const (
	brokenMachinesAfterSuccess = 4               // for a job with completed tasks; without any: model.BrokenJobMachines
	minRetryDelay              = 2 * time.Second // the first delay of a broken job; it doubles with each failed retry
	maxRetryDelay              = 2 * time.Minute
)

// taskFailed records an error of a job's task on a machine. It marks the job as broken once it has
// failed on enough machines, and doubles the retry delay of a broken job.
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

// retryCount returns how many of n tasks of a broken job may be dispatched: one if none is
// assigned. A daemon has no completed task that could clear its failures, so they are cleared once
// the retried task is still assigned half of maxRetryDelay after the retry delay ended.
func (j *job) retryCount(now time.Duration, n int32) int32 {
	if len(j.assignments) == 0 {
		return min(1, n)
	}
	if j.spec.Daemon && now >= j.blockedUntil+maxRetryDelay/2 {
		j.failures = jobFailures{}
		return n
	}
	return 0
}

// IsJobBroken reports whether a job is considered broken. Its failures are no evidence against
// machines.
func (d *Dispatcher) IsJobBroken(id model.JobID) bool {
	j := d.jobs[id]
	return j != nil && j.failures.broken
}

// BrokenJobCount returns the number of open jobs considered broken.
func (d *Dispatcher) BrokenJobCount() int {
	n := 0
	for _, j := range d.jobsBySubmission {
		if j.failures.broken && !j.ended {
			n++
		}
	}
	return n
}

// TakeBrokenJobs returns the jobs that became broken since the last call.
func (d *Dispatcher) TakeBrokenJobs() []model.JobID {
	b := d.newlyBroken
	d.newlyBroken = nil
	return b
}

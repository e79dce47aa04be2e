package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

// trouble is the evidence against a job since a task of it last completed. A job
// that fails on several machines without a success is held to be broken: its
// user made a mistake, and will cancel it some day. Until then one task at a time
// tries again, less and less often, for it must not take room, victims or
// machines from work that can succeed. One success clears it.
type trouble struct {
	on     map[model.MachineID]bool // machines that it failed on
	broken bool
	pause  time.Duration // until the next try
}

const (
	brokenProven = 4 // machines that a job with completed tasks fails on; without: model.BrokenFrom
	firstPause   = 2 * time.Second
	longestPause = 2 * time.Minute
)

// failed takes an error of a job's task on a machine.
func (d *Dispatcher) failed(now time.Duration, j *job, on model.MachineID) {
	t := &j.trouble
	if t.on == nil {
		t.on = map[model.MachineID]bool{}
	}
	t.on[on] = true
	enough := model.BrokenJobMachines
	if j.nDone > 0 {
		enough = brokenProven
	}
	switch {
	case !t.broken && len(t.on) >= enough:
		t.broken, t.pause = true, firstPause
		d.broken = append(d.broken, j.spec.ID)
		d.toAll(model.Order{Kind: model.RecallWaitingTasks, Job: j.spec.ID, Count: int(j.spec.Tasks)})
	case t.broken && now >= j.blocked:
		t.pause = min(2*t.pause, longestPause)
	}
	if t.broken {
		j.blocked = now + t.pause
	}
}

// probe is how many of n tasks a job that is held to be broken may be dealt. A
// service has no completed task to clear it: that its probe lives on does.
func (j *job) probe(now time.Duration, n int32) int32 {
	if len(j.held) == 0 {
		return min(1, n)
	}
	if j.spec.Daemon && now >= j.blocked+longestPause/2 {
		j.trouble = trouble{}
		return n
	}
	return 0
}

// IsJobBroken tells whether a job is held to be broken: its failures say nothing of machines.
func (d *Dispatcher) IsJobBroken(id model.JobID) bool {
	j := d.jobs[id]
	return j != nil && j.trouble.broken
}

// BrokenJobCount counts the jobs held to be broken.
func (d *Dispatcher) BrokenJobCount() int {
	n := 0
	for _, j := range d.inOrder {
		if j.trouble.broken && !j.ended {
			n++
		}
	}
	return n
}

// TakeBrokenJobs takes away the jobs newly held to be broken.
func (d *Dispatcher) TakeBrokenJobs() []model.JobID {
	b := d.broken
	d.broken = nil
	return b
}

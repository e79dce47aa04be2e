package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Job is the part of a user's job description that workers need.
type Job struct {
	NameId, Comb, Colony, Shape, Rank, Wax string
	Cells                                  int
	Cpus, Accelerators, MemGb, ImageGb     float64
	ForageS, CapIntervalS, CapS            float64
	// AskedMs is when its user first tried to submit it, by the clock of a scale run; 0 if
	// it is not known.
	AskedMs int64
	// Residual: its tasks count as having run for some time already when they start.
	Residual bool
}

// Run is one attempt of a task on a machine, for checks and reports.
type Run struct {
	Task, Machine      string
	Attempt            uint64
	StartedAt, EndedAt time.Time // EndedAt is zero while it runs
	Cause              string
	job                *Job
}

// Depot keeps what outlives a machine: job descriptions, results and saved progress. It also
// records which task runs on which machine, and so detects a task that runs on two machines
// at a time and a team that exceeds its limit.
type Depot struct {
	// Look returns the description of a job that is not known yet, nil if there is none.
	Look func(name string) []byte
	// Factor returns a task's run time divided by its estimate; nil means 1.
	Factor func(j *Job, task string) float64
	// AttemptFails reports whether an attempt of a task ends with an error; nil means never.
	AttemptFails func(task, machine string) bool
	// Started is called for each task that starts to run; it may be nil.
	Started func(j *Job, at time.Time)
	// LimitCPUs are the teams' CPU limits; a team without an entry has no limit.
	LimitCPUs map[string]float64
	// Brief: no list of attempts is kept, to save memory in runs with very many.
	Brief bool

	mu         sync.Mutex
	jobs       map[string]*Job
	completed  map[string]bool
	saved      map[string]time.Duration
	machineOf  map[string]string // task -> machine
	runs       []*Run
	violations []string
	usedCPUs   map[string]float64 // CPUs of running tasks, by team
}

// NewDepot returns an empty registry.
func NewDepot() *Depot {
	return &Depot{jobs: map[string]*Job{}, completed: map[string]bool{}, saved: map[string]time.Duration{},
		machineOf: map[string]string{}, usedCPUs: map[string]float64{}}
}

// job returns a job's description, or nil if the job has not been submitted.
func (d *Depot) job(name string) *Job {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j := d.jobs[name]; j != nil || d.Look == nil {
		return j
	}
	raw := d.Look(name)
	if raw == nil {
		return nil
	}
	var j Job
	if json.Unmarshal(raw, &j) != nil {
		return nil
	}
	d.jobs[name] = &j
	return &j
}

// runTimeFactor returns a task's run time divided by its estimate.
func (d *Depot) runTimeFactor(j *Job, task string) float64 {
	if d.Factor == nil {
		return 1
	}
	return d.Factor(j, task)
}

// attemptFails reports whether an attempt of a task is to end with an error.
func (d *Depot) attemptFails(task, machine string) bool {
	return d.AttemptFails != nil && d.AttemptFails(task, machine)
}

// startRun records that a task starts to run on a machine. It returns the task's saved
// progress and whether the task has already completed.
func (d *Depot) startRun(j *Job, task, machine string, attempt uint64) (r *Run, saved time.Duration, completed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if other, ok := d.machineOf[task]; ok && other != machine {
		d.violations = append(d.violations, fmt.Sprintf("task %s starts on %s while it runs on %s", task, machine, other))
	}
	d.machineOf[task] = machine
	r = &Run{Task: task, Machine: machine, Attempt: attempt, StartedAt: time.Now(), job: j}
	if !d.Brief {
		d.runs = append(d.runs, r)
	}
	d.usedCPUs[j.Colony] += j.Cpus
	if limit := d.LimitCPUs[j.Colony]; limit > 0 && d.usedCPUs[j.Colony] > limit+1e-6 {
		d.violations = append(d.violations, fmt.Sprintf("team %s uses %.1f CPUs with task %s, above its limit of %.1f",
			j.Colony, d.usedCPUs[j.Colony], task,
			limit))
	}
	if d.Started != nil {
		d.Started(j, r.StartedAt)
	}
	return r, d.saved[task], d.completed[task]
}

// endRun records that a task no longer runs on its machine.
func (d *Depot) endRun(r *Run, cause string, progress time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.EndedAt, r.Cause = time.Now(), cause
	d.usedCPUs[r.job.Colony] -= r.job.Cpus
	if d.machineOf[r.Task] == r.Machine {
		delete(d.machineOf, r.Task)
	}
	if cause == "done" {
		d.completed[r.Task] = true
	}
	d.saved[r.Task] = max(d.saved[r.Task], progress)
}

// Broken describes the violations so far: a task that ran on two machines at a time, or a
// team above its limit.
func (d *Depot) Broken() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.violations...)
}

// OnMachines returns the number of tasks that are running now.
func (d *Depot) OnMachines() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.machineOf)
}

// Runs returns all attempts so far, the earliest first.
func (d *Depot) Runs() []Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Run, len(d.runs))
	for i, r := range d.runs {
		out[i] = *r
	}
	return out
}

// Running returns the number of a job's tasks that are running now.
func (d *Depot) Running(job string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for t := range d.machineOf {
		if strings.HasPrefix(t, job+"/") {
			n++
		}
	}
	return n
}

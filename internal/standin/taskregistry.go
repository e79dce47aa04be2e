package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Job is what a worker must know of a job: the user's description.
type Job struct {
	NameId, Comb, Colony, Shape, Rank, Wax string
	Cells                                  int
	Cpus, Accelerators, MemGb, ImageGb     float64
	ForageS, CapIntervalS, CapS            float64
	// AskedMs is when its user first tried to submit it, by the clock of a scale run; 0:
	// not told.
	AskedMs int64
	// Residual: its tasks are taken to have run for a while when they start.
	Residual bool
}

// Run is one attempt of a task on a machine, for checkers and reports.
type Run struct {
	Task, Machine      string
	Attempt            uint64
	StartedAt, EndedAt time.Time // Ended is zero while it runs
	Cause              string
	job                *Job
}

// Depot is what lives outside the machines: descriptions of jobs, results and
// saved progress, and what is where, which proves or disproves that a task never
// runs twice at a time.
type Depot struct {
	// Look finds the description of a job that nobody has uploaded, nil if there
	// is none.
	Look func(name string) []byte
	// Factor is how much longer than estimated a task runs; nil: 1.
	Factor func(j *Job, task string) float64
	// AttemptFails tells whether an attempt of a task ends with an error; nil: never.
	AttemptFails func(task, machine string) bool
	// Started hears of each task that comes onto a machine; nil: nobody asks.
	Started func(j *Job, at time.Time)
	// LimitCPUs are the teams' limits; a team without one has none.
	LimitCPUs map[string]float64
	// Brief: attempts that have ended are forgotten, for runs with very many.
	Brief bool

	mu         sync.Mutex
	jobs       map[string]*Job
	completed  map[string]bool
	saved      map[string]time.Duration
	machineOf  map[string]string // task -> machine
	runs       []*Run
	violations []string
	usedCPUs   map[string]float64 // CPUs on machines, by team
}

// NewDepot returns an empty depot.
func NewDepot() *Depot {
	return &Depot{jobs: map[string]*Job{}, completed: map[string]bool{}, saved: map[string]time.Duration{},
		machineOf: map[string]string{}, usedCPUs: map[string]float64{}}
}

// job returns a job's description, nil if it has not been submitted.
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

func (d *Depot) runTimeFactor(j *Job, task string) float64 {
	if d.Factor == nil {
		return 1
	}
	return d.Factor(j, task)
}

func (d *Depot) attemptFails(task, machine string) bool {
	return d.AttemptFails != nil && d.AttemptFails(task, machine)
}

// startRun notes that a task is on a machine, and returns what it had saved.
func (d *Depot) startRun(j *Job, task, machine string, attempt uint64) (r *Run, saved time.Duration, completed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if other, ok := d.machineOf[task]; ok && other != machine {
		d.violations = append(d.violations, fmt.Sprintf("%s starts on %s while it is on %s", task, machine, other))
	}
	d.machineOf[task] = machine
	r = &Run{Task: task, Machine: machine, Attempt: attempt, StartedAt: time.Now(), job: j}
	if !d.Brief {
		d.runs = append(d.runs, r)
	}
	d.usedCPUs[j.Colony] += j.Cpus
	if limit := d.LimitCPUs[j.Colony]; limit > 0 && d.usedCPUs[j.Colony] > limit+1e-6 {
		d.violations = append(d.violations, fmt.Sprintf("%s uses %.1f CPUs with %s, more than %.1f", j.Colony, d.usedCPUs[j.Colony], task,
			limit))
	}
	if d.Started != nil {
		d.Started(j, r.StartedAt)
	}
	return r, d.saved[task], d.completed[task]
}

// endRun notes that a task has left its machine.
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

// Broken tells of tasks that ran on two machines at a time.
func (d *Depot) Broken() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.violations...)
}

// OnMachines counts the tasks that are on machines now.
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

// Running counts the tasks of a job that are on machines now.
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

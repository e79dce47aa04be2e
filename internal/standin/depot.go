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
	Task, Machine string
	Attempt       uint64
	Began, Ended  time.Time // Ended is zero while it runs
	Cause         string
	job           *Job
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
	// Fails tells whether an attempt of a task ends with an error; nil: never.
	Fails func(task, machine string) bool
	// Started hears of each task that comes onto a machine; nil: nobody asks.
	Started func(j *Job, at time.Time)
	// LimitCPUs are the teams' limits; a team without one has none.
	LimitCPUs map[string]float64
	// Brief: attempts that have ended are forgotten, for runs with very many.
	Brief bool

	mu     sync.Mutex
	jobs   map[string]*Job
	done   map[string]bool
	saved  map[string]time.Duration
	on     map[string]string // task -> machine
	runs   []*Run
	broken []string
	used   map[string]float64 // CPUs on machines, by team
}

// NewDepot returns an empty depot.
func NewDepot() *Depot {
	return &Depot{jobs: map[string]*Job{}, done: map[string]bool{}, saved: map[string]time.Duration{},
		on: map[string]string{}, used: map[string]float64{}}
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

func (d *Depot) factor(j *Job, task string) float64 {
	if d.Factor == nil {
		return 1
	}
	return d.Factor(j, task)
}

func (d *Depot) fails(task, machine string) bool { return d.Fails != nil && d.Fails(task, machine) }

// begin notes that a task is on a machine, and returns what it had saved.
func (d *Depot) begin(j *Job, task, machine string, attempt uint64) (r *Run, saved time.Duration, done bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if other, ok := d.on[task]; ok && other != machine {
		d.broken = append(d.broken, fmt.Sprintf("%s starts on %s while it is on %s", task, machine, other))
	}
	d.on[task] = machine
	r = &Run{Task: task, Machine: machine, Attempt: attempt, Began: time.Now(), job: j}
	if !d.Brief {
		d.runs = append(d.runs, r)
	}
	d.used[j.Colony] += j.Cpus
	if most := d.LimitCPUs[j.Colony]; most > 0 && d.used[j.Colony] > most+1e-6 {
		d.broken = append(d.broken, fmt.Sprintf("%s uses %.1f CPUs with %s, more than %.1f", j.Colony, d.used[j.Colony], task,
			most))
	}
	if d.Started != nil {
		d.Started(j, r.Began)
	}
	return r, d.saved[task], d.done[task]
}

// end notes that a task has left its machine.
func (d *Depot) end(r *Run, cause string, progress time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Ended, r.Cause = time.Now(), cause
	d.used[r.job.Colony] -= r.job.Cpus
	if d.on[r.Task] == r.Machine {
		delete(d.on, r.Task)
	}
	if cause == "done" {
		d.done[r.Task] = true
	}
	d.saved[r.Task] = max(d.saved[r.Task], progress)
}

// Broken tells of tasks that ran on two machines at a time.
func (d *Depot) Broken() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.broken...)
}

// OnMachines counts the tasks that are on machines now.
func (d *Depot) OnMachines() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.on)
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
	for t := range d.on {
		if strings.HasPrefix(t, job+"/") {
			n++
		}
	}
	return n
}

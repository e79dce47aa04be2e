package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"honeylock/internal/exactjson"
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

// TaskRegistry keeps what outlives a machine: job descriptions, results and saved progress. It also
// records which task runs on which machine, and so detects a task that runs on two machines
// at a time and a team that exceeds its limit.
type TaskRegistry struct {
	// FindJob returns the description of a job that is not known yet, nil if there is none.
	FindJob func(name string) []byte
	// RunTimeFactor returns a task's run time divided by its estimate; nil means 1.
	RunTimeFactor func(j *Job, task string) float64
	// AttemptFails reports whether an attempt of a task ends with an error; nil means never.
	AttemptFails func(task, machine string) bool
	// OnStart is called for each task that starts to run; it may be nil.
	OnStart func(j *Job, at time.Time)
	// LimitCPUs are the teams' CPU limits; a team without an entry has no limit.
	LimitCPUs map[string]float64
	// DiscardEnded: no list of attempts is kept, to save memory in runs with very many.
	DiscardEnded bool

	mu         sync.Mutex
	jobs       map[string]*Job
	completed  map[string]bool
	saved      map[string]time.Duration
	machineOf  map[string]string // task -> machine
	runs       []*Run
	violations []string
	usedCPUs   map[string]float64 // CPUs of running tasks, by team
}

// NewTaskRegistry returns an empty registry.
func NewTaskRegistry() *TaskRegistry {
	return &TaskRegistry{jobs: map[string]*Job{}, completed: map[string]bool{}, saved: map[string]time.Duration{},
		machineOf: map[string]string{}, usedCPUs: map[string]float64{}}
}

// job returns a job's description, or nil if the job has not been submitted.
func (reg *TaskRegistry) job(name string) *Job {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if j := reg.jobs[name]; j != nil || reg.FindJob == nil {
		return j
	}
	raw := reg.FindJob(name)
	if raw == nil {
		return nil
	}
	var j Job
	if exactjson.Unmarshal(raw, &j) != nil {
		return nil
	}
	reg.jobs[name] = &j
	return &j
}

// runTimeFactor returns a task's run time divided by its estimate.
func (reg *TaskRegistry) runTimeFactor(j *Job, task string) float64 {
	if reg.RunTimeFactor == nil {
		return 1
	}
	return reg.RunTimeFactor(j, task)
}

// attemptFails reports whether an attempt of a task is to end with an error.
func (reg *TaskRegistry) attemptFails(task, machine string) bool {
	return reg.AttemptFails != nil && reg.AttemptFails(task, machine)
}

// startRun records that a task starts to run on a machine. It returns the task's saved
// progress and whether the task has already completed.
func (reg *TaskRegistry) startRun(j *Job, task, machine string,
	attempt uint64) (r *Run, saved time.Duration, completed bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if other, ok := reg.machineOf[task]; ok && other != machine {
		reg.violations = append(reg.violations, fmt.Sprintf("task %s starts on %s while it runs on %s", task, machine, other))
	}
	reg.machineOf[task] = machine
	r = &Run{Task: task, Machine: machine, Attempt: attempt, StartedAt: time.Now(), job: j}
	if !reg.DiscardEnded {
		reg.runs = append(reg.runs, r)
	}
	reg.usedCPUs[j.Colony] += j.Cpus
	if limit := reg.LimitCPUs[j.Colony]; limit > 0 && reg.usedCPUs[j.Colony] > limit+1e-6 {
		reg.violations = append(reg.violations, fmt.Sprintf("team %s uses %.1f CPUs with task %s, above its limit of %.1f",
			j.Colony, reg.usedCPUs[j.Colony], task,
			limit))
	}
	if reg.OnStart != nil {
		reg.OnStart(j, r.StartedAt)
	}
	return r, reg.saved[task], reg.completed[task]
}

// endRun records that a task no longer runs on its machine.
func (reg *TaskRegistry) endRun(r *Run, cause string, progress time.Duration) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	r.EndedAt, r.Cause = time.Now(), cause
	reg.usedCPUs[r.job.Colony] -= r.job.Cpus
	if reg.machineOf[r.Task] == r.Machine {
		delete(reg.machineOf, r.Task)
	}
	if cause == "done" {
		reg.completed[r.Task] = true
	}
	reg.saved[r.Task] = max(reg.saved[r.Task], progress)
}

// Violations describes the violations so far: a task that ran on two machines at a time, or a
// team above its limit.
func (reg *TaskRegistry) Violations() []string {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return append([]string(nil), reg.violations...)
}

// TotalRunning returns the number of tasks that are running now.
func (reg *TaskRegistry) TotalRunning() int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return len(reg.machineOf)
}

// Runs returns all attempts so far, the earliest first.
func (reg *TaskRegistry) Runs() []Run {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	out := make([]Run, len(reg.runs))
	for i, r := range reg.runs {
		out[i] = *r
	}
	return out
}

// RunningTasks returns the number of a job's tasks that are running now.
func (reg *TaskRegistry) RunningTasks(job string) int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	n := 0
	for t := range reg.machineOf {
		if strings.HasPrefix(t, job+"/") {
			n++
		}
	}
	return n
}

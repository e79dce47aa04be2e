// Package forecast predicts what a drain plan would do to the jobs that are open. It simulates the
// cluster from one snapshot several times, each time once without the plan and once with it.
// Placement, eviction and demotion are done by a shard's own code (shard.Simulation), and the plan is
// carried out by the engine that would carry it out in the cluster (package drain). A forecast changes
// nothing outside the simulation.
//
// It assumes no new jobs, and rents no machines except those that the plan rents.
package forecast

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
	"honeylock/internal/core/shard"
)

// Machine is a machine in a snapshot.
type Machine struct {
	model.Machine
	Usable bool // it may get tasks
	Tasks  []model.PlacedTask
}

// Job is an open job in a snapshot.
type Job struct {
	Spec            *model.Spec
	UnfinishedTasks int           // tasks not done
	WaitingSince    time.Duration // when it began to wait
}

// Snapshot is the state of the cluster from which a forecast starts.
type Snapshot struct {
	Now           time.Duration
	Wall          time.Time
	Machines      []Machine
	Jobs          []Job // in the order of submission
	Teams         []dispatcher.Team
	RunTimeFactor func(class model.Name, quantile float64) float64
	BootTime      func(machineType model.Name) time.Duration
	JobName       func(model.JobID) string // for messages
	Shard         shard.Params
}

// Params are the settings of a forecast.
type Params struct {
	Runs        int           // number of simulated runs, each with other random run times
	Step        time.Duration // simulated time between decisions
	MaxDuration time.Duration // simulated time after which a run stops
	PatchTime   time.Duration // how long an operator takes to patch a machine
	Seed        uint64
}

// StartPlan applies the plan to the engine of a simulation.
type StartPlan func(e *drain.Engine, now time.Duration, wall time.Time) error

// Forecast is a forecast under way. It is computed in small steps, so that it does not block its
// caller.
type Forecast struct {
	params         Params
	snapshot       *Snapshot
	startPlan      StartPlan
	spec           *drain.Spec
	runIndex       int                                // of the present run
	baseline       *run                               // present run without the plan, nil: not started
	withPlan       *run                               // present run with the plan, nil: not started
	ends           [][2]map[model.JobID]time.Duration // of each run: when jobs ended, without and with the plan
	costs          []map[model.JobID]cost             // of each run: what the plan cost each job
	durations      []time.Duration                    // of each run: how long the plan took
	unfinished     string                             // what the plan waited for at the end of the last run
	guaranteeWaits [][2][]time.Duration               // of each run: longest waits by team, without and with the plan
	err            error
}

// New prepares a forecast of a plan.
func New(p Params, s *Snapshot, spec *drain.Spec, plan StartPlan) *Forecast {
	return &Forecast{params: p, snapshot: s, startPlan: plan, spec: spec}
}

// Advance computes one step, and returns true once the forecast is complete.
func (f *Forecast) Advance() (done bool) {
	switch {
	case f.err != nil || f.runIndex >= f.params.Runs:
		return true
	case f.baseline == nil:
		f.baseline = newRun(f, nil)
	case !f.baseline.done:
		f.baseline.step()
	case f.withPlan == nil:
		f.baseline.simulation = nil // frees its memory, which is large
		f.withPlan = newRun(f, f.startPlan)
	case !f.withPlan.done:
		f.withPlan.step()
	default:
		f.ends = append(f.ends, [2]map[model.JobID]time.Duration{f.baseline.jobEnds, f.withPlan.jobEnds})
		f.costs = append(f.costs, f.withPlan.costs)
		f.guaranteeWaits = append(f.guaranteeWaits, [2][]time.Duration{f.baseline.guaranteeWaits, f.withPlan.guaranteeWaits})
		f.durations = append(f.durations, f.withPlan.planDuration)
		f.unfinished = f.withPlan.blockedReason
		f.baseline, f.withPlan = nil, nil
		f.runIndex++
	}
	return f.err != nil || f.runIndex >= f.params.Runs
}

// Progress estimates how much of the forecast has been computed, from 0 to 1.
func (f *Forecast) Progress() float64 {
	fraction := 0.0
	if f.baseline != nil {
		fraction += 0.5 * f.baseline.progress()
	}
	if f.withPlan != nil {
		fraction += 0.5 * f.withPlan.progress()
	}
	return min(1, (float64(f.runIndex)+fraction)/float64(max(1, f.params.Runs)))
}

// Err returns why the plan can't be simulated.
func (f *Forecast) Err() error { return f.err }

// randomQuantile returns a random number from 0 to 1 for a task in the present run: the quantile of its
// run time. It is the same without and with the plan, so that the two differ by the plan alone.
func (f *Forecast) randomQuantile(t model.Task) float64 {
	rng := rand.New(rand.NewPCG(f.params.Seed+uint64(f.runIndex)*7919, uint64(t.Job)<<20^uint64(t.Index)))
	return rng.Float64()
}

// cost is what a plan costs a job's tasks.
type cost struct {
	moved         int           // number of moves
	lost, refetch time.Duration // run time lost, and time to fetch images again
}

// DelayedJob is a job that the plan delays. End and Delay hold the minimum, median and maximum over
// all runs.
type DelayedJob struct {
	Spec           *model.Spec
	End            [3]time.Duration // with the plan, from the start of the forecast
	Delay          [3]time.Duration
	Reason         string
	MissesDeadline bool   // it would end past its deadline with the plan, but not without
	Window         string // window of the plan that it would miss; "": none
	MovedTasks     int
}

// GuaranteeWait is a team whose tasks would wait for capacity within its guarantee for much longer
// with the plan than without.
type GuaranteeWait struct {
	Team          model.Name
	Without, With time.Duration // longest wait for capacity
}

// Result is the result of a forecast.
type Result struct {
	Delayed    []DelayedJob     // by median delay, the longest first
	Duration   [3]time.Duration // of the plan: minimum, median, maximum
	Unfinished string           // what the plan waits for at the end; "": it ends
	Guarantees []GuaranteeWait
	Jobs       int // number of open jobs
	Runs       int // number of runs
}

// minMedianMax returns the minimum, median and maximum. It sorts its argument.
func minMedianMax(durations []time.Duration) [3]time.Duration {
	if len(durations) == 0 {
		return [3]time.Duration{}
	}
	slices.Sort(durations)
	return [3]time.Duration{durations[0], durations[len(durations)/2], durations[len(durations)-1]}
}

// Result summarizes all runs.
func (f *Forecast) Result() *Result {
	out := &Result{Runs: len(f.ends), Jobs: len(f.snapshot.Jobs), Duration: minMedianMax(slices.Clone(f.durations)),
		Unfinished: f.unfinished}
	for i := range f.snapshot.Jobs {
		if delayed, ok := f.delayOf(f.snapshot.Jobs[i].Spec); ok {
			out.Delayed = append(out.Delayed, delayed)
		}
	}
	slices.SortStableFunc(out.Delayed, func(a, b DelayedJob) int { return cmp.Compare(b.Delay[1], a.Delay[1]) })
	for t := range f.snapshot.Teams {
		g := GuaranteeWait{Team: model.Name(t)}
		for _, w := range f.guaranteeWaits {
			g.Without, g.With = max(g.Without, w[0][t]), max(g.With, w[1][t])
		}
		if g.With > 2*g.Without+5*time.Second {
			out.Guarantees = append(out.Guarantees, g)
		}
	}
	return out
}

// minDelay is the shortest median delay for which a job counts as delayed. Shorter ones may be due to
// chance.
const minDelay = 2 * time.Second

// delayOf summarizes a job's delays. It returns false if the plan does not delay the job.
func (f *Forecast) delayOf(spec *model.Spec) (DelayedJob, bool) {
	delayed := DelayedJob{Spec: spec}
	var ends, delays []time.Duration
	var total cost
	missedDeadline, pastWindow := 0, 0
	deadline := f.deadline(spec)
	limit, window, _ := f.spec.Limit(spec)
	until := f.snapshot.sinceStart(limit)
	for i, runEnds := range f.ends {
		without, endsWithout := runEnds[0][spec.ID]
		with, endsWith := runEnds[1][spec.ID]
		if !endsWithout {
			continue // it did not end without the plan, so there is nothing to compare
		}
		if !endsWith {
			with = f.params.MaxDuration // it did not end within the simulated time
		}
		ends, delays = append(ends, with), append(delays, with-without)
		jobCost := f.costs[i][spec.ID]
		total = cost{total.moved + jobCost.moved, total.lost + jobCost.lost, total.refetch + jobCost.refetch}
		if deadline > 0 && with > deadline && without <= deadline {
			missedDeadline++
		}
		if window != "" && with > until && without <= until {
			pastWindow++
		}
	}
	if 2*pastWindow > len(delays) {
		delayed.Window = window
	}
	if len(delays) == 0 {
		return delayed, false
	}
	delayed.End, delayed.Delay = minMedianMax(ends), minMedianMax(delays)
	delayed.MovedTasks = total.moved / len(delays)
	delayed.MissesDeadline = 2*missedDeadline > len(delays)
	delayed.Reason = total.delayReason()
	return delayed, delayed.Delay[1] >= minDelay
}

// deadline returns the job's deadline, from the start of the forecast; 0: none.
func (f *Forecast) deadline(spec *model.Spec) time.Duration {
	if spec.Deadline == 0 {
		return 0
	}
	return max(1, f.snapshot.sinceStart(time.UnixMilli(spec.SubmittedMS).Add(spec.Deadline)))
}

// sinceStart returns how long after the snapshot a time of day is.
func (s *Snapshot) sinceStart(t time.Time) time.Duration { return t.Sub(s.Wall) }

// delayReason returns what delays a job most.
func (c cost) delayReason() string {
	switch {
	case c.moved == 0:
		return "waits for room"
	case c.lost >= c.refetch && c.lost > 0:
		return "loses progress"
	case c.refetch > 0:
		return "fetches its image again"
	}
	return "moves"
}

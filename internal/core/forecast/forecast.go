// Package forecast tells what a drain plan would do to the jobs that are open. It
// plays the cluster on from one snapshot, once without the plan and once with it,
// several times over: placing, evicting and demoting is done by a shard's own code
// (shard.Rehearsal), and the plan is carried out by the engine that would carry it
// out (core/drain). Nothing of it acts.
//
// It knows no jobs to come, and rents nothing but what the plan rents.
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

// Machine of a snapshot.
type Machine struct {
	model.Machine
	Usable bool // it may get tasks
	Tasks  []model.PlacedTask
}

// Job of a snapshot.
type Job struct {
	Spec            *model.Spec
	UnfinishedTasks int // tasks not done
	Since           time.Duration
}

// Snapshot is the present that a forecast begins with.
type Snapshot struct {
	Now           time.Duration
	Wall          time.Time
	Machines      []Machine
	Jobs          []Job // in the order of submission
	Teams         []dispatcher.Team
	RunTimeFactor func(class model.Name, quantile float64) float64
	BootTime      func(machineType model.Name) time.Duration
	JobName       func(model.JobID) string // for people
	Shard         shard.Params
}

// Params of a forecast.
type Params struct {
	Runs        int           // times that it is played, each with other luck
	Step        time.Duration // decisions are made so often
	MaxDuration time.Duration // nothing is played on for longer
	PatchTime   time.Duration // a machine is patched in so long
	Seed        uint64
}

// StartPlan begins the plan in an engine of its own.
type StartPlan func(e *drain.Engine, now time.Duration, wall time.Time) error

// Forecast is played on bit by bit, so that it holds nothing up.
type Forecast struct {
	params         Params
	snapshot       *Snapshot
	startPlan      StartPlan
	spec           *drain.Spec
	runIndex       int
	baseline       *run // of the present play, nil: not begun
	withPlan       *run
	ends           [][2]map[model.JobID]time.Duration // of each play: without and with
	costs          []map[model.JobID]cost
	durations      []time.Duration
	unfinished     string
	guaranteeWaits [][2][]time.Duration // of each play: the longest wait within guarantees, by team
	err            error
}

// New prepares a forecast of a plan.
func New(p Params, s *Snapshot, spec *drain.Spec, plan StartPlan) *Forecast {
	return &Forecast{params: p, snapshot: s, startPlan: plan, spec: spec}
}

// Advance plays on a little; true tells that the forecast is complete.
func (f *Forecast) Advance() (done bool) {
	switch {
	case f.err != nil || f.runIndex >= f.params.Runs:
		return true
	case f.baseline == nil:
		f.baseline = newRun(f, nil)
	case !f.baseline.done:
		f.baseline.step()
	case f.withPlan == nil:
		f.baseline.simulation = nil // its books are large
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

// Progress is how much has been played, 0 to 1.
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

// Err is why the plan can't be played.
func (f *Forecast) Err() error { return f.err }

// randomQuantile is a number of 0 to 1 for a task in a play: the same without and with the
// plan, so that they differ by the plan alone.
func (f *Forecast) randomQuantile(t model.Task) float64 {
	rng := rand.New(rand.NewPCG(f.params.Seed+uint64(f.runIndex)*7919, uint64(t.Job)<<20^uint64(t.Index)))
	return rng.Float64()
}

// cost is what a plan does to a job's tasks.
type cost struct {
	moved         int
	lost, refetch time.Duration
}

// DelayedJob is a job that the plan delays.
type DelayedJob struct {
	Spec           *model.Spec
	End            [3]time.Duration // with the plan, from now: least, middle, most
	Delay          [3]time.Duration
	Reason         string
	MissesDeadline bool   // it would end past its deadline, and would not without the plan
	Window         string // of the plan, that it would be pushed past; "": none
	MovedTasks     int
}

// GuaranteeWait of a team that would not hold as it does.
type GuaranteeWait struct {
	Team          model.Name
	Without, With time.Duration // the longest wait for room within it
}

// Result of a forecast.
type Result struct {
	Delayed    []DelayedJob // the longest delay first
	Duration   [3]time.Duration
	Unfinished string // what the plan waits for at the end, if it does not end
	Guarantees []GuaranteeWait
	Jobs       int
	Runs       int
}

// minMedianMax are the least, the middle and the most.
func minMedianMax(durations []time.Duration) [3]time.Duration {
	if len(durations) == 0 {
		return [3]time.Duration{}
	}
	slices.Sort(durations)
	return [3]time.Duration{durations[0], durations[len(durations)/2], durations[len(durations)-1]}
}

// Result sums up what was played.
func (f *Forecast) Result() *Result {
	out := &Result{Runs: len(f.ends), Jobs: len(f.snapshot.Jobs), Duration: minMedianMax(slices.Clone(f.durations)),
		Unfinished: f.unfinished}
	for i := range f.snapshot.Jobs {
		if l, ok := f.delayOf(f.snapshot.Jobs[i].Spec); ok {
			out.Delayed = append(out.Delayed, l)
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

// minDelay is the delay that a job counts as late from: less is luck.
const minDelay = 2 * time.Second

// delayOf sums up one job; false tells that the plan does not delay it.
func (f *Forecast) delayOf(spec *model.Spec) (DelayedJob, bool) {
	delayed := DelayedJob{Spec: spec}
	var ends, delays []time.Duration
	var total cost
	missed, pastWindow := 0, 0
	deadline := f.deadline(spec)
	limit, window, _ := f.spec.Limit(spec)
	until := f.snapshot.sinceStart(limit)
	for i, e := range f.ends {
		without, endsWithout := e[0][spec.ID]
		with, endsWith := e[1][spec.ID]
		if !endsWithout {
			continue // nothing can be said
		}
		if !endsWith {
			with = f.params.MaxDuration // it did not end while it was played
		}
		ends, delays = append(ends, with), append(delays, with-without)
		c := f.costs[i][spec.ID]
		total = cost{total.moved + c.moved, total.lost + c.lost, total.refetch + c.refetch}
		if deadline > 0 && with > deadline && without <= deadline {
			missed++
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
	delayed.MissesDeadline = 2*missed > len(delays)
	delayed.Reason = total.delayReason()
	return delayed, delayed.Delay[1] >= minDelay
}

// deadline of a job, from now; 0: none.
func (f *Forecast) deadline(spec *model.Spec) time.Duration {
	if spec.Deadline == 0 {
		return 0
	}
	return max(1, f.snapshot.sinceStart(time.UnixMilli(spec.SubmittedMS).Add(spec.Deadline)))
}

// sinceStart is how long after the snapshot a time of day is.
func (s *Snapshot) sinceStart(t time.Time) time.Duration { return t.Sub(s.Wall) }

// delayReason a job is late: what costs its tasks most.
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

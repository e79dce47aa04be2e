// Package disruption keeps what teams lose by our own doing within budgets: how much of
// their work is out at once, and how much is lost in a window of time. Whatever moves
// running work of its own accord draws from a budget before it acts. What evictions and
// failures take eats of the same budgets without asking, so that what can wait yields.
//
// It is a state machine of the leader's, without input or output; times are the steady
// clock's. Nothing of it is stored: a leader that begins counts as out whatever it can't
// tell to be at work, which can only be too much (docs/disruption.md).
package disruption

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Budget of one team, or of one class of its work. A zero amount bounds nothing.
type Budget struct {
	Team         model.Name
	Class        model.Name    // None: all
	MaxTasks     int           // out at once
	MaxShare     float64       // of the running tasks, out at once: one at least
	MaxCPU       int64         // out at once, in thousandths
	MaxLostCPU   float64       // CPU seconds lost in a window
	Window       time.Duration // of LostCPU
	MaxMoves     int           // of one task
	LastFraction float64       // of a task's run, in which it is not moved
}

func (b *Budget) covers(sp *model.Spec) bool {
	return b.Team == sp.Team && (b.Class == model.None || b.Class == sp.Class)
}

// Cause of a task's being out of work.
type Cause uint8

// NumCauses. The first two are by our own doing and ask first.
const (
	PlanDrain  Cause = iota // an operators' plan moves it
	PriceDrain              // its machine is drained for its price
	Evicted                 // for work of a higher price
	Lost                    // its machine stopped, was taken, or can't be reached
	Unknown                 // of before this leader's term: it may be out for any reason
	NumCauses
)

// String is the cause's name for people.
func (c Cause) String() string {
	return [...]string{"moved by plans", "moved for their machines' price", "evicted", "lost with their machines",
		"unknown since the change of leader"}[c]
}

// Label is the cause's name in metrics.
func (c Cause) Label() string { return [...]string{"plan", "price", "evicted", "lost", "unsure"}[c] }

// out is a task that is out of work, or has not made up for what it lost.
type out struct {
	sp    *model.Spec
	cause Cause
	lost  time.Duration // run time that it has to make up for
	back  time.Duration // it is at work again, and has made up for it then; 0: not yet
}

// loss is work that was lost by our own doing.
type loss struct {
	at    time.Duration
	sp    *model.Spec
	cause Cause
	cpuS  float64
}

// Counts of a team, by cause, for metrics.
type Counts struct{ Granted, Refused, Involuntary [NumCauses]uint64 }

// TeamState is what the leader knows of a team's work beside what the book was told.
type TeamState struct {
	Running  int   // tasks at work
	Orphaned int   // tasks whose owner was lost, or let their machine go
	Unknown  int   // tasks of jobs of before this term that are neither done nor known to be at work
	CPU      int64 // of those orphaned and unsure, in thousandths
}

// Tracker is the state machine.
type Tracker struct {
	budgets []Budget
	out     map[model.Task]*out
	moves   map[model.Task]int
	losses  []loss // oldest first
	Counts  map[model.Name]*Counts
	// Recovered: the machines of earlier terms are accounted for. Before, nothing is drawn.
	Recovered bool
	// TeamState tells of a team's work, or of that of one of its classes.
	TeamState func(team, class model.Name) TeamState
	// TeamName is for people.
	TeamName func(model.Name) string
}

// New returns a book with these budgets.
func New(budgets []Budget) *Tracker {
	return &Tracker{budgets: budgets, out: map[model.Task]*out{}, moves: map[model.Task]int{},
		Counts:   map[model.Name]*Counts{},
		TeamName: func(model.Name) string { return "its team" }}
}

// Enabled tells whether there is any budget: without one nothing need be told here.
func (k *Tracker) Enabled() bool { return k != nil && len(k.budgets) > 0 }

func (k *Tracker) counts(team model.Name) *Counts {
	c := k.Counts[team]
	if c == nil {
		c = &Counts{}
		k.Counts[team] = c
	}
	return c
}

// MoveRequest is a task that is to be moved.
type MoveRequest struct {
	Task      model.Task
	Spec      *model.Spec
	Cause     Cause
	Ran       time.Duration // it has run here for so long
	Remaining time.Duration // ... and is likely to run on for
}

// lost is the run time that a task loses when it is stopped: what it did not save.
func (a *MoveRequest) lost() time.Duration {
	if a.Spec.CheckpointInterval > 0 {
		return a.Spec.CheckpointTime
	}
	return a.Ran
}

// RequestMove asks for a task to be moved: "" if it may, and it is out from here on; else what
// stands against it.
func (k *Tracker) RequestMove(now time.Duration, a MoveRequest) string {
	k.expire(now)
	for i := range k.budgets {
		if b := &k.budgets[i]; b.covers(a.Spec) {
			if why := k.against(now, b, &a); why != "" {
				k.counts(a.Spec.Team).Refused[a.Cause]++
				return why
			}
		}
	}
	k.counts(a.Spec.Team).Granted[a.Cause]++
	k.moves[a.Task]++
	k.out[a.Task] = &out{sp: a.Spec, cause: a.Cause, lost: a.lost()}
	k.losses = append(k.losses, loss{now, a.Spec, a.Cause, cpuSeconds(a.Spec, a.lost())})
	return ""
}

func cpuSeconds(sp *model.Spec, d time.Duration) float64 {
	return float64(sp.PerTask.CPU) / 1000 * d.Seconds()
}

// against tells what a budget has against a move, "" if nothing.
func (k *Tracker) against(now time.Duration, b *Budget, a *MoveRequest) string {
	name := k.name(b)
	if !k.Recovered {
		return name + ": not all machines of earlier terms are accounted for"
	}
	if b.MaxMoves > 0 && k.moves[a.Task] >= b.MaxMoves {
		return fmt.Sprintf("%s: a task was moved %d times, and no more often", name, k.moves[a.Task])
	}
	if whole := a.Ran + a.Remaining; b.LastFraction > 0 && a.Remaining < time.Duration(b.LastFraction*float64(whole)) {
		return fmt.Sprintf("%s: a task is in the last %.0f%% of its run", name, 100*b.LastFraction)
	}
	u := k.used(b)
	if most, bound := b.tasks(u.running); bound && u.tasks+1 > most {
		return fmt.Sprintf("%s: %s", name, u.say(now, fmt.Sprintf("%d of %d tasks are", u.tasks, most)))
	}
	if b.MaxCPU > 0 && u.cpu+a.Spec.PerTask.CPU > b.MaxCPU {
		return fmt.Sprintf("%s: %s", name, u.say(now, fmt.Sprintf("%.1f of %.1f CPUs are", cpus(u.cpu), cpus(b.MaxCPU))))
	}
	if b.MaxLostCPU > 0 {
		lost, until := k.lostIn(now, b)
		if lost+cpuSeconds(a.Spec, a.lost()) > b.MaxLostCPU {
			return fmt.Sprintf("%s: %.0f of %.0f CPU seconds were lost in %v, some are forgotten in %v", name, lost, b.MaxLostCPU,
				b.Window, (until - now).Round(time.Second))
		}
	}
	return ""
}

func cpus(n int64) float64 { return float64(n) / 1000 }

// tasks is how many may be out at once.
func (b *Budget) tasks(running int) (most int, bound bool) {
	if b.MaxShare > 0 {
		most, bound = max(1, int(b.MaxShare*float64(running))), true
	}
	if b.MaxTasks > 0 && (!bound || b.MaxTasks < most) {
		most, bound = b.MaxTasks, true
	}
	return most, bound
}

func (k *Tracker) name(b *Budget) string {
	return "the budget of disruption of " + k.TeamName(b.Team)
}

// used is what is out of a budget.
type used struct {
	tasks, running int
	cpu            int64
	by             [NumCauses]int
	back           time.Duration // the first that is known to be back, 0: none is
}

func (k *Tracker) used(b *Budget) used {
	var u used
	for _, o := range k.out {
		if b.covers(o.sp) {
			u.tasks++
			u.cpu += o.sp.PerTask.CPU
			u.by[o.cause]++
			if o.back > 0 && (u.back == 0 || o.back < u.back) {
				u.back = o.back
			}
		}
	}
	if k.TeamState == nil {
		return u
	}
	p := k.TeamState(b.Team, b.Class)
	u.running = p.Running
	u.tasks += p.Orphaned + p.Unknown
	u.cpu += p.CPU
	u.by[Lost] += p.Orphaned
	u.by[Unknown] += p.Unknown
	return u
}

// say tells what is out, and why.
func (u *used) say(now time.Duration, what string) string {
	s := what + " out of work ("
	first := true
	for c, n := range u.by {
		if n == 0 {
			continue
		}
		if !first {
			s += ", "
		}
		first = false
		s += fmt.Sprintf("%d %s", n, Cause(c))
	}
	s += ")"
	if u.back > now {
		s += fmt.Sprintf(", the first is back in %v", (u.back - now).Round(time.Second))
	}
	return s
}

// lostIn sums up what a budget's work lost in its window by our own doing, and when
// the oldest of it is forgotten.
func (k *Tracker) lostIn(now time.Duration, b *Budget) (cpuS float64, until time.Duration) {
	until = now
	for i := len(k.losses) - 1; i >= 0; i-- {
		if l := &k.losses[i]; now-l.at < b.Window && b.covers(l.sp) {
			cpuS += l.cpuS
			until = l.at + b.Window
		}
	}
	return cpuS, until
}

// HandleEvent takes what a shard tells of a job's task that is out of work, at work again, or done.
func (k *Tracker) HandleEvent(now time.Duration, e *model.Event, sp *model.Spec) {
	switch e.Kind {
	case model.TaskInterrupted:
		cause := Evicted
		if e.Cause == model.CauseOther {
			cause = Lost
		}
		k.TaskStopped(e.Task, sp, cause, e.RunTime)
	case model.TaskResumed:
		k.TaskResumed(now, e.Task)
	case model.TaskFinished:
		k.TaskDone(e.Task)
	}
}

// TaskStopped takes the news that a running task is out of work. What was drawn for stays
// drawn; all else eats of the budget.
func (k *Tracker) TaskStopped(t model.Task, sp *model.Spec, c Cause, lost time.Duration) {
	if o := k.out[t]; o != nil {
		o.back = 0
		o.lost = max(o.lost, lost)
		return
	}
	k.counts(sp.Team).Involuntary[c]++
	k.out[t] = &out{sp: sp, cause: c, lost: lost}
}

// TaskResumed takes the news that a task is at work again: it is out until it has made up
// for what it lost.
func (k *Tracker) TaskResumed(now time.Duration, t model.Task) {
	if o := k.out[t]; o != nil && o.back == 0 {
		o.back = now + o.lost
	}
}

// TaskDone takes the news that a task is done.
func (k *Tracker) TaskDone(t model.Task) {
	delete(k.out, t)
	delete(k.moves, t)
}

// Prune forgets the tasks of jobs that are over.
func (k *Tracker) Prune(open func(model.JobID) bool) {
	over := func(t model.Task) bool { return !open(t.Job) }
	maps.DeleteFunc(k.out, func(t model.Task, _ *out) bool { return over(t) })
	maps.DeleteFunc(k.moves, func(t model.Task, _ int) bool { return over(t) })
}

// expire gives back what has made up for what it lost, and forgets old losses.
func (k *Tracker) expire(now time.Duration) {
	for t, o := range k.out {
		if o.back > 0 && now >= o.back {
			delete(k.out, t)
		}
	}
	var longest time.Duration
	for i := range k.budgets {
		longest = max(longest, k.budgets[i].Window)
	}
	k.losses = slices.DeleteFunc(k.losses, func(l loss) bool { return now-l.at >= longest })
}

// Status of a budget, for people.
type Status struct {
	Budget
	Running, Tasks, TaskLimit int // MostTasks: -1: no bound
	CPU                       int64
	LostCPU                   float64
	ByCause                   [NumCauses]int
}

// Status tells how all budgets stand.
func (k *Tracker) Status(now time.Duration) []Status {
	k.expire(now)
	out := make([]Status, 0, len(k.budgets))
	for i := range k.budgets {
		b := &k.budgets[i]
		u := k.used(b)
		most, bound := b.tasks(u.running)
		if !bound {
			most = -1
		}
		lost, _ := k.lostIn(now, b)
		out = append(out, Status{Budget: *b, Running: u.running, Tasks: u.tasks, TaskLimit: most, CPU: u.cpu, LostCPU: lost,
			ByCause: u.by})
	}
	slices.SortStableFunc(out, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return out
}

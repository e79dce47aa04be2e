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

func (b *Budget) covers(spec *model.Spec) bool {
	return b.Team == spec.Team && (b.Class == model.None || b.Class == spec.Class)
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

// outTask is a task that is out of work, or has not made up for what it lost.
type outTask struct {
	spec        *model.Spec
	cause       Cause
	lostRunTime time.Duration // run time that it has to make up for
	recoveredAt time.Duration // it is at work again, and has made up for it then; 0: not yet
}

// loss is work that was lost by our own doing.
type loss struct {
	at         time.Duration
	spec       *model.Spec
	cause      Cause
	cpuSeconds float64
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
	budgets  []Budget
	outTasks map[model.Task]*outTask
	moves    map[model.Task]int
	losses   []loss // oldest first
	Counts   map[model.Name]*Counts
	// Recovered: the machines of earlier terms are accounted for. Before, nothing is drawn.
	Recovered bool
	// TeamState tells of a team's work, or of that of one of its classes.
	TeamState func(team, class model.Name) TeamState
	// TeamName is for people.
	TeamName func(model.Name) string
}

// New returns a book with these budgets.
func New(budgets []Budget) *Tracker {
	return &Tracker{budgets: budgets, outTasks: map[model.Task]*outTask{}, moves: map[model.Task]int{},
		Counts:   map[model.Name]*Counts{},
		TeamName: func(model.Name) string { return "its team" }}
}

// Enabled tells whether there is any budget: without one nothing need be told here.
func (tracker *Tracker) Enabled() bool { return tracker != nil && len(tracker.budgets) > 0 }

func (tracker *Tracker) teamCounts(team model.Name) *Counts {
	c := tracker.Counts[team]
	if c == nil {
		c = &Counts{}
		tracker.Counts[team] = c
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

// lostRunTime is the run time that a task loses when it is stopped: what it did not save.
func (request *MoveRequest) lostRunTime() time.Duration {
	if request.Spec.CheckpointInterval > 0 {
		return request.Spec.CheckpointTime
	}
	return request.Ran
}

// RequestMove asks for a task to be moved: "" if it may, and it is out from here on; else what
// stands against it.
func (tracker *Tracker) RequestMove(now time.Duration, request MoveRequest) string {
	tracker.expire(now)
	for i := range tracker.budgets {
		if b := &tracker.budgets[i]; b.covers(request.Spec) {
			if reason := tracker.refusalReason(now, b, &request); reason != "" {
				tracker.teamCounts(request.Spec.Team).Refused[request.Cause]++
				return reason
			}
		}
	}
	tracker.teamCounts(request.Spec.Team).Granted[request.Cause]++
	tracker.moves[request.Task]++
	tracker.outTasks[request.Task] = &outTask{spec: request.Spec, cause: request.Cause, lostRunTime: request.lostRunTime()}
	tracker.losses = append(tracker.losses, loss{now, request.Spec, request.Cause,
		cpuSeconds(request.Spec, request.lostRunTime())})
	return ""
}

func cpuSeconds(spec *model.Spec, duration time.Duration) float64 {
	return float64(spec.PerTask.CPU) / 1000 * duration.Seconds()
}

// refusalReason tells what a budget has against a move, "" if nothing.
func (tracker *Tracker) refusalReason(now time.Duration, b *Budget, request *MoveRequest) string {
	name := tracker.budgetName(b)
	if !tracker.Recovered {
		return name + ": not all machines of earlier terms are accounted for"
	}
	if b.MaxMoves > 0 && tracker.moves[request.Task] >= b.MaxMoves {
		return fmt.Sprintf("%s: a task was moved %d times, and no more often", name, tracker.moves[request.Task])
	}
	if whole := request.Ran + request.Remaining; b.LastFraction > 0 &&
		request.Remaining < time.Duration(b.LastFraction*float64(whole)) {
		return fmt.Sprintf("%s: a task is in the last %.0f%% of its run", name, 100*b.LastFraction)
	}
	usage := tracker.usageOf(b)
	if limit, limited := b.taskLimit(usage.running); limited && usage.tasks+1 > limit {
		return fmt.Sprintf("%s: %s", name, usage.describe(now, fmt.Sprintf("%d of %d tasks are", usage.tasks, limit)))
	}
	if b.MaxCPU > 0 && usage.cpu+request.Spec.PerTask.CPU > b.MaxCPU {
		return fmt.Sprintf("%s: %s", name, usage.describe(now,
			fmt.Sprintf("%.1f of %.1f CPUs are", cpus(usage.cpu), cpus(b.MaxCPU))))
	}
	if b.MaxLostCPU > 0 {
		lost, until := tracker.lostCPUSeconds(now, b)
		if lost+cpuSeconds(request.Spec, request.lostRunTime()) > b.MaxLostCPU {
			return fmt.Sprintf("%s: %.0f of %.0f CPU seconds were lost in %v, some are forgotten in %v", name, lost,
				b.MaxLostCPU,
				b.Window, (until - now).Round(time.Second))
		}
	}
	return ""
}

func cpus(n int64) float64 { return float64(n) / 1000 }

// taskLimit is how many may be out at once.
func (b *Budget) taskLimit(running int) (limit int, limited bool) {
	if b.MaxShare > 0 {
		limit, limited = max(1, int(b.MaxShare*float64(running))), true
	}
	if b.MaxTasks > 0 && (!limited || b.MaxTasks < limit) {
		limit, limited = b.MaxTasks, true
	}
	return limit, limited
}

func (tracker *Tracker) budgetName(b *Budget) string {
	return "the budget of disruption of " + tracker.TeamName(b.Team)
}

// usage is what is out of a budget.
type usage struct {
	tasks, running int
	cpu            int64
	byCause        [NumCauses]int
	firstRecovery  time.Duration // the first that is known to be back, 0: none is
}

func (tracker *Tracker) usageOf(b *Budget) usage {
	var usage usage
	for _, o := range tracker.outTasks {
		if b.covers(o.spec) {
			usage.tasks++
			usage.cpu += o.spec.PerTask.CPU
			usage.byCause[o.cause]++
			if o.recoveredAt > 0 && (usage.firstRecovery == 0 || o.recoveredAt < usage.firstRecovery) {
				usage.firstRecovery = o.recoveredAt
			}
		}
	}
	if tracker.TeamState == nil {
		return usage
	}
	state := tracker.TeamState(b.Team, b.Class)
	usage.running = state.Running
	usage.tasks += state.Orphaned + state.Unknown
	usage.cpu += state.CPU
	usage.byCause[Lost] += state.Orphaned
	usage.byCause[Unknown] += state.Unknown
	return usage
}

// describe tells what is out, and why.
func (u *usage) describe(now time.Duration, what string) string {
	s := what + " out of work ("
	first := true
	for c, n := range u.byCause {
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
	if u.firstRecovery > now {
		s += fmt.Sprintf(", the first is back in %v", (u.firstRecovery - now).Round(time.Second))
	}
	return s
}

// lostCPUSeconds sums up what a budget's work lost in its window by our own doing, and when
// the oldest of it is forgotten.
func (tracker *Tracker) lostCPUSeconds(now time.Duration, b *Budget) (cpuSeconds float64, expiresAt time.Duration) {
	expiresAt = now
	for i := len(tracker.losses) - 1; i >= 0; i-- {
		if l := &tracker.losses[i]; now-l.at < b.Window && b.covers(l.spec) {
			cpuSeconds += l.cpuSeconds
			expiresAt = l.at + b.Window
		}
	}
	return cpuSeconds, expiresAt
}

// HandleEvent takes what a shard tells of a job's task that is out of work, at work again, or done.
func (tracker *Tracker) HandleEvent(now time.Duration, event *model.Event, spec *model.Spec) {
	switch event.Kind {
	case model.TaskInterrupted:
		cause := Evicted
		if event.Cause == model.CauseOther {
			cause = Lost
		}
		tracker.TaskStopped(event.Task, spec, cause, event.RunTime)
	case model.TaskResumed:
		tracker.TaskResumed(now, event.Task)
	case model.TaskFinished:
		tracker.TaskDone(event.Task)
	}
}

// TaskStopped takes the news that a running task is out of work. What was drawn for stays
// drawn; all else eats of the budget.
func (tracker *Tracker) TaskStopped(task model.Task, spec *model.Spec, cause Cause, lost time.Duration) {
	if o := tracker.outTasks[task]; o != nil {
		o.recoveredAt = 0
		o.lostRunTime = max(o.lostRunTime, lost)
		return
	}
	tracker.teamCounts(spec.Team).Involuntary[cause]++
	tracker.outTasks[task] = &outTask{spec: spec, cause: cause, lostRunTime: lost}
}

// TaskResumed takes the news that a task is at work again: it is out until it has made up
// for what it lost.
func (tracker *Tracker) TaskResumed(now time.Duration, task model.Task) {
	if o := tracker.outTasks[task]; o != nil && o.recoveredAt == 0 {
		o.recoveredAt = now + o.lostRunTime
	}
}

// TaskDone takes the news that a task is done.
func (tracker *Tracker) TaskDone(task model.Task) {
	delete(tracker.outTasks, task)
	delete(tracker.moves, task)
}

// Prune forgets the tasks of jobs that are over.
func (tracker *Tracker) Prune(open func(model.JobID) bool) {
	over := func(t model.Task) bool { return !open(t.Job) }
	maps.DeleteFunc(tracker.outTasks, func(t model.Task, _ *outTask) bool { return over(t) })
	maps.DeleteFunc(tracker.moves, func(t model.Task, _ int) bool { return over(t) })
}

// expire gives back what has made up for what it lost, and forgets old losses.
func (tracker *Tracker) expire(now time.Duration) {
	for t, o := range tracker.outTasks {
		if o.recoveredAt > 0 && now >= o.recoveredAt {
			delete(tracker.outTasks, t)
		}
	}
	var longest time.Duration
	for i := range tracker.budgets {
		longest = max(longest, tracker.budgets[i].Window)
	}
	tracker.losses = slices.DeleteFunc(tracker.losses, func(l loss) bool { return now-l.at >= longest })
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
func (tracker *Tracker) Status(now time.Duration) []Status {
	tracker.expire(now)
	out := make([]Status, 0, len(tracker.budgets))
	for i := range tracker.budgets {
		b := &tracker.budgets[i]
		usage := tracker.usageOf(b)
		limit, limited := b.taskLimit(usage.running)
		if !limited {
			limit = -1
		}
		lost, _ := tracker.lostCPUSeconds(now, b)
		out = append(out, Status{Budget: *b, Running: usage.running, Tasks: usage.tasks, TaskLimit: limit, CPU: usage.cpu,
			LostCPU: lost,
			ByCause: usage.byCause})
	}
	slices.SortStableFunc(out, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return out
}

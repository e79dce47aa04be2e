// Package disruption limits how much of each team's running work the scheduler disrupts. A budget
// bounds how many tasks are interrupted at once and how much work is lost in a window of time. A
// voluntary move of a running task needs a grant from all budgets that cover the task. Evictions and
// failures need none, but count against the same budgets, so that voluntary moves yield to them.
//
// It is a state machine that runs on the leader, without input or output; its times are those of the
// monotonic clock. Nothing of it is stored. A new leader counts every task as interrupted that it does
// not know to be running, so its count is never too low (docs/disruption.md).
package disruption

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Budget limits the disruption of one team's tasks, or of one class of them. A bound of zero is no
// limit.
type Budget struct {
	Team         model.Name
	Class        model.Name    // model.None: all
	MaxTasks     int           // interrupted at once
	MaxShare     float64       // fraction of the running tasks interrupted at once; always allows one
	MaxCPU       int64         // of the tasks interrupted at once, in thousandths of a CPU
	MaxLostCPU   float64       // CPU seconds lost in a window
	Window       time.Duration // of MaxLostCPU
	MaxMoves     int           // of one task
	LastFraction float64       // last part of a task's run in which it is not moved
}

// covers reports whether the budget limits the job's tasks.
func (b *Budget) covers(spec *model.Spec) bool {
	return b.Team == spec.Team && (b.Class == model.None || b.Class == spec.Class)
}

// Cause is why a task is interrupted.
type Cause uint8

// Causes. The first two are voluntary moves, which need a grant.
const (
	PlanDrain  Cause = iota // an operator's drain plan moves it
	PriceDrain              // its machine is drained for its price
	Evicted                 // evicted for a task with a higher price
	Lost                    // its machine failed, was reclaimed, or is unreachable
	Unknown                 // from before this leader's term, when the cause is not known
	NumCauses               // number of causes
)

// String returns the cause for messages.
func (c Cause) String() string {
	return [...]string{"moved by plans", "moved for their machines' price", "evicted", "lost with their machines",
		"unknown since the change of leader"}[c]
}

// Label returns the cause's label in metrics.
func (c Cause) Label() string { return [...]string{"plan", "price", "evicted", "lost", "unsure"}[c] }

// interruption is the state of a task that is interrupted, or that runs again but has not yet repeated
// the run time that it lost.
type interruption struct {
	spec        *model.Spec
	cause       Cause
	lostRunTime time.Duration // run time that it must repeat
	recoveredAt time.Duration // when it has repeated that, once it runs again; 0: it does not run yet
}

// loss is work lost by a voluntary move.
type loss struct {
	at         time.Duration
	spec       *model.Spec
	cause      Cause
	cpuSeconds float64
}

// Counts are a team's moves granted and refused, and its involuntary disruptions, by cause, for
// metrics.
type Counts struct{ Granted, Refused, Involuntary [NumCauses]uint64 }

// TeamState is what the leader knows of a team's tasks apart from the tracker.
type TeamState struct {
	Running  int   // tasks that run
	Orphaned int   // tasks whose shard was lost or released their machine
	Unknown  int   // tasks of jobs from before this term that are neither done nor known to run
	CPU      int64 // of the orphaned and unknown tasks, in thousandths of a CPU
}

// Tracker is the state machine.
type Tracker struct {
	budgets       []Budget
	interruptions map[model.Task]*interruption // tasks that count against budgets
	moveCounts    map[model.Task]int           // voluntary moves of each task
	losses        []loss                       // oldest first
	Counts        map[model.Name]*Counts
	// Recovered is set once the machines of earlier terms are accounted for. Until then no move is
	// granted.
	Recovered bool
	// TeamState returns the state of a team's tasks, or of those of one class.
	TeamState func(team, class model.Name) TeamState
	// TeamName returns a team's name for messages.
	TeamName func(model.Name) string
}

// New returns a tracker with these budgets.
func New(budgets []Budget) *Tracker {
	return &Tracker{budgets: budgets, interruptions: map[model.Task]*interruption{}, moveCounts: map[model.Task]int{},
		Counts:   map[model.Name]*Counts{},
		TeamName: func(model.Name) string { return "its team" }}
}

// Enabled reports whether there is any budget. Without one the tracker needs no events.
func (tracker *Tracker) Enabled() bool { return tracker != nil && len(tracker.budgets) > 0 }

// teamCounts returns the team's counts, and adds them if there are none.
func (tracker *Tracker) teamCounts(team model.Name) *Counts {
	c := tracker.Counts[team]
	if c == nil {
		c = &Counts{}
		tracker.Counts[team] = c
	}
	return c
}

// MoveRequest asks for a running task to be moved.
type MoveRequest struct {
	Task      model.Task
	Spec      *model.Spec
	Cause     Cause
	RunTime   time.Duration // run time so far on this machine
	Remaining time.Duration // expected rest of the run time
}

// lostRunTime is the run time that the task loses when it is stopped: the time to save a checkpoint,
// or all of it without checkpoints.
func (request *MoveRequest) lostRunTime() time.Duration {
	if request.Spec.CheckpointInterval > 0 {
		return request.Spec.CheckpointTime
	}
	return request.RunTime
}

// RequestMove asks all budgets of a task for a move. It returns "" if the move is granted, and counts
// the task as interrupted from then on; otherwise it returns the reason.
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
	tracker.moveCounts[request.Task]++
	tracker.interruptions[request.Task] = &interruption{spec: request.Spec, cause: request.Cause,
		lostRunTime: request.lostRunTime()}
	tracker.losses = append(tracker.losses, loss{now, request.Spec, request.Cause,
		cpuSeconds(request.Spec, request.lostRunTime())})
	return ""
}

// cpuSeconds is the CPU time that a task of the job uses in the duration.
func cpuSeconds(spec *model.Spec, duration time.Duration) float64 {
	return float64(spec.PerTask.CPU) / 1000 * duration.Seconds()
}

// refusalReason returns why a budget does not allow a move, "" if it does.
func (tracker *Tracker) refusalReason(now time.Duration, b *Budget, request *MoveRequest) string {
	name := tracker.budgetName(b)
	if !tracker.Recovered {
		return name + ": not all machines of earlier terms are accounted for"
	}
	if b.MaxMoves > 0 && tracker.moveCounts[request.Task] >= b.MaxMoves {
		return fmt.Sprintf("%s: a task was moved %d times, and no more often", name, tracker.moveCounts[request.Task])
	}
	if whole := request.RunTime + request.Remaining; b.LastFraction > 0 &&
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
				b.MaxLostCPU, b.Window, (until - now).Round(time.Second))
		}
	}
	return ""
}

// cpus converts thousandths of a CPU to CPUs.
func cpus(n int64) float64 { return float64(n) / 1000 }

// taskLimit returns how many tasks may be interrupted at once, and whether there is a limit.
func (b *Budget) taskLimit(running int) (limit int, limited bool) {
	if b.MaxShare > 0 {
		limit, limited = max(1, int(b.MaxShare*float64(running))), true
	}
	if b.MaxTasks > 0 && (!limited || b.MaxTasks < limit) {
		limit, limited = b.MaxTasks, true
	}
	return limit, limited
}

// budgetName names a budget in messages.
func (tracker *Tracker) budgetName(b *Budget) string {
	return "the budget of disruption of " + tracker.TeamName(b.Team)
}

// usage is what counts against a budget at present.
type usage struct {
	tasks, running int
	cpu            int64
	byCause        [NumCauses]int
	firstRecovery  time.Duration // earliest recoveredAt of its tasks, 0: none is known
}

// usageOf returns what counts against a budget at present.
func (tracker *Tracker) usageOf(b *Budget) usage {
	var usage usage
	for _, current := range tracker.interruptions {
		if b.covers(current.spec) {
			usage.tasks++
			usage.cpu += current.spec.PerTask.CPU
			usage.byCause[current.cause]++
			if current.recoveredAt > 0 && (usage.firstRecovery == 0 || current.recoveredAt < usage.firstRecovery) {
				usage.firstRecovery = current.recoveredAt
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

// describe returns a message that begins with what, followed by the number of interrupted tasks by
// cause and the time until the first of them has recovered.
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

// lostCPUSeconds returns the CPU time that a budget's tasks lost by voluntary moves in its window, and
// when the oldest of these losses leaves the window.
func (tracker *Tracker) lostCPUSeconds(now time.Duration, b *Budget) (cpuSeconds float64, expiresAt time.Duration) {
	expiresAt = now
	for i := len(tracker.losses) - 1; i >= 0; i-- {
		if lost := &tracker.losses[i]; now-lost.at < b.Window && b.covers(lost.spec) {
			cpuSeconds += lost.cpuSeconds
			expiresAt = lost.at + b.Window
		}
	}
	return cpuSeconds, expiresAt
}

// HandleEvent takes a shard's event about a task that is interrupted, runs again, or is finished.
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

// TaskStopped records that a running task is interrupted. If its move was granted it is counted
// already; otherwise it counts as an involuntary disruption.
func (tracker *Tracker) TaskStopped(task model.Task, spec *model.Spec, cause Cause, lost time.Duration) {
	if current := tracker.interruptions[task]; current != nil {
		current.recoveredAt = 0
		current.lostRunTime = max(current.lostRunTime, lost)
		return
	}
	tracker.teamCounts(spec.Team).Involuntary[cause]++
	tracker.interruptions[task] = &interruption{spec: spec, cause: cause, lostRunTime: lost}
}

// TaskResumed records that a task runs again. It counts as interrupted until it has repeated the run
// time that it lost.
func (tracker *Tracker) TaskResumed(now time.Duration, task model.Task) {
	if current := tracker.interruptions[task]; current != nil && current.recoveredAt == 0 {
		current.recoveredAt = now + current.lostRunTime
	}
}

// TaskDone forgets a task that is done.
func (tracker *Tracker) TaskDone(task model.Task) {
	delete(tracker.interruptions, task)
	delete(tracker.moveCounts, task)
}

// Prune forgets the tasks of jobs that are no longer open.
func (tracker *Tracker) Prune(open func(model.JobID) bool) {
	over := func(t model.Task) bool { return !open(t.Job) }
	maps.DeleteFunc(tracker.interruptions, func(t model.Task, _ *interruption) bool { return over(t) })
	maps.DeleteFunc(tracker.moveCounts, func(t model.Task, _ int) bool { return over(t) })
}

// expire forgets tasks that have repeated the run time that they lost, and losses older than the
// longest window.
func (tracker *Tracker) expire(now time.Duration) {
	for t, current := range tracker.interruptions {
		if current.recoveredAt > 0 && now >= current.recoveredAt {
			delete(tracker.interruptions, t)
		}
	}
	var longest time.Duration
	for i := range tracker.budgets {
		longest = max(longest, tracker.budgets[i].Window)
	}
	tracker.losses = slices.DeleteFunc(tracker.losses, func(l loss) bool { return now-l.at >= longest })
}

// Status is the state of a budget, for operators.
type Status struct {
	Budget
	Running, Tasks, TaskLimit int // TaskLimit: -1: no limit
	CPU                       int64
	LostCPU                   float64
	ByCause                   [NumCauses]int
}

// Status returns the state of all budgets.
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

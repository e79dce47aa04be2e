// Package drain empties machines: those of operators' drain plans, in a given order and pace, and
// those that cost too much. It decides when a machine is cordoned, which of its tasks are moved, and
// when it is returned to the cloud or released for patching. It is a state machine that runs on the
// leader: a new leader continues from the stored plans, and each step is stored before anything is
// done that depends on it.
package drain

import (
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/rollout"
)

// LeaveMode says how running tasks leave a machine.
type LeaveMode uint8

// Ways for running tasks to leave a machine.
const (
	Finish    LeaveMode = iota // tasks run to their end on the machine
	MoveSaved                  // tasks with checkpoints are saved and moved; the others run to their end
	Move                       // all tasks are moved; those without checkpoints start over
)

// WhenEmpty says what happens to a machine once it is empty.
type WhenEmpty uint8

// What happens to an empty machine.
const (
	Return WhenEmpty = iota // it is returned to the cloud
	Patch                   // it waits until an operator reports it as patched
)

// Rule says how running tasks of a class or rank leave a machine.
type Rule struct {
	Class     model.Name // model.None: any
	Rank      int        // -1: any
	LeaveMode LeaveMode
}

// Window is a time by which the jobs of some classes must end: a plan must not delay them past it.
type Window struct {
	Classes  []model.Name   // nil: all
	Deadline bool           // the limit is each job's own deadline, not Clock
	Clock    time.Duration  // time of day, since midnight in Location
	Location *time.Location // of Clock
	Name     string         // used in messages
}

// appliesTo reports whether the window limits the job.
func (w *Window) appliesTo(spec *model.Spec) bool {
	for _, c := range w.Classes {
		if c == spec.Class {
			return true
		}
	}
	return len(w.Classes) == 0
}

// limitFor returns the time by which the job must end: its own deadline, or the first occurrence of
// Clock after its submission. It returns false if the job has no deadline.
func (w *Window) limitFor(spec *model.Spec) (time.Time, bool) {
	submitted := time.UnixMilli(spec.SubmittedMS)
	if w.Deadline {
		return submitted.Add(spec.Deadline), spec.Deadline > 0
	}
	in := submitted.In(w.Location)
	h, m := int(w.Clock/time.Hour), int(w.Clock/time.Minute)%60
	at := time.Date(in.Year(), in.Month(), in.Day(), h, m, 0, 0, w.Location)
	if !at.After(in) {
		at = time.Date(in.Year(), in.Month(), in.Day()+1, h, m, 0, 0, w.Location)
	}
	return at, true
}

// Spec is a plan as declared, with its machine selectors resolved to machines.
type Spec struct {
	Name              string
	Machines          []model.MachineID // in the order in which they are drained
	MaxConcurrent     int
	MaxPerZone        int     // 0: only MaxConcurrent applies
	FreeCapacityFloor float64 // fraction of teams' unused guarantees that must stay free on other machines
	Rules             []Rule  // the first that matches applies
	Default           LeaveMode
	LatestEnd         time.Time // zero: none; no step starts after it
	Windows           []Window
	RentFirst         bool
	WhenEmpty         WhenEmpty
	Waves             []Wave
	Gate              *rollout.Gate // checked between waves; nil: none
}

// Wave is the next part of a plan's machines. Machines beyond the last wave form one more.
type Wave struct {
	Machines int           // number of machines; 0: Share applies
	Share    float64       // fraction of all machines, including those of earlier waves
	Soak     time.Duration // waiting time after the wave's last machine is done
}

// Limit returns the earliest time by which the plan's windows require the job to end, and the name of
// that window.
func (s *Spec) Limit(spec *model.Spec) (limit time.Time, window string, ok bool) {
	for i := range s.Windows {
		w := &s.Windows[i]
		if at, hasLimit := w.limitFor(spec); hasLimit && w.appliesTo(spec) && (!ok || at.Before(limit)) {
			limit, window, ok = at, w.Name, true
		}
	}
	return limit, window, ok
}

// missedWindow returns a window whose limit has not passed yet, and that limit. The job meets the
// window if it ends at kept, but misses it if it ends at missed. The result is nil if there is none.
func (s *Spec) missedWindow(now time.Time, spec *model.Spec, kept, missed time.Time) (*Window, time.Time) {
	for i := range s.Windows {
		w := &s.Windows[i]
		limit, ok := w.limitFor(spec)
		if ok && w.appliesTo(spec) && !now.After(limit) && missed.After(limit) && !kept.After(limit) {
			return w, limit
		}
	}
	return nil, time.Time{}
}

// leaveMode says how a task of the job leaves a machine. A service's replica always moves, because it
// never ends by itself.
func (s *Spec) leaveMode(spec *model.Spec) LeaveMode {
	if spec.Daemon {
		return Move
	}
	for _, r := range s.Rules {
		if (r.Class == model.None || r.Class == spec.Class) && (r.Rank < 0 || r.Rank == int(spec.Rank)) {
			return r.LeaveMode
		}
	}
	return s.Default
}

// movesTasksOf reports whether the plan moves the job's running tasks.
func (s *Spec) movesTasksOf(spec *model.Spec) bool {
	mode := s.leaveMode(spec)
	return mode == Move || mode == MoveSaved && spec.CheckpointInterval > 0
}

// Phase is a plan's overall state. Its values are stored.
type Phase string

// Phases of a plan.
const (
	Active    Phase = "active"
	Paused    Phase = "paused"
	Cancelled Phase = "cancelled"
	Done      Phase = "done"
	Overdue   Phase = "overdue" // LatestEnd passed before all steps had started
)

// State is the state of one step.
type State uint8

// States of a step. Their numbers are stored.
const (
	Waiting   State = iota
	Renting         // its replacement has been requested
	Draining        // cordoned; tasks end or are moved
	Returning       // empty and being returned to the cloud
	Patching        // empty and waiting to be patched
	Finished        // returned, or patched and uncordoned
	Gone            // the machine failed, was reclaimed, or was returned by somebody else
	Abandoned       // the plan ended before the step could finish
)

// String returns the state's name as status shows it.
func (s State) String() string {
	return [...]string{"waiting", "renting", "draining", "giving-back", "patching", "finished", "gone", "left"}[s]
}

// isFinal reports whether the step is over.
func (s State) isFinal() bool { return s >= Finished }

// isCordoned reports whether the step's machine gets no tasks in this state.
func (s State) isCordoned() bool { return s == Draining || s == Returning || s == Patching }

// Step is the part of a plan for one machine.
type Step struct {
	Machine     model.MachineID
	State       State
	RentAttempt int // number of replacements that never came up
}

// Plan is a plan with its progress.
type Plan struct {
	Spec
	UID              string    // never reused; rental requests are named after it
	Source           []byte    // as declared; a later leader resolves it again
	By               string    // the operator who applied the plan
	At               time.Time // when it was applied
	Phase            Phase
	Steps            []Step
	PassedWaves      int    // number of waves whose soak time and gate are passed
	GateClosedReason string // why a gate has paused the plan

	storeVersion      uint64        // version of the stored record, 0: none
	generation        uint64        // incremented with every change of what is stored
	storedGeneration  uint64        // the newest generation that is known to be stored
	writingGeneration uint64        // the generation being written, 0: none
	unsupportedReason string        // why this release can't change the plan; "" if it can
	runtime           []stepRuntime // of each step
	soakingSince      time.Duration // when the steps of the first wave not passed ended; 0: not yet
}

// stepRuntime is what this leader knows of a step. It is not stored.
type stepRuntime struct {
	stateSince     time.Duration   // when this leader first knew the state
	blockedReason  string          // why the step does not advance
	lastAnswerAt   time.Duration   // when a rental or return was last answered
	requestPending bool            // a rental or return is under way
	replacement    model.MachineID // once rented
}

// synced reports whether the plan's current state is known to be stored. Only then is it acted on.
func (p *Plan) synced() bool { return p.storedGeneration == p.generation }

// ended reports whether the plan is over: neither active nor paused, and all steps are final.
func (p *Plan) ended() bool {
	if p.Phase == Active || p.Phase == Paused {
		return false
	}
	for i := range p.Steps {
		if !p.Steps[i].State.isFinal() {
			return false
		}
	}
	return true
}

// setState changes a step's state and clears what is known of the step except its replacement.
func (p *Plan) setState(now time.Duration, i int, s State) {
	p.Steps[i].State = s
	p.runtime[i] = stepRuntime{stateSince: now, replacement: p.runtime[i].replacement}
	p.generation++
}

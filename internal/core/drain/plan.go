// Package drain empties machines: those of operators' plans, in a chosen order
// and pace, and those that cost too much. It decides when a machine gets no more
// tasks, which of its tasks move, and when it is given back or handed over to be
// patched. It is a state machine of the leader's: a new leader goes on from what
// was stored, and nothing is done before the step that allows it is stored.
package drain

import (
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/rollout"
)

// How running work leaves a machine.
type How uint8

// Ways for running work.
const (
	Finish    How = iota // it ends where it runs
	MoveSaved            // what can save does, and goes on elsewhere; the rest ends where it runs
	Move                 // all goes on elsewhere; what can't save begins anew
)

// After is what becomes of an empty machine.
type After uint8

// Ends of a step.
const (
	Return After = iota // it is given back to the cloud
	Patch               // it waits until an operator says that it is patched
)

// Rule says how the running work of a class or rank leaves.
type Rule struct {
	Class model.Name // None: any
	Rank  int        // -1: any
	How   How
}

// Window is an hour that the jobs of some classes may not be pushed past.
type Window struct {
	Classes  []model.Name // nil: all
	Deadline bool         // the jobs' own deadlines
	Clock    time.Duration
	Location *time.Location // of Clock
	Name     string         // for people
}

// appliesTo tells whether the window is about a job.
func (w *Window) appliesTo(spec *model.Spec) bool {
	for _, c := range w.Classes {
		if c == spec.Class {
			return true
		}
	}
	return len(w.Classes) == 0
}

// limitFor is the time that a job may not be pushed past, if there is one.
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

// Spec is a plan as declared, with the machines that it was found to mean.
type Spec struct {
	Name              string
	Machines          []model.MachineID // in the order in which they are drained
	MaxConcurrent     int
	MaxPerZone        int     // 0: no bound but AtOnce
	FreeCapacityFloor float64 // of what teams have left of their guarantees, free elsewhere
	Rules             []Rule  // the first that fits
	Default           How
	LatestEnd         time.Time // zero: none; no step begins after it
	Windows           []Window
	RentFirst         bool
	After             After
	Waves             []Wave
	Gate              *rollout.Gate // between waves, nil: none
}

// Wave is a part of a plan's machines, in their order; what all leave is the last.
type Wave struct {
	Machines int           // so many more; 0: by share
	Share    float64       // so many, with those before, as a part of all
	Soak     time.Duration // once they are done with
}

// Limit is the earliest time that the plan's windows let no job like this be
// pushed past, and which window says so.
func (s *Spec) Limit(spec *model.Spec) (limit time.Time, window string, ok bool) {
	for i := range s.Windows {
		w := &s.Windows[i]
		if at, is := w.limitFor(spec); is && w.appliesTo(spec) && (!ok || at.Before(limit)) {
			limit, window, ok = at, w.Name, true
		}
	}
	return limit, window, ok
}

// missedWindow finds a window still to come that a job which ends at the one time keeps,
// and at the other misses; nil if there is none.
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

// leaveMode a task of the job leaves. A replica never ends by itself, so it moves.
func (s *Spec) leaveMode(spec *model.Spec) How {
	if spec.Daemon {
		return Move
	}
	for _, r := range s.Rules {
		if (r.Class == model.None || r.Class == spec.Class) && (r.Rank < 0 || r.Rank == int(spec.Rank)) {
			return r.How
		}
	}
	return s.Default
}

// movesTasksOf tells whether the plan moves a running task of the job.
func (s *Spec) movesTasksOf(spec *model.Spec) bool {
	h := s.leaveMode(spec)
	return h == Move || h == MoveSaved && spec.CheckpointInterval > 0
}

// Phase of a plan.
type Phase string

// Phases.
const (
	Active    Phase = "active"
	Paused    Phase = "paused"
	Cancelled Phase = "cancelled"
	Done      Phase = "done"
	Overdue   Phase = "overdue" // its latest end came first
)

// State of one machine's step.
type State uint8

// States of a step. Their numbers are stored.
const (
	Waiting   State = iota
	Renting         // its replacement has been asked for
	Draining        // it gets no tasks; what runs there ends or moves
	Returning       // it is empty, and is being given back
	Patching        // it is empty, and waits to be patched
	Finished        // given back, or patched and wanted again
	Gone            // it stopped, was taken, or was given back by somebody else
	Abandoned       // the plan ended before its turn, or let it go
)

// String is the state's name for people.
func (s State) String() string {
	return [...]string{"waiting", "renting", "draining", "giving-back", "patching", "finished", "gone", "left"}[s]
}

func (s State) isFinal() bool { return s >= Finished }

// isCordoned tells whether the machine gets no tasks in this state.
func (s State) isCordoned() bool { return s == Draining || s == Returning || s == Patching }

// Step is one machine of a plan.
type Step struct {
	Machine     model.MachineID
	State       State
	RentAttempt int // of renting its replacement
}

// Plan is a plan under way.
type Plan struct {
	Spec
	UID              string // never used twice: what is asked of the cloud is named after it
	Source           []byte // as declared, for people and for a later leader
	By               string
	At               time.Time
	Phase            Phase
	Steps            []Step
	PassedWaves      int    // waves after which the plan may go on
	GateClosedReason string // why a gate has paused it

	storeVersion      uint64 // of the stored record, 0: none
	generation        uint64 // grows with every change
	storedGeneration  uint64 // the newest that is surely stored
	writingGeneration uint64 // being stored, 0: none
	unsupportedReason string // why this release does not touch it
	runtime           []stepRuntime
	soakingSince      time.Duration // since when the first wave that is not passed is done with, 0: it is not
}

// stepRuntime is what is known of a step in this term only.
type stepRuntime struct {
	stateSince     time.Duration // in its state, as far as this leader knows
	blockedReason  string        // why it does not go on
	lastRequestAt  time.Duration // rentals and returns: the last
	requestPending bool
	replacement    model.MachineID // its replacement, once rented
}

// synced tells whether all of the plan is surely stored: only then it acts.
func (p *Plan) synced() bool { return p.storedGeneration == p.generation }

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

func (p *Plan) setState(now time.Duration, i int, s State) {
	p.Steps[i].State = s
	p.runtime[i] = stepRuntime{stateSince: now, replacement: p.runtime[i].replacement}
	p.generation++
}

package drain

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"honeylock/internal/core/model"
)

// Params are an engine's settings.
type Params struct {
	Term uint64 // the leader's term; part of the UIDs of new plans
	// ReportInterval is how often workers report. A machine's task list counts as current for a few
	// intervals.
	ReportInterval time.Duration
	// RetryInterval is how long to wait before a rental that failed is requested again.
	RetryInterval time.Duration
	// MaxMachines is the maximum number of machines in a plan, so that its record fits into a value of
	// the state service.
	MaxMachines int
	// MaxRecordBytes limits the size of a stored record. Larger records are compressed once all
	// controllers can read them (see EnableCompression); 0 means no limit.
	MaxRecordBytes int
}

// ActionKind says what an Action asks the caller to do.
type ActionKind uint8

// Kinds of actions. The caller reports the outcome of ListTasks, Rent and ReturnMachine through
// TasksListed, MachineRented and MachineReturned.
const (
	Cordon        ActionKind = iota // the machine gets no new tasks
	Uncordon                        // the machine may get tasks again
	ListTasks                       // ask the machine's owner which tasks are on it
	Recall                          // stop the task, so that it continues on another machine
	Rent                            // rent a machine like Template under the name Request
	ReturnMachine                   // return the machine to the cloud
)

// Action is something that the engine wants done.
type Action struct {
	Kind     ActionKind
	Machine  model.MachineID
	Task     model.Task
	Plan     string        // Rent: the plan's name
	Step     int           // Rent: index of the plan's step
	Request  string        // Rent: idempotency key of the rental
	Template model.Machine // Rent: the machine to replace
	Seq      uint64        // ListTasks: number of the request
}

// Engine is the state machine that carries out drains. Tick returns actions, and other methods take their
// outcomes.
type Engine struct {
	params           Params
	plans            map[string]*Plan
	lastUID          uint64                              // number in the UID of the newest plan of this term
	priceDrains      map[model.MachineID]bool            // machines drained because they cost too much
	priceReturns     map[model.MachineID]bool            // those of priceDrains that are being returned
	cordoned         map[model.MachineID]bool            // as of the last Cordon and Uncordon actions
	taskLists        map[model.MachineID]taskList        // the newest answers to ListTasks
	taskListRequests map[model.MachineID]taskListRequest // the newest ListTasks requests
	lastListSeq      uint64                              // number of the newest ListTasks request
	firstPlanIndex   int                                 // index of the plan that Tick handles first
	compression      bool                                // records above MaxRecordBytes are compressed
	lastReplicaMove  map[model.JobID]time.Duration       // when a replica of a service was last moved
	actions          []Action
	moveCapacity     *freeCapacity // capacity left for moves in this tick; nil: not computed yet
}

// taskListRequest is the newest ListTasks request for a machine.
type taskListRequest struct {
	sentAt time.Duration
	seq    uint64
}

// New returns an engine without plans.
func New(p Params) *Engine {
	return &Engine{params: p, plans: map[string]*Plan{}, priceDrains: map[model.MachineID]bool{},
		priceReturns: map[model.MachineID]bool{},
		cordoned:     map[model.MachineID]bool{}, taskLists: map[model.MachineID]taskList{},
		taskListRequests: map[model.MachineID]taskListRequest{},
		lastReplicaMove:  map[model.JobID]time.Duration{}}
}

// Idle reports whether there is nothing to do: all plans have ended and are stored, and no machine is
// cordoned or drained for its price.
func (e *Engine) Idle() bool {
	for _, p := range e.plans {
		if p.unsupportedReason == "" && (!p.ended() || !p.synced()) {
			return false
		}
	}
	return len(e.priceDrains) == 0 && len(e.cordoned) == 0
}

// sortedPlans returns all plans, sorted by name.
func (e *Engine) sortedPlans() []*Plan {
	out := make([]*Plan, 0, len(e.plans))
	for _, p := range e.plans {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *Plan) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// RefusedError says why a requested change was refused.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (r *RefusedError) Error() string { return r.Reason }

// refuse returns a RefusedError with a formatted reason.
func refuse(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// Check returns an error if a plan could not be applied now: its name is in use, it has no machines or
// too many, its record could become too large, or an unfinished step of another plan has one of its
// machines.
func (e *Engine) Check(spec *Spec, source []byte, machineName func(model.MachineID) string) error {
	if p := e.plans[spec.Name]; p != nil && p.unsupportedReason != "" {
		return refuse("name: plan %q exists already: %s", spec.Name, p.unsupportedReason)
	} else if p != nil && !p.ended() {
		return refuse("name: plan %q is %s", spec.Name, p.Phase)
	}
	if len(spec.Machines) == 0 {
		return refuse("machines: no machine matches now")
	}
	if len(spec.Machines) > e.params.MaxMachines {
		return refuse("machines: %d, but a plan can have at most %d: split the plan", len(spec.Machines),
			e.params.MaxMachines)
	}
	if e.params.MaxRecordBytes > 0 {
		if size := maxRecordSize(spec, source); size > e.params.MaxRecordBytes {
			return refuse("machines: %d, with a source of %d bytes, may take %d bytes to store, at most %d: split the plan",
				len(spec.Machines), len(source), size, e.params.MaxRecordBytes)
		}
	}
	var errs []error
	for _, p := range e.sortedPlans() {
		for i := range p.Steps {
			if id := p.Steps[i].Machine; !p.Steps[i].State.isFinal() && slices.Contains(spec.Machines, id) {
				errs = append(errs, refuse("machines: %s is wanted by plan %q and by %q", machineName(id), p.Name, spec.Name))
			}
		}
	}
	return errors.Join(errs...)
}

// Apply starts a plan that Check accepted.
func (e *Engine) Apply(now time.Duration, wall time.Time, spec *Spec, source []byte, by string) *Plan {
	e.lastUID++
	p := &Plan{Spec: *spec, UID: fmt.Sprintf("%d-%d", e.params.Term, e.lastUID), Source: source, By: by, At: wall,
		Phase: Active, generation: 1}
	for _, id := range spec.Machines {
		p.Steps = append(p.Steps, Step{Machine: id})
		delete(e.priceDrains, id) // the plan decides about the machine from now on
	}
	p.runtime = make([]stepRuntime, len(p.Steps))
	for i := range p.runtime {
		p.runtime[i].stateSince = now
	}
	if old := e.plans[spec.Name]; old != nil {
		p.storeVersion = old.storeVersion
	}
	e.plans[spec.Name] = p
	return p
}

// editablePlan returns the plan of that name, or an error if there is none or this release can't
// change it.
func (e *Engine) editablePlan(name string) (*Plan, error) {
	p := e.plans[name]
	switch {
	case p == nil:
		return nil, refuse("no plan is named %q", name)
	case p.unsupportedReason != "":
		return nil, refuse("plan %q can't be changed here: %s", name, p.unsupportedReason)
	}
	return p, nil
}

// Pause pauses a plan: no step starts and no task is moved. Machines that are being drained stay
// cordoned.
func (e *Engine) Pause(name string) error { return e.switchPhase(name, Active, Paused) }

// Resume continues a paused plan. If a gate had paused it, the plan passes that gate.
func (e *Engine) Resume(name string) error { return e.switchPhase(name, Paused, Active) }

// switchPhase changes a plan's phase between Active and Paused. It does nothing if the plan is in the
// target phase already.
func (e *Engine) switchPhase(name string, from, to Phase) error {
	p, err := e.editablePlan(name)
	if err != nil {
		return err
	}
	if p.Phase == to {
		return nil
	}
	if p.Phase != from {
		return refuse("plan %q is %s", name, p.Phase)
	}
	if to == Active && p.GateClosedReason != "" { // the operator overrides the gate
		p.GateClosedReason = ""
		p.passWave(p.PassedWaves)
	}
	p.Phase = to
	p.generation++
	return nil
}

// Cancel ends a plan. Its machines become usable again, except those that are being returned to the
// cloud, which can't be undone.
func (e *Engine) Cancel(now time.Duration, name string) error {
	p, err := e.editablePlan(name)
	if err != nil {
		return err
	}
	if p.Phase == Cancelled {
		return nil
	}
	if p.Phase == Done || p.ended() {
		return refuse("plan %q is %s", name, p.Phase)
	}
	e.endPlan(now, p, Cancelled)
	return nil
}

// endPlan abandons the plan's steps that can still be undone. When the plan is overdue, only steps
// that have not started draining are abandoned.
func (e *Engine) endPlan(now time.Duration, p *Plan, to Phase) {
	p.Phase = to
	p.generation++
	for i := range p.Steps {
		s := p.Steps[i].State
		if s.isFinal() || s == Returning || to == Overdue && s != Waiting && s != Renting {
			continue
		}
		p.setState(now, i, Abandoned)
	}
}

// Patched records that an operator has patched a machine of a plan, so that it becomes usable again.
// Repeating the call has no effect.
func (e *Engine) Patched(now time.Duration, name string, id model.MachineID, machine string) error {
	p, err := e.editablePlan(name)
	if err != nil {
		return err
	}
	for i := range p.Steps {
		if p.Steps[i].Machine != id {
			continue
		}
		switch p.Steps[i].State {
		case Finished:
			return nil
		case Patching:
			p.setState(now, i, Finished)
			return nil
		}
		return refuse("%s is %s: only a machine that is patching can be patched", machine, p.Steps[i].State)
	}
	return refuse("plan %q has no machine %s", name, machine)
}

// DrainForPrice starts draining machines that cost too much: each is returned once it is empty.
// Machines of plans are left out. These drains are not stored, because a new leader evaluates prices
// again.
func (e *Engine) DrainForPrice(ids []model.MachineID) {
	inPlans := e.machinesInPlans()
	for _, id := range ids {
		if !inPlans[id] {
			e.priceDrains[id] = true
		}
	}
}

// CancelPriceDrain makes machines usable again that were drained for their price, unless they are
// being returned already.
func (e *Engine) CancelPriceDrain(ids []model.MachineID) {
	for _, id := range ids {
		if !e.priceReturns[id] {
			delete(e.priceDrains, id)
		}
	}
}

// machinesInPlans returns the machines of unfinished steps and their replacements. A replacement
// belongs to the plan until the machine that it replaces is done with, because the tasks are to move
// there.
func (e *Engine) machinesInPlans() map[model.MachineID]bool {
	out := map[model.MachineID]bool{}
	for _, p := range e.plans {
		for i := range p.Steps {
			if p.Steps[i].State.isFinal() {
				continue
			}
			out[p.Steps[i].Machine] = true
			if id := p.runtime[i].replacement; id != 0 {
				out[id] = true
			}
		}
	}
	return out
}

// MachinePlans returns a function that reports whether a plan drains a machine now, and whether a plan
// has it in an unfinished step or rented it as a replacement.
func (e *Engine) MachinePlans() func(model.MachineID) (drains, inPlan bool) {
	inPlans := e.machinesInPlans()
	return func(id model.MachineID) (bool, bool) { return e.cordoned[id] && inPlans[id], inPlans[id] }
}

// TasksListed takes the answer of a machine's owner to the ListTasks request numbered seq. Only the
// answer to the newest request counts: an older one may have been given before the machine was
// cordoned, and proves nothing about the time after.
func (e *Engine) TasksListed(now time.Duration, id model.MachineID, seq uint64, tasks []model.PlacedTask,
	specOf func(model.JobID) *model.Spec) {
	if request, ok := e.taskListRequests[id]; !ok || request.seq != seq {
		return
	}
	list := taskList{receivedAt: now, empty: len(tasks) == 0}
	for _, t := range tasks {
		if spec := specOf(t.Task.Job); spec != nil {
			list.tasks = append(list.tasks, runningTask{t, spec})
		}
	}
	e.taskLists[id] = list
}

// MachineRented takes the outcome of a Rent action: the rented machine, or none, with refused set if
// the cloud declined.
func (e *Engine) MachineRented(now time.Duration, action Action, rented []model.MachineID, refused bool) {
	p := e.plans[action.Plan]
	if p == nil || action.Step >= len(p.Steps) || p.Steps[action.Step].State != Renting ||
		action.Request != p.rentRequest(action.Step) {
		return
	}
	step := &p.runtime[action.Step]
	step.requestPending, step.lastAnswerAt = false, now
	switch {
	case len(rented) > 0:
		step.replacement = rented[0]
		// A leader that did not know yet whose replacement this is may have drained it for its price.
		e.CancelPriceDrain(rented[:1])
	case refused:
		step.blockedReason = "the cloud has no machine to replace it"
	default:
		step.blockedReason = "the cloud does not answer"
	}
}

// MachineReturned takes the outcome of a ReturnMachine action.
func (e *Engine) MachineReturned(now time.Duration, id model.MachineID, ok bool) {
	if e.priceDrains[id] {
		delete(e.priceReturns, id)
		if ok {
			delete(e.priceDrains, id)
			delete(e.cordoned, id)
		}
		return
	}
	for _, p := range e.sortedPlans() {
		for i := range p.Steps {
			if p.Steps[i].Machine != id || p.Steps[i].State != Returning {
				continue
			}
			p.runtime[i].requestPending, p.runtime[i].lastAnswerAt = false, now
			if ok {
				p.setState(now, i, Finished)
			} else {
				p.runtime[i].blockedReason = "the cloud does not take it back"
			}
		}
	}
}

// rentRequest is the idempotency key for renting a step's replacement. All leaders use the same key,
// so that only one machine is rented.
func (p *Plan) rentRequest(i int) string {
	return fmt.Sprintf("drain-%s-%d-%d", p.UID, i, p.Steps[i].RentAttempt)
}

// emit adds an action to those that the current call returns.
func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// joinNames joins up to three names for a message, and counts the rest.
func joinNames(all []string) string {
	if len(all) > 3 {
		return strings.Join(all[:3], ", ") + fmt.Sprintf(" and %d more", len(all)-3)
	}
	return strings.Join(all, ", ")
}

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

// Params of an engine.
type Params struct {
	Term uint64
	// ReportInterval is how often workers report: what is told of a machine is fresh for
	// a few of them.
	ReportInterval time.Duration
	// RetryInterval is when what the cloud refused is asked for again.
	RetryInterval time.Duration
	// MaxMachines machines of a plan, so that its record fits into a value.
	MaxMachines int
	// MaxRecordBytes is how many bytes a record may have from some moment on, packed; 0: as many
	// as now.
	MaxRecordBytes int
}

// ActionKind tells actions apart.
type ActionKind uint8

// Actions. Rent and ReturnMachine come back through Rented and Given.
const (
	Cordon        ActionKind = iota // the machine gets no more tasks
	Uncordon                        // it is wanted again
	ListTasks                       // its owner is asked what runs there, and answers through Seen
	Recall                          // the task is to leave the machine
	Rent                            // a machine like this one, under this request's name
	ReturnMachine                   // back to the cloud
)

// Action to carry out.
type Action struct {
	Kind     ActionKind
	Machine  model.MachineID
	Task     model.Task
	Plan     string        // Rent
	Step     int           // Rent
	Request  string        // Rent
	Template model.Machine // Rent
	Seq      uint64        // Look
}

// Engine is the state machine.
type Engine struct {
	params           Params
	plans            map[string]*Plan
	lastUID          uint64
	priceDrains      map[model.MachineID]bool // drained for their price
	priceReturns     map[model.MachineID]bool // of price: being given back
	cordoned         map[model.MachineID]bool // as last told
	taskLists        map[model.MachineID]taskList
	taskListRequests map[model.MachineID]taskListRequest // Look
	lastListSeq      uint64
	firstPlan        int                           // of plans
	compression      bool                          // records that would be too large are packed
	lastReplicaMove  map[model.JobID]time.Duration // services: when a replica was last moved
	actions          []Action
	moveCapacity     *freeCapacity // for what moves in this tick, nil: not asked for yet
}

// taskListRequest is the last question what runs on a machine.
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

// Idle tells that there is nothing to do: no plan that is not over, and no
// machine drained for its price.
func (e *Engine) Idle() bool {
	for _, p := range e.plans {
		if p.unsupportedReason == "" && (!p.ended() || !p.synced()) {
			return false
		}
	}
	return len(e.priceDrains) == 0 && len(e.cordoned) == 0
}

func (e *Engine) sortedPlans() []*Plan {
	out := make([]*Plan, 0, len(e.plans))
	for _, p := range e.plans {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *Plan) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// RefusedError says why a change can't be made.
type RefusedError struct{ Reason string }

func (r *RefusedError) Error() string { return r.Reason }

func refuse(format string, args ...any) error { return &RefusedError{fmt.Sprintf(format, args...)} }

// Check tells whether a plan could be applied now.
func (e *Engine) Check(spec *Spec, source []byte, machineName func(model.MachineID) string) error {
	if p := e.plans[spec.Name]; p != nil && p.unsupportedReason != "" {
		return refuse("name: plan %q is there already, %s", spec.Name, p.unsupportedReason)
	} else if p != nil && !p.ended() {
		return refuse("name: plan %q is %s", spec.Name, p.Phase)
	}
	if len(spec.Machines) == 0 {
		return refuse("machines: none is like that now")
	}
	if len(spec.Machines) > e.params.MaxMachines {
		return refuse("machines: %d, a plan holds %d at most: split it", len(spec.Machines), e.params.MaxMachines)
	}
	if e.params.MaxRecordBytes > 0 {
		if size := maxRecordSize(spec, source); size > e.params.MaxRecordBytes {
			return refuse("machines: %d, with a text of %d bytes, may take %d bytes to store, at most %d: split the plan",
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

// Apply begins a plan that Check took.
func (e *Engine) Apply(now time.Duration, wall time.Time, spec *Spec, source []byte, by string) *Plan {
	e.lastUID++
	p := &Plan{Spec: *spec, UID: fmt.Sprintf("%d-%d", e.params.Term, e.lastUID), Source: source, By: by, At: wall,
		Phase:      Active,
		generation: 1}
	for _, id := range spec.Machines {
		p.Steps = append(p.Steps, Step{Machine: id})
		delete(e.priceDrains, id) // the plan decides from now on
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

// editablePlan finds one that can be changed.
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

// Pause stops a plan: no step begins and nothing moves. What is being drained
// gets no tasks still.
func (e *Engine) Pause(name string) error { return e.switchPhase(name, Active, Paused) }

// Resume lets a paused plan go on.
func (e *Engine) Resume(name string) error { return e.switchPhase(name, Paused, Active) }

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
	if to == Active && p.GateClosedReason != "" { // the operator's word for the gate
		p.GateClosedReason = ""
		p.passWave(p.PassedWaves)
	}
	p.Phase = to
	p.generation++
	return nil
}

// Cancel ends a plan: its machines are wanted again, but for those that are being
// given back, which can't be undone.
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

// endPlan lets go of all steps that can still be undone.
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

// Patched takes an operator's word that a machine of a plan is patched: it is
// wanted again.
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

// DrainForPrice drains machines for their price: they go once they are empty. That is
// not stored: a new leader judges prices anew.
func (e *Engine) DrainForPrice(ids []model.MachineID) {
	wanted := e.machinesInPlans()
	for _, id := range ids {
		if !wanted[id] {
			e.priceDrains[id] = true
		}
	}
}

// CancelPriceDrain wants machines again that were drained for their price.
func (e *Engine) CancelPriceDrain(ids []model.MachineID) {
	for _, id := range ids {
		if !e.priceReturns[id] {
			delete(e.priceDrains, id)
		}
	}
}

// machinesInPlans are the machines that plans have, and the replacements of those that are not emptied
// yet: their tasks are to move there.
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

// MachinePlans tells whether a plan drains a machine now, and whether one has it at all, or rented it
// for one that it has.
func (e *Engine) MachinePlans() func(model.MachineID) (drains, wants bool) {
	wanted := e.machinesInPlans()
	return func(id model.MachineID) (bool, bool) { return e.cordoned[id] && wanted[id], wanted[id] }
}

// TasksListed takes what a machine's owner told of its tasks, in answer to the Look of
// that number. Only the answer to the newest counts: one that was asked before
// the machine was barred proves nothing of after.
func (e *Engine) TasksListed(now time.Duration, id model.MachineID, seq uint64, tasks []model.PlacedTask,
	specOf func(model.JobID) *model.Spec) {
	if a, ok := e.taskListRequests[id]; !ok || a.seq != seq {
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

// MachineRented takes the outcome of a rental: the machine, or why there is none.
func (e *Engine) MachineRented(now time.Duration, a Action, rented []model.MachineID, refused bool) {
	p := e.plans[a.Plan]
	if p == nil || a.Step >= len(p.Steps) || p.Steps[a.Step].State != Renting || a.Request != p.rentRequest(a.Step) {
		return
	}
	r := &p.runtime[a.Step]
	r.requestPending, r.lastRequestAt = false, now
	switch {
	case len(rented) > 0:
		r.replacement = rented[0]
		e.CancelPriceDrain(rented[:1]) // it may be drained for its price by a leader that did not know whose it is
	case refused:
		r.blockedReason = "the cloud has no machine to replace it"
	default:
		r.blockedReason = "the cloud does not answer"
	}
}

// MachineReturned takes the outcome of a return.
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
			p.runtime[i].requestPending, p.runtime[i].lastRequestAt = false, now
			if ok {
				p.setState(now, i, Finished)
			} else {
				p.runtime[i].blockedReason = "the cloud does not take it back"
			}
		}
	}
}

// rentRequest is the name under which a step's replacement is asked for: the same for
// every leader, so that it is rented once.
func (p *Plan) rentRequest(i int) string {
	return fmt.Sprintf("drain-%s-%d-%d", p.UID, i, p.Steps[i].RentAttempt)
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// joinNames joins a few names for people.
func joinNames(all []string) string {
	if len(all) > 3 {
		return strings.Join(all[:3], ", ") + fmt.Sprintf(" and %d more", len(all)-3)
	}
	return strings.Join(all, ", ")
}

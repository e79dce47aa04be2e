package drain

import (
	"time"

	"honeylock/internal/core/model"
)

// Status is the state of a plan, for operators.
type Status struct {
	Name          string
	Phase         Phase
	By            string
	At            time.Time
	Note          string         // why the plan can't be changed here, why a gate closed, or that a write is pending
	Counts        map[string]int // number of steps by state
	BlockedReason string         // of the first step that is blocked
	// SlowestMachine is the machine that has been in its present state for longest, if for more than
	// slowestAfter. It probably delays the plan.
	SlowestMachine model.MachineID
	SlowestFor     time.Duration
	Steps          []StepStatus
}

// StepStatus is the state of one machine of a plan.
type StepStatus struct {
	Machine       model.MachineID
	State         string
	BlockedReason string
	InStateFor    time.Duration // as far as the present leader knows
	Replacement   model.MachineID
}

// slowestAfter is how long a step must be in its state to be shown as slowest.
const slowestAfter = time.Minute

// Status returns the state of a plan with its steps, nil if there is no plan of that name.
func (e *Engine) Status(now time.Duration, name string) *Status {
	p := e.plans[name]
	if p == nil {
		return nil
	}
	s := p.summary(now)
	for i := range p.Steps {
		s.Steps = append(s.Steps, StepStatus{Machine: p.Steps[i].Machine, State: p.Steps[i].State.String(),
			BlockedReason: p.runtime[i].blockedReason,
			InStateFor:    now - p.runtime[i].stateSince, Replacement: p.runtime[i].replacement})
	}
	return &s
}

// List returns the state of all plans, without their steps.
func (e *Engine) List(now time.Duration) []Status {
	var out []Status
	for _, p := range e.sortedPlans() {
		out = append(out, p.summary(now))
	}
	return out
}

// summary returns the plan's state without its steps.
func (p *Plan) summary(now time.Duration) Status {
	s := Status{Name: p.Name, Phase: p.Phase, By: p.By, At: p.At, Note: p.unsupportedReason, Counts: map[string]int{}}
	if p.unsupportedReason != "" {
		return s
	}
	s.Note = p.GateClosedReason
	if !p.synced() {
		s.Note = "its newest state is being stored"
	}
	for i := range p.Steps {
		s.Counts[p.Steps[i].State.String()]++
		if s.BlockedReason == "" && !p.Steps[i].State.isFinal() && p.runtime[i].blockedReason != "" {
			s.BlockedReason = p.runtime[i].blockedReason
		}
		if st := p.Steps[i].State; st == Waiting || st.isFinal() {
			continue
		}
		if d := now - p.runtime[i].stateSince; d > max(slowestAfter, s.SlowestFor) {
			s.SlowestMachine, s.SlowestFor = p.Steps[i].Machine, d
		}
	}
	return s
}

// Synced reports whether a plan's current state is known to be stored. It is true for a plan that does
// not exist.
func (e *Engine) Synced(name string) bool {
	p := e.plans[name]
	return p == nil || p.synced()
}

// AllSynced reports whether all plans are known to be stored.
func (e *Engine) AllSynced() bool {
	for _, p := range e.plans {
		if p.unsupportedReason == "" && !p.synced() {
			return false
		}
	}
	return true
}

// ActiveCounts counts the plans that have not ended and the machines that they cordon.
func (e *Engine) ActiveCounts() (plans, machines int) {
	for _, p := range e.plans {
		if p.unsupportedReason == "" && !p.ended() {
			plans++
		}
	}
	for id := range e.cordoned {
		if !e.priceDrains[id] {
			machines++
		}
	}
	return plans, machines
}

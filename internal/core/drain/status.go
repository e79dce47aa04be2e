package drain

import (
	"time"

	"honeylock/internal/core/model"
)

// Status is how a plan stands, for people and scripts.
type Status struct {
	Name          string
	Phase         Phase
	By            string
	At            time.Time
	Note          string // why this release does not touch it, or what is not stored yet
	Counts        map[string]int
	BlockedReason string // what the plan waits for first
	// SlowestMachine is the machine under way for longest, once that is for more than
	// behindAfter: it holds the plan.
	SlowestMachine model.MachineID
	SlowestFor     time.Duration
	Steps          []StepStatus
}

// StepStatus is how a machine of a plan stands.
type StepStatus struct {
	Machine       model.MachineID
	State         string
	BlockedReason string
	InStateFor    time.Duration // in this state, as far as the present leader knows
	Replacement   model.MachineID
}

const behindAfter = time.Minute

// Status returns how a plan stands, nil if there is none of that name.
func (e *Engine) Status(now time.Duration, name string) *Status {
	p := e.plans[name]
	if p == nil {
		return nil
	}
	s := p.brief(now)
	for i := range p.Steps {
		s.Steps = append(s.Steps, StepStatus{Machine: p.Steps[i].Machine, State: p.Steps[i].State.String(),
			BlockedReason: p.rt[i].held,
			InStateFor:    now - p.rt[i].since, Replacement: p.rt[i].renewed})
	}
	return &s
}

// List returns how all plans stand, without their steps.
func (e *Engine) List(now time.Duration) []Status {
	var out []Status
	for _, p := range e.sorted() {
		out = append(out, p.brief(now))
	}
	return out
}

func (p *Plan) brief(now time.Duration) Status {
	s := Status{Name: p.Name, Phase: p.Phase, By: p.By, At: p.At, Note: p.foreign, Counts: map[string]int{}}
	if p.foreign != "" {
		return s
	}
	s.Note = p.GateClosedReason
	if !p.synced() {
		s.Note = "its newest state is being stored"
	}
	for i := range p.Steps {
		s.Counts[p.Steps[i].State.String()]++
		if s.BlockedReason == "" && !p.Steps[i].State.over() && p.rt[i].held != "" {
			s.BlockedReason = p.rt[i].held
		}
		if st := p.Steps[i].State; st == Waiting || st.over() {
			continue
		}
		if d := now - p.rt[i].since; d > max(behindAfter, s.SlowestFor) {
			s.SlowestMachine, s.SlowestFor = p.Steps[i].Machine, d
		}
	}
	return s
}

// Synced tells whether all of a plan is surely stored; what is not there is.
func (e *Engine) Synced(name string) bool {
	p := e.plans[name]
	return p == nil || p.synced()
}

// AllSynced tells whether all plans are surely stored.
func (e *Engine) AllSynced() bool {
	for _, p := range e.plans {
		if p.foreign == "" && !p.synced() {
			return false
		}
	}
	return true
}

// ActiveCounts counts the plans that have not ended, and the machines that they keep
// from tasks.
func (e *Engine) ActiveCounts() (plans, machines int) {
	for _, p := range e.plans {
		if p.foreign == "" && !p.ended() {
			plans++
		}
	}
	for id := range e.barred {
		if !e.price[id] {
			machines++
		}
	}
	return plans, machines
}

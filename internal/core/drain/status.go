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

const slowestAfter = time.Minute

// Status returns how a plan stands, nil if there is none of that name.
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

// List returns how all plans stand, without their steps.
func (e *Engine) List(now time.Duration) []Status {
	var out []Status
	for _, p := range e.sortedPlans() {
		out = append(out, p.summary(now))
	}
	return out
}

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

// Synced tells whether all of a plan is surely stored; what is not there is.
func (e *Engine) Synced(name string) bool {
	p := e.plans[name]
	return p == nil || p.synced()
}

// AllSynced tells whether all plans are surely stored.
func (e *Engine) AllSynced() bool {
	for _, p := range e.plans {
		if p.unsupportedReason == "" && !p.synced() {
			return false
		}
	}
	return true
}

// ActiveCounts counts the plans that have not ended, and the machines that they keep
// from tasks.
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

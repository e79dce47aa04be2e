package node

import (
	"strconv"
	"time"

	"honeylock/internal/core/drain"
	"honeylock/internal/wire"
)

// PlanStatus is the state of a drain plan as operators see it.
type PlanStatus struct {
	Name           string         `json:"name"`
	Phase          string         `json:"phase,omitempty"`
	By             string         `json:"by,omitempty"`
	At             *time.Time     `json:"at,omitempty"`
	Note           string         `json:"note,omitempty"`
	Counts         map[string]int `json:"counts"`           // steps by state
	BlockedReason  string         `json:"held,omitempty"`   // why the plan does not continue
	SlowestMachine string         `json:"behind,omitempty"` // the machine that the plan waits for, and for how long
	Steps          []PlanStep     `json:"steps,omitempty"`
}

// PlanStep is the state of one machine of a plan.
type PlanStep struct {
	Machine       string  `json:"machine"`
	State         string  `json:"state"`
	BlockedReason string  `json:"held,omitempty"`        // why the step does not continue
	ForS          float64 `json:"for_s"`                 // time in this state
	Replacement   string  `json:"replacement,omitempty"` // machine that was rented in its place
}

// planStatus converts a plan's status for operators.
func (dm *drainManager) planStatus(s *drain.Status) PlanStatus {
	out := PlanStatus{Name: s.Name, Phase: string(s.Phase), By: s.By, Note: s.Note, Counts: s.Counts,
		BlockedReason: s.BlockedReason}
	if !s.At.IsZero() {
		out.At = &s.At
	}
	if s.SlowestMachine != 0 {
		out.SlowestMachine = wire.MachineName(s.SlowestMachine) + " for " + s.SlowestFor.Round(time.Second).String()
	}
	for _, stepStatus := range s.Steps {
		step := PlanStep{Machine: wire.MachineName(stepStatus.Machine), State: stepStatus.State,
			BlockedReason: stepStatus.BlockedReason,
			ForS:          stepStatus.InStateFor.Round(100 * time.Millisecond).Seconds()}
		if stepStatus.Replacement != 0 {
			step.Replacement = wire.MachineName(stepStatus.Replacement)
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

// formatCount returns a number with its noun in singular or plural.
func formatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

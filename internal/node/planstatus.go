package node

import (
	"strconv"
	"time"

	"honeylock/internal/core/drain"
	"honeylock/internal/wire"
)

// PlanStatus is how a drain plan stands, as operators see it.
type PlanStatus struct {
	Name          string         `json:"name"`
	Phase         string         `json:"phase,omitempty"`
	By            string         `json:"by,omitempty"`
	At            *time.Time     `json:"at,omitempty"`
	Note          string         `json:"note,omitempty"`
	Counts        map[string]int `json:"counts"`
	BlockedReason string         `json:"held,omitempty"`
	Behind        string         `json:"behind,omitempty"` // the machine that holds the plan
	Steps         []PlanStep     `json:"steps,omitempty"`
}

// PlanStep is how a machine of a plan stands.
type PlanStep struct {
	Machine       string  `json:"machine"`
	State         string  `json:"state"`
	BlockedReason string  `json:"held,omitempty"`
	ForS          float64 `json:"for_s"`
	Replacement   string  `json:"replacement,omitempty"`
}

func (dm *drainManager) planStatus(s *drain.Status) PlanStatus {
	out := PlanStatus{Name: s.Name, Phase: string(s.Phase), By: s.By, Note: s.Note, Counts: s.Counts,
		BlockedReason: s.BlockedReason}
	if !s.At.IsZero() {
		out.At = &s.At
	}
	if s.SlowestMachine != 0 {
		out.Behind = wire.MachineName(s.SlowestMachine) + " for " + s.SlowestFor.Round(time.Second).String()
	}
	for _, stepStatus := range s.Steps {
		step := PlanStep{Machine: wire.MachineName(stepStatus.Machine), State: stepStatus.State, BlockedReason: stepStatus.BlockedReason,
			ForS: stepStatus.InStateFor.Round(100 * time.Millisecond).Seconds()}
		if stepStatus.Replacement != 0 {
			step.Replacement = wire.MachineName(stepStatus.Replacement)
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

// formatCount is a number of things, for people.
func formatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

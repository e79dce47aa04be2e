package drain

import (
	"fmt"
	"math"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// stepLimit returns the number of steps, in order, that the plan's waves allow to start now, and what
// the next one waits for. It marks a wave as passed when its machines are done, its soak time is over
// and the gate is open.
func (e *Engine) stepLimit(v *View, p *Plan) (limit int, reason string) {
	for w := range p.Waves {
		limit = p.waveEnd(w, limit)
		if w < p.PassedWaves || limit >= len(p.Steps) {
			continue
		}
		if slices.ContainsFunc(p.Steps[:limit], func(s Step) bool { return !s.State.isFinal() }) {
			p.soakingSince = 0
			return limit, fmt.Sprintf("wave %d of %d is under way", w+1, len(p.Waves)+1)
		}
		if p.soakingSince == 0 {
			p.soakingSince = v.Now
		}
		if remaining := p.soakingSince + p.Waves[w].Soak - v.Now; remaining > 0 {
			return limit, fmt.Sprintf("wave %d of %d soaks for %v more", w+1, len(p.Waves)+1, remaining.Round(time.Second))
		}
		if reason := e.gateBlocker(v, p); reason != "" {
			return limit, reason
		}
		p.passWave(w)
		return limit, "" // the passed wave must be stored first
	}
	return len(p.Steps), ""
}

// passWave marks a wave as passed, so that the plan continues with the next.
func (p *Plan) passWave(w int) {
	p.PassedWaves, p.soakingSince = w+1, 0
	p.generation++
}

// waveEnd returns the index after the last step of the wave that starts at begin.
func (p *Plan) waveEnd(w, begin int) int {
	end := begin + p.Waves[w].Machines
	if s := p.Waves[w].Share; s > 0 {
		end = int(math.Ceil(s * float64(len(p.Steps))))
	}
	return min(max(end, begin), len(p.Steps))
}

// gateBlocker returns why the gate keeps the plan from its next wave, "" if it does not. It closes the
// gate, which pauses the plan, if at least a quarter of the new or patched machines are missing, if
// at least 3 replacements never came up and these are at least half as many as the new machines, or if
// tasks on the new or patched machines do worse than tasks on other machines, by the plan's gate.
func (e *Engine) gateBlocker(v *View, p *Plan) string {
	if p.Gate == nil {
		return ""
	}
	if v.EvaluateGate == nil || !v.Recovered {
		return "the gate: this leader does not know all machines yet"
	}
	machines := p.renewedMachines(v)
	if n := countMissing(v, machines); n > 0 && 4*n >= len(machines) {
		p.closeGate(fmt.Sprintf("%d of %d renewed machines don't report, or are held to be faulty", n, len(machines)))
		return p.GateClosedReason
	}
	if n := p.failedRentals(); n >= 3 && 2*n >= len(machines) {
		p.closeGate(fmt.Sprintf("%d replacements never came up, %d did", n, len(machines)))
		return p.GateClosedReason
	}
	verdict := v.EvaluateGate(*p.Gate, machines)
	if verdict.Closed {
		p.closeGate(verdict.Reason)
	}
	if verdict.Open {
		return ""
	}
	return "the gate: " + verdict.Reason
}

// closeGate pauses the plan with the reason.
func (p *Plan) closeGate(reason string) {
	p.Phase, p.GateClosedReason = Paused, "the gate closed: "+reason
	p.generation++
}

// renewedMachines returns the machines that the plan has patched, or those that were rented since the
// plan was applied. Every leader finds the same machines, because their ages come from the cloud.
func (p *Plan) renewedMachines(v *View) []model.MachineID {
	replaced := map[model.MachineID]bool{}
	var out []model.MachineID
	for _, s := range p.Steps {
		replaced[s.Machine] = true
		if p.WhenEmpty == Patch && s.State == Finished {
			out = append(out, s.Machine)
		}
	}
	began := v.Now - v.Wall.Sub(p.At)
	for _, id := range sortedIDs(v.Machines) {
		if p.WhenEmpty != Patch && !replaced[id] && v.Machines[id].KnownSince >= began {
			out = append(out, id)
		}
	}
	return out
}

// countMissing counts the machines that do not report or are held to be faulty.
func countMissing(v *View, ids []model.MachineID) (count int) {
	for _, id := range ids {
		if m, ok := v.Machines[id]; !ok || !m.Reported || m.Faulty {
			count++
		}
	}
	return count
}

// failedRentals counts the replacements that never came up.
func (p *Plan) failedRentals() (n int) {
	for _, s := range p.Steps {
		n += s.RentAttempt
	}
	return n
}

// HasGate reports whether a plan that has not ended has a gate, which needs statistics about tasks.
func (e *Engine) HasGate() bool {
	for _, p := range e.plans {
		if p.unsupportedReason == "" && p.Gate != nil && !p.ended() {
			return true
		}
	}
	return false
}

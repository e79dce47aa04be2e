package drain

import (
	"fmt"
	"math"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// stepLimit is the step up to which the plan's waves let it begin now; why tells what the
// first one beyond waits for.
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
		return limit, "" // stored first
	}
	return len(p.Steps), ""
}

// passWave lets a plan go on after a wave.
func (p *Plan) passWave(w int) {
	p.PassedWaves, p.soakingSince = w+1, 0
	p.generation++
}

// waveEnd is the step after a wave's last, which begins at a step.
func (p *Plan) waveEnd(w, begin int) int {
	end := begin + p.Waves[w].Machines
	if s := p.Waves[w].Share; s > 0 {
		end = int(math.Ceil(s * float64(len(p.Steps))))
	}
	return min(max(end, begin), len(p.Steps))
}

// gateBlocker tells what keeps a plan from its next wave, "" if nothing does. One that closes
// pauses the plan.
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

func (p *Plan) closeGate(reason string) {
	p.Phase, p.GateClosedReason = Paused, "the gate closed: "+reason
	p.generation++
}

// renewedMachines are the machines of a plan that are patched, and those that were rented since
// it began: whichever leader asks, for their ages are the cloud's.
func (p *Plan) renewedMachines(v *View) []model.MachineID {
	replaced := map[model.MachineID]bool{}
	var out []model.MachineID
	for _, s := range p.Steps {
		replaced[s.Machine] = true
		if p.After == Patch && s.State == Finished {
			out = append(out, s.Machine)
		}
	}
	began := v.Now - v.Wall.Sub(p.At)
	for _, id := range sortedIDs(v.Machines) {
		if p.After != Patch && !replaced[id] && v.Machines[id].KnownSince >= began {
			out = append(out, id)
		}
	}
	return out
}

// countMissing counts the machines that nobody hears, or that are held to be faulty.
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

// HasGate tells whether a plan under way has a gate: evidence is of use.
func (e *Engine) HasGate() bool {
	for _, p := range e.plans {
		if p.unsupportedReason == "" && p.Gate != nil && !p.ended() {
			return true
		}
	}
	return false
}

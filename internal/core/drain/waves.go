package drain

import (
	"fmt"
	"math"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// until is the step up to which the plan's waves let it begin now; why tells what the
// first one beyond waits for.
func (e *Engine) until(v *View, p *Plan) (limit int, why string) {
	for w := range p.Waves {
		limit = p.waveEnd(w, limit)
		if w < p.PassedWaves || limit >= len(p.Steps) {
			continue
		}
		if slices.ContainsFunc(p.Steps[:limit], func(s Step) bool { return !s.State.over() }) {
			p.soaking = 0
			return limit, fmt.Sprintf("wave %d of %d is under way", w+1, len(p.Waves)+1)
		}
		if p.soaking == 0 {
			p.soaking = v.Now
		}
		if left := p.soaking + p.Waves[w].Soak - v.Now; left > 0 {
			return limit, fmt.Sprintf("wave %d of %d soaks for %v more", w+1, len(p.Waves)+1, left.Round(time.Second))
		}
		if why := e.gate(v, p); why != "" {
			return limit, why
		}
		p.pass(w)
		return limit, "" // stored first
	}
	return len(p.Steps), ""
}

// pass lets a plan go on after a wave.
func (p *Plan) pass(w int) {
	p.PassedWaves, p.soaking = w+1, 0
	p.gen++
}

// waveEnd is the step after a wave's last, which begins at a step.
func (p *Plan) waveEnd(w, begin int) int {
	end := begin + p.Waves[w].Machines
	if s := p.Waves[w].Share; s > 0 {
		end = int(math.Ceil(s * float64(len(p.Steps))))
	}
	return min(max(end, begin), len(p.Steps))
}

// gate tells what keeps a plan from its next wave, "" if nothing does. One that closes
// pauses the plan.
func (e *Engine) gate(v *View, p *Plan) string {
	if p.Gate == nil {
		return ""
	}
	if v.EvaluateGate == nil || !v.Recovered {
		return "the gate: this leader does not know all machines yet"
	}
	renewed := p.renewed(v)
	if n := missing(v, renewed); n > 0 && 4*n >= len(renewed) {
		p.close(fmt.Sprintf("%d of %d renewed machines don't report, or are held to be faulty", n, len(renewed)))
		return p.GateClosedReason
	}
	if n := p.tries(); n >= 3 && 2*n >= len(renewed) {
		p.close(fmt.Sprintf("%d replacements never came up, %d did", n, len(renewed)))
		return p.GateClosedReason
	}
	verdict := v.EvaluateGate(*p.Gate, renewed)
	if verdict.Closed {
		p.close(verdict.Reason)
	}
	if verdict.Open {
		return ""
	}
	return "the gate: " + verdict.Reason
}

func (p *Plan) close(why string) {
	p.Phase, p.GateClosedReason = Paused, "the gate closed: "+why
	p.gen++
}

// renewed are the machines of a plan that are patched, and those that were rented since
// it began: whichever leader asks, for their ages are the cloud's.
func (p *Plan) renewed(v *View) []model.MachineID {
	old := map[model.MachineID]bool{}
	var out []model.MachineID
	for _, s := range p.Steps {
		old[s.Machine] = true
		if p.After == Patch && s.State == Finished {
			out = append(out, s.Machine)
		}
	}
	began := v.Now - v.Wall.Sub(p.At)
	for _, id := range sortedIDs(v.Machines) {
		if p.After != Patch && !old[id] && v.Machines[id].KnownSince >= began {
			out = append(out, id)
		}
	}
	return out
}

// missing counts the machines that nobody hears, or that are held to be faulty.
func missing(v *View, ids []model.MachineID) (n int) {
	for _, id := range ids {
		if m, ok := v.Machines[id]; !ok || !m.Reported || m.Faulty {
			n++
		}
	}
	return n
}

// tries counts the replacements that never came up.
func (p *Plan) tries() (n int) {
	for _, s := range p.Steps {
		n += s.RentAttempt
	}
	return n
}

// HasGate tells whether a plan under way has a gate: evidence is of use.
func (e *Engine) HasGate() bool {
	for _, p := range e.plans {
		if p.foreign == "" && p.Gate != nil && !p.ended() {
			return true
		}
	}
	return false
}

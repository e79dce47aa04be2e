// Package rollout judges machines that were replaced or patched by how tasks fare there,
// against all other machines in the same time. It is a state machine of the leader's; its
// evidence begins anew with each leader, so that a change of leader can only delay a
// verdict.
package rollout

import (
	"fmt"
	"math"
	"time"

	"honeylock/internal/core/model"
)

// Gate says what the machines of a wave must show before the next one begins.
type Gate struct {
	MinTasks         int     // that have ended on them, at least
	MaxSlowdown      float64 // times as long as elsewhere, and surely so, closes it
	MaxErrorIncrease float64 // so much larger a part of failures than elsewhere, and surely so, closes it
}

// minDeviations is how many standard deviations a difference must be away from chance: one in
// 700 gates closes without a reason.
const minDeviations = 3

// logSums are of the logarithms of run times, as parts of their estimates.
type logSums struct{ n, sum, squares float64 }

func (s *logSums) add(x float64) { s.n++; s.sum += x; s.squares += x * x }

func (s logSums) minus(other logSums) logSums {
	return logSums{s.n - other.n, s.sum - other.sum, s.squares - other.squares}
}

func (s logSums) plus(other logSums) logSums {
	return logSums{s.n + other.n, s.sum + other.sum, s.squares + other.squares}
}

func (s logSums) mean() float64 { return s.sum / s.n }

// variance is that of single tasks; never quite 0, for a few alike tell little.
func (s logSums) variance() float64 {
	return max(0.01, (s.squares-s.sum*s.sum/s.n)/max(1, s.n-1))
}

type record struct {
	done, failed float64
	byClass      map[model.Name]*logSums // by class
}

// Evaluator is the state machine.
type Evaluator struct {
	machines map[model.MachineID]*record
	all      record
}

// New returns a book without evidence.
func New() *Evaluator {
	return &Evaluator{machines: map[model.MachineID]*record{}, all: record{byClass: map[model.Name]*logSums{}}}
}

func (e *Evaluator) machineRecord(id model.MachineID) *record {
	r := e.machines[id]
	if r == nil {
		r = &record{byClass: map[model.Name]*logSums{}}
		e.machines[id] = r
	}
	return r
}

// AddCompleted takes a task that completed on a machine after so long.
func (e *Evaluator) AddCompleted(id model.MachineID, class model.Name, estimate, runTime time.Duration) {
	r := e.machineRecord(id)
	r.done++
	e.all.done++
	if estimate <= 0 || runTime <= 0 {
		return
	}
	x := math.Log(float64(runTime) / float64(estimate))
	for _, byClass := range []map[model.Name]*logSums{r.byClass, e.all.byClass} {
		if byClass[class] == nil {
			byClass[class] = &logSums{}
		}
		byClass[class].add(x)
	}
}

// AddFailed takes a task that failed on a machine.
func (e *Evaluator) AddFailed(id model.MachineID) {
	e.machineRecord(id).failed++
	e.all.failed++
}

// Verdict on a gate: open, closed with the reason, or neither, with what it waits for.
type Verdict struct {
	Open, Closed bool
	Reason       string
}

// Evaluate compares machines with all others.
func (e *Evaluator) Evaluate(gate Gate, ids []model.MachineID) Verdict {
	waveRecord := record{byClass: map[model.Name]*logSums{}}
	for _, id := range ids {
		r := e.machines[id]
		if r == nil {
			continue
		}
		waveRecord.done += r.done
		waveRecord.failed += r.failed
		for c, s := range r.byClass {
			if waveRecord.byClass[c] == nil {
				waveRecord.byClass[c] = &logSums{}
			}
			*waveRecord.byClass[c] = waveRecord.byClass[c].plus(*s)
		}
	}
	if reason := e.errorRateReason(gate, &waveRecord); reason != "" {
		return Verdict{Closed: true, Reason: reason}
	}
	if n := int(waveRecord.done + waveRecord.failed); n < gate.MinTasks {
		return Verdict{Reason: fmt.Sprintf("%d of %d tasks have ended on machines of its waves", n, gate.MinTasks)}
	}
	if reason := e.slowdownReason(gate, &waveRecord); reason != "" {
		return Verdict{Closed: true, Reason: reason}
	}
	return Verdict{Open: true}
}

// errorRateReason compares the parts of tasks that failed.
func (e *Evaluator) errorRateReason(gate Gate, wave *record) string {
	total, others := wave.done+wave.failed, e.all.done+e.all.failed-wave.done-wave.failed
	if wave.failed < 3 {
		return "" // a few say nothing
	}
	waveRate, otherRate := wave.failed/total, 0.0
	if others > 0 {
		otherRate = (e.all.failed - wave.failed) / others
	}
	// As if one more had failed elsewhere: none at all would be sure of anything.
	pooledRate := (e.all.failed + 1) / (total + others + 1)
	deviations := (waveRate - otherRate) / math.Sqrt(pooledRate*(1-pooledRate)*(1/total+1/max(1, others)))
	if waveRate-otherRate <= gate.MaxErrorIncrease || deviations < minDeviations {
		return ""
	}
	return fmt.Sprintf("%.0f of %.0f tasks failed on machines of its waves (%.1f%%), %.1f%% elsewhere", wave.failed, total,
		100*waveRate, 100*otherRate)
}

// slowdownReason compares run times, class by class, weighted by the tasks on these machines.
func (e *Evaluator) slowdownReason(gate Gate, wave *record) string {
	var tasks, diff, variance float64
	for c, s := range wave.byClass {
		others := e.all.byClass[c].minus(*s)
		if others.n < 3 || s.n < 1 {
			continue
		}
		v := e.all.byClass[c].variance()
		tasks += s.n
		diff += s.n * (s.mean() - others.mean())
		variance += s.n * s.n * (v/s.n + v/others.n)
	}
	if tasks == 0 {
		return ""
	}
	slowdown := math.Exp(diff / tasks)
	if deviations := diff / math.Sqrt(variance); slowdown <= gate.MaxSlowdown || deviations < minDeviations {
		return ""
	}
	return fmt.Sprintf("tasks take %.2f times as long on machines of its waves as elsewhere (%.0f tasks)", slowdown, tasks)
}

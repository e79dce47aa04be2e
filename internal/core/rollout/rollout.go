// Package rollout compares the machines that a plan has replaced or patched with all other machines,
// by the run times and failures of the tasks on them in the same period. It is a state machine that
// runs on the leader. Its evidence is not stored: each leader starts without any, so a change of leader
// can only delay a verdict.
package rollout

import (
	"fmt"
	"math"
	"time"

	"honeylock/internal/core/model"
)

// Gate says what the tasks on a wave's machines must show before the next wave starts.
type Gate struct {
	MinTasks         int     // tasks that must have ended on the machines
	MaxSlowdown      float64 // ratio of run times here and elsewhere above which the gate closes, if it is significant
	MaxErrorIncrease float64 // difference of the failed fractions here and elsewhere above which it closes, if significant
}

// minDeviations is how many standard deviations a difference must have to be significant. About one in
// 700 gates then closes by chance.
const minDeviations = 3

// logSums are the number, sum and sum of squares of the logarithms of run times, relative to their
// estimates.
type logSums struct{ n, sum, squares float64 }

// add adds one value.
func (s *logSums) add(x float64) { s.n++; s.sum += x; s.squares += x * x }

// minus removes the values of other.
func (s logSums) minus(other logSums) logSums {
	return logSums{s.n - other.n, s.sum - other.sum, s.squares - other.squares}
}

// plus joins the values of both.
func (s logSums) plus(other logSums) logSums {
	return logSums{s.n + other.n, s.sum + other.sum, s.squares + other.squares}
}

// mean returns the mean of the values.
func (s logSums) mean() float64 { return s.sum / s.n }

// variance returns the variance of single values. It has a minimum, because a few equal values say
// little about the spread.
func (s logSums) variance() float64 {
	return max(0.01, (s.squares-s.sum*s.sum/s.n)/max(1, s.n-1))
}

// record is the evidence from one machine or from several.
type record struct {
	done, failed float64                 // tasks that completed, tasks that failed
	byClass      map[model.Name]*logSums // run times of completed tasks
}

// Evaluator is the state machine.
type Evaluator struct {
	machines map[model.MachineID]*record
	all      record // of all machines
}

// New returns an evaluator without evidence.
func New() *Evaluator {
	return &Evaluator{machines: map[model.MachineID]*record{}, all: record{byClass: map[model.Name]*logSums{}}}
}

// machineRecord returns the machine's record, and adds it if there is none.
func (e *Evaluator) machineRecord(id model.MachineID) *record {
	r := e.machines[id]
	if r == nil {
		r = &record{byClass: map[model.Name]*logSums{}}
		e.machines[id] = r
	}
	return r
}

// AddCompleted records a task that completed on a machine after the run time.
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

// AddFailed records a task that failed on a machine.
func (e *Evaluator) AddFailed(id model.MachineID) {
	e.machineRecord(id).failed++
	e.all.failed++
}

// Verdict is the outcome of a gate: open, closed with a reason, or neither, with what it waits for.
type Verdict struct {
	Open, Closed bool
	Reason       string
}

// Evaluate compares the machines with all others. Failures can close the gate before MinTasks tasks
// have ended.
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

// errorRateReason compares the fractions of failed tasks, and returns why the gate closes, or "".
func (e *Evaluator) errorRateReason(gate Gate, wave *record) string {
	total, others := wave.done+wave.failed, e.all.done+e.all.failed-wave.done-wave.failed
	if wave.failed < 3 {
		return "" // too few to be significant
	}
	waveRate, otherRate := wave.failed/total, 0.0
	if others > 0 {
		otherRate = (e.all.failed - wave.failed) / others
	}
	// The pooled rate counts one additional failed task elsewhere. Otherwise, with no failures
	// elsewhere, almost any difference would be significant.
	pooledRate := (e.all.failed + 1) / (total + others + 1)
	deviations := (waveRate - otherRate) / math.Sqrt(pooledRate*(1-pooledRate)*(1/total+1/max(1, others)))
	if waveRate-otherRate <= gate.MaxErrorIncrease || deviations < minDeviations {
		return ""
	}
	return fmt.Sprintf("%.0f of %.0f tasks failed on machines of its waves (%.1f%%), %.1f%% elsewhere", wave.failed, total,
		100*waveRate, 100*otherRate)
}

// slowdownReason compares the mean logarithms of run times class by class, weighted by the number of
// tasks on the wave's machines, and returns why the gate closes, or "".
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

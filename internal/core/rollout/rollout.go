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

// sure is how many standard deviations a difference must be away from chance: one in
// 700 gates closes without a reason.
const sure = 3

// sums are of the logarithms of run times, as parts of their estimates.
type sums struct{ n, sum, squares float64 }

func (s *sums) add(x float64) { s.n++; s.sum += x; s.squares += x * x }

func (s sums) less(o sums) sums { return sums{s.n - o.n, s.sum - o.sum, s.squares - o.squares} }

func (s sums) plus(o sums) sums { return sums{s.n + o.n, s.sum + o.sum, s.squares + o.squares} }

func (s sums) mean() float64 { return s.sum / s.n }

// variance is that of single tasks; never quite 0, for a few alike tell little.
func (s sums) variance() float64 {
	return max(0.01, (s.squares-s.sum*s.sum/s.n)/max(1, s.n-1))
}

type record struct {
	done, failed float64
	of           map[model.Name]*sums // by class
}

// Evaluator is the state machine.
type Evaluator struct {
	machines map[model.MachineID]*record
	all      record
}

// New returns a book without evidence.
func New() *Evaluator {
	return &Evaluator{machines: map[model.MachineID]*record{}, all: record{of: map[model.Name]*sums{}}}
}

func (k *Evaluator) machine(id model.MachineID) *record {
	r := k.machines[id]
	if r == nil {
		r = &record{of: map[model.Name]*sums{}}
		k.machines[id] = r
	}
	return r
}

// AddCompleted takes a task that completed on a machine after so long.
func (k *Evaluator) AddCompleted(id model.MachineID, class model.Name, estimate, ran time.Duration) {
	r := k.machine(id)
	r.done++
	k.all.done++
	if estimate <= 0 || ran <= 0 {
		return
	}
	x := math.Log(float64(ran) / float64(estimate))
	for _, of := range []map[model.Name]*sums{r.of, k.all.of} {
		if of[class] == nil {
			of[class] = &sums{}
		}
		of[class].add(x)
	}
}

// AddFailed takes a task that failed on a machine.
func (k *Evaluator) AddFailed(id model.MachineID) {
	k.machine(id).failed++
	k.all.failed++
}

// Verdict on a gate: open, closed with the reason, or neither, with what it waits for.
type Verdict struct {
	Open, Closed bool
	Reason       string
}

// Evaluate compares machines with all others.
func (k *Evaluator) Evaluate(g Gate, ids []model.MachineID) Verdict {
	these := record{of: map[model.Name]*sums{}}
	for _, id := range ids {
		r := k.machines[id]
		if r == nil {
			continue
		}
		these.done += r.done
		these.failed += r.failed
		for c, s := range r.of {
			if these.of[c] == nil {
				these.of[c] = &sums{}
			}
			*these.of[c] = these.of[c].plus(*s)
		}
	}
	if why := k.failing(g, &these); why != "" {
		return Verdict{Closed: true, Reason: why}
	}
	if n := int(these.done + these.failed); n < g.MinTasks {
		return Verdict{Reason: fmt.Sprintf("%d of %d tasks have ended on machines of its waves", n, g.MinTasks)}
	}
	if why := k.slow(g, &these); why != "" {
		return Verdict{Closed: true, Reason: why}
	}
	return Verdict{Open: true}
}

// failing compares the parts of tasks that failed.
func (k *Evaluator) failing(g Gate, these *record) string {
	n, others := these.done+these.failed, k.all.done+k.all.failed-these.done-these.failed
	if these.failed < 3 {
		return "" // a few say nothing
	}
	here, there := these.failed/n, 0.0
	if others > 0 {
		there = (k.all.failed - these.failed) / others
	}
	// As if one more had failed elsewhere: none at all would be sure of anything.
	p := (k.all.failed + 1) / (n + others + 1)
	z := (here - there) / math.Sqrt(p*(1-p)*(1/n+1/max(1, others)))
	if here-there <= g.MaxErrorIncrease || z < sure {
		return ""
	}
	return fmt.Sprintf("%.0f of %.0f tasks failed on machines of its waves (%.1f%%), %.1f%% elsewhere", these.failed, n,
		100*here, 100*there)
}

// slow compares run times, class by class, weighted by the tasks on these machines.
func (k *Evaluator) slow(g Gate, these *record) string {
	var n, diff, variance float64
	for c, s := range these.of {
		o := k.all.of[c].less(*s)
		if o.n < 3 || s.n < 1 {
			continue
		}
		v := k.all.of[c].variance()
		n += s.n
		diff += s.n * (s.mean() - o.mean())
		variance += s.n * s.n * (v/s.n + v/o.n)
	}
	if n == 0 {
		return ""
	}
	times := math.Exp(diff / n)
	if z := diff / math.Sqrt(variance); times <= g.MaxSlowdown || z < sure {
		return ""
	}
	return fmt.Sprintf("tasks take %.2f times as long on machines of its waves as elsewhere (%.0f tasks)", times, n)
}

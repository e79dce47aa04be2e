package rollout

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

var gate = Gate{MinTasks: 20, MaxSlowdown: 1.25, MaxErrorIncrease: 0.05}

// runTasks ends tasks of two classes on machines 0 to 9, of which 0 and 1 are renewed.
func runTasks(rng *rand.Rand, tasks int, slowdown, errorRate float64) *Evaluator {
	evaluator := New()
	for range tasks {
		id := model.MachineID(rng.IntN(10))
		class := model.Name(rng.IntN(2))
		renewed := id < 2
		if p := 0.01; rng.Float64() < p || renewed && rng.Float64() < errorRate {
			evaluator.AddFailed(id)
			continue
		}
		ran := 20 * float64(time.Second) * (0.7 + 0.6*rng.Float64()) * (1 + float64(class))
		if renewed {
			ran *= slowdown
		}
		evaluator.AddCompleted(id, class, 20*time.Second, time.Duration(ran))
	}
	return evaluator
}

// Gates open on enough similar tasks, close on significantly slower or failing ones, and wait
// otherwise.
func TestEvaluateGate(t *testing.T) {
	for name, c := range map[string]struct {
		tasks               int
		slowdown, errorRate float64
		open, closed        bool
		reason              string
	}{
		"too few":      {60, 1, 0, false, false, "of 20 tasks have ended"},
		"alike":        {400, 1, 0, true, false, ""},
		"a bit slow":   {400, 1.1, 0, true, false, ""},
		"half as fast": {400, 2, 0, false, true, "times as long on machines of its waves"},
		"failing":      {400, 1, 0.3, false, true, "tasks failed on machines of its waves"},
		"all fail":     {40, 1, 1, false, true, "tasks failed on machines of its waves"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				v := runTasks(rand.New(rand.NewPCG(seed, 1)), c.tasks, c.slowdown, c.errorRate).Evaluate(gate,
					[]model.MachineID{0, 1})
				if v.Open != c.open || v.Closed != c.closed || !strings.Contains(v.Reason, c.reason) {
					t.Fatalf("seed %d: %+v", seed, v)
				}
			}
		})
	}
}

// Without a difference between the machines, nearly all gates stay open.
func TestGateRarelyClosesByChance(t *testing.T) {
	closed := 0
	for seed := range uint64(2000) {
		if runTasks(rand.New(rand.NewPCG(seed, 2)), 300, 1, 0).Evaluate(gate, []model.MachineID{0, 1}).Closed {
			closed++
		}
	}
	if closed > 10 {
		t.Errorf("%d of 2000 gates closed by chance", closed)
	}
}

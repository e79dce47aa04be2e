package drain

import (
	"slices"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/rollout"
)

// harnessWithWaves returns a harness with eight machines, and a plan that drains them in waves of one
// machine, up to a half, and the rest. Its gate waits for more tasks.
func harnessWithWaves(t *testing.T, after WhenEmpty) *harness {
	t.Helper()
	h := newHarness()
	var ids []model.MachineID
	for id := range model.MachineID(8) {
		h.addMachine(id+1, 0)
		ids = append(ids, id+1)
	}
	h.now += time.Minute
	h.evaluateGate = func(rollout.Gate, []model.MachineID) rollout.Verdict {
		return rollout.Verdict{Reason: "0 of 20 tasks"}
	}
	s := Spec{Machines: ids, MaxConcurrent: 8, RentFirst: after == Return, WhenEmpty: after,
		Gate:  &rollout.Gate{MinTasks: 20},
		Waves: []Wave{{Machines: 1, Soak: 5 * time.Second}, {Share: 0.5}}}
	if err := h.apply(s); err != nil {
		t.Fatal(err)
	}
	return h
}

// startedSteps counts the steps that have started.
func (h *harness) startedSteps() (n int) {
	for _, s := range h.engine.plans["p"].Steps {
		if s.State != Waiting {
			n++
		}
	}
	return n
}

// A wave starts only after the previous one is done and has soaked and its gate is open, also across
// changes of leader. The gate evaluates the machines that the plan has renewed.
func TestWavesWaitForTheirGates(t *testing.T) {
	h := harnessWithWaves(t, Return)
	h.ticks(6)
	if n := h.startedSteps(); n != 1 {
		t.Fatalf("%d steps started in a wave of one", n)
	}
	h.startLeader()
	h.ticks(40)
	if n := h.startedSteps(); n != 1 || !strings.Contains(h.blockedReason(), "the gate: 0 of 20 tasks") {
		t.Fatalf("%d steps started, blocked: %q", n, h.blockedReason())
	}
	var evaluated []model.MachineID
	h.evaluateGate = func(_ rollout.Gate, ids []model.MachineID) rollout.Verdict {
		evaluated = ids
		return rollout.Verdict{Open: true}
	}
	h.ticks(4)
	if n := h.startedSteps(); n != 4 {
		t.Fatalf("%d steps started with the first gate open, want 4", n)
	}
	if len(evaluated) != 1 || evaluated[0] < 1000 {
		t.Errorf("the gate evaluates %v, want the replacement", evaluated)
	}
	h.startLeader()
	h.ticks(80)
	if p := h.engine.plans["p"]; p.Phase != Done || len(h.returned) != 8 || len(h.machines) != 8 {
		t.Errorf("%s, %d machines returned, %d present", p.Phase, len(h.returned), len(h.machines))
	}
	if len(h.violations) > 0 {
		t.Error(h.violations)
	}
}

// A gate that closes pauses the plan with a reason, which survives a change of leader. An operator's
// resume passes that gate, but no later one.
func TestClosedGatePausesThePlan(t *testing.T) {
	h := harnessWithWaves(t, Patch)
	h.ticks(20)
	if err := h.engine.Patched(h.now, "p", 1, "m-1"); err != nil {
		t.Fatal(err)
	}
	h.evaluateGate = func(_ rollout.Gate, ids []model.MachineID) rollout.Verdict {
		if !slices.Contains(ids, 1) {
			t.Errorf("the gate evaluates %v, want the patched machine among them", ids)
		}
		return rollout.Verdict{Closed: true, Reason: "half of all tasks failed"}
	}
	h.ticks(20)
	h.startLeader()
	h.ticks(20)
	st := h.engine.Status(h.now, "p")
	if st.Phase != Paused || st.Note != "the gate closed: half of all tasks failed" || h.startedSteps() != 1 {
		t.Fatalf("%+v, %d steps started", st, h.startedSteps())
	}
	if err := h.engine.Resume("p"); err != nil {
		t.Fatal(err)
	}
	h.ticks(4)
	if n := h.startedSteps(); n != 4 {
		t.Fatalf("%d steps started after resume, want 4", n)
	}
	for _, id := range []model.MachineID{2, 3, 4} {
		h.ticks(20)
		if err := h.engine.Patched(h.now, "p", id, "m"); err != nil {
			t.Fatal(err)
		}
	}
	h.ticks(20)
	if st := h.engine.Status(h.now, "p"); st.Phase != Paused || h.startedSteps() != 4 {
		t.Errorf("%s, %d steps started: the second gate did not stop the plan", st.Phase, h.startedSteps())
	}
}

// Machines that do not report close a gate even if no task has ended on them.
func TestGateClosesOnMissingMachines(t *testing.T) {
	h := harnessWithWaves(t, Patch)
	h.ticks(20)
	if err := h.engine.Patched(h.now, "p", 1, "m-1"); err != nil {
		t.Fatal(err)
	}
	h.machines[1].unreported = true
	h.ticks(20)
	if st := h.engine.Status(h.now, "p"); st.Phase != Paused ||
		!strings.Contains(st.Note, "1 of 1 renewed machines don't report") {
		t.Errorf("%+v", st)
	}
	got := &Plan{Spec: Spec{Waves: []Wave{{Machines: 3}, {Share: 0.25}, {Share: 0.9}}}, Steps: make([]Step, 10)}
	if got.waveEnd(1, 3) != 3 || got.waveEnd(2, 3) != 9 {
		t.Errorf("waves by share end at %d and %d", got.waveEnd(1, 3), got.waveEnd(2, 3))
	}
}

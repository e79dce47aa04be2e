package drain

import (
	"slices"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/rollout"
)

// fleet has eight machines, and a plan that replaces them in waves of one, a half and the
// rest.
func waved(t *testing.T, after After) *rig {
	t.Helper()
	r := newRig()
	var ids []model.MachineID
	for id := range model.MachineID(8) {
		r.machine(id+1, 0)
		ids = append(ids, id+1)
	}
	r.now += time.Minute
	r.judge = func(rollout.Gate, []model.MachineID) rollout.Verdict { return rollout.Verdict{Reason: "0 of 20 tasks"} }
	s := Spec{Machines: ids, MaxConcurrent: 8, RentFirst: after == Return, After: after, Gate: &rollout.Gate{MinTasks: 20},
		Waves: []Wave{{Machines: 1, Soak: 5 * time.Second}, {Share: 0.5}}}
	if err := r.apply(s); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *rig) begun() (n int) {
	for _, s := range r.e.plans["p"].Steps {
		if s.State != Waiting {
			n++
		}
	}
	return n
}

// No wave begins before the one before is done with, has soaked, and its gate is open;
// whatever leaders come and go, and whoever is renewed is who is judged.
func TestWavesWaitForTheirGates(t *testing.T) {
	r := waved(t, Return)
	r.ticks(6)
	if n := r.begun(); n != 1 {
		t.Fatalf("%d machines begun in a wave of one", n)
	}
	r.lead()
	r.ticks(40)
	if n := r.begun(); n != 1 || !strings.Contains(r.held(), "the gate: 0 of 20 tasks") {
		t.Fatalf("%d begun, waits for %q", n, r.held())
	}
	var judged []model.MachineID
	r.judge = func(_ rollout.Gate, ids []model.MachineID) rollout.Verdict {
		judged = ids
		return rollout.Verdict{Open: true}
	}
	r.ticks(4)
	if n := r.begun(); n != 4 {
		t.Fatalf("%d begun with the first gate open", n)
	}
	if len(judged) != 1 || judged[0] < 1000 {
		t.Errorf("judged are %v, not the replacement", judged)
	}
	r.lead()
	r.ticks(80)
	if p := r.e.plans["p"]; p.Phase != Done || len(r.given) != 8 || len(r.ms) != 8 {
		t.Errorf("%s, %d given back, %d there", p.Phase, len(r.given), len(r.ms))
	}
	if len(r.broken) > 0 {
		t.Error(r.broken)
	}
}

// A gate that closes pauses the plan and says why, through a change of leader; an
// operator's resume takes it past that gate, and past no other.
func TestClosedGatePausesThePlan(t *testing.T) {
	r := waved(t, Patch)
	r.ticks(20)
	if err := r.e.Patched(r.now, "p", 1, "m-1"); err != nil {
		t.Fatal(err)
	}
	r.judge = func(_ rollout.Gate, ids []model.MachineID) rollout.Verdict {
		if !slices.Contains(ids, 1) {
			t.Errorf("judged are %v, not what was patched", ids)
		}
		return rollout.Verdict{Closed: true, Reason: "half of all tasks failed"}
	}
	r.ticks(20)
	r.lead()
	r.ticks(20)
	st := r.e.Status(r.now, "p")
	if st.Phase != Paused || st.Note != "the gate closed: half of all tasks failed" || r.begun() != 1 {
		t.Fatalf("%+v, %d begun", st, r.begun())
	}
	if err := r.e.Resume("p"); err != nil {
		t.Fatal(err)
	}
	r.ticks(4)
	if n := r.begun(); n != 4 {
		t.Fatalf("%d begun after resume", n)
	}
	for _, id := range []model.MachineID{2, 3, 4} {
		r.ticks(20)
		if err := r.e.Patched(r.now, "p", id, "m"); err != nil {
			t.Fatal(err)
		}
	}
	r.ticks(20)
	if st := r.e.Status(r.now, "p"); st.Phase != Paused || r.begun() != 4 {
		t.Errorf("%s, %d begun: the second gate let it go on", st.Phase, r.begun())
	}
}

// Replacements that never come up, or that nobody hears, close a gate without any task.
func TestGateLooksAtMachinesToo(t *testing.T) {
	r := waved(t, Patch)
	r.ticks(20)
	if err := r.e.Patched(r.now, "p", 1, "m-1"); err != nil {
		t.Fatal(err)
	}
	r.ms[1].deaf = true
	r.ticks(20)
	if st := r.e.Status(r.now, "p"); st.Phase != Paused ||
		!strings.Contains(st.Note, "1 of 1 renewed machines don't report") {
		t.Errorf("%+v", st)
	}
	got := &Plan{Spec: Spec{Waves: []Wave{{Machines: 3}, {Share: 0.25}, {Share: 0.9}}}, Steps: make([]Step, 10)}
	if got.waveEnd(1, 3) != 3 || got.waveEnd(2, 3) != 9 {
		t.Errorf("shares end at %d and %d", got.waveEnd(1, 3), got.waveEnd(2, 3))
	}
}

package drain

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"honeylock/internal/core/model"
)

// TestPlanEndsAfterAnyInterleavingOfFaults runs plans with random faults: leaders lost between any two
// steps, writes whose answers are lost, owners that do not answer, a cloud that refuses, machines that
// fail, and operators that pause and cancel. The harness checks the preconditions of each action. No
// more machines may be under way than allowed, and none may be returned twice. Once the faults are
// over, every plan must end.
func TestPlanEndsAfterAnyInterleavingOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		n := rapid.IntRange(2, 6).Draw(t, "machines")
		var ids []model.MachineID
		for id := range n {
			h.addMachine(model.MachineID(id+1), model.Name(id%2))
			if id > 0 || rapid.Bool().Draw(t, "all") {
				ids = append(ids, model.MachineID(id+1))
			}
		}
		h.addMachine(99, 0) // large enough for all tasks
		h.machines[99].Cap = model.Resources{CPU: 1 << 30, Mem: 1 << 30}
		for j := range rapid.IntRange(0, 6).Draw(t, "jobs") {
			spec := model.Spec{ID: model.JobID(j + 1), Estimate: time.Minute,
				Daemon: rapid.IntRange(0, 4).Draw(t, "daemon") == 0}
			if rapid.Bool().Draw(t, "saves") {
				spec.CheckpointInterval = time.Second
			}
			h.addJob(spec, model.MachineID(rapid.IntRange(1, n).Draw(t, "on")))
		}
		s := Spec{Machines: ids, MaxConcurrent: rapid.IntRange(1, 3).Draw(t, "at once"),
			MaxPerZone: rapid.IntRange(0, 2).Draw(t, "per zone"),
			Default:    LeaveMode(rapid.IntRange(0, 2).Draw(t, "how")), RentFirst: rapid.Bool().Draw(t, "rent first"),
			WhenEmpty: WhenEmpty(rapid.IntRange(0, 1).Draw(t, "after"))}
		if err := h.apply(s); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			h.injectFault(t, ids)
			h.tick()
			h.checkInvariants(t, &s)
		}
		h.storeLosesAnswers, h.ownersUnresponsive, h.cloudRefuses = false, false, false
		h.runToEnd(t, ids)
		h.checkInvariants(t, &s)
	})
}

// injectFault causes at most one random fault or operator's request.
func (h *harness) injectFault(t *rapid.T, ids []model.MachineID) {
	id := rapid.SampledFrom(ids).Draw(t, "machine")
	switch rapid.IntRange(0, 14).Draw(t, "trouble") {
	case 0:
		h.startLeader()
	case 1:
		h.storeLosesAnswers = !h.storeLosesAnswers
	case 2:
		h.ownersUnresponsive = !h.ownersUnresponsive
	case 3:
		h.cloudRefuses = !h.cloudRefuses
	case 4:
		h.loseMachine(id)
	case 5:
		_ = h.engine.Pause("p")
	case 6:
		_ = h.engine.Resume("p")
	case 7:
		if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
			_ = h.engine.Cancel(h.now, "p")
		}
	case 8:
		_ = h.engine.Patched(h.now, "p", id, "it")
	case 9:
		h.finishJob(model.JobID(rapid.IntRange(1, 6).Draw(t, "job")))
	}
}

// checkInvariants fails the test if the engine has broken an invariant.
func (h *harness) checkInvariants(t *rapid.T, s *Spec) {
	if len(h.violations) > 0 {
		t.Fatal(h.violations)
	}
	for id, n := range h.returned {
		if n > 1 {
			t.Fatalf("machine %d was returned %d times", id, n)
		}
	}
	p := h.engine.plans["p"]
	if p == nil {
		return // its first write was lost with its leader
	}
	busy := 0
	for _, st := range p.Steps {
		if st.State != Waiting && !st.State.isFinal() {
			busy++
		}
	}
	if busy > s.MaxConcurrent {
		t.Fatalf("%d machines under way, at most %d are allowed", busy, s.MaxConcurrent)
	}
}

// runToEnd runs without faults until the plan has ended, and checks that no machine stays cordoned.
func (h *harness) runToEnd(t *rapid.T, ids []model.MachineID) {
	for range 2000 {
		p := h.engine.plans["p"]
		if p == nil || p.ended() && p.synced() {
			for id, m := range h.machines {
				if m.cordoned {
					t.Fatalf("machine %d is still cordoned after its plan has ended", id)
				}
			}
			return
		}
		_ = h.engine.Resume("p")
		for _, id := range ids {
			_ = h.engine.Patched(h.now, "p", id, "it")
		}
		h.tick()
		for id, j := range h.jobs {
			if !j.Spec.Daemon && h.now > time.Minute {
				h.finishJob(id)
			}
			j.RunningTasks = int(j.Spec.Tasks)
		}
	}
	t.Fatal("the plan does not end: " + fmt.Sprintf("%+v", h.engine.Status(h.now, "p")))
}

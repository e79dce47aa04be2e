package drain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// threeMachines returns a harness with three machines in two zones. Violations fail the test.
func threeMachines(t *testing.T) *harness {
	t.Helper()
	h := newHarness()
	for id := range model.MachineID(3) {
		h.addMachine(id+1, model.Name(id%2))
	}
	t.Cleanup(func() {
		for _, b := range h.violations {
			t.Error(b)
		}
	})
	return h
}

// wantStates checks the states of the plan's steps.
func (h *harness) wantStates(t *testing.T, states ...State) {
	t.Helper()
	for i, s := range h.engine.plans["p"].Steps {
		if s.State != states[i] {
			t.Errorf("%v: machine %d is %v, want %v (blocked: %q)", h.now, s.Machine, s.State, states[i], h.blockedReason())
		}
	}
}

// By default tasks run to their end. Machines are drained one after the other, and each is returned
// only after its owner has listed no tasks since the cordon.
func TestMachinesAreDrainedInOrder(t *testing.T) {
	h := threeMachines(t)
	h.addJob(model.Spec{ID: 7, Estimate: time.Minute}, 1)
	if err := h.apply(Spec{Machines: []model.MachineID{1, 2}}); err != nil {
		t.Fatal(err)
	}
	h.ticks(6)
	h.wantStates(t, Draining, Waiting)
	h.finishJob(7)
	h.ownersUnresponsive = true
	h.ticks(20)
	h.wantStates(t, Draining, Waiting) // its status says empty, but no task list from after the cordon does
	h.ownersUnresponsive = false
	h.ticks(40)
	h.wantStates(t, Finished, Finished)
	if p := h.engine.plans["p"]; p.Phase != Done || h.returned[1] != 1 || h.returned[2] != 1 || len(h.recalled) != 0 {
		t.Errorf("%v, returned %v, moved %v", p.Phase, h.returned, h.recalled)
	}
	if !h.engine.Idle() {
		t.Error("the engine is not idle after the plan is done")
	}
}

// Tasks move only if they fit elsewhere. Tasks without checkpoints stay, unless a rule of the plan
// moves them.
func TestPlanRulesDecideWhichTasksMove(t *testing.T) {
	h := threeMachines(t)
	h.addJob(model.Spec{ID: 1, Class: 1, CheckpointInterval: time.Second}, 1)
	h.addJob(model.Spec{ID: 2, Class: 2}, 1)
	h.addJob(model.Spec{ID: 3, Class: 3, Rank: model.Idle}, 1)
	h.addJob(model.Spec{ID: 4}, 2, 2, 2, 2)
	h.addJob(model.Spec{ID: 5}, 3, 3, 3)
	rules := []Rule{{Class: 3, Rank: -1, LeaveMode: Move}}
	if err := h.apply(Spec{Machines: []model.MachineID{1}, Default: MoveSaved, Rules: rules}); err != nil {
		t.Fatal(err)
	}
	h.ticks(8)
	if len(h.recalled) != 1 || h.recalled[0].Job != 1 ||
		!strings.Contains(h.blockedReason(), "no room elsewhere for job-000003") {
		t.Fatalf("moved %v, blocked: %q", h.recalled, h.blockedReason())
	}
	h.finishJob(4)
	h.ticks(8)
	if len(h.recalled) != 2 || h.recalled[1].Job != 3 {
		t.Errorf("moved %v", h.recalled)
	}
	h.wantStates(t, Draining)
	h.finishJob(2)
	h.ticks(8)
	h.wantStates(t, Finished)
}

// A service's replicas move one at a time, and only while all of them run.
func TestReplicasMoveOneAtATime(t *testing.T) {
	h := threeMachines(t)
	j := h.addJob(model.Spec{ID: 1, Daemon: true}, 1, 1, 2)
	if err := h.apply(Spec{Machines: []model.MachineID{1, 2}, MaxConcurrent: 2}); err != nil {
		t.Fatal(err)
	}
	j.RunningTasks = 2 // one replica is starting elsewhere
	h.ticks(20)
	if len(h.recalled) != 0 || !strings.Contains(h.blockedReason(), "one at a time") {
		t.Fatalf("moved %v, blocked: %q", h.recalled, h.blockedReason())
	}
	j.RunningTasks = 3
	for last := 0; len(h.recalled) < 3 && h.now < 5*time.Minute; {
		h.tick()
		if n := len(h.recalled); n > last+1 {
			t.Fatalf("%d replicas at once", n-last)
		} else {
			last = n
		}
	}
	h.ticks(20)
	h.wantStates(t, Finished, Finished)
}

// Each reason blocks a step, and the step goes on by itself once the reason is gone.
func TestStepIsBlockedUntilTheReasonIsGone(t *testing.T) {
	window := func(h *harness, d time.Duration) Window {
		at := h.wall.Add(d)
		return Window{Classes: []model.Name{5}, Clock: time.Duration(at.Hour())*time.Hour +
			time.Duration(at.Minute())*time.Minute,
			Location: time.UTC, Name: "the window"}
	}
	for name, c := range map[string]struct {
		plan    func(h *harness) Spec
		reason  string
		release func(h *harness)
	}{
		"a job that would miss its window": {func(h *harness) Spec {
			h.addJob(model.Spec{ID: 9, Class: 5, Estimate: 8 * time.Minute}, 1)
			h.machines[1].tasks[0].RunTime = 7 * time.Minute
			return Spec{Default: Move, Windows: []Window{window(h, 10*time.Minute)}}
		}, "job-000009 would end at", func(h *harness) { h.finishJob(9) }},
		"a job that would miss its deadline": {func(h *harness) Spec {
			h.addJob(model.Spec{ID: 9, Class: 5, Estimate: 8 * time.Minute, Deadline: 10 * time.Minute}, 1)
			h.machines[1].tasks[0].RunTime = 7 * time.Minute
			return Spec{Default: Move, Windows: []Window{{Deadline: true, Name: "its deadline"}}}
		}, "job-000009 would end at", func(h *harness) { h.finishJob(9) }},
		"waiting tasks that need the machine's capacity": {func(h *harness) Spec {
			h.addJob(model.Spec{ID: 9, Class: 5, Estimate: 4 * time.Minute}, 1).UnfinishedTasks = 13
			return Spec{Windows: []Window{window(h, 8*time.Minute)}}
		}, "job-000009 has 12 tasks waiting", func(h *harness) { h.finishJob(9) }},
		"not enough free capacity": {func(h *harness) Spec {
			h.addJob(model.Spec{ID: 8}, 2, 2, 2, 2, 3, 3, 3, 3)
			return Spec{FreeCapacityFloor: 1}
		}, "the floor of teams' guarantees", func(h *harness) { h.finishJob(8) }},
		"a job that no other machine could run": {func(h *harness) Spec {
			h.machines[1].Type = 3
			h.addJob(model.Spec{ID: 9, Types: []model.Name{3}}, 1)
			return Spec{}
		}, "no other machine could run job-000009", func(h *harness) { h.finishJob(9) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := threeMachines(t)
			s := c.plan(h)
			s.Machines = []model.MachineID{1}
			if err := h.apply(s); err != nil {
				t.Fatal(err)
			}
			spare := int64(2000)
			for range 12 {
				h.now += 500 * time.Millisecond
				v := h.view()
				v.UnusedGuaranteeCPU = spare
				for _, a := range h.engine.Tick(v) {
					h.carryOut(a)
				}
				for _, w := range h.engine.Writes(4) {
					h.write(w)
				}
			}
			h.wantStates(t, Waiting)
			if !strings.Contains(h.blockedReason(), c.reason) {
				t.Fatalf("blocked: %q, want %q", h.blockedReason(), c.reason)
			}
			c.release(h)
			h.ticks(30)
			h.wantStates(t, Finished)
		})
	}
}

// A plan that has all machines of a type leaves one of them as long as a job needs the type.
func TestLastMachineOfNeededTypeIsNotDrained(t *testing.T) {
	h := threeMachines(t)
	for _, m := range h.machines {
		m.Type = 3
	}
	h.addJob(model.Spec{ID: 9, Types: []model.Name{3}}, 1)
	if err := h.apply(Spec{Machines: []model.MachineID{1, 2, 3}, MaxConcurrent: 3, Default: Move}); err != nil {
		t.Fatal(err)
	}
	h.ticks(60)
	h.wantStates(t, Finished, Finished, Waiting)
	h.finishJob(9)
	h.ticks(30)
	h.wantStates(t, Finished, Finished, Finished)
}

// With RentFirst a replacement is rented before the machine is drained. A refused rental is repeated,
// a replacement that does not come up is replaced, and a new leader rents no second machine for the
// same step.
func TestReplacementIsRentedFirstAndOnlyOnce(t *testing.T) {
	h := threeMachines(t)
	h.cloudRefuses = true
	if err := h.apply(Spec{Machines: []model.MachineID{1}, RentFirst: true}); err != nil {
		t.Fatal(err)
	}
	h.ticks(6)
	if h.wantStates(t, Renting); !strings.Contains(h.blockedReason(), "the cloud has no machine") {
		t.Errorf("blocked: %q", h.blockedReason())
	}
	h.cloudRefuses = false
	h.ticks(7)
	h.startLeader() // the rental's answer went to the previous leader
	h.ticks(2)
	if len(h.rented) != 1 {
		t.Errorf("rented %v for one step", h.rented)
	}
	for id := range h.machines {
		if id > 1000 {
			h.machines[id].bootTicks = 1000 // the replacement does not come up
		}
	}
	h.ticks(40)
	h.wantStates(t, Renting)
	h.ticks(60)
	h.wantStates(t, Finished)
	if len(h.rented) != 2 || len(h.machines) != 4 {
		t.Errorf("rented %v, machines %v", h.rented, h.ids())
	}
}

// A plan's replacement must not be drained for its price while the plan needs it, neither before its
// machine is drained nor by a new leader that does not know yet that the plan rented it.
func TestReplacementsAreNotDrainedForPrice(t *testing.T) {
	h := threeMachines(t)
	h.addJob(model.Spec{ID: 1}, 1)
	if err := h.apply(Spec{Machines: []model.MachineID{1}, RentFirst: true}); err != nil {
		t.Fatal(err)
	}
	h.ticks(4)
	h.wantStates(t, Renting)
	replacement := h.replacement(t)
	h.startLeader()
	h.engine.DrainForPrice([]model.MachineID{replacement}) // this leader does not know yet that the plan rented it
	h.ticks(4)
	if m := h.machines[replacement]; m == nil || m.cordoned {
		t.Errorf("after a change of leader: the replacement is drained or returned: %+v", m)
	}
	check := func(when string) {
		t.Helper()
		h.engine.DrainForPrice([]model.MachineID{replacement})
		h.ticks(4)
		if m := h.machines[replacement]; m == nil || m.cordoned {
			t.Errorf("%s: the replacement is drained or returned: %+v", when, m)
		}
		if _, wanted := h.engine.MachinePlans()(replacement); !wanted {
			t.Errorf("%s: the replacement does not belong to its plan", when)
		}
	}
	check("while its machine is drained")
	h.ticks(10)
	check("while tasks run on")
	h.finishJob(1)
	h.ticks(20)
	h.wantStates(t, Finished)
	if _, wanted := h.engine.MachinePlans()(replacement); wanted {
		t.Error("the replacement belongs to a plan that is done")
	}
	h.engine.DrainForPrice([]model.MachineID{replacement})
	h.ticks(10)
	if h.returned[replacement] != 1 {
		t.Errorf("returned %v: after its plan is done, a replacement can be drained for its price", h.returned)
	}
}

// A machine that is patched in place keeps its ID, and becomes usable again when an operator reports
// it as patched.
func TestPatchedMachinesAreUncordoned(t *testing.T) {
	h := threeMachines(t)
	if err := h.apply(Spec{Machines: []model.MachineID{1, 2}, WhenEmpty: Patch}); err != nil {
		t.Fatal(err)
	}
	if h.engine.Patched(h.now, "p", 1, "m-1") == nil {
		t.Error("a machine that still waits was accepted as patched")
	}
	h.ticks(10)
	h.wantStates(t, Patching, Waiting)
	for range 2 {
		if err := h.engine.Patched(h.now, "p", 1, "m-1"); err != nil {
			t.Error("the report was refused, or its repetition was:", err)
		}
	}
	h.ticks(1)
	h.ticks(10)
	h.wantStates(t, Finished, Patching)
	if h.machines[1].cordoned || !h.machines[2].cordoned || len(h.returned) != 0 {
		t.Error("the wrong machine is cordoned, or one was returned")
	}
}

// Plans can be paused, cancelled and overdue at any time. Steps that can be undone are.
func TestPauseCancelAndLatestEnd(t *testing.T) {
	h := threeMachines(t)
	h.addJob(model.Spec{ID: 1}, 1)
	if err := h.apply(Spec{Machines: []model.MachineID{1, 2}, Default: Move,
		LatestEnd: h.wall.Add(time.Hour)}); err != nil {
		t.Fatal(err)
	}
	if h.engine.Pause("p") != nil {
		t.Error("not paused")
	}
	h.ticks(10)
	h.wantStates(t, Waiting, Waiting)
	for range 2 {
		if err := h.engine.Resume("p"); err != nil {
			t.Error("not resumed:", err)
		}
	}
	h.ticks(3)
	h.wantStates(t, Draining, Waiting)
	for range 2 {
		if err := h.engine.Cancel(h.now, "p"); err != nil {
			t.Error("not cancelled:", err)
		}
	}
	h.ticks(4)
	if h.wantStates(t, Abandoned, Abandoned); h.machines[1].cordoned || h.engine.Resume("p") == nil {
		t.Error("a cancelled plan continues or can be resumed")
	}
	// The name can be used again. No step starts after the latest end.
	if err := h.apply(Spec{Machines: []model.MachineID{2, 3}, WhenEmpty: Patch,
		LatestEnd: h.wall.Add(h.now + 4*time.Second)}); err != nil {
		t.Fatal(err)
	}
	h.ticks(20)
	if h.wantStates(t, Patching, Abandoned); h.engine.plans["p"].Phase != Overdue {
		t.Errorf("phase %v", h.engine.plans["p"].Phase)
	}
}

// A new leader finds tasks on a machine that was being returned. The machine is drained again, or
// abandoned if its plan was cancelled meanwhile.
func TestReturnIsUndoneWhenTasksWerePlaced(t *testing.T) {
	for cancelled, want := range map[bool]State{false: Draining, true: Abandoned} {
		h := threeMachines(t)
		if err := h.apply(Spec{Machines: []model.MachineID{1}}); err != nil {
			t.Fatal(err)
		}
		for h.state("p", 1) != Returning {
			h.tick()
		}
		if cancelled {
			if err := h.engine.Cancel(h.now, "p"); err != nil {
				t.Fatal(err)
			}
			for _, w := range h.engine.Writes(4) {
				h.write(w)
			}
		}
		h.addJob(model.Spec{ID: 1}, 1) // placed before the new leader read the plan
		h.startLeader()
		h.ticks(4)
		h.wantStates(t, want)
		if h.returned[1] != 0 || h.machines[1].cordoned != (want == Draining) {
			t.Errorf("returned %v, cordoned %v", h.returned, h.machines[1].cordoned)
		}
	}
}

// Plans without machines, with too many, or with machines of another plan are refused, and a record of
// a newer release is not changed.
func TestInvalidPlansAreRefused(t *testing.T) {
	h := threeMachines(t)
	for want, s := range map[string]Spec{
		"no machine matches": {},
		"at most 100:":       {Machines: make([]model.MachineID, 101)},
	} {
		if err := h.apply(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if err := h.apply(Spec{Machines: []model.MachineID{1}, WhenEmpty: Patch}); err != nil {
		t.Fatal(err)
	}
	other := Spec{Name: "q", MaxConcurrent: 1, Machines: []model.MachineID{1, 2}}
	err := h.engine.Check(&other, nil, func(id model.MachineID) string { return fmt.Sprintf("m-%d", id) })
	if err == nil || !strings.Contains(err.Error(), `m-1 is wanted by plan "p" and by "q"`) {
		t.Error(err)
	}
	// A record that a newer release wrote is left alone, and the status says so.
	h.engine.Load(0, StoredPlan{Name: "z", Value: []byte(`{"v":3}`), Version: 9}, nil)
	if st := h.engine.Status(0, "z"); !strings.Contains(st.Note, "newer release") || h.engine.Cancel(0, "z") == nil {
		t.Errorf("%+v", st)
	}
	h.ticks(10)
	if _, ok := h.stored["z"]; ok {
		t.Error("the record of a newer release was overwritten")
	}
}

// A machine drained for its price must not wait for its longest task. Tasks with checkpoints that
// would run for long move if they fit elsewhere. Tasks without checkpoints, urgent ones and those that
// end soon stay.
func TestTasksMoveOffExpensiveMachines(t *testing.T) {
	h := threeMachines(t)
	h.addJob(model.Spec{ID: 1, CheckpointInterval: time.Second, Estimate: 10 * time.Minute}, 1)
	h.addJob(model.Spec{ID: 2, CheckpointInterval: time.Second, Estimate: 9 * time.Second}, 1)
	h.addJob(model.Spec{ID: 3, Estimate: 10 * time.Minute}, 1)
	h.addJob(model.Spec{ID: 4, CheckpointInterval: time.Second, Estimate: 10 * time.Minute, Rank: model.Urgent}, 1)
	h.engine.DrainForPrice([]model.MachineID{1})
	h.ticks(10)
	if len(h.recalled) != 1 || h.recalled[0].Job != 1 {
		t.Errorf("moved %v", h.recalled)
	}
	full := threeMachines(t)
	full.addJob(model.Spec{ID: 1, CheckpointInterval: time.Second, Estimate: 10 * time.Minute}, 1)
	full.addJob(model.Spec{ID: 2}, 2, 2, 2, 2, 3, 3, 3, 3)
	full.engine.DrainForPrice([]model.MachineID{1})
	full.ticks(10)
	if len(full.recalled) != 0 {
		t.Errorf("moved %v though no machine has capacity", full.recalled)
	}
}

// Machines drained for their price are cordoned, and returned once they are empty. After the drain is
// cancelled they stay.
func TestPriceDrainsCanBeCancelled(t *testing.T) {
	h := threeMachines(t)
	h.addJob(model.Spec{ID: 1}, 1)
	h.engine.DrainForPrice([]model.MachineID{1, 2, 3})
	h.engine.CancelPriceDrain([]model.MachineID{3})
	h.ticks(10)
	if !h.machines[1].cordoned || h.returned[2] != 1 || h.machines[3].cordoned {
		t.Errorf("returned %v", h.returned)
	}
	h.engine.CancelPriceDrain([]model.MachineID{1})
	h.finishJob(1)
	h.ticks(10)
	if h.machines[1] == nil || h.machines[1].cordoned || !h.engine.Idle() {
		t.Error("a machine is still drained after the drain was cancelled")
	}
}

package drain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

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

func (h *harness) wantStates(t *testing.T, states ...State) {
	t.Helper()
	for i, s := range h.engine.plans["p"].Steps {
		if s.State != states[i] {
			t.Errorf("%v: machine %d is %v, want %v (held: %q)", h.now, s.Machine, s.State, states[i], h.blockedReason())
		}
	}
}

// Work that runs is let finish, one machine after the other, and each is given
// back once its owner says that nothing is there any more.
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
	h.wantStates(t, Draining, Waiting) // its status says empty, but not since it was barred
	h.ownersUnresponsive = false
	h.ticks(40)
	h.wantStates(t, Finished, Finished)
	if p := h.engine.plans["p"]; p.Phase != Done || h.returned[1] != 1 || h.returned[2] != 1 || len(h.recalled) != 0 {
		t.Errorf("%v, given back %v, moved %v", p.Phase, h.returned, h.recalled)
	}
	if !h.engine.Idle() {
		t.Error("it is not idle")
	}
}

// What a plan moves goes only where there is room, and what can't save stays
// unless the plan says so.
func TestPlanRulesDecideWhichTasksMove(t *testing.T) {
	h := threeMachines(t)
	h.addJob(model.Spec{ID: 1, Class: 1, CheckpointInterval: time.Second}, 1)
	h.addJob(model.Spec{ID: 2, Class: 2}, 1)
	h.addJob(model.Spec{ID: 3, Class: 3, Rank: model.Idle}, 1)
	h.addJob(model.Spec{ID: 4}, 2, 2, 2, 2)
	h.addJob(model.Spec{ID: 5}, 3, 3, 3)
	rules := []Rule{{Class: 3, Rank: -1, How: Move}}
	if err := h.apply(Spec{Machines: []model.MachineID{1}, Default: MoveSaved, Rules: rules}); err != nil {
		t.Fatal(err)
	}
	h.ticks(8)
	if len(h.recalled) != 1 || h.recalled[0].Job != 1 ||
		!strings.Contains(h.blockedReason(), "no room elsewhere for job-000003") {
		t.Fatalf("moved %v, held: %q", h.recalled, h.blockedReason())
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

// A replica moves only while all run, and never two of a service at a time.
func TestReplicasMoveOneAtATime(t *testing.T) {
	h := threeMachines(t)
	j := h.addJob(model.Spec{ID: 1, Daemon: true}, 1, 1, 2)
	if err := h.apply(Spec{Machines: []model.MachineID{1, 2}, MaxConcurrent: 2}); err != nil {
		t.Fatal(err)
	}
	j.RunningTasks = 2 // one is on its way
	h.ticks(20)
	if len(h.recalled) != 0 || !strings.Contains(h.blockedReason(), "one at a time") {
		t.Fatalf("moved %v, held: %q", h.recalled, h.blockedReason())
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

// Each reason holds a plan, and goes away by itself.
func TestStepIsBlockedUntilTheReasonIsGone(t *testing.T) {
	noon := func(h *harness, d time.Duration) Window {
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
		"a batch that would miss its window": {func(h *harness) Spec {
			h.addJob(model.Spec{ID: 9, Class: 5, Estimate: 8 * time.Minute}, 1)
			h.machines[1].tasks[0].RunTime = 7 * time.Minute
			return Spec{Default: Move, Windows: []Window{noon(h, 10*time.Minute)}}
		}, "job-000009 would end at", func(h *harness) { h.finishJob(9) }},
		"a batch that would miss its deadline": {func(h *harness) Spec {
			h.addJob(model.Spec{ID: 9, Class: 5, Estimate: 8 * time.Minute, Deadline: 10 * time.Minute}, 1)
			h.machines[1].tasks[0].RunTime = 7 * time.Minute
			return Spec{Default: Move, Windows: []Window{{Deadline: true, Name: "its deadline"}}}
		}, "job-000009 would end at", func(h *harness) { h.finishJob(9) }},
		"waiting tasks that need the machine's room": {func(h *harness) Spec {
			h.addJob(model.Spec{ID: 9, Class: 5, Estimate: 4 * time.Minute}, 1).UnfinishedTasks = 13
			return Spec{Windows: []Window{noon(h, 8*time.Minute)}}
		}, "job-000009 has 12 tasks waiting", func(h *harness) { h.finishJob(9) }},
		"a floor of room": {func(h *harness) Spec {
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
				t.Fatalf("held: %q, want %q", h.blockedReason(), c.reason)
			}
			c.release(h)
			h.ticks(30)
			h.wantStates(t, Finished)
		})
	}
}

// All machines of one type named at once: as long as a job needs one of them, one
// stays.
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

// A replacement comes first; one that never comes up is replaced, a refusal is
// asked for again, and no leader rents twice for a step.
func TestReplacementIsRentedFirstAndOnlyOnce(t *testing.T) {
	h := threeMachines(t)
	h.cloudRefuses = true
	if err := h.apply(Spec{Machines: []model.MachineID{1}, RentFirst: true}); err != nil {
		t.Fatal(err)
	}
	h.ticks(6)
	if h.wantStates(t, Renting); !strings.Contains(h.blockedReason(), "the cloud has no machine") {
		t.Errorf("held: %q", h.blockedReason())
	}
	h.cloudRefuses = false
	h.ticks(7)
	h.startLeader() // the answer is with the leader that is gone
	h.ticks(2)
	if len(h.rented) != 1 {
		t.Errorf("rented %v for one step", h.rented)
	}
	for id := range h.machines {
		if id > 1000 {
			h.machines[id].bootTicks = 1000 // it never comes up
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

// A replacement was drained for its price before the machine that it stands for was drained,
// and again by a leader that had not been told of it.
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
	h.engine.DrainForPrice([]model.MachineID{replacement}) // this leader has not been told whose it is
	h.ticks(4)
	if m := h.machines[replacement]; m == nil || m.cordoned {
		t.Errorf("after a change of leader: the replacement is drained or given back: %+v", m)
	}
	check := func(when string) {
		t.Helper()
		h.engine.DrainForPrice([]model.MachineID{replacement})
		h.ticks(4)
		if m := h.machines[replacement]; m == nil || m.cordoned {
			t.Errorf("%s: the replacement is drained or given back: %+v", when, m)
		}
		if _, wanted := h.engine.MachinePlans()(replacement); !wanted {
			t.Errorf("%s: the replacement is not wanted by its plan", when)
		}
	}
	check("while its machine is drained")
	h.ticks(10)
	check("while tasks run on")
	h.finishJob(1)
	h.ticks(20)
	h.wantStates(t, Finished)
	if _, wanted := h.engine.MachinePlans()(replacement); wanted {
		t.Error("the replacement is wanted by a plan that is done")
	}
	h.engine.DrainForPrice([]model.MachineID{replacement})
	h.ticks(10)
	if h.returned[replacement] != 1 {
		t.Errorf("given back %v: a replacement is like any other once its plan is done", h.returned)
	}
}

// Patched in place, a machine keeps its name, and is wanted again on an operator's
// word.
func TestPatchedMachinesAreUncordoned(t *testing.T) {
	h := threeMachines(t)
	if err := h.apply(Spec{Machines: []model.MachineID{1, 2}, After: Patch}); err != nil {
		t.Fatal(err)
	}
	if h.engine.Patched(h.now, "p", 1, "m-1") == nil {
		t.Error("a machine that waits was called patched")
	}
	h.ticks(10)
	h.wantStates(t, Patching, Waiting)
	for range 2 {
		if err := h.engine.Patched(h.now, "p", 1, "m-1"); err != nil {
			t.Error("not taken, or not twice:", err)
		}
	}
	h.ticks(1)
	h.ticks(10)
	h.wantStates(t, Finished, Patching)
	if h.machines[1].cordoned || !h.machines[2].cordoned || len(h.returned) != 0 {
		t.Error("the wrong machine gets tasks, or one was given back")
	}
}

// Paused, cancelled and overdue plans: what can be undone is.
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
		t.Error("a cancelled plan goes on")
	}
	// The name is free again; nothing begins after the latest end.
	if err := h.apply(Spec{Machines: []model.MachineID{2, 3}, After: Patch,
		LatestEnd: h.wall.Add(h.now + 4*time.Second)}); err != nil {
		t.Fatal(err)
	}
	h.ticks(20)
	if h.wantStates(t, Patching, Abandoned); h.engine.plans["p"].Phase != Overdue {
		t.Errorf("phase %v", h.engine.plans["p"].Phase)
	}
}

// A machine that a new leader finds in use while it was being given back is
// drained anew; of a plan that was cancelled meanwhile, it is let go.
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
		h.addJob(model.Spec{ID: 1}, 1) // placed before the new leader had read the plan
		h.startLeader()
		h.ticks(4)
		h.wantStates(t, want)
		if h.returned[1] != 0 || h.machines[1].cordoned != (want == Draining) {
			t.Errorf("given back %v, barred %v", h.returned, h.machines[1].cordoned)
		}
	}
}

func TestInvalidPlansAreRefused(t *testing.T) {
	h := threeMachines(t)
	for want, s := range map[string]Spec{
		"none is like that": {},
		"100 at most":       {Machines: make([]model.MachineID, 101)},
	} {
		if err := h.apply(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if err := h.apply(Spec{Machines: []model.MachineID{1}, After: Patch}); err != nil {
		t.Fatal(err)
	}
	other := Spec{Name: "q", MaxConcurrent: 1, Machines: []model.MachineID{1, 2}}
	err := h.engine.Check(&other, nil, func(id model.MachineID) string { return fmt.Sprintf("m-%d", id) })
	if err == nil || !strings.Contains(err.Error(), `m-1 is wanted by plan "p" and by "q"`) {
		t.Error(err)
	}
	// What a newer release wrote is left alone, and told.
	h.engine.Load(0, StoredPlan{Name: "z", Value: []byte(`{"v":3}`), Version: 9}, nil)
	if st := h.engine.Status(0, "z"); !strings.Contains(st.Note, "newer release") || h.engine.Cancel(0, "z") == nil {
		t.Errorf("%+v", st)
	}
	h.ticks(10)
	if _, ok := h.stored["z"]; ok {
		t.Error("it was written over")
	}
}

// A dear machine waited for its longest task: what saves and would hold it for long
// moves where there is room; what can't save, is urgent, or ends soon stays.
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
		t.Errorf("moved %v to where no room is", full.recalled)
	}
}

// Dear machines use the same engine: they get no tasks, whoever owns them, and go
// once they are empty; wanted again, they stay.
func TestPriceDrainsCanBeCancelled(t *testing.T) {
	h := threeMachines(t)
	h.addJob(model.Spec{ID: 1}, 1)
	h.engine.DrainForPrice([]model.MachineID{1, 2, 3})
	h.engine.CancelPriceDrain([]model.MachineID{3})
	h.ticks(10)
	if !h.machines[1].cordoned || h.returned[2] != 1 || h.machines[3].cordoned {
		t.Errorf("given back %v", h.returned)
	}
	h.engine.CancelPriceDrain([]model.MachineID{1})
	h.finishJob(1)
	h.ticks(10)
	if h.machines[1] == nil || h.machines[1].cordoned || !h.engine.Idle() {
		t.Error("a machine that is wanted again is drained still")
	}
}

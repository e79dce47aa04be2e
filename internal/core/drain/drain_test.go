package drain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

func three(t *testing.T) *rig {
	t.Helper()
	r := newRig()
	for id := range model.MachineID(3) {
		r.machine(id+1, model.Name(id%2))
	}
	t.Cleanup(func() {
		for _, b := range r.broken {
			t.Error(b)
		}
	})
	return r
}

func (r *rig) want(t *testing.T, states ...State) {
	t.Helper()
	for i, s := range r.e.plans["p"].Steps {
		if s.State != states[i] {
			t.Errorf("%v: machine %d is %v, want %v (held: %q)", r.now, s.Machine, s.State, states[i], r.held())
		}
	}
}

// Work that runs is let finish, one machine after the other, and each is given
// back once its owner says that nothing is there any more.
func TestMachinesAreEmptiedInOrder(t *testing.T) {
	r := three(t)
	r.job(model.Spec{ID: 7, Estimate: time.Minute}, 1)
	if err := r.apply(Spec{Machines: []model.MachineID{1, 2}}); err != nil {
		t.Fatal(err)
	}
	r.ticks(6)
	r.want(t, Draining, Waiting)
	r.finish(7)
	r.mute = true
	r.ticks(20)
	r.want(t, Draining, Waiting) // its status says empty, but not since it was barred
	r.mute = false
	r.ticks(40)
	r.want(t, Finished, Finished)
	if p := r.e.plans["p"]; p.Phase != Done || r.given[1] != 1 || r.given[2] != 1 || len(r.recall) != 0 {
		t.Errorf("%v, given back %v, moved %v", p.Phase, r.given, r.recall)
	}
	if !r.e.Idle() {
		t.Error("it is not idle")
	}
}

// What a plan moves goes only where there is room, and what can't save stays
// unless the plan says so.
func TestWorkMovesAsThePlanSays(t *testing.T) {
	r := three(t)
	r.job(model.Spec{ID: 1, Class: 1, CheckpointInterval: time.Second}, 1)
	r.job(model.Spec{ID: 2, Class: 2}, 1)
	r.job(model.Spec{ID: 3, Class: 3, Rank: model.Idle}, 1)
	r.job(model.Spec{ID: 4}, 2, 2, 2, 2)
	r.job(model.Spec{ID: 5}, 3, 3, 3)
	rules := []Rule{{Class: 3, Rank: -1, How: Move}}
	if err := r.apply(Spec{Machines: []model.MachineID{1}, Default: MoveSaved, Rules: rules}); err != nil {
		t.Fatal(err)
	}
	r.ticks(8)
	if len(r.recall) != 1 || r.recall[0].Job != 1 || !strings.Contains(r.held(), "no room elsewhere for job-000003") {
		t.Fatalf("moved %v, held: %q", r.recall, r.held())
	}
	r.finish(4)
	r.ticks(8)
	if len(r.recall) != 2 || r.recall[1].Job != 3 {
		t.Errorf("moved %v", r.recall)
	}
	r.want(t, Draining)
	r.finish(2)
	r.ticks(8)
	r.want(t, Finished)
}

// A replica moves only while all run, and never two of a service at a time.
func TestReplicasMoveOneAtATime(t *testing.T) {
	r := three(t)
	j := r.job(model.Spec{ID: 1, Daemon: true}, 1, 1, 2)
	if err := r.apply(Spec{Machines: []model.MachineID{1, 2}, MaxConcurrent: 2}); err != nil {
		t.Fatal(err)
	}
	j.RunningTasks = 2 // one is on its way
	r.ticks(20)
	if len(r.recall) != 0 || !strings.Contains(r.held(), "one at a time") {
		t.Fatalf("moved %v, held: %q", r.recall, r.held())
	}
	j.RunningTasks = 3
	for last := 0; len(r.recall) < 3 && r.now < 5*time.Minute; {
		r.tick()
		if n := len(r.recall); n > last+1 {
			t.Fatalf("%d replicas at once", n-last)
		} else {
			last = n
		}
	}
	r.ticks(20)
	r.want(t, Finished, Finished)
}

// Each reason holds a plan, and goes away by itself.
func TestAPlanIsHeldAsLongAsItsReason(t *testing.T) {
	noon := func(r *rig, d time.Duration) Window {
		at := r.wall.Add(d)
		return Window{Classes: []model.Name{5}, Clock: time.Duration(at.Hour())*time.Hour +
			time.Duration(at.Minute())*time.Minute,
			Location: time.UTC, Name: "the window"}
	}
	for name, c := range map[string]struct {
		plan    func(r *rig) Spec
		why     string
		release func(r *rig)
	}{
		"a batch that would miss its window": {func(r *rig) Spec {
			r.job(model.Spec{ID: 9, Class: 5, Estimate: 8 * time.Minute}, 1)
			r.ms[1].tasks[0].RunTime = 7 * time.Minute
			return Spec{Default: Move, Windows: []Window{noon(r, 10*time.Minute)}}
		}, "job-000009 would end at", func(r *rig) { r.finish(9) }},
		"a batch that would miss its deadline": {func(r *rig) Spec {
			r.job(model.Spec{ID: 9, Class: 5, Estimate: 8 * time.Minute, Deadline: 10 * time.Minute}, 1)
			r.ms[1].tasks[0].RunTime = 7 * time.Minute
			return Spec{Default: Move, Windows: []Window{{Deadline: true, Name: "its deadline"}}}
		}, "job-000009 would end at", func(r *rig) { r.finish(9) }},
		"waiting tasks that need the machine's room": {func(r *rig) Spec {
			r.job(model.Spec{ID: 9, Class: 5, Estimate: 4 * time.Minute}, 1).UnfinishedTasks = 13
			return Spec{Windows: []Window{noon(r, 8*time.Minute)}}
		}, "job-000009 has 12 tasks waiting", func(r *rig) { r.finish(9) }},
		"a floor of room": {func(r *rig) Spec {
			r.job(model.Spec{ID: 8}, 2, 2, 2, 2, 3, 3, 3, 3)
			return Spec{FreeCapacityFloor: 1}
		}, "the floor of teams' guarantees", func(r *rig) { r.finish(8) }},
		"a job that no other machine could run": {func(r *rig) Spec {
			r.ms[1].Type = 3
			r.job(model.Spec{ID: 9, Types: []model.Name{3}}, 1)
			return Spec{}
		}, "no other machine could run job-000009", func(r *rig) { r.finish(9) }},
	} {
		t.Run(name, func(t *testing.T) {
			r := three(t)
			s := c.plan(r)
			s.Machines = []model.MachineID{1}
			if err := r.apply(s); err != nil {
				t.Fatal(err)
			}
			spare := int64(2000)
			for range 12 {
				r.now += 500 * time.Millisecond
				v := r.view()
				v.UnusedGuaranteeCPU = spare
				for _, a := range r.e.Tick(v) {
					r.do(a)
				}
				for _, w := range r.e.Writes(4) {
					r.write(w)
				}
			}
			r.want(t, Waiting)
			if !strings.Contains(r.held(), c.why) {
				t.Fatalf("held: %q, want %q", r.held(), c.why)
			}
			c.release(r)
			r.ticks(30)
			r.want(t, Finished)
		})
	}
}

// All machines of one type named at once: as long as a job needs one of them, one
// stays.
func TestTheLastMachineOfATypeStays(t *testing.T) {
	r := three(t)
	for _, m := range r.ms {
		m.Type = 3
	}
	r.job(model.Spec{ID: 9, Types: []model.Name{3}}, 1)
	if err := r.apply(Spec{Machines: []model.MachineID{1, 2, 3}, MaxConcurrent: 3, Default: Move}); err != nil {
		t.Fatal(err)
	}
	r.ticks(60)
	r.want(t, Finished, Finished, Waiting)
	r.finish(9)
	r.ticks(30)
	r.want(t, Finished, Finished, Finished)
}

// A replacement comes first; one that never comes up is replaced, a refusal is
// asked for again, and no leader rents twice for a step.
func TestReplacementIsRentedFirstAndOnce(t *testing.T) {
	r := three(t)
	r.refuse = true
	if err := r.apply(Spec{Machines: []model.MachineID{1}, RentFirst: true}); err != nil {
		t.Fatal(err)
	}
	r.ticks(6)
	if r.want(t, Renting); !strings.Contains(r.held(), "the cloud has no machine") {
		t.Errorf("held: %q", r.held())
	}
	r.refuse = false
	r.ticks(7)
	r.lead() // the answer is with the leader that is gone
	r.ticks(2)
	if len(r.rented) != 1 {
		t.Errorf("rented %v for one step", r.rented)
	}
	for id := range r.ms {
		if id > 1000 {
			r.ms[id].boots = 1000 // it never comes up
		}
	}
	r.ticks(40)
	r.want(t, Renting)
	r.ticks(60)
	r.want(t, Finished)
	if len(r.rented) != 2 || len(r.ms) != 4 {
		t.Errorf("rented %v, machines %v", r.rented, r.ids())
	}
}

// A replacement was drained for its price before the machine that it stands for was drained,
// and again by a leader that had not been told of it.
func TestReplacementsAreNotDrainedForTheirPrice(t *testing.T) {
	r := three(t)
	r.job(model.Spec{ID: 1}, 1)
	if err := r.apply(Spec{Machines: []model.MachineID{1}, RentFirst: true}); err != nil {
		t.Fatal(err)
	}
	r.ticks(4)
	r.want(t, Renting)
	replacement := r.replacement(t)
	r.lead()
	r.e.DrainForPrice([]model.MachineID{replacement}) // this leader has not been told whose it is
	r.ticks(4)
	if m := r.ms[replacement]; m == nil || m.barred {
		t.Errorf("after a change of leader: the replacement is drained or given back: %+v", m)
	}
	check := func(when string) {
		t.Helper()
		r.e.DrainForPrice([]model.MachineID{replacement})
		r.ticks(4)
		if m := r.ms[replacement]; m == nil || m.barred {
			t.Errorf("%s: the replacement is drained or given back: %+v", when, m)
		}
		if _, wanted := r.e.MachinePlans()(replacement); !wanted {
			t.Errorf("%s: the replacement is not wanted by its plan", when)
		}
	}
	check("while its machine is drained")
	r.ticks(10)
	check("while tasks run on")
	r.finish(1)
	r.ticks(20)
	r.want(t, Finished)
	if _, wanted := r.e.MachinePlans()(replacement); wanted {
		t.Error("the replacement is wanted by a plan that is done")
	}
	r.e.DrainForPrice([]model.MachineID{replacement})
	r.ticks(10)
	if r.given[replacement] != 1 {
		t.Errorf("given back %v: a replacement is like any other once its plan is done", r.given)
	}
}

// Patched in place, a machine keeps its name, and is wanted again on an operator's
// word.
func TestPatchedMachinesAreWantedAgain(t *testing.T) {
	r := three(t)
	if err := r.apply(Spec{Machines: []model.MachineID{1, 2}, After: Patch}); err != nil {
		t.Fatal(err)
	}
	if r.e.Patched(r.now, "p", 1, "m-1") == nil {
		t.Error("a machine that waits was called patched")
	}
	r.ticks(10)
	r.want(t, Patching, Waiting)
	for range 2 {
		if err := r.e.Patched(r.now, "p", 1, "m-1"); err != nil {
			t.Error("not taken, or not twice:", err)
		}
	}
	r.ticks(1)
	r.ticks(10)
	r.want(t, Finished, Patching)
	if r.ms[1].barred || !r.ms[2].barred || len(r.given) != 0 {
		t.Error("the wrong machine gets tasks, or one was given back")
	}
}

// Paused, cancelled and overdue plans: what can be undone is.
func TestPlansEndAtAnyPoint(t *testing.T) {
	r := three(t)
	r.job(model.Spec{ID: 1}, 1)
	if err := r.apply(Spec{Machines: []model.MachineID{1, 2}, Default: Move,
		LatestEnd: r.wall.Add(time.Hour)}); err != nil {
		t.Fatal(err)
	}
	if r.e.Pause("p") != nil {
		t.Error("not paused")
	}
	r.ticks(10)
	r.want(t, Waiting, Waiting)
	for range 2 {
		if err := r.e.Resume("p"); err != nil {
			t.Error("not resumed:", err)
		}
	}
	r.ticks(3)
	r.want(t, Draining, Waiting)
	for range 2 {
		if err := r.e.Cancel(r.now, "p"); err != nil {
			t.Error("not cancelled:", err)
		}
	}
	r.ticks(4)
	if r.want(t, Abandoned, Abandoned); r.ms[1].barred || r.e.Resume("p") == nil {
		t.Error("a cancelled plan goes on")
	}
	// The name is free again; nothing begins after the latest end.
	if err := r.apply(Spec{Machines: []model.MachineID{2, 3}, After: Patch,
		LatestEnd: r.wall.Add(r.now + 4*time.Second)}); err != nil {
		t.Fatal(err)
	}
	r.ticks(20)
	if r.want(t, Patching, Abandoned); r.e.plans["p"].Phase != Overdue {
		t.Errorf("phase %v", r.e.plans["p"].Phase)
	}
}

// A machine that a new leader finds in use while it was being given back is
// drained anew; of a plan that was cancelled meanwhile, it is let go.
func TestGivingBackIsUndoneWhereWorkHasCome(t *testing.T) {
	for cancelled, want := range map[bool]State{false: Draining, true: Abandoned} {
		r := three(t)
		if err := r.apply(Spec{Machines: []model.MachineID{1}}); err != nil {
			t.Fatal(err)
		}
		for r.state("p", 1) != Returning {
			r.tick()
		}
		if cancelled {
			if err := r.e.Cancel(r.now, "p"); err != nil {
				t.Fatal(err)
			}
			for _, w := range r.e.Writes(4) {
				r.write(w)
			}
		}
		r.job(model.Spec{ID: 1}, 1) // placed before the new leader had read the plan
		r.lead()
		r.ticks(4)
		r.want(t, want)
		if r.given[1] != 0 || r.ms[1].barred != (want == Draining) {
			t.Errorf("given back %v, barred %v", r.given, r.ms[1].barred)
		}
	}
}

func TestPlansThatCantBe(t *testing.T) {
	r := three(t)
	for why, s := range map[string]Spec{
		"none is like that": {},
		"100 at most":       {Machines: make([]model.MachineID, 101)},
	} {
		if err := r.apply(s); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%v, want %q", err, why)
		}
	}
	if err := r.apply(Spec{Machines: []model.MachineID{1}, After: Patch}); err != nil {
		t.Fatal(err)
	}
	other := Spec{Name: "q", MaxConcurrent: 1, Machines: []model.MachineID{1, 2}}
	err := r.e.Check(&other, nil, func(id model.MachineID) string { return fmt.Sprintf("m-%d", id) })
	if err == nil || !strings.Contains(err.Error(), `m-1 is wanted by plan "p" and by "q"`) {
		t.Error(err)
	}
	// What a newer release wrote is left alone, and told.
	r.e.Load(0, StoredPlan{Name: "z", Value: []byte(`{"v":3}`), Version: 9}, nil)
	if st := r.e.Status(0, "z"); !strings.Contains(st.Note, "newer release") || r.e.Cancel(0, "z") == nil {
		t.Errorf("%+v", st)
	}
	r.ticks(10)
	if _, ok := r.stored["z"]; ok {
		t.Error("it was written over")
	}
}

// A dear machine waited for its longest task: what saves and would hold it for long
// moves where there is room; what can't save, is urgent, or ends soon stays.
func TestDearMachinesAreConsolidated(t *testing.T) {
	r := three(t)
	r.job(model.Spec{ID: 1, CheckpointInterval: time.Second, Estimate: 10 * time.Minute}, 1)
	r.job(model.Spec{ID: 2, CheckpointInterval: time.Second, Estimate: 9 * time.Second}, 1)
	r.job(model.Spec{ID: 3, Estimate: 10 * time.Minute}, 1)
	r.job(model.Spec{ID: 4, CheckpointInterval: time.Second, Estimate: 10 * time.Minute, Rank: model.Urgent}, 1)
	r.e.DrainForPrice([]model.MachineID{1})
	r.ticks(10)
	if len(r.recall) != 1 || r.recall[0].Job != 1 {
		t.Errorf("moved %v", r.recall)
	}
	full := three(t)
	full.job(model.Spec{ID: 1, CheckpointInterval: time.Second, Estimate: 10 * time.Minute}, 1)
	full.job(model.Spec{ID: 2}, 2, 2, 2, 2, 3, 3, 3, 3)
	full.e.DrainForPrice([]model.MachineID{1})
	full.ticks(10)
	if len(full.recall) != 0 {
		t.Errorf("moved %v to where no room is", full.recall)
	}
}

// Dear machines use the same engine: they get no tasks, whoever owns them, and go
// once they are empty; wanted again, they stay.
func TestMachinesDrainedForTheirPrice(t *testing.T) {
	r := three(t)
	r.job(model.Spec{ID: 1}, 1)
	r.e.DrainForPrice([]model.MachineID{1, 2, 3})
	r.e.CancelPriceDrain([]model.MachineID{3})
	r.ticks(10)
	if !r.ms[1].barred || r.given[2] != 1 || r.ms[3].barred {
		t.Errorf("given back %v", r.given)
	}
	r.e.CancelPriceDrain([]model.MachineID{1})
	r.finish(1)
	r.ticks(10)
	if r.ms[1] == nil || r.ms[1].barred || !r.e.Idle() {
		t.Error("a machine that is wanted again is drained still")
	}
}

package drain

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"honeylock/internal/core/model"
)

// TestAnyInterleavingSettles plays plans against random days: leaders that are
// lost between any two steps, a store whose answers get lost, owners that say
// nothing, a cloud that refuses, machines that stop, operators that pause and
// cancel. No step is taken without its conditions (the rig checks each action),
// no more machines are under way than allowed, none is given back twice, and once
// the troubles end every plan does.
func TestAnyInterleavingSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig()
		n := rapid.IntRange(2, 6).Draw(t, "machines")
		var ids []model.MachineID
		for id := range n {
			r.machine(model.MachineID(id+1), model.Name(id%2))
			if id > 0 || rapid.Bool().Draw(t, "all") {
				ids = append(ids, model.MachineID(id+1))
			}
		}
		r.machine(99, 0) // where everything fits in the end
		r.ms[99].Cap = model.Resources{CPU: 1 << 30, Mem: 1 << 30}
		for j := range rapid.IntRange(0, 6).Draw(t, "jobs") {
			sp := model.Spec{ID: model.JobID(j + 1), Estimate: time.Minute, Daemon: rapid.IntRange(0, 4).Draw(t, "daemon") == 0}
			if rapid.Bool().Draw(t, "saves") {
				sp.CheckpointInterval = time.Second
			}
			r.job(sp, model.MachineID(rapid.IntRange(1, n).Draw(t, "on")))
		}
		s := Spec{Machines: ids, MaxConcurrent: rapid.IntRange(1, 3).Draw(t, "at once"),
			MaxPerZone: rapid.IntRange(0, 2).Draw(t, "per zone"),
			Default:    How(rapid.IntRange(0, 2).Draw(t, "how")), RentFirst: rapid.Bool().Draw(t, "rent first"),
			After: After(rapid.IntRange(0, 1).Draw(t, "after"))}
		if err := r.apply(s); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			r.trouble(t, ids)
			r.tick()
			r.check(t, &s)
		}
		r.loses, r.mute, r.refuse = false, false, false
		r.settle(t, ids)
		r.check(t, &s)
	})
}

func (r *rig) trouble(t *rapid.T, ids []model.MachineID) {
	id := rapid.SampledFrom(ids).Draw(t, "machine")
	switch rapid.IntRange(0, 14).Draw(t, "trouble") {
	case 0:
		r.lead()
	case 1:
		r.loses = !r.loses
	case 2:
		r.mute = !r.mute
	case 3:
		r.refuse = !r.refuse
	case 4:
		r.lose(id)
	case 5:
		_ = r.e.Pause("p")
	case 6:
		_ = r.e.Resume("p")
	case 7:
		if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
			_ = r.e.Cancel(r.now, "p")
		}
	case 8:
		_ = r.e.Patched(r.now, "p", id, "it")
	case 9:
		r.finish(model.JobID(rapid.IntRange(1, 6).Draw(t, "job")))
	}
}

func (r *rig) check(t *rapid.T, s *Spec) {
	if len(r.broken) > 0 {
		t.Fatal(r.broken)
	}
	for id, n := range r.given {
		if n > 1 {
			t.Fatalf("machine %d was given back %d times", id, n)
		}
	}
	p := r.e.plans["p"]
	if p == nil {
		return // its first write was lost with its leader
	}
	busy := 0
	for _, st := range p.Steps {
		if st.State != Waiting && !st.State.over() {
			busy++
		}
	}
	if busy > s.MaxConcurrent {
		t.Fatalf("%d machines under way, %d may be", busy, s.MaxConcurrent)
	}
}

// settle lets the troubles be over, and the plan end.
func (r *rig) settle(t *rapid.T, ids []model.MachineID) {
	for range 2000 {
		p := r.e.plans["p"]
		if p == nil || p.ended() && p.synced() {
			for id, m := range r.ms {
				if m.barred {
					t.Fatalf("machine %d gets no tasks, and no plan has it", id)
				}
			}
			return
		}
		_ = r.e.Resume("p")
		for _, id := range ids {
			_ = r.e.Patched(r.now, "p", id, "it")
		}
		r.tick()
		for id, j := range r.jobs {
			if !j.Spec.Daemon && r.now > time.Minute {
				r.finish(id)
			}
			j.RunningTasks = int(j.Spec.Tasks)
		}
	}
	t.Fatal("the plan does not end: " + fmt.Sprintf("%+v", r.e.Status(r.now, "p")))
}

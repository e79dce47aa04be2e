package shard

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// full returns a shard whose machines are all full, with groups that wait.
func full(t testing.TB, machines, groups int) *rig {
	r := newRig(t)
	for id := range model.MachineID(machines) {
		r.own(id, 5, 4)
		r.report(id, 5)
	}
	busy := r.spec(1, model.Prod, 4)
	for no := range int32(machines) {
		r.give(busy, no, 1000)
	}
	r.s.Place(r.now)
	for id := range model.MachineID(machines) {
		r.report(id, 5)
	}
	for i := range groups {
		r.give(r.spec(model.JobID(2+i), model.Idle, 4), 0, 1)
	}
	r.s.Place(r.now)
	return r
}

// What a report costs must not grow with the number of machines: a scan of all
// of them for each report once kept every controller minutes behind.
func TestReportCostsTheSameInALargeCluster(t *testing.T) {
	cost := func(machines int) (looked uint64, allocs float64) {
		r := full(t, machines, 100)
		m := r.s.order[0]
		var held key
		for _, sl := range m.slots {
			held = sl.key
		}
		before := r.s.Stats.MachinesExamined
		got := r.report(m.ID, 5, model.AttemptStatus{Task: held.task, Attempt: held.attempt, Stage: model.Exited, Cause: model.CauseDone})
		if len(got) != 1 || got[0].Verb != model.Launch {
			t.Fatalf("commands %v, want the room filled in the answer", got)
		}
		looked = r.s.Stats.MachinesExamined - before
		return looked, testing.AllocsPerRun(20, func() { r.report(m.ID, 5) })
	}
	smallLooked, smallAllocs := cost(20)
	largeLooked, largeAllocs := cost(2000)
	if largeLooked > smallLooked || largeLooked > 300 {
		t.Errorf("a report looks at machines %d times among 2000, %d times among 20", largeLooked, smallLooked)
	}
	if largeAllocs > smallAllocs+2 {
		t.Errorf("a report allocates %v times among 2000 machines, %v among 20", largeAllocs, smallAllocs)
	}
}

// The heap of rooms must choose as a plain look at all machines does.
func TestRoomsChooseAsAPlainScan(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		r := newRig(t)
		for id := range model.MachineID(30) {
			r.s.HandleOrder(r.now, model.Order{Kind: model.OwnMachine, Usable: true, Token: 5, Machine: model.Machine{ID: id, Addr: "x",
				Spot: rng.IntN(2) == 0, Cap: model.Capacity(float64(4+4*rng.IntN(3)), 0, 64)}})
			r.report(id, 5)
		}
		for i := range 60 { // some load, then the same choice both ways
			sp := r.spec(model.JobID(1+i), model.Rank(rng.IntN(3)), float64(1+rng.IntN(4)))
			sp.Image = model.Name(rng.IntN(4))
			g := &group{job: sp.ID, zone: model.None, spec: sp, price: 1, tasks: []*task{{}}}
			var plain *machine
			for _, m := range r.s.order {
				if !sp.PerTask.Fits(m.Cap.Sub(m.used)) {
					continue
				}
				if plain == nil || lowest(m) < lowest(plain) || lowest(m) == lowest(plain) && preferred(sp, m, plain) {
					plain = m
				}
			}
			if got := r.s.rooms(r.now, g, r.s.order).best(); got != plain {
				t.Fatalf("seed %d, task %d: %v chosen, %v by a plain scan", seed, i, got, plain)
			}
			r.give(sp, 0, 1)
			r.s.Place(r.now)
		}
		r.now += time.Second
	}
}

// lowest is the lowest rank that runs on the machine, looked up plainly.
func lowest(m *machine) model.Rank {
	low, any := model.Idle, false
	for _, sl := range m.slots {
		if sl.t != nil && sl.state != exited && (!any || sl.t.Spec.Rank < low) {
			low, any = sl.t.Spec.Rank, true
		}
	}
	return low
}

// BenchmarkPlaceFull places once more where all machines are full of small tasks, and many jobs wait.
func BenchmarkPlaceFull(b *testing.B) {
	r := newRig(b)
	const machines, groups = 545, 150
	busy := r.spec(1, model.Prod, 1)
	for id := range model.MachineID(machines) {
		r.own(id, 5, 16)
		r.report(id, 5)
	}
	for no := range int32(16 * machines) {
		r.give(busy, no, 1000)
	}
	r.s.Place(r.now)
	for id := range model.MachineID(machines) {
		r.report(id, 5)
	}
	for i := range groups {
		sp := r.spec(model.JobID(2+i), model.Idle, 1)
		for no := range int32(4) {
			r.give(sp, no, 1+float64(i%5))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		r.now += time.Second
		r.s.SetGrant(r.now + time.Hour)
		r.s.replan = true
		r.s.Place(r.now)
	}
}

// A machine's lowest price is known without looking at what runs there, and follows all that
// changes it.
func TestALowestPriceIsNeverOfBefore(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	running := model.AttemptStatus{Task: model.Task{Job: 9, Index: 3}, Attempt: 77, Stage: model.Running}
	r.report(1, 5, running)
	low := func(want float64, when string) {
		t.Helper()
		if got := r.s.machines[1].cheapest(); got != want {
			t.Errorf("%v %s, want %v", got, when, want)
		}
		r.books()
	}
	low(math.Inf(1), "with nothing of its own")
	adopted := r.spec(9, model.Idle, 2)
	r.s.HandleOrder(r.now, model.Order{Kind: model.AssignTask, Assignment: model.Assignment{Task: running.Task, Spec: adopted, Price: 7,
		Zone: model.None, Machine: 1, Attempt: 77}})
	low(7, "with one that was adopted")
	r.s.HandleOrder(r.now, model.Order{Kind: model.RepriceJob, Job: 9, Price: 3})
	low(3, "at its new price")
	r.give(r.spec(10, model.Idle, 2), 0, 1)
	r.s.Place(r.now)
	low(1, "with a cheaper one that is placed")
	r.s.HandleOrder(r.now, model.Order{Kind: model.EndJob, Job: 10})
	low(3, "once that is taken back")
}

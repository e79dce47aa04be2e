package shard

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// newFullHarness returns a shard whose machines are all full, with groups that wait.
func newFullHarness(t testing.TB, machines, groups int) *harness {
	h := newHarness(t)
	for id := range model.MachineID(machines) {
		h.ownMachine(id, 5, 4)
		h.report(id, 5)
	}
	busy := h.spec(1, model.Prod, 4)
	for index := range int32(machines) {
		h.assign(busy, index, 1000)
	}
	h.shard.Place(h.now)
	for id := range model.MachineID(machines) {
		h.report(id, 5)
	}
	for i := range groups {
		h.assign(h.spec(model.JobID(2+i), model.Idle, 4), 0, 1)
	}
	h.shard.Place(h.now)
	return h
}

// What a report costs must not grow with the number of machines: a scan of all
// of them for each report once kept every controller minutes behind.
func TestReportCostIsIndependentOfClusterSize(t *testing.T) {
	cost := func(machines int) (examined uint64, allocs float64) {
		h := newFullHarness(t, machines, 100)
		m := h.shard.sortedMachines[0]
		var running attemptKey
		for _, a := range m.attempts {
			running = a.attemptKey
		}
		before := h.shard.Stats.MachinesExamined
		got := h.report(m.ID, 5, model.AttemptStatus{Task: running.task, Attempt: running.number, Stage: model.Exited,
			Cause: model.CauseDone})
		if len(got) != 1 || got[0].Verb != model.Launch {
			t.Fatalf("commands %v, want the room filled in the answer", got)
		}
		examined = h.shard.Stats.MachinesExamined - before
		return examined, testing.AllocsPerRun(20, func() { h.report(m.ID, 5) })
	}
	smallExamined, smallAllocs := cost(20)
	largeExamined, largeAllocs := cost(2000)
	if largeExamined > smallExamined || largeExamined > 300 {
		t.Errorf("a report looks at machines %d times among 2000, %d times among 20", largeExamined, smallExamined)
	}
	if largeAllocs > smallAllocs+2 {
		t.Errorf("a report allocates %v times among 2000 machines, %v among 20", largeAllocs, smallAllocs)
	}
}

// The heap of rooms must choose as a plain look at all machines does.
func TestCandidateHeapChoosesLikeScan(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		h := newHarness(t)
		for id := range model.MachineID(30) {
			h.shard.HandleOrder(h.now, model.Order{Kind: model.OwnMachine, Usable: true, Token: 5,
				Machine: model.Machine{ID: id, Addr: "x",
					Spot: rng.IntN(2) == 0, Cap: model.Capacity(float64(4+4*rng.IntN(3)), 0, 64)}})
			h.report(id, 5)
		}
		for i := range 60 { // some load, then the same choice both ways
			spec := h.spec(model.JobID(1+i), model.Rank(rng.IntN(3)), float64(1+rng.IntN(4)))
			spec.Image = model.Name(rng.IntN(4))
			g := &waitingGroup{job: spec.ID, zone: model.None, spec: spec, price: 1, tasks: []*task{{}}}
			var plain *machine
			for _, m := range h.shard.sortedMachines {
				if !spec.PerTask.Fits(m.Cap.Sub(m.used)) {
					continue
				}
				if plain == nil || scanLowestRank(m) < scanLowestRank(plain) ||
					scanLowestRank(m) == scanLowestRank(plain) && preferred(spec, m, plain) {
					plain = m
				}
			}
			if got := h.shard.candidates(h.now, g, h.shard.sortedMachines).best(); got != plain {
				t.Fatalf("seed %d, task %d: %v chosen, %v by a plain scan", seed, i, got, plain)
			}
			h.assign(spec, 0, 1)
			h.shard.Place(h.now)
		}
		h.now += time.Second
	}
}

// scanLowestRank is the lowest rank that runs on the machine, looked up plainly.
func scanLowestRank(m *machine) model.Rank {
	low, any := model.Idle, false
	for _, a := range m.attempts {
		if a.assigned != nil && a.state != exited && (!any || a.assigned.Spec.Rank < low) {
			low, any = a.assigned.Spec.Rank, true
		}
	}
	return low
}

// BenchmarkPlaceFull places once more where all machines are full of small tasks, and many jobs wait.
func BenchmarkPlaceFull(b *testing.B) {
	h := newHarness(b)
	const machines, groups = 545, 150
	busy := h.spec(1, model.Prod, 1)
	for id := range model.MachineID(machines) {
		h.ownMachine(id, 5, 16)
		h.report(id, 5)
	}
	for index := range int32(16 * machines) {
		h.assign(busy, index, 1000)
	}
	h.shard.Place(h.now)
	for id := range model.MachineID(machines) {
		h.report(id, 5)
	}
	for i := range groups {
		spec := h.spec(model.JobID(2+i), model.Idle, 1)
		for index := range int32(4) {
			h.assign(spec, index, 1+float64(i%5))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		h.now += time.Second
		h.shard.SetGrant(h.now + time.Hour)
		h.shard.replanAll = true
		h.shard.Place(h.now)
	}
}

// A machine's lowest price is known without looking at what runs there, and follows all that
// changes it.
func TestMinTaskPriceIsNeverStale(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	running := model.AttemptStatus{Task: model.Task{Job: 9, Index: 3}, Attempt: 77, Stage: model.Running}
	h.report(1, 5, running)
	low := func(want float64, when string) {
		t.Helper()
		if got := h.shard.machines[1].minTaskPrice(); got != want {
			t.Errorf("%v %s, want %v", got, when, want)
		}
		h.checkAccounting()
	}
	low(math.Inf(1), "with nothing of its own")
	adopted := h.spec(9, model.Idle, 2)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.AssignTask,
		Assignment: model.Assignment{Task: running.Task, Spec: adopted, Price: 7,
			Zone: model.None, Machine: 1, Attempt: 77}})
	low(7, "with one that was adopted")
	h.shard.HandleOrder(h.now, model.Order{Kind: model.RepriceJob, Job: 9, Price: 3})
	low(3, "at its new price")
	h.assign(h.spec(10, model.Idle, 2), 0, 1)
	h.shard.Place(h.now)
	low(1, "with a cheaper one that is placed")
	h.shard.HandleOrder(h.now, model.Order{Kind: model.EndJob, Job: 10})
	low(3, "once that is taken back")
}

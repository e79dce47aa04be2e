package shard

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// newFullHarness returns a harness whose machines are all full, with the given number of waiting
// groups.
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

// The cost of a report must not grow with the number of machines. With a scan of all machines for
// each report, controllers of a large cluster fall behind by minutes.
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
			t.Fatalf("commands %v, want a launch for the freed capacity in the answer", got)
		}
		examined = h.shard.Stats.MachinesExamined - before
		return examined, testing.AllocsPerRun(20, func() { h.report(m.ID, 5) })
	}
	smallExamined, smallAllocs := cost(20)
	largeExamined, largeAllocs := cost(2000)
	if largeExamined > smallExamined || largeExamined > 300 {
		t.Errorf("a report examines machines %d times with 2000 machines, %d times with 20", largeExamined, smallExamined)
	}
	if largeAllocs > smallAllocs+2 {
		t.Errorf("a report allocates %v times with 2000 machines, %v with 20", largeAllocs, smallAllocs)
	}
}

// The heap of candidates must choose the same machine as a scan of all machines.
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
		for i := range 60 { // each task adds load before the next comparison
			spec := h.spec(model.JobID(1+i), model.Rank(rng.IntN(3)), float64(1+rng.IntN(4)))
			spec.Image = model.Name(rng.IntN(4))
			g := &waitingGroup{job: spec.ID, zone: model.None, spec: spec, price: 1, tasks: []*task{{}}}
			var scanned *machine
			for _, m := range h.shard.sortedMachines {
				if !spec.PerTask.Fits(m.Cap.Sub(m.used)) {
					continue
				}
				if scanned == nil || scanLowestRank(m) < scanLowestRank(scanned) ||
					scanLowestRank(m) == scanLowestRank(scanned) && preferred(spec, m, scanned) {
					scanned = m
				}
			}
			if got := h.shard.candidates(h.now, g, h.shard.sortedMachines).best(); got != scanned {
				t.Fatalf("seed %d, task %d: %v chosen, %v by a scan", seed, i, got, scanned)
			}
			h.assign(spec, 0, 1)
			h.shard.Place(h.now)
		}
		h.now += time.Second
	}
}

// scanLowestRank returns the lowest rank of the tasks on the machine, without the cache.
func scanLowestRank(m *machine) model.Rank {
	low, any := model.Idle, false
	for _, a := range m.attempts {
		if a.assigned != nil && a.state != exited && (!any || a.assigned.Spec.Rank < low) {
			low, any = a.assigned.Spec.Rank, true
		}
	}
	return low
}

// BenchmarkPlaceFull runs full placement rounds with all machines full of small tasks and many
// waiting jobs.
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

// The cached lowest task price of a machine is updated by everything that changes it.
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
	low(math.Inf(1), "with no task of this shard")
	adopted := h.spec(9, model.Idle, 2)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.AssignTask,
		Assignment: model.Assignment{Task: running.Task, Spec: adopted, Price: 7,
			Zone: model.None, Machine: 1, Attempt: 77}})
	low(7, "with an adopted task")
	h.shard.HandleOrder(h.now, model.Order{Kind: model.RepriceJob, Job: 9, Price: 3})
	low(3, "after a price change")
	h.assign(h.spec(10, model.Idle, 2), 0, 1)
	h.shard.Place(h.now)
	low(1, "with a cheaper task placed")
	h.shard.HandleOrder(h.now, model.Order{Kind: model.EndJob, Job: 10})
	low(3, "after the cheaper task has ended")
}

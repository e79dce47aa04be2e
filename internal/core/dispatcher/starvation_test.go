package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// An overdue job is dispatched before all others, whatever its rank, and the shards are
// ordered repeatedly to expedite it until it has started.
func TestOverdueJobIsDispatchedFirst(t *testing.T) {
	h := newHarness(t, 1000)
	h.d.params.StartWithin = 60 * time.Second
	h.d.params.DispatchAhead = 1
	a := h.d.AddShard(0, "a")
	h.addMachine(0, 1, a)
	low := h.addJob(1, 2, false)
	low.Rank, low.BestEffort = model.Idle, true
	h.d.jobs[1].rank = model.Idle
	h.d.Dispatch(time.Second)
	urgent := &model.Spec{ID: 2, Tasks: 50, PerTask: model.Request(2, 0, 1), Rank: model.Prod, Zone: model.None,
		Spot: true}
	h.d.AddJob(10*time.Second, urgent, 9, 0, false)
	h.reportStatus(61*time.Second, a, 1)
	h.d.Dispatch(61 * time.Second)
	orders := h.d.TakeOrders()
	var first model.JobID
	expedited := 0
	for _, o := range orders {
		if o.Kind == model.ExpediteJob && o.Job == 1 {
			expedited++
		}
		if o.Kind == model.AssignTask && first == 0 {
			first = o.Assignment.Task.Job
		}
	}
	if expedited != 1 || first != 1 {
		t.Fatalf("expedited %d times, job %d dispatched first", expedited, first)
	}
	again := func(now time.Duration) (n int) {
		h.d.Dispatch(now)
		for _, o := range h.takeOrders(model.ExpediteJob) {
			if o.Job == 1 {
				n++
			}
		}
		return n
	}
	if n := again(72 * time.Second); n != 1 {
		t.Errorf("expedited %d times more after 11 s", n)
	}
	h.d.UpdateStatus(73*time.Second, a, nil, map[model.JobID]model.TaskCounts{1: {Running: 1}}, h.d.AssignmentsSent(a))
	if n := again(90 * time.Second); n != 0 || h.d.jobs[1].overdue {
		t.Error("expedited again though it has started")
	}
}

// Guards against starving a job whose tasks must share a zone. Such jobs are dispatched only to
// free capacity, which tasks dispatched ahead for other jobs always took first.
func TestOverduePinnedJobIsDispatchedWithoutFreeCapacity(t *testing.T) {
	h := newHarness(t, 1000)
	h.d.params.StartWithin = 60 * time.Second
	a := h.d.AddShard(0, "a")
	h.addMachine(0, 1, a)
	// The machine has no free capacity.
	h.d.UpdateStatus(0, a, []model.MachineStatus{{Machine: model.Machine{ID: 1}, Ready: true}}, nil, 0)
	h.addJob(1, 3, false).SameZone = true
	h.d.Dispatch(59 * time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 0 {
		t.Fatalf("%d tasks dispatched without free capacity", n)
	}
	h.d.Dispatch(61 * time.Second)
	if g := h.takeOrders(model.AssignTask); len(g) != 1 || g[0].Assignment.Zone != 0 {
		t.Fatalf("assignments %+v, want one task, pinned to the zone", g)
	}
	h.d.Dispatch(63 * time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 0 {
		t.Fatalf("%d more tasks dispatched", n)
	}
}

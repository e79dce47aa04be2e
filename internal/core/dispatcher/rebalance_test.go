package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// Tasks are recalled from a shard with many more waiting tasks than free capacity if other shards
// have some, even if one of the tasks fits.
func TestWaitingTasksAreRecalledFromShardWithoutCapacity(t *testing.T) {
	h := newHarness(t, 400)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	for id := range model.MachineID(4) {
		to := a
		if id > 0 {
			to = b
		}
		h.addMachine(0, id, to)
	}
	h.reportStatus(0, a, 0)
	h.addJob(1, 40, false)
	h.d.Dispatch(time.Second)
	h.d.TakeOrders()
	now := 3 * time.Second
	nearlyFull := model.MachineStatus{Machine: model.Machine{ID: 0}, Avail: model.Capacity(2, 0, 64), Ready: true}
	h.d.UpdateStatus(now, a, []model.MachineStatus{nearlyFull},
		map[model.JobID]model.TaskCounts{1: {Waiting: 9}}, h.d.AssignmentsSent(a))
	h.reportStatus(now, b, 1, 2, 3) // capacity for twelve tasks
	h.d.Dispatch(now)
	recalled := 0
	for _, o := range h.takeOrders(model.RecallWaitingTasks) {
		if o.To != a {
			t.Errorf("tasks recalled from shard %d", o.To)
		}
		recalled += o.Count
	}
	if recalled != 8 { // all but the one that fits
		t.Errorf("%d tasks recalled, want 8", recalled)
	}
}

// Machines are rebalanced one at a time. A worker that reports to another shard could not reach the
// intended controller, and its zone is not sent there for a while.
func TestMachinesAreRebalancedOneAtATime(t *testing.T) {
	h := newHarness(t, 100)
	a := h.d.AddShard(0, "a")
	h.d.AddShard(0, "b")
	for id := range model.MachineID(6) {
		h.addMachine(0, id, a)
	}
	h.d.TakeOrders()
	h.d.Tick(5 * time.Second)
	if o := h.takeOrders(model.ReleaseMachine); len(o) != 0 {
		t.Fatalf("orders %v move machines to a shard that has just joined", o)
	}
	h.d.Tick(11 * time.Second)
	o := h.takeOrders(model.ReleaseMachine)
	if len(o) != 1 || o[0].To != a || o[0].RedirectTo != "b" {
		t.Fatalf("orders %+v, want one machine redirected to b", o)
	}
	h.d.Tick(15 * time.Second)
	if o := h.takeOrders(model.ReleaseMachine); len(o) != 0 {
		t.Fatalf("orders %v while a move is in progress", o)
	}
	id := o[0].ID
	h.d.HandleEvent(15*time.Second, a, model.Event{Kind: model.MachineReleased, Machine: id})
	// The worker reports to a again.
	h.d.HandleEvent(16*time.Second, a, model.Event{Kind: model.UnownedWorker, Machine: id,
		Report: &model.Report{Machine: model.Machine{ID: id}}})
	h.d.HandleEvent(16*time.Second, a, model.Event{Kind: model.WorkerFenced, Machine: id})
	h.d.TakeOrders()
	h.d.Tick(30 * time.Second)
	if o := h.takeOrders(model.ReleaseMachine); len(o) != 0 {
		t.Fatalf("orders %v redirect to a controller that the zone can't reach", o)
	}
	h.d.Tick(10 * time.Minute)
	if o := h.takeOrders(model.ReleaseMachine); len(o) != 1 || o[0].RedirectTo != "b" {
		t.Fatalf("orders %v, want another try later", o)
	}
}

// After a controller is lost, old work waits until its machines are accounted for. Their workers
// may not report for many seconds, so the machines are divided among the living shards, which
// contact the workers.
func TestUnownedMachinesAreDividedAmongLivingShards(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	for id := range model.MachineID(6) {
		h.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: id, Addr: "x"}})
	}
	h.d.HandleEvent(0, a, model.Event{Kind: model.MachineRemembered, Machine: 0})
	if o := h.takeOrders(model.OwnMachine); len(o) != 1 || o[0].To != a {
		t.Fatalf("orders %v, want the machine owned by the shard that remembers it", o)
	}
	h.d.Tick(time.Second)
	if o := h.takeOrders(model.OwnMachine); len(o) != 0 {
		t.Fatalf("orders %v before the workers could report", o)
	}
	h.d.Tick(3 * time.Second)
	to := map[model.ShardID]int{}
	for _, o := range h.takeOrders(model.OwnMachine) {
		to[o.To]++
	}
	if to[a]+to[b] != 5 || to[a] < 2 || to[b] < 2 {
		t.Fatalf("machines per shard: %v", to)
	}
}

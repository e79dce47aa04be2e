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

package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// A shard with many more waiting tasks than room is relieved by those with room, though it has
// room for one.
func TestAShardIsRelievedOfWhatItHasNoRoomFor(t *testing.T) {
	r := newRig(t, 400)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	for id := range model.MachineID(4) {
		to := a
		if id > 0 {
			to = b
		}
		r.machine(0, id, to)
	}
	r.status(0, a, 0)
	r.job(1, 40, false)
	r.d.Dispatch(time.Second)
	r.d.TakeOrders()
	now := 3 * time.Second
	little := model.MachineStatus{Machine: model.Machine{ID: 0}, Avail: model.Capacity(2, 0, 64), Ready: true}
	r.d.UpdateStatus(now, a, []model.MachineStatus{little},
		map[model.JobID]model.TaskCounts{1: {Waiting: 9}}, r.d.AssignmentsSent(a))
	r.status(now, b, 1, 2, 3) // room for twelve
	r.d.Dispatch(now)
	recalled := 0
	for _, o := range r.orders(model.RecallWaitingTasks) {
		if o.To != a {
			t.Errorf("recalled from %d", o.To)
		}
		recalled += o.Count
	}
	if recalled != 8 { // all but the one that fits
		t.Errorf("%d recalled, want 8", recalled)
	}
}

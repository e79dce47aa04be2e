package dealer

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

func (r *rig) finds(now time.Duration, from model.ShardID, on model.MachineID, t model.Task, attempt uint64) {
	r.d.Event(now, from, model.Event{Kind: model.Found, Machine: on, Task: t, Attempt: attempt,
		Cell: model.Cell{Task: t, Attempt: attempt, Stage: model.Running}})
}

// Once all that was on a machine is accounted for, its tasks may have been dispatched elsewhere,
// under limits and zones that an adoption does not look at. What is found there later is
// stopped, and its machine counts against all teams until that is done.
func TestAttemptsOnAMachineThatIsAccountedForAreNotAdopted(t *testing.T) {
	r := newRig(t, 100)
	s := r.d.Join(0, "a")
	r.machine(0, 1, s)
	r.job(1, 2, false)
	r.d.Orders()
	r.finds(time.Second, s, 1, model.Task{Job: 1}, 77)
	orders := r.d.Orders()
	if len(orders) != 1 || orders[0].Kind != model.KillIt {
		t.Fatalf("orders %+v, want it stopped", orders)
	}
	if n := r.d.Stats().Unexpected; n != 1 {
		t.Errorf("%d unexpected attempts counted, want 1", n)
	}
	if r.d.Holds(model.Task{Job: 1}, s) || !r.d.Charged(model.Task{Job: 1}, 77, 1) {
		t.Error("held for the shard, or not charged")
	}
}

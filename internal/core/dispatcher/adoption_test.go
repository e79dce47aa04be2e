package dispatcher

import (
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

func (r *rig) finds(now time.Duration, from model.ShardID, on model.MachineID, t model.Task, attempt uint64) {
	r.d.HandleEvent(now, from, model.Event{Kind: model.AttemptFound, Machine: on, Task: t, Attempt: attempt,
		Status: model.AttemptStatus{Task: t, Attempt: attempt, Stage: model.Running}})
}

// Once all that was on a machine is accounted for, its tasks may have been dispatched elsewhere,
// under limits and zones that an adoption does not look at. What is found there later is
// stopped, and its machine counts against all teams until that is done.
func TestAttemptsOnAMachineThatIsAccountedForAreNotAdopted(t *testing.T) {
	r := newRig(t, 100)
	s := r.d.AddShard(0, "a")
	r.machine(0, 1, s)
	r.job(1, 2, false)
	r.d.TakeOrders()
	r.finds(time.Second, s, 1, model.Task{Job: 1}, 77)
	orders := r.d.TakeOrders()
	if len(orders) != 1 || orders[0].Kind != model.KillAttempt {
		t.Fatalf("orders %+v, want it stopped", orders)
	}
	if n := r.d.Stats().UnexpectedAttempts; n != 1 {
		t.Errorf("%d unexpected attempts counted, want 1", n)
	}
	if r.d.IsAssigned(model.Task{Job: 1}, s) || !r.d.IsCharged(model.Task{Job: 1}, 77, 1) {
		t.Error("held for the shard, or not charged")
	}
}

// An adoption tells whether dispatching would have allowed it: within the team's limit, and in a
// zone that the job's other tasks leave to it.
func TestAnAdoptionTellsWhetherDispatchingWouldHaveAllowedIt(t *testing.T) {
	const here, there = model.Name(0), model.Name(1)
	zones := func(z ...model.Name) []model.Name { return z }
	checked := func(c ...bool) []bool { return c }
	for name, c := range map[string]struct {
		limit            float64
		together, spread bool
		tasks            int32
		found            []model.Name // where its tasks are found, in turn
		want             []bool
	}{
		"within the limit": {
			limit: 4, tasks: 4,
			found: zones(here, there),
			want:  checked(true, true),
		},
		"over the limit": {
			limit: 5, tasks: 4,
			found: zones(here, here, here),
			want:  checked(true, true, false),
		},
		"together": {
			limit: 9, together: true, tasks: 4,
			found: zones(here, here),
			want:  checked(true, true),
		},
		"together and apart": {
			limit: 9, together: true, tasks: 4,
			found: zones(here, there),
			want:  checked(true, false),
		},
		"spread": {
			limit: 9, spread: true, tasks: 4,
			found: zones(here, here, there),
			want:  checked(true, true, true),
		},
		"spread, too many": {
			limit: 9, spread: true, tasks: 4,
			found: zones(here, here, here),
			want:  checked(true, true, false),
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.limit)
			s := r.d.AddShard(0, "a")
			r.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: 1, Addr: "x", Zone: here}, {ID: 2, Addr: "x", Zone: there}})
			r.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 1})
			r.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 2})
			sp := r.job(1, c.tasks, true)
			sp.SameZone, sp.Spread = c.together, c.spread
			r.d.TakeOrders()
			for i, zone := range c.found {
				r.finds(time.Second, s, model.MachineID(zone)+1, model.Task{Job: 1, Index: int32(i)}, uint64(70+i))
			}
			var got []bool
			for _, o := range r.orders(model.AssignTask) {
				got = append(got, o.Assignment.WithinLimits)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("checked %v, want %v", got, c.want)
			}
		})
	}
}

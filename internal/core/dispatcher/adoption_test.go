package dispatcher

import (
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// findAttempt reports a running attempt that the shard did not know.
func (h *harness) findAttempt(now time.Duration, from model.ShardID, machine model.MachineID, task model.Task,
	attempt uint64) {
	h.d.HandleEvent(now, from, model.Event{Kind: model.AttemptFound, Machine: machine, Task: task, Attempt: attempt,
		Status: model.AttemptStatus{Task: task, Attempt: attempt, Stage: model.Running}})
}

// Once a machine is accounted for, its tasks may have been dispatched elsewhere, and an adoption
// does not check limits and zone rules. An attempt found there later is killed, and its machine is
// charged to all teams until the attempt has ended.
func TestAttemptOnAccountedMachineIsNotAdopted(t *testing.T) {
	h := newHarness(t, 100)
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	h.addJob(1, 2, false)
	h.d.TakeOrders()
	h.findAttempt(time.Second, s, 1, model.Task{Job: 1}, 77)
	orders := h.d.TakeOrders()
	if len(orders) != 1 || orders[0].Kind != model.KillAttempt {
		t.Fatalf("orders %+v, want the attempt killed", orders)
	}
	if n := h.d.Stats().UnexpectedAttempts; n != 1 {
		t.Errorf("%d unexpected attempts counted, want 1", n)
	}
	if h.d.IsAssigned(model.Task{Job: 1}, s) || !h.d.IsCharged(model.Task{Job: 1}, 77, 1) {
		t.Error("the task is assigned to the shard, or the attempt is not charged")
	}
}

// An adoption reports whether dispatching would have been allowed: within the team's limit, and in
// a zone that the job's other tasks permit.
func TestAdoptionReportsWhetherItIsWithinLimits(t *testing.T) {
	const zoneA, zoneB = model.Name(0), model.Name(1)
	zones := func(z ...model.Name) []model.Name { return z }
	allowed := func(c ...bool) []bool { return c }
	for name, c := range map[string]struct {
		limit            float64
		sameZone, spread bool
		tasks            int32
		found            []model.Name // the zones in which its tasks are found, in this order
		want             []bool
	}{
		"within the limit": {
			limit: 4, tasks: 4,
			found: zones(zoneA, zoneB),
			want:  allowed(true, true),
		},
		"over the limit": {
			limit: 5, tasks: 4,
			found: zones(zoneA, zoneA, zoneA),
			want:  allowed(true, true, false),
		},
		"same zone": {
			limit: 9, sameZone: true, tasks: 4,
			found: zones(zoneA, zoneA),
			want:  allowed(true, true),
		},
		"same zone, found in two zones": {
			limit: 9, sameZone: true, tasks: 4,
			found: zones(zoneA, zoneB),
			want:  allowed(true, false),
		},
		"spread": {
			limit: 9, spread: true, tasks: 4,
			found: zones(zoneA, zoneA, zoneB),
			want:  allowed(true, true, true),
		},
		"spread, too many in one zone": {
			limit: 9, spread: true, tasks: 4,
			found: zones(zoneA, zoneA, zoneA),
			want:  allowed(true, true, false),
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.limit)
			s := h.d.AddShard(0, "a")
			h.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: 1, Addr: "x", Zone: zoneA}, {ID: 2, Addr: "x", Zone: zoneB}})
			h.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 1})
			h.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 2})
			spec := h.addJob(1, c.tasks, true)
			spec.SameZone, spec.Spread = c.sameZone, c.spread
			h.d.TakeOrders()
			for i, zone := range c.found {
				h.findAttempt(time.Second, s, model.MachineID(zone)+1, model.Task{Job: 1, Index: int32(i)}, uint64(70+i))
			}
			var got []bool
			for _, o := range h.takeOrders(model.AssignTask) {
				got = append(got, o.Assignment.WithinLimits)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("WithinLimits %v, want %v", got, c.want)
			}
		})
	}
}

package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// A job on hold is not dispatched, adds no demand, and uses nothing of its team's guarantee. After
// its release it is dispatched at once, its waiting time counts from then, and it does not wait for
// machines of earlier terms where it cannot have started.
func TestJobOnHoldUsesNoCapacity(t *testing.T) {
	h := newHarness(t, 1e6)
	h.d.params.Teams[0].Guarantee = model.Capacity(5, 0, 0)
	h.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: 9, Addr: "y"}})
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	h.addJob(1, 2, true)
	h.d.HoldJob(1)
	h.addJob(2, 2, false)
	h.reportStatus(time.Second, s, 1)
	h.d.Dispatch(time.Second)
	for _, o := range h.takeOrders(model.AssignTask) {
		if o.Assignment.Task.Job == 1 {
			t.Fatalf("%v is dispatched", o.Assignment.Task)
		}
		if o.Assignment.Price != Price(model.Standard, true) {
			t.Errorf("price %v: a job on hold uses the guarantee", o.Assignment.Price)
		}
	}
	if n := h.d.Demand(); len(n) != 1 || n[0].Spec.ID != 2 {
		t.Errorf("demand %+v, want only job 2", n)
	}
	h.d.ReleaseJob(1, 30*time.Second, true)
	h.reportStatus(31*time.Second, s, 1)
	h.d.Dispatch(31 * time.Second)
	assigned := h.takeOrders(model.AssignTask)
	if len(assigned) == 0 {
		t.Fatal("not dispatched: the job waits for machines that cannot run its tasks")
	}
	for _, o := range assigned {
		if o.Assignment.WaitingSince != 30*time.Second {
			t.Errorf("waiting since %v, want 30s", o.Assignment.WaitingSince)
		}
	}
}

func TestInheritedRankReachesShardsAndIsReverted(t *testing.T) {
	h := newHarness(t, 1e6)
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	spec := h.addJob(1, 2, false)
	spec.BestEffort = true
	h.reportStatus(time.Second, s, 1)
	h.d.Dispatch(time.Second)
	h.d.TakeOrders()
	for i, c := range []struct {
		rank         model.Rank
		hasObjective bool
		objective    model.Objective
	}{{model.Urgent, true, model.HasObjective}, {model.Standard, false, model.NoObjective}} {
		now := time.Duration(10+10*i) * time.Second
		h.d.InheritRank(1, c.rank, c.hasObjective)
		h.d.Dispatch(now)
		orders := h.takeOrders(model.RepriceJob)
		if len(orders) == 0 {
			t.Fatalf("%+v: no order to the shard", c)
		}
		if last := orders[len(orders)-1]; last.Price != Price(c.rank, false) || last.Objective != c.objective {
			t.Errorf("%+v: order %+v", c, last)
		}
	}
	if !spec.BestEffort {
		t.Error("the spec was changed in place, though others use it")
	}
}

// When the block size changes, a larger block is dropped only after every machine in it that may be
// in use is recorded in a smaller one. At any moment a later leader finds each machine in at least
// one block.
func TestOldBlockIsDroppedAfterItsMachinesAreRecorded(t *testing.T) {
	h := newHarness(t, 1e6)
	machines := []model.Machine{{ID: 1, Addr: "a"}, {ID: 2, Addr: "b"}, {ID: 5, Addr: "c"}}
	h.d.AddStoredBlock(BlockID{}, 4, machines)
	h.d.SetLayout(2)
	stored := map[BlockID]bool{{}: true}
	for round := range 20 {
		ws := h.d.UrgentWrites(1)
		if len(ws) == 0 {
			break
		}
		w := ws[0]
		// Every other write fails, once because the block has another version.
		ok, lost := round%2 == 1, round == 4
		if ok && w.Kind == PutBlock {
			stored[w.Block] = true
		}
		if ok && w.Kind == DropBlock {
			if !stored[BlockID{2, 0}] || !stored[BlockID{2, 1}] || !stored[BlockID{2, 2}] {
				t.Fatalf("%v is dropped while only %v are stored", w.Block, stored)
			}
			delete(stored, w.Block)
		}
		h.d.WriteDone(time.Second, w, uint64(60+round), ok, lost)
	}
	if stored[BlockID{}] || len(stored) != 3 {
		t.Errorf("stored blocks %v", stored)
	}
	for _, id := range []model.MachineID{1, 2, 5} {
		if m := h.d.machines[id]; !m.recorded || m.recordedLayout != 2 {
			t.Errorf("machine %d: recorded %v in %d", id, m.recorded, m.recordedLayout)
		}
	}
	if ws := h.d.UrgentWrites(9); len(ws) > 0 {
		t.Errorf("writes %+v, want none left", ws)
	}
}

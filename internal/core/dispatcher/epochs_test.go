package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// releaseInProgress returns a harness in which shard a owns machine 1 with a running task, and has been
// ordered to release it to shard b, and the epoch of a's ownership.
func releaseInProgress(t *testing.T) (h *harness, a, b model.ShardID, task model.Task, epoch model.Epoch) {
	t.Helper()
	h = newHarness(t, 100)
	a, b = h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(0, 1, a)
	epoch = h.takeOrders(model.OwnMachine)[0].Epoch
	h.reportStatus(0, a, 1)
	h.addJob(1, 1, false)
	h.d.Dispatch(time.Second)
	h.d.HandleEvent(2*time.Second, b, model.Event{Kind: model.UnownedWorker, Machine: 1,
		Report: &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
	if releases := h.takeOrders(model.ReleaseMachine); len(releases) != 1 || releases[0].Epoch != epoch {
		t.Fatalf("orders %+v, want one release in epoch %d", releases, epoch)
	}
	return h, a, b, model.Task{Job: 1}, epoch
}

// renewals are what makes the dispatcher renew the ownership of machine 1.
var renewals = map[string]func(h *harness, owner model.ShardID, epoch model.Epoch){
	"token needed": func(h *harness, owner model.ShardID, epoch model.Epoch) {
		h.d.HandleEvent(3*time.Second, owner, model.Event{Kind: model.TokenNeeded, Machine: 1, Epoch: epoch})
	},
	"token superseded": func(h *harness, owner model.ShardID, epoch model.Epoch) {
		h.d.HandleEvent(3*time.Second, owner, model.Event{Kind: model.TokenSuperseded, Machine: 1, Epoch: epoch,
			Token: 3<<32 | 1<<20})
	},
	"token needed, an older release": func(h *harness, owner model.ShardID, _ model.Epoch) {
		h.d.HandleEvent(3*time.Second, owner, model.Event{Kind: model.TokenNeeded, Machine: 1})
	},
	"machine type changed": func(h *harness, _ model.ShardID, _ model.Epoch) {
		h.d.SetTypes([]model.MachineType{{Name: 0, Cap: model.Capacity(16, 0, 64)}})
	},
}

// Guards against an order to own a machine behind the order to release it: the old owner held the machine
// again, which belonged to nobody or to another shard for the dispatcher.
func TestReleasedMachineIsNotGivenBackToItsOwner(t *testing.T) {
	for name, renew := range renewals {
		t.Run(name, func(t *testing.T) {
			h, a, b, task, epoch := releaseInProgress(t)
			renew(h, a, epoch)
			if orders := h.takeOrders(model.OwnMachine); len(orders) != 0 {
				t.Fatalf("orders %+v behind the release", orders)
			}
			h.d.HandleEvent(4*time.Second, a, model.Event{Kind: model.MachineReleased, Machine: 1, Epoch: epoch,
				Tasks: []model.Task{task}})
			orders := h.takeOrders(model.OwnMachine)
			if len(orders) != 1 || orders[0].To != b || orders[0].Epoch <= epoch {
				t.Fatalf("orders %+v, want one for shard %d in a later epoch than %d", orders, b, epoch)
			}
		})
	}
}

// Guards against a shard that waits for a higher token for ever, because it asked for it before it kept
// the machine that it had been ordered to release.
func TestKeptMachineIsRenewedAfterwards(t *testing.T) {
	for name, renew := range renewals {
		t.Run(name, func(t *testing.T) {
			h, a, _, _, epoch := releaseInProgress(t)
			renew(h, a, epoch)
			h.d.HandleEvent(4*time.Second, a, model.Event{Kind: model.MachineKept, Machine: 1, Epoch: epoch})
			orders := h.takeOrders(model.OwnMachine)
			if len(orders) != 1 || orders[0].To != a || orders[0].Epoch != epoch || orders[0].Token <= uint64(epoch) {
				t.Fatalf("orders %+v, want one for shard %d in epoch %d with a higher token", orders, a, epoch)
			}
		})
	}
}

// Guards against events that a shard sent before its machine was considered gone, and that arrive when
// it owns the machine again: they were taken for events of the new ownership, and the tasks of a release
// stayed with a shard that did not know them.
func TestEventsOfAnEndedOwnershipAreDropped(t *testing.T) {
	for _, kind := range []model.EventKind{model.WorkerFenced, model.LeaseExpiryConfirmed, model.MachineKept,
		model.TokenNeeded, model.CommandUnanswered, model.WorkerBack, model.LeaseExpired, model.AttemptFound,
		model.MachineReleased} {
		h, a, _, task, epoch := releaseInProgress(t)
		delete(h.d.blocks, h.d.blockOf(1))
		h.d.machines[1].maybeStored = false
		h.d.MachineGone(1)
		h.d.HandleEvent(3*time.Second, a, model.Event{Kind: model.UnownedWorker, Machine: 1,
			Report: &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
		renewed := h.takeOrders(model.OwnMachine)
		if len(renewed) != 1 || renewed[0].Epoch <= epoch {
			t.Fatalf("orders %+v, want a later epoch than %d", renewed, epoch)
		}
		before := *h.d.machines[1]
		h.d.HandleEvent(4*time.Second, a, model.Event{Kind: kind, Machine: 1, Epoch: epoch, Token: uint64(epoch), Held: true,
			Task: task, Attempt: 9, Tasks: []model.Task{task}})
		if m := h.d.machines[1]; m.owner != a || m.fenced || m.token != before.token || m.expiryConfirmed ||
			m.leaseExpired || m.unreachable || m.releasing {
			t.Errorf("event %d of epoch %d changed the machine from %+v to %+v", kind, epoch, before, *m)
		}
		if orders := h.d.TakeOrders(); len(orders) != 0 {
			t.Errorf("event %d of epoch %d led to orders %+v", kind, epoch, orders)
		}
		if n := h.d.Stats().StaleEvents; n != 1 {
			t.Errorf("event %d: %d stale events counted", kind, n)
		}
		h.d.HandleEvent(5*time.Second, a, model.Event{Kind: model.WorkerFenced, Machine: 1, Epoch: renewed[0].Epoch})
		if assigned := h.d.IsAssigned(task, a); assigned == (kind == model.MachineReleased) {
			t.Errorf("event %d: the task is assigned to the shard: %v", kind, assigned)
		}
	}
}

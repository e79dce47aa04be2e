package shard

import (
	"testing"

	"honeylock/internal/core/model"
)

const testEpoch model.Epoch = 5

// own makes the shard own machine 1 in an epoch, under a token.
func (h *harness) own(epoch model.Epoch, token uint64) {
	h.shard.HandleOrder(h.now, model.Order{Kind: model.OwnMachine, Usable: true, Token: token, Epoch: epoch,
		Machine: model.Machine{ID: 1, Addr: "x", Cap: model.Capacity(8, 0, 64)}})
}

// Guards against a shard that holds a machine after it has released it, because an order that crossed
// the release on its way renewed the ownership.
func TestRenewalBehindReleaseIsDropped(t *testing.T) {
	h := newHarness(t)
	h.own(testEpoch, uint64(testEpoch))
	h.report(1, uint64(testEpoch))
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ReleaseMachine, ID: 1, Epoch: testEpoch})
	h.own(testEpoch, uint64(testEpoch)+1)
	if h.shard.Owns(1) || h.shard.Stats.StaleOrders != 1 {
		t.Fatalf("owned: %v, %d stale orders", h.shard.Owns(1), h.shard.Stats.StaleOrders)
	}
	h.own(testEpoch+2, uint64(testEpoch)+2)
	if !h.shard.Owns(1) {
		t.Fatal("a new ownership was dropped")
	}
}

// Guards against orders about an ended ownership that are taken for orders about the present one.
func TestOrdersOfAnEndedOwnershipAreDropped(t *testing.T) {
	for _, kind := range []model.OrderKind{model.RemoveMachine, model.SetUsable, model.ReleaseMachine,
		model.ConfirmLeaseExpiry, model.InspectMachine, model.OwnMachine} {
		h := newHarness(t)
		h.own(testEpoch+1, uint64(testEpoch)+1)
		h.report(1, uint64(testEpoch)+1)
		h.shard.TakeEvents()
		h.shard.HandleOrder(h.now, model.Order{Kind: kind, ID: 1, Machine: model.Machine{ID: 1}, Epoch: testEpoch})
		m := h.shard.machines[1]
		if m == nil || !m.usable || m.epoch != testEpoch+1 || m.Addr == "" {
			t.Fatalf("order %d of an ended ownership changed the machine: %+v", kind, m)
		}
		for _, e := range h.shard.TakeEvents() {
			if e.Epoch != testEpoch || kind != model.ReleaseMachine {
				t.Errorf("order %d led to event %+v", kind, e)
			}
		}
	}
}

// Each event about a machine must carry the epoch of the shard's ownership, or the dispatcher could not
// tell whether it is about the present one.
func TestEventsCarryTheEpoch(t *testing.T) {
	h := newHarness(t)
	h.own(testEpoch, uint64(testEpoch))
	h.report(1, uint64(testEpoch), attemptStatus(7, 0, 9, model.Running, model.CauseOther))
	h.shard.HandleOrder(h.now, model.Order{Kind: model.InspectMachine, ID: 1, Epoch: testEpoch})
	h.shard.requestToken(h.shard.machines[1])
	h.shard.HandleReport(h.now, h.message(1, 1, h.seq+1, uint64(testEpoch)+1))
	h.now += 2 * maxLease
	h.shard.Tick(h.now)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: 1, Epoch: testEpoch})
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ReleaseMachine, ID: 1, Epoch: testEpoch})
	seen := map[model.EventKind]bool{}
	for _, e := range h.shard.TakeEvents() {
		aboutOwnership := e.Kind != model.RejectedAttemptGone
		seen[e.Kind] = true
		if (e.Epoch == testEpoch) != aboutOwnership {
			t.Errorf("event %d has epoch %d", e.Kind, e.Epoch)
		}
	}
	for _, kind := range []model.EventKind{model.WorkerFenced, model.AttemptFound, model.MachineInspected,
		model.TokenNeeded, model.TokenSuperseded, model.LeaseExpired, model.LeaseExpiryConfirmed, model.MachineReleased} {
		if !seen[kind] {
			t.Errorf("no event of kind %d", kind)
		}
	}
}

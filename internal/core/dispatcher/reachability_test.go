package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// moveWorker reports machine 1 to a shard that does not own it, has its owner release it, and
// returns the orders to own it.
func (h *harness) moveWorker(now time.Duration, to model.ShardID, session uint64, released model.Event) []model.Order {
	h.t.Helper()
	h.d.HandleEvent(now, to, model.Event{Kind: model.UnownedWorker, Machine: 1,
		MessageID: model.MessageID{Session: session, Seq: uint64(now)},
		Report:    &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
	releases := h.takeOrders(model.ReleaseMachine)
	if len(releases) != 1 || releases[0].Seq != uint64(now) {
		h.t.Fatalf("orders %+v, want the release to carry the report's message ID", releases)
	}
	released.Kind, released.Machine = model.MachineReleased, 1
	h.d.HandleEvent(now, releases[0].To, released)
	return h.takeOrders(model.OwnMachine)
}

// Guards against a machine that receives no message moving from owner to owner, each of which would
// extend its lease by an answer that never arrives.
func TestUnreachableMachineIsAnsweredOnlyAfterVerification(t *testing.T) {
	h := newHarness(t, 100)
	a, b, c := h.d.AddShard(0, "a"), h.d.AddShard(0, "b"), h.d.AddShard(0, "c")
	h.addMachine(0, 1, a)
	h.reportStatus(0, a, 1)
	h.addJob(1, 1, false)
	h.d.Dispatch(time.Second)
	task := model.Task{Job: 1}
	s := time.Second
	if owners := h.moveWorker(5*s, b, 4, model.Event{Tasks: []model.Task{task}}); owners[0].VerifyFirst {
		t.Fatal("the next owner must verify the worker, though the last owner fenced it")
	}
	h.moveWorker(10*s, c, 4, model.Event{})
	owners := h.moveWorker(15*s, a, 4, model.Event{})
	if len(owners) != 1 || !owners[0].VerifyFirst {
		t.Fatalf("orders %+v, want the next owner to verify the worker before it answers", owners)
	}
	if h.d.reportElsewhere(17*s, b) {
		t.Fatal("the machine is moved before its owner could verify it")
	}
	h.moveWorker(21*s, b, 4, model.Event{Held: true}) // a never answered the worker
	h.d.HandleEvent(22*s, b, model.Event{Kind: model.LeaseExpired, Machine: 1, Token: h.d.machines[1].token})
	if o := h.takeOrders(model.ConfirmLeaseExpiry); len(o) != 0 {
		t.Fatal("the lease counts as over 7 s after the worker may have been answered")
	}
	h.d.HandleEvent(26*s, b, model.Event{Kind: model.LeaseExpired, Machine: 1, Token: h.d.machines[1].token})
	if o := h.takeOrders(model.ConfirmLeaseExpiry); len(o) != 1 {
		t.Fatal("no confirmation asked for, though the lease since the last possible answer is over")
	}
	h.d.HandleEvent(26*s, b, model.Event{Kind: model.LeaseExpiryConfirmed, Machine: 1, Token: h.d.machines[1].token})
	if j := h.d.jobs[1]; len(j.assignments) != 0 {
		t.Fatal("the task is not freed")
	}
	h.d.HandleEvent(27*s, b, model.Event{Kind: model.WorkerFenced, Machine: 1})
	if h.d.machines[1].needsVerification() {
		t.Error("the machine still needs verification after it was fenced")
	}
}

// reportElsewhere reports machine 1 to a shard that does not own it, and returns whether any order
// results.
func (d *Dispatcher) reportElsewhere(now time.Duration, to model.ShardID) bool {
	d.HandleEvent(now, to, model.Event{Kind: model.UnownedWorker, Machine: 1,
		Report: &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
	return len(d.TakeOrders()) > 0
}

// A replayed copy of a report that arrives at another shard does not change the owner.
func TestKeptMachineStaysWithItsOwner(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(0, 1, a)
	if !h.d.reportElsewhere(5*time.Second, b) {
		t.Fatal("the owner was not asked to release the machine")
	}
	// Events of the owner before it decides are handled if it keeps the machine. Guards against a
	// new leader waiting forever for a machine that was fenced at that moment.
	h.d.unaccounted[1] = true
	h.d.HandleEvent(5*time.Second, a, model.Event{Kind: model.WorkerFenced, Machine: 1})
	if h.d.Recovered() {
		t.Fatal("an event of a shard that must release the machine was not deferred")
	}
	h.d.HandleEvent(5*time.Second, a, model.Event{Kind: model.MachineKept, Machine: 1})
	if !h.d.Recovered() {
		t.Fatal("the deferred event was not handled")
	}
	if m := h.d.machines[1]; m.owner != a || m.releasing || m.nextOwner != 0 {
		t.Fatalf("owner %d, releasing %v, next owner %d", m.owner, m.releasing, m.nextOwner)
	}
}

package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// moveWorker has a machine's report come in at a shard that does not own it, and its owner
// let go of it.
func (h *harness) moveWorker(now time.Duration, to model.ShardID, session uint64, released model.Event) []model.Order {
	h.t.Helper()
	h.d.HandleEvent(now, to, model.Event{Kind: model.UnownedWorker, Machine: 1,
		MessageID: model.MessageID{Session: session, Seq: uint64(now)},
		Report:    &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
	releases := h.takeOrders(model.ReleaseMachine)
	if len(releases) != 1 || releases[0].Seq != uint64(now) {
		h.t.Fatalf("%+v, want it asked for under the report's numbers", releases)
	}
	released.Kind, released.Machine = model.MachineReleased, 1
	h.d.HandleEvent(now, releases[0].To, released)
	return h.takeOrders(model.OwnMachine)
}

// A machine that hears nobody goes round; each owner that answered it put its lease off.
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
		t.Fatal("the next owner must not answer, though the last one was heard")
	}
	h.moveWorker(10*s, c, 4, model.Event{})
	owners := h.moveWorker(15*s, a, 4, model.Event{})
	if len(owners) != 1 || !owners[0].VerifyFirst {
		t.Fatalf("%+v, want that nobody answers it any more before it hears", owners)
	}
	if h.d.reportElsewhere(17*s, b) {
		t.Fatal("it is moved on before its owner could ask")
	}
	h.moveWorker(21*s, b, 4, model.Event{Held: true}) // a never answered
	h.d.HandleEvent(22*s, b, model.Event{Kind: model.LeaseExpired, Machine: 1, Token: h.d.machines[1].token})
	if o := h.takeOrders(model.ConfirmLeaseExpiry); len(o) != 0 {
		t.Fatal("its lease counts as over 7 s after it may have been answered")
	}
	h.d.HandleEvent(26*s, b, model.Event{Kind: model.LeaseExpired, Machine: 1, Token: h.d.machines[1].token})
	if o := h.takeOrders(model.ConfirmLeaseExpiry); len(o) != 1 {
		t.Fatal("its lease, from the last answer that may have arrived, is over")
	}
	h.d.HandleEvent(26*s, b, model.Event{Kind: model.LeaseExpiryConfirmed, Machine: 1, Token: h.d.machines[1].token})
	if j := h.d.jobs[1]; len(j.assignments) != 0 {
		t.Fatal("its task is not free")
	}
	h.d.HandleEvent(27*s, b, model.Event{Kind: model.WorkerFenced, Machine: 1})
	if h.d.machines[1].needsVerification() {
		t.Error("it has been shown to hear")
	}
}

// reportElsewhere tells whether a report that comes in elsewhere moves the machine.
func (d *Dispatcher) reportElsewhere(now time.Duration, to model.ShardID) bool {
	d.HandleEvent(now, to, model.Event{Kind: model.UnownedWorker, Machine: 1,
		Report: &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
	return len(d.TakeOrders()) > 0
}

// A copy that comes in elsewhere changes no owner.
func TestKeptMachineStaysWithItsOwner(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(0, 1, a)
	if !h.d.reportElsewhere(5*time.Second, b) {
		t.Fatal("its owner was not asked")
	}
	// What it tells before it has decided counts if it keeps the machine: a new leader
	// once waited for ever for a machine that had been fenced in that moment.
	h.d.unaccounted[1] = true
	h.d.HandleEvent(5*time.Second, a, model.Event{Kind: model.WorkerFenced, Machine: 1})
	if h.d.Recovered() {
		t.Fatal("taken from a shard that is to let go")
	}
	h.d.HandleEvent(5*time.Second, a, model.Event{Kind: model.MachineKept, Machine: 1})
	if !h.d.Recovered() {
		t.Fatal("waits for ever")
	}
	if m := h.d.machines[1]; m.owner != a || m.releasing || m.nextOwner != 0 {
		t.Fatalf("owner %d, releasing %v, next %d", m.owner, m.releasing, m.nextOwner)
	}
}

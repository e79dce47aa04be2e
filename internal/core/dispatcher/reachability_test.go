package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// comes has a machine's report come in at a shard that does not own it, and its owner
// let go of it.
func (r *rig) comes(now time.Duration, to model.ShardID, session uint64, let model.Event) []model.Order {
	r.t.Helper()
	r.d.HandleEvent(now, to, model.Event{Kind: model.UnownedWorker, Machine: 1,
		MessageID: model.MessageID{Session: session, Seq: uint64(now)},
		Report:    &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
	rel := r.orders(model.ReleaseMachine)
	if len(rel) != 1 || rel[0].Seq != uint64(now) {
		r.t.Fatalf("%+v, want it asked for under the report's numbers", rel)
	}
	let.Kind, let.Machine = model.MachineReleased, 1
	r.d.HandleEvent(now, rel[0].To, let)
	return r.orders(model.OwnMachine)
}

// A machine that hears nobody goes round; each owner that answered it put its lease off.
func TestAMachineThatHearsNobodyIsAnsweredOnlyOnProof(t *testing.T) {
	r := newRig(t, 100)
	a, b, c := r.d.AddShard(0, "a"), r.d.AddShard(0, "b"), r.d.AddShard(0, "c")
	r.machine(0, 1, a)
	r.status(0, a, 1)
	r.job(1, 1, false)
	r.d.Dispatch(time.Second)
	task := model.Task{Job: 1}
	s := time.Second
	if own := r.comes(5*s, b, 4, model.Event{Tasks: []model.Task{task}}); own[0].VerifyFirst {
		t.Fatal("the next owner must not answer, though the last one was heard")
	}
	r.comes(10*s, c, 4, model.Event{})
	own := r.comes(15*s, a, 4, model.Event{})
	if len(own) != 1 || !own[0].VerifyFirst {
		t.Fatalf("%+v, want that nobody answers it any more before it hears", own)
	}
	if r.d.comesNot(17*s, b) {
		t.Fatal("it is moved on before its owner could ask")
	}
	r.comes(21*s, b, 4, model.Event{Held: true}) // a never answered
	r.d.HandleEvent(22*s, b, model.Event{Kind: model.LeaseExpired, Machine: 1, Token: r.d.machines[1].token})
	if o := r.orders(model.ConfirmLeaseExpiry); len(o) != 0 {
		t.Fatal("its lease counts as over 7 s after it may have been answered")
	}
	r.d.HandleEvent(26*s, b, model.Event{Kind: model.LeaseExpired, Machine: 1, Token: r.d.machines[1].token})
	if o := r.orders(model.ConfirmLeaseExpiry); len(o) != 1 {
		t.Fatal("its lease, from the last answer that may have arrived, is over")
	}
	r.d.HandleEvent(26*s, b, model.Event{Kind: model.LeaseExpiryConfirmed, Machine: 1, Token: r.d.machines[1].token})
	if j := r.d.jobs[1]; len(j.held) != 0 {
		t.Fatal("its task is not free")
	}
	r.d.HandleEvent(27*s, b, model.Event{Kind: model.WorkerFenced, Machine: 1})
	if r.d.machines[1].toProve() {
		t.Error("it has been shown to hear")
	}
}

// comesNot tells whether a report that comes in elsewhere moves the machine.
func (d *Dispatcher) comesNot(now time.Duration, to model.ShardID) bool {
	d.HandleEvent(now, to, model.Event{Kind: model.UnownedWorker, Machine: 1,
		Report: &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
	return len(d.TakeOrders()) > 0
}

// A copy that comes in elsewhere changes no owner.
func TestAKeptMachineStaysItsOwners(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	r.machine(0, 1, a)
	if !r.d.comesNot(5*time.Second, b) {
		t.Fatal("its owner was not asked")
	}
	// What it tells before it has decided counts if it keeps the machine: a new leader
	// once waited for ever for a machine that had been fenced in that moment.
	r.d.suspects[1] = true
	r.d.HandleEvent(5*time.Second, a, model.Event{Kind: model.WorkerFenced, Machine: 1})
	if r.d.Recovered() {
		t.Fatal("taken from a shard that is to let go")
	}
	r.d.HandleEvent(5*time.Second, a, model.Event{Kind: model.MachineKept, Machine: 1})
	if !r.d.Recovered() {
		t.Fatal("waits for ever")
	}
	if m := r.d.machines[1]; m.owner != a || m.releasing || m.next != 0 {
		t.Fatalf("owner %d, releasing %v, next %d", m.owner, m.releasing, m.next)
	}
}

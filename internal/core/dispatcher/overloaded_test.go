package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// arrive has a worker without an owner report to a shard, and returns where it is
// told to go, "" if nowhere.
func (r *rig) arrive(now time.Duration, id model.MachineID, at model.ShardID) (keeper string) {
	m := model.Machine{ID: id, Addr: "x"}
	r.d.HandleEvent(now, at, model.Event{Kind: model.UnownedWorker, Machine: id, Report: &model.Report{Machine: m}})
	for _, o := range r.d.TakeOrders() {
		if o.Kind == model.RedirectWorker && o.To == at && o.ID == id {
			keeper = o.RedirectTo
		}
	}
	return keeper
}

// After all controllers had crashed, every worker of 2,746 came to the one that led:
// it fell behind, lost leadership, and the next one was met the same way.
func TestWorkersOfACrowdedShardAreSentElsewhere(t *testing.T) {
	r := newRig(t, 100)
	a, b, c := r.d.AddShard(0, "a"), r.d.AddShard(0, "b"), r.d.AddShard(0, "c")
	sent := map[string]int{}
	for id := range model.MachineID(300) {
		sent[r.arrive(time.Second, id, a)]++
	}
	loads := map[model.ShardID]int{}
	for _, m := range r.d.byID {
		loads[m.owner]++
	}
	if loads[a] > 200 || loads[b] < 40 || loads[c] < 40 || sent["b"] != loads[b] || sent["c"] != loads[c] {
		t.Errorf("machines %v of shards %d, %d, %d; workers sent to %v", loads, a, b, c, sent)
	}
}

// A worker that was sent to a controller that it can't reach comes back: it stays,
// and no other of its zone is sent there for a while.
func TestAWorkerThatComesBackStays(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	var sent model.MachineID
	for id := range model.MachineID(100) {
		if r.arrive(time.Second, id, a) != "" {
			sent = id
		}
	}
	if m := r.d.machines[sent]; sent == 0 || m.owner != b {
		t.Fatalf("nobody was sent to the empty shard")
	}
	r.arrive(6*time.Second, sent, a)
	r.d.HandleEvent(6*time.Second, b, model.Event{Kind: model.MachineReleased, Machine: sent})
	if m := r.d.machines[sent]; m.owner != a {
		t.Errorf("the worker that came back has owner %d, want %d", m.owner, a)
	}
	for id := model.MachineID(200); id < 300; id++ {
		if k := r.arrive(7*time.Second, id, a); k != "" {
			t.Fatalf("machine %d of that zone is sent to %s", id, k)
		}
	}
}

// A controller that is cut off from its workers stays a member: nobody is sent there.
func TestNobodyIsSentToAShardThatHearsNoWorkers(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	r.machine(time.Second, 0, b)
	for id := model.MachineID(1); id < 100; id++ {
		if k := r.arrive(heardLately+2*time.Second, id, a); k != "" {
			t.Fatalf("machine %d is sent to %s, which heard nobody for %v", id, k, heardLately)
		}
	}
	r.d.HandleEvent(heardLately+3*time.Second, b, model.Event{Kind: model.WorkerFenced, Machine: 0})
	if k := r.arrive(heardLately+4*time.Second, 100, a); k != "b" {
		t.Errorf("b hears its workers again, and machine 100 is sent to %q", k)
	}
}

// Only a machine whose report is overdue is deaf: a command to a worker that has just
// changed hands may go unanswered though it is well.
func TestOnlyOverdueMachinesAreDeaf(t *testing.T) {
	r := newRig(t, 100)
	a := r.d.AddShard(0, "a")
	r.machine(0, 1, a)
	r.machine(0, 2, a)
	r.d.HandleEvent(time.Second, a, model.Event{Kind: model.CommandUnanswered, Machine: 1})
	r.d.HandleEvent(time.Second, a, model.Event{Kind: model.CommandUnanswered, Machine: 2, Held: true})
	if got := r.d.UnreachableMachines(); len(got) != 1 || got[0] != 2 {
		t.Errorf("deaf: %v, want machine 2", got)
	}
	r.d.HandleEvent(2*time.Second, a, model.Event{Kind: model.WorkerBack, Machine: 2})
	if got := r.d.UnreachableMachines(); len(got) != 0 {
		t.Errorf("deaf: %v after it was heard", got)
	}
}

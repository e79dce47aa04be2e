package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// reportUnowned has a worker without an owner report to a shard, and returns where it is
// told to go, "" if nowhere.
func (h *harness) reportUnowned(now time.Duration, id model.MachineID, at model.ShardID) (redirectTo string) {
	m := model.Machine{ID: id, Addr: "x"}
	h.d.HandleEvent(now, at, model.Event{Kind: model.UnownedWorker, Machine: id, Report: &model.Report{Machine: m}})
	for _, o := range h.d.TakeOrders() {
		if o.Kind == model.RedirectWorker && o.To == at && o.ID == id {
			redirectTo = o.RedirectTo
		}
	}
	return redirectTo
}

// After all controllers had crashed, every worker of 2,746 came to the one that led:
// it fell behind, lost leadership, and the next one was met the same way.
func TestWorkersOfOverloadedShardAreRedirected(t *testing.T) {
	h := newHarness(t, 100)
	a, b, c := h.d.AddShard(0, "a"), h.d.AddShard(0, "b"), h.d.AddShard(0, "c")
	sent := map[string]int{}
	for id := range model.MachineID(300) {
		sent[h.reportUnowned(time.Second, id, a)]++
	}
	loads := map[model.ShardID]int{}
	for _, m := range h.d.machinesByID {
		loads[m.owner]++
	}
	if loads[a] > 200 || loads[b] < 40 || loads[c] < 40 || sent["b"] != loads[b] || sent["c"] != loads[c] {
		t.Errorf("machines %v of shards %d, %d, %d; workers sent to %v", loads, a, b, c, sent)
	}
}

// A worker that was sent to a controller that it can't reach comes back: it stays,
// and no other of its zone is sent there for a while.
func TestRedirectedWorkerThatReturnsStays(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	var sent model.MachineID
	for id := range model.MachineID(100) {
		if h.reportUnowned(time.Second, id, a) != "" {
			sent = id
		}
	}
	if m := h.d.machines[sent]; sent == 0 || m.owner != b {
		t.Fatalf("nobody was sent to the empty shard")
	}
	h.reportUnowned(6*time.Second, sent, a)
	h.d.HandleEvent(6*time.Second, b, model.Event{Kind: model.MachineReleased, Machine: sent})
	if m := h.d.machines[sent]; m.owner != a {
		t.Errorf("the worker that came back has owner %d, want %d", m.owner, a)
	}
	for id := model.MachineID(200); id < 300; id++ {
		if k := h.reportUnowned(7*time.Second, id, a); k != "" {
			t.Fatalf("machine %d of that zone is sent to %s", id, k)
		}
	}
}

// A controller that is cut off from its workers stays a member: nobody is sent there.
func TestNoWorkerIsRedirectedToShardWithoutReports(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(time.Second, 0, b)
	for id := model.MachineID(1); id < 100; id++ {
		if k := h.reportUnowned(workerReportTimeout+2*time.Second, id, a); k != "" {
			t.Fatalf("machine %d is sent to %s, which heard nobody for %v", id, k, workerReportTimeout)
		}
	}
	h.d.HandleEvent(workerReportTimeout+3*time.Second, b, model.Event{Kind: model.WorkerFenced, Machine: 0})
	if k := h.reportUnowned(workerReportTimeout+4*time.Second, 100, a); k != "b" {
		t.Errorf("b hears its workers again, and machine 100 is sent to %q", k)
	}
}

// Only a machine whose report is overdue is deaf: a command to a worker that has just
// changed hands may go unanswered though it is well.
func TestOnlyOverdueMachinesAreUnreachable(t *testing.T) {
	h := newHarness(t, 100)
	a := h.d.AddShard(0, "a")
	h.addMachine(0, 1, a)
	h.addMachine(0, 2, a)
	h.d.HandleEvent(time.Second, a, model.Event{Kind: model.CommandUnanswered, Machine: 1})
	h.d.HandleEvent(time.Second, a, model.Event{Kind: model.CommandUnanswered, Machine: 2, Held: true})
	if got := h.d.UnreachableMachines(); len(got) != 1 || got[0] != 2 {
		t.Errorf("deaf: %v, want machine 2", got)
	}
	h.d.HandleEvent(2*time.Second, a, model.Event{Kind: model.WorkerBack, Machine: 2})
	if got := h.d.UnreachableMachines(); len(got) != 0 {
		t.Errorf("deaf: %v after it was heard", got)
	}
}

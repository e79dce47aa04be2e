package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// reportUnowned reports a worker without an owner to a shard, and returns the host that it is
// redirected to, "" if none.
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

// Guards against all workers staying with one controller. After all controllers of a cluster with
// 2,746 workers had crashed, every worker reported to the leader, which fell behind and lost
// leadership, and so did each next leader.
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
		t.Errorf("machines %v of shards %d, %d, %d; workers redirected to %v", loads, a, b, c, sent)
	}
}

// A worker that cannot reach the controller it was redirected to returns. It stays then, and no
// other worker of its zone is redirected there for a while.
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
		t.Fatalf("no worker was redirected to the empty shard")
	}
	h.reportUnowned(6*time.Second, sent, a)
	h.d.HandleEvent(6*time.Second, b, model.Event{Kind: model.MachineReleased, Machine: sent})
	if m := h.d.machines[sent]; m.owner != a {
		t.Errorf("the worker that returned has owner %d, want %d", m.owner, a)
	}
	for id := model.MachineID(200); id < 300; id++ {
		if k := h.reportUnowned(7*time.Second, id, a); k != "" {
			t.Fatalf("machine %d of that zone is redirected to %s", id, k)
		}
	}
}

// A controller that is partitioned from its workers stays a member; no worker is redirected to it.
func TestNoWorkerIsRedirectedToShardWithoutReports(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(time.Second, 0, b)
	for id := model.MachineID(1); id < 100; id++ {
		if k := h.reportUnowned(workerReportTimeout+2*time.Second, id, a); k != "" {
			t.Fatalf("machine %d is redirected to %s, which received no report for %v", id, k, workerReportTimeout)
		}
	}
	h.d.HandleEvent(workerReportTimeout+3*time.Second, b, model.Event{Kind: model.WorkerFenced, Machine: 0})
	if k := h.reportUnowned(workerReportTimeout+4*time.Second, 100, a); k != "b" {
		t.Errorf("b receives reports again, but machine 100 is redirected to %q", k)
	}
}

// Only a machine whose report is overdue is unreachable. A command to a worker whose owner has just
// changed may go unanswered though the worker is healthy.
func TestOnlyOverdueMachinesAreUnreachable(t *testing.T) {
	h := newHarness(t, 100)
	a := h.d.AddShard(0, "a")
	h.addMachine(0, 1, a)
	h.addMachine(0, 2, a)
	h.d.HandleEvent(time.Second, a, model.Event{Kind: model.CommandUnanswered, Machine: 1})
	h.d.HandleEvent(time.Second, a, model.Event{Kind: model.CommandUnanswered, Machine: 2, Held: true})
	if got := h.d.UnreachableMachines(); len(got) != 1 || got[0] != 2 {
		t.Errorf("unreachable: %v, want machine 2", got)
	}
	h.d.HandleEvent(2*time.Second, a, model.Event{Kind: model.WorkerBack, Machine: 2})
	if got := h.d.UnreachableMachines(); len(got) != 0 {
		t.Errorf("unreachable: %v after its worker reported", got)
	}
}

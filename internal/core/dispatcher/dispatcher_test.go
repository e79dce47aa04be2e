package dispatcher

import (
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

const maxLease = 10 * time.Second

// harness drives a Dispatcher with one team and one machine type of 8 CPUs.
type harness struct {
	t *testing.T
	d *Dispatcher
}

// newHarness returns a harness whose team has the given CPU limit.
func newHarness(t *testing.T, limitCPUs float64) *harness {
	d := New(Params{Term: 3, Teams: []Team{{Limit: model.Capacity(limitCPUs, 0, 0)}}, ChunkSize: 64,
		BlockSize: 64, DispatchAhead: 2, MaxLease: maxLease, MinOverloadMachines: 8}, 5*time.Second)
	d.SetTypes([]model.MachineType{{Name: 0, Cap: model.Capacity(8, 0, 64)}})
	return &harness{t, d}
}

// addJob adds a job whose tasks need 2 CPUs each.
func (h *harness) addJob(id model.JobID, tasks int32, fromEarlierTerm bool) *model.Spec {
	spec := &model.Spec{ID: id, Tasks: tasks, PerTask: model.Request(2, 0, 1), Rank: model.Standard, Zone: model.None,
		Spot: true}
	h.d.AddJob(0, spec, uint64(id)+1, 0, fromEarlierTerm)
	return spec
}

// takeOrders takes all orders and returns those of one kind.
func (h *harness) takeOrders(k model.OrderKind) []model.Order {
	var out []model.Order
	for _, o := range h.d.TakeOrders() {
		if o.Kind == k {
			out = append(out, o)
		}
	}
	return out
}

// addMachine adds a recorded and fenced machine that the shard owns.
func (h *harness) addMachine(now time.Duration, id model.MachineID, to model.ShardID) {
	m := model.Machine{ID: id, Addr: "x"}
	h.d.HandleEvent(now, to, model.Event{Kind: model.UnownedWorker, Machine: id, Report: &model.Report{Machine: m}})
	for _, w := range h.d.Writes(now, 10) {
		h.d.WriteDone(now, w, 50, true, false)
	}
	h.d.HandleEvent(now, to, model.Event{Kind: model.WorkerFenced, Machine: id})
}

// reportStatus reports the shard's machines as ready and empty.
func (h *harness) reportStatus(now time.Duration, to model.ShardID, ids ...model.MachineID) {
	var statuses []model.MachineStatus
	for _, id := range ids {
		statuses = append(statuses, model.MachineStatus{Machine: model.Machine{ID: id}, Avail: model.Capacity(8, 0, 64),
			Ready: true})
	}
	h.d.UpdateStatus(now, to, statuses, nil, h.d.AssignmentsSent(to))
}

func TestLimitIsChargedWhenDispatched(t *testing.T) {
	h := newHarness(t, 6)
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	h.reportStatus(0, s, 1)
	h.addJob(1, 4, false)
	h.d.Dispatch(time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 3 {
		t.Fatalf("%d tasks of 2 CPUs dispatched under a limit of 6", n)
	}
	h.reportStatus(time.Second, s, 1)
	h.d.Dispatch(2 * time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 0 {
		t.Fatalf("%d more tasks dispatched", n)
	}
	h.d.HandleEvent(3*time.Second, s, model.Event{Kind: model.TaskFinished, Machine: 1,
		Task: model.Task{Job: 1, Index: 0}, Attempt: 1, Held: true})
	h.reportStatus(3*time.Second, s, 1)
	h.d.Dispatch(3 * time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 1 {
		t.Fatalf("%d tasks dispatched after one is done", n)
	}
}

// A task of an earlier term's job may be on any recorded machine until each is accounted for.
func TestNewLeaderWaitsForMachinesOfEarlierTerms(t *testing.T) {
	h := newHarness(t, 100)
	s := h.d.AddShard(0, "a")
	h.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: 1, Addr: "x"}})
	h.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 1})
	h.addMachine(0, 2, s)
	h.reportStatus(0, s, 2)
	old := h.addJob(1, 2, true)
	h.addJob(2, 1, false)
	h.d.Dispatch(time.Second)
	assignments := h.takeOrders(model.AssignTask)
	if len(assignments) != 1 || assignments[0].Assignment.Task.Job != 2 {
		t.Fatalf("assignments %v, want only the job of this term", assignments)
	}
	// One task is found before the worker is fenced, so the other runs nowhere.
	task := model.Task{Job: 1, Index: 1}
	h.findAttempt(time.Second, s, 1, task, 77)
	assignments = h.takeOrders(model.AssignTask)
	if len(assignments) != 1 || assignments[0].Assignment.Attempt != 77 {
		t.Fatalf("assignments %v, want the found attempt adopted", assignments)
	}
	h.d.HandleEvent(time.Second, s, model.Event{Kind: model.WorkerFenced, Machine: 1})
	if !h.d.Recovered() {
		t.Fatal("not recovered though all machines are accounted for")
	}
	h.reportStatus(time.Second, s, 1, 2)
	h.d.Dispatch(2 * time.Second)
	assignments = h.takeOrders(model.AssignTask)
	if len(assignments) != 1 || assignments[0].Assignment.Task != (model.Task{Job: old.ID, Index: 0}) {
		t.Fatalf("assignments %v, want the task that was not found", assignments)
	}
}

// While a machine of an earlier term is unaccounted, its full capacity counts against every team's
// limit.
func TestUnaccountedMachineIsChargedInFull(t *testing.T) {
	h := newHarness(t, 9)
	s := h.d.AddShard(0, "a")
	h.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: 1, Addr: "x"}})
	h.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 1})
	h.addMachine(0, 2, s)
	h.reportStatus(0, s, 2)
	h.addJob(2, 4, false)
	h.d.Dispatch(time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 0 {
		t.Fatalf("%d tasks dispatched with 1 CPU of the limit left", n)
	}
}

// The capacity of a machine whose type is not in the catalog is unknown, so no limit allows any
// task while such a machine is unaccounted.
func TestUnaccountedMachineOfUnknownTypeStopsDispatching(t *testing.T) {
	h := newHarness(t, 1000)
	s := h.d.AddShard(0, "a")
	h.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: 1, Addr: "x", Type: 9}})
	h.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 1})
	h.addMachine(0, 2, s)
	h.reportStatus(0, s, 2)
	h.addJob(2, 4, false)
	h.d.Dispatch(time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 0 {
		t.Fatalf("%d tasks dispatched", n)
	}
}

// A lost shard may act until its grant ends, and its workers keep their tasks for a lease after
// that.
func TestTasksOfLostShardStayChargedUntilMachinesAreAccountedFor(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(0, 1, a)
	h.addMachine(0, 2, b)
	h.reportStatus(0, a, 1)
	h.addJob(1, 2, false)
	h.d.Dispatch(time.Second)
	h.d.TakeOrders()
	h.d.ShardLost(a, 8*time.Second)
	h.reportStatus(2*time.Second, b, 2)
	h.d.Tick(17 * time.Second)
	h.d.Dispatch(17 * time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 0 {
		t.Fatalf("%d tasks dispatched twice", n)
	}
	h.reportStatus(19*time.Second, b, 2)
	h.d.Tick(19 * time.Second)
	h.d.Dispatch(19 * time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 2 {
		t.Fatalf("%d tasks dispatched after the last lease, want 2", n)
	}
}

// A worker that moves to another shard gets a new owner only after the old one has released it,
// with a token never used before. Its tasks are adopted where they are found.
func TestMovedWorkerHasOneOwnerAtATime(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(0, 1, a)
	first := h.takeOrders(model.OwnMachine)
	h.reportStatus(0, a, 1)
	h.addJob(1, 1, false)
	h.d.Dispatch(time.Second)
	h.d.TakeOrders()
	report := &model.Report{Machine: model.Machine{ID: 1}}
	h.d.HandleEvent(time.Second, b, model.Event{Kind: model.UnownedWorker, Machine: 1, Report: report})
	got := h.d.TakeOrders()
	if len(got) != 1 || got[0].Kind != model.ReleaseMachine || got[0].To != a {
		t.Fatalf("orders %+v, want the old owner asked to release the machine", got)
	}
	// Tasks that the old owner releases with the machine must not be adopted there.
	task := model.Task{Job: 1, Index: 0}
	h.d.HandleEvent(time.Second, a, model.Event{Kind: model.MachineReleased, Machine: 1, Tasks: []model.Task{task}})
	owners := h.takeOrders(model.OwnMachine)
	if len(owners) != 1 || owners[0].To != b || owners[0].Token <= first[0].Token {
		t.Fatalf("orders %+v, want a higher token for b", owners)
	}
	h.findAttempt(2*time.Second, b, 1, task, 9)
	if g := h.takeOrders(model.AssignTask); len(g) != 1 || g[0].To != b || g[0].Assignment.Attempt != 9 {
		t.Fatalf("orders %+v, want the attempt adopted at b", g)
	}
	h.d.HandleEvent(2*time.Second, b, model.Event{Kind: model.WorkerFenced, Machine: 1})
	h.reportStatus(2*time.Second, b, 1)
	h.d.Dispatch(3 * time.Second)
	if g := h.takeOrders(model.AssignTask); len(g) != 0 {
		t.Fatalf("assignments %v though the task runs", g)
	}
}

func TestUnknownAttemptIsKilledAndChargedUntilItEnds(t *testing.T) {
	h := newHarness(t, 9)
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	h.addMachine(0, 2, s)
	h.d.TakeOrders()
	task := model.Task{Job: 99, Index: 0}
	h.findAttempt(0, s, 1, task, 5)
	if o := h.takeOrders(model.KillAttempt); len(o) != 1 {
		t.Fatalf("orders %v, want the attempt killed", o)
	}
	h.reportStatus(0, s, 2)
	h.addJob(1, 4, false)
	h.d.Dispatch(time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 0 {
		t.Fatalf("%d tasks dispatched beside an attempt of unknown team", n)
	}
	h.d.HandleEvent(time.Second, s, model.Event{Kind: model.RejectedAttemptGone, Task: task, Attempt: 5})
	h.reportStatus(time.Second, s, 2)
	h.d.Dispatch(2 * time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 4 {
		t.Fatalf("%d tasks dispatched, want 4", n)
	}
}

func TestAttemptIsClearedAfterChunkIsStoredAndJobFinishesOnce(t *testing.T) {
	h := newHarness(t, 100)
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	h.reportStatus(0, s, 1)
	h.addJob(1, 2, false)
	h.d.Dispatch(time.Second)
	h.d.TakeOrders()
	finish := func(index int32) {
		h.d.HandleEvent(2*time.Second, s, model.Event{Kind: model.TaskFinished, Machine: 1,
			Task: model.Task{Job: 1, Index: index}, Attempt: uint64(index) + 1, Held: true})
	}
	finish(0)
	w := h.d.Writes(2*time.Second, 10)
	if len(w) != 1 || w[0].Kind != PutChunk || w[0].Bits[0] != 1 {
		t.Fatalf("writes %+v, want the chunk", w)
	}
	if o := h.takeOrders(model.ClearAttempt); len(o) != 0 {
		t.Fatal("cleared before it was stored")
	}
	h.d.WriteDone(2*time.Second, w[0], 60, false, false) // unknown outcome: written again
	w = h.d.Writes(3*time.Second, 10)
	if len(w) != 1 {
		t.Fatalf("writes %+v, want the chunk again", w)
	}
	h.d.WriteDone(3*time.Second, w[0], 61, true, false)
	if o := h.takeOrders(model.ClearAttempt); len(o) != 1 {
		t.Fatalf("orders %v, want the attempt cleared", o)
	}
	finish(1)
	w = h.d.Writes(4*time.Second, 10)
	if len(w) != 1 || w[0].Kind != FinishJob || w[0].Version != 2 {
		t.Fatalf("writes %+v, want the job finished at its version", w)
	}
	if more := h.d.Writes(4*time.Second, 10); len(more) != 0 {
		t.Fatalf("writes %+v while it is being finished", more)
	}
	h.d.WriteDone(4*time.Second, w[0], 62, false, true) // cancelled meanwhile
	if h.d.jobs[1] != nil || len(h.takeOrders(model.EndJob)) != 1 {
		t.Fatal("an ended job continues")
	}
}

func TestSameZoneAndSpreadPlacement(t *testing.T) {
	h := newHarness(t, 100)
	s := h.d.AddShard(0, "a")
	for id := range model.MachineID(4) {
		m := model.Machine{ID: id, Zone: model.Name(id % 2)}
		h.d.HandleEvent(0, s, model.Event{Kind: model.UnownedWorker, Machine: id, Report: &model.Report{Machine: m}})
	}
	for _, w := range h.d.Writes(0, 10) {
		h.d.WriteDone(0, w, 9, true, false)
	}
	h.d.TakeOrders()
	zones := func() map[model.Name]int {
		z := map[model.Name]int{}
		for _, o := range h.takeOrders(model.AssignTask) {
			z[o.Assignment.Zone]++
		}
		return z
	}
	spec := &model.Spec{ID: 1, Tasks: 12, PerTask: model.Request(2, 0, 1), Zone: model.None, SameZone: true}
	h.d.AddJob(0, spec, 2, 0, false)
	h.reportStatus(0, s, 0, 1, 2, 3)
	h.d.Dispatch(time.Second)
	if z := zones(); len(z) != 1 {
		t.Fatalf("a job with SameZone is dispatched to zones %v", z)
	}
	spec = &model.Spec{ID: 2, Tasks: 5, PerTask: model.Request(2, 0, 1), Zone: model.None, Spread: true}
	h.d.AddJob(0, spec, 2, 0, false)
	h.reportStatus(time.Second, s, 0, 2) // free capacity in one zone only
	h.d.UpdateStatus(time.Second, s, []model.MachineStatus{{Machine: model.Machine{ID: 1}},
		{Machine: model.Machine{ID: 3}}}, nil, h.d.AssignmentsSent(s))
	h.d.JobRemoved(1)
	h.d.Dispatch(2 * time.Second)
	if z := zones(); z[0] != 3 || z[1] != 0 {
		t.Fatalf("%v of 5 tasks in a zone, at most 3 may be", z)
	}
}

func TestPricesFollowPreemptionRules(t *testing.T) {
	for _, r := range []model.Rank{model.Idle, model.Standard, model.Urgent} {
		if Price(r, true) <= Price(r+1, false) {
			t.Errorf("work of rank %d within the guarantee can't evict borrowed work of the next rank", r)
		}
		if Price(r, true) >= Price(r+1, true) || Price(r, false) >= Price(r+1, false) {
			t.Errorf("rank %d is not below the next", r)
		}
	}
}

func TestAttemptsAndTokensAreNeverReused(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	if h.d.FirstAttempt(a)+1<<22 > h.d.FirstAttempt(b) {
		t.Fatal("ranges of attempt numbers overlap")
	}
	for id := range model.MachineID(5) {
		h.addMachine(0, id, a)
	}
	h.d.HandleEvent(0, a, model.Event{Kind: model.TokenNeeded, Machine: 1})
	var tokens []uint64
	for _, o := range h.takeOrders(model.OwnMachine) {
		tokens = append(tokens, o.Token)
	}
	slices.Sort(tokens)
	if len(slices.Compact(tokens)) != 6 {
		t.Fatalf("tokens %v, want 6 different ones", tokens)
	}
}

// A new leader waits for every recorded machine, so the record of a machine whose lease expiry is
// confirmed is removed. If its worker reports again, the machine is recorded again before it gets
// tasks, because the removal may be applied late.
func TestExpiredMachineLosesItsRecordUntilItReports(t *testing.T) {
	h := newHarness(t, 100)
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	token := h.takeOrders(model.OwnMachine)[0].Token
	expire := func(now time.Duration) {
		h.d.HandleEvent(now, s, model.Event{Kind: model.LeaseExpired, Machine: 1, Token: token})
		if o := h.takeOrders(model.ConfirmLeaseExpiry); len(o) != 1 {
			t.Fatalf("orders %v, want the shard asked to confirm", o)
		}
		h.d.HandleEvent(now, s, model.Event{Kind: model.LeaseExpiryConfirmed, Machine: 1, Token: token})
		if o := h.takeOrders(model.SetUsable); len(o) != 1 || o[0].Usable {
			t.Fatalf("orders %v, want the machine not usable", o)
		}
	}
	expire(20 * time.Second)
	w := h.d.Writes(20*time.Second, 10)
	if len(w) != 1 || w[0].Kind != PutBlock || w[0].Version != 50 || len(w[0].Machines) != 0 {
		t.Fatalf("writes %+v, want the machine removed from its block, at the block's version", w)
	}
	// The write gets no answer, and the worker reports again.
	h.d.HandleEvent(21*time.Second, s, model.Event{Kind: model.WorkerBack, Machine: 1})
	if o := h.takeOrders(model.SetUsable); len(o) != 1 || o[0].Usable {
		t.Fatalf("orders %v: usable without a record", o)
	}
	h.d.WriteDone(22*time.Second, w[0], 0, false, false)
	w = h.d.Writes(22*time.Second, 10)
	if len(w) != 1 || w[0].Version != 50 || len(w[0].Machines) != 1 {
		t.Fatalf("writes %+v, want the machine recorded again at the old version", w)
	}
	// The earlier write was applied: the block has another version now.
	h.d.WriteDone(22*time.Second, w[0], 60, false, true)
	if o := h.takeOrders(model.SetUsable); len(o) != 0 {
		t.Fatalf("orders %v: usable without a record", o)
	}
	w = h.d.Writes(22*time.Second, 10)
	if len(w) != 1 || w[0].Version != 60 || len(w[0].Machines) != 1 {
		t.Fatalf("writes %+v, want the machine recorded at the new version", w)
	}
	h.d.WriteDone(22*time.Second, w[0], 70, true, false)
	if o := h.takeOrders(model.SetUsable); len(o) != 1 || !o[0].Usable {
		t.Fatalf("orders %v, want the machine usable again", o)
	}
	expire(40 * time.Second)
	if w = h.d.Writes(40*time.Second, 10); len(w) != 1 || w[0].Version != 70 || len(w[0].Machines) != 0 {
		t.Fatalf("writes %+v, want the machine removed from the new record", w)
	}
}

// A machine that is gone stays in memory until its record is written without it. Guards against
// hundreds of tasks of a lost shard waiting forever for such a machine, which can never be accounted
// for.
func TestTasksOfLostShardDoNotWaitForRemovedMachine(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(0, 1, a)
	h.addMachine(0, 2, a)
	h.reportStatus(0, a, 1, 2)
	h.addJob(1, 8, false)
	h.d.Dispatch(time.Second)
	h.d.TakeOrders()
	h.d.MachineGone(1)
	h.d.ShardLost(a, 2*time.Second)
	for _, w := range h.d.Writes(2*time.Second, 10) {
		h.d.WriteDone(2*time.Second, w, 60, true, false)
	}
	h.d.HandleEvent(3*time.Second, b, model.Event{Kind: model.UnownedWorker, Machine: 2,
		Report: &model.Report{Machine: model.Machine{ID: 2}}})
	h.d.HandleEvent(4*time.Second, b, model.Event{Kind: model.WorkerFenced, Machine: 2})
	h.d.TakeOrders()
	h.reportStatus(5*time.Second, b, 2)
	h.d.Dispatch(5 * time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n < 4 {
		t.Fatalf("%d tasks dispatched again", n)
	}
}

// A shard that releases a machine names the tasks that were there. Guards against losing these
// tasks if the machine is gone and removed by then: they run nowhere, and no other shard would
// return them.
func TestTasksReleasedWithRemovedMachineAreDispatchedAgain(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(0, 1, a)
	h.addMachine(0, 2, b)
	h.reportStatus(0, a, 1)
	h.addJob(1, 1, false)
	h.d.Dispatch(time.Second)
	h.d.HandleEvent(time.Second, b, model.Event{Kind: model.UnownedWorker, Machine: 1,
		Report: &model.Report{Machine: model.Machine{ID: 1}}})
	h.d.MachineGone(1)
	for _, w := range h.d.Writes(time.Second, 10) {
		h.d.WriteDone(time.Second, w, 60, true, false)
	}
	h.d.HandleEvent(2*time.Second, a, model.Event{Kind: model.MachineReleased, Machine: 1, Tasks: []model.Task{{Job: 1}}})
	h.d.TakeOrders()
	h.reportStatus(3*time.Second, b, 2)
	h.d.Dispatch(3 * time.Second)
	if g := h.takeOrders(model.AssignTask); len(g) != 1 || g[0].To != b {
		t.Fatalf("orders %+v, want the task dispatched again", g)
	}
}

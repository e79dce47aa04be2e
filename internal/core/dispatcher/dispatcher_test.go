package dispatcher

import (
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

const sure = 10 * time.Second

type rig struct {
	t *testing.T
	d *Dispatcher
}

func newRig(t *testing.T, limitCPUs float64) *rig {
	d := New(Params{Term: 3, Teams: []Team{{Limit: model.Capacity(limitCPUs, 0, 0)}}, ChunkSize: 64,
		BlockSize: 64, DispatchAhead: 2, MaxLease: sure, MinOverloadMachines: 8}, 5*time.Second)
	d.SetTypes([]model.MachineType{{Name: 0, Cap: model.Capacity(8, 0, 64)}})
	return &rig{t, d}
}

func (r *rig) job(id model.JobID, tasks int32, old bool) *model.Spec {
	sp := &model.Spec{ID: id, Tasks: tasks, PerTask: model.Request(2, 0, 1), Rank: model.Standard, Zone: model.None, Spot: true}
	r.d.AddJob(0, sp, uint64(id)+1, 0, old)
	return sp
}

func (r *rig) orders(k model.OrderKind) []model.Order {
	var out []model.Order
	for _, o := range r.d.TakeOrders() {
		if o.Kind == k {
			out = append(out, o)
		}
	}
	return out
}

// machine makes a recorded machine of the shard's, with room.
func (r *rig) machine(now time.Duration, id model.MachineID, to model.ShardID) {
	m := model.Machine{ID: id, Addr: "x"}
	r.d.HandleEvent(now, to, model.Event{Kind: model.UnownedWorker, Machine: id, Report: &model.Report{Machine: m}})
	for _, w := range r.d.Writes(now, 10) {
		r.d.WriteDone(now, w, 50, true, false)
	}
	r.d.HandleEvent(now, to, model.Event{Kind: model.WorkerFenced, Machine: id})
}

func (r *rig) status(now time.Duration, to model.ShardID, ids ...model.MachineID) {
	var st []model.MachineStatus
	for _, id := range ids {
		st = append(st, model.MachineStatus{Machine: model.Machine{ID: id}, Avail: model.Capacity(8, 0, 64), Ready: true})
	}
	r.d.UpdateStatus(now, to, st, nil, r.d.AssignmentsSent(to))
}

func TestQuotaIsChargedWhenDealt(t *testing.T) {
	r := newRig(t, 6)
	s := r.d.AddShard(0, "a")
	r.machine(0, 1, s)
	r.status(0, s, 1)
	r.job(1, 4, false)
	r.d.Dispatch(time.Second)
	if n := len(r.orders(model.AssignTask)); n != 3 {
		t.Fatalf("%d tasks of 2 CPUs dealt under a limit of 6", n)
	}
	r.status(time.Second, s, 1)
	r.d.Dispatch(2 * time.Second)
	if n := len(r.orders(model.AssignTask)); n != 0 {
		t.Fatalf("%d more dealt", n)
	}
	r.d.HandleEvent(3*time.Second, s, model.Event{Kind: model.TaskFinished, Machine: 1, Task: model.Task{Job: 1, Index: 0}, Attempt: 1, Held: true})
	r.status(3*time.Second, s, 1)
	r.d.Dispatch(3 * time.Second)
	if n := len(r.orders(model.AssignTask)); n != 1 {
		t.Fatalf("%d dealt after one is done", n)
	}
}

// An old job's tasks may be on any recorded machine until each is accounted for.
func TestNewLeaderWaitsForTheMachinesOfTheOld(t *testing.T) {
	r := newRig(t, 100)
	s := r.d.AddShard(0, "a")
	r.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: 1, Addr: "x"}})
	r.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 1})
	r.machine(0, 2, s)
	r.status(0, s, 2)
	old := r.job(1, 2, true)
	r.job(2, 1, false)
	r.d.Dispatch(time.Second)
	gives := r.orders(model.AssignTask)
	if len(gives) != 1 || gives[0].Assignment.Task.Job != 2 {
		t.Fatalf("dealt %v, want only the job of this term", gives)
	}
	// One task is found, then the worker is fenced: the other is nowhere.
	task := model.Task{Job: 1, Index: 1}
	r.finds(time.Second, s, 1, task, 77)
	gives = r.orders(model.AssignTask)
	if len(gives) != 1 || gives[0].Assignment.Attempt != 77 {
		t.Fatalf("%v, want the found attempt adopted", gives)
	}
	r.d.HandleEvent(time.Second, s, model.Event{Kind: model.WorkerFenced, Machine: 1})
	if !r.d.Recovered() {
		t.Fatal("all machines are accounted for")
	}
	r.status(time.Second, s, 1, 2)
	r.d.Dispatch(2 * time.Second)
	gives = r.orders(model.AssignTask)
	if len(gives) != 1 || gives[0].Assignment.Task != (model.Task{Job: old.ID, Index: 0}) {
		t.Fatalf("dealt %v, want the task that was nowhere", gives)
	}
}

// While a machine of the old leader's is not accounted for, all of it counts
// against every team's limit.
func TestUnseenMachineIsChargedInFull(t *testing.T) {
	r := newRig(t, 9)
	s := r.d.AddShard(0, "a")
	r.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: 1, Addr: "x"}})
	r.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 1})
	r.machine(0, 2, s)
	r.status(0, s, 2)
	r.job(2, 4, false)
	r.d.Dispatch(time.Second)
	if n := len(r.orders(model.AssignTask)); n != 0 {
		t.Fatalf("%d tasks dealt with 1 CPU of the limit left", n)
	}
}

// What a machine of a type that the catalog lacks may hold is anybody's guess.
func TestUnseenMachineOfUnknownTypeStopsDealing(t *testing.T) {
	r := newRig(t, 1000)
	s := r.d.AddShard(0, "a")
	r.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: 1, Addr: "x", Type: 9}})
	r.d.HandleEvent(0, s, model.Event{Kind: model.MachineRemembered, Machine: 1})
	r.machine(0, 2, s)
	r.status(0, s, 2)
	r.job(2, 4, false)
	r.d.Dispatch(time.Second)
	if n := len(r.orders(model.AssignTask)); n != 0 {
		t.Fatalf("%d tasks dealt", n)
	}
}

// A lost shard may act until its grant ends, and its workers keep their tasks
// for a lease after that.
func TestLostShardsTasksStayChargedUntilItsMachinesAreAccountedFor(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	r.machine(0, 1, a)
	r.machine(0, 2, b)
	r.status(0, a, 1)
	r.job(1, 2, false)
	r.d.Dispatch(time.Second)
	r.d.TakeOrders()
	r.d.ShardLost(a, 8*time.Second)
	r.status(2*time.Second, b, 2)
	r.d.Tick(17 * time.Second)
	r.d.Dispatch(17 * time.Second)
	if n := len(r.orders(model.AssignTask)); n != 0 {
		t.Fatalf("%d tasks dealt twice", n)
	}
	r.status(19*time.Second, b, 2)
	r.d.Tick(19 * time.Second)
	r.d.Dispatch(19 * time.Second)
	if n := len(r.orders(model.AssignTask)); n != 2 {
		t.Fatalf("%d tasks dealt after the last lease, want 2", n)
	}
}

// A worker that moves is given a new owner only once the old one has let go,
// under a token never used before; its tasks are adopted where they are found.
func TestMovedWorkerGetsOneOwnerAtATime(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	r.machine(0, 1, a)
	first := r.orders(model.OwnMachine)
	r.status(0, a, 1)
	r.job(1, 1, false)
	r.d.Dispatch(time.Second)
	r.d.TakeOrders()
	rep := &model.Report{Machine: model.Machine{ID: 1}}
	r.d.HandleEvent(time.Second, b, model.Event{Kind: model.UnownedWorker, Machine: 1, Report: rep})
	got := r.d.TakeOrders()
	if len(got) != 1 || got[0].Kind != model.ReleaseMachine || got[0].To != a {
		t.Fatalf("orders %+v, want the old owner asked to let go", got)
	}
	// What the old owner finds before it lets go must not be adopted there.
	task := model.Task{Job: 1, Index: 0}
	r.d.HandleEvent(time.Second, a, model.Event{Kind: model.MachineReleased, Machine: 1, Tasks: []model.Task{task}})
	own := r.orders(model.OwnMachine)
	if len(own) != 1 || own[0].To != b || own[0].Token <= first[0].Token {
		t.Fatalf("orders %+v, want a higher token for b", own)
	}
	r.finds(2*time.Second, b, 1, task, 9)
	if g := r.orders(model.AssignTask); len(g) != 1 || g[0].To != b || g[0].Assignment.Attempt != 9 {
		t.Fatalf("orders %+v, want it adopted at b", g)
	}
	r.d.HandleEvent(2*time.Second, b, model.Event{Kind: model.WorkerFenced, Machine: 1})
	r.status(2*time.Second, b, 1)
	r.d.Dispatch(3 * time.Second)
	if g := r.orders(model.AssignTask); len(g) != 0 {
		t.Fatalf("dealt %v though it runs", g)
	}
}

func TestUnknownAttemptIsKilledAndChargedUntilGone(t *testing.T) {
	r := newRig(t, 9)
	s := r.d.AddShard(0, "a")
	r.machine(0, 1, s)
	r.machine(0, 2, s)
	r.d.TakeOrders()
	task := model.Task{Job: 99, Index: 0}
	r.finds(0, s, 1, task, 5)
	if o := r.orders(model.KillAttempt); len(o) != 1 {
		t.Fatalf("orders %v, want it killed", o)
	}
	r.status(0, s, 2)
	r.job(1, 4, false)
	r.d.Dispatch(time.Second)
	if n := len(r.orders(model.AssignTask)); n != 0 {
		t.Fatalf("%d dealt beside an attempt of unknown team", n)
	}
	r.d.HandleEvent(time.Second, s, model.Event{Kind: model.RejectedAttemptGone, Task: task, Attempt: 5})
	r.status(time.Second, s, 2)
	r.d.Dispatch(2 * time.Second)
	if n := len(r.orders(model.AssignTask)); n != 4 {
		t.Fatalf("%d dealt, want 4", n)
	}
}

func TestDoneIsClearedAfterItsChunkIsStoredAndJobFinishesOnce(t *testing.T) {
	r := newRig(t, 100)
	s := r.d.AddShard(0, "a")
	r.machine(0, 1, s)
	r.status(0, s, 1)
	r.job(1, 2, false)
	r.d.Dispatch(time.Second)
	r.d.TakeOrders()
	done := func(no int32) {
		r.d.HandleEvent(2*time.Second, s, model.Event{Kind: model.TaskFinished, Machine: 1, Task: model.Task{Job: 1, Index: no}, Attempt: uint64(no) + 1, Held: true})
	}
	done(0)
	w := r.d.Writes(2*time.Second, 10)
	if len(w) != 1 || w[0].Kind != PutChunk || w[0].Bits[0] != 1 {
		t.Fatalf("writes %+v, want the chunk", w)
	}
	if o := r.orders(model.ClearAttempt); len(o) != 0 {
		t.Fatal("cleared before it was stored")
	}
	r.d.WriteDone(2*time.Second, w[0], 60, false, false) // in doubt: again
	w = r.d.Writes(3*time.Second, 10)
	if len(w) != 1 {
		t.Fatalf("writes %+v, want the chunk again", w)
	}
	r.d.WriteDone(3*time.Second, w[0], 61, true, false)
	if o := r.orders(model.ClearAttempt); len(o) != 1 {
		t.Fatalf("orders %v, want it cleared", o)
	}
	done(1)
	w = r.d.Writes(4*time.Second, 10)
	if len(w) != 1 || w[0].Kind != FinishJob || w[0].Version != 2 {
		t.Fatalf("writes %+v, want the job finished at its version", w)
	}
	if more := r.d.Writes(4*time.Second, 10); len(more) != 0 {
		t.Fatalf("writes %+v while it is being finished", more)
	}
	r.d.WriteDone(4*time.Second, w[0], 62, false, true) // cancelled meanwhile
	if r.d.jobs[1] != nil || len(r.orders(model.EndJob)) != 1 {
		t.Fatal("an ended job goes on")
	}
}

func TestTogetherAndSpread(t *testing.T) {
	r := newRig(t, 100)
	s := r.d.AddShard(0, "a")
	for id := range model.MachineID(4) {
		m := model.Machine{ID: id, Zone: model.Name(id % 2)}
		r.d.HandleEvent(0, s, model.Event{Kind: model.UnownedWorker, Machine: id, Report: &model.Report{Machine: m}})
	}
	for _, w := range r.d.Writes(0, 10) {
		r.d.WriteDone(0, w, 9, true, false)
	}
	r.d.TakeOrders()
	zones := func() map[model.Name]int {
		z := map[model.Name]int{}
		for _, o := range r.orders(model.AssignTask) {
			z[o.Assignment.Zone]++
		}
		return z
	}
	sp := &model.Spec{ID: 1, Tasks: 12, PerTask: model.Request(2, 0, 1), Zone: model.None, SameZone: true}
	r.d.AddJob(0, sp, 2, 0, false)
	r.status(0, s, 0, 1, 2, 3)
	r.d.Dispatch(time.Second)
	if z := zones(); len(z) != 1 {
		t.Fatalf("a job that stays together is dealt to zones %v", z)
	}
	sp = &model.Spec{ID: 2, Tasks: 5, PerTask: model.Request(2, 0, 1), Zone: model.None, Spread: true}
	r.d.AddJob(0, sp, 2, 0, false)
	r.status(time.Second, s, 0, 2) // room in one zone only
	r.d.UpdateStatus(time.Second, s, []model.MachineStatus{{Machine: model.Machine{ID: 1}}, {Machine: model.Machine{ID: 3}}}, nil, r.d.AssignmentsSent(s))
	r.d.JobRemoved(1)
	r.d.Dispatch(2 * time.Second)
	if z := zones(); z[0] != 3 || z[1] != 0 {
		t.Fatalf("%v of 5 tasks in a zone, at most 3 may be", z)
	}
}

func TestPricesKeepToThePreemptionRules(t *testing.T) {
	for _, r := range []model.Rank{model.Idle, model.Standard, model.Urgent} {
		if Price(r, true) <= Price(r+1, false) {
			t.Errorf("work of rank %d within the guarantee can't have borrowed room back", r)
		}
		if Price(r, true) >= Price(r+1, true) || Price(r, false) >= Price(r+1, false) {
			t.Errorf("rank %d is not below the next", r)
		}
	}
}

func TestAttemptsAndTokensAreNeverReused(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	if r.d.FirstAttempt(a)+1<<22 > r.d.FirstAttempt(b) {
		t.Fatal("ranges of attempts overlap")
	}
	for id := range model.MachineID(5) {
		r.machine(0, id, a)
	}
	r.d.HandleEvent(0, a, model.Event{Kind: model.TokenNeeded, Machine: 1})
	var tokens []uint64
	for _, o := range r.orders(model.OwnMachine) {
		tokens = append(tokens, o.Token)
	}
	slices.Sort(tokens)
	if len(slices.Compact(tokens)) != 6 {
		t.Fatalf("tokens %v", tokens)
	}
}

// A new leader waits for every recorded machine, so the record of a machine
// that surely holds nothing is dropped; if its worker comes back, the record is
// put again before it gets tasks, for the drop may be applied late.
func TestLapsedMachineLosesItsRecordUntilItIsBack(t *testing.T) {
	r := newRig(t, 100)
	s := r.d.AddShard(0, "a")
	r.machine(0, 1, s)
	token := r.orders(model.OwnMachine)[0].Token
	lapse := func(now time.Duration) {
		r.d.HandleEvent(now, s, model.Event{Kind: model.LeaseExpired, Machine: 1, Token: token})
		if o := r.orders(model.ConfirmLeaseExpiry); len(o) != 1 {
			t.Fatalf("orders %v, want the shard asked to confirm", o)
		}
		r.d.HandleEvent(now, s, model.Event{Kind: model.LeaseExpiryConfirmed, Machine: 1, Token: token})
		if o := r.orders(model.SetUsable); len(o) != 1 || o[0].Usable {
			t.Fatalf("orders %v, want nothing placed there", o)
		}
	}
	lapse(20 * time.Second)
	w := r.d.Writes(20*time.Second, 10)
	if len(w) != 1 || w[0].Kind != PutBlock || w[0].Version != 50 || len(w[0].Machines) != 0 {
		t.Fatalf("writes %+v, want it out of its block, at the block's version", w)
	}
	// No answer; meanwhile the worker is back.
	r.d.HandleEvent(21*time.Second, s, model.Event{Kind: model.WorkerBack, Machine: 1})
	if o := r.orders(model.SetUsable); len(o) != 1 || o[0].Usable {
		t.Fatalf("orders %v: used without a record", o)
	}
	r.d.WriteDone(22*time.Second, w[0], 0, false, false)
	w = r.d.Writes(22*time.Second, 10)
	if len(w) != 1 || w[0].Version != 50 || len(w[0].Machines) != 1 {
		t.Fatalf("writes %+v, want it recorded again, unless the write before was applied", w)
	}
	// It was: the block has another version now.
	r.d.WriteDone(22*time.Second, w[0], 60, false, true)
	if o := r.orders(model.SetUsable); len(o) != 0 {
		t.Fatalf("orders %v: used without a record", o)
	}
	w = r.d.Writes(22*time.Second, 10)
	if len(w) != 1 || w[0].Version != 60 || len(w[0].Machines) != 1 {
		t.Fatalf("writes %+v, want it recorded at the new version", w)
	}
	r.d.WriteDone(22*time.Second, w[0], 70, true, false)
	if o := r.orders(model.SetUsable); len(o) != 1 || !o[0].Usable {
		t.Fatalf("orders %v, want it used again", o)
	}
	lapse(40 * time.Second)
	if w = r.d.Writes(40*time.Second, 10); len(w) != 1 || w[0].Version != 70 || len(w[0].Machines) != 0 {
		t.Fatalf("writes %+v, want it out of the new record", w)
	}
}

// Machines are evened out one at a time; a worker that turns up elsewhere could
// not reach the controller it was sent to, and its zone is sent there no more.
func TestMachinesAreSpreadGently(t *testing.T) {
	r := newRig(t, 100)
	a := r.d.AddShard(0, "a")
	r.d.AddShard(0, "b")
	for id := range model.MachineID(6) {
		r.machine(0, id, a)
	}
	r.d.TakeOrders()
	r.d.Tick(5 * time.Second)
	if o := r.orders(model.ReleaseMachine); len(o) != 0 {
		t.Fatalf("%v moved to a shard that has just joined", o)
	}
	r.d.Tick(11 * time.Second)
	o := r.orders(model.ReleaseMachine)
	if len(o) != 1 || o[0].To != a || o[0].RedirectTo != "b" {
		t.Fatalf("orders %+v, want one machine sent to b", o)
	}
	r.d.Tick(15 * time.Second)
	if o := r.orders(model.ReleaseMachine); len(o) != 0 {
		t.Fatalf("%v while one is on its way", o)
	}
	id := o[0].ID
	r.d.HandleEvent(15*time.Second, a, model.Event{Kind: model.MachineReleased, Machine: id})
	// It comes back to a.
	r.d.HandleEvent(16*time.Second, a, model.Event{Kind: model.UnownedWorker, Machine: id, Report: &model.Report{Machine: model.Machine{ID: id}}})
	r.d.HandleEvent(16*time.Second, a, model.Event{Kind: model.WorkerFenced, Machine: id})
	r.d.TakeOrders()
	r.d.Tick(30 * time.Second)
	if o := r.orders(model.ReleaseMachine); len(o) != 0 {
		t.Fatalf("%v sent to a controller that its zone can't reach", o)
	}
	r.d.Tick(10 * time.Minute)
	if o := r.orders(model.ReleaseMachine); len(o) != 1 || o[0].RedirectTo != "b" {
		t.Fatalf("orders %v, want another try later", o)
	}
}

// After a controller is lost, old work waits until its machines are accounted
// for. Their workers may not report for many seconds, so that the living shards
// get them to reach for, each a part.
func TestOrphanedMachinesAreDividedAmongTheLivingShards(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	for id := range model.MachineID(6) {
		r.d.AddStoredBlock(BlockID{}, 4, []model.Machine{{ID: id, Addr: "x"}})
	}
	r.d.HandleEvent(0, a, model.Event{Kind: model.MachineRemembered, Machine: 0})
	if o := r.orders(model.OwnMachine); len(o) != 1 || o[0].To != a {
		t.Fatalf("orders %v, want the machine with the shard that remembers it", o)
	}
	r.d.Tick(time.Second)
	if o := r.orders(model.OwnMachine); len(o) != 0 {
		t.Fatalf("orders %v before they could report", o)
	}
	r.d.Tick(3 * time.Second)
	to := map[model.ShardID]int{}
	for _, o := range r.orders(model.OwnMachine) {
		to[o.To]++
	}
	if to[a]+to[b] != 5 || to[a] < 2 || to[b] < 2 {
		t.Fatalf("machines per shard: %v", to)
	}
}

// A machine that is gone stays in the books until its record is written without
// it. If its owner is lost meanwhile, nothing more can be learnt of it, and the
// tasks of the lost shard must not wait for it: hundreds once waited for ever.
func TestLostShardsTasksDoNotWaitForAMachineThatIsGone(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	r.machine(0, 1, a)
	r.machine(0, 2, a)
	r.status(0, a, 1, 2)
	r.job(1, 8, false)
	r.d.Dispatch(time.Second)
	r.d.TakeOrders()
	r.d.MachineGone(1)
	r.d.ShardLost(a, 2*time.Second)
	for _, w := range r.d.Writes(2*time.Second, 10) {
		r.d.WriteDone(2*time.Second, w, 60, true, false)
	}
	r.d.HandleEvent(3*time.Second, b, model.Event{Kind: model.UnownedWorker, Machine: 2, Report: &model.Report{Machine: model.Machine{ID: 2}}})
	r.d.HandleEvent(4*time.Second, b, model.Event{Kind: model.WorkerFenced, Machine: 2})
	r.d.TakeOrders()
	r.status(5*time.Second, b, 2)
	r.d.Dispatch(5 * time.Second)
	if n := len(r.orders(model.AssignTask)); n < 4 {
		t.Fatalf("%d tasks dealt anew", n)
	}
}

// A shard that was asked to let go of a machine says what was there. If the
// machine is gone and forgotten by then, those tasks are nowhere: nobody else
// would ever give them back.
func TestTasksReleasedWithAForgottenMachineAreFree(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	r.machine(0, 1, a)
	r.machine(0, 2, b)
	r.status(0, a, 1)
	r.job(1, 1, false)
	r.d.Dispatch(time.Second)
	r.d.HandleEvent(time.Second, b, model.Event{Kind: model.UnownedWorker, Machine: 1, Report: &model.Report{Machine: model.Machine{ID: 1}}})
	r.d.MachineGone(1)
	for _, w := range r.d.Writes(time.Second, 10) {
		r.d.WriteDone(time.Second, w, 60, true, false)
	}
	r.d.HandleEvent(2*time.Second, a, model.Event{Kind: model.MachineReleased, Machine: 1, Tasks: []model.Task{{Job: 1}}})
	r.d.TakeOrders()
	r.status(3*time.Second, b, 2)
	r.d.Dispatch(3 * time.Second)
	if g := r.orders(model.AssignTask); len(g) != 1 || g[0].To != b {
		t.Fatalf("orders %+v, want the task dealt anew", g)
	}
}

package forecast

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
	"honeylock/internal/core/shard"
)

// ending is a task that completes then, if it has not been stopped before.
type ending struct {
	at      time.Duration
	task    model.Task
	attempt uint64
}

type endings []ending

func (h endings) Len() int { return len(h) }
func (h endings) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), h[i].task.Compare(h[j].task)) < 0
}
func (h endings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *endings) Push(x any)   { *h = append(*h, x.(ending)) }
func (h *endings) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// job while it is played.
type job struct {
	*Job
	left    int     // tasks not done
	undealt []int32 // tasks not given to the shard yet
	running int
	price   float64
	within  bool
	waited  time.Duration // within its guarantee without room since, 0: it does not wait
	zones   int           // of a job that spreads: the next
	saved   map[int32]time.Duration
}

// run is one play, without or with the plan.
type run struct {
	f       *Forecast
	r       *shard.Simulation
	e       *drain.Engine // nil: without the plan
	now     time.Duration
	over    bool
	jobs    []*job
	byID    map[model.JobID]*job
	open    int // jobs that will end
	usage   []model.Resources
	heap    endings
	zones   []model.Name
	booting []boot
	patched map[model.MachineID]time.Duration
	next    model.MachineID
	priced  time.Duration
	loaded  int                            // machines of the snapshot brought in
	on      map[model.JobID]map[int32]bool // tasks that run, while that is done

	ends    map[model.JobID]time.Duration
	costs   map[model.JobID]cost
	waits   []time.Duration
	planEnd time.Duration
	held    string
}

type boot struct {
	at time.Duration
	m  model.Machine
}

func newRun(f *Forecast, plan StartPlan) *run {
	s := f.s
	x := &run{f: f, now: s.Now, byID: make(map[model.JobID]*job, len(s.Jobs)),
		usage: make([]model.Resources, len(s.Teams)), on: map[model.JobID]map[int32]bool{},
		patched: map[model.MachineID]time.Duration{}, next: 1 << 40,
		ends: map[model.JobID]time.Duration{}, costs: map[model.JobID]cost{}, waits: make([]time.Duration, len(s.Teams)),
		r: shard.NewSimulation(s.Shard, rand.New(rand.NewPCG(f.p.Seed, uint64(f.play))))}
	for i := range s.Jobs {
		j := &job{Job: &s.Jobs[i], left: s.Jobs[i].UnfinishedTasks, price: dispatcher.Price(s.Jobs[i].Spec.Rank, false)}
		x.jobs = append(x.jobs, j)
		x.byID[j.Spec.ID] = j
		if !j.Spec.Daemon {
			x.open++
		}
	}
	x.reprice()
	if plan != nil {
		x.e = drain.New(drain.Params{Term: 1, ReportInterval: f.p.Step, RetryInterval: 15 * time.Second, MaxMachines: len(s.Machines) + 1})
		f.err = plan(x.e, x.now, s.Wall)
		x.over = f.err != nil
	}
	return x
}

// loadAtOnce machines are brought in at a time: all 1,636 of the largest known
// deployment, with 40,000 tasks, take 100 ms.
const loadAtOnce = 200

// load brings some of the snapshot's machines in, with what runs there; false
// tells that all are.
func (x *run) load() bool {
	all := x.f.s.Machines
	if x.loaded == len(all) {
		return false
	}
	next := min(len(all), x.loaded+loadAtOnce)
	for i := x.loaded; i < next; i++ {
		x.machine(&all[i])
	}
	if x.loaded = next; x.loaded == len(all) {
		x.rest()
	}
	return true
}

func (x *run) machine(m *Machine) {
	x.r.AddMachine(x.now, m.Machine, m.Usable)
	if !slices.Contains(x.zones, m.Zone) {
		x.zones = append(x.zones, m.Zone)
	}
	for _, t := range m.Tasks {
		j := x.byID[t.Task.Job]
		if j == nil || x.on[t.Task.Job][t.Task.Index] {
			continue
		}
		if x.on[t.Task.Job] == nil {
			x.on[t.Task.Job] = map[int32]bool{}
		}
		x.on[t.Task.Job][t.Task.Index] = true
		b := x.r.AddRunning(x.now, m.ID, x.deal(j, t.Task.Index, model.None), t.RunTime)
		j.running++
		x.usage[j.Spec.Team] = x.usage[j.Spec.Team].Add(j.Spec.PerTask)
		left := x.whole(j, t.Task, t.RunTime) - t.RunTime
		if t.Adopted { // it has run for some part of that already
			left = time.Duration(float64(left) * x.f.luck(model.Task{Job: ^t.Task.Job, Index: t.Task.Index}))
		}
		x.schedule(j, b, left)
	}
}

// rest lets the tasks wait that run nowhere.
func (x *run) rest() {
	for _, j := range x.jobs {
		n := j.left - len(x.on[j.Spec.ID])
		for no := int32(0); n > 0; no++ {
			if !x.on[j.Spec.ID][no] {
				j.undealt = append(j.undealt, no)
				n--
			}
		}
	}
	x.on = nil
}

func (x *run) deal(j *job, no int32, zone model.Name) model.Assignment {
	return model.Assignment{Task: model.Task{Job: j.Spec.ID, Index: no}, Spec: j.Spec, Price: j.price, Zone: zone, WaitingSince: j.Since}
}

// whole is a task's run time in this play; one that has run for long is known to
// take longer.
func (x *run) whole(j *job, t model.Task, ran time.Duration) time.Duration {
	part := x.f.luck(t)
	for range 8 {
		d := time.Duration(float64(j.Spec.Estimate) * x.f.s.RunTimeFactor(j.Spec.Class, part))
		if d > ran {
			return d
		}
		part = (part + 1) / 2
	}
	return ran + j.Spec.Estimate/20 + time.Millisecond
}

// schedule lets a task that runs come to its end.
func (x *run) schedule(j *job, b shard.StartedTask, left time.Duration) {
	if !j.Spec.Daemon {
		heap.Push(&x.heap, ending{x.now + b.FetchTime + max(left, time.Millisecond), b.Task, b.Attempt})
	}
}

// step plays one step of time.
func (x *run) step() {
	if x.load() {
		return
	}
	x.now += x.f.p.Step
	for len(x.heap) > 0 && x.heap[0].at <= x.now {
		x.ended(heap.Pop(&x.heap).(ending))
	}
	if x.now-x.priced >= 5*time.Second {
		x.reprice()
	}
	x.arrivals()
	if x.e != nil {
		x.drain()
	}
	x.dealAll()
	begun, stopped := x.r.Place(x.now)
	for _, s := range stopped {
		x.stopped(s, false)
	}
	for _, b := range begun {
		x.begun(b)
	}
	x.wait()
	planned := x.e == nil || x.planEnd > 0
	if x.open == 0 && planned || x.now-x.f.s.Now >= x.f.p.MaxDuration {
		x.over = true
		if x.e != nil && x.planEnd == 0 {
			x.planEnd, x.held = x.f.p.MaxDuration, x.waitsFor()
		}
	}
}

// part is how much of this run is played, at a guess.
func (x *run) part() float64 {
	if x.over || len(x.jobs) == 0 {
		return 1
	}
	return 1 - float64(x.open)/float64(len(x.jobs)+1)
}

func (x *run) ended(e ending) {
	j := x.byID[e.task.Job]
	if j == nil || !x.r.FinishTask(x.now, e.task, e.attempt) {
		return
	}
	j.left--
	j.running--
	x.usage[j.Spec.Team] = x.usage[j.Spec.Team].Sub(j.Spec.PerTask)
	if j.left == 0 {
		x.ends[j.Spec.ID] = e.at - x.f.s.Now
		x.open--
	}
}

func (x *run) begun(b shard.StartedTask) {
	j := x.byID[b.Task.Job]
	j.running++
	left := x.whole(j, b.Task, 0) - j.saved[b.Task.Index]
	x.schedule(j, b, left)
	if c, ok := x.costs[b.Task.Job]; ok && x.e != nil && c.moved > 0 {
		c.refetch += b.FetchTime
		x.costs[b.Task.Job] = c
	}
}

// stopped keeps what a task has saved: all where it was given time to, else what
// it saved by itself.
func (x *run) stopped(s shard.StoppedTask, moved bool) {
	j := x.byID[s.Task.Job]
	j.running--
	ran := max(0, s.RunTime)
	kept := time.Duration(0)
	if cp := j.Spec.CheckpointInterval; cp > 0 {
		if kept = ran - ran%cp; moved {
			kept = ran
		}
	}
	if kept > 0 {
		if j.saved == nil {
			j.saved = map[int32]time.Duration{}
		}
		j.saved[s.Task.Index] += kept
	}
	if moved {
		c := x.costs[s.Task.Job]
		c.moved++
		c.lost += ran - kept
		x.costs[s.Task.Job] = c
	}
}

// reprice tells which jobs fit into their team's guarantee.
func (x *run) reprice() {
	x.priced = x.now
	g := dispatcher.NewGuaranteeChecker(x.f.s.Teams)
	for _, j := range x.jobs {
		if j.left == 0 {
			continue
		}
		j.within = g.Fits(j.Spec, int64(j.left))
		if p := dispatcher.Price(j.Spec.Rank, j.within); p != j.price {
			j.price = p
			x.r.RepriceJob(j.Spec.ID, p)
		}
	}
}

// dealAll gives the shard what teams' limits allow, the highest price times wait
// first.
func (x *run) dealAll() {
	var jobs []*job
	for _, j := range x.jobs {
		if len(j.undealt) > 0 {
			jobs = append(jobs, j)
		}
	}
	score := func(j *job) float64 { return j.Spec.Score(j.price, x.now-j.Since) }
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(score(b), score(a)) })
	for _, j := range jobs {
		team := j.Spec.Team
		n := min(int64(len(j.undealt)), j.Spec.PerTask.Count(x.f.s.Teams[team].Remaining(x.usage[team])))
		for _, no := range j.undealt[:n] {
			x.r.AddWaiting(x.now, x.deal(j, no, x.zone(j)))
		}
		j.undealt = j.undealt[n:]
		x.usage[team] = x.usage[team].Add(j.Spec.PerTask.Times(n))
	}
}

// zone is where a job whose tasks' zones depend on each other goes next: all to
// one, or to all in turn.
func (x *run) zone(j *job) model.Name {
	switch {
	case len(x.zones) == 0 || !j.Spec.SameZone && !j.Spec.Spread:
		return model.None
	case j.Spec.Spread:
		j.zones++
	}
	return x.zones[(int(j.Spec.ID)+j.zones)%len(x.zones)]
}

// wait notes for how long work within its guarantee has had no room.
func (x *run) wait() {
	waiting := x.r.WaitingJobs()
	for _, j := range x.jobs {
		if j.left == 0 || !j.within || !waiting[j.Spec.ID] {
			j.waited = 0
			continue
		}
		if j.waited == 0 {
			j.waited = x.now
		}
		x.waits[j.Spec.Team] = max(x.waits[j.Spec.Team], x.now-j.waited)
	}
}

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

// completion is the time at which an attempt of a task completes unless it is stopped before.
type completion struct {
	endsAt  time.Duration
	task    model.Task
	attempt uint64
}

// completionHeap implements heap.Interface, the earliest completion first.
type completionHeap []completion

func (h completionHeap) Len() int { return len(h) }
func (h completionHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].endsAt, h[j].endsAt), h[i].task.Compare(h[j].task)) < 0
}
func (h completionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)   { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// job is the state of an open job in a simulated run.
type job struct {
	*Job
	unfinished      int     // tasks not done
	undispatched    []int32 // tasks not handed to the shard yet
	runningTasks    int     // tasks on machines
	price           float64
	withinGuarantee bool                    // it fits into its team's guarantee
	waitingSince    time.Duration           // since when it waits for capacity within its guarantee, 0: it does not
	zoneIndex       int                     // offset of the zone last used, if its tasks are spread over zones
	saved           map[int32]time.Duration // run time saved in checkpoints, by task index
}

// run is one simulated run, without or with the plan.
type run struct {
	forecast       *Forecast
	simulation     *shard.Simulation
	engine         *drain.Engine // nil: without the plan
	now            time.Duration
	done           bool // the run is over
	jobs           []*job
	byID           map[model.JobID]*job
	unfinishedJobs int               // jobs still to end; services never do
	usage          []model.Resources // resources in use, by team
	completions    completionHeap
	zones          []model.Name                      // of all machines
	booting        []bootingMachine                  // rented machines that are not up yet
	patchDoneAt    map[model.MachineID]time.Duration // when machines being patched will be patched
	lastMachineID  model.MachineID                   // newest ID of a rented machine
	repricedAt     time.Duration                     // when prices were last updated
	loadedMachines int                               // number of the snapshot's machines loaded into the simulation
	loadedTasks    map[model.JobID]map[int32]bool    // tasks that run at the start, while machines are loaded

	jobEnds        map[model.JobID]time.Duration // when jobs ended, since the start of the forecast
	costs          map[model.JobID]cost
	guaranteeWaits []time.Duration // longest wait for capacity within the guarantee, by team
	planDuration   time.Duration   // 0: the plan has not ended yet
	blockedReason  string          // what the plan waited for at the end, if it did not end
}

// bootingMachine is a rented machine that comes up at upAt.
type bootingMachine struct {
	upAt    time.Duration
	machine model.Machine
}

// newRun returns a run that starts from the snapshot. A nil plan means the run without the plan.
func newRun(f *Forecast, plan StartPlan) *run {
	s := f.snapshot
	r := &run{forecast: f, now: s.Now, byID: make(map[model.JobID]*job, len(s.Jobs)),
		usage: make([]model.Resources, len(s.Teams)), loadedTasks: map[model.JobID]map[int32]bool{},
		patchDoneAt: map[model.MachineID]time.Duration{}, lastMachineID: 1 << 40,
		jobEnds: map[model.JobID]time.Duration{}, costs: map[model.JobID]cost{},
		guaranteeWaits: make([]time.Duration, len(s.Teams)),
		simulation:     shard.NewSimulation(s.Shard, rand.New(rand.NewPCG(f.params.Seed, uint64(f.runIndex))))}
	for i := range s.Jobs {
		j := &job{Job: &s.Jobs[i], unfinished: s.Jobs[i].UnfinishedTasks, price: dispatcher.Price(s.Jobs[i].Spec.Rank, false)}
		r.jobs = append(r.jobs, j)
		r.byID[j.Spec.ID] = j
		if !j.Spec.Daemon {
			r.unfinishedJobs++
		}
	}
	r.repriceJobs()
	if plan != nil {
		r.engine = drain.New(drain.Params{Term: 1, ReportInterval: f.params.Step, RetryInterval: 15 * time.Second,
			MaxMachines: len(s.Machines) + 1})
		f.err = plan(r.engine, r.now, s.Wall)
		r.done = f.err != nil
	}
	return r
}

// machinesPerStep is how many machines of the snapshot one step loads. Loading all 1,636 machines of
// the largest known deployment, with 40,000 tasks, takes 100 ms, which is too long for one step.
const machinesPerStep = 200

// loadMachines loads the next machines of the snapshot with their tasks. It returns false if all were
// loaded before.
func (r *run) loadMachines() bool {
	all := r.forecast.snapshot.Machines
	if r.loadedMachines == len(all) {
		return false
	}
	next := min(len(all), r.loadedMachines+machinesPerStep)
	for i := r.loadedMachines; i < next; i++ {
		r.loadMachine(&all[i])
	}
	if r.loadedMachines = next; r.loadedMachines == len(all) {
		r.queueWaiting()
	}
	return true
}

// loadMachine adds a machine and its running tasks to the simulation. A task that is on two machines
// counts only on the first.
func (r *run) loadMachine(m *Machine) {
	r.simulation.AddMachine(r.now, m.Machine, m.Usable)
	if !slices.Contains(r.zones, m.Zone) {
		r.zones = append(r.zones, m.Zone)
	}
	for _, t := range m.Tasks {
		j := r.byID[t.Task.Job]
		if j == nil || r.loadedTasks[t.Task.Job][t.Task.Index] {
			continue
		}
		if r.loadedTasks[t.Task.Job] == nil {
			r.loadedTasks[t.Task.Job] = map[int32]bool{}
		}
		r.loadedTasks[t.Task.Job][t.Task.Index] = true
		started := r.simulation.AddRunning(r.now, m.ID, r.assignment(j, t.Task.Index, model.None), t.RunTime)
		j.runningTasks++
		r.usage[j.Spec.Team] = r.usage[j.Spec.Team].Add(j.Spec.PerTask)
		remaining := r.totalRunTime(j, t.Task, t.RunTime) - t.RunTime
		if t.Adopted { // it had already run for an unknown part of that time when it was found
			remaining = time.Duration(float64(remaining) * r.forecast.randomQuantile(model.Task{Job: ^t.Task.Job,
				Index: t.Task.Index}))
		}
		r.scheduleCompletion(j, started, remaining)
	}
}

// queueWaiting adds the unfinished tasks that run on no machine to those that wait to be dispatched.
func (r *run) queueWaiting() {
	for _, j := range r.jobs {
		remaining := j.unfinished - len(r.loadedTasks[j.Spec.ID])
		for index := int32(0); remaining > 0; index++ {
			if !r.loadedTasks[j.Spec.ID][index] {
				j.undispatched = append(j.undispatched, index)
				remaining--
			}
		}
	}
	r.loadedTasks = nil
}

// assignment returns the assignment of a task to the shard.
func (r *run) assignment(j *job, index int32, zone model.Name) model.Assignment {
	return model.Assignment{Task: model.Task{Job: j.Spec.ID, Index: index}, Spec: j.Spec, Price: j.price, Zone: zone,
		WaitingSince: j.WaitingSince}
}

// totalRunTime returns a task's run time in this run. The quantile is raised for a task that has
// already run for longer.
func (r *run) totalRunTime(j *job, t model.Task, elapsed time.Duration) time.Duration {
	quantile := r.forecast.randomQuantile(t)
	for range 8 {
		d := time.Duration(float64(j.Spec.Estimate) * r.forecast.snapshot.RunTimeFactor(j.Spec.Class, quantile))
		if d > elapsed {
			return d
		}
		quantile = (quantile + 1) / 2
	}
	return elapsed + j.Spec.Estimate/20 + time.Millisecond
}

// scheduleCompletion schedules the completion of a task that has started. Replicas of services never
// complete.
func (r *run) scheduleCompletion(j *job, started shard.StartedTask, remaining time.Duration) {
	if !j.Spec.Daemon {
		heap.Push(&r.completions, completion{r.now + started.FetchTime + max(remaining, time.Millisecond), started.Task,
			started.Attempt})
	}
}

// step simulates one step of time, or loads machines if some are left.
func (r *run) step() {
	if r.loadMachines() {
		return
	}
	r.now += r.forecast.params.Step
	for len(r.completions) > 0 && r.completions[0].endsAt <= r.now {
		r.completeTask(heap.Pop(&r.completions).(completion))
	}
	if r.now-r.repricedAt >= 5*time.Second {
		r.repriceJobs()
	}
	r.updateMachines()
	if r.engine != nil {
		r.advancePlan()
	}
	r.dispatchAll()
	started, stopped := r.simulation.Place(r.now)
	for _, task := range stopped {
		r.taskStopped(task, false)
	}
	for _, task := range started {
		r.taskStarted(task)
	}
	r.recordWaits()
	planEnded := r.engine == nil || r.planDuration > 0
	if r.unfinishedJobs == 0 && planEnded || r.now-r.forecast.snapshot.Now >= r.forecast.params.MaxDuration {
		r.done = true
		if r.engine != nil && r.planDuration == 0 {
			r.planDuration, r.blockedReason = r.forecast.params.MaxDuration, r.planBlocker()
		}
	}
}

// progress estimates the completed fraction of this run by the number of jobs that have ended.
func (r *run) progress() float64 {
	if r.done || len(r.jobs) == 0 {
		return 1
	}
	return 1 - float64(r.unfinishedJobs)/float64(len(r.jobs)+1)
}

// completeTask finishes a task, unless it was stopped since the completion was scheduled.
func (r *run) completeTask(completed completion) {
	j := r.byID[completed.task.Job]
	if j == nil || !r.simulation.FinishTask(r.now, completed.task, completed.attempt) {
		return
	}
	j.unfinished--
	j.runningTasks--
	r.usage[j.Spec.Team] = r.usage[j.Spec.Team].Sub(j.Spec.PerTask)
	if j.unfinished == 0 {
		r.jobEnds[j.Spec.ID] = completed.endsAt - r.forecast.snapshot.Now
		r.unfinishedJobs--
	}
}

// taskStarted schedules the completion of a started task, less the run time that it has saved.
func (r *run) taskStarted(started shard.StartedTask) {
	j := r.byID[started.Task.Job]
	j.runningTasks++
	remaining := r.totalRunTime(j, started.Task, 0) - j.saved[started.Task.Index]
	r.scheduleCompletion(j, started, remaining)
	if c, ok := r.costs[started.Task.Job]; ok && r.engine != nil && c.moved > 0 {
		c.refetch += started.FetchTime
		r.costs[started.Task.Job] = c
	}
}

// taskStopped keeps the progress that a stopped task with checkpoints has saved: all of it if the task
// was moved, because it then saves before it stops; otherwise that of its last periodic checkpoint.
func (r *run) taskStopped(stopped shard.StoppedTask, moved bool) {
	j := r.byID[stopped.Task.Job]
	j.runningTasks--
	runTime := max(0, stopped.RunTime)
	savedTime := time.Duration(0)
	if cp := j.Spec.CheckpointInterval; cp > 0 {
		if savedTime = runTime - runTime%cp; moved {
			savedTime = runTime
		}
	}
	if savedTime > 0 {
		if j.saved == nil {
			j.saved = map[int32]time.Duration{}
		}
		j.saved[stopped.Task.Index] += savedTime
	}
	if moved {
		c := r.costs[stopped.Task.Job]
		c.moved++
		c.lost += runTime - savedTime
		r.costs[stopped.Task.Job] = c
	}
}

// repriceJobs updates which jobs fit into their team's guarantee, and their prices.
func (r *run) repriceJobs() {
	r.repricedAt = r.now
	guarantees := dispatcher.NewGuaranteeChecker(r.forecast.snapshot.Teams)
	for _, j := range r.jobs {
		if j.unfinished == 0 {
			continue
		}
		j.withinGuarantee = guarantees.Fits(j.Spec, int64(j.unfinished))
		if price := dispatcher.Price(j.Spec.Rank, j.withinGuarantee); price != j.price {
			j.price = price
			r.simulation.RepriceJob(j.Spec.ID, price)
		}
	}
}

// dispatchAll hands waiting tasks to the shard as far as teams' limits allow, in order of the jobs'
// scores, the highest first.
func (r *run) dispatchAll() {
	var jobs []*job
	for _, j := range r.jobs {
		if len(j.undispatched) > 0 {
			jobs = append(jobs, j)
		}
	}
	score := func(j *job) float64 { return j.Spec.Score(j.price, r.now-j.WaitingSince) }
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(score(b), score(a)) })
	for _, j := range jobs {
		team := j.Spec.Team
		count := min(int64(len(j.undispatched)),
			j.Spec.PerTask.Count(r.forecast.snapshot.Teams[team].Remaining(r.usage[team])))
		for _, index := range j.undispatched[:count] {
			r.simulation.AddWaiting(r.now, r.assignment(j, index, r.nextZone(j)))
		}
		j.undispatched = j.undispatched[count:]
		r.usage[team] = r.usage[team].Add(j.Spec.PerTask.Times(count))
	}
}

// nextZone returns the zone for a job's next task: one zone for all tasks, or each zone in turn, if
// the job asks for either; otherwise none.
func (r *run) nextZone(j *job) model.Name {
	switch {
	case len(r.zones) == 0 || !j.Spec.SameZone && !j.Spec.Spread:
		return model.None
	case j.Spec.Spread:
		j.zoneIndex++
	}
	return r.zones[(int(j.Spec.ID)+j.zoneIndex)%len(r.zones)]
}

// recordWaits updates how long jobs within their team's guarantee have waited for capacity.
func (r *run) recordWaits() {
	waiting := r.simulation.WaitingJobs()
	for _, j := range r.jobs {
		if j.unfinished == 0 || !j.withinGuarantee || !waiting[j.Spec.ID] {
			j.waitingSince = 0
			continue
		}
		if j.waitingSince == 0 {
			j.waitingSince = r.now
		}
		r.guaranteeWaits[j.Spec.Team] = max(r.guaranteeWaits[j.Spec.Team], r.now-j.waitingSince)
	}
}

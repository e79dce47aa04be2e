package shard

import (
	"math"
	"math/rand/v2"
	"time"

	"honeylock/internal/core/model"
)

// Simulation is a shard of make-believe, which owns all machines of a snapshot and
// whose workers obey at once. It places, evicts and demotes with the same code as
// a shard that acts, so that what would happen can be told beforehand.
type Simulation struct {
	s       *Shard
	begun   []*slot // reserved since the last Place
	stopped []*slot // told to stop since
}

// StartedTask is a task that a rehearsal has put on a machine.
type StartedTask struct {
	Task      model.Task
	Spec      *model.Spec
	Machine   model.MachineID
	Attempt   uint64
	FetchTime time.Duration // until its image is there
}

// StoppedTask is a task that had to leave its machine.
type StoppedTask struct {
	Task    model.Task
	Attempt uint64
	RunTime time.Duration
}

// NewSimulation returns a rehearsal without machines.
func NewSimulation(p Params, rng *rand.Rand) *Simulation {
	r := &Simulation{s: New(p, 0, rng)}
	r.s.until = math.MaxInt64
	r.s.rehearsal = r
	return r
}

// AddMachine adds one, ready from the start.
func (r *Simulation) AddMachine(now time.Duration, m model.Machine, usable bool) {
	r.s.own(now, model.Order{Machine: m, Usable: usable})
	x := r.s.machines[m.ID]
	x.fenced = true
	x.answered = math.MaxInt64 / 2 // it is never overdue
}

// SetUsable lets a machine have tasks, or not.
func (r *Simulation) SetUsable(now time.Duration, id model.MachineID, usable bool) {
	r.s.HandleOrder(now, model.Order{Kind: model.SetUsable, ID: id, Usable: usable})
}

// AddRunning adds a task that is on a machine.
func (r *Simulation) AddRunning(now time.Duration, id model.MachineID, d model.Assignment, ran time.Duration) StartedTask {
	m := r.s.machines[id]
	r.s.attempt++
	t := &task{Assignment: d, price: d.Price}
	sl := &slot{key: key{d.Task, r.s.attempt}, t: t, each: d.Spec.PerTask, sent: true, state: live, stage: model.Running,
		runSince: now - ran}
	t.slot = sl
	r.s.tasks[d.Task] = t
	r.s.put(m, sl)
	m.used = m.used.Add(sl.each)
	m.images[d.Spec.Image] = true
	return StartedTask{Task: d.Task, Spec: d.Spec, Machine: id, Attempt: sl.attempt}
}

// AddWaiting adds a task that waits.
func (r *Simulation) AddWaiting(now time.Duration, d model.Assignment) { r.s.give(now, d) }

// RepriceJob changes the price of a job's tasks.
func (r *Simulation) RepriceJob(job model.JobID, price float64) {
	r.s.reprice(job, price, model.ObjectiveUnchanged)
}

// Place places what waits, on whichever machine, and carries the evictions out.
// Tasks that had to stop wait again.
func (r *Simulation) Place(now time.Duration) (begun []StartedTask, stopped []StoppedTask) {
	r.s.replan = true
	r.s.Place(now)
	for _, sl := range r.stopped {
		if sl.t != nil && sl.state != exited {
			stopped = append(stopped, r.stop(now, sl))
		}
	}
	r.stopped = r.stopped[:0]
	for _, sl := range r.begun {
		t := sl.t
		if t == nil || t.slot != sl {
			continue // it was taken back
		}
		fetch := time.Duration(0)
		if sl.fetches {
			fetch = sl.m.pull(t.Spec)
		}
		sl.sent, sl.state, sl.stage, sl.runSince = true, live, model.Running, now+fetch
		begun = append(begun, StartedTask{Task: sl.task, Spec: t.Spec, Machine: sl.m.ID, Attempt: sl.attempt, FetchTime: fetch})
	}
	r.begun = r.begun[:0]
	r.s.events = r.s.events[:0]
	r.s.directs = nil
	return begun, stopped
}

// stop takes a task off its machine, and lets it wait again.
func (r *Simulation) stop(now time.Duration, sl *slot) StoppedTask {
	out := StoppedTask{sl.task, sl.attempt, sl.ran(now)}
	r.s.drop(now, sl)
	r.s.landed(now, sl, model.CauseStopped)
	return out
}

// FinishTask ends a task on its machine; false tells that it is not there any more.
func (r *Simulation) FinishTask(now time.Duration, t model.Task, attempt uint64) bool {
	x := r.s.tasks[t]
	if x == nil || x.slot == nil || x.slot.attempt != attempt {
		return false
	}
	delete(r.s.tasks, t)
	x.slot.t = nil
	x.slot.m.priced = false
	r.s.drop(now, x.slot)
	return true
}

// Recall stops a task on a machine and lets it wait again.
func (r *Simulation) Recall(now time.Duration, id model.MachineID, t model.Task) (StoppedTask, bool) {
	x := r.s.tasks[t]
	if x == nil || x.on() == nil || x.on().ID != id {
		return StoppedTask{}, false
	}
	return r.stop(now, x.slot), true
}

// RemoveMachine takes an empty machine away.
func (r *Simulation) RemoveMachine(id model.MachineID) {
	if m := r.s.machines[id]; m != nil && len(m.slots) == 0 {
		r.s.remove(m)
	}
}

// TasksOn tells what is on a machine.
func (r *Simulation) TasksOn(now time.Duration, id model.MachineID) []model.PlacedTask {
	if m := r.s.machines[id]; m != nil {
		return m.on(now)
	}
	return nil
}

// ForEachMachine calls f for every machine, in order.
func (r *Simulation) ForEachMachine(now time.Duration, f func(st model.MachineStatus)) {
	for _, m := range r.s.order {
		f(m.summary(r.s.brief(now, m)))
	}
}

// WaitingJobs are the jobs with tasks that wait.
func (r *Simulation) WaitingJobs() map[model.JobID]bool {
	out := map[model.JobID]bool{}
	for k, g := range r.s.queue {
		if len(g.tasks) > 0 {
			out[k.job] = true
		}
	}
	return out
}

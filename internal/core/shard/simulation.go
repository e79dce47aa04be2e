package shard

import (
	"math"
	"math/rand/v2"
	"time"

	"honeylock/internal/core/model"
)

// Simulation is a shard without real workers. It owns all machines of a snapshot, and its
// commands take effect at once. It places, evicts and demotes with the same code as a real
// shard, so that the effect of a change can be forecast.
type Simulation struct {
	shard   *Shard
	started []*attempt // created since the last Place
	stopped []*attempt // stopped since the last Place
}

// StartedTask is a task that a simulation has started on a machine.
type StartedTask struct {
	Task      model.Task
	Spec      *model.Spec
	Machine   model.MachineID
	Attempt   uint64
	FetchTime time.Duration // time to pull the image before the task runs
}

// StoppedTask is a task that a simulation has stopped on its machine.
type StoppedTask struct {
	Task    model.Task
	Attempt uint64
	RunTime time.Duration // of the stopped attempt
}

// NewSimulation returns a simulation without machines.
func NewSimulation(params Params, rng *rand.Rand) *Simulation {
	sim := &Simulation{shard: New(params, 0, rng)}
	sim.shard.grantedUntil = math.MaxInt64
	sim.shard.simulation = sim
	return sim
}

// AddMachine adds a machine, which is ready for tasks at once.
func (sim *Simulation) AddMachine(now time.Duration, m model.Machine, usable bool) {
	sim.shard.ownMachine(now, model.Order{Machine: m, Usable: usable})
	added := sim.shard.machines[m.ID]
	added.fenced = true
	added.answeredAt = math.MaxInt64 / 2 // its reports are never overdue
}

// SetUsable sets whether tasks may be placed on a machine.
func (sim *Simulation) SetUsable(now time.Duration, id model.MachineID, usable bool) {
	sim.shard.HandleOrder(now, model.Order{Kind: model.SetUsable, ID: id, Usable: usable})
}

// AddRunning adds a task that has been running on a machine for the given time.
func (sim *Simulation) AddRunning(now time.Duration, id model.MachineID, assignment model.Assignment,
	ran time.Duration) StartedTask {
	m := sim.shard.machines[id]
	sim.shard.lastAttempt++
	t := &task{Assignment: assignment, price: assignment.Price}
	a := &attempt{attemptKey: attemptKey{assignment.Task, sim.shard.lastAttempt}, assigned: t,
		resources: assignment.Spec.PerTask, launchSent: true, state: live, stage: model.Running,
		runningSince: now - ran}
	t.attempt = a
	sim.shard.tasks[assignment.Task] = t
	sim.shard.addAttempt(m, a)
	m.images[assignment.Spec.Image] = true
	return StartedTask{Task: assignment.Task, Spec: assignment.Spec, Machine: id, Attempt: a.number}
}

// AddWaiting adds a task that waits for a machine.
func (sim *Simulation) AddWaiting(now time.Duration, assignment model.Assignment) {
	sim.shard.acceptAssignment(now, assignment)
}

// RepriceJob changes the price of all tasks of a job.
func (sim *Simulation) RepriceJob(job model.JobID, price float64) {
	sim.shard.repriceJob(job, price, model.ObjectiveUnchanged)
}

// Place runs a full placement round and carries out its evictions. It returns the tasks
// that were started and those that were stopped. Stopped tasks wait again.
func (sim *Simulation) Place(now time.Duration) (started []StartedTask, stopped []StoppedTask) {
	sim.shard.replanAll = true
	sim.shard.Place(now)
	for _, a := range sim.stopped {
		if a.assigned != nil && a.state != exited {
			stopped = append(stopped, sim.stopTask(now, a))
		}
	}
	sim.stopped = sim.stopped[:0]
	for _, a := range sim.started {
		t := a.assigned
		if t == nil || t.attempt != a {
			continue // it was cancelled before its launch
		}
		fetch := time.Duration(0)
		if a.fetchesImage {
			fetch = a.machine.pullTime(t.Spec)
		}
		a.launchSent, a.state, a.stage, a.runningSince = true, live, model.Running, now+fetch
		started = append(started, StartedTask{Task: a.task, Spec: t.Spec, Machine: a.machine.ID, Attempt: a.number,
			FetchTime: fetch})
	}
	sim.started = sim.started[:0]
	sim.shard.events = sim.shard.events[:0]
	sim.shard.directCommands = nil
	return started, stopped
}

// stopTask removes a task from its machine and queues it again.
func (sim *Simulation) stopTask(now time.Duration, a *attempt) StoppedTask {
	stopped := StoppedTask{a.task, a.number, a.ran(now)}
	sim.shard.removeAttempt(now, a)
	sim.shard.settleTask(now, a, model.CauseStopped)
	return stopped
}

// FinishTask completes a task on its machine. It returns false if that attempt is not there any more.
func (sim *Simulation) FinishTask(now time.Duration, t model.Task, attempt uint64) bool {
	finished := sim.shard.tasks[t]
	if finished == nil || finished.attempt == nil || finished.attempt.number != attempt {
		return false
	}
	delete(sim.shard.tasks, t)
	finished.attempt.assigned = nil
	finished.attempt.machine.minPriceValid = false
	sim.shard.removeAttempt(now, finished.attempt)
	return true
}

// Recall stops a task on the given machine and queues it again. It returns false if the task is not
// on that machine.
func (sim *Simulation) Recall(now time.Duration, id model.MachineID, t model.Task) (StoppedTask, bool) {
	recalled := sim.shard.tasks[t]
	if recalled == nil || recalled.machine() == nil || recalled.machine().ID != id {
		return StoppedTask{}, false
	}
	return sim.stopTask(now, recalled.attempt), true
}

// RemoveMachine removes a machine if it has no attempts.
func (sim *Simulation) RemoveMachine(id model.MachineID) {
	if m := sim.shard.machines[id]; m != nil && len(m.attempts) == 0 {
		sim.shard.removeMachine(m)
	}
}

// TasksOn returns the tasks on a machine.
func (sim *Simulation) TasksOn(now time.Duration, id model.MachineID) []model.PlacedTask {
	if m := sim.shard.machines[id]; m != nil {
		return m.placedTasks(now)
	}
	return nil
}

// ForEachMachine calls f with the status of each machine, in order of their IDs.
func (sim *Simulation) ForEachMachine(now time.Duration, f func(status model.MachineStatus)) {
	for _, m := range sim.shard.sortedMachines {
		f(m.status(sim.shard.summarize(now, m)))
	}
}

// WaitingJobs returns the jobs with waiting tasks.
func (sim *Simulation) WaitingJobs() map[model.JobID]bool {
	out := map[model.JobID]bool{}
	for k, g := range sim.shard.waiting {
		if len(g.tasks) > 0 {
			out[k.job] = true
		}
	}
	return out
}

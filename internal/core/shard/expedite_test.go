package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// fillWithSmallTasks keeps the machines full of small tasks until a task of the job starts, or for
// three minutes. If expedite is true, the job is expedited. It returns how long that took.
func (h *harness) fillWithSmallTasks(machines int, job model.JobID, expedite bool) time.Duration {
	type runningTask struct {
		c   model.AttemptStatus
		end time.Duration
	}
	running := map[model.MachineID][]runningTask{}
	spec := h.spec(1, model.Urgent, 1)
	next := int32(0)
	start := h.now
	for h.now < start+3*time.Minute {
		for len(h.shard.waiting[groupKey{1, model.None}].waitingTasks()) < 20 {
			h.assign(spec, next, 100)
			next++
		}
		if expedite {
			h.shard.HandleOrder(h.now, model.Order{Kind: model.ExpediteJob, Job: job})
		}
		for id := range model.MachineID(machines) {
			var attempts []model.AttemptStatus
			for i, o := range running[id] {
				if h.now >= o.end {
					o.c.Stage, o.c.Cause = model.Exited, model.CauseDone
					running[id][i] = o
				}
				attempts = append(attempts, o.c)
			}
			var remaining []runningTask
			for _, o := range running[id] {
				if o.c.Stage != model.Exited {
					remaining = append(remaining, o)
				}
			}
			running[id] = remaining
			for _, c := range h.report(id, 5, attempts...) {
				if c.Verb != model.Launch {
					continue
				}
				if c.Task.Job == job {
					return h.now - start
				}
				running[id] = append(running[id], runningTask{model.AttemptStatus{Task: c.Task, Attempt: c.Attempt,
					Stage: model.Running},
					h.now + time.Duration(5+c.Task.Index%7)*time.Second})
			}
			for _, e := range h.shard.TakeEvents() {
				if e.Kind == model.TaskFinished {
					h.shard.HandleOrder(h.now, model.Order{Kind: model.ClearAttempt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
				}
			}
		}
		h.now += time.Second
		h.shard.Tick(h.now)
	}
	return h.now - start
}

// waitingTasks returns the group's tasks; nil if there is no such group.
func (g *waitingGroup) waitingTasks() []*task {
	if g == nil {
		return nil
	}
	return g.tasks
}

// A task that needs a whole machine starts only if one is reserved for it: freed capacity goes to
// small waiting tasks otherwise.
func TestMachineIsReservedForExpeditedJob(t *testing.T) {
	run := func(expedite bool) time.Duration {
		h := newHarness(t)
		for id := range model.MachineID(4) {
			h.ownMachine(id, 5, 8)
			h.report(id, 5)
		}
		h.shard.TakeEvents()
		spec := h.spec(2, model.Idle, 8)
		h.assign(spec, 0, 1)
		// Small tasks with a higher score fill the machines before the large one is considered.
		for index := range int32(40) {
			h.assign(h.spec(1, model.Urgent, 1), 1000+index, 100)
		}
		return h.fillWithSmallTasks(4, 2, expedite)
	}
	if d := run(false); d < 3*time.Minute {
		t.Fatalf("it started after %v without being expedited: the test shows nothing", d)
	}
	if d := run(true); d > 20*time.Second {
		t.Errorf("it started after %v", d)
	}
}

// An expedited job gets the first suitable capacity that is freed on any machine, not only on one
// that is reserved. Otherwise, with machines full of long tasks, a hundred expedited jobs would wait
// for three reserved machines.
func TestFreedCapacityGoesToExpeditedJob(t *testing.T) {
	h := newHarness(t)
	full := h.spec(1, model.Urgent, 4)
	for id := range model.MachineID(2) {
		h.ownMachine(id, 5, 8)
		h.report(id, 5)
	}
	for index := range int32(12) { // four run, the others wait
		h.assign(full, index, 100)
	}
	attempts := map[model.MachineID][]model.AttemptStatus{}
	for id := range model.MachineID(2) {
		for _, c := range h.report(id, 5) {
			attempts[id] = append(attempts[id], model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Running})
		}
		h.report(id, 5, attempts[id]...)
	}
	h.assign(h.spec(2, model.Idle, 4), 0, 1)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ExpediteJob, Job: 2})
	h.now += time.Second
	h.shard.Tick(h.now) // reserves one machine for job 2
	free := model.MachineID(0)
	if h.shard.machines[0].reservedFor == 2 {
		free = 1
	}
	attempts[free][0].Stage, attempts[free][0].Cause = model.Exited, model.CauseDone
	for _, c := range h.report(free, 5, attempts[free]...) {
		if c.Verb == model.Launch && c.Task.Job == 2 {
			return
		}
	}
	t.Error("the freed capacity went to another job")
}

// Free capacity of a reserved machine is not reported as available. Otherwise the dispatcher assigns
// thousands of tasks to the shard and charges their teams, and the shard can place none of them.
func TestReservedCapacityIsNotReportedAvailable(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(0, 5, 8)
	h.report(0, 5)
	full := h.spec(1, model.Urgent, 4)
	for index := range int32(2) {
		h.assign(full, index, 100)
	}
	var attempts []model.AttemptStatus
	for _, c := range h.report(0, 5) {
		attempts = append(attempts, model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Running})
	}
	h.report(0, 5, attempts...)
	h.assign(h.spec(2, model.Idle, 8), 0, 1) // it needs the whole machine
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ExpediteJob, Job: 2})
	h.now += time.Second
	h.shard.Tick(h.now)
	attempts[0].Stage, attempts[0].Cause = model.Exited, model.CauseDone
	h.report(0, 5, attempts...)
	if m := h.shard.machines[0]; !m.reservedForOther(h.now, 1) || m.Cap.CPU-m.used.CPU < 4000 {
		t.Fatal("half of the machine is not free and reserved: the test shows nothing")
	}
	for _, st := range h.shard.TakeStatus(h.now) {
		if st.Avail.CPU > 0 {
			t.Errorf("available capacity is reported as %+v", st.Avail)
		}
	}
}

// A reservation ends once the job's first task is placed on another machine.
func TestReservationEndsOnceJobIsPlaced(t *testing.T) {
	h := newHarness(t)
	full := h.spec(1, model.Urgent, 8)
	attempts := map[model.MachineID][]model.AttemptStatus{}
	for id := range model.MachineID(2) {
		h.ownMachine(id, 5, 8)
		h.report(id, 5)
		h.assign(full, int32(id), 100)
		for _, c := range h.report(id, 5) {
			attempts[id] = append(attempts[id], model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Running})
		}
		h.report(id, 5, attempts[id]...)
	}
	h.assign(h.spec(2, model.Idle, 8), 0, 1)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ExpediteJob, Job: 2})
	h.now += time.Second
	h.shard.Tick(h.now)
	reserved, other := model.MachineID(0), model.MachineID(1)
	if h.shard.machines[other].reservedForOther(h.now, 1) {
		reserved, other = other, reserved
	}
	if !h.shard.machines[reserved].reservedForOther(h.now, 1) {
		t.Fatal("no machine is reserved: the test shows nothing")
	}
	attempts[other][0].Stage, attempts[other][0].Cause = model.Exited, model.CauseDone
	h.report(other, 5, attempts[other]...)
	if on := h.shard.tasks[model.Task{Job: 2}].machine(); on == nil || on.ID != other {
		t.Fatal("it is not placed on the other machine: the test shows nothing")
	}
	if h.shard.machines[reserved].reservedForOther(h.now, 1) {
		t.Error("the machine is still reserved")
	}
}

// An expedited job whose tasks are pinned to a zone waited for ever at a shard that had lost its machines there:
// nothing can be kept free for it, so its tasks are returned like those of other jobs.
func TestPinnedTaskOfExpeditedJobIsReturnedWithoutMachine(t *testing.T) {
	for name, zone := range map[string]model.Name{"no machine in its zone": 1, "a machine in its zone": 0} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.ownMachine(1, 5, 8)
			h.report(1, 5)
			h.assign(h.spec(1, model.Urgent, 8), 0, 100) // fills the machine
			attempt := h.report(1, 5)[0]
			running := attemptStatus(1, 0, attempt.Attempt, model.Running, 0)
			h.shard.HandleOrder(h.now, model.Order{Kind: model.AssignTask, Assignment: model.Assignment{
				Task: model.Task{Job: 2}, Spec: h.spec(2, model.Idle, 8), Price: 1, Zone: zone, WaitingSince: h.now}})
			h.shard.HandleOrder(h.now, model.Order{Kind: model.ExpediteJob, Job: 2})
			for end := h.now + maxPinnedWait + 3*time.Second; h.now < end; h.now += time.Second {
				h.report(1, 5, running)
				h.shard.Tick(h.now)
			}
			returned := len(h.takeEvents(model.TaskReturned))
			if wanted := int(zone); returned != wanted {
				t.Errorf("%d tasks returned, want %d", returned, wanted)
			}
		})
	}
}

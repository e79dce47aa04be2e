package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// small keeps machines full of small tasks, of which there are always more, until a job
// begins or the time is over. It returns how long that took.
func (r *rig) small(machines int, job model.JobID, press bool) time.Duration {
	type on struct {
		c   model.AttemptStatus
		end time.Duration
	}
	running := map[model.MachineID][]on{}
	sp := r.spec(1, model.Urgent, 1)
	next := int32(0)
	began := r.now
	for r.now < began+3*time.Minute {
		for len(r.s.queue[groupKey{1, model.None}].list()) < 20 {
			r.give(sp, next, 100)
			next++
		}
		if press {
			r.s.HandleOrder(r.now, model.Order{Kind: model.ExpediteJob, Job: job})
		}
		for id := range model.MachineID(machines) {
			var cells []model.AttemptStatus
			for i, o := range running[id] {
				if r.now >= o.end {
					o.c.Stage, o.c.Cause = model.Exited, model.CauseDone
					running[id][i] = o
				}
				cells = append(cells, o.c)
			}
			var left []on
			for _, o := range running[id] {
				if o.c.Stage != model.Exited {
					left = append(left, o)
				}
			}
			running[id] = left
			for _, c := range r.report(id, 5, cells...) {
				if c.Verb != model.Launch {
					continue
				}
				if c.Task.Job == job {
					return r.now - began
				}
				running[id] = append(running[id], on{model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Running},
					r.now + time.Duration(5+c.Task.Index%7)*time.Second})
			}
			for _, e := range r.s.TakeEvents() {
				if e.Kind == model.TaskFinished {
					r.s.HandleOrder(r.now, model.Order{Kind: model.ClearAttempt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
				}
			}
		}
		r.now += time.Second
		r.s.Tick(r.now)
	}
	return r.now - began
}

func (g *group) list() []*task {
	if g == nil {
		return nil
	}
	return g.tasks
}

// A task that needs a whole machine never found one, for each hole went to the small ones
// that waited beside it.
func TestARoomIsKeptForAJobThatShouldHaveBegun(t *testing.T) {
	play := func(press bool) time.Duration {
		r := newRig(t)
		for id := range model.MachineID(4) {
			r.own(id, 5, 8)
			r.report(id, 5)
		}
		r.s.TakeEvents()
		sp := r.spec(2, model.Idle, 8)
		r.give(sp, 0, 1)
		// The machines are full before the large one is looked at.
		for no := range int32(40) {
			r.give(r.spec(1, model.Urgent, 1), 1000+no, 100)
		}
		return r.small(4, 2, press)
	}
	if d := play(false); d < 3*time.Minute {
		t.Fatalf("it began after %v by itself: the test shows nothing", d)
	}
	if d := play(true); d > 20*time.Second {
		t.Errorf("it began after %v", d)
	}
}

// A job that should have begun gets the first room that comes free on any machine, not only
// on one that is kept for such jobs: where all are full of long tasks, a hundred jobs waited
// for three machines.
func TestRoomThatComesFreeGoesToAJobThatShouldHaveBegun(t *testing.T) {
	r := newRig(t)
	full := r.spec(1, model.Urgent, 4)
	for id := range model.MachineID(2) {
		r.own(id, 5, 8)
		r.report(id, 5)
	}
	for no := range int32(12) { // four run, the others wait
		r.give(full, no, 100)
	}
	cells := map[model.MachineID][]model.AttemptStatus{}
	for id := range model.MachineID(2) {
		for _, c := range r.report(id, 5) {
			cells[id] = append(cells[id], model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Running})
		}
		r.report(id, 5, cells[id]...)
	}
	r.give(r.spec(2, model.Idle, 4), 0, 1)
	r.s.HandleOrder(r.now, model.Order{Kind: model.ExpediteJob, Job: 2})
	r.now += time.Second
	r.s.Tick(r.now) // one machine is kept for it
	free := model.MachineID(0)
	if r.s.machines[0].keptFor == 2 {
		free = 1
	}
	cells[free][0].Stage, cells[free][0].Cause = model.Exited, model.CauseDone
	for _, c := range r.report(free, 5, cells[free]...) {
		if c.Verb == model.Launch && c.Task.Job == 2 {
			return
		}
	}
	t.Error("the room went to another job")
}

// The room of a machine that is kept for one job is no room for others: told of it, the dealer
// dealt thousands of tasks to the shard, which could place none, and charged their teams.
func TestRoomThatIsKeptIsNotOffered(t *testing.T) {
	r := newRig(t)
	r.own(0, 5, 8)
	r.report(0, 5)
	full := r.spec(1, model.Urgent, 4)
	for no := range int32(2) {
		r.give(full, no, 100)
	}
	var cells []model.AttemptStatus
	for _, c := range r.report(0, 5) {
		cells = append(cells, model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Running})
	}
	r.report(0, 5, cells...)
	r.give(r.spec(2, model.Idle, 8), 0, 1) // it needs the whole machine
	r.s.HandleOrder(r.now, model.Order{Kind: model.ExpediteJob, Job: 2})
	r.now += time.Second
	r.s.Tick(r.now)
	cells[0].Stage, cells[0].Cause = model.Exited, model.CauseDone
	r.report(0, 5, cells...)
	if m := r.s.machines[0]; !m.kept(r.now, 1) || m.Cap.CPU-m.used.CPU < 4000 {
		t.Fatal("half of the machine is not free and kept: the test shows nothing")
	}
	for _, st := range r.s.TakeStatus(r.now) {
		if st.Avail.CPU > 0 {
			t.Errorf("it offers %+v", st.Avail)
		}
	}
}

// A machine is kept no longer once the job's first task has room on another.
func TestAMachineIsKeptNoLongerThanItIsNeeded(t *testing.T) {
	r := newRig(t)
	full := r.spec(1, model.Urgent, 8)
	cells := map[model.MachineID][]model.AttemptStatus{}
	for id := range model.MachineID(2) {
		r.own(id, 5, 8)
		r.report(id, 5)
		r.give(full, int32(id), 100)
		for _, c := range r.report(id, 5) {
			cells[id] = append(cells[id], model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Running})
		}
		r.report(id, 5, cells[id]...)
	}
	r.give(r.spec(2, model.Idle, 8), 0, 1)
	r.s.HandleOrder(r.now, model.Order{Kind: model.ExpediteJob, Job: 2})
	r.now += time.Second
	r.s.Tick(r.now)
	kept, other := model.MachineID(0), model.MachineID(1)
	if r.s.machines[other].kept(r.now, 1) {
		kept, other = other, kept
	}
	if !r.s.machines[kept].kept(r.now, 1) {
		t.Fatal("none is kept: the test shows nothing")
	}
	cells[other][0].Stage, cells[other][0].Cause = model.Exited, model.CauseDone
	r.report(other, 5, cells[other]...)
	if on := r.s.tasks[model.Task{Job: 2}].on(); on == nil || on.ID != other {
		t.Fatal("it has not begun on the other machine: the test shows nothing")
	}
	if r.s.machines[kept].kept(r.now, 1) {
		t.Error("the machine is kept still")
	}
}

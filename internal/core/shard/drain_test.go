package shard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"honeylock/internal/core/model"
)

// Tasks on a machine that becomes unusable are returned if their launch was not sent. Otherwise such a task
// waits forever, and the machine never becomes empty.
func TestUnusableMachineReturnsUnsentTasks(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	low, high := h.spec(1, model.Idle, 8), h.spec(2, model.Urgent, 8)
	h.assign(low, 0, 1)
	h.report(1, 5)
	h.report(1, 5, attemptStatus(1, 0, 1001, model.Running, 0))
	h.now += 20 * time.Second
	h.assign(high, 0, 1000)
	h.report(1, 5, attemptStatus(1, 0, 1001, model.Running, 0)) // the victim is being stopped for the urgent task
	h.shard.HandleOrder(h.now, model.Order{Kind: model.SetUsable, ID: 1})
	h.report(1, 5, attemptStatus(1, 0, 1001, model.Exited, model.CauseStopped))
	h.report(1, 5)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.InspectMachine, ID: 1, Token: 77})
	e := h.takeEvents(model.MachineInspected)
	if len(e) != 1 || e[0].Token != 77 || len(e[0].Placed) != 0 || h.shard.WaitingCount() != 2 {
		t.Errorf("%+v: tasks on an unusable machine; %d tasks wait, want 2", e, h.shard.WaitingCount())
	}
}

// A recall names a machine and does not apply to a task on another one, because the task may have
// moved since the order was sent.
func TestRecallAppliesToNamedMachineOnly(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	spec := h.spec(1, model.Standard, 2)
	spec.CheckpointInterval, spec.CheckpointTime = 10*time.Second, 2*time.Second
	h.assign(spec, 0, 10)
	h.report(1, 5)
	h.report(1, 5, attemptStatus(1, 0, 1001, model.Running, 0))
	h.now += 3 * time.Second
	task := model.Task{Job: 1}
	h.shard.HandleOrder(h.now, model.Order{Kind: model.RecallTask, ID: 2, Task: task})
	if got := h.report(1, 5, attemptStatus(1, 0, 1001, model.Running, 0)); len(got) != 0 {
		t.Fatalf("%+v for a recall from another machine", got)
	}
	h.shard.HandleOrder(h.now, model.Order{Kind: model.InspectMachine, ID: 1})
	want := []model.PlacedTask{{Task: task, Stage: model.Running, RunTime: 3 * time.Second}}
	if e := h.takeEvents(model.MachineInspected); len(e) != 1 || cmp.Diff(want, e[0].Placed) != "" {
		t.Errorf("%+v", e)
	}
	h.shard.HandleOrder(h.now, model.Order{Kind: model.RecallTask, ID: 1, Task: task})
	got := h.report(1, 5, attemptStatus(1, 0, 1001, model.Running, 0))
	if len(got) != 1 || got[0].Verb != model.Kill || got[0].Grace < spec.CheckpointTime {
		t.Errorf("%+v, want it stopped with time to save", got)
	}
	h.report(1, 5, attemptStatus(1, 0, 1001, model.Exited, model.CauseStopped))
	if e := h.takeEvents(model.TaskReturned); len(e) != 1 || e[0].Task != task {
		t.Errorf("%+v, want the task returned", e)
	}
}

// A simulation makes the same placements as a real shard.
func TestSimulationPlacesLikeShard(t *testing.T) {
	actual := newHarness(t)
	sim := NewSimulation(actual.shard.params, actual.shard.rng)
	for id := range model.MachineID(6) {
		actual.ownMachine(id+1, 5, float64(8+id))
		actual.report(id+1, 5)
		sim.AddMachine(actual.now, model.Machine{ID: id + 1, Cap: model.Capacity(float64(8+id), 0, 64)}, true)
	}
	for job := range model.JobID(12) {
		spec := actual.spec(job+1, model.Rank(job%3), float64(1+job%4))
		for index := range int32(3) {
			actual.assign(spec, index, 10)
			sim.AddWaiting(actual.now, model.Assignment{Task: model.Task{Job: spec.ID, Index: index}, Spec: spec, Price: 10,
				Zone:         model.None,
				WaitingSince: actual.now - time.Second})
		}
	}
	actual.shard.Place(actual.now)
	started, stopped := sim.Place(actual.now)
	if len(started) < 20 || len(stopped) != 0 {
		t.Fatalf("%d started, %d stopped", len(started), len(stopped))
	}
	for _, b := range started {
		if on := actual.shard.tasks[b.Task].machine(); on == nil || on.ID != b.Machine {
			t.Errorf("%v is placed on machine %d by the simulation, on %v by the shard", b.Task, b.Machine, on)
		}
	}
	if !sim.FinishTask(actual.now, started[0].Task, started[0].Attempt) ||
		sim.FinishTask(actual.now, started[0].Task, started[0].Attempt) {
		t.Error("FinishTask must succeed exactly once per attempt")
	}
}

package shard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"honeylock/internal/core/model"
)

// A machine that gets no more tasks gives back what is not on its way there: a
// task reserved for it waited for ever, and the machine was never empty.
func TestUnusableMachineKeepsNoReservations(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	low, high := r.spec(1, model.Idle, 8), r.spec(2, model.Urgent, 8)
	r.give(low, 0, 1)
	r.report(1, 5)
	r.report(1, 5, cell(1, 0, 1001, model.Running, 0))
	r.now += 20 * time.Second
	r.give(high, 0, 1000)
	r.report(1, 5, cell(1, 0, 1001, model.Running, 0)) // the victim stops, its room is spoken for
	r.s.HandleOrder(r.now, model.Order{Kind: model.SetUsable, ID: 1})
	r.report(1, 5, cell(1, 0, 1001, model.Exited, model.CauseStopped))
	r.report(1, 5)
	r.s.HandleOrder(r.now, model.Order{Kind: model.InspectMachine, ID: 1, Token: 77})
	e := r.events(model.MachineInspected)
	if len(e) != 1 || e[0].Token != 77 || len(e[0].Placed) != 0 || r.s.WaitingCount() != 2 {
		t.Errorf("%+v is on a machine that gets no tasks, %d wait", e, r.s.WaitingCount())
	}
}

// A task is recalled from the machine that was meant, and from no other: the order
// may be older than where the task is.
func TestRecallIsForOneMachine(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	sp := r.spec(1, model.Standard, 2)
	sp.CheckpointInterval, sp.CheckpointTime = 10*time.Second, 2*time.Second
	r.give(sp, 0, 10)
	r.report(1, 5)
	r.report(1, 5, cell(1, 0, 1001, model.Running, 0))
	r.now += 3 * time.Second
	task := model.Task{Job: 1}
	r.s.HandleOrder(r.now, model.Order{Kind: model.RecallTask, ID: 2, Task: task})
	if got := r.report(1, 5, cell(1, 0, 1001, model.Running, 0)); len(got) != 0 {
		t.Fatalf("%+v for a recall from another machine", got)
	}
	r.s.HandleOrder(r.now, model.Order{Kind: model.InspectMachine, ID: 1})
	want := []model.PlacedTask{{Task: task, Stage: model.Running, RunTime: 3 * time.Second}}
	if e := r.events(model.MachineInspected); len(e) != 1 || cmp.Diff(want, e[0].Placed) != "" {
		t.Errorf("%+v", e)
	}
	r.s.HandleOrder(r.now, model.Order{Kind: model.RecallTask, ID: 1, Task: task})
	got := r.report(1, 5, cell(1, 0, 1001, model.Running, 0))
	if len(got) != 1 || got[0].Verb != model.Kill || got[0].Grace < sp.CheckpointTime {
		t.Errorf("%+v, want it to save and stop", got)
	}
	r.report(1, 5, cell(1, 0, 1001, model.Exited, model.CauseStopped))
	if e := r.events(model.TaskReturned); len(e) != 1 || e[0].Task != task {
		t.Errorf("%+v, want it given back", e)
	}
}

// A rehearsal chooses as the shard that acts does: same machines, same victims.
func TestRehearsalPlacesAsTheShardDoes(t *testing.T) {
	acts := newRig(t)
	p := NewSimulation(acts.s.p, acts.s.rng)
	for id := range model.MachineID(6) {
		acts.own(id+1, 5, float64(8+id))
		acts.report(id+1, 5)
		p.AddMachine(acts.now, model.Machine{ID: id + 1, Cap: model.Capacity(float64(8+id), 0, 64)}, true)
	}
	for job := range model.JobID(12) {
		sp := acts.spec(job+1, model.Rank(job%3), float64(1+job%4))
		for no := range int32(3) {
			acts.give(sp, no, 10)
			p.AddWaiting(acts.now, model.Assignment{Task: model.Task{Job: sp.ID, Index: no}, Spec: sp, Price: 10, Zone: model.None,
				WaitingSince: acts.now - time.Second})
		}
	}
	acts.s.Place(acts.now)
	begun, stopped := p.Place(acts.now)
	if len(begun) < 20 || len(stopped) != 0 {
		t.Fatalf("%d begun, %d stopped", len(begun), len(stopped))
	}
	for _, b := range begun {
		if on := acts.s.tasks[b.Task].on(); on == nil || on.ID != b.Machine {
			t.Errorf("%v goes to %d, and to %v where it counts", b.Task, b.Machine, on)
		}
	}
	if !p.FinishTask(acts.now, begun[0].Task, begun[0].Attempt) || p.FinishTask(acts.now, begun[0].Task, begun[0].Attempt) {
		t.Error("a task that ends does not end once")
	}
}

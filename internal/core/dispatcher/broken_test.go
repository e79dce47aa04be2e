package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// A job that fails on every machine was dealt whole again after each pause, and
// evicted others' work for it. It is tried with one task at a time, ever less
// often, and one success clears it.
func TestBrokenJobIsRetriedWithOneTaskAtATime(t *testing.T) {
	h := newHarness(t, 1e6)
	s := h.d.AddShard(0, "a")
	for id := range model.MachineID(4) {
		h.addMachine(0, id, s)
	}
	h.reportStatus(0, s, 0, 1, 2, 3)
	spec := h.addJob(1, 10, false)
	h.d.Dispatch(time.Second)
	assigned := h.takeOrders(model.AssignTask)
	if len(assigned) != 10 {
		t.Fatalf("%d tasks dealt", len(assigned))
	}
	now := 2 * time.Second
	fail := func(o model.Order, machine model.MachineID) {
		h.d.HandleEvent(now, s, model.Event{Kind: model.TaskReturned, Task: o.Assignment.Task, Cause: model.CauseError,
			Machine: machine})
	}
	for i, o := range assigned {
		fail(o, model.MachineID(i%2))
	}
	if n := h.d.Demand()[0].Unfinished; n != 0 {
		t.Errorf("machines would be rented for %d of its tasks", n)
	}
	if b := h.d.TakeBrokenJobs(); len(b) != 1 || b[0] != 1 {
		t.Fatalf("held to be broken: %v", b)
	}
	var tries []time.Duration
	for ; now < 5*time.Minute; now += time.Second {
		h.reportStatus(now, s, 0, 1, 2, 3)
		h.d.Dispatch(now)
		for _, o := range h.takeOrders(model.AssignTask) {
			tries = append(tries, now)
			fail(o, 3)
		}
	}
	if n := len(tries); n < 4 || n > 8 {
		t.Fatalf("tried %d times in five minutes: %v", n, tries)
	}
	for i := 2; i < len(tries); i++ {
		if tries[i]-tries[i-1] < tries[i-1]-tries[i-2] {
			t.Fatalf("tried more often as time goes by: %v", tries)
		}
	}
	now += 3 * time.Minute
	h.reportStatus(now, s, 0, 1, 2, 3)
	h.d.Dispatch(now)
	probe := h.takeOrders(model.AssignTask)
	if len(probe) != 1 {
		t.Fatalf("given up after %v", tries)
	}
	h.d.HandleEvent(now, s, model.Event{Kind: model.TaskFinished, Machine: 3, Task: probe[0].Assignment.Task, Attempt: 9,
		Held: true})
	h.reportStatus(now, s, 0, 1, 2, 3)
	h.d.Dispatch(now)
	if n := len(h.takeOrders(model.AssignTask)); n != int(spec.Tasks)-1 {
		t.Fatalf("%d tasks dealt after a success", n)
	}
}

// One faulty machine is no evidence against a job: it goes on at once.
func TestFailuresOnOneMachineDoNotMakeJobBroken(t *testing.T) {
	h := newHarness(t, 1e6)
	s := h.d.AddShard(0, "a")
	h.addMachine(0, 1, s)
	h.reportStatus(0, s, 1)
	h.addJob(1, 4, false)
	h.d.Dispatch(time.Second)
	for _, o := range h.takeOrders(model.AssignTask) {
		h.d.HandleEvent(time.Second, s, model.Event{Kind: model.TaskReturned, Task: o.Assignment.Task,
			Cause: model.CauseError, Machine: 1})
	}
	h.reportStatus(time.Second, s, 1)
	h.d.Dispatch(time.Second)
	if n := len(h.takeOrders(model.AssignTask)); n != 4 {
		t.Fatalf("%d tasks dealt after errors of one machine", n)
	}
}

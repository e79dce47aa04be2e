package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// Guards against dispatching all tasks of a job that fails on every machine after each pause, which
// evicts other work for it. The job is retried with one task at a time, at growing intervals, and
// one success clears its failures.
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
		t.Fatalf("%d tasks dispatched", len(assigned))
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
		t.Fatalf("broken jobs: %v", b)
	}
	var retriedAt []time.Duration
	for ; now < 5*time.Minute; now += time.Second {
		h.reportStatus(now, s, 0, 1, 2, 3)
		h.d.Dispatch(now)
		for _, o := range h.takeOrders(model.AssignTask) {
			retriedAt = append(retriedAt, now)
			fail(o, 3)
		}
	}
	if n := len(retriedAt); n < 4 || n > 8 {
		t.Fatalf("retried %d times in five minutes: %v", n, retriedAt)
	}
	for i := 2; i < len(retriedAt); i++ {
		if retriedAt[i]-retriedAt[i-1] < retriedAt[i-1]-retriedAt[i-2] {
			t.Fatalf("the interval between retries shrinks: %v", retriedAt)
		}
	}
	now += 3 * time.Minute
	h.reportStatus(now, s, 0, 1, 2, 3)
	h.d.Dispatch(now)
	probe := h.takeOrders(model.AssignTask)
	if len(probe) != 1 {
		t.Fatalf("no retry after %v", retriedAt)
	}
	h.d.HandleEvent(now, s, model.Event{Kind: model.TaskFinished, Machine: 3, Task: probe[0].Assignment.Task, Attempt: 9,
		Held: true})
	h.reportStatus(now, s, 0, 1, 2, 3)
	h.d.Dispatch(now)
	if n := len(h.takeOrders(model.AssignTask)); n != int(spec.Tasks)-1 {
		t.Fatalf("%d tasks dispatched after a success", n)
	}
}

// Errors on a single faulty machine are no evidence against a job: it continues at once.
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
		t.Fatalf("%d tasks dispatched after errors on one machine", n)
	}
}

package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// A job that fails on every machine was dealt whole again after each pause, and
// evicted others' work for it. It is tried with one task at a time, ever less
// often, and one success clears it.
func TestBrokenJobIsTriedWithOneTaskAtATime(t *testing.T) {
	r := newRig(t, 1e6)
	s := r.d.AddShard(0, "a")
	for id := range model.MachineID(4) {
		r.machine(0, id, s)
	}
	r.status(0, s, 0, 1, 2, 3)
	sp := r.job(1, 10, false)
	r.d.Dispatch(time.Second)
	dealt := r.orders(model.AssignTask)
	if len(dealt) != 10 {
		t.Fatalf("%d tasks dealt", len(dealt))
	}
	now := 2 * time.Second
	fail := func(o model.Order, on model.MachineID) {
		r.d.HandleEvent(now, s, model.Event{Kind: model.TaskReturned, Task: o.Assignment.Task, Cause: model.CauseError, Machine: on})
	}
	for i, o := range dealt {
		fail(o, model.MachineID(i%2))
	}
	if n := r.d.Demand()[0].Unfinished; n != 0 {
		t.Errorf("machines would be rented for %d of its tasks", n)
	}
	if b := r.d.TakeBrokenJobs(); len(b) != 1 || b[0] != 1 {
		t.Fatalf("held to be broken: %v", b)
	}
	var tries []time.Duration
	for ; now < 5*time.Minute; now += time.Second {
		r.status(now, s, 0, 1, 2, 3)
		r.d.Dispatch(now)
		for _, o := range r.orders(model.AssignTask) {
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
	r.status(now, s, 0, 1, 2, 3)
	r.d.Dispatch(now)
	probe := r.orders(model.AssignTask)
	if len(probe) != 1 {
		t.Fatalf("given up after %v", tries)
	}
	r.d.HandleEvent(now, s, model.Event{Kind: model.TaskFinished, Machine: 3, Task: probe[0].Assignment.Task, Attempt: 9, Held: true})
	r.status(now, s, 0, 1, 2, 3)
	r.d.Dispatch(now)
	if n := len(r.orders(model.AssignTask)); n != int(sp.Tasks)-1 {
		t.Fatalf("%d tasks dealt after a success", n)
	}
}

// One faulty machine is no evidence against a job: it goes on at once.
func TestJobWithOneBadMachineGoesOnAtOnce(t *testing.T) {
	r := newRig(t, 1e6)
	s := r.d.AddShard(0, "a")
	r.machine(0, 1, s)
	r.status(0, s, 1)
	r.job(1, 4, false)
	r.d.Dispatch(time.Second)
	for _, o := range r.orders(model.AssignTask) {
		r.d.HandleEvent(time.Second, s, model.Event{Kind: model.TaskReturned, Task: o.Assignment.Task, Cause: model.CauseError, Machine: 1})
	}
	r.status(time.Second, s, 1)
	r.d.Dispatch(time.Second)
	if n := len(r.orders(model.AssignTask)); n != 4 {
		t.Fatalf("%d tasks dealt after errors of one machine", n)
	}
}

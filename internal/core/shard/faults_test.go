package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// A job submitted with a mistake fails wherever it runs. Its errors once marked
// every machine that it touched as faulty, and half of all stood idle.
func TestBrokenJobDoesNotCondemnMachines(t *testing.T) {
	r := newRig(t)
	faulty := func() (n int) {
		for _, m := range r.s.order {
			if r.now < m.faultyUntil {
				n++
			}
		}
		return n
	}
	const machines = 3
	for id := range model.MachineID(machines) {
		r.own(id, 5, 8)
		r.report(id, 5)
	}
	sp := r.spec(1, model.Standard, 2)
	for no := range int32(4 * machines) {
		r.give(sp, no, 10)
	}
	r.s.Place(r.now)
	attempts := map[model.MachineID][]model.AttemptStatus{}
	for id := range model.MachineID(machines) {
		for _, c := range r.report(id, 5) {
			attempts[id] = append(attempts[id], model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Exited, Cause: model.CauseError})
		}
	}
	for id := range model.MachineID(machines) {
		if len(attempts[id]) != 4 {
			t.Fatalf("%d tasks on machine %d", len(attempts[id]), id)
		}
		r.report(id, 5, attempts[id]...)
	}
	if n := faulty(); n != 0 {
		t.Errorf("%d machines are held to be faulty for one broken job", n)
	}
	// It keeps away from where it failed a moment ago, and nobody else does.
	again, other := r.spec(1, model.Standard, 2), r.spec(2, model.Standard, 2)
	r.give(again, 0, 10)
	r.give(other, 0, 10)
	r.s.Place(r.now)
	if on := r.s.tasks[model.Task{Job: 1}].on(); on != nil {
		t.Errorf("tried again at once on machine %d, where it failed", on.ID)
	}
	if r.s.tasks[model.Task{Job: 2}].on() == nil {
		t.Error("another job was kept away, too")
	}
	r.now += shunFor
	r.s.SetGrant(r.now + time.Hour)
	for id := range model.MachineID(machines) {
		r.report(id, 5, attempts[id]...)
	}
	r.s.Tick(r.now)
	if r.s.tasks[model.Task{Job: 1}].on() == nil {
		t.Error("never tried again")
	}
}

// What a job's success proves: its errors were the machines' after all.
func TestSuccessElsewhereCondemnsTheMachines(t *testing.T) {
	r := newRig(t)
	for id := range model.MachineID(3) {
		r.own(id, 5, 64)
		r.report(id, 5)
	}
	// Two faulty machines fail every task of job 1; machine 2 has not finished.
	for id := range model.MachineID(2) {
		for range 4 {
			r.s.blame(r.now, r.s.machines[id], 1)
		}
	}
	if r.s.machines[0].faultyUntil != 0 {
		t.Error("condemned on a broken job's word")
	}
	r.s.succeeded(1)
	if r.s.machines[0].faultyUntil == 0 || r.s.machines[1].faultyUntil == 0 || r.s.machines[2].faultyUntil != 0 {
		t.Error("want machines 0 and 1 condemned, and not machine 2")
	}
}

// No job may wait for 90 s while a machine that fits has room, one that is held to be faulty
// included: it is tried again in time.
func TestAFaultyMachineIsTriedAgainInTime(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	for job := range model.JobID(faultyJobs) {
		r.s.blame(r.now, r.s.machines[1], 10+job)
	}
	r.give(r.spec(1, model.Standard, 2), 0, 10)
	r.s.Place(r.now)
	if r.s.tasks[model.Task{Job: 1}].on() != nil {
		t.Fatal("the machine is not held to be faulty: the test shows nothing")
	}
	began := r.now
	for r.now-began < 90*time.Second && r.s.tasks[model.Task{Job: 1}].on() == nil {
		r.now += time.Second
		r.s.SetGrant(r.now + time.Hour)
		r.report(1, 5)
		r.s.Tick(r.now)
	}
	if waited := r.now - began; waited > 75*time.Second {
		t.Errorf("waited for %v beside its room", waited)
	}
}

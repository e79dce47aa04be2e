package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// A job submitted with a mistake fails on each machine. Its errors must not mark these machines as
// faulty: half of a cluster could then stand idle.
func TestBrokenJobDoesNotMarkMachinesFaulty(t *testing.T) {
	h := newHarness(t)
	faulty := func() (n int) {
		for _, m := range h.shard.sortedMachines {
			if h.now < m.faultyUntil {
				n++
			}
		}
		return n
	}
	const machines = 3
	for id := range model.MachineID(machines) {
		h.ownMachine(id, 5, 8)
		h.report(id, 5)
	}
	spec := h.spec(1, model.Standard, 2)
	for index := range int32(4 * machines) {
		h.assign(spec, index, 10)
	}
	h.shard.Place(h.now)
	attempts := map[model.MachineID][]model.AttemptStatus{}
	for id := range model.MachineID(machines) {
		for _, c := range h.report(id, 5) {
			attempts[id] = append(attempts[id], model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Exited,
				Cause: model.CauseError})
		}
	}
	for id := range model.MachineID(machines) {
		if len(attempts[id]) != 4 {
			t.Fatalf("%d tasks on machine %d", len(attempts[id]), id)
		}
		h.report(id, 5, attempts[id]...)
	}
	if n := faulty(); n != 0 {
		t.Errorf("%d machines are considered faulty because of one broken job", n)
	}
	// The job is not placed again soon on machines where it failed. Other jobs are.
	again, other := h.spec(1, model.Standard, 2), h.spec(2, model.Standard, 2)
	h.assign(again, 0, 10)
	h.assign(other, 0, 10)
	h.shard.Place(h.now)
	if on := h.shard.tasks[model.Task{Job: 1}].machine(); on != nil {
		t.Errorf("placed again at once on machine %d, where it failed", on.ID)
	}
	if h.shard.tasks[model.Task{Job: 2}].machine() == nil {
		t.Error("another job was not placed either")
	}
	h.now += avoidDuration
	h.shard.SetGrant(h.now + time.Hour)
	for id := range model.MachineID(machines) {
		h.report(id, 5, attempts[id]...)
	}
	h.shard.Tick(h.now)
	if h.shard.tasks[model.Task{Job: 1}].machine() == nil {
		t.Error("the job is not placed again after avoidDuration")
	}
}

// A completed task of a job shows that the machines caused the job's earlier errors.
func TestJobSuccessMarksFailingMachinesFaulty(t *testing.T) {
	h := newHarness(t)
	for id := range model.MachineID(3) {
		h.ownMachine(id, 5, 64)
		h.report(id, 5)
	}
	// Two faulty machines fail every task of job 1; machine 2 has not finished.
	for id := range model.MachineID(2) {
		for range 4 {
			h.shard.recordFailure(h.now, h.shard.machines[id], 1)
		}
	}
	if h.shard.machines[0].faultyUntil != 0 {
		t.Error("machine considered faulty because of a broken job")
	}
	h.shard.recordSuccess(1)
	if h.shard.machines[0].faultyUntil == 0 || h.shard.machines[1].faultyUntil == 0 ||
		h.shard.machines[2].faultyUntil != 0 {
		t.Error("want machines 0 and 1 considered faulty, and not machine 2")
	}
}

// No job may wait for 90 s while a suitable machine has capacity. This includes faulty machines, so
// they must be tried again in time.
func TestFaultyMachineIsRetriedInTime(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	for job := range model.JobID(minFaultyJobs) {
		h.shard.recordFailure(h.now, h.shard.machines[1], 10+job)
	}
	h.assign(h.spec(1, model.Standard, 2), 0, 10)
	h.shard.Place(h.now)
	if h.shard.tasks[model.Task{Job: 1}].machine() != nil {
		t.Fatal("the machine is not considered faulty: the test shows nothing")
	}
	start := h.now
	for h.now-start < 90*time.Second && h.shard.tasks[model.Task{Job: 1}].machine() == nil {
		h.now += time.Second
		h.shard.SetGrant(h.now + time.Hour)
		h.report(1, 5)
		h.shard.Tick(h.now)
	}
	if waited := h.now - start; waited > 75*time.Second {
		t.Errorf("waited for %v while a machine had capacity", waited)
	}
}

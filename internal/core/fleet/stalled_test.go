package fleet

import (
	"testing"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
)

// fullMachine returns the status of a machine of newFleet's type whose capacity a service uses, and the
// demand of that service.
func fullMachine(f *Fleet) ([]model.MachineStatus, Demand) {
	status := []model.MachineStatus{{Machine: model.Machine{ID: 1, Spot: true, Cap: model.Capacity(8, 0, 32)}, Ready: true,
		AttemptCount: 2}}
	f.Observe(0, status, func(model.MachineID) bool { return false })
	service := &model.Spec{ID: 1, Tasks: 2, PerTask: model.Request(4, 0, 4), Zone: model.None, Spot: true, Daemon: true}
	return status, Demand{Job: dispatcher.JobDemand{Spec: service, Unfinished: 2, Assigned: 2}, Placed: 2}
}

// shortJob returns the demand of a job with short tasks, worth less than half a machine together.
func shortJob(unfinished int32) Demand {
	spec := &model.Spec{ID: 2, Team: 1, Tasks: 3, PerTask: model.Request(2, 0, 2), Zone: model.None, Spot: true,
		Estimate: 2 * time.Second}
	return Demand{Job: dispatcher.JobDemand{Spec: spec, Unfinished: unfinished}}
}

// Guards against an accepted job that waits for ever, because what it needs is worth less than half a
// machine and the only machine is full of a service.
func TestRemainderBesideServiceIsRentedForAfterAWait(t *testing.T) {
	f := newFleet()
	status, service := fullMachine(f)
	var rentedAt time.Duration
	for now := time.Second; now <= 10*time.Minute && rentedAt == 0; now += time.Second {
		if a := findRental(f.Step(now, status, []Demand{service, shortJob(3)}, noLimit)); a != nil {
			rentedAt = now
		}
	}
	if rentedAt == 0 {
		t.Fatal("no machine is rented within 10 minutes")
	}
	if rentedAt < maxStall || rentedAt > maxStall+2*time.Second {
		t.Errorf("a machine is rented after %v, want %v", rentedAt, maxStall)
	}
}

// Guards against a machine for every short gap: a job whose tasks complete where others end needs none.
func TestProgressingJobIsNotRentedFor(t *testing.T) {
	f := newFleet()
	status, service := fullMachine(f)
	const taskEvery = maxStall - 5*time.Second
	for now := time.Second; now <= 3*time.Minute; now += time.Second {
		unfinished := 9 - int32(now/taskEvery)
		if a := findRental(f.Step(now, status, []Demand{service, shortJob(unfinished)}, noLimit)); a != nil {
			t.Fatalf("%+v after %v, though a task completes every %v", a, now, taskEvery)
		}
	}
}

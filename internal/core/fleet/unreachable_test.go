package fleet

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// Unreachable machines are returned unless they are too many to be at fault themselves. One that
// reports again is kept.
func TestFewUnreachableMachinesAreReturned(t *testing.T) {
	for name, c := range map[string]struct{ unreachable, reportAgain, want int }{
		"few":                 {unreachable: 10, want: 10},
		"more than the limit": {unreachable: 20, want: 0},
		"some report again":   {unreachable: 10, reportAgain: 4, want: 6},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			var status []model.MachineStatus
			for id := range model.MachineID(100) {
				status = append(status, model.MachineStatus{Machine: model.Machine{ID: id, Cap: model.Capacity(8, 0, 32)},
					Ready: true, AttemptCount: 1})
			}
			notExpired := func(model.MachineID) bool { return false }
			f.Observe(0, status, notExpired)
			ids := make([]model.MachineID, c.unreachable)
			for i := range ids {
				ids[i] = model.MachineID(i)
			}
			f.SetUnreachable(ids)
			f.SetUnreachable(ids[c.reportAgain:])
			got := 0
			for _, a := range f.Step(2*time.Second, status, testDemand(1, true), noLimit) {
				if a.Kind == Return {
					got += len(a.Machines)
				}
			}
			if got != c.want {
				t.Errorf("%d machines returned, want %d", got, c.want)
			}
		})
	}
}

// Machines whose leases have long expired are returned, but only much later if they are most of a
// zone: then the zone is partitioned, and they come back with it.
func TestPartitionedZoneIsNotReturnedEarly(t *testing.T) {
	for _, c := range []struct {
		expired int
		after   time.Duration
		want    int
	}{{3, 100 * time.Second, 3}, {8, 100 * time.Second, 0}, {8, 301 * time.Second, 8}} {
		f := newFleet()
		var status []model.MachineStatus
		for id := range model.MachineID(10) {
			status = append(status, model.MachineStatus{Machine: model.Machine{ID: id, Cap: model.Capacity(8, 0, 32)},
				Ready: true, AttemptCount: 1})
		}
		f.Observe(0, status, func(model.MachineID) bool { return false })
		f.Observe(time.Second, status, func(id model.MachineID) bool { return int(id) < c.expired })
		var listed []ListedMachine
		for id := range model.MachineID(10) {
			listed = append(listed, ListedMachine{ID: id})
		}
		f.UpdateListed(time.Second+c.after, c.after, listed)
		got := 0
		for _, a := range f.Step(time.Second+c.after, status, testDemand(1, true), noLimit) {
			if a.Kind == Return {
				got += len(a.Machines)
			}
		}
		if got != c.want {
			t.Errorf("%d of 10 expired for %v: %d returned, want %d", c.expired, c.after, got, c.want)
		}
	}
}

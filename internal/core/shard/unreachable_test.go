package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// zone has ten fenced machines report every second, all but those that are silent,
// and has no direct command of theirs answered. It returns who is told to be unreachable.
func (r *rig) zone(length time.Duration, silent func(model.MachineID) bool) map[model.MachineID]bool {
	unreachable := map[model.MachineID]bool{}
	for end := r.now + length; r.now < end; r.now += time.Second {
		for id := range model.MachineID(10) {
			if !silent(id) {
				r.report(id, 5)
			}
		}
		r.s.Tick(r.now)
		r.s.Flush(r.now, 100)
		for _, d := range r.s.TakeDirectCommands() {
			if silent(d.Machine) {
				r.s.DirectCommandDone(r.now, d, nil, false)
			} else {
				r.t.Errorf("machine %d, which reports, is asked directly", d.Machine)
			}
		}
		for _, e := range r.s.TakeEvents() {
			switch e.Kind {
			case model.CommandUnanswered:
				unreachable[e.Machine] = true
			case model.WorkerBack:
				delete(unreachable, e.Machine)
			}
		}
	}
	return unreachable
}

func ten(t *testing.T) *rig {
	r := newRig(t)
	for id := range model.MachineID(10) {
		r.own(id, 5, 8)
		r.report(id, 5)
	}
	r.s.TakeEvents()
	return r
}

// The tasks of a machine that had stopped or hung waited for its whole lease.
func TestAMachineThatNeitherReportsNorAnswersIsTold(t *testing.T) {
	r := ten(t)
	two := func(id model.MachineID) bool { return id < 2 }
	if unreachable := r.zone(9*time.Second, two); len(unreachable) != 2 || !unreachable[0] || !unreachable[1] {
		t.Fatalf("unreachable: %v, want machines 0 and 1 before their lease of 10 s is over", unreachable)
	}
	r.report(0, 5)
	if e := r.events(model.WorkerBack); len(e) != 1 || e[0].Machine != 0 {
		t.Errorf("events %+v, want machine 0 heard", e)
	}
}

// A zone that is out of reach is no reason to give its machines up.
func TestAZoneOutOfReachIsNotDeaf(t *testing.T) {
	r := ten(t)
	if unreachable := r.zone(9*time.Second, func(model.MachineID) bool { return true }); len(unreachable) != 0 {
		t.Errorf("unreachable: %v", unreachable)
	}
	r = ten(t)
	if unreachable := r.zone(9*time.Second, func(id model.MachineID) bool { return id > 4 }); len(unreachable) != 0 {
		t.Errorf("half of the zone is silent, and unreachable: %v", unreachable)
	}
}

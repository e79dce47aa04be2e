package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// runZone has ten fenced machines report every second, all but those that are silent,
// and has no direct command of theirs answered. It returns who is told to be unreachable.
func (h *harness) runZone(duration time.Duration, unresponsive func(model.MachineID) bool) map[model.MachineID]bool {
	unreachable := map[model.MachineID]bool{}
	for end := h.now + duration; h.now < end; h.now += time.Second {
		for id := range model.MachineID(10) {
			if !unresponsive(id) {
				h.report(id, 5)
			}
		}
		h.shard.Tick(h.now)
		h.shard.Flush(h.now, 100)
		for _, d := range h.shard.TakeDirectCommands() {
			if unresponsive(d.Machine) {
				h.shard.DirectCommandDone(h.now, d, nil, false)
			} else {
				h.t.Errorf("machine %d, which reports, is asked directly", d.Machine)
			}
		}
		for _, e := range h.shard.TakeEvents() {
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

func newTenMachineHarness(t *testing.T) *harness {
	h := newHarness(t)
	for id := range model.MachineID(10) {
		h.ownMachine(id, 5, 8)
		h.report(id, 5)
	}
	h.shard.TakeEvents()
	return h
}

// The tasks of a machine that had stopped or hung waited for its whole lease.
func TestUnresponsiveMachineIsReportedUnreachable(t *testing.T) {
	h := newTenMachineHarness(t)
	two := func(id model.MachineID) bool { return id < 2 }
	if unreachable := h.runZone(9*time.Second, two); len(unreachable) != 2 || !unreachable[0] || !unreachable[1] {
		t.Fatalf("unreachable: %v, want machines 0 and 1 before their lease of 10 s is over", unreachable)
	}
	h.report(0, 5)
	if e := h.takeEvents(model.WorkerBack); len(e) != 1 || e[0].Machine != 0 {
		t.Errorf("events %+v, want machine 0 heard", e)
	}
}

// A zone that is out of reach is no reason to give its machines up.
func TestUnreachableZoneMarksNoMachineUnreachable(t *testing.T) {
	h := newTenMachineHarness(t)
	if unreachable := h.runZone(9*time.Second, func(model.MachineID) bool { return true }); len(unreachable) != 0 {
		t.Errorf("unreachable: %v", unreachable)
	}
	h = newTenMachineHarness(t)
	if unreachable := h.runZone(9*time.Second, func(id model.MachineID) bool { return id > 4 }); len(unreachable) != 0 {
		t.Errorf("half of the zone is silent, and unreachable: %v", unreachable)
	}
}

package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// runZone lets ten fenced machines report every second, except for unresponsive ones, whose direct
// commands are not answered either. It returns the machines that the shard reports as unreachable.
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
				h.t.Errorf("machine %d gets a direct command although it reports", d.Machine)
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

// newTenMachineHarness returns a harness with ten fenced machines.
func newTenMachineHarness(t *testing.T) *harness {
	h := newHarness(t)
	for id := range model.MachineID(10) {
		h.ownMachine(id, 5, 8)
		h.report(id, 5)
	}
	h.shard.TakeEvents()
	return h
}

// A machine that stops or hangs must be reported as unreachable before its lease expires, or its
// tasks wait for the whole lease.
func TestUnresponsiveMachineIsReportedUnreachable(t *testing.T) {
	h := newTenMachineHarness(t)
	two := func(id model.MachineID) bool { return id < 2 }
	if unreachable := h.runZone(9*time.Second, two); len(unreachable) != 2 || !unreachable[0] || !unreachable[1] {
		t.Fatalf("unreachable: %v, want machines 0 and 1 before their lease of 10 s is over", unreachable)
	}
	h.report(0, 5)
	if e := h.takeEvents(model.WorkerBack); len(e) != 1 || e[0].Machine != 0 {
		t.Errorf("events %+v, want WorkerBack for machine 0", e)
	}
}

// If a whole zone or half of it cannot be reached, its machines are not reported as unreachable.
func TestUnreachableZoneMarksNoMachineUnreachable(t *testing.T) {
	h := newTenMachineHarness(t)
	if unreachable := h.runZone(9*time.Second, func(model.MachineID) bool { return true }); len(unreachable) != 0 {
		t.Errorf("unreachable: %v", unreachable)
	}
	h = newTenMachineHarness(t)
	if unreachable := h.runZone(9*time.Second, func(id model.MachineID) bool { return id > 4 }); len(unreachable) != 0 {
		t.Errorf("half of the zone is unresponsive, and unreachable: %v", unreachable)
	}
}

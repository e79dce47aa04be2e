package fleet

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// Machines that answer nobody are given back, unless they are too many to be at fault
// themselves; one that is heard again stays.
func TestFewDeafMachinesAreGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ deaf, again, want int }{
		"a few":                 {deaf: 10, want: 10},
		"more than a part":      {deaf: 20, want: 0},
		"heard again meanwhile": {deaf: 10, again: 4, want: 6},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			var status []model.MachineStatus
			for id := range model.MachineID(100) {
				status = append(status, model.MachineStatus{Machine: model.Machine{ID: id, Cap: model.Capacity(8, 0, 32)},
					Ready: true, Slots: 1})
			}
			alive := func(model.MachineID) bool { return false }
			f.Observe(0, status, alive)
			ids := make([]model.MachineID, c.deaf)
			for i := range ids {
				ids[i] = model.MachineID(i)
			}
			f.Deaf(ids)
			f.Deaf(ids[c.again:])
			got := 0
			for _, a := range f.Step(2*time.Second, status, demand(1, true), noLimit) {
				if a.Kind == Return {
					got += len(a.Machine)
				}
			}
			if got != c.want {
				t.Errorf("%d machines given back, want %d", got, c.want)
			}
		})
	}
}

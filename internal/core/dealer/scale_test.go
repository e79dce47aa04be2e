package dealer

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// Dealing the tasks of one new job must not cost more the more machines and
// open jobs there are that it has nothing to do with.
func TestDealCostsTheSameInALargeCluster(t *testing.T) {
	cost := func(machines int) float64 {
		r := newRig(t, 1e6)
		s := r.d.Join(0, "a")
		for id := range model.MachineID(machines) {
			r.machine(0, id, s)
		}
		full := make([]model.MachineStatus, machines)
		for i := range full {
			full[i] = model.MachineStatus{Machine: model.Machine{ID: model.MachineID(i)}, Ready: true}
		}
		full[0].Avail = model.Capacity(8, 0, 64)
		r.d.Status(0, s, full, nil, 0)
		r.d.Orders()
		now, id := time.Second, model.JobID(1)
		return testing.AllocsPerRun(20, func() {
			now += 2 * time.Second
			id++
			r.job(id, 2, false)
			r.status(now, s, 0) // it has room again
			r.d.Deal(now)
			if len(r.orders(model.Give)) != 2 {
				t.Fatal("not dealt")
			}
			r.d.Withdrawn(id)
		})
	}
	if small, large := cost(20), cost(2000); large > small+20 {
		t.Errorf("a deal allocates %v times among 2000 machines, %v among 20", large, small)
	}
}

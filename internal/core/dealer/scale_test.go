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

// What is dealt beyond the free room, to find victims, goes where the machines
// are: half of it once went to a controller that had just come back with five.
func TestDealtAheadByMachines(t *testing.T) {
	r := newRig(t, 1e6)
	r.d.p.Ahead = 12
	a, b := r.d.Join(0, "a"), r.d.Join(0, "b")
	for id := range model.MachineID(12) {
		to := a
		if id == 0 {
			to = b
		}
		r.machine(0, id, to)
		r.d.Status(0, to, []model.MachineStatus{{Machine: model.Machine{ID: id}, Ready: true}}, nil, 0)
	}
	r.d.Orders()
	r.job(1, 100, false)
	r.d.Deal(time.Second)
	to := map[model.ShardID]int{}
	for _, o := range r.orders(model.Give) {
		to[o.To]++
	}
	if to[a] != 11 || to[b] != 1 {
		t.Errorf("dealt ahead %v to shards with 11 machines and 1", to)
	}
}

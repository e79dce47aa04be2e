package fleet

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Placing spreads tasks over the machines that run the lowest priority, so that
// hardly a machine ever stands empty, and none of the dear ones rented for a
// burst was given back before the day's end. Once much of the room has been free
// for a while, the dearest machines get no more tasks, and go when what runs
// there has ended. Should work lack room before that, they are wanted again.
const (
	freeShare      = 0.2 // of all CPUs are kept free
	expensiveRatio = 3   // times the cheapest kind's price: such machines are drained
)

// drainActions tells which machines are to get no more tasks. How they are emptied and
// given back is core/drain's.
func (f *Fleet) drainActions(now time.Duration, machines []availableMachine, movingCPU int64) []Action {
	ids := f.selectMachinesToDrain(now, machines, movingCPU)
	if len(ids) == 0 {
		return nil
	}
	return []Action{{Kind: Drain, Machines: ids}}
}

// selectMachinesToDrain picks machines to run empty, once nothing has lacked room for a while. moving is the
// room that plans' moves will take.
func (f *Fleet) selectMachinesToDrain(now time.Duration, machines []availableMachine,
	movingCPU int64) []model.MachineID {
	free := freeCPU(machines) - movingCPU
	var total int64
	for i := range machines {
		total += machines[i].machine.Cap.CPU
	}
	if float64(free) < freeShare*float64(total) {
		f.lastScarceAt = now
	}
	if now-max(f.lastScarceAt, f.params.TermStart) < f.params.Horizon/2 {
		return nil
	}
	var candidates []*availableMachine
	minCost := f.minCPUCost()
	for i := range machines {
		if r := &machines[i]; r.status != nil && !f.machines[r.machine.ID].planScheduled &&
			f.cpuCost(&r.machine) >= expensiveRatio*minCost {
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *availableMachine) int {
		return cmp.Or(cmp.Compare(f.cpuCost(&b.machine), f.cpuCost(&a.machine)), cmp.Compare(b.free.CPU, a.free.CPU))
	})
	var ids []model.MachineID
	for _, r := range candidates {
		if remaining := free - max(0, r.free.CPU); float64(remaining) >= freeShare*float64(total-r.machine.Cap.CPU) {
			free, total = remaining, total-r.machine.Cap.CPU
			f.machines[r.machine.ID].draining = true
			ids = append(ids, r.machine.ID)
		}
	}
	return ids
}

// cpuCost is what a CPU of the machine costs.
func (f *Fleet) cpuCost(m *model.Machine) float64 {
	if t := f.typeOf(m.Type); t != nil {
		return hourlyCPUCost(t, m.Spot)
	}
	return 0
}

// undrainActions wants drained machines again for work that lacks room, the cheapest
// first, and returns what is still lacking.
func (f *Fleet) undrainActions(status []model.MachineStatus, shortages []shortage) ([]Action, []shortage) {
	var candidates []*model.MachineStatus
	for i := range status {
		if u := f.machines[status[i].Machine.ID]; u != nil && u.draining && !u.returning && !u.planDraining &&
			u.leaseExpiredSince == 0 &&
			!status[i].Faulty && !status[i].Draining {
			candidates = append(candidates, &status[i])
		}
	}
	slices.SortStableFunc(candidates, func(a, b *model.MachineStatus) int {
		return cmp.Or(cmp.Compare(f.cpuCost(&a.Machine), f.cpuCost(&b.Machine)), cmp.Compare(b.Avail.CPU, a.Avail.CPU))
	})
	var ids []model.MachineID
	for _, s := range candidates {
		if len(shortages) == 0 {
			break
		}
		f.machines[s.Machine.ID].draining = false
		ids = append(ids, s.Machine.ID)
		shortages = shortagesAfterPlacing(shortages, &s.Machine, s.Avail)
	}
	if len(ids) == 0 {
		return nil, shortages
	}
	return []Action{{Kind: Undrain, Machines: ids}}, shortages
}

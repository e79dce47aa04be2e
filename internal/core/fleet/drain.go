package fleet

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Placement spreads tasks over the machines that run the lowest priority, so hardly any machine is
// ever empty, and expensive machines rented for a burst would be kept until the end of the day. So
// once much of the capacity has been free for a while, the most expensive machines are drained:
// they get no more tasks, and are returned when they are empty. If there are shortages before
// that, they are undrained.
const (
	freeShare      = 0.2 // of all CPUs that draining leaves free
	expensiveRatio = 3   // multiple of the lowest CPU cost from which machines are drained
)

// drainActions returns the action for the machines to be drained now. Package drain empties and
// returns them.
func (f *Fleet) drainActions(now time.Duration, machines []availableMachine, movingCPU int64) []Action {
	ids := f.selectMachinesToDrain(now, machines, movingCPU)
	if len(ids) == 0 {
		return nil
	}
	return []Action{{Kind: Drain, Machines: ids}}
}

// selectMachinesToDrain picks expensive machines to drain, once capacity has not been scarce for
// half the horizon. movingCPU is the CPU that the tasks moved by plans will need.
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
		if candidate := &machines[i]; candidate.status != nil && !f.machines[candidate.machine.ID].planScheduled &&
			f.cpuCost(&candidate.machine) >= expensiveRatio*minCost {
			candidates = append(candidates, candidate)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *availableMachine) int {
		return cmp.Or(cmp.Compare(f.cpuCost(&b.machine), f.cpuCost(&a.machine)), cmp.Compare(b.free.CPU, a.free.CPU))
	})
	var ids []model.MachineID
	for _, candidate := range candidates {
		if remaining := free - max(0, candidate.free.CPU); float64(remaining) >=
			freeShare*float64(total-candidate.machine.Cap.CPU) {
			free, total = remaining, total-candidate.machine.Cap.CPU
			f.machines[candidate.machine.ID].draining = true
			ids = append(ids, candidate.machine.ID)
		}
	}
	return ids
}

// cpuCost returns the hourly cost of a CPU of the machine, 0 if its type is not in the catalog.
func (f *Fleet) cpuCost(m *model.Machine) float64 {
	if t := f.typeOf(m.Type); t != nil {
		return hourlyCPUCost(t, m.Spot)
	}
	return 0
}

// undrainActions undrains machines for the shortages, the cheapest first, and returns the shortages
// that remain.
func (f *Fleet) undrainActions(status []model.MachineStatus, shortages []shortage) ([]Action, []shortage) {
	var candidates []*model.MachineStatus
	for i := range status {
		if state := f.machines[status[i].Machine.ID]; state != nil && state.draining && !state.returning &&
			!state.planDraining && state.leaseExpiredSince == 0 &&
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

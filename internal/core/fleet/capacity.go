package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// availableMachine is a machine that tasks can be placed on now, or after it has booted.
type availableMachine struct {
	machine      model.Machine
	free         model.Resources
	usedByDemand bool // tasks of the present demand would be placed here
	status       *model.MachineStatus
}

// availableMachines returns the machines that are usable or booting, including those of rentals in
// progress, with their free resources. status is nil for machines that no shard has reported.
func (f *Fleet) availableMachines(now time.Duration, status []model.MachineStatus) []availableMachine {
	machines := make([]availableMachine, 0, len(f.machines)+maxRentCount)
	f.cycle++
	for i := range status {
		s := &status[i]
		state := f.machines[s.Machine.ID]
		state.lastSeenCycle = f.cycle
		if !s.Draining && !s.Faulty && state.leaseExpiredSince == 0 && !state.draining && !state.planDraining {
			machines = append(machines, availableMachine{machine: s.Machine, free: s.Avail, status: s})
		}
	}
	for id, state := range f.machines {
		t := f.typeOf(state.machineType)
		if state.lastSeenCycle == f.cycle || state.returning || state.planDraining || state.failed || t == nil ||
			now-state.knownSince > 2*t.Boot+10*time.Second {
			continue
		}
		machines = append(machines, availableMachine{machine: model.Machine{ID: id, Type: state.machineType,
			Zone: state.zone, Spot: state.spot, Cap: t.Cap}, free: t.Cap})
	}
	slices.SortFunc(machines, func(a, b availableMachine) int { return cmp.Compare(a.machine.ID, b.machine.ID) })
	for _, a := range f.renting {
		if t := f.typeOf(a.Type); t != nil {
			for range a.Count {
				machines = append(machines, availableMachine{machine: a.machine(t), free: t.Cap})
			}
		}
	}
	return machines
}

// freeCPU sums the free CPU of the machines.
func freeCPU(machines []availableMachine) int64 {
	var free int64
	for i := range machines {
		free += max(0, machines[i].free.CPU)
	}
	return free
}

// machine returns one of the machines that a rental requests.
func (a *Action) machine(t *model.MachineType) model.Machine {
	return model.Machine{Type: a.Type, Zone: a.Zone, Spot: a.Spot, Cap: t.Cap}
}

// shortagesAfterRental returns the shortages that remain once a rental has been carried out.
func (f *Fleet) shortagesAfterRental(shortages []shortage, a Action) []shortage {
	t := f.typeOf(a.Type)
	m := a.machine(t)
	return shortagesAfterPlacing(shortages, &m, t.Cap.Times(int64(a.Count)))
}

// shortagesAfterPlacing returns the shortages that remain if machines like m offer the free
// resources in addition.
func shortagesAfterPlacing(shortages []shortage, m *model.Machine, free model.Resources) []shortage {
	var remaining []shortage
	for _, missing := range shortages {
		if missing.spec.Allows(m) && missing.spec.PerTask.Fits(m.Cap) {
			placed := min(missing.tasks, missing.spec.PerTask.Count(free))
			free = free.Sub(missing.spec.PerTask.Times(placed))
			missing.tasks, missing.fitsNoMachine = missing.tasks-placed, false
		}
		if missing.tasks > 0 {
			remaining = append(remaining, missing)
		}
	}
	return remaining
}

// shortage is a number of waiting tasks of a job for which there is no capacity.
type shortage struct {
	spec  *model.Spec
	tasks int64
	// fitsNoMachine: no available machine could run a task even if it were empty, so waiting
	// does not help.
	fitsNoMachine bool
}

// rentableDemand returns the demand that machines are rented for. Best-effort jobs wait for idle
// machines first, but not longer than Params.BestEffortWait.
func (f *Fleet) rentableDemand(now time.Duration, demand []Demand) []Demand {
	rentable := make([]Demand, 0, len(demand))
	for _, d := range demand {
		if d.Job.Spec.BestEffort && now-d.Job.WaitingSince < f.params.BestEffortWait {
			if !d.Job.Overdue {
				continue
			}
			d.Job.Unfinished = min(d.Job.Unfinished, d.Placed+1) // overdue: capacity for its first task
		}
		rentable = append(rentable, d)
	}
	return rentable
}

// findShortages returns the waiting tasks for which there is no capacity, now or once machines have
// booted. Tasks beyond their team's limit are not counted. It marks the machines that the demand uses.
func findShortages(machines []availableMachine, demand []Demand, limit func(model.Name) model.Resources) []shortage {
	teamLimitLeft := map[model.Name]int64{}
	for _, d := range demand {
		team := d.Job.Spec.Team
		if _, ok := teamLimitLeft[team]; !ok {
			teamLimitLeft[team] = 1 << 50
			if teamLimit := limit(team).CPU; teamLimit > 0 {
				teamLimitLeft[team] = teamLimit
			}
		}
		teamLimitLeft[team] -= int64(d.Placed) * d.Job.Spec.PerTask.CPU
	}
	var shortages []shortage
	candidates := largeEnoughMachines(machines, demand)
	for _, d := range demand {
		spec := d.Job.Spec
		missing := int64(d.Job.Unfinished - d.Placed)
		missing = min(missing, max(0, teamLimitLeft[spec.Team]/max(1, spec.PerTask.CPU)))
		if missing <= 0 {
			continue
		}
		teamLimitLeft[spec.Team] -= missing * spec.PerTask.CPU
		exhausted := 0
		for _, candidate := range candidates {
			if missing <= 0 {
				break
			}
			if candidate.free.CPU == 0 {
				exhausted++
				continue
			}
			if !spec.Allows(&candidate.machine) {
				continue
			}
			if placed := min(missing, spec.PerTask.Count(candidate.free)); placed > 0 {
				candidate.free = candidate.free.Sub(spec.PerTask.Times(placed))
				candidate.usedByDemand = true
				missing -= placed
			}
		}
		if exhausted > len(candidates)/2 {
			candidates = slices.DeleteFunc(candidates, func(candidate *availableMachine) bool { return candidate.free.CPU == 0 })
		}
		if missing > 0 {
			shortages = append(shortages, shortage{spec, missing, fitsNoMachine(spec, machines)})
		}
	}
	return shortages
}

// largeEnoughMachines returns the machines with enough free CPU for the smallest of the tasks.
func largeEnoughMachines(machines []availableMachine, demand []Demand) []*availableMachine {
	minCPU := int64(math.MaxInt64)
	for i := range demand {
		minCPU = min(minCPU, demand[i].Job.Spec.PerTask.CPU)
	}
	large := make([]*availableMachine, 0, len(machines))
	for i := range machines {
		if machines[i].free.CPU >= minCPU {
			large = append(large, &machines[i])
		}
	}
	return large
}

// fitsNoMachine reports whether no machine could run a task of the job even if it were empty.
func fitsNoMachine(spec *model.Spec, machines []availableMachine) bool {
	for i := range machines {
		if spec.Allows(&machines[i].machine) && spec.PerTask.Fits(machines[i].machine.Cap) {
			return false
		}
	}
	return true
}

package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"honeylock/internal/core/dispatcher"
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
		if missing.mayUse(m) {
			placed := min(missing.tasks, missing.fitting(m, free))
			free = free.Sub(missing.spec.PerTask.Times(placed))
			missing.zones = missing.zones.Clone()
			missing.zones.Add(m.Zone, placed)
			missing.tasks, missing.fitsNoMachine, missing.stalled = missing.tasks-placed, false, false
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
	zones dispatcher.ZoneQuota // counts the tasks for which there is capacity as well
	tasks int64
	// fitsNoMachine: no available machine could run a task even if it were empty, so waiting
	// does not help.
	fitsNoMachine bool
	// stalled: the job has made no progress for maxStall, so waiting has not helped.
	stalled bool
}

// fitsEmpty reports whether a task of the job may run on a machine that is empty, whatever zones the
// other tasks are in.
func (s *shortage) fitsEmpty(m *model.Machine) bool {
	return s.spec.Allows(m) && s.spec.PerTask.Fits(m.Cap)
}

// mayUse reports whether a task of the job may be placed on a machine now, if enough of it is free.
func (s *shortage) mayUse(m *model.Machine) bool {
	return s.fitsEmpty(m) && s.zones.Room(m.Zone) > 0
}

// fitting returns how many tasks of the job may be placed in the free resources of a machine that the
// job may use.
func (s *shortage) fitting(m *model.Machine, free model.Resources) int64 {
	return min(s.spec.PerTask.Count(free), s.zones.Room(m.Zone))
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
	limits := newLimitCheck(demand, limit)
	var shortages []shortage
	candidates := largeEnoughMachines(machines, demand)
	for i := range demand {
		d := &demand[i]
		missing := shortage{spec: d.Job.Spec, zones: d.Job.Zones.Without(int64(d.Job.Assigned - d.Placed)),
			tasks: limits.take(d.Job.Spec, int64(d.Job.Unfinished-d.Placed))}
		if missing.tasks <= 0 {
			continue
		}
		usable := candidates
		if missing.zones.ChoosesZone() {
			usable = inBestZone(candidates, &missing)
		}
		if full := missing.placeOn(usable); full > len(candidates)/2 {
			candidates = slices.DeleteFunc(candidates, func(candidate *availableMachine) bool { return candidate.free.CPU == 0 })
		}
		if missing.tasks > 0 {
			missing.fitsNoMachine = fitsNoMachine(&missing, machines)
			shortages = append(shortages, missing)
		}
	}
	return shortages
}

// placeOn takes capacity for the missing tasks from the machines, as far as they have it. It returns how
// many machines without free CPU it has seen.
func (s *shortage) placeOn(machines []*availableMachine) (full int) {
	for _, candidate := range machines {
		if s.tasks <= 0 {
			break
		}
		if candidate.free.CPU == 0 {
			full++
			continue
		}
		if !s.mayUse(&candidate.machine) {
			continue
		}
		if placed := min(s.tasks, s.fitting(&candidate.machine, candidate.free)); placed > 0 {
			candidate.free = candidate.free.Sub(s.spec.PerTask.Times(placed))
			candidate.usedByDemand = true
			s.zones.Add(candidate.machine.Zone, placed)
			s.tasks -= placed
		}
	}
	return full
}

// inBestZone returns the machines of the zone that has capacity for most of the missing tasks, which is
// the one that the dispatcher chooses.
func inBestZone(machines []*availableMachine, missing *shortage) []*availableMachine {
	fitting := map[model.Name]int64{}
	best := model.None
	for _, candidate := range machines {
		if !missing.mayUse(&candidate.machine) {
			continue
		}
		zone := candidate.machine.Zone
		fitting[zone] += missing.fitting(&candidate.machine, candidate.free)
		if fitting[zone] > fitting[best] {
			best = zone
		}
	}
	var out []*availableMachine
	for _, candidate := range machines {
		if candidate.machine.Zone == best {
			out = append(out, candidate)
		}
	}
	return out
}

// limitCheck tracks how much of the teams' limits the demand leaves.
type limitCheck struct {
	limit func(model.Name) model.Resources
	used  map[model.Name]model.Resources
}

// newLimitCheck returns a check that counts the tasks of the demand that are on machines.
func newLimitCheck(demand []Demand, limit func(model.Name) model.Resources) *limitCheck {
	l := &limitCheck{limit: limit, used: map[model.Name]model.Resources{}}
	for i := range demand {
		l.use(demand[i].Job.Spec, int64(demand[i].Placed))
	}
	return l
}

// use counts tasks as using their team's limit.
func (l *limitCheck) use(spec *model.Spec, tasks int64) {
	l.used[spec.Team] = l.used[spec.Team].Add(spec.PerTask.Times(tasks))
}

// take returns how many of the tasks their team's limit allows, and counts them.
func (l *limitCheck) take(spec *model.Spec, tasks int64) int64 {
	remaining := dispatcher.Team{Limit: l.limit(spec.Team)}.Remaining(l.used[spec.Team])
	tasks = max(0, min(tasks, spec.PerTask.Count(remaining)))
	l.use(spec, tasks)
	return tasks
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

// fitsNoMachine reports whether no machine could run one of the missing tasks even if it were empty. A
// zone that has its share of a batch job's tasks can run more once some are done; replicas never are.
func fitsNoMachine(missing *shortage, machines []availableMachine) bool {
	waitForZone := !missing.spec.Daemon
	for i := range machines {
		m := &machines[i].machine
		if missing.fitsEmpty(m) && (waitForZone || missing.zones.Room(m.Zone) > 0) {
			return false
		}
	}
	return true
}

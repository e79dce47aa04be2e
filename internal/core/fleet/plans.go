package fleet

import (
	"time"

	"honeylock/internal/core/model"
)

// SetDrainPlans sets which machines plans are draining, and which they are scheduled to drain. The
// former count neither as capacity nor as surplus; the latter are not, or no longer, drained for
// their price.
func (f *Fleet) SetDrainPlans(plans func(model.MachineID) (draining, scheduled bool)) {
	for id, state := range f.machines {
		state.planDraining, state.planScheduled = plans(id)
		state.draining = state.draining && !state.planScheduled
	}
}

// movingCPU returns the CPU of the tasks on machines that plans are draining. They need capacity
// elsewhere unless they end first. If that capacity were treated as surplus and returned, the
// plans' moves would have to wait until tasks end.
func (f *Fleet) movingCPU(status []model.MachineStatus) int64 {
	var cpu int64
	for i := range status {
		s := &status[i]
		if state := f.machines[s.Machine.ID]; state != nil && state.planDraining && s.AttemptCount > 0 {
			cpu += max(0, s.Machine.Cap.CPU-s.Avail.CPU)
		}
	}
	return cpu
}

// BeginReturn marks machines as being returned by the caller. It returns false, and marks none, if
// another return is in progress: the caller should retry later.
func (f *Fleet) BeginReturn(ids []model.MachineID) bool {
	if f.returnInProgress {
		return false
	}
	f.returnInProgress = true
	for _, id := range ids {
		if state := f.machines[id]; state != nil {
			state.returning = true
		}
	}
	return true
}

// AddRented adds machines that the caller has rented. They count as capacity while they boot.
func (f *Fleet) AddRented(now time.Duration, ids []model.MachineID, template model.Machine) {
	for _, id := range ids {
		f.ensureMachine(now, id, machineKind{template.Type, template.Zone, template.Spot})
	}
}

// ForEachMachine calls do for each machine that the cloud has, with when it came to exist: those
// listed, and those that are too new to be listed. listed reports whether the list has been read.
func (f *Fleet) ForEachMachine(now time.Duration, do func(m model.Machine, since time.Duration)) (listed bool) {
	for id, state := range f.machines {
		if state.firstListed == 0 && now-max(state.knownSince, f.params.TermStart) > 2*f.params.ListLag+listLagMargin {
			continue // it would be listed by now if it existed
		}
		do(model.Machine{ID: id, Type: state.machineType, Zone: state.zone, Spot: state.spot}, state.knownSince)
	}
	return f.listed
}

// BootTime returns how long a machine of a type takes to boot, by the catalog; one minute if the
// type is unknown.
func (f *Fleet) BootTime(machineType model.Name) time.Duration {
	if t := f.typeOf(machineType); t != nil {
		return t.Boot
	}
	return time.Minute
}

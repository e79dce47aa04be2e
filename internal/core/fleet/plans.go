package fleet

import (
	"time"

	"honeylock/internal/core/model"
)

// SetDrainPlans takes which machines plans drain, which are neither room nor surplus, and
// which they will, whose price is no longer asked about.
func (f *Fleet) SetDrainPlans(plans func(model.MachineID) (draining, scheduled bool)) {
	for id, u := range f.machines {
		u.planDraining, u.planScheduled = plans(id)
		u.draining = u.draining && !u.planScheduled
	}
}

// movingCPU is the CPU of what runs on machines that plans drain: it needs room elsewhere, unless
// it ends first. None of that room is surplus, or the plans' moves wait until tasks end.
func (f *Fleet) movingCPU(status []model.MachineStatus) int64 {
	var cpu int64
	for i := range status {
		s := &status[i]
		if u := f.machines[s.Machine.ID]; u != nil && u.planDraining && s.Slots > 0 {
			cpu += max(0, s.Machine.Cap.CPU-s.Avail.CPU)
		}
	}
	return cpu
}

// BeginReturn begins a return that somebody else has decided on; false tells that one is
// under way, and to come back.
func (f *Fleet) BeginReturn(ids []model.MachineID) bool {
	if f.returnInProgress {
		return false
	}
	f.returnInProgress = true
	for _, id := range ids {
		if u := f.machines[id]; u != nil {
			u.returning = true
		}
	}
	return true
}

// AddRented takes machines that somebody else has rented, as room to come.
func (f *Fleet) AddRented(now time.Duration, ids []model.MachineID, template model.Machine) {
	for _, id := range ids {
		f.ensureMachine(now, id, machineKind{template.Type, template.Zone, template.Spot})
	}
}

// ForEachMachine are the machines that the cloud has, with since when: those listed, and
// those too new to be. listed tells that the list has been read.
func (f *Fleet) ForEachMachine(now time.Duration, do func(m model.Machine, since time.Duration)) (listed bool) {
	for id, u := range f.machines {
		if u.firstListed == 0 && now-max(u.knownSince, f.params.TermStart) > 2*f.params.ListLag+listLagMargin {
			continue // it would be listed by now
		}
		do(model.Machine{ID: id, Type: u.machineType, Zone: u.zone, Spot: u.spot}, u.knownSince)
	}
	return f.listed
}

// BootTime is how long a machine of a type takes to come up, as the catalog has it.
func (f *Fleet) BootTime(machineType model.Name) time.Duration {
	if t := f.typeOf(machineType); t != nil {
		return t.Boot
	}
	return time.Minute
}

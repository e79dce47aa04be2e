package fleet

import (
	"time"

	"honeylock/internal/core/model"
)

// idleLimit returns how long a machine may be idle before it is returned: the more expensive, the
// shorter. Unless demand is low the limit is long, because a replacement must boot and fetch
// images first.
func (f *Fleet) idleLimit(machine *model.Machine, lowDemand bool) time.Duration {
	limit := f.params.IdleReturn
	if lowDemand {
		limit /= 6
	}
	return time.Duration(float64(limit) / max(1, f.cpuCost(machine)/f.minCPUCost()))
}

// selectReturns picks the machines to return: those that are lost, those that are idle and not
// needed for plans' moves, and faulty ones without tasks.
func (f *Fleet) selectReturns(now time.Duration, status []model.MachineStatus, machines []availableMachine,
	lowDemand bool, movingCPU int64) []model.MachineID {
	returns := f.lostMachines(now)
	returns = append(returns, f.idleMachines(now, machines, lowDemand, movingCPU)...)
	for i := range status {
		s := &status[i]
		if state := f.machines[s.Machine.ID]; state != nil && !state.returning && !state.planDraining && s.Faulty &&
			s.AttemptCount == 0 {
			returns = append(returns, s.Machine.ID)
		}
	}
	return f.markReturning(returns)
}

// lostMachines returns the machines that failed, never reported, or whose leases expired long ago
// or are no longer renewed while the cloud no longer lists the machine.
func (f *Fleet) lostMachines(now time.Duration) []model.MachineID {
	var lost []model.MachineID
	partitioned := f.partitionedZones()
	for id, state := range f.machines {
		if state.returning {
			continue
		}
		t := f.typeOf(state.machineType)
		limit := leaseExpiredLimit
		if partitioned[state.zone] {
			limit = partitionLimit
		}
		switch {
		case state.failed,
			!state.reported && t != nil && now-max(state.knownSince, f.params.TermStart) > 4*t.Boot+20*time.Second,
			state.leaseExpiredSince != 0 && now-state.leaseExpiredSince > 20*time.Second &&
				now-state.lastListed > 2*f.params.ListLag,
			state.leaseExpiredSince != 0 && now-state.leaseExpiredSince > limit:
			lost = append(lost, id)
		}
	}
	return lost
}

// idleMachines returns the machines that have been idle for longer than their limit, unless there
// were shortages within half of it, and as long as enough free capacity is left for the tasks that
// plans move.
func (f *Fleet) idleMachines(now time.Duration, machines []availableMachine, lowDemand bool,
	movingCPU int64) []model.MachineID {
	var idle []model.MachineID
	free := freeCPU(machines)
	for i := range machines {
		candidate := &machines[i]
		if candidate.status == nil || candidate.usedByDemand || candidate.status.AttemptCount > 0 {
			continue
		}
		if limit := f.idleLimit(&candidate.machine, lowDemand); now-candidate.status.IdleSince < limit ||
			now-f.lastShortageAt < limit/2 {
			continue
		}
		remaining := free - max(0, candidate.free.CPU)
		if remaining < movingCPU {
			continue
		}
		if state := f.machines[candidate.machine.ID]; state != nil && !state.returning && state.leaseExpiredSince == 0 {
			idle = append(idle, candidate.machine.ID)
			free = remaining
		}
	}
	return idle
}

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
	lowDemand bool,
	movingCPU int64) []model.MachineID {
	returns := f.lostMachines(now)
	returns = append(returns, f.idleMachines(now, machines, lowDemand, movingCPU)...)
	for i := range status {
		s := &status[i]
		if u := f.machines[s.Machine.ID]; u != nil && !u.returning && !u.planDraining && s.Faulty && s.Slots == 0 {
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
	for id, u := range f.machines {
		if u.returning {
			continue
		}
		t := f.typeOf(u.machineType)
		limit := leaseExpiredLimit
		if partitioned[u.zone] {
			limit = partitionLimit
		}
		switch {
		case u.failed,
			!u.reported && t != nil && now-max(u.knownSince, f.params.TermStart) > 4*t.Boot+20*time.Second,
			u.leaseExpiredSince != 0 && now-u.leaseExpiredSince > 20*time.Second && now-u.lastListed > 2*f.params.ListLag,
			u.leaseExpiredSince != 0 && now-u.leaseExpiredSince > limit:
			lost = append(lost, id)
		}
	}
	return lost
}

// idleMachines returns the machines that have been idle for longer than their limit, as long as
// enough free capacity is left for tasks that plans move.
func (f *Fleet) idleMachines(now time.Duration, machines []availableMachine, lowDemand bool,
	movingCPU int64) []model.MachineID {
	var idle []model.MachineID
	free := freeCPU(machines)
	for i := range machines {
		r := &machines[i]
		if r.status == nil || r.usedByDemand || r.status.Slots > 0 {
			continue
		}
		if limit := f.idleLimit(&r.machine, lowDemand); now-r.status.IdleSince < limit || now-f.lastShortageAt < limit/2 {
			continue
		}
		remaining := free - max(0, r.free.CPU)
		if remaining < movingCPU {
			continue
		}
		if u := f.machines[r.machine.ID]; u != nil && !u.returning && u.leaseExpiredSince == 0 {
			idle = append(idle, r.machine.ID)
			free = remaining
		}
	}
	return idle
}

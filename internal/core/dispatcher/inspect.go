package dispatcher

import "honeylock/internal/core/model"

// The methods below show a task's state for checks that compare it with the shards' state and with
// what machines run. Two invariants hold throughout a term: a task that a shard holds is assigned
// to that shard here, and a running attempt is charged to its team, or its whole machine is charged
// to all teams.

// IsAssigned reports whether a task is assigned to the given shard.
func (d *Dispatcher) IsAssigned(t model.Task, shard model.ShardID) bool {
	j := d.jobs[t.Job]
	return j != nil && d.isAssignedTo(j, t.Index, shard)
}

// IsCharged reports whether an attempt of a task on a machine counts against its team's limit: by
// the task's own charge, or because the whole machine is charged while the attempt is rejected or
// the machine is unaccounted.
func (d *Dispatcher) IsCharged(t model.Task, attempt uint64, machine model.MachineID) bool {
	if j := d.jobs[t.Job]; j != nil && d.hasCharge(j, t.Index) {
		return true
	}
	_, rejected := d.rejected[attempt]
	return rejected || d.unaccounted[machine]
}

// AssignedByZone returns the number of a job's charged tasks per zone that they are charged to.
func (d *Dispatcher) AssignedByZone(id model.JobID) map[model.Name]int {
	zones := map[model.Name]int{}
	if j := d.jobs[id]; j != nil {
		for _, a := range j.assignments {
			zones[a.zone]++
		}
	}
	return zones
}

// Owner returns the shard that owns a machine; 0: none, or the machine is unknown or gone.
func (d *Dispatcher) Owner(id model.MachineID) model.ShardID {
	if m := d.machines[id]; m != nil && !m.gone {
		return m.owner
	}
	return 0
}

// Releasing reports whether a machine's owner has been ordered to release it and has not answered.
func (d *Dispatcher) Releasing(id model.MachineID) bool {
	m := d.machines[id]
	return m != nil && m.releasing
}

// ForEachAssigned calls f for every task that is assigned to a living shard.
func (d *Dispatcher) ForEachAssigned(f func(t model.Task, shard model.ShardID)) {
	for _, j := range d.jobsBySubmission {
		for index, a := range j.assignments {
			if a.group == nil {
				f(model.Task{Job: j.spec.ID, Index: index}, a.shard)
			}
		}
	}
}

package dispatcher

import "honeylock/internal/core/model"

// What the cluster state says of a task, for checks that compare it with what shards hold and
// with what machines run. Two things hold at any moment of a term: a task that a shard holds is
// charged to that shard here, and an attempt on a machine is charged to its team, or the whole
// machine is to all teams.

// IsAssigned tells whether a task is charged to a living shard.
func (d *Dispatcher) IsAssigned(t model.Task, shard model.ShardID) bool {
	j := d.jobs[t.Job]
	return j != nil && d.isAssignedTo(j, t.Index, shard)
}

// IsCharged tells whether an attempt of a task on a machine counts against its team's limit: by
// the task itself, or by its machine, all of which counts while it is not accounted for.
func (d *Dispatcher) IsCharged(t model.Task, attempt uint64, machine model.MachineID) bool {
	if j := d.jobs[t.Job]; j != nil && d.isAssigned(j, t.Index) {
		return true
	}
	_, rejected := d.rejected[attempt]
	return rejected || d.unaccounted[machine]
}

// AssignedByZone counts a job's charged tasks by the zones that they are charged to.
func (d *Dispatcher) AssignedByZone(id model.JobID) map[model.Name]int {
	zones := map[model.Name]int{}
	if j := d.jobs[id]; j != nil {
		for _, a := range j.assignments {
			zones[a.zone]++
		}
	}
	return zones
}

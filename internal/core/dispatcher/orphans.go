package dispatcher

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// orphanGroup is a set of tasks whose shard was lost or has released a machine. Each may still run
// on any of the group's machines. The tasks are freed once every machine is accounted for: its
// worker was fenced by a new owner, its lease is certainly over, or it is gone. Tasks found before
// that are adopted and leave the group.
type orphanGroup struct {
	machines map[model.MachineID]bool
	tasks    map[model.Task]bool
}

// newOrphanGroup returns a group without machines and tasks.
func newOrphanGroup() *orphanGroup {
	return &orphanGroup{machines: map[model.MachineID]bool{}, tasks: map[model.Task]bool{}}
}

// waitForMachine adds a machine that must be accounted for before the tasks are freed.
func (g *orphanGroup) waitForMachine(m *machine) {
	g.machines[m.ID] = true
	m.orphanGroups = append(m.orphanGroups, g)
}

// rejectedAttempt is an attempt that was found but not adopted. Its whole machine is charged to all
// teams until it has ended.
type rejectedAttempt struct {
	machine model.MachineID
	owner   model.ShardID
}

// ShardLost handles the loss of a shard, which may have acted until end. Its tasks become orphans:
// they stay charged until each of its machines is accounted for.
func (d *Dispatcher) ShardLost(id model.ShardID, end time.Duration) {
	if d.members[id] == nil {
		return
	}
	delete(d.members, id)
	group := newOrphanGroup()
	for _, m := range d.sortedMachines() {
		if m.nextOwner == id {
			m.nextOwner = 0
		}
		if m.owner == id {
			m.owner, m.nextOwner, m.releasing, m.renewalDue = 0, 0, false, false
			delete(d.deferredEvents, m.ID)
			m.lostAuthorityEnd = max(m.lostAuthorityEnd, end)
			m.authorityEnd = max(m.authorityEnd, end)
			m.leaseExpired = false
			if m.gone {
				continue // nothing runs there, and it may be removed before it could be accounted for
			}
			group.waitForMachine(m)
		}
	}
	for _, j := range d.sortedJobs() {
		for index, a := range j.assignments {
			if a.shard == id && a.group == nil {
				d.setOrphaned(j, index, group)
			}
		}
	}
	d.freeIfAccounted(group)
}

// setOrphaned moves a charged task from its shard to an orphan group.
func (d *Dispatcher) setOrphaned(j *job, index int32, group *orphanGroup) {
	a := j.assignments[index]
	if a.group == nil {
		j.orphaned++
	}
	a.shard, a.group = 0, group
	j.assignments[index] = a
	group.tasks[model.Task{Job: j.spec.ID, Index: index}] = true
}

// freeIfAccounted frees the group's remaining tasks once all of its machines are accounted for.
func (d *Dispatcher) freeIfAccounted(group *orphanGroup) {
	if len(group.machines) > 0 {
		return
	}
	tasks := make([]model.Task, 0, len(group.tasks))
	for t := range group.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, model.Task.Compare)
	for _, t := range tasks {
		if j := d.jobs[t.Job]; j != nil && j.assignments[t.Index].group == group {
			d.freeTask(j, t.Index, MachinesAccounted)
			if d.params.ReportInterruptions {
				d.freedTasks = append(d.freedTasks, t)
			}
		}
	}
	group.tasks = nil
}

// markAccounted records that a machine is accounted for: everything that earlier owners left there
// has been found or is gone.
func (d *Dispatcher) markAccounted(m *machine) {
	delete(d.unaccounted, m.ID)
	for id, a := range d.rejected {
		if a.machine == m.ID && a.owner != m.owner {
			delete(d.rejected, id) // the new owner has found the attempt again, or it is gone
		}
	}
	groups := m.orphanGroups
	m.orphanGroups = nil
	for _, group := range groups {
		delete(group.machines, m.ID)
		d.freeIfAccounted(group)
	}
}

// machineReleased handles the release of a machine by its owner. The tasks that were there become
// orphans until the next owner has fenced the worker.
func (d *Dispatcher) machineReleased(now time.Duration, from model.ShardID, m *machine, e *model.Event) {
	group := d.orphanTasks(from, e.Tasks)
	if m == nil { // the machine was removed because it is gone, so nothing runs there
		d.freeIfAccounted(group)
		return
	}
	if m.owner != from || d.IsStale(from, e) {
		// The machine was considered gone in the meantime, and has been seen again. The shard does not know
		// the tasks any more. What its present owner has not found does not run there.
		if !m.gone && !m.fenced {
			group.waitForMachine(m)
		}
		d.freeIfAccounted(group)
		return
	}
	m.recordRelease(now, e)
	group.waitForMachine(m)
	m.owner, m.releasing, m.renewalDue = 0, false, false
	delete(d.deferredEvents, m.ID)
	if m.gone {
		d.markAccounted(m)
	} else if d.members[m.nextOwner] != nil {
		d.assignOwner(m, m.nextOwner)
	}
	m.nextOwner = 0
}

// orphanTasks moves those of the tasks that are assigned to a shard to a new orphan group.
func (d *Dispatcher) orphanTasks(shard model.ShardID, tasks []model.Task) *orphanGroup {
	group := newOrphanGroup()
	for _, t := range tasks {
		if j := d.jobs[t.Job]; j != nil && d.isAssignedTo(j, t.Index, shard) {
			d.setOrphaned(j, t.Index, group)
		}
	}
	return group
}

package dispatcher

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// orphanGroup is a set of tasks whose shard was lost, or let go of a machine. They
// may be on any of the machines, and are free once each of those has been
// accounted for: its worker fenced by a new owner, its lease surely over, or
// the machine gone. Those found are adopted before that.
type orphanGroup struct {
	machines map[model.MachineID]bool
	tasks    map[model.Task]bool
}

func newOrphanGroup() *orphanGroup {
	return &orphanGroup{machines: map[model.MachineID]bool{}, tasks: map[model.Task]bool{}}
}

// waitForMachine has the tasks wait for a machine to be accounted for.
func (g *orphanGroup) waitForMachine(m *machine) {
	g.machines[m.ID] = true
	m.orphanGroups = append(m.orphanGroups, g)
}

// rejectedAttempt is an attempt that must go; it runs unaccounted until it has.
type rejectedAttempt struct {
	machine model.MachineID
	owner   model.ShardID
}

// ShardLost takes the loss of a shard, which may have acted, unseen, until end. Its
// tasks stay charged until each of its machines is accounted for.
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
			m.owner, m.nextOwner, m.releasing = 0, 0, false
			delete(d.deferredEvents, m.ID)
			m.lostAuthorityEnd = max(m.lostAuthorityEnd, end)
			m.authorityEnd = max(m.authorityEnd, end)
			m.leaseExpired = false
			if m.gone {
				continue // nothing is there, and it will be forgotten before it could be accounted for
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

func (d *Dispatcher) setOrphaned(j *job, index int32, group *orphanGroup) {
	a := j.assignments[index]
	if a.group == nil {
		j.orphaned++
	}
	a.shard, a.group = 0, group
	j.assignments[index] = a
	group.tasks[model.Task{Job: j.spec.ID, Index: index}] = true
}

// freeIfAccounted frees what is still orphaned once no machine is left to look at.
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

// markAccounted accounts for a machine: all that an earlier owner left there has
// been found, or is gone.
func (d *Dispatcher) markAccounted(m *machine) {
	delete(d.unaccounted, m.ID)
	for id, a := range d.rejected {
		if a.machine == m.ID && a.owner != m.owner {
			delete(d.rejected, id) // its owner has found it again, or it is gone
		}
	}
	groups := m.orphanGroups
	m.orphanGroups = nil
	for _, group := range groups {
		delete(group.machines, m.ID)
		d.freeIfAccounted(group)
	}
}

func (d *Dispatcher) machineReleased(now time.Duration, from model.ShardID, m *machine, e model.Event) {
	if m != nil && m.owner != from {
		return
	}
	group := newOrphanGroup()
	for _, t := range e.Tasks {
		if j := d.jobs[t.Job]; j != nil && d.isAssignedTo(j, t.Index, from) {
			d.setOrphaned(j, t.Index, group)
		}
	}
	if m == nil { // only machines that are gone are forgotten: nothing is there
		d.freeIfAccounted(group)
		return
	}
	m.recordRelease(now, &e)
	group.waitForMachine(m)
	m.owner, m.releasing = 0, false
	delete(d.deferredEvents, m.ID)
	if m.gone {
		d.markAccounted(m)
	} else if d.members[m.nextOwner] != nil {
		d.assignOwner(m, m.nextOwner)
	}
	m.nextOwner = 0
}

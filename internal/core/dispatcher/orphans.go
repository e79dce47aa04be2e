package dispatcher

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// orphans is a set of tasks whose shard was lost, or let go of a machine. They
// may be on any of the machines, and are free once each of those has been
// accounted for: its worker fenced by a new owner, its lease surely over, or
// the machine gone. Those found are adopted before that.
type orphans struct {
	machines map[model.MachineID]bool
	tasks    map[model.Task]bool
}

func newOrphans() *orphans {
	return &orphans{machines: map[model.MachineID]bool{}, tasks: map[model.Task]bool{}}
}

// mayBeOn has the tasks wait for a machine to be accounted for.
func (g *orphans) mayBeOn(m *machine) {
	g.machines[m.ID] = true
	m.groups = append(m.groups, g)
}

// stray is an attempt that must go; it runs unaccounted until it has.
type stray struct {
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
	g := newOrphans()
	for _, m := range d.sortedMachines() {
		if m.next == id {
			m.next = 0
		}
		if m.owner == id {
			m.owner, m.next, m.releasing = 0, 0, false
			delete(d.heldBack, m.ID)
			m.lost = max(m.lost, end)
			m.authority = max(m.authority, end)
			m.leaseExpired = false
			if m.gone {
				continue // nothing is there, and it will be forgotten before it could be accounted for
			}
			g.mayBeOn(m)
		}
	}
	for _, j := range d.sortedJobs() {
		for no, h := range j.held {
			if h.shard == id && h.orphans == nil {
				d.setOrphaned(j, no, g)
			}
		}
	}
	d.settle(g)
}

func (d *Dispatcher) setOrphaned(j *job, no int32, g *orphans) {
	h := j.held[no]
	if h.orphans == nil {
		j.orphaned++
	}
	h.shard, h.orphans = 0, g
	j.held[no] = h
	g.tasks[model.Task{Job: j.spec.ID, Index: no}] = true
}

// settle frees what is still orphaned once no machine is left to look at.
func (d *Dispatcher) settle(g *orphans) {
	if len(g.machines) > 0 {
		return
	}
	tasks := make([]model.Task, 0, len(g.tasks))
	for t := range g.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, model.Task.Compare)
	for _, t := range tasks {
		if j := d.jobs[t.Job]; j != nil && j.held[t.Index].orphans == g {
			d.freed(j, t.Index, MachinesAccounted)
			if d.p.ReportInterruptions {
				d.freedNow = append(d.freedNow, t)
			}
		}
	}
	g.tasks = nil
}

// resolve accounts for a machine: all that an earlier owner left there has
// been found, or is gone.
func (d *Dispatcher) resolve(m *machine) {
	delete(d.suspects, m.ID)
	for id, a := range d.strays {
		if a.machine == m.ID && a.owner != m.owner {
			delete(d.strays, id) // its owner has found it again, or it is gone
		}
	}
	groups := m.groups
	m.groups = nil
	for _, g := range groups {
		delete(g.machines, m.ID)
		d.settle(g)
	}
}

func (d *Dispatcher) released(now time.Duration, from model.ShardID, m *machine, e model.Event) {
	if m != nil && m.owner != from {
		return
	}
	g := newOrphans()
	for _, t := range e.Tasks {
		if j := d.jobs[t.Job]; j != nil && d.holds(j, t.Index, from) {
			d.setOrphaned(j, t.Index, g)
		}
	}
	if m == nil { // only machines that are gone are forgotten: nothing is there
		d.settle(g)
		return
	}
	m.letGo(now, &e)
	g.mayBeOn(m)
	m.owner, m.releasing = 0, false
	delete(d.heldBack, m.ID)
	if m.gone {
		d.resolve(m)
	} else if d.members[m.next] != nil {
		d.own(m, m.next)
	}
	m.next = 0
}

package drain

import (
	"time"

	"honeylock/internal/core/model"
)

// View is the present as the leader knows it.
type View struct {
	Now      time.Duration // steady clock
	Wall     time.Time     // time of day: windows and people, never a rule
	Machines map[model.MachineID]Machine
	Jobs     []Job
	Spare    int64 // CPU that teams have left of their guarantees, in thousandths
	// Settled: every machine of earlier terms is accounted for and the cloud's
	// list has been read, so that a machine that is not in Machines is gone.
	Settled bool
	// Learned is how many times its estimate a task of the class takes, at a
	// part of all (0.5: half of them take less).
	Learned func(class model.Name, part float64) float64
	// Boot is how long a machine of the type may take to come up.
	Boot func(machineType model.Name) time.Duration
}

// Machine of a view.
type Machine struct {
	model.MachineStatus
	Told bool // its owner has told how it is; else only Machine is known
}

// Job that is open.
type Job struct {
	Spec          *model.Spec
	Open, Running int // tasks not done, and tasks on machines
}

// task is what runs on a machine, with its job.
type task struct {
	model.OnMachine
	sp *model.Spec
}

// seen is what a machine's owner last told of its tasks.
type seen struct {
	at    time.Duration
	none  bool // nothing runs there
	tasks []task
}

// left is how long a task runs on where it is, at a part of all.
func (v *View) left(t *task, part float64) time.Duration {
	whole := time.Duration(float64(t.sp.Estimate) * v.Learned(t.sp.Class, part))
	return max(0, whole-t.Ran)
}

// anew is how long it takes elsewhere once it is there.
func (v *View) anew(t *task, part float64) time.Duration {
	whole := time.Duration(float64(t.sp.Estimate) * v.Learned(t.sp.Class, part))
	if t.sp.Checkpoint > 0 { // it saves when it is stopped
		return max(0, whole-t.Ran) + t.sp.Save
	}
	return whole
}

// rooms counts the machines' room outside a set, for machines that may get tasks.
type rooms struct {
	free map[model.MachineID]model.Resources
	v    *View
}

func (v *View) rooms(barred map[model.MachineID]bool) *rooms {
	r := &rooms{free: map[model.MachineID]model.Resources{}, v: v}
	for id, m := range v.Machines {
		if m.Told && m.Ready && !m.Draining && !m.Faulty && !barred[id] {
			r.free[id] = m.Avail
		}
	}
	return r
}

// without is all free CPU but for one machine's.
func (r *rooms) without(id model.MachineID) int64 {
	var sum int64
	for x, f := range r.free {
		if x != id {
			sum += max(0, f.CPU)
		}
	}
	return sum
}

// take finds room for a task of the job away from a machine, and takes it.
func (r *rooms) take(sp *model.Spec, not model.MachineID) bool {
	best, found := model.MachineID(0), false
	for id, f := range r.free {
		m := r.v.Machines[id].Machine
		if id != not && sp.Allows(&m) && sp.Each.Fits(f) && (!found || id < best) {
			best, found = id, true
		}
	}
	if found {
		r.free[best] = r.free[best].Sub(sp.Each)
	}
	return found
}

// holds counts the job's tasks that the machines could hold at a time, were they
// empty, without one of them.
func (r *rooms) holds(sp *model.Spec, not model.MachineID) int64 {
	var n int64
	for id := range r.free {
		m := r.v.Machines[id].Machine
		if id != not && sp.Allows(&m) {
			n += sp.Each.Count(m.Cap)
		}
	}
	return n
}

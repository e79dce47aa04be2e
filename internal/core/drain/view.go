package drain

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/rollout"
)

// View is the present as the leader knows it.
type View struct {
	Now                time.Duration // steady clock
	Wall               time.Time     // time of day: windows and people, never a rule
	Machines           map[model.MachineID]Machine
	Jobs               []Job
	UnusedGuaranteeCPU int64 // CPU that teams have left of their guarantees, in thousandths
	// Recovered: every machine of earlier terms is accounted for and the cloud's
	// list has been read, so that a machine that is not in Machines is gone.
	Recovered bool
	// RunTimeFactor is how many times its estimate a task of the class takes, at a
	// part of all (0.5: half of them take less).
	RunTimeFactor func(class model.Name, part float64) float64
	// BootTime is how long a machine of the type may take to come up.
	BootTime func(machineType model.Name) time.Duration
	// RequestMove asks for a running task to be moved, for its machine's price or for a plan: ""
	// if it may, else what stands against it. nil: nothing does.
	RequestMove func(m MoveRequest) string
	// EvaluateGate compares machines that a plan has renewed with all others, nil: it can't be.
	EvaluateGate func(g rollout.Gate, ids []model.MachineID) rollout.Verdict
	// JobName is a job's name, for people.
	JobName func(model.JobID) string
}

// Machine of a view.
type Machine struct {
	model.MachineStatus
	Reported   bool          // its owner has told how it is; else only Machine is known
	KnownSince time.Duration // known since; of the steady clock, and before its beginning for old ones
}

// Job that is open.
type Job struct {
	Spec                          *model.Spec
	UnfinishedTasks, RunningTasks int // tasks not done, and tasks on machines
}

// MoveRequest is a running task that is to be moved.
type MoveRequest struct {
	Task           model.Task
	Spec           *model.Spec
	ForPrice       bool          // for its machine's price, not for a plan
	Ran, Remaining time.Duration // so far, and likely to come
}

// draws asks for a task to be moved.
func (v *View) draws(t *task, price bool) string {
	if v.RequestMove == nil {
		return ""
	}
	return v.RequestMove(MoveRequest{Task: t.Task, Spec: t.sp, ForPrice: price, Ran: t.RunTime, Remaining: v.left(t, likely)})
}

// task is what runs on a machine, with its job.
type task struct {
	model.PlacedTask
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
	return max(0, v.whole(t.sp, part)-t.RunTime)
}

// whole is how long a task of the job takes, at a part of all.
func (v *View) whole(sp *model.Spec, part float64) time.Duration {
	return time.Duration(float64(sp.Estimate) * v.RunTimeFactor(sp.Class, part))
}

// anew is how long it takes elsewhere once it is there.
func (v *View) anew(t *task, part float64) time.Duration {
	if t.sp.CheckpointInterval > 0 { // it saves when it is stopped
		return v.left(t, part) + t.sp.CheckpointTime
	}
	return v.whole(t.sp, part)
}

// kind of machines: what a job may ask for.
type kind struct {
	typ, zone model.Name
	spot      bool
	each      model.Resources
}

// rooms is the machines' room outside a set, for machines that may get tasks. It
// is made once for all questions of a tick.
type rooms struct {
	free  map[model.MachineID]model.Resources
	order []model.MachineID
	kinds map[kind]int64
	sum   int64 // of free CPU
	v     *View
}

func (v *View) rooms(barred map[model.MachineID]bool) *rooms {
	r := &rooms{free: make(map[model.MachineID]model.Resources, len(v.Machines)), kinds: map[kind]int64{}, v: v}
	for id, m := range v.Machines {
		if m.Reported && m.Ready && !m.Draining && !m.Faulty && !barred[id] {
			r.free[id] = m.Avail
			r.kinds[kindOf(&m.Machine)]++
			r.sum += max(0, m.Avail.CPU)
		}
	}
	return r
}

func kindOf(m *model.Machine) kind { return kind{m.Type, m.Zone, m.Spot, m.Cap} }

// drop takes a machine out.
func (r *rooms) drop(id model.MachineID) {
	if f, ok := r.free[id]; ok {
		m := r.v.Machines[id].Machine
		delete(r.free, id)
		r.kinds[kindOf(&m)]--
		r.sum -= max(0, f.CPU)
	}
}

// without is all free CPU but for one machine's.
func (r *rooms) without(id model.MachineID) int64 { return r.sum - max(0, r.free[id].CPU) }

// take finds room for a task of the job, and takes it.
func (r *rooms) take(sp *model.Spec) bool {
	if r.order == nil {
		for id := range r.free {
			r.order = append(r.order, id)
		}
		slices.Sort(r.order)
	}
	for _, id := range r.order {
		f, ok := r.free[id]
		if !ok || !sp.PerTask.Fits(f) {
			continue
		}
		if m := r.v.Machines[id].Machine; sp.Allows(&m) {
			r.free[id] = f.Sub(sp.PerTask)
			return true
		}
	}
	return false
}

// holds counts the job's tasks that the machines could hold at a time, were they
// empty, without one of them (0: with all).
func (r *rooms) holds(sp *model.Spec, not model.MachineID) int64 {
	var n int64
	for k, count := range r.kinds {
		if _, in := r.free[not]; in && not != 0 {
			if m := r.v.Machines[not].Machine; kindOf(&m) == k {
				count--
			}
		}
		if count > 0 && sp.Allows(&model.Machine{Type: k.typ, Zone: k.zone, Spot: k.spot}) {
			n += count * sp.PerTask.Count(k.each)
		}
	}
	return n
}

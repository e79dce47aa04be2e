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

// requestMove asks for a task to be moved.
func (v *View) requestMove(task *runningTask, forPrice bool) string {
	if v.RequestMove == nil {
		return ""
	}
	return v.RequestMove(MoveRequest{Task: task.Task, Spec: task.spec, ForPrice: forPrice, Ran: task.RunTime,
		Remaining: v.remainingRunTime(task, medianQuantile)})
}

// runningTask is what runs on a machine, with its job.
type runningTask struct {
	model.PlacedTask
	spec *model.Spec
}

// taskList is what a machine's owner last told of its tasks.
type taskList struct {
	receivedAt time.Duration
	empty      bool // nothing runs there
	tasks      []runningTask
}

// remainingRunTime is how long a task runs on where it is, at a part of all.
func (v *View) remainingRunTime(task *runningTask, quantile float64) time.Duration {
	return max(0, v.totalRunTime(task.spec, quantile)-task.RunTime)
}

// totalRunTime is how long a task of the job takes, at a part of all.
func (v *View) totalRunTime(spec *model.Spec, quantile float64) time.Duration {
	return time.Duration(float64(spec.Estimate) * v.RunTimeFactor(spec.Class, quantile))
}

// runTimeElsewhere is how long it takes elsewhere once it is there.
func (v *View) runTimeElsewhere(task *runningTask, quantile float64) time.Duration {
	if task.spec.CheckpointInterval > 0 { // it saves when it is stopped
		return v.remainingRunTime(task, quantile) + task.spec.CheckpointTime
	}
	return v.totalRunTime(task.spec, quantile)
}

// machineKind of machines: what a job may ask for.
type machineKind struct {
	machineType, zone model.Name
	spot              bool
	total             model.Resources
}

// freeCapacity is the machines' room outside a set, for machines that may get tasks. It
// is made once for all questions of a tick.
type freeCapacity struct {
	free           map[model.MachineID]model.Resources
	order          []model.MachineID
	machinesByKind map[machineKind]int64
	freeCPU        int64 // of free CPU
	view           *View
}

func (v *View) freeCapacity(cordoned map[model.MachineID]bool) *freeCapacity {
	capacity := &freeCapacity{free: make(map[model.MachineID]model.Resources, len(v.Machines)),
		machinesByKind: map[machineKind]int64{}, view: v}
	for id, m := range v.Machines {
		if m.Reported && m.Ready && !m.Draining && !m.Faulty && !cordoned[id] {
			capacity.free[id] = m.Avail
			capacity.machinesByKind[kindOf(&m.Machine)]++
			capacity.freeCPU += max(0, m.Avail.CPU)
		}
	}
	return capacity
}

func kindOf(m *model.Machine) machineKind { return machineKind{m.Type, m.Zone, m.Spot, m.Cap} }

// remove takes a machine out.
func (c *freeCapacity) remove(id model.MachineID) {
	if free, ok := c.free[id]; ok {
		m := c.view.Machines[id].Machine
		delete(c.free, id)
		c.machinesByKind[kindOf(&m)]--
		c.freeCPU -= max(0, free.CPU)
	}
}

// freeCPUWithout is all free CPU but for one machine's.
func (c *freeCapacity) freeCPUWithout(id model.MachineID) int64 {
	return c.freeCPU - max(0, c.free[id].CPU)
}

// reserve finds room for a task of the job, and takes it.
func (c *freeCapacity) reserve(spec *model.Spec) bool {
	if c.order == nil {
		for id := range c.free {
			c.order = append(c.order, id)
		}
		slices.Sort(c.order)
	}
	for _, id := range c.order {
		free, ok := c.free[id]
		if !ok || !spec.PerTask.Fits(free) {
			continue
		}
		if m := c.view.Machines[id].Machine; spec.Allows(&m) {
			c.free[id] = free.Sub(spec.PerTask)
			return true
		}
	}
	return false
}

// maxTasks counts the job's tasks that the machines could hold at a time, were they
// empty, without one of them (0: with all).
func (c *freeCapacity) maxTasks(spec *model.Spec, excluded model.MachineID) int64 {
	var n int64
	for kind, count := range c.machinesByKind {
		if _, in := c.free[excluded]; in && excluded != 0 {
			if m := c.view.Machines[excluded].Machine; kindOf(&m) == kind {
				count--
			}
		}
		if count > 0 && spec.Allows(&model.Machine{Type: kind.machineType, Zone: kind.zone, Spot: kind.spot}) {
			n += count * spec.PerTask.Count(kind.total)
		}
	}
	return n
}

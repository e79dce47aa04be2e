package drain

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/rollout"
)

// View is the state of the cluster as the leader knows it.
type View struct {
	Now                time.Duration // monotonic clock
	Wall               time.Time     // time of day, for windows, LatestEnd and messages
	Machines           map[model.MachineID]Machine
	Jobs               []Job
	UnusedGuaranteeCPU int64 // sum of the teams' unused CPU guarantees, in thousandths of a CPU
	// Recovered is set once every machine of earlier terms is accounted for and the cloud's machine
	// list has been read. From then on a machine that is not in Machines is gone.
	Recovered bool
	// RunTimeFactor is the ratio of actual to estimated run time of the class's tasks at a quantile
	// (0.5: the median).
	RunTimeFactor func(class model.Name, quantile float64) float64
	// BootTime is how long a machine of the type may take to come up.
	BootTime func(machineType model.Name) time.Duration
	// RequestMove asks the disruption budgets for a running task to be moved. It returns "" if it may
	// be, else the reason. nil: there are no budgets.
	RequestMove func(request MoveRequest) string
	// EvaluateGate compares the machines that a plan has replaced or patched with all others; nil:
	// there are no statistics yet.
	EvaluateGate func(g rollout.Gate, ids []model.MachineID) rollout.Verdict
	// JobName returns a job's name for messages.
	JobName func(model.JobID) string
}

// Machine is a machine in a View.
type Machine struct {
	model.MachineStatus
	Reported   bool          // its owner has reported its state; otherwise only Machine is known
	KnownSince time.Duration // on the monotonic clock; negative for machines older than its start
}

// Job is an open job.
type Job struct {
	Spec                          *model.Spec
	UnfinishedTasks, RunningTasks int // tasks not done, and tasks that are on machines
}

// MoveRequest asks a disruption budget for a running task to be moved.
type MoveRequest struct {
	Task               model.Task
	Spec               *model.Spec
	ForPrice           bool          // because its machine costs too much, not for a plan
	RunTime, Remaining time.Duration // run time so far, and the expected rest
}

// requestMove asks the disruption budgets for a task to be moved. It returns "" if it may be, else the
// reason.
func (v *View) requestMove(task *runningTask, forPrice bool) string {
	if v.RequestMove == nil {
		return ""
	}
	return v.RequestMove(MoveRequest{Task: task.Task, Spec: task.spec, ForPrice: forPrice, RunTime: task.RunTime,
		Remaining: v.remainingRunTime(task, medianQuantile)})
}

// runningTask is a task on a machine, with its job's specification.
type runningTask struct {
	model.PlacedTask
	spec *model.Spec
}

// taskList is the answer of a machine's owner to ListTasks.
type taskList struct {
	receivedAt time.Duration
	empty      bool          // no task is on the machine
	tasks      []runningTask // without tasks whose job is unknown
}

// remainingRunTime estimates how much longer a task runs where it is, at a quantile of run times.
func (v *View) remainingRunTime(task *runningTask, quantile float64) time.Duration {
	return max(0, v.totalRunTime(task.spec, quantile)-task.RunTime)
}

// totalRunTime estimates how long a task of the job runs in all, at a quantile of run times.
func (v *View) totalRunTime(spec *model.Spec, quantile float64) time.Duration {
	return time.Duration(float64(spec.Estimate) * v.RunTimeFactor(spec.Class, quantile))
}

// runTimeElsewhere estimates how long a task that is moved still runs on the other machine, at a
// quantile of run times.
func (v *View) runTimeElsewhere(task *runningTask, quantile float64) time.Duration {
	if task.spec.CheckpointInterval > 0 { // it saves its progress when it is stopped
		return v.remainingRunTime(task, quantile) + task.spec.CheckpointTime
	}
	return v.totalRunTime(task.spec, quantile)
}

// machineKind groups machines that are alike in all that a job can ask for.
type machineKind struct {
	machineType, zone model.Name
	spot              bool
	total             model.Resources
}

// freeCapacity is the free capacity of the machines that may get tasks. Computing it visits all
// machines, so one value is used for many checks of a tick.
type freeCapacity struct {
	free           map[model.MachineID]model.Resources
	order          []model.MachineID // IDs in ascending order; nil: not needed yet
	machinesByKind map[machineKind]int64
	freeCPU        int64 // sum over all machines, in thousandths of a CPU
	view           *View
}

// freeCapacity returns the free capacity of all machines that may get tasks, without those in
// cordoned.
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

// kindOf returns the kind of a machine.
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

// freeCPUWithout is the free CPU of all machines but one.
func (c *freeCapacity) freeCPUWithout(id model.MachineID) int64 {
	return c.freeCPU - max(0, c.free[id].CPU)
}

// reserve takes the resources for a task of the job from the first machine where it fits. It returns
// false if it fits nowhere.
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

// maxTasks returns how many of the job's tasks could run at a time if all machines except the excluded
// one (0: none is excluded) were empty.
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

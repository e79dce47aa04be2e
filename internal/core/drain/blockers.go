package drain

import (
	"fmt"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// taskListMaxReports is the number of report intervals for which a machine's task list is current.
const taskListMaxReports = 5

// requestTaskList asks the machine's owner which tasks are on it, at most once in two report
// intervals.
func (e *Engine) requestTaskList(now time.Duration, id model.MachineID) {
	if last, ok := e.taskListRequests[id]; !ok || now-last.sentAt >= 2*e.params.ReportInterval {
		e.lastListSeq++
		e.taskListRequests[id] = taskListRequest{now, e.lastListSeq}
		e.emit(Action{Kind: ListTasks, Machine: id, Seq: e.lastListSeq})
	}
}

// forgetTaskList drops a machine's task list and the request under way.
func (e *Engine) forgetTaskList(id model.MachineID) {
	delete(e.taskLists, id)
	delete(e.taskListRequests, id)
}

// isEmpty reports whether nothing is on a cordoned machine and nothing will be: its owner has listed
// no tasks after the machine was cordoned.
func (e *Engine) isEmpty(now time.Duration, m *Machine) bool {
	id := m.Machine.ID
	if !m.Reported || m.AttemptCount > 0 || !e.cordoned[id] {
		return false
	}
	list, fresh := e.freshTaskList(now, id)
	return fresh && list.empty
}

// freshTaskList returns the machine's task list and whether it is recent enough, and requests a new
// one.
func (e *Engine) freshTaskList(now time.Duration, id model.MachineID) (taskList, bool) {
	e.requestTaskList(now, id)
	list, ok := e.taskLists[id]
	return list, ok && now-list.receivedAt <= taskListMaxReports*e.params.ReportInterval
}

// blockedReason returns why a machine can't be drained at present, "" if it can. It is evaluated again
// in every tick, so that a reason lasts no longer than its cause.
func (e *Engine) blockedReason(v *View, p *Plan, id model.MachineID, capacity *freeCapacity) string {
	m := v.Machines[id]
	if !m.Reported {
		return "no controller has told how it is"
	}
	if reason := freeCapacityBlocker(v, p, capacity, id); reason != "" {
		return reason
	}
	if reason := strandedJobsBlocker(v, capacity, id); reason != "" {
		return reason
	}
	if len(p.Windows) > 0 {
		list, fresh := e.freshTaskList(v.Now, id)
		if !fresh {
			return "its controller has not told what runs there"
		}
		for i := range list.tasks {
			if !p.movesTasksOf(list.tasks[i].spec) {
				continue
			}
			if reason := windowBlocker(v, p, &list.tasks[i]); reason != "" {
				return reason
			}
		}
		return waitingTasksBlocker(v, p, capacity, id)
	}
	return ""
}

// freeCapacityBlocker returns a reason if draining the machine left less CPU free elsewhere than the
// plan's fraction of the teams' unused guarantees.
func freeCapacityBlocker(v *View, p *Plan, capacity *freeCapacity, id model.MachineID) string {
	required := int64(p.FreeCapacityFloor * float64(v.UnusedGuaranteeCPU))
	if free := capacity.freeCPUWithout(id); free < required {
		return fmt.Sprintf("%.1f CPUs would be free elsewhere, the floor of teams' guarantees is %.1f", cpus(free),
			cpus(required))
	}
	return ""
}

// cpus converts thousandths of a CPU to CPUs.
func cpus(n int64) float64 { return float64(n) / 1000 }

// strandedJobsBlocker returns a reason if a job with unfinished tasks could run on no other machine.
func strandedJobsBlocker(v *View, capacity *freeCapacity, id model.MachineID) string {
	m := v.Machines[id].Machine
	var stranded []string
	for _, j := range v.Jobs {
		if j.UnfinishedTasks > 0 && j.Spec.Allows(&m) && j.Spec.PerTask.Fits(m.Cap) && capacity.maxTasks(j.Spec, id) == 0 {
			stranded = append(stranded, v.JobName(j.Spec.ID))
		}
	}
	if len(stranded) > 0 {
		return "no other machine could run " + joinNames(stranded)
	}
	return ""
}

// Quantiles of run times: the fraction of a class's tasks that take no longer than the estimate.
const (
	pessimisticQuantile = 0.9
	medianQuantile      = 0.5
)

// windowBlocker returns a reason if a task would meet a window where it runs now, but miss it if it
// moved to another machine.
func windowBlocker(v *View, p *Plan, task *runningTask) string {
	movedEnd := v.Wall.Add(v.runTimeElsewhere(task, pessimisticQuantile))
	w, limit := p.missedWindow(v.Wall, task.spec, v.Wall.Add(v.remainingRunTime(task, medianQuantile)), movedEnd)
	if w == nil {
		return ""
	}
	return fmt.Sprintf("%s would end at %s if it moved, past %s at %s", v.JobName(task.spec.ID),
		formatClock(movedEnd, w), w.Name, formatClock(limit, w))
}

// formatClock formats a time of day in the window's location.
func formatClock(t time.Time, w *Window) string {
	if w.Location != nil {
		t = t.In(w.Location)
	}
	return t.Format("15:04:05")
}

// waitingTasksBlocker returns a reason if the waiting tasks of a job would meet a window with the
// machine's capacity, but miss it without. It assumes that no other job uses the remaining capacity,
// so it blocks a drain only if the tasks would be late even in the best case.
func waitingTasksBlocker(v *View, p *Plan, capacity *freeCapacity, id model.MachineID) string {
	for _, job := range v.Jobs {
		waiting := int64(job.UnfinishedTasks - job.RunningTasks)
		if waiting <= 0 {
			continue
		}
		endWithout := estimateEnd(v, job.Spec, waiting, capacity.maxTasks(job.Spec, id))
		w, limit := p.missedWindow(v.Wall, job.Spec, estimateEnd(v, job.Spec, waiting, capacity.maxTasks(job.Spec, 0)),
			endWithout)
		if w != nil {
			return fmt.Sprintf("%s has %d tasks waiting and would end at %s without its room, past %s at %s",
				v.JobName(job.Spec.ID), waiting, formatClock(endWithout, w), w.Name, formatClock(limit, w))
		}
	}
	return ""
}

// estimateEnd estimates when the last of a number of tasks ends if atOnce of them run at a time.
func estimateEnd(v *View, spec *model.Spec, tasks, atOnce int64) time.Time {
	rounds := (tasks + max(1, atOnce) - 1) / max(1, atOnce)
	return v.Wall.Add(time.Duration(rounds) * v.totalRunTime(spec, pessimisticQuantile))
}

// advanceDraining moves tasks off a machine, and goes to the next state once it is empty.
func (e *Engine) advanceDraining(v *View, p *Plan, i int) {
	step, status := &p.Steps[i], &p.runtime[i]
	m := v.Machines[step.Machine]
	if !m.Reported {
		status.blockedReason = "no controller has told how it is"
		return
	}
	if p.Phase == Paused {
		status.blockedReason = "the plan is paused"
		return
	}
	if e.isEmpty(v.Now, &m) {
		if p.WhenEmpty == Patch {
			p.setState(v.Now, i, Patching)
		} else {
			p.setState(v.Now, i, Returning)
		}
		return
	}
	status.blockedReason = ""
	if list, fresh := e.freshTaskList(v.Now, step.Machine); fresh && e.cordoned[step.Machine] {
		e.moveTasks(v, p, i, list.tasks)
	}
}

// capacityForMoves returns the capacity for tasks that move. It is computed once per tick, so that two
// machines do not count on the same capacity.
func (e *Engine) capacityForMoves(v *View) *freeCapacity {
	if e.moveCapacity == nil {
		e.moveCapacity = v.freeCapacity(e.plannedCordons())
	}
	return e.moveCapacity
}

// moveTasks recalls the tasks that the plan moves, if they fit on another machine, miss no window
// because of the move, and their disruption budgets grant it. Replicas of a service move one at a time,
// and only while all of them run. The reasons for tasks that stay become the step's blocker.
func (e *Engine) moveTasks(v *View, p *Plan, i int, tasks []runningTask) {
	id, capacity := p.Steps[i].Machine, e.capacityForMoves(v)
	var blockers []string
	moving := map[model.JobID]bool{}
	for k := range tasks {
		task := &tasks[k]
		if !p.movesTasksOf(task.spec) || task.Stopping {
			moving[task.spec.ID] = moving[task.spec.ID] || task.Stopping
			continue
		}
		reason := ""
		switch {
		case task.spec.Daemon && (moving[task.spec.ID] || !allReplicasRun(v, task.spec) ||
			e.movedRecently(v.Now, task.spec.ID)):
			reason = v.JobName(task.spec.ID) + ": its replicas move one at a time, once all run"
		default:
			reason = windowBlocker(v, p, task)
		}
		if reason == "" && !capacity.reserve(task.spec) {
			reason = "no room elsewhere for " + v.JobName(task.spec.ID)
		}
		if reason == "" {
			reason = v.requestMove(task, false)
		}
		if reason != "" {
			if !slices.Contains(blockers, reason) {
				blockers = append(blockers, reason)
			}
			continue
		}
		moving[task.spec.ID], task.Stopping = true, true // the next task list replaces the latter
		if task.spec.Daemon {
			e.lastReplicaMove[task.spec.ID] = v.Now
		}
		e.emit(Action{Kind: Recall, Machine: id, Task: task.Task})
	}
	p.runtime[i].blockedReason = joinNames(blockers)
}

// movedRecently reports whether a replica of the service was moved so recently that the known number
// of running replicas may be from before the move.
func (e *Engine) movedRecently(now time.Duration, id model.JobID) bool {
	at, ok := e.lastReplicaMove[id]
	return ok && now-at < 3*time.Second+taskListMaxReports*e.params.ReportInterval
}

// allReplicasRun reports whether all replicas of a service run.
func allReplicasRun(v *View, spec *model.Spec) bool {
	for _, j := range v.Jobs {
		if j.Spec.ID == spec.ID {
			return j.RunningTasks >= int(spec.Tasks)
		}
	}
	return false
}

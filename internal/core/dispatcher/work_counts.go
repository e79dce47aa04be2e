package dispatcher

import "honeylock/internal/core/model"

// TakeFreedTasks returns the tasks of lost shards that were found to run nowhere since the last
// call. They are collected only if Params.ReportInterruptions is set.
func (d *Dispatcher) TakeFreedTasks() []model.Task {
	out := d.freedTasks
	d.freedTasks = nil
	return out
}

// WorkCounts counts the tasks of a team, or of one of its classes (None: all): those that run,
// those that are orphaned, and those of jobs of earlier terms that are neither done nor known to
// run. cpu is the CPU that the orphaned and unknown tasks request, in thousandths.
func (d *Dispatcher) WorkCounts(team, class model.Name) (running, orphaned, unknown int, cpu int64) {
	for _, j := range d.jobsBySubmission {
		if j.ended || j.onHold || j.spec.Team != team || class != model.None && class != j.spec.Class {
			continue
		}
		runningTasks := d.TaskCounts(j.spec.ID).Running
		running += runningTasks
		orphaned += int(j.orphaned)
		notRunning := int(j.orphaned)
		if j.fromEarlierTerm {
			unknownTasks := max(0, int(j.spec.Tasks-j.doneCount)-runningTasks-notRunning)
			unknown += unknownTasks
			notRunning += unknownTasks
		}
		cpu += int64(notRunning) * j.spec.PerTask.CPU
	}
	return running, orphaned, unknown, cpu
}

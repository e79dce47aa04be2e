package dispatcher

import "honeylock/internal/core/model"

// TakeFreedTasks takes away the tasks that lost shards had, and that are surely nowhere now. They
// are told only where the dealer is to be told what is out of work.
func (d *Dispatcher) TakeFreedTasks() []model.Task {
	out := d.freedTasks
	d.freedTasks = nil
	return out
}

// WorkCounts counts a team's tasks, or those of one of its classes (None: all): what runs,
// what is orphaned, and what of the jobs of earlier terms is neither done nor known to run,
// with the CPU of the last two, in thousandths.
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

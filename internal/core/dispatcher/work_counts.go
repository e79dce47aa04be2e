package dispatcher

import "honeylock/internal/core/model"

// TakeFreedTasks takes away the tasks that lost shards had, and that are surely nowhere now. They
// are told only where the dealer is to be told what is out of work.
func (d *Dispatcher) TakeFreedTasks() []model.Task {
	out := d.freedNow
	d.freedNow = nil
	return out
}

// WorkCounts counts a team's tasks, or those of one of its classes (None: all): what runs,
// what is orphaned, and what of the jobs of earlier terms is neither done nor known to run,
// with the CPU of the last two, in thousandths.
func (d *Dispatcher) WorkCounts(team, class model.Name) (running, orphaned, unsure int, cpu int64) {
	for _, j := range d.inOrder {
		if j.ended || j.waits || j.spec.Team != team || class != model.None && class != j.spec.Class {
			continue
		}
		at := d.TaskCounts(j.spec.ID).Running
		running += at
		orphaned += int(j.orphaned)
		out := int(j.orphaned)
		if j.old {
			rest := max(0, int(j.spec.Tasks-j.nDone)-at-out)
			unsure += rest
			out += rest
		}
		cpu += int64(out) * j.spec.PerTask.CPU
	}
	return running, orphaned, unsure, cpu
}

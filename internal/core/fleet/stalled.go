package fleet

import (
	"time"

	"honeylock/internal/core/model"
)

// A shortage that is worth less than half a machine waits for capacity that becomes free, because tasks
// end all the time. But where only services run, or nothing that would fit, none ever does. So a job
// that has made no progress for maxStall gets a machine all the same.

// maxStall is how long a job waits for free capacity without any progress before a machine is rented
// for it, however little it needs.
const maxStall = 30 * time.Second

// stall is how long a job has had a shortage without progress.
type stall struct {
	since              time.Duration
	unfinished, placed int32 // its tasks then
}

// markStalled marks the shortages of jobs that have made no progress for maxStall: no task of theirs
// has completed or got a machine.
func (f *Fleet) markStalled(now time.Duration, shortages []shortage, demand []Demand) {
	missing := make(map[model.JobID]*shortage, len(shortages))
	for i := range shortages {
		missing[shortages[i].spec.ID] = &shortages[i]
	}
	for id := range f.stalls {
		if missing[id] == nil {
			delete(f.stalls, id)
		}
	}
	for i := range demand {
		d := &demand[i]
		s := missing[d.Job.Spec.ID]
		if s == nil {
			continue
		}
		last, known := f.stalls[s.spec.ID]
		if !known || d.Job.Unfinished < last.unfinished || d.Placed > last.placed {
			last.since = now
		}
		last.unfinished, last.placed = d.Job.Unfinished, d.Placed
		f.stalls[s.spec.ID] = last
		s.stalled = now-last.since >= maxStall
	}
}

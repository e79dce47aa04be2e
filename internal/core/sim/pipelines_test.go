package sim

import (
	"fmt"
	"testing"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// loadPaged reads the open jobs in two pages, as a leader of internal/node does once there are more than a
// page holds: jobs that are stored in between are missing if they belong to the first page. Jobs' IDs come
// in no order, so here the first page has the even ones. The result has the revision of the first page.
func (l *leadership) loadPaged(apply func(any)) {
	l.c.storeCall(l.c.w.store.snapshot, func(v any) {
		first, ok := v.(snapshot)
		if !ok || l.c.leadership != l {
			apply(nil)
			return
		}
		l.c.storeCall(l.c.w.store.snapshot, func(v any) {
			second, ok := v.(snapshot)
			if !ok {
				apply(nil)
				return
			}
			apply(mergePages(first, second))
		})
	})
}

// mergePages returns the even jobs of the first snapshot and everything else of the second.
func mergePages(first, second snapshot) snapshot {
	merged := second
	merged.revision, merged.open = first.revision, map[model.JobID]openJob{}
	for id, o := range first.open {
		if id%2 == 0 {
			merged.open[id] = o
		}
	}
	for id, o := range second.open {
		if id%2 != 0 {
			merged.open[id] = o
		}
	}
	return merged
}

// slowAnswerDelay draws how long one of the state service's rare slow answers takes. Most take no longer
// than usual.
func (w *world) slowAnswerDelay() time.Duration {
	if w.rng.IntN(4) > 0 {
		return 0
	}
	return w.randomDuration(50*time.Millisecond, 400*time.Millisecond)
}

// submitPipelines submits jobs in pairs: the second job of a pair depends on the first one, and its user
// submits it as soon as the first one is accepted.
func (w *world) submitPipelines() {
	for i := 0; i < w.params.jobs; i += 2 {
		first, second := model.JobID(i), model.JobID(i+1)
		w.after(w.randomDuration(0, w.params.duration*2/3), func() {
			w.submit(first)
			w.submitAfter(first, second)
		})
	}
}

// submitAfter submits a job that depends on another one once that is accepted.
func (w *world) submitAfter(first, second model.JobID) {
	w.after(5*time.Millisecond, func() {
		u := w.users[first]
		switch {
		case u.accepted && !u.alwaysFails:
			w.nextDependsOn = []model.JobID{first}
			w.submit(second)
		case !u.accepted:
			w.submitAfter(first, second)
		}
	})
}

// pipelineParams has pairs of jobs that are submitted while leaders read the open jobs in pages, and a state
// service that answers slowly now and then.
func pipelineParams() params {
	p := dependencyParams()
	p.pipelines, p.pagedLists, p.slowAnswers = true, true, true
	p.jobs, p.resizeBlocksAt, p.quietPeriod = 240, 0, 6*time.Minute
	return p
}

// TestPipelinesSubmittedWhileOpenJobsAreRead guards against a job that stays open for ever after a job that it
// depends on was cancelled, because the latter was submitted while a leader read the open jobs.
func TestPipelinesSubmittedWhileOpenJobsAreRead(t *testing.T) {
	t.Parallel()
	quiet, faulty := pipelineParams(), pipelineParams()
	quiet.faults = false
	faulty.jobs = 120 // faults leave time for fewer
	for name, p := range map[string]params{"quiet": quiet, "faults": faulty} {
		for seed := range seedCount(6) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				w := runSimulation(t, seed, p)
				cancelled := 0
				for _, u := range w.users {
					if len(u.dependsOn) > 0 && u.finalStage == jobs.Cancelled {
						cancelled++
					}
				}
				if cancelled == 0 {
					t.Error("no dependent job was cancelled")
				}
			})
		}
	}
}

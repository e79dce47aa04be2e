package node

import (
	"net/http"
	"testing"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// An answer that was found before this controller told of the job's end, and leaves after it,
// tells the end: of two connections the later one would else get the older state.
func TestNoAnswerIsOlderThanWhatWasTold(t *testing.T) {
	const job = model.JobID(412)
	for _, end := range []jobs.Stage{jobs.Done, jobs.Cancelled} {
		for _, status := range []int{http.StatusOK, http.StatusCreated} {
			r := newRig(t)
			found := r.n.stateReply(status, job, jobs.Queued)
			if got := r.n.notOlder(job, found); got.State.Stage != string(jobs.Queued) || got.Status != status {
				t.Fatalf("%+v of an open job", got)
			}
			r.n.tellEnd(job, end)
			if got := r.n.notOlder(job, found); got.State.Stage != string(end) || got.Status != http.StatusOK {
				t.Errorf("%d %s after %s was told", got.Status, got.State.Stage, end)
			}
			refused := unavailable("busy")
			if got := r.n.notOlder(job, refused); got != refused {
				t.Errorf("a refusal became %+v", got)
			}
		}
	}
}

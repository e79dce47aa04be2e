package node

import (
	"net/http"
	"strings"
	"testing"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// An answer that was determined before this controller reported the job's end to another user, and is
// sent after that, also reports the end. Otherwise the later of two answers, on different connections,
// would have the older state.
func TestAnswerNotOlderThanReportedEnd(t *testing.T) {
	const job = model.JobID(412)
	for _, end := range []jobs.Stage{jobs.Done, jobs.Cancelled} {
		for _, status := range []int{http.StatusOK, http.StatusCreated} {
			h := newLeaderHarness(t)
			found := h.node.stateReply(status, job, jobs.Queued)
			if got := h.node.preferFinal(job, found); got.State.Stage != string(jobs.Queued) || got.Status != status {
				t.Fatalf("%+v of an open job", got)
			}
			h.node.recordEnd(job, end)
			if got := h.node.preferFinal(job, found); got.State.Stage != string(end) || got.Status != http.StatusOK {
				t.Errorf("%d %s after %s was reported", got.Status, got.State.Stage, end)
			}
			refused := unavailable("busy")
			if got := h.node.preferFinal(job, refused); got != refused {
				t.Errorf("a refusal became %+v", got)
			}
		}
	}
}

// While the machine types are unknown, it is not known whether a job can run, and its submission is
// answered with 503. An invalid job is refused in any case.
func TestSubmitRefusedWithoutMachineTypes(t *testing.T) {
	h := newLeaderHarness(t)
	body := `{"NameId":"job-000008","Comb":"train","Colony":"vision","Shape":"batch","Rank":"standard","Cells":2,"Cpus":1,
		"Accelerators":0,"MemGb":1,"Wax":"img","ImageGb":1,"Together":false,"Spread":false,"SwarmBoxes":false,"ForageS":1,
		"CapIntervalS":0,"CapS":0}`
	if got := h.node.Submit(t.Context(), []byte(body)); got.Status != http.StatusServiceUnavailable {
		t.Errorf("%d %q", got.Status, got.Err)
	}
	noTasks := strings.Replace(body, `"Cells":2`, `"Cells":0`, 1)
	if got := h.node.Submit(t.Context(), []byte(noTasks)); got.Status != http.StatusBadRequest {
		t.Errorf("%d %q of no tasks", got.Status, got.Err)
	}
	h.node.recordEnd(8, jobs.Done) // a job that is known to have ended is found
	if got := h.node.Submit(t.Context(), []byte(body)); got.Status != http.StatusOK ||
		got.State.Stage != string(jobs.Done) {
		t.Errorf("%d %+v of a job that is done", got.Status, got.State)
	}
}

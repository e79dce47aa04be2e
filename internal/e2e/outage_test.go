package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// The gap: the state service refuses the leader alone, another controller confirms a
// cancellation, then the service is out for all, for longer than a cancellation may take, while
// workers report to the old leader. The cancelled tasks are gone in time, all others go on.
func TestCancellationCompletesDuringOutage(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.Lease, o.Cancel = 3*time.Second, 10*time.Second
	o.Teams[0].CPUsMax = 400
	o.InitialMachines = twoZoneMachines(6)
	cl := startWith(t, o)
	for _, id := range []string{"job-000001", "job-000002"} {
		service := submission(id, 8)
		service["Shape"] = "daemon"
		submitAccepted(t, cl.Controllers[0], service)
	}
	waitUntil(t, "all tasks run", func() bool { return cl.Depot.Running("job-000001")+cl.Depot.Running("job-000002") == 16 })
	k := waitForLeader(t, cl)
	other := cl.Controllers[0]
	if other == k {
		other = cl.Controllers[1]
	}
	k.Store.SetRefusing(true)
	waitUntil(t, "cancelled", func() bool {
		st, v := call(other, http.MethodPost, "/v1/jobs/job-000001/withdraw", nil)
		return st == http.StatusOK && v["Stage"] == "aborted"
	})
	cl.Store.SetOutage(true)
	time.Sleep(o.Cancel)
	if n := cl.Depot.Running("job-000001"); n > 0 {
		t.Errorf("%d cancelled tasks are there", n)
	}
	time.Sleep(o.Lease)
	starts := 0
	for _, r := range cl.Depot.Runs() {
		if strings.HasPrefix(r.Task, "job-000002/") {
			starts++
		}
	}
	if n := cl.Depot.Running("job-000002"); n != 8 || starts != 8 {
		t.Errorf("%d of 8 tasks run that nobody cancelled, after %d starts", n, starts)
	}
	cl.Store.SetOutage(false)
	k.Store.SetRefusing(false)
	submitAccepted(t, other, submission("job-000003", 6))
	waitUntil(t, "the next job", func() bool { return jobStage(k, "job-000003") == "done" })
}

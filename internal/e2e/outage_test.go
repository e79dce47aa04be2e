package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestCancellationCompletesDuringOutage: the state service refuses only the leader, another
// controller confirms a cancellation, and then the service is unavailable to all controllers for
// longer than a cancellation may take, while workers report to the old leader. The cancelled tasks
// end in time, and all other tasks continue.
func TestCancellationCompletesDuringOutage(t *testing.T) {
	t.Parallel()
	options := defaultOptions()
	options.Lease, options.Cancel = 3*time.Second, 10*time.Second
	options.Teams[0].CPUsMax = 400
	options.InitialMachines = twoZoneMachines(6)
	cluster := startWith(t, options)
	for _, id := range []string{"job-000001", "job-000002"} {
		service := submission(id, 8)
		service["Shape"] = "daemon"
		submitAccepted(t, cluster.Controllers[0], service)
	}
	waitUntil(t, "all tasks run", func() bool {
		return cluster.Tasks.RunningTasks("job-000001")+cluster.Tasks.RunningTasks("job-000002") == 16
	})
	leader := waitForLeader(t, cluster)
	other := cluster.Controllers[0]
	if other == leader {
		other = cluster.Controllers[1]
	}
	leader.StoreEndpoint.SetRefusing(true)
	waitUntil(t, "the job is cancelled", func() bool {
		status, v := call(other, http.MethodPost, "/v1/jobs/job-000001/withdraw", nil)
		return status == http.StatusOK && v["Stage"] == "aborted"
	})
	cluster.Store.SetOutage(true)
	time.Sleep(options.Cancel)
	if n := cluster.Tasks.RunningTasks("job-000001"); n > 0 {
		t.Errorf("%d cancelled tasks still run", n)
	}
	time.Sleep(options.Lease)
	starts := 0
	for _, r := range cluster.Tasks.Runs() {
		if strings.HasPrefix(r.Task, "job-000002/") {
			starts++
		}
	}
	if n := cluster.Tasks.RunningTasks("job-000002"); n != 8 || starts != 8 {
		t.Errorf("%d of the 8 tasks that were not cancelled run, after %d starts", n, starts)
	}
	cluster.Store.SetOutage(false)
	leader.StoreEndpoint.SetRefusing(false)
	submitAccepted(t, other, submission("job-000003", 6))
	waitUntil(t, "the next job is done", func() bool { return jobStage(leader, "job-000003") == "done" })
}

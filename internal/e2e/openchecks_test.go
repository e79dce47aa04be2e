package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"honeylock/internal/dev"
)

// pollJobs polls all jobs at all controllers for some time. It returns the number of polls that
// were answered and the number of all polls.
func pollJobs(cluster *dev.Cluster, ids []string, duration time.Duration) (answered, all int) {
	var answeredCount, pollCount atomic.Int64
	var users sync.WaitGroup
	for i, id := range ids {
		users.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				pollCount.Add(1)
				if status, _ := call(cluster.Controllers[(i+int(pollCount.Load()))%len(cluster.Controllers)],
					http.MethodGet, "/v1/jobs/"+id, nil); status == http.StatusOK {
					answeredCount.Add(1)
				}
			}
		})
	}
	users.Wait()
	return int(answeredCount.Load()), int(pollCount.Load())
}

// storeRequests returns the number of each controller's requests to the state service so far.
func storeRequests(cluster *dev.Cluster) (counts []int) {
	for _, c := range cluster.Controllers {
		counts = append(counts, c.StoreEndpoint.Counts().Requests)
	}
	return counts
}

// TestLeaderChecksOpenJobsForAll: the leader checks for all controllers whether polled jobs are
// still open, which costs the state service the same number of requests for any number of
// controllers. While the state service refuses the leader, the other controllers check themselves.
func TestLeaderChecksOpenJobsForAll(t *testing.T) {
	options := defaultOptions()
	options.Controllers, options.InitialMachines = 5, twoZoneMachines(2)
	cluster := startWith(t, options)
	var ids []string
	for i := range 20 {
		job := submission(fmt.Sprintf("job-%06d", 500+i), 1)
		job["Cpus"], job["ForageS"] = 8, 600 // most jobs wait, and the others keep running
		ids = append(ids, job["NameId"].(string))
		submitAccepted(t, cluster.Controllers[i%5], job)
	}
	leader := waitForLeader(t, cluster)
	before := storeRequests(cluster)
	answered, all := pollJobs(cluster, ids, 6*time.Second)
	after := storeRequests(cluster)
	if answered < all*98/100 {
		t.Errorf("%d of %d polls were answered", answered, all)
	}
	total := 0
	for i := range after {
		sent := after[i] - before[i]
		total += sent
		if cluster.Controllers[i] != leader && sent > 25 {
			t.Errorf("%s sent %d requests to the state service in 6 s", cluster.Controllers[i].Config.HostName, sent)
		}
	}
	if total > 6*30 {
		t.Errorf("%d requests to the state service in 6 s for %d polls", total, all)
	}
	leader.StoreEndpoint.SetRefusing(true)
	time.Sleep(time.Second) // let checks that are already under way end
	if answered, all = pollJobs(cluster, ids, 2*time.Second); answered < all*70/100 {
		t.Errorf("%d of %d polls were answered while the leader is refused", answered, all)
	}
}

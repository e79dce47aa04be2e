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

// pollJobs has users ask all controllers about all jobs for a while, and returns how many of
// their questions were answered.
func pollJobs(cluster *dev.Cluster, ids []string, d time.Duration) (answered, all int) {
	var answeredCount, askedCount atomic.Int64
	var users sync.WaitGroup
	for i, id := range ids {
		users.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				askedCount.Add(1)
				if status, _ := call(cluster.Controllers[(i+int(askedCount.Load()))%len(cluster.Controllers)], http.MethodGet,
					"/v1/jobs/"+id,
					nil); status == http.StatusOK {
					answeredCount.Add(1)
				}
			}
		})
	}
	users.Wait()
	return int(answeredCount.Load()), int(askedCount.Load())
}

// storeRequests are those of each controller to the state service so far.
func storeRequests(cluster *dev.Cluster) (out []int) {
	for _, c := range cluster.Controllers {
		out = append(out, c.StoreEndpoint.Counts().Requests)
	}
	return out
}

// What users ask of any controller is compared by the leader, so that it costs the same
// whatever the number of controllers; refused by the state service alone, the leader is no
// hindrance: the others compare by themselves.
func TestLeaderChecksOpenJobsForAll(t *testing.T) {
	options := defaultOptions()
	options.Controllers, options.InitialMachines = 5, twoZoneMachines(2)
	cluster := startWith(t, options)
	var ids []string
	for i := range 20 {
		job := submission(fmt.Sprintf("job-%06d", 500+i), 1)
		job["Cpus"], job["ForageS"] = 8, 600 // most wait, the rest runs on
		ids = append(ids, job["NameId"].(string))
		submitAccepted(t, cluster.Controllers[i%5], job)
	}
	currentLeader := waitForLeader(t, cluster)
	before := storeRequests(cluster)
	answered, all := pollJobs(cluster, ids, 6*time.Second)
	after := storeRequests(cluster)
	if answered < all*98/100 {
		t.Errorf("%d of %d questions were answered", answered, all)
	}
	total := 0
	for i := range after {
		sent := after[i] - before[i]
		total += sent
		if cluster.Controllers[i] != currentLeader && sent > 25 {
			t.Errorf("%s asked the state service %d times in 6 s", cluster.Controllers[i].Config.HostName, sent)
		}
	}
	if total > 6*30 {
		t.Errorf("%d requests in 6 s for %d questions", total, all)
	}
	currentLeader.StoreEndpoint.SetRefusing(true)
	time.Sleep(time.Second) // questions that were under way
	if answered, all = pollJobs(cluster, ids, 2*time.Second); answered < all*70/100 {
		t.Errorf("%d of %d questions were answered while the leader is refused", answered, all)
	}
}

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

// asking has users ask all controllers about all jobs for a while, and returns how many of
// their questions were answered.
func asking(cl *dev.Cluster, ids []string, d time.Duration) (answered, all int) {
	var got, asked atomic.Int64
	var users sync.WaitGroup
	for i, id := range ids {
		users.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				asked.Add(1)
				if st, _ := call(cl.Controllers[(i+int(asked.Load()))%len(cl.Controllers)], http.MethodGet, "/v1/jobs/"+id,
					nil); st == http.StatusOK {
					got.Add(1)
				}
			}
		})
	}
	users.Wait()
	return int(got.Load()), int(asked.Load())
}

// requests are those of each controller to the state service so far.
func requests(cl *dev.Cluster) (out []int) {
	for _, c := range cl.Controllers {
		out = append(out, c.Front.Counts().Requests)
	}
	return out
}

// What users ask of any controller is compared by the leader, so that it costs the same
// whatever the number of controllers; refused by the state service alone, the leader is no
// hindrance: the others compare by themselves.
func TestTheLeaderComparesForAll(t *testing.T) {
	o := options()
	o.Controllers, o.Seeds = 5, seedsOf(2)
	cl := start(t, o)
	var ids []string
	for i := range 20 {
		job := submission(fmt.Sprintf("job-%06d", 500+i), 1)
		job["Cpus"], job["ForageS"] = 8, 600 // most wait, the rest runs on
		ids = append(ids, job["NameId"].(string))
		accept(t, cl.Controllers[i%5], job)
	}
	lead := leader(t, cl)
	before := requests(cl)
	answered, all := asking(cl, ids, 6*time.Second)
	after := requests(cl)
	if answered < all*98/100 {
		t.Errorf("%d of %d questions were answered", answered, all)
	}
	total := 0
	for i := range after {
		used := after[i] - before[i]
		total += used
		if cl.Controllers[i] != lead && used > 25 {
			t.Errorf("%s asked the state service %d times in 6 s", cl.Controllers[i].Cfg.HostName, used)
		}
	}
	if total > 6*30 {
		t.Errorf("%d requests in 6 s for %d questions", total, all)
	}
	lead.Front.Refuse(true)
	time.Sleep(time.Second) // questions that were under way
	if answered, all = asking(cl, ids, 2*time.Second); answered < all*70/100 {
		t.Errorf("%d of %d questions were answered while the leader is refused", answered, all)
	}
}

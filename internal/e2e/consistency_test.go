package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"honeylock/internal/dev"
)

// answerChecker checks that answers to users never go back in time: once an answer has acknowledged
// that a job was accepted or has ended, later requests must not get an older state.
type answerChecker struct {
	t            *testing.T
	mu           sync.Mutex
	acknowledged map[string]string // by job: accepted, done or aborted
	compared     int               // answers that were compared with an acknowledged state
}

// request sends one request and compares its answer with what was acknowledged before it.
func (checker *answerChecker) request(c *dev.Controller, method, path, job string,
	body any) (status int, stage string) {
	checker.mu.Lock()
	before := checker.acknowledged[job]
	checker.mu.Unlock()
	status, v := call(c, method, path, body)
	stage, _ = v["Stage"].(string)
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if before != "" && (status == http.StatusOK || status == http.StatusCreated || status == http.StatusNotFound) {
		checker.compared++
		ended := before == "done" || before == "aborted"
		if status != http.StatusOK || ended && stage != before {
			checker.t.Errorf("%s %s: status %d, stage %q after %q was acknowledged", method, path, status, stage, before)
		}
	}
	switch {
	case stage == "done" || stage == "aborted":
		checker.acknowledged[job] = stage
	case stage != "" && checker.acknowledged[job] == "":
		checker.acknowledged[job] = "accepted"
	}
	return status, stage
}

// checkAll polls all controllers concurrently, twice each, and submits the job once more.
func (checker *answerChecker) checkAll(cluster *dev.Cluster, job object) {
	id := job["NameId"].(string)
	var requests sync.WaitGroup
	for range 2 {
		for _, c := range cluster.Controllers {
			requests.Go(func() { checker.request(c, http.MethodGet, "/v1/jobs/"+id, id, nil) })
		}
	}
	requests.Go(func() { checker.request(cluster.Controllers[len(id)%3], http.MethodPost, "/v1/jobs", id, job) })
	requests.Wait()
}

// retryUntilAnswered repeats a request until it succeeds, then checks all controllers' answers.
func (checker *answerChecker) retryUntilAnswered(cluster *dev.Cluster, firstController int, path string, job object) {
	id := job["NameId"].(string)
	var body any
	if path == "/v1/jobs" {
		body = job
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		firstController++
		status, _ := checker.request(cluster.Controllers[firstController%3], http.MethodPost, path, id, body)
		if status == http.StatusOK || status == http.StatusCreated {
			checker.checkAll(cluster, job)
			return
		}
	}
	checker.t.Errorf("%s: not answered within 30 s", path)
}

// TestAnswersAreConsistentAcrossControllers: users poll all controllers within milliseconds of an
// answer, repeat submissions, and cancel at once or just as the last task ends, while the answers
// to some of one controller's transactions are lost.
func TestAnswersAreConsistentAcrossControllers(t *testing.T) {
	cluster := startFaultCluster(t, 6)
	cluster.Controllers[1].StoreEndpoint.LoseAnswers(4)
	checker := &answerChecker{t: t, acknowledged: map[string]string{}}
	var users sync.WaitGroup
	for i := range 24 {
		job := submission(fmt.Sprintf("job-%06d", 100+i), 1+i%3)
		id := job["NameId"].(string)
		users.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			checker.retryUntilAnswered(cluster, i, "/v1/jobs", job)
			switch i % 3 {
			case 0: // at once
			case 1: // about when the last task ends
				time.Sleep(time.Duration(300+40*i) * time.Millisecond)
			default:
				for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					if _, stage := checker.request(cluster.Controllers[i%2], http.MethodGet, "/v1/jobs/"+id, id,
						nil); stage == "done" {
						break
					}
				}
				checker.checkAll(cluster, job)
			}
			checker.retryUntilAnswered(cluster, i+1, "/v1/jobs/"+id+"/withdraw", job)
		})
	}
	users.Wait()
	outcomes := map[string]int{}
	for _, stage := range checker.acknowledged {
		outcomes[stage]++
	}
	if outcomes["done"] < 8 || outcomes["aborted"] == 0 || outcomes["accepted"] > 0 || checker.compared < 24*14 {
		t.Errorf("outcomes %v after %d comparisons", outcomes, checker.compared)
	}
}

// TestMachinesThatReachNoController: reports of two machines are lost while commands still reach
// them. Their leases expire, their tasks run elsewhere, none on two machines at a time, and the
// machines are used again afterwards.
func TestMachinesThatReachNoController(t *testing.T) {
	t.Parallel()
	cluster := startFaultCluster(t, 6)
	job := submission("job-000001", 28)
	job["ForageS"] = 7.0
	submitAccepted(t, cluster.Controllers[0], job)
	waitUntil(t, "tasks run", func() bool { return cluster.Tasks.RunningTasks("job-000001") > 20 })
	isolated := cluster.Cloud.Workers()[:2]
	for _, w := range isolated {
		w.LoseOutbound(12 * time.Second)
	}
	leader := waitForLeader(t, cluster)
	leader.Stop()
	time.Sleep(200 * time.Millisecond)
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the job is done", func() bool { return jobStage(leader, "job-000001") == "done" })
	killed := 0
	for _, r := range cluster.Tasks.Runs() {
		if r.Cause == "killed" && (r.Machine == isolated[0].Name || r.Machine == isolated[1].Name) {
			killed++
		}
	}
	if killed == 0 {
		t.Error("no task was killed when its machine's lease expired, so this test checked nothing")
	}
	last := submission("job-000002", 24)
	last["ForageS"] = 2.0
	submitAccepted(t, leader, last)
	waitUntil(t, "all machines are used again", func() bool { return cluster.Tasks.RunningTasks("job-000002") >= 20 })
}

// TestInvalidSubmissionsAreRejected: a submission that is malformed or can never run is refused by
// every controller and leaves no job, also if it has the name of a known job.
func TestInvalidSubmissionsAreRejected(t *testing.T) {
	cluster := startFaultCluster(t, 2)
	controller := cluster.Controllers[0]
	submitAccepted(t, controller, submission("job-000001", 1))
	waitUntil(t, "the job is done", func() bool { return jobStage(controller, "job-000001") == "done" })
	invalid := map[string]struct {
		field string
		value any // nil: the field is left out
		want  int
	}{
		"task too large":         {"Cpus", 9, http.StatusUnprocessableEntity},
		"too much memory":        {"MemGb", 33, http.StatusUnprocessableEntity},
		"an accelerator":         {"Accelerators", 1, http.StatusUnprocessableEntity},
		"unknown team":           {"Colony", "nobody", http.StatusUnprocessableEntity},
		"unknown type":           {"Breeds", []string{"g9"}, http.StatusUnprocessableEntity},
		"unknown zone":           {"Yard", "c", http.StatusUnprocessableEntity},
		"above the team's limit": {"Cpus", 401, http.StatusUnprocessableEntity},
		"no tasks":               {"Cells", 0, http.StatusBadRequest},
		"too many tasks":         {"Cells", 100_001, http.StatusBadRequest},
		"half a task":            {"Cells", 1.5, http.StatusBadRequest},
		"negative CPUs":          {"Cpus", -1, http.StatusBadRequest},
		"empty list of types":    {"Breeds", []string{}, http.StatusBadRequest},
		"unknown rank":           {"Rank", "first", http.StatusBadRequest},
		"unknown shape":          {"Shape", "round", http.StatusBadRequest},
		"zero deadline":          {"HarvestS", 0, http.StatusBadRequest},
		"malformed name":         {"NameId", "job-1", http.StatusBadRequest},
	}
	for _, field := range []string{"NameId", "Comb", "Colony", "Shape", "Rank", "Cells", "Cpus", "Accelerators", "MemGb",
		"Wax", "ImageGb", "Together", "Spread", "SwarmBoxes", "ForageS", "CapIntervalS", "CapS"} {
		invalid["without "+field] = struct {
			field string
			value any
			want  int
		}{field, nil, http.StatusBadRequest}
		invalid["a wrong type of "+field] = struct {
			field string
			value any
			want  int
		}{field, object{}, http.StatusBadRequest}
	}
	n := 0
	for name, test := range invalid {
		n++
		job := submission(fmt.Sprintf("job-%06d", 500+n), 2)
		if test.value == nil {
			delete(job, test.field)
		} else {
			job[test.field] = test.value
		}
		for i := range 2 {
			if status, v := call(cluster.Controllers[i], http.MethodPost, "/v1/jobs", job); status != test.want {
				t.Errorf("%s: status %d, answer %v, want status %d", name, status, v, test.want)
			}
		}
		if id, ok := job["NameId"].(string); ok && id != "job-1" {
			if status, _ := call(cluster.Controllers[2], http.MethodGet, "/v1/jobs/"+id, nil); status != http.StatusNotFound {
				t.Errorf("%s: poll of the refused job: status %d, want 404", name, status)
			}
			job["NameId"] = "job-000001"
			status, v := call(controller, http.MethodPost, "/v1/jobs", job)
			if status == http.StatusCreated || status == http.StatusOK && v["Stage"] != "done" {
				t.Errorf("%s, with the name of a known job: status %d, answer %v", name, status, v)
			}
		}
	}
	status, v := call(controller, http.MethodPost, "/v1/jobs/job-000001/withdraw", nil)
	if status != http.StatusOK || v["Stage"] != "done" {
		t.Errorf("cancellation of a completed job: status %d, answer %v", status, v)
	}
	if record := cluster.OpenRecord("job-000001"); record != nil {
		t.Errorf("a completed job has an open record: %s", record)
	}
}

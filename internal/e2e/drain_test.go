package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"honeylock/internal/client"
	"honeylock/internal/config"
	"honeylock/internal/core/audit"
	"honeylock/internal/dev"
	"honeylock/internal/node"
	"honeylock/internal/standin"
)

const operatorToken = "a token of the tests"

// startOperated starts a cluster with a number of workers and operators' endpoints.
func startOperated(t *testing.T, workers int, seed uint64) (*dev.Cluster, *client.Operators) {
	t.Helper()
	options := defaultOptions()
	options.Teams = []config.Team{{Name: "vision", CPUs: 200, CPUsMax: 400}}
	options.InitialMachines = []dev.MachineGroup{{Zone: "a", Count: workers}}
	options.Tasks = standin.NewTaskRegistry()
	options.Tasks.RunTimeFactor = func(_ *standin.Job, task string) float64 {
		return 0.9 + (dev.EstimateError(task, seed)-0.6)/4.5 // 0.9 to 1.1
	}
	options.Settings = func(string) (*config.Settings, error) { return dev.OperatorSettings(operatorToken) }
	return startOperatedWith(t, options)
}

// startOperatedWith starts a cluster and returns a client of its operators' endpoints.
func startOperatedWith(t *testing.T, options dev.Options) (*dev.Cluster, *client.Operators) {
	t.Helper()
	cluster := startWith(t, options)
	ops, err := client.NewOperators(cluster.OpsAddrs(), operatorToken, "")
	if err != nil {
		t.Fatal(err)
	}
	return cluster, ops
}

// discardMessage ignores the client's messages to the operator.
func discardMessage(string) {}

// applyPlan applies a drain plan.
func applyPlan(t *testing.T, ops *client.Operators, plan string) {
	t.Helper()
	var out node.Outcome
	if err := ops.Change(t.Context(), "drains", []byte(plan), &out, discardMessage); err != nil {
		t.Fatal(err)
	}
}

// requestForecast waits for a forecast that is complete.
func requestForecast(t *testing.T, ops *client.Operators, path, plan string) (reply node.ForecastReply) {
	t.Helper()
	if err := ops.Poll(t.Context(), path, []byte(plan), &reply, func() bool { return reply.Done >= 1 }); err != nil {
		t.Fatal(err)
	}
	return reply
}

// submitLoad fills a cluster of 5 machines: a first job from which the run times of its class are
// estimated, then 20 tasks that use all CPUs, and 30 that wait for them.
func submitLoad(t *testing.T, cluster *dev.Cluster) {
	t.Helper()
	controller := cluster.Controllers[0]
	job := func(id string, tasks int, run float64) object {
		fields := submission(id, tasks)
		fields["ForageS"], fields["ImageGb"] = run, 0.01
		return fields
	}
	submitAccepted(t, controller, job("job-000001", 20, 3))
	waitUntil(t, "the first job is done", func() bool { return jobStage(controller, "job-000001") == "done" })
	submitAccepted(t, controller, job("job-000002", 20, 9))
	waitUntil(t, "the second job runs", func() bool { return cluster.Tasks.RunningTasks("job-000002") == 20 })
	submitAccepted(t, controller, job("job-000003", 30, 6))
}

// completionTimes waits for jobs and returns how many seconds after a time each of them ended.
func completionTimes(t *testing.T, cluster *dev.Cluster, since time.Time, ids ...string) map[string]float64 {
	t.Helper()
	endedAt := map[string]time.Time{}
	for _, id := range ids {
		waitUntil(t, id, func() bool { return jobStage(cluster.Controllers[0], id) == "done" })
	}
	for _, r := range cluster.Tasks.Runs() {
		id, _, _ := strings.Cut(r.Task, "/")
		if r.Cause == "done" && r.EndedAt.After(endedAt[id]) {
			endedAt[id] = r.EndedAt
		}
	}
	seconds := map[string]float64{}
	for id, at := range endedAt {
		seconds[id] = at.Sub(since).Seconds()
	}
	return seconds
}

// drainTwoOfFive is a plan that patches two of five machines.
const drainTwoOfFive = `name: "p" machines { names: "m-000001" names: "m-000002" } at_once: 2 after: PATCH patch_s: 600`

// toleranceSeconds is the tolerance of a forecast: its time steps, the report interval and the
// delay until free capacity is known.
const toleranceSeconds = 3.5

// TestForecastMatchesOutcome compares a forecast with two clusters under the same load: one with
// the plan, one without.
func TestForecastMatchesOutcome(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			with, ops := startOperated(t, 5, seed)
			without, _ := startOperated(t, 5, seed)
			var baseline map[string]float64
			var wg sync.WaitGroup
			wg.Go(func() {
				submitLoad(t, without)
				baseline = completionTimes(t, without, time.Now(), "job-000002", "job-000003")
			})
			submitLoad(t, with)
			startedAt := time.Now()
			forecast := requestForecast(t, ops, "forecasts", drainTwoOfFive)
			applyPlan(t, ops, drainTwoOfFive)
			withPlan := completionTimes(t, with, startedAt, "job-000002", "job-000003")
			wg.Wait()
			if len(forecast.Delayed) != 1 || forecast.Delayed[0].Job != "job-000003" ||
				forecast.Delayed[0].Reason != "waits for room" {
				t.Fatalf("forecast %+v, want only job-000003 to be delayed because it waits for room", forecast)
			}
			delayed := forecast.Delayed[0]
			if endedAfter := withPlan["job-000003"]; math.Abs(endedAfter-delayed.EndS[1]) > toleranceSeconds {
				t.Errorf("job-000003 ended after %.1f s; the forecast was %v s", endedAfter, delayed.EndS)
			}
			if delay := withPlan["job-000003"] - baseline["job-000003"]; math.Abs(delay-delayed.DelayS[1]) >
				2*toleranceSeconds {
				t.Errorf("job-000003 was delayed by %.1f s; the forecast was %v s", delay, delayed.DelayS)
			}
			if delay := withPlan["job-000002"] - baseline["job-000002"]; math.Abs(delay) > toleranceSeconds {
				t.Errorf("job-000002 was delayed by %.1f s; the forecast was no delay", delay)
			}
			t.Logf("job-000003: forecast to end after %v s, delayed by %v s; ended after %.1f s, without the plan %.1f s",
				delayed.EndS, delayed.DelayS, withPlan["job-000003"], baseline["job-000003"])
		})
	}
}

// planStatus returns the status of a drain plan.
func planStatus(t *testing.T, ops *client.Operators, name string) (status node.PlanStatus) {
	t.Helper()
	if err := ops.Get(t.Context(), "drains/"+name, &status); err != nil {
		t.Fatal(err)
	}
	return status
}

// TestMachineAndLeaderLostDuringDrain: a machine fails while it is drained, and the leader is
// killed. The plan continues, and a new forecast takes the loss into account and is right.
func TestMachineAndLeaderLostDuringDrain(t *testing.T) {
	t.Parallel()
	cluster, ops := startOperated(t, 5, 7)
	submitLoad(t, cluster)
	applyPlan(t, ops, strings.Replace(drainTwoOfFive, "after: PATCH patch_s: 600", "after: RETURN", 1))
	waitUntil(t, "both machines are being drained", func() bool { return planStatus(t, ops, "p").Counts["draining"] == 2 })
	cluster.Cloud.FailMachine("m-000001")
	for _, controller := range cluster.Controllers {
		if isLeader(controller) {
			controller.Stop()
			defer func() { _ = controller.Start() }()
		}
	}
	waitUntil(t, "the loss is known", func() bool { return planStatus(t, ops, "p").Counts["gone"] == 1 })
	startedAt := time.Now()
	forecast := requestForecast(t, ops, "drains/p/forecast", "")
	waitUntil(t, "the plan is done", func() bool { return planStatus(t, ops, "p").Phase == "done" })
	duration := time.Since(startedAt).Seconds()
	if math.Abs(duration-forecast.TookS[1]) > 2*toleranceSeconds {
		t.Errorf("the rest of the plan took %.1f s; the forecast was %v s", duration, forecast.TookS)
	}
	if remaining := len(cluster.Cloud.Workers()); remaining != 3 {
		t.Errorf("%d machines are left, want 3", remaining)
	}
	for _, id := range []string{"job-000002", "job-000003"} {
		waitUntil(t, id, func() bool {
			return jobStage(cluster.Controllers[0], id) == "done" || jobStage(cluster.Controllers[1], id) == "done"
		})
	}
	var entries []audit.Entry
	if err := ops.Get(t.Context(), "audit", &entries); err != nil || len(entries) != 1 || entries[0].Who != "dev" ||
		entries[0].What != "drain apply" {
		t.Errorf("audit log %+v, error %v", entries, err)
	}
}

// isLeader reports whether a controller is the leader.
func isLeader(controller *dev.Controller) bool {
	status, _ := call(controller, http.MethodGet, "/metrics", nil)
	return status == http.StatusOK && metricValue(controller, "honeylock_leading") == "1"
}

// TestOperatorEndpoint checks authorization, refusals, and requests that are repeated with the
// same ID.
func TestOperatorEndpoint(t *testing.T) {
	t.Parallel()
	cluster, ops := startOperated(t, 2, 1)
	submitAccepted(t, cluster.Controllers[0], submission("job-000001", 1))
	waitUntil(t, "both machines are known", func() bool {
		var out node.Outcome
		plan := `name: "a" machines { names: "m-000001" names: "m-000002" } after: PATCH`
		return ops.Change(t.Context(), "drains", []byte(plan), &out, discardMessage) == nil
	})
	request := func(method, path, bearer, id, body string) (int, string) {
		req, _ := http.NewRequestWithContext(context.Background(), method, "http://"+cluster.OpsAddrs()[1]+"/ops/v1/"+path,
			strings.NewReader(body))
		if bearer != "" {
			req.Header.Set("Authorization", "Bearer "+bearer)
		}
		if id != "" {
			req.Header.Set("Request-Id", id)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer res.Body.Close()
		var e struct{ Error, Outcome string }
		_ = json.NewDecoder(res.Body).Decode(&e)
		return res.StatusCode, e.Error + e.Outcome
	}
	waitUntil(t, "the controller of this endpoint has joined the leader", func() bool {
		status, _ := request("GET", "drains", operatorToken, "", "")
		return status == http.StatusOK
	})
	for _, test := range []struct {
		method, path, bearer, id, body string
		want                           int
		why                            string
	}{
		{"GET", "drains", "", "", "", 401, "bearer token"},
		{"GET", "drains", "wrong", "", "", 401, "bearer token"},
		{"GET", "drains", operatorToken, "", "", 200, ""},
		{"GET", "drains/b", operatorToken, "", "", 404, `"b"`},
		{"GET", "nothing", operatorToken, "", "", 404, ""},
		{"POST", "drains", operatorToken, "", `name: "B"`, 400, "name: "},
		{"POST", "drains", operatorToken, "", `name: "b" machines { all: true }`, 409,
			`m-000001 is wanted by plan "a" and by "b"`},
		{"POST", "drains", operatorToken, "", `name: "b" machines { names: "m-000099" }`, 409, "m-000099 is no machine"},
		{"POST", "drains/a/pause", operatorToken, "again", "", 200, "paused"},
		{"POST", "drains/a/pause", operatorToken, "again", "", 200, "paused"},
		{"POST", "drains/a/resume", operatorToken, "again", "", 409, "used for something else"},
		{"POST", "drains/a/resume", operatorToken, "not an id", "", 400, "Request-Id"},
		{"POST", "drains/b/cancel", operatorToken, "", "", 409, `"b"`},
		{"POST", "drains/a/machines/m-000001/patched", operatorToken, "", "", 409, "only a machine that is patching"},
		{"POST", "drains/a/cancel", operatorToken, "", "", 200, "cancelled"},
		{"POST", "drains/a/resume", operatorToken, "", "", 409, "cancelled"},
	} {
		status, message := request(test.method, test.path, test.bearer, test.id, test.body)
		if status != test.want || !strings.Contains(message, test.why) {
			t.Errorf("%s %s %s: status %d, message %q, want %d, %q", test.method, test.path, test.body, status, message,
				test.want, test.why)
		}
	}
	var entries []audit.Entry
	if err := ops.Get(t.Context(), "audit", &entries); err != nil {
		t.Fatal(err)
	}
	paused := 0
	for _, e := range entries {
		if e.What == "drain pause" {
			paused++
		}
	}
	if paused != 1 || entries[0].Outcome != `plan "a" is cancelled` {
		t.Errorf("audit log %+v", entries)
	}
}

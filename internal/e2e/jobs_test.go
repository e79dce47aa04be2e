package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/dev"
	"honeylock/internal/standin"
)

type object = map[string]any

// defaultOptions returns the options of a cluster with three controllers and no machines.
func defaultOptions() dev.Options {
	return dev.Options{
		Controllers: 3, Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "vision", CPUs: 8, CPUsMax: 24}},
		Types: []standin.MachineType{{
			Label: "g8", Cpus: 8, MemGb: 32, LocalGb: 50, PullGbPerS: 20, Hourly: 1, MarketPrice: 0.3, ReadyS: 10,
			Yards: []string{"a", "b"},
		}},
		Report: 300 * time.Millisecond, Lease: 10 * time.Second, Cancel: 40 * time.Second, ListLag: time.Second,
		ListedAfterLoss: time.Second, CloudRPS: 10,
		Limits: standin.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 16}, Seed: 1,
	}
}

// startCluster starts a cluster with three controllers and a number of workers.
func startCluster(t *testing.T, workers int) *dev.Cluster {
	t.Helper()
	options := defaultOptions()
	options.InitialMachines = []dev.MachineGroup{{Zone: "a", Count: workers}}
	return startWith(t, options)
}

// startWith starts a cluster and closes it after the test. The test fails if a task ran on two
// machines at a time.
func startWith(t *testing.T, options dev.Options) *dev.Cluster {
	t.Helper()
	c, err := dev.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		if violations := c.Tasks.Violations(); len(violations) > 0 {
			t.Error(violations)
		}
	})
	return c
}

// call sends a request to a controller and returns its status, or 0 without an answer.
func call(controller *dev.Controller, method, path string, body any) (int, map[string]any) {
	encoded, _ := json.Marshal(body)
	if s, ok := body.(string); ok {
		encoded = []byte(s)
	}
	req, _ := http.NewRequest(method, "http://"+controller.Config.Bind+path, bytes.NewReader(encoded))
	res, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	var v map[string]any
	_ = json.NewDecoder(res.Body).Decode(&v)
	return res.StatusCode, v
}

// metricValue returns the value of one of a controller's metrics.
func metricValue(controller *dev.Controller, name string) string {
	res, err := http.Get("http://" + controller.Config.Bind + "/metrics")
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return v
		}
	}
	return ""
}

// waitUntil polls a condition until it holds, and fails the test after 40 s.
func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition did not hold within 40 s: %s", condition)
}

// submission returns the JSON fields of a job.
func submission(name string, tasks int) object {
	return object{"NameId": name, "Comb": "train", "Colony": "vision", "Shape": "batch", "Rank": "standard",
		"Cells": tasks, "Cpus": 2, "Accelerators": 0,
		"MemGb": 1, "Wax": "img", "ImageGb": 1, "Together": false, "Spread": false, "SwarmBoxes": false, "ForageS": 0.5,
		"CapIntervalS": 0, "CapS": 0}
}

// submitAccepted submits a job until it is accepted.
func submitAccepted(t *testing.T, c *dev.Controller, job object) {
	t.Helper()
	waitUntil(t, "the submission is accepted", func() bool {
		status, _ := call(c, http.MethodPost, "/v1/jobs", job)
		return status == http.StatusCreated || status == http.StatusOK
	})
}

// jobStage returns the stage of a job in a controller's answer.
func jobStage(c *dev.Controller, name string) any {
	_, v := call(c, http.MethodGet, "/v1/jobs/"+name, nil)
	return v["Stage"]
}

// TestJobsSurviveLossOfControllers checks that jobs complete while each controller is killed and
// restarted in turn, and that a cancellation reaches all controllers.
func TestJobsSurviveLossOfControllers(t *testing.T) {
	cluster := startCluster(t, 4)
	controllers := cluster.Controllers
	submitAccepted(t, controllers[0], submission("job-000001", 20))
	waitUntil(t, "the first job is done", func() bool { return jobStage(controllers[1], "job-000001") == "done" })
	if status, v := call(controllers[2], http.MethodPost, "/v1/jobs",
		submission("job-000001", 20)); status != http.StatusOK || v["Stage"] != "done" {
		t.Errorf("repeated submission: status %d, answer %v", status, v)
	}

	submitAccepted(t, controllers[1], submission("job-000002", 40))
	// Each controller is killed in turn and started again.
	for i, c := range controllers {
		c.Stop()
		other := controllers[(i+1)%3]
		submitAccepted(t, other, submission(fmt.Sprintf("job-%06d", 10+i), 6))
		time.Sleep(300 * time.Millisecond)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the restarted controller is healthy", func() bool {
			status, _ := call(c, http.MethodGet, "/healthz", nil)
			return status == http.StatusOK
		})
	}
	for _, id := range []string{"job-000002", "job-000010", "job-000011", "job-000012"} {
		waitUntil(t, id, func() bool { return jobStage(controllers[0], id) == "done" })
	}
	starts := map[string]int{}
	for _, r := range cluster.Tasks.Runs() {
		if starts[r.Task]++; starts[r.Task] > 3 {
			t.Errorf("%s started %d times", r.Task, starts[r.Task])
		}
	}
	// Tasks that must run in the same zone.
	together := submission("job-000030", 6)
	together["Together"] = true
	submitAccepted(t, controllers[2], together)
	waitUntil(t, "the job in one zone is done", func() bool { return jobStage(controllers[1], "job-000030") == "done" })

	// A service is cancelled through another controller than the one that accepted it.
	service := submission("job-000020", 2)
	service["Shape"] = "daemon"
	submitAccepted(t, controllers[0], service)
	waitUntil(t, "the service starts", func() bool { return cluster.Tasks.RunningTasks("job-000020") == 2 })
	waitUntil(t, "the job is cancelled", func() bool {
		status, v := call(controllers[1], http.MethodPost, "/v1/jobs/job-000020/withdraw", nil)
		return status == http.StatusOK && v["Stage"] == "aborted"
	})
	waitUntil(t, "the cancelled tasks end", func() bool { return cluster.Tasks.RunningTasks("job-000020") == 0 })
	for _, c := range controllers {
		if s := jobStage(c, "job-000020"); s != "aborted" {
			t.Errorf("%s reports stage %v of a cancelled job", c.Config.HostName, s)
		}
	}
}

// TestStatusCodesForUsers checks the status codes of users' valid and invalid requests.
func TestStatusCodesForUsers(t *testing.T) {
	controllers := startCluster(t, 1).Controllers
	submitAccepted(t, controllers[0], submission("job-000001", 1))
	with := func(k string, v any) object {
		fields := submission("job-000099", 1)
		fields[k] = v
		return fields
	}
	for name, test := range map[string]struct {
		method, path string
		body         any
		want         int
	}{
		"not JSON":      {http.MethodPost, "/v1/jobs", "x", http.StatusBadRequest},
		"not an object": {http.MethodPost, "/v1/jobs", []int{}, http.StatusBadRequest},
		"no CPUs":       {http.MethodPost, "/v1/jobs", with("Cpus", 0), http.StatusBadRequest},
		"body too large": {http.MethodPost, "/v1/jobs", with("Extra", string(make([]byte, 70_000))),
			http.StatusBadRequest},
		"unknown team":       {http.MethodPost, "/v1/jobs", with("Colony", "x"), http.StatusUnprocessableEntity},
		"fits no machine":    {http.MethodPost, "/v1/jobs", with("MemGb", 64), http.StatusUnprocessableEntity},
		"no such type":       {http.MethodPost, "/v1/jobs", with("Breeds", []string{"z"}), http.StatusUnprocessableEntity},
		"no such zone":       {http.MethodPost, "/v1/jobs", with("Yard", "z"), http.StatusUnprocessableEntity},
		"above the limit":    {http.MethodPost, "/v1/jobs", with("Cpus", 25), http.StatusUnprocessableEntity},
		"unknown job":        {http.MethodGet, "/v1/jobs/job-000098", nil, http.StatusNotFound},
		"invalid job name":   {http.MethodGet, "/v1/jobs/x", nil, http.StatusNotFound},
		"cancel unknown job": {http.MethodPost, "/v1/jobs/job-000098/withdraw", nil, http.StatusNotFound},
		"metrics":            {http.MethodGet, "/metrics", nil, http.StatusOK},
	} {
		if status, v := call(controllers[0], test.method, test.path, test.body); status != test.want {
			t.Errorf("%s: status %d, answer %v, want status %d", name, status, v, test.want)
		}
	}
	big := submission("job-000097", 13)
	big["Shape"] = "daemon" // needs 26 CPUs at a time, above the limit of 24
	if status, _ := call(controllers[0], http.MethodPost, "/v1/jobs", big); status != http.StatusUnprocessableEntity {
		t.Errorf("service above its team's limit: status %d, want 422", status)
	}
}

// TestRefusedControllerForwardsRequests checks that a controller forwards users' requests if the
// state service refuses only this controller. Otherwise they would fail for the seconds until the
// load balancer notices.
func TestRefusedControllerForwardsRequests(t *testing.T) {
	controllers := startCluster(t, 1).Controllers
	for _, c := range controllers {
		submitAccepted(t, c, submission("job-000001", 1))
	}
	for i, c := range controllers { // one of them is the leader
		c.StoreEndpoint.SetRefusing(true)
		id := fmt.Sprintf("job-%06d", 10+i)
		waitUntil(t, "the submission is accepted", func() bool {
			status, _ := call(c, http.MethodPost, "/v1/jobs", submission(id, 1))
			return status == http.StatusCreated || status == http.StatusOK
		})
		if status, _ := call(controllers[(i+1)%3], http.MethodGet, "/v1/jobs/"+id, nil); status != http.StatusOK {
			t.Errorf("poll of the job at another controller: status %d", status)
		}
		c.StoreEndpoint.SetRefusing(false)
		time.Sleep(2 * time.Second)
	}
}

// TestOverloadShedsUserRequestsNotReports checks that, while the state service does not answer and
// users' requests accumulate, most of these are refused at once and workers still get answers.
func TestOverloadShedsUserRequestsNotReports(t *testing.T) {
	unresponsive, err := net.Listen("tcp4", "127.0.0.1:0") // accepts connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	options := defaultOptions()
	options.Controllers, options.Limits.RPS, options.Limits.WriteRPS = 1, 1e6, 1e6
	cluster, err := dev.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	controller := cluster.Controllers[0]
	controller.Stop()
	controller.Config.Services.State = unresponsive.Addr().String()
	if err := controller.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the port is open", func() bool {
		status, _ := call(controller, http.MethodGet, "/metrics", nil)
		return status == http.StatusOK
	})
	answers := make(chan int, 150)
	for range 150 {
		go func() {
			status, _ := call(controller, http.MethodGet, "/v1/jobs/job-000001", nil)
			answers <- status
		}()
	}
	time.Sleep(300 * time.Millisecond)
	sentAt := time.Now()
	if status, _ := call(controller, http.MethodPost, "/agent/beat",
		object{"Hive": "m-000001", "Breed": "g8", "Yard": "a", "Flight": 1,
			"Buzz": 1}); status != http.StatusMisdirectedRequest || time.Since(sentAt) > time.Second {
		t.Errorf("worker's report: status %d after %v", status, time.Since(sentAt))
	}
	if n := len(answers); n < 50 {
		t.Errorf("%d of 150 requests were answered at once, want at least 50", n)
	}
	for range 150 {
		if status := <-answers; status != http.StatusServiceUnavailable {
			t.Errorf("user's request: status %d, want 503", status)
		}
	}
}

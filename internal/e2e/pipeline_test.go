package e2e

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/dev"
	"honeylock/internal/standin"
)

// TestPipelineSurvivesLossOfLeader: jobs that depend on each other run in order although the leader
// is killed meanwhile and the state service has small limits. Jobs that depend on a cancelled job
// are cancelled, and one that depends on an unknown job is refused.
func TestPipelineSurvivesLossOfLeader(t *testing.T) {
	t.Parallel()
	options := defaultOptions()
	options.InitialMachines = []dev.MachineGroup{{Zone: "a", Count: 4}}
	options.Limits.ValueKB, options.Limits.TxnOps = 2, 5
	cluster := startWith(t, options)
	controllers := cluster.Controllers
	job := func(id string, tasks int, run float64, dependencies ...string) object {
		fields := submission(id, tasks)
		fields["ForageS"], fields["ImageGb"], fields["Awaits"] = run, 0.01, dependencies
		return fields
	}
	submitAccepted(t, controllers[0], job("job-000001", 4, 2))
	submitAccepted(t, controllers[1], job("job-000002", 6, 1, "job-000001"))
	submitAccepted(t, controllers[2], job("job-000003", 2, 1, "job-000001", "job-000002"))
	submitAccepted(t, controllers[0], job("job-000004", 1, 60))
	submitAccepted(t, controllers[1], job("job-000005", 2, 1, "job-000004"))
	submitAccepted(t, controllers[2], job("job-000006", 2, 1, "job-000005", "job-000001"))
	status, v := call(controllers[0], http.MethodPost, "/v1/jobs", job("job-000007", 1, 1, "job-000099"))
	if status != http.StatusUnprocessableEntity {
		t.Errorf("job that depends on an unknown job: status %d, answer %v", status, v)
	}
	waitUntil(t, "the first job runs", func() bool { return cluster.Tasks.RunningTasks("job-000001") > 0 })
	waitUntil(t, "a job with an open dependency is reported as queued", func() bool {
		return jobStage(controllers[1], "job-000002") == "queued"
	})
	for _, controller := range controllers {
		if isLeader(controller) {
			controller.Stop()
			defer func() { _ = controller.Start() }()
		}
	}
	healthy := func() *dev.Controller {
		for _, controller := range controllers {
			if status, _ := call(controller, http.MethodGet, "/healthz", nil); status == http.StatusOK {
				return controller
			}
		}
		return controllers[0]
	}
	waitUntil(t, "the cancellation is confirmed", func() bool {
		status, v := call(healthy(), http.MethodPost, "/v1/jobs/job-000004/withdraw", nil)
		return status == http.StatusOK && v["Stage"] == "aborted"
	})
	for _, id := range []string{"job-000005", "job-000006"} {
		waitUntil(t, id+" is cancelled with it", func() bool { return jobStage(healthy(), id) == "aborted" })
	}
	// A job that depends on a job that is already cancelled.
	status, v = call(healthy(), http.MethodPost, "/v1/jobs", job("job-000008", 1, 1, "job-000004"))
	if status != http.StatusCreated || v["Stage"] != "aborted" {
		t.Errorf("job that depends on a cancelled job: status %d, answer %v", status, v)
	}
	waitUntil(t, "the last job of the chain is done", func() bool { return jobStage(healthy(), "job-000003") == "done" })
	var startedAt, endedAt = map[string]time.Time{}, map[string]time.Time{}
	for _, r := range cluster.Tasks.Runs() {
		id, _, _ := strings.Cut(r.Task, "/")
		if earliest, ok := startedAt[id]; !ok || r.StartedAt.Before(earliest) {
			startedAt[id] = r.StartedAt
		}
		if r.EndedAt.After(endedAt[id]) {
			endedAt[id] = r.EndedAt
		}
	}
	if startedAt["job-000002"].Before(endedAt["job-000001"]) || startedAt["job-000003"].Before(endedAt["job-000002"]) {
		t.Errorf("dependencies were not respected: started at %v, ended at %v", startedAt, endedAt)
	}
	for _, id := range []string{"job-000005", "job-000006", "job-000008"} {
		if _, ok := startedAt[id]; ok {
			t.Errorf("%s ran although a dependency was cancelled", id)
		}
	}
}

// maxInterrupted returns the maximum number of tasks that were interrupted at a time, which means
// stopped and not running again yet, according to the workers.
func maxInterrupted(runs []standin.Run) int {
	type step struct {
		at    time.Time
		delta int
	}
	var steps []step
	last := map[string]standin.Run{}
	for _, r := range runs { // in order of their start
		if previous, ok := last[r.Task]; ok && previous.Cause == "stopped" {
			steps = append(steps, step{previous.EndedAt, 1}, step{r.StartedAt, -1})
		}
		last[r.Task] = r
	}
	slices.SortFunc(steps, func(a, b step) int { return a.at.Compare(b.at) })
	interrupted, maxCount := 0, 0
	for _, s := range steps {
		interrupted += s.delta
		maxCount = max(maxCount, interrupted)
	}
	return maxCount
}

// TestReplacementKeepsDisruptionBudget: all machines are replaced in waves under load, while the
// leader is killed and a machine fails. According to the workers, no more of the team's tasks are
// interrupted at a time than its disruption budget allows, and no task is lost.
func TestReplacementKeepsDisruptionBudget(t *testing.T) {
	t.Parallel()
	const budget = 3
	options := defaultOptions()
	options.Teams = []config.Team{{Name: "vision", CPUs: 200, CPUsMax: 400}}
	options.Types[0].ReadyS, options.Types[0].MaxPerZone = 1, 30
	options.InitialMachines = []dev.MachineGroup{{Zone: "a", Count: 8}}
	options.Settings = func(string) (*config.Settings, error) {
		job, err := dev.OperatorSettings(operatorToken)
		job.Budgets = []config.Budget{{Team: "vision", Tasks: budget}}
		return job, err
	}
	cluster, ops := startOperatedWith(t, options)
	waitForMembers(t, ops, 8) // a plan covers only the machines that the leader knows
	job := submission("job-000001", 20)
	job["ForageS"], job["ImageGb"], job["CapIntervalS"], job["CapS"] = 45, 0.01, 1, 0.1
	submitAccepted(t, cluster.Controllers[0], job)
	waitUntil(t, "all tasks run", func() bool { return cluster.Tasks.RunningTasks("job-000001") == 20 })
	var oldMachines []string
	for _, w := range cluster.Cloud.Workers() {
		oldMachines = append(oldMachines, w.Name)
	}
	applyPlan(t, ops, `name: "renew" machines { all: true } at_once: 4 rent_first: true running: MOVE_SAVED
		waves { machines: 1 soak_s: 1 }`)
	defer func() {
		if t.Failed() {
			t.Logf("plan status: %+v", planStatus(t, ops, "renew"))
		}
	}()
	waitUntil(t, "the first wave is over", func() bool { return planStatus(t, ops, "renew").Counts["finished"] >= 2 })
	for _, controller := range cluster.Controllers {
		if isLeader(controller) {
			controller.Stop()
			defer func() { _ = controller.Start() }()
		}
	}
	cluster.Cloud.FailMachine(oldMachines[7])
	deadline := time.Now().Add(90 * time.Second)
	for planStatus(t, ops, "renew").Phase != "done" {
		if time.Now().After(deadline) {
			t.Fatalf("plan is not done within 90 s: %+v", planStatus(t, ops, "renew"))
		}
		time.Sleep(200 * time.Millisecond)
	}
	var remaining []string
	for _, w := range cluster.Cloud.Workers() {
		if slices.Contains(oldMachines, w.Name) {
			remaining = append(remaining, w.Name)
		}
	}
	if len(remaining) > 0 {
		t.Errorf("old machines %v still run: %+v", remaining, planStatus(t, ops, "renew").Steps)
	}
	if interrupted := maxInterrupted(cluster.Tasks.Runs()); interrupted > budget || interrupted == 0 {
		t.Errorf("at most %d tasks were interrupted at a time; the budget is %d", interrupted, budget)
	}
	waitUntil(t, "the job is done", func() bool {
		return slices.ContainsFunc(cluster.Controllers, func(controller *dev.Controller) bool {
			return jobStage(controller,
				"job-000001") == "done"
		})
	})
}

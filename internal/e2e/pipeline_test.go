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

// TestPipelineThroughTheLossOfTheLeader: a chain runs in order across three controllers
// whose leader is killed in its midst, within the small limits of the state service; what
// needs a cancelled job is cancelled, what names nothing is refused.
func TestPipelineThroughTheLossOfTheLeader(t *testing.T) {
	t.Parallel()
	o := options()
	o.Seeds = []dev.Seed{{Zone: "a", N: 4}}
	o.Limits.ValueKB, o.Limits.TxnOps = 2, 5
	c := start(t, o)
	ks := c.Controllers
	job := func(id string, tasks int, run float64, awaits ...string) object {
		s := submission(id, tasks)
		s["ForageS"], s["ImageGb"], s["Awaits"] = run, 0.01, awaits
		return s
	}
	accept(t, ks[0], job("job-000001", 4, 2))
	accept(t, ks[1], job("job-000002", 6, 1, "job-000001"))
	accept(t, ks[2], job("job-000003", 2, 1, "job-000001", "job-000002"))
	accept(t, ks[0], job("job-000004", 1, 60))
	accept(t, ks[1], job("job-000005", 2, 1, "job-000004"))
	accept(t, ks[2], job("job-000006", 2, 1, "job-000005", "job-000001"))
	st, v := call(ks[0], http.MethodPost, "/v1/jobs", job("job-000007", 1, 1, "job-000099"))
	if st != http.StatusUnprocessableEntity {
		t.Errorf("a job that names nothing got %d %v", st, v)
	}
	until(t, "the first job runs", func() bool { return c.Depot.Running("job-000001") > 0 })
	until(t, "an answer about a job that waits", func() bool { return stage(ks[1], "job-000002") == "queued" })
	for _, k := range ks {
		if leads(k) {
			k.Stop()
			defer func() { _ = k.Start() }()
		}
	}
	up := func() *dev.Controller {
		for _, k := range ks {
			if st, _ := call(k, http.MethodGet, "/healthz", nil); st == http.StatusOK {
				return k
			}
		}
		return ks[0]
	}
	until(t, "the cancellation", func() bool {
		st, v := call(up(), http.MethodPost, "/v1/jobs/job-000004/withdraw", nil)
		return st == http.StatusOK && v["Stage"] == "aborted"
	})
	for _, id := range []string{"job-000005", "job-000006"} {
		until(t, id+" is cancelled with it", func() bool { return stage(up(), id) == "aborted" })
	}
	// It is named once more, after its cancellation.
	st, v = call(up(), http.MethodPost, "/v1/jobs", job("job-000008", 1, 1, "job-000004"))
	if st != http.StatusCreated || v["Stage"] != "aborted" {
		t.Errorf("a job that names a cancelled one got %d %v", st, v)
	}
	until(t, "the chain", func() bool { return stage(up(), "job-000003") == "done" })
	var began, ended = map[string]time.Time{}, map[string]time.Time{}
	for _, r := range c.Depot.Runs() {
		id, _, _ := strings.Cut(r.Task, "/")
		if b, ok := began[id]; !ok || r.Began.Before(b) {
			began[id] = r.Began
		}
		if r.Ended.After(ended[id]) {
			ended[id] = r.Ended
		}
	}
	if began["job-000002"].Before(ended["job-000001"]) || began["job-000003"].Before(ended["job-000002"]) {
		t.Errorf("began %v, ended %v", began, ended)
	}
	for _, id := range []string{"job-000005", "job-000006", "job-000008"} {
		if _, ok := began[id]; ok {
			t.Errorf("%s has run", id)
		}
	}
}

// mostOut is the most tasks that were out of work at a time because somebody stopped
// them, by what the workers did.
func mostOut(runs []standin.Run) int {
	type step struct {
		at time.Time
		by int
	}
	var steps []step
	last := map[string]standin.Run{}
	for _, r := range runs { // the earliest first
		if was, ok := last[r.Task]; ok && was.Cause == "stopped" {
			steps = append(steps, step{was.Ended, 1}, step{r.Began, -1})
		}
		last[r.Task] = r
	}
	slices.SortFunc(steps, func(a, b step) int { return a.at.Compare(b.at) })
	out, most := 0, 0
	for _, s := range steps {
		out += s.by
		most = max(most, out)
	}
	return most
}

// TestAllMachinesReplacedWithinABudget: under load all machines are replaced in waves,
// with the leader killed and a machine lost on the way; never is more of the team's work
// out than its budget says, counted from the workers' side, and nothing is lost.
func TestAllMachinesReplacedWithinABudget(t *testing.T) {
	t.Parallel()
	const budget = 3
	o := options()
	o.Teams = []config.Team{{Name: "vision", CPUs: 200, CPUsMax: 400}}
	o.Kinds[0].ReadyS, o.Kinds[0].Room = 1, 30
	o.Seeds = []dev.Seed{{Zone: "a", N: 8}}
	o.Settings = func(string) (*config.Settings, error) {
		s, err := dev.Operated(token)
		s.Budgets = []config.Budget{{Team: "vision", Tasks: budget}}
		return s, err
	}
	c, ops := opened(t, o)
	known(t, ops, 8) // a plan names the machines that the leader knows
	s := submission("job-000001", 20)
	s["ForageS"], s["ImageGb"], s["CapIntervalS"], s["CapS"] = 45, 0.01, 1, 0.1
	accept(t, c.Controllers[0], s)
	until(t, "all tasks run", func() bool { return c.Depot.Running("job-000001") == 20 })
	var old []string
	for _, w := range c.Cloud.Workers() {
		old = append(old, w.Name)
	}
	apply(t, ops, `name: "renew" machines { all: true } at_once: 4 rent_first: true running: MOVE_SAVED
		waves { machines: 1 soak_s: 1 }`)
	defer func() {
		if t.Failed() {
			t.Logf("the plan: %+v", status(t, ops, "renew"))
		}
	}()
	until(t, "the first wave is over", func() bool { return status(t, ops, "renew").Counts["finished"] >= 2 })
	for _, k := range c.Controllers {
		if leads(k) {
			k.Stop()
			defer func() { _ = k.Start() }()
		}
	}
	c.Cloud.Lose(old[7])
	end := time.Now().Add(90 * time.Second)
	for status(t, ops, "renew").Phase != "done" {
		if time.Now().After(end) {
			t.Fatalf("not within 90 s: %+v", status(t, ops, "renew"))
		}
		time.Sleep(200 * time.Millisecond)
	}
	var left []string
	for _, w := range c.Cloud.Workers() {
		if slices.Contains(old, w.Name) {
			left = append(left, w.Name)
		}
	}
	if len(left) > 0 {
		t.Errorf("%v are still there: %+v", left, status(t, ops, "renew").Steps)
	}
	if most := mostOut(c.Depot.Runs()); most > budget || most == 0 {
		t.Errorf("%d tasks were out of work at a time, the budget is %d", most, budget)
	}
	until(t, "the job", func() bool {
		return slices.ContainsFunc(c.Controllers, func(k *dev.Controller) bool { return stage(k, "job-000001") == "done" })
	})
}

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

const token = "a token of the tests"

// operated starts a cluster of n machines with operators' doors.
func operated(t *testing.T, n int, seed uint64) (*dev.Cluster, *client.Operators) {
	t.Helper()
	o := options()
	o.Teams = []config.Team{{Name: "vision", CPUs: 200, CPUsMax: 400}}
	o.Seeds = []dev.Seed{{Zone: "a", N: n}}
	o.Depot = standin.NewDepot()
	o.Depot.Factor = func(_ *standin.Job, task string) float64 {
		return 0.9 + (dev.Wrong(task, seed)-0.6)/4.5 // 0.9 to 1.1
	}
	o.Settings = func(string) (*config.Settings, error) { return dev.Operated(token) }
	return opened(t, o)
}

// opened starts a cluster with operators' doors.
func opened(t *testing.T, o dev.Options) (*dev.Cluster, *client.Operators) {
	t.Helper()
	c := start(t, o)
	ops, err := client.NewOperators(c.OpsAddrs(), token, "")
	if err != nil {
		t.Fatal(err)
	}
	return c, ops
}

func quiet(string) {}

func apply(t *testing.T, ops *client.Operators, plan string) {
	t.Helper()
	var out node.Outcome
	if err := ops.Change(t.Context(), "drains", []byte(plan), &out, quiet); err != nil {
		t.Fatal(err)
	}
}

func forecastOf(t *testing.T, ops *client.Operators, path, plan string) (f node.ForecastReply) {
	t.Helper()
	if err := ops.Ask(t.Context(), path, []byte(plan), &f, func() bool { return f.Done >= 1 }); err != nil {
		t.Fatal(err)
	}
	return f
}

// load fills a cluster of 5 machines: a class that teaches how long tasks take, 20
// tasks that take all CPUs, and 30 that wait for them.
func load(t *testing.T, c *dev.Cluster) {
	t.Helper()
	k := c.Controllers[0]
	job := func(id string, tasks int, run float64) object {
		s := submission(id, tasks)
		s["ForageS"], s["ImageGb"] = run, 0.01
		return s
	}
	accept(t, k, job("job-000001", 20, 3))
	until(t, "the first job", func() bool { return stage(k, "job-000001") == "done" })
	accept(t, k, job("job-000002", 20, 9))
	until(t, "the second job runs", func() bool { return c.Depot.Running("job-000002") == 20 })
	accept(t, k, job("job-000003", 30, 6))
}

// ends waits for jobs and tells how long after a time they were done.
func ends(t *testing.T, c *dev.Cluster, since time.Time, ids ...string) map[string]float64 {
	t.Helper()
	last := map[string]time.Time{}
	for _, id := range ids {
		until(t, id, func() bool { return stage(c.Controllers[0], id) == "done" })
	}
	for _, r := range c.Depot.Runs() {
		id, _, _ := strings.Cut(r.Task, "/")
		if r.Cause == "done" && r.Ended.After(last[id]) {
			last[id] = r.Ended
		}
	}
	out := map[string]float64{}
	for id, at := range last {
		out[id] = at.Sub(since).Seconds()
	}
	return out
}

const twoOfFive = `name: "p" machines { names: "m-000001" names: "m-000002" } at_once: 2 after: PATCH patch_s: 600`

// tolerance of a forecast, in seconds: its steps, reports and late room.
const tolerance = 3.5

// TestForecastMatchesWhatHappens compares a forecast with two clusters under the
// same load: one with the plan, one without.
func TestForecastMatchesWhatHappens(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			with, ops := operated(t, 5, seed)
			without, _ := operated(t, 5, seed)
			var base map[string]float64
			var wg sync.WaitGroup
			wg.Go(func() {
				load(t, without)
				base = ends(t, without, time.Now(), "job-000002", "job-000003")
			})
			load(t, with)
			began := time.Now()
			f := forecastOf(t, ops, "forecasts", twoOfFive)
			apply(t, ops, twoOfFive)
			got := ends(t, with, began, "job-000002", "job-000003")
			wg.Wait()
			if len(f.Delayed) != 1 || f.Delayed[0].Job != "job-000003" || f.Delayed[0].Why != "waits for room" {
				t.Fatalf("%+v, want job-000003 to wait for room", f)
			}
			l := f.Delayed[0]
			if d := got["job-000003"]; math.Abs(d-l.EndS[1]) > tolerance {
				t.Errorf("it ended after %.1f s, %v were foreseen", d, l.EndS)
			}
			if d := got["job-000003"] - base["job-000003"]; math.Abs(d-l.DelayS[1]) > 2*tolerance {
				t.Errorf("it was %.1f s late, %v were foreseen", d, l.DelayS)
			}
			if d := got["job-000002"] - base["job-000002"]; math.Abs(d) > tolerance {
				t.Errorf("job-000002 was %.1f s late, none was foreseen", d)
			}
			t.Logf("job-000003: foreseen to end in %v s, late by %v s; ended after %.1f s, without the plan %.1f s", l.EndS,
				l.DelayS,
				got["job-000003"], base["job-000003"])
		})
	}
}

func status(t *testing.T, ops *client.Operators, name string) (s node.PlanStatus) {
	t.Helper()
	if err := ops.Get(t.Context(), "drains/"+name, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// A machine dies half way through its drain, and the leader with it: the plan goes
// on, a new forecast knows of the loss, and it is right.
func TestAMachineAndTheLeaderDieHalfWay(t *testing.T) {
	t.Parallel()
	c, ops := operated(t, 5, 7)
	load(t, c)
	apply(t, ops, strings.Replace(twoOfFive, "after: PATCH patch_s: 600", "after: RETURN", 1))
	until(t, "both are being drained", func() bool { return status(t, ops, "p").Counts["draining"] == 2 })
	c.Cloud.Lose("m-000001")
	for _, k := range c.Controllers {
		if leads(k) {
			k.Stop()
			defer func() { _ = k.Start() }()
		}
	}
	until(t, "the loss is known", func() bool { return status(t, ops, "p").Counts["gone"] == 1 })
	began := time.Now()
	again := forecastOf(t, ops, "drains/p/forecast", "")
	until(t, "the plan is done", func() bool { return status(t, ops, "p").Phase == "done" })
	took := time.Since(began).Seconds()
	if math.Abs(took-again.TookS[1]) > 2*tolerance {
		t.Errorf("the rest took %.1f s, %v were foreseen", took, again.TookS)
	}
	if n := len(c.Cloud.Workers()); n != 3 {
		t.Errorf("%d machines are left", n)
	}
	for _, id := range []string{"job-000002", "job-000003"} {
		until(t, id, func() bool { return stage(c.Controllers[0], id) == "done" || stage(c.Controllers[1], id) == "done" })
	}
	var log []audit.Entry
	if err := ops.Get(t.Context(), "audit", &log); err != nil || len(log) != 1 || log[0].Who != "dev" ||
		log[0].What != "drain apply" {
		t.Errorf("%+v %v", log, err)
	}
}

func leads(k *dev.Controller) bool {
	st, _ := call(k, http.MethodGet, "/metrics", nil)
	return st == http.StatusOK && metric(k, "honeylock_leading") == "1"
}

// The operators' door: who may do what, what is refused, and what is repeated.
func TestTheOperatorsDoor(t *testing.T) {
	t.Parallel()
	c, ops := operated(t, 2, 1)
	accept(t, c.Controllers[0], submission("job-000001", 1))
	until(t, "both machines are known", func() bool {
		var out node.Outcome
		plan := `name: "a" machines { names: "m-000001" names: "m-000002" } after: PATCH`
		return ops.Change(t.Context(), "drains", []byte(plan), &out, quiet) == nil
	})
	ask := func(method, path, bearer, id, body string) (int, string) {
		req, _ := http.NewRequestWithContext(context.Background(), method, "http://"+c.OpsAddrs()[1]+"/ops/v1/"+path,
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
	until(t, "this door's controller has joined the leader", func() bool {
		st, _ := ask("GET", "drains", token, "", "")
		return st == http.StatusOK
	})
	for _, x := range []struct {
		method, path, bearer, id, body string
		want                           int
		why                            string
	}{
		{"GET", "drains", "", "", "", 401, "bearer token"},
		{"GET", "drains", "wrong", "", "", 401, "bearer token"},
		{"GET", "drains", token, "", "", 200, ""},
		{"GET", "drains/b", token, "", "", 404, `"b"`},
		{"GET", "nothing", token, "", "", 404, ""},
		{"POST", "drains", token, "", `name: "B"`, 400, "name: "},
		{"POST", "drains", token, "", `name: "b" machines { all: true }`, 409, `m-000001 is wanted by plan "a" and by "b"`},
		{"POST", "drains", token, "", `name: "b" machines { names: "m-000099" }`, 409, "m-000099 is no machine"},
		{"POST", "drains/a/pause", token, "again", "", 200, "paused"},
		{"POST", "drains/a/pause", token, "again", "", 200, "paused"},
		{"POST", "drains/a/resume", token, "again", "", 409, "used for something else"},
		{"POST", "drains/a/resume", token, "not an id", "", 400, "Request-Id"},
		{"POST", "drains/b/cancel", token, "", "", 409, `"b"`},
		{"POST", "drains/a/machines/m-000001/patched", token, "", "", 409, "only a machine that is patching"},
		{"POST", "drains/a/cancel", token, "", "", 200, "cancelled"},
		{"POST", "drains/a/resume", token, "", "", 409, "cancelled"},
	} {
		st, why := ask(x.method, x.path, x.bearer, x.id, x.body)
		if st != x.want || !strings.Contains(why, x.why) {
			t.Errorf("%s %s %s: %d %q, want %d %q", x.method, x.path, x.body, st, why, x.want, x.why)
		}
	}
	var log []audit.Entry
	if err := ops.Get(t.Context(), "audit", &log); err != nil {
		t.Fatal(err)
	}
	paused := 0
	for _, e := range log {
		if e.What == "drain pause" {
			paused++
		}
	}
	if paused != 1 || log[0].Outcome != `plan "a" is cancelled` {
		t.Errorf("%+v", log)
	}
}

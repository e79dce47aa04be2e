package e2e

import (
	"slices"
	"strings"
	"testing"
	"time"

	"honeylock/internal/client"
	"honeylock/internal/config"
	"honeylock/internal/dev"
	"honeylock/internal/node"
	"honeylock/internal/standin"
)

// known waits until all controllers are members, and have so many machines: workers that
// turned to one that had just started come a second later.
func known(t *testing.T, ops *client.Operators, machines int) {
	t.Helper()
	var ms []node.MemberReply
	defer func() {
		if t.Failed() {
			t.Logf("%+v", ms)
		}
	}()
	until(t, "all controllers and machines are known", func() bool {
		if err := ops.Get(t.Context(), "members", &ms); err != nil || len(ms) != 3 {
			return false
		}
		sum := 0
		for _, m := range ms {
			if !m.Connected || m.Release == 0 {
				return false
			}
			sum += m.Machines
		}
		return sum == machines
	})
}

// mostAtOnce is the most tasks that were on machines at a time, from then on, by what the
// workers did.
func mostAtOnce(runs []standin.Run, from time.Time) int {
	type step struct {
		at time.Time
		by int
	}
	var steps []step
	for _, r := range runs {
		if end := r.Ended; end.IsZero() || end.After(from) {
			began := r.Began
			if began.Before(from) {
				began = from
			}
			steps = append(steps, step{began, 1})
			if !end.IsZero() {
				steps = append(steps, step{end, -1})
			}
		}
	}
	slices.SortFunc(steps, func(a, b step) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.by - b.by
	})
	n, most := 0, 0
	for _, s := range steps {
		n += s.by
		most = max(most, n)
	}
	return most
}

// A leader that is told to stop gives its key up at once; another need not wait for its lease.
func TestALeaderLeavesInOrder(t *testing.T) {
	t.Parallel()
	c := cluster(t, 1)
	accept(t, c.Controllers[0], submission("job-000001", 1))
	for _, k := range c.Controllers {
		if leads(k) {
			k.Stop()
			k.Node.ResignLeadership()
			if v := c.Store.Peek("leader"); strings.Contains(string(v), k.Cfg.HostName) {
				t.Errorf("the key is still there: %s", v)
			}
			defer func() { _ = k.Start() }()
		}
	}
	until(t, "another leads", func() bool { return slices.ContainsFunc(c.Controllers, leads) })
}

// TestLimitsHoldAcrossControllers: three controllers never have more of a team's tasks on
// machines than its limit, while the leader is killed and machines are lost; a limit that
// is lowered holds under the next leader too, stops nothing, and is taken back at once.
func TestLimitsHoldAcrossControllers(t *testing.T) {
	t.Parallel()
	o := options()
	o.Teams = []config.Team{{Name: "vision", CPUs: 8, CPUsMax: 24}} // 12 tasks
	o.Seeds = []dev.Seed{{Zone: "a", N: 4}, {Zone: "b", N: 4}}      // room for 32
	o.Settings = func(string) (*config.Settings, error) { return dev.Operated(token) }
	c, ops := opened(t, o)
	for i, id := range []string{"job-000001", "job-000002", "job-000003"} {
		s := submission(id, 200)
		s["ForageS"], s["ImageGb"] = 1.5, 0.01
		accept(t, c.Controllers[i], s)
	}
	running := func() int {
		return c.Depot.Running("job-000001") + c.Depot.Running("job-000002") + c.Depot.Running("job-000003")
	}
	until(t, "the limit is used", func() bool { return running() == 12 })
	team := func() (r node.TeamReply) {
		if err := ops.Get(t.Context(), "teams/vision", &r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	known(t, ops, 8)
	until(t, "the limit holds the team", func() bool { // tasks end at once, and others take their place
		r := team()
		return r.Limit == 24 && r.Used == 24 && r.Borrowed == 16 && r.Waiting > 0 && r.BlockedBy == "its limit"
	})
	kill := func() (again func() error) {
		for _, k := range c.Controllers {
			if leads(k) {
				k.Stop()
				return k.Start
			}
		}
		t.Fatal("nobody leads")
		return nil
	}
	again := kill()
	c.Cloud.Lose(c.Cloud.Workers()[0].Name)
	until(t, "the limit is used under the next leader", func() bool { return running() == 12 })
	if err := again(); err != nil {
		t.Fatal(err)
	}

	var out node.Outcome
	if err := ops.Change(t.Context(), "teams/vision", []byte(`limit_cpus: 30`), &out, quiet); err == nil ||
		!strings.Contains(err.Error(), "above the platform's limit of 24") {
		t.Errorf("a limit above the platform's: %v", err)
	}
	if err := ops.Change(t.Context(), "teams/vision", []byte(`limit_cpus: 8 guarantee_cpus: 4`), &out, quiet); err != nil {
		t.Fatal(err)
	}
	until(t, "what is above the lower limit has ended", func() bool { return running() <= 4 })
	low := time.Now()
	again = kill()
	until(t, "it is used under the next leader", func() bool { return running() == 4 })
	time.Sleep(2 * time.Second)
	if most := mostAtOnce(c.Depot.Runs(), low); most > 4 {
		t.Errorf("%d tasks at once under a limit of 4", most)
	}
	if r := team(); r.Limit != 8 || r.Guarantee != 4 || !strings.HasPrefix(r.Changed, "by dev") {
		t.Errorf("the next leader has %+v", r)
	}
	if err := ops.Change(t.Context(), "teams/vision/unset", nil, &out, quiet); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	until(t, "the platform's limit is used again", func() bool { return running() == 12 })
	t.Logf("used %.1f s after it was raised", time.Since(began).Seconds())
	if err := again(); err != nil {
		t.Fatal(err)
	}
	for _, r := range c.Depot.Runs() {
		if r.Cause == "stopped" {
			t.Errorf("%s was stopped on %s: a lower limit stops nothing", r.Task, r.Machine)
		}
	}
	if most := mostAtOnce(c.Depot.Runs(), time.Time{}); most != 12 {
		t.Errorf("%d tasks at once under a limit of 12", most)
	}
}

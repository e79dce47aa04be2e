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

// waitForMembers waits until all controllers are members, and have so many machines: workers that
// turned to one that had just started come a second later.
func waitForMembers(t *testing.T, ops *client.Operators, machines int) {
	t.Helper()
	var members []node.MemberReply
	defer func() {
		if t.Failed() {
			t.Logf("%+v", members)
		}
	}()
	waitUntil(t, "all controllers and machines are known", func() bool {
		if err := ops.Get(t.Context(), "members", &members); err != nil || len(members) != 3 {
			return false
		}
		sum := 0
		for _, m := range members {
			if !m.Connected || m.Release == 0 {
				return false
			}
			sum += m.Machines
		}
		return sum == machines
	})
}

// maxConcurrent is the most tasks that were on machines at a time, from then on, by what the
// workers did.
func maxConcurrent(runs []standin.Run, from time.Time) int {
	type step struct {
		at time.Time
		by int
	}
	var steps []step
	for _, r := range runs {
		if end := r.EndedAt; end.IsZero() || end.After(from) {
			began := r.StartedAt
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
	running, maxCount := 0, 0
	for _, s := range steps {
		running += s.by
		maxCount = max(maxCount, running)
	}
	return maxCount
}

// A leader that is told to stop gives its key up at once; another need not wait for its lease.
func TestLeaderResignsOnStop(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 1)
	submitAccepted(t, cluster.Controllers[0], submission("job-000001", 1))
	for _, k := range cluster.Controllers {
		if isLeader(k) {
			k.Stop()
			k.Node.ResignLeadership()
			if v := cluster.Store.ReadKey("leader"); strings.Contains(string(v), k.Config.HostName) {
				t.Errorf("the key is still there: %s", v)
			}
			defer func() { _ = k.Start() }()
		}
	}
	waitUntil(t, "another leads", func() bool { return slices.ContainsFunc(cluster.Controllers, isLeader) })
}

// TestLimitsHoldAcrossControllers: three controllers never have more of a team's tasks on
// machines than its limit, while the leader is killed and machines are lost; a limit that
// is lowered holds under the next leader too, stops nothing, and is taken back at once.
func TestLimitsHoldAcrossControllers(t *testing.T) {
	t.Parallel()
	options := defaultOptions()
	options.Teams = []config.Team{{Name: "vision", CPUs: 8, CPUsMax: 24}}                      // 12 tasks
	options.InitialMachines = []dev.MachineGroup{{Zone: "a", Count: 4}, {Zone: "b", Count: 4}} // room for 32
	options.Settings = func(string) (*config.Settings, error) { return dev.Operated(operatorToken) }
	cluster, ops := startOperatedWith(t, options)
	for i, id := range []string{"job-000001", "job-000002", "job-000003"} {
		s := submission(id, 200)
		s["ForageS"], s["ImageGb"] = 1.5, 0.01
		submitAccepted(t, cluster.Controllers[i], s)
	}
	running := func() int {
		return cluster.Depot.Running("job-000001") + cluster.Depot.Running("job-000002") + cluster.Depot.Running("job-000003")
	}
	waitUntil(t, "the limit is used", func() bool { return running() == 12 })
	team := func() (r node.TeamReply) {
		if err := ops.Get(t.Context(), "teams/vision", &r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	waitForMembers(t, ops, 8)
	waitUntil(t, "the limit holds the team", func() bool { // tasks end at once, and others take their place
		r := team()
		return r.Limit == 24 && r.Used == 24 && r.Borrowed == 16 && r.Waiting > 0 && r.BlockedBy == "its limit"
	})
	stopLeader := func() (restart func() error) {
		for _, k := range cluster.Controllers {
			if isLeader(k) {
				k.Stop()
				return k.Start
			}
		}
		t.Fatal("nobody leads")
		return nil
	}
	restart := stopLeader()
	cluster.Cloud.Lose(cluster.Cloud.Workers()[0].Name)
	waitUntil(t, "the limit is used under the next leader", func() bool { return running() == 12 })
	if err := restart(); err != nil {
		t.Fatal(err)
	}

	var out node.Outcome
	if err := ops.Change(t.Context(), "teams/vision", []byte(`limit_cpus: 30`), &out, discardMessage); err == nil ||
		!strings.Contains(err.Error(), "above the platform's limit of 24") {
		t.Errorf("a limit above the platform's: %v", err)
	}
	if err := ops.Change(t.Context(), "teams/vision", []byte(`limit_cpus: 8 guarantee_cpus: 4`), &out,
		discardMessage); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "what is above the lower limit has ended", func() bool { return running() <= 4 })
	loweredAt := time.Now()
	restart = stopLeader()
	waitUntil(t, "it is used under the next leader", func() bool { return running() == 4 })
	time.Sleep(2 * time.Second)
	if concurrent := maxConcurrent(cluster.Depot.Runs(), loweredAt); concurrent > 4 {
		t.Errorf("%d tasks at once under a limit of 4", concurrent)
	}
	if r := team(); r.Limit != 8 || r.Guarantee != 4 || !strings.HasPrefix(r.Changed, "by dev") {
		t.Errorf("the next leader has %+v", r)
	}
	if err := ops.Change(t.Context(), "teams/vision/unset", nil, &out, discardMessage); err != nil {
		t.Fatal(err)
	}
	raisedAt := time.Now()
	waitUntil(t, "the platform's limit is used again", func() bool { return running() == 12 })
	t.Logf("used %.1f s after it was raised", time.Since(raisedAt).Seconds())
	if err := restart(); err != nil {
		t.Fatal(err)
	}
	for _, r := range cluster.Depot.Runs() {
		if r.Cause == "stopped" {
			t.Errorf("%s was stopped on %s: a lower limit stops nothing", r.Task, r.Machine)
		}
	}
	if concurrent := maxConcurrent(cluster.Depot.Runs(), time.Time{}); concurrent != 12 {
		t.Errorf("%d tasks at once under a limit of 12", concurrent)
	}
}

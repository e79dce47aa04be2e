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

// waitForMembers waits until all controllers are members and own a number of machines in total. A
// worker whose first report reaches a controller that is still starting retries a second later.
func waitForMembers(t *testing.T, ops *client.Operators, machines int) {
	t.Helper()
	var members []node.MemberReply
	defer func() {
		if t.Failed() {
			t.Logf("members: %+v", members)
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

// maxConcurrent returns the maximum number of tasks that ran at a time since from, according to the
// workers.
func maxConcurrent(runs []standin.Run, from time.Time) int {
	type step struct {
		at    time.Time
		delta int
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
		return a.delta - b.delta
	})
	running, maxCount := 0, 0
	for _, s := range steps {
		running += s.delta
		maxCount = max(maxCount, running)
	}
	return maxCount
}

// TestLeaderResignsOnStop checks that a leader that is stopped deletes its key at once, so that
// another controller can lead without waiting for the lease to expire.
func TestLeaderResignsOnStop(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 1)
	submitAccepted(t, cluster.Controllers[0], submission("job-000001", 1))
	for _, controller := range cluster.Controllers {
		if isLeader(controller) {
			controller.Stop()
			controller.Node.ResignLeadership()
			if v := cluster.Store.ReadKey("leader"); strings.Contains(string(v), controller.Config.HostName) {
				t.Errorf("the leader's key still exists: %s", v)
			}
			defer func() { _ = controller.Start() }()
		}
	}
	waitUntil(t, "another controller leads", func() bool { return slices.ContainsFunc(cluster.Controllers, isLeader) })
}

// TestLimitsHoldAcrossControllers: three controllers never run more of a team's tasks than its
// limit allows, while the leader is killed and a machine fails. A lowered limit still holds under
// the next leader and stops no task, and raising it again takes effect at once.
func TestLimitsHoldAcrossControllers(t *testing.T) {
	t.Parallel()
	options := defaultOptions()
	options.Teams = []config.Team{{Name: "vision", CPUs: 8, CPUsMax: 24}}                      // 12 tasks
	options.InitialMachines = []dev.MachineGroup{{Zone: "a", Count: 4}, {Zone: "b", Count: 4}} // capacity for 32 tasks
	options.Settings = func(string) (*config.Settings, error) { return dev.OperatorSettings(operatorToken) }
	cluster, ops := startOperatedWith(t, options)
	for i, id := range []string{"job-000001", "job-000002", "job-000003"} {
		fields := submission(id, 200)
		fields["ForageS"], fields["ImageGb"] = 1.5, 0.01
		submitAccepted(t, cluster.Controllers[i], fields)
	}
	running := func() int {
		return cluster.Tasks.RunningTasks("job-000001") + cluster.Tasks.RunningTasks("job-000002") +
			cluster.Tasks.RunningTasks("job-000003")
	}
	waitUntil(t, "the limit is used", func() bool { return running() == 12 })
	team := func() (r node.TeamReply) {
		if err := ops.Get(t.Context(), "teams/vision", &r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	waitForMembers(t, ops, 8)
	// The condition is polled because tasks end and others start all the time.
	waitUntil(t, "the team is blocked by its limit", func() bool {
		r := team()
		return r.Limit == 24 && r.Used == 24 && r.Borrowed == 16 && r.TasksWaiting > 0 && r.BlockedBy == "its limit"
	})
	stopLeader := func() (restart func() error) {
		for _, controller := range cluster.Controllers {
			if isLeader(controller) {
				controller.Stop()
				return controller.Start
			}
		}
		t.Fatal("no controller leads")
		return nil
	}
	restart := stopLeader()
	cluster.Cloud.FailMachine(cluster.Cloud.Workers()[0].Name)
	waitUntil(t, "the limit is used under the next leader", func() bool { return running() == 12 })
	if err := restart(); err != nil {
		t.Fatal(err)
	}

	var out node.Outcome
	if err := ops.Change(t.Context(), "teams/vision", []byte(`limit_cpus: 30`), &out, discardMessage); err == nil ||
		!strings.Contains(err.Error(), "above the platform's limit of 24") {
		t.Errorf("limit above the platform's limit: error %v", err)
	}
	if err := ops.Change(t.Context(), "teams/vision", []byte(`limit_cpus: 8 guarantee_cpus: 4`), &out,
		discardMessage); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "tasks above the lower limit have ended", func() bool { return running() <= 4 })
	loweredAt := time.Now()
	restart = stopLeader()
	waitUntil(t, "the lower limit is used under the next leader", func() bool { return running() == 4 })
	time.Sleep(2 * time.Second)
	if concurrent := maxConcurrent(cluster.Tasks.Runs(), loweredAt); concurrent > 4 {
		t.Errorf("%d tasks at once under a limit of 4", concurrent)
	}
	if r := team(); r.Limit != 8 || r.Guarantee != 4 || !strings.HasPrefix(r.Changed, "by dev") {
		t.Errorf("team at the next leader: %+v", r)
	}
	if err := ops.Change(t.Context(), "teams/vision/unset", nil, &out, discardMessage); err != nil {
		t.Fatal(err)
	}
	raisedAt := time.Now()
	waitUntil(t, "the platform's limit is used again", func() bool { return running() == 12 })
	t.Logf("limit used %.1f s after it was raised", time.Since(raisedAt).Seconds())
	if err := restart(); err != nil {
		t.Fatal(err)
	}
	for _, r := range cluster.Tasks.Runs() {
		if r.Cause == "stopped" {
			t.Errorf("%s was stopped on %s; a lower limit must not stop tasks", r.Task, r.Machine)
		}
	}
	if concurrent := maxConcurrent(cluster.Tasks.Runs(), time.Time{}); concurrent != 12 {
		t.Errorf("%d tasks at once under a limit of 12", concurrent)
	}
}

package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"honeylock/internal/dev"
)

// startFaultCluster starts a cluster with short leases, a team limit above its capacity, and
// controllers that can be partitioned.
func startFaultCluster(t *testing.T, machines int) *dev.Cluster {
	options := defaultOptions()
	options.Lease, options.Cancel, options.Partitionable = 5*time.Second, 25*time.Second, true
	options.Teams[0].CPUsMax = 400
	options.InitialMachines = twoZoneMachines(machines)
	return startWith(t, options)
}

// twoZoneMachines returns machines that are spread over two zones.
func twoZoneMachines(machines int) []dev.MachineGroup {
	return []dev.MachineGroup{{Zone: "a", Count: machines / 2}, {Zone: "b", Count: machines - machines/2}}
}

// waitForLeader waits until a controller leads and returns it.
func waitForLeader(t *testing.T, cluster *dev.Cluster) (leader *dev.Controller) {
	t.Helper()
	waitUntil(t, "a controller leads", func() bool {
		for _, c := range cluster.Controllers {
			if metricValue(c, "honeylock_leading") == "1" {
				leader = c
				return true
			}
		}
		return false
	})
	return leader
}

// TestJobsCompleteDespiteUnreachableMachines: answers and commands to two of ten machines are lost
// from before a restart of the leader on. Their tasks and all accepted jobs complete elsewhere.
func TestJobsCompleteDespiteUnreachableMachines(t *testing.T) {
	t.Parallel()
	cluster := startFaultCluster(t, 10)
	submitAccepted(t, cluster.Controllers[0], submission("job-000001", 120))
	waitUntil(t, "tasks run", func() bool { return cluster.Tasks.RunningTasks("job-000001") > 20 })
	unreachable := cluster.Cloud.Workers()[:2]
	for _, w := range unreachable {
		w.LoseInbound(time.Hour)
	}
	time.Sleep(time.Second)
	leader := waitForLeader(t, cluster)
	leader.Stop()
	time.Sleep(200 * time.Millisecond)
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	submitAccepted(t, leader, submission("job-000002", 20))
	for _, id := range []string{"job-000001", "job-000002"} {
		waitUntil(t, id, func() bool { return jobStage(leader, id) == "done" })
	}
	attempts := map[string]int{}
	for _, r := range cluster.Tasks.Runs() {
		for _, w := range unreachable {
			if key := w.Name + " " + r.Task; r.Machine == w.Name {
				if attempts[key]++; attempts[key] > 1 {
					t.Errorf("%s: more than one attempt on an unreachable machine", key)
				}
			}
		}
	}
}

// TestReplayedReportsDoNotExtendLease: a machine fails, and copies of its reports arrive at every
// controller for longer than its lease. Its tasks run elsewhere once its lease has expired.
func TestReplayedReportsDoNotExtendLease(t *testing.T) {
	t.Parallel()
	cluster := startFaultCluster(t, 4)
	var delays []time.Duration
	for d := time.Second; d < 30*time.Second; d += 1300 * time.Millisecond {
		delays = append(delays, d)
	}
	workers := cluster.Cloud.Workers()
	for _, w := range workers {
		w.ReplayReports(delays...)
	}
	job := submission("job-000001", 16)
	job["ForageS"] = 6.0
	submitAccepted(t, cluster.Controllers[0], job)
	waitUntil(t, "tasks run", func() bool { return cluster.Tasks.RunningTasks("job-000001") >= 10 })
	workers[0].Kill()
	began := time.Now()
	waitUntil(t, "the job is done", func() bool { return jobStage(cluster.Controllers[1], "job-000001") == "done" })
	if d := time.Since(began); d > 25*time.Second {
		t.Errorf("the job took %v after the machine failed, want at most 25 s", d)
	}
}

// TestLeaderPartitionedWithItsWorkers: the leader loses the state service and the other controllers,
// but not its workers. Another controller leads, the old leader refuses users at once, and after
// the partition it serves again.
func TestLeaderPartitionedWithItsWorkers(t *testing.T) {
	cluster := startFaultCluster(t, 6)
	job := submission("job-000001", 60)
	submitAccepted(t, cluster.Controllers[0], job)
	waitUntil(t, "tasks run", func() bool { return cluster.Tasks.RunningTasks("job-000001") > 10 })
	leader := waitForLeader(t, cluster)
	cluster.SetPartitioned(leader, true)
	waitUntil(t, "the partitioned controller fails its health checks", func() bool {
		status, _ := call(leader, http.MethodGet, "/healthz", nil)
		return status == http.StatusServiceUnavailable
	})
	began := time.Now()
	if status, _ := call(leader, http.MethodGet, "/v1/jobs/job-000001", nil); status != http.StatusServiceUnavailable ||
		time.Since(began) > time.Second {
		t.Errorf("user's request at the partitioned controller: status %d after %v", status, time.Since(began))
	}
	var other *dev.Controller
	for _, c := range cluster.Controllers {
		if c != leader {
			other = c
		}
	}
	submitAccepted(t, other, submission("job-000002", 20))
	for _, id := range []string{"job-000001", "job-000002"} {
		waitUntil(t, id, func() bool { return jobStage(other, id) == "done" })
	}
	cluster.SetPartitioned(leader, false)
	waitUntil(t, "the controller serves again after the partition", func() bool {
		return jobStage(leader, "job-000002") == "done"
	})
}

// TestFastControllerRestarts: controllers are killed and started again within 0.1 s, first the
// leader, then the leader twice in a row, then all of them.
func TestFastControllerRestarts(t *testing.T) {
	cluster := startFaultCluster(t, 6)
	restart := func(controllers ...*dev.Controller) {
		for _, controller := range controllers {
			controller.Stop()
		}
		time.Sleep(80 * time.Millisecond)
		for _, controller := range controllers {
			if err := controller.Start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i := range 3 {
		submitAccepted(t, cluster.Controllers[i], submission(fmt.Sprintf("job-%06d", i), 40))
		leader := waitForLeader(t, cluster)
		switch i {
		case 0:
			restart(leader)
		case 1:
			restart(leader)
			time.Sleep(300 * time.Millisecond)
			restart(leader)
		default:
			restart(cluster.Controllers...)
		}
	}
	for i := range 3 {
		id := fmt.Sprintf("job-%06d", i)
		waitUntil(t, id, func() bool { return jobStage(cluster.Controllers[i], id) == "done" })
	}
	starts := map[string]int{}
	for _, r := range cluster.Tasks.Runs() {
		if starts[r.Task]++; starts[r.Task] > 4 {
			t.Errorf("%s started %d times", r.Task, starts[r.Task])
		}
	}
}

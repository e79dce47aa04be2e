package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"honeylock/internal/dev"
)

// startFaultCluster is a cluster with short leases and a limit that never holds.
func startFaultCluster(t *testing.T, machines int) *dev.Cluster {
	o := defaultOptions()
	o.Lease, o.Cancel, o.Partitionable = 5*time.Second, 25*time.Second, true
	o.Teams[0].CPUsMax = 400
	o.InitialMachines = twoZoneMachines(machines)
	return startWith(t, o)
}

// twoZoneMachines are so many machines in two zones.
func twoZoneMachines(machines int) []dev.InitialMachines {
	return []dev.InitialMachines{{Zone: "a", Count: machines / 2}, {Zone: "b", Count: machines - machines/2}}
}

func waitForLeader(t *testing.T, cl *dev.Cluster) (k *dev.Controller) {
	t.Helper()
	waitUntil(t, "somebody leads", func() bool {
		for _, c := range cl.Controllers {
			if metricValue(c, "honeylock_leading") == "1" {
				k = c
				return true
			}
		}
		return false
	})
	return k
}

// Nothing reaches two of ten machines, from before the leader ends to the end; what they
// held, and all that was accepted before, runs elsewhere.
func TestJobsCompleteDespiteUnreachableMachines(t *testing.T) {
	t.Parallel()
	cl := startFaultCluster(t, 10)
	submitAccepted(t, cl.Controllers[0], submission("job-000001", 120))
	waitUntil(t, "tasks run", func() bool { return cl.Depot.Running("job-000001") > 20 })
	unreachable := cl.Cloud.Workers()[:2]
	for _, w := range unreachable {
		w.LoseInbound(time.Hour)
	}
	time.Sleep(time.Second)
	k := waitForLeader(t, cl)
	k.Stop()
	time.Sleep(200 * time.Millisecond)
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	submitAccepted(t, k, submission("job-000002", 20))
	for _, id := range []string{"job-000001", "job-000002"} {
		waitUntil(t, id, func() bool { return jobStage(k, id) == "done" })
	}
	attempts := map[string]int{}
	for _, r := range cl.Depot.Runs() {
		for _, w := range unreachable {
			if key := w.Name + " " + r.Task; r.Machine == w.Name {
				if attempts[key]++; attempts[key] > 1 {
					t.Errorf("%s was tried there more than once", key)
				}
			}
		}
	}
}

// A machine ends, and copies of its reports go on at every controller for longer than its
// lease: its tasks run elsewhere once that is over.
func TestReplayedReportsDoNotExtendLease(t *testing.T) {
	t.Parallel()
	cl := startFaultCluster(t, 4)
	var delays []time.Duration
	for d := time.Second; d < 30*time.Second; d += 1300 * time.Millisecond {
		delays = append(delays, d)
	}
	workers := cl.Cloud.Workers()
	for _, w := range workers {
		w.ReplayReports(delays...)
	}
	job := submission("job-000001", 16)
	job["ForageS"] = 6.0
	submitAccepted(t, cl.Controllers[0], job)
	waitUntil(t, "tasks run", func() bool { return cl.Depot.Running("job-000001") >= 10 })
	workers[0].Kill()
	began := time.Now()
	waitUntil(t, "the job", func() bool { return jobStage(cl.Controllers[1], "job-000001") == "done" })
	if d := time.Since(began); d > 25*time.Second {
		t.Errorf("it took %v", d)
	}
}

// The leader loses the state service and the others, not its workers: another one leads,
// its users are told at once to go elsewhere, and all is well afterwards.
func TestLeaderPartitionedWithItsWorkers(t *testing.T) {
	cl := startFaultCluster(t, 6)
	job := submission("job-000001", 60)
	submitAccepted(t, cl.Controllers[0], job)
	waitUntil(t, "tasks run", func() bool { return cl.Depot.Running("job-000001") > 10 })
	k := waitForLeader(t, cl)
	cl.SetPartitioned(k, true)
	waitUntil(t, "it fails its health checks", func() bool {
		st, _ := call(k, http.MethodGet, "/healthz", nil)
		return st == http.StatusServiceUnavailable
	})
	began := time.Now()
	if st, _ := call(k, http.MethodGet, "/v1/jobs/job-000001", nil); st != http.StatusServiceUnavailable ||
		time.Since(began) > time.Second {
		t.Errorf("a user got %d after %v", st, time.Since(began))
	}
	var other *dev.Controller
	for _, c := range cl.Controllers {
		if c != k {
			other = c
		}
	}
	submitAccepted(t, other, submission("job-000002", 20))
	for _, id := range []string{"job-000001", "job-000002"} {
		waitUntil(t, id, func() bool { return jobStage(other, id) == "done" })
	}
	cl.SetPartitioned(k, false)
	waitUntil(t, "it is well again", func() bool { return jobStage(k, "job-000002") == "done" })
}

// Controllers that end are back within a tenth of a second: the leader, twice, and all.
func TestFastControllerRestarts(t *testing.T) {
	cl := startFaultCluster(t, 6)
	restart := func(ks ...*dev.Controller) {
		for _, k := range ks {
			k.Stop()
		}
		time.Sleep(80 * time.Millisecond)
		for _, k := range ks {
			if err := k.Start(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i := range 3 {
		submitAccepted(t, cl.Controllers[i], submission(fmt.Sprintf("job-%06d", i), 40))
		k := waitForLeader(t, cl)
		switch i {
		case 0:
			restart(k)
		case 1:
			restart(k)
			time.Sleep(300 * time.Millisecond)
			restart(k)
		default:
			restart(cl.Controllers...)
		}
	}
	for i := range 3 {
		id := fmt.Sprintf("job-%06d", i)
		waitUntil(t, id, func() bool { return jobStage(cl.Controllers[i], id) == "done" })
	}
	starts := map[string]int{}
	for _, r := range cl.Depot.Runs() {
		if starts[r.Task]++; starts[r.Task] > 4 {
			t.Errorf("%s started %d times", r.Task, starts[r.Task])
		}
	}
}

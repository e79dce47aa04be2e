package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"honeylock/internal/dev"
)

// troubled is a cluster with short leases and a limit that never holds.
func troubled(t *testing.T, machines int) *dev.Cluster {
	o := options()
	o.Lease, o.Cancel, o.Cuttable = 5*time.Second, 25*time.Second, true
	o.Teams[0].CPUsMax = 400
	o.Seeds = seedsOf(machines)
	return start(t, o)
}

// seedsOf are so many machines in two zones.
func seedsOf(machines int) []dev.Seed {
	return []dev.Seed{{Zone: "a", N: machines / 2}, {Zone: "b", N: machines - machines/2}}
}

func leader(t *testing.T, cl *dev.Cluster) (k *dev.Controller) {
	t.Helper()
	until(t, "somebody leads", func() bool {
		for _, c := range cl.Controllers {
			if metric(c, "honeylock_leading") == "1" {
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
func TestAJobEndsBesideMachinesThatNothingReaches(t *testing.T) {
	t.Parallel()
	cl := troubled(t, 10)
	accept(t, cl.Controllers[0], submission("job-000001", 120))
	until(t, "tasks run", func() bool { return cl.Depot.Running("job-000001") > 20 })
	deaf := cl.Cloud.Workers()[:2]
	for _, w := range deaf {
		w.Deafen(time.Hour)
	}
	time.Sleep(time.Second)
	k := leader(t, cl)
	k.Stop()
	time.Sleep(200 * time.Millisecond)
	if err := k.Start(); err != nil {
		t.Fatal(err)
	}
	accept(t, k, submission("job-000002", 20))
	for _, id := range []string{"job-000001", "job-000002"} {
		until(t, id, func() bool { return stage(k, id) == "done" })
	}
	tries := map[string]int{}
	for _, r := range cl.Depot.Runs() {
		for _, w := range deaf {
			if key := w.Name + " " + r.Task; r.Machine == w.Name {
				if tries[key]++; tries[key] > 1 {
					t.Errorf("%s was tried there more than once", key)
				}
			}
		}
	}
}

// A machine ends, and copies of its reports go on at every controller for longer than its
// lease: its tasks run elsewhere once that is over.
func TestCopiesKeepNoMachineAlive(t *testing.T) {
	t.Parallel()
	cl := troubled(t, 4)
	var after []time.Duration
	for d := time.Second; d < 30*time.Second; d += 1300 * time.Millisecond {
		after = append(after, d)
	}
	ws := cl.Cloud.Workers()
	for _, w := range ws {
		w.Copies(after...)
	}
	job := submission("job-000001", 16)
	job["ForageS"] = 6.0
	accept(t, cl.Controllers[0], job)
	until(t, "tasks run", func() bool { return cl.Depot.Running("job-000001") >= 10 })
	ws[0].Kill()
	began := time.Now()
	until(t, "the job", func() bool { return stage(cl.Controllers[1], "job-000001") == "done" })
	if d := time.Since(began); d > 25*time.Second {
		t.Errorf("it took %v", d)
	}
}

// The leader loses the state service and the others, not its workers: another one leads,
// its users are told at once to go elsewhere, and all is well afterwards.
func TestAControllerCutOffWithItsWorkers(t *testing.T) {
	cl := troubled(t, 6)
	job := submission("job-000001", 60)
	accept(t, cl.Controllers[0], job)
	until(t, "tasks run", func() bool { return cl.Depot.Running("job-000001") > 10 })
	k := leader(t, cl)
	cl.CutOff(k, true)
	until(t, "it fails its health checks", func() bool {
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
	accept(t, other, submission("job-000002", 20))
	for _, id := range []string{"job-000001", "job-000002"} {
		until(t, id, func() bool { return stage(other, id) == "done" })
	}
	cl.CutOff(k, false)
	until(t, "it is well again", func() bool { return stage(k, "job-000002") == "done" })
}

// Controllers that end are back within a tenth of a second: the leader, twice, and all.
func TestControllersAreBackAtOnce(t *testing.T) {
	cl := troubled(t, 6)
	blink := func(ks ...*dev.Controller) {
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
		accept(t, cl.Controllers[i], submission(fmt.Sprintf("job-%06d", i), 40))
		k := leader(t, cl)
		switch i {
		case 0:
			blink(k)
		case 1:
			blink(k)
			time.Sleep(300 * time.Millisecond)
			blink(k)
		default:
			blink(cl.Controllers...)
		}
	}
	for i := range 3 {
		id := fmt.Sprintf("job-%06d", i)
		until(t, id, func() bool { return stage(cl.Controllers[i], id) == "done" })
	}
	starts := map[string]int{}
	for _, r := range cl.Depot.Runs() {
		if starts[r.Task]++; starts[r.Task] > 4 {
			t.Errorf("%s started %d times", r.Task, starts[r.Task])
		}
	}
}

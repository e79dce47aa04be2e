package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// shortLeaseParams is a small deployment with short leases and random faults.
func shortLeaseParams() params {
	return params{controllers: 3, machines: 9, jobs: 60, reportInterval: time.Second, lease: 10 * time.Second,
		cancelBound: 40 * time.Second,
		leaderTTL:   4 * time.Second, maxStaleness: 25 * time.Second, duration: 4 * time.Minute, faults: true}
}

// longLeaseParams is shortLeaseParams with long leases and rare reports.
func longLeaseParams() params {
	p := shortLeaseParams()
	p.reportInterval, p.lease, p.cancelBound = 3*time.Second, 42*time.Second, 67*time.Second
	p.maxStaleness, p.duration = 21*time.Second, 6*time.Minute
	return p
}

// largeClusterParams has many machines per controller, which report rarely.
func largeClusterParams() params {
	p := longLeaseParams()
	p.controllers, p.machines, p.jobs, p.reportInterval, p.duration = 5, 120, 400, 8*time.Second, 4*time.Minute
	return p
}

// bulkJobsParams adds jobs of many small tasks, many single-task jobs, and jobs that fail on every
// machine until their users cancel them.
func bulkJobsParams() params {
	p := shortLeaseParams()
	p.bulkJobs, p.jobs, p.controllers = true, 80, 5
	return p
}

// runSimulation runs a simulation in which no rule may be violated.
func runSimulation(t *testing.T, seed uint64, p params) *world {
	t.Helper()
	w := newWorld(seed, p)
	w.nextAccountingCheck = 0
	w.run()
	if len(w.violations) > 0 {
		t.Fatalf("%s\n%s", strings.Join(w.violations, "\n"), strings.Join(w.log, "\n"))
	}
	if w.startedTasks == 0 {
		t.Fatal("no task was started")
	}
	return w
}

// expectViolation runs simulations until one violates a rule. One must, because a guard is broken.
func expectViolation(t *testing.T, runs uint64, first uint64, p params) {
	t.Helper()
	for seed := range runs {
		w := newWorld(first+seed, p)
		w.run()
		if len(w.violations) > 0 {
			t.Logf("seed %d: %s", seed, w.violations[0])
			return
		}
	}
	t.Fatal("no run violated a rule: the checks do not notice the broken guard")
}

// TestRulesHold runs random simulations with every kind of random fault; no rule may be violated.
func TestRulesHold(t *testing.T) {
	t.Parallel()
	for name, p := range map[string]params{"short lease": shortLeaseParams(), "long lease": longLeaseParams(),
		"large cluster": largeClusterParams(), "bulk jobs": bulkJobsParams()} {
		seeds := uint64(25)
		if name == "large cluster" || name == "bulk jobs" {
			seeds = 6
		}
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				runSimulation(t, seed, p)
			})
		}
	}
}

// TestJobsCompleteWithoutFaults checks that without faults every accepted job ends.
func TestJobsCompleteWithoutFaults(t *testing.T) {
	t.Parallel()
	for name, p := range map[string]params{"short lease": shortLeaseParams(), "bulk jobs": bulkJobsParams()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.faults = false
			p.quietPeriod = time.Minute // the last tasks may have started late
			w := newWorld(1, p)
			w.run()
			if len(w.violations) > 0 {
				t.Fatal(strings.Join(w.violations, "\n"))
			}
			for id, u := range w.users {
				if u.accepted && u.finalStage == "" {
					t.Errorf("job %d (%+v, fails: %v) has not ended", id, u.spec, u.alwaysFails)
				}
			}
		})
	}
}

// TestChecksCatchBrokenGuards checks the checks: with a guard broken, some run must violate a rule.
func TestChecksCatchBrokenGuards(t *testing.T) {
	t.Parallel()
	for name, breakGuard := range map[string]func(*params){
		"a new leader ignores machine records": func(p *params) { p.ignoreRecords = true },
		"a lost shard's grant is considered over at once": func(p *params) {
			p.freeMachinesOnLoss = true
			p.ignoreOldGrants = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := shortLeaseParams()
			breakGuard(&p)
			expectViolation(t, 60, 0, p)
		})
	}
}

package sim

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// Fault scenarios: two faults at the same time, each of which is harmless alone. A run repeats one
// kind of scenario, with new random times each time.

// scenario injects its faults and returns how long they last.
type scenario func(w *world) time.Duration

// withScenario returns the settings of runs that repeat a scenario in place of random faults. Jobs
// have few tasks that end far apart, and many are cancelled during the scenarios.
func withScenario(p params, s scenario) params {
	p.faults, p.scenario, p.staggeredTasks, p.quietPeriod = false, s, true, 6*time.Minute
	p.jobs = 40
	return p
}

// staggerTasks gives a job two or three tasks, each of which runs much longer than the one before, or
// makes it run for longer than a cancellation may take.
func (w *world) staggerTasks(u *user) {
	u.spec.Tasks = int32(2 + w.rng.IntN(2))
	u.spec.Estimate = w.randomDuration(10*time.Second, 40*time.Second)
	if w.rng.IntN(2) == 0 {
		u.spec.Tasks, u.spec.Estimate = int32(1+w.rng.IntN(6)),
			w.params.cancelBound+w.randomDuration(time.Second, w.params.cancelBound/2)
	}
}

// staggeredRunTime is how long a task of such a job runs.
func (w *world) staggeredRunTime(u *user, index int32) time.Duration {
	if u.spec.Estimate > w.params.cancelBound {
		return u.spec.Estimate
	}
	return time.Second + u.spec.Estimate*time.Duration(index)
}

// runScenarios runs the scenario and schedules the next one until shortly before the end of the run.
func (w *world) runScenarios() {
	if w.now > w.params.duration-20*time.Second {
		return
	}
	d := w.params.scenario(w)
	w.extendFaults(d)
	w.after(d+w.randomDuration(5*time.Second, 20*time.Second), w.runScenarios)
}

// currentLeader returns a controller that leads, or a random one if none does.
func (w *world) currentLeader() *controller {
	for _, c := range w.controllers {
		if c.running && c.leadership != nil {
			return c
		}
	}
	return w.controllers[w.rng.IntN(len(w.controllers))]
}

// cancelJobs has users cancel up to n long-running jobs, those with running tasks first, each at a
// random time within the given duration.
func (w *world) cancelJobs(n int, within time.Duration) {
	active := map[model.JobID]bool{}
	for _, m := range w.workers {
		for k, a := range m.attempts {
			active[k.task.Job] = active[k.task.Job] || a.active
		}
	}
	var ids []model.JobID
	for id := range w.params.jobs {
		u := w.users[model.JobID(id)]
		if u != nil && u.accepted && u.finalStage == "" && !u.cancelRequested && u.spec.Estimate > w.params.cancelBound {
			ids = append(ids, u.spec.ID)
		}
	}
	slices.SortStableFunc(ids, func(a, b model.JobID) int {
		switch {
		case active[a] == active[b]:
			return 0
		case active[a]:
			return -1
		}
		return 1
	})
	for _, id := range ids[:min(n, len(ids))] {
		w.after(w.randomDuration(0, within), func() {
			u := w.users[id]
			u.cancelRequested = true
			w.sendRequest(u, jobs.Withdraw)
		})
	}
}

// leaderCutOff cuts the leader off from the state service and the other controllers, but not from its
// workers and users. Jobs are cancelled through the next leader.
func leaderCutOff(w *world) time.Duration {
	c, d := w.currentLeader(), w.randomDuration(2*time.Second, 2*w.params.lease)
	w.logf("scenario: %s is cut from the store and the other controllers for %v", c.host, d)
	w.cutOff(c, d)
	w.cancelJobs(5, d)
	return d
}

// failovers crashes three leaders in a row and then all controllers; one restarts within a second, the
// others later.
func failovers(w *world) time.Duration {
	w.logf("scenario: three failovers, then all controllers crash")
	gap := w.randomDuration(200*time.Millisecond, 5*time.Second)
	for i := range 3 {
		w.after(time.Duration(i)*gap, func() {
			w.currentLeader().crash(w.randomDuration(50*time.Millisecond, 2*time.Second))
		})
	}
	w.after(3*gap, func() {
		first := w.rng.IntN(len(w.controllers))
		for i, c := range w.controllers {
			if i == first {
				c.crash(w.randomDuration(50*time.Millisecond, 900*time.Millisecond))
			} else {
				c.crash(w.randomDuration(time.Second, 15*time.Second))
			}
		}
	})
	w.cancelJobs(4, 4*gap)
	return 3*gap + 15*time.Second
}

// refusedThenDown has the state service refuse only the leader, while other controllers confirm
// cancellations. Then the service is down for all, for longer than these cancellations may take.
func refusedThenDown(w *world) time.Duration {
	c, delay := w.currentLeader(), w.randomDuration(500*time.Millisecond, 6*time.Second)
	downFor := w.params.cancelBound + w.randomDuration(5*time.Second, 15*time.Second)
	w.logf("scenario: the store refuses only %s, after %v it is down for all for %v", c.host, delay, downFor)
	w.store.refusedUntil[c.host] = w.now + delay + w.randomDuration(0, downFor)
	w.cancelJobs(6, delay)
	for range w.rng.IntN(3) { // machines that are reachable again only during the outage
		m := w.workers[w.rng.IntN(len(w.workers))]
		d := w.randomDuration(delay, delay+w.params.lease)
		for _, o := range w.controllers {
			w.cutFor(o.host, m.host, d)
		}
	}
	w.after(delay, func() {
		w.observe("the store is down for all after refusing one controller")
		w.store.down = true
	})
	w.after(delay+downFor, func() { w.store.restore() })
	return delay + downFor
}

// slowStore slows the state service down while jobs are cancelled and the leader crashes.
func slowStore(w *world) time.Duration {
	d := w.randomDuration(5*time.Second, 30*time.Second)
	w.logf("scenario: the store is slow for %v", d)
	w.storeSlowUntil = w.now + d
	w.cancelJobs(4, d)
	w.after(w.randomDuration(0, d), func() {
		w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 5*time.Second))
	})
	return d
}

// lateWrites has some transactions carried out late, and leaders crash meanwhile.
func lateWrites(w *world) time.Duration {
	d := w.randomDuration(10*time.Second, 40*time.Second)
	w.logf("scenario: transactions are carried out late for %v", d)
	w.store.lateUntil = w.now + d
	w.cancelJobs(4, d)
	for range 1 + w.rng.IntN(3) {
		w.after(w.randomDuration(0, d), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second))
		})
	}
	return d + 12*time.Second
}

// leaderChanges crashes the leader while jobs have tasks that end far apart.
func leaderChanges(w *world) time.Duration {
	w.logf("scenario: the leader crashes")
	w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 5*time.Second))
	w.cancelJobs(1, time.Second)
	return w.randomDuration(5*time.Second, 15*time.Second)
}

// oldReports has duplicates of reports arrive after newer ones, also those of earlier sessions and
// attempts, while a machine starts a new session and the leader crashes.
func oldReports(w *world) time.Duration {
	m := w.workers[w.rng.IntN(len(w.workers))]
	w.logf("scenario: %s starts a new session while copies of its reports are on their way", m.host)
	w.after(w.randomDuration(0, 2*time.Second), m.nextSession)
	w.after(w.randomDuration(0, 4*time.Second), func() {
		w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second))
	})
	w.cancelJobs(1, time.Second)
	return w.randomDuration(5*time.Second, 15*time.Second)
}

// machinesOutOfReach crashes the leader while some machines are unreachable in one or both directions.
func machinesOutOfReach(w *world) time.Duration {
	d := w.randomDuration(w.params.lease/2, 3*w.params.lease)
	for range 1 + w.rng.IntN(3) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		if w.rng.IntN(2) == 0 {
			w.cutInboundFor(m, d)
			continue
		}
		w.logf("fault: nobody reaches %s for %v", m.host, d)
		for _, c := range w.controllers {
			w.cutFor(c.host, m.host, d)
		}
	}
	w.after(w.randomDuration(0, d/2), func() {
		w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 5*time.Second))
	})
	w.cancelJobs(3, d)
	return d
}

// lateCommands delays commands and answers to some machines for seconds; some of these machines hang
// before they continue.
func lateCommands(w *world) time.Duration {
	d := w.randomDuration(5*time.Second, 30*time.Second)
	for range 1 + w.rng.IntN(4) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.logf("scenario: messages to %s are delayed for %v", m.host, d)
		for _, c := range w.controllers {
			w.delayedUntil[hostPair{c.host, m.host}] = w.now + d
		}
		if w.rng.IntN(2) == 0 {
			w.after(w.randomDuration(0, d), func() { m.hungUntil = w.now + w.randomDuration(time.Second, w.params.lease) })
		}
	}
	w.cancelJobs(4, d)
	if w.rng.IntN(2) == 0 {
		w.after(w.randomDuration(0, d), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second))
		})
	}
	return d + 2*w.params.lease
}

// requiredObservations are what the runs of each scenario must have observed.
var requiredObservations = map[string][]string{
	"leader cut off":            {"cancelled through another controller than the isolated one"},
	"failovers, then all crash": {"all controllers crash", "a controller restarts within a second"},
	"unavailable to the leader, then to all": {"cancelled while the store refuses only another controller",
		"the store is down for all after refusing one controller"},
	"slow store":      {"cancelled while the store is slow"},
	"tasks far apart": {"a leader starts while some tasks of a job are done"},
	"old reports": {"a duplicate report of an earlier session",
		"a duplicate report after a newer one"},
	"out of reach":  {"a leader starts while a machine with tasks is unreachable"},
	"late writes":   {"a transaction is carried out late"},
	"late commands": {"a command arrives seconds late"},
}

// scenarios are the scenarios by name. overlappingScenarios draws from the sorted names, so their
// order determines its runs.
var scenarios = map[string]scenario{
	"leader cut off":                         leaderCutOff,
	"failovers, then all crash":              failovers,
	"unavailable to the leader, then to all": refusedThenDown,
	"slow store":                             slowStore,
	"tasks far apart":                        leaderChanges,
	"old reports":                            oldReports,
	"out of reach":                           machinesOutOfReach,
	"late writes":                            lateWrites,
	"late commands":                          lateCommands,
}

// overlappingScenarios starts two random scenarios within 20 s.
func overlappingScenarios(w *world) time.Duration {
	names := slices.Sorted(maps.Keys(scenarios))
	var last time.Duration
	for range 2 {
		start, at := scenarios[names[w.rng.IntN(len(names))]], w.randomDuration(0, 20*time.Second)
		w.after(at, func() { w.extendFaults(start(w)) })
		last = max(last, at)
	}
	return last + w.randomDuration(5*time.Second, 60*time.Second)
}

// TestRulesHoldWithOverlappingScenarios runs overlapping scenarios together with all random faults.
func TestRulesHoldWithOverlappingScenarios(t *testing.T) {
	t.Parallel()
	for lease, p := range map[string]params{"short lease": shortLeaseParams(), "long lease": longLeaseParams()} {
		p = withScenario(p, overlappingScenarios)
		p.duplicateReports, p.faults, p.quietPeriod = true, true, 8*time.Minute
		for seed := range seedCount(3) {
			t.Run(fmt.Sprintf("%s/%d", lease, seed), func(t *testing.T) {
				t.Parallel()
				runSimulation(t, 2000+seed, p)
			})
		}
	}
}

// TestRulesHoldInScenarios runs each scenario with short and long leases. No rule may be violated,
// requests about each job must be answered, each job must end, and each situation that the scenario is
// about must have been observed.
func TestRulesHoldInScenarios(t *testing.T) {
	t.Parallel()
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			observed := map[string]int{}
			for _, p := range []params{shortLeaseParams(), longLeaseParams()} {
				p = withScenario(p, scenario)
				p.duplicateReports = name == "old reports"
				for seed := range seedCount(2) {
					for what, n := range runSimulation(t, 1000+seed, p).observed {
						observed[what] += n
					}
				}
			}
			for _, what := range requiredObservations[name] {
				if observed[what] == 0 {
					t.Errorf("never observed: %s; observed: %v", what, observed)
				}
			}
		})
	}
}

// TestChecksCatchBrokenGuardsInScenarios checks the checks: with the guard broken that a scenario
// tests, some run must violate a rule.
func TestChecksCatchBrokenGuardsInScenarios(t *testing.T) {
	t.Parallel()
	ignoreGrants := func(p *params) { p.ignoreOldGrants, p.freeMachinesOnLoss = true, true }
	for name, breakGuard := range map[string]func(*params){
		"leader cut off":                         ignoreGrants,
		"failovers, then all crash":              ignoreGrants,
		"unavailable to the leader, then to all": func(p *params) { p.dropCancellationLog = true },
		"slow store":                             func(p *params) { p.unguardedWrites = true },
		"tasks far apart":                        func(p *params) { p.ignoreRecords = true },
		"old reports":                            func(p *params) { p.acceptDuplicates = true },
		"out of reach":                           func(p *params) { p.shortMaxLease = true },
		"late writes":                            func(p *params) { p.unguardedWrites = true },
		"late commands":                          func(p *params) { p.acceptOldTokens, p.launchDirectly = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := withScenario(shortLeaseParams(), scenarios[name])
			p.duplicateReports = name == "old reports"
			breakGuard(&p)
			expectViolation(t, 60, 1000, p)
		})
	}
}

// TestTasksKeepRunningThroughOutage checks that, while all controllers run and reach each other,
// running tasks continue through an outage of any length and cancelled ones end. The state service
// first refuses only the leader.
func TestTasksKeepRunningThroughOutage(t *testing.T) {
	t.Parallel()
	p := longLeaseParams()
	p.faults, p.staggeredTasks, p.jobs, p.duration, p.quietPeriod = false, true, 30, 4*time.Minute, 8*time.Minute
	for seed := range 3 * seedCount(3) {
		// The outage begins at different times before the leader's lease of 3 s or more expires.
		outageDelay := time.Duration([]int{1500, 2600, 2700}[seed%3]) * time.Millisecond
		w := newWorld(3000+seed/3, p)
		w.after(70*time.Second, func() {
			w.store.refusedUntil[w.currentLeader().host] = w.now + 14*time.Second
			w.cancelJobs(6, 1500*time.Millisecond)
		})
		w.after(70*time.Second+outageDelay, func() { w.store.down = true })
		w.after(70*time.Second+outageDelay+p.cancelBound+p.lease, func() { w.store.restore() })
		w.run()
		for _, b := range w.violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		for _, m := range w.workers {
			if m.session > 1 {
				t.Errorf("seed %d: %s lost all its attempts: session %d", seed, m.host, m.session)
			}
		}
		cancelled := 0
		for _, u := range w.users {
			if u.finalStage == jobs.Cancelled {
				cancelled++
			}
		}
		if cancelled == 0 {
			t.Errorf("seed %d: no job was cancelled", seed)
		}
	}
}

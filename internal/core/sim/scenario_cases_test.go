package sim

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// More fault scenarios. Each comes with what must have been observed in its runs, and with a guard
// without which they violate a rule.

// quietOrLeaderCrash crashes the leader in a third of the cases, otherwise only cancels jobs.
func quietOrLeaderCrash(w *world) time.Duration {
	if w.rng.IntN(3) == 0 {
		w.currentLeader().crash(w.randomDuration(50*time.Millisecond, 2*time.Second))
	}
	w.cancelJobs(3, 5*time.Second)
	return w.randomDuration(5*time.Second, 15*time.Second)
}

// answersLost has transactions carried out at once while some answers are lost.
func answersLost(w *world) time.Duration {
	d := w.randomDuration(10*time.Second, 40*time.Second)
	w.logf("scenario: answers to transactions are lost for %v", d)
	w.store.answersLostUntil = w.now + d
	w.cancelJobs(6, d)
	for range w.rng.IntN(3) {
		w.after(w.randomDuration(0, d), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second))
		})
	}
	return d
}

// teamsAtLimits cancels jobs whose machines hang or are cut off, and crashes the leader, while every
// team is at its limit.
func teamsAtLimits(w *world) time.Duration {
	duration := w.randomDuration(w.params.lease/2, 2*w.params.lease)
	w.logf("scenario: machines hang or are cut off for %v, cancellations, and the leader crashes", duration)
	for range 2 + w.rng.IntN(3) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		if w.rng.IntN(2) == 0 {
			m.hungUntil = max(m.hungUntil, w.now+w.randomDuration(time.Second, duration))
			continue
		}
		for _, c := range w.controllers {
			w.cutFor(c.host, m.host, duration)
		}
	}
	w.cancelJobs(6, duration)
	for range 1 + w.rng.IntN(2) {
		w.after(w.randomDuration(0, duration), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 5*time.Second))
		})
	}
	return duration
}

// shardHandover cancels jobs in the seconds in which a member's machines change their owner.
func shardHandover(w *world) time.Duration {
	var members []*controller
	for _, c := range w.controllers {
		if c.running && c.leadership == nil {
			members = append(members, c)
		}
	}
	if len(members) == 0 {
		return time.Second
	}
	c := members[w.rng.IntN(len(members))]
	d := w.randomDuration(500*time.Millisecond, 8*time.Second)
	w.logf("scenario: the machines of %s change their owner", c.host)
	switch w.rng.IntN(4) {
	case 0:
		c.crash(d)
	case 1:
		c.pauseAfter(w.rng.IntN(6), d)
	case 2:
		w.cutFor(c.host, w.currentLeader().host, d)
	default:
		w.cutFromSiblings(c, d)
	}
	w.cancelJobs(6, 5*time.Second)
	return max(d, 5*time.Second)
}

// addMachines adds up to n machines within two seconds, as long as spare ones are left.
func addMachines(w *world, n int) {
	for range min(n, w.params.machines+w.params.spareMachines-len(w.workers)) {
		m := newMachine(w, model.MachineID(len(w.workers)), w.rng.IntN(3))
		m.addedAt, m.leaseStart = w.now, w.now
		w.workers = append(w.workers, m)
		w.after(w.randomDuration(0, 2*time.Second), m.tick)
	}
}

// newMachinesThenCrash adds machines, which get tasks while writes are slow, and crashes the leader.
func newMachinesThenCrash(w *world) time.Duration {
	addMachines(w, 2)
	d := w.randomDuration(3*time.Second, 10*time.Second)
	w.logf("scenario: new machines, writes are slow for %v, and the leader crashes", d)
	w.storeSlowUntil = w.now + d
	w.after(w.randomDuration(500*time.Millisecond, d), func() {
		w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second))
	})
	w.cancelJobs(1, d)
	return d + 10*time.Second
}

// reportsKeptForNextLeader has old reports reach every controller just as a leader starts, and that
// leader again after it has loaded the store.
func reportsKeptForNextLeader(w *world) time.Duration {
	w.keptReports = nil
	for _, m := range w.workers {
		w.keptReports = append(w.keptReports, &keptReport{machine: m})
	}
	d := w.randomDuration(4*time.Second, w.params.lease+4*time.Second)
	w.logf("scenario: reports are kept for the next leader, which starts in %v", d)
	if w.rng.IntN(2) == 0 {
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.after(d/2, m.nextSession)
	}
	w.after(d, func() { w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second)) })
	w.cancelJobs(2, d)
	return d + 10*time.Second
}

// manySmallJobs crashes a leader now and then while four single-task jobs per second arrive, of which
// a quarter are cancelled.
func manySmallJobs(w *world) time.Duration {
	if w.rng.IntN(3) == 0 {
		w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 2*time.Second))
	}
	return w.randomDuration(15*time.Second, 40*time.Second)
}

// reportsLost loses the reports of some machines while commands reach them.
func reportsLost(w *world) time.Duration {
	d := w.randomDuration(time.Second, 3*w.params.lease)
	for range 1 + w.rng.IntN(3) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.logf("scenario: the reports of %s are lost for %v", m.host, d)
		m.reportsLostUntil = w.now + d
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.randomDuration(0, d), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second))
		})
	}
	w.cancelJobs(3, d)
	return d
}

// manyLeaderChanges changes the leader twelve times, in half of the cases partly during an outage.
func manyLeaderChanges(w *world) time.Duration {
	w.logf("scenario: twelve leaders in a row")
	var at time.Duration
	for range 12 {
		at += w.randomDuration(4*time.Second, 9*time.Second)
		w.after(at, func() { w.currentLeader().crash(w.randomDuration(50*time.Millisecond, time.Second)) })
	}
	if w.rng.IntN(2) == 0 {
		from := w.randomDuration(0, at)
		w.after(from, func() { w.store.down = true })
		w.after(from+w.randomDuration(time.Second, 15*time.Second), func() { w.store.restore() })
	}
	w.cancelJobs(4, at)
	return at + 15*time.Second
}

// zoneIsolated cuts a zone with its workers and one controller off from all other hosts.
func zoneIsolated(w *world) time.Duration {
	isolated := &isolatedZone{zone: model.Name(w.rng.IntN(3)), controller: w.controllers[w.rng.IntN(len(w.controllers))]}
	d := w.randomDuration(w.params.lease/2, 3*w.params.lease)
	w.logf("scenario: zone %d is isolated with %s for %v", isolated.zone, isolated.controller.host, d)
	w.cutOff(isolated.controller, d)
	for _, m := range w.workers {
		for _, c := range w.controllers {
			if (c == isolated.controller) != isolated.contains(m) {
				w.cutFor(c.host, m.host, d)
			}
		}
	}
	w.isolatedZone = isolated
	w.after(d, func() {
		w.isolatedZone = nil
		if d > w.params.lease {
			w.observe("a zone is isolated for longer than the lease")
		}
	})
	w.cancelJobs(5, d)
	return d
}

// allControllersDown stops all controllers for half a lease to two leases.
func allControllersDown(w *world) time.Duration {
	d := w.randomDuration(w.params.lease/2, 2*w.params.lease)
	w.logf("scenario: all controllers are down for %v", d)
	for _, c := range w.controllers {
		c.crash(d + w.randomDuration(0, 2*time.Second))
	}
	return d + 5*time.Second
}

// cancelledThenHung cancels jobs that would run for long, just before some machines hang.
func cancelledThenHung(w *world) time.Duration {
	d := w.randomDuration(w.params.lease/3, w.params.lease*3/2)
	w.logf("scenario: jobs are cancelled, and machines hang for %v", d)
	w.cancelJobs(8, 200*time.Millisecond)
	for range 1 + w.rng.IntN(4) {
		w.after(w.randomDuration(0, 400*time.Millisecond), func() {
			m := w.workers[w.rng.IntN(len(w.workers))]
			m.hungUntil = max(m.hungUntil, w.now+d)
		})
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.randomDuration(0, d), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second))
		})
	}
	return d
}

// zoneBoundMachinesLost restarts or hangs machines, among them some with tasks of zone-bound jobs.
func zoneBoundMachinesLost(w *world) time.Duration {
	for range 1 + w.rng.IntN(3) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		if u, _ := w.userOn(m); u != nil && (u.spec.SameZone || u.spec.Zone != model.None) {
			w.observe("a machine with zone-bound tasks is lost")
		}
		if w.rng.IntN(2) == 0 {
			m.restart()
		} else {
			m.hungUntil = max(m.hungUntil, w.now+w.randomDuration(time.Second, 2*w.params.lease))
		}
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.randomDuration(0, 3*time.Second), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second))
		})
	}
	return w.randomDuration(5*time.Second, 20*time.Second)
}

// moreWorkThanCapacity injects no fault: jobs of all ranks exceed the capacity, over slow links.
func moreWorkThanCapacity(w *world) time.Duration {
	if w.atLimit(0) && w.atLimit(1) {
		w.observe("every team is at its limit")
	}
	return w.randomDuration(5*time.Second, 15*time.Second)
}

// scenarioCase is a scenario with the settings of its runs.
type scenarioCase struct {
	scenario scenario
	// Further settings; nil means none.
	adjust func(*params)
	// Must have been observed in some run.
	mustObserve []string
	// Breaks a guard, with which some run violates a rule.
	breakGuard func(*params)
}

// overcommit has jobs that exceed the teams' limits.
func overcommit(p *params) { p.overcommitted, p.jobs, p.quietPeriod = true, 26, 16*time.Minute }

// Each of these functions breaks a guard, see params.
func shortMaxLease(p *params)    { p.shortMaxLease = true }
func ignoreRecords(p *params)    { p.ignoreRecords = true }
func unguardedWrites(p *params)  { p.unguardedWrites = true }
func acceptDuplicates(p *params) { p.acceptDuplicates = true }
func ignoreOldGrants(p *params)  { p.ignoreOldGrants, p.freeMachinesOnLoss = true, true }

// scenarioCases are the cases by name.
var scenarioCases = map[string]scenarioCase{
	"concurrent requests": {quietOrLeaderCrash, func(p *params) { p.concurrentRequests = true },
		[]string{"requests within milliseconds of an answer"}, func(p *params) { p.cacheAnswers = true }},
	"answers lost": {answersLost, func(p *params) { p.concurrentRequests = true },
		[]string{"a transaction is carried out and its answer is lost",
			"another controller reads the result of an unanswered transaction"}, unguardedWrites},
	"teams at limits": {teamsAtLimits, overcommit,
		[]string{"cancelled with its team at its limit", "a leader starts while a machine with tasks is unreachable",
			"a leader starts while a machine with tasks is unreachable and its team is at its limit",
			"cancelled with a task on a hung machine",
			"cancelled with a task on an unreachable machine"}, shortMaxLease},
	"shard handover": {shardHandover, nil, []string{"cancelled during a shard handover"}, ignoreOldGrants},
	"new machines": {newMachinesThenCrash, func(p *params) {
		overcommit(p)
		p.machines, p.spareMachines = 4, 12
	},
		[]string{"the leader crashes just after a new machine got tasks"}, ignoreRecords},
	"reports kept for the next leader": {reportsKeptForNextLeader, nil,
		[]string{"an old report arrives as a leader starts",
			"an old report arrives after a new leader has loaded the store", "an old report is of an earlier session"},
		acceptDuplicates},
	"many small jobs": {manySmallJobs, func(p *params) { p.singleTaskJobs, p.staggeredTasks, p.jobs = true, false, 400 },
		[]string{"cancelled"}, unguardedWrites},
	"requests at job end": {quietOrLeaderCrash, func(p *params) { p.requestsAtEnd = true },
		[]string{"a request around the end of a last task",
			"cancelled as a task ends"}, unguardedWrites},
	"reports lost": {reportsLost, nil, []string{"a command reaches a machine whose reports are lost"},
		shortMaxLease},
	"many leader changes": {manyLeaderChanges, nil, []string{"ten leaders in two minutes"}, ignoreRecords},
	"zone isolated": {zoneIsolated, nil, []string{"a zone is isolated for longer than the lease",
		"cancelled from outside an isolated zone that holds a task"}, ignoreOldGrants},
	"all controllers down": {allControllersDown, nil, []string{"no controller runs for longer than the lease"},
		ignoreRecords},
	"cancelled, then machines hang": {cancelledThenHung, overcommit,
		[]string{"cancelled with a task on a hung machine"}, shortMaxLease},
	"zone-bound machines lost": {zoneBoundMachinesLost, func(p *params) { p.zoneBoundJobs = true },
		[]string{"a machine with zone-bound tasks is lost"}, shortMaxLease},
	"more work than capacity": {moreWorkThanCapacity, func(p *params) {
		overcommit(p)
		p.jobs, p.extraLatency = 60, 150*time.Millisecond
		if p.cancelBound > time.Minute { // tasks run for longer, and all must end before the run does
			p.jobs = 36
		}
	},
		[]string{"every team is at its limit"}, func(p *params) { p.noExpediting = true }},
}

// params returns the settings of the case's runs.
func (c *scenarioCase) params(p params) params {
	p = withScenario(p, c.scenario)
	p.checkWaiting = true
	if c.adjust != nil {
		c.adjust(&p)
	}
	return p
}

// TestRulesHoldInScenarioCases runs each case with short and long leases; no rule may be violated, and
// each required situation must have been observed.
func TestRulesHoldInScenarioCases(t *testing.T) {
	t.Parallel()
	for name, c := range scenarioCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			observed := map[string]int{}
			for lease, p := range map[string]params{"short lease": shortLeaseParams(), "long lease": longLeaseParams()} {
				for seed := range seedCount(2) {
					w := newWorld(6000+seed, c.params(p))
					w.run()
					for _, b := range w.violations {
						t.Errorf("%s, seed %d: %s", lease, seed, b)
					}
					for what, n := range w.observed {
						observed[what] += n
					}
				}
			}
			for _, what := range c.mustObserve {
				if observed[what] == 0 {
					t.Errorf("never observed: %s", what)
				}
			}
			t.Logf("%v", observed)
		})
	}
}

// TestChecksCatchBrokenGuardsInScenarioCases checks the checks: with a guard broken, some run violates
// a rule.
func TestChecksCatchBrokenGuardsInScenarioCases(t *testing.T) {
	t.Parallel()
	for name, c := range scenarioCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := c.params(shortLeaseParams())
			c.breakGuard(&p)
			expectViolation(t, 60, 6000, p)
		})
	}
}

package sim

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// The meetings of the operators' page that came later, and those of their letter. Each has
// what must have been seen on its days, and a guard without which they break a rule.

// Users look closely: nothing else happens, or a leader ends.
func quietOrLeaderCrash(w *world) time.Duration {
	if w.rng.IntN(3) == 0 {
		w.currentLeader().crash(w.randomDuration(50*time.Millisecond, 2*time.Second))
	}
	w.cancelJobs(3, 5*time.Second)
	return w.randomDuration(5*time.Second, 15*time.Second)
}

// Transactions are carried out at once, and only their answers are lost.
func answersLost(w *world) time.Duration {
	d := w.randomDuration(10*time.Second, 40*time.Second)
	w.logf("meeting: answers to transactions are lost for %v", d)
	w.store.answersLostUntil = w.now + d
	w.cancelJobs(6, d)
	for range w.rng.IntN(3) {
		w.after(w.randomDuration(0, d), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond,
				3*time.Second))
		})
	}
	return d
}

// Every team is at its limit while jobs are cancelled whose machines are cut off or hang, and
// the leader changes.
func teamsAtLimits(w *world) time.Duration {
	duration := w.randomDuration(w.params.lease/2, 2*w.params.lease)
	w.logf("meeting: machines hang or are cut off for %v, cancellations, and the leader ends", duration)
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
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond,
				5*time.Second))
		})
	}
	return duration
}

// Jobs are cancelled in the seconds in which one controller's work changes hands.
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
	w.logf("meeting: the work of %s changes hands", c.host)
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

// addMachines has up to n machines come up within two seconds, while some are left.
func addMachines(w *world, n int) {
	for range min(n, w.params.machines+w.params.spareMachines-len(w.workers)) {
		m := newMachine(w, model.MachineID(len(w.workers)), w.rng.IntN(3))
		m.addedAt, m.leaseStart = w.now, w.now
		w.workers = append(w.workers, m)
		w.after(w.randomDuration(0, 2*time.Second), m.tick)
	}
}

// New machines are up at once and get work while writes lag, and the leader ends.
func newMachinesThenCrash(w *world) time.Duration {
	addMachines(w, 2)
	d := w.randomDuration(3*time.Second, 10*time.Second)
	w.logf("meeting: new machines, writes lag for %v, and the leader ends", d)
	w.storeSlowUntil = w.now + d
	w.after(w.randomDuration(500*time.Millisecond, d), func() {
		w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second))
	})
	w.cancelJobs(1, d)
	return d + 10*time.Second
}

// Old reports reach every controller just as a leader begins, and that leader once more when
// it has acted.
func reportsKeptForNextLeader(w *world) time.Duration {
	w.keptReports = nil
	for _, m := range w.workers {
		w.keptReports = append(w.keptReports, &keptReport{machine: m})
	}
	d := w.randomDuration(4*time.Second, w.params.lease+4*time.Second)
	w.logf("meeting: reports are kept for the next leader, in %v", d)
	if w.rng.IntN(2) == 0 {
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.after(d/2, m.nextSession)
	}
	w.after(d, func() { w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 3*time.Second)) })
	w.cancelJobs(2, d)
	return d + 10*time.Second
}

// Jobs come four a second, of one task each, and a quarter of them are cancelled; now and then
// a leader ends.
func manySmallJobs(w *world) time.Duration {
	if w.rng.IntN(3) == 0 {
		w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 2*time.Second))
	}
	return w.randomDuration(15*time.Second, 40*time.Second)
}

// Machines reach no controller, while commands reach them.
func reportsLost(w *world) time.Duration {
	d := w.randomDuration(time.Second, 3*w.params.lease)
	for range 1 + w.rng.IntN(3) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.logf("meeting: the reports of %s get lost for %v", m.host, d)
		m.reportsLostUntil = w.now + d
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.randomDuration(0, d), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond,
				3*time.Second))
		})
	}
	w.cancelJobs(3, d)
	return d
}

// Leaders change again and again, on some days inside an outage.
func manyLeaderChanges(w *world) time.Duration {
	w.logf("meeting: twelve leaders in a row")
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

// A zone with its workers and a controller is cut off from all else.
func zoneIsolated(w *world) time.Duration {
	isolated := &isolatedZone{zone: model.Name(w.rng.IntN(3)), controller: w.controllers[w.rng.IntN(len(w.controllers))]}
	d := w.randomDuration(w.params.lease/2, 3*w.params.lease)
	w.logf("meeting: zone %d is cut off with %s for %v", isolated.zone, isolated.controller.host, d)
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

// All controllers are away, for about the lease or for longer.
func allControllersDown(w *world) time.Duration {
	d := w.randomDuration(w.params.lease/2, 2*w.params.lease)
	w.logf("meeting: all controllers are away for %v", d)
	for _, c := range w.controllers {
		c.crash(d + w.randomDuration(0, 2*time.Second))
	}
	return d + 5*time.Second
}

// Jobs that run and have long to go are cancelled at once, and their machines hang.
func cancelledThenHung(w *world) time.Duration {
	d := w.randomDuration(w.params.lease/3, w.params.lease*3/2)
	w.logf("meeting: cancelled, and machines hang for %v", d)
	w.cancelJobs(8, 200*time.Millisecond)
	for range 1 + w.rng.IntN(4) {
		w.after(w.randomDuration(0, 400*time.Millisecond), func() {
			m := w.workers[w.rng.IntN(len(w.workers))]
			m.hungUntil = max(m.hungUntil, w.now+d)
		})
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.randomDuration(0, d), func() {
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond,
				3*time.Second))
		})
	}
	return d
}

// Machines with tasks of jobs that are bound to a zone are lost.
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
			w.currentLeader().crash(w.randomDuration(100*time.Millisecond,
				3*time.Second))
		})
	}
	return w.randomDuration(5*time.Second, 20*time.Second)
}

// There is more work than room, urgent and not, over slow links.
func moreWorkThanCapacity(w *world) time.Duration {
	if w.atLimit(0) && w.atLimit(1) {
		w.observe("every team is at its limit")
	}
	return w.randomDuration(5*time.Second, 15*time.Second)
}

// scenarioCase is a kind of meeting with the days that it comes on.
type scenarioCase struct {
	scenario    scenario
	adjust      func(*params) // what else such a day has
	mustObserve []string      // must have been seen, on some day
	breakGuard  func(*params) // without it, some day breaks a rule
}

// overcommit days offer more work than teams may have at work.
func overcommit(p *params) { p.overcommitted, p.jobs, p.quietPeriod = true, 26, 16*time.Minute }

func shortMaxLease(p *params)    { p.shortMaxLease = true }
func ignoreRecords(p *params)    { p.ignoreRecords = true }
func unguardedWrites(p *params)  { p.unguardedWrites = true }
func acceptDuplicates(p *params) { p.acceptDuplicates = true }
func ignoreOldGrants(p *params)  { p.ignoreOldGrants, p.freeMachinesOnLoss = true, true }

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
		if p.cancelBound > time.Minute { // tasks run for as long, and all are to be done by the day's end
			p.jobs = 36
		}
	},
		[]string{"every team is at its limit"}, func(p *params) { p.noExpediting = true }},
}

func (e *scenarioCase) params(p params) params {
	p = withScenario(p, e.scenario)
	p.checkWaiting = true
	if e.adjust != nil {
		e.adjust(&p)
	}
	return p
}

// TestRulesHoldInScenarioCases plays days of each of these kinds with short leases and long
// ones, and wants each to have happened.
func TestRulesHoldInScenarioCases(t *testing.T) {
	t.Parallel()
	for name, e := range scenarioCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seen := map[string]int{}
			for lease, p := range map[string]params{"short lease": shortLeaseParams(), "long lease": longLeaseParams()} {
				for seed := range seedCount(2) {
					w := newWorld(6000+seed, e.params(p))
					w.run()
					for _, b := range w.violations {
						t.Errorf("%s, seed %d: %s", lease, seed, b)
					}
					for what, n := range w.observed {
						seen[what] += n
					}
				}
			}
			for _, what := range e.mustObserve {
				if seen[what] == 0 {
					t.Errorf("never seen: %s", what)
				}
			}
			t.Logf("%v", seen)
		})
	}
}

// TestChecksCatchBrokenGuardsInScenarioCases proves the checks: with a guard broken, some day breaks a rule.
func TestChecksCatchBrokenGuardsInScenarioCases(t *testing.T) {
	t.Parallel()
	for name, e := range scenarioCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := e.params(shortLeaseParams())
			e.breakGuard(&p)
			expectViolation(t, 60, 6000, p)
		})
	}
}

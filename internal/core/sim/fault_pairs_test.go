package sim

import (
	"fmt"
	"testing"
	"time"
)

// A schedule search: the second of two faults begins at every boundary after the first one, not only
// at random times. Boundaries are the moments before and after each message of a controller, and each
// of its ticks.

// passBoundary counts a boundary; at the last one the second fault begins.
func (w *world) passBoundary() {
	w.controllerActed = true
	if w.boundariesLeft == 0 {
		return
	}
	if w.boundariesLeft--; w.boundariesLeft == 0 {
		w.after(0, w.secondFault) // a process does not crash within its own step
	}
}

// faultPair is a first fault and a second one that begins at a boundary after it.
type faultPair struct {
	first, second func(w *world)
	// Number of boundaries that are tried.
	boundaries int
	// Further settings of such runs; nil means none.
	adjust func(*params)
}

// storeDownFor takes the store down for extra longer than a cancellation may take.
func storeDownFor(extra time.Duration) func(w *world) {
	return func(w *world) {
		w.logf("the store is down")
		w.store.down = true
		w.after(w.params.cancelBound+extra, w.store.restore)
	}
}

// leaderCrashes crashes the leader, which restarts at once.
func leaderCrashes(w *world) {
	w.logf("the leader crashes")
	w.currentLeader().crash(300 * time.Millisecond)
}

// allCrash crashes all controllers; the first restarts at once, the others 4 s apart.
func allCrash(w *world) {
	w.logf("all controllers crash, one restarts at once")
	for i, c := range w.controllers {
		c.crash(300*time.Millisecond + time.Duration(i)*4*time.Second)
	}
}

// leaderRefusedAlone has the store refuse only the leader, while jobs are cancelled.
func leaderRefusedAlone(w *world) {
	c := w.currentLeader()
	w.logf("the store refuses only %s", c.host)
	w.store.refusedUntil[c.host] = w.now + 14*time.Second
	w.cancelJobs(4, time.Second)
}

// leaderCutOffWithWorkers cuts the leader off from the store and the other controllers, but not from
// its workers, while jobs are cancelled.
func leaderCutOffWithWorkers(w *world) {
	c := w.currentLeader()
	w.logf("%s loses all but its workers", c.host)
	w.cutOff(c, 20*time.Second)
	w.cancelJobs(4, 4*time.Second)
}

// lateTransactions has the store carry some transactions out late, while jobs are cancelled.
func lateTransactions(w *world) {
	w.logf("transactions are carried out late")
	w.store.lateUntil = w.now + 20*time.Second
	w.cancelJobs(4, 4*time.Second)
}

// lostAnswers has the store carry some transactions out without an answer, while jobs are cancelled.
func lostAnswers(w *world) {
	w.logf("answers to transactions are lost")
	w.store.answersLostUntil = w.now + 20*time.Second
	w.cancelJobs(4, 4*time.Second)
}

// memberLosesLinks cuts a member off from all other controllers, so that its shard's machines change
// their owner.
func memberLosesLinks(w *world) {
	for _, c := range w.controllers {
		if c.leadership == nil && c.running {
			w.logf("%s loses its links to the other controllers", c.host)
			w.cutFromSiblings(c, 5*time.Second)
			return
		}
	}
}

// cancelAtOnce cancels six jobs.
func cancelAtOnce(w *world) { w.cancelJobs(6, 0) }

// machinesAdded adds two machines while the store is slow.
func machinesAdded(w *world) {
	addMachines(w, 2)
	w.storeSlowUntil = w.now + 8*time.Second
}

// refusedThenOutage has the store refuse only the leader while other controllers acknowledge
// cancellations, then takes the store down for longer than a cancellation may take.
func refusedThenOutage(w *world) {
	leaderRefusedAlone(w)
	w.after(1500*time.Millisecond, func() { storeDownFor(20 * time.Second)(w) })
}

// acknowledgerCrashes crashes the controller that last acknowledged a cancellation to a user. It restarts at
// once, with a clock that starts again.
func acknowledgerCrashes(w *world) {
	if w.lastAcknowledger != nil {
		w.logf("%s crashes, which last acknowledged a cancellation", w.lastAcknowledger.host)
		w.lastAcknowledger.crash(300 * time.Millisecond)
	}
}

// leaderPauses pauses the leader for 8 s.
func leaderPauses(w *world) { w.currentLeader().pauseAfter(0, 8*time.Second) }

// leaderLinksBreak cuts the leader off from all other controllers for 4 s.
func leaderLinksBreak(w *world) {
	w.logf("the links to the leader break")
	w.cutFromSiblings(w.currentLeader(), 4*time.Second)
}

// fiveControllers sets the number of controllers to five.
func fiveControllers(p *params) { p.controllers = 5 }

// faultPairs are the pairs that are tried. The boundaries reach from the first fault over the change
// of leader that follows it, including the new leader's read of the store, to some seconds later.
var faultPairs = map[string]faultPair{
	"store refuses leader, then store down": {leaderRefusedAlone,
		storeDownFor(20 * time.Second), 1500, nil},
	"store refuses leader, then leader crashes": {leaderRefusedAlone, leaderCrashes, 1500, nil},
	"leader cut off with workers, then store down": {leaderCutOffWithWorkers,
		storeDownFor(20 * time.Second), 1500, nil},
	"leader cut off with workers, then all crash": {leaderCutOffWithWorkers, allCrash, 1500, nil},
	"leader crashes, then store down": {leaderCrashes, storeDownFor(20 * time.Second),
		1500, nil},
	"leader crashes, then next leader crashes": {leaderCrashes, leaderCrashes, 1500, nil},
	"late transactions, then leader crashes":   {lateTransactions, leaderCrashes, 1500, nil},
	"store down, then leader crashes":          {storeDownFor(0), leaderCrashes, 600, nil},
	"shard handover, then cancellations":       {memberLosesLinks, cancelAtOnce, 1500, nil},
	"new machines, then leader crashes": {machinesAdded, leaderCrashes, 1000,
		func(p *params) { p.spareMachines = 2 }},
	"lost answers, then leader crashes":             {lostAnswers, leaderCrashes, 1500, nil},
	"refusal and outage, then acknowledger crashes": {refusedThenOutage, acknowledgerCrashes, 1500, nil},
	"refusal and outage, then leader crashes": {refusedThenOutage, leaderCrashes, 1500,
		fiveControllers},
	"refusal and outage, then leader pauses": {refusedThenOutage, leaderPauses, 1500, nil},
	"refusal and outage, then leader links break": {refusedThenOutage, leaderLinksBreak, 1500,
		fiveControllers},
	"refusal and outage with two releases, then acknowledger crashes": {refusedThenOutage, acknowledgerCrashes, 1500,
		func(p *params) { p.mixedReleases = true }},
}

// faultPairParams are short runs on few machines, for many boundaries to be tried.
func faultPairParams() params {
	p := shortLeaseParams()
	p.machines, p.jobs, p.duration, p.quietPeriod = 5, 14, time.Minute, 5*time.Minute
	p.faults, p.staggeredTasks = false, true
	return p
}

// runFaultPair runs a pair whose second fault begins at the given boundary; no rule may be violated.
func runFaultPair(t *testing.T, s faultPair, seed uint64, p params, boundary int) {
	t.Helper()
	w := newWorld(seed, p)
	w.secondFault = func() { s.second(w) }
	w.after(45*time.Second, func() {
		w.extendFaults(2 * time.Minute)
		w.boundariesLeft = boundary
		s.first(w)
	})
	w.run()
	for _, b := range w.violations {
		t.Errorf("boundary %d of seed %d: %s", boundary, seed, b)
	}
}

// TestSecondFaultAtEachBoundary tries every 97th boundary, and each one if HONEYLOCK_SEEDS is set.
func TestSecondFaultAtEachBoundary(t *testing.T) {
	t.Parallel()
	step := 97
	if seedCount(0) > 0 {
		step = 1
	}
	for name, s := range faultPairs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := faultPairParams()
			if s.adjust != nil {
				s.adjust(&p)
			}
			for n := 1; n <= s.boundaries; n += step {
				runFaultPair(t, s, 4000+uint64(n%7), p, n)
			}
		})
	}
}

// boundedParams are the times of a deployment, with the maximum staleness and the leader's lease that
// its settings give.
func boundedParams(report, lease, cancel time.Duration) params {
	p := withScenario(shortLeaseParams(), refusedThenDown)
	p.reportInterval, p.lease, p.cancelBound = report, lease, cancel
	p.maxStaleness = max(100*time.Millisecond, (cancel-p.lease*1002/1000-1250*time.Millisecond)*9/10)
	p.leaderTTL = min(3*time.Second, p.maxStaleness)
	p.quietPeriod = 10 * time.Minute
	return p
}

// TestCancelledTasksEndInTime checks that the longest time from when a user knew of a cancellation
// until its last task was gone stays below cancelBound. The state service first refuses only the
// leader, then fails for all. It covers the times of both deployments and a bound barely above the
// lease, also with a leader of an earlier release that knows nothing of the cancellations that members
// acknowledged.
func TestCancelledTasksEndInTime(t *testing.T) {
	t.Parallel()
	for name, p := range map[string]params{
		"short lease":            boundedParams(3*time.Second, 17500*time.Millisecond, 47500*time.Millisecond),
		"long lease":             boundedParams(8*time.Second, 42*time.Second, 67*time.Second),
		"bound just above lease": boundedParams(time.Second, 30*time.Second, 33*time.Second),
	} {
		for _, mixed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/mixed=%v", name, mixed), func(t *testing.T) {
				t.Parallel()
				p := p // the parallel subtests must not share it
				p.mixedReleases = mixed
				var longest time.Duration
				for seed := range seedCount(3) {
					longest = max(longest, runSimulation(t, 5000+seed, p).maxCancelDelay)
				}
				t.Logf("longest %v of %v", longest, p.cancelBound)
				if longest >= p.cancelBound || longest == 0 {
					t.Errorf("longest %v of %v", longest, p.cancelBound)
				}
			})
		}
	}
}

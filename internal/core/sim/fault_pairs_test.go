package sim

import (
	"fmt"
	"testing"
	"time"
)

// A schedule search: of two troubles that meet the second begins at every boundary of the
// first, before and after each message of a controller's and at each of its ticks, not at a
// drawn time only.

// passBoundary counts one; at the one that is searched the second trouble begins.
func (w *world) passBoundary() {
	w.controllerActed = true
	if w.boundariesLeft == 0 {
		return
	}
	if w.boundariesLeft--; w.boundariesLeft == 0 {
		w.after(0, w.secondFault) // a process does not end within its own step
	}
}

// faultPair is a meeting: what happens first, and what at a boundary after it.
type faultPair struct {
	first, second func(w *world)
	boundaries    int           // within which the second may begin
	adjust        func(*params) // what else such a day has
}

func storeDownFor(extra time.Duration) func(w *world) {
	return func(w *world) {
		w.logf("the store is out")
		w.store.down = true
		w.after(w.params.cancelBound+extra, w.store.restore)
	}
}

func leaderCrashes(w *world) {
	w.logf("the leader ends")
	w.currentLeader().crash(300 * time.Millisecond)
}

func allCrash(w *world) {
	w.logf("all end, one is back at once")
	for i, c := range w.controllers {
		c.crash(300*time.Millisecond + time.Duration(i)*4*time.Second)
	}
}

func leaderRefusedAlone(w *world) {
	c := w.currentLeader()
	w.logf("%s is refused alone", c.host)
	w.store.refusedUntil[c.host] = w.now + 14*time.Second
	w.cancelJobs(4, time.Second)
}

func leaderCutOffWithWorkers(w *world) {
	c := w.currentLeader()
	w.logf("%s loses all but its workers", c.host)
	w.cutOff(c, 20*time.Second)
	w.cancelJobs(4, 4*time.Second)
}

func lateTransactions(w *world) {
	w.logf("transactions are late")
	w.store.lateUntil = w.now + 20*time.Second
	w.cancelJobs(4, 4*time.Second)
}

func lostAnswers(w *world) {
	w.logf("answers to transactions are lost")
	w.store.answersLostUntil = w.now + 20*time.Second
	w.cancelJobs(4, 4*time.Second)
}

func memberLosesLinks(w *world) {
	for _, c := range w.controllers {
		if c.leadership == nil && c.running {
			w.logf("%s loses the others", c.host)
			w.cutFromSiblings(c, 5*time.Second)
			return
		}
	}
}

func cancelAtOnce(w *world) { w.cancelJobs(6, 0) }

func machinesAdded(w *world) {
	addMachines(w, 2)
	w.storeSlowUntil = w.now + 8*time.Second
}

// refusedThenOutage is the gap with cancellations, and an outage longer than they may take.
func refusedThenOutage(w *world) {
	leaderRefusedAlone(w)
	w.after(1500*time.Millisecond, func() { storeDownFor(20 * time.Second)(w) })
}

// acknowledgerCrashes: whoever last told a user ends, and is back at once with a clock that begins anew.
func acknowledgerCrashes(w *world) {
	if w.lastAcknowledger != nil {
		w.logf("%s ends, which told a user last", w.lastAcknowledger.host)
		w.lastAcknowledger.crash(300 * time.Millisecond)
	}
}

func leaderPauses(w *world) { w.currentLeader().pauseAfter(0, 8*time.Second) }

func leaderLinksBreak(w *world) {
	w.logf("the links to the leader break")
	w.cutFromSiblings(w.currentLeader(), 4*time.Second)
}

func fiveControllers(p *params) { p.controllers = 5 }

// The boundaries reach from the first trouble over the change of leader that follows it, with
// the new leader's reading of the store, to some seconds after it.
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

func faultPairParams() params {
	p := shortLeaseParams()
	p.machines, p.jobs, p.duration, p.quietPeriod = 5, 14, time.Minute, 5*time.Minute
	p.faults, p.staggeredTasks = false, true
	return p
}

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

// TestSecondFaultAtEachBoundary plays every so manieth boundary in CI; outside it, with
// HONEYLOCK_SEEDS set, each.
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

// boundedParams are a deployment's times, with the staleness bound that the settings give it.
func boundedParams(report, lease, cancel time.Duration) params {
	p := withScenario(shortLeaseParams(), refusedThenDown)
	p.reportInterval, p.lease, p.cancelBound = report, lease, cancel
	p.maxStaleness = max(100*time.Millisecond, (cancel-p.lease*1002/1000-1250*time.Millisecond)*9/10)
	p.leaderTTL = min(3*time.Second, p.maxStaleness)
	p.quietPeriod = 10 * time.Minute
	return p
}

// TestCancelledTasksEndInTime: in the gap, the longest time from when a user was told of a
// cancellation until its last task was gone stays below cancel_s, for both deployments' times
// and for a cancel_s barely above the lease; with a leader of the release before as well,
// which knows nothing of what members told.
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
				p := p // the two run at once
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

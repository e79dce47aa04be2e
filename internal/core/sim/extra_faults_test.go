package sim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// extraFaultsParams adds faults to the random ones: machines that receive nothing while their reports
// arrive, late duplicates of reports, and controllers that restart within a second.
func extraFaultsParams() params {
	p := shortLeaseParams()
	p.oneWayCuts, p.duplicateReports, p.quickRestarts = true, true, true
	p.quietPeriod = 4 * time.Minute
	return p
}

// cutInboundFor drops all messages to a machine for d; what it sends arrives.
func (w *world) cutInboundFor(m *machine, d time.Duration) {
	w.logf("fault: nothing reaches %s for %v", m.host, d)
	for _, c := range w.controllers {
		to := hostPair{c.host, m.host}
		if _, cut := w.cuts[to]; cut {
			continue
		}
		w.cuts[to] = false
		w.after(d, func() { delete(w.cuts, to) })
	}
	w.extendFaults(d)
}

// extendFaults records that a fault lasts for d.
func (w *world) extendFaults(d time.Duration) { w.faultsOverAt = max(w.faultsOverAt, w.now+d) }

// oneWayCuts repeatedly cuts machines in one direction.
func (w *world) oneWayCuts() {
	if w.now > w.params.duration-30*time.Second {
		return
	}
	if w.rng.IntN(5) == 0 { // commands and their answers arrive, reports do not
		m, d := w.workers[w.rng.IntN(len(w.workers))], w.randomDuration(time.Second, 3*w.params.lease)
		w.logf("fault: the reports of %s are lost for %v", m.host, d)
		m.reportsLostUntil = w.now + d
		w.extendFaults(d)
	} else if w.rng.IntN(3) == 0 { // a fifth of them at once
		d := w.randomDuration(w.params.lease/2, 3*w.params.lease)
		for _, m := range w.workers {
			if w.rng.IntN(5) == 0 {
				w.cutInboundFor(m, d)
			}
		}
	} else {
		w.cutInboundFor(w.workers[w.rng.IntN(len(w.workers))], w.randomDuration(time.Second, 4*w.params.lease))
	}
	w.after(w.randomDuration(5*time.Second, 30*time.Second), w.oneWayCuts)
}

// duplicateLater delivers up to three copies of a report at random controllers, one second to three
// leases later. The answers are dropped. Most reports get no copy.
func (w *world) duplicateLater(deliver func(*controller)) {
	if w.now > w.params.duration || w.rng.IntN(6) > 0 {
		return
	}
	for range 1 + w.rng.IntN(3) {
		c := w.controllers[w.rng.IntN(len(w.controllers))]
		d := w.randomDuration(time.Second, 3*w.params.lease)
		w.extendFaults(d)
		w.after(d, func() { c.whenRunning(func() { deliver(c) }) })
	}
}

// repeatLater repeats a tenth of the requests late, whether or not they were carried out.
func (w *world) repeatLater(deliver func()) {
	if w.now > w.params.duration || w.rng.IntN(10) > 0 {
		return
	}
	d := w.randomDuration(time.Second, 3*w.params.lease)
	w.extendFaults(d)
	w.after(d, deliver)
}

// quickRestarts crashes one controller, the leader or all controllers, which restart within a second,
// some twice in succession.
func (w *world) quickRestarts() {
	if w.now > w.params.duration-30*time.Second {
		return
	}
	restartDelay := func() time.Duration { return w.randomDuration(50*time.Millisecond, 900*time.Millisecond) }
	crashed := []*controller{w.controllers[w.rng.IntN(len(w.controllers))]}
	switch w.rng.IntN(4) {
	case 0:
		crashed = w.controllers
	case 1:
		for _, c := range w.controllers {
			if c.leadership != nil {
				crashed = []*controller{c}
			}
		}
	}
	w.logf("fault: %d controllers crash and restart at once", len(crashed))
	for _, c := range crashed {
		c.crash(restartDelay())
		if w.rng.IntN(3) == 0 {
			w.after(w.randomDuration(100*time.Millisecond, 3*time.Second), func() { c.crash(restartDelay()) })
		}
	}
	w.extendFaults(6 * time.Second)
	w.after(w.randomDuration(5*time.Second, 40*time.Second), w.quickRestarts)
}

// controllerCutOffs cuts one or two controllers off from the state service and the other controllers,
// but not from their workers.
func (w *world) controllerCutOffs() {
	if w.now > w.params.duration-30*time.Second {
		return
	}
	d := w.randomDuration(500*time.Millisecond, 30*time.Second)
	for range 1 + w.rng.IntN(2) {
		c := w.controllers[w.rng.IntN(len(w.controllers))]
		w.logf("fault: %s is cut from the store and the other controllers for %v", c.host, d)
		w.cutOff(c, d)
	}
	w.extendFaults(d)
	w.after(w.randomDuration(10*time.Second, 60*time.Second), w.controllerCutOffs)
}

// maxUnanswered is how long requests about a job may go unanswered after the last fault.
const maxUnanswered = 75 * time.Second

// checkAnswerDelay checks that requests about an accepted job are answered in time after the last
// fault. Faults begin before the end of params.duration. The rule forgotten forbids longer delays.
func (w *world) checkAnswerDelay(u *user) {
	if from := max(u.lastAnsweredAt, w.faultsOverAt, w.params.duration); u.accepted &&
		w.params.quietPeriod > maxUnanswered && w.now-from > maxUnanswered {
		w.fail("forgotten", "requests about job %d were not answered for %v", u.spec.ID, w.now-from)
	}
}

// checkAllAnswered checks at the end of a run that requests about every accepted job were answered
// lately, and that every job has ended.
func (w *world) checkAllAnswered() {
	if w.now < w.faultsOverAt+maxUnanswered {
		w.fail("quiet_period_too_short", "faults lasted until %v", w.faultsOverAt)
	}
	for id, u := range w.users {
		if !u.accepted {
			continue
		}
		if unanswered := w.now - max(u.lastAnsweredAt, w.faultsOverAt); unanswered > maxUnanswered {
			w.fail("forgotten", "requests about job %d were not answered for %v", id, unanswered)
		}
		if u.finalStage == "" {
			w.fail("unfinished", "job %d (%+v): %d of %d tasks done", id, u.spec, len(u.doneTasks), u.spec.Tasks)
		}
	}
}

// seedCount is the number of seeds to run: HONEYLOCK_SEEDS if it is set, as outside CI, otherwise the
// fallback.
func seedCount(fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("HONEYLOCK_SEEDS"), 10, 32); err == nil {
		return n
	}
	return fallback
}

// TestRulesHoldWithExtraFaults runs simulations with all kinds of faults: no rule may be violated,
// requests about each job are answered, and each job ends.
func TestRulesHoldWithExtraFaults(t *testing.T) {
	t.Parallel()
	long := longLeaseParams()
	long.oneWayCuts, long.duplicateReports, long.quickRestarts, long.quietPeriod = true, true, true, 8*time.Minute
	mixed, chains := extraFaultsParams(), slowCancellationParams()
	mixed.mixedReleases = true
	chains.mixedReleases, chains.oneWayCuts, chains.duplicateReports, chains.quickRestarts,
		chains.cancellationInterval = true, true, true, true, time.Second
	for name, p := range map[string]params{"short lease": extraFaultsParams(), "long lease": long, "two releases": mixed,
		"two releases, dependencies": chains} {
		for seed := range seedCount(8) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				runSimulation(t, 100+seed, p)
			})
		}
	}
}

// unreachableMachinesParams are runs without random faults, for runWithUnreachableMachines.
func unreachableMachinesParams() params {
	p := shortLeaseParams()
	p.faults, p.quietPeriod = false, time.Minute
	return p
}

// runWithUnreachableMachines makes two of nine machines unreachable from 20 s on, for the rest of the
// run, and crashes the leader at 50 s and at 110 s.
func runWithUnreachableMachines(seed uint64, p params) *world {
	w := newWorld(seed, p)
	w.after(20*time.Second, func() {
		for _, m := range w.workers[:2] {
			w.cutInboundFor(m, time.Hour)
		}
	})
	for _, at := range []time.Duration{50, 110} {
		w.after(at*time.Second, func() {
			for _, c := range w.controllers {
				if c.leadership != nil {
					c.crash(300 * time.Millisecond)
				}
			}
		})
	}
	w.run()
	return w
}

// TestJobsCompleteDespiteUnreachableMachines guards against a failure in which tasks on machines that
// receive nothing waited forever, and so did all jobs from before a change of leader.
func TestJobsCompleteDespiteUnreachableMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := runWithUnreachableMachines(seed, unreachableMachinesParams())
		for _, b := range w.violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		for id, u := range w.users {
			if u.accepted && u.finalStage == "" {
				t.Errorf("seed %d: job %d (accepted at %v): %d of %d tasks done", seed, id, u.acceptedAt, len(u.doneTasks),
					u.spec.Tasks)
			}
		}
	}
}

// TestChecksCatchBrokenGuardsWithExtraFaults checks the checks: with a guard broken, some run must
// violate a rule.
func TestChecksCatchBrokenGuardsWithExtraFaults(t *testing.T) {
	t.Parallel()
	for name, breakGuard := range map[string]func(*params){
		"duplicate reports are taken for new ones": func(p *params) { p.acceptDuplicates = true },
		"leases are considered over too early":     func(p *params) { p.shortMaxLease = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := extraFaultsParams()
			breakGuard(&p)
			expectViolation(t, 40, 100, p)
		})
	}
}

package sim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// extraFaultsParams has, beside all else that goes wrong, machines whose reports arrive while
// nothing reaches them, copies of reports that come late, and controllers that are back
// within a fraction of a second.
func extraFaultsParams() params {
	p := shortLeaseParams()
	p.oneWayCuts, p.duplicateReports, p.quickRestarts = true, true, true
	p.quietPeriod = 4 * time.Minute
	return p
}

// oneWay keeps everything from a machine for a while; what it sends arrives.
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

// extendFaults notes that something is wrong until then.
func (w *world) extendFaults(d time.Duration) { w.faultsOverAt = max(w.faultsOverAt, w.now+d) }

// oneWayCuts makes a part of the machines hear nothing, again and again.
func (w *world) oneWayCuts() {
	if w.now > w.params.duration-30*time.Second {
		return
	}
	if w.rng.IntN(5) == 0 { // the other way round: commands and answers pass, reports don't
		m, d := w.workers[w.rng.IntN(len(w.workers))], w.randomDuration(time.Second, 3*w.params.lease)
		w.logf("fault: the reports of %s get lost for %v", m.host, d)
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

// duplicateLater has copies of a message to a controller come again, from seconds to well over
// a lease later, at any controller. Nobody hears what is answered.
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

// repeatLater has a request that was perhaps carried out come again, late.
func (w *world) repeatLater(deliver func()) {
	if w.now > w.params.duration || w.rng.IntN(10) > 0 {
		return
	}
	d := w.randomDuration(time.Second, 3*w.params.lease)
	w.extendFaults(d)
	w.after(d, deliver)
}

// quickRestarts has controllers that end be back within a fraction of a second, one or all,
// once or twice in succession.
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
	w.logf("fault: %d controllers end, and are back at once", len(crashed))
	for _, c := range crashed {
		c.crash(restartDelay())
		if w.rng.IntN(3) == 0 {
			w.after(w.randomDuration(100*time.Millisecond, 3*time.Second), func() { c.crash(restartDelay()) })
		}
	}
	w.extendFaults(6 * time.Second)
	w.after(w.randomDuration(5*time.Second, 40*time.Second), w.quickRestarts)
}

// controllerCutOffs has controllers lose the state service and the others, but not their workers:
// one, or two at once, the leader among them or not.
func (w *world) controllerCutOffs() {
	if w.now > w.params.duration-30*time.Second {
		return
	}
	d := w.randomDuration(500*time.Millisecond, 30*time.Second)
	for range 1 + w.rng.IntN(2) {
		c := w.controllers[w.rng.IntN(len(w.controllers))]
		w.logf("fault: %s loses all but its workers for %v", c.host, d)
		w.cutOff(c, d)
	}
	w.extendFaults(d)
	w.after(w.randomDuration(10*time.Second, 60*time.Second), w.controllerCutOffs)
}

// machineQuickRestarts has machines be back within a fraction of a second: with all they had, with
// their next session, without their tasks, or with numbers that begin anew.
func (w *world) machineQuickRestarts() {
	if w.now > w.params.duration-30*time.Second {
		return
	}
	m := w.workers[w.rng.IntN(len(w.workers))]
	m.hungUntil = max(m.hungUntil, w.now+w.randomDuration(50*time.Millisecond, 900*time.Millisecond))
	switch []int{0, 3}[w.rng.IntN(2)] {
	case 0:
		m.nextSession()
	case 1:
		m.attempts = map[attemptKey]*attempt{}
	case 2:
		m.nextSession()
		m.session, m.seq, m.token = 1, 0, 0
	}
	w.logf("fault: %s is back at once, session %d, message %d", m.host, m.session, m.seq)
	w.extendFaults(time.Second)
	w.after(w.randomDuration(2*time.Second, 20*time.Second), w.machineQuickRestarts)
}

// maxUnanswered is for how long a job may be asked about in vain once all troubles are over.
const maxUnanswered = 75 * time.Second

// checkAnswerDelay: a question about an accepted job is answered in time once all troubles,
// which begin before the day's end, are over.
func (w *world) checkAnswerDelay(u *user) {
	if from := max(u.lastAnsweredAt, w.faultsOverAt, w.params.duration); u.accepted &&
		w.params.quietPeriod > maxUnanswered && w.now-from > maxUnanswered {
		w.fail("unanswered", "job %d was not answered about for %v", u.spec.ID, w.now-from)
	}
}

// checkAllAnswered looks, at the end, at every accepted job: it was answered about lately, and
// has run if nobody cancelled it.
func (w *world) checkAllAnswered() {
	if w.now < w.faultsOverAt+maxUnanswered {
		w.fail("quiet_period_too_short", "troubles lasted until %v", w.faultsOverAt)
	}
	for id, u := range w.users {
		if !u.accepted {
			continue
		}
		if unanswered := w.now - max(u.lastAnsweredAt, w.faultsOverAt); unanswered > maxUnanswered {
			w.fail("unanswered", "job %d was not answered about for %v", id, unanswered)
		}
		if u.finalStage == "" {
			w.fail("unfinished", "job %d (%+v): %d of %d tasks done", id, u.spec, len(u.doneTasks), u.spec.Tasks)
		}
	}
}

// seedCount is how many days are played: HONEYLOCK_SEEDS, outside CI, or so many.
func seedCount(fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("HONEYLOCK_SEEDS"), 10, 32); err == nil {
		return n
	}
	return fallback
}

// TestRulesHoldWithExtraFaults plays days with all kinds of failure; no rule may
// break, each job stays known, and each that nobody cancelled runs.
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

// unreachableMachinesParams is a day on which two of nine machines hear nothing from 20 s on, for
// good, and the leader ends half a minute later.
func unreachableMachinesParams() params {
	p := shortLeaseParams()
	p.faults, p.quietPeriod = false, time.Minute
	return p
}

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

// TestJobsCompleteDespiteUnreachableMachines: what was on such a machine waited for ever,
// and so did all jobs of before a change of leader.
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

// TestChecksCatchBrokenGuardsWithExtraFaults proves the checks once more: with a guard broken, some day
// must break a rule.
func TestChecksCatchBrokenGuardsWithExtraFaults(t *testing.T) {
	t.Parallel()
	for name, breakIt := range map[string]func(*params){
		"duplicate reports are taken for new ones": func(p *params) { p.acceptDuplicates = true },
		"leases are considered over too early":     func(p *params) { p.shortMaxLease = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := extraFaultsParams()
			breakIt(&p)
			expectViolation(t, 40, 100, p)
		})
	}
}

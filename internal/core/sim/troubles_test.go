package sim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// troubled has, beside all else that goes wrong, machines whose reports arrive while
// nothing reaches them, copies of reports that come late, and controllers that are back
// within a fraction of a second.
func troubled() params {
	p := almatyLike()
	p.oneWay, p.copies, p.blinks = true, true, true
	p.rest = 4 * time.Minute
	return p
}

// oneWay keeps everything from a machine for a while; what it sends arrives.
func (w *world) oneWayFor(m *machine, d time.Duration) {
	w.note("fault: nothing reaches %s for %v", m.host, d)
	for _, c := range w.ctls {
		to := pair{c.host, m.host}
		if _, cut := w.cuts[to]; cut {
			continue
		}
		w.cuts[to] = false
		w.after(d, func() { delete(w.cuts, to) })
	}
	w.troubled(d)
}

// troubled notes that something is wrong until then.
func (w *world) troubled(d time.Duration) { w.calm = max(w.calm, w.now+d) }

// oneWays makes a part of the machines hear nothing, again and again.
func (w *world) oneWays() {
	if w.now > w.p.length-30*time.Second {
		return
	}
	if w.rng.IntN(5) == 0 { // the other way round: commands and answers pass, reports don't
		m, d := w.workers[w.rng.IntN(len(w.workers))], w.between(time.Second, 3*w.p.lease)
		w.note("fault: the reports of %s get lost for %v", m.host, d)
		m.unheard = w.now + d
		w.troubled(d)
	} else if w.rng.IntN(3) == 0 { // a fifth of them at once
		d := w.between(w.p.lease/2, 3*w.p.lease)
		for _, m := range w.workers {
			if w.rng.IntN(5) == 0 {
				w.oneWayFor(m, d)
			}
		}
	} else {
		w.oneWayFor(w.workers[w.rng.IntN(len(w.workers))], w.between(time.Second, 4*w.p.lease))
	}
	w.after(w.between(5*time.Second, 30*time.Second), w.oneWays)
}

// copyOf has copies of a message to a controller come again, from seconds to well over
// a lease later, at any controller. Nobody hears what is answered.
func (w *world) copyOf(deliver func(*ctl)) {
	if w.now > w.p.length || w.rng.IntN(6) > 0 {
		return
	}
	for range 1 + w.rng.IntN(3) {
		c := w.ctls[w.rng.IntN(len(w.ctls))]
		d := w.between(time.Second, 3*w.p.lease)
		w.troubled(d)
		w.after(d, func() { c.awake(func() { deliver(c) }) })
	}
}

// repeatOf has a request that was perhaps carried out come again, late.
func (w *world) repeatOf(deliver func()) {
	if w.now > w.p.length || w.rng.IntN(10) > 0 {
		return
	}
	d := w.between(time.Second, 3*w.p.lease)
	w.troubled(d)
	w.after(d, deliver)
}

// blinks has controllers that end be back within a fraction of a second, one or all,
// once or twice in succession.
func (w *world) blinks() {
	if w.now > w.p.length-30*time.Second {
		return
	}
	back := func() time.Duration { return w.between(50*time.Millisecond, 900*time.Millisecond) }
	hit := []*ctl{w.ctls[w.rng.IntN(len(w.ctls))]}
	switch w.rng.IntN(4) {
	case 0:
		hit = w.ctls
	case 1:
		for _, c := range w.ctls {
			if c.lead != nil {
				hit = []*ctl{c}
			}
		}
	}
	w.note("fault: %d controllers end, and are back at once", len(hit))
	for _, c := range hit {
		c.crash(back())
		if w.rng.IntN(3) == 0 {
			w.after(w.between(100*time.Millisecond, 3*time.Second), func() { c.crash(back()) })
		}
	}
	w.troubled(6 * time.Second)
	w.after(w.between(5*time.Second, 40*time.Second), w.blinks)
}

// cutOffs has controllers lose the state service and the others, but not their workers:
// one, or two at once, the leader among them or not.
func (w *world) cutOffs() {
	if w.now > w.p.length-30*time.Second {
		return
	}
	d := w.between(500*time.Millisecond, 30*time.Second)
	for range 1 + w.rng.IntN(2) {
		c := w.ctls[w.rng.IntN(len(w.ctls))]
		w.note("fault: %s loses all but its workers for %v", c.host, d)
		w.cutOff(c, d)
	}
	w.troubled(d)
	w.after(w.between(10*time.Second, 60*time.Second), w.cutOffs)
}

// backAtOnce has machines be back within a fraction of a second: with all they had, with
// their next session, without their tasks, or with numbers that begin anew.
func (w *world) backAtOnce() {
	if w.now > w.p.length-30*time.Second {
		return
	}
	m := w.workers[w.rng.IntN(len(w.workers))]
	m.hungUntil = max(m.hungUntil, w.now+w.between(50*time.Millisecond, 900*time.Millisecond))
	switch []int{0, 3}[w.rng.IntN(2)] {
	case 0:
		m.nextSession()
	case 1:
		m.cells = map[key]*attempt{}
	case 2:
		m.nextSession()
		m.session, m.seq, m.token = 1, 0, 0
	}
	w.note("fault: %s is back at once, session %d, message %d", m.host, m.session, m.seq)
	w.troubled(time.Second)
	w.after(w.between(2*time.Second, 20*time.Second), w.backAtOnce)
}

// known is for how long a job may be asked about in vain once all troubles are over.
const known = 75 * time.Second

// checkAnswered: a question about an accepted job is answered in time once all troubles,
// which begin before the day's end, are over.
func (w *world) checkAnswered(u *user) {
	if from := max(u.answeredAt, w.calm, w.p.length); u.accepted && w.p.rest > known && w.now-from > known {
		w.fail("forgotten", "job %d was not answered about for %v", u.spec.ID, w.now-from)
	}
}

// checkKnown looks, at the end, at every accepted job: it was answered about lately, and
// has run if nobody cancelled it.
func (w *world) checkKnown() {
	if w.now < w.calm+known {
		w.fail("too short", "troubles lasted until %v", w.calm)
	}
	for id, u := range w.users {
		if !u.accepted {
			continue
		}
		if vain := w.now - max(u.answeredAt, w.calm); vain > known {
			w.fail("forgotten", "job %d was not answered about for %v", id, vain)
		}
		if u.ended == "" {
			w.fail("never ran", "job %d (%+v): %d of %d tasks done", id, u.spec, len(u.done), u.spec.Tasks)
		}
	}
}

// seeds is how many days are played: HONEYLOCK_SEEDS, outside CI, or so many.
func seeds(few uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("HONEYLOCK_SEEDS"), 10, 32); err == nil {
		return n
	}
	return few
}

// TestRulesHoldThroughTheNewTroubles plays days with all kinds of failure; no rule may
// break, each job stays known, and each that nobody cancelled runs.
func TestRulesHoldThroughTheNewTroubles(t *testing.T) {
	t.Parallel()
	long := longLease()
	long.oneWay, long.copies, long.blinks, long.rest = true, true, true, 8*time.Minute
	mixed, chains := troubled(), bushy()
	mixed.mixed = true
	chains.mixed, chains.oneWay, chains.copies, chains.blinks, chains.slowDooms = true, true, true, true, time.Second
	for name, p := range map[string]params{"short lease": troubled(), "long lease": long, "two releases": mixed,
		"two releases, chains": chains} {
		for seed := range seeds(8) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				play(t, 100+seed, p)
			})
		}
	}
}

// deafToTheEnd is a day on which two of nine machines hear nothing from 20 s on, for
// good, and the leader ends half a minute later.
func deafToTheEnd() params {
	p := almatyLike()
	p.faults, p.rest = false, time.Minute
	return p
}

func playDeaf(seed uint64, p params) *world {
	w := newWorld(seed, p)
	w.after(20*time.Second, func() {
		for _, m := range w.workers[:2] {
			w.oneWayFor(m, time.Hour)
		}
	})
	for _, at := range []time.Duration{50, 110} {
		w.after(at*time.Second, func() {
			for _, c := range w.ctls {
				if c.lead != nil {
					c.crash(300 * time.Millisecond)
				}
			}
		})
	}
	w.run()
	return w
}

// TestJobsRunBesideMachinesThatHearNothing: what was on such a machine waited for ever,
// and so did all jobs of before a change of leader.
func TestJobsRunBesideMachinesThatHearNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := playDeaf(seed, deafToTheEnd())
		for _, b := range w.broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		for id, u := range w.users {
			if u.accepted && u.ended == "" {
				t.Errorf("seed %d: job %d (accepted at %v): %d of %d tasks done", seed, id, u.acceptedAt, len(u.done), u.spec.Tasks)
			}
		}
	}
}

// TestTheNewTroublesAreSeen proves the checks once more: with a guard broken, some day
// must break a rule.
func TestTheNewTroublesAreSeen(t *testing.T) {
	t.Parallel()
	for name, breakIt := range map[string]func(*params){
		"copies of reports are taken for new": func(p *params) { p.believed = true },
		"leases are taken for over too early": func(p *params) { p.hastyLease = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := troubled()
			breakIt(&p)
			breaks(t, 40, 100, p)
		})
	}
}

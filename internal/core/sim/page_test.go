package sim

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// The meetings of the operators' page that came later, and those of their letter. Each has
// what must have been seen on its days, and a guard without which they break a rule.

// Users look closely: nothing else happens, or a leader ends.
func quietOrEnds(w *world) time.Duration {
	if w.rng.IntN(3) == 0 {
		w.leading().crash(w.between(50*time.Millisecond, 2*time.Second))
	}
	w.cancelSome(3, 5*time.Second)
	return w.between(5*time.Second, 15*time.Second)
}

// Transactions are carried out at once, and only their answers are lost.
func answersLost(w *world) time.Duration {
	d := w.between(10*time.Second, 40*time.Second)
	w.note("meeting: answers to transactions are lost for %v", d)
	w.store.mute = w.now + d
	w.cancelSome(6, d)
	for range w.rng.IntN(3) {
		w.after(w.between(0, d), func() { w.leading().crash(w.between(100*time.Millisecond, 3*time.Second)) })
	}
	return d
}

// Every team is at its limit while jobs are cancelled whose machines are cut off or hang, and
// the leader changes.
func atLimits(w *world) time.Duration {
	d := w.between(w.p.lease/2, 2*w.p.lease)
	w.note("meeting: machines hang or are cut off for %v, cancellations, and the leader ends", d)
	for range 2 + w.rng.IntN(3) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		if w.rng.IntN(2) == 0 {
			m.hungUntil = max(m.hungUntil, w.now+w.between(time.Second, d))
			continue
		}
		for _, c := range w.ctls {
			w.cutFor(c.host, m.host, d)
		}
	}
	w.cancelSome(6, d)
	for range 1 + w.rng.IntN(2) {
		w.after(w.between(0, d), func() { w.leading().crash(w.between(100*time.Millisecond, 5*time.Second)) })
	}
	return d
}

// Jobs are cancelled in the seconds in which one controller's work changes hands.
func changesHands(w *world) time.Duration {
	var members []*ctl
	for _, c := range w.ctls {
		if c.up && c.lead == nil {
			members = append(members, c)
		}
	}
	if len(members) == 0 {
		return time.Second
	}
	c := members[w.rng.IntN(len(members))]
	d := w.between(500*time.Millisecond, 8*time.Second)
	w.note("meeting: the work of %s changes hands", c.host)
	switch w.rng.IntN(4) {
	case 0:
		c.crash(d)
	case 1:
		c.haltIn(w.rng.IntN(6), d)
	case 2:
		w.cutFor(c.host, w.leading().host, d)
	default:
		w.cutFromSiblings(c, d)
	}
	w.cancelSome(6, 5*time.Second)
	return max(d, 5*time.Second)
}

// newMachinesUp has up to n machines come up within two seconds, while some are left.
func newMachinesUp(w *world, n int) {
	for range min(n, w.p.machines+w.p.spare-len(w.workers)) {
		m := newMachine(w, model.MachineID(len(w.workers)), w.rng.IntN(3))
		m.upAt, m.leaseFrom = w.now, w.now
		w.workers = append(w.workers, m)
		w.after(w.between(0, 2*time.Second), m.tick)
	}
}

// New machines are up at once and get work while writes lag, and the leader ends.
func newMachines(w *world) time.Duration {
	newMachinesUp(w, 2)
	d := w.between(3*time.Second, 10*time.Second)
	w.note("meeting: new machines, writes lag for %v, and the leader ends", d)
	w.slow = w.now + d
	w.after(w.between(500*time.Millisecond, d), func() {
		w.leading().crash(w.between(100*time.Millisecond, 3*time.Second))
	})
	w.cancelSome(1, d)
	return d + 10*time.Second
}

// Old reports reach every controller just as a leader begins, and that leader once more when
// it has acted.
func keptForNext(w *world) time.Duration {
	w.kept = nil
	for _, m := range w.workers {
		w.kept = append(w.kept, &heldReport{m: m})
	}
	d := w.between(4*time.Second, w.p.lease+4*time.Second)
	w.note("meeting: reports are kept for the next leader, in %v", d)
	if w.rng.IntN(2) == 0 {
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.after(d/2, m.nextSession)
	}
	w.after(d, func() { w.leading().crash(w.between(100*time.Millisecond, 3*time.Second)) })
	w.cancelSome(2, d)
	return d + 10*time.Second
}

// Jobs come four a second, of one task each, and a quarter of them are cancelled; now and then
// a leader ends.
func swarms(w *world) time.Duration {
	if w.rng.IntN(3) == 0 {
		w.leading().crash(w.between(100*time.Millisecond, 2*time.Second))
	}
	return w.between(15*time.Second, 40*time.Second)
}

// Machines reach no controller, while commands reach them.
func mutes(w *world) time.Duration {
	d := w.between(time.Second, 3*w.p.lease)
	for range 1 + w.rng.IntN(3) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.note("meeting: the reports of %s get lost for %v", m.host, d)
		m.unheard = w.now + d
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.between(0, d), func() { w.leading().crash(w.between(100*time.Millisecond, 3*time.Second)) })
	}
	w.cancelSome(3, d)
	return d
}

// Leaders change again and again, on some days inside an outage.
func tenChanges(w *world) time.Duration {
	w.note("meeting: twelve leaders in a row")
	var at time.Duration
	for range 12 {
		at += w.between(4*time.Second, 9*time.Second)
		w.after(at, func() { w.leading().crash(w.between(50*time.Millisecond, time.Second)) })
	}
	if w.rng.IntN(2) == 0 {
		from := w.between(0, at)
		w.after(from, func() { w.store.out = true })
		w.after(from+w.between(time.Second, 15*time.Second), func() { w.store.back() })
	}
	w.cancelSome(4, at)
	return at + 15*time.Second
}

// A zone with its workers and a controller is cut off from all else.
func zoneIsCut(w *world) time.Duration {
	z := &zoneCut{zone: model.Name(w.rng.IntN(3)), in: w.ctls[w.rng.IntN(len(w.ctls))]}
	d := w.between(w.p.lease/2, 3*w.p.lease)
	w.note("meeting: zone %d is cut off with %s for %v", z.zone, z.in.host, d)
	w.cutOff(z.in, d)
	for _, m := range w.workers {
		for _, c := range w.ctls {
			if (c == z.in) != z.holds(m) {
				w.cutFor(c.host, m.host, d)
			}
		}
	}
	w.zoneCut = z
	w.after(d, func() {
		w.zoneCut = nil
		if d > w.p.lease {
			w.saw("a zone is cut off for longer than the lease")
		}
	})
	w.cancelSome(5, d)
	return d
}

// All controllers are away, for about the lease or for longer.
func allAway(w *world) time.Duration {
	d := w.between(w.p.lease/2, 2*w.p.lease)
	w.note("meeting: all controllers are away for %v", d)
	for _, c := range w.ctls {
		c.crash(d + w.between(0, 2*time.Second))
	}
	return d + 5*time.Second
}

// Jobs that run and have long to go are cancelled at once, and their machines hang.
func cancelledAndHung(w *world) time.Duration {
	d := w.between(w.p.lease/3, w.p.lease*3/2)
	w.note("meeting: cancelled, and machines hang for %v", d)
	w.cancelSome(8, 200*time.Millisecond)
	for range 1 + w.rng.IntN(4) {
		w.after(w.between(0, 400*time.Millisecond), func() {
			m := w.workers[w.rng.IntN(len(w.workers))]
			m.hungUntil = max(m.hungUntil, w.now+d)
		})
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.between(0, d), func() { w.leading().crash(w.between(100*time.Millisecond, 3*time.Second)) })
	}
	return d
}

// Machines with tasks of jobs that are bound to a zone are lost.
func zoneLoses(w *world) time.Duration {
	for range 1 + w.rng.IntN(3) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		if u, _ := w.heldBy(m); u != nil && (u.spec.SameZone || u.spec.Zone != model.None) {
			w.saw("a machine with tasks bound to a zone is lost")
		}
		if w.rng.IntN(2) == 0 {
			m.restart()
		} else {
			m.hungUntil = max(m.hungUntil, w.now+w.between(time.Second, 2*w.p.lease))
		}
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.between(0, 3*time.Second), func() { w.leading().crash(w.between(100*time.Millisecond, 3*time.Second)) })
	}
	return w.between(5*time.Second, 20*time.Second)
}

// There is more work than room, urgent and not, over slow links.
func crowd(w *world) time.Duration {
	if w.atLimit(0) && w.atLimit(1) {
		w.saw("every team is at its limit")
	}
	return w.between(5*time.Second, 15*time.Second)
}

// encounter is a kind of meeting with the days that it comes on.
type encounter struct {
	meet  meeting
	day   func(*params) // what else such a day has
	seen  []string      // must have been seen, on some day
	guard func(*params) // without it, some day breaks a rule
}

// heavy days offer more work than teams may have at work.
func heavy(p *params) { p.heavy, p.jobs, p.rest = true, 26, 16*time.Minute }

func hastyLease(p *params) { p.hastyLease = true }
func forgets(p *params)    { p.forgetRecords = true }
func unguarded(p *params)  { p.unguarded = true }
func believed(p *params)   { p.believed = true }
func early(p *params)      { p.trustOldEnd, p.freeOnLoss = true, true }

var later = map[string]encounter{
	"close looks": {quietOrEnds, func(p *params) { p.looks = true },
		[]string{"asked within milliseconds of an answer"}, func(p *params) { p.sharedAnswers = true }},
	"answer lost": {answersLost, func(p *params) { p.looks = true },
		[]string{"a transaction is done, its answer lost", "others read what was done without an answer"}, unguarded},
	"at limits": {atLimits, heavy,
		[]string{"cancelled with its team at its limit", "a leader begins while a machine with tasks can't be asked",
			"... and its team is at its limit", "cancelled with a task on a machine that hangs",
			"cancelled with a task out of reach"}, hastyLease},
	"changes hands": {changesHands, nil, []string{"cancelled while work changes hands"}, early},
	"new machines": {newMachines, func(p *params) {
		heavy(p)
		p.machines, p.spare = 4, 12
	},
		[]string{"the leader ends just after a new machine got work"}, forgets},
	"kept for the next leader": {keptForNext, nil, []string{"an old report as a leader begins",
		"a report held back until a new leader has acted", "a report of an earlier session"}, believed},
	"swarm": {swarms, func(p *params) { p.swarm, p.apart, p.jobs = true, false, 400 }, []string{"cancelled"}, unguarded},
	"at the end": {quietOrEnds, func(p *params) { p.atEnd = true }, []string{"at the end of a last task",
		"cancelled as a task ends"}, unguarded},
	"mute":        {mutes, nil, []string{"a command reaches a machine whose reports don't"}, hastyLease},
	"ten changes": {tenChanges, nil, []string{"ten leaders in two minutes"}, forgets},
	"zone cut off": {zoneIsCut, nil, []string{"a zone is cut off for longer than the lease",
		"cancelled outside, with a task in a zone that is cut off"}, early},
	"all away": {allAway, nil, []string{"no controller for longer than the lease"}, forgets},
	"cancelled and hung": {cancelledAndHung, heavy,
		[]string{"cancelled with a task on a machine that hangs"}, hastyLease},
	"one zone loses machines": {zoneLoses, func(p *params) { p.zoned = true },
		[]string{"a machine with tasks bound to a zone is lost"}, hastyLease},
	"crowd": {crowd, func(p *params) {
		heavy(p)
		p.jobs, p.slowLinks = 60, 150*time.Millisecond
		if p.cancel > time.Minute { // tasks run for as long, and all are to be done by the day's end
			p.jobs = 36
		}
	},
		[]string{"every team is at its limit"}, func(p *params) { p.noFloor = true }},
}

func (e *encounter) params(p params) params {
	p = met(p, e.meet)
	p.beside = true
	if e.day != nil {
		e.day(&p)
	}
	return p
}

// TestRulesHoldInLaterMeetings plays days of each of these kinds with short leases and long
// ones, and wants each to have happened.
func TestRulesHoldInLaterMeetings(t *testing.T) {
	t.Parallel()
	for name, e := range later {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seen := map[string]int{}
			for lease, p := range map[string]params{"short lease": almatyLike(), "long lease": longLease()} {
				for seed := range seeds(2) {
					w := newWorld(6000+seed, e.params(p))
					w.run()
					for _, b := range w.broken {
						t.Errorf("%s, seed %d: %s", lease, seed, b)
					}
					for what, n := range w.seen {
						seen[what] += n
					}
				}
			}
			for _, what := range e.seen {
				if seen[what] == 0 {
					t.Errorf("never seen: %s", what)
				}
			}
			t.Logf("%v", seen)
		})
	}
}

// TestLaterMeetingsAreSeen proves the checks: with a guard broken, some day breaks a rule.
func TestLaterMeetingsAreSeen(t *testing.T) {
	t.Parallel()
	for name, e := range later {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := e.params(almatyLike())
			e.guard(&p)
			breaks(t, 60, 6000, p)
		})
	}
}

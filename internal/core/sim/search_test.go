package sim

import (
	"fmt"
	"testing"
	"time"
)

// A schedule search: of two troubles that meet the second begins at every boundary of the
// first, before and after each message of a controller's and at each of its ticks, not at a
// drawn time only.

// boundary counts one; at the one that is searched the second trouble begins.
func (w *world) boundary() {
	w.acted = true
	if w.search == 0 {
		return
	}
	if w.search--; w.search == 0 {
		w.after(0, w.second) // a process does not end within its own step
	}
}

// story is a meeting: what happens first, and what at a boundary after it.
type story struct {
	first, second func(w *world)
	boundaries    int           // within which the second may begin
	day           func(*params) // what else such a day has
}

func outFor(extra time.Duration) func(w *world) {
	return func(w *world) {
		w.note("the store is out")
		w.store.out = true
		w.after(w.p.cancel+extra, w.store.back)
	}
}

func leaderEnds(w *world) {
	w.note("the leader ends")
	w.leading().crash(300 * time.Millisecond)
}

func allEnd(w *world) {
	w.note("all end, one is back at once")
	for i, c := range w.ctls {
		c.crash(300*time.Millisecond + time.Duration(i)*4*time.Second)
	}
}

func refusedAlone(w *world) {
	c := w.leading()
	w.note("%s is refused alone", c.host)
	w.store.refuses[c.host] = w.now + 14*time.Second
	w.cancelSome(4, time.Second)
}

func cutOffAlone(w *world) {
	c := w.leading()
	w.note("%s loses all but its workers", c.host)
	w.cutOff(c, 20*time.Second)
	w.cancelSome(4, 4*time.Second)
}

func lateForAWhile(w *world) {
	w.note("transactions are late")
	w.store.late = w.now + 20*time.Second
	w.cancelSome(4, 4*time.Second)
}

func lostForAWhile(w *world) {
	w.note("answers to transactions are lost")
	w.store.mute = w.now + 20*time.Second
	w.cancelSome(4, 4*time.Second)
}

func memberGoes(w *world) {
	for _, c := range w.ctls {
		if c.lead == nil && c.up {
			w.note("%s loses the others", c.host)
			w.cutFromSiblings(c, 5*time.Second)
			return
		}
	}
}

func cancelledNow(w *world) { w.cancelSome(6, 0) }

func machinesCome(w *world) {
	newMachinesUp(w, 2)
	w.slow = w.now + 8*time.Second
}

// toldInTheGap is the gap with cancellations, and an outage longer than they may take.
func toldInTheGap(w *world) {
	refusedAlone(w)
	w.after(1500*time.Millisecond, func() { outFor(20 * time.Second)(w) })
}

// tellerEnds: whoever last told a user ends, and is back at once with a clock that begins anew.
func tellerEnds(w *world) {
	if w.teller != nil {
		w.note("%s ends, which told a user last", w.teller.host)
		w.teller.crash(300 * time.Millisecond)
	}
}

func leaderStands(w *world) { w.leading().haltIn(0, 8*time.Second) }

func linksBreak(w *world) {
	w.note("the links to the leader break")
	w.cutFromSiblings(w.leading(), 4*time.Second)
}

func fiveControllers(p *params) { p.controllers = 5 }

// The boundaries reach from the first trouble over the change of leader that follows it, with
// the new leader's reading of the store, to some seconds after it.
var stories = map[string]story{
	"refused alone, then out for all":           {refusedAlone, outFor(20 * time.Second), 1500, nil},
	"refused alone, then the leader ends":       {refusedAlone, leaderEnds, 1500, nil},
	"cut off with its workers, then out":        {cutOffAlone, outFor(20 * time.Second), 1500, nil},
	"cut off with its workers, then all end":    {cutOffAlone, allEnd, 1500, nil},
	"the leader ends, then out":                 {leaderEnds, outFor(20 * time.Second), 1500, nil},
	"the leader ends, then the next one":        {leaderEnds, leaderEnds, 1500, nil},
	"late writes, then the leader ends":         {lateForAWhile, leaderEnds, 1500, nil},
	"out, then the leader ends":                 {outFor(0), leaderEnds, 600, nil},
	"work changes hands, then cancelled":        {memberGoes, cancelledNow, 1500, nil},
	"new machines, then the leader ends":        {machinesCome, leaderEnds, 1000, func(p *params) { p.spare = 2 }},
	"answers lost, then the leader ends":        {lostForAWhile, leaderEnds, 1500, nil},
	"told in the gap, then the teller ends":     {toldInTheGap, tellerEnds, 1500, nil},
	"told in the gap, then the leader ends":     {toldInTheGap, leaderEnds, 1500, fiveControllers},
	"told in the gap, then the leader stands":   {toldInTheGap, leaderStands, 1500, nil},
	"told in the gap, then links break":         {toldInTheGap, linksBreak, 1500, fiveControllers},
	"told in the gap by two releases, then end": {toldInTheGap, tellerEnds, 1500, func(p *params) { p.mixed = true }},
}

func fewMachines() params {
	p := almatyLike()
	p.machines, p.jobs, p.length, p.rest = 5, 14, time.Minute, 5*time.Minute
	p.faults, p.apart = false, true
	return p
}

func playStory(t *testing.T, s story, seed uint64, p params, boundary int) {
	t.Helper()
	w := newWorld(seed, p)
	w.second = func() { s.second(w) }
	w.after(45*time.Second, func() {
		w.troubled(2 * time.Minute)
		w.search = boundary
		s.first(w)
	})
	w.run()
	for _, b := range w.broken {
		t.Errorf("boundary %d of seed %d: %s", boundary, seed, b)
	}
}

// TestASecondTroubleAtEachBoundary plays every so manieth boundary in CI; outside it, with
// HONEYLOCK_SEEDS set, each.
func TestASecondTroubleAtEachBoundary(t *testing.T) {
	t.Parallel()
	step := 97
	if seeds(0) > 0 {
		step = 1
	}
	for name, s := range stories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := fewMachines()
			if s.day != nil {
				s.day(&p)
			}
			for n := 1; n <= s.boundaries; n += step {
				playStory(t, s, 4000+uint64(n%7), p, n)
			}
		})
	}
}

// bounded are a deployment's times, with the staleness bound that the settings give it.
func bounded(report, lease, cancel time.Duration) params {
	p := met(almatyLike(), refusedThenOut)
	p.report, p.lease, p.cancel = report, lease, cancel
	p.staleness = max(100*time.Millisecond, (cancel-p.lease*1002/1000-1250*time.Millisecond)*9/10)
	p.ttl = min(3*time.Second, p.staleness)
	p.rest = 10 * time.Minute
	return p
}

// TestFromToldToGone: in the gap, the longest time from when a user was told of a
// cancellation until its last task was gone stays below cancel_s, for both deployments' times
// and for a cancel_s barely above the lease; with a leader of the release before as well,
// which knows nothing of what members told.
func TestFromToldToGone(t *testing.T) {
	t.Parallel()
	for name, p := range map[string]params{
		"short":  bounded(3*time.Second, 17500*time.Millisecond, 47500*time.Millisecond),
		"long":   bounded(8*time.Second, 42*time.Second, 67*time.Second),
		"barely": bounded(time.Second, 30*time.Second, 33*time.Second),
	} {
		for _, mixed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/mixed=%v", name, mixed), func(t *testing.T) {
				t.Parallel()
				p := p // the two run at once
				p.mixed = mixed
				var longest time.Duration
				for seed := range seeds(3) {
					longest = max(longest, play(t, 5000+seed, p).longest)
				}
				t.Logf("longest %v of %v", longest, p.cancel)
				if longest >= p.cancel || longest == 0 {
					t.Errorf("longest %v of %v", longest, p.cancel)
				}
			})
		}
	}
}

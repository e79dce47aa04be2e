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

// Meetings of troubles: two at the same moment, each harmless on its own. A day has one
// kind of meeting, again and again, with its own times each time; all else is as ever.

// meeting brings two troubles about at once, and tells how long both last.
type meeting func(w *world) time.Duration

// met has a meeting come again and again. Jobs are of few tasks that end far apart, and
// many are cancelled around the meetings.
func met(p params, m meeting) params {
	p.faults, p.meets, p.apart, p.rest = false, m, true, 6*time.Minute
	p.jobs = 40
	return p
}

// farApart makes a job one of two or three tasks, each of which runs for long after the
// one before it; or one that runs for longer than a cancellation may take.
func (w *world) farApart(u *user) {
	u.spec.Tasks = int32(2 + w.rng.IntN(2))
	u.spec.Estimate = w.between(10*time.Second, 40*time.Second)
	if w.rng.IntN(2) == 0 {
		u.spec.Tasks, u.spec.Estimate = int32(1+w.rng.IntN(6)), w.p.cancel+w.between(time.Second, w.p.cancel/2)
	}
}

// runsFor is how long a task of such a job runs.
func (w *world) runsFor(u *user, no int32) time.Duration {
	if u.spec.Estimate > w.p.cancel {
		return u.spec.Estimate
	}
	return time.Second + u.spec.Estimate*time.Duration(no)
}

func (w *world) meet() {
	if w.now > w.p.length-20*time.Second {
		return
	}
	d := w.p.meets(w)
	w.troubled(d)
	w.after(d+w.between(5*time.Second, 20*time.Second), w.meet)
}

// leading is the controller that leads, or any.
func (w *world) leading() *ctl {
	for _, c := range w.ctls {
		if c.up && c.lead != nil {
			return c
		}
	}
	return w.ctls[w.rng.IntN(len(w.ctls))]
}

// cancelSome has users cancel up to n jobs, those with tasks on machines first.
func (w *world) cancelSome(n int, within time.Duration) {
	on := map[model.JobID]bool{}
	for _, m := range w.workers {
		for k, a := range m.cells {
			on[k.t.Job] = on[k.t.Job] || a.on
		}
	}
	var ids []model.JobID
	for id := range w.p.jobs {
		u := w.users[model.JobID(id)]
		if u != nil && u.accepted && u.ended == "" && !u.wants && u.spec.Estimate > w.p.cancel {
			ids = append(ids, u.spec.ID)
		}
	}
	slices.SortStableFunc(ids, func(a, b model.JobID) int {
		switch {
		case on[a] == on[b]:
			return 0
		case on[a]:
			return -1
		}
		return 1
	})
	for _, id := range ids[:min(n, len(ids))] {
		w.after(w.between(0, within), func() {
			u := w.users[id]
			u.wants = true
			w.ask(u, jobs.Withdraw)
		})
	}
}

// A leader loses the state service and its siblings, not its workers and users, and jobs
// are cancelled through the next one.
func leaderCutOff(w *world) time.Duration {
	c, d := w.leading(), w.between(2*time.Second, 2*w.p.lease)
	w.note("meeting: %s loses all but its workers for %v", c.host, d)
	w.cutOff(c, d)
	w.cancelSome(5, d)
	return d
}

// Controllers hand over and back, then all end; one is back within a second, the others
// later.
func handOvers(w *world) time.Duration {
	w.note("meeting: hand over, and back, then all end")
	gap := w.between(200*time.Millisecond, 5*time.Second)
	for i := range 3 {
		w.after(time.Duration(i)*gap, func() { w.leading().crash(w.between(50*time.Millisecond, 2*time.Second)) })
	}
	w.after(3*gap, func() {
		first := w.rng.IntN(len(w.ctls))
		for i, c := range w.ctls {
			if i == first {
				c.crash(w.between(50*time.Millisecond, 900*time.Millisecond))
			} else {
				c.crash(w.between(time.Second, 15*time.Second))
			}
		}
	})
	w.cancelSome(4, 4*gap)
	return 3*gap + 15*time.Second
}

// refusedThenOut is the gap: the state service refuses the leader alone, others confirm
// cancellations, then it is out for all, for longer than these may take.
func refusedThenOut(w *world) time.Duration {
	c, alone := w.leading(), w.between(500*time.Millisecond, 6*time.Second)
	out := w.p.cancel + w.between(5*time.Second, 15*time.Second)
	w.note("meeting: %s is refused alone, after %v all are, for %v", c.host, alone, out)
	w.store.refuses[c.host] = w.now + alone + w.between(0, out)
	w.cancelSome(6, alone)
	for range w.rng.IntN(3) { // machines that are reached again in the outage only
		m := w.workers[w.rng.IntN(len(w.workers))]
		d := w.between(alone, alone+w.p.lease)
		for _, o := range w.ctls {
			w.cutFor(o.host, m.host, d)
		}
	}
	w.after(alone, func() {
		w.saw("out for all after a refusal")
		w.store.out = true
	})
	w.after(alone+out, func() { w.store.back() })
	return alone + out
}

// The state service is slow, and carries transactions out late.
func slowStore(w *world) time.Duration {
	d := w.between(5*time.Second, 30*time.Second)
	w.note("meeting: the store is slow for %v", d)
	w.slow = w.now + d
	w.cancelSome(4, d)
	w.after(w.between(0, d), func() { w.leading().crash(w.between(100*time.Millisecond, 5*time.Second)) })
	return d
}

// A part of the transactions is carried out late, and leaders end meanwhile.
func lateWrites(w *world) time.Duration {
	d := w.between(10*time.Second, 40*time.Second)
	w.note("meeting: transactions are late for %v", d)
	w.store.late = w.now + d
	w.cancelSome(4, d)
	for range 1 + w.rng.IntN(3) {
		w.after(w.between(0, d), func() { w.leading().crash(w.between(100*time.Millisecond, 3*time.Second)) })
	}
	return d + 12*time.Second
}

// Jobs of few tasks end far apart, and leaders change in between.
func changes(w *world) time.Duration {
	w.note("meeting: the leader ends")
	w.leading().crash(w.between(100*time.Millisecond, 5*time.Second))
	w.cancelSome(1, time.Second)
	return w.between(5*time.Second, 15*time.Second)
}

// Old reports come after newer ones, of earlier sessions and attempts too.
func oldReports(w *world) time.Duration {
	m := w.workers[w.rng.IntN(len(w.workers))]
	w.note("meeting: %s begins a new session, with copies of its reports under way", m.host)
	w.after(w.between(0, 2*time.Second), m.nextSession)
	w.after(w.between(0, 4*time.Second), func() { w.leading().crash(w.between(100*time.Millisecond, 3*time.Second)) })
	w.cancelSome(1, time.Second)
	return w.between(5*time.Second, 15*time.Second)
}

// The leader ends while some machines can't be reached, or hear nothing.
func outOfReach(w *world) time.Duration {
	d := w.between(w.p.lease/2, 3*w.p.lease)
	for range 1 + w.rng.IntN(3) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		if w.rng.IntN(2) == 0 {
			w.oneWayFor(m, d)
			continue
		}
		w.note("fault: nobody reaches %s for %v", m.host, d)
		for _, c := range w.ctls {
			w.cutFor(c.host, m.host, d)
		}
	}
	w.after(w.between(0, d/2), func() { w.leading().crash(w.between(100*time.Millisecond, 5*time.Second)) })
	w.cancelSome(3, d)
	return d
}

// Commands and answers are held up for seconds, and their machines then go on.
func heldUp(w *world) time.Duration {
	d := w.between(5*time.Second, 30*time.Second)
	for range 1 + w.rng.IntN(4) {
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.note("meeting: what goes to %s is held up for %v", m.host, d)
		for _, c := range w.ctls {
			w.holdsUp[pair{c.host, m.host}] = w.now + d
		}
		if w.rng.IntN(2) == 0 {
			w.after(w.between(0, d), func() { m.hungUntil = w.now + w.between(time.Second, w.p.lease) })
		}
	}
	w.cancelSome(4, d)
	if w.rng.IntN(2) == 0 {
		w.after(w.between(0, d), func() { w.leading().crash(w.between(100*time.Millisecond, 3*time.Second)) })
	}
	return d + 2*w.p.lease
}

// sights are what the days of each kind must have seen.
var sights = map[string][]string{
	"leader cut off":     {"cancelled through another than the one cut off"},
	"hand over and back": {"all controllers end", "one is back within a second"},
	"the gap":            {"cancelled while another controller is refused alone", "out for all after a refusal"},
	"slow store":         {"cancelled while the store is slow"},
	"tasks far apart":    {"a leader begins between the ends of a job's tasks"},
	"old reports":        {"a copy of an earlier session", "a copy after a newer report"},
	"out of reach":       {"a leader begins while a machine with tasks can't be asked"},
	"late writes":        {"a transaction is carried out late"},
	"held up":            {"a command arrives seconds late"},
}

var meetings = map[string]meeting{
	"leader cut off":     leaderCutOff,
	"hand over and back": handOvers,
	"the gap":            refusedThenOut,
	"slow store":         slowStore,
	"tasks far apart":    changes,
	"old reports":        oldReports,
	"out of reach":       outOfReach,
	"late writes":        lateWrites,
	"held up":            heldUp,
}

// twoAtOnce has two kinds of meeting overlap.
func twoAtOnce(w *world) time.Duration {
	names := slices.Sorted(maps.Keys(meetings))
	var last time.Duration
	for range 2 {
		m, at := meetings[names[w.rng.IntN(len(names))]], w.between(0, 20*time.Second)
		w.after(at, func() { w.troubled(m(w)) })
		last = max(last, at)
	}
	return last + w.between(5*time.Second, 60*time.Second)
}

// TestRulesHoldWhereMeetingsMeet plays days on which the kinds of meeting overlap, beside
// all random troubles.
func TestRulesHoldWhereMeetingsMeet(t *testing.T) {
	t.Parallel()
	for lease, p := range map[string]params{"short lease": almatyLike(), "long lease": longLease()} {
		p = met(p, twoAtOnce)
		p.copies, p.faults, p.rest = true, true, 8*time.Minute
		for seed := range seeds(3) {
			t.Run(fmt.Sprintf("%s/%d", lease, seed), func(t *testing.T) {
				t.Parallel()
				play(t, 2000+seed, p)
			})
		}
	}
}

// TestRulesHoldWhereTroublesMeet plays days of each kind of meeting with short leases and
// long ones; no rule may break, and each job is known and runs.
func TestRulesHoldWhereTroublesMeet(t *testing.T) {
	t.Parallel()
	for name, m := range meetings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seen := map[string]int{}
			for _, p := range []params{almatyLike(), longLease()} {
				p = met(p, m)
				p.copies = name == "old reports"
				for seed := range seeds(2) {
					for what, n := range play(t, 1000+seed, p).seen {
						seen[what] += n
					}
				}
			}
			for _, what := range sights[name] {
				if seen[what] == 0 {
					t.Errorf("never seen: %s, of %v", what, seen)
				}
			}
		})
	}
}

// TestMeetingsAreSeen proves the checks: with the guard broken that a meeting tries, some
// day must break a rule.
func TestMeetingsAreSeen(t *testing.T) {
	t.Parallel()
	old := func(p *params) { p.trustOldEnd, p.freeOnLoss = true, true }
	for name, breakIt := range map[string]func(*params){
		"leader cut off":     old,
		"hand over and back": old,
		"the gap":            func(p *params) { p.mum = true },
		"slow store":         func(p *params) { p.unguarded = true },
		"tasks far apart":    func(p *params) { p.forgetRecords = true },
		"old reports":        func(p *params) { p.believed = true },
		"out of reach":       func(p *params) { p.hastyLease = true },
		"late writes":        func(p *params) { p.unguarded = true },
		"held up":            func(p *params) { p.anyToken = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := met(almatyLike(), meetings[name])
			p.copies = name == "old reports"
			breakIt(&p)
			breaks(t, 60, 1000, p)
		})
	}
}

// TestWorkGoesOnThroughTheGap: while all controllers live and hear each other, what runs goes
// on through an outage of any length, and what is cancelled goes.
func TestWorkGoesOnThroughTheGap(t *testing.T) {
	t.Parallel()
	p := longLease()
	p.faults, p.apart, p.jobs, p.length, p.rest = false, true, 30, 4*time.Minute, 8*time.Minute
	for seed := range 3 * seeds(3) {
		// The outage begins at any moment before the leader's lease, 3 s and more, is over.
		alone := time.Duration([]int{1500, 2600, 2700}[seed%3]) * time.Millisecond
		w := newWorld(3000+seed/3, p)
		w.after(70*time.Second, func() {
			w.store.refuses[w.leading().host] = w.now + 14*time.Second
			w.cancelSome(6, 1500*time.Millisecond)
		})
		w.after(70*time.Second+alone, func() { w.store.out = true })
		w.after(70*time.Second+alone+p.cancel+p.lease, func() { w.store.back() })
		w.run()
		for _, b := range w.broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		for _, m := range w.workers {
			if m.session > 1 {
				t.Errorf("seed %d: %s lost all it had: session %d", seed, m.host, m.session)
			}
		}
		gone := 0
		for _, u := range w.users {
			if u.ended == jobs.Cancelled {
				gone++
			}
		}
		if gone == 0 {
			t.Errorf("seed %d: nothing was cancelled", seed)
		}
	}
}

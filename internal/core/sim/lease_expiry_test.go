package sim

import (
	"fmt"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// Machines' leases expire while the network holds their reports back. When the network delivers them,
// a controller first reads reports of sessions that it has already settled, and then the first report
// of the current session. Teams are at their limits and jobs are bound to zones, so a task that counts
// as free and is started because of such a report violates a rule.

// shapeAtLimits makes a job one of several tasks that each need a quarter of a machine. A third of the
// jobs keep their tasks in one zone, a third have a fixed zone.
func (w *world) shapeAtLimits(sp *model.Spec) {
	sp.Tasks = int32(3 + w.rng.IntN(6))
	sp.PerTask = model.Request(4, 0, 4)
	sp.Estimate = w.randomDuration(8*time.Second, 30*time.Second)
	sp.Spread, sp.SameZone, sp.Zone = false, false, model.None
	switch sp.ID % 3 {
	case 0:
		sp.SameZone = true
	case 1:
		sp.Zone = model.Name(w.rng.IntN(3))
	}
}

// jobsAtLimitsParams has both teams submit more work than their limits allow.
func jobsAtLimitsParams(p params) params {
	p.faults, p.jobsAtLimits, p.checkEachStep = false, true, true
	p.jobs, p.duration, p.quietPeriod = 60, 4*time.Minute, 6*time.Minute
	return p
}

// cutMachine cuts a machine off from all controllers for d. Messages are held back and delivered at
// the end if hold is true, otherwise dropped.
func (w *world) cutMachine(m *machine, hold bool, d time.Duration) {
	for _, c := range w.controllers {
		if _, cut := w.cuts[hostPair{c.host, m.host}]; cut {
			continue
		}
		w.cut(c.host, m.host, hold)
		w.after(d, func() { w.heal(c.host, m.host) })
	}
}

// longerThanLease draws the length of a fault that ends 2 to 20 s after the leases that it let expire.
func (w *world) longerThanLease() time.Duration {
	return w.params.lease + w.randomDuration(2*time.Second, 20*time.Second)
}

// zoneCutPastLease cuts a whole zone off from all controllers for longer than a lease.
func zoneCutPastLease(w *world) time.Duration {
	zone, d, hold := model.Name(w.rng.IntN(3)), w.longerThanLease(), w.rng.IntN(4) > 0
	w.logf("scenario: zone %d is cut off for %v, hold %v", zone, d, hold)
	for _, m := range w.workers {
		if m.Zone == zone {
			w.cutMachine(m, hold, d)
		}
	}
	w.observeHeldPastLease(hold)
	w.maybeControllerFault(d)
	return d
}

// machinesUnreachablePastLease makes single machines hang or lose all controllers, in one or both
// directions, each for longer than a lease.
func machinesUnreachablePastLease(w *world) time.Duration {
	var longest time.Duration
	for range 2 + w.rng.IntN(4) {
		m, d := w.workers[w.rng.IntN(len(w.workers))], w.longerThanLease()
		longest = max(longest, d)
		switch w.rng.IntN(4) {
		case 0:
			w.logf("scenario: %s hangs for %v", m.host, d)
			m.hungUntil = max(m.hungUntil, w.now+d)
		case 1:
			w.cutInboundFor(m, d)
		case 2:
			w.logf("scenario: the reports of %s are lost for %v", m.host, d)
			m.reportsLostUntil = w.now + d
		default:
			hold := w.rng.IntN(4) > 0
			w.logf("scenario: %s is cut off for %v, hold %v", m.host, d, hold)
			w.cutMachine(m, hold, d)
			w.observeHeldPastLease(hold)
		}
	}
	w.maybeControllerFault(longest)
	return longest
}

// observeHeldPastLease observes that a cut holds reports for longer than a lease.
func (w *world) observeHeldPastLease(hold bool) {
	if hold {
		w.observe("reports are held for longer than the lease")
	}
}

// maybeControllerFault adds, in five of eight cases, a controller fault within the next d: a crash, a
// pause, the loss of the other controllers, or late direct commands.
func (w *world) maybeControllerFault(d time.Duration) {
	at := w.randomDuration(0, d+2*time.Second)
	c := w.controllers[w.rng.IntN(len(w.controllers))]
	switch w.rng.IntN(8) {
	case 0:
		w.after(at, func() { w.currentLeader().crash(w.randomDuration(100*time.Millisecond, 5*time.Second)) })
	case 1:
		w.after(at, func() { c.crash(w.randomDuration(100*time.Millisecond, 5*time.Second)) })
	case 2:
		w.after(at, func() { c.pauseAfter(w.rng.IntN(6), w.randomDuration(500*time.Millisecond, 20*time.Second)) })
	case 3:
		w.after(at, func() { w.cutFromSiblings(c, w.randomDuration(time.Second, 10*time.Second)) })
	case 4:
		until := w.now + d + 16*time.Second
		for _, m := range w.workers {
			w.delayedUntil[hostPair{c.host, m.host}] = until
		}
	}
	w.cancelJobs(1, d)
}

const (
	// accountingEvery is the interval of accounting checks in runs without checkEachStep. Checks after
	// each step make a run four times as long.
	accountingEvery = 2 * time.Second
	never           = time.Duration(1<<63 - 1) // no checks: runs with a broken guard must violate another rule
)

// checkAccounting compares what shards hold and what machines run with what the leader charges to
// teams.
func (w *world) checkAccounting() {
	l := w.newestLeader()
	if l == nil {
		return
	}
	l.checkShard(l.c.local, l.localID)
	for id, k := range l.links {
		if member := k.member; !k.closed && member.c.running && member.c.local == member && member.l == l {
			l.checkShard(member, id)
		}
	}
	l.checkCharges()
	for _, m := range w.workers {
		if w.now-m.leaseStart > w.params.lease || m.returned {
			continue // its lease is over or it was returned: it runs nothing
		}
		for k, a := range m.attempts {
			if a.active && !l.dispatcher.IsCharged(k.task, k.attempt, m.ID) {
				w.fail("accounting", "task %v runs on %s in attempt %d, and counts against no limit", k.task, m.host, k.attempt)
			}
		}
	}
}

// checkCharges checks that charges are within the limits of teams and zones. Limits do not change in
// these runs, and charges of an earlier leader were within them.
func (l *leadership) checkCharges() {
	w := l.c.w
	for team, st := range l.dispatcher.TeamStatus() {
		if st.Used.CPU > st.Limit.CPU {
			w.fail("accounting", "%d are charged to team %d, of %d", st.Used.CPU, team, st.Limit.CPU)
		}
	}
	for id, u := range w.users {
		if !u.spec.SameZone {
			continue
		}
		if zones := l.dispatcher.AssignedByZone(id); len(zones) > 1 {
			w.fail("accounting", "job %d, whose tasks stay together, is charged to zones %v", id, zones)
		}
	}
}

// checkShard checks that each task that a shard holds is charged to it.
func (l *leadership) checkShard(local *localShard, id model.ShardID) {
	local.shard.ForEachTask(func(t model.Task) {
		if !l.dispatcher.IsAssigned(t, id) {
			l.c.w.fail("accounting", "shard %d of %s holds task %v, which is not charged to it", id, local.c.host, t)
		}
	})
}

// newestLeader returns the leader of the newest term that has read the store; nil if there is none.
func (w *world) newestLeader() (newest *leadership) {
	for _, c := range w.controllers {
		if l := c.leadership; c.running && l != nil && l.loaded && c.election.Leading(c.now()) &&
			(newest == nil || l.term > newest.term) {
			newest = l
		}
	}
	return newest
}

// leaseExpiryScenarios are faults that outlast machines' leases.
var leaseExpiryScenarios = map[string]scenario{
	"zone":     zoneCutPastLease,
	"machines": machinesUnreachablePastLease,
}

// TestRulesHoldWhenMachinesReturnAfterLeaseExpiry runs simulations in which machines return 2 to 20 s
// after the ends of their leases, with the messages that they had sent before.
func TestRulesHoldWhenMachinesReturnAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	for name, scenario := range leaseExpiryScenarios {
		for lease, p := range map[string]params{"short lease": shortLeaseParams(), "long lease": longLeaseParams()} {
			t.Run(name+"/"+lease, func(t *testing.T) {
				t.Parallel()
				p := jobsAtLimitsParams(p)
				p.scenario = scenario
				held := 0
				for seed := range seedCount(6) {
					t.Run(fmt.Sprint(seed), func(t *testing.T) {
						held += runSimulation(t, 7000+seed, p).observed["reports are held for longer than the lease"]
					})
				}
				if held == 0 {
					t.Error("never observed: reports that are held for longer than the lease")
				}
			})
		}
	}
}

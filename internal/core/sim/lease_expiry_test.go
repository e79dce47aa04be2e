package sim

import (
	"fmt"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// Machines whose leases end while the network holds their reports back. Once it delivers them,
// a controller reads reports of sessions that it has already settled, in front of the first
// report of the present one. Teams are at their limits and jobs are bound to zones, so a task
// that counts as free and is started from such a report breaks a rule.

// shapeAtLimits makes a job one of several tasks that all want a quarter of a machine; a third of the
// jobs keeps its tasks together, a third has a fixed zone.
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

// jobsAtLimitsParams are days on which both teams offer more work than their limits allow.
func jobsAtLimitsParams(p params) params {
	p.faults, p.jobsAtLimits, p.checkEachStep = false, true, true
	p.jobs, p.duration, p.quietPeriod = 60, 4*time.Minute, 6*time.Minute
	return p
}

// cutMachine cuts a machine off from all controllers; what is sent meanwhile is held back and
// delivered at the end, or dropped.
func (w *world) cutMachine(m *machine, hold bool, d time.Duration) {
	for _, c := range w.controllers {
		if _, cut := w.cuts[hostPair{c.host, m.host}]; cut {
			continue
		}
		w.cut(c.host, m.host, hold)
		w.after(d, func() { w.heal(c.host, m.host) })
	}
}

// longerThanLease is how long a fault lasts that ends 2 to 20 s after the leases that it broke.
func (w *world) longerThanLease() time.Duration {
	return w.params.lease + w.randomDuration(2*time.Second, 20*time.Second)
}

// zoneCutPastLease cuts a whole zone off from all controllers for longer than a lease.
func zoneCutPastLease(w *world) time.Duration {
	zone, d, hold := model.Name(w.rng.IntN(3)), w.longerThanLease(), w.rng.IntN(4) > 0
	w.logf("meeting: zone %d is cut off for %v, hold %v", zone, d, hold)
	for _, m := range w.workers {
		if m.Zone == zone {
			w.cutMachine(m, hold, d)
		}
	}
	w.observeHeldPastLease(hold)
	w.maybeControllerFault(d)
	return d
}

// machinesUnreachablePastLease has single machines lose all controllers, hear nothing, be heard by
// nobody, or hang, each for longer than a lease.
func machinesUnreachablePastLease(w *world) time.Duration {
	var longest time.Duration
	for range 2 + w.rng.IntN(4) {
		m, d := w.workers[w.rng.IntN(len(w.workers))], w.longerThanLease()
		longest = max(longest, d)
		switch w.rng.IntN(4) {
		case 0:
			w.logf("meeting: %s hangs for %v", m.host, d)
			m.hungUntil = max(m.hungUntil, w.now+d)
		case 1:
			w.cutInboundFor(m, d)
		case 2:
			w.logf("meeting: the reports of %s get lost for %v", m.host, d)
			m.reportsLostUntil = w.now + d
		default:
			hold := w.rng.IntN(4) > 0
			w.logf("meeting: %s is cut off for %v, hold %v", m.host, d, hold)
			w.cutMachine(m, hold, d)
			w.observeHeldPastLease(hold)
		}
	}
	w.maybeControllerFault(longest)
	return longest
}

func (w *world) observeHeldPastLease(hold bool) {
	if hold {
		w.observe("reports are held for longer than the lease")
	}
}

// maybeControllerFault has, on half of the occasions, a controller end, stand still or lose its
// siblings within the next d, or direct commands arrive late around its end.
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
	// accountingEvery is how often other days that may break no rule are looked at in the same way:
	// at each step it took four times as long.
	accountingEvery = 2 * time.Second
	never           = time.Duration(1<<63 - 1) // days with a broken guard must break a rule to count
)

// checkAccounting compares, on a leader, what shards hold and what runs with what is charged.
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
			continue // it holds nothing, or will find so
		}
		for k, a := range m.attempts {
			if a.active && !l.dispatcher.IsCharged(k.task, k.attempt, m.ID) {
				w.fail("accounting", "task %v runs on %s in attempt %d, and counts against no limit", k.task, m.host, k.attempt)
			}
		}
	}
}

// checkCharges looks for charges that dispatching would have refused: limits do not change on
// these days, and what an earlier leader left was within them.
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

func (l *leadership) checkShard(local *localShard, id model.ShardID) {
	local.shard.ForEachTask(func(t model.Task) {
		if !l.dispatcher.IsAssigned(t, id) {
			l.c.w.fail("accounting", "shard %d of %s holds task %v, which is not charged to it", id, local.c.host, t)
		}
	})
}

// newestLeader is the leader of the newest term that has read the store; nil if there is none.
func (w *world) newestLeader() (newest *leadership) {
	for _, c := range w.controllers {
		if l := c.leadership; c.running && l != nil && l.loaded && c.election.Leading(c.now()) &&
			(newest == nil || l.term > newest.term) {
			newest = l
		}
	}
	return newest
}

var leaseExpiryScenarios = map[string]scenario{
	"zone":     zoneCutPastLease,
	"machines": machinesUnreachablePastLease,
}

// TestRulesHoldWhenMachinesReturnAfterLeaseExpiry plays days on which machines come back within
// 2 to 20 s of their leases' ends, with what they had sent before.
func TestRulesHoldWhenMachinesReturnAfterLeaseExpiry(t *testing.T) {
	t.Parallel()
	for name, meet := range leaseExpiryScenarios {
		for lease, p := range map[string]params{"short lease": shortLeaseParams(), "long lease": longLeaseParams()} {
			t.Run(name+"/"+lease, func(t *testing.T) {
				t.Parallel()
				p := jobsAtLimitsParams(p)
				p.scenario = meet
				held := 0
				for seed := range seedCount(6) {
					t.Run(fmt.Sprint(seed), func(t *testing.T) {
						held += runSimulation(t, 7000+seed, p).observed["reports are held for longer than the lease"]
					})
				}
				if held == 0 {
					t.Error("never seen: reports that are held back for longer than the lease")
				}
			})
		}
	}
}

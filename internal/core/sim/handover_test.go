package sim

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// Machines change hands often while the links between controllers are slow, so that orders of the
// dispatcher and events of the shards cross on their way. Many short tasks make shards ask for higher
// tokens, and direct commands are carried out late.

const (
	// maxLinkDelay is the longest delay of a slow link in one direction.
	maxLinkDelay = 700 * time.Millisecond
	// crossingTime is how long a shard and the dispatcher may differ: a round trip over the slowest
	// link, with one tick on either side.
	crossingTime = 2*maxLinkDelay + 300*time.Millisecond
	// lateCommandShare is the share of direct commands that are late, in percent.
	lateCommandShare = 60
)

// handoverParams has workers change controllers all the time, over links that are slow now and then.
func handoverParams() params {
	p := shortLeaseParams()
	p.faults, p.handovers = false, true
	p.machineRestarts = []machineRestart{nothingLost, identityLost} // the latter need a new token
	p.jobs, p.machines, p.duration, p.quietPeriod = 40, 12, 2*time.Minute, 160*time.Second
	return p
}

// shapeShortTasks makes a job an array of many short tasks, or one of a few long ones.
func (w *world) shapeShortTasks(sp *model.Spec) {
	sp.SameZone, sp.Spread, sp.Zone, sp.BestEffort = false, false, model.None, false
	if sp.ID%5 == 0 {
		sp.Tasks, sp.PerTask = int32(2+w.rng.IntN(4)), model.Request(1, 0, 1)
		sp.Estimate = w.randomDuration(30*time.Second, time.Minute)
		return
	}
	sp.Tasks, sp.PerTask = int32(100+w.rng.IntN(300)), model.Request(0.25, 0, 0.25)
	sp.Estimate = w.randomDuration(600*time.Millisecond, 1500*time.Millisecond)
}

// handoverFaults makes the links between controllers slow, each in its own way, and direct commands
// late, for a while; then a controller's link breaks or nothing more happens.
func (w *world) handoverFaults() {
	if w.now > w.params.duration-20*time.Second {
		return
	}
	d := w.randomDuration(8*time.Second, 25*time.Second)
	w.extendFaults(d + 16*time.Second)
	for _, a := range w.controllers {
		for _, b := range w.controllers {
			w.linkDelays[hostPair{a.host, b.host}] = w.randomDuration(0, maxLinkDelay)
		}
	}
	w.logf("fault: slow links for %v: %v", d, w.linkDelays)
	w.after(d, func() { clear(w.linkDelays) })
	if w.rng.IntN(2) == 0 {
		w.logf("fault: direct commands are late for %v", d)
		w.lateCommandsUntil = w.now + d
	}
	if w.rng.IntN(4) == 0 {
		c := w.controllers[w.rng.IntN(len(w.controllers))]
		w.after(w.randomDuration(0, d), func() {
			w.logf("fault: the links of %s break", c.host)
			w.cutFromSiblings(c, w.randomDuration(time.Second, 5*time.Second))
		})
	}
	w.after(d+w.randomDuration(time.Second, 15*time.Second), w.handoverFaults)
}

// moveMachines makes workers report to other controllers: one at a time, and now and then all to one,
// after which the dispatcher spreads their machines again.
func (w *world) moveMachines() {
	if w.now > w.params.duration {
		return
	}
	to := w.rng.IntN(len(w.controllers))
	if w.rng.IntN(40) == 0 {
		for _, m := range w.workers {
			m.target = to
		}
	} else {
		w.workers[w.rng.IntN(len(w.workers))].target = to
	}
	w.after(w.randomDuration(100*time.Millisecond, time.Second), w.moveMachines)
}

// commandDelay returns how late a direct command is carried out, 0 if it is in time. A late command
// is not answered.
func (w *world) commandDelay() time.Duration {
	if w.now >= w.lateCommandsUntil || w.rng.IntN(100) >= lateCommandShare {
		return 0
	}
	return w.randomDuration(2*time.Second, 16*time.Second)
}

// logOrder logs an order that changes a machine's owner, as it is sent.
func (w *world) logOrder(o *model.Order) {
	if !w.params.handovers {
		return
	}
	switch o.Kind {
	case model.OwnMachine:
		w.logf("order: shard %d owns m%d, token %d", o.To, o.Machine.ID, o.Token)
	case model.ReleaseMachine:
		w.logf("order: shard %d releases m%d for %q, unless its report is as new as %v", o.To, o.ID, o.RedirectTo,
			o.MessageID)
	}
}

// logEvent logs an event that concerns a machine's owner, as it arrives.
func (w *world) logEvent(from model.ShardID, e *model.Event) {
	names := map[model.EventKind]string{model.MachineReleased: "released", model.MachineKept: "kept",
		model.TokenNeeded: "needs a higher token", model.TokenSuperseded: "has shown a higher token",
		model.WorkerFenced: "fenced", model.MachineRemembered: "remembered", model.LeaseExpired: "lease expired",
		model.LeaseExpiryConfirmed: "lease expiry confirmed", model.UnownedWorker: "reports to a shard that is not its owner"}
	if name := names[e.Kind]; name != "" && w.params.handovers {
		w.logf("event of shard %d: m%d %s, tasks %v", from, e.Machine, name, e.Tasks)
	}
}

// livingShards returns the shards that the leader counts on: its own, and those of connected members.
func (l *leadership) livingShards() map[model.ShardID]*localShard {
	shards := map[model.ShardID]*localShard{l.localID: l.c.local}
	for id, k := range l.links {
		if member := k.member; member != nil && !k.closed && member.c.running && member.c.local == member && member.l == l {
			shards[id] = member
		}
	}
	return shards
}

// linked reports whether messages between the leader and a shard are on their way. While the link is
// cut none is, so that they may differ until the link is given up.
func (l *leadership) linked(local *localShard) bool {
	w, leader, member := l.c.w, l.c.host, local.c.host
	_, toMember := w.cuts[hostPair{leader, member}]
	_, toLeader := w.cuts[hostPair{member, leader}]
	return !toMember && !toLeader
}

// disagreement is something that a shard and the dispatcher see differently.
type disagreement struct {
	shard   model.ShardID
	machine model.MachineID
	task    model.Task
}

// checkOwnership checks that at most one shard holds a machine, that no shard holds one for longer than
// a round trip that the dispatcher gives to nobody or to another shard, and that a shard knows the
// tasks that the dispatcher has assigned to it.
func (w *world) checkOwnership() {
	l := w.newestLeader()
	if l == nil {
		clear(w.disagreedSince)
		return
	}
	shards := l.livingShards()
	found := map[disagreement]bool{}
	for _, m := range w.workers {
		var holders []model.ShardID
		for id, local := range shards {
			if !local.shard.Owns(m.ID) {
				continue
			}
			holders = append(holders, id)
			if l.dispatcher.Owner(m.ID) != id && l.linked(local) {
				found[disagreement{shard: id, machine: m.ID}] = true
			}
		}
		if len(holders) > 1 {
			w.fail("two_owners", "shards %v hold %s", holders, m.host)
		}
	}
	l.dispatcher.ForEachAssigned(func(t model.Task, id model.ShardID) {
		if local := shards[id]; local != nil && l.linked(local) && !local.shard.Knows(t) {
			found[disagreement{shard: id, task: t}] = true
		}
	})
	for x := range w.disagreedSince {
		if !found[x] {
			delete(w.disagreedSince, x)
		}
	}
	for x := range found {
		since, known := w.disagreedSince[x]
		switch {
		case !known:
			w.disagreedSince[x] = w.now
		case w.now-since <= crossingTime:
		case x.task == model.Task{}:
			w.fail("stale_owner", "shard %d holds m%d for %v, which the dispatcher gives to shard %d", x.shard, x.machine,
				w.now-since, l.dispatcher.Owner(x.machine))
		default:
			w.fail("unknown_task", "shard %d has not known its task %v for %v", x.shard, x.task, w.now-since)
		}
	}
}

// Guards against two shards that hold one machine, and against tasks that nobody runs, when orders and
// events of a hand-over cross on slow links.
func TestOneShardHoldsAMachine(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	observed := map[string]int{}
	t.Run("seed", func(t *testing.T) {
		for seed := range seedCount(12) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				p := handoverParams()
				p.mixedReleases = seed%3 == 2
				w := runSimulation(t, 20000+seed, p)
				mu.Lock()
				defer mu.Unlock()
				for what, n := range w.observed {
					observed[what] += n
				}
			})
		}
	})
	for _, what := range []string{"a command arrives seconds late", "a token is asked for while its machine is released"} {
		if observed[what] == 0 {
			t.Errorf("never observed: %s", what)
		}
	}
}

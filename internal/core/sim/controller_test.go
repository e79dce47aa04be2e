package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"honeylock/internal/core/cancellog"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/election"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
	"honeylock/internal/core/shard"
	"honeylock/internal/core/storehealth"
)

// controller is a controller: the cores wired as the node wires them.
type controller struct {
	w                *world
	host             string
	running          bool
	run              int
	clockRate        float64 // of its steady clock
	startedAt        time.Duration
	election         *election.Election
	leadership       *leadership
	lastTermLed      uint64
	local            *localShard
	previousMachines []model.MachineID // of the seat before
	pause            pause
	oldRelease       bool // says and hears only what release 0.5 does
	freshness        *pipeline.StatusFreshness
	inDoubt          map[model.JobID]bool // told by the leader: waiting jobs, and whether they are in doubt
	storeHealth      storehealth.Health   // with the state service
	cancelLog        *cancellog.Log
	answerCache      map[model.JobID]cachedAnswer // with the guard broken: what was asked lately
}

// pause is a process that stands still while its clocks run on: what is sent to
// it waits in its sockets, its timers are late, and it may have decided to send
// something, yet not sent it.
type pause struct {
	until     time.Duration // of the present or last halt
	duration  time.Duration // of a halt that is due: it begins in the midst of sending
	sendsLeft int           // ... after so many messages more
}

func (c *controller) paused() bool { return c.running && c.w.now < c.pause.until }

// pauseAfter makes the controller stand still for d, once it has sent some more.
func (c *controller) pauseAfter(sends int, d time.Duration) {
	c.pause.duration, c.pause.sendsLeft = d, sends
	run := c.run
	c.w.after(200*time.Millisecond, func() { // it sends little: then here
		if c.running && c.run == run {
			c.beginPause()
		}
	})
}

func (c *controller) beginPause() {
	if c.pause.duration > 0 {
		c.w.logf("%s stands still for %v", c.host, c.pause.duration)
		c.pause.until, c.pause.duration = c.w.now+c.pause.duration, 0
	}
}

// whenRunning runs f as the controller: at once, or when it moves again.
func (c *controller) whenRunning(f func()) {
	if c.paused() {
		c.w.after(c.pause.until-c.w.now, func() { c.whenRunning(f) })
		return
	}
	f()
}

// timer runs f later, as the controller.
func (c *controller) timer(d time.Duration, f func()) {
	c.w.after(d, func() {
		if c.paused() { // timers and sockets come in any order afterwards
			c.w.after(c.pause.until-c.w.now+c.w.randomDuration(0, 20*time.Millisecond), func() { c.whenRunning(f) })
			return
		}
		f()
	})
}

const promiseDuration = 2500 * time.Millisecond

type memberLink struct {
	promisedUntil        time.Duration
	host                 string
	member               *localShard
	grantedUntil         time.Duration
	lastReceived         time.Duration
	lastServed           time.Duration // the state service last served the member
	coverage             cancellog.Coverage
	reportsCancellations bool
	closed               bool
}

type localShard struct {
	shard             *shard.Shard
	c                 *controller
	l                 *leadership // nil once the link is lost; the leader's own seat too
	link              *memberLink
	id                model.ShardID
	lastReceived      time.Duration
	lastStatus        time.Duration
	joined            bool
	grants            []time.Duration // sent, by the leader's clock, of those received
	cancelLogPosition int
}

type cachedAnswer struct {
	result jobs.Result
	at     time.Duration
}

func newController(w *world, i int) *controller {
	return &controller{w: w, host: fmt.Sprintf("c%d", i), clockRate: 1 + (w.rng.Float64()-0.5)*0.001}
}

func (c *controller) now() time.Duration {
	return time.Duration(float64(c.w.now-c.startedAt) * c.clockRate)
}

func (c *controller) start() {
	c.running = true
	c.w.controllerStarted()
	c.run++
	c.pause = pause{}
	c.startedAt = c.w.now
	c.election = election.New(c.host, c.w.params.leaderTTL, c.w.randomDuration(0, 300*time.Millisecond), promiseDuration,
		0)
	c.leadership, c.local, c.storeHealth, c.cancelLog = nil, nil, storehealth.Health{}, cancellog.NewLog(0)
	c.oldRelease = c.w.params.mixedReleases && c.w.rng.IntN(2) == 0
	c.freshness, c.inDoubt = pipeline.NewStatusFreshness(c.w.params.maxStatusAge()), nil
	c.tick(c.run)
}

func (c *controller) crash(d time.Duration) {
	if !c.running {
		return
	}
	c.running = false
	c.run++
	c.w.controllerEnded(c)
	c.leadership, c.local = nil, nil
	c.w.after(d, c.start)
}

// storeCall runs op at the store; done gets its result, or nil where there is
// no answer. Now and then the answer is lost, or the request is late.
func (c *controller) storeCall(op func() any, done func(any)) { c.call(false, op, done) }

// storeTxn is the same for a transaction, or for a lease's begin or end, which may be carried
// out late.
func (c *controller) storeTxn(op func() any, done func(any)) { c.call(true, op, done) }

func (c *controller) call(txn bool, op func() any, done func(any)) {
	run, answered, sent := c.run, false, c.now()
	finish := func(v any, o storehealth.Outcome) {
		if !answered && c.running && c.run == run {
			answered = true
			c.storeHealth.RecordOutcome(sent, o)
			done(v)
		}
	}
	c.w.send(c.host, "store", false, func() {
		if txn && c.w.store.delayTransaction(op) {
			return
		}
		var v any
		o := storehealth.Refused
		if c.w.store.serves(c.host) {
			c.w.store.changedJob = nil
			v, o = op(), storehealth.Served
			if txn && c.w.store.losesAnswer() {
				c.w.observe("a transaction is carried out and its answer is lost")
				if id := c.w.store.changedJob; id != nil {
					c.w.store.unreadChanges[*id] = c.host
				}
				return
			}
		}
		if c.w.rng.IntN(300) > 0 {
			c.w.send("store", c.host, false, func() { finish(v, o) })
		}
	})
	c.timer(1500*time.Millisecond, func() { finish(nil, storehealth.NoAnswer) })
}

func (c *controller) runElection(ops []election.Op) {
	for _, op := range ops {
		call := c.storeCall
		if op.Verb != election.Read && op.Verb != election.Renew {
			call = c.storeTxn
		}
		call(func() any { return c.w.store.election(c.host, op) }, func(v any) {
			res, ok := v.(election.Result)
			if !ok {
				res = election.Result{Op: op}
			}
			c.runElection(c.election.HandleResult(c.now(), res))
			c.followElection()
		})
	}
}

func (c *controller) newLocalShard(attempts uint64) *localShard {
	local := &localShard{c: c, lastReceived: c.now(), shard: shard.New(shard.Params{MaxLease: c.maxLease(),
		ReportInterval: c.w.params.reportInterval,
		VictimSample:   2, PaybackLimit: time.Minute, DemotionStep: 2, DirectRetryDelay: 2 * time.Second},
		attempts, rand.New(rand.NewPCG(c.w.rng.Uint64(), 1)))}
	local.shard.ReportInterruptions(c.w.params.disruptionBudget > 0)
	return local
}

func (c *controller) maxLease() time.Duration {
	if c.w.params.shortMaxLease {
		return c.w.params.lease / 2
	}
	return c.w.params.lease*1002/1000 + 250*time.Millisecond
}

func (c *controller) followElection() {
	now := c.now()
	leading := c.election.Leading(now)
	if c.leadership != nil && (!leading || c.leadership.term != c.election.Term()) {
		c.w.logf("%s no longer leads term %d", c.host, c.leadership.term)
		c.leadership, c.local = nil, nil
	}
	if !leading || c.leadership != nil {
		return
	}
	if c.lastTermLed == c.election.Term() {
		c.election.Resign(now, 0)
		return
	}
	c.lastTermLed = c.election.Term()
	lead := &leadership{c: c, term: c.election.Term(), leaderVersion: c.election.Version(),
		links:       map[model.ShardID]*memberLink{},
		joinedHosts: map[string]bool{}, knownJobs: map[model.JobID]bool{}, readAt: now, startedAt: now}
	c.leadership = lead
	c.w.logf("%s leads term %d", c.host, lead.term)
	c.w.leaderStarted(c)
	end := now + c.w.params.leaderTTL + time.Second
	if c.w.params.ignoreOldGrants {
		end = now - time.Hour
	}
	lead.dispatcher = dispatcher.New(dispatcher.Params{Term: lead.term,
		Teams: []dispatcher.Team{{Limit: teamLimit}, {Limit: teamLimit}}, ChunkSize: 64, BlockSize: blockSize,
		ProgressInterval: time.Second, DispatchAhead: 4, StartWithin: c.w.params.startWithin(), MaxLease: c.maxLease(),
		ReportInterruptions: c.w.params.disruptionBudget > 0}, end)
	lead.dispatcher.SetTypes([]model.MachineType{machineType})
	lead.localID = lead.dispatcher.AddShard(now, c.host)
	lead.drains = lead.newDrains()
	lead.dependencies = &dependencyTracker{l: lead, graph: pipeline.New()}
	c.local = c.newLocalShard(lead.dispatcher.FirstAttempt(lead.localID))
	c.local.id = lead.localID
	lead.load()
}

func (c *controller) tick(run int) {
	if !c.running || c.run != run {
		return
	}
	c.w.passBoundary()
	c.timer(c.w.randomDuration(80*time.Millisecond, 130*time.Millisecond), func() { c.tick(run) })
	c.runElection(c.election.Step(c.now()))
	c.followElection()
	if c.leadership != nil {
		c.leadership.tick()
	} else {
		c.tickMember()
	}
}

func (c *controller) runCycle() {
	if c.leadership != nil {
		if c.leadership.loaded {
			c.leadership.runCycle()
		}
		return
	}
	if c.local == nil {
		return
	}
	c.local.shard.Place(c.now())
	c.sendCommands()
	c.sendEvents()
}

func (c *controller) sendCommands() {
	local := c.local
	local.shard.Flush(c.now(), 8)
	for _, d := range local.shard.TakeDirectCommands() {
		run, answered := c.run, false
		finish := func(r *model.Report, executed bool) {
			if answered || !c.running || c.run != run {
				return
			}
			answered = true
			local.shard.DirectCommandDone(c.now(), d, r, executed)
			if c.local == local {
				c.runCycle()
			}
		}
		m := c.w.workers[d.Machine]
		if c.w.params.duplicateReports {
			c.w.repeatLater(func() { m.handleDirectCommands(d.Token, d.Session, d.Commands, func(*model.Report, bool) {}) })
		}
		sent := c.w.now
		c.w.send(c.host, m.host, false, func() {
			if c.w.now-sent > 4*time.Second {
				c.w.observe("a command arrives seconds late")
			}
			m.handleDirectCommands(d.Token, d.Session, d.Commands, func(r *model.Report, ok bool) {
				c.w.send(m.host, c.host, false, func() { finish(r, ok) })
			})
		})
		c.timer(2*time.Second, func() { finish(nil, false) })
	}
}

func (s *localShard) sendToLeader(deliver func(l *leadership, k *memberLink)) {
	l, k := s.l, s.link
	s.c.w.send(s.c.host, l.c.host, true, func() {
		if l.c.leadership == l && !k.closed && l.c.running {
			k.lastReceived = l.c.now()
			deliver(l, k)
		}
	})
}

func (c *controller) sendEvents() {
	local := c.local
	for _, e := range local.shard.TakeEvents() {
		if local.l != nil {
			if c.oldRelease || local.l.c.oldRelease {
				e.MessageID = model.MessageID{}
				e.Held = e.Held && e.Kind != model.MachineReleased
			}
			local.sendToLeader(func(l *leadership, k *memberLink) {
				l.handleEvent(l.c.now(), local.id, e)
				l.exchangeMessages()
			})
		}
	}
}

func (c *controller) tickMember() {
	now := c.now()
	if local := c.local; local != nil {
		local.shard.Tick(now)
		c.sendCommands()
		c.sendEvents()
		if local.l != nil && now-local.lastReceived > 2500*time.Millisecond {
			local.l = nil
		}
		if local.l != nil && local.joined && now-local.lastStatus > 400*time.Millisecond {
			local.lastStatus = now
			grants := local.grants
			status, counts, received := local.shard.TakeStatus(now), local.shard.TaskCounts(now),
				local.shard.AssignmentsReceived()
			served, everServed := c.storeHealth.LastServed()
			stateAge := now - served
			logAge, cancelled := now-c.cancelLog.CompleteSince(), []model.JobID(nil)
			cancelled, local.cancelLogPosition = c.cancelLog.EntriesFrom(local.cancelLogPosition)
			local.sendToLeader(func(l *leadership, k *memberLink) {
				leaderNow := l.c.now()
				if l.c.election.Leading(leaderNow) {
					if everServed {
						k.lastServed = leaderNow - stateAge
					}
					if !l.c.oldRelease && !c.oldRelease {
						for _, id := range cancelled {
							l.applyCancellation(leaderNow, id)
						}
						k.reportsCancellations, k.coverage.Since = true, leaderNow-(logAge-logAge/500)
						if n := len(grants); n > 0 {
							k.coverage.Until = max(k.coverage.Until, grants[n-1])
						}
					}
					if n := len(grants); n > 0 {
						k.promisedUntil = max(k.promisedUntil, grants[n-1]+promiseDuration-promiseDuration/200-50*time.Millisecond)
					}
					l.extendAuthority()
					l.applyCoverage(leaderNow)
					k.grantedUntil = max(k.grantedUntil, l.grantDeadline())
					remaining := l.grantDeadline() - leaderNow
					propagatedAge, openJobsAge, inDoubt := leaderNow-l.dependencies.propagatedUntil(leaderNow), leaderNow-l.readAt,
						l.dependencies.inDoubtByJob(leaderNow)
					l.sendToMember(k, func(member *localShard) {
						member.c.freshness.SetPropagated(now - propagatedAge)
						if !member.c.oldRelease && !l.c.oldRelease {
							member.c.freshness.SetInDoubtKnown(now - openJobsAge)
							member.c.inDoubt = inDoubt
						}
						member.grants = append(member.grants, leaderNow)
						member.c.election.Promise(member.c.now() + promiseDuration)
						member.shard.SetGrant(now + remaining - remaining/500 - 50*time.Millisecond)
					})
				}
				l.dispatcher.UpdateStatus(leaderNow, local.id, status, counts, received)
				l.dispatch()
			})
		}
		if local.l != nil {
			return
		}
	}
	c.join()
}

func (c *controller) handleReport(r *model.Report, answer func(bool, uint64, []model.Command, string)) {
	if !c.running {
		return
	}
	run := c.run
	redirectTo := ""
	try := func() bool {
		now := c.now()
		if !c.running || c.run != run || c.local == nil || !c.local.shard.HasGrant(now) {
			return false
		}
		s := c.local.shard
		ok := s.HandleReport(now, r)
		if c.leadership != nil {
			c.leadership.dispatch()
			if !ok {
				ok = s.HandleReport(now, r)
			}
		}
		if !ok {
			redirectTo = s.TakeRedirect(r.Machine.ID)
			c.runCycle()
			return false
		}
		s.Place(now)
		a := s.Answer(now, r)
		c.runCycle()
		if a.OK {
			answer(true, a.Token, a.Commands, "")
		}
		return a.OK
	}
	refuse := func() {
		if c.running && c.run == run && c.leadership == nil && c.local == nil {
			redirectTo = c.election.Holder()
		}
		answer(false, 0, nil, redirectTo)
	}
	if try() {
		return
	}
	if c.local == nil || redirectTo != "" {
		refuse()
		return
	}
	c.timer(300*time.Millisecond, func() {
		if !try() {
			refuse()
		}
	})
}

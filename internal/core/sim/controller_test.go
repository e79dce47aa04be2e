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

// controller is a simulated controller process. It connects the core packages as internal/node does.
type controller struct {
	w    *world
	host string
	// Process state: run counts starts, so that callbacks of an earlier process are ignored.
	running bool
	run     int
	// Speed and start of its monotonic clock.
	clockRate float64
	startedAt time.Duration
	election  *election.Election
	// State as leader; nil on a member.
	leadership *leadership
	// Last term that it led. It must not lead a term twice, and resigns in that case.
	lastTermLed uint64
	// Its shard; nil while it has none.
	local *localShard
	// Machines of its previous shard, which it reports to a new leader.
	previousMachines []model.MachineID
	pause            pause
	// Sends and understands only what release 0.5 does.
	oldRelease bool
	// What it may answer about waiting jobs. inDoubt comes from the leader: the waiting jobs, and
	// whether each is in doubt.
	freshness *pipeline.StatusFreshness
	inDoubt   map[model.JobID]bool
	// Whether the state service serves this controller.
	storeHealth storehealth.Health
	// Cancellations that it acknowledged to users.
	cancelLog *cancellog.Log
	// Recent answers, for the broken guard cacheAnswers.
	answerCache map[model.JobID]cachedAnswer
}

// pause is a time in which a process does not run while its clocks go on. Messages to it wait in its
// sockets, its timers fire late, and it may have decided to send something without having sent it.
type pause struct {
	// End of the current or last pause.
	until time.Duration
	// Length of a pause that is due; it begins between two messages that the controller sends.
	duration time.Duration
	// Messages that it sends before the pause begins.
	sendsLeft int
}

// paused reports whether the process is in a pause.
func (c *controller) paused() bool { return c.running && c.w.now < c.pause.until }

// pauseAfter pauses the controller for d when it has sent the given number of messages, or after 200
// ms if it sends fewer.
func (c *controller) pauseAfter(sends int, d time.Duration) {
	c.pause.duration, c.pause.sendsLeft = d, sends
	run := c.run
	c.w.after(200*time.Millisecond, func() {
		if c.running && c.run == run {
			c.beginPause()
		}
	})
}

// beginPause begins the pause that is due, if any.
func (c *controller) beginPause() {
	if c.pause.duration > 0 {
		c.w.logf("%s pauses for %v", c.host, c.pause.duration)
		c.pause.until, c.pause.duration = c.w.now+c.pause.duration, 0
	}
}

// whenRunning runs f now, or at the end of the current pause.
func (c *controller) whenRunning(f func()) {
	if c.paused() {
		c.w.after(c.pause.until-c.w.now, func() { c.whenRunning(f) })
		return
	}
	f()
}

// timer runs f in d, or some milliseconds after a pause that covers this time.
func (c *controller) timer(d time.Duration, f func()) {
	c.w.after(d, func() {
		if c.paused() { // after a pause, timers and sockets are served in any order
			c.w.after(c.pause.until-c.w.now+c.w.randomDuration(0, 20*time.Millisecond), func() { c.whenRunning(f) })
			return
		}
		f()
	})
}

// promiseDuration is how long after a grant a member promises not to become leader itself.
const promiseDuration = 2500 * time.Millisecond

// memberLink is the leader's side of a connection to a member.
type memberLink struct {
	// By the leader's clock: end of the member's promise to this leader.
	promisedUntil time.Duration
	host          string
	member        *localShard
	// End of the last grant that was sent to the member.
	grantedUntil time.Duration
	lastReceived time.Duration
	// When the member sent its last request that the state service served.
	lastServed time.Duration
	// Period for which the member has reported the cancellations that it acknowledged.
	coverage             cancellog.Coverage
	reportsCancellations bool
	closed               bool
}

// localShard is a controller's shard with its connection to the leader.
type localShard struct {
	shard *shard.Shard
	c     *controller
	// Leader that it is connected to; nil if the connection is lost, and for the leader's own shard.
	l    *leadership
	link *memberLink
	id   model.ShardID
	// When the last message of the leader arrived and the last status was sent.
	lastReceived time.Duration
	lastStatus   time.Duration
	joined       bool
	// Send times (leader's clock) of the grants received, which the shard returns as its promise.
	grants []time.Duration
	// Position in the cancellation log up to which entries were sent.
	cancelLogPosition int
}

// cachedAnswer is a result of the state service with the time of its arrival.
type cachedAnswer struct {
	result jobs.Result
	at     time.Duration
}

// newController returns a stopped controller whose clock deviates by up to 0.05%.
func newController(w *world, i int) *controller {
	return &controller{w: w, host: fmt.Sprintf("c%d", i), clockRate: 1 + (w.rng.Float64()-0.5)*0.001}
}

// now is the controller's monotonic clock, which starts with the process.
func (c *controller) now() time.Duration {
	return time.Duration(float64(c.w.now-c.startedAt) * c.clockRate)
}

// start begins a new process without any state of the previous one.
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

// crash ends the process; it restarts after d.
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

// newLocalShard returns an empty shard whose attempts are numbered from attempts on.
func (c *controller) newLocalShard(attempts uint64) *localShard {
	local := &localShard{c: c, lastReceived: c.now(), shard: shard.New(shard.Params{MaxLease: c.maxLease(),
		ReportInterval: c.w.params.reportInterval,
		VictimSample:   2, PaybackLimit: time.Minute, DemotionStep: 2, DirectRetryDelay: 2 * time.Second},
		attempts, rand.New(rand.NewPCG(c.w.rng.Uint64(), 1)))}
	local.shard.ReportInterruptions(c.w.params.disruptionBudget > 0)
	return local
}

// maxLease is the upper bound of a worker's lease, with allowance for clock drift and delays.
func (c *controller) maxLease() time.Duration {
	if c.w.params.shortMaxLease {
		return c.w.params.lease / 2
	}
	return c.w.params.lease*1002/1000 + 250*time.Millisecond
}

// followElection ends or begins the leadership as the election says.
func (c *controller) followElection() {
	now := c.now()
	leading := c.election.Leading(now)
	if c.leadership != nil && (!leading || c.leadership.term != c.election.Term()) {
		c.w.logf("%s is no longer leader of term %d", c.host, c.leadership.term)
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
	c.w.logf("%s is leader of term %d", c.host, lead.term)
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

// tick runs the timer-driven work of the process about every 100 ms.
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

// runCycle places tasks and sends the resulting commands and events.
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

// sendCommands sends the shard's direct commands to workers and reports each outcome to the shard; no
// answer within 2 s counts as not executed.
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
		c.sendDirect(d, finish)
	}
}

// sendDirect sends a direct command, which the network may delay or repeat. No answer within 2 s counts as not
// executed.
func (c *controller) sendDirect(d shard.DirectCommand, finish func(r *model.Report, executed bool)) {
	m := c.w.workers[d.Machine]
	if c.w.params.duplicateReports {
		c.w.repeatLater(func() { m.handleDirectCommands(d.Token, d.Session, d.Commands, func(*model.Report, bool) {}) })
	}
	c.timer(2*time.Second, func() { finish(nil, false) })
	sent := c.w.now
	if late := c.w.commandDelay(); late > 0 {
		c.w.after(late, func() {
			c.w.observe("a command arrives seconds late")
			m.handleDirectCommands(d.Token, d.Session, d.Commands, func(*model.Report, bool) {})
		})
		return
	}
	c.w.send(c.host, m.host, false, func() {
		if c.w.now-sent > 4*time.Second {
			c.w.observe("a command arrives seconds late")
		}
		m.handleDirectCommands(d.Token, d.Session, d.Commands, func(r *model.Report, ok bool) {
			c.w.send(m.host, c.host, false, func() { finish(r, ok) })
		})
	})
}

// launchDirectly sends the launches of an answer in a direct command instead, and returns the other commands;
// see params.launchDirectly.
func (c *controller) launchDirectly(r *model.Report, a shard.Answer) (others []model.Command) {
	d := shard.DirectCommand{Machine: r.Machine.ID, Token: a.Token, Session: r.Session}
	for _, command := range a.Commands {
		if command.Verb == model.Launch {
			d.Commands = append(d.Commands, command)
		} else {
			others = append(others, command)
		}
	}
	if len(d.Commands) > 0 {
		c.sendDirect(d, func(*model.Report, bool) {})
	}
	return others
}

// sendToLeader runs deliver on the leader, if the connection still exists when the message arrives.
func (s *localShard) sendToLeader(deliver func(l *leadership, k *memberLink)) {
	l, k := s.l, s.link
	s.c.w.send(s.c.host, l.c.host, true, func() {
		if l.c.leadership == l && !k.closed && l.c.running {
			k.lastReceived = l.c.now()
			deliver(l, k)
		}
	})
}

// sendEvents sends the shard's events to the leader, without the fields that release 0.5 lacks if
// either side is of that release.
func (c *controller) sendEvents() {
	local := c.local
	for _, e := range local.shard.TakeEvents() {
		if local.l != nil {
			if c.oldRelease || local.l.c.oldRelease {
				e.MessageID, e.Epoch = model.MessageID{}, 0
				e.Held = e.Held && e.Kind != model.MachineReleased
			}
			local.sendToLeader(func(l *leadership, k *memberLink) {
				l.handleEvent(l.c.now(), local.id, e)
				l.exchangeMessages()
			})
		}
	}
}

// tickMember advances a member's shard and reports its status to the leader, which answers with a new
// grant. Each status also carries the cancellations acknowledged to users and the promise for the last grant.
// A member without connection tries to join.
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
					if n := len(grants); n > 0 { // shortened to allow for clock drift
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
						// The grant is shortened to allow for clock drift.
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

// handleReport handles a worker's report. If the shard cannot answer it yet, it tries again after 300
// ms and then refuses it, with the owner's host if that is known.
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
			if c.w.params.launchDirectly {
				a.Commands = c.launchDirectly(r, a)
			}
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

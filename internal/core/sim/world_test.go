package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"honeylock/internal/core/model"
)

// params are the settings of one run.
type params struct {
	// Numbers of hosts and jobs.
	controllers, machines, jobs int
	// Interval of workers' reports, lease of a worker, time within which a cancelled job's tasks must
	// have ended, and lease of the leader in the state service.
	reportInterval, lease, cancelBound, leaderTTL time.Duration
	// Maximum age of the leader's view of the open jobs with which it may act.
	maxStaleness time.Duration
	// Jobs are submitted and faults begin before duration. The run then goes on for quietPeriod.
	duration, quietPeriod time.Duration
	// Random faults, see injectFaults.
	faults bool
	// Operators apply drain plans.
	drains bool
	// Jobs that depend on other jobs.
	dependencies bool
	// Some jobs are arrays of tiny tasks, see shapeTinyTasks.
	tinyTasks bool
	// Jobs come in pairs of which the second depends on the first, see submitPipelines.
	pipelines bool
	// Leaders read the open jobs in two pages, not at once.
	pagedLists bool
	// Some answers of the state service take a few hundred milliseconds.
	slowAnswers bool
	// Broken guard: a job that no longer exists counts as done for its dependents.
	missingCountsAsDone bool
	// Broken guard: waiting jobs are reported as queued however old the known state is.
	alwaysReportQueued bool
	// When leaders begin to write smaller blocks of machine records; 0 means never.
	resizeBlocksAt time.Duration
	// Jobs of many small tasks, many single-task jobs, and jobs whose tasks always fail.
	bulkJobs bool
	// Maximum tasks of a team that drain plans may interrupt at once; 0 means no limit.
	disruptionBudget int
	// Broken guard: a new leader assumes that tasks in an unknown state are running.
	assumeRunning bool
	// Broken guard: a task that was stopped counts as running again.
	stoppedCountsAsBack bool
	// Broken guard: a new leader ignores the stored machine records.
	ignoreRecords bool
	// Broken guard: a new leader considers earlier terms' grants over at once.
	ignoreOldGrants bool
	// Some machines send messages that arrive, but receive none.
	oneWayCuts bool
	// Copies of reports and commands arrive late.
	duplicateReports bool
	// Time between cancellations of jobs that depend on a cancelled one; 0 means two per tick.
	cancellationInterval time.Duration
	// Broken guard, as in release 0.5.0: one delayed cancellation leaves polls of all waiting jobs
	// unanswered.
	globalFreshness bool
	// Broken guard: jobs in doubt are reported as queued.
	reportInDoubtAsQueued bool
	// Broken guard: a job is reported as cancelled while other controllers may report it as queued.
	reportCancelledEarly bool
	// Broken guard: workers' leases are considered over too early.
	shortMaxLease bool
	// Broken guard: duplicates of reports are taken for new reports.
	acceptDuplicates bool
	// Some controllers exchange only what release 0.5 knows.
	mixedReleases bool
	// Controllers and machines restart within a second, and controllers lose all but their workers.
	quickRestarts bool
	// What machines that restart within a second have lost; nil means either nothing or their session.
	machineRestarts []machineRestart
	// Direct commands that a machine has carried out reach it again after it has restarted within a second.
	repeatedCommands bool
	// Broken guard: launches are sent in direct commands, which may arrive late or once more.
	launchDirectly bool
	// Broken guard: a lost shard's machines count as accounted for at once.
	freeMachinesOnLoss bool
	// Fault scenario that is run repeatedly; nil means none.
	scenario scenario
	// Broken guard: controllers do not tell the leader which cancellations users know of.
	dropCancellationLog bool
	// Broken guard: the state service does not compare versions.
	unguardedWrites bool
	// Broken guard: machines execute commands that carry an old token.
	acceptOldTokens bool
	// Jobs of few tasks that end far apart, and jobs that run for longer than cancelBound.
	staggeredTasks bool
	// Jobs that together exceed their teams' limits.
	overcommitted bool
	// Jobs that are bound to a zone or keep their tasks in one zone.
	zoneBoundJobs bool
	// Four single-task jobs per second, a quarter of which are cancelled.
	singleTaskJobs bool
	// Every controller gets requests right after an answer that changed what a user knows.
	concurrentRequests bool
	// Users cancel, poll and resubmit a job around its end.
	requestsAtEnd bool
	// Added to the latency of each message.
	extraLatency time.Duration
	// Checks that no job waits beside free capacity or takes too long to start.
	checkWaiting bool
	// Number of machines that are added during the run.
	spareMachines int
	// Broken guard: a request gets an answer that was read before the request.
	cacheAnswers bool
	// Broken guard: shards do not know which jobs are open.
	skipOpenJobs bool
	// Broken guard: starving jobs are not expedited.
	noExpediting bool
	// Teams at their limits with jobs bound to zones.
	jobsAtLimits bool
	// Compares shards and running tasks with the leader's charges after each step, not only every
	// accountingEvery.
	checkEachStep bool
	// Machines change hands all the time over links that are slow now and then, see handoverFaults. Which
	// shard holds a machine is checked after each step.
	handovers bool
}

// event is a function that runs at a time of the simulated clock.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// events is a heap of events ordered by time, then by creation.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// hostPair is a direction between two hosts.
type hostPair struct{ from, to string }

// heldMessage is a message that a cut holds back until it heals.
type heldMessage struct {
	from, to string
	deliver  func()
}

// world is one run: the simulated clock, network, hosts and users, and what was observed.
type world struct {
	params params
	rng    *rand.Rand
	now    time.Duration
	seq    uint64
	queue  events
	// Interrupted directions: true holds messages back, false drops them.
	cuts         map[hostPair]bool
	heldMessages []heldMessage
	// Time of the newest delivery, which keeps streams in order.
	lastDelivery map[hostPair]time.Duration
	store        *store
	controllers  []*controller
	workers      []*machine
	users        map[model.JobID]*user
	violations   []string
	startedTasks int
	// End of the period in which the store answers slowly.
	storeSlowUntil time.Duration
	// The largest number of attempts in a report.
	mostAttempts int
	// Jobs that the next submitted job depends on, see submitAfter.
	nextDependsOn []model.JobID
	// End of the last fault.
	faultsOverAt time.Duration
	log          []string
	// Boundaries (see passBoundary) until the second fault begins; 0 means that it has begun or there
	// is none.
	boundariesLeft int
	secondFault    func()
	// Longest time from when a user knew of a cancellation until a task of the job was gone.
	maxCancelDelay time.Duration
	// By direction, the end of the period in which messages are delayed for seconds.
	delayedUntil map[hostPair]time.Duration
	// Number of times that each situation was observed, see observe.
	observed map[string]int
	// Copies of reports that are delivered when the next leader starts.
	keptReports []*keptReport
	// When a shard's machines last changed their owner.
	lastHandover time.Duration
	// When leaders started.
	leaderStarts []time.Duration
	// Since when no controller runs; 0 means that one runs.
	allDownSince time.Duration
	// Zone that is cut off now; nil if none is.
	isolatedZone *isolatedZone
	// Controller that last acknowledged a cancellation to a user.
	lastAcknowledger *controller
	// Since when a job waits beside free capacity.
	waitingSince map[model.JobID]time.Duration
	// A controller has sent, received or ticked since the last step.
	controllerActed bool
	// A controller has acted since the last accounting check.
	accountingDue bool
	// Next accounting check of runs without checkEachStep.
	nextAccountingCheck time.Duration
	// Drain plans that were applied.
	plans planSpecs
	// Tasks that drain plans interrupted and that have not started again.
	interrupted map[model.Task]bool
	// Totals of drain plans: tasks recalled, machines returned to the cloud.
	recalledTasks, returnedMachines int
	// By direction, what a slow link between controllers adds to the latency of its messages.
	linkDelays map[hostPair]time.Duration
	// End of the period in which direct commands are late.
	lateCommandsUntil time.Duration
	// Since when a shard and the dispatcher differ, see checkOwnership.
	disagreedSince map[disagreement]time.Duration
}

// newWorld returns a run before its start; the seed fixes all random draws.
func newWorld(seed uint64, p params) *world {
	w := &world{params: p, rng: rand.New(rand.NewPCG(seed, 7)), cuts: map[hostPair]bool{},
		lastDelivery: map[hostPair]time.Duration{},
		users:        map[model.JobID]*user{},
		plans:        planSpecs{}, interrupted: map[model.Task]bool{}, delayedUntil: map[hostPair]time.Duration{},
		observed: map[string]int{}, waitingSince: map[model.JobID]time.Duration{}, nextAccountingCheck: never,
		linkDelays: map[hostPair]time.Duration{}, disagreedSince: map[disagreement]time.Duration{}}
	w.store = newStore(w)
	for i := range p.controllers {
		w.controllers = append(w.controllers, newController(w, i))
	}
	for i := range p.machines {
		w.workers = append(w.workers, newMachine(w, model.MachineID(i), i%3))
	}
	return w
}

// after schedules f to run in d.
func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, f})
}

// randomDuration draws a duration from lo to hi.
func (w *world) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

// fail records a violation of a rule; it ends the run.
func (w *world) fail(rule, format string, args ...any) {
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf("%8.3f %s: ", w.now.Seconds(), rule)+fmt.Sprintf(format, args...))
	}
}

// logf adds a line to the log that a failed run prints. The log keeps the last few thousand lines.
func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	if len(w.log) > 4000 {
		w.log = w.log[2000:]
	}
}

// send delivers a message to another host by calling f there. Streams (stream is true) keep their
// order and lose nothing. A cut holds the message back until it heals, or drops it. A paused
// controller sends and receives once it runs again.
func (w *world) send(from, to string, stream bool, f func()) {
	if w.controllerByHost(from) != nil || w.controllerByHost(to) != nil {
		w.passBoundary()
		deliver := f
		f = func() {
			deliver()
			w.passBoundary()
		}
	}
	if c := w.controllerByHost(from); c != nil {
		if c.pause.duration > 0 {
			if c.pause.sendsLeft--; c.pause.sendsLeft < 0 {
				c.beginPause()
			}
		}
		if c.paused() {
			run := c.run
			c.whenRunning(func() {
				if c.running && c.run == run {
					w.send(from, to, stream, f)
				}
			})
			return
		}
	}
	if c := w.controllerByHost(to); c != nil {
		deliver := f
		f = func() { c.whenRunning(deliver) }
	}
	if hold, cut := w.cuts[hostPair{from, to}]; cut {
		if hold || stream {
			w.heldMessages = append(w.heldMessages, heldMessage{from, to, f})
		}
		return
	}
	at := w.now + w.randomDuration(time.Millisecond, 8*time.Millisecond) + w.params.extraLatency
	at += w.linkDelays[hostPair{from, to}]
	if w.now < w.storeSlowUntil && to == "store" {
		at += w.randomDuration(20*time.Millisecond, 2*time.Second)
	}
	if w.params.slowAnswers && from == "store" {
		at += w.slowAnswerDelay()
	}
	if !stream && w.rng.IntN(200) == 0 {
		at += w.randomDuration(0, 3*time.Second)
	}
	if w.now < w.delayedUntil[hostPair{from, to}] {
		at += w.randomDuration(500*time.Millisecond, 12*time.Second)
	}
	if stream {
		at = max(at, w.lastDelivery[hostPair{from, to}])
		w.lastDelivery[hostPair{from, to}] = at
	}
	w.after(at-w.now, f)
}

// controllerByHost returns the controller of a host, or nil if the host is none.
func (w *world) controllerByHost(host string) *controller {
	for _, c := range w.controllers {
		if c.host == host {
			return c
		}
	}
	return nil
}

// cut interrupts both directions between two hosts; messages are held back if hold is true, otherwise
// dropped.
func (w *world) cut(a, b string, hold bool) {
	w.cuts[hostPair{a, b}], w.cuts[hostPair{b, a}] = hold, hold
}

// heal ends a cut and sends the messages that it held back.
func (w *world) heal(a, b string) {
	delete(w.cuts, hostPair{a, b})
	delete(w.cuts, hostPair{b, a})
	held := w.heldMessages
	w.heldMessages = nil
	for _, h := range held {
		if h.from == a && h.to == b || h.from == b && h.to == a {
			w.send(h.from, h.to, true, h.deliver)
		} else {
			w.heldMessages = append(w.heldMessages, h)
		}
	}
}

// cutFor cuts two hosts from each other for d, unless they are cut already. A random draw decides
// whether messages are held back or dropped.
func (w *world) cutFor(a, b string, d time.Duration) {
	if _, ok := w.cuts[hostPair{a, b}]; ok {
		return
	}
	w.cut(a, b, w.rng.IntN(2) == 0)
	w.after(d, func() { w.heal(a, b) })
}

// cutFromSiblings cuts a controller from all other controllers for d.
func (w *world) cutFromSiblings(c *controller, d time.Duration) {
	for _, o := range w.controllers {
		if o != c {
			w.cutFor(c.host, o.host, d)
		}
	}
}

// cutOff cuts a controller from the store and all other controllers, but not from workers.
func (w *world) cutOff(c *controller, d time.Duration) {
	w.cutFor(c.host, "store", d)
	w.cutFromSiblings(c, d)
}

// injectFaults injects a random fault, and schedules the next one until shortly before the end of the
// run.
func (w *world) injectFaults() {
	if w.now > w.params.duration-30*time.Second {
		return
	}
	c := w.controllers[w.rng.IntN(len(w.controllers))]
	d := w.randomDuration(time.Second, 40*time.Second)
	switch w.rng.IntN(14) {
	case 0, 1:
		w.logf("fault: %s crashes", c.host)
		c.crash(w.randomDuration(time.Second, 6*time.Second))
	case 2:
		w.logf("fault: all controllers crash")
		for _, c := range w.controllers {
			c.crash(w.randomDuration(time.Second, 6*time.Second))
		}
	case 3:
		w.logf("fault: %s is cut from the store for %v", c.host, d)
		w.cutFor(c.host, "store", d)
	case 4:
		w.logf("fault: %s is cut from workers for %v", c.host, d)
		for _, m := range w.workers {
			if w.rng.IntN(3) > 0 {
				w.cutFor(c.host, m.host, d)
			}
		}
	case 5:
		w.logf("fault: %s is cut from the other controllers for %v", c.host, d)
		w.cutFromSiblings(c, d)
	case 6:
		w.logf("fault: the store is down")
		w.store.down = true
		w.after(w.randomDuration(time.Second, 20*time.Second), func() { w.store.restore() })
	case 7:
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.logf("fault: %s hangs or restarts", m.host)
		if w.rng.IntN(2) == 0 {
			m.hungUntil = w.now + d
		} else {
			m.restart()
		}
	case 9:
		w.logf("fault: all controllers are cut from each other for %v", d)
		for i, a := range w.controllers {
			for _, b := range w.controllers[:i] {
				w.cutFor(a.host, b.host, d)
			}
		}
	case 10:
		w.logf("fault: the store is slow for %v", d)
		w.storeSlowUntil = w.now + d
	case 11, 12:
		c.pauseAfter(w.rng.IntN(6), w.randomDuration(500*time.Millisecond, 60*time.Second))
	case 13: // two pauses, possibly of two controllers
		c.pauseAfter(w.rng.IntN(6), d)
		o := w.controllers[w.rng.IntN(len(w.controllers))]
		w.after(w.randomDuration(0, 10*time.Second), func() {
			o.pauseAfter(w.rng.IntN(6),
				w.randomDuration(time.Second, 60*time.Second))
		})
	case 8:
		w.logf("fault: %s is cut from the store and the other controllers for %v", c.host, d)
		w.cutOff(c, d)
	}
	w.extendFaults(70 * time.Second)
	w.after(w.randomDuration(2*time.Second, 25*time.Second), w.injectFaults)
}

// run starts all hosts, schedules submissions and faults, and processes events until the end of the
// run or the first violation.
func (w *world) run() {
	for _, c := range w.controllers {
		c.start()
	}
	for _, m := range w.workers {
		w.after(w.randomDuration(0, time.Second), m.tick)
	}
	w.scheduleSubmissions()
	if w.params.checkWaiting {
		w.after(time.Second, w.checkWaitingJobs)
	}
	if w.params.faults {
		w.after(10*time.Second, w.injectFaults)
	}
	if w.params.faults && w.params.dependencies {
		w.longOutages()
	}
	if w.params.oneWayCuts {
		w.after(8*time.Second, w.oneWayCuts)
	}
	if w.params.quickRestarts {
		w.after(12*time.Second, w.quickRestarts)
		w.after(15*time.Second, w.controllerCutOffs)
		w.after(10*time.Second, w.machineQuickRestarts)
	}
	if w.params.scenario != nil {
		w.after(w.randomDuration(20*time.Second, 30*time.Second), w.runScenarios)
	}
	if w.params.handovers {
		w.after(10*time.Second, w.moveMachines)
		w.after(15*time.Second, w.handoverFaults)
		w.after(12*time.Second, w.machineQuickRestarts)
	}
	if w.params.drains {
		w.after(5*time.Second, func() { w.runOperator(0) })
	}
	for len(w.queue) > 0 && w.queue[0].at <= w.params.duration+w.params.quietPeriod && len(w.violations) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		if w.controllerActed {
			w.controllerActed, w.accountingDue = false, true
			if w.params.handovers {
				w.checkOwnership()
			}
		}
		if w.accountingDue && (w.params.checkEachStep || w.now >= w.nextAccountingCheck) {
			w.accountingDue = false
			w.nextAccountingCheck = w.now + accountingEvery
			w.checkAccounting()
		}
	}
	if len(w.violations) == 0 && w.params.quietPeriod > maxUnanswered+70*time.Second {
		w.checkAllAnswered()
	}
}

package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"honeylock/internal/core/model"
)

// params of a simulated deployment.
type params struct {
	controllers, machines, jobs                   int
	reportInterval, lease, cancelBound, leaderTTL time.Duration
	maxStaleness                                  time.Duration // how old a picture of the open jobs may be acted on
	duration, quietPeriod                         time.Duration // rest: played on for so long, with nothing new
	faults                                        bool
	drains                                        bool          // operators' drain plans
	dependencies                                  bool          // jobs that await others
	missingCountsAsDone                           bool          // a broken guard: a job that is gone counts as done
	alwaysReportQueued                            bool          // a broken guard: what waits is called queued whatever is known
	resizeBlocksAt                                time.Duration // when leaders begin to write smaller blocks; 0: never
	bulkJobs                                      bool          // swarms of small tasks, and jobs that always fail
	disruptionBudget                              int           // tasks of a team that plans may have out of work at once; 0: no bound
	assumeRunning                                 bool          // a broken guard: a new leader takes what it does not know for at work
	stoppedCountsAsBack                           bool          // a broken guard: a task that was stopped counts as back
	ignoreRecords                                 bool          // a broken guard: a new leader ignores the machines' records
	ignoreOldGrants                               bool          // a broken guard: old grants are taken for over at once
	oneWayCuts                                    bool          // machines that send, and that nothing reaches
	duplicateReports                              bool          // copies of reports come late
	cancellationInterval                          time.Duration // between cancellations of jobs that need a cancelled one; 0: as ever
	globalFreshness                               bool          // as 0.5.0: one tree that is behind leaves all waiting jobs unanswered
	reportInDoubtAsQueued                         bool          // a broken guard: jobs in doubt are called queued
	reportCancelledEarly                          bool          // a broken guard: cancelled is said while others may say queued
	shortMaxLease                                 bool          // a broken guard: leases are taken for over too early
	acceptDuplicates                              bool          // a broken guard: copies are taken for new
	mixedReleases                                 bool          // some controllers are of release 0.5 as far as others can tell
	quickRestarts                                 bool          // controllers are back within a fraction of a second
	freeMachinesOnLoss                            bool          // a broken guard: a lost shard's machines count as accounted for
	scenario                                      scenario      // troubles that meet, again and again; nil: none
	dropCancellationLog                           bool          // a broken guard: nobody says of which cancellations users were told
	unguardedWrites                               bool          // a broken guard: writes bear no versions
	acceptOldTokens                               bool          // a broken guard: machines take commands under old tokens
	staggeredTasks                                bool          // jobs of few tasks that end far apart, and long ones to cancel
	overcommitted                                 bool          // jobs that together ask for more than their teams' limits
	zoneBoundJobs                                 bool          // jobs bound to one zone, or whose tasks stay together
	singleTaskJobs                                bool          // one-task jobs, four a second, a quarter of them cancelled
	concurrentRequests                            bool          // all controllers are asked right after any answer that settles something
	requestsAtEnd                                 bool          // jobs are cancelled, asked about and submitted as they end
	extraLatency                                  time.Duration // that messages take longer; 0: as ever
	checkWaiting                                  bool          // no job may wait beside room, or for long to begin
	spareMachines                                 int           // machines that come up during the day
	cacheAnswers                                  bool          // a broken guard: answers of before a question are given to it
	skipOpenJobs                                  bool          // a broken guard: shards don't know which jobs are open
	noExpediting                                  bool          // a broken guard: no job is sure to begin
	jobsAtLimits                                  bool          // teams at their limits, jobs bound to zones
	checkEachStep                                 bool          // what shards hold and what runs is compared with what is charged
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

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

type hostPair struct{ from, to string }

type heldMessage struct {
	from, to string
	deliver  func()
}

type world struct {
	params              params
	rng                 *rand.Rand
	now                 time.Duration
	seq                 uint64
	queue               events
	cuts                map[hostPair]bool // true: holds messages; false: drops them
	heldMessages        []heldMessage
	lastDelivery        map[hostPair]time.Duration // of the newest delivery, for streams
	store               *store
	controllers         []*controller
	workers             []*machine
	users               map[model.JobID]*user
	violations          []string
	startedTasks        int
	storeSlowUntil      time.Duration // until when the store answers slowly
	faultsOverAt        time.Duration // the last trouble is over
	log                 []string
	boundariesLeft      int // boundaries until the second trouble begins; 0: it has, or there is none
	secondFault         func()
	maxCancelDelay      time.Duration              // from when a user was told of a cancellation until a task of it was gone
	delayedUntil        map[hostPair]time.Duration // what one sends to the other is held up, until then
	observed            map[string]int             // what meetings are about, and how often it did happen
	keptReports         []*keptReport              // copies of reports, for the next leader
	lastHandover        time.Duration              // when work last changed hands
	leaderStarts        []time.Duration            // when leaders began
	allDownSince        time.Duration              // since when no controller is up; 0: one is
	isolatedZone        *isolatedZone
	lastAcknowledger    *controller                   // who last told a user of a cancellation
	waitingSince        map[model.JobID]time.Duration // since when a job waits beside room
	controllerActed     bool                          // a controller has sent, received or ticked since the last event
	nextAccountingCheck time.Duration                 // when what is charged is looked at next, on other days
	plans               planSpecs
	interrupted         map[model.Task]bool // by plans, and not seen at work since
	// Of drain plans: tasks moved, machines given back.
	recalledTasks, returnedMachines int
}

func newWorld(seed uint64, p params) *world {
	w := &world{params: p, rng: rand.New(rand.NewPCG(seed, 7)), cuts: map[hostPair]bool{},
		lastDelivery: map[hostPair]time.Duration{},
		users:        map[model.JobID]*user{},
		plans:        planSpecs{}, interrupted: map[model.Task]bool{}, delayedUntil: map[hostPair]time.Duration{},
		observed: map[string]int{}, waitingSince: map[model.JobID]time.Duration{}, nextAccountingCheck: never}
	w.store = newStore(w)
	for i := range p.controllers {
		w.controllers = append(w.controllers, newController(w, i))
	}
	for i := range p.machines {
		w.workers = append(w.workers, newMachine(w, model.MachineID(i), i%3))
	}
	return w
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, f})
}

func (w *world) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func (w *world) fail(rule, format string, args ...any) {
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf("%8.3f %s: ", w.now.Seconds(), rule)+fmt.Sprintf(format, args...))
	}
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	if len(w.log) > 4000 {
		w.log = w.log[2000:]
	}
}

// send carries a message between two hosts, in order where stream is true.
// A cut holds it back until it heals, or drops it.
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
		if hold || stream { // of a stream nothing is lost while it lasts
			w.heldMessages = append(w.heldMessages, heldMessage{from, to, f})
		}
		return
	}
	at := w.now + w.randomDuration(time.Millisecond, 8*time.Millisecond) + w.params.extraLatency
	if w.now < w.storeSlowUntil && to == "store" {
		at += w.randomDuration(20*time.Millisecond, 2*time.Second)
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

func (w *world) controllerByHost(host string) *controller {
	for _, c := range w.controllers {
		if c.host == host {
			return c
		}
	}
	return nil
}

func (w *world) cut(a, b string, hold bool) {
	w.cuts[hostPair{a, b}], w.cuts[hostPair{b, a}] = hold, hold
}

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

func (w *world) cutFor(a, b string, d time.Duration) {
	if _, ok := w.cuts[hostPair{a, b}]; ok {
		return
	}
	w.cut(a, b, w.rng.IntN(2) == 0)
	w.after(d, func() { w.heal(a, b) })
}

func (w *world) cutFromSiblings(c *controller, d time.Duration) {
	for _, o := range w.controllers {
		if o != c {
			w.cutFor(c.host, o.host, d)
		}
	}
}

// cutOff cuts a controller off from all but its workers.
func (w *world) cutOff(c *controller, d time.Duration) {
	w.cutFor(c.host, "store", d)
	w.cutFromSiblings(c, d)
}

// injectFaults keeps breaking things at random.
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
		w.logf("fault: all crash")
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
		w.logf("fault: %s is cut from its siblings for %v", c.host, d)
		w.cutFromSiblings(c, d)
	case 6:
		w.logf("fault: the store is out")
		w.store.down = true
		w.after(w.randomDuration(time.Second, 20*time.Second), func() { w.store.restore() })
	case 7:
		m := w.workers[w.rng.IntN(len(w.workers))]
		w.logf("fault: %s hangs or ends", m.host)
		if w.rng.IntN(2) == 0 {
			m.hungUntil = w.now + d
		} else {
			m.restart()
		}
	case 9:
		w.logf("fault: controllers refuse each other for %v", d)
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
	case 13: // two in succession
		c.pauseAfter(w.rng.IntN(6), d)
		o := w.controllers[w.rng.IntN(len(w.controllers))]
		w.after(w.randomDuration(0, 10*time.Second), func() {
			o.pauseAfter(w.rng.IntN(6),
				w.randomDuration(time.Second, 60*time.Second))
		})
	case 8:
		w.logf("fault: %s is cut off for %v", c.host, d)
		w.cutOff(c, d)
	}
	w.extendFaults(70 * time.Second)
	w.after(w.randomDuration(2*time.Second, 25*time.Second), w.injectFaults)
}

func (w *world) run() {
	for _, c := range w.controllers {
		c.start()
	}
	for _, m := range w.workers {
		w.after(w.randomDuration(0, time.Second), m.tick)
	}
	for i := range w.params.jobs {
		at := w.randomDuration(0, w.params.duration*2/3)
		if w.params.singleTaskJobs {
			at = 20*time.Second + time.Duration(i)*250*time.Millisecond
		}
		w.after(at, func() { w.submit(model.JobID(i)) })
	}
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
	if w.params.drains {
		w.after(5*time.Second, func() { w.runOperator(0) })
	}
	for len(w.queue) > 0 && w.queue[0].at <= w.params.duration+w.params.quietPeriod && len(w.violations) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		if w.controllerActed && (w.params.checkEachStep || w.now >= w.nextAccountingCheck) {
			w.controllerActed = false
			w.nextAccountingCheck = w.now + accountingEvery
			w.checkAccounting()
		}
	}
	if len(w.violations) == 0 && w.params.quietPeriod > maxUnanswered+70*time.Second {
		w.checkAllAnswered()
	}
}

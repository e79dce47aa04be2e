package sim

import (
	"fmt"
	"slices"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// attempt is an attempt to run a task on a machine.
type attempt struct {
	model.AttemptStatus
	// When its image is there, and when it ends.
	readyAt, endAt time.Duration
	// It has its image and has not ended. Only then the rules count it as running.
	active bool
}

// attemptKey identifies an attempt.
type attemptKey struct {
	task    model.Task
	attempt uint64
}

// machine is a worker that follows the protocol exactly.
type machine struct {
	w    *world
	host string
	model.Machine
	session, seq, token uint64
	attempts            map[attemptKey]*attempt
	// The lease begins when the last successful report was sent.
	leaseStart time.Duration
	// Index of the controller that it reports to.
	target       int
	nextReportAt time.Duration
	// Number of the report that waits for its answer; 0 means none.
	pendingReport uint64
	reportSentAt  time.Duration
	reportsSent   uint64
	hungUntil     time.Duration
	// Tasks whose results exist; all machines see them.
	doneTasks map[model.Task]bool
	// Returned to the cloud.
	returned bool
	// End of the period in which its reports are lost, but not its answers to commands.
	reportsLostUntil time.Duration
	// When it was added; 0 if it was there from the start.
	addedAt time.Duration
	// Direct commands that it has carried out, the newest last; see repeatCommands.
	executed []executedCommand
}

// newMachine returns a machine in its first session; a quarter of the machines are spot machines.
func newMachine(w *world, id model.MachineID, zone int) *machine {
	return &machine{w: w, host: fmt.Sprintf("m%d", id), session: 1, attempts: map[attemptKey]*attempt{},
		target:    int(id) % w.params.controllers,
		Machine:   model.Machine{ID: id, Addr: fmt.Sprintf("m%d", id), Type: 0, Zone: model.Name(zone), Spot: id%4 == 3},
		doneTasks: map[model.Task]bool{}}
}

// restart ends the worker, which loses all attempts and starts with its next session.
func (m *machine) restart() { m.nextSession() }

// noteAttemptGone records that a task no longer runs on the machine, and how long after the user knew
// of a cancellation.
func (m *machine) noteAttemptGone(k attemptKey) {
	u := m.w.users[k.task.Job]
	u.lastChangeAt = m.w.now
	if u.finalStage == jobs.Cancelled {
		m.w.maxCancelDelay = max(m.w.maxCancelDelay, m.w.now-u.endedAt)
	}
}

// nextSession drops all attempts and begins a new session with a new lease.
func (m *machine) nextSession() {
	for k, a := range m.attempts {
		if a.active {
			m.noteAttemptGone(k)
		}
	}
	m.attempts = map[attemptKey]*attempt{}
	m.session++
	m.leaseStart = m.w.now
	m.pendingReport = 0
}

// tick advances the attempts, checks the lease and sends due reports, every 50 ms unless the machine
// hangs.
func (m *machine) tick() {
	w := m.w
	if m.returned {
		return
	}
	w.after(50*time.Millisecond, m.tick)
	if w.now < m.hungUntil {
		return
	}
	if w.now-m.leaseStart > w.params.lease {
		m.nextSession()
	}
	for _, k := range m.sortedAttempts() {
		a := m.attempts[k]
		w.checkCancelledGone(m, k, a)
		switch {
		case a.Stage == model.Fetching && w.now >= a.readyAt:
			if m.doneTasks[k.task] {
				m.exit(a, model.CauseDone)
				continue
			}
			a.Stage, a.active = model.Running, true
			m.w.checkStart(m, k.task)
		case a.Stage == model.Running && w.now >= a.endAt && w.users[k.task.Job].alwaysFails:
			m.exit(a, model.CauseError)
		case a.Stage == model.Running && w.now >= a.endAt:
			m.doneTasks[k.task] = true
			for _, o := range w.workers {
				o.doneTasks[k.task] = true
			}
			w.taskCompleted(k.task)
			m.exit(a, model.CauseDone)
		case a.Stage == model.Saving && w.now >= a.endAt:
			a.Saved = true
			m.exit(a, model.CauseStopped)
		}
	}
	if m.pendingReport != 0 && w.now-m.reportSentAt > 4*time.Second {
		m.pendingReport = 0
		m.target = (m.target + 1) % w.params.controllers
		m.nextReportAt = w.now + time.Second
	}
	if m.pendingReport == 0 && w.now >= m.nextReportAt {
		m.sendReport()
	}
}

// exit ends an attempt; the next report is due at once, at most two per second.
func (m *machine) exit(a *attempt, c model.Cause) {
	if a.active {
		m.noteAttemptGone(attemptKey{a.Task, a.Attempt})
	}
	a.Stage, a.Cause, a.active = model.Exited, c, false
	if m.pendingReport == 0 {
		m.nextReportAt = min(m.nextReportAt, max(m.w.now, m.reportSentAt+500*time.Millisecond))
	}
}

// sortedAttempts returns the keys of all attempts in a fixed order, for runs to be reproducible.
func (m *machine) sortedAttempts() []attemptKey {
	ks := make([]attemptKey, 0, len(m.attempts))
	for k := range m.attempts {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b attemptKey) int {
		if a.task.Job != b.task.Job {
			return int(a.task.Job) - int(b.task.Job)
		}
		if a.task.Index != b.task.Index {
			return int(a.task.Index - b.task.Index)
		}
		return int(int64(a.attempt) - int64(b.attempt))
	})
	return ks
}

// newReport returns the next report of the machine's attempts.
func (m *machine) newReport() *model.Report {
	m.seq++
	r := &model.Report{Machine: m.Machine, Session: m.session, Seq: m.seq, Token: m.token, PreemptionNotice: -1}
	for _, k := range m.sortedAttempts() {
		r.Attempts = append(r.Attempts, m.attempts[k].AttemptStatus)
	}
	return r
}

// sendReport sends a report to the controller that the machine reports to.
func (m *machine) sendReport() {
	w := m.w
	r := m.newReport()
	m.reportsSent++
	number, sent, c := m.reportsSent, w.now, w.controllers[m.target]
	m.pendingReport, m.reportSentAt = number, sent
	if w.params.duplicateReports {
		w.duplicateLater(func(c *controller) { m.deliverCopy(c, r) })
	}
	w.captureReport(m, r)
	w.mostAttempts = max(w.mostAttempts, len(r.Attempts))
	if w.now < m.reportsLostUntil || reportTooLong(r) {
		return
	}
	w.send(m.host, c.host, false, func() {
		c.handleReport(r, func(ok bool, token uint64, cmds []model.Command, redirectTo string) {
			w.send(c.host, m.host, false, func() { m.handleAnswer(number, sent, r.Session, ok, token, cmds, redirectTo) })
		})
	})
}

// deliverCopy delivers a copy of a report; its answer is dropped. With acceptDuplicates the copy gets
// a new sequence number.
func (m *machine) deliverCopy(c *controller, r *model.Report) {
	copied := *r
	if r.Session < m.session {
		m.w.observe("a duplicate report of an earlier session")
	}
	if r.Seq < m.seq {
		m.w.observe("a duplicate report after a newer one")
	}
	if m.w.params.acceptDuplicates {
		m.seq++
		copied.Session, copied.Seq, copied.Token = m.session, m.seq, m.token
	}
	c.handleReport(&copied, func(bool, uint64, []model.Command, string) {})
}

// handleAnswer handles the answer to a report. A refusal sends the machine to the controller named as
// redirect target, or to the next one. An answer that arrives after the lease, because the machine
// hung, starts a new session.
func (m *machine) handleAnswer(number uint64, sent time.Duration, session uint64, ok bool, token uint64,
	cmds []model.Command, redirectTo string) {
	if m.returned {
		return
	}
	w := m.w
	if m.pendingReport != number || w.now-sent > 4*time.Second || session != m.session {
		return
	}
	if w.now < m.hungUntil {
		w.after(m.hungUntil-w.now, func() { m.handleAnswer(number, sent, session, ok, token, cmds, redirectTo) })
		return
	}
	if w.now-m.leaseStart > w.params.lease {
		m.nextSession()
		return
	}
	m.pendingReport = 0
	if !ok {
		m.target = (m.target + 1) % w.params.controllers
		m.nextReportAt = w.now + time.Second
		for i, c := range w.controllers {
			if c.host == redirectTo {
				m.target = i
				m.nextReportAt = w.now + w.randomDuration(0, 500*time.Millisecond)
			}
		}
		return
	}
	m.nextReportAt = w.now + w.randomDuration(w.params.reportInterval*3/4, w.params.reportInterval*5/4)
	if token < m.token {
		return
	}
	changed := token > m.token
	m.token = token
	m.leaseStart = sent
	if m.execute(cmds) || changed {
		m.nextReportAt = w.now + 500*time.Millisecond
	}
}

// handleDirectCommands handles commands that a controller sends straight to the worker. Those under an
// old token or for another session are refused.
func (m *machine) handleDirectCommands(token, session uint64, cmds []model.Command, answer func(*model.Report, bool)) {
	if m.returned {
		return
	}
	w := m.w
	if w.now < m.hungUntil {
		w.after(m.hungUntil-w.now, func() { m.handleDirectCommands(token, session, cmds, answer) })
		return
	}
	if w.now-m.leaseStart > w.params.lease {
		m.nextSession()
	}
	if token < m.token && !w.params.acceptOldTokens || session != m.session {
		answer(m.newReport(), false)
		return
	}
	m.token = max(m.token, token)
	if w.now < m.reportsLostUntil && len(cmds) > 0 {
		w.observe("a command reaches a machine whose reports are lost")
	}
	m.noteExecuted(token, session, cmds)
	if m.execute(cmds) && m.pendingReport == 0 {
		m.nextReportAt = min(m.nextReportAt, max(w.now, m.reportSentAt+500*time.Millisecond))
	}
	answer(m.newReport(), true)
}

// freeCapacity returns what the attempts leave of the machine's resources. The worker starts any number of
// attempts.
func (m *machine) freeCapacity() model.Resources {
	free := machineType.Cap
	free.Attempts = 1 << 40
	for k, a := range m.attempts {
		if a.Stage != model.Exited {
			free = free.Sub(m.w.users[k.task.Job].spec.PerTask)
		}
	}
	return free
}

// execute carries out commands and reports whether there were any. Launch fails if the job is unknown,
// the task already runs here or capacity is missing.
func (m *machine) execute(cmds []model.Command) bool {
	w := m.w
	w.checkCommandsFit(m, cmds)
	for _, c := range cmds {
		k := attemptKey{c.Task, c.Attempt}
		a := m.attempts[k]
		switch c.Verb {
		case model.Launch:
			if a != nil {
				continue
			}
			a = &attempt{AttemptStatus: model.AttemptStatus{Task: c.Task, Attempt: c.Attempt}}
			u := w.users[c.Task.Job]
			cause := model.CauseOther
			for o, x := range m.attempts {
				if o.task == c.Task && x.Stage != model.Exited {
					cause = model.CauseBusy
				}
			}
			switch {
			case u == nil:
				cause = model.CauseUnknown
			case cause == model.CauseOther && !u.spec.PerTask.Fits(m.freeCapacity()):
				cause = model.CauseNoCapacity
			}
			m.attempts[k] = a
			if cause != model.CauseOther {
				a.Stage, a.Cause = model.Exited, cause
				continue
			}
			a.readyAt = w.now + w.randomDuration(0, 2*time.Second)
			a.endAt = a.readyAt + w.randomDuration(time.Second, 2*u.spec.Estimate)
			if w.params.staggeredTasks {
				a.endAt = a.readyAt + w.staggeredRunTime(u, c.Task.Index)
			}
		case model.Kill:
			if a == nil || a.Stage == model.Exited {
				continue
			}
			sp := w.users[c.Task.Job].spec
			if a.Stage == model.Running && sp.CheckpointInterval > 0 && c.Grace >= sp.CheckpointTime {
				a.Stage, a.endAt = model.Saving, w.now+sp.CheckpointTime
			} else if a.Stage != model.Saving || c.Grace == 0 {
				m.exit(a, model.CauseStopped)
			}
		case model.Clear:
			if a != nil && a.Stage == model.Exited {
				delete(m.attempts, k)
			}
		}
	}
	return len(cmds) > 0
}

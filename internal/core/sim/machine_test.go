package sim

import (
	"fmt"
	"slices"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

type attempt struct {
	model.AttemptStatus
	readyAt, endAt time.Duration
	active         bool // it has its image: it counts for the rules
}

type attemptKey struct {
	task    model.Task
	attempt uint64
}

// machine is a worker that keeps to the protocol to the letter.
type machine struct {
	w    *world
	host string
	model.Machine
	session, seq, token uint64
	attempts            map[attemptKey]*attempt
	leaseStart          time.Duration
	target              int
	nextReportAt        time.Duration
	pendingReport       uint64 // number of the report in flight
	reportSentAt        time.Duration
	reportsSent         uint64
	hungUntil           time.Duration
	doneTasks           map[model.Task]bool
	returned            bool          // given back
	reportsLostUntil    time.Duration // its reports get lost until then, its answers to commands don't
	addedAt             time.Duration // when it came up
}

func newMachine(w *world, id model.MachineID, zone int) *machine {
	return &machine{w: w, host: fmt.Sprintf("m%d", id), session: 1, attempts: map[attemptKey]*attempt{},
		target:    int(id) % w.params.controllers,
		Machine:   model.Machine{ID: id, Addr: fmt.Sprintf("m%d", id), Type: 0, Zone: model.Name(zone), Spot: id%4 == 3},
		doneTasks: map[model.Task]bool{}}
}

// restart: the worker loses everything and comes up anew with its next session.
func (m *machine) restart() { m.nextSession() }

// noteAttemptGone notes that a task is on the machine no more.
func (m *machine) noteAttemptGone(k attemptKey) {
	u := m.w.users[k.task.Job]
	u.lastChangeAt = m.w.now
	if u.finalStage == jobs.Cancelled {
		m.w.maxCancelDelay = max(m.w.maxCancelDelay, m.w.now-u.endedAt)
	}
}

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

func (m *machine) exit(a *attempt, c model.Cause) {
	if a.active {
		m.noteAttemptGone(attemptKey{a.Task, a.Attempt})
	}
	a.Stage, a.Cause, a.active = model.Exited, c, false
	if m.pendingReport == 0 {
		m.nextReportAt = min(m.nextReportAt, max(m.w.now, m.reportSentAt+500*time.Millisecond))
	}
}

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

func (m *machine) newReport() *model.Report {
	m.seq++
	r := &model.Report{Machine: m.Machine, Session: m.session, Seq: m.seq, Token: m.token, PreemptionNotice: -1}
	for _, k := range m.sortedAttempts() {
		r.Attempts = append(r.Attempts, m.attempts[k].AttemptStatus)
	}
	return r
}

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
	if w.now < m.reportsLostUntil {
		return
	}
	w.send(m.host, c.host, false, func() {
		c.handleReport(r, func(ok bool, token uint64, cmds []model.Command, redirectTo string) {
			w.send(c.host, m.host, false, func() { m.handleAnswer(number, sent, r.Session, ok, token, cmds, redirectTo) })
		})
	})
}

// deliverCopy has a copy of a report arrive; nobody hears what is answered.
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
	if w.now-m.leaseStart > w.params.lease { // it woke up too late
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

// handleDirectCommands takes a command sent straight to the worker.
func (m *machine) handleDirectCommands(token, session uint64, cmds []model.Command, answer func(*model.Report, bool)) {
	if m.returned {
		return // nobody answers
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
	m.execute(cmds)
	answer(m.newReport(), true)
}

func (m *machine) freeCapacity() model.Resources {
	free := machineType.Cap
	for k, a := range m.attempts {
		if a.Stage != model.Exited {
			free = free.Sub(m.w.users[k.task.Job].spec.PerTask)
		}
	}
	return free
}

func (m *machine) execute(cmds []model.Command) bool {
	w := m.w
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

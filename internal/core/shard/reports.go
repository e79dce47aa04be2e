package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// tokenReportTime is how long a worker that has got a higher token may take to report
// it: it sends no more than a report each half second.
const tokenReportTime = 700 * time.Millisecond

// Answer to a report.
type Answer struct {
	OK       bool // false: not entitled
	Token    uint64
	Commands []model.Command
}

// HandleReport takes a worker's report and tells whether this shard is entitled to
// answer it.
func (s *Shard) HandleReport(now time.Duration, r *model.Report) bool {
	if !s.HasGrant(now) {
		return false
	}
	m := s.machines[r.Machine.ID]
	if m == nil {
		if s.redirects[r.Machine.ID] != "" {
			return false
		}
		s.emit(model.Event{Kind: model.UnownedWorker, Machine: r.Machine.ID, Report: r, MessageID: r.MessageID()})
		return false
	}
	if r.Token > m.token {
		// Somebody has been entitled after us: an answer would be dropped.
		s.emit(model.Event{Kind: model.TokenSuperseded, Machine: m.ID, Token: r.Token})
		return false
	}
	if m.ofEndedSession(r) {
		s.Stats.ExpiredSessionReports++
		s.handleStaleReport(now, m)
		return false
	}
	if s.unverified(now, m) {
		s.probeUnverified(m, r)
		return false
	}
	if !s.isNew(now, m, r) {
		s.handleStaleReport(now, m)
		return false
	}
	if r.Newer(m.session, m.seq) {
		s.applyMessage(now, m, r, true)
	} else {
		// Overtaken by the answer to a direct command; it still wants its own answer.
		m.reportSeq = r.Seq
	}
	return true
}

// Answer returns what a report that was taken is answered with. From here the
// worker's lease counts as renewed.
func (s *Shard) Answer(now time.Duration, r *model.Report) Answer {
	m := s.machines[r.Machine.ID]
	if m == nil || !s.HasGrant(now) {
		return Answer{}
	}
	m.answeredAt, m.everAnswered, m.tokenSent = now, true, true
	if !m.fenced && m.tokenOfferedAt == 0 {
		m.tokenOfferedAt, m.probeFailed = now, false
	}
	s.markAlive(m)
	cmds := append(s.killNotOpen(m, r), s.commandsFor(now, m, r.Seq, false)...)
	// A worker that is not fenced yet has the token with this answer, and mostly
	// reports that by itself: only if it does not, it is told directly as well.
	m.needsFlush, m.directNotBefore = !m.fenced, now+tokenReportTime
	return Answer{OK: true, Token: m.token, Commands: cmds}
}

// killNotOpen ends what a worker holds of jobs that are not open. This answer renews
// its lease, so it must not wait for the worker to be fenced, or for the dealer
// to judge what was found: under load, owners that followed each other each
// answered a worker before any of them got that far, and a cancelled task ran on.
func (s *Shard) killNotOpen(m *machine, r *model.Report) []model.Command {
	var cmds []model.Command
	if s.openJobs == nil {
		return nil
	}
	for _, status := range r.Attempts {
		if status.Stage == model.Exited || s.openJobs[status.Task.Job] {
			continue
		}
		if a := m.attempts.get(attemptKey{status.Task, status.Attempt}); a == nil || a.assigned == nil && !a.stopping {
			cmds = append(cmds, model.Command{Verb: model.Kill, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return cmds
}

// applyMessage brings a machine's books in line with a newer message of its worker.
// isReport tells a report from the answer to a direct command: only a report
// proves that the answer to the report before it has arrived or never will.
func (s *Shard) applyMessage(now time.Duration, m *machine, r *model.Report, isReport bool) {
	if r.Session > m.session && m.session != 0 && m.fenced {
		// The worker has killed and forgotten all of its earlier session.
		s.checkAnswersArrived(now, m)
		s.loseAllAttempts(now, m)
		s.restartLease(now, m)
	}
	if isReport {
		m.reportSeq = r.Seq
	} else if r.Session != m.session {
		m.reportSeq = 0
	}
	m.session, m.seq, m.shownToken = r.Session, r.Seq, r.Token
	if m.Addr == "" && r.Machine.Addr != "" {
		m.Addr, m.summaryChanged = r.Machine.Addr, true
	}
	if r.PreemptionNotice >= 0 {
		if m.preemptionAt == 0 {
			m.preemptionAt = now + r.PreemptionNotice
		}
	} else {
		m.preemptionAt = 0
	}
	if r.Token < m.fencingToken {
		// Not fenced: an earlier owner's commands may still take effect.
		m.needsFlush = true
		return
	}
	s.messagesApplied++
	for _, status := range r.Attempts {
		s.applyAttemptStatus(now, m, attemptKey{status.Task, status.Attempt}, status)
	}
	var missing []*attempt
	for _, a := range m.attempts {
		if a.lastSeen != s.messagesApplied {
			missing = append(missing, a)
		}
	}
	for _, a := range missing {
		s.handleMissingAttempt(now, a, r, isReport)
	}
	if !m.fenced {
		m.fenced = true
		s.restartLease(now, m)
		s.markReceiving(m)
		s.replanAll = true
		s.emit(model.Event{Kind: model.WorkerFenced, Machine: m.ID})
	}
}

func (s *Shard) applyAttemptStatus(now time.Duration, m *machine, k attemptKey, status model.AttemptStatus) {
	a := m.attempts.get(k)
	if a == nil {
		a = &attempt{attemptKey: k, launchSent: true, state: live, stage: status.Stage, notAdopted: true,
			lastSeen: s.messagesApplied}
		s.addAttempt(m, a)
		if status.Stage == model.Exited {
			a.state, a.notAdopted = exited, false
		}
		s.emit(model.Event{Kind: model.AttemptFound, Machine: m.ID, Task: k.task, Attempt: k.number, Status: status})
		return
	}
	a.lastSeen = s.messagesApplied
	if a.state == exited {
		return
	}
	a.stage = status.Stage
	if a.state == starting {
		s.markReceiving(m)
	}
	if status.Stage != model.Exited {
		a.state = live
		if status.Stage == model.Running && a.runningSince == 0 {
			a.runningSince = now
			if t := a.assigned; t != nil && t.interruptionReported {
				t.interruptionReported = false
				s.emit(model.Event{Kind: model.TaskResumed, Machine: m.ID, Task: t.Task})
			}
		}
		return
	}
	s.freeResources(a)
	a.state = exited
	m.minPriceValid = false
	t := a.assigned
	switch status.Cause {
	case model.CauseDone:
		s.recordSuccess(k.task.Job)
		assigned := t != nil && t.attempt == a
		if assigned {
			a.assigned = nil
			delete(s.tasks, t.Task)
		}
		s.reportRejectedGone(a)
		// Cleared once its completion is stored.
		s.emit(model.Event{Kind: model.TaskFinished, Machine: m.ID, Task: k.task, Attempt: k.number, Held: assigned,
			RunTime: a.ran(now)})
		return
	case model.CauseError:
		s.Stats.Errors++
		s.recordFailure(now, m, k.task.Job)
	case model.CauseNoCapacity, model.CauseBusy:
		s.Stats.Refused++
		// Our books were wrong about this machine: let reports catch up.
		m.refusedUntil = now + s.params.ReportInterval
	}
	a.clearable = true
	m.needsFlush = true
	s.settleTask(now, a, status.Cause)
}

// handleMissingAttempt settles a slot that a newer message does not show.
func (s *Shard) handleMissingAttempt(now time.Duration, a *attempt, r *model.Report, isReport bool) {
	switch a.state {
	case exited: // cleared
		s.removeAttempt(now, a)
	case live: // the worker knew it and knows it no more
		if a.directToken != 0 && r.Token <= a.directToken {
			s.requireHigherToken(a.machine) // its launch, repeated, would begin it anew
			return
		}
		s.removeAttempt(now, a)
		s.settleTask(now, a, model.CauseStopped)
	case starting:
		if !a.launchSent {
			return
		}
		// A direct launch may yet be executed, or once more, until the worker has
		// seen a higher token than it bears. A launch in an answer is over once a
		// later report was made.
		laterReport := isReport && r.Seq > a.launchSeq
		if laterReport && a.launchSeq != 0 {
			s.recordIgnoredLaunch(a.machine, r)
		}
		launchOver := a.directLaunches == 0 && (a.directToken == 0 || r.Token > a.directToken) &&
			(a.launchSeq == 0 || laterReport)
		if launchOver && a.stopping {
			s.removeAttempt(now, a)
			s.settleTask(now, a, model.CauseStopped)
		} else if launchOver {
			a.launchSent, a.directToken, a.launchSeq, a.launchUnanswered = false, 0, 0, false
		}
	}
}

// commandsFor returns what the worker must be told. They may be repeated until
// its reports show their effect.
func (s *Shard) commandsFor(now time.Duration, m *machine, seq uint64, direct bool) []model.Command {
	if !m.fenced {
		return nil
	}
	var cmds []model.Command
	uncleared := 0
	free := m.Cap
	for _, a := range m.attempts {
		if a.state != exited && a.launchSent {
			free = free.Sub(a.resources)
		}
	}
	for _, a := range m.attempts {
		switch {
		case a.state == exited:
			switch {
			case !a.clearable:
			case (a.directToken == 0 || m.shownToken > a.directToken) && a.directLaunches == 0:
				cmds = append(cmds, model.Command{Verb: model.Clear, Task: a.task, Attempt: a.number})
			case a.launchUnanswered:
				s.requireHigherToken(m)
			case a.directToken != 0:
				uncleared++
			}
		case a.stopping:
			grace := a.grace
			if a.stage == model.Saving && now < a.killAt && grace > 0 {
				continue
			}
			if now >= a.killAt {
				grace = 0
			}
			if a.state == starting && a.directToken != 0 {
				s.requireHigherToken(m)
			}
			cmds = append(cmds, model.Command{Verb: model.Kill, Task: a.task, Attempt: a.number, Grace: grace})
		case a.state == starting && a.directLaunches == 0:
			if !a.launchSent {
				// A reservation waits until its victims are gone.
				if !a.resources.Fits(free) || !m.usable || m.inboundLost {
					continue
				}
				free = free.Sub(a.resources)
			}
			a.launchSent = true
			if !direct {
				a.launchSeq = seq
			}
			cmds = append(cmds, model.Command{Verb: model.Launch, Task: a.task, Attempt: a.number})
		}
	}
	s.raiseTokenToClear(now, m, uncleared)
	return cmds
}

// Attempts that are kept though they could be cleared: until they are so many, or have
// waited for so long. Each raised token costs a report of its own.
const (
	maxUncleared     = 32
	maxUnclearedTime = 3 * time.Minute
	// A report holds 64 KiB: where many short tasks end, that does not wait.
	urgentUncleared = 64
)

// raiseTokenToClear asks for a higher token, so that attempts which were launched directly can be
// cleared: a worker that knows an attempt no more begins it anew if the launch comes once
// more under a token that still stands. What has exited takes no room meanwhile.
func (s *Shard) raiseTokenToClear(now time.Duration, m *machine, uncleared int) {
	if uncleared == 0 {
		m.unclearedSince = 0
		return
	}
	if m.unclearedSince == 0 {
		m.unclearedSince = now
	}
	due := (uncleared >= maxUncleared || now-m.unclearedSince >= maxUnclearedTime) &&
		(m.tokenRaisedAt == 0 || now-m.tokenRaisedAt >= s.params.MaxLease/2)
	if m.token == m.shownToken && (due || uncleared >= urgentUncleared) {
		m.tokenRaisedAt = now
		s.emit(model.Event{Kind: model.TokenNeeded, Machine: m.ID})
	}
}

// requireHigherToken asks for a higher token than the one that the worker has shown; until it is
// there the machine gets nothing new.
func (s *Shard) requireHigherToken(m *machine) {
	if m.token == m.shownToken {
		s.requestToken(m)
	}
}

func (s *Shard) requestToken(m *machine) {
	if !m.tokenNeeded {
		m.tokenNeeded = true
		s.emit(model.Event{Kind: model.TokenNeeded, Machine: m.ID})
	}
}

package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// tokenReportTime is how long a worker may take to report a higher token that it received: it
// sends at most one report per half second.
const tokenReportTime = 700 * time.Millisecond

// Answer is the answer to a worker's report.
type Answer struct {
	OK       bool // false: this shard is not entitled to answer the worker
	Token    uint64
	Commands []model.Command
}

// HandleReport applies a worker's report and returns whether this shard is entitled to answer
// it. It refuses reports of machines that it does not own, of workers that have seen a higher
// token, of sessions whose lease has expired, of unverified workers, and copies of older reports.
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
		// A later owner has a higher token, so the worker would drop an answer from here.
		s.emitAsOwner(m, model.Event{Kind: model.TokenSuperseded, Token: r.Token})
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
		// The answer to a direct command has overtaken this report, so its contents are out of
		// date. The worker still waits for the answer to it.
		m.reportSeq = r.Seq
	}
	return true
}

// Answer returns the answer to a report that HandleReport accepted. The worker's lease
// counts as renewed from now on.
func (s *Shard) Answer(now time.Duration, r *model.Report) Answer {
	m := s.machines[r.Machine.ID]
	if m == nil || !s.HasGrant(now) {
		return Answer{}
	}
	m.answeredAt, m.everAnswered, m.tokenSent, m.reportRequested = now, true, true, false
	if !m.fenced && m.tokenOfferedAt == 0 {
		m.tokenOfferedAt, m.probeFailed = now, false
	}
	s.markAlive(m)
	// The answer carries the token to a worker that is not fenced yet. The worker usually reports
	// the token soon. If it does not, the token is also sent in a direct command.
	m.needsFlush, m.directNotBefore = !m.fenced, now+tokenReportTime
	cmds := s.killNotOpen(m, r)
	cmds = append(cmds, s.answerCommands(now, m, r.Seq, maxCommands-len(cmds))...)
	return Answer{OK: true, Token: m.token, Commands: cmds}
}

// killNotOpen returns kill commands for reported attempts whose jobs are not open and whose tasks
// are not assigned to this shard. It does not wait until the worker is fenced or until the dispatcher
// has decided on the found attempts, because each answer renews the worker's lease: with owners
// that change quickly under load, none may get that far, and a cancelled task would run on.
func (s *Shard) killNotOpen(m *machine, r *model.Report) []model.Command {
	var cmds []model.Command
	if s.openJobs == nil {
		return nil
	}
	for _, status := range r.Attempts {
		if len(cmds) == maxCommands {
			break
		}
		if status.Stage == model.Exited || s.openJobs[status.Task.Job] {
			continue
		}
		if a := m.attempts.get(attemptKey{status.Task, status.Attempt}); a == nil || a.assigned == nil && !a.stopping {
			cmds = append(cmds, model.Command{Verb: model.Kill, Task: status.Task, Attempt: status.Attempt})
		}
	}
	return cmds
}

// applyMessage updates a machine's state from a newer message of its worker. isReport is false for
// the answer to a direct command. Only a report proves that the answer to the previous report has
// either arrived or never will.
func (s *Shard) applyMessage(now time.Duration, m *machine, r *model.Report, isReport bool) {
	if r.Session > m.session && m.session != 0 && m.fenced {
		// The worker has killed and forgotten all attempts of its earlier session.
		s.detectLostAnswers(now, m)
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
		// The worker is not fenced: commands of an earlier owner may still take effect, so its
		// attempts are not recorded yet.
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
		s.emitAsOwner(m, model.Event{Kind: model.WorkerFenced})
	}
}

// applyAttemptStatus updates an attempt from its status in a worker's message. An unknown attempt
// is recorded and reported to the dispatcher as found. The task of an exited attempt is finished,
// returned or queued again, depending on the cause of the exit.
func (s *Shard) applyAttemptStatus(now time.Duration, m *machine, k attemptKey, status model.AttemptStatus) {
	a := m.attempts.get(k)
	if a == nil && k.task == reportRequestTask {
		s.addRefusedRequest(now, m, k, status)
		return
	}
	if a == nil {
		a = &attempt{attemptKey: k, launchSent: true, state: live, stage: status.Stage, notAdopted: true,
			lastSeen: s.messagesApplied, resources: unassignedResources}
		s.addAttempt(m, a)
		if status.Stage == model.Exited {
			a.state, a.notAdopted = exited, false
		}
		s.emitAsOwner(m, model.Event{Kind: model.AttemptFound, Task: k.task, Attempt: k.number, Status: status})
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
	s.releaseOnExit(a)
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
		// The attempt becomes clearable with the ClearAttempt order, once its completion is stored.
		s.emit(model.Event{Kind: model.TaskFinished, Machine: m.ID, Task: k.task, Attempt: k.number, Held: assigned,
			RunTime: a.ran(now)})
		return
	case model.CauseError:
		s.Stats.Errors++
		s.recordFailure(now, m, k.task.Job)
	case model.CauseNoCapacity, model.CauseBusy:
		s.Stats.Refused++
		// The machine had less capacity than recorded here: wait until reports show its attempts.
		m.refusedUntil = now + s.params.ReportInterval
	}
	a.clearable = true
	m.needsFlush = true
	s.settleTask(now, a, status.Cause)
}

// handleMissingAttempt updates an attempt that a newer message of the worker does not list. It
// removes the attempt, or allows another launch, once no launch in flight can still start it.
func (s *Shard) handleMissingAttempt(now time.Duration, a *attempt, r *model.Report, isReport bool) {
	switch a.state {
	case exited: // the worker has cleared it
		s.removeAttempt(now, a)
	case live: // the worker has lost it
		s.removeAttempt(now, a)
		s.settleTask(now, a, model.CauseStopped)
	case starting:
		if !a.launchSent {
			return
		}
		// A launch in the answer to a report can no longer be executed once the worker has made a
		// later report. The answer to a direct command may have overtaken it, and proves nothing.
		if !isReport || r.Seq <= a.launchSeq {
			return
		}
		if a.launchSeq != 0 {
			s.recordIgnoredLaunch(a.machine, r)
		}
		if a.stopping {
			s.removeAttempt(now, a)
			s.settleTask(now, a, model.CauseStopped)
		} else {
			a.launchSent, a.launchSeq = false, 0
		}
	}
}

// maxCommands is how many commands a message to a worker may carry: it may hold 64 KiB, as a report may,
// and a command takes no more of it than an attempt does of a report.
const maxCommands = model.AttemptsPerMachine

// answerCommands returns at most limit commands for the answer to a report of a fenced worker. They are
// repeated until the worker's messages show their effect; those beyond the limit are sent with a later
// message. seq is the number of the report.
func (s *Shard) answerCommands(now time.Duration, m *machine, seq uint64, limit int) []model.Command {
	if !m.fenced {
		return nil
	}
	cmds := s.stopCommands(now, m, limit)
	free := m.launchCapacity(cmds)
	for _, a := range m.attempts {
		if a.state != starting || a.stopping {
			continue
		}
		if len(cmds) >= limit {
			break
		}
		if !a.launchSent {
			// The launch waits until the victims have gone, and have been cleared if they leave no
			// place for an attempt.
			if !a.resources.Fits(free) || !m.usable || m.inboundLost {
				continue
			}
			free = free.Sub(a.resources)
		}
		a.launchSent, a.launchSeq = true, seq
		cmds = append(cmds, model.Command{Verb: model.Launch, Task: a.task, Attempt: a.number})
	}
	return cmds
}

// stopCommands returns at most limit commands that clear and kill attempts of a fenced worker. They may be
// carried out late, or more than once.
func (s *Shard) stopCommands(now time.Duration, m *machine, limit int) []model.Command {
	if !m.fenced {
		return nil
	}
	var cmds []model.Command
	for _, a := range m.attempts {
		c, due := a.stopCommand(now)
		if !due {
			continue
		}
		if len(cmds) >= limit {
			m.needsFlush = true
			break
		}
		cmds = append(cmds, c)
	}
	return cmds
}

// stopCommand returns the command that clears or kills the attempt, if one is due.
func (a *attempt) stopCommand(now time.Duration) (c model.Command, due bool) {
	switch {
	case a.state == exited:
		return model.Command{Verb: model.Clear, Task: a.task, Attempt: a.number}, a.clearable
	case !a.stopping || a.stage == model.Saving && now < a.killAt && a.grace > 0:
		return model.Command{}, false
	case now >= a.killAt:
		return model.Command{Verb: model.Kill, Task: a.task, Attempt: a.number}, true
	}
	return model.Command{Verb: model.Kill, Task: a.task, Attempt: a.number, Grace: a.grace}, true
}

// launchCapacity returns what is left of the machine for further launches: all launches that were sent may
// have been executed. The attempts that are cleared by the same message leave their places.
func (m *machine) launchCapacity(cmds []model.Command) model.Resources {
	free := m.Cap
	for i := range cmds {
		if cmds[i].Verb == model.Clear {
			free.Attempts++
		}
	}
	for _, a := range m.attempts {
		if a.launchSent {
			free = free.Sub(a.resources)
		}
	}
	return free
}

// requestToken asks the dispatcher for a higher token. The machine gets no new tasks until the
// token arrives.
func (s *Shard) requestToken(m *machine) {
	if !m.tokenNeeded {
		m.tokenNeeded = true
		s.emitAsOwner(m, model.Event{Kind: model.TokenNeeded})
	}
}

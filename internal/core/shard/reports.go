package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// tellsItself is how long a worker that has got a higher token may take to report
// it: it sends no more than a report each half second.
const tellsItself = 700 * time.Millisecond

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
		if s.moved[r.Machine.ID] != "" {
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
		s.stale(now, m)
		return false
	}
	if s.unverified(now, m) {
		s.questionUnverified(m, r)
		return false
	}
	if !s.fresh(now, m, r) {
		s.stale(now, m)
		return false
	}
	if r.Newer(m.session, m.seq) {
		s.take(now, m, r, true)
	} else {
		// Overtaken by the answer to a direct command; it still wants its own answer.
		m.reported = r.Seq
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
	m.answered, m.spoke, m.tokenSent = now, true, true
	if !m.fenced && m.tokenOffered == 0 {
		m.tokenOffered, m.questionFailed = now, false
	}
	s.signOfLife(m)
	cmds := append(s.vet(m, r), s.commands(now, m, r.Seq, false)...)
	// A worker that is not fenced yet has the token with this answer, and mostly
	// reports that by itself: only if it does not, it is told directly as well.
	m.wake, m.patient = !m.fenced, now+tellsItself
	return Answer{OK: true, Token: m.token, Commands: cmds}
}

// vet ends what a worker holds of jobs that are not open. This answer renews
// its lease, so it must not wait for the worker to be fenced, or for the dealer
// to judge what was found: under load, owners that followed each other each
// answered a worker before any of them got that far, and a cancelled task ran on.
func (s *Shard) vet(m *machine, r *model.Report) []model.Command {
	var cmds []model.Command
	if s.open == nil {
		return nil
	}
	for _, c := range r.Attempts {
		if c.Stage == model.Exited || s.open[c.Task.Job] {
			continue
		}
		if sl := m.slots.get(key{c.Task, c.Attempt}); sl == nil || sl.t == nil && !sl.stop {
			cmds = append(cmds, model.Command{Verb: model.Kill, Task: c.Task, Attempt: c.Attempt})
		}
	}
	return cmds
}

// take brings a machine's books in line with a newer message of its worker.
// isReport tells a report from the answer to a direct command: only a report
// proves that the answer to the report before it has arrived or never will.
func (s *Shard) take(now time.Duration, m *machine, r *model.Report, isReport bool) {
	if r.Session > m.session && m.session != 0 && m.fenced {
		// The worker has killed and forgotten all of its earlier session.
		s.endedDespiteAnswers(now, m)
		s.loseAll(now, m)
		s.mayLast(now, m)
	}
	if isReport {
		m.reported = r.Seq
	} else if r.Session != m.session {
		m.reported = 0
	}
	m.session, m.seq, m.shown = r.Session, r.Seq, r.Token
	if m.Addr == "" && r.Machine.Addr != "" {
		m.Addr, m.anew = r.Machine.Addr, true
	}
	if r.PreemptionNotice >= 0 {
		if m.noticeAt == 0 {
			m.noticeAt = now + r.PreemptionNotice
		}
	} else {
		m.noticeAt = 0
	}
	if r.Token < m.first {
		// Not fenced: an earlier owner's commands may still take effect.
		m.wake = true
		return
	}
	s.takes++
	for _, c := range r.Attempts {
		s.cell(now, m, key{c.Task, c.Attempt}, c)
	}
	var unseen []*slot
	for _, sl := range m.slots {
		if sl.seen != s.takes {
			unseen = append(unseen, sl)
		}
	}
	for _, sl := range unseen {
		s.absent(now, sl, r, isReport)
	}
	if !m.fenced {
		m.fenced = true
		s.mayLast(now, m)
		s.receives(m)
		s.replan = true
		s.emit(model.Event{Kind: model.WorkerFenced, Machine: m.ID})
	}
}

func (s *Shard) cell(now time.Duration, m *machine, k key, c model.AttemptStatus) {
	sl := m.slots.get(k)
	if sl == nil {
		sl = &slot{key: k, sent: true, state: live, stage: c.Stage, stray: true, seen: s.takes}
		s.put(m, sl)
		if c.Stage == model.Exited {
			sl.state, sl.stray = exited, false
		}
		s.emit(model.Event{Kind: model.AttemptFound, Machine: m.ID, Task: k.task, Attempt: k.attempt, Status: c})
		return
	}
	sl.seen = s.takes
	if sl.state == exited {
		return
	}
	sl.stage = c.Stage
	if sl.state == starting {
		s.receives(m)
	}
	if c.Stage != model.Exited {
		sl.state = live
		if c.Stage == model.Running && sl.runSince == 0 {
			sl.runSince = now
			if t := sl.t; t != nil && t.told {
				t.told = false
				s.emit(model.Event{Kind: model.TaskResumed, Machine: m.ID, Task: t.Task})
			}
		}
		return
	}
	s.free(sl)
	sl.state = exited
	m.priced = false
	t := sl.t
	switch c.Cause {
	case model.CauseDone:
		s.succeeded(k.task.Job)
		held := t != nil && t.slot == sl
		if held {
			sl.t = nil
			delete(s.tasks, t.Task)
		}
		s.strayGone(sl)
		// Cleared once its completion is stored.
		s.emit(model.Event{Kind: model.TaskFinished, Machine: m.ID, Task: k.task, Attempt: k.attempt, Held: held,
			RunTime: sl.ran(now)})
		return
	case model.CauseError:
		s.Stats.Errors++
		s.blame(now, m, k.task.Job)
	case model.CauseNoCapacity, model.CauseBusy:
		s.Stats.Refused++
		// Our books were wrong about this machine: let reports catch up.
		m.refusedUntil = now + s.p.ReportInterval
	}
	sl.clear = true
	m.wake = true
	s.landed(now, sl, c.Cause)
}

// absent settles a slot that a newer message does not show.
func (s *Shard) absent(now time.Duration, sl *slot, r *model.Report, isReport bool) {
	switch sl.state {
	case exited: // cleared
		s.drop(now, sl)
	case live: // the worker knew it and knows it no more
		if sl.doubt != 0 && r.Token <= sl.doubt {
			s.wantToken(sl.m) // its launch, repeated, would begin it anew
			return
		}
		s.drop(now, sl)
		s.landed(now, sl, model.CauseStopped)
	case starting:
		if !sl.sent {
			return
		}
		// A direct launch may yet be executed, or once more, until the worker has
		// seen a higher token than it bears. A launch in an answer is over once a
		// later report was made.
		later := isReport && r.Seq > sl.sentSeq
		if later && sl.sentSeq != 0 {
			s.launchIgnored(sl.m, r)
		}
		over := sl.direct == 0 && (sl.doubt == 0 || r.Token > sl.doubt) && (sl.sentSeq == 0 || later)
		if over && sl.stop {
			s.drop(now, sl)
			s.landed(now, sl, model.CauseStopped)
		} else if over {
			sl.sent, sl.doubt, sl.sentSeq, sl.unsure = false, 0, 0, false
		}
	}
}

// commands returns what the worker must be told. They may be repeated until
// its reports show their effect.
func (s *Shard) commands(now time.Duration, m *machine, seq uint64, direct bool) []model.Command {
	if !m.fenced {
		return nil
	}
	var cmds []model.Command
	kept := 0
	room := m.Cap
	for _, sl := range m.slots {
		if sl.state != exited && sl.sent {
			room = room.Sub(sl.each)
		}
	}
	for _, sl := range m.slots {
		switch {
		case sl.state == exited:
			switch {
			case !sl.clear:
			case (sl.doubt == 0 || m.shown > sl.doubt) && sl.direct == 0:
				cmds = append(cmds, model.Command{Verb: model.Clear, Task: sl.task, Attempt: sl.attempt})
			case sl.unsure:
				s.wantToken(m)
			case sl.doubt != 0:
				kept++
			}
		case sl.stop:
			g := sl.grace
			if sl.stage == model.Saving && now < sl.hardAt && g > 0 {
				continue
			}
			if now >= sl.hardAt {
				g = 0
			}
			if sl.state == starting && sl.doubt != 0 {
				s.wantToken(m)
			}
			cmds = append(cmds, model.Command{Verb: model.Kill, Task: sl.task, Attempt: sl.attempt, Grace: g})
		case sl.state == starting && sl.direct == 0:
			if !sl.sent {
				// A reservation waits until its victims are gone.
				if !sl.each.Fits(room) || !m.usable || m.inboundLost {
					continue
				}
				room = room.Sub(sl.each)
			}
			sl.sent = true
			if !direct {
				sl.sentSeq = seq
			}
			cmds = append(cmds, model.Command{Verb: model.Launch, Task: sl.task, Attempt: sl.attempt})
		}
	}
	s.raise(now, m, kept)
	return cmds
}

// Attempts that are kept though they could be cleared: until they are so many, or have
// waited for so long. Each raised token costs a report of its own.
const (
	mostUncleared = 32
	unclearedFor  = 3 * time.Minute
	// A report holds 64 KiB: where many short tasks end, that does not wait.
	tooManyUncleared = 64
)

// raise asks for a higher token, so that attempts which were launched directly can be
// cleared: a worker that knows an attempt no more begins it anew if the launch comes once
// more under a token that still stands. What has exited takes no room meanwhile.
func (s *Shard) raise(now time.Duration, m *machine, kept int) {
	if kept == 0 {
		m.unclearedSince = 0
		return
	}
	if m.unclearedSince == 0 {
		m.unclearedSince = now
	}
	due := (kept >= mostUncleared || now-m.unclearedSince >= unclearedFor) &&
		(m.raised == 0 || now-m.raised >= s.p.MaxLease/2)
	if m.token == m.shown && (due || kept >= tooManyUncleared) {
		m.raised = now
		s.emit(model.Event{Kind: model.TokenNeeded, Machine: m.ID})
	}
}

// wantToken asks for a higher token than the one that the worker has shown; until it is
// there the machine gets nothing new.
func (s *Shard) wantToken(m *machine) {
	if m.token == m.shown {
		s.askToken(m)
	}
}

func (s *Shard) askToken(m *machine) {
	if !m.needToken {
		m.needToken = true
		s.emit(model.Event{Kind: model.TokenNeeded, Machine: m.ID})
	}
}

package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// That a worker is heard does not show that it hears, and that a report arrives does
// not show that it is new.
//
// A report counts only if it is newer than the last one of this worker: anything else is
// a copy, which changes no book, is no sign of life and carries no command. A worker that
// is fenced bears a token that nobody had before this shard owned it, so no copy of
// earlier times passes for a fenced worker's.
//
// That a worker hears is shown only by what it could not say otherwise: the token that it
// was given, the effect of a command, an answer on a connection that was opened to it.

const (
	// A worker that gives up on a report after 4 s still gets the answer until then: a
	// report that the answer to a direct command has overtaken is new for so long.
	overtakenFor = 5 * time.Second
	// Answers in succession whose launches a worker must have passed over to be held to
	// hear nothing: one answer may come too late.
	vainAnswers = 2
	// asksEnough questions in succession without an answer: it may be given up.
	asksEnough = 3
	// longestAsk bounds the pause between two questions to a worker that hears nothing.
	longestAsk = 16 * time.Second
	// Questions to such workers take at most this part of what may be under way, for
	// each ends only when its time is over.
	askPart = 4
)

// fresh tells whether a report is newer than the last one: else it is a copy, or its
// worker has begun its numbers anew.
func (s *Shard) fresh(now time.Duration, m *machine, r *model.Report) bool {
	if !m.fenced {
		return r.Newer(m.session, m.reported)
	}
	if r.Newer(m.session, m.seq) {
		return r.Token >= m.first // a token never falls
	}
	return r.Session == m.session && r.Seq > m.reported && now-m.asked <= overtakenFor
}

// stale takes a report that is not new. It is a copy, or its worker has begun its
// numbers anew; an answer on a connection that is opened to it tells.
func (s *Shard) stale(now time.Duration, m *machine) {
	if now >= m.askStale {
		m.askStale = now + max(s.p.Report, overtakenFor)
		m.probe, m.wake = true, true
	}
}

// mute tells that a worker's reports are not to be answered, for nothing shows that it
// hears: it has passed over the token that it was offered for longer than a report takes,
// and a question besides; or other owners have had no better luck. Answered on, its lease
// would count as renewed for ever, and all that may be there would wait for that.
func (s *Shard) mute(now time.Duration, m *machine) bool {
	return !m.fenced && (m.prove || m.vain && m.offered != 0 && now-m.offered > s.p.Overdue())
}

// Proving tells whether a worker that nothing shows to hear is being asked: its report
// may wait a moment for that.
func (s *Shard) Proving(now time.Duration, id model.MachineID) bool {
	m := s.machines[id]
	return m != nil && s.mute(now, m) && (m.inFlight > 0 || m.wake && now >= m.quietUntil)
}

// askMute has a worker that is not answered asked whether it hears.
func (s *Shard) askMute(m *machine, r *model.Report) {
	if r.Newer(m.session, m.seq) { // to be addressed by
		if r.Session != m.session {
			m.reported = 0
		}
		m.session, m.seq = r.Session, r.Seq
	}
	m.probe, m.wake = true, true
}

// hears takes a proof that a worker hears.
func (s *Shard) hears(m *machine) {
	m.prove, m.vain, m.asks, m.passed = false, false, 0, 0
	if m.dumb {
		m.dumb = false
		s.replan = true
	}
}

// passedOver takes a launch in an answer that the worker's next report does not show.
func (s *Shard) passedOver(m *machine, r *model.Report) {
	if m.passedSeq == r.Seq {
		return // counted with another launch of that answer
	}
	m.passedSeq = r.Seq
	if m.passed++; m.passed >= vainAnswers {
		m.dumb = true
	}
}

// mayLast takes a session that may have begun just now: its lease runs from its begin,
// whether a report of it has been answered or not. A launch that went straight to the
// worker would else be taken for over while it ran, if no report came through.
func (s *Shard) mayLast(now time.Duration, m *machine) {
	m.answered = max(m.answered, now)
	s.heard(m)
}

// deafSession takes a new session of a worker that was fenced. It ends for want of
// answers: one that was given a moment ago has not arrived.
func (s *Shard) deafSession(now time.Duration, m *machine) {
	if m.spoke && now-m.answered < s.p.SureLease/2 {
		m.dumb = true
	}
}

// pause is how long a worker that did not answer a question is left alone.
func (s *Shard) pause(now time.Duration, m *machine) time.Duration {
	if !m.dumb && !s.mute(now, m) {
		return s.p.DoubtPause
	}
	m.asks = min(m.asks+1, 8)
	return min(s.p.DoubtPause<<(m.asks-1), longestAsk)
}

// reborn has a worker that has begun its numbers anew fenced once more, under a token
// that nobody had before: until it shows that, nothing that it does not list is free.
func (s *Shard) reborn(m *machine, r *model.Report) {
	for _, sl := range m.slots {
		if sl.state == starting && sl.sent {
			sl.doubt, sl.sentSeq = max(sl.doubt, m.token), 0
		}
	}
	m.session, m.seq, m.reported = r.Session, r.Seq, 0
	s.fenceAnew(m)
}

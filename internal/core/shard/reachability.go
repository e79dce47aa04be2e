package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// reachability is what the shard knows of the way to a worker and of the way back. A report that
// arrives shows neither that the worker receives what it is sent, nor that it is new: a network
// may fail in one direction, and deliver what it held back.
//
// A report counts only if it is newer than the last one of this worker. Anything else is a copy,
// which changes nothing, is no sign of life and is answered with no command. A fenced worker
// bears a token that nobody had before this shard owned it, so no copy of earlier times passes
// for a fenced worker's.
//
// That a worker receives is shown only by what it could not say otherwise: the token that it was
// given, the effect of a command, or an answer on a connection that was opened to it.
//
// The states below are independent of each other; a worker that is in none of them is reachable.
type reachability struct {
	// leaseExpired: nobody here has answered the worker for its whole lease. The dispatcher was
	// told, at expiryTold, and only its confirmation (Lapse) frees anything.
	leaseExpired bool
	expiryTold   time.Duration

	// unreachable: its report is overdue and a direct command failed, while most of its zone
	// reports. The dispatcher was told, and may return the machine to the cloud.
	unreachable bool

	// inboundLost: it reports, and was fenced, but does not receive what it is sent. It gets
	// nothing new, and is asked directly once in a while.
	inboundLost    bool
	ignoredAnswers int    // answers in succession whose launches its next report did not show
	ignoredSeq     uint64 // the report that showed the last of them

	// unproven: owners before this one could not have it show a token, so it is answered only
	// once it is shown to receive.
	unproven bool
	// tokenOffered is when it was first answered with the token to be shown, 0: not yet;
	// questionFailed tells that a question failed since. Both make a worker that is not fenced
	// unverified: its reports are answered no more.
	tokenOffered   time.Duration
	questionFailed bool

	failedQuestions   int           // in succession
	directAnswered    time.Duration // the last answer to a direct command came
	nextStaleQuestion time.Duration // not to be asked before because of reports that are not new
}

const (
	// A worker that gives up on a report after 4 s still gets the answer until then: a
	// report that the answer to a direct command has overtaken is new for so long.
	overtakenFor = 5 * time.Second
	// Answers in succession whose launches a worker must have ignored to be held to receive
	// nothing: one answer may come too late.
	ignoredEnough = 2
	// Questions in succession without an answer after which a worker may be given up.
	questionsEnough = 3
	// longestQuestionPause bounds the pause between two questions to a worker that receives
	// nothing.
	longestQuestionPause = 16 * time.Second
	// Questions to such workers take at most this part of what may be under way, for
	// each ends only when its time is over.
	questionPart = 4
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
	return r.Session == m.session && r.Seq > m.reported && now-m.directAnswered <= overtakenFor
}

// stale takes a report that is not new. It is a copy, or its worker has begun its
// numbers anew; an answer on a connection that is opened to it tells.
func (s *Shard) stale(now time.Duration, m *machine) {
	if now >= m.nextStaleQuestion {
		m.nextStaleQuestion = now + max(s.p.ReportInterval, overtakenFor)
		m.probe, m.wake = true, true
	}
}

// unverified tells that a worker's reports are not to be answered, for nothing shows that it
// receives: it has ignored the token that it was offered for longer than a report takes,
// and a question besides; or other owners have had no better luck. Answered on, its lease
// would count as renewed for ever, and all that may be there would wait for that.
func (s *Shard) unverified(now time.Duration, m *machine) bool {
	return !m.fenced && (m.unproven || m.questionFailed && m.tokenOffered != 0 && now-m.tokenOffered > s.p.OverdueAfter())
}

// Verifying tells whether an unverified worker is being asked: its report
// may wait a moment for that.
func (s *Shard) Verifying(now time.Duration, id model.MachineID) bool {
	m := s.machines[id]
	return m != nil && s.unverified(now, m) && (m.inFlight > 0 || m.wake && now >= m.quietUntil)
}

// questionUnverified has an unverified worker asked whether it receives.
func (s *Shard) questionUnverified(m *machine, r *model.Report) {
	if r.Newer(m.session, m.seq) { // to be addressed by
		if r.Session != m.session {
			m.reported = 0
		}
		m.session, m.seq = r.Session, r.Seq
	}
	m.probe, m.wake = true, true
}

// receives takes a proof that a worker receives what it is sent.
func (s *Shard) receives(m *machine) {
	m.unproven, m.questionFailed, m.failedQuestions, m.ignoredAnswers = false, false, 0, 0
	if m.inboundLost {
		m.inboundLost = false
		s.replan = true
	}
}

// launchIgnored takes a launch in an answer that the worker's next report does not show.
func (s *Shard) launchIgnored(m *machine, r *model.Report) {
	if m.ignoredSeq == r.Seq {
		return // counted with another launch of that answer
	}
	m.ignoredSeq = r.Seq
	if m.ignoredAnswers++; m.ignoredAnswers >= ignoredEnough {
		m.inboundLost = true
	}
}

// mayLast takes a session that may have begun just now: its lease runs from its begin,
// whether a report of it has been answered or not. A launch that went straight to the
// worker would else be taken for over while it ran, if no report came through.
func (s *Shard) mayLast(now time.Duration, m *machine) {
	m.answered = max(m.answered, now)
	s.signOfLife(m)
}

// endedDespiteAnswers takes a new session of a worker that was fenced. A session ends for want
// of answers: one that was given a moment ago has not arrived.
func (s *Shard) endedDespiteAnswers(now time.Duration, m *machine) {
	if m.spoke && now-m.answered < s.p.MaxLease/2 {
		m.inboundLost = true
	}
}

// pause is how long a worker that did not answer a question is left alone.
func (s *Shard) pause(now time.Duration, m *machine) time.Duration {
	if !m.inboundLost && !s.unverified(now, m) {
		return s.p.DirectRetryDelay
	}
	m.failedQuestions = min(m.failedQuestions+1, 8)
	return min(s.p.DirectRetryDelay<<(m.failedQuestions-1), longestQuestionPause)
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

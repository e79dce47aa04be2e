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
	leaseExpired     bool
	expiryReportedAt time.Duration

	// unreachable: its report is overdue and a direct command failed, while most of its zone
	// reports. The dispatcher was told, and may return the machine to the cloud.
	unreachable bool

	// inboundLost: it reports, and was fenced, but does not receive what it is sent. It gets
	// nothing new, and is asked directly once in a while.
	inboundLost    bool
	ignoredAnswers int    // answers in succession whose launches its next report did not show
	ignoredSeq     uint64 // the report that showed the last of them

	// needsVerification: owners before this one could not have it show a token, so it is answered only
	// once it is shown to receive.
	needsVerification bool
	// tokenOfferedAt is when it was first answered with the token to be shown, 0: not yet;
	// questionFailed tells that a question failed since. Both make a worker that is not fenced
	// unverified: its reports are answered no more.
	tokenOfferedAt time.Duration
	probeFailed    bool

	failedProbes     int           // in succession
	directAnsweredAt time.Duration // the last answer to a direct command came
	nextStaleProbe   time.Duration // not to be asked before because of reports that are not new
}

const (
	// A worker that gives up on a report after 4 s still gets the answer until then: a
	// report that the answer to a direct command has overtaken is new for so long.
	overtakenReportWindow = 5 * time.Second
	// Answers in succession whose launches a worker must have ignored to be held to receive
	// nothing: one answer may come too late.
	maxIgnoredAnswers = 2
	// Questions in succession without an answer after which a worker may be given up.
	minFailedProbes = 3
	// maxProbePause bounds the pause between two questions to a worker that receives
	// nothing.
	maxProbePause = 16 * time.Second
	// Questions to such workers take at most this part of what may be under way, for
	// each ends only when its time is over.
	commandsPerProbe = 4
)

// isNew tells whether a report is newer than the last one: else it is a copy, or its
// worker has begun its numbers anew.
func (s *Shard) isNew(now time.Duration, m *machine, r *model.Report) bool {
	if !m.fenced {
		return r.Newer(m.session, m.reportSeq)
	}
	if r.Newer(m.session, m.seq) {
		return r.Token >= m.fencingToken // a token never falls
	}
	return r.Session == m.session && r.Seq > m.reportSeq && now-m.directAnsweredAt <= overtakenReportWindow
}

// handleStaleReport takes a report that is not new. It is a copy, or its worker has begun its
// numbers anew; an answer on a connection that is opened to it tells.
func (s *Shard) handleStaleReport(now time.Duration, m *machine) {
	if now >= m.nextStaleProbe {
		m.nextStaleProbe = now + max(s.params.ReportInterval, overtakenReportWindow)
		m.needsProbe, m.needsFlush = true, true
	}
}

// unverified tells that a worker's reports are not to be answered, for nothing shows that it
// receives: it has ignored the token that it was offered for longer than a report takes,
// and a question besides; or other owners have had no better luck. Answered on, its lease
// would count as renewed for ever, and all that may be there would wait for that.
func (s *Shard) unverified(now time.Duration, m *machine) bool {
	return !m.fenced && (m.needsVerification || m.probeFailed && m.tokenOfferedAt != 0 &&
		now-m.tokenOfferedAt > s.params.OverdueAfter())
}

// Verifying tells whether an unverified worker is being asked: its report
// may wait a moment for that.
func (s *Shard) Verifying(now time.Duration, id model.MachineID) bool {
	m := s.machines[id]
	return m != nil && s.unverified(now, m) && (m.commandsInFlight > 0 || m.needsFlush && now >= m.directRetryAt)
}

// probeUnverified has an unverified worker asked whether it receives.
func (s *Shard) probeUnverified(m *machine, r *model.Report) {
	if r.Newer(m.session, m.seq) { // to be addressed by
		if r.Session != m.session {
			m.reportSeq = 0
		}
		m.session, m.seq = r.Session, r.Seq
	}
	m.needsProbe, m.needsFlush = true, true
}

// markReceiving takes a proof that a worker receives what it is sent.
func (s *Shard) markReceiving(m *machine) {
	m.needsVerification, m.probeFailed, m.failedProbes, m.ignoredAnswers = false, false, 0, 0
	if m.inboundLost {
		m.inboundLost = false
		s.replanAll = true
	}
}

// recordIgnoredLaunch takes a launch in an answer that the worker's next report does not show.
func (s *Shard) recordIgnoredLaunch(m *machine, r *model.Report) {
	if m.ignoredSeq == r.Seq {
		return // counted with another launch of that answer
	}
	m.ignoredSeq = r.Seq
	if m.ignoredAnswers++; m.ignoredAnswers >= maxIgnoredAnswers {
		m.inboundLost = true
	}
}

// restartLease takes a session that may have begun just now: its lease runs from its begin,
// whether a report of it has been answered or not. A launch that went straight to the
// worker would else be taken for over while it ran, if no report came through.
func (s *Shard) restartLease(now time.Duration, m *machine) {
	m.answeredAt = max(m.answeredAt, now)
	s.markAlive(m)
}

// checkAnswersArrived takes a new session of a worker that was fenced. A session ends for want
// of answers: one that was given a moment ago has not arrived.
func (s *Shard) checkAnswersArrived(now time.Duration, m *machine) {
	if m.everAnswered && now-m.answeredAt < s.params.MaxLease/2 {
		m.inboundLost = true
	}
}

// directRetryPause is how long a worker that did not answer a question is left alone.
func (s *Shard) directRetryPause(now time.Duration, m *machine) time.Duration {
	if !m.inboundLost && !s.unverified(now, m) {
		return s.params.DirectRetryDelay
	}
	m.failedProbes = min(m.failedProbes+1, 8)
	return min(s.params.DirectRetryDelay<<(m.failedProbes-1), maxProbePause)
}

// restartSession has a worker that has begun its numbers anew fenced once more, under a token
// that nobody had before: until it shows that, nothing that it does not list is free.
func (s *Shard) restartSession(m *machine, r *model.Report) {
	for _, a := range m.attempts {
		if a.state == starting && a.launchSent {
			a.directToken, a.launchSeq = max(a.directToken, m.token), 0
		}
	}
	m.session, m.seq, m.reportSeq = r.Session, r.Seq, 0
	s.refence(m)
}

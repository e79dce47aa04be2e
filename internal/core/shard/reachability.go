package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// reachability is what the shard knows about the network in both directions between it and a
// worker. A report that arrives proves neither that the worker receives messages nor that the
// report is new: a network may fail in one direction only, and may deliver old messages late.
//
// A report counts only if it is newer than the worker's last one. Any other report is a replayed
// copy. It changes nothing, does not show that the worker is alive, and is answered without
// commands. A fenced worker reports a token that nobody had before this shard owned the machine, so
// a copy from before that time cannot look like a report of the fenced worker.
//
// Only three things prove that a worker receives messages: it reports the token that it was sent, it
// reports the effect of a command, or it answers on a connection that was opened to it.
//
// The states below are independent of each other. A worker in none of them is reachable.
type reachability struct {
	// leaseExpired: this shard has not answered the worker for a whole lease. The dispatcher was
	// informed at expiryReportedAt, and only its ConfirmLeaseExpiry order frees the machine's tasks.
	leaseExpired     bool
	expiryReportedAt time.Duration

	// unreachable: a direct command failed, and the worker's report is overdue or minFailedProbes
	// probes of a worker with inboundLost failed, while most other workers of its zone report. The
	// dispatcher was informed, and may return the machine to the cloud.
	unreachable bool

	// inboundLost: the worker reports and is fenced, but does not receive messages. It gets no new
	// tasks, and is probed from time to time.
	inboundLost    bool
	ignoredAnswers int    // consecutive answers whose launches the next report did not show
	ignoredSeq     uint64 // number of the report that showed the latest of these

	// needsVerification: earlier owners could not get the worker to report a token, so it is not
	// answered before it is shown to receive messages.
	needsVerification bool
	// tokenOfferedAt is when the worker was first answered with the fencing token; 0: not yet.
	// probeFailed is true if a direct command has failed since. Together they make an unfenced
	// worker unverified, see Shard.unverified.
	tokenOfferedAt time.Duration
	probeFailed    bool

	failedProbes     int           // consecutive probes without an answer
	directAnsweredAt time.Duration // when the last direct command was answered
	nextStaleProbe   time.Duration // reports that are not new cause no probe before this time
}

const (
	// overtakenReportWindow is how long a report counts as new after the answer to a direct command
	// overtook it: a worker waits up to 4 s for the answer to a report.
	overtakenReportWindow = 5 * time.Second
	// ignoredAnswersLimit is the number of consecutive answers with ignored launches after which a
	// worker is considered not to receive messages. It exceeds 1 because one answer may be late.
	ignoredAnswersLimit = 2
	// minFailedProbes is the number of consecutive failed probes after which a worker that does not
	// receive messages may be reported as unreachable.
	minFailedProbes = 3
	// maxProbePause bounds the pause between two probes of a worker that does not receive messages.
	maxProbePause = 16 * time.Second
	// commandsPerProbe limits probes to one in this many direct commands in flight, because most
	// probes end only with their timeout.
	commandsPerProbe = 4
)

// isNew reports whether a report is newer than the last one. If it is not, it is a replayed copy or
// the worker has restarted its numbering.
func (s *Shard) isNew(now time.Duration, m *machine, r *model.Report) bool {
	if !m.fenced {
		return r.Newer(m.session, m.reportSeq)
	}
	if r.Newer(m.session, m.seq) {
		return r.Token >= m.fencingToken // a worker's token never decreases
	}
	return r.Session == m.session && r.Seq > m.reportSeq && now-m.directAnsweredAt <= overtakenReportWindow
}

// handleStaleReport schedules a probe after a report that is not new. The answer to the probe shows
// whether the report was a replayed copy or the worker has restarted its numbering.
func (s *Shard) handleStaleReport(now time.Duration, m *machine) {
	if now >= m.nextStaleProbe {
		m.nextStaleProbe = now + max(s.params.ReportInterval, overtakenReportWindow)
		m.needsProbe, m.needsFlush = true, true
	}
}

// unverified reports whether an unfenced worker's reports must not be answered, because nothing
// shows that it receives messages. Either it has not reported the offered token for longer than a
// report takes and has not answered a direct command, or earlier owners had the same result. If it
// were still answered, its lease would count as renewed forever, and its tasks could never be
// started elsewhere.
func (s *Shard) unverified(now time.Duration, m *machine) bool {
	return !m.fenced && (m.needsVerification || m.probeFailed && m.tokenOfferedAt != 0 &&
		now-m.tokenOfferedAt > s.params.OverdueAfter())
}

// Verifying reports whether an unverified worker is being probed. The caller may
// delay the refusal of its report until the probe has ended.
func (s *Shard) Verifying(now time.Duration, id model.MachineID) bool {
	m := s.machines[id]
	return m != nil && s.unverified(now, m) && (m.commandsInFlight > 0 || m.needsFlush && now >= m.directRetryAt)
}

// probeUnverified schedules a probe of an unverified worker. It records the session of the report,
// because a direct command must name the worker's session.
func (s *Shard) probeUnverified(m *machine, r *model.Report) {
	if r.Newer(m.session, m.seq) {
		if r.Session != m.session {
			m.reportSeq = 0
		}
		m.session, m.seq = r.Session, r.Seq
	}
	m.needsProbe, m.needsFlush = true, true
}

// markReceiving records a proof that a worker receives messages.
func (s *Shard) markReceiving(m *machine) {
	m.needsVerification, m.probeFailed, m.failedProbes, m.ignoredAnswers = false, false, 0, 0
	if m.inboundLost {
		m.inboundLost = false
		s.replanAll = true
	}
}

// recordIgnoredLaunch counts an answer whose launch the worker's next report does not show. After
// ignoredAnswersLimit of them the worker is considered not to receive messages.
func (s *Shard) recordIgnoredLaunch(m *machine, r *model.Report) {
	if m.ignoredSeq == r.Seq {
		return // counted with another launch of that answer
	}
	m.ignoredSeq = r.Seq
	if m.ignoredAnswers++; m.ignoredAnswers >= ignoredAnswersLimit {
		m.inboundLost = true
	}
}

// restartLease counts a worker's lease from now, because its session may just have started: a lease
// runs at least from the start of the session, whether or not a report was answered. Otherwise a
// task that was launched directly would be considered lost while it runs, if no report gets through.
func (s *Shard) restartLease(now time.Duration, m *machine) {
	m.answeredAt = max(m.answeredAt, now)
	s.markAlive(m)
}

// detectLostAnswers is called when a fenced worker starts a new session. A session ends if the
// worker gets no answers. So if this shard answered it recently, that answer did not arrive, and the
// worker is considered not to receive messages.
func (s *Shard) detectLostAnswers(now time.Duration, m *machine) {
	if m.everAnswered && now-m.answeredAt < s.params.MaxLease/2 {
		m.inboundLost = true
	}
}

// directRetryPause returns the pause after a direct command that was not answered. For probes of
// workers that may not receive messages it doubles with each failure, up to maxProbePause.
func (s *Shard) directRetryPause(now time.Duration, m *machine) time.Duration {
	if !m.inboundLost && !s.unverified(now, m) {
		return s.params.DirectRetryDelay
	}
	m.failedProbes = min(m.failedProbes+1, 8)
	return min(s.params.DirectRetryDelay<<(m.failedProbes-1), maxProbePause)
}

// restartSession handles a worker that has restarted its session numbers. The worker is fenced again
// under a new token. Until it reports that token, attempts that it does not list are kept.
func (s *Shard) restartSession(m *machine, r *model.Report) {
	for _, a := range m.attempts {
		if a.state == starting && a.launchSent {
			a.launchSeq = 0 // any report under the new token is later
		}
	}
	m.session, m.seq, m.reportSeq = r.Session, r.Seq, 0
	s.refence(m)
}

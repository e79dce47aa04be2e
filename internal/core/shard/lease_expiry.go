package shard

import (
	"math"
	"time"

	"honeylock/internal/core/model"
)

// A lapse is the dispatcher's word that a worker's lease is surely over: what ran there is lost,
// and may be started elsewhere from then on. The network may deliver, half a minute later, what
// the worker had sent before. Its numbers are the next ones, so order does not tell that it is
// old. One of two things does:
//
//   - The session, where the worker was fenced. It showed this shard's token in that session or
//     an earlier one, has refused all lower tokens since, and was launched nothing in a later one,
//     which this shard has not heard of. So whatever ran there ran in that session or before.
//   - The token, where it was not fenced and its sessions are not known. It is to be fenced under
//     a token that was not given out before the lapse.
//
// A message that does not pass is no sign of life, and nothing that it lists counts.

// confirmLeaseExpiry takes the word that a machine's lease is surely over.
func (s *Shard) confirmLeaseExpiry(now time.Duration, m *machine) {
	s.loseAllAttempts(now, m)
	s.emit(model.Event{Kind: model.LeaseExpiryConfirmed, Machine: m.ID, Token: m.token})
	switch {
	case m.fenced:
		m.endedSession = m.session
	case m.tokenSent:
		s.refence(m)
	}
}

// refence has a worker show a token that nobody was given before, until which nothing that it
// lists or lacks counts.
func (s *Shard) refence(m *machine) {
	m.fenced, m.fencingToken, m.refence, m.endedSession = false, math.MaxUint64, true, 0
	s.requestToken(m)
}

// ofEndedSession tells whether a message was written in a session that ended with a lapse.
func (m *machine) ofEndedSession(r *model.Report) bool { return r.Session <= m.endedSession }

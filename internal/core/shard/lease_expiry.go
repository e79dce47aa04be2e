package shard

import (
	"math"
	"time"

	"honeylock/internal/core/model"
)

// When the dispatcher confirms that a worker's lease has expired, the worker's tasks are lost, and
// may be started elsewhere from then on. The network may still deliver messages that the worker
// sent before, up to half a minute late. Their sequence numbers follow those of the last message
// received, so the numbers do not show that these messages are old. One of two things does:
//
//   - If the worker was fenced: the session. The worker has reported this shard's token in the known
//     session or an earlier one, and has refused lower tokens since. Nothing was launched in a later
//     session, because this shard knows of none. So all tasks on the worker ran in the known session
//     or an earlier one, and messages of these sessions are refused.
//   - If the worker was not fenced: the token, because its sessions are not known. The worker must
//     be fenced under a token that was not sent before the confirmation.
//
// A message that fails this check does not show that the worker is alive, and its attempts are
// ignored.

// confirmLeaseExpiry handles the dispatcher's confirmation that a worker's lease has expired.
func (s *Shard) confirmLeaseExpiry(now time.Duration, m *machine) {
	s.loseAllAttempts(now, m)
	s.emitAsOwner(m, model.Event{Kind: model.LeaseExpiryConfirmed, Token: m.token})
	switch {
	case m.fenced:
		m.endedSession = m.session
	case m.tokenSent:
		s.refence(m)
	}
}

// refence requests a new token, which the worker must report to be fenced again. Until then no
// attempt is recorded or removed because of what the worker's messages list.
func (s *Shard) refence(m *machine) {
	m.fenced, m.fencingToken, m.refence, m.endedSession = false, math.MaxUint64, true, 0
	s.requestToken(m)
}

// ofEndedSession reports whether a message belongs to a session that ended with a confirmed lease
// expiry.
func (m *machine) ofEndedSession(r *model.Report) bool { return r.Session <= m.endedSession }

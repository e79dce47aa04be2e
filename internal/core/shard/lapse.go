package shard

import (
	"math"
	"time"

	"honeylock/internal/core/model"
)

// A lapse is the dispatcher's word that a worker's lease is surely over: what ran there is lost,
// and may be started elsewhere from then on. The network may deliver, half a minute later, what
// the worker had sent before. Its numbers are the next ones, so order does not tell that it is
// old. Two things do:
//
//   - the session: a fenced worker's session was known, and it is over with its lease;
//   - the token: after a lapse the worker is to be fenced again, under a token that was not
//     given out before. It is needed where the session was not known.
//
// A message that passes neither is no sign of life, and nothing that it lists counts.

// lapse takes the word that a machine's lease is surely over.
func (s *Shard) lapse(now time.Duration, m *machine) {
	s.loseAll(now, m)
	if m.fenced {
		m.endedSession = m.session
	}
	s.emit(model.Event{Kind: model.Lapsed, Machine: m.ID, Token: m.token})
	if m.fenced || m.tokenSent {
		s.fenceAnew(m)
	}
}

// fenceAnew has a worker show a token that nobody was given before, until which nothing that it
// lists or lacks counts.
func (s *Shard) fenceAnew(m *machine) {
	m.fenced, m.first, m.refence = false, math.MaxUint64, true
	s.askToken(m)
}

// ofLapsedSession tells whether a message was written in a session that is known to be over. A
// token that was given since shows that it was not: its worker has begun its numbers anew.
func (m *machine) ofLapsedSession(r *model.Report) bool {
	return r.Session <= m.endedSession && r.Token < m.first
}

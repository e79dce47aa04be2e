package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// DirectCommand is a command to be sent straight to a worker. Its outcome comes back
// through DirectDone.
type DirectCommand struct {
	ID       uint64
	Machine  model.MachineID
	Addr     string
	Token    uint64
	Session  uint64
	Commands []model.Command
	NotAfter time.Duration // the shard's authority ends: not to be sent after
}

// inFlight is a direct command under way, with the launches it carries.
type inFlight struct {
	m        *machine
	launched []*slot
	asks     bool            // to learn whether its worker hears
	seen     model.MessageID // the newest message of its worker when it was sent
}

// TakeDirectCommands takes away the commands to send.
func (s *Shard) TakeDirectCommands() []DirectCommand {
	d := s.directs
	s.directs = nil
	return d
}

// Flush sends commands that should not wait for the next report, while fewer than
// most are under way.
func (s *Shard) Flush(now time.Duration, most int) {
	if !s.HasGrant(now) {
		return
	}
	for _, m := range s.order {
		if len(s.pending) >= most {
			return // a thousand at once would all be late
		}
		if !m.wake || m.inFlight > 0 || m.Addr == "" || now < m.quietUntil || m.leaseExpired && !m.probe ||
			!m.fenced && now < m.patient {
			continue
		}
		asks := m.inboundLost || s.unverified(now, m)
		if asks && s.asking >= max(1, most/questionPart) {
			continue
		}
		m.wake = false
		cmds := s.commands(now, m, 0, true)
		if len(cmds) == 0 && m.fenced && !m.probe {
			continue
		}
		m.probe, m.tokenSent = false, true
		s.directID++
		d := DirectCommand{ID: s.directID, Machine: m.ID, Addr: m.Addr, Token: m.token, Session: max(1, m.session), Commands: cmds, NotAfter: s.until}
		var launched []*slot
		for _, c := range cmds {
			if c.Verb == model.Launch {
				sl := m.slots.get(key{c.Task, c.Attempt})
				sl.direct++
				launched = append(launched, sl)
			}
		}
		s.pending[d.ID] = inFlight{m, launched, asks, model.MessageID{Session: m.session, Seq: m.seq}}
		if asks {
			s.asking++
		}
		m.inFlight++
		s.directs = append(s.directs, d)
	}
}

// DirectCommandDone takes the outcome of a direct command: the worker's report after
// it (nil: no answer) and whether it was executed.
func (s *Shard) DirectCommandDone(now time.Duration, d DirectCommand, r *model.Report, executed bool) {
	sent := s.pending[d.ID]
	delete(s.pending, d.ID)
	if sent.asks {
		s.asking--
	}
	for _, sl := range sent.launched {
		sl.direct--
		// It may be executed minutes later, or once more, as long as token and session match.
		sl.doubt = max(sl.doubt, d.Token)
		sl.unsure = sl.unsure || r == nil
	}
	m := s.machines[d.Machine]
	if m == nil || m != sent.m {
		return // let go of meanwhile
	}
	m.inFlight--
	if r == nil {
		m.quietUntil = now + s.pause(now, m)
		m.questionFailed = m.questionFailed || m.tokenOffered != 0
		s.directFailed(now, m)
		return
	}
	if !executed && r.Token <= m.token && !m.fenced {
		m.wake = true // the session was unknown: once more, with it
	}
	if r.Machine.ID != m.ID {
		return
	}
	if r.Token > m.token {
		s.emit(model.Event{Kind: model.TokenSuperseded, Machine: m.ID, Token: r.Token})
		return
	}
	if m.unreachable || m.leaseExpired && s.unverified(now, m) {
		s.signOfLife(m)
	}
	s.receives(m)
	m.directAnswered = now
	switch {
	case !s.HasGrant(now):
	case !m.fenced:
		// Said on a connection that was opened to it, so it holds, whatever copies told.
		s.take(now, m, r, false)
	case r.Token < m.first || sent.seen.AtLeast(r.MessageID()):
		s.reborn(m, r)
	case r.Newer(m.session, m.seq) && !m.ofEndedSession(r):
		s.take(now, m, r, false)
	}
}

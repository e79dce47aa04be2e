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

// pendingCommand is a direct command under way, with the launches it carries.
type pendingCommand struct {
	machine       *machine
	launches      []*attempt
	isProbe       bool            // to learn whether its worker hears
	newestMessage model.MessageID // the newest message of its worker when it was sent
}

// TakeDirectCommands takes away the commands to send.
func (s *Shard) TakeDirectCommands() []DirectCommand {
	d := s.directCommands
	s.directCommands = nil
	return d
}

// Flush sends commands that should not wait for the next report, while fewer than
// most are under way.
func (s *Shard) Flush(now time.Duration, maxInFlight int) {
	if !s.HasGrant(now) {
		return
	}
	for _, m := range s.sortedMachines {
		if len(s.pendingCommands) >= maxInFlight {
			return // a thousand at once would all be late
		}
		if !m.needsFlush || m.commandsInFlight > 0 || m.Addr == "" || now < m.directRetryAt ||
			m.leaseExpired && !m.needsProbe ||
			!m.fenced && now < m.directNotBefore {
			continue
		}
		isProbe := m.inboundLost || s.unverified(now, m)
		if isProbe && s.pendingProbes >= max(1, maxInFlight/commandsPerProbe) {
			continue
		}
		m.needsFlush = false
		cmds := s.commandsFor(now, m, 0, true)
		if len(cmds) == 0 && m.fenced && !m.needsProbe {
			continue
		}
		m.needsProbe, m.tokenSent = false, true
		s.lastDirectID++
		d := DirectCommand{ID: s.lastDirectID, Machine: m.ID, Addr: m.Addr, Token: m.token, Session: max(1, m.session),
			Commands: cmds, NotAfter: s.grantedUntil}
		var launches []*attempt
		for _, c := range cmds {
			if c.Verb == model.Launch {
				a := m.attempts.get(attemptKey{c.Task, c.Attempt})
				a.directLaunches++
				launches = append(launches, a)
			}
		}
		s.pendingCommands[d.ID] = pendingCommand{m, launches, isProbe, model.MessageID{Session: m.session, Seq: m.seq}}
		if isProbe {
			s.pendingProbes++
		}
		m.commandsInFlight++
		s.directCommands = append(s.directCommands, d)
	}
}

// DirectCommandDone takes the outcome of a direct command: the worker's report after
// it (nil: no answer) and whether it was executed.
func (s *Shard) DirectCommandDone(now time.Duration, d DirectCommand, r *model.Report, executed bool) {
	pending := s.pendingCommands[d.ID]
	delete(s.pendingCommands, d.ID)
	if pending.isProbe {
		s.pendingProbes--
	}
	for _, a := range pending.launches {
		a.directLaunches--
		// It may be executed minutes later, or once more, as long as token and session match.
		a.directToken = max(a.directToken, d.Token)
		a.launchUnanswered = a.launchUnanswered || r == nil
	}
	m := s.machines[d.Machine]
	if m == nil || m != pending.machine {
		return // let go of meanwhile
	}
	m.commandsInFlight--
	if r == nil {
		m.directRetryAt = now + s.directRetryPause(now, m)
		m.probeFailed = m.probeFailed || m.tokenOfferedAt != 0
		s.handleDirectFailure(now, m)
		return
	}
	if !executed && r.Token <= m.token && !m.fenced {
		m.needsFlush = true // the session was unknown: once more, with it
	}
	if r.Machine.ID != m.ID {
		return
	}
	if r.Token > m.token {
		s.emit(model.Event{Kind: model.TokenSuperseded, Machine: m.ID, Token: r.Token})
		return
	}
	if m.unreachable || m.leaseExpired && s.unverified(now, m) {
		s.markAlive(m)
	}
	s.markReceiving(m)
	m.directAnsweredAt = now
	switch {
	case !s.HasGrant(now):
	case !m.fenced:
		// Said on a connection that was opened to it, so it holds, whatever copies told.
		s.applyMessage(now, m, r, false)
	case r.Token < m.fencingToken || pending.newestMessage.AtLeast(r.MessageID()):
		s.restartSession(m, r)
	case r.Newer(m.session, m.seq) && !m.ofEndedSession(r):
		s.applyMessage(now, m, r, false)
	}
}

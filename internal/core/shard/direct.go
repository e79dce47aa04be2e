package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// DirectCommand is a batch of commands that is sent to a worker on a new connection, instead of in
// the answer to a report. Its outcome is passed to DirectCommandDone.
//
// It carries no launch but that of a report request. The network may deliver a direct command minutes
// later, or once more after it was carried out, and a worker that has lost its tasks or its token since
// then would start the attempt although its task was moved or cancelled. Kills and clears do no harm
// then: each names an attempt, whose number is not used again.
type DirectCommand struct {
	ID       uint64
	Machine  model.MachineID
	Addr     string
	Token    uint64
	Session  uint64
	Commands []model.Command
	NotAfter time.Duration // the end of the shard's grant: it must not be sent later
}

// pendingCommand is a direct command without an outcome so far.
type pendingCommand struct {
	machine       *machine
	isProbe       bool            // sent to learn whether the worker receives messages
	newestMessage model.MessageID // newest message of the worker when the command was sent
}

// TakeDirectCommands returns the collected direct commands and empties the list.
func (s *Shard) TakeDirectCommands() []DirectCommand {
	d := s.directCommands
	s.directCommands = nil
	return d
}

// Flush collects direct commands for workers whose commands should not wait for the next report.
// At most maxInFlight direct commands are in flight at a time, and at most one per machine.
func (s *Shard) Flush(now time.Duration, maxInFlight int) {
	if !s.HasGrant(now) {
		return
	}
	for _, m := range s.sortedMachines {
		if len(s.pendingCommands) >= maxInFlight {
			return // with a thousand at once, all would be late
		}
		if !m.needsFlush || m.commandsInFlight > 0 || m.Addr == "" || now < m.directRetryAt ||
			m.leaseExpired && !m.needsProbe || !m.fenced && now < m.directNotBefore {
			continue
		}
		isProbe := m.inboundLost || s.unverified(now, m)
		if isProbe && s.pendingProbes >= max(1, maxInFlight/commandsPerProbe) {
			continue
		}
		m.needsFlush = false
		cmds := s.stopCommands(now, m, maxCommands-1)
		if c, needed := s.reportRequest(m, cmds); needed {
			cmds = append(cmds, c)
		}
		if len(cmds) == 0 && m.fenced && !m.needsProbe {
			continue
		}
		m.needsProbe, m.tokenSent = false, true
		s.lastDirectID++
		d := DirectCommand{ID: s.lastDirectID, Machine: m.ID, Addr: m.Addr, Token: m.token, Session: max(1, m.session),
			Commands: cmds, NotAfter: s.grantedUntil}
		s.pendingCommands[d.ID] = pendingCommand{m, isProbe, model.MessageID{Session: m.session, Seq: m.seq}}
		if isProbe {
			s.pendingProbes++
		}
		m.commandsInFlight++
		s.directCommands = append(s.directCommands, d)
	}
}

// DirectCommandDone handles the outcome of a direct command. r is the worker's answer, a report
// made after the command; it is nil if there was no answer. executed is false if the worker
// refused the command.
func (s *Shard) DirectCommandDone(now time.Duration, d DirectCommand, r *model.Report, executed bool) {
	pending := s.pendingCommands[d.ID]
	delete(s.pendingCommands, d.ID)
	if pending.isProbe {
		s.pendingProbes--
	}
	m := s.machines[d.Machine]
	if m == nil || m != pending.machine {
		return // the machine was released in the meantime
	}
	m.commandsInFlight--
	if r == nil {
		m.directRetryAt = now + s.directRetryPause(now, m)
		m.probeFailed = m.probeFailed || m.tokenOfferedAt != 0
		s.handleDirectFailure(now, m)
		return
	}
	if !executed && r.Token <= m.token && !m.fenced {
		m.needsFlush = true // the command named a wrong session: send it again with the one in the answer
	}
	if r.Machine.ID != m.ID {
		return
	}
	if r.Token > m.token {
		s.emitAsOwner(m, model.Event{Kind: model.TokenSuperseded, Token: r.Token})
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
		// The answer came on a connection that was opened to the worker, so it is no replayed
		// copy, whatever the numbers of earlier messages were.
		s.applyMessage(now, m, r, false)
	case r.Token < m.fencingToken || pending.newestMessage.AtLeast(r.MessageID()):
		s.restartSession(m, r)
	case r.Newer(m.session, m.seq) && !m.ofEndedSession(r):
		s.applyMessage(now, m, r, false)
	}
}

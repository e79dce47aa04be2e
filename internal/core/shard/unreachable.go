package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// The tasks of a machine that stops or hangs can be started elsewhere only after its lease has
// expired, or once the machine is returned to the cloud, because it is certainly gone then. So a
// worker whose report is overdue is probed with a direct command. If it does not answer while most
// workers of its zone report, the dispatcher is informed that it is unreachable. If a whole zone is
// unreachable, that says nothing about its individual machines.
const (
	// reportRetryTime is how long a worker takes to try another controller: a report without an
	// answer times out after 4 s, and is repeated elsewhere 1 s later.
	reportRetryTime   = 5 * time.Second
	minReportingShare = 0.6 // fraction of the zone's other machines that must have reported in time
)

// OverdueAfter returns how long after the last answered report a worker's next report is overdue.
func (p *Params) OverdueAfter() time.Duration { return p.ReportInterval*5/4 + reportRetryTime }

// reportOverdue reports whether the worker's report is overdue.
func (s *Shard) reportOverdue(now time.Duration, m *machine) bool {
	return now-m.answeredAt > s.params.OverdueAfter()
}

// probeOverdue schedules a probe of a fenced worker whose report is overdue or that does not receive
// messages. directRetryAt limits how often that happens.
func (s *Shard) probeOverdue(now time.Duration, m *machine) {
	if m.fenced && !m.leaseExpired && now >= m.directRetryAt && m.commandsInFlight == 0 &&
		(m.inboundLost || s.reportOverdue(now, m)) {
		m.needsProbe, m.needsFlush = true, true
	}
}

// handleDirectFailure handles a direct command that was not answered. It informs the dispatcher if
// the worker is not fenced, or is unreachable. For a worker that is not fenced yet, the failure says
// little about the machine: the command may have reached a socket that was just closed.
func (s *Shard) handleDirectFailure(now time.Duration, m *machine) {
	probed := m.inboundLost && m.failedProbes >= minFailedProbes
	unreachable := m.fenced && (s.reportOverdue(now, m) || probed) && s.zoneReporting(now, m)
	if !m.fenced || unreachable {
		m.unreachable = unreachable
		s.emitAsOwner(m, model.Event{Kind: model.CommandUnanswered, Held: unreachable})
	}
}

// markAlive ends the states leaseExpired and unreachable of a worker, and informs the dispatcher if
// the worker was in one of them. It is called when this shard answers the worker or gets an answer
// from it.
func (s *Shard) markAlive(m *machine) {
	if m.leaseExpired || m.unreachable {
		m.leaseExpired, m.unreachable = false, false
		s.emitAsOwner(m, model.Event{Kind: model.WorkerBack})
	}
}

// zoneReporting reports whether most other machines in a machine's zone report in time.
func (s *Shard) zoneReporting(now time.Duration, m *machine) bool {
	total, reporting := 0, 0
	for _, other := range s.sortedMachines {
		if other == m || other.Zone != m.Zone || !other.fenced {
			continue
		}
		total++
		if now-other.answeredAt <= s.params.ReportInterval*5/4 && !other.inboundLost {
			reporting++
		}
	}
	return total > 0 && float64(reporting) >= minReportingShare*float64(total)
}

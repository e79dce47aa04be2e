package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// A machine that stops, or hangs, takes its tasks' whole lease with it, unless it is
// given back to the cloud: then it is surely gone. So a worker whose report is overdue
// is asked directly; if it does not answer that either, while most workers of its zone
// report, the dealer is told. Where a zone is out of reach that says nothing about a
// machine of it.
const (
	// A report that went unanswered is tried again elsewhere 4 s and 1 s later.
	reportRetryTime   = 5 * time.Second
	minReportingShare = 0.6 // of the zone's other machines that must have reported in time
)

// OverdueAfter is after how long without a report a worker should have reported.
func (p *Params) OverdueAfter() time.Duration { return p.ReportInterval*5/4 + reportRetryTime }

func (s *Shard) reportOverdue(now time.Duration, m *machine) bool {
	return now-m.answeredAt > s.params.OverdueAfter()
}

// probeOverdue asks an overdue worker directly, once in a while.
func (s *Shard) probeOverdue(now time.Duration, m *machine) {
	if m.fenced && !m.leaseExpired && now >= m.directRetryAt && m.commandsInFlight == 0 &&
		(m.inboundLost || s.reportOverdue(now, m)) {
		m.needsProbe, m.needsFlush = true, true
	}
}

// handleDirectFailure takes a direct command without an answer. One to a worker that is not fenced
// yet says little: it may have come to a socket that was just closed.
func (s *Shard) handleDirectFailure(now time.Duration, m *machine) {
	probed := m.inboundLost && m.failedProbes >= minFailedProbes
	unreachable := m.fenced && (s.reportOverdue(now, m) || probed) && s.zoneReporting(now, m)
	if !m.fenced || unreachable {
		m.unreachable = unreachable
		s.emit(model.Event{Kind: model.CommandUnanswered, Machine: m.ID, Held: unreachable})
	}
}

// markAlive takes an answer that was given to the worker, or one of its own.
func (s *Shard) markAlive(m *machine) {
	if m.leaseExpired || m.unreachable {
		m.leaseExpired, m.unreachable = false, false
		s.emit(model.Event{Kind: model.WorkerBack, Machine: m.ID})
	}
}

// zoneReporting tells whether most machines of a machine's zone report in time.
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

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
	secondTry     = 5 * time.Second
	reportingPart = 0.6 // of the zone's other machines that must have reported in time
)

// OverdueAfter is after how long without a report a worker should have reported.
func (p *Params) OverdueAfter() time.Duration { return p.ReportInterval*5/4 + secondTry }

func (s *Shard) overdue(now time.Duration, m *machine) bool {
	return now-m.answered > s.p.OverdueAfter()
}

// probe asks an overdue worker directly, once in a while.
func (s *Shard) probe(now time.Duration, m *machine) {
	if m.fenced && !m.leaseExpired && now >= m.quietUntil && m.inFlight == 0 && (m.inboundLost || s.overdue(now, m)) {
		m.probe, m.wake = true, true
	}
}

// directFailed takes a direct command without an answer. One to a worker that is not fenced
// yet says little: it may have come to a socket that was just closed.
func (s *Shard) directFailed(now time.Duration, m *machine) {
	asked := m.inboundLost && m.failedQuestions >= questionsEnough
	unreachable := m.fenced && (s.overdue(now, m) || asked) && s.zoneReports(now, m)
	if !m.fenced || unreachable {
		m.unreachable = unreachable
		s.emit(model.Event{Kind: model.CommandUnanswered, Machine: m.ID, Held: unreachable})
	}
}

// signOfLife takes an answer that was given to the worker, or one of its own.
func (s *Shard) signOfLife(m *machine) {
	if m.leaseExpired || m.unreachable {
		m.leaseExpired, m.unreachable = false, false
		s.emit(model.Event{Kind: model.WorkerBack, Machine: m.ID})
	}
}

// zoneReports tells whether most machines of a machine's zone report in time.
func (s *Shard) zoneReports(now time.Duration, m *machine) bool {
	all, heard := 0, 0
	for _, o := range s.order {
		if o == m || o.Zone != m.Zone || !o.fenced {
			continue
		}
		all++
		if now-o.answered <= s.p.ReportInterval*5/4 && !o.inboundLost {
			heard++
		}
	}
	return all > 0 && float64(heard) >= reportingPart*float64(all)
}

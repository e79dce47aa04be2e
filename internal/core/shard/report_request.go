package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// A worker reports at intervals, and at once when something changes. Launches are sent in answers to reports
// alone, so a launch to an idle worker would wait for the rest of its interval. A direct command asks such
// a worker to report: it launches a task that no job has, which the worker refuses. That is a change, and
// the answer to the report that follows carries the launches. A copy of the command starts nothing, whenever it
// arrives.

// reportRequestTask is a task that no job has: jobs have at most 100,000 tasks, numbered from 0.
var reportRequestTask = model.Task{Job: 1 << 62, Index: 100_000}

// reportRequest returns the command that asks a machine's worker to report, if a launch waits for that once
// the other commands of the same message have been carried out.
func (s *Shard) reportRequest(m *machine, others []model.Command) (c model.Command, needed bool) {
	if m.reportRequested || !m.launchWaits(others) {
		return model.Command{}, false
	}
	m.reportRequested = true
	s.lastAttempt++ // a worker ignores a number that it knows
	return model.Command{Verb: model.Launch, Task: reportRequestTask, Attempt: s.lastAttempt}, true
}

// launchWaits reports whether a launch could be sent in the answer to a report after the commands.
func (m *machine) launchWaits(cmds []model.Command) bool {
	if !m.fenced || !m.usable || m.inboundLost {
		return false
	}
	free := m.launchCapacity(cmds)
	for _, a := range m.attempts {
		if a.state == starting && !a.launchSent && !a.stopping && a.resources.Fits(free) {
			return true
		}
	}
	return false
}

// addRefusedRequest records the attempt that a report request has left with a worker, to be cleared.
func (s *Shard) addRefusedRequest(now time.Duration, m *machine, k attemptKey, status model.AttemptStatus) {
	a := &attempt{attemptKey: k, launchSent: true, state: exited, stage: status.Stage, clearable: true,
		lastSeen: s.messagesApplied, resources: unassignedResources}
	s.addAttempt(m, a)
	if status.Stage != model.Exited { // the worker starts what no job has
		a.state = live
		s.stopAttempt(now, a, 0)
	}
}

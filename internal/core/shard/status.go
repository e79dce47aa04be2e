package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// Stats counts what the shard has done since it was created.
type Stats struct {
	Placed, Evicted, Demoted, Lost, Refused, Errors uint64
	MachinesExamined                                uint64 // how often a machine was examined for a waiting task
	ExpiredSessionReports                           uint64 // reports refused because their session's lease had expired
	StaleOrders                                     uint64 // orders dropped because their ownership had ended
}

// TakeStatus returns the status of each machine whose status has changed since the last call.
func (s *Shard) TakeStatus(now time.Duration) []model.MachineStatus {
	var out []model.MachineStatus
	for _, m := range s.sortedMachines {
		if summary := s.summarize(now, m); m.summaryChanged || summary != m.lastSummary {
			m.lastSummary, m.summaryChanged = summary, false
			out = append(out, m.status(summary))
		}
	}
	return out
}

// machineSummary is the part of a machine's status that changes often.
type machineSummary struct {
	avail                   model.Resources
	ready, draining, faulty bool
	attempts                int // in use
	idleSince               time.Duration
}

// summarize returns a machine's current summary. It also updates the time since which the machine
// is idle.
func (s *Shard) summarize(now time.Duration, m *machine) machineSummary {
	inUse := m.attemptsInUse()
	if inUse == 0 && m.inUse {
		m.idleSince = now
	}
	m.inUse = inUse > 0
	avail := m.Cap.Sub(m.used)
	if now < m.reservedUntil {
		avail = model.Resources{} // other tasks assigned for this capacity would only wait
	}
	return machineSummary{
		avail:     avail,
		ready:     s.ready(now, m),
		draining:  m.preemptionAt != 0 || m.inboundLost || s.unverified(now, m),
		faulty:    now < m.faultyUntil,
		attempts:  inUse,
		idleSince: m.idleSince,
	}
}

// attemptsInUse counts the machine's attempts, without those that have exited and only wait to
// be cleared.
func (m *machine) attemptsInUse() (n int) {
	for _, a := range m.attempts {
		if a.state != exited || !a.clearable {
			n++
		}
	}
	return n
}

// status returns the machine's status for the dispatcher.
func (m *machine) status(summary machineSummary) model.MachineStatus {
	return model.MachineStatus{Machine: m.Machine, Avail: summary.avail, Ready: summary.ready,
		Draining: summary.draining, AttemptCount: summary.attempts, IdleSince: summary.idleSince, Faulty: summary.faulty}
}

// MaxAttempts returns the number of attempts on the machine that has most of them.
func (s *Shard) MaxAttempts() int {
	most := 0
	for _, m := range s.sortedMachines {
		most = max(most, len(m.attempts))
	}
	return most
}

// WaitingCount returns how many tasks wait for a machine.
func (s *Shard) WaitingCount() int {
	n := 0
	for _, g := range s.waiting {
		n += len(g.tasks)
	}
	return n
}

// Images returns the images that each of the shard's machines is expected to have, because a
// task with that image was placed there.
func (s *Shard) Images() map[model.MachineID]map[model.Name]bool {
	out := make(map[model.MachineID]map[model.Name]bool, len(s.sortedMachines))
	for _, m := range s.sortedMachines {
		out[m.ID] = m.images
	}
	return out
}

// RestoreImages sets the images that the controller's shard of an earlier term knew of. They are
// a hint for placement and stay valid after a change of leader, because the machines keep them.
func (s *Shard) RestoreImages(images map[model.MachineID]map[model.Name]bool) {
	s.rememberedImages = images
}

// Owns reports whether this shard owns the machine.
func (s *Shard) Owns(id model.MachineID) bool { return s.machines[id] != nil }

// AssignmentsReceived returns how many assignments the shard has received.
func (s *Shard) AssignmentsReceived() uint64 { return s.assignmentsReceived }

// TaskCounts returns the number of waiting and running tasks of each job. Running tasks are
// counted at most once per second, because their number is for display only.
func (s *Shard) TaskCounts(now time.Duration) map[model.JobID]model.TaskCounts {
	if s.runningCounts == nil || now-s.runningCountedAt >= time.Second {
		s.runningCounts, s.runningCountedAt = map[model.JobID]int{}, now
		for job, list := range s.attemptsByJob {
			for _, a := range list {
				if a.assigned != nil && a.state == live && a.stage == model.Running {
					s.runningCounts[job]++
				}
			}
		}
	}
	out := make(map[model.JobID]model.TaskCounts, len(s.runningCounts))
	for id, n := range s.runningCounts {
		out[id] = model.TaskCounts{Running: n}
	}
	for k, g := range s.waiting {
		counts := out[k.job]
		counts.Waiting += len(g.tasks)
		out[k.job] = counts
	}
	return out
}

// inspect emits an event that lists the tasks on a machine. Events keep their order, so the list
// reflects all orders before this one.
func (s *Shard) inspect(now time.Duration, o model.Order) {
	m := s.machines[o.ID]
	if m == nil {
		return // the dispatcher asks the next owner
	}
	s.emitAsOwner(m, model.Event{Kind: model.MachineInspected, Token: o.Token, Placed: m.placedTasks(now)})
}

// placedTasks returns the tasks that are, or may be, on the machine.
func (m *machine) placedTasks(now time.Duration) []model.PlacedTask {
	var out []model.PlacedTask
	for _, a := range m.attempts {
		if a.state != exited {
			out = append(out, model.PlacedTask{Task: a.task, Stage: a.stage, RunTime: max(0, a.ran(now)), Stopping: a.stopping,
				Adopted: a.adopted})
		}
	}
	return out
}

package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// Stats count what the shard has done.
type Stats struct {
	Placed, Evicted, Demoted, Lost, Refused, Errors uint64
	MachinesExamined                                uint64 // machines looked at for waiting tasks
	ExpiredSessionReports                           uint64 // reports refused: their session's lease is over
}

// TakeStatus summarises the machines whose summary has changed since it was last
// asked for.
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

// machineSummary is what often changes in a machine's summary.
type machineSummary struct {
	avail                   model.Resources
	ready, draining, faulty bool
	attempts                int
	idleSince               time.Duration
}

func (s *Shard) summarize(now time.Duration, m *machine) machineSummary {
	inUse := m.attemptsInUse()
	if inUse == 0 && m.inUse {
		m.idleSince = now
	}
	m.inUse = inUse > 0
	avail := m.Cap.Sub(m.used)
	if now < m.reservedUntil {
		avail = model.Resources{} // it is promised: whatever is dealt on the strength of it would wait
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

// attemptsInUse counts the attempts that are on the machine, or that it is still to tell of:
// those that only wait to be cleared are neither.
func (m *machine) attemptsInUse() (n int) {
	for _, a := range m.attempts {
		if a.state != exited || !a.clearable {
			n++
		}
	}
	return n
}

func (m *machine) status(summary machineSummary) model.MachineStatus {
	return model.MachineStatus{Machine: m.Machine, Avail: summary.avail, Ready: summary.ready,
		Draining: summary.draining, Slots: summary.attempts,
		IdleSince: summary.idleSince, Faulty: summary.faulty}
}

// WaitingCount returns how many tasks wait.
func (s *Shard) WaitingCount() int {
	n := 0
	for _, g := range s.waiting {
		n += len(g.tasks)
	}
	return n
}

// Images tells, for each of the shard's machines, the images that it has been
// given tasks for.
func (s *Shard) Images() map[model.MachineID]map[model.Name]bool {
	out := make(map[model.MachineID]map[model.Name]bool, len(s.sortedMachines))
	for _, m := range s.sortedMachines {
		out[m.ID] = m.images
	}
	return out
}

// RestoreImages takes what the controller's shard of an earlier term knew of images:
// a hint for placing, which the machines keep when a leader is lost.
func (s *Shard) RestoreImages(images map[model.MachineID]map[model.Name]bool) {
	s.rememberedImages = images
}

// Owns tells whether the machine is this shard's.
func (s *Shard) Owns(id model.MachineID) bool { return s.machines[id] != nil }

// AssignmentsReceived counts the deals received.
func (s *Shard) AssignmentsReceived() uint64 { return s.assignmentsReceived }

// TaskCounts counts the waiting and the running tasks of each job. The running ones,
// which are for display only, are counted once a second.
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

// inspect tells what runs on a machine. It goes out behind what was said of the
// machine before, so it holds for after every order that came first.
func (s *Shard) inspect(now time.Duration, o model.Order) {
	m := s.machines[o.ID]
	if m == nil {
		return // the next owner is asked
	}
	s.emit(model.Event{Kind: model.MachineInspected, Machine: m.ID, Token: o.Token, Placed: m.placedTasks(now)})
}

// placedTasks is what is on the machine, or may be.
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

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
	for _, m := range s.order {
		if b := s.brief(now, m); m.anew || b != m.last {
			m.last, m.anew = b, false
			out = append(out, m.summary(b))
		}
	}
	return out
}

// brief is what often changes in a machine's summary.
type brief struct {
	avail                   model.Resources
	ready, draining, faulty bool
	slots                   int
	idleSince               time.Duration
}

func (s *Shard) brief(now time.Duration, m *machine) brief {
	n := m.inUseBy()
	if n == 0 && m.inUse {
		m.idleSince = now
	}
	m.inUse = n > 0
	avail := m.Cap.Sub(m.used)
	if now < m.keptUntil {
		avail = model.Resources{} // it is promised: whatever is dealt on the strength of it would wait
	}
	return brief{
		avail:     avail,
		ready:     s.ready(now, m),
		draining:  m.noticeAt != 0 || m.inboundLost || s.unverified(now, m),
		faulty:    now < m.faultyUntil,
		slots:     n,
		idleSince: m.idleSince,
	}
}

// inUseBy counts the attempts that are on the machine, or that it is still to tell of:
// those that only wait to be cleared are neither.
func (m *machine) inUseBy() (n int) {
	for _, sl := range m.slots {
		if sl.state != exited || !sl.clear {
			n++
		}
	}
	return n
}

func (m *machine) summary(b brief) model.MachineStatus {
	return model.MachineStatus{Machine: m.Machine, Avail: b.avail, Ready: b.ready, Draining: b.draining, Slots: b.slots,
		IdleSince: b.idleSince, Faulty: b.faulty}
}

// WaitingCount returns how many tasks wait.
func (s *Shard) WaitingCount() int {
	n := 0
	for _, g := range s.queue {
		n += len(g.tasks)
	}
	return n
}

// Images tells, for each of the shard's machines, the images that it has been
// given tasks for.
func (s *Shard) Images() map[model.MachineID]map[model.Name]bool {
	out := make(map[model.MachineID]map[model.Name]bool, len(s.order))
	for _, m := range s.order {
		out[m.ID] = m.images
	}
	return out
}

// RestoreImages takes what the controller's shard of an earlier term knew of images:
// a hint for placing, which the machines keep when a leader is lost.
func (s *Shard) RestoreImages(images map[model.MachineID]map[model.Name]bool) { s.images = images }

// Owns tells whether the machine is this shard's.
func (s *Shard) Owns(id model.MachineID) bool { return s.machines[id] != nil }

// AssignmentsReceived counts the deals received.
func (s *Shard) AssignmentsReceived() uint64 { return s.deals }

// TaskCounts counts the waiting and the running tasks of each job. The running ones,
// which are for display only, are counted once a second.
func (s *Shard) TaskCounts(now time.Duration) map[model.JobID]model.TaskCounts {
	if s.running == nil || now-s.counted >= time.Second {
		s.running, s.counted = map[model.JobID]int{}, now
		for job, l := range s.ofJob {
			for _, sl := range l {
				if sl.t != nil && sl.state == live && sl.stage == model.Running {
					s.running[job]++
				}
			}
		}
	}
	out := make(map[model.JobID]model.TaskCounts, len(s.running))
	for id, n := range s.running {
		out[id] = model.TaskCounts{Running: n}
	}
	for k, g := range s.queue {
		c := out[k.job]
		c.Waiting += len(g.tasks)
		out[k.job] = c
	}
	return out
}

// lookAt tells what runs on a machine. It goes out behind what was said of the
// machine before, so it holds for after every order that came first.
func (s *Shard) lookAt(now time.Duration, o model.Order) {
	m := s.machines[o.ID]
	if m == nil {
		return // the next owner is asked
	}
	s.emit(model.Event{Kind: model.MachineInspected, Machine: m.ID, Token: o.Token, Placed: m.on(now)})
}

// on is what is on the machine, or may be.
func (m *machine) on(now time.Duration) []model.PlacedTask {
	var out []model.PlacedTask
	for _, sl := range m.slots {
		if sl.state != exited {
			out = append(out, model.PlacedTask{Task: sl.task, Stage: sl.stage, RunTime: max(0, sl.ran(now)), Stopping: sl.stop,
				Adopted: sl.adopted})
		}
	}
	return out
}

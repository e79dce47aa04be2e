package shard

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// attemptKey names an attempt to run a task.
type attemptKey struct {
	task   model.Task
	number uint64
}

// attemptState is how far an attempt has come.
type attemptState uint8

const (
	starting attemptState = iota // not seen on the worker yet
	live
	exited // seen exited, not cleared yet
)

// attempt is an attempt that is, or may be, on a machine.
type attempt struct {
	attemptKey
	machine          *machine
	jobIndex         int    // in its job's list
	lastSeen         uint64 // the take that last showed it
	assigned         *task  // nil: an attempt that nobody here holds
	resources        model.Resources
	state            attemptState
	stage            model.Stage
	launchSent       bool
	launchSeq        uint64 // the report in whose answer the launch last went out
	directLaunches   int    // direct commands in flight that carry the launch
	directToken      uint64 // token of the newest direct launch: it may arrive once more
	launchUnanswered bool   // one went unanswered
	stopping         bool
	grace            time.Duration
	killAt           time.Duration // a saving task is ended then
	clearable        bool
	notAdopted       bool          // found, and not adopted
	adopted          bool          // it ran before this shard saw it
	limitsUnchecked  bool          // ... and dispatching it would have been refused
	fetchesImage     bool          // of a rehearsal: its machine had not its image
	runningSince     time.Duration // first seen running
}

// ran is how long the attempt has been seen running.
func (a *attempt) ran(now time.Duration) time.Duration {
	if a.runningSince == 0 {
		return 0
	}
	return now - a.runningSince
}

// checkpointGrace is the time that a task gets to save, with some room for timers.
func checkpointGrace(spec *model.Spec) time.Duration {
	if spec == nil || spec.CheckpointInterval == 0 {
		return 0
	}
	return spec.CheckpointTime + spec.CheckpointTime/10 + 100*time.Millisecond
}

// stopAttempt has an attempt end, with a time to save. One that was never sent to its machine is free at
// once.
func (s *Shard) stopAttempt(now time.Duration, a *attempt, grace time.Duration) {
	if a.state == exited || a.stopping && grace >= a.grace {
		return
	}
	if !a.launchSent {
		// Never on its way: it is nowhere.
		s.removeAttempt(now, a)
		s.settleTask(now, a, model.CauseStopped)
		return
	}
	if s.simulation != nil {
		s.simulation.stopped = append(s.simulation.stopped, a)
	}
	a.stopping, a.grace = true, grace
	a.machine.minPriceValid = false
	a.killAt = now + grace + s.params.ReportInterval + 2*time.Second
	a.machine.needsFlush = true
}

// removeAttempt removes a slot from its machine's books.
func (s *Shard) removeAttempt(now time.Duration, a *attempt) {
	m := a.machine
	if a.state != exited {
		s.freeResources(a)
	}
	s.detachAttempt(a)
	m.lowestRankRound = 0
}

// freeResources gives an attempt's room back to its machine.
func (s *Shard) freeResources(a *attempt) {
	m := a.machine
	m.used = m.used.Sub(a.resources)
	m.lowestRankRound = 0
	if !m.capacityFreed {
		m.capacityFreed = true
		s.freedMachines = append(s.freedMachines, m)
	}
}

// settleTask settles the task of an attempt that is surely not on a machine.
func (s *Shard) settleTask(now time.Duration, a *attempt, cause model.Cause) {
	t := a.assigned
	if t == nil || t.attempt != a {
		s.reportRejectedGone(a)
		return
	}
	if cause == model.CauseStopped {
		s.reportInterrupted(now, a, cause)
	}
	a.assigned = nil
	a.machine.minPriceValid = false
	// An unchecked task was charged where it ran, whatever its team's limit and its job's zones
	// said. To start it again is for the dispatcher to allow, which checks both.
	if t.recalled || a.limitsUnchecked || cause == model.CauseError || cause == model.CauseUnknown {
		s.returnTask(t, cause) // it still tells where it was
		return
	}
	s.enqueue(now, t)
}

// reportInterrupted tells the dealer that a task which ran is out of work.
func (s *Shard) reportInterrupted(now time.Duration, a *attempt, cause model.Cause) {
	t := a.assigned
	if !s.reportsInterruptions || t == nil || t.interruptionReported || a.runningSince == 0 {
		return
	}
	t.interruptionReported = true
	s.emit(model.Event{Kind: model.TaskInterrupted, Machine: a.machine.ID, Task: t.Task, Cause: cause, Held: t.recalled,
		RunTime: lostWork(now, a)})
}

// reportRejectedGone tells that a found attempt which was not adopted is gone.
func (s *Shard) reportRejectedGone(a *attempt) {
	if a.notAdopted {
		a.notAdopted = false
		s.emit(model.Event{Kind: model.RejectedAttemptGone, Task: a.task, Attempt: a.number})
	}
}

// loseAllAttempts settles all attempts of a machine that surely holds none of them any more.
func (s *Shard) loseAllAttempts(now time.Duration, m *machine) {
	for _, a := range slices.Clone(m.attempts) {
		s.removeAttempt(now, a)
		if a.assigned != nil {
			s.Stats.Lost++
			s.reportInterrupted(now, a, model.CauseOther)
		}
		s.settleTask(now, a, model.CauseStopped)
	}
}

package shard

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// attemptKey identifies an attempt to run a task.
type attemptKey struct {
	task   model.Task
	number uint64
}

// attemptState is the progress of an attempt as seen by the shard.
type attemptState uint8

const (
	starting attemptState = iota // the worker has not reported it yet
	live                         // the worker has reported it, and it has not exited
	exited                       // it has exited, and the worker has not cleared it yet
)

// attempt is an attempt to run a task that is, or may be, on a machine, or is to be launched there.
type attempt struct {
	attemptKey
	machine         *machine
	jobIndex        int             // index in Shard.attemptsByJob of its job
	lastSeen        uint64          // value of Shard.messagesApplied for the last message that listed it
	assigned        *task           // the task that it runs for this shard; nil: none was assigned, or it is settled
	resources       model.Resources // used of the machine; see releaseOnExit
	state           attemptState
	stage           model.Stage
	launchSent      bool          // the launch was sent, so it may be executed
	launchSeq       uint64        // number of the report whose answer last carried the launch
	stopping        bool          // it is to be killed
	grace           time.Duration // time to save a checkpoint before the kill
	killAt          time.Duration // from then on it is killed without grace
	clearable       bool          // the worker may forget it once it has exited
	notAdopted      bool          // found on the worker, and not adopted
	adopted         bool          // it ran before this shard first saw it
	limitsUnchecked bool          // adopted although its team's limit or its job's zones would forbid an assignment
	fetchesImage    bool          // in a simulation: its machine must pull the image first
	runningSince    time.Duration // when it was first seen running; 0: not yet
}

// ran returns how long the attempt has been seen running.
func (a *attempt) ran(now time.Duration) time.Duration {
	if a.runningSince == 0 {
		return 0
	}
	return now - a.runningSince
}

// checkpointGrace returns how long a task gets to save a checkpoint, with a margin for timers. It
// is 0 for a task without checkpoints.
func checkpointGrace(spec *model.Spec) time.Duration {
	if spec == nil || spec.CheckpointInterval == 0 {
		return 0
	}
	return spec.CheckpointTime + spec.CheckpointTime/10 + 100*time.Millisecond
}

// stopAttempt marks an attempt to be killed after a grace period for its checkpoint. A later call
// may only shorten the grace period. An attempt whose launch was never sent is removed at once.
func (s *Shard) stopAttempt(now time.Duration, a *attempt, grace time.Duration) {
	if a.state == exited || a.stopping && grace >= a.grace {
		return
	}
	if !a.launchSent {
		// It cannot be on the machine.
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

// unassignedResources are the resources of an attempt whose task the shard does not know, or whose task
// has ended: its worker lists it in each report.
var unassignedResources = model.Resources{Attempts: 1}

// removeAttempt removes an attempt from its machine and frees its resources.
func (s *Shard) removeAttempt(now time.Duration, a *attempt) {
	s.setResources(a, model.Resources{})
	s.detachAttempt(a)
	a.machine.lowestRankRound = 0
}

// releaseOnExit frees the resources of an attempt that has exited, but for its place in the worker's
// reports, which it keeps until the worker has cleared it.
func (s *Shard) releaseOnExit(a *attempt) {
	s.setResources(a, unassignedResources)
	a.machine.lowestRankRound = 0
}

// setResources changes what an attempt uses of its machine. The machine is examined for waiting tasks
// if that frees resources that were short; a place for one more attempt mostly is not.
func (s *Shard) setResources(a *attempt, resources model.Resources) {
	m := a.machine
	freed := a.resources.Sub(resources)
	attemptsWereShort := m.used.Attempts >= m.Cap.Attempts
	m.used = m.used.Sub(freed)
	a.resources = resources
	useful := freed.CPU > 0 || freed.GPU > 0 || freed.Mem > 0 || freed.Attempts > 0 && attemptsWereShort
	if useful && !m.capacityFreed {
		m.capacityFreed = true
		s.freedMachines = append(s.freedMachines, m)
	}
}

// settleTask decides on the task of an attempt that is certainly not running any more. The task is
// queued again, or returned to the dispatcher if it was recalled, failed, or needs a check there.
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
	// An adopted task with limitsUnchecked was charged although its team's limit or its job's zones
	// may forbid it. Only the dispatcher, which checks both, may start it again.
	if t.recalled || a.limitsUnchecked || cause == model.CauseError || cause == model.CauseUnknown {
		s.returnTask(t, cause) // before t.attempt is reset, so that the event names the machine
		return
	}
	s.enqueue(now, t)
}

// reportInterrupted emits an event for a task that was seen running and has been interrupted. It
// does so once per interruption, and only if the dispatcher wants these events.
func (s *Shard) reportInterrupted(now time.Duration, a *attempt, cause model.Cause) {
	t := a.assigned
	if !s.reportsInterruptions || t == nil || t.interruptionReported || a.runningSince == 0 {
		return
	}
	t.interruptionReported = true
	s.emit(model.Event{Kind: model.TaskInterrupted, Machine: a.machine.ID, Task: t.Task, Cause: cause, Held: t.recalled,
		RunTime: lostWork(now, a)})
}

// reportRejectedGone emits an event if the attempt was found on a worker and not adopted, and is
// gone now.
func (s *Shard) reportRejectedGone(a *attempt) {
	if a.notAdopted {
		a.notAdopted = false
		s.emit(model.Event{Kind: model.RejectedAttemptGone, Task: a.task, Attempt: a.number})
	}
}

// loseAllAttempts removes all attempts of a machine that certainly runs none of them any more, and
// settles their tasks.
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

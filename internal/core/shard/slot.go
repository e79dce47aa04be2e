package shard

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// key names an attempt to run a task.
type key struct {
	task    model.Task
	attempt uint64
}

// slotState is how far an attempt has come.
type slotState uint8

const (
	starting slotState = iota // not seen on the worker yet
	live
	exited // seen exited, not cleared yet
)

// slot is an attempt that is, or may be, on a machine.
type slot struct {
	key
	m         *machine
	at        int    // in its job's list
	seen      uint64 // the take that last showed it
	t         *task  // nil: an attempt that nobody here holds
	each      model.Resources
	state     slotState
	stage     model.Stage
	sent      bool
	sentSeq   uint64 // the report in whose answer the launch last went out
	direct    int    // direct commands in flight that carry the launch
	doubt     uint64 // token of the newest direct launch: it may arrive once more
	unsure    bool   // one went unanswered
	stop      bool
	grace     time.Duration
	hardAt    time.Duration // a saving task is ended then
	clear     bool
	stray     bool          // found, and not adopted
	adopted   bool          // it ran before this shard saw it
	unchecked bool          // ... and dispatching it would have been refused
	fetches   bool          // of a rehearsal: its machine had not its image
	runSince  time.Duration // first seen running
}

// ran is how long the attempt has been seen running.
func (sl *slot) ran(now time.Duration) time.Duration {
	if sl.runSince == 0 {
		return 0
	}
	return now - sl.runSince
}

// graceOf is the time that a task gets to save, with some room for timers.
func graceOf(sp *model.Spec) time.Duration {
	if sp == nil || sp.CheckpointInterval == 0 {
		return 0
	}
	return sp.CheckpointTime + sp.CheckpointTime/10 + 100*time.Millisecond
}

// stop has an attempt end, with a time to save. One that was never sent to its machine is free at
// once.
func (s *Shard) stop(now time.Duration, sl *slot, grace time.Duration) {
	if sl.state == exited || sl.stop && grace >= sl.grace {
		return
	}
	if !sl.sent {
		// Never on its way: it is nowhere.
		s.drop(now, sl)
		s.landed(now, sl, model.CauseStopped)
		return
	}
	if s.rehearsal != nil {
		s.rehearsal.stopped = append(s.rehearsal.stopped, sl)
	}
	sl.stop, sl.grace = true, grace
	sl.m.priced = false
	sl.hardAt = now + grace + s.p.ReportInterval + 2*time.Second
	sl.m.wake = true
}

// drop removes a slot from its machine's books.
func (s *Shard) drop(now time.Duration, sl *slot) {
	m := sl.m
	if sl.state != exited {
		s.free(sl)
	}
	s.cut(sl)
	m.leveled = 0
}

// free gives an attempt's room back to its machine.
func (s *Shard) free(sl *slot) {
	m := sl.m
	m.used = m.used.Sub(sl.each)
	m.leveled = 0
	if !m.roomier {
		m.roomier = true
		s.roomier = append(s.roomier, m)
	}
}

// landed settles the task of an attempt that is surely not on a machine.
func (s *Shard) landed(now time.Duration, sl *slot, c model.Cause) {
	t := sl.t
	if t == nil || t.slot != sl {
		s.strayGone(sl)
		return
	}
	if c == model.CauseStopped {
		s.idled(now, sl, c)
	}
	sl.t = nil
	sl.m.priced = false
	// An unchecked task was charged where it ran, whatever its team's limit and its job's zones
	// said. To start it again is for the dispatcher to allow, which checks both.
	if t.recalled || sl.unchecked || c == model.CauseError || c == model.CauseUnknown {
		s.release(t, c) // it still tells where it was
		return
	}
	s.enqueue(now, t)
}

// idled tells the dealer that a task which ran is out of work.
func (s *Shard) idled(now time.Duration, sl *slot, c model.Cause) {
	t := sl.t
	if !s.tells || t == nil || t.told || sl.runSince == 0 {
		return
	}
	t.told = true
	s.emit(model.Event{Kind: model.TaskInterrupted, Machine: sl.m.ID, Task: t.Task, Cause: c, Held: t.recalled, RunTime: loss(now, sl)})
}

// strayGone tells that a found attempt which was not adopted is gone.
func (s *Shard) strayGone(sl *slot) {
	if sl.stray {
		sl.stray = false
		s.emit(model.Event{Kind: model.RejectedAttemptGone, Task: sl.task, Attempt: sl.attempt})
	}
}

// loseAll settles all attempts of a machine that surely holds none of them any more.
func (s *Shard) loseAll(now time.Duration, m *machine) {
	for _, sl := range slices.Clone(m.slots) {
		s.drop(now, sl)
		if sl.t != nil {
			s.Stats.Lost++
			s.idled(now, sl, model.CauseOther)
		}
		s.landed(now, sl, model.CauseStopped)
	}
}

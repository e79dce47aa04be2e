package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// runsOne gives the shard a machine, under token 5, that runs one task in attempt 1001.
func (r *rig) runsOne() {
	r.t.Helper()
	r.own(1, 5, 8)
	r.report(1, 5)
	r.give(r.spec(1, model.Standard, 2), 0, 10)
	r.report(1, 5)
	r.report(1, 5, cell(1, 0, 1001, model.Running, 0))
}

// lapse lets a machine's lease end and has the dispatcher settle that.
func (r *rig) lapse(id model.MachineID) {
	r.t.Helper()
	r.lapseUnchecked(id)
	if e := r.events(model.LeaseExpiryConfirmed); len(e) != 1 {
		r.t.Fatalf("%d machines lapsed, want one", len(e))
	}
}

// A report that the network held back was taken for new after its session's lease had ended,
// for its number was the next one: what it listed was found, adopted, lost and started again.
func TestReportsOfALapsedSessionAreRefused(t *testing.T) {
	r := newRig(t)
	r.runsOne()
	r.lapse(1)
	for seq := range uint64(3) {
		if r.s.HandleReport(r.now, r.old(1, 1, r.seq+1+seq, 5, cell(1, 0, 1001, model.Running, 0))) {
			t.Error("a report of a session whose lease is over was answered")
		}
	}
	for _, e := range r.s.TakeEvents() {
		switch e.Kind {
		case model.AttemptFound, model.WorkerBack, model.WorkerFenced:
			t.Errorf("event %d came of a report of a session whose lease is over", e.Kind)
		}
	}
}

// A shard that had not fenced a worker before its lapse knows none of its sessions. A report
// that bears the token given out before the lapse may be as old as that.
func TestAWorkerThatWasNotFencedNeedsANewTokenAfterALapse(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 0) // answered with the token, which it does not show
	r.lapse(1)
	if !r.s.machines[1].needToken {
		t.Fatal("no new token was asked for with the lapse")
	}
	r.own(1, 9, 8)
	late := r.old(1, 2, 50, 5, cell(1, 0, 77, model.Running, 0))
	r.s.HandleReport(r.now, late)
	r.s.Answer(r.now, late)
	for _, e := range r.s.TakeEvents() {
		if e.Kind == model.AttemptFound || e.Kind == model.WorkerFenced {
			t.Errorf("event %d came of a report under a token of before the lapse", e.Kind)
		}
	}
	r.s.HandleReport(r.now, r.old(1, 2, 51, 9))
	if e := r.events(model.WorkerFenced); len(e) != 1 {
		t.Error("not fenced by the token that was given since")
	}
}

// The next session of a fenced worker is new: it is answered, and gets work, at once.
func TestTheNextSessionAfterALapseIsTakenAtOnce(t *testing.T) {
	r := newRig(t)
	r.runsOne()
	r.lapse(1)
	next := r.old(1, 2, 1, 5)
	if !r.s.HandleReport(r.now, next) || !r.s.Answer(r.now, next).OK {
		t.Fatal("the next session's report was refused")
	}
	if e := r.events(model.WorkerBack); len(e) != 1 || !r.s.machines[1].fenced {
		t.Error("it is not back")
	}
}

// An answer to a direct command may be on its way while the lease ends. It was written before.
func TestAnAnswerOfALapsedSessionCountsForNothing(t *testing.T) {
	r := newRig(t)
	r.runsOne()
	r.s.machines[1].probe, r.s.machines[1].wake = true, true
	r.s.Flush(r.now, 100)
	d := r.s.TakeDirectCommands()
	if len(d) != 1 {
		t.Fatalf("%d questions, want one", len(d))
	}
	r.lapse(1)
	r.s.DirectCommandDone(r.now, d[0], r.old(1, 1, r.seq+1, 5, cell(1, 0, 1001, model.Running, 0)), true)
	if e := r.events(model.AttemptFound); len(e) != 0 {
		t.Error("what it listed was found")
	}
}

// A machine that stays silent is told to have lapsed every few seconds; it costs one token at most.
func TestALapseThatIsToldAgainAsksForNoToken(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 0)
	r.lapse(1)
	r.own(1, 9, 8)
	for range 3 {
		r.now += 6 * time.Second
		r.s.Tick(r.now)
		r.s.HandleOrder(r.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: 1})
		for _, e := range r.s.TakeEvents() {
			if e.Kind == model.TokenNeeded {
				t.Fatal("a token was asked for again")
			}
		}
	}
}

// A worker whose numbers begin anew after a lapse is below the session that ended. The answer
// to a question shows it to be new, by the token that it was asked under.
func TestAWorkerThatBeginsItsNumbersAnewAfterALapse(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	r.s.machines[1].session = 3 // it had begun its numbers long ago
	r.lapse(1)
	if r.s.HandleReport(r.now, r.old(1, 1, 1, 0)) {
		t.Fatal("answered before it is known to be no copy")
	}
	r.ask(func(DirectCommand) (*model.Report, bool) { return r.old(1, 1, 2, 0), false })
	if e := r.events(model.TokenNeeded); len(e) != 1 {
		t.Fatalf("%+v, want a new token asked for", e)
	}
	r.own(1, 9, 8)
	earlier := r.old(1, 3, 90, 5, cell(1, 0, 77, model.Running, 0)) // written before it began anew
	r.s.HandleReport(r.now, earlier)
	r.s.Answer(r.now, earlier)
	if r.s.machines[1].fenced || len(r.events(model.AttemptFound)) != 0 {
		t.Fatal("fenced by a report of its earlier life")
	}
	for range 2 { // the first question finds its session out again
		r.now += time.Second
		r.ask(func(d DirectCommand) (*model.Report, bool) {
			if d.Session != 1 {
				return r.old(1, 1, 2, 0), false
			}
			return r.old(1, 1, 3, d.Token), true
		})
	}
	if !r.s.machines[1].fenced || !r.s.HandleReport(r.now, r.old(1, 1, 4, 9)) {
		t.Fatal("not taken on proof")
	}
}

// A task that was adopted where it ran was never checked against its team's limit and its
// job's zones. Lost, it goes back to the dispatcher, which checks both.
func TestALostAdoptedTaskGoesBackToTheDispatcher(t *testing.T) {
	for name, lose := range map[string]func(*rig){
		"its machine begins a session": func(r *rig) {
			r.now += lease
			r.s.HandleReport(r.now, r.old(1, 2, 100, 5))
		},
		"its machine's lease is over": func(r *rig) { r.lapseUnchecked(1) },
		"it is evicted": func(r *rig) {
			r.s.stop(r.now, r.s.ofJob[1][0], 0)
			r.report(1, 5, cell(1, 0, 77, model.Exited, model.CauseStopped))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.findsOne()
			r.adopt(1, 77)
			r.s.TakeEvents()
			lose(r)
			if e := r.events(model.TaskReturned); len(e) != 1 || e[0].Task != (model.Task{Job: 1}) {
				t.Errorf("events %+v, want it told to be gone", e)
			}
			if n := r.s.WaitingCount(); n != 0 || r.s.tasks[model.Task{Job: 1}] != nil {
				t.Errorf("%d tasks wait here to be started again", n)
			}
		})
	}
}

// One that dispatching would have allowed is started again by its shard, as a dispatched one.
func TestALostAdoptedTaskWithinItsLimitStays(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5, cell(1, 0, 77, model.Running, 0))
	r.s.HandleOrder(r.now, model.Order{Kind: model.AssignTask, Assignment: model.Assignment{Task: model.Task{Job: 1},
		Spec: r.spec(1, model.Standard, 2), Price: 10, Zone: model.None, Machine: 1, Attempt: 77, WithinLimits: true}})
	r.s.TakeEvents()
	r.lapseUnchecked(1)
	if e := r.events(model.TaskReturned); len(e) != 0 || r.s.WaitingCount() != 1 {
		t.Errorf("events %+v, %d tasks wait here; want it kept", e, r.s.WaitingCount())
	}
}

// An attempt that is gone by the time that it is given to be adopted was not checked either.
func TestATaskAdoptedTooLateGoesBackToTheDispatcher(t *testing.T) {
	for name, lose := range map[string]func(*rig){
		"its machine lapsed": func(r *rig) { r.lapse(1) },
		"it has exited":      func(r *rig) { r.report(1, 5, cell(1, 0, 77, model.Exited, model.CauseStopped)) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.findsOne()
			lose(r)
			r.s.TakeEvents()
			r.adopt(1, 77)
			if e := r.events(model.TaskReturned); len(e) != 1 || r.s.WaitingCount() != 0 {
				t.Errorf("events %+v, %d tasks wait here; want it told to be gone", e, r.s.WaitingCount())
			}
		})
	}
}

// lapseUnchecked is lapse for a caller that looks at the events itself.
func (r *rig) lapseUnchecked(id model.MachineID) {
	r.now += lease + time.Second
	r.s.Tick(r.now)
	r.s.HandleOrder(r.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: id})
}

// findsOne gives the shard two machines, the first of which runs attempt 77 of a task of job 1.
func (r *rig) findsOne() {
	r.t.Helper()
	r.own(1, 5, 8)
	r.own(2, 6, 8)
	r.report(1, 5, cell(1, 0, 77, model.Running, 0))
	r.report(2, 6)
}

// adopt gives the shard a task that it found on machine 1.
func (r *rig) adopt(job model.JobID, attempt uint64) {
	r.s.HandleOrder(r.now, model.Order{Kind: model.AssignTask, Assignment: model.Assignment{Task: model.Task{Job: job},
		Spec: r.spec(job, model.Standard, 2), Price: 10, Zone: model.None, Machine: 1, Attempt: attempt}})
}

package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// runOneTask gives the shard a machine, under token 5, that runs one task in attempt 1001.
func (h *harness) runOneTask() {
	h.t.Helper()
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.assign(h.spec(1, model.Standard, 2), 0, 10)
	h.report(1, 5)
	h.report(1, 5, attemptStatus(1, 0, 1001, model.Running, 0))
}

// expireLease lets a machine's lease end and has the dispatcher settle that.
func (h *harness) expireLease(id model.MachineID) {
	h.t.Helper()
	h.expireLeaseUnchecked(id)
	if e := h.takeEvents(model.LeaseExpiryConfirmed); len(e) != 1 {
		h.t.Fatalf("%d machines lapsed, want one", len(e))
	}
}

// A report that the network held back was taken for new after its session's lease had ended,
// for its number was the next one: what it listed was found, adopted, lost and started again.
func TestReportsOfExpiredSessionAreRefused(t *testing.T) {
	h := newHarness(t)
	h.runOneTask()
	h.expireLease(1)
	for seq := range uint64(3) {
		if h.shard.HandleReport(h.now, h.message(1, 1, h.seq+1+seq, 5, attemptStatus(1, 0, 1001, model.Running, 0))) {
			t.Error("a report of a session whose lease is over was answered")
		}
	}
	for _, e := range h.shard.TakeEvents() {
		switch e.Kind {
		case model.AttemptFound, model.WorkerBack, model.WorkerFenced:
			t.Errorf("event %d came of a report of a session whose lease is over", e.Kind)
		}
	}
}

// A shard that had not fenced a worker before its lapse knows none of its sessions. A report
// that bears the token given out before the lapse may be as old as that.
func TestUnfencedWorkerNeedsNewTokenAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 0) // answered with the token, which it does not show
	h.expireLease(1)
	if !h.shard.machines[1].tokenNeeded {
		t.Fatal("no new token was asked for with the lapse")
	}
	h.ownMachine(1, 9, 8)
	late := h.message(1, 2, 50, 5, attemptStatus(1, 0, 77, model.Running, 0))
	h.shard.HandleReport(h.now, late)
	h.shard.Answer(h.now, late)
	for _, e := range h.shard.TakeEvents() {
		if e.Kind == model.AttemptFound || e.Kind == model.WorkerFenced {
			t.Errorf("event %d came of a report under a token of before the lapse", e.Kind)
		}
	}
	h.shard.HandleReport(h.now, h.message(1, 2, 51, 9))
	if e := h.takeEvents(model.WorkerFenced); len(e) != 1 {
		t.Error("not fenced by the token that was given since")
	}
}

// The next session of a fenced worker is new: it is answered, and gets work, at once.
func TestNextSessionAfterLeaseExpiryIsAcceptedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.runOneTask()
	h.expireLease(1)
	next := h.message(1, 2, 1, 5)
	if !h.shard.HandleReport(h.now, next) || !h.shard.Answer(h.now, next).OK {
		t.Fatal("the next session's report was refused")
	}
	if e := h.takeEvents(model.WorkerBack); len(e) != 1 || !h.shard.machines[1].fenced {
		t.Error("it is not back")
	}
}

// An answer to a direct command may be on its way while the lease ends. It was written before.
func TestDirectAnswerOfExpiredSessionIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.runOneTask()
	h.shard.machines[1].needsProbe, h.shard.machines[1].needsFlush = true, true
	h.shard.Flush(h.now, 100)
	d := h.shard.TakeDirectCommands()
	if len(d) != 1 {
		t.Fatalf("%d questions, want one", len(d))
	}
	h.expireLease(1)
	h.shard.DirectCommandDone(h.now, d[0], h.message(1, 1, h.seq+1, 5, attemptStatus(1, 0, 1001, model.Running, 0)), true)
	if e := h.takeEvents(model.AttemptFound); len(e) != 0 {
		t.Error("what it listed was found")
	}
}

// A machine that stays silent is told to have lapsed every few seconds; it costs one token at most.
func TestRepeatedLeaseExpiryRequestsNoToken(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 0)
	h.expireLease(1)
	h.ownMachine(1, 9, 8)
	for range 3 {
		h.now += 6 * time.Second
		h.shard.Tick(h.now)
		h.shard.HandleOrder(h.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: 1})
		for _, e := range h.shard.TakeEvents() {
			if e.Kind == model.TokenNeeded {
				t.Fatal("a token was asked for again")
			}
		}
	}
}

// A worker whose numbers begin anew after a lapse is below the session that ended. The answer
// to a question shows it to be new, by the token that it was asked under.
func TestSessionRestartAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.shard.machines[1].session = 3 // it had begun its numbers long ago
	h.expireLease(1)
	if h.shard.HandleReport(h.now, h.message(1, 1, 1, 0)) {
		t.Fatal("answered before it is known to be no copy")
	}
	h.answerDirectCommands(func(DirectCommand) (*model.Report, bool) { return h.message(1, 1, 2, 0), false })
	if e := h.takeEvents(model.TokenNeeded); len(e) != 1 {
		t.Fatalf("%+v, want a new token asked for", e)
	}
	h.ownMachine(1, 9, 8)
	earlier := h.message(1, 3, 90, 5, attemptStatus(1, 0, 77, model.Running, 0)) // written before it began anew
	h.shard.HandleReport(h.now, earlier)
	h.shard.Answer(h.now, earlier)
	if h.shard.machines[1].fenced || len(h.takeEvents(model.AttemptFound)) != 0 {
		t.Fatal("fenced by a report of its earlier life")
	}
	for range 2 { // the first question finds its session out again
		h.now += time.Second
		h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) {
			if d.Session != 1 {
				return h.message(1, 1, 2, 0), false
			}
			return h.message(1, 1, 3, d.Token), true
		})
	}
	if !h.shard.machines[1].fenced || !h.shard.HandleReport(h.now, h.message(1, 1, 4, 9)) {
		t.Fatal("not taken on proof")
	}
}

// A task that was adopted where it ran was never checked against its team's limit and its
// job's zones. Lost, it goes back to the dispatcher, which checks both.
func TestLostAdoptedTaskIsReturnedToDispatcher(t *testing.T) {
	for name, lose := range map[string]func(*harness){
		"its machine begins a session": func(h *harness) {
			h.now += maxLease
			h.shard.HandleReport(h.now, h.message(1, 2, 100, 5))
		},
		"its machine's lease is over": func(h *harness) { h.expireLeaseUnchecked(1) },
		"it is evicted": func(h *harness) {
			h.shard.stopAttempt(h.now, h.shard.attemptsByJob[1][0], 0)
			h.report(1, 5, attemptStatus(1, 0, 77, model.Exited, model.CauseStopped))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.findOneAttempt()
			h.adopt(1, 77)
			h.shard.TakeEvents()
			lose(h)
			if e := h.takeEvents(model.TaskReturned); len(e) != 1 || e[0].Task != (model.Task{Job: 1}) {
				t.Errorf("events %+v, want it told to be gone", e)
			}
			if n := h.shard.WaitingCount(); n != 0 || h.shard.tasks[model.Task{Job: 1}] != nil {
				t.Errorf("%d tasks wait here to be started again", n)
			}
		})
	}
}

// One that dispatching would have allowed is started again by its shard, as a dispatched one.
func TestLostAdoptedTaskWithinLimitsIsRestarted(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5, attemptStatus(1, 0, 77, model.Running, 0))
	h.shard.HandleOrder(h.now, model.Order{Kind: model.AssignTask, Assignment: model.Assignment{Task: model.Task{Job: 1},
		Spec: h.spec(1, model.Standard, 2), Price: 10, Zone: model.None, Machine: 1, Attempt: 77, WithinLimits: true}})
	h.shard.TakeEvents()
	h.expireLeaseUnchecked(1)
	if e := h.takeEvents(model.TaskReturned); len(e) != 0 || h.shard.WaitingCount() != 1 {
		t.Errorf("events %+v, %d tasks wait here; want it kept", e, h.shard.WaitingCount())
	}
}

// An attempt that is gone by the time that it is given to be adopted was not checked either.
func TestTaskAdoptedTooLateIsReturnedToDispatcher(t *testing.T) {
	for name, lose := range map[string]func(*harness){
		"its machine lapsed": func(h *harness) { h.expireLease(1) },
		"it has exited":      func(h *harness) { h.report(1, 5, attemptStatus(1, 0, 77, model.Exited, model.CauseStopped)) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.findOneAttempt()
			lose(h)
			h.shard.TakeEvents()
			h.adopt(1, 77)
			if e := h.takeEvents(model.TaskReturned); len(e) != 1 || h.shard.WaitingCount() != 0 {
				t.Errorf("events %+v, %d tasks wait here; want it told to be gone", e, h.shard.WaitingCount())
			}
		})
	}
}

// expireLeaseUnchecked is lapse for a caller that looks at the events itself.
func (h *harness) expireLeaseUnchecked(id model.MachineID) {
	h.now += maxLease + time.Second
	h.shard.Tick(h.now)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: id})
}

// findOneAttempt gives the shard two machines, the first of which runs attempt 77 of a task of job 1.
func (h *harness) findOneAttempt() {
	h.t.Helper()
	h.ownMachine(1, 5, 8)
	h.ownMachine(2, 6, 8)
	h.report(1, 5, attemptStatus(1, 0, 77, model.Running, 0))
	h.report(2, 6)
}

// adopt gives the shard a task that it found on machine 1.
func (h *harness) adopt(job model.JobID, attempt uint64) {
	h.shard.HandleOrder(h.now, model.Order{Kind: model.AssignTask, Assignment: model.Assignment{Task: model.Task{Job: job},
		Spec: h.spec(job, model.Standard, 2), Price: 10, Zone: model.None, Machine: 1, Attempt: attempt}})
}

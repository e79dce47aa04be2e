package shard

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// runOneTask gives the shard machine 1 under token 5, which runs task 0 of job 1 as attempt 1001.
func (h *harness) runOneTask() {
	h.t.Helper()
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.assign(h.spec(1, model.Standard, 2), 0, 10)
	h.report(1, 5)
	h.report(1, 5, attemptStatus(1, 0, 1001, model.Running, 0))
}

// expireLease lets a machine's lease expire and sends the dispatcher's confirmation. It takes all
// events.
func (h *harness) expireLease(id model.MachineID) {
	h.t.Helper()
	h.expireLeaseUnchecked(id)
	if e := h.takeEvents(model.LeaseExpiryConfirmed); len(e) != 1 {
		h.t.Fatalf("%d lease expiries confirmed, want one", len(e))
	}
}

// A report that the network delivers after its session's lease has expired must be refused, although
// it has the next sequence number. Otherwise its attempts are adopted, lost and started again.
func TestReportsOfExpiredSessionAreRefused(t *testing.T) {
	h := newHarness(t)
	h.runOneTask()
	h.expireLease(1)
	for seq := range uint64(3) {
		if h.shard.HandleReport(h.now, h.message(1, 1, h.seq+1+seq, 5, attemptStatus(1, 0, 1001, model.Running, 0))) {
			t.Error("a report of a session whose lease has expired was answered")
		}
	}
	for _, e := range h.shard.TakeEvents() {
		switch e.Kind {
		case model.AttemptFound, model.WorkerBack, model.WorkerFenced:
			t.Errorf("event %d after a report of a session whose lease has expired", e.Kind)
		}
	}
}

// A shard that had not fenced a worker when its lease expired knows none of its sessions. A report
// with a token that was sent before the expiry may be from before the expiry too.
func TestUnfencedWorkerNeedsNewTokenAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 0) // the answer carries the token, which the worker has not shown
	h.expireLease(1)
	if !h.shard.machines[1].tokenNeeded {
		t.Fatal("no new token was requested after the lease expiry")
	}
	h.ownMachine(1, 9, 8)
	late := h.message(1, 2, 50, 5, attemptStatus(1, 0, 77, model.Running, 0))
	h.shard.HandleReport(h.now, late)
	h.shard.Answer(h.now, late)
	for _, e := range h.shard.TakeEvents() {
		if e.Kind == model.AttemptFound || e.Kind == model.WorkerFenced {
			t.Errorf("event %d after a report with a token from before the lease expiry", e.Kind)
		}
	}
	h.shard.HandleReport(h.now, h.message(1, 2, 51, 9))
	if e := h.takeEvents(model.WorkerFenced); len(e) != 1 {
		t.Error("not fenced by a report with the new token")
	}
}

// A report of the next session of a fenced worker is certainly new: it is answered at once.
func TestNextSessionAfterLeaseExpiryIsAcceptedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.runOneTask()
	h.expireLease(1)
	next := h.message(1, 2, 1, 5)
	if !h.shard.HandleReport(h.now, next) || !h.shard.Answer(h.now, next).OK {
		t.Fatal("the next session's report was refused")
	}
	if e := h.takeEvents(model.WorkerBack); len(e) != 1 || !h.shard.machines[1].fenced {
		t.Error("the worker is not back or not fenced")
	}
}

// The answer to a direct command may be in flight while the lease expires. It is from before the
// expiry, so its attempts are ignored.
func TestDirectAnswerOfExpiredSessionIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.runOneTask()
	h.shard.machines[1].needsProbe, h.shard.machines[1].needsFlush = true, true
	h.shard.Flush(h.now, 100)
	d := h.shard.TakeDirectCommands()
	if len(d) != 1 {
		t.Fatalf("%d probes, want one", len(d))
	}
	h.expireLease(1)
	h.shard.DirectCommandDone(h.now, d[0], h.message(1, 1, h.seq+1, 5, attemptStatus(1, 0, 1001, model.Running, 0)), true)
	if e := h.takeEvents(model.AttemptFound); len(e) != 0 {
		t.Error("its attempt was reported as found")
	}
}

// The lease expiry of a machine that does not report is confirmed again every few seconds. Only the
// first confirmation may request a token.
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
				t.Fatal("another token was requested")
			}
		}
	}
}

// A worker that restarts its session numbers after a lease expiry has a lower session than the one
// that ended. The answer to a probe, which shows the probe's token, proves that the session is new.
func TestSessionRestartAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.shard.machines[1].session = 3 // the session number before the restart
	h.expireLease(1)
	if h.shard.HandleReport(h.now, h.message(1, 1, 1, 0)) {
		t.Fatal("answered although it may be a replayed copy")
	}
	h.answerDirectCommands(func(DirectCommand) (*model.Report, bool) { return h.message(1, 1, 2, 0), false })
	if e := h.takeEvents(model.TokenNeeded); len(e) != 1 {
		t.Fatalf("%+v, want a new token requested", e)
	}
	h.ownMachine(1, 9, 8)
	earlier := h.message(1, 3, 90, 5, attemptStatus(1, 0, 77, model.Running, 0)) // from before the restart
	h.shard.HandleReport(h.now, earlier)
	h.shard.Answer(h.now, earlier)
	if h.shard.machines[1].fenced || len(h.takeEvents(model.AttemptFound)) != 0 {
		t.Fatal("fenced by a report from before the restart")
	}
	for range 2 { // the first probe only learns the worker's session
		h.now += time.Second
		h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) {
			if d.Session != 1 {
				return h.message(1, 1, 2, 0), false
			}
			return h.message(1, 1, 3, d.Token), true
		})
	}
	if !h.shard.machines[1].fenced || !h.shard.HandleReport(h.now, h.message(1, 1, 4, 9)) {
		t.Fatal("not fenced or not answered after the probe")
	}
}

// A task that was adopted without a check of its team's limit and its job's zones is returned to the
// dispatcher when it is lost, because the dispatcher checks both.
func TestLostAdoptedTaskIsReturnedToDispatcher(t *testing.T) {
	for name, loseTask := range map[string]func(*harness){
		"its worker starts a new session": func(h *harness) {
			h.now += maxLease
			h.shard.HandleReport(h.now, h.message(1, 2, 100, 5))
		},
		"its worker's lease expires": func(h *harness) { h.expireLeaseUnchecked(1) },
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
			loseTask(h)
			if e := h.takeEvents(model.TaskReturned); len(e) != 1 || e[0].Task != (model.Task{Job: 1}) {
				t.Errorf("events %+v, want the task returned", e)
			}
			if n := h.shard.WaitingCount(); n != 0 || h.shard.tasks[model.Task{Job: 1}] != nil {
				t.Errorf("%d tasks wait at the shard to be started again", n)
			}
		})
	}
}

// A lost task that was adopted within its limits is started again by the shard, like an assigned one.
func TestLostAdoptedTaskWithinLimitsIsRestarted(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5, attemptStatus(1, 0, 77, model.Running, 0))
	h.shard.HandleOrder(h.now, model.Order{Kind: model.AssignTask, Assignment: model.Assignment{Task: model.Task{Job: 1},
		Spec: h.spec(1, model.Standard, 2), Price: 10, Zone: model.None, Machine: 1, Attempt: 77, WithinLimits: true}})
	h.shard.TakeEvents()
	h.expireLeaseUnchecked(1)
	if e := h.takeEvents(model.TaskReturned); len(e) != 0 || h.shard.WaitingCount() != 1 {
		t.Errorf("events %+v, %d tasks wait; want the task kept", e, h.shard.WaitingCount())
	}
}

// A task whose attempt has ended before it can be adopted was not checked either, so it is returned.
func TestTaskAdoptedTooLateIsReturnedToDispatcher(t *testing.T) {
	for name, loseAttempt := range map[string]func(*harness){
		"its worker's lease expired": func(h *harness) { h.expireLease(1) },
		"it has exited": func(h *harness) {
			h.report(1, 5, attemptStatus(1, 0, 77, model.Exited, model.CauseStopped))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.findOneAttempt()
			loseAttempt(h)
			h.shard.TakeEvents()
			h.adopt(1, 77)
			if e := h.takeEvents(model.TaskReturned); len(e) != 1 || h.shard.WaitingCount() != 0 {
				t.Errorf("events %+v, %d tasks wait; want the task returned", e, h.shard.WaitingCount())
			}
		})
	}
}

// expireLeaseUnchecked is expireLease for callers that check the events themselves.
func (h *harness) expireLeaseUnchecked(id model.MachineID) {
	h.now += maxLease + time.Second
	h.shard.Tick(h.now)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: id})
}

// findOneAttempt gives the shard two machines. The worker of the first reports attempt 77 of task 0
// of job 1, which is not adopted yet.
func (h *harness) findOneAttempt() {
	h.t.Helper()
	h.ownMachine(1, 5, 8)
	h.ownMachine(2, 6, 8)
	h.report(1, 5, attemptStatus(1, 0, 77, model.Running, 0))
	h.report(2, 6)
}

// adopt assigns task 0 of a job to the shard, to be adopted on machine 1 in the given attempt. It is
// not known to be within its limits.
func (h *harness) adopt(job model.JobID, attempt uint64) {
	h.shard.HandleOrder(h.now, model.Order{Kind: model.AssignTask, Assignment: model.Assignment{Task: model.Task{Job: job},
		Spec: h.spec(job, model.Standard, 2), Price: 10, Zone: model.None, Machine: 1, Attempt: attempt}})
}

package shard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"honeylock/internal/core/model"
)

// message returns a message of a machine's worker, which need not be newer than earlier ones.
func (h *harness) message(id model.MachineID, session, seq, token uint64,
	attempts ...model.AttemptStatus) *model.Report {
	return &model.Report{Machine: model.Machine{ID: id}, Session: session, Seq: seq, Token: token, PreemptionNotice: -1,
		Attempts: attempts}
}

// answerDirectCommands lets the shard send its direct commands and passes the result of f as the
// outcome of each. It returns their number.
func (h *harness) answerDirectCommands(f func(d DirectCommand) (*model.Report, bool)) (n int) {
	h.shard.Tick(h.now)
	h.shard.Flush(h.now, 100)
	for _, d := range h.shard.TakeDirectCommands() {
		report, executed := f(d)
		h.shard.DirectCommandDone(h.now, d, report, executed)
		n++
	}
	return n
}

// noAnswer is the outcome of a direct command that was not answered.
func noAnswer(DirectCommand) (*model.Report, bool) { return nil, false }

// A replayed copy of a report does not keep a dead machine's lease alive and is not answered. An
// answer could carry launches under the old sequence number, and the next real report would seem to
// prove that they were not executed.
func TestReplayedReportIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.report(1, 5)
	for i := range 12 { // the machine is dead, and copies of its reports arrive
		h.now += time.Second
		if i == 5 {
			h.assign(h.spec(1, model.Standard, 2), 0, 10)
		}
		for seq := range uint64(3) {
			if h.shard.HandleReport(h.now, h.message(1, 1, seq, 5)) {
				t.Fatal("a replayed copy was answered")
			}
		}
		h.answerDirectCommands(noAnswer)
	}
	if e := h.takeEvents(model.LeaseExpired); len(e) == 0 {
		t.Fatal("the machine's lease has not expired")
	}
	if a := h.shard.attemptsByJob[1]; len(a) != 0 {
		t.Errorf("%d tasks were placed on a machine whose only reports are replayed copies", len(a))
	}
}

// A report that the answer to a direct command has overtaken is accepted once, and only for a while.
func TestOvertakenReportIsAcceptedOnce(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.answerDirectCommands(func(DirectCommand) (*model.Report, bool) { return h.message(1, 1, 7, 5), true })
	late := h.message(1, 1, 6, 0)
	if !h.shard.HandleReport(h.now, late) {
		t.Fatal("refused although its worker waits for the answer")
	}
	if h.shard.HandleReport(h.now, late) {
		t.Error("its replayed copy was answered as well")
	}
	h.now += time.Minute
	if h.shard.HandleReport(h.now, h.message(1, 1, 6, 0)) {
		t.Error("a replayed copy was answered after a minute")
	}
}

// A report that reaches another controller makes the owner release the machine only if it is newer
// than the owner's newest report.
func TestReplayedReportElsewhereReleasesNoMachine(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.report(1, 5)
	release := func(seq uint64) {
		h.shard.HandleOrder(h.now, model.Order{Kind: model.ReleaseMachine, ID: 1,
			MessageID: model.MessageID{Session: 1, Seq: seq}})
	}
	release(2)
	if !h.shard.Owns(1) || len(h.takeEvents(model.MachineKept)) != 1 {
		t.Fatal("the machine was released because of a replayed copy")
	}
	release(3)
	if e := h.takeEvents(model.MachineReleased); h.shard.Owns(1) || len(e) != 1 || e[0].Held {
		t.Fatalf("%+v, want it released, with Held false", e)
	}
}

// A worker that does not receive answers is not answered forever. Its lease expires after the last
// answer that it may have received.
func TestUnreachableWorkerIsNotAnsweredForever(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	start, last := h.now, h.now
	for h.now < start+time.Minute {
		h.seq++
		report := h.message(1, 1+uint64((h.now-start)/maxLease), h.seq, 0)
		if h.shard.HandleReport(h.now, report) {
			h.shard.Answer(h.now, report)
			last = h.now
		}
		h.now += tokenReportTime
		h.answerDirectCommands(noAnswer)
		h.now += time.Second - tokenReportTime
	}
	if last > start+10*time.Second {
		t.Fatalf("answered for %v", last-start)
	}
	if len(h.takeEvents(model.LeaseExpired)) == 0 {
		t.Fatal("no LeaseExpired event")
	}
	// The worker receives messages again: it answers a probe, and its reports are answered.
	h.now += maxProbePause
	h.shard.HandleReport(h.now, h.message(1, 7, 1000, 0))
	if n := h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) {
		return h.message(1, 7, 1001, d.Token),
			true
	}); n != 1 {
		t.Fatalf("%d probes, want one", n)
	}
	if !h.shard.HandleReport(h.now, h.message(1, 7, 1002, 5)) || h.shard.machines[1].leaseExpired {
		t.Fatal("not answered again after a successful probe")
	}
}

// A fenced worker that ignores launches gets no more tasks until it is shown to receive messages.
func TestIgnoredLaunchesStopFurtherLaunches(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.assign(h.spec(1, model.Standard, 2), 0, 10)
	launches := 0
	for range 8 {
		launches += len(h.report(1, 5))
		h.now += time.Second
		h.answerDirectCommands(noAnswer)
	}
	if launches != 2 {
		t.Fatalf("%d launches sent to a worker that receives nothing", launches)
	}
	if b := h.shard.TakeStatus(h.now); len(b) != 1 || b[0].Ready || !b[0].Draining {
		t.Fatalf("%+v, want it draining and not ready", b)
	}
	h.now += maxProbePause
	h.report(1, 5)
	h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) {
		h.seq++
		return h.message(1, 1, h.seq, d.Token),
			true
	})
	h.shard.Tick(h.now)
	if cmds := h.report(1, 5); len(cmds) != 1 {
		t.Fatalf("%v, want the task launched once the worker receives messages", cmds)
	}
}

// A session that ends although its reports were answered shows that the answers did not arrive.
func TestSessionEndDespiteAnswersMarksInboundLost(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.now += time.Second
	h.report(1, 5)
	if !h.shard.HandleReport(h.now+time.Second, h.message(1, 2, 1, 5)) || !h.shard.machines[1].inboundLost {
		t.Fatal("its next session is refused, or the worker is considered to receive messages")
	}
}

// A worker that restarts its session numbers is not refused forever as a replayed copy. Its attempts
// are kept until it has shown a new token. Copies of reports from before the restart change nothing.
func TestSessionRestart(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.seq = 40
	h.report(1, 5)
	h.assign(h.spec(1, model.Standard, 2), 0, 10)
	h.report(1, 5)
	h.report(1, 5, attemptStatus(1, 0, 1001, model.Running, 0))
	if h.shard.HandleReport(h.now, h.message(1, 1, 3, 0)) {
		t.Fatal("answered although it may be a replayed copy")
	}
	h.answerDirectCommands(func(DirectCommand) (*model.Report, bool) { return h.message(1, 1, 4, 0), false })
	if e := h.takeEvents(model.TokenNeeded); len(e) != 1 {
		t.Fatalf("%+v, want a new token requested", e)
	}
	if len(h.shard.attemptsByJob[1]) != 1 {
		t.Fatal("its attempt was removed before the new token was shown")
	}
	h.shard.HandleOrder(h.now, model.Order{Kind: model.OwnMachine,
		Machine: model.Machine{ID: 1, Addr: "x", Cap: model.Capacity(8, 0, 64)},
		Token:   9, Usable: true})
	h.shard.HandleReport(h.now, h.message(1, 1, 43, 5,
		attemptStatus(1, 0, 1001, model.Running, 0))) // a copy from before the restart
	if h.shard.machines[1].fenced {
		t.Fatal("fenced by a replayed copy")
	}
	h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) { return h.message(1, 1, 6, d.Token), true })
	if !h.shard.machines[1].fenced || h.shard.tasks[model.Task{Job: 1}].attempt != nil &&
		h.shard.attemptsByJob[1][0].number == 1001 {
		t.Fatal("not fenced, or the lost task is not placed again")
	}
	h.shard.HandleReport(h.now, h.message(1, 2, 90, 5)) // another copy, of a higher session
	if m := h.shard.machines[1]; m.session != 1 {
		t.Fatalf("session %d, taken from a replayed copy", m.session)
	}
}

// The lease of a session runs from its start. Otherwise a task that is launched directly in a new
// session is considered lost while it runs, if no report gets through.
func TestLeaseOfNewSessionRunsFromItsStart(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.now += maxLease // the lease has expired, and the worker has started a new session
	h.assign(h.spec(1, model.Standard, 2), 0, 10)
	h.shard.machines[1].needsProbe, h.shard.machines[1].needsFlush = true, true
	h.answerDirectCommands(func(DirectCommand) (*model.Report, bool) { return h.message(1, 2, 50, 5), false })
	h.now += maxLease / 2
	h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) { return h.message(1, 2, 51, d.Token), true })
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: 1})
	if e := h.takeEvents(model.LeaseExpiryConfirmed); len(e) != 0 {
		t.Fatal("lease expiry confirmed half a lease after the session started")
	}
	// The same holds for a worker that was fenced without ever being answered.
	h.shard.HandleOrder(h.now, model.Order{Kind: model.OwnMachine, Machine: model.Machine{ID: 2, Addr: "x"}, Token: 9,
		VerifyFirst: true})
	h.shard.HandleReport(h.now, h.message(2, 3, 1, 0))
	h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) {
		return h.message(d.Machine, 3, 52, d.Token),
			true
	})
	h.now += maxLease / 2
	h.shard.Tick(h.now)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: 2})
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ReleaseMachine, ID: 2})
	for _, e := range h.shard.TakeEvents() {
		if e.Machine == 2 && (e.Kind == model.LeaseExpiryConfirmed || e.Kind == model.MachineReleased && e.Held) {
			t.Fatalf("event %d although a task launched there may run", e.Kind)
		}
	}
}

func TestNewSessionLosesTasks(t *testing.T) {
	h := newHarness(t)
	h.runOneTask()
	h.now += maxLease
	report := &model.Report{Machine: model.Machine{ID: 1}, Session: 2, Seq: 1, Token: 5, PreemptionNotice: -1}
	for range 2 { // the first report starts the new session's lease
		report.Seq++
		h.shard.HandleReport(h.now, report)
		h.shard.Answer(h.now, report)
		h.shard.Tick(h.now)
	}
	report.Seq++
	h.shard.HandleReport(h.now, report)
	if diff := cmp.Diff([]model.Command{launchCommand(1, 0, 1002)}, h.shard.Answer(h.now, report).Commands); diff != "" {
		t.Fatalf("want it placed again as a new attempt: %s", diff)
	}
}

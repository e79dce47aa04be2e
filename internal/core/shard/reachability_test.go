package shard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"honeylock/internal/core/model"
)

// message is a message of the worker's, not necessarily a new one.
func (h *harness) message(id model.MachineID, session, seq, token uint64,
	attempts ...model.AttemptStatus) *model.Report {
	return &model.Report{Machine: model.Machine{ID: id}, Session: session, Seq: seq, Token: token, PreemptionNotice: -1,
		Attempts: attempts}
}

// answerDirectCommands lets the shard send its direct commands and answers each with f.
func (h *harness) answerDirectCommands(f func(d DirectCommand) (*model.Report, bool)) (n int) {
	h.shard.Tick(h.now)
	h.shard.Flush(h.now, 100)
	for _, d := range h.shard.TakeDirectCommands() {
		rep, executed := f(d)
		h.shard.DirectCommandDone(h.now, d, rep, executed)
		n++
	}
	return n
}

func noAnswer(DirectCommand) (*model.Report, bool) { return nil, false }

// A copy of a report kept a machine that had died alive, and was answered with launches
// under its old number, which the next genuine report seemed to disprove.
func TestReplayedReportIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.report(1, 5)
	for i := range 12 { // the machine is dead; copies of its reports go on
		h.now += time.Second
		if i == 5 {
			h.assign(h.spec(1, model.Standard, 2), 0, 10)
		}
		for seq := range uint64(3) {
			if h.shard.HandleReport(h.now, h.message(1, 1, seq, 5)) {
				t.Fatal("a copy was answered")
			}
		}
		h.answerDirectCommands(noAnswer)
	}
	if e := h.takeEvents(model.LeaseExpired); len(e) == 0 {
		t.Fatal("the machine counts as alive after its lease")
	}
	if a := h.shard.attemptsByJob[1]; len(a) != 0 {
		t.Errorf("%d tasks went to a machine that only copies speak of", len(a))
	}
}

// A report that the answer to a direct command has overtaken is new, once.
func TestOvertakenReportIsAcceptedOnce(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.answerDirectCommands(func(DirectCommand) (*model.Report, bool) { return h.message(1, 1, 7, 5), true })
	late := h.message(1, 1, 6, 0)
	if !h.shard.HandleReport(h.now, late) {
		t.Fatal("refused, though its worker waits for the answer")
	}
	if h.shard.HandleReport(h.now, late) {
		t.Error("its copy was answered as well")
	}
	h.now += time.Minute
	if h.shard.HandleReport(h.now, h.message(1, 1, 6, 0)) {
		t.Error("a copy was answered after a minute")
	}
}

// What comes in elsewhere takes a machine from its owner only if it is newer than what
// the owner has.
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
		t.Fatal("a copy took the machine")
	}
	release(3)
	if e := h.takeEvents(model.MachineReleased); h.shard.Owns(1) || len(e) != 1 || e[0].Held {
		t.Fatalf("%+v, want it let go of, and as answered", e)
	}
}

// A worker that takes no answer is not answered for ever: its lease runs out from the
// last one that it may have heard.
func TestUnreachableWorkerIsNotAnsweredForever(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	start, last := h.now, h.now
	for h.now < start+time.Minute {
		h.seq++
		rep := h.message(1, 1+uint64((h.now-start)/maxLease), h.seq, 0)
		if h.shard.HandleReport(h.now, rep) {
			h.shard.Answer(h.now, rep)
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
		t.Fatal("not told to be silent")
	}
	// It hears again: a question is answered, and so are its reports.
	h.now += maxProbePause
	h.shard.HandleReport(h.now, h.message(1, 7, 1000, 0))
	if n := h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) {
		return h.message(1, 7, 1001, d.Token),
			true
	}); n != 1 {
		t.Fatalf("%d questions, want one", n)
	}
	if !h.shard.HandleReport(h.now, h.message(1, 7, 1002, 5)) || h.shard.machines[1].leaseExpired {
		t.Fatal("not taken again on proof")
	}
}

// A fenced worker that passes launches over gets nothing more until it is shown to hear.
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
		t.Fatalf("%d launches went to a worker that hears nothing", launches)
	}
	if b := h.shard.TakeStatus(h.now); len(b) != 1 || b[0].Ready || !b[0].Draining {
		t.Fatalf("%+v, want it to count as no room", b)
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
		t.Fatalf("%v, want the task launched once it hears", cmds)
	}
}

// A session that ends although its reports were answered shows that they were not heard.
func TestSessionEndDespiteAnswersMarksInboundLost(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.now += time.Second
	h.report(1, 5)
	if !h.shard.HandleReport(h.now+time.Second, h.message(1, 2, 1, 5)) || !h.shard.machines[1].inboundLost {
		t.Fatal("its next session counts as if it heard")
	}
}

// A worker whose numbers begin anew is neither taken for a copy for ever, nor are its
// tasks free before it has shown a new token; copies of its earlier life change nothing.
func TestSessionRestart(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.seq = 40
	h.report(1, 5)
	h.assign(h.spec(1, model.Standard, 2), 0, 10)
	h.report(1, 5)
	h.report(1, 5, attemptStatus(1, 0, 1001, model.Running, 0))
	if h.shard.HandleReport(h.now, h.message(1, 1, 3, 0)) {
		t.Fatal("answered before it is known to be no copy")
	}
	h.answerDirectCommands(func(DirectCommand) (*model.Report, bool) { return h.message(1, 1, 4, 0), false })
	if e := h.takeEvents(model.TokenNeeded); len(e) != 1 {
		t.Fatalf("%+v, want a new token asked for", e)
	}
	if len(h.shard.attemptsByJob[1]) != 1 {
		t.Fatal("its task is free before the new token was shown")
	}
	h.shard.HandleOrder(h.now, model.Order{Kind: model.OwnMachine,
		Machine: model.Machine{ID: 1, Addr: "x", Cap: model.Capacity(8, 0, 64)},
		Token:   9, Usable: true})
	h.shard.HandleReport(h.now, h.message(1, 1, 43, 5,
		attemptStatus(1, 0, 1001, model.Running, 0))) // a copy of its earlier life
	if h.shard.machines[1].fenced {
		t.Fatal("fenced by a copy")
	}
	h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) { return h.message(1, 1, 6, d.Token), true })
	if !h.shard.machines[1].fenced || h.shard.tasks[model.Task{Job: 1}].attempt != nil &&
		h.shard.attemptsByJob[1][0].number == 1001 {
		t.Fatal("the task that is gone is not placed anew")
	}
	h.shard.HandleReport(h.now, h.message(1, 2, 90, 5)) // a copy once more, of a later session even
	if m := h.shard.machines[1]; m.session != 1 {
		t.Fatalf("session %d, from a copy", m.session)
	}
}

// A session's lease runs from its begin. A launch went straight to a worker in its new
// session, and no report came through: it counted as over while it ran.
func TestLeaseOfNewSessionRunsFromItsStart(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.now += maxLease // its lease is over, and it has begun a session
	h.assign(h.spec(1, model.Standard, 2), 0, 10)
	h.shard.machines[1].needsProbe, h.shard.machines[1].needsFlush = true, true
	h.answerDirectCommands(func(DirectCommand) (*model.Report, bool) { return h.message(1, 2, 50, 5), false })
	h.now += maxLease / 2
	h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) { return h.message(1, 2, 51, d.Token), true })
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: 1})
	if e := h.takeEvents(model.LeaseExpiryConfirmed); len(e) != 0 {
		t.Fatal("its lease counts as over half a lease after its session began")
	}
	// So does that of a worker which an owner fenced without ever answering it.
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
			t.Fatalf("event %d: what was launched there may run", e.Kind)
		}
	}
}

// A launch that was carried out may come once more. An attempt that its worker has been told
// to forget would begin anew by it, so it is cleared only once the worker refuses the launch.
func TestAttemptIsClearedOnceItsLaunchIsRefused(t *testing.T) {
	h := newHarness(t)
	h.ownMachine(1, 5, 8)
	h.report(1, 5)
	h.assign(h.spec(1, model.Standard, 2), 0, 10)
	h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) {
		h.seq++
		return h.message(1, 1, h.seq, d.Token, attemptStatus(1, 0, 1001, model.Running, 0)), true
	})
	done := attemptStatus(1, 0, 1001, model.Exited, model.CauseDone)
	h.report(1, 5, done)
	h.shard.HandleOrder(h.now, model.Order{Kind: model.ClearAttempt, ID: 1, Task: done.Task, Attempt: 1001})
	if c := h.report(1, 5, done); len(c) != 0 {
		t.Fatalf("%v, though the launch may come once more", c)
	}
	if e := h.takeEvents(model.TokenNeeded); len(e) != 0 {
		t.Fatal("a higher token is asked for at once, for one attempt")
	}
	if b := h.shard.summarize(h.now, h.shard.machines[1]); b.attempts != 0 {
		t.Fatal("the machine counts as in use")
	}
	h.now += maxUnclearedTime
	h.report(1, 5, done)
	if e := h.takeEvents(model.TokenNeeded); len(e) != 1 {
		t.Fatalf("%+v, want a higher token asked for, once", e)
	}
	h.ownMachine(1, 6, 8)
	if c := h.report(1, 5, done); len(c) != 0 {
		t.Fatalf("%v before the token is shown", c)
	}
	if c := h.report(1, 6, done); len(c) != 1 || c[0].Verb != model.Clear {
		t.Fatalf("%v, want it cleared", c)
	}
	// One that a machine has lost, without a new session, is not placed anew before that.
	h.assign(h.spec(1, model.Standard, 2), 1, 10)
	h.answerDirectCommands(func(d DirectCommand) (*model.Report, bool) {
		h.seq++
		return h.message(1, 1, h.seq, d.Token, attemptStatus(1, 1, 1002, model.Running, 0)), true
	})
	h.report(1, 6)
	if len(h.shard.attemptsByJob[1]) != 1 || h.shard.attemptsByJob[1][0].number != 1002 {
		t.Fatal("placed anew while its launch may begin it")
	}
	h.ownMachine(1, 7, 8)
	h.report(1, 7)
	if len(h.shard.attemptsByJob[1]) != 1 || h.shard.attemptsByJob[1][0].number == 1002 {
		t.Fatal("not placed anew")
	}
}

func TestNewSessionLosesTasks(t *testing.T) {
	h := newHarness(t)
	h.runOneTask()
	h.now += maxLease
	rep := &model.Report{Machine: model.Machine{ID: 1}, Session: 2, Seq: 1, Token: 5, PreemptionNotice: -1}
	for range 2 { // the first is the first sign of life for a lease
		rep.Seq++
		h.shard.HandleReport(h.now, rep)
		h.shard.Answer(h.now, rep)
		h.shard.Tick(h.now)
	}
	rep.Seq++
	h.shard.HandleReport(h.now, rep)
	if diff := cmp.Diff([]model.Command{launchCommand(1, 0, 1002)}, h.shard.Answer(h.now, rep).Commands); diff != "" {
		t.Fatalf("want it placed again as a new attempt: %s", diff)
	}
}

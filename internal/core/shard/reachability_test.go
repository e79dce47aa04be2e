package shard

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"honeylock/internal/core/model"
)

// old is a message of the worker's, not necessarily a new one.
func (r *rig) old(id model.MachineID, session, seq, token uint64, cells ...model.AttemptStatus) *model.Report {
	return &model.Report{Machine: model.Machine{ID: id}, Session: session, Seq: seq, Token: token, PreemptionNotice: -1,
		Attempts: cells}
}

// ask lets the shard send its direct commands and answers each with f.
func (r *rig) ask(f func(d DirectCommand) (*model.Report, bool)) (n int) {
	r.s.Tick(r.now)
	r.s.Flush(r.now, 100)
	for _, d := range r.s.TakeDirectCommands() {
		rep, executed := f(d)
		r.s.DirectCommandDone(r.now, d, rep, executed)
		n++
	}
	return n
}

func unanswered(DirectCommand) (*model.Report, bool) { return nil, false }

// A copy of a report kept a machine that had died alive, and was answered with launches
// under its old number, which the next genuine report seemed to disprove.
func TestACopyIsNoSignOfLifeAndCarriesNothing(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	r.report(1, 5)
	for i := range 12 { // the machine is dead; copies of its reports go on
		r.now += time.Second
		if i == 5 {
			r.give(r.spec(1, model.Standard, 2), 0, 10)
		}
		for seq := range uint64(3) {
			if r.s.HandleReport(r.now, r.old(1, 1, seq, 5)) {
				t.Fatal("a copy was answered")
			}
		}
		r.ask(unanswered)
	}
	if e := r.events(model.LeaseExpired); len(e) == 0 {
		t.Fatal("the machine counts as alive after its lease")
	}
	if sl := r.s.ofJob[1]; len(sl) != 0 {
		t.Errorf("%d tasks went to a machine that only copies speak of", len(sl))
	}
}

// A report that the answer to a direct command has overtaken is new, once.
func TestAnOvertakenReportIsNewOnce(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.ask(func(DirectCommand) (*model.Report, bool) { return r.old(1, 1, 7, 5), true })
	late := r.old(1, 1, 6, 0)
	if !r.s.HandleReport(r.now, late) {
		t.Fatal("refused, though its worker waits for the answer")
	}
	if r.s.HandleReport(r.now, late) {
		t.Error("its copy was answered as well")
	}
	r.now += time.Minute
	if r.s.HandleReport(r.now, r.old(1, 1, 6, 0)) {
		t.Error("a copy was answered after a minute")
	}
}

// What comes in elsewhere takes a machine from its owner only if it is newer than what
// the owner has.
func TestACopyElsewhereTakesNoMachine(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	r.report(1, 5)
	release := func(seq uint64) {
		r.s.HandleOrder(r.now, model.Order{Kind: model.ReleaseMachine, ID: 1, MessageID: model.MessageID{Session: 1, Seq: seq}})
	}
	release(2)
	if !r.s.Owns(1) || len(r.events(model.MachineKept)) != 1 {
		t.Fatal("a copy took the machine")
	}
	release(3)
	if e := r.events(model.MachineReleased); r.s.Owns(1) || len(e) != 1 || e[0].Held {
		t.Fatalf("%+v, want it let go of, and as answered", e)
	}
}

// A worker that takes no answer is not answered for ever: its lease runs out from the
// last one that it may have heard.
func TestAWorkerThatHearsNothingIsNotAnsweredForEver(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	began, last := r.now, r.now
	for r.now < began+time.Minute {
		r.seq++
		rep := r.old(1, 1+uint64((r.now-began)/lease), r.seq, 0)
		if r.s.HandleReport(r.now, rep) {
			r.s.Answer(r.now, rep)
			last = r.now
		}
		r.now += tellsItself
		r.ask(unanswered)
		r.now += time.Second - tellsItself
	}
	if last > began+10*time.Second {
		t.Fatalf("answered for %v", last-began)
	}
	if len(r.events(model.LeaseExpired)) == 0 {
		t.Fatal("not told to be silent")
	}
	// It hears again: a question is answered, and so are its reports.
	r.now += longestQuestionPause
	r.s.HandleReport(r.now, r.old(1, 7, 1000, 0))
	if n := r.ask(func(d DirectCommand) (*model.Report, bool) { return r.old(1, 7, 1001, d.Token), true }); n != 1 {
		t.Fatalf("%d questions, want one", n)
	}
	if !r.s.HandleReport(r.now, r.old(1, 7, 1002, 5)) || r.s.machines[1].leaseExpired {
		t.Fatal("not taken again on proof")
	}
}

// A fenced worker that passes launches over gets nothing more until it is shown to hear.
func TestLaunchesPassedOverStop(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	r.give(r.spec(1, model.Standard, 2), 0, 10)
	launches := 0
	for range 8 {
		launches += len(r.report(1, 5))
		r.now += time.Second
		r.ask(unanswered)
	}
	if launches != 2 {
		t.Fatalf("%d launches went to a worker that hears nothing", launches)
	}
	if b := r.s.TakeStatus(r.now); len(b) != 1 || b[0].Ready || !b[0].Draining {
		t.Fatalf("%+v, want it to count as no room", b)
	}
	r.now += longestQuestionPause
	r.report(1, 5)
	r.ask(func(d DirectCommand) (*model.Report, bool) { r.seq++; return r.old(1, 1, r.seq, d.Token), true })
	r.s.Tick(r.now)
	if cmds := r.report(1, 5); len(cmds) != 1 {
		t.Fatalf("%v, want the task launched once it hears", cmds)
	}
}

// A session that ends although its reports were answered shows that they were not heard.
func TestASessionThatEndsInSpiteOfAnswersShowsADeafWorker(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	r.now += time.Second
	r.report(1, 5)
	if !r.s.HandleReport(r.now+time.Second, r.old(1, 2, 1, 5)) || !r.s.machines[1].inboundLost {
		t.Fatal("its next session counts as if it heard")
	}
}

// A worker whose numbers begin anew is neither taken for a copy for ever, nor are its
// tasks free before it has shown a new token; copies of its earlier life change nothing.
func TestAWorkerThatBeginsItsNumbersAnew(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.seq = 40
	r.report(1, 5)
	r.give(r.spec(1, model.Standard, 2), 0, 10)
	r.report(1, 5)
	r.report(1, 5, cell(1, 0, 1001, model.Running, 0))
	if r.s.HandleReport(r.now, r.old(1, 1, 3, 0)) {
		t.Fatal("answered before it is known to be no copy")
	}
	r.ask(func(DirectCommand) (*model.Report, bool) { return r.old(1, 1, 4, 0), false })
	if e := r.events(model.TokenNeeded); len(e) != 1 {
		t.Fatalf("%+v, want a new token asked for", e)
	}
	if len(r.s.ofJob[1]) != 1 {
		t.Fatal("its task is free before the new token was shown")
	}
	r.s.HandleOrder(r.now, model.Order{Kind: model.OwnMachine, Machine: model.Machine{ID: 1, Addr: "x", Cap: model.Capacity(8, 0, 64)},
		Token: 9, Usable: true})
	r.s.HandleReport(r.now, r.old(1, 1, 43, 5, cell(1, 0, 1001, model.Running, 0))) // a copy of its earlier life
	if r.s.machines[1].fenced {
		t.Fatal("fenced by a copy")
	}
	r.ask(func(d DirectCommand) (*model.Report, bool) { return r.old(1, 1, 6, d.Token), true })
	if !r.s.machines[1].fenced || r.s.tasks[model.Task{Job: 1}].slot != nil && r.s.ofJob[1][0].attempt == 1001 {
		t.Fatal("the task that is gone is not placed anew")
	}
	r.s.HandleReport(r.now, r.old(1, 2, 90, 5)) // a copy once more, of a later session even
	if m := r.s.machines[1]; m.session != 1 {
		t.Fatalf("session %d, from a copy", m.session)
	}
}

// A session's lease runs from its begin. A launch went straight to a worker in its new
// session, and no report came through: it counted as over while it ran.
func TestANewSessionsLeaseRunsFromItsBegin(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	r.now += lease // its lease is over, and it has begun a session
	r.give(r.spec(1, model.Standard, 2), 0, 10)
	r.s.machines[1].probe, r.s.machines[1].wake = true, true
	r.ask(func(DirectCommand) (*model.Report, bool) { return r.old(1, 2, 50, 5), false })
	r.now += lease / 2
	r.ask(func(d DirectCommand) (*model.Report, bool) { return r.old(1, 2, 51, d.Token), true })
	r.s.HandleOrder(r.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: 1})
	if e := r.events(model.LeaseExpiryConfirmed); len(e) != 0 {
		t.Fatal("its lease counts as over half a lease after its session began")
	}
	// So does that of a worker which an owner fenced without ever answering it.
	r.s.HandleOrder(r.now, model.Order{Kind: model.OwnMachine, Machine: model.Machine{ID: 2, Addr: "x"}, Token: 9, VerifyFirst: true})
	r.s.HandleReport(r.now, r.old(2, 3, 1, 0))
	r.ask(func(d DirectCommand) (*model.Report, bool) { return r.old(d.Machine, 3, 52, d.Token), true })
	r.now += lease / 2
	r.s.Tick(r.now)
	r.s.HandleOrder(r.now, model.Order{Kind: model.ConfirmLeaseExpiry, ID: 2})
	r.s.HandleOrder(r.now, model.Order{Kind: model.ReleaseMachine, ID: 2})
	for _, e := range r.s.TakeEvents() {
		if e.Machine == 2 && (e.Kind == model.LeaseExpiryConfirmed || e.Kind == model.MachineReleased && e.Held) {
			t.Fatalf("event %d: what was launched there may run", e.Kind)
		}
	}
}

// A launch that was carried out may come once more. An attempt that its worker has been told
// to forget would begin anew by it, so it is cleared only once the worker refuses the launch.
func TestAnAttemptIsClearedOnceItsLaunchIsRefused(t *testing.T) {
	r := newRig(t)
	r.own(1, 5, 8)
	r.report(1, 5)
	r.give(r.spec(1, model.Standard, 2), 0, 10)
	r.ask(func(d DirectCommand) (*model.Report, bool) {
		r.seq++
		return r.old(1, 1, r.seq, d.Token, cell(1, 0, 1001, model.Running, 0)), true
	})
	done := cell(1, 0, 1001, model.Exited, model.CauseDone)
	r.report(1, 5, done)
	r.s.HandleOrder(r.now, model.Order{Kind: model.ClearAttempt, ID: 1, Task: done.Task, Attempt: 1001})
	if c := r.report(1, 5, done); len(c) != 0 {
		t.Fatalf("%v, though the launch may come once more", c)
	}
	if e := r.events(model.TokenNeeded); len(e) != 0 {
		t.Fatal("a higher token is asked for at once, for one attempt")
	}
	if b := r.s.brief(r.now, r.s.machines[1]); b.slots != 0 {
		t.Fatal("the machine counts as in use")
	}
	r.now += unclearedFor
	r.report(1, 5, done)
	if e := r.events(model.TokenNeeded); len(e) != 1 {
		t.Fatalf("%+v, want a higher token asked for, once", e)
	}
	r.own(1, 6, 8)
	if c := r.report(1, 5, done); len(c) != 0 {
		t.Fatalf("%v before the token is shown", c)
	}
	if c := r.report(1, 6, done); len(c) != 1 || c[0].Verb != model.Clear {
		t.Fatalf("%v, want it cleared", c)
	}
	// One that a machine has lost, without a new session, is not placed anew before that.
	r.give(r.spec(1, model.Standard, 2), 1, 10)
	r.ask(func(d DirectCommand) (*model.Report, bool) {
		r.seq++
		return r.old(1, 1, r.seq, d.Token, cell(1, 1, 1002, model.Running, 0)), true
	})
	r.report(1, 6)
	if len(r.s.ofJob[1]) != 1 || r.s.ofJob[1][0].attempt != 1002 {
		t.Fatal("placed anew while its launch may begin it")
	}
	r.own(1, 7, 8)
	r.report(1, 7)
	if len(r.s.ofJob[1]) != 1 || r.s.ofJob[1][0].attempt == 1002 {
		t.Fatal("not placed anew")
	}
}

func TestNewSessionLosesItsTasks(t *testing.T) {
	r := newRig(t)
	r.runsOne()
	r.now += lease
	rep := &model.Report{Machine: model.Machine{ID: 1}, Session: 2, Seq: 1, Token: 5, PreemptionNotice: -1}
	for range 2 { // the first is the first sign of life for a lease
		rep.Seq++
		r.s.HandleReport(r.now, rep)
		r.s.Answer(r.now, rep)
		r.s.Tick(r.now)
	}
	rep.Seq++
	r.s.HandleReport(r.now, rep)
	if diff := cmp.Diff([]model.Command{launch(1, 0, 1002)}, r.s.Answer(r.now, rep).Commands); diff != "" {
		t.Fatalf("want it placed again as a new attempt: %s", diff)
	}
}

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
	r.now += lease + time.Second
	r.s.Tick(r.now)
	r.s.Order(r.now, model.Order{Kind: model.Lapse, ID: id})
	if e := r.events(model.Lapsed); len(e) != 1 {
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
		if r.s.Report(r.now, r.old(1, 1, r.seq+1+seq, 5, cell(1, 0, 1001, model.Running, 0))) {
			t.Error("a report of a session whose lease is over was answered")
		}
	}
	for _, e := range r.s.Events() {
		switch e.Kind {
		case model.Found, model.Heard, model.Fenced:
			t.Errorf("event %d came of a report of a session whose lease is over", e.Kind)
		}
	}
}

// A shard that had not fenced a worker before its lapse knows none of its sessions. A report
// that bears the token given out before the lapse may be as old as that.
func TestAWorkerIsFencedUnderANewTokenAfterALapse(t *testing.T) {
	for name, fenced := range map[string]bool{"fenced before": true, "answered only": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.own(1, 5, 8)
			r.report(1, 0)
			if fenced {
				r.report(1, 5)
			}
			r.lapse(1)
			if len(r.s.Events()) != 0 || !r.s.machines[1].needToken {
				t.Fatal("no new token was asked for with the lapse")
			}
			r.own(1, 9, 8)
			late := r.old(1, 2, 50, 5, cell(1, 0, 77, model.Running, 0))
			r.s.Report(r.now, late)
			r.s.Answer(r.now, late)
			for _, e := range r.s.Events() {
				if e.Kind == model.Found || e.Kind == model.Fenced {
					t.Errorf("event %d came of a report under a token of before the lapse", e.Kind)
				}
			}
			r.s.Report(r.now, r.old(1, 2, 51, 9))
			if e := r.events(model.Fenced); len(e) != 1 {
				t.Error("not fenced by the token that was given since")
			}
		})
	}
}

// A machine that stays silent is told to have lapsed every few seconds; it costs one token.
func TestALapseThatIsToldAgainAsksForNoToken(t *testing.T) {
	r := newRig(t)
	r.runsOne()
	r.lapse(1)
	r.own(1, 9, 8)
	for range 3 {
		r.now += 6 * time.Second
		r.s.Tick(r.now)
		r.s.Order(r.now, model.Order{Kind: model.Lapse, ID: 1})
		for _, e := range r.s.Events() {
			if e.Kind == model.NeedToken {
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
	r.own(1, 9, 8)
	for range 2 { // the first question finds its session out
		r.now += overtakenFor
		if r.s.Report(r.now, r.old(1, 1, 1, 0)) {
			t.Fatal("answered before it is known to be no copy")
		}
		r.ask(func(d Direct) (*model.Report, bool) {
			if d.Session != 1 {
				return r.old(1, 1, 2, 0), false
			}
			return r.old(1, 1, 3, d.Token), true
		})
	}
	if !r.s.machines[1].fenced || !r.s.Report(r.now, r.old(1, 1, 4, 9)) {
		t.Fatal("not taken on proof")
	}
}

// A task that was adopted where it ran was never checked against its team's limit and its
// job's zones. Lost, it goes back to the dispatcher, which checks both.
func TestALostAdoptedTaskGoesBackToTheDispatcher(t *testing.T) {
	for name, lose := range map[string]func(*rig){
		"its machine begins a session": func(r *rig) {
			r.now += lease
			r.s.Report(r.now, r.old(1, 2, 100, 5))
		},
		"its machine's lease is over": func(r *rig) { r.lapseUnchecked(1) },
		"it is evicted": func(r *rig) {
			r.s.stop(r.now, r.s.ofJob[1][0], 0)
			r.report(1, 5, cell(1, 0, 77, model.Exited, model.CauseStopped))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.own(1, 5, 8)
			r.own(2, 6, 8)
			r.report(1, 5, cell(1, 0, 77, model.Running, 0))
			r.report(2, 6)
			r.adopt(1, 77)
			r.s.Events()
			lose(r)
			if e := r.events(model.Gone); len(e) != 1 || e[0].Task != (model.Task{Job: 1}) {
				t.Errorf("events %+v, want it told to be gone", e)
			}
			if n := r.s.Waiting(); n != 0 || r.s.tasks[model.Task{Job: 1}] != nil {
				t.Errorf("%d tasks wait here to be started again", n)
			}
		})
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
			r.own(1, 5, 8)
			r.own(2, 6, 8)
			r.report(1, 5, cell(1, 0, 77, model.Running, 0))
			r.report(2, 6)
			lose(r)
			r.s.Events()
			r.adopt(1, 77)
			if e := r.events(model.Gone); len(e) != 1 || r.s.Waiting() != 0 {
				t.Errorf("events %+v, %d tasks wait here; want it told to be gone", e, r.s.Waiting())
			}
		})
	}
}

// lapseUnchecked is lapse for a caller that looks at the events itself.
func (r *rig) lapseUnchecked(id model.MachineID) {
	r.now += lease + time.Second
	r.s.Tick(r.now)
	r.s.Order(r.now, model.Order{Kind: model.Lapse, ID: id})
}

// adopt gives the shard a task of job 1 that it found on machine 1.
func (r *rig) adopt(job model.JobID, attempt uint64) {
	r.s.Order(r.now, model.Order{Kind: model.Give, Deal: model.Deal{Task: model.Task{Job: job},
		Spec: r.spec(job, model.Standard, 2), Price: 10, Zone: model.None, Machine: 1, Attempt: attempt}})
}

package sim

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"honeylock/internal/core/disruption"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
)

func (l *lead) newBook() *disruption.Tracker {
	n := l.c.w.p.budget
	if n == 0 {
		return nil
	}
	return disruption.New([]disruption.Budget{{Team: 0, Class: model.None, MaxTasks: n},
		{Team: 1, Class: model.None, MaxTasks: n}})
}

// disrupt and hear wire the book as the node does.
func (x *drains) disrupt(now time.Duration) func(drain.MoveRequest) string {
	if !x.book.Enabled() {
		return nil
	}
	l := x.l
	for _, t := range l.d.TakeFreedTasks() {
		if sp := l.d.Spec(t.Job); sp != nil {
			x.book.TaskStopped(t, sp, disruption.Lost, sp.Estimate/2)
		}
	}
	x.book.Prune(func(id model.JobID) bool { return l.d.Spec(id) != nil })
	x.book.Recovered = l.d.Recovered() || l.c.w.p.forgetDraws
	x.book.TeamState = func(team, class model.Name) (p disruption.TeamState) {
		p.Running, p.Orphaned, p.Unknown, p.CPU = l.d.WorkCounts(team, class)
		if l.c.w.p.forgetDraws {
			p.Unknown, p.Orphaned, p.CPU = 0, 0, 0
		}
		return p
	}
	return func(m drain.MoveRequest) string {
		return x.book.RequestMove(now, disruption.MoveRequest{Task: m.Task, Spec: m.Spec, Ran: m.Ran, Remaining: m.Remaining})
	}
}

func (x *drains) hear(now time.Duration, e *model.Event) {
	sp := x.l.d.Spec(e.Task.Job)
	if !x.book.Enabled() || sp == nil {
		return
	}
	x.book.HandleEvent(now, e, sp)
	if e.Kind == model.TaskInterrupted && x.l.c.w.p.unpaid {
		x.book.TaskDone(e.Task)
	}
}

// observe counts from outside what plans have out of work, by what the workers do: a
// task that ran where it was told to leave, until some worker starts it again or it is
// done or its job is over.
func (w *world) observe(a drain.Action) {
	if w.p.budget == 0 {
		return
	}
	for k, at := range w.workers[a.Machine].cells {
		if k.t == a.Task && at.on && at.Stage == model.Running {
			w.moved[a.Task] = true
		}
	}
	out := map[model.Name]int{}
	for t := range w.moved {
		if u := w.users[t.Job]; u.ended == "" && !u.wants {
			out[u.spec.Team]++
		}
	}
	for team, n := range out {
		if n > w.p.budget {
			w.fail("budget", "%d tasks of team %d are out of work, %d may be", n, team, w.p.budget)
		}
	}
}

func budgeted(p params) params {
	p = drained(p)
	p.budget = 2
	return p
}

// TestBudgetsHold plays random days of drain plans with every kind of failure: plans never
// have more of a team's tasks out of work than its budget, across changes of leader too.
func TestBudgetsHold(t *testing.T) {
	t.Parallel()
	var moved atomic.Int64
	t.Cleanup(func() {
		if !t.Failed() && moved.Load() < 60 {
			t.Errorf("%d tasks moved: these days test nothing", moved.Load())
		}
	})
	for name, p := range map[string]params{"short lease": budgeted(almatyLike()), "long lease": budgeted(longLease())} {
		for seed := range uint64(15) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				moved.Add(int64(play(t, seed+500, p).recalled))
			})
		}
	}
}

// TestChecksCatchBrokenBudgets proves the observer.
func TestChecksCatchBrokenBudgets(t *testing.T) {
	t.Parallel()
	for name, breakIt := range map[string]func(*params){
		"a task that was stopped counts as back":      func(p *params) { p.unpaid = true },
		"a new leader takes what was out for at work": func(p *params) { p.forgetDraws = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := budgeted(almatyLike())
			p.budget = 1
			breakIt(&p)
			breaks(t, 80, 500, p)
		})
	}
}

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

func (l *leadership) newTracker() *disruption.Tracker {
	n := l.c.w.params.disruptionBudget
	if n == 0 {
		return nil
	}
	return disruption.New([]disruption.Budget{{Team: 0, Class: model.None, MaxTasks: n},
		{Team: 1, Class: model.None, MaxTasks: n}})
}

// moveRequester and hear wire the book as the node does.
func (x *drainManager) moveRequester(now time.Duration) func(drain.MoveRequest) string {
	if !x.tracker.Enabled() {
		return nil
	}
	l := x.l
	for _, t := range l.dispatcher.TakeFreedTasks() {
		if sp := l.dispatcher.Spec(t.Job); sp != nil {
			x.tracker.TaskStopped(t, sp, disruption.Lost, sp.Estimate/2)
		}
	}
	x.tracker.Prune(func(id model.JobID) bool { return l.dispatcher.Spec(id) != nil })
	x.tracker.Recovered = l.dispatcher.Recovered() || l.c.w.params.assumeRunning
	x.tracker.TeamState = func(team, class model.Name) (p disruption.TeamState) {
		p.Running, p.Orphaned, p.Unknown, p.CPU = l.dispatcher.WorkCounts(team, class)
		if l.c.w.params.assumeRunning {
			p.Unknown, p.Orphaned, p.CPU = 0, 0, 0
		}
		return p
	}
	return func(m drain.MoveRequest) string {
		return x.tracker.RequestMove(now, disruption.MoveRequest{Task: m.Task, Spec: m.Spec, Ran: m.Ran,
			Remaining: m.Remaining})
	}
}

func (x *drainManager) handleEvent(now time.Duration, e *model.Event) {
	sp := x.l.dispatcher.Spec(e.Task.Job)
	if !x.tracker.Enabled() || sp == nil {
		return
	}
	x.tracker.HandleEvent(now, e, sp)
	if e.Kind == model.TaskInterrupted && x.l.c.w.params.stoppedCountsAsBack {
		x.tracker.TaskDone(e.Task)
	}
}

// checkBudget counts from outside what plans have out of work, by what the workers do: a
// task that ran where it was told to leave, until some worker starts it again or it is
// done or its job is over.
func (w *world) checkBudget(a drain.Action) {
	if w.params.disruptionBudget == 0 {
		return
	}
	for k, at := range w.workers[a.Machine].attempts {
		if k.task == a.Task && at.active && at.Stage == model.Running {
			w.interrupted[a.Task] = true
		}
	}
	interrupted := map[model.Name]int{}
	for t := range w.interrupted {
		if u := w.users[t.Job]; u.finalStage == "" && !u.cancelRequested {
			interrupted[u.spec.Team]++
		}
	}
	for team, n := range interrupted {
		if n > w.params.disruptionBudget {
			w.fail("budget", "%d tasks of team %d are out of work, %d may be", n, team, w.params.disruptionBudget)
		}
	}
}

func withBudget(p params) params {
	p = withDrains(p)
	p.disruptionBudget = 2
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
	for name, p := range map[string]params{"short lease": withBudget(shortLeaseParams()), "long lease": withBudget(longLeaseParams())} {
		for seed := range uint64(15) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				moved.Add(int64(runSimulation(t, seed+500, p).recalledTasks))
			})
		}
	}
}

// TestChecksCatchBrokenBudgets proves the observer.
func TestChecksCatchBrokenBudgets(t *testing.T) {
	t.Parallel()
	for name, breakIt := range map[string]func(*params){
		"a stopped task counts as running again":             func(p *params) { p.stoppedCountsAsBack = true },
		"a new leader assumes interrupted tasks are running": func(p *params) { p.assumeRunning = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := withBudget(shortLeaseParams())
			p.disruptionBudget = 1
			breakIt(&p)
			expectViolation(t, 80, 500, p)
		})
	}
}

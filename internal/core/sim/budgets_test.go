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

// newTracker returns the tracker of the teams' disruption budgets; nil without budgets.
func (l *leadership) newTracker() *disruption.Tracker {
	n := l.c.w.params.disruptionBudget
	if n == 0 {
		return nil
	}
	return disruption.New([]disruption.Budget{{Team: 0, Class: model.None, MaxTasks: n},
		{Team: 1, Class: model.None, MaxTasks: n}})
}

// moveRequester updates the tracker and returns the function that drain plans ask for permission to
// move a task. It and handleEvent connect the tracker as internal/node does.
func (d *drainManager) moveRequester(now time.Duration) func(drain.MoveRequest) string {
	if !d.tracker.Enabled() {
		return nil
	}
	l := d.l
	for _, t := range l.dispatcher.TakeFreedTasks() {
		if sp := l.dispatcher.Spec(t.Job); sp != nil {
			d.tracker.TaskStopped(t, sp, disruption.Lost, sp.Estimate/2)
		}
	}
	d.tracker.Prune(func(id model.JobID) bool { return l.dispatcher.Spec(id) != nil })
	d.tracker.Recovered = l.dispatcher.Recovered() || l.c.w.params.assumeRunning
	d.tracker.TeamState = func(team, class model.Name) (p disruption.TeamState) {
		p.Running, p.Orphaned, p.Unknown, p.CPU = l.dispatcher.WorkCounts(team, class)
		if l.c.w.params.assumeRunning {
			p.Unknown, p.Orphaned, p.CPU = 0, 0, 0
		}
		return p
	}
	return func(m drain.MoveRequest) string {
		return d.tracker.RequestMove(now, disruption.MoveRequest{Task: m.Task, Spec: m.Spec, RunTime: m.RunTime,
			Remaining: m.Remaining})
	}
}

// handleEvent passes an event of a task to the tracker.
func (d *drainManager) handleEvent(now time.Duration, e *model.Event) {
	sp := d.l.dispatcher.Spec(e.Task.Job)
	if !d.tracker.Enabled() || sp == nil {
		return
	}
	d.tracker.HandleEvent(now, e, sp)
	if e.Kind == model.TaskInterrupted && d.l.c.w.params.stoppedCountsAsBack {
		d.tracker.TaskDone(e.Task)
	}
}

// checkBudget checks that drain plans interrupt no more of a team's tasks than its budget allows. It
// counts what the workers do: a task that ran when it was recalled is interrupted until a worker
// starts it again, it is done, or its job is over.
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
			w.fail("budget", "%d tasks of team %d are interrupted, %d may be", n, team, w.params.disruptionBudget)
		}
	}
}

// withBudget adds drain plans and a budget of two tasks per team.
func withBudget(p params) params {
	p = withDrains(p)
	p.disruptionBudget = 2
	return p
}

// TestBudgetsHold runs random simulations with drain plans and faults: plans never interrupt more of a
// team's tasks than its budget allows, also across changes of leader.
func TestBudgetsHold(t *testing.T) {
	t.Parallel()
	var moved atomic.Int64
	t.Cleanup(func() {
		if !t.Failed() && moved.Load() < 60 {
			t.Errorf("only %d tasks were moved: these runs test nothing", moved.Load())
		}
	})
	for name, p := range map[string]params{"short lease": withBudget(shortLeaseParams()),
		"long lease": withBudget(longLeaseParams())} {
		for seed := range uint64(15) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				moved.Add(int64(runSimulation(t, seed+500, p).recalledTasks))
			})
		}
	}
}

// TestChecksCatchBrokenBudgets checks that a broken guard of the budgets is noticed.
func TestChecksCatchBrokenBudgets(t *testing.T) {
	t.Parallel()
	for name, breakGuard := range map[string]func(*params){
		"a stopped task counts as running again":             func(p *params) { p.stoppedCountsAsBack = true },
		"a new leader assumes interrupted tasks are running": func(p *params) { p.assumeRunning = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := withBudget(shortLeaseParams())
			p.disruptionBudget = 1
			breakGuard(&p)
			expectViolation(t, 80, 500, p)
		})
	}
}

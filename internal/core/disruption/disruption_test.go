package disruption

import (
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

func book(b Budget, p *TeamState) *Tracker {
	b.Class = model.None
	k := New([]Budget{b})
	k.Recovered = true
	k.TeamState = func(model.Name, model.Name) TeamState { return *p }
	return k
}

func spec() *model.Spec { return &model.Spec{ID: 7, PerTask: model.Request(4, 0, 8)} }

func ask(no int32, sp *model.Spec) MoveRequest {
	return MoveRequest{Task: model.Task{Job: sp.ID, Index: no}, Spec: sp, Ran: 30 * time.Second, Remaining: 30 * time.Second}
}

// Each bound refuses one move too many, says why with figures, and lets go again.
func TestBounds(t *testing.T) {
	sp := spec()
	for name, c := range map[string]struct {
		b     Budget
		moves int // that may be
		why   string
	}{
		"tasks": {Budget{MaxTasks: 2}, 2, "2 of 2 tasks are out of work (2 moved by plans)"},
		"share": {Budget{MaxShare: 0.1}, 4, "4 of 4 tasks"},
		"CPUs":  {Budget{MaxCPU: 9000}, 2, "8.0 of 9.0 CPUs"},
		"lost work": {Budget{MaxLostCPU: 250, Window: time.Minute}, 2,
			"240 of 250 CPU seconds were lost in 1m0s, some are forgotten in 1m0s"},
		"last part": {Budget{LastFraction: 0.6}, 0, "the last 60% of its run"},
	} {
		t.Run(name, func(t *testing.T) {
			k := book(c.b, &TeamState{Running: 40})
			for i := range int32(c.moves) {
				if why := k.RequestMove(0, ask(i, sp)); why != "" {
					t.Fatalf("move %d: %s", i, why)
				}
			}
			why := k.RequestMove(0, ask(99, sp))
			if !strings.Contains(why, c.why) {
				t.Fatalf("%q does not tell %q", why, c.why)
			}
			if c.moves == 0 {
				return
			}
			// Back at work is not enough: what was lost must be made up for.
			k.TaskResumed(10*time.Second, model.Task{Job: 7, Index: 0})
			if why := k.RequestMove(39*time.Second, ask(99, sp)); why == "" {
				t.Error("a task counts as back before it has made up for 30 s")
			}
			if why := k.RequestMove(61*time.Second, ask(99, sp)); why != "" {
				t.Errorf("still refused: %s", why)
			}
		})
	}
}

func TestATaskIsMovedOnlySoOften(t *testing.T) {
	sp := spec()
	k := book(Budget{MaxMoves: 2}, &TeamState{})
	for i := range 3 {
		why := k.RequestMove(0, ask(1, sp))
		if (why != "") != (i == 2) {
			t.Errorf("move %d: %q", i, why)
		}
	}
	k.TaskDone(model.Task{Job: 7, Index: 1})
	if len(k.out) > 0 || len(k.moves) > 0 {
		t.Error("a task that is done is kept")
	}
}

// What evictions and failures take eats of the budget without asking, what can't be told
// counts as out, and a leader that does not know its machines yet draws nothing.
func TestInvoluntaryEatsOfTheBudget(t *testing.T) {
	sp := spec()
	p := &TeamState{}
	k := book(Budget{MaxTasks: 3}, p)
	k.TaskStopped(model.Task{Job: 7, Index: 1}, sp, Evicted, time.Second)
	p.Orphaned, p.Unknown = 1, 1
	why := k.RequestMove(0, ask(9, sp))
	if !strings.Contains(why, "1 evicted, 1 lost with their machines, 1 unknown since the change of leader") {
		t.Errorf("%q", why)
	}
	p.Orphaned = 0
	if why := k.RequestMove(0, ask(9, sp)); why != "" {
		t.Error(why)
	}
	if k.Counts[0].Involuntary[Evicted] != 1 || k.Counts[0].Refused[PlanDrain] != 1 || k.Counts[0].Granted[PlanDrain] != 1 {
		t.Errorf("%+v", k.Counts[0])
	}
	// The shard's word that it has stopped is about what was drawn for.
	k.TaskStopped(model.Task{Job: 7, Index: 9}, sp, Evicted, time.Minute)
	if k.Counts[0].Involuntary[Evicted] != 1 {
		t.Error("a task that was moved counts as evicted")
	}
	k.Recovered = false
	if why := k.RequestMove(0, ask(10, sp)); !strings.Contains(why, "earlier terms") {
		t.Errorf("%q", why)
	}
	k.Prune(func(model.JobID) bool { return false })
	if len(k.out) > 0 {
		t.Error("tasks of a job that is over are kept")
	}
}

// One draw with 60,000 tasks at work of which a hundred are out.
func BenchmarkDraw(b *testing.B) {
	sp := spec()
	var bs []Budget
	for team := range model.Name(12) {
		bs = append(bs, Budget{Team: team, Class: model.None, MaxShare: 0.01, MaxLostCPU: 1e6, Window: time.Hour})
	}
	k := New(bs)
	k.Recovered = true
	k.TeamState = func(model.Name, model.Name) TeamState { return TeamState{Running: 60_000} }
	for i := range int32(100) {
		k.TaskStopped(model.Task{Job: 8, Index: i}, sp, Evicted, time.Minute)
	}
	now := time.Duration(0)
	for i := int32(0); b.Loop(); i++ {
		now += time.Second
		a := ask(i, sp)
		if why := k.RequestMove(now, a); why == "" {
			k.TaskResumed(now, a.Task)
		}
	}
}

package disruption

import (
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

func book(b Budget, p *Present) *Book {
	b.Class = model.None
	k := New([]Budget{b})
	k.Settled = true
	k.Present = func(model.Name, model.Name) Present { return *p }
	return k
}

func spec() *model.Spec { return &model.Spec{ID: 7, PerTask: model.Request(4, 0, 8)} }

func ask(no int32, sp *model.Spec) Ask {
	return Ask{Task: model.Task{Job: sp.ID, Index: no}, Spec: sp, Ran: 30 * time.Second, Left: 30 * time.Second}
}

// Each bound refuses one move too many, says why with figures, and lets go again.
func TestBounds(t *testing.T) {
	sp := spec()
	for name, c := range map[string]struct {
		b     Budget
		moves int // that may be
		why   string
	}{
		"tasks": {Budget{Tasks: 2}, 2, "2 of 2 tasks are out of work (2 moved by plans)"},
		"share": {Budget{Share: 0.1}, 4, "4 of 4 tasks"},
		"CPUs":  {Budget{CPU: 9000}, 2, "8.0 of 9.0 CPUs"},
		"lost work": {Budget{LostCPU: 250, Window: time.Minute}, 2,
			"240 of 250 CPU seconds were lost in 1m0s, some are forgotten in 1m0s"},
		"last part": {Budget{LastPart: 0.6}, 0, "the last 60% of its run"},
	} {
		t.Run(name, func(t *testing.T) {
			k := book(c.b, &Present{Running: 40})
			for i := range int32(c.moves) {
				if why := k.Draw(0, ask(i, sp)); why != "" {
					t.Fatalf("move %d: %s", i, why)
				}
			}
			why := k.Draw(0, ask(99, sp))
			if !strings.Contains(why, c.why) {
				t.Fatalf("%q does not tell %q", why, c.why)
			}
			if c.moves == 0 {
				return
			}
			// Back at work is not enough: what was lost must be made up for.
			k.Resumed(10*time.Second, model.Task{Job: 7, Index: 0})
			if why := k.Draw(39*time.Second, ask(99, sp)); why == "" {
				t.Error("a task counts as back before it has made up for 30 s")
			}
			if why := k.Draw(61*time.Second, ask(99, sp)); why != "" {
				t.Errorf("still refused: %s", why)
			}
		})
	}
}

func TestATaskIsMovedOnlySoOften(t *testing.T) {
	sp := spec()
	k := book(Budget{Moves: 2}, &Present{})
	for i := range 3 {
		why := k.Draw(0, ask(1, sp))
		if (why != "") != (i == 2) {
			t.Errorf("move %d: %q", i, why)
		}
	}
	k.Ended(model.Task{Job: 7, Index: 1})
	if len(k.out) > 0 || len(k.moves) > 0 {
		t.Error("a task that is done is kept")
	}
}

// What evictions and failures take eats of the budget without asking, what can't be told
// counts as out, and a leader that does not know its machines yet draws nothing.
func TestInvoluntaryEatsOfTheBudget(t *testing.T) {
	sp := spec()
	p := &Present{}
	k := book(Budget{Tasks: 3}, p)
	k.Stopped(model.Task{Job: 7, Index: 1}, sp, Evicted, time.Second)
	p.Orphaned, p.Unsure = 1, 1
	why := k.Draw(0, ask(9, sp))
	if !strings.Contains(why, "1 evicted, 1 lost with their machines, 1 unknown since the change of leader") {
		t.Errorf("%q", why)
	}
	p.Orphaned = 0
	if why := k.Draw(0, ask(9, sp)); why != "" {
		t.Error(why)
	}
	if k.Counts[0].Eaten[Evicted] != 1 || k.Counts[0].Refused[Plan] != 1 || k.Counts[0].Drawn[Plan] != 1 {
		t.Errorf("%+v", k.Counts[0])
	}
	// The shard's word that it has stopped is about what was drawn for.
	k.Stopped(model.Task{Job: 7, Index: 9}, sp, Evicted, time.Minute)
	if k.Counts[0].Eaten[Evicted] != 1 {
		t.Error("a task that was moved counts as evicted")
	}
	k.Settled = false
	if why := k.Draw(0, ask(10, sp)); !strings.Contains(why, "earlier terms") {
		t.Errorf("%q", why)
	}
	k.Sweep(func(model.JobID) bool { return false })
	if len(k.out) > 0 {
		t.Error("tasks of a job that is over are kept")
	}
}

// One draw with 60,000 tasks at work of which a hundred are out.
func BenchmarkDraw(b *testing.B) {
	sp := spec()
	var bs []Budget
	for team := range model.Name(12) {
		bs = append(bs, Budget{Team: team, Class: model.None, Share: 0.01, LostCPU: 1e6, Window: time.Hour})
	}
	k := New(bs)
	k.Settled = true
	k.Present = func(model.Name, model.Name) Present { return Present{Running: 60_000} }
	for i := range int32(100) {
		k.Stopped(model.Task{Job: 8, Index: i}, sp, Evicted, time.Minute)
	}
	now := time.Duration(0)
	for i := int32(0); b.Loop(); i++ {
		now += time.Second
		a := ask(i, sp)
		if why := k.Draw(now, a); why == "" {
			k.Resumed(now, a.Task)
		}
	}
}

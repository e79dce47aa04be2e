package disruption

import (
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// newTracker returns a recovered tracker with one budget for all classes.
func newTracker(b Budget, state *TeamState) *Tracker {
	b.Class = model.None
	tracker := New([]Budget{b})
	tracker.Recovered = true
	tracker.TeamState = func(model.Name, model.Name) TeamState { return *state }
	return tracker
}

// spec returns a job whose tasks use 4 CPUs and have no checkpoints.
func spec() *model.Spec { return &model.Spec{ID: 7, PerTask: model.Request(4, 0, 8)} }

// moveRequest asks for a move of a task in the middle of its run of a minute.
func moveRequest(index int32, spec *model.Spec) MoveRequest {
	return MoveRequest{Task: model.Task{Job: spec.ID, Index: index}, Spec: spec, RunTime: 30 * time.Second,
		Remaining: 30 * time.Second}
}

// Each bound refuses the move that would exceed it, gives the reason with figures, and grants moves
// again once earlier ones have been made up for.
func TestEachBoundRefusesAndRecovers(t *testing.T) {
	sp := spec()
	for name, c := range map[string]struct {
		b      Budget
		moves  int // moves granted
		reason string
	}{
		"tasks": {Budget{MaxTasks: 2}, 2, "2 of 2 tasks are out of work (2 moved by plans)"},
		"share": {Budget{MaxShare: 0.1}, 4, "4 of 4 tasks"},
		"CPUs":  {Budget{MaxCPU: 9000}, 2, "8.0 of 9.0 CPUs"},
		"lost work": {Budget{MaxLostCPU: 250, Window: time.Minute}, 2,
			"240 of 250 CPU seconds were lost in 1m0s, some are forgotten in 1m0s"},
		"last part": {Budget{LastFraction: 0.6}, 0, "the last 60% of its run"},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker(c.b, &TeamState{Running: 40})
			for i := range int32(c.moves) {
				if reason := tracker.RequestMove(0, moveRequest(i, sp)); reason != "" {
					t.Fatalf("move %d: %s", i, reason)
				}
			}
			reason := tracker.RequestMove(0, moveRequest(99, sp))
			if !strings.Contains(reason, c.reason) {
				t.Fatalf("reason %q does not contain %q", reason, c.reason)
			}
			if c.moves == 0 {
				return
			}
			// A task that runs again still counts until it has repeated the run time that it lost.
			tracker.TaskResumed(10*time.Second, model.Task{Job: 7, Index: 0})
			if reason := tracker.RequestMove(39*time.Second, moveRequest(99, sp)); reason == "" {
				t.Error("a task no longer counts before it has repeated 30 s")
			}
			if reason := tracker.RequestMove(61*time.Second, moveRequest(99, sp)); reason != "" {
				t.Errorf("still refused: %s", reason)
			}
		})
	}
}

// One task is moved at most MaxMoves times.
func TestMaxMovesOfOneTask(t *testing.T) {
	sp := spec()
	tracker := newTracker(Budget{MaxMoves: 2}, &TeamState{})
	for i := range 3 {
		reason := tracker.RequestMove(0, moveRequest(1, sp))
		if (reason != "") != (i == 2) {
			t.Errorf("move %d: %q", i, reason)
		}
	}
	tracker.TaskDone(model.Task{Job: 7, Index: 1})
	if len(tracker.interruptions) > 0 || len(tracker.moveCounts) > 0 {
		t.Error("the tracker still has a task that is done")
	}
}

// Evictions and failures count against the budget without a request. Tasks in an unknown state count
// as interrupted. A leader that does not know all machines yet grants no moves.
func TestInvoluntaryDisruptionsCountAgainstTheBudget(t *testing.T) {
	sp := spec()
	p := &TeamState{}
	tracker := newTracker(Budget{MaxTasks: 3}, p)
	tracker.TaskStopped(model.Task{Job: 7, Index: 1}, sp, Evicted, time.Second)
	p.Orphaned, p.Unknown = 1, 1
	reason := tracker.RequestMove(0, moveRequest(9, sp))
	if !strings.Contains(reason, "1 evicted, 1 lost with their machines, 1 unknown since the change of leader") {
		t.Errorf("%q", reason)
	}
	p.Orphaned = 0
	if reason := tracker.RequestMove(0, moveRequest(9, sp)); reason != "" {
		t.Error(reason)
	}
	if tracker.Counts[0].Involuntary[Evicted] != 1 || tracker.Counts[0].Refused[PlanDrain] != 1 ||
		tracker.Counts[0].Granted[PlanDrain] != 1 {
		t.Errorf("%+v", tracker.Counts[0])
	}
	// The shard's report that the task has stopped belongs to the move that was granted.
	tracker.TaskStopped(model.Task{Job: 7, Index: 9}, sp, Evicted, time.Minute)
	if tracker.Counts[0].Involuntary[Evicted] != 1 {
		t.Error("a task that was moved counts as evicted")
	}
	tracker.Recovered = false
	if reason := tracker.RequestMove(0, moveRequest(10, sp)); !strings.Contains(reason, "earlier terms") {
		t.Errorf("%q", reason)
	}
	tracker.Prune(func(model.JobID) bool { return false })
	if len(tracker.interruptions) > 0 {
		t.Error("the tracker still has tasks of a job that is not open")
	}
}

// One request with 60,000 running and a hundred interrupted tasks.
func BenchmarkRequestMove(b *testing.B) {
	sp := spec()
	var bs []Budget
	for team := range model.Name(12) {
		bs = append(bs, Budget{Team: team, Class: model.None, MaxShare: 0.01, MaxLostCPU: 1e6, Window: time.Hour})
	}
	tracker := New(bs)
	tracker.Recovered = true
	tracker.TeamState = func(model.Name, model.Name) TeamState { return TeamState{Running: 60_000} }
	for i := range int32(100) {
		tracker.TaskStopped(model.Task{Job: 8, Index: i}, sp, Evicted, time.Minute)
	}
	now := time.Duration(0)
	for i := int32(0); b.Loop(); i++ {
		now += time.Second
		a := moveRequest(i, sp)
		if reason := tracker.RequestMove(now, a); reason == "" {
			tracker.TaskResumed(now, a.Task)
		}
	}
}

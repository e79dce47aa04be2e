package readbatch

import (
	"testing"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

const ms = time.Millisecond

func guard(id int) jobs.Guard { return jobs.Guard{Job: model.JobID(id), Version: 3} }

func always(o jobs.Outcome) func(jobs.Guard) jobs.Outcome {
	return func(jobs.Guard) jobs.Outcome { return o }
}

// A question that comes while a comparison is under way waits for the next one: its answer
// may not be older than itself.
func TestCheckWaitsForLaterComparison(t *testing.T) {
	b := New(Params{Interval: 100 * ms, MaxBatch: 10})
	first := b.Ask(0, guard(1), time.Second)
	if batches, _, next := b.Step(50 * ms); len(batches) != 0 || next != 100*ms {
		t.Fatalf("%v, next at %v", batches, next)
	}
	sent, _, _ := b.Step(100 * ms)
	second := b.Ask(110*ms, guard(1), time.Second)
	if got := b.HandleOutcome(120*ms, sent[0], always(jobs.OK)); len(got) != 1 || got[0].Waiter != first {
		t.Fatalf("%v", got)
	}
	again, _, _ := b.Step(210 * ms)
	if got := b.HandleOutcome(220*ms, again[0], always(jobs.Conflict)); len(got) != 1 || got[0].Waiter != second ||
		got[0].Outcome != jobs.Conflict {
		t.Fatalf("%v", got)
	}
	if _, _, next := b.Step(time.Second); next != 0 {
		t.Errorf("next at %v with nothing to ask", next)
	}
}

// Over the rate, questions wait until their askers' time is over, and the job that has gone
// unanswered for longest is the first to be compared.
func TestLongestUnansweredGoesFirst(t *testing.T) {
	b := New(Params{Interval: 100 * ms, MaxBatch: 2})
	b.Ask(0, guard(9), time.Second)
	sent, _, _ := b.Step(100 * ms)
	if got := b.HandleOutcome(110*ms, sent[0], always(jobs.Busy)); len(got) != 0 {
		t.Fatalf("%v of one that can wait", got)
	}
	if batches, _, next := b.Step(150 * ms); len(batches) != 0 || next != 210*ms {
		t.Fatalf("%v, next at %v: no pause", batches, next)
	}
	if _, over, _ := b.Step(time.Second); len(over)+len(b.pending) == 0 {
		t.Fatal("nobody is told")
	}
	b.Step(1100 * ms)
	// It asks once more, behind others whose first question it is.
	for _, id := range []int{1, 2, 3, 9} {
		b.Ask(2*time.Second, guard(id), 3*time.Second)
	}
	for id := range b.inFlight {
		delete(b.inFlight, id) // whatever is under way
	}
	batches, _, _ := b.Step(2 * time.Second)
	if len(batches) == 0 || batches[0].Guards[0] != guard(9) || len(batches[0].Guards) != 2 {
		t.Errorf("%v", batches)
	}
}

// Whoever leaves is not answered, and holds nothing up.
func TestCancelledWaiterIsForgotten(t *testing.T) {
	b := New(Params{Interval: 100 * ms, MaxBatch: 10})
	w := b.Ask(0, guard(1), time.Second)
	b.Cancel(guard(1), w)
	if batches, over, next := b.Step(200 * ms); len(batches)+len(over) != 0 || next != 0 {
		t.Errorf("%v %v %v", batches, over, next)
	}
}

// A leader that leaves a question unanswered is not asked for a while, and again afterwards.
func TestRouteAvoidsFailedLeader(t *testing.T) {
	var r Route
	if r.UseLeader(0) {
		t.Error("by a leader that there is not")
	}
	r.SetLeaderCompares(true)
	r.LeaderFailed(time.Second)
	if r.UseLeader(2*time.Second) || !r.UseLeader(time.Second+avoidLeaderFor) {
		t.Error("not shunned for its time")
	}
}

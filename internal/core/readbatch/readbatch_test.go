package readbatch

import (
	"testing"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

const ms = time.Millisecond

// guard returns a guard of the job with that ID.
func guard(id int) jobs.Guard { return jobs.Guard{Job: model.JobID(id), Version: 3} }

// always returns the same outcome for each guard.
func always(o jobs.Outcome) func(jobs.Guard) jobs.Outcome {
	return func(jobs.Guard) jobs.Outcome { return o }
}

// A check that arrives while a comparison is in flight waits for the next one: its answer must not
// be older than the check.
func TestCheckWaitsForLaterComparison(t *testing.T) {
	b := New(Params{Interval: 100 * ms, MaxBatch: 10})
	first := b.AddCheck(0, guard(1), time.Second)
	if batches, _, next := b.Step(50 * ms); len(batches) != 0 || next != 100*ms {
		t.Fatalf("%v, next at %v", batches, next)
	}
	sent, _, _ := b.Step(100 * ms)
	second := b.AddCheck(110*ms, guard(1), time.Second)
	if got := b.HandleOutcome(120*ms, sent[0], always(jobs.OK)); len(got) != 1 || got[0].Waiter != first {
		t.Fatalf("%v", got)
	}
	again, _, _ := b.Step(210 * ms)
	if got := b.HandleOutcome(220*ms, again[0], always(jobs.Conflict)); len(got) != 1 || got[0].Waiter != second ||
		got[0].Outcome != jobs.Conflict {
		t.Fatalf("%v", got)
	}
	if _, _, next := b.Step(time.Second); next != 0 {
		t.Errorf("next at %v without checks", next)
	}
}

// When the rate is exhausted, checks wait until their deadlines, and the job that has been without an
// answer for longest is compared first.
func TestLongestUnansweredGoesFirst(t *testing.T) {
	b := New(Params{Interval: 100 * ms, MaxBatch: 2})
	b.AddCheck(0, guard(9), time.Second)
	sent, _, _ := b.Step(100 * ms)
	if got := b.HandleOutcome(110*ms, sent[0], always(jobs.Busy)); len(got) != 0 {
		t.Fatalf("%v for a check that can wait", got)
	}
	if batches, _, next := b.Step(150 * ms); len(batches) != 0 || next != 210*ms {
		t.Fatalf("%v, next at %v: no pause after the refusal", batches, next)
	}
	if _, expired, _ := b.Step(time.Second); len(expired)+len(b.pending) == 0 {
		t.Fatal("the check is not answered after its deadline")
	}
	b.Step(1100 * ms)
	// It is checked again, after others that are checked for the first time.
	for _, id := range []int{1, 2, 3, 9} {
		b.AddCheck(2*time.Second, guard(id), 3*time.Second)
	}
	for id := range b.inFlight {
		delete(b.inFlight, id) // comparisons in flight
	}
	batches, _, _ := b.Step(2 * time.Second)
	if len(batches) == 0 || batches[0].Guards[0] != guard(9) || len(batches[0].Guards) != 2 {
		t.Errorf("%v", batches)
	}
}

// A cancelled waiter gets no answer and causes no comparison.
func TestCancelledWaiterIsRemoved(t *testing.T) {
	b := New(Params{Interval: 100 * ms, MaxBatch: 10})
	waiter := b.AddCheck(0, guard(1), time.Second)
	b.Cancel(guard(1), waiter)
	if batches, expired, next := b.Step(200 * ms); len(batches)+len(expired) != 0 || next != 0 {
		t.Errorf("%v %v %v", batches, expired, next)
	}
}

// A leader that fails to answer a check is not asked for a while.
func TestRouteAvoidsFailedLeader(t *testing.T) {
	var r Route
	if r.UseLeader(0) {
		t.Error("uses a leader that does not exist")
	}
	r.SetLeaderCompares(true)
	r.LeaderFailed(time.Second)
	if r.UseLeader(2*time.Second) || !r.UseLeader(time.Second+avoidLeaderFor) {
		t.Error("the leader was not avoided for exactly avoidLeaderFor")
	}
}

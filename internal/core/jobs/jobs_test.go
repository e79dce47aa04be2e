package jobs

import (
	"net/http"
	"testing"
)

// runNew runs a new request against scripted results.
func runNew(t *testing.T, kind Kind, steps ...Result) (Answer, []OpKind) {
	t.Helper()
	req, op := New(kind, 1, 0)
	return runSteps(t, req, op, steps)
}

// runSteps gives a request the results of its operations, one after the other, and returns its answer
// and the kinds of the operations.
func runSteps(t *testing.T, req *Request, op Op, steps []Result) (Answer, []OpKind) {
	t.Helper()
	var ops []OpKind
	for _, s := range steps {
		ops = append(ops, op.Kind)
		next, ans := req.Next(op, s)
		if ans != nil {
			return *ans, ops
		}
		op = next
	}
	t.Fatalf("no answer after %v", ops)
	return Answer{}, nil
}

// Each kind of request gets the right answer in each state of the job's records.
func TestRequests(t *testing.T) {
	for name, c := range map[string]struct {
		kind   Kind
		steps  []Result
		status int
		stage  Stage
	}{
		"new job":   {Submit, []Result{{}}, http.StatusCreated, Queued},
		"known job": {Submit, []Result{{Outcome: Conflict}, {Version: 3}}, http.StatusOK, Queued},
		"known job that has ended": {Submit, []Result{{Outcome: Conflict}, {Outcome: Missing}, {Stage: Done}},
			http.StatusOK, Done},
		"submission without answer": {Submit, []Result{{Outcome: Failed}}, http.StatusServiceUnavailable, ""},
		"poll of an open job":       {Poll, []Result{{Version: 3}}, http.StatusOK, Queued},
		"poll across the job's end": {Poll, []Result{{Outcome: Missing}, {Stage: Done}}, http.StatusOK, Done},
		"poll of nothing":           {Poll, []Result{{Outcome: Missing}, {Outcome: Missing}}, http.StatusNotFound, ""},
		"poll without the store":    {Poll, []Result{{Outcome: Failed}}, http.StatusServiceUnavailable, ""},
		"poll, second read fails": {Poll, []Result{{Outcome: Missing}, {Outcome: Failed}},
			http.StatusServiceUnavailable, ""},
		"cancel": {Withdraw, []Result{{Version: 3}, {}}, http.StatusOK, Cancelled},
		"cancel of a job that is done": {Withdraw, []Result{{Version: 3}, {Outcome: Conflict}, {Outcome: Missing},
			{Stage: Done}}, http.StatusOK, Done},
		"cancel again": {Withdraw, []Result{{Outcome: Missing}, {Stage: Cancelled}}, http.StatusOK,
			Cancelled},
		"cancel of nothing": {Withdraw, []Result{{Outcome: Missing}, {Outcome: Missing}}, http.StatusNotFound, ""},
		"cancel without answer": {Withdraw, []Result{{Version: 3}, {Outcome: Failed}}, http.StatusServiceUnavailable,
			""},
	} {
		t.Run(name, func(t *testing.T) {
			a, ops := runNew(t, c.kind, c.steps...)
			if a.Status != c.status || a.Stage != c.stage {
				t.Errorf("answer %+v after %v, want %d %q", a, ops, c.status, c.stage)
			}
		})
	}
}

// A cancellation must end only the record that it has read.
func TestCancelIsGuardedByTheVersionRead(t *testing.T) {
	req, op := New(Withdraw, 1, 0)
	op, _ = req.Next(op, Result{Version: 42})
	if op.Kind != Cancel || op.Version != 42 {
		t.Fatalf("op %+v: without the version a late cancellation could end another record", op)
	}
}

// A poll with a known version only compares it, because many comparisons share one call. Once the open
// record is gone, the final record says how the job ended.
func TestPollOfSeenJobOnlyCompares(t *testing.T) {
	req, op := New(Poll, 1, 3)
	if op.Kind != CompareOpen || op.Version != 3 {
		t.Fatalf("first operation %+v, want a comparison", op)
	}
	if _, a := req.Next(op, Result{}); a == nil || a.Stage != Queued {
		t.Fatalf("%+v for a job that is open", a)
	}
	if next, a := req.Next(op, Result{Outcome: Conflict}); a != nil || next.Kind != ReadFinal {
		t.Fatalf("%+v, %+v for a job that is no longer open", next, a)
	}
	_, a := req.Next(Op{Kind: ReadFinal, Job: 1}, Result{Outcome: Missing})
	if a == nil || a.Status != http.StatusServiceUnavailable {
		t.Fatalf("%+v for a job that was open: it must not be reported as missing", a)
	}
	if _, a := req.Next(op, Result{Outcome: Failed}); a == nil || a.Status != http.StatusServiceUnavailable {
		t.Fatalf("%+v without the store", a)
	}
}

// The state service may serve one read of each attempt and refuse the next. A request about a job that
// is believed to have ended, and has, is answered all the same.
func TestEndedJobIsAnsweredByOneRead(t *testing.T) {
	for _, kind := range []Kind{Poll, Withdraw} {
		req, op := NewEnded(kind, 1)
		if op.Kind != ReadFinal {
			t.Fatalf("%v reads %+v first", kind, op)
		}
		if _, a := req.Next(op, Result{Stage: Done}); a == nil || a.Stage != Done {
			t.Errorf("%v: %+v after the final record was read", kind, a)
		}
	}
}

// If a job was wrongly believed to have ended, the answer still follows its records.
func TestRequestFallsBackIfJobHasNotEnded(t *testing.T) {
	for name, c := range map[string]struct {
		kind   Kind
		steps  []Result // after the read of the final record, which is missing
		status int
		stage  Stage
	}{
		"open":                 {Poll, []Result{{Version: 3}}, http.StatusOK, Queued},
		"ends in between":      {Poll, []Result{{Outcome: Missing}, {Stage: Done}}, http.StatusOK, Done},
		"never accepted":       {Poll, []Result{{Outcome: Missing}, {Outcome: Missing}}, http.StatusNotFound, ""},
		"no rate for the next": {Poll, []Result{{Outcome: Busy}}, http.StatusServiceUnavailable, ""},
		"cancelled while open": {Withdraw, []Result{{Version: 3}, {}}, http.StatusOK, Cancelled},
		"ends when cancelled": {Withdraw, []Result{{Version: 3}, {Outcome: Conflict}, {Outcome: Missing}, {Stage: Done}},
			http.StatusOK, Done},
		"cancellation of nothing": {Withdraw, []Result{{Outcome: Missing}, {Outcome: Missing}}, http.StatusNotFound, ""},
	} {
		t.Run(name, func(t *testing.T) {
			req, op := NewEnded(c.kind, 1)
			a, ops := runSteps(t, req, op, append([]Result{{Outcome: Missing}}, c.steps...))
			if a.Status != c.status || a.Stage != c.stage {
				t.Errorf("answer %+v after %v, want %d %q", a, ops, c.status, c.stage)
			}
		})
	}
}

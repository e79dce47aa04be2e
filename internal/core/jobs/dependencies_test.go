package jobs

import (
	"net/http"
	"slices"
	"testing"

	"honeylock/internal/core/model"
)

// fakeStore is a store with an open record's version or a final stage for each job.
type fakeStore struct {
	open  map[model.JobID]uint64
	final map[model.JobID]Stage
	// before is called before each operation.
	before func(Op)
	ops    []Op
}

// execute carries out an operation.
func (s *fakeStore) execute(op Op) Result {
	s.ops = append(s.ops, op)
	if s.before != nil {
		s.before(op)
	}
	switch op.Kind {
	case ReadOpen:
		if v := s.open[op.Job]; v != 0 {
			return Result{Version: v}
		}
	case ReadFinal:
		if stage := s.final[op.Job]; stage != "" {
			return Result{Stage: stage}
		}
	case Create:
		if s.open[op.Job] != 0 || s.final[op.Job] != "" || slices.ContainsFunc(op.Guards, func(g Guard) bool {
			return s.open[g.Job] != g.Version
		}) {
			return Result{Outcome: Conflict}
		}
		if op.Stage != "" {
			s.final[op.Job] = op.Stage
		} else {
			s.open[op.Job] = 50
		}
		return Result{}
	}
	return Result{Outcome: Missing}
}

// submit runs a submission of job 1, with at most two guards, until its answer.
func (s *fakeStore) submit(t *testing.T, openVersions map[model.JobID]uint64, dependsOn ...model.JobID) Answer {
	t.Helper()
	req, op := NewWithDependencies(1, dependsOn, openVersions, 2)
	for range 40 {
		next, answer := req.Next(op, s.execute(op))
		if answer != nil {
			return *answer
		}
		op = next
	}
	t.Fatal("no answer")
	return Answer{}
}

// A submission reads only the dependencies whose versions it does not know, and is stored as cancelled
// if one of them is.
func TestSubmissionWithDependencies(t *testing.T) {
	open, final := map[model.JobID]uint64{2: 7, 3: 8, 4: 9}, map[model.JobID]Stage{5: Done, 6: Cancelled}
	for name, c := range map[string]struct {
		openVersions map[model.JobID]uint64
		dependsOn    []model.JobID
		status       int
		stage        Stage
		ops          int
	}{
		"open, versions known": {map[model.JobID]uint64{2: 7, 3: 8}, []model.JobID{2, 3},
			http.StatusCreated, Queued, 1},
		"open, read":                   {map[model.JobID]uint64{}, []model.JobID{2}, http.StatusCreated, Queued, 2},
		"done":                         {map[model.JobID]uint64{}, []model.JobID{5}, http.StatusCreated, Queued, 3},
		"cancelled":                    {map[model.JobID]uint64{}, []model.JobID{2, 6}, http.StatusCreated, Cancelled, 4},
		"ended after it was read open": {map[model.JobID]uint64{6: 3}, []model.JobID{6}, http.StatusCreated, Cancelled, 6},
		"never accepted": {map[model.JobID]uint64{}, []model.JobID{2, 99},
			http.StatusUnprocessableEntity, "", 5},
		"more than the allowed guards": {map[model.JobID]uint64{2: 7, 3: 8, 4: 9}, []model.JobID{2, 3, 4},
			http.StatusCreated, Queued, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{open: map[model.JobID]uint64{}, final: map[model.JobID]Stage{}}
			for id, v := range open {
				s.open[id] = v
			}
			for id, st := range final {
				s.final[id] = st
			}
			a := s.submit(t, c.openVersions, c.dependsOn...)
			if a.Status != c.status || a.Stage != c.stage || len(s.ops) != c.ops {
				t.Errorf("%+v after %+v, want %d %q after %d operations", a, s.ops, c.status, c.stage, c.ops)
			}
			if last := s.ops[len(s.ops)-1]; len(last.Guards) > 2 {
				t.Errorf("%d guards, at most two are allowed", len(last.Guards))
			}
		})
	}
}

// A repeated submission of an accepted job returns the job's state, whatever dependencies it names
// now.
func TestResubmissionKeepsJobState(t *testing.T) {
	s := &fakeStore{open: map[model.JobID]uint64{1: 50}, final: map[model.JobID]Stage{}}
	if a := s.submit(t, nil, 99); a.Status != http.StatusOK || a.Stage != Queued {
		t.Errorf("%+v for a job that is open", a)
	}
	s = &fakeStore{open: map[model.JobID]uint64{}, final: map[model.JobID]Stage{1: Done}}
	if a := s.submit(t, nil, 99); a.Status != http.StatusOK || a.Stage != Done {
		t.Errorf("%+v for a job that is done", a)
	}
}

// A dependency is cancelled after it was read and before the transaction. The transaction must fail,
// and the next one store the job as cancelled. Without the guard the job would be reported as queued
// until a leader finds out.
func TestDependencyCancelledBeforeTransaction(t *testing.T) {
	s := &fakeStore{open: map[model.JobID]uint64{2: 7}, final: map[model.JobID]Stage{}}
	s.before = func(op Op) {
		if op.Kind == Create && s.open[2] != 0 {
			delete(s.open, 2)
			s.final[2] = Cancelled
		}
	}
	a := s.submit(t, map[model.JobID]uint64{}, 2)
	if a.Status != http.StatusCreated || a.Stage != Cancelled || s.open[1] != 0 {
		t.Errorf("%+v, open %v", a, s.open)
	}
	// The dependency changes before every transaction: the user gets no state.
	version := uint64(7)
	s = &fakeStore{open: map[model.JobID]uint64{2: 7}, final: map[model.JobID]Stage{}}
	s.before = func(op Op) {
		if op.Kind == Create {
			version++
			s.open[2] = version
		}
	}
	if a := s.submit(t, map[model.JobID]uint64{}, 2); a.Status != http.StatusServiceUnavailable {
		t.Errorf("%+v", a)
	}
}

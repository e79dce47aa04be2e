package pipeline

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"honeylock/internal/core/model"
)

// releasedIDs returns the IDs of released jobs in ascending order.
func releasedIDs(rs []Release) (out []model.JobID) {
	for _, r := range rs {
		out = append(out, r.ID)
	}
	slices.Sort(out)
	return out
}

// A job with two dependencies that share one of their own begins only after both are done. A
// dependency with an unknown final state is looked up until it is known.
func TestDiamondReleasesWhenBothBranchesAreDone(t *testing.T) {
	g := New()
	g.Add(Job{ID: 1}, 0)
	for _, j := range []Job{{ID: 2, DependsOn: []model.JobID{1}}, {ID: 3, DependsOn: []model.JobID{1}},
		{ID: 4, Rank: model.Urgent, DependsOn: []model.JobID{2, 3}}} {
		if !g.Add(j, 0) {
			t.Fatalf("job %d may begin before its dependencies", j.ID)
		}
	}
	for _, in := range g.TakeInherited() {
		if in.Rank != model.Urgent {
			t.Errorf("%+v, want the rank of the last dependent", in)
		}
	}
	g.JobEnded(1, Done, 0)
	if got := releasedIDs(g.TakeReleased()); !slices.Equal(got, []model.JobID{2, 3}) {
		t.Fatalf("released %v", got)
	}
	g.JobEnded(2, Done, 0)
	if got := g.TakeReleased(); len(got) > 0 {
		t.Fatalf("%v released before the other branch is done", got)
	}
	g.JobEnded(3, Unknown, 7)
	if got := g.PropagatedUntil(9); got != 7 {
		t.Errorf("propagated until %v while a final state is unknown, want 7", got)
	}
	if ask := g.NextLookups(0, 9); !slices.Equal(ask, []model.JobID{3}) {
		t.Fatalf("looks up %v", ask)
	}
	g.LookupDone(0, 3, Unknown, 0)
	if again := g.NextLookups(lookupRetry-1, 9); len(again) > 0 {
		t.Fatalf("repeats a failed lookup at once")
	}
	g.NextLookups(lookupRetry, 9)
	g.LookupDone(lookupRetry, 3, Done, 5000)
	if got := g.TakeReleased(); len(got) != 1 || got[0] != (Release{ID: 4, LastEndMS: 5000, NeverStarted: true}) {
		t.Fatalf("released %+v", got)
	}
}

// A cancellation reaches all direct and indirect dependents, also those added meanwhile, and no other
// job. Inherited ranks are revoked.
func TestCancellationPropagatesToAllDependents(t *testing.T) {
	g := New()
	g.Add(Job{ID: 1}, 0)
	g.Add(Job{ID: 900}, 0)
	for id := model.JobID(2); id <= 50; id++ {
		g.Add(Job{ID: id, Rank: model.Standard, DependsOn: []model.JobID{id - 1, 900}}, 0)
	}
	g.Add(Job{ID: 60, Rank: model.Urgent, DependsOn: []model.JobID{900}}, 0)
	g.TakeInherited()
	g.JobEnded(1, Cancelled, 3)
	if blocked := g.Add(Job{ID: 51, DependsOn: []model.JobID{25}}, 0); !blocked {
		t.Fatal("a job that depends on one to be cancelled may begin")
	}
	pending := g.NextCancellations(0, 100)
	if len(pending) != 50 || pending[0] != 2 || pending[49] != 51 {
		t.Fatalf("%d jobs to be cancelled: %v", len(pending), pending)
	}
	if len(g.NextCancellations(0, 100)) > 0 {
		t.Error("a cancellation under way is returned again")
	}
	g.CancellationFailed(0, 2)
	if again := g.NextCancellations(lookupRetry, 100); !slices.Equal(again, []model.JobID{2}) {
		t.Errorf("retries %v, want 2", again)
	}
	g.JobEnded(900, Done, 0)
	if got := releasedIDs(g.TakeReleased()); !slices.Equal(got, []model.JobID{60}) {
		t.Errorf("released %v, want only the job outside the cancelled tree", got)
	}
	for _, id := range pending {
		if b := g.PropagatedUntil(9); b != 3 && b != 0 {
			t.Fatalf("propagated until %v before job %d is cancelled", b, id)
		}
		g.JobEnded(id, Cancelled, 4)
	}
	if b := g.PropagatedUntil(9); b != 9 || len(g.nodes) != 1 {
		t.Errorf("propagated until %v, %d nodes are left", b, len(g.nodes))
	}
}

// Jobs inherit rank and objective through the graph, and lose them when the dependent ends.
func TestInheritedRankIsRevoked(t *testing.T) {
	g := New()
	g.Add(Job{ID: 1, Rank: model.Idle}, 0)
	g.Add(Job{ID: 2, Rank: model.Idle, DependsOn: []model.JobID{1}}, 0)
	g.TakeInherited()
	g.Add(Job{ID: 3, Rank: model.Urgent, HasObjective: true, DependsOn: []model.JobID{2}}, 0)
	want := []Inherited{{1, model.Urgent, true}, {2, model.Urgent, true}}
	if got := g.TakeInherited(); !slices.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	g.JobEnded(3, Cancelled, 0)
	want = []Inherited{{1, model.Idle, false}, {2, model.Idle, false}}
	if got := g.TakeInherited(); !slices.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Jobs, ends, lookups and cancellations come in random order. No job begins before all its
// dependencies are done, or if one is cancelled, and the graph is empty in the end.
func TestRandomOrderReleasesOnlySatisfiedJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New()
		n := model.JobID(rapid.IntRange(2, 12).Draw(t, "jobs"))
		dependsOn := map[model.JobID][]model.JobID{}
		for id := range n {
			for p := range id {
				if rapid.IntRange(0, 3).Draw(t, "needs") == 0 {
					dependsOn[id] = append(dependsOn[id], p)
				}
			}
		}
		end, released, added := map[model.JobID]FinalState{}, map[model.JobID]bool{}, map[model.JobID]bool{}
		finish := func(id model.JobID, e FinalState) {
			end[id] = e
			if added[id] {
				how := e
				if rapid.Bool().Draw(t, "unknown") {
					how = Unknown
				}
				g.JobEnded(id, how, 0)
			}
		}
		check := func() {
			for _, r := range g.TakeReleased() {
				released[r.ID] = true
				for _, p := range dependsOn[r.ID] {
					if end[p] != Done {
						t.Fatalf("job %d is released, but its dependency %d is %v", r.ID, p, end[p])
					}
				}
			}
			g.TakeInherited()
		}
		for step := range 400 {
			id := model.JobID(rapid.IntRange(0, int(n)-1).Draw(t, "job"))
			switch {
			case !added[id] && end[id] == Unknown:
				added[id] = true
				if !g.Add(Job{ID: id, Rank: model.Rank(id % 4), DependsOn: dependsOn[id]}, 0) {
					released[id] = true
				}
			case end[id] == Unknown && rapid.IntRange(0, 5).Draw(t, "cancel") == 0:
				finish(id, Cancelled)
			case end[id] == Unknown && released[id]:
				finish(id, Done)
			}
			for _, id := range g.NextLookups(lookupRetry*4000*1000, 3) {
				if e := end[id]; e == Unknown {
					g.LookupDone(0, id, Absent, 0)
				} else {
					g.LookupDone(0, id, e, 0)
				}
			}
			for _, id := range g.NextCancellations(lookupRetry*4000*1000, 2) {
				if released[id] {
					t.Fatalf("step %d: job %d is to be cancelled, but has begun", step, id)
				}
				if end[id] == Unknown {
					end[id] = Cancelled
				}
				g.JobEnded(id, Cancelled, 0)
			}
			check()
		}
		for id := range n {
			if end[id] == Unknown {
				t.Fatalf("job %d is left: added %v, released %v, depends on %v", id, added[id], released[id], dependsOn[id])
			}
		}
		if len(g.nodes) > 0 || len(g.unresolved) > 0 || len(g.pendingCancellations) > 0 {
			t.Fatalf("%d nodes are left in the graph", len(g.nodes))
		}
	})
}

// The cost of a job's end depends on its dependents, not on the number of open jobs.
func BenchmarkJobEnded(b *testing.B) {
	for _, open := range []int{100, 10_000} {
		for name, end := range map[string]FinalState{"release": Done, "cancel": Cancelled} {
			b.Run(fmt.Sprintf("%s/%d open", name, open), func(b *testing.B) {
				g := New()
				for id := range open {
					g.Add(Job{ID: model.JobID(id)}, 0)
				}
				next := model.JobID(open)
				for b.Loop() {
					for i := range model.JobID(5) {
						j := Job{ID: next + i, Rank: model.Rank(i % 4)}
						if i > 0 {
							j.DependsOn = []model.JobID{next + i - 1}
						}
						g.Add(j, 0)
					}
					g.JobEnded(next, end, 0)
					g.TakeReleased()
					for _, id := range g.NextCancellations(0, 9) {
						g.JobEnded(id, Cancelled, 0)
					}
					for i := range model.JobID(5) {
						g.JobEnded(next+i, Done, 0)
					}
					g.TakeReleased()
					g.TakeInherited()
					next += 5
				}
			})
		}
	}
}

// recordStore is the state that successive leaders share: open records with their dependencies, and
// final records.
type recordStore struct {
	open  map[model.JobID][]model.JobID
	final map[model.JobID]FinalState
}

// runLeader builds a leader's graph from the store and cancels at most maxCancellations jobs. It
// returns how many it has cancelled.
func (s *recordStore) runLeader(t *testing.T, maxCancellations int) (cancelled int) {
	t.Helper()
	g := New()
	for id, dependencies := range s.open { // in any order, as records are listed
		g.Add(Job{ID: id, DependsOn: dependencies}, 0)
	}
	for cancelled < maxCancellations {
		for _, id := range g.NextLookups(0, 50) {
			e := s.final[id]
			if e == Unknown {
				e = Absent
			}
			g.LookupDone(0, id, e, 0)
		}
		ids := g.NextCancellations(0, 1)
		if len(ids) == 0 {
			break
		}
		delete(s.open, ids[0])
		s.final[ids[0]] = Cancelled
		g.JobEnded(ids[0], Cancelled, 0)
		cancelled++
	}
	for _, r := range g.TakeReleased() {
		if slices.ContainsFunc(s.open[r.ID], func(id model.JobID) bool { return s.final[id] != Done }) {
			t.Fatalf("job %d is released before its dependencies are done", r.ID)
		}
	}
	return cancelled
}

// A job with 300 dependents, each with one of its own, is cancelled by a series of leaders, each of
// which stops after one more write than the previous one. Each leader continues where the last one
// stopped, none repeats a write, and all jobs are cancelled in the end.
func TestNextLeaderContinuesCancellation(t *testing.T) {
	s := &recordStore{open: map[model.JobID][]model.JobID{}, final: map[model.JobID]FinalState{1: Cancelled, 2: Done}}
	for id := model.JobID(10); id < 310; id++ {
		s.open[id] = []model.JobID{1, 2}
		s.open[id+1000] = []model.JobID{id, 2}
	}
	s.open[5] = []model.JobID{2}
	writes, leaders := 0, 0
	for ; len(s.open) > 1; leaders++ {
		n := s.runLeader(t, leaders%40)
		if writes += n; leaders > 100 {
			t.Fatalf("%d open jobs are left", len(s.open))
		}
	}
	if writes != 600 {
		t.Errorf("%d writes for 600 jobs", writes)
	}
}

// All 300 dependents of one job are released at once, each only once.
func TestManyDependentsAreReleasedAtOnce(t *testing.T) {
	g := New()
	g.Add(Job{ID: 1}, 0)
	for id := model.JobID(10); id < 310; id++ {
		g.Add(Job{ID: id, DependsOn: []model.JobID{1}}, 0)
	}
	g.JobEnded(1, Done, 0)
	if got := releasedIDs(g.TakeReleased()); len(got) != 300 || slices.Compact(got)[299] != 309 {
		t.Errorf("%d jobs released", len(got))
	}
	if len(g.TakeReleased()) > 0 || len(g.nodes) != 300 {
		t.Error("the graph has more nodes than there are open jobs")
	}
}

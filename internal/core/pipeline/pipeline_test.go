package pipeline

import (
	"fmt"
	"slices"
	"testing"
	"time"

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

// A lookup that began before its job was submitted must not prevent later lookups of that job: its dependents
// were never cancelled, and every poll for them was answered with a 503.
func TestJobSubmittedDuringItsLookupIsLookedUpAgain(t *testing.T) {
	for name, found := range map[string]FinalState{"no record": Absent, "failed": Unknown} {
		t.Run(name, func(t *testing.T) {
			g := New()
			g.Add(Job{ID: 2, DependsOn: []model.JobID{1}}, 0)
			if ask := g.NextLookups(0, 9); !slices.Equal(ask, []model.JobID{1}) {
				t.Fatalf("looks up %v", ask)
			}
			g.Add(Job{ID: 1}, 0) // the watch is faster than the lookup
			g.LookupDone(0, 1, found, 0)
			g.JobEnded(1, Unknown, 0)
			if ask := g.NextLookups(time.Minute, 9); !slices.Equal(ask, []model.JobID{1}) {
				t.Fatalf("looks up %v after the job has ended, want 1", ask)
			}
			g.LookupDone(time.Minute, 1, Cancelled, 0)
			if pending := g.NextCancellations(time.Minute, 9); !slices.Equal(pending, []model.JobID{2}) {
				t.Errorf("cancels %v, want 2", pending)
			}
		})
	}
}

// A lookup in flight must not prevent that its job is cancelled once the job is known to be open.
func TestJobSubmittedDuringItsLookupIsCancelled(t *testing.T) {
	g := New()
	g.Add(Job{ID: 1}, 0)
	g.Add(Job{ID: 3, DependsOn: []model.JobID{2}}, 0)
	g.NextLookups(0, 9)
	g.Add(Job{ID: 2, DependsOn: []model.JobID{1}}, 0)
	g.JobEnded(1, Cancelled, 0)
	if pending := g.NextCancellations(0, 9); !slices.Equal(pending, []model.JobID{2, 3}) {
		t.Errorf("cancels %v, want 2 and 3", pending)
	}
}

// A job without dependents leaves the graph while it is looked up. The next job that depends on it must not
// cause a second lookup at the same time.
func TestLookupIsNotRepeatedWhileInFlight(t *testing.T) {
	g := New()
	g.Add(Job{ID: 2, DependsOn: []model.JobID{1}}, 0)
	g.NextLookups(0, 9)
	g.JobEnded(2, Cancelled, 0)
	g.Add(Job{ID: 3, DependsOn: []model.JobID{1}}, 0)
	if ask := g.NextLookups(0, 9); len(ask) > 0 {
		t.Fatalf("looks up %v twice at a time", ask)
	}
	g.LookupDone(0, 1, Done, 0)
	if got := releasedIDs(g.TakeReleased()); !slices.Equal(got, []model.JobID{3}) {
		t.Errorf("released %v, want 3", got)
	}
}

// lookup is a read of a final record in flight. found is what it finds if it was carried out at once.
type lookup struct {
	id    model.JobID
	found FinalState
}

// Jobs, ends, lookups and cancellations come in random order, and the outcomes of lookups and cancellations
// come later than what happens meanwhile. No job begins before all its dependencies are done, or if one is
// cancelled, and the graph is empty in the end.
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
		stored := func(id model.JobID) FinalState {
			if end[id] == Unknown {
				return Absent
			}
			return end[id]
		}
		var lookups []lookup
		var cancellations []model.JobID
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
		const randomSteps = 400
		for step := range randomSteps + 20*int(n) { // the last steps take each job in turn, so that all end
			id := model.JobID(step) % n
			if step < randomSteps {
				id = model.JobID(rapid.IntRange(0, int(n)-1).Draw(t, "job"))
			}
			switch {
			case !added[id] && end[id] == Unknown:
				added[id] = true
				if !g.Add(Job{ID: id, Rank: model.Rank(id % 4), DependsOn: dependsOn[id]}, 0) {
					released[id] = true
				}
			case end[id] == Unknown && step < 5*int(n) && rapid.IntRange(0, 5).Draw(t, "cancel") == 0:
				finish(id, Cancelled)
			case end[id] == Unknown && released[id]:
				finish(id, Done)
			}
			for _, id := range g.NextLookups(lookupRetry*4000*1000, 3) {
				lookups = append(lookups, lookup{id, stored(id)})
			}
			for _, id := range g.NextCancellations(lookupRetry*4000*1000, 2) {
				if released[id] {
					t.Fatalf("step %d: job %d is to be cancelled, but has begun", step, id)
				}
				cancellations = append(cancellations, id)
			}
			for len(lookups) > 0 && (step >= randomSteps || rapid.Bool().Draw(t, "lookup done")) {
				l := lookups[0]
				lookups = lookups[1:]
				switch kind := rapid.IntRange(0, 3).Draw(t, "found"); {
				case step >= randomSteps || kind == 1:
					l.found = stored(l.id)
				case kind == 0:
					l.found = Unknown
				}
				g.LookupDone(0, l.id, l.found, 0)
			}
			for len(cancellations) > 0 && (step >= randomSteps || rapid.Bool().Draw(t, "cancellation done")) {
				id := cancellations[0]
				cancellations = cancellations[1:]
				switch {
				case end[id] != Unknown: // its user was faster
					g.JobEnded(id, Unknown, 0)
				case step < randomSteps && rapid.IntRange(0, 3).Draw(t, "fails") == 0:
					g.CancellationFailed(0, id)
				default:
					end[id] = Cancelled
					g.JobEnded(id, Cancelled, 0)
				}
			}
			check()
		}
		for id := range n {
			if end[id] == Unknown {
				t.Fatalf("job %d is left: added %v, released %v, depends on %v", id, added[id], released[id], dependsOn[id])
			}
		}
		if len(g.nodes) > 0 || len(g.lookups.nodes) > 0 || len(g.cancellations.nodes) > 0 {
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

package sim

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
)

// dependencyTracker is the leader's graph of jobs that depend on others, connected as internal/node
// does.
type dependencyTracker struct {
	l       *leadership
	graph   *pipeline.Graph
	inDoubt pipeline.InDoubtJobs
	// When the last cancellation of a dependent job was written.
	lastCancellation time.Duration
}

// add adds an open job to the graph; the dispatcher holds it while dependencies are unfinished.
func (t *dependencyTracker) add(o *openJob) {
	since := -time.Hour
	if t.l.loaded {
		since = t.l.readAt
	}
	if t.graph.Add(pipeline.Job{ID: o.spec.ID, Rank: o.spec.Rank, HasObjective: !o.spec.BestEffort,
		DependsOn: o.dependsOn}, since) {
		t.l.dispatcher.HoldJob(o.spec.ID)
	}
}

// jobEnded records the final state of a job.
func (t *dependencyTracker) jobEnded(id model.JobID, e pipeline.FinalState) {
	if e == pipeline.Unknown && t.l.c.w.params.missingCountsAsDone {
		e = pipeline.Done
	}
	t.graph.JobEnded(id, e, t.l.readAt)
	t.applyChanges()
}

// applyChanges releases jobs whose dependencies are done and passes inherited ranks to the dispatcher.
func (t *dependencyTracker) applyChanges() {
	for _, released := range t.graph.TakeReleased() {
		t.l.dispatcher.ReleaseJob(released.ID, t.l.c.now(), released.NeverStarted)
	}
	for _, inherited := range t.graph.TakeInherited() {
		t.l.dispatcher.InheritRank(inherited.ID, inherited.Rank, inherited.HasObjective)
	}
}

// propagatedUntil returns the time up to which cancellations have been applied to all dependent jobs.
func (t *dependencyTracker) propagatedUntil(now time.Duration) time.Duration {
	return min(t.l.readAt, t.graph.PropagatedUntil(now))
}

// tick looks up the final states of dependencies that are no longer open, and cancels jobs that depend
// on cancelled ones. It also switches to smaller blocks of machine records when that is due.
func (t *dependencyTracker) tick(now time.Duration) {
	l, c := t.l, t.l.c
	if c.w.params.resizeBlocksAt > 0 && c.w.now > c.w.params.resizeBlocksAt && l.dispatcher.Layout() == 0 {
		l.dispatcher.SetLayout(smallBlock)
	}
	for _, id := range t.graph.NextLookups(now, 4) {
		c.storeCall(func() any { c.w.store.expireLeases(); return c.w.store.finalState(id) }, func(v any) {
			if end, ok := v.(pipeline.FinalState); ok && c.leadership == l {
				t.graph.LookupDone(c.now(), id, end, 0)
				t.applyChanges()
			} else {
				t.graph.LookupDone(c.now(), id, pipeline.Unknown, 0)
			}
		})
	}
	limit := 2
	if c.w.params.cancellationInterval > 0 { // the store's write rate leaves hardly any changes for cancellations
		if limit = 0; now-t.lastCancellation >= c.w.params.cancellationInterval {
			limit, t.lastCancellation = 1, now
		}
	}
	for _, id := range t.graph.NextCancellations(now, limit) {
		version := l.dispatcher.JobVersion(id)
		c.storeTxn(func() any { return c.w.store.cancelDependent(l.leaderVersion, id, version) }, func(v any) {
			r, _ := v.(writeResult)
			switch {
			case r.ok:
				l.dispatcher.JobRemoved(id)
				t.jobEnded(id, pipeline.Cancelled)
			case r.conflict:
				l.dispatcher.JobRemoved(id)
				t.jobEnded(id, pipeline.Unknown)
			default:
				t.graph.CancellationFailed(c.now(), id)
			}
		})
	}
}

// finalState returns the stored final state of a job.
func (s *store) finalState(id model.JobID) pipeline.FinalState {
	switch s.finalStages[id] {
	case jobs.Done:
		return pipeline.Done
	case jobs.Cancelled:
		return pipeline.Cancelled
	}
	return pipeline.Absent
}

// cancelDependent cancels a job that was never released, if the writer still leads and the job's
// record is unchanged.
func (s *store) cancelDependent(guard uint64, id model.JobID, version uint64) any {
	s.expireLeases()
	if !s.leader.Present || s.leader.Version != guard {
		return writeResult{}
	}
	if o, ok := s.openJobs[id]; !ok || o.version != version {
		return writeResult{conflict: !ok}
	}
	s.revision++
	delete(s.openJobs, id)
	s.finalStages[id] = jobs.Cancelled
	return writeResult{revision: s.revision, ok: true}
}

// loadRecords loads the stored blocks of machine records, those of the last written layout first.
func (l *leadership) loadRecords(records map[dispatcher.BlockID]record) {
	ids := slices.SortedFunc(maps.Keys(records), func(a, b dispatcher.BlockID) int {
		if (a.Size == 0) != (b.Size == 0) {
			return int(b.Size) - int(a.Size)
		}
		return int(a.Index) - int(b.Index)
	})
	for _, id := range ids {
		l.dispatcher.AddStoredBlock(id, records[id].version, records[id].machines)
	}
	if len(ids) > 0 && ids[0].Size != 0 {
		l.dispatcher.SetLayout(smallBlock)
	}
}

// smallBlock is the size of the blocks after the change of layout (see params.resizeBlocksAt), which
// leaders make before the state service's limits get lower.
const smallBlock = 3

// addDependencies makes a job depend on up to three recently accepted jobs, whatever state they are in
// now.
func (w *world) addDependencies(u *user) {
	if w.rng.IntN(4) == 0 {
		return
	}
	var known []model.JobID
	for id := range w.params.jobs {
		if o := w.users[model.JobID(id)]; o != nil && o.accepted && !o.alwaysFails && !o.spec.Daemon {
			known = append(known, o.spec.ID)
		}
	}
	for range min(len(known), 1+w.rng.IntN(3)) {
		id := known[len(known)-1-w.rng.IntN(min(len(known), 8))]
		if !slices.Contains(u.dependsOn, id) {
			u.dependsOn = append(u.dependsOn, id)
		}
	}
	if w.rng.IntN(3) == 0 {
		u.spec.Rank = model.Urgent
	}
}

// newRequest starts a user's request as a controller does. It is partly random which versions of
// dependencies the controller has seen, and whether it believes that the job has ended, because this
// knowledge may be outdated in practice.
func (c *controller) newRequest(u *user, k jobs.Kind) (*jobs.Request, jobs.Op) {
	if k == jobs.Submit && len(u.dependsOn) > 0 {
		open := map[model.JobID]uint64{}
		for _, id := range u.dependsOn { // versions that the controller happens to have seen
			if v := c.w.users[id].openVersion; v != 0 && c.w.rng.IntN(2) == 0 {
				open[id] = v
			}
		}
		return jobs.NewWithDependencies(u.spec.ID, u.dependsOn, open, 18)
	}
	if k != jobs.Submit && c.now()/time.Second%4 == 0 { // whether the job has ended or not
		return jobs.NewEnded(k, u.spec.ID)
	}
	return jobs.New(k, u.spec.ID, u.openVersion)
}

// maxStatusAge is how old the last news of cancellations may be for a waiting job to be reported as
// queued, as internal/node's settings derive it.
func (p *params) maxStatusAge() time.Duration { return p.cancelBound*9/10 - 3*time.Second }

// inDoubtByJob returns, for each open job, whether it is in doubt.
func (t *dependencyTracker) inDoubtByJob(now time.Duration) map[model.JobID]bool {
	jobsInDoubt := t.inDoubt.Update(now, t.graph)
	out := map[model.JobID]bool{}
	t.l.dispatcher.ForEachOpenJob(func(id model.JobID, _ uint64, _, _ int) {
		out[id] = jobsInDoubt[id]
	})
	return out
}

// checkFreshness replaces the answer that a job is queued if the controller's information is too old:
// by cancelled if the leader is certain that the job is, otherwise by a 503.
func (c *controller) checkFreshness(u *user, a *jobs.Answer) *jobs.Answer {
	if a.Stage != jobs.Queued || a.Created || len(u.dependsOn) == 0 || c.w.params.alwaysReportQueued {
		return a
	}
	now, id := c.now(), u.spec.ID
	if l := c.leadership; l != nil && l.loaded && !c.oldRelease {
		c.inDoubt = l.dependencies.inDoubtByJob(now)
		c.freshness.SetPropagated(l.dependencies.propagatedUntil(now))
		c.freshness.SetInDoubtKnown(l.readAt)
		if c.w.params.reportCancelledEarly && l.dependencies.graph.CancelPending(id) {
			return &jobs.Answer{Status: http.StatusOK, Stage: jobs.Cancelled}
		}
	}
	if l := c.leadership; l != nil && l.loaded && c.oldRelease {
		c.freshness.SetPropagated(l.dependencies.propagatedUntil(now))
	}
	inDoubt, known := c.inDoubt[id]
	if c.freshness.MayReportQueued(now, known && (!inDoubt || c.w.params.reportInDoubtAsQueued) &&
		!c.w.params.globalFreshness) {
		return a
	}
	for _, o := range c.w.controllers { // forwarded to the leader, as internal/node does
		if l := o.leadership; l != nil && o.running && l.loaded && !o.oldRelease && (o == c || inDoubt) && !o.paused() &&
			!c.w.params.globalFreshness &&
			l.dependencies.inDoubt.CertainlyCancelled(o.now(), c.freshness.MaxAge, l.dependencies.graph, id) {
			return &jobs.Answer{Status: http.StatusOK, Stage: jobs.Cancelled}
		}
	}
	return &jobs.Answer{Status: http.StatusServiceUnavailable}
}

// dependsOnCancelled reports whether the user of a direct or indirect dependency asked to cancel it.
func (w *world) dependsOnCancelled(u *user) bool {
	return slices.ContainsFunc(u.dependsOn, func(id model.JobID) bool {
		return w.users[id].cancelRequested || w.dependsOnCancelled(w.users[id])
	})
}

// checkDependentCancelled checks that a job is not reported as queued or running later than
// cancelBound after a user knew that one of its dependencies is cancelled.
func (w *world) checkDependentCancelled(u *user, askedAt time.Duration, st jobs.Stage) {
	if st.Ended() {
		return
	}
	for _, id := range u.dependsOn {
		if o := w.users[id]; o.finalStage == jobs.Cancelled && askedAt > max(o.endedAt, u.acceptedAt)+w.params.cancelBound {
			// orphaned: the dependents of a cancelled job must not stay open.
			w.fail("orphaned", "job %d is %s, %d was cancelled at %v", u.spec.ID, st, id, o.endedAt)
		}
	}
}

// checkDependenciesDone checks that all dependencies of a job are done when a task of it starts.
func (w *world) checkDependenciesDone(u *user, t model.Task) {
	for _, id := range u.dependsOn {
		if o := w.users[id]; len(o.doneTasks) < int(o.spec.Tasks) {
			w.fail("too_early", "task %v starts, job %d has %d of %d tasks done", t, id, len(o.doneTasks), o.spec.Tasks)
		}
	}
}

// longOutages repeatedly takes the store down for longer than a cancellation may take. Waiting jobs
// must not be reported as queued before the next leader has read the store.
func (w *world) longOutages() {
	w.after(w.params.cancelBound+15*time.Second, func() {
		if w.now > w.params.duration {
			return
		}
		w.logf("fault: the store is down for a long time")
		w.extendFaults(w.params.cancelBound + 15*time.Second)
		w.store.down = true
		w.after(w.params.cancelBound+5*time.Second, func() { w.store.restore() })
		w.longOutages()
	})
}

// dependencyParams adds dependencies, more jobs and two more controllers.
func dependencyParams() params {
	p := shortLeaseParams()
	p.dependencies, p.jobs, p.controllers, p.resizeBlocksAt = true, 120, 5, 2*time.Minute
	return p
}

// TestRulesHoldWithDependencies runs random simulations of jobs that depend on each other, with
// faults. The blocks of machine records change their size halfway.
func TestRulesHoldWithDependencies(t *testing.T) {
	t.Parallel()
	long := longLeaseParams()
	long.dependencies, long.jobs, long.resizeBlocksAt = true, 120, 3*time.Minute
	for name, p := range map[string]params{"short lease": dependencyParams(), "long lease": long} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				runSimulation(t, seed, p)
			})
		}
	}
}

// TestDependentJobsComplete checks that without faults every dependent job ends, done or cancelled,
// and that the old blocks of machine records are gone.
func TestDependentJobsComplete(t *testing.T) {
	t.Parallel()
	p := dependencyParams()
	p.faults = false
	p.quietPeriod = 3 * time.Minute
	w := newWorld(1, p)
	w.run()
	if len(w.violations) > 0 {
		t.Fatal(strings.Join(w.violations, "\n"))
	}
	finalStages := map[jobs.Stage]int{}
	for id, u := range w.users {
		if u.accepted && u.finalStage == "" {
			t.Errorf("job %d (%+v, depends on %v) has not ended", id, u.spec, u.dependsOn)
		}
		if len(u.dependsOn) > 0 {
			finalStages[u.finalStage]++
		}
	}
	if finalStages[jobs.Done] == 0 || finalStages[jobs.Cancelled] == 0 {
		t.Errorf("dependent jobs ended as %v: one final state never occurred", finalStages)
	}
	for id := range w.store.records {
		if id.Size != smallBlock {
			t.Errorf("block %v of the old layout still exists", id)
		}
	}
}

// TestChecksCatchBrokenDependencies checks that a broken guard of the dependencies is noticed.
func TestChecksCatchBrokenDependencies(t *testing.T) {
	t.Parallel()
	for name, breakGuard := range map[string]func(*params){
		"a missing job counts as done": func(p *params) { p.missingCountsAsDone = true },
		// A leader that only the store refuses resigns at once, here as in internal/node. Therefore
		// only slow cancellations leave time for this violation.
		"waiting jobs are always reported as queued": func(p *params) {
			p.alwaysReportQueued, p.cancellationInterval = true,
				6*time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := dependencyParams()
			breakGuard(&p)
			expectViolation(t, 60, 0, p)
		})
	}
}

// slowCancellationParams returns settings with which jobs are cancelled faster than the records of
// their dependents can be written.
func slowCancellationParams() params {
	p := dependencyParams()
	p.cancellationInterval, p.quietPeriod = 6*time.Second, 10*time.Minute // outages take most of such a run
	return p
}

// TestDelayedCancellationsDoNotBlockOtherJobs guards against one cancelled job blocking all others:
// while the records of its dependents could not be written in time, every poll of a waiting job was
// answered with a 503, for longer than 75 s.
func TestDelayedCancellationsDoNotBlockOtherJobs(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSimulation(t, seed, slowCancellationParams())
		})
	}
	for name, breakGuard := range map[string]func(*params){
		"one delayed cancellation blocks all waiting jobs":     func(p *params) { p.globalFreshness = true },
		"jobs in doubt are reported as queued":                 func(p *params) { p.reportInDoubtAsQueued = true },
		"cancelled is reported while others may report queued": func(p *params) { p.reportCancelledEarly = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := slowCancellationParams()
			breakGuard(&p)
			expectViolation(t, 60, 0, p)
		})
	}
}

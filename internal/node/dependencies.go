package node

import (
	"context"
	"errors"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/writequota"
	"honeylock/internal/exactjson"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

// maxEndLookups is how many final records of dependencies are read at a time.
const maxEndLookups = 8

// dependencyTracker is the leader's component that releases a job once all of its dependencies are
// done, and cancels it if one of them is cancelled.
type dependencyTracker struct {
	lead    *leadership
	graph   *pipeline.Graph
	lookups int // reads of final records in flight
	inDoubt pipeline.InDoubtJobs
}

// read does nothing: the open jobs' records, which dispatchLoop reads, name the dependencies.
func (dt *dependencyTracker) read(context.Context) (func(time.Duration) error, error) {
	return func(time.Duration) error { return nil }, nil
}

// run does nothing: this component watches no service.
func (dt *dependencyTracker) run() {}

// addJob adds an open job, and puts it on hold while a dependency is not done. since is the earliest
// time at which the end of one of its dependencies may have been reported to a user.
func (dt *dependencyTracker) addJob(spec *model.Spec, dependsOn []model.JobID, since time.Duration) {
	if dt.graph.Add(pipeline.Job{ID: spec.ID, Rank: spec.Rank, HasObjective: !spec.BestEffort, DependsOn: dependsOn},
		since) {
		dt.lead.dispatcher.HoldJob(spec.ID)
	}
	for _, id := range dependsOn {
		if s := dt.lead.dispatcher.Spec(id); s != nil && s.Daemon {
			dt.lead.node.log.Info("job awaits a service: it waits until the service is cancelled, and is then cancelled too",
				"job",
				wire.JobName(spec.ID), "service", wire.JobName(id))
		}
	}
}

// jobEnded updates the jobs that depend on one that is no longer open.
func (dt *dependencyTracker) jobEnded(now time.Duration, id model.JobID, e pipeline.FinalState) {
	dt.graph.JobEnded(id, e, dt.lead.dispatchLoop.openJobsAsOf)
	dt.applyDecisions(now)
}

// applyDecisions passes the graph's decisions to the dispatcher: jobs that are released, and ranks
// that jobs inherit from those that depend on them. A released job counts as waiting from now on. If
// all its dependencies ended before this term, it counts from the last of these ends, but at most from
// an hour ago.
func (dt *dependencyTracker) applyDecisions(now time.Duration) {
	released := dt.graph.TakeReleased()
	for _, r := range released {
		since := now
		if r.LastEndMS > 0 && !r.NeverStarted {
			since -= min(max(0, time.Since(time.UnixMilli(r.LastEndMS))), time.Hour)
		}
		dt.lead.dispatcher.ReleaseJob(r.ID, since, r.NeverStarted)
	}
	for _, c := range dt.graph.TakeInherited() {
		dt.lead.dispatcher.InheritRank(c.ID, c.Rank, c.HasObjective)
	}
	if len(released) > 0 {
		dt.lead.dispatchLoop.dispatchDue = true
		dt.lead.node.requestCycle()
	}
}

// tick starts reading the final records of ended dependencies whose outcome is not known.
func (dt *dependencyTracker) tick(now time.Duration) {
	ids := dt.graph.NextLookups(now, maxEndLookups-dt.lookups)
	dt.lookups += len(ids)
	for _, id := range ids {
		go dt.lookUpEnd(id)
	}
}

// lookUpEnd reads how a dependency ended and updates the jobs that depend on it.
func (dt *dependencyTracker) lookUpEnd(id model.JobID) {
	n := dt.lead.node
	end, atMS := dt.readEnd(id)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != dt.lead {
		return
	}
	dt.lookups--
	now := n.now()
	dt.graph.LookupDone(now, id, end, atMS)
	dt.applyDecisions(now)
}

// readEnd reads a job's final record. It returns how the job ended, and the wall clock time of its
// end in milliseconds.
func (dt *dependencyTracker) readEnd(id model.JobID) (pipeline.FinalState, int64) {
	item, err := dt.lead.node.state.Get(state.WithClass(dt.lead.ctx, ratelimit.Leader), finalPrefix+wire.JobName(id))
	if errors.Is(err, state.ErrNotFound) {
		dt.lead.node.log.Debug("a dependency has no final record and is not among the open jobs", "job", wire.JobName(id))
		return pipeline.Absent, 0
	}
	if err != nil {
		return pipeline.Unknown, 0
	}
	var final wire.Final
	if err := exactjson.Unmarshal(item.Value, &final); err != nil {
		dt.lead.node.log.Error("failed to decode a final record", "job", wire.JobName(id), "err", err)
		return pipeline.Unknown, 0
	}
	switch jobs.Stage(final.Stage) {
	case jobs.Done:
		return pipeline.Done, final.AtMS
	case jobs.Cancelled:
		return pipeline.Cancelled, final.AtMS
	}
	dt.lead.node.log.Error("failed to decode a final record: unknown stage", "job", wire.JobName(id), "stage", final.Stage)
	return pipeline.Unknown, 0
}

// writes returns the cancellations of jobs with a cancelled dependency. They use at most a quarter of
// the writes that are allowed at a time, and leave the rest to the jobs that finish.
func (dt *dependencyTracker) writes(now time.Duration, class writequota.Class, maxWrites int) []storeWrite {
	if class != writequota.FinalRecords {
		return nil
	}
	var out []storeWrite
	for _, id := range dt.graph.NextCancellations(now, max(1, maxWrites/4)) {
		version := dt.lead.dispatcher.JobVersion(id)
		if version == 0 {
			dt.graph.CancellationFailed(now, id) // the job has ended, and the watch has yet to report that
			continue
		}
		dt.lead.node.log.Debug("job is cancelled because a dependency was cancelled", "job", wire.JobName(id))
		out = append(out, storeWrite{
			guards: []wire.Guard{{Key: openPrefix + wire.JobName(id), Version: version}},
			ops:    finalOps(id, jobs.Cancelled),
			onDone: func(now time.Duration, o writeOutcome) { dt.cancellationDone(now, id, o) },
		})
	}
	return out
}

// cancellationDone handles the outcome of a cancellation's write.
func (dt *dependencyTracker) cancellationDone(now time.Duration, id model.JobID, o writeOutcome) {
	switch {
	case o.err == nil:
		dt.lead.dispatcher.JobRemoved(id)
		dt.jobEnded(now, id, pipeline.Cancelled)
	case o.conflict && o.foundVersion == 0: // its user cancelled it first, or this write's first answer was lost
		dt.lead.dispatcher.JobRemoved(id)
		dt.jobEnded(now, id, pipeline.Unknown)
	default:
		dt.graph.CancellationFailed(now, id)
	}
}

// propagatedUntil returns the time up to which every cancellation that was acknowledged to a user
// has been applied to all jobs that depend on the cancelled one.
func (dt *dependencyTracker) propagatedUntil(now time.Duration) time.Duration {
	return min(dt.lead.dispatchLoop.openJobsAsOf, dt.graph.PropagatedUntil(now))
}

// queuedConfirmed reports whether a job that waits for dependencies may be reported as queued. That
// requires that every cancellation of a dependency older than cancel_s is known here. Called under the
// lock.
func (n *Node) queuedConfirmed(now time.Duration, id model.JobID) bool {
	if l := n.lead; l != nil && l.loaded {
		n.statusFreshness.SetPropagated(l.dependencies.propagatedUntil(now))
	}
	p, known := n.progress[id]
	return n.statusFreshness.MayReportQueued(now, known && !p.inDoubt)
}

// cancelledConfirmed reports whether an open job is certain to be cancelled and so may be reported
// as cancelled. Only the leader can confirm that. Called under the lock.
func (n *Node) cancelledConfirmed(now time.Duration, id model.JobID) bool {
	l := n.lead
	return l != nil && l.loaded && l.dependencies.inDoubt.CertainlyCancelled(now, n.statusFreshness.MaxAge,
		l.dependencies.graph, id)
}

// leaderForInDoubt returns the leader's address if the leader reported the job as in doubt and so
// may know its state, else "".
func (n *Node) leaderForInDoubt(id model.JobID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != nil || n.local == nil || n.local.leaderQueue == nil || !n.progress[id].inDoubt {
		return ""
	}
	return n.siblingAddr(n.leader)
}

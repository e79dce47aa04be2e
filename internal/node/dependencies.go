package node

import (
	"context"
	"errors"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/writequota"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

// maxEndLookups are the ended jobs that are asked about at a time.
const maxEndLookups = 8

// dependencyTracker is the leader's part that lets a job begin once all that it awaits is done,
// and cancels it with one of them.
type dependencyTracker struct {
	lead    *leadership
	graph   *pipeline.Graph
	lookups int
	inDoubt pipeline.InDoubtJobs
}

// read has nothing to get: the open jobs' records name what they await.
func (dt *dependencyTracker) read(context.Context) (func(time.Duration) error, error) {
	return func(time.Duration) error { return nil }, nil
}

func (dt *dependencyTracker) run() {}

// addJob takes an open job; the end of one that it awaits may have been told since.
func (dt *dependencyTracker) addJob(spec *model.Spec, dependsOn []model.JobID, since time.Duration) {
	if dt.graph.Add(pipeline.Job{ID: spec.ID, Rank: spec.Rank, HasObjective: !spec.BestEffort, DependsOn: dependsOn}, since) {
		dt.lead.dispatcher.HoldJob(spec.ID)
	}
	for _, id := range dependsOn {
		if s := dt.lead.dispatcher.Spec(id); s != nil && s.Daemon {
			dt.lead.node.log.Info("job awaits a service: it waits until that is cancelled, and is cancelled with it", "job",
				wire.JobName(spec.ID), "service", wire.JobName(id))
		}
	}
}

// jobEnded takes the news that a job is no longer open.
func (dt *dependencyTracker) jobEnded(now time.Duration, id model.JobID, e pipeline.FinalState) {
	dt.graph.JobEnded(id, e, dt.lead.dispatchLoop.openJobsAsOf)
	dt.applyDecisions(now)
}

// applyDecisions passes on what the graph has decided.
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

// tick asks how jobs have ended that others await.
func (dt *dependencyTracker) tick(now time.Duration) {
	ids := dt.graph.NextLookups(now, maxEndLookups-dt.lookups)
	dt.lookups += len(ids)
	for _, id := range ids {
		go dt.lookUpEnd(id)
	}
}

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

// readEnd reads how a job has ended, and when by the time of day.
func (dt *dependencyTracker) readEnd(id model.JobID) (pipeline.FinalState, int64) {
	item, err := dt.lead.node.state.Get(state.As(dt.lead.ctx, ratelimit.Leader), finalPrefix+wire.JobName(id))
	if errors.Is(err, state.ErrNotFound) {
		dt.lead.node.log.Debug("a job that is awaited has not ended and is not known to be open", "job", wire.JobName(id))
		return pipeline.Absent, 0
	}
	if err != nil {
		return pipeline.Unknown, 0
	}
	var final wire.Final
	if err := json.Unmarshal(item.Value, &final); err != nil {
		dt.lead.node.log.Error("final record unreadable", "job", wire.JobName(id), "err", err)
		return pipeline.Unknown, 0
	}
	switch jobs.Stage(final.Stage) {
	case jobs.Done:
		return pipeline.Done, final.AtMS
	case jobs.Cancelled:
		return pipeline.Cancelled, final.AtMS
	}
	dt.lead.node.log.Error("final record unreadable", "job", wire.JobName(id), "stage", final.Stage)
	return pipeline.Unknown, 0
}

// writes are the cancellations of jobs that need a cancelled one. They take a
// quarter of what may be written at a time, and leave the rest to the ends of jobs.
func (dt *dependencyTracker) writes(now time.Duration, class writequota.Class, maxWrites int) []storeWrite {
	if class != writequota.FinalRecords {
		return nil
	}
	var out []storeWrite
	for _, id := range dt.graph.NextCancellations(now, max(1, maxWrites/4)) {
		version := dt.lead.dispatcher.JobVersion(id)
		if version == 0 {
			dt.graph.CancellationFailed(now, id) // the watch has not told of its end yet
			continue
		}
		dt.lead.node.log.Debug("cancelled with a job that it needs", "job", wire.JobName(id))
		out = append(out, storeWrite{
			guards: []wire.Guard{{Key: openPrefix + wire.JobName(id), Version: version}},
			ops:    finalOps(id, jobs.Cancelled),
			onDone: func(now time.Duration, o writeOutcome) { dt.cancellationDone(now, id, o) },
		})
	}
	return out
}

// cancellationDone takes the outcome of a cancellation.
func (dt *dependencyTracker) cancellationDone(now time.Duration, id model.JobID, o writeOutcome) {
	switch {
	case o.err == nil:
		dt.lead.dispatcher.JobRemoved(id)
		dt.jobEnded(now, id, pipeline.Cancelled)
	case o.conflict && o.foundVersion == 0: // its user was faster, or an answer was lost
		dt.lead.dispatcher.JobRemoved(id)
		dt.jobEnded(now, id, pipeline.Unknown)
	default:
		dt.graph.CancellationFailed(now, id)
	}
}

// propagatedUntil is the moment up to which every cancellation that a user was told of has
// gone through to all that need the job.
func (dt *dependencyTracker) propagatedUntil(now time.Duration) time.Duration {
	return min(dt.lead.dispatchLoop.openJobsAsOf, dt.graph.PropagatedUntil(now))
}

// queuedConfirmed tells whether a job that waits for others may be called queued: no
// cancellation of one of them that is older than cancel_s can be unknown here. Called
// under the lock.
func (n *Node) queuedConfirmed(now time.Duration, id model.JobID) bool {
	if l := n.lead; l != nil && l.loaded {
		n.statusFreshness.SetPropagated(l.dependencies.propagatedUntil(now))
	}
	p, known := n.progress[id]
	return n.statusFreshness.MayReportQueued(now, known && !p.inDoubt)
}

// cancelledConfirmed tells whether a job that is open may be called cancelled. Called under the lock.
func (n *Node) cancelledConfirmed(now time.Duration, id model.JobID) bool {
	l := n.lead
	return l != nil && l.loaded && l.dependencies.inDoubt.CertainlyCancelled(now, n.statusFreshness.MaxAge,
		l.dependencies.graph, id)
}

// leaderForInDoubt is the address of the leader if it may know what became of a job that can't be
// vouched for here, else "".
func (n *Node) leaderForInDoubt(id model.JobID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != nil || n.local == nil || n.local.leaderQueue == nil || !n.progress[id].inDoubt {
		return ""
	}
	return n.siblingAddr(n.leader)
}

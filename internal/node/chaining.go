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

// maxLookups are the ended jobs that are asked about at a time.
const maxLookups = 8

// chaining is the leader's part that lets a job begin once all that it awaits is done,
// and cancels it with one of them.
type chaining struct {
	l      *leadership
	g      *pipeline.Graph
	asking int
	doubts pipeline.InDoubtJobs
}

// read has nothing to get: the open jobs' records name what they await.
func (p *chaining) read(context.Context) (func(time.Duration) error, error) {
	return func(time.Duration) error { return nil }, nil
}

func (p *chaining) run() {}

// add takes an open job; the end of one that it awaits may have been told since.
func (p *chaining) add(sp *model.Spec, awaits []model.JobID, since time.Duration) {
	if p.g.Add(pipeline.Job{ID: sp.ID, Rank: sp.Rank, HasObjective: !sp.BestEffort, DependsOn: awaits}, since) {
		p.l.d.HoldJob(sp.ID)
	}
	for _, id := range awaits {
		if s := p.l.d.Spec(id); s != nil && s.Daemon {
			p.l.n.log.Info("job awaits a service: it waits until that is cancelled, and is cancelled with it", "job",
				wire.JobName(sp.ID), "service", wire.JobName(id))
		}
	}
}

// ended takes the news that a job is no longer open.
func (p *chaining) ended(now time.Duration, id model.JobID, e pipeline.FinalState) {
	p.g.JobEnded(id, e, p.l.deals.fresh)
	p.settle(now)
}

// settle passes on what the graph has decided.
func (p *chaining) settle(now time.Duration) {
	released := p.g.TakeReleased()
	for _, r := range released {
		since := now
		if r.LastEndMS > 0 && !r.NeverStarted {
			since -= min(max(0, time.Since(time.UnixMilli(r.LastEndMS))), time.Hour)
		}
		p.l.d.ReleaseJob(r.ID, since, r.NeverStarted)
	}
	for _, c := range p.g.TakeInherited() {
		p.l.d.InheritRank(c.ID, c.Rank, c.HasObjective)
	}
	if len(released) > 0 {
		p.l.deals.due = true
		p.l.n.soon()
	}
}

// tick asks how jobs have ended that others await.
func (p *chaining) tick(now time.Duration) {
	ids := p.g.NextLookups(now, maxLookups-p.asking)
	p.asking += len(ids)
	for _, id := range ids {
		go p.lookUp(id)
	}
}

func (p *chaining) lookUp(id model.JobID) {
	n := p.l.n
	end, atMS := p.readEnd(id)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != p.l {
		return
	}
	p.asking--
	now := n.now()
	p.g.LookupDone(now, id, end, atMS)
	p.settle(now)
}

// readEnd reads how a job has ended, and when by the time of day.
func (p *chaining) readEnd(id model.JobID) (pipeline.FinalState, int64) {
	it, err := p.l.n.state.Get(state.As(p.l.ctx, ratelimit.Leader), finalKeys+wire.JobName(id))
	if errors.Is(err, state.ErrNotFound) {
		p.l.n.log.Debug("a job that is awaited has not ended and is not known to be open", "job", wire.JobName(id))
		return pipeline.Absent, 0
	}
	if err != nil {
		return pipeline.Unknown, 0
	}
	var f wire.Final
	if err := json.Unmarshal(it.Value, &f); err != nil {
		p.l.n.log.Error("final record unreadable", "job", wire.JobName(id), "err", err)
		return pipeline.Unknown, 0
	}
	switch jobs.Stage(f.Stage) {
	case jobs.Done:
		return pipeline.Done, f.AtMS
	case jobs.Cancelled:
		return pipeline.Cancelled, f.AtMS
	}
	p.l.n.log.Error("final record unreadable", "job", wire.JobName(id), "stage", f.Stage)
	return pipeline.Unknown, 0
}

// writes are the cancellations of jobs that need a cancelled one. They take a
// quarter of what may be written at a time, and leave the rest to the ends of jobs.
func (p *chaining) writes(now time.Duration, c writequota.Class, n int) []write {
	if c != writequota.FinalRecords {
		return nil
	}
	var out []write
	for _, id := range p.g.NextCancellations(now, max(1, n/4)) {
		version := p.l.d.JobVersion(id)
		if version == 0 {
			p.g.CancellationFailed(now, id) // the watch has not told of its end yet
			continue
		}
		p.l.n.log.Debug("cancelled with a job that it needs", "job", wire.JobName(id))
		out = append(out, write{
			guards: []wire.Guard{{Key: openKeys + wire.JobName(id), Version: version}},
			ops:    finalOps(id, jobs.Cancelled),
			done:   func(now time.Duration, o outcome) { p.cancelled(now, id, o) },
		})
	}
	return out
}

// cancelled takes the outcome of a cancellation.
func (p *chaining) cancelled(now time.Duration, id model.JobID, o outcome) {
	switch {
	case o.err == nil:
		p.l.d.JobRemoved(id)
		p.ended(now, id, pipeline.Cancelled)
	case o.conflict && o.at == 0: // its user was faster, or an answer was lost
		p.l.d.JobRemoved(id)
		p.ended(now, id, pipeline.Unknown)
	default:
		p.g.CancellationFailed(now, id)
	}
}

// settled is the moment up to which every cancellation that a user was told of has
// gone through to all that need the job.
func (p *chaining) settled(now time.Duration) time.Duration {
	return min(p.l.deals.fresh, p.g.PropagatedUntil(now))
}

// vouches tells whether a job that waits for others may be called queued: no
// cancellation of one of them that is older than cancel_s can be unknown here. Called
// under the lock.
func (n *Node) vouches(now time.Duration, id model.JobID) bool {
	if l := n.lead; l != nil && l.loaded {
		n.vouch.SetPropagated(l.chains.settled(now))
	}
	p, told := n.progress[id]
	return n.vouch.MayReportQueued(now, told && !p.doubt)
}

// certain tells whether a job that is open may be called cancelled. Called under the lock.
func (n *Node) certain(now time.Duration, id model.JobID) bool {
	l := n.lead
	return l != nil && l.loaded && l.chains.doubts.CertainlyCancelled(now, n.vouch.MaxAge, l.chains.g, id)
}

// knower is the address of the leader if it may know what became of a job that can't be
// vouched for here, else "".
func (n *Node) knower(id model.JobID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != nil || n.seat == nil || n.seat.out == nil || !n.progress[id].doubt {
		return ""
	}
	return n.siblingAddr(n.leader)
}

package pipeline

import (
	"time"

	"honeylock/internal/core/model"
)

// InDoubt returns the open jobs that must be cancelled, and those with a direct or indirect dependency
// whose final state is not known yet. No dependency of any other waiting job was cancelled, as far as
// the graph's open jobs are up to date. The cost depends on the number of jobs returned and of their
// dependents, not on the number of open jobs.
func (g *Graph) InDoubt() map[model.JobID]bool {
	out := map[model.JobID]bool{}
	var todo []*node
	for _, n := range g.lookups.nodes {
		todo = append(todo, n)
	}
	for id, n := range g.cancellations.nodes {
		out[id] = true
		todo = append(todo, n)
	}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for id, dependent := range n.dependents {
			if dependent.open && !out[id] {
				out[id] = true
				todo = append(todo, dependent)
			}
		}
	}
	return out
}

// CancelPending reports whether an open job must be cancelled because a dependency was.
func (g *Graph) CancelPending(id model.JobID) bool { return g.cancellations.contains(id) }

// StatusFreshness decides whether a controller may report an open job with unfinished dependencies as
// queued. It may as long as every cancellation of a dependency that is older than MaxAge is known to
// that controller.
type StatusFreshness struct {
	MaxAge            time.Duration
	propagatedUntil   time.Duration // see SetPropagated
	inDoubtKnownUntil time.Duration // see SetInDoubtKnown
}

// NewStatusFreshness returns a StatusFreshness that allows nothing until it is updated.
func NewStatusFreshness(maxAge time.Duration) *StatusFreshness {
	return &StatusFreshness{MaxAge: maxAge, propagatedUntil: -time.Hour, inDoubtKnownUntil: -time.Hour}
}

// SetPropagated records that every cancellation until that time has been applied to all jobs.
func (f *StatusFreshness) SetPropagated(at time.Duration) {
	f.propagatedUntil = max(f.propagatedUntil, at)
}

// SetInDoubtKnown records that the jobs in doubt are known as of that time: every cancellation until
// then has been applied to all jobs that are not among them.
func (f *StatusFreshness) SetInDoubtKnown(at time.Duration) {
	f.inDoubtKnownUntil = max(f.inDoubtKnownUntil, at)
}

// MayReportQueued reports whether a waiting job may be reported as queued. notInDoubt says that the
// list of jobs in doubt covers the job, and that the job is not on it.
func (f *StatusFreshness) MayReportQueued(now time.Duration, notInDoubt bool) bool {
	return now-f.propagatedUntil < f.MaxAge || notInDoubt && now-f.inDoubtKnownUntil < f.MaxAge
}

// InDoubtJobs are the jobs that a leader reports as in doubt, each with the time of the first such
// report.
type InDoubtJobs struct {
	since map[model.JobID]time.Duration
}

// Update returns the jobs that are in doubt now. The caller reports them to the other controllers.
func (d *InDoubtJobs) Update(now time.Duration, g *Graph) map[model.JobID]bool {
	in := g.InDoubt()
	previous := d.since
	d.since = make(map[model.JobID]time.Duration, len(in))
	for id := range in {
		at, ok := previous[id]
		if !ok {
			at = now
		}
		d.since[id] = at
	}
	return in
}

// clockDriftMargin is how much longer than MaxAge a leader waits, to allow for clocks that drift.
const clockDriftMargin = time.Second

// CertainlyCancelled reports whether a job may be reported as cancelled before its own record says so.
// There are two conditions. A dependency is stored as cancelled, so the job can never begin. And no
// controller can still report the job as queued: one that does has information from before this
// leader first reported the job as in doubt, and that information expires after maxAge. So the leader
// waits for maxAge after that report, plus a margin for clock drift.
func (d *InDoubtJobs) CertainlyCancelled(now time.Duration, maxAge time.Duration, g *Graph, id model.JobID) bool {
	at, ok := d.since[id]
	return ok && g.CancelPending(id) && now-at > maxAge+maxAge/500+clockDriftMargin
}

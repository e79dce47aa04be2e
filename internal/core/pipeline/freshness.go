package pipeline

import (
	"time"

	"honeylock/internal/core/model"
)

// InDoubt are the open jobs that are to be cancelled, or of which a job that they need,
// directly or through others, has ended in a way that is still to be read. Of all other
// waiting jobs the graph knows that nothing that they need was cancelled, as far as its
// picture of the open jobs reaches. It costs what hangs on the jobs in doubt.
func (g *Graph) InDoubt() map[model.JobID]bool {
	out := map[model.JobID]bool{}
	var todo []*node
	for _, n := range g.unresolved {
		todo = append(todo, n)
	}
	for id, n := range g.toCancel {
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

// CancelPending tells whether an open job needs one that is stored as cancelled.
func (g *Graph) CancelPending(id model.JobID) bool { return g.toCancel[id] != nil }

// StatusFreshness judges whether an open job that waits for others may be called queued: only
// while no cancellation of one of them that is older than Within can be unknown to who
// says so.
type StatusFreshness struct {
	MaxAge            time.Duration
	propagatedUntil   time.Duration
	inDoubtKnownUntil time.Duration
}

// NewStatusFreshness vouches for nothing yet.
func NewStatusFreshness(maxAge time.Duration) *StatusFreshness {
	return &StatusFreshness{MaxAge: maxAge, propagatedUntil: -time.Hour, inDoubtKnownUntil: -time.Hour}
}

// SetPropagated takes the moment up to which every cancellation has gone through to all jobs.
func (f *StatusFreshness) SetPropagated(at time.Duration) {
	f.propagatedUntil = max(f.propagatedUntil, at)
}

// SetInDoubtKnown takes the moment up to which the jobs in doubt are told: every cancellation until
// then has gone through to all jobs that are not among them.
func (f *StatusFreshness) SetInDoubtKnown(at time.Duration) {
	f.inDoubtKnownUntil = max(f.inDoubtKnownUntil, at)
}

// MayReportQueued tells whether a waiting job may be called queued. told: it is among the jobs
// that were told, and not in doubt.
func (f *StatusFreshness) MayReportQueued(now time.Duration, known bool) bool {
	return now-f.propagatedUntil < f.MaxAge || known && now-f.inDoubtKnownUntil < f.MaxAge
}

// InDoubtJobs are the jobs in doubt that a leader has told of, and since when.
type InDoubtJobs struct {
	since map[model.JobID]time.Duration
}

// Update brings them up to date: what it returns is told now.
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

// clockDriftMargin is how much longer than a voucher's time a leader waits, for drifting clocks.
const clockDriftMargin = time.Second

// CertainlyCancelled tells whether a job may be called cancelled before its record says so: what it
// needs is stored as cancelled, so it can never begin, and nobody may call it queued any
// more. For whoever did knew less than the record that dooms it, which is older than what
// was told.
func (d *InDoubtJobs) CertainlyCancelled(now time.Duration, maxAge time.Duration, g *Graph, id model.JobID) bool {
	at, ok := d.since[id]
	return ok && g.CancelPending(id) && now-at > maxAge+maxAge/500+clockDriftMargin
}

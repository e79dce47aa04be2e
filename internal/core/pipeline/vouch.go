package pipeline

import (
	"time"

	"honeylock/internal/core/model"
)

// Doubted are the open jobs that are to be cancelled, or of which a job that they need,
// directly or through others, has ended in a way that is still to be read. Of all other
// waiting jobs the graph knows that nothing that they need was cancelled, as far as its
// picture of the open jobs reaches. It costs what hangs on the jobs in doubt.
func (g *Graph) Doubted() map[model.JobID]bool {
	out := map[model.JobID]bool{}
	var todo []*node
	for _, n := range g.unknown {
		todo = append(todo, n)
	}
	for id, n := range g.doomed {
		out[id] = true
		todo = append(todo, n)
	}
	for len(todo) > 0 {
		n := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for id, b := range n.after {
			if b.open && !out[id] {
				out[id] = true
				todo = append(todo, b)
			}
		}
	}
	return out
}

// ToCancel tells whether an open job needs one that is stored as cancelled.
func (g *Graph) ToCancel(id model.JobID) bool { return g.doomed[id] != nil }

// Voucher judges whether an open job that waits for others may be called queued: only
// while no cancellation of one of them that is older than Within can be unknown to who
// says so.
type Voucher struct {
	Within  time.Duration
	settled time.Duration
	told    time.Duration
}

// NewVoucher vouches for nothing yet.
func NewVoucher(within time.Duration) *Voucher {
	return &Voucher{Within: within, settled: -time.Hour, told: -time.Hour}
}

// Settled takes the moment up to which every cancellation has gone through to all jobs.
func (v *Voucher) Settled(at time.Duration) { v.settled = max(v.settled, at) }

// Told takes the moment up to which the jobs in doubt are told: every cancellation until
// then has gone through to all jobs that are not among them.
func (v *Voucher) Told(at time.Duration) { v.told = max(v.told, at) }

// Queued tells whether a waiting job may be called queued. told: it is among the jobs
// that were told, and not in doubt.
func (v *Voucher) Queued(now time.Duration, told bool) bool {
	return now-v.settled < v.Within || told && now-v.told < v.Within
}

// Doubts are the jobs in doubt that a leader has told of, and since when.
type Doubts struct {
	since map[model.JobID]time.Duration
}

// Take brings them up to date: what it returns is told now.
func (d *Doubts) Take(now time.Duration, g *Graph) map[model.JobID]bool {
	in := g.Doubted()
	was := d.since
	d.since = make(map[model.JobID]time.Duration, len(in))
	for id := range in {
		at, ok := was[id]
		if !ok {
			at = now
		}
		d.since[id] = at
	}
	return in
}

// late is how much longer than a voucher's time a leader waits, for drifting clocks.
const late = time.Second

// Certain tells whether a job may be called cancelled before its record says so: what it
// needs is stored as cancelled, so it can never begin, and nobody may call it queued any
// more. For whoever did knew less than the record that dooms it, which is older than what
// was told.
func (d *Doubts) Certain(now time.Duration, within time.Duration, g *Graph, id model.JobID) bool {
	at, ok := d.since[id]
	return ok && g.ToCancel(id) && now-at > within+within/500+late
}

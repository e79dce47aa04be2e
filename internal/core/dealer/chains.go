package dealer

import (
	"time"

	"honeylock/internal/core/model"
)

// Hold keeps a job from being dealt until Release: jobs that it needs are not done.
func (d *Dealer) Hold(id model.JobID) {
	if j := d.jobs[id]; j != nil {
		j.waits = true
	}
}

// Waits tells whether a job is held back.
func (d *Dealer) Waits(id model.JobID) bool {
	j := d.jobs[id]
	return j != nil && j.waits
}

// Version is that of an open job's record, 0 if there is none.
func (d *Dealer) Version(id model.JobID) uint64 {
	if j := d.jobs[id]; j != nil && !j.ended {
		return j.version
	}
	return 0
}

// Release lets a job begin, which has waited for machines since then. fresh tells
// that a job that it needs was open in this term: no earlier leader can have begun
// it, so that it need not wait until all of their machines are accounted for.
func (d *Dealer) Release(id model.JobID, since time.Duration, fresh bool) {
	j := d.jobs[id]
	if j == nil || !j.waits {
		return
	}
	j.waits, j.since = false, since
	j.old = j.old && !fresh
	d.repriced = 0
}

// Inherit gives a job the rank of those that need it, and tells whether an aim speaks
// of it or of one of them.
func (d *Dealer) Inherit(id model.JobID, rank model.Rank, aimed bool) {
	j := d.jobs[id]
	if j == nil || j.ended {
		return
	}
	if j.rank != rank {
		j.rank = rank
		d.repriced = 0
	}
	if j.spec.CanWait == aimed {
		sp := *j.spec // others hold the one of before
		sp.CanWait = !aimed
		j.spec = &sp
		d.reprices(j)
	}
}

// reprices tells the shards what a job's tasks are worth now.
func (d *Dealer) reprices(j *job) {
	d.toAll(model.Order{Kind: model.Reprice, Job: j.spec.ID, Price: j.price, Aim: model.Aimed(!j.spec.CanWait)})
}

package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

// HoldJob keeps a job from being dealt until Release: jobs that it needs are not done.
func (d *Dispatcher) HoldJob(id model.JobID) {
	if j := d.jobs[id]; j != nil {
		j.onHold = true
	}
}

// OnHold tells whether a job is held back.
func (d *Dispatcher) OnHold(id model.JobID) bool {
	j := d.jobs[id]
	return j != nil && j.onHold
}

// JobVersion is that of an open job's record, 0 if there is none.
func (d *Dispatcher) JobVersion(id model.JobID) uint64 {
	if j := d.jobs[id]; j != nil && !j.ended {
		return j.version
	}
	return 0
}

// ReleaseJob lets a job begin, which has waited for machines since then. fresh tells
// that a job that it needs was open in this term: no earlier leader can have begun
// it, so that it need not wait until all of their machines are accounted for.
func (d *Dispatcher) ReleaseJob(id model.JobID, since time.Duration, neverStarted bool) {
	j := d.jobs[id]
	if j == nil || !j.onHold {
		return
	}
	j.onHold, j.waitingSince = false, since
	j.fromEarlierTerm = j.fromEarlierTerm && !neverStarted
	d.pricesUpdatedAt = 0
}

// InheritRank gives a job the rank of those that need it, and tells whether an aim speaks
// of it or of one of them.
func (d *Dispatcher) InheritRank(id model.JobID, rank model.Rank, hasObjective bool) {
	j := d.jobs[id]
	if j == nil || j.ended {
		return
	}
	if j.rank != rank {
		j.rank = rank
		d.pricesUpdatedAt = 0
	}
	if j.spec.BestEffort == hasObjective {
		updated := *j.spec // others hold the one of before
		updated.BestEffort = !hasObjective
		j.spec = &updated
		d.sendPrice(j)
	}
}

// sendPrice tells the shards what a job's tasks are worth now.
func (d *Dispatcher) sendPrice(j *job) {
	d.broadcast(model.Order{Kind: model.RepriceJob, Job: j.spec.ID, Price: j.price,
		Objective: model.ObjectiveFor(!j.spec.BestEffort)})
}

package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

// HoldJob keeps a job from being dispatched until ReleaseJob, because jobs that it depends on are
// not done.
func (d *Dispatcher) HoldJob(id model.JobID) {
	if j := d.jobs[id]; j != nil {
		j.onHold = true
	}
}

// OnHold reports whether a job is on hold.
func (d *Dispatcher) OnHold(id model.JobID) bool {
	j := d.jobs[id]
	return j != nil && j.onHold
}

// JobVersion returns the version of an open job's record, 0 if the job is not open.
func (d *Dispatcher) JobVersion(id model.JobID) uint64 {
	if j := d.jobs[id]; j != nil && !j.ended {
		return j.version
	}
	return 0
}

// ReleaseJob lets a job on hold be dispatched. It has waited for machines since the given time.
// neverStarted is true if a job it depends on was still open in this term. Then no earlier leader
// can have started it, and it need not wait until the machines of earlier terms are accounted for.
func (d *Dispatcher) ReleaseJob(id model.JobID, since time.Duration, neverStarted bool) {
	j := d.jobs[id]
	if j == nil || !j.onHold {
		return
	}
	j.onHold, j.waitingSince = false, since
	j.fromEarlierTerm = j.fromEarlierTerm && !neverStarted
	d.pricesUpdatedAt = 0
}

// InheritRank sets a job's rank to the highest of its own and of the jobs that depend on it, and
// records whether any of these has an objective.
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
		updated := *j.spec // a copy, because others use the old spec
		updated.BestEffort = !hasObjective
		j.spec = &updated
		d.sendPrice(j)
	}
}

// sendPrice sends a job's price, and whether it has an objective, to all shards.
func (d *Dispatcher) sendPrice(j *job) {
	d.broadcast(model.Order{Kind: model.RepriceJob, Job: j.spec.ID, Price: j.price,
		Objective: model.ObjectiveFor(!j.spec.BestEffort)})
}

package jobs

import "honeylock/internal/core/model"

// dependencies is what a submission knows of the jobs that it awaits.
type dependencies struct {
	jobs          []model.JobID
	openVersions  map[model.JobID]uint64 // versions of those that were seen open
	index         int                    // of jobs: the next to be looked at
	maxGuards     int                    // guards that one transaction takes
	cancelled     bool                   // one of them is cancelled
	neverAccepted model.JobID            // has neither record
}

func (d *dependencies) exist() bool { return len(d.jobs) > 0 }

// NewWithDependencies starts a submission that awaits jobs. open are the versions of open
// records that were seen earlier: they need not be read, for the transaction tells
// whether they still stand. At most so many of them are its guards; what ends between
// the look and the transaction beyond that, the leader finds.
func NewWithDependencies(job model.JobID, dependsOn []model.JobID, openVersions map[model.JobID]uint64,
	maxGuards int) (*Request, Op) {
	r := &Request{kind: Submit, job: job, dependencies: dependencies{jobs: dependsOn, openVersions: openVersions,
		maxGuards: maxGuards}}
	return r, r.dependencies.nextOp(job)
}

// restart begins once more, with nothing seen.
func (d *dependencies) restart(job model.JobID) Op {
	d.openVersions, d.index, d.cancelled = map[model.JobID]uint64{}, 0, false
	return d.nextOp(job)
}

// nextOp reads what has not been seen, then creates the job.
func (d *dependencies) nextOp(job model.JobID) Op {
	for ; d.index < len(d.jobs); d.index++ {
		if d.openVersions[d.jobs[d.index]] == 0 {
			return Op{Kind: ReadOpen, Job: d.jobs[d.index]}
		}
	}
	op := Op{Kind: Create, Job: job}
	if d.cancelled {
		op.Stage = Cancelled
		return op
	}
	for _, id := range d.jobs {
		if version := d.openVersions[id]; version != 0 && len(op.Guards) < d.maxGuards {
			op.Guards = append(op.Guards, Guard{Job: id, Version: version})
		}
	}
	return op
}

// handleDependency takes what was read of a job that is awaited. Open is read before final, so
// that one which ends in between is found; with neither it was not accepted when this
// submission came in.
func (r *Request) handleDependency(op Op, res Result) Op {
	deps := &r.dependencies
	switch {
	case op.Kind == ReadOpen && res.Outcome == Missing:
		return Op{Kind: ReadFinal, Job: op.Job}
	case op.Kind == ReadOpen:
		deps.openVersions[op.Job] = res.Version
	case res.Outcome == Missing:
		// If this is an accepted submission once more, it stays accepted.
		r.dependencyUnknown, deps.neverAccepted = true, op.Job
		return Op{Kind: ReadOpen, Job: r.job}
	default:
		deps.cancelled = deps.cancelled || res.Stage == Cancelled
	}
	deps.index++
	return deps.nextOp(r.job)
}

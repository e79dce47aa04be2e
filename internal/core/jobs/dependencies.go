package jobs

import "honeylock/internal/core/model"

// dependencies is what a submission knows of the jobs that it depends on.
type dependencies struct {
	jobs          []model.JobID
	openVersions  map[model.JobID]uint64 // versions of the open records that were read
	index         int                    // of jobs: the next one to read
	maxGuards     int                    // the most guards that a transaction may have
	cancelled     bool                   // one of the jobs is cancelled
	neverAccepted model.JobID            // a job that has neither record
}

// exist reports whether the submission depends on any job.
func (d *dependencies) exist() bool { return len(d.jobs) > 0 }

// NewWithDependencies starts a submission that depends on other jobs. openVersions are the versions of
// open records that are known already. These records are not read, because the transaction checks
// whether they still exist. At most maxGuards dependencies become guards of the transaction; if
// another one ends before the transaction, the leader handles it.
func NewWithDependencies(job model.JobID, dependsOn []model.JobID, openVersions map[model.JobID]uint64,
	maxGuards int) (*Request, Op) {
	r := &Request{kind: Submit, job: job, dependencies: dependencies{jobs: dependsOn, openVersions: openVersions,
		maxGuards: maxGuards}}
	return r, r.dependencies.nextOp(job)
}

// restart begins again with nothing read.
func (d *dependencies) restart(job model.JobID) Op {
	d.openVersions, d.index, d.cancelled = map[model.JobID]uint64{}, 0, false
	return d.nextOp(job)
}

// nextOp reads the next dependency that is not known to be open or ended, and creates the job after
// the last.
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

// handleDependency takes the result of reading a dependency's record. The open record is read before
// the final one, so that a job that ends in between is found. A job with neither record had not been
// accepted when this submission came in.
func (r *Request) handleDependency(op Op, res Result) Op {
	deps := &r.dependencies
	switch {
	case op.Kind == ReadOpen && res.Outcome == Missing:
		return Op{Kind: ReadFinal, Job: op.Job}
	case op.Kind == ReadOpen:
		deps.openVersions[op.Job] = res.Version
	case res.Outcome == Missing:
		// If this repeats a submission that was accepted earlier, it stays accepted.
		r.dependencyUnknown, deps.neverAccepted = true, op.Job
		return Op{Kind: ReadOpen, Job: r.job}
	default:
		deps.cancelled = deps.cancelled || res.Stage == Cancelled
	}
	deps.index++
	return deps.nextOp(r.job)
}

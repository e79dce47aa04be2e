package jobs

import "honeylock/internal/core/model"

// awaited is what a submission knows of the jobs that it awaits.
type awaited struct {
	jobs    []model.JobID
	open    map[model.JobID]uint64 // versions of those that were seen open
	at      int                    // of jobs: the next to be looked at
	most    int                    // guards that one transaction takes
	doomed  bool                   // one of them is cancelled
	unknown model.JobID            // has neither record
}

func (a *awaited) any() bool { return len(a.jobs) > 0 }

// NewWithDependencies starts a submission that awaits jobs. open are the versions of open
// records that were seen earlier: they need not be read, for the transaction tells
// whether they still stand. At most so many of them are its guards; what ends between
// the look and the transaction beyond that, the leader finds.
func NewWithDependencies(job model.JobID, awaits []model.JobID, open map[model.JobID]uint64, most int) (*Request, Op) {
	r := &Request{kind: Submit, job: job, awaits: awaited{jobs: awaits, open: open, most: most}}
	return r, r.awaits.next(job)
}

// first begins once more, with nothing seen.
func (a *awaited) first(job model.JobID) Op {
	a.open, a.at, a.doomed = map[model.JobID]uint64{}, 0, false
	return a.next(job)
}

// next reads what has not been seen, then creates the job.
func (a *awaited) next(job model.JobID) Op {
	for ; a.at < len(a.jobs); a.at++ {
		if a.open[a.jobs[a.at]] == 0 {
			return Op{Kind: ReadOpen, Job: a.jobs[a.at]}
		}
	}
	op := Op{Kind: Create, Job: job}
	if a.doomed {
		op.Stage = Cancelled
		return op
	}
	for _, id := range a.jobs {
		if v := a.open[id]; v != 0 && len(op.Guards) < a.most {
			op.Guards = append(op.Guards, Guard{Job: id, Version: v})
		}
	}
	return op
}

// look takes what was read of a job that is awaited. Open is read before final, so
// that one which ends in between is found; with neither it was not accepted when this
// submission came in.
func (r *Request) look(op Op, res Result) Op {
	a := &r.awaits
	switch {
	case op.Kind == ReadOpen && res.Outcome == Missing:
		return Op{Kind: ReadFinal, Job: op.Job}
	case op.Kind == ReadOpen:
		a.open[op.Job] = res.Version
	case res.Outcome == Missing:
		// If this is an accepted submission once more, it stays accepted.
		r.unknown, a.unknown = true, op.Job
		return Op{Kind: ReadOpen, Job: r.job}
	default:
		a.doomed = a.doomed || res.Stage == Cancelled
	}
	a.at++
	return a.next(r.job)
}

// Package jobs answers users from the state service's records. A request is a
// small state machine: it asks for one store operation after the other until
// it has an answer.
//
// A job is in the store under its open record from acceptance until it ends,
// and under its final record ever after; the step between is one transaction.
// So reading open, then final, always tells: a job that ends between the two
// reads is found by the second. The open record is written once and never
// changed, which lets its version guard the job's end.
//
// A submission that awaits other jobs is taken by one transaction too: it holds only
// if each of them is still open as it was seen, or was seen done. Where one was seen
// cancelled, the job is taken as cancelled.
package jobs

import (
	"net/http"

	"honeylock/internal/core/model"
)

// Stage of a job as users are told.
type Stage string

// Stages.
const (
	Queued    Stage = "queued"
	Running   Stage = "running"
	Done      Stage = "done"
	Cancelled Stage = "aborted"
)

// Ended tells whether a stage is final.
func (s Stage) Ended() bool { return s == Done || s == Cancelled }

// OpKind tells store operations apart.
type OpKind uint8

// Operations.
const (
	ReadOpen    OpKind = iota
	ReadFinal          // Stage tells it
	Create             // put open, or final if Stage is set; guards: neither exists, and Guards
	Cancel             // drop open at Version, put final
	CompareOpen        // compare open with Version; many are compared in one call
)

// Guard is a condition: this job's open record has the version.
type Guard struct {
	Job     model.JobID
	Version uint64
}

// Op is a store operation on a job's records.
type Op struct {
	Kind    OpKind
	Job     model.JobID
	Version uint64
	Guards  []Guard // Create: the jobs that it awaits and that are open
	Stage   Stage   // Create: Cancelled if one of them is
}

// Outcome of a store operation.
type Outcome uint8

// Outcomes.
const (
	OK       Outcome = iota
	Missing          // read: no such key
	Conflict         // transaction or comparison: a guard failed
	Failed           // refused, or in doubt
	Busy             // not asked: the state service is over its rate
)

// Result of an operation.
type Result struct {
	Outcome Outcome
	Version uint64
	Stage   Stage // ReadFinal; StillOpen that found a conflict: its stored end, if it is known
}

// Answer to the user.
type Answer struct {
	Status  int
	Stage   Stage
	Created bool // the job has been accepted by this request
	// UnknownDependency is a job that is awaited and was never accepted; it comes with a 422.
	UnknownDependency model.JobID
	// RateLimited: nothing is wrong but that the state service is asked for too much; it comes
	// with a 503.
	RateLimited bool
}

// Kind of request.
type Kind uint8

// Requests.
const (
	Submit Kind = iota
	Poll
	Withdraw
)

// String is the request's name in logs.
func (k Kind) String() string {
	switch k {
	case Submit:
		return "submission"
	case Poll:
		return "question"
	case Withdraw:
		return "cancellation"
	}
	return "unknown"
}

// Request is the state machine of one request.
type Request struct {
	kind     Kind
	job      model.JobID
	tries    int
	seenOpen bool // the open record
	// believedEnded: the final record is read first, and says nothing if it is missing.
	believedEnded bool
	dependencies  dependencies
	// dependencyUnknown: a job that is awaited has neither record; it is still to be seen whether
	// this is an accepted submission once more.
	dependencyUnknown bool
}

// New starts a request about a job and returns its first operation. version is the
// open record's, if it has been seen, else 0: the record is written once, so a poll
// need only learn whether it is still there.
func New(k Kind, job model.JobID, version uint64) (*Request, Op) {
	r := &Request{kind: k, job: job}
	if k == Submit {
		return r, Op{Kind: Create, Job: job}
	}
	if k == Poll && version != 0 {
		return r, Op{Kind: CompareOpen, Job: job, Version: version}
	}
	return r, Op{Kind: ReadOpen, Job: job}
}

// NewEnded starts a poll or a cancellation of a job that is believed to have ended. One read
// then answers: with two, of which the second is refused where the state service's rate is
// scarce, each attempt would begin with the first again and none would come to an end.
func NewEnded(k Kind, job model.JobID) (*Request, Op) {
	return &Request{kind: k, job: job, believedEnded: true}, Op{Kind: ReadFinal, Job: job}
}

var (
	unavailable = &Answer{Status: http.StatusServiceUnavailable}
	rateLimited = &Answer{Status: http.StatusServiceUnavailable, RateLimited: true}
)

// Next takes the result of an operation and returns the next one or the answer.
func (r *Request) Next(op Op, res Result) (Op, *Answer) {
	switch res.Outcome {
	case Failed:
		return Op{}, unavailable
	case Busy:
		return Op{}, rateLimited
	}
	if op.Job != r.job {
		return r.handleDependency(op, res), nil
	}
	switch op.Kind {
	case Create:
		if res.Outcome == OK {
			answer := &Answer{Status: http.StatusCreated, Stage: Queued, Created: true}
			if op.Stage != "" {
				answer.Stage = op.Stage
			}
			return Op{}, answer
		}
		return Op{Kind: ReadOpen, Job: r.job}, nil
	case CompareOpen:
		if res.Outcome == OK {
			return Op{}, &Answer{Status: http.StatusOK, Stage: Queued}
		}
		if res.Stage.Ended() { // whoever compared knows of its end
			return Op{}, &Answer{Status: http.StatusOK, Stage: res.Stage}
		}
		r.seenOpen = true // it was open, so it has ended
		return Op{Kind: ReadFinal, Job: r.job}, nil
	case ReadOpen:
		if res.Outcome == Missing {
			return Op{Kind: ReadFinal, Job: r.job}, nil
		}
		if r.kind == Withdraw {
			return Op{Kind: Cancel, Job: r.job, Version: res.Version}, nil
		}
		return Op{}, &Answer{Status: http.StatusOK, Stage: Queued}
	case ReadFinal:
		if res.Outcome == OK {
			return Op{}, &Answer{Status: http.StatusOK, Stage: res.Stage}
		}
		if r.believedEnded {
			// Not so, or it ends just now: then its open record is missing, and the final
			// one is read once more.
			r.believedEnded = false
			return Op{Kind: ReadOpen, Job: r.job}, nil
		}
		if r.dependencyUnknown {
			return Op{}, &Answer{Status: http.StatusUnprocessableEntity, UnknownDependency: r.dependencies.neverAccepted}
		}
		if r.kind == Submit && r.dependencies.exist() && r.mayRetry() {
			// A job that it awaits is no longer as it was seen.
			return r.dependencies.restart(r.job), nil
		}
		if r.kind == Submit || r.seenOpen {
			// Neither record, though one stood in the way: try once more later.
			return Op{}, unavailable
		}
		return Op{}, &Answer{Status: http.StatusNotFound}
	case Cancel:
		if res.Outcome == OK {
			return Op{}, &Answer{Status: http.StatusOK, Stage: Cancelled}
		}
		// It has ended meanwhile.
		if !r.mayRetry() {
			return Op{}, unavailable
		}
		return Op{Kind: ReadOpen, Job: r.job}, nil
	}
	return Op{}, unavailable
}

// mayRetry tells whether what has changed meanwhile is looked at once more.
func (r *Request) mayRetry() bool { r.tries++; return r.tries <= 2 }

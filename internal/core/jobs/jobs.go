// Package jobs answers users' requests about jobs from the state service's records. A request is a
// small state machine: it returns one store operation after the other until it has an answer.
//
// A job has an open record from its acceptance until it ends, and a final record ever after; one
// transaction replaces the former by the latter. So reading the open record and then the final one
// always finds the job: if it ends between the two reads, the second read finds it. The open record is
// written once and never changed, so its version can guard the transaction that ends the job.
//
// A submission that depends on other jobs is accepted by one transaction too. The transaction succeeds
// only if each dependency is still open as it was read, as far as the number of guards allows, or was
// read as done. If a dependency was read as cancelled, the job is stored as cancelled.
package jobs

import (
	"net/http"

	"honeylock/internal/core/model"
)

// Stage is the state of a job as reported to users.
type Stage string

// Stages of a job.
const (
	Queued    Stage = "queued"
	Running   Stage = "running"
	Done      Stage = "done"
	Cancelled Stage = "aborted"
)

// Ended reports whether the stage is final.
func (s Stage) Ended() bool { return s == Done || s == Cancelled }

// OpKind says what a store operation does.
type OpKind uint8

// Kinds of store operations.
const (
	ReadOpen    OpKind = iota
	ReadFinal          // the result's Stage says how the job ended
	Create             // write the open record (the final one if Stage is set) if the job has neither and Guards hold
	Cancel             // delete the open record if it has Version, and write the final one
	CompareOpen        // compare the open record's version with Version; many comparisons share one call
)

// Guard is a condition of a transaction: the job's open record has the version.
type Guard struct {
	Job     model.JobID
	Version uint64
}

// Op is a store operation on a job's records.
type Op struct {
	Kind    OpKind
	Job     model.JobID
	Version uint64
	Guards  []Guard // Create: the open dependencies
	Stage   Stage   // Create: Cancelled if a dependency is
}

// Outcome is how a store operation ended.
type Outcome uint8

// Outcomes of store operations.
const (
	OK       Outcome = iota
	Missing          // read: there is no such record
	Conflict         // transaction or comparison: a guard failed
	Failed           // refused, or it is not known whether it took effect
	Busy             // not sent, because the state service's rate is exhausted
)

// Result is the result of an operation.
type Result struct {
	Outcome Outcome
	Version uint64
	Stage   Stage // ReadFinal; CompareOpen with Conflict: how the job ended, if known
}

// Answer is the answer to the user.
type Answer struct {
	Status  int // HTTP status
	Stage   Stage
	Created bool // this request has created the job
	// UnknownDependency is a dependency that was never accepted; the status is 422.
	UnknownDependency model.JobID
	// RateLimited is set if the only reason for a 503 is that the state service's rate is exhausted.
	RateLimited bool
}

// Kind is the kind of a request.
type Kind uint8

// Kinds of requests.
const (
	Submit Kind = iota
	Poll
	Withdraw
)

// String returns the request's name in logs.
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
	tries    int  // how often it started over because records had changed
	seenOpen bool // the job's open record existed
	// believedEnded: the final record is read first, and its absence proves nothing.
	believedEnded bool
	dependencies  dependencies
	// dependencyUnknown: a dependency has neither record. It must still be checked whether this
	// repeats a submission that was accepted earlier.
	dependencyUnknown bool
}

// New starts a request about a job and returns its first operation. version is that of the job's open
// record if it is known, else 0. A poll with a version only checks whether the record still exists,
// because it is written once.
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

// NewEnded starts a poll or a cancellation of a job that is believed to have ended, and reads its
// final record first, so that one read answers it. When the state service's rate is scarce, a request
// that needs two reads may have its second one refused, start over with the first on each attempt, and
// never finish.
func NewEnded(k Kind, job model.JobID) (*Request, Op) {
	return &Request{kind: k, job: job, believedEnded: true}, Op{Kind: ReadFinal, Job: job}
}

var (
	unavailable = &Answer{Status: http.StatusServiceUnavailable}
	rateLimited = &Answer{Status: http.StatusServiceUnavailable, RateLimited: true}
)

// Next takes the result of an operation and returns the next operation or the answer.
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
		if res.Stage.Ended() { // the comparison already knows how the job ended
			return Op{}, &Answer{Status: http.StatusOK, Stage: res.Stage}
		}
		r.seenOpen = true // it was open earlier, so it has ended
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
			// The job has not ended, or it ended after this read. In the latter case its open record is
			// missing, and the final one is read again.
			r.believedEnded = false
			return Op{Kind: ReadOpen, Job: r.job}, nil
		}
		if r.dependencyUnknown {
			return Op{}, &Answer{Status: http.StatusUnprocessableEntity, UnknownDependency: r.dependencies.neverAccepted}
		}
		if r.kind == Submit && r.dependencies.exist() && r.mayRetry() {
			// A dependency has changed since it was read.
			return r.dependencies.restart(r.job), nil
		}
		if r.kind == Submit || r.seenOpen {
			// Neither record was found, though one existed a moment ago: the user must try again.
			return Op{}, unavailable
		}
		return Op{}, &Answer{Status: http.StatusNotFound}
	case Cancel:
		if res.Outcome == OK {
			return Op{}, &Answer{Status: http.StatusOK, Stage: Cancelled}
		}
		// The job has ended meanwhile.
		if !r.mayRetry() {
			return Op{}, unavailable
		}
		return Op{Kind: ReadOpen, Job: r.job}, nil
	}
	return Op{}, unavailable
}

// mayRetry counts a retry after records have changed, and reports whether it is allowed.
func (r *Request) mayRetry() bool { r.tries++; return r.tries <= 2 }

// Package jobs answers users from the state service's records. A request is a
// small state machine: it asks for one store operation after the other until
// it has an answer.
//
// A job is in the store under its open record from acceptance until it ends,
// and under its final record ever after; the step between is one transaction.
// So reading open, then final, always tells: a job that ends between the two
// reads is found by the second. The open record is written once and never
// changed, which lets its version guard the job's end.
package jobs

import "net/http"

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
	ReadOpen  OpKind = iota
	ReadFinal        // Stage tells it
	Create           // put open; guards: neither open nor final exists
	Cancel           // drop open at Version, put final
	StillOpen        // compare open with Version; many are compared in one call
)

// Op is a store operation.
type Op struct {
	Kind    OpKind
	Version uint64
}

// Outcome of a store operation.
type Outcome uint8

// Outcomes.
const (
	OK       Outcome = iota
	Missing          // read: no such key
	Conflict         // transaction or comparison: a guard failed
	Failed           // refused, or in doubt
)

// Result of an operation.
type Result struct {
	Outcome Outcome
	Version uint64
	Stage   Stage
}

// Answer to the user.
type Answer struct {
	Status  int
	Stage   Stage
	Created bool // the job has been accepted by this request
}

// Kind of request.
type Kind uint8

// Requests.
const (
	Submit Kind = iota
	Poll
	Withdraw
)

// Request is the state machine of one request.
type Request struct {
	kind  Kind
	tries int
	seen  bool // the open record
}

// New starts a request and returns its first operation. version is the open
// record's, if it has been seen, else 0: the record is written once, so a poll
// need only learn whether it is still there.
func New(k Kind, version uint64) (*Request, Op) {
	r := &Request{kind: k}
	if k == Submit {
		return r, Op{Kind: Create}
	}
	if k == Poll && version != 0 {
		return r, Op{Kind: StillOpen, Version: version}
	}
	return r, Op{Kind: ReadOpen}
}

var unavailable = &Answer{Status: http.StatusServiceUnavailable}

// Next takes the result of an operation and returns the next one or the answer.
func (r *Request) Next(op Op, res Result) (Op, *Answer) {
	if res.Outcome == Failed {
		return Op{}, unavailable
	}
	switch op.Kind {
	case Create:
		if res.Outcome == OK {
			return Op{}, &Answer{Status: http.StatusCreated, Stage: Queued, Created: true}
		}
		return Op{Kind: ReadOpen}, nil
	case StillOpen:
		if res.Outcome == OK {
			return Op{}, &Answer{Status: http.StatusOK, Stage: Queued}
		}
		r.seen = true // it was open, so it has ended
		return Op{Kind: ReadFinal}, nil
	case ReadOpen:
		if res.Outcome == Missing {
			return Op{Kind: ReadFinal}, nil
		}
		if r.kind == Withdraw {
			return Op{Kind: Cancel, Version: res.Version}, nil
		}
		return Op{}, &Answer{Status: http.StatusOK, Stage: Queued}
	case ReadFinal:
		if res.Outcome == OK {
			return Op{}, &Answer{Status: http.StatusOK, Stage: res.Stage}
		}
		if r.kind == Submit || r.seen {
			// Neither record, though one stood in the way: try once more later.
			return Op{}, unavailable
		}
		return Op{}, &Answer{Status: http.StatusNotFound}
	case Cancel:
		if res.Outcome == OK {
			return Op{}, &Answer{Status: http.StatusOK, Stage: Cancelled}
		}
		// It has ended meanwhile.
		if r.tries++; r.tries > 2 {
			return Op{}, unavailable
		}
		return Op{Kind: ReadOpen}, nil
	}
	return Op{}, unavailable
}

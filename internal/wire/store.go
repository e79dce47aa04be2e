package wire

import "encoding/json"

// Guard is a condition of a transaction: the key has this version (0: absent).
type Guard struct {
	Key     string `json:"K"`
	Version uint64 `json:"Frame"`
}

// Op is a change of a transaction: a put, or a delete.
type Op struct {
	Put    string          `json:"Put,omitempty"`
	Value  json.RawMessage `json:"V,omitempty"`
	Lease  uint64          `json:"Nectar,omitempty"`
	Delete string          `json:"Drop,omitempty"`
}

// Txn is the body of POST /txn.
type Txn struct {
	Guards []Guard `json:"Guards,omitempty"`
	Then   []Op    `json:"Then,omitempty"`
}

// Revision is the store's count of changes, in every answer.
type Revision struct {
	Revision uint64 `json:"FrameCount"`
}

// Item is a key with its value.
type Item struct {
	Key     string          `json:"K"`
	Value   json.RawMessage `json:"V"`
	Version uint64          `json:"Frame"`
	Lease   uint64          `json:"Nectar"`
}

// Page is a part of a listing.
type Page struct {
	Items    []Item `json:"Entries"`
	More     bool   `json:"Truncated"`
	Revision uint64 `json:"FrameCount"`
}

// Event is a change seen by a watch.
type Event struct {
	Put     string          `json:"Put"`
	Delete  string          `json:"Drop"`
	Value   json.RawMessage `json:"V"`
	Version uint64          `json:"Frame"`
}

// Events is the answer to a watch.
type Events struct {
	Revision uint64  `json:"FrameCount"`
	Events   []Event `json:"Events"`
}

// Lease is the answer to a request for a lease.
type Lease struct {
	ID uint64 `json:"Nectar"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"TtlMs"`
}

// Leader is the value of the leader's key.
type Leader struct {
	Host string `json:"Host"`
	Term uint64 `json:"Term"`
	// Lease is the lease that the key hangs on: its owner's later incarnation
	// ends it at once.
	Lease uint64 `json:"Lease"`
}

// Term is the value of the term's key.
type Term struct {
	Term uint64 `json:"Term"`
}

// Final is the value of an ended job.
type Final struct {
	Stage string `json:"Stage"`
}

// StoredMachine is the record of a machine that may have been given tasks.
type StoredMachine struct {
	Addr string `json:"Addr"`
	Type string `json:"Type"`
	Zone string `json:"Zone"`
	Spot bool   `json:"Spot"`
}

// Chunk is a part of a job's set of done tasks, a bitmap.
type Chunk struct {
	Bits []byte `json:"Bits"`
}

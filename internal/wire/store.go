package wire

import (
	"fmt"
	"slices"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/core/model"
)

// Guard is a condition of a transaction: the key must have this version (0: absent).
type Guard struct {
	Key     string `json:"K"`
	Version uint64 `json:"Frame"`
}

// Op is one change in a transaction: a put or a delete.
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

// FailedGuards is the answer to a transaction with failed guards.
type FailedGuards struct {
	Keys []string `json:"failed"`
}

// Revision is the store's count of changes, which every answer has.
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

// Page is one page of a listing.
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
	// Lease is the lease that the key is attached to. After a restart its owner ends
	// it at once.
	Lease uint64 `json:"Lease"`
}

// Term is the value of the key that holds the current term.
type Term struct {
	Term uint64 `json:"Term"`
}

// Final is the stored record of an ended job.
type Final struct {
	Stage string `json:"Stage"`
	AtMS  int64  `json:"AtMs,omitempty"` // Unix time of the end; 0 in records of release 0.4 and earlier
}

// MachineBlock is the stored record of a block of machines that may have been assigned
// tasks. Machines refer to Types and Zones by index, so that each name is stored once.
type MachineBlock struct {
	Types    []string        `json:"Types"`
	Zones    []string        `json:"Zones"`
	Machines []StoredMachine `json:"Machines"`
}

// StoredMachine is one machine of a MachineBlock.
type StoredMachine struct {
	Name string `json:"N"`
	Addr string `json:"A"`
	Type int    `json:"T"`
	Zone int    `json:"Z"`
	Spot bool   `json:"S,omitempty"`
}

// EncodeMachines returns the stored record of a block of machines.
func EncodeMachines(machines []model.Machine, n *Names) MachineBlock {
	block := MachineBlock{Machines: make([]StoredMachine, 0, len(machines))}
	index := func(list *[]string, name string) int {
		i := slices.Index(*list, name)
		if i < 0 {
			i = len(*list)
			*list = append(*list, name)
		}
		return i
	}
	for i := range machines {
		m := &machines[i]
		block.Machines = append(block.Machines, StoredMachine{Name: MachineName(m.ID), Addr: m.Addr,
			Type: index(&block.Types, n.Types.Name(m.Type)),
			Zone: index(&block.Zones, n.Zones.Name(m.Zone)), Spot: m.Spot})
	}
	return block
}

// Decode returns the machines of a block.
func (b *MachineBlock) Decode(n *Names) ([]model.Machine, error) {
	out := make([]model.Machine, 0, len(b.Machines))
	for _, stored := range b.Machines {
		id, err := ParseMachine(stored.Name)
		if err != nil {
			return nil, err
		}
		if stored.Type < 0 || stored.Type >= len(b.Types) || stored.Zone < 0 || stored.Zone >= len(b.Zones) {
			return nil, fmt.Errorf("record of %s: type or zone out of range", stored.Name)
		}
		out = append(out, model.Machine{ID: id, Addr: stored.Addr, Type: n.Types.ID(b.Types[stored.Type]),
			Zone: n.Zones.ID(b.Zones[stored.Zone]), Spot: stored.Spot})
	}
	return out, nil
}

// Chunk is the stored record of a range of a job's tasks: a bitmap of those that are
// done. Bits starts at the task that the number in the key stands for. A job that does
// not fit into one record uses Part instead, which starts at the task From. A leader of
// release 0.4 ignores Part and reads such a record as empty, which is safe.
type Chunk struct {
	Bits []byte `json:"Bits,omitempty"`
	Part []byte `json:"Part,omitempty"`
	From int32  `json:"From,omitempty"`
}

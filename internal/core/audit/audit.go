// Package audit records operators' changes: who made them, when, what and with which outcome. The
// space is bounded. A change that is repeated under the same request ID is answered from its record
// and not made again. It is a state machine of the leader, without input or output.
package audit

import (
	"cmp"
	"slices"
)

// Entry is the record of one change, made or refused.
type Entry struct {
	V       int    `json:"v"`
	Seq     uint64 `json:"seq"`
	AtMS    int64  `json:"at_ms"` // time of day, for people
	Who     string `json:"who"`
	Request string `json:"request"` // ID chosen by the caller
	Digest  string `json:"digest"`  // of the request's content
	What    string `json:"what"`    // such as drain apply
	Name    string `json:"name"`
	Status  int    `json:"status"` // HTTP status
	Outcome string `json:"outcome"`

	stored bool
}

// EntryVersion is the version of stored entries.
const EntryVersion = 1

// Log is the state machine. It keeps the newest entries, one in each storage slot.
type Log struct {
	slots     uint64
	nextSeq   uint64
	entries   []*Entry // oldest first, at most slots
	byRequest map[string]*Entry
}

// New returns a Log with a number of storage slots, and so of entries.
func New(slots int) *Log {
	return &Log{slots: uint64(slots), nextSeq: 1, byRequest: map[string]*Entry{}}
}

// Load adds a stored entry. Of an entry written by a newer release, the known fields are kept.
func (l *Log) Load(e Entry) {
	if e.Seq == 0 {
		return
	}
	e.stored = true
	i, there := slices.BinarySearchFunc(l.entries, &e, func(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	if there {
		return
	}
	l.entries = slices.Insert(l.entries, i, &e)
	l.byRequest[e.Request] = &e
	l.nextSeq = max(l.nextSeq, e.Seq+1)
	l.trim()
}

// trim drops the oldest entries, whose slots newer entries use.
func (l *Log) trim() {
	for len(l.entries) > 0 && l.nextSeq-l.entries[0].Seq > l.slots {
		old := l.entries[0]
		l.entries = l.entries[1:]
		if l.byRequest[old.Request] == old {
			delete(l.byRequest, old.Request)
		}
	}
}

// ByRequest returns the entry of a request ID, nil if there is none.
func (l *Log) ByRequest(request string) *Entry { return l.byRequest[request] }

// Add adds a new entry, which has still to be stored.
func (l *Log) Add(e Entry) *Entry {
	e.V, e.Seq, e.stored = EntryVersion, l.nextSeq, false
	l.nextSeq++
	l.entries = append(l.entries, &e)
	l.byRequest[e.Request] = &e
	l.trim()
	return &e
}

// Slot returns the storage slot of an entry.
func (l *Log) Slot(e *Entry) uint64 { return e.Seq % l.slots }

// Unstored returns at most n entries that are not known to be stored and whose Name is accepted by
// about, the oldest first.
func (l *Log) Unstored(n int, about func(name string) bool) []*Entry {
	var out []*Entry
	for _, e := range l.entries {
		if len(out) >= n {
			break
		}
		if !e.stored && about(e.Name) {
			out = append(out, e)
		}
	}
	return out
}

// MarkStored records that an entry is certainly stored.
func (l *Log) MarkStored(e *Entry) { e.stored = true }

// IsStored reports whether an entry is certainly stored.
func (l *Log) IsStored(e *Entry) bool { return e.stored }

// List returns at most n entries, the newest first.
func (l *Log) List(n int) []Entry {
	var out []Entry
	for i := len(l.entries) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, *l.entries[i])
	}
	return out
}

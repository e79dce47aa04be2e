// Package audit keeps what operators changed: who, when, what and with what
// outcome, in bounded space, so that a change repeated under its request's id is
// answered and not made again. It is a state machine of the leader's.
package audit

import (
	"cmp"
	"slices"
)

// Entry is one change, made or refused.
type Entry struct {
	V       int    `json:"v"`
	Seq     uint64 `json:"seq"`
	AtMS    int64  `json:"at_ms"` // time of day, for people
	Who     string `json:"who"`
	Request string `json:"request"` // the asker's id
	Digest  string `json:"digest"`  // of what was asked
	What    string `json:"what"`    // such as drain apply
	Name    string `json:"name"`
	Status  int    `json:"status"` // as HTTP has it
	Outcome string `json:"outcome"`

	stored bool
}

// EntryVersion of stored entries.
const EntryVersion = 1

// Log is the state machine.
type Log struct {
	slots     uint64
	nextSeq   uint64
	entries   []*Entry // oldest first, at most slots
	byRequest map[string]*Entry
}

// New returns a log of so many entries.
func New(slots int) *Log {
	return &Log{slots: uint64(slots), nextSeq: 1, byRequest: map[string]*Entry{}}
}

// Load takes a stored entry. What a newer release wrote is kept as far as it is
// understood.
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

// trim forgets the oldest entries; their slots are written anew.
func (l *Log) trim() {
	for len(l.entries) > 0 && l.nextSeq-l.entries[0].Seq > l.slots {
		old := l.entries[0]
		l.entries = l.entries[1:]
		if l.byRequest[old.Request] == old {
			delete(l.byRequest, old.Request)
		}
	}
}

// ByRequest returns the entry of a request, nil if it is not known.
func (l *Log) ByRequest(request string) *Entry { return l.byRequest[request] }

// Add takes a new entry, to be stored.
func (l *Log) Add(e Entry) *Entry {
	e.V, e.Seq, e.stored = EntryVersion, l.nextSeq, false
	l.nextSeq++
	l.entries = append(l.entries, &e)
	l.byRequest[e.Request] = &e
	l.trim()
	return &e
}

// Slot is where an entry is stored.
func (l *Log) Slot(e *Entry) uint64 { return e.Seq % l.slots }

// Unstored returns at most n entries about a name that are not known to be
// stored, the oldest first.
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

// MarkStored tells that an entry is surely stored.
func (l *Log) MarkStored(e *Entry) { e.stored = true }

// IsStored tells whether an entry is surely stored.
func (l *Log) IsStored(e *Entry) bool { return e.stored }

// List returns the newest entries, at most n, the newest first.
func (l *Log) List(n int) []Entry {
	var out []Entry
	for i := len(l.entries) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, *l.entries[i])
	}
	return out
}

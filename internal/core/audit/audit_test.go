package audit

import "testing"

// A new leader that loads the stored entries knows the outcomes of earlier requests, keeps only as
// many entries as there are slots, and continues their numbering.
func TestNewLeaderLoadsStoredEntries(t *testing.T) {
	l, stored := New(4), map[uint64]Entry{}
	for _, r := range []string{"a", "b", "c", "d", "e", "f"} {
		e := l.Add(Entry{Request: r, Name: "p", Outcome: "did " + r})
		for _, u := range l.Unstored(9, func(string) bool { return true }) {
			stored[l.Slot(u)] = *u
			l.MarkStored(u)
		}
		if !l.IsStored(e) {
			t.Fatal("not stored")
		}
	}
	next := New(4)
	for _, e := range stored {
		next.Load(e)
	}
	if len(stored) != 4 || next.ByRequest("a") != nil || next.ByRequest("f") == nil ||
		next.ByRequest("f").Outcome != "did f" ||
		!next.IsStored(next.ByRequest("f")) {
		t.Errorf("%v", stored)
	}
	if e := next.Add(Entry{Request: "g"}); e.Seq != 7 || next.ByRequest("c") != nil || len(next.List(9)) != 4 ||
		next.List(1)[0].Request != "g" {
		t.Errorf("%+v of %+v", e, next.List(9))
	}
	if u := next.Unstored(9, func(string) bool { return true }); len(u) != 1 || u[0].Request != "g" {
		t.Errorf("%v are to be stored", u)
	}
}

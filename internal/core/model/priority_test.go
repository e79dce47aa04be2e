package model

import "testing"

// Best-effort jobs that have waited longest must not go first and fill the cluster while jobs with
// an objective of minutes wait behind them.
func TestBestEffortComesAfterSamePrice(t *testing.T) {
	withObjective, bestEffort, higherRank := Spec{Rank: Idle}, Spec{Rank: Idle, BestEffort: true},
		Spec{Rank: Standard, BestEffort: true}
	if g, a := bestEffort.Priority(1)*300, withObjective.Priority(1)*30; g >= a {
		t.Errorf("priority times wait: %v after 300 s without an objective, %v after 30 s with one", g, a)
	}
	if h, a := higherRank.Priority(10)*30, withObjective.Priority(1)*30; h < a {
		t.Errorf("a higher rank (%v) waits behind a lower one (%v)", h, a)
	}
}

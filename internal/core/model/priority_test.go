package model

import "testing"

// Guests' jobs that no aim speaks of had waited longest, so they went first and
// filled a whole cluster, while work to be done in minutes waited behind them.
func TestBestEffortComesAfterSamePrice(t *testing.T) {
	withObjective, bestEffort, higherRank := Spec{Rank: Idle}, Spec{Rank: Idle, BestEffort: true},
		Spec{Rank: Standard, BestEffort: true}
	if g, a := bestEffort.Priority(1)*300, withObjective.Priority(1)*30; g >= a {
		t.Errorf("priority times wait: %v after 300 s without an aim, %v after 30 s with one", g, a)
	}
	if h, a := higherRank.Priority(10)*30, withObjective.Priority(1)*30; h < a {
		t.Errorf("a higher rank (%v) waits behind a lower one (%v)", h, a)
	}
}

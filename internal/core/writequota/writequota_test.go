package writequota

import (
	"testing"
	"time"
)

// Operators' records give way to finals, but a busy day must not starve them: a
// plan that is never stored is never begun.
func TestRecordsGiveWayButNotForEver(t *testing.T) {
	b := New(4, 8)
	b.Spend(0, FinalRecords, 5)
	if f, r := b.Available(0, FinalRecords), b.Available(0, OperatorRecords); f != 3 || r != 0 {
		t.Fatalf("finals %d, records %d", f, r)
	}
	b.MarkBlocked(0, OperatorRecords)
	now := time.Duration(0)
	for b.Available(now, OperatorRecords) == 0 {
		now += 250 * time.Millisecond
		b.Spend(now, FinalRecords, b.Available(now, FinalRecords)-1) // a busy day: one is always left over
		if now > time.Minute {
			t.Fatal("records wait for ever")
		}
	}
	if w := b.BlockedFor(now, OperatorRecords); now < patience || w < patience {
		t.Errorf("taken at %v, told to have waited %v", now, w)
	}
	b.Spend(now, OperatorRecords, 1)
	if b.BlockedFor(now, OperatorRecords) != 0 {
		t.Error("still told to wait")
	}
}

// A write of several changes counts as what it is: after one that overdraws, nothing
// is left until the rate has made up for it.
func TestOverdrawnBudgetWaitsForItsRate(t *testing.T) {
	b := New(4, 8)
	b.Spend(0, FinalRecords, 7)
	b.Spend(0, FinalRecords, 3)
	if n := b.Available(0, FinalRecords); n != 0 {
		t.Fatalf("%d left of an overdrawn budget", n)
	}
	if n := b.Available(500*time.Millisecond, FinalRecords); n != 0 {
		t.Errorf("%d left while the overdraft is made up for", n)
	}
	if n := b.Available(time.Second, FinalRecords); n != 2 {
		t.Errorf("%d left a second later, want 4 less the 2 overdrawn", n)
	}
}

// A leader that always has progress to store leaves some of its changes to an operator's
// record all the same: at the peak of a fleet a team's limit took 40 s and more to change.
func TestRecordsAreStoredBesideProgress(t *testing.T) {
	const tick = 100 * time.Millisecond
	b := New(12, 12)
	for now := tick; now < patience+time.Second; now += tick {
		if n := b.Available(now, Progress); n > 0 {
			b.Spend(now, Progress, n)
		}
		if b.Available(now, OperatorRecords) > 0 {
			return
		}
		b.MarkBlocked(now, OperatorRecords)
	}
	t.Errorf("nothing was left to records for %v", patience+time.Second)
}

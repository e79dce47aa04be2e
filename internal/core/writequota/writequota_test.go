package writequota

import (
	"testing"
	"time"
)

// Operators' records give way to finals, but a busy day must not starve them: a
// plan that is never stored is never begun.
func TestOperatorRecordsYieldButAreNotStarved(t *testing.T) {
	quota := New(4, 8)
	quota.Spend(0, FinalRecords, 5)
	if f, r := quota.Available(0, FinalRecords), quota.Available(0, OperatorRecords); f != 3 || r != 0 {
		t.Fatalf("finals %d, records %d", f, r)
	}
	quota.MarkBlocked(0, OperatorRecords)
	now := time.Duration(0)
	for quota.Available(now, OperatorRecords) == 0 {
		now += 250 * time.Millisecond
		quota.Spend(now, FinalRecords, quota.Available(now, FinalRecords)-1) // a busy day: one is always left over
		if now > time.Minute {
			t.Fatal("records wait for ever")
		}
	}
	if w := quota.BlockedFor(now, OperatorRecords); now < maxRecordsWait || w < maxRecordsWait {
		t.Errorf("taken at %v, told to have waited %v", now, w)
	}
	quota.Spend(now, OperatorRecords, 1)
	if quota.BlockedFor(now, OperatorRecords) != 0 {
		t.Error("still told to wait")
	}
}

// A write of several changes counts as what it is: after one that overdraws, nothing
// is left until the rate has made up for it.
func TestOverdrawnQuotaRecoversAtItsRate(t *testing.T) {
	quota := New(4, 8)
	quota.Spend(0, FinalRecords, 7)
	quota.Spend(0, FinalRecords, 3)
	if n := quota.Available(0, FinalRecords); n != 0 {
		t.Fatalf("%d left of an overdrawn budget", n)
	}
	if n := quota.Available(500*time.Millisecond, FinalRecords); n != 0 {
		t.Errorf("%d left while the overdraft is made up for", n)
	}
	if n := quota.Available(time.Second, FinalRecords); n != 2 {
		t.Errorf("%d left a second later, want 4 less the 2 overdrawn", n)
	}
}

// A leader that always has progress to store leaves some of its changes to an operator's
// record all the same: at the peak of a fleet a team's limit took 40 s and more to change.
func TestProgressLeavesQuotaToOperatorRecords(t *testing.T) {
	const tick = 100 * time.Millisecond
	quota := New(12, 12)
	for now := tick; now < maxRecordsWait+time.Second; now += tick {
		if n := quota.Available(now, Progress); n > 0 {
			quota.Spend(now, Progress, n)
		}
		if quota.Available(now, OperatorRecords) > 0 {
			return
		}
		quota.MarkBlocked(now, OperatorRecords)
	}
	t.Errorf("nothing was left to records for %v", maxRecordsWait+time.Second)
}

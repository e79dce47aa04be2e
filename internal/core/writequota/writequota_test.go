package writequota

import (
	"testing"
	"time"
)

// Operators' records yield to final records, but a busy leader must not starve them: a plan that is
// never stored never starts.
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
		quota.Spend(now, FinalRecords, quota.Available(now, FinalRecords)-1) // a busy leader: one change is always left
		if now > time.Minute {
			t.Fatal("operators' records are starved")
		}
	}
	if w := quota.BlockedFor(now, OperatorRecords); now < maxRecordsWait || w < maxRecordsWait {
		t.Errorf("available at %v after waiting %v", now, w)
	}
	quota.Spend(now, OperatorRecords, 1)
	if quota.BlockedFor(now, OperatorRecords) != 0 {
		t.Error("still blocked after a write")
	}
}

// A write counts by its number of changes. After one that exceeds the quota nothing is available until
// the rate has made up for it.
func TestOverdrawnQuotaRecoversAtItsRate(t *testing.T) {
	quota := New(4, 8)
	quota.Spend(0, FinalRecords, 7)
	quota.Spend(0, FinalRecords, 3)
	if n := quota.Available(0, FinalRecords); n != 0 {
		t.Fatalf("%d available from an overdrawn quota", n)
	}
	if n := quota.Available(500*time.Millisecond, FinalRecords); n != 0 {
		t.Errorf("%d available before the overdraft is made up for", n)
	}
	if n := quota.Available(time.Second, FinalRecords); n != 2 {
		t.Errorf("%d available after a second, want 4 less the 2 overdrawn", n)
	}
}

// A leader that always has progress to write must leave some changes to operators' records. Otherwise
// a change of a team's limit took 40 s and more while a large cluster was busy.
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
	t.Errorf("operators' records were blocked for %v", maxRecordsWait+time.Second)
}

package quota

import (
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
)

var wall = time.Date(2026, 11, 26, 12, 0, 0, 0, time.UTC)

// teams returns the platform's teams.
func teams() []dispatcher.Team {
	return []dispatcher.Team{{Limit: model.Capacity(100, 0, 0), Guarantee: model.Capacity(40, 0, 0)}, {}}
}

// cpus returns an amount of CPUs in thousandths.
func cpus(n float64) *int64 { v := int64(n * 1000); return &v }

// A change takes effect once it is stored, even if answers are lost. The next leader applies it, until
// it expires or is unset.
func TestChangeTakesEffectOnceStored(t *testing.T) {
	overrides := New(teams())
	if err := overrides.Set(wall, 0, Change{LimitCPU: cpus(50), UntilMS: wall.Add(time.Hour).UnixMilli(),
		By: "ops"}); err != nil {
		t.Fatal(err)
	}
	writes := overrides.Writes(9)
	if len(writes) != 1 || overrides.Synced(0) || overrides.Team(0, wall).Limit.CPU != 100_000 {
		t.Fatalf("%+v: it takes effect before it is stored", writes)
	}
	overrides.WriteDone(writes[0], 0, false, false, 0) // stored at version 7, but the answer is lost
	writes = overrides.Writes(9)
	overrides.WriteDone(writes[0], 0, false, true, 7)
	writes = overrides.Writes(9)
	if writes[0].Version != 7 {
		t.Fatalf("%+v", writes)
	}
	overrides.WriteDone(writes[0], 8, true, false, 0)
	if !overrides.Synced(0) || overrides.Team(0, wall).Limit.CPU != 50_000 || len(overrides.Writes(9)) > 0 {
		t.Fatalf("%+v", overrides.Team(0, wall))
	}
	next := New(teams())
	next.Load(0, writes[0].Value, 8)
	if got := next.Team(0, wall); got.Limit.CPU != 50_000 || got.Guarantee.CPU != 40_000 {
		t.Errorf("the next leader has %+v", got)
	}
	later := wall.Add(2 * time.Hour)
	if got := next.Team(0, later); got.Limit.CPU != 100_000 {
		t.Errorf("%+v after it has expired", got)
	}
	next.Expire(later)
	if writes := next.Writes(9); len(writes) != 1 || writes[0].Value != nil || writes[0].Version != 8 {
		t.Errorf("%+v, want the record deleted", writes)
	}
	if err := overrides.Unset(0); err != nil || overrides.Team(0, wall).Limit.CPU != 50_000 {
		t.Errorf("%v, %+v before it is stored", err, overrides.Team(0, wall))
	}
	writes = overrides.Writes(9)
	overrides.WriteDone(writes[0], 9, true, false, 0)
	if got := overrides.Team(0, wall); got.Limit.CPU != 100_000 || overrides.Unset(0) != nil ||
		len(overrides.Writes(9)) > 0 {
		t.Errorf("%+v", got)
	}
}

// Limits above the platform's, guarantees above limits, times in the past and changes of a newer release's
// record are refused.
func TestInvalidChangesAreRefused(t *testing.T) {
	for why, c := range map[string]Change{
		"limit_cpus: 101 is above the platform's limit of 100": {LimitCPU: cpus(101)},
		"guarantee_cpus: 40 is above the limit of 30":          {LimitCPU: cpus(30)},
		"guarantee_cpus: 110 is above the limit of 100":        {GuaranteeCPU: cpus(110)},
		"until: 2026-11-26T11:00:00Z is over": {LimitCPU: cpus(60),
			UntilMS: wall.Add(-time.Hour).UnixMilli()},
	} {
		overrides := New(teams())
		if err := overrides.Set(wall, 0, c); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%v, want %q", err, why)
		}
		if len(overrides.Writes(9)) > 0 {
			t.Errorf("%s: something is to be stored", why)
		}
	}
	overrides := New(teams())
	overrides.Load(1, []byte(`{"v":2}`), 5)
	if err := overrides.Set(wall, 1, Change{LimitCPU: cpus(9)}); err == nil ||
		!strings.Contains(err.Error(), "newer release") {
		t.Errorf("%v", err)
	}
	if overrides.Unset(1) == nil || len(overrides.Writes(9)) > 0 {
		t.Error("a newer release's record is changed")
	}
}

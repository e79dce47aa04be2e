package cancellog

import (
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

const s = time.Second

// The view becomes as recent as the coverage that ends first. It stays as it is if a coverage leaves a
// gap after the view.
func TestViewIsAsRecentAsOldestCoverage(t *testing.T) {
	for name, c := range map[string]struct {
		coverages []Coverage
		want      time.Duration
	}{
		"all are known":            {[]Coverage{{0, 30 * s}, {5 * s, 28 * s}}, 28 * s},
		"no other controllers":     {nil, 40 * s},
		"one ends before the view": {[]Coverage{{0, 30 * s}, {0, 12 * s}}, 20 * s},
		"one began after the view": {[]Coverage{{0, 30 * s}, {21 * s, 30 * s}}, 20 * s},
		"one began with the view":  {[]Coverage{{20 * s, 30 * s}}, 30 * s},
		"one is not known at all":  {[]Coverage{{}, {0, 30 * s}}, 20 * s},
	} {
		var v OpenJobsView
		v.Read(20 * s)
		v.ApplyCoverage(40*s, c.coverages)
		if v.ValidUntil(0) != c.want {
			t.Errorf("%s: %v, want %v", name, v.ValidUntil(0), c.want)
		}
	}
	// A view that was never read is not valid.
	var none OpenJobsView
	none.ApplyCoverage(40*s, nil)
	if none.ValidUntil(30*s) != 0 {
		t.Errorf("valid until %v before anything was read", none.ValidUntil(30*s))
	}
	// The view does not get older; only a read of the state service closes a gap.
	var v OpenJobsView
	v.Read(20 * s)
	v.ApplyCoverage(40*s, []Coverage{{0, 39 * s}})
	v.ApplyCoverage(50*s, []Coverage{{45 * s, 50 * s}})
	if v.ValidUntil(0) != 39*s {
		t.Errorf("a coverage from after the gap made it %v", v.ValidUntil(0))
	}
	v.Read(46 * s)
	v.ApplyCoverage(50*s, []Coverage{{45 * s, 50 * s}})
	if v.ValidUntil(0) != 50*s {
		t.Errorf("%v once the gap is closed", v.ValidUntil(0))
	}
}

// A log returns each acknowledged job once, and drops old entries, which moves its start.
func TestLogReturnsEntriesOnceAndItsStart(t *testing.T) {
	l := NewLog(3 * s)
	for i, job := range []model.JobID{7, 8, 7} {
		l.Acknowledge(4*s+time.Duration(i)*time.Minute, job)
	}
	jobs, next := l.EntriesFrom(0)
	if !slices.Equal(jobs, []model.JobID{7, 8}) || l.CompleteSince() != 3*s {
		t.Fatalf("%v since %v", jobs, l.CompleteSince())
	}
	if again, _ := l.EntriesFrom(next); len(again) != 0 {
		t.Errorf("returned %v again", again)
	}
	l.Acknowledge(4*s+retention+s, 9) // the first entry is too old
	if jobs, next = l.EntriesFrom(next); !slices.Equal(jobs, []model.JobID{9}) || l.CompleteSince() <= 4*s {
		t.Errorf("%v since %v", jobs, l.CompleteSince())
	}
	if jobs, _ = l.EntriesFrom(0); !slices.Equal(jobs, []model.JobID{8, 9}) || next != 3 {
		t.Errorf("%v for all entries, next %d", jobs, next)
	}
}

// A job that was reported as cancelled stays so until a read that was sent after the report.
func TestCancelledJobIsKeptUntilLaterRead(t *testing.T) {
	var v OpenJobsView
	v.Read(10 * s)
	if !v.AddCancelled(20*s, 7) || v.AddCancelled(21*s, 7) || !v.IsCancelled(7) || v.IsCancelled(8) {
		t.Error("a cancellation must be added once, for its job only")
	}
	v.Read(19 * s) // sent before the cancellation was reported: it may have shown the job as open
	if !v.IsCancelled(7) {
		t.Error("the cancelled job was dropped too early")
	}
	v.Read(21 * s)
	if v.IsCancelled(7) {
		t.Error("the cancelled job is never dropped")
	}
}

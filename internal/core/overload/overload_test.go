package overload

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The larger the lag, the more is refused: polls before changes. The process's own work is reduced,
// but never to zero.
func TestRequestsAreRefusedByLag(t *testing.T) {
	for _, c := range []struct {
		lag                time.Duration
		polls, change      bool
		minCount, maxCount int
	}{
		{0, true, true, 48, 48},
		{minLag, true, true, 48, 48},
		{200 * ms, true, true, 10, 30},
		{300 * ms, false, true, 5, 20},
		{time.Second, false, false, 4, 4},
		{time.Hour, false, false, 4, 4},
	} {
		var d Detector
		d.RecordDelay(time.Second, c.lag)
		if got := d.Admits(time.Second, Poll); got != c.polls {
			t.Errorf("lag %v: polls admitted: %v", c.lag, got)
		}
		if got := d.Admits(time.Second, Change); got != c.change {
			t.Errorf("lag %v: changes admitted: %v", c.lag, got)
		}
		if got := d.Scale(time.Second, 48); got < c.minCount || got > c.maxCount {
			t.Errorf("lag %v: %d at a time, want %d to %d", c.lag, got, c.minCount, c.maxCount)
		}
	}
}

// Once timers fire in time again, everything is admitted within a few seconds, however long the
// process was stopped.
func TestLagRecovers(t *testing.T) {
	var d Detector
	d.RecordDelay(time.Second, time.Minute)
	for now := time.Second; now < 4*time.Second; now += 50 * ms {
		d.RecordDelay(now, 2*ms)
	}
	if now := 4 * time.Second; !d.Admits(now, Poll) || d.Scale(now, 48) != 48 {
		t.Errorf("3 s later the lag is still %v", d.Lag(now))
	}
}

// Callers of refused requests must not all retry at the same time.
func TestRetryTimesAreSpread(t *testing.T) {
	var d Detector
	d.RecordDelay(0, time.Second)
	if lo, hi := d.RetryAfter(0, 0), d.RetryAfter(0, 1); lo < time.Second || hi-lo < 2*time.Second {
		t.Errorf("retry after %v to %v", lo, hi)
	}
}

// Package overload judges from a timer's lateness how far this process is behind what
// is asked of it, and what it should leave for that. It is a state machine without
// input or output; times are the steady clock's.
//
// A controller has a small part of one core. What it can't serve in time waits in its
// sockets and its run queue, and everything waits behind it: renewals, grants, the
// workers' reports, whose senders give up and ask another controller, which is as far
// behind. So what can wait is turned away the earlier the further behind it is, and
// what the controller does of its own accord is done less at a time.
package overload

import (
	"math"
	"time"
)

// Kind of what may be turned away.
type Kind uint8

// Kinds, what is turned away first first. Reports, grants and renewals never are.
const (
	Poll   Kind = iota // how a job stands: asked again a little later in any case
	Change             // a submission or cancellation: tried again for a minute
)

const (
	// minLag is the lateness below which nothing is left undone.
	minLag = 80 * time.Millisecond
	// lagHalfLife is how long until a lateness that does not recur counts for half.
	lagHalfLife = 400 * time.Millisecond
	// refusePollsAt and changesAt: from this lateness on they are turned away.
	refusePollsAt   = 250 * time.Millisecond
	refuseChangesAt = 700 * time.Millisecond
	maxLag          = 3 * time.Second
)

// Detector is the state machine.
type Detector struct {
	peakLag    time.Duration // decaying peak of the lateness
	recordedAt time.Duration
}

// RecordDelay takes how late a timer fired, now.
func (d *Detector) RecordDelay(now, delay time.Duration) {
	d.peakLag = min(maxLag, max(delay, d.Lag(now)))
	d.recordedAt = now
}

// Lag is how far behind this process is.
func (d *Detector) Lag(now time.Duration) time.Duration {
	return time.Duration(float64(d.peakLag) * math.Exp2(-float64(max(0, now-d.recordedAt))/float64(lagHalfLife)))
}

// Admits tells whether a request of a kind is worth starting: it would be answered
// before its asker has given up.
func (d *Detector) Admits(now time.Duration, k Kind) bool {
	if k == Poll {
		return d.Lag(now) < refusePollsAt
	}
	return d.Lag(now) < refuseChangesAt
}

// RetryAfter is after how long somebody who was turned away should ask again: the longer,
// the further behind this process is. spread, from 0 to 1, sets askers apart.
func (d *Detector) RetryAfter(now time.Duration, spread float64) time.Duration {
	lag := d.Lag(now)
	return time.Second + time.Duration(float64(3*lag)*(0.5+spread))
}

// Scale is how much of up to most things at a time this process should do of its own
// accord: all while it is not behind, then in proportion less, but always some.
func (d *Detector) Scale(now time.Duration, limit int) int {
	lag := d.Lag(now)
	if lag <= minLag {
		return limit
	}
	return max(1, limit/12, int(int64(limit)*int64(minLag)/int64(lag)))
}

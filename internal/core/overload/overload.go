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
	// eased is the lateness below which nothing is left undone.
	eased = 80 * time.Millisecond
	// half is how long until a lateness that does not recur counts for half.
	half = 400 * time.Millisecond
	// pollsAt and changesAt: from this lateness on they are turned away.
	pollsAt   = 250 * time.Millisecond
	changesAt = 700 * time.Millisecond
	mostLate  = 3 * time.Second
)

// Detector is the state machine.
type Detector struct {
	lag time.Duration // decaying peak of the lateness
	at  time.Duration
}

// RecordDelay takes how late a timer fired, now.
func (s *Detector) RecordDelay(now, by time.Duration) {
	s.lag = min(mostLate, max(by, s.Lag(now)))
	s.at = now
}

// Lag is how far behind this process is.
func (s *Detector) Lag(now time.Duration) time.Duration {
	return time.Duration(float64(s.lag) * math.Exp2(-float64(max(0, now-s.at))/float64(half)))
}

// Admits tells whether a request of a kind is worth starting: it would be answered
// before its asker has given up.
func (s *Detector) Admits(now time.Duration, k Kind) bool {
	if k == Poll {
		return s.Lag(now) < pollsAt
	}
	return s.Lag(now) < changesAt
}

// RetryAfter is after how long somebody who was turned away should ask again: the longer,
// the further behind this process is. spread, from 0 to 1, sets askers apart.
func (s *Detector) RetryAfter(now time.Duration, spread float64) time.Duration {
	lag := s.Lag(now)
	return time.Second + time.Duration(float64(3*lag)*(0.5+spread))
}

// Scale is how much of up to most things at a time this process should do of its own
// accord: all while it is not behind, then in proportion less, but always some.
func (s *Detector) Scale(now time.Duration, most int) int {
	lag := s.Lag(now)
	if lag <= eased {
		return most
	}
	return max(1, most/12, int(int64(most)*int64(eased)/int64(lag)))
}

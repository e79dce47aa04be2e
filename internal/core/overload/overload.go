// Package overload estimates from the delay of timers how far this process is behind its work, and
// decides which requests to refuse because of that. It is a state machine without input or output;
// times are those of the monotonic clock.
//
// A controller has a small share of one core. Requests that it can't serve in time wait in its sockets
// and its run queue, and delay everything else: lease renewals, grants, and the workers' reports,
// whose senders time out and try another controller that is equally overloaded. So requests that can
// wait are refused, the less urgent ones at a smaller lag, and the concurrency of the controller's own
// work is reduced.
package overload

import (
	"math"
	"time"
)

// Kind is the kind of a request that may be refused.
type Kind uint8

// Kinds, in the order in which they are refused. Reports, grants and renewals never are.
const (
	Poll   Kind = iota // status of a job: will be polled again a little later in any case
	Change             // a submission or cancellation: is retried for a minute
)

const (
	// minLag is the lag up to which concurrency is not reduced.
	minLag = 80 * time.Millisecond
	// lagHalfLife is the time in which the lag halves if no further delay is recorded.
	lagHalfLife = 400 * time.Millisecond
	// refusePollsAt and refuseChangesAt are the lags from which polls and changes are refused.
	refusePollsAt   = 250 * time.Millisecond
	refuseChangesAt = 700 * time.Millisecond
	maxLag          = 3 * time.Second
)

// Detector is the state machine of one process.
type Detector struct {
	peakLag    time.Duration // peak of the recorded delays, decayed until recordedAt
	recordedAt time.Duration
}

// RecordDelay records the delay of a timer that fired at now.
func (d *Detector) RecordDelay(now, delay time.Duration) {
	d.peakLag = min(maxLag, max(delay, d.Lag(now)))
	d.recordedAt = now
}

// Lag returns how far behind this process is: the decayed peak of the delays.
func (d *Detector) Lag(now time.Duration) time.Duration {
	return time.Duration(float64(d.peakLag) * math.Exp2(-float64(max(0, now-d.recordedAt))/float64(lagHalfLife)))
}

// Admits reports whether a request of a kind should be served. If not, it would be answered only after
// its caller has given up.
func (d *Detector) Admits(now time.Duration, k Kind) bool {
	if k == Poll {
		return d.Lag(now) < refusePollsAt
	}
	return d.Lag(now) < refuseChangesAt
}

// RetryAfter returns how long the caller of a refused request should wait before it retries. The wait
// grows with the lag. spread, from 0 to 1, distributes the retries of several callers.
func (d *Detector) RetryAfter(now time.Duration, spread float64) time.Duration {
	lag := d.Lag(now)
	return time.Second + time.Duration(float64(3*lag)*(0.5+spread))
}

// Scale reduces a limit of the concurrency of the process's own work: the whole limit up to minLag,
// then in inverse proportion to the lag, but never less than a twelfth or 1.
func (d *Detector) Scale(now time.Duration, limit int) int {
	lag := d.Lag(now)
	if lag <= minLag {
		return limit
	}
	return max(1, limit/12, int(int64(limit)*int64(minLag)/int64(lag)))
}

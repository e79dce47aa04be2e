// Package writequota divides the leader's rate of writes to the state service between classes of
// records: final records and those that scheduling waits for first, then progress of jobs, then
// operators' records. It is a state machine without input or output.
package writequota

import (
	"time"

	"golang.org/x/time/rate"
)

// Class is a class of writes. Lower values are more urgent.
type Class uint8

// Classes of writes.
const (
	FinalRecords    Class = iota // final records of jobs, and records that placement waits for
	Progress                     // which tasks of open jobs are done
	OperatorRecords              // operators' plans, gate verdicts and audit entries
	numClasses
)

const (
	// maxRecordsWait is how long operators' records yield to all other writes. Somebody waits for the
	// answer to the change, which should take effect within seconds.
	maxRecordsWait = 2 * time.Second
	// recordsReserve is how many changes progress leaves to operators' records that have waited for
	// maxRecordsWait: one record with its audit entries. Progress always has more to write, and would
	// otherwise use up the whole rate.
	recordsReserve = 4
)

// Quota is the state machine. Its times are those of the monotonic clock.
type Quota struct {
	limiter      *rate.Limiter
	burst        float64
	blockedSince [numClasses]time.Duration // when a class was first refused, 0: it was not
}

// New returns a quota of so many changes per second, with a burst.
func New(perSecond float64, burst int) *Quota {
	return &Quota{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), burst: float64(burst)}
}

// SetRate sets the number of changes per second.
func (q *Quota) SetRate(now time.Duration, perSecond float64) {
	if rate.Limit(perSecond) != q.limiter.Limit() {
		q.limiter.SetLimitAt(limiterTime(now), rate.Limit(perSecond))
	}
}

// limiterTime converts a monotonic time for the rate limiter.
func limiterTime(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }

// Available returns how many changes of a class may be made now. Operators' records leave half of the
// burst to the other classes until they have waited for maxRecordsWait; after that, progress leaves
// recordsReserve changes to them.
func (q *Quota) Available(now time.Duration, class Class) int {
	left := q.limiter.TokensAt(limiterTime(now))
	overdue := q.BlockedFor(now, OperatorRecords) >= maxRecordsWait
	switch {
	case class == OperatorRecords && !overdue:
		left -= q.burst / 2
	case class == Progress && overdue:
		left -= recordsReserve
	}
	return max(0, int(left))
}

// Spend uses a number of changes for a class. They may be more than are available; later writes then
// wait longer. Changes are counted, not writes, because a write may contain many changes. With writes counted
// instead, final records and progress together exceeded the service's rate, and final records waited
// behind progress in the client's queue.
func (q *Quota) Spend(now time.Duration, class Class, changes int) {
	q.blockedSince[class] = 0
	q.limiter.ReserveN(limiterTime(now), min(changes, int(q.burst)))
}

// MarkBlocked records that a class had more to write than was available.
func (q *Quota) MarkBlocked(now time.Duration, class Class) {
	if q.blockedSince[class] == 0 {
		q.blockedSince[class] = max(1, now)
	}
}

// BlockedFor returns how long a class has been blocked: it has had records to write, but too few changes
// available.
func (q *Quota) BlockedFor(now time.Duration, class Class) time.Duration {
	if q.blockedSince[class] == 0 {
		return 0
	}
	return now - q.blockedSince[class]
}

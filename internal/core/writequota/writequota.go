// Package writequota shares what the state service lets the leader write among its
// parts: what ends jobs and guards rules first, then progress, then operators'
// records. It is a state machine without input or output.
package writequota

import (
	"time"

	"golang.org/x/time/rate"
)

// Class of a write, the most urgent first.
type Class uint8

// Classes.
const (
	FinalRecords    Class = iota // ends of jobs, and records that placing waits for
	Progress                     // what is done of open jobs
	OperatorRecords              // operators' plans, verdicts and audit
	classes
)

const (
	// maxRecordsWait is how long operators' records give way to everything else. Somebody waits for
	// the answer to a change, which is to be in force within seconds.
	maxRecordsWait = 2 * time.Second
	// recordsReserve is what progress leaves to records that have waited for so long: a record
	// with its audit entries. Progress takes whatever comes in else, for it has always more.
	recordsReserve = 4
)

// Quota is the state machine. Its times are the steady clock's.
type Quota struct {
	limiter      *rate.Limiter
	burst        float64
	blockedSince [classes]time.Duration // since when a class was refused, 0: it was not
}

// New returns a budget of so many changes a second, with a burst.
func New(perSecond float64, burst int) *Quota {
	return &Quota{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), burst: float64(burst)}
}

// SetRate changes the changes a second.
func (q *Quota) SetRate(now time.Duration, perSecond float64) {
	if rate.Limit(perSecond) != q.limiter.Limit() {
		q.limiter.SetLimitAt(limiterTime(now), rate.Limit(perSecond))
	}
}

func limiterTime(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }

// Available is how many changes of a class may be made now. Records leave half of the
// burst to the others, until they have waited for long; then progress leaves some to them.
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

// Spend takes n changes of a class, which may be more than are left: the next ones
// wait for as much longer. Counted by writes, however many changes each made, finals
// and progress together once exceeded what the service takes, and the finals waited
// behind progress in the client's queue.
func (q *Quota) Spend(now time.Duration, class Class, changes int) {
	q.blockedSince[class] = 0
	q.limiter.ReserveN(limiterTime(now), min(changes, int(q.burst)))
}

// MarkBlocked notes that a class had more to write than was left.
func (q *Quota) MarkBlocked(now time.Duration, class Class) {
	if q.blockedSince[class] == 0 {
		q.blockedSince[class] = max(1, now)
	}
}

// BlockedFor is for how long a class has had something to write and could not.
func (q *Quota) BlockedFor(now time.Duration, class Class) time.Duration {
	if q.blockedSince[class] == 0 {
		return 0
	}
	return now - q.blockedSince[class]
}

// Package ratelimit decides when a controller's requests may be sent to the state service, whose
// rate limit all controllers share. It is a state machine without input or output; times are those
// of the monotonic clock.
//
// A controller uses the share of the rate that the leader allocates to it (see package rateshare).
// Without an allocation it uses a share of its own, which grows slowly and shrinks at once when the
// service refuses a request because of its rate limit (additive increase, multiplicative decrease).
// So the shares follow demand, and converge to equal ones if all controllers need more.
//
// Urgent classes may overdraw the share, and the others then wait longer. A request that could not
// be sent before its deadline is refused at once: its caller will have given up and retried by then,
// and a queue of abandoned requests sustains an overload.
package ratelimit

import (
	"slices"
	"time"
)

// Class is the urgency of a request.
type Class uint8

// Classes, the most urgent first.
const (
	Authority   Class = iota // leases, the leader's key, watches: never wait
	Leader                   // reads of a leader, ends of jobs, and records that placing waits for
	Changes                  // submissions, cancellations and operators' changes
	Comparisons              // comparisons, each of which answers many users' checks
	Background               // a leader's records of progress, which nobody waits for
	Reads                    // polls, and other reads that block nothing
	classes
)

// overdraft is how far the tokens may go below zero for a class, in seconds of the share.
var overdraft = [classes]float64{Leader: 1.8, Changes: 0.9}

// Params are the parameters of a Limiter.
type Params struct {
	RequestRate, WriteRate float64 // per second, of the service for all controllers
	// NextWriteRate is an announced lower WriteRate that will hold from an unknown time on; 0: none.
	NextWriteRate float64
	Controllers   int
}

const (
	maxShare            = 0.9                    // of the service's rate, for one controller
	initialTotalShare   = 0.5                    // initial share of all controllers together; the rest is for a new leader
	minShare            = 0.5                    // lower bound of allocationHealth, and of the sum of all own shares
	shareGrowth         = 0.03                   // of the service's rate per second
	shrinkFactor        = 0.75                   // applied to the share when a request is refused
	refusalInterval     = 400 * time.Millisecond // later refusals within it don't count: those requests were already sent
	announcedRateWindow = 10 * time.Second       // two refusals within it show that the announced rate holds
)

// Ticket is a request that may be sent now, waits, or is refused.
type Ticket struct {
	class  Class
	writes float64
	until  time.Duration
	// Decided is closed once the request may be sent or is refused. Refused is valid from then on.
	Decided chan struct{}
	Refused bool
}

// Allocation is a controller's share of the service's rates, as fractions of them.
type Allocation struct{ Requests, Writes float64 }

const (
	// allocationRecovery is the fraction of its allocation per second by which a controller recovers
	// after a refusal.
	allocationRecovery = 0.1
	// minBurstShare is the fraction of the service's burst (one second's worth) that urgent
	// requests may use at any controller, even if its share is small. A load balancer may send
	// all users' changes to one controller, and all controllers rarely use it at once.
	minBurstShare = 0.2
	// demandWindow is the length of the windows in which demand is counted.
	demandWindow = time.Second
)

// bucket is a token bucket. A Limiter has one for requests and one for changes (writes).
type bucket struct {
	rate, share, tokens float64
	demand              counter
}

// counter counts demand in the current and in the previous time window.
type counter struct {
	window            time.Duration // index of the current window
	current, previous float64
}

// advance moves to the window that contains now.
func (c *counter) advance(now time.Duration) {
	window := now / demandWindow
	switch {
	case window == c.window:
		return
	case window == c.window+1:
		c.previous = c.current
	default:
		c.previous = 0
	}
	c.window, c.current = window, 0
}

// add counts demand at now.
func (c *counter) add(now time.Duration, n float64) {
	c.advance(now)
	c.current += n
}

// perSecond returns the recent demand: the larger of the two windows.
func (c *counter) perSecond(now time.Duration) float64 {
	c.advance(now)
	return max(c.current, c.previous) / demandWindow.Seconds()
}

// refill adds the tokens of a number of seconds, up to the burst.
func (b *bucket) refill(seconds float64) {
	b.tokens = min(b.tokens+b.rate*b.share*seconds, b.burst())
}

// ownBurst is the burst of classes that are not urgent: half a second of the share.
func (b *bucket) ownBurst() float64 { return max(2, b.rate*b.share/2) }

// burst is the burst of urgent classes: at least a fraction of the service's own burst, even if the
// share is small.
func (b *bucket) burst() float64 { return max(b.ownBurst(), b.rate*minBurstShare) }

// allows reports whether n tokens are available for a class now.
func (b *bucket) allows(c Class, n float64) bool {
	if n == 0 || c == Authority {
		return true
	}
	return b.tokens-min(n, b.burst()) >= b.minTokens(c)
}

// waitSeconds returns after how many seconds n tokens will be available for a class, if no others
// are taken meanwhile.
func (b *bucket) waitSeconds(c Class, n float64) float64 {
	if n == 0 || c == Authority {
		return 0
	}
	return max(0, n+b.minTokens(c)-b.tokens) / (b.rate * b.share)
}

// minTokens is the number of tokens that a class must leave. Urgent classes may overdraw; the others
// leave to these whatever exceeds ownBurst.
func (b *bucket) minTokens(c Class) float64 {
	if c > Changes {
		return b.burst() - b.ownBurst()
	}
	return -overdraft[c] * max(2, b.rate*b.share, b.rate*minBurstShare)
}

// Limiter is the state machine of one controller.
type Limiter struct {
	params           Params
	ownShare         float64 // of the service's rate, used without an allocation
	allocation       Allocation
	allocationUntil  time.Duration // the allocation expires then
	allocationHealth float64       // factor of the allocation: below 1 after refusals
	spareWriteShare  float64       // of the write rate: may be used beyond the allocation while nothing is refused
	refilledAt       time.Duration
	lastShrinkAt     time.Duration
	writeRateLowered bool // the announced rate holds
	requests         bucket
	writes           bucket
	queue            [classes][]*Ticket
	// Shed counts the requests refused here, by class; ServiceRefusals those that the service
	// refused because of its rate limit.
	Shed            [classes]uint64
	ServiceRefusals uint64
}

// New returns a Limiter with the initial share.
func New(p Params) *Limiter {
	p.Controllers = max(1, p.Controllers)
	share := initialTotalShare / float64(p.Controllers)
	limiter := &Limiter{params: p, ownShare: share, allocationHealth: 1,
		requests: bucket{rate: p.RequestRate, share: share}, writes: bucket{rate: p.WriteRate, share: share}}
	limiter.requests.tokens, limiter.writes.tokens = limiter.requests.burst(), limiter.writes.burst()
	return limiter
}

// SetAllocation sets the share that the leader allocates to this controller, valid until a time.
func (l *Limiter) SetAllocation(now time.Duration, allocation Allocation, until time.Duration) {
	l.refill(now)
	l.allocation, l.allocationUntil = allocation, until
	l.setShares(now)
}

// Demand returns the rates of recent and waiting requests, as fractions of the service's rates. It
// leaves out Background, which only uses the rate that others leave.
func (l *Limiter) Demand(now time.Duration) Allocation {
	requests, writes := l.requests.demand.perSecond(now), l.writes.demand.perSecond(now)
	for c := range classes {
		if c == Background {
			continue
		}
		for _, t := range l.queue[c] {
			requests++
			writes += t.writes
		}
	}
	return Allocation{Requests: requests / l.requests.rate, Writes: writes / l.writes.rate}
}

// hasAllocation reports whether the leader's allocation is still valid.
func (l *Limiter) hasAllocation(now time.Duration) bool { return now < l.allocationUntil }

// setShares sets the shares of both buckets from the allocation or, without one, from ownShare.
func (l *Limiter) setShares(now time.Duration) {
	if l.hasAllocation(now) {
		// Changes may exceed the allocation as long as nothing is refused. Otherwise submissions
		// wait although other controllers do not use their allocations.
		l.requests.share, l.writes.share = l.allocation.Requests*l.allocationHealth,
			max(l.allocation.Writes*l.allocationHealth, l.spareWriteShare)
		return
	}
	l.requests.share, l.writes.share = l.ownShare, l.ownShare
}

// Share returns the fraction of the service's request rate that this controller may use.
func (l *Limiter) Share() float64 { return l.requests.share }

// WriteRate returns the service's write rate as far as it is known, and whether that is the lower
// one that was announced.
func (l *Limiter) WriteRate() (perSecond float64, lowered bool) {
	return l.writes.rate, l.writeRateLowered
}

// refill adds the tokens for the time since the last call, and raises the shares.
func (l *Limiter) refill(now time.Duration) {
	seconds := (now - l.refilledAt).Seconds()
	if seconds <= 0 {
		return
	}
	l.refilledAt = now
	if l.hasAllocation(now) {
		l.allocationHealth = min(1, l.allocationHealth+allocationRecovery*seconds)
		l.spareWriteShare = min(l.spareWriteShare+shareGrowth*min(seconds, 1), maxShare)
		l.ownShare = initialTotalShare / float64(l.params.Controllers) // the first share once the allocation expires
	} else {
		l.ownShare = min(l.ownShare+shareGrowth*min(seconds, 1), maxShare)
	}
	l.setShares(now)
	l.requests.refill(seconds)
	l.writes.refill(seconds)
}

// HandleRefusal records that the service refused a request because of its rate limit.
func (l *Limiter) HandleRefusal(now time.Duration) {
	l.refill(now)
	l.ServiceRefusals++
	if l.lastShrinkAt != 0 && now-l.lastShrinkAt < refusalInterval {
		return
	}
	// It is not known when an announced rate takes effect. If its refusals were attributed to the
	// old rate, the shares would grow beyond the new one again and again.
	if l.params.NextWriteRate > 0 && l.params.NextWriteRate < l.writes.rate && l.lastShrinkAt != 0 &&
		now-l.lastShrinkAt < announcedRateWindow {
		l.writeRateLowered, l.writes.rate = true, l.params.NextWriteRate
	}
	l.lastShrinkAt = now
	if l.hasAllocation(now) {
		l.allocationHealth = max(l.allocationHealth*shrinkFactor, minShare)
		l.spareWriteShare *= shrinkFactor
	} else {
		l.ownShare = max(l.ownShare*shrinkFactor, minShare/float64(l.params.Controllers))
	}
	l.setShares(now)
	l.requests.tokens = min(l.requests.tokens, 0)
	l.writes.tokens = min(l.writes.tokens, 0)
}

// Request asks for permission to send one request with a number of writes, at the latest at until.
// The ticket is decided at once if the request may be sent now, or could not be sent in time.
func (l *Limiter) Request(now time.Duration, c Class, writes int, until time.Duration) *Ticket {
	l.refill(now)
	if c != Background { // Background only uses what is left
		l.requests.demand.add(now, 1)
		l.writes.demand.add(now, float64(writes))
	}
	t := &Ticket{class: c, writes: float64(writes), until: until, Decided: make(chan struct{})}
	if len(l.queue[c]) == 0 && l.canProceed(t) {
		l.takeTokens(t)
		close(t.Decided)
		return t
	}
	if now+l.estimateWait(t) > until {
		l.refuse(t)
		return t
	}
	l.queue[c] = append(l.queue[c], t)
	return t
}

// canProceed reports whether both buckets allow the ticket and no more urgent ticket waits for
// tokens that it would take.
func (l *Limiter) canProceed(t *Ticket) bool {
	for c := range t.class {
		if len(l.queue[c]) == 0 || c == Authority {
			continue
		}
		if t.writes > 0 || !l.requests.allows(c, 1) {
			return false
		}
	}
	return l.requests.allows(t.class, 1) && l.writes.allows(t.class, t.writes)
}

// takeTokens takes the tokens of a ticket from both buckets.
func (l *Limiter) takeTokens(t *Ticket) {
	l.requests.tokens--
	l.writes.tokens -= t.writes
}

// refuse decides that a ticket's request must not be sent.
func (l *Limiter) refuse(t *Ticket) {
	t.Refused = true
	l.Shed[t.class]++
	close(t.Decided)
}

// estimateWait returns how long a ticket would wait behind those of its class and of more urgent
// ones. Tickets that wait for the write rate do not delay one without writes.
func (l *Limiter) estimateWait(t *Ticket) time.Duration {
	requests, writes := 1.0, t.writes
	for c := range t.class + 1 {
		for _, queued := range l.queue[c] {
			if t.writes == 0 && queued.writes > 0 {
				continue
			}
			requests++
			writes += queued.writes
		}
	}
	seconds := l.requests.waitSeconds(t.class, requests)
	if t.writes > 0 {
		seconds = max(seconds, l.writes.waitSeconds(t.class, writes))
	}
	return time.Duration(seconds * float64(time.Second))
}

// Step decides the tickets that may be sent now, and refuses those whose deadline has passed. next
// is when to call it again; 0 if nothing waits.
func (l *Limiter) Step(now time.Duration) (next time.Duration) {
	l.refill(now)
	for c := range classes {
		l.queue[c] = slices.DeleteFunc(l.queue[c], func(t *Ticket) bool {
			if now < t.until {
				return false
			}
			l.refuse(t)
			return true
		})
	}
	for c := range classes {
		for len(l.queue[c]) > 0 && l.canProceed(l.queue[c][0]) {
			t := l.queue[c][0]
			l.queue[c] = l.queue[c][1:]
			l.takeTokens(t)
			close(t.Decided)
		}
		if len(l.queue[c]) > 0 {
			next = l.earliestWake(now, next, c)
		}
	}
	return next
}

// earliestWake returns when the first ticket of a class may be sent or must be refused, or next if
// that is set (not 0) and earlier.
func (l *Limiter) earliestWake(now, next time.Duration, c Class) time.Duration {
	t := l.queue[c][0]
	writes := min(t.writes, l.writes.burst())
	seconds := max(l.requests.waitSeconds(c, 1), l.writes.waitSeconds(c, writes))
	at := min(now+max(time.Millisecond, time.Duration(seconds*float64(time.Second))), t.until)
	if next != 0 {
		at = min(at, next)
	}
	return at
}

// Cancel removes a waiting ticket that nobody waits for any more.
func (l *Limiter) Cancel(t *Ticket) {
	l.queue[t.class] = slices.DeleteFunc(l.queue[t.class], func(other *Ticket) bool { return other == t })
}

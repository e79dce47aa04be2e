// Package ratelimit decides when a controller's requests go to the state service, whose
// rate all controllers share without asking each other. It is a state machine
// without input or output; times are the steady clock's.
//
// Where a leader tells it its part (package rateshare), a controller keeps to that. Where
// nobody does, it holds a share that grows slowly while nothing is refused for the
// rate, and shrinks at once when something is (additive increase, multiplicative decrease):
// so shares follow who needs them, and meet at equal ones where all do. What is urgent may
// overdraw the share; the rest then waits for longer. What could not go in time is refused
// at once, for its asker has given up by then and asks again: queues of dead requests are
// how an overload keeps itself alive.
package ratelimit

import (
	"slices"
	"time"
)

// Class of a request, the most urgent first.
type Class uint8

// Classes.
const (
	Authority   Class = iota // leases, the leader's key, watches: never wait
	Leader                   // what a leader reads, ends of jobs, and records that placing waits for
	Changes                  // submissions, cancellations and operators' changes
	Comparisons              // comparisons, each of which answers many users' questions
	Background               // a leader's progress: nobody is told of it
	Reads                    // polls, and whatever else nobody is held up by
	classes
)

// overdraft is the part of a second's share that a class may go below zero.
var overdraft = [classes]float64{Leader: 1.8, Changes: 0.9}

// Params of a limiter.
type Params struct {
	RequestRate, WriteRate float64 // a second that the service allows to all
	// NextWriteRate is what it will allow from some moment on, without notice; 0: as now.
	NextWriteRate float64
	Controllers   int
}

const (
	maxShare            = 0.9                    // of the service's rate, for one controller alone
	initialTotalShare   = 0.5                    // ... for all together, shared equally: where it begins; the rest is a new leader's
	minShare            = 0.5                    // ... which stay to each, however often they are refused
	shareGrowth         = 0.03                   // of the service's rate, a second
	shrinkFactor        = 0.75                   // what is left of a share when a request was refused
	refusalInterval     = 400 * time.Millisecond // one refusal in so long counts: others were under way
	announcedRateWindow = 10 * time.Second       // two refusals within so long: the announced limit holds
)

// Ticket is a request that asked to go.
type Ticket struct {
	class  Class
	writes float64
	until  time.Duration
	// Decided is closed once the request may go, or must not: Refused tells.
	Decided chan struct{}
	Refused bool
}

// Allocation of the service's rate, as a share of it.
type Allocation struct{ Requests, Writes float64 }

const (
	// allocationRecovery is how much of its part, a second, a controller takes up again after a refusal.
	allocationRecovery = 0.1
	// minBurstShare is the part of the service's burst (one second's worth) that users' changes
	// may take at any controller: a load balancer may send them all to one, and seldom do all
	// controllers take it at once.
	minBurstShare = 0.2
	// demandWindow is over what time needs are counted.
	demandWindow = time.Second
)

// bucket of tokens: one for requests, one for changes.
type bucket struct {
	rate, share, tokens float64
	demand              counter
}

// counter counts what was asked for in the present span of time and in the one before.
type counter struct {
	window            time.Duration // number of the present one
	current, previous float64
}

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

func (c *counter) add(now time.Duration, n float64) {
	c.advance(now)
	c.current += n
}

// perSecond is what was asked for lately.
func (c *counter) perSecond(now time.Duration) float64 {
	c.advance(now)
	return max(c.current, c.previous) / demandWindow.Seconds()
}

func (b *bucket) refill(seconds float64) {
	b.tokens = min(b.tokens+b.rate*b.share*seconds, b.burst())
}

// ownBurst is what may go at once: half a second's share, as others have theirs.
func (b *bucket) ownBurst() float64 { return max(2, b.rate*b.share/2) }

// burst is what may go at once of urgent classes: a part of the service's own burst even
// where the share is small.
func (b *bucket) burst() float64 { return max(b.ownBurst(), b.rate*minBurstShare) }

// allows tells whether n may go for a class now.
func (b *bucket) allows(c Class, n float64) bool {
	if n == 0 || c == Authority {
		return true
	}
	return b.tokens-min(n, b.burst()) >= b.minTokens(c)
}

// waitSeconds is how long until n may go for a class if nothing else does meanwhile, in
// seconds.
func (b *bucket) waitSeconds(c Class, n float64) float64 {
	if n == 0 || c == Authority {
		return 0
	}
	return max(0, n+b.minTokens(c)-b.tokens) / (b.rate * b.share)
}

// minTokens is what a class has to leave: urgent ones may overdraw, the others leave to them what
// is above their own burst.
func (b *bucket) minTokens(c Class) float64 {
	if c > Changes {
		return b.burst() - b.ownBurst()
	}
	return -overdraft[c] * max(2, b.rate*b.share, b.rate*minBurstShare)
}

// Limiter is the state machine.
type Limiter struct {
	params           Params
	ownShare         float64 // of the service's rate, where nobody tells a part
	allocation       Allocation
	allocationUntil  time.Duration // the part is good until then
	allocationHealth float64       // of the part: below 1 after refusals
	spareWriteShare  float64       // of the rate of changes: what may be used while nobody is refused
	refilledAt       time.Duration
	lastShrinkAt     time.Duration
	writeRateLowered bool // the announced limit holds
	requests         bucket
	writes           bucket
	queue            [classes][]*Ticket
	// Stats count what was refused here, by class, and by the service.
	Shed            [classes]uint64
	ServiceRefusals uint64
}

// New returns a limiter with an equal share.
func New(p Params) *Limiter {
	p.Controllers = max(1, p.Controllers)
	share := initialTotalShare / float64(p.Controllers)
	q := &Limiter{params: p, ownShare: share, allocationHealth: 1,
		requests: bucket{rate: p.RequestRate, share: share}, writes: bucket{rate: p.WriteRate, share: share}}
	q.requests.tokens, q.writes.tokens = q.requests.burst(), q.writes.burst()
	return q
}

// SetAllocation takes the part that the leader has given to this controller, good until then.
func (l *Limiter) SetAllocation(now time.Duration, allocation Allocation, until time.Duration) {
	l.refill(now)
	l.allocation, l.allocationUntil = allocation, until
	l.setShares(now)
}

// Demand are what was asked for lately and what waits, but for upkeep, as parts of the
// service's rate.
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

// hasAllocation tells whether a leader has told this controller its part lately.
func (l *Limiter) hasAllocation(now time.Duration) bool { return now < l.allocationUntil }

func (l *Limiter) setShares(now time.Duration) {
	if l.hasAllocation(now) {
		// Changes may go beyond the part as long as nothing is refused: submissions waited for
		// what others were told and did not use.
		l.requests.share, l.writes.share = l.allocation.Requests*l.allocationHealth,
			max(l.allocation.Writes*l.allocationHealth, l.spareWriteShare)
		return
	}
	l.requests.share, l.writes.share = l.ownShare, l.ownShare
}

// Share is the part of the service's rate that this controller uses at most.
func (l *Limiter) Share() float64 { return l.requests.share }

// WriteRate is the service's rate of changes as far as is known, and whether that is the
// one that was announced.
func (l *Limiter) WriteRate() (perSecond float64, lowered bool) {
	return l.writes.rate, l.writeRateLowered
}

func (l *Limiter) refill(now time.Duration) {
	seconds := (now - l.refilledAt).Seconds()
	if seconds <= 0 {
		return
	}
	l.refilledAt = now
	if l.hasAllocation(now) {
		l.allocationHealth = min(1, l.allocationHealth+allocationRecovery*seconds)
		l.spareWriteShare = min(l.spareWriteShare+shareGrowth*min(seconds, 1), maxShare)
		l.ownShare = initialTotalShare / float64(l.params.Controllers) // where it begins once no part is told any more
	} else {
		l.ownShare = min(l.ownShare+shareGrowth*min(seconds, 1), maxShare)
	}
	l.setShares(now)
	l.requests.refill(seconds)
	l.writes.refill(seconds)
}

// HandleRefusal takes the news that the service refused a request for its rate.
func (l *Limiter) HandleRefusal(now time.Duration) {
	l.refill(now)
	l.ServiceRefusals++
	if l.lastShrinkAt != 0 && now-l.lastShrinkAt < refusalInterval {
		return
	}
	// Nobody says when an announced limit begins to hold. Taken for refusals of the old
	// rate, every leader's share would grow into them again and again.
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

// Request asks for one request with so many changes to go, by until at the latest. The
// ticket's channel is closed at once where it may go now, or could not in time.
func (l *Limiter) Request(now time.Duration, c Class, writes int, until time.Duration) *Ticket {
	l.refill(now)
	if c != Background { // that takes what is left
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

// canProceed: the bucket of each allows it, and nothing more urgent waits for what it takes.
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

func (l *Limiter) takeTokens(t *Ticket) {
	l.requests.tokens--
	l.writes.tokens -= t.writes
}

func (l *Limiter) refuse(t *Ticket) {
	t.Refused = true
	l.Shed[t.class]++
	close(t.Decided)
}

// estimateWait is how long a ticket would wait behind those of its class and of more
// urgent ones. What waits for the rate of changes is in nobody's way who makes none.
func (l *Limiter) estimateWait(t *Ticket) time.Duration {
	requests, writes := 1.0, t.writes
	for c := range t.class + 1 {
		for _, other := range l.queue[c] {
			if t.writes == 0 && other.writes > 0 {
				continue
			}
			requests++
			writes += other.writes
		}
	}
	seconds := l.requests.waitSeconds(t.class, requests)
	if t.writes > 0 {
		seconds = max(seconds, l.writes.waitSeconds(t.class, writes))
	}
	return time.Duration(seconds * float64(time.Second))
}

// Step lets go what may go now, and refuses what has waited too long. next is when
// to call again; 0 where nothing waits.
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

// earliestWake is the earlier of next, unless it is 0, and of when the first of a class may
// go or is to be refused.
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

// Cancel gives a ticket up that nobody waits for any more.
func (l *Limiter) Cancel(t *Ticket) {
	l.queue[t.class] = slices.DeleteFunc(l.queue[t.class], func(o *Ticket) bool { return o == t })
}

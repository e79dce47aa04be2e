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
	most   = 0.9                    // of the service's rate, for one controller alone
	equal  = 0.5                    // ... for all together, shared equally: where it begins; the rest is a new leader's
	least  = 0.5                    // ... which stay to each, however often they are refused
	growth = 0.03                   // of the service's rate, a second
	shrink = 0.75                   // what is left of a share when a request was refused
	pause  = 400 * time.Millisecond // one refusal in so long counts: others were under way
	sure   = 10 * time.Second       // two refusals within so long: the announced limit holds
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
	// recovery is how much of its part, a second, a controller takes up again after a refusal.
	recovery = 0.1
	// urgentBurst is the part of the service's burst (one second's worth) that users' changes
	// may take at any controller: a load balancer may send them all to one, and seldom do all
	// controllers take it at once.
	urgentBurst = 0.2
	// needOver is over what time needs are counted.
	needOver = time.Second
)

// bucket of tokens: one for requests, one for changes.
type bucket struct {
	rate, share, tokens float64
	need                counter
}

// counter counts what was asked for in the present span of time and in the one before.
type counter struct {
	span      time.Duration // number of the present one
	now, last float64
}

func (c *counter) roll(now time.Duration) {
	span := now / needOver
	switch {
	case span == c.span:
		return
	case span == c.span+1:
		c.last = c.now
	default:
		c.last = 0
	}
	c.span, c.now = span, 0
}

func (c *counter) add(now time.Duration, n float64) {
	c.roll(now)
	c.now += n
}

// perSecond is what was asked for lately.
func (c *counter) perSecond(now time.Duration) float64 {
	c.roll(now)
	return max(c.now, c.last) / needOver.Seconds()
}

func (b *bucket) fill(seconds float64) {
	b.tokens = min(b.tokens+b.rate*b.share*seconds, b.burst())
}

// ownBurst is what may go at once: half a second's share, as others have theirs.
func (b *bucket) ownBurst() float64 { return max(2, b.rate*b.share/2) }

// burst is what may go at once of urgent classes: a part of the service's own burst even
// where the share is small.
func (b *bucket) burst() float64 { return max(b.ownBurst(), b.rate*urgentBurst) }

// allows tells whether n may go for a class now.
func (b *bucket) allows(c Class, n float64) bool {
	if n == 0 || c == Authority {
		return true
	}
	return b.tokens-min(n, b.burst()) >= b.floor(c)
}

// lacks is how long until n may go for a class if nothing else does meanwhile, in
// seconds.
func (b *bucket) lacks(c Class, n float64) float64 {
	if n == 0 || c == Authority {
		return 0
	}
	return max(0, n+b.floor(c)-b.tokens) / (b.rate * b.share)
}

// floor is what a class has to leave: urgent ones may overdraw, the others leave to them what
// is above their own burst.
func (b *bucket) floor(c Class) float64 {
	if c > Changes {
		return b.burst() - b.ownBurst()
	}
	return -overdraft[c] * max(2, b.rate*b.share, b.rate*urgentBurst)
}

// Limiter is the state machine.
type Limiter struct {
	p        Params
	share    float64 // of the service's rate, where nobody tells a part
	part     Allocation
	told     time.Duration // the part is good until then
	health   float64       // of the part: below 1 after refusals
	spare    float64       // of the rate of changes: what may be used while nobody is refused
	at       time.Duration
	shrunk   time.Duration
	lowered  bool // the announced limit holds
	requests bucket
	writes   bucket
	queue    [classes][]*Ticket
	// Stats count what was refused here, by class, and by the service.
	Shed            [classes]uint64
	ServiceRefusals uint64
}

// New returns a limiter with an equal share.
func New(p Params) *Limiter {
	p.Controllers = max(1, p.Controllers)
	share := equal / float64(p.Controllers)
	q := &Limiter{p: p, share: share, health: 1,
		requests: bucket{rate: p.RequestRate, share: share}, writes: bucket{rate: p.WriteRate, share: share}}
	q.requests.tokens, q.writes.tokens = q.requests.burst(), q.writes.burst()
	return q
}

// SetAllocation takes the part that the leader has given to this controller, good until then.
func (q *Limiter) SetAllocation(now time.Duration, p Allocation, until time.Duration) {
	q.fill(now)
	q.part, q.told = p, until
	q.setShares(now)
}

// Demand are what was asked for lately and what waits, but for upkeep, as parts of the
// service's rate.
func (q *Limiter) Demand(now time.Duration) Allocation {
	requests, writes := q.requests.need.perSecond(now), q.writes.need.perSecond(now)
	for c := range classes {
		if c == Background {
			continue
		}
		for _, t := range q.queue[c] {
			requests++
			writes += t.writes
		}
	}
	return Allocation{Requests: requests / q.requests.rate, Writes: writes / q.writes.rate}
}

// hasPart tells whether a leader has told this controller its part lately.
func (q *Limiter) hasPart(now time.Duration) bool { return now < q.told }

func (q *Limiter) setShares(now time.Duration) {
	if q.hasPart(now) {
		// Changes may go beyond the part as long as nothing is refused: submissions waited for
		// what others were told and did not use.
		q.requests.share, q.writes.share = q.part.Requests*q.health, max(q.part.Writes*q.health, q.spare)
		return
	}
	q.requests.share, q.writes.share = q.share, q.share
}

// Share is the part of the service's rate that this controller uses at most.
func (q *Limiter) Share() float64 { return q.requests.share }

// WriteRate is the service's rate of changes as far as is known, and whether that is the
// one that was announced.
func (q *Limiter) WriteRate() (perSecond float64, lowered bool) { return q.writes.rate, q.lowered }

func (q *Limiter) fill(now time.Duration) {
	s := (now - q.at).Seconds()
	if s <= 0 {
		return
	}
	q.at = now
	if q.hasPart(now) {
		q.health = min(1, q.health+recovery*s)
		q.spare = min(q.spare+growth*min(s, 1), most)
		q.share = equal / float64(q.p.Controllers) // where it begins once no part is told any more
	} else {
		q.share = min(q.share+growth*min(s, 1), most)
	}
	q.setShares(now)
	q.requests.fill(s)
	q.writes.fill(s)
}

// HandleRefusal takes the news that the service refused a request for its rate.
func (q *Limiter) HandleRefusal(now time.Duration) {
	q.fill(now)
	q.ServiceRefusals++
	if q.shrunk != 0 && now-q.shrunk < pause {
		return
	}
	// Nobody says when an announced limit begins to hold. Taken for refusals of the old
	// rate, every leader's share would grow into them again and again.
	if q.p.NextWriteRate > 0 && q.p.NextWriteRate < q.writes.rate && q.shrunk != 0 && now-q.shrunk < sure {
		q.lowered, q.writes.rate = true, q.p.NextWriteRate
	}
	q.shrunk = now
	if q.hasPart(now) {
		q.health = max(q.health*shrink, least)
		q.spare *= shrink
	} else {
		q.share = max(q.share*shrink, least/float64(q.p.Controllers))
	}
	q.setShares(now)
	q.requests.tokens = min(q.requests.tokens, 0)
	q.writes.tokens = min(q.writes.tokens, 0)
}

// Request asks for one request with so many changes to go, by until at the latest. The
// ticket's channel is closed at once where it may go now, or could not in time.
func (q *Limiter) Request(now time.Duration, c Class, writes int, until time.Duration) *Ticket {
	q.fill(now)
	if c != Background { // that takes what is left
		q.requests.need.add(now, 1)
		q.writes.need.add(now, float64(writes))
	}
	t := &Ticket{class: c, writes: float64(writes), until: until, Decided: make(chan struct{})}
	if len(q.queue[c]) == 0 && q.passes(t) {
		q.spend(t)
		close(t.Decided)
		return t
	}
	if now+q.estimate(t) > until {
		q.refuse(t)
		return t
	}
	q.queue[c] = append(q.queue[c], t)
	return t
}

// passes: the bucket of each allows it, and nothing more urgent waits for what it takes.
func (q *Limiter) passes(t *Ticket) bool {
	for c := range t.class {
		if len(q.queue[c]) == 0 || c == Authority {
			continue
		}
		if t.writes > 0 || !q.requests.allows(c, 1) {
			return false
		}
	}
	return q.requests.allows(t.class, 1) && q.writes.allows(t.class, t.writes)
}

func (q *Limiter) spend(t *Ticket) {
	q.requests.tokens--
	q.writes.tokens -= t.writes
}

func (q *Limiter) refuse(t *Ticket) {
	t.Refused = true
	q.Shed[t.class]++
	close(t.Decided)
}

// estimate is how long a ticket would wait behind those of its class and of more
// urgent ones. What waits for the rate of changes is in nobody's way who makes none.
func (q *Limiter) estimate(t *Ticket) time.Duration {
	requests, writes := 1.0, t.writes
	for c := range t.class + 1 {
		for _, o := range q.queue[c] {
			if t.writes == 0 && o.writes > 0 {
				continue
			}
			requests++
			writes += o.writes
		}
	}
	s := q.requests.lacks(t.class, requests)
	if t.writes > 0 {
		s = max(s, q.writes.lacks(t.class, writes))
	}
	return time.Duration(s * float64(time.Second))
}

// Step lets go what may go now, and refuses what has waited too long. next is when
// to call again; 0 where nothing waits.
func (q *Limiter) Step(now time.Duration) (next time.Duration) {
	q.fill(now)
	for c := range classes {
		q.queue[c] = slices.DeleteFunc(q.queue[c], func(t *Ticket) bool {
			if now < t.until {
				return false
			}
			q.refuse(t)
			return true
		})
	}
	for c := range classes {
		for len(q.queue[c]) > 0 && q.passes(q.queue[c][0]) {
			t := q.queue[c][0]
			q.queue[c] = q.queue[c][1:]
			q.spend(t)
			close(t.Decided)
		}
		if len(q.queue[c]) > 0 {
			next = q.wake(now, next, c)
		}
	}
	return next
}

// wake is the earlier of next, unless it is 0, and of when the first of a class may
// go or is to be refused.
func (q *Limiter) wake(now, next time.Duration, c Class) time.Duration {
	t := q.queue[c][0]
	n := min(t.writes, q.writes.burst())
	s := max(q.requests.lacks(c, 1), q.writes.lacks(c, n))
	at := min(now+max(time.Millisecond, time.Duration(s*float64(time.Second))), t.until)
	if next != 0 {
		at = min(at, next)
	}
	return at
}

// Cancel gives a ticket up that nobody waits for any more.
func (q *Limiter) Cancel(t *Ticket) {
	q.queue[t.class] = slices.DeleteFunc(q.queue[t.class], func(o *Ticket) bool { return o == t })
}

// Package ratelimit decides when a controller's requests go to the state service, whose
// rate all controllers share without asking each other. It is a state machine
// without input or output; times are the steady clock's.
//
// Each controller holds a share that grows slowly while nothing is refused for the
// rate, and shrinks at once when something is: so shares follow who needs them, and
// meet at equal ones where all do. What is urgent may overdraw the share; the rest
// then waits for longer. What could not go in time is refused at once, for its
// asker has given up by then and asks again: queues of dead requests are how an
// overload keeps itself alive.
package ratelimit

import (
	"slices"
	"time"
)

// Class of a request, the most urgent first.
type Class uint8

// Classes.
const (
	Authority Class = iota // leases, the leader's key, watches: never wait
	Leader                 // what a leader reads, ends of jobs, and records that placing waits for
	Changes                // submissions and cancellations
	Upkeep                 // a leader's progress and plans: nobody is told of them
	Reads                  // polls, and whatever else nobody is held up by
	classes
)

// overdraft is the part of a second's share that a class may go below zero.
var overdraft = [classes]float64{Leader: 1, Changes: 0.5}

// Params of a limiter.
type Params struct {
	Requests, Writes float64 // a second that the service allows to all
	// NextWrites is what it will allow from some moment on, without notice; 0: as now.
	NextWrites  float64
	Controllers int
}

const (
	most   = 0.9                    // of the service's rate, for one controller alone
	equal  = 0.9                    // ... for all together, shared equally: where it begins
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
	// Go is closed once the request may go, or must not: Refused tells.
	Go      chan struct{}
	Refused bool
}

// bucket of tokens: one for requests, one for changes.
type bucket struct{ rate, tokens float64 }

func (b *bucket) fill(share, seconds float64) {
	b.tokens = min(b.tokens+b.rate*share*seconds, b.burst(share))
}

// burst is what may go at once: half a second's share, as others have theirs.
func (b *bucket) burst(share float64) float64 { return max(2, b.rate*share/2) }

// allows tells whether n may go for a class now.
func (b *bucket) allows(c Class, n, share float64) bool {
	if n == 0 || c == Authority {
		return true
	}
	return b.tokens-min(n, b.burst(share)) >= -b.debt(c, share)
}

// lacks is how long until n may go for a class if nothing else does meanwhile, in
// seconds.
func (b *bucket) lacks(c Class, n, share float64) float64 {
	if n == 0 || c == Authority {
		return 0
	}
	return max(0, n-b.debt(c, share)-b.tokens) / (b.rate * share)
}

// debt is how far a class may overdraw.
func (b *bucket) debt(c Class, share float64) float64 { return overdraft[c] * max(2, b.rate*share) }

// Limiter is the state machine.
type Limiter struct {
	p        Params
	share    float64 // of the service's rate
	at       time.Duration
	shrunk   time.Duration
	lowered  bool // the announced limit holds
	requests bucket
	writes   bucket
	queue    [classes][]*Ticket
	// Stats count what was refused here, by class, and by the service.
	Shed [classes]uint64
	Busy uint64
}

// New returns a limiter with an equal share.
func New(p Params) *Limiter {
	p.Controllers = max(1, p.Controllers)
	q := &Limiter{p: p, share: equal / float64(p.Controllers),
		requests: bucket{rate: p.Requests}, writes: bucket{rate: p.Writes}}
	q.requests.tokens, q.writes.tokens = q.requests.burst(q.share), q.writes.burst(q.share)
	return q
}

// Share is the part of the service's rate that this controller uses at most.
func (q *Limiter) Share() float64 { return q.share }

// Writes is the service's rate of changes as far as is known, and whether that is the
// one that was announced.
func (q *Limiter) Writes() (perSecond float64, lowered bool) { return q.writes.rate, q.lowered }

func (q *Limiter) fill(now time.Duration) {
	s := (now - q.at).Seconds()
	if s <= 0 {
		return
	}
	q.at = now
	q.share = min(q.share+growth*min(s, 1), most)
	q.requests.fill(q.share, s)
	q.writes.fill(q.share, s)
}

// Refused takes the news that the service refused a request for its rate.
func (q *Limiter) Refused(now time.Duration) {
	q.fill(now)
	q.Busy++
	if q.shrunk != 0 && now-q.shrunk < pause {
		return
	}
	// Nobody says when an announced limit begins to hold. Taken for refusals of the old
	// rate, every leader's share would grow into them again and again.
	if q.p.NextWrites > 0 && q.p.NextWrites < q.writes.rate && q.shrunk != 0 && now-q.shrunk < sure {
		q.lowered, q.writes.rate = true, q.p.NextWrites
	}
	q.shrunk = now
	q.share = max(q.share*shrink, least/float64(q.p.Controllers))
	q.requests.tokens = min(q.requests.tokens, 0)
	q.writes.tokens = min(q.writes.tokens, 0)
}

// Ask asks for one request with so many changes to go, by until at the latest. The
// ticket's channel is closed at once where it may go now, or could not in time.
func (q *Limiter) Ask(now time.Duration, c Class, writes int, until time.Duration) *Ticket {
	q.fill(now)
	t := &Ticket{class: c, writes: float64(writes), until: until, Go: make(chan struct{})}
	if len(q.queue[c]) == 0 && q.passes(t) {
		q.spend(t)
		close(t.Go)
		return t
	}
	if now+q.estimate(t) > until {
		q.refuse(t)
		return t
	}
	q.queue[c] = append(q.queue[c], t)
	return t
}

// passes: the bucket of each allows it, and nothing more urgent waits.
func (q *Limiter) passes(t *Ticket) bool {
	for c := range t.class {
		if len(q.queue[c]) > 0 && c != Authority {
			return false
		}
	}
	return q.requests.allows(t.class, 1, q.share) && q.writes.allows(t.class, t.writes, q.share)
}

func (q *Limiter) spend(t *Ticket) {
	q.requests.tokens--
	q.writes.tokens -= t.writes
}

func (q *Limiter) refuse(t *Ticket) {
	t.Refused = true
	q.Shed[t.class]++
	close(t.Go)
}

// estimate is how long a ticket would wait behind those of its class and of more
// urgent ones.
func (q *Limiter) estimate(t *Ticket) time.Duration {
	requests, writes := 1.0, t.writes
	for c := range t.class + 1 {
		for _, o := range q.queue[c] {
			requests++
			writes += o.writes
		}
	}
	s := max(q.requests.lacks(t.class, requests, q.share), q.writes.lacks(t.class, writes, q.share))
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
			close(t.Go)
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
	n := min(t.writes, q.writes.burst(q.share))
	s := max(q.requests.lacks(c, 1, q.share), q.writes.lacks(c, n, q.share))
	at := min(now+max(time.Millisecond, time.Duration(s*float64(time.Second))), t.until)
	if next != 0 {
		at = min(at, next)
	}
	return at
}

// Drop gives a ticket up that nobody waits for any more.
func (q *Limiter) Drop(t *Ticket) {
	q.queue[t.class] = slices.DeleteFunc(q.queue[t.class], func(o *Ticket) bool { return o == t })
}

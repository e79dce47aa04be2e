// Package storehealth judges the state service as this controller sees it, from
// what became of its own requests and from what its siblings say of theirs. It is a
// state machine without input or output; times are the steady clock's.
//
// Three troubles look alike to somebody who only sees that no answer comes: the
// service is out for all, it refuses this controller alone, or this controller (or
// everybody together) asks for more than it can have. Only the second is a reason to
// let another lead. Taken for it, the third feeds itself: the next leader reads the
// store anew, which is yet more to ask for.
package storehealth

import "time"

// Outcome of a request to the state service.
type Outcome uint8

// Outcomes.
const (
	Served   Outcome = iota // executed, or kept back by its own guard
	Busy                    // not executed: above the service's rate
	Refused                 // not executed: an outage, or for this controller alone
	NoAnswer                // no answer in time
)

const (
	// UnreachableAfter is for how long no request must have got through before a controller
	// no longer tries the service first.
	UnreachableAfter = 2200 * time.Millisecond
	// aloneAfter and siblingAhead: it is refused alone once nothing has got through
	// for so long while a sibling's request was served so much later.
	aloneAfter   = 2500 * time.Millisecond
	siblingAhead = 1500 * time.Millisecond
	// yieldAfter is the length of the leader's lease: before that is over nobody else can
	// have its key.
	yieldAfter = 3 * time.Second
	// A sibling was served just now, or (its requests take long, or are few) lately.
	justNow = 500 * time.Millisecond
	lately  = 3 * time.Second
	// confirmedFor is how long a sibling's confirmation is good for that it is served.
	confirmedFor = 400 * time.Millisecond
	// givenUp: behind a cut it takes a renewal the whole lease to be given up.
	givenUp = 4 * time.Second
	// enough requests must have failed since: one may have been unlucky.
	enough = 3
	// lateBy is how late a timer must fire to show that silence may be this
	// process's own doing.
	lateBy = 400 * time.Millisecond
)

// Health is the state machine.
type Health struct {
	served  time.Duration // the newest request that was served was sent
	reached time.Duration // ... that was served, or refused for the rate alone
	failed  int           // requests sent since reached that were refused or not answered
	vain    time.Duration // the newest of them was sent
	next    time.Duration // a sibling was served then: a request of here is to fail that was sent later
	ahead   time.Duration // the newest such moment after which one has
	excused time.Duration // this process was late then: silence before it proves nothing
	known   bool          // any request was served

	confirmed time.Duration // a sibling said so that was asked whether it is served
}

// RecordOutcome takes what became of a request that was sent then.
func (h *Health) RecordOutcome(sent time.Duration, o Outcome) {
	switch o {
	case Served:
		h.served, h.known = max(h.served, sent), true
		h.reach(sent)
	case Busy:
		h.reach(sent)
	case NoAnswer:
		if sent < h.excused {
			return
		}
		fallthrough
	case Refused:
		if sent > h.reached {
			h.failed++
			h.vain = max(h.vain, sent)
		}
	}
}

func (h *Health) reach(sent time.Duration) {
	if sent > h.reached {
		h.reached, h.failed = sent, 0
	}
}

// RecordDelay takes how late this process's timer fired: what was not answered meanwhile
// may have been answered in time.
func (h *Health) RecordDelay(now, by time.Duration) {
	if by >= lateBy {
		h.excused, h.failed = now, 0
	}
}

// LastServed is when the newest request that was served was sent; known is false if
// there was none.
func (h *Health) LastServed() (at time.Duration, known bool) { return h.served, h.known }

// Unreachable tells that no request has got through for a while, though one was sent: users'
// requests are better passed on to a sibling. Where many controllers share the work, one may
// have nothing to ask for longer than that.
func (h *Health) Unreachable(now time.Duration) bool {
	return now-h.reached > UnreachableAfter && (h.vain > h.reached || !h.known)
}

// RefusedAlone tells that the service refuses this controller while it serves a sibling,
// whose newest served request was sent then by this clock.
func (h *Health) RefusedAlone(now, sibling time.Duration) bool {
	return now-h.reached >= aloneAfter && h.failed >= enough && sibling > h.reached+siblingAhead
}

// ShouldYield tells that a leader that is refused alone should let another lead, as long as that
// one is served, and this controller was refused after it. For if the service is out for all
// by now, nobody can lead until it is back, and all that runs would be lost with its leases;
// and when it is back for all, a sibling may only have asked first.
func (h *Health) ShouldYield(now, sibling time.Duration) bool {
	if h.next <= h.reached {
		h.next = sibling
	}
	if h.vain >= h.next {
		h.ahead, h.next = h.next, sibling
	}
	silent := now - h.reached
	return h.RefusedAlone(now, sibling) && h.ahead > h.reached && now-h.ahead <= givenUp &&
		(silent >= yieldAfter && now-sibling <= justNow || silent >= 2*yieldAfter && now-sibling <= lately)
}

// YieldNow tells whether a leader that would yield lets another lead now: once a sibling that
// asked the service on its behalf has just been served. What siblings were served earlier says
// nothing of an outage that has begun since. ask tells that one is to be asked.
func (h *Health) YieldNow(now, sibling time.Duration) (yes, ask bool) {
	if !h.ShouldYield(now, sibling) {
		return false, false
	}
	yes = h.confirmed > h.reached && now-h.confirmed <= confirmedFor
	return yes, !yes
}

// ConfirmServed takes that a sibling was served that asked for this controller.
func (h *Health) ConfirmServed(now time.Duration) { h.confirmed = max(h.confirmed, now) }

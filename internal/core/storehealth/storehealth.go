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
	// refusedAloneAfter and siblingAhead: it is refused alone once nothing has got through
	// for so long while a sibling's request was served so much later.
	refusedAloneAfter = 2500 * time.Millisecond
	minSiblingLead    = 1500 * time.Millisecond
	// yieldAfter is the length of the leader's lease: before that is over nobody else can
	// have its key.
	yieldAfter = 3 * time.Second
	// A sibling was served just now, or (its requests take long, or are few) lately.
	servedJustNow = 500 * time.Millisecond
	servedLately  = 3 * time.Second
	// confirmationTTL is how long a sibling's confirmation is good for that it is served.
	confirmationTTL = 400 * time.Millisecond
	// renewalTimeout: behind a cut it takes a renewal the whole lease to be given up.
	renewalTimeout = 4 * time.Second
	// minFailures requests must have failed since: one may have been unlucky.
	minFailures = 3
	// minTimerDelay is how late a timer must fire to show that silence may be this
	// process's own doing.
	minTimerDelay = 400 * time.Millisecond
)

// Health is the state machine.
type Health struct {
	lastServed           time.Duration // the newest request that was served was sent
	lastReached          time.Duration // ... that was served, or refused for the rate alone
	failures             int           // requests sent since reached that were refused or not answered
	lastFailed           time.Duration // the newest of them was sent
	nextSiblingServed    time.Duration // a sibling was served then: a request of here is to fail that was sent later
	siblingServedBetween time.Duration // the newest such moment after which one has
	lastDelayed          time.Duration // this process was late then: silence before it proves nothing
	everServed           bool          // any request was served

	confirmedAt time.Duration // a sibling said so that was asked whether it is served
}

// RecordOutcome takes what became of a request that was sent then.
func (h *Health) RecordOutcome(sent time.Duration, o Outcome) {
	switch o {
	case Served:
		h.lastServed, h.everServed = max(h.lastServed, sent), true
		h.recordReached(sent)
	case Busy:
		h.recordReached(sent)
	case NoAnswer:
		if sent < h.lastDelayed {
			return
		}
		fallthrough
	case Refused:
		if sent > h.lastReached {
			h.failures++
			h.lastFailed = max(h.lastFailed, sent)
		}
	}
}

func (h *Health) recordReached(sent time.Duration) {
	if sent > h.lastReached {
		h.lastReached, h.failures = sent, 0
	}
}

// RecordDelay takes how late this process's timer fired: what was not answered meanwhile
// may have been answered in time.
func (h *Health) RecordDelay(now, delay time.Duration) {
	if delay >= minTimerDelay {
		h.lastDelayed, h.failures = now, 0
	}
}

// LastServed is when the newest request that was served was sent; known is false if
// there was none.
func (h *Health) LastServed() (at time.Duration, known bool) { return h.lastServed, h.everServed }

// Unreachable tells that no request has got through for a while, though one was sent: users'
// requests are better passed on to a sibling. Where many controllers share the work, one may
// have nothing to ask for longer than that.
func (h *Health) Unreachable(now time.Duration) bool {
	return now-h.lastReached > UnreachableAfter && (h.lastFailed > h.lastReached || !h.everServed)
}

// RefusedAlone tells that the service refuses this controller while it serves a sibling,
// whose newest served request was sent then by this clock.
func (h *Health) RefusedAlone(now, siblingServed time.Duration) bool {
	return now-h.lastReached >= refusedAloneAfter && h.failures >= minFailures &&
		siblingServed > h.lastReached+minSiblingLead
}

// ShouldYield tells that a leader that is refused alone should let another lead, as long as that
// one is served, and this controller was refused after it. For if the service is out for all
// by now, nobody can lead until it is back, and all that runs would be lost with its leases;
// and when it is back for all, a sibling may only have asked first.
func (h *Health) ShouldYield(now, siblingServed time.Duration) bool {
	if h.nextSiblingServed <= h.lastReached {
		h.nextSiblingServed = siblingServed
	}
	if h.lastFailed >= h.nextSiblingServed {
		h.siblingServedBetween, h.nextSiblingServed = h.nextSiblingServed, siblingServed
	}
	unserved := now - h.lastReached
	return h.RefusedAlone(now, siblingServed) && h.siblingServedBetween > h.lastReached &&
		now-h.siblingServedBetween <= renewalTimeout &&
		(unserved >= yieldAfter && now-siblingServed <= servedJustNow ||
			unserved >= 2*yieldAfter && now-siblingServed <= servedLately)
}

// YieldNow tells whether a leader that would yield lets another lead now: once a sibling that
// asked the service on its behalf has just been served. What siblings were served earlier says
// nothing of an outage that has begun since. ask tells that one is to be asked.
func (h *Health) YieldNow(now, siblingServed time.Duration) (yield, ask bool) {
	if !h.ShouldYield(now, siblingServed) {
		return false, false
	}
	yield = h.confirmedAt > h.lastReached && now-h.confirmedAt <= confirmationTTL
	return yield, !yield
}

// ConfirmServed takes that a sibling was served that asked for this controller.
func (h *Health) ConfirmServed(now time.Duration) { h.confirmedAt = max(h.confirmedAt, now) }

// Package storehealth judges the health of the state service as seen by this controller, from the
// outcomes of its own requests and from what its siblings report about theirs. It is a state machine
// without input or output; times are those of the monotonic clock.
//
// Three failures look alike if only missing answers are seen: the service is unavailable to all
// controllers, it refuses only this one, or this controller (or all of them) exceeds the service's
// rate. Only the second is a reason for a leader to yield. If the third were mistaken for it, it
// would get worse, because each new leader reads the whole store again.
package storehealth

import "time"

// Outcome is the outcome of a request to the state service.
type Outcome uint8

// Outcomes.
const (
	Served   Outcome = iota // executed, or not executed because of its own guard
	Busy                    // not executed: the service's rate is exhausted
	Refused                 // not executed: the service is unavailable, or refuses this controller
	NoAnswer                // no answer in time
)

const (
	// UnreachableAfter is the time without a request that reached the service after which a
	// controller forwards users' requests instead of trying the service first.
	UnreachableAfter = 2200 * time.Millisecond
	// A controller is refused alone if none of its requests has reached the service for
	// refusedAloneAfter, while one that a sibling sent at least minSiblingLead later was served.
	refusedAloneAfter = 2500 * time.Millisecond
	minSiblingLead    = 1500 * time.Millisecond
	// yieldAfter is the length of the leader's lease: until it ends nobody else can take the
	// leader's key.
	yieldAfter = 3 * time.Second
	// A leader yields while a sibling was served within servedJustNow or, after twice as long
	// without service, within servedLately: siblings may send few requests, or slow ones.
	servedJustNow = 500 * time.Millisecond
	servedLately  = 3 * time.Second
	// confirmationTTL is how long a sibling's confirmation that it is served is valid.
	confirmationTTL = 400 * time.Millisecond
	// renewalTimeout is how long a renewal may take to fail: the whole lease if the network is cut.
	renewalTimeout = 4 * time.Second
	// minFailures is the number of requests that must have failed; a single failure may have other
	// reasons.
	minFailures = 3
	// minTimerDelay is how late a timer must fire to show that missing answers may be due to
	// this process itself.
	minTimerDelay = 400 * time.Millisecond
)

// Health is the state machine of one controller. A request "reached" the service if it was served, or
// refused only because of the rate limit. Requests are identified by when they were sent.
type Health struct {
	lastServed           time.Duration // newest request that was served
	lastReached          time.Duration // newest request that reached the service
	failures             int           // requests sent after lastReached that were refused or not answered
	lastFailed           time.Duration // newest of these
	nextSiblingServed    time.Duration // a sibling was served then; no request sent here since has failed yet
	siblingServedBetween time.Duration // newest time of a sibling's served request before one that failed here
	lastDelayed          time.Duration // latest delay of this process: missing answers to earlier requests do not count
	everServed           bool          // a request was served at least once

	confirmedAt time.Duration // when a sibling, asked by this controller, confirmed that it is served
}

// RecordOutcome takes the outcome of a request, and when it was sent.
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

// recordReached records that a request reached the service.
func (h *Health) recordReached(sent time.Duration) {
	if sent > h.lastReached {
		h.lastReached, h.failures = sent, 0
	}
}

// RecordDelay takes how late a timer of this process fired. Requests that seemed unanswered until now
// may have been answered in time, so after a long delay they do not count.
func (h *Health) RecordDelay(now, delay time.Duration) {
	if delay >= minTimerDelay {
		h.lastDelayed, h.failures = now, 0
	}
}

// LastServed returns when the newest request that was served was sent; known is false if there was
// none.
func (h *Health) LastServed() (at time.Duration, known bool) { return h.lastServed, h.everServed }

// Unreachable reports whether no request has reached the service for a while and one has failed
// since: users' requests should be forwarded to a sibling. Time without requests does not count,
// because one of many controllers may have none to send for longer.
func (h *Health) Unreachable(now time.Duration) bool {
	return now-h.lastReached > UnreachableAfter && (h.lastFailed > h.lastReached || !h.everServed)
}

// RefusedAlone reports whether the service refuses this controller while it serves a sibling.
// siblingServed is when, by this controller's clock, the sibling sent its newest served request.
func (h *Health) RefusedAlone(now, siblingServed time.Duration) bool {
	return now-h.lastReached >= refusedAloneAfter && h.failures >= minFailures &&
		siblingServed > h.lastReached+minSiblingLead
}

// ShouldYield reports whether a leader should yield because it is refused alone. There are two
// conditions. The sibling was served lately: if the service is unavailable to all by now, nobody
// can lead until it is back, and all running tasks would be lost when their leases end. And a request of
// this controller failed after one of the sibling's was served: when the service comes back for all, the
// sibling may merely be the first to be served.
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

// YieldNow reports whether a leader that should yield does so now: after a sibling has just made a
// request on its behalf and was served. Earlier requests of siblings do not rule out an outage that
// began since. ask reports that a sibling should be asked for that confirmation.
func (h *Health) YieldNow(now, siblingServed time.Duration) (yield, ask bool) {
	if !h.ShouldYield(now, siblingServed) {
		return false, false
	}
	yield = h.confirmedAt > h.lastReached && now-h.confirmedAt <= confirmationTTL
	return yield, !yield
}

// ConfirmServed records that a sibling that made a request on behalf of this controller was served.
func (h *Health) ConfirmServed(now time.Duration) { h.confirmedAt = max(h.confirmedAt, now) }

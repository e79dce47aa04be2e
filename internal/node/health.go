package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"honeylock/internal/core/overload"
	"honeylock/internal/core/storehealth"
)

// processHealth tracks how far behind this process is, and whether the state service serves it. It has
// its own lock, so that neither the admission of requests nor the recording of the state service's
// answers waits for a long cycle to end.
type processHealth struct {
	mu       sync.Mutex
	overload overload.Detector
	store    storehealth.Health
	jitter   *rand.Rand // spreads the retries of refused users
}

// recordDelay records how late a tick was.
func (h *processHealth) recordDelay(now, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overload.RecordDelay(now, max(0, delay))
	h.store.RecordDelay(now, delay)
}

// recordRequest records the outcome of a request to the state service.
func (h *processHealth) recordRequest(sent time.Duration, outcome storehealth.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.RecordOutcome(sent, outcome)
}

// admit reports whether a user's request should be processed, and if not, when the user should try
// again.
func (h *processHealth) admit(now time.Duration, kind overload.Kind) (ok bool, retryAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overload.Admits(now, kind), h.overload.RetryAfter(now, h.jitter.Float64())
}

// scaleConcurrency returns how many operations, of at most limit, this process should have in progress
// on its own initiative: fewer the further it is behind.
func (h *processHealth) scaleConcurrency(now time.Duration, limit int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overload.Scale(now, limit)
}

// lag returns how far behind this process is.
func (h *processHealth) lag(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overload.Lag(now)
}

// stateUnreachable reports whether no request of this controller has reached the state service for a
// while.
func (h *processHealth) stateUnreachable(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.Unreachable(now)
}

// refusedAlone reports whether the state service refuses this controller while it serves another one,
// which it last served at siblingServedAt.
func (h *processHealth) refusedAlone(now, siblingServedAt time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.RefusedAlone(now, siblingServedAt)
}

// shouldYield reports whether this leader should yield to another controller that the state service
// serves. confirm is true if one should first be asked whether it is served.
func (h *processHealth) shouldYield(now, siblingServedAt time.Duration) (yield, confirm bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.YieldNow(now, siblingServedAt)
}

// yieldConfirmed records that another controller, when asked, was served by the state service.
func (h *processHealth) yieldConfirmed(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.ConfirmServed(now)
}

// lastServed returns when the newest request that the state service has served was sent.
func (h *processHealth) lastServed() (at time.Duration, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.LastServed()
}

// sinceServed returns how long ago lastServed was, more than an hour if nothing was ever served.
func (h *processHealth) sinceServed(now time.Duration) time.Duration {
	at, known := h.lastServed()
	if !known {
		return now + time.Hour
	}
	return now - at
}

package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"honeylock/internal/core/overload"
	"honeylock/internal/core/storehealth"
)

// processHealth is how this process is doing: how far behind it is, and how it stands with
// the state service. It has a lock of its own: neither a door nor an answer of the
// state service should wait for a long turn to be told, or to tell.
type processHealth struct {
	mu       sync.Mutex
	overload overload.Detector
	store    storehealth.Health
	jitter   *rand.Rand // sets askers apart
}

// recordDelay takes how recordDelay a tick came.
func (h *processHealth) recordDelay(now, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overload.RecordDelay(now, max(0, delay))
	h.store.RecordDelay(now, delay)
}

// recordRequest takes what became of a request to the state service.
func (h *processHealth) recordRequest(sent time.Duration, o storehealth.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.RecordOutcome(sent, o)
}

// admit tells whether a user's request should be begun at all, or when its user
// should ask again.
func (h *processHealth) admit(now time.Duration, kind overload.Kind) (ok bool, retryAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overload.Admits(now, kind), h.overload.RetryAfter(now, h.jitter.Float64())
}

// scaleConcurrency is how many of up to most things this process should do at a time of its
// own accord.
func (h *processHealth) scaleConcurrency(now time.Duration, limit int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overload.Scale(now, limit)
}

func (h *processHealth) lag(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overload.Lag(now)
}

// stateUnserved, alone, givesWay and confirmed are the store's.
func (h *processHealth) stateUnserved(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.Unreachable(now)
}

func (h *processHealth) refusedAlone(now, siblingServedAt time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.RefusedAlone(now, siblingServedAt)
}

func (h *processHealth) shouldYield(now, siblingServedAt time.Duration) (yield, confirm bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.YieldNow(now, siblingServedAt)
}

func (h *processHealth) yieldConfirmed(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.ConfirmServed(now)
}

// lastServed is when the newest request was sent that the state service has lastServed.
func (h *processHealth) lastServed() (at time.Duration, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.LastServed()
}

// sinceServed is how long ago that was; long ago if there was none.
func (h *processHealth) sinceServed(now time.Duration) time.Duration {
	at, known := h.lastServed()
	if !known {
		return now + time.Hour
	}
	return now - at
}

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
	spread   *rand.Rand // sets askers apart
}

// late takes how late a tick came.
func (p *processHealth) late(now, by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.overload.RecordDelay(now, max(0, by))
	p.store.RecordDelay(now, by)
}

// note takes what became of a request to the state service.
func (p *processHealth) note(sent time.Duration, o storehealth.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.RecordOutcome(sent, o)
}

// takes tells whether a user's request should be begun at all, or when its user
// should ask again.
func (p *processHealth) takes(now time.Duration, k overload.Kind) (ok bool, again time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overload.Admits(now, k), p.overload.RetryAfter(now, p.spread.Float64())
}

// atOnce is how many of up to most things this process should do at a time of its
// own accord.
func (p *processHealth) atOnce(now time.Duration, most int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overload.Scale(now, most)
}

func (p *processHealth) lag(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overload.Lag(now)
}

// missing, alone, givesWay and confirmed are the store's.
func (p *processHealth) missing(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.Unreachable(now)
}

func (p *processHealth) alone(now, sibling time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.RefusedAlone(now, sibling)
}

func (p *processHealth) givesWay(now, sibling time.Duration) (yes, ask bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.YieldNow(now, sibling)
}

func (p *processHealth) confirmed(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.ConfirmServed(now)
}

// served is when the newest request was sent that the state service has served.
func (p *processHealth) served() (at time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.LastServed()
}

// servedAgo is how long ago that was; long ago if there was none.
func (p *processHealth) servedAgo(now time.Duration) time.Duration {
	at, known := p.served()
	if !known {
		return now + time.Hour
	}
	return now - at
}

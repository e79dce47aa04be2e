package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"honeylock/internal/core/storehealth"
	"honeylock/internal/core/strain"
)

// pulse is how this process is doing: how far behind it is, and how it stands with
// the state service. It has a lock of its own: neither a door nor an answer of the
// state service should wait for a long turn to be told, or to tell.
type pulse struct {
	mu     sync.Mutex
	strain strain.Strain
	health storehealth.Health
	spread *rand.Rand // sets askers apart
}

// late takes how late a tick came.
func (p *pulse) late(now, by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.strain.Late(now, max(0, by))
	p.health.Late(now, by)
}

// note takes what became of a request to the state service.
func (p *pulse) note(sent time.Duration, o storehealth.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.Note(sent, o)
}

// takes tells whether a user's request should be begun at all, or when its user
// should ask again.
func (p *pulse) takes(now time.Duration, k strain.Kind) (ok bool, again time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strain.Takes(now, k), p.strain.Again(now, p.spread.Float64())
}

// atOnce is how many of up to most things this process should do at a time of its
// own accord.
func (p *pulse) atOnce(now time.Duration, most int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strain.Scale(now, most)
}

func (p *pulse) lag(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.strain.Lag(now)
}

// missing, alone, givesWay and confirmed are the store health's.
func (p *pulse) missing(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.Missing(now)
}

func (p *pulse) alone(now, sibling time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.Alone(now, sibling)
}

func (p *pulse) givesWay(now, sibling time.Duration) (yes, ask bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.GivesWay(now, sibling)
}

func (p *pulse) confirmed(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.Confirmed(now)
}

// served is when the newest request was sent that the state service has served.
func (p *pulse) served() (at time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.Served()
}

// servedAgo is how long ago that was; long ago if there was none.
func (p *pulse) servedAgo(now time.Duration) time.Duration {
	at, known := p.served()
	if !known {
		return now + time.Hour
	}
	return now - at
}

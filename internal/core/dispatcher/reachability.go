package dispatcher

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// A machine whose reports arrive while nothing reaches it goes from controller to
// controller, for its worker takes none of them to answer. Each new owner would answer
// it, and count its lease from then: what it held would wait for ever. So once two owners
// in succession have not had it show its token, the next ones answer it only when it has
// been shown to hear, by an answer on a connection that they opened; its lease runs from
// the last answer that may have arrived.
const (
	maxUnfencedOwners = 2
	// verificationTimeout is for how long such an owner asks before another one may try.
	verificationTimeout = 5 * time.Second
)

func (m *machine) needsVerification() bool { return m.unfencedOwners >= maxUnfencedOwners }

// recordRelease notes what its owner told when it let go of a machine.
func (m *machine) recordRelease(now time.Duration, e *model.Event) {
	if !m.fenced {
		m.unfencedOwners++
	}
	if !e.Held {
		// It was answered until now at the latest.
		m.lostAuthorityEnd = max(m.lostAuthorityEnd, now)
		m.authorityEnd = max(m.authorityEnd, now)
	}
}

// deferEvent holds back what a shard tells that is to let go of a machine: orders that
// follow from it would arrive too late there. Should it keep the machine, it counts.
func (d *Dispatcher) deferEvent(e *model.Event) bool {
	switch e.Kind {
	case model.WorkerFenced, model.LeaseExpiryConfirmed:
	case model.AttemptFound:
		if e.Status.Stage == model.Exited {
			return false
		}
	default:
		return false
	}
	d.deferredEvents[e.Machine] = append(d.deferredEvents[e.Machine], *e)
	return true
}

// machineKept takes the news that a shard was right to keep a machine: what came in elsewhere
// was a copy.
func (d *Dispatcher) machineKept(now time.Duration, from model.ShardID, m *machine) {
	m.releasing, m.nextOwner = false, 0
	deferred := d.deferredEvents[m.ID]
	delete(d.deferredEvents, m.ID)
	for i := range deferred {
		d.HandleEvent(now, from, deferred[i])
	}
}

// dropDeferredAttempt drops what was held back of an attempt that is nowhere any more.
func (d *Dispatcher) dropDeferredAttempt(attempt uint64) {
	for id, deferred := range d.deferredEvents {
		d.deferredEvents[id] = slices.DeleteFunc(deferred, func(e model.Event) bool {
			return e.Kind == model.AttemptFound && e.Attempt == attempt
		})
	}
}

// UnverifiedCount counts the machines that have shown no owner that they receive, two in succession
// or more.
func (d *Dispatcher) UnverifiedCount() (n int) {
	for _, m := range d.machinesByID {
		if m.needsVerification() && !m.fenced && !m.gone {
			n++
		}
	}
	return n
}

package dispatcher

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// A worker may be able to send reports while no message reaches it. It gets no answer, so it
// reports to one controller after another. If each new owner answered it, each would count the
// worker's lease from its own answer, and the tasks on the machine would never be freed. Therefore,
// after maxUnfencedOwners successive owners that could not fence the worker, a new owner first
// verifies that the worker receives messages: it does not answer reports until the worker has
// answered a connection that the owner opened. The lease then counts from the last answer that may
// have reached the worker.
const (
	maxUnfencedOwners = 2
	// verificationTimeout is how long an owner may verify a worker before another shard may become
	// owner.
	verificationTimeout = 5 * time.Second
)

// needsVerification reports whether a new owner must verify that the worker receives messages
// before answering it.
func (m *machine) needsVerification() bool { return m.unfencedOwners >= maxUnfencedOwners }

// recordRelease updates a machine from its owner's MachineReleased event. Held in the event means
// that the owner never answered the worker.
func (m *machine) recordRelease(now time.Duration, e *model.Event) {
	if !m.fenced {
		m.unfencedOwners++
	}
	if !e.Held {
		// The owner may have answered the worker until now.
		m.lostAuthorityEnd = max(m.lostAuthorityEnd, now)
		m.authorityEnd = max(m.authorityEnd, now)
	}
}

// deferEvent stores an event of a shard that was ordered to release its machine, and reports
// whether it did. Orders that follow from the event would arrive after the release. The event is
// handled later if the shard keeps the machine, and dropped otherwise.
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

// machineKept handles the event that a shard keeps its machine, because the report to another shard
// was a replayed copy. Deferred events are handled now.
func (d *Dispatcher) machineKept(now time.Duration, from model.ShardID, m *machine) {
	m.releasing, m.nextOwner = false, 0
	deferred := d.deferredEvents[m.ID]
	delete(d.deferredEvents, m.ID)
	for i := range deferred {
		d.HandleEvent(now, from, deferred[i])
	}
	if m.renewalDue {
		m.renewalDue = false
		d.renewOwnership(m)
	}
}

// dropDeferredAttempt removes deferred events of an attempt that has ended.
func (d *Dispatcher) dropDeferredAttempt(attempt uint64) {
	for id, deferred := range d.deferredEvents {
		d.deferredEvents[id] = slices.DeleteFunc(deferred, func(e model.Event) bool {
			return e.Kind == model.AttemptFound && e.Attempt == attempt
		})
	}
}

// UnverifiedCount returns the number of machines that maxUnfencedOwners or more successive owners
// released without having fenced the worker, and whose present owner has not fenced it either.
func (d *Dispatcher) UnverifiedCount() (n int) {
	for _, m := range d.machinesByID {
		if m.needsVerification() && !m.fenced && !m.gone {
			n++
		}
	}
	return n
}

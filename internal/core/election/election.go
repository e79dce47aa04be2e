// Package election decides whether this controller is the leader, and until when by its own
// monotonic clock. It is a state machine without input or output: it returns operations on the
// state service to run, and takes their results and the time as arguments.
//
// The leader's key in the state service is attached to a lease. A controller becomes leader by
// putting that key, together with the next term, in a transaction that fails if the key exists.
package election

import "time"

// Verb is what an Op does.
type Verb uint8

// Verbs of operations.
const (
	Read    Verb = iota // read the leader's key and the term
	Grant               // request a lease
	Acquire             // in one transaction: if the leader's key is absent and the term as read, put both
	Renew               // renew the lease
	Revoke              // end a lease
)

// Op is an operation to run on the state service. Its result comes back through HandleResult.
type Op struct {
	Verb        Verb
	Lease       uint64
	Term        uint64 // Acquire: the new term
	TermVersion uint64
	SentAt      time.Duration
}

// LeaderRecord is the leader's key as read from the state service.
type LeaderRecord struct {
	Present bool
	Host    string
	Term    uint64
	Lease   uint64
	Version uint64
}

// Result is the outcome of an Op.
type Result struct {
	Op          Op
	OK          bool
	NotExecuted bool // certainly not executed: its guard failed, or the lease is unknown
	// Leader, Term and TermVersion are set for Read.
	Leader      LeaderRecord
	Term        uint64
	TermVersion uint64
	// Lease is set for Grant; Version, that of the leader's key, for Acquire.
	Lease, Version uint64
}

// Election is the state machine of one controller.
type Election struct {
	host                 string
	ttl                  time.Duration
	clockMargin          time.Duration
	stagger              time.Duration
	followerReadInterval time.Duration // between a follower's reads of the leader's key

	operationPending bool
	nextOperationAt  time.Duration
	observed         LeaderRecord
	lease            uint64
	leaseSentAt      time.Duration // when the last successful renewal, or the grant, was sent
	leading          bool
	term             uint64
	version          uint64
	renewalPending   bool
	renewalSentAt    time.Duration // when the last renewal was sent
	nextRenewalAt    time.Duration // when the next renewal is due
	leasesToRevoke   []uint64      // leases of this controller that must be ended

	// ownPromiseUntil is the time before which this controller must not take leadership, because a
	// leader relies on its promise. A process that has just started may have promised in its previous
	// run, so it waits for the length of a promise.
	ownPromiseUntil       time.Duration
	promisedThisRun       bool          // has promised since the process started
	siblingsPromisedUntil time.Duration // all siblings have promised not to take leadership before
}

// New returns the election of a follower. ttl is the length of the lease. stagger delays this
// controller when a watch shows that the key is free; it differs between controllers, so that those
// that see the free key at the same moment don't compete for it. promise is the length of promises,
// and now is the start of the process.
func New(host string, ttl, stagger, promise, now time.Duration) *Election {
	return &Election{
		host:                 host,
		ttl:                  ttl,
		followerReadInterval: minReadInterval,
		clockMargin:          ttl/500 + 150*time.Millisecond,
		stagger:              stagger,
		ownPromiseUntil:      now + promise,
	}
}

// SetSiblings sets the number of other controllers. All followers together read the leader's key
// about twice a second, whatever their number. They learn sooner from a watch that the key is gone,
// and read it soon after their link to the leader breaks.
func (e *Election) SetSiblings(n int) {
	e.followerReadInterval = max(minReadInterval, time.Duration(n)*minReadInterval/2)
}

// CheckSoon makes a follower read the leader's key soon, because its link to the leader broke.
func (e *Election) CheckSoon(now time.Duration) {
	if !e.leading {
		e.nextOperationAt = min(e.nextOperationAt, now+retryInterval)
	}
}

// Promise records the promise not to take leadership before until.
func (e *Election) Promise(until time.Duration) {
	e.ownPromiseUntil, e.promisedThisRun = max(e.ownPromiseUntil, until), true
}

// ClearPriorPromise is called when it is known that no sibling leads, so that no leader can rely on
// a promise of this controller's previous run. It doesn't affect promises of this run.
func (e *Election) ClearPriorPromise(now time.Duration) {
	if !e.promisedThisRun {
		e.ownPromiseUntil = min(e.ownPromiseUntil, now)
		e.nextOperationAt = min(e.nextOperationAt, now)
	}
}

// ExtendAuthority records that every sibling has promised not to take leadership before until. The
// leader's authority lasts until then even if its lease is not renewed: while the state service is
// out the key can't change hands, and if the service refuses only this controller, the key may
// expire, but nobody takes it.
func (e *Election) ExtendAuthority(until time.Duration) {
	e.siblingsPromisedUntil = max(e.siblingsPromisedUntil, until)
}

// Deadline returns when the leader's authority ends unless it is renewed: the lease's length after
// the last successful renewal was sent, less a margin for clock drift and late timers; or, if that
// is later, the end of all siblings' promises.
func (e *Election) Deadline() time.Duration {
	return max(e.leaseSentAt+e.ttl-e.clockMargin, e.siblingsPromisedUntil)
}

// Leading reports whether this controller may act as the leader now.
func (e *Election) Leading(now time.Duration) bool { return e.leading && now < e.Deadline() }

// Term returns the current term. It is only valid while leading.
func (e *Election) Term() uint64 { return e.term }

// Version returns the version of the leader's key, which guards every write of the leader.
func (e *Election) Version() uint64 { return e.version }

// Holder returns the last known holder of the leader's key, "" if there is none.
func (e *Election) Holder() string {
	if e.leading {
		return e.host
	}
	if !e.observed.Present {
		return ""
	}
	return e.observed.Host
}

// Observe takes the state of the leader's key from a watch.
func (e *Election) Observe(now time.Duration, r LeaderRecord) {
	if r.Version < e.observed.Version && r.Present {
		return
	}
	e.observed = r
	if !r.Present && !e.leading {
		e.nextOperationAt = min(e.nextOperationAt, max(now, e.ownPromiseUntil)+e.stagger)
	}
}

// Resign gives up leadership at once: nothing more is done under this term. The lease is ended so
// that no other controller has to wait for it. This one does not run for leadership during pause.
func (e *Election) Resign(now, pause time.Duration) {
	if !e.leading {
		return
	}
	e.stepDown()
	e.nextOperationAt = now + pause
}

// stepDown ends leadership and schedules the end of its lease.
func (e *Election) stepDown() {
	if e.lease != 0 {
		e.leasesToRevoke = append(e.leasesToRevoke, e.lease)
	}
	e.leading, e.lease, e.renewalPending, e.siblingsPromisedUntil = false, 0, false, 0
	e.observed = LeaderRecord{}
}

// Step returns the operations to run now. It is called at every tick.
func (e *Election) Step(now time.Duration) []Op {
	var ops []Op
	if e.leading && now >= e.Deadline() {
		e.stepDown()
		e.nextOperationAt = now
	}
	if e.leading {
		// A late answer does not delay the next renewal.
		if now >= e.nextRenewalAt && (!e.renewalPending || now-e.renewalSentAt >= e.ttl/5) {
			e.renewalPending, e.renewalSentAt = true, now
			ops = append(ops, Op{Verb: Renew, Lease: e.lease, SentAt: now})
		}
		return ops
	}
	if !e.operationPending && now >= e.nextOperationAt {
		e.operationPending = true
		if n := len(e.leasesToRevoke); n > 0 {
			ops = append(ops, Op{Verb: Revoke, Lease: e.leasesToRevoke[n-1], SentAt: now})
		} else {
			ops = append(ops, Op{Verb: Read, SentAt: now})
		}
	}
	return ops
}

const (
	retryInterval   = 250 * time.Millisecond
	minReadInterval = time.Second
)

// HandleResult takes the result of an operation and returns the operations to run next at once.
func (e *Election) HandleResult(now time.Duration, r Result) []Op {
	if r.Op.Verb == Renew {
		return e.handleRenewal(now, r)
	}
	e.operationPending = false
	e.nextOperationAt = now + retryInterval
	switch r.Op.Verb {
	case Revoke:
		if r.OK || r.NotExecuted {
			e.leasesToRevoke = withoutLease(e.leasesToRevoke, r.Op.Lease)
			e.nextOperationAt = now
		}
	case Read:
		if !r.OK {
			break
		}
		e.observed = r.Leader
		if r.Leader.Present {
			if r.Leader.Host == e.host {
				// The key is from the previous run, or from a transaction that was applied
				// late. Nobody acts under it, because there is one process per controller.
				e.leasesToRevoke = append(withoutLease(e.leasesToRevoke, r.Leader.Lease), r.Leader.Lease)
				e.nextOperationAt = now
				if !e.promisedThisRun {
					// The previous run led, so no other leader relies on a promise of it.
					e.ownPromiseUntil = now
				}
			} else {
				e.nextOperationAt = now + e.followerReadInterval
			}
			break
		}
		if now < e.ownPromiseUntil {
			e.nextOperationAt = e.ownPromiseUntil
			break
		}
		e.operationPending = true
		return []Op{{Verb: Grant, Term: r.Term + 1, TermVersion: r.TermVersion, SentAt: now}}
	case Grant:
		if !r.OK {
			break
		}
		e.operationPending = true
		e.lease = r.Lease
		return []Op{{Verb: Acquire, Lease: r.Lease, Term: r.Op.Term, TermVersion: r.Op.TermVersion, SentAt: r.Op.SentAt}}
	case Acquire:
		if !r.OK || now < e.ownPromiseUntil {
			// The transaction may still be applied later. It fails once its lease has ended.
			e.leasesToRevoke = append(e.leasesToRevoke, e.lease)
			e.lease = 0
			break
		}
		e.leading, e.term, e.version = true, r.Op.Term, r.Version
		e.leaseSentAt = r.Op.SentAt // when the lease was requested
		e.nextRenewalAt = now
		e.renewalPending = false
	}
	return nil
}

// handleRenewal takes the result of a renewal.
func (e *Election) handleRenewal(now time.Duration, r Result) []Op {
	if !e.leading || r.Op.Lease != e.lease {
		return nil
	}
	e.renewalPending = false
	switch {
	case r.NotExecuted, now >= e.Deadline():
		// The lease has ended, or authority ended before this answer came, and the state of
		// the term has been dropped. If the term were resumed, tokens and attempt numbers would
		// be assigned a second time.
		e.stepDown()
		e.nextOperationAt = now
	case r.OK:
		if r.Op.SentAt > e.leaseSentAt {
			e.leaseSentAt = r.Op.SentAt
		}
		e.nextRenewalAt = r.Op.SentAt + max(e.ttl/8, 300*time.Millisecond)
	default:
		e.nextRenewalAt = now + retryInterval
	}
	return nil
}

// withoutLease removes a lease from a list, in place.
func withoutLease(leases []uint64, lease uint64) []uint64 {
	kept := leases[:0]
	for _, other := range leases {
		if other != lease {
			kept = append(kept, other)
		}
	}
	return kept
}

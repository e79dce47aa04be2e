// Package election decides whether this controller is the leader, and until
// when by its own steady clock. It asks for store operations and is told their
// results; it reads no clock and opens no socket.
package election

import "time"

// Verb of a store operation that the election asks for.
type Verb uint8

// Operations.
const (
	Read    Verb = iota // read the leader's key and the term's key
	Grant               // ask for a lease
	Acquire             // one transaction: leader's key absent, term as read; put both
	Renew               // extend the lease
	Revoke              // end a lease
)

// Op is an operation to run; its result comes back through Done.
type Op struct {
	Verb        Verb
	Lease       uint64
	Term        uint64 // Acquire: the new term
	TermVersion uint64
	SentAt      time.Duration
}

// LeaderRecord is what the leader's key held when it was read.
type LeaderRecord struct {
	Present bool
	Host    string
	Term    uint64
	Lease   uint64
	Version uint64
}

// Result is an operation's outcome.
type Result struct {
	Op          Op
	OK          bool
	NotExecuted bool // surely not executed: guard failed, lease unknown
	// Read:
	Leader      LeaderRecord
	Term        uint64
	TermVersion uint64
	// Grant: the lease. Acquire: the leader key's version.
	Lease, Version uint64
}

// Election is the state machine.
type Election struct {
	host                 string
	ttl                  time.Duration
	clockMargin          time.Duration
	stagger              time.Duration
	followerReadInterval time.Duration // between a follower's readings of the leader's key

	operationPending bool
	nextOperationAt  time.Duration
	observed         LeaderRecord
	lease            uint64
	leaseSentAt      time.Duration // of the lease's last successful renewal or grant
	leading          bool
	term             uint64
	version          uint64
	renewalPending   bool
	renewalSentAt    time.Duration // when the last renewal was sent
	nextRenewalAt    time.Duration // of the next renewal
	leasesToRevoke   []uint64      // leases of ours that must end

	// ownPromiseUntil: this controller does not take leadership before, for a leader
	// counts on it. A process that has just started may have promised in its
	// earlier life, and holds off for as long.
	ownPromiseUntil       time.Duration
	promisedThisRun       bool          // has promised in this life
	siblingsPromisedUntil time.Duration // until when all siblings have promised
}

// New returns a follower. ttl is the lease's length; stagger sets apart
// controllers that find the key free at the same moment; promise is the length
// of promises, now is the start of the process.
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

// SetSiblings says how many other controllers there are. All followers together then read
// the leader's key about twice a second, whatever their number: a watch tells them sooner
// that it is gone, and a link that breaks has them look at once.
func (e *Election) SetSiblings(n int) {
	e.followerReadInterval = max(minReadInterval, time.Duration(n)*minReadInterval/2)
}

// CheckSoon has a follower look at the leader's key soon: its link to the leader is gone.
func (e *Election) CheckSoon(now time.Duration) {
	if !e.leading {
		e.nextOperationAt = min(e.nextOperationAt, now+retryInterval)
	}
}

// Promise keeps this controller from taking leadership before until.
func (e *Election) Promise(until time.Duration) {
	e.ownPromiseUntil, e.promisedThisRun = max(e.ownPromiseUntil, until), true
}

// ClearPriorPromise tells a controller that has just started that no sibling leads, so
// that nobody can count on a promise of its last life.
func (e *Election) ClearPriorPromise(now time.Duration) {
	if !e.promisedThisRun {
		e.ownPromiseUntil = min(e.ownPromiseUntil, now)
		e.nextOperationAt = min(e.nextOperationAt, now)
	}
}

// ExtendAuthority tells the leader that every sibling has promised not to take over
// before until: its authority lasts as long, whatever the state service says.
// While the service is out the key can't change hands; and if this controller
// alone is refused, the key may go, but nobody takes it.
func (e *Election) ExtendAuthority(until time.Duration) {
	e.siblingsPromisedUntil = max(e.siblingsPromisedUntil, until)
}

// Deadline is when authority ends unless it is renewed: counted from sending
// the last successful renewal, less the clocks' drift and late timers; or, if
// that is later, the end of all siblings' promises.
func (e *Election) Deadline() time.Duration {
	return max(e.leaseSentAt+e.ttl-e.clockMargin, e.siblingsPromisedUntil)
}

// Leading tells whether this controller may act as the leader now.
func (e *Election) Leading(now time.Duration) bool { return e.leading && now < e.Deadline() }

// Term is the current term while leading.
func (e *Election) Term() uint64 { return e.term }

// Version is the leader key's version, the guard of every leader's write.
func (e *Election) Version() uint64 { return e.version }

// Holder is the last seen holder of the leader's key, "" if none.
func (e *Election) Holder() string {
	if e.leading {
		return e.host
	}
	if !e.observed.Present {
		return ""
	}
	return e.observed.Host
}

// Observe takes news of the leader's key from a watch.
func (e *Election) Observe(now time.Duration, r LeaderRecord) {
	if r.Version < e.observed.Version && r.Present {
		return
	}
	e.observed = r
	if !r.Present && !e.leading {
		e.nextOperationAt = min(e.nextOperationAt, max(now, e.ownPromiseUntil)+e.stagger)
	}
}

// Resign gives leadership up at once: from here on nothing more is done under
// this term, and the lease is ended so that another need not wait for it.
func (e *Election) Resign(now, pause time.Duration) {
	if !e.leading {
		return
	}
	e.stepDown()
	e.nextOperationAt = now + pause
}

func (e *Election) stepDown() {
	if e.lease != 0 {
		e.leasesToRevoke = append(e.leasesToRevoke, e.lease)
	}
	e.leading, e.lease, e.renewalPending, e.siblingsPromisedUntil = false, 0, false, 0
	e.observed = LeaderRecord{}
}

// Step returns the operations to run now.
func (e *Election) Step(now time.Duration) []Op {
	var ops []Op
	if e.leading && now >= e.Deadline() {
		e.stepDown()
		e.nextOperationAt = now
	}
	if e.leading {
		// An answer that is late does not hold up the next try.
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

// HandleResult takes an operation's result and returns what follows at once.
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
				// An earlier incarnation's, or a late transaction's: one
				// process per controller, so nobody acts under it.
				e.leasesToRevoke = append(withoutLease(e.leasesToRevoke, r.Leader.Lease), r.Leader.Lease)
				e.nextOperationAt = now
				if !e.promisedThisRun {
					// Our last life led, so no other leader counts on its promise.
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
			// In doubt, it may yet be applied late: ending its lease makes it
			// fail for ever.
			e.leasesToRevoke = append(e.leasesToRevoke, e.lease)
			e.lease = 0
			break
		}
		e.leading, e.term, e.version = true, r.Op.Term, r.Version
		e.leaseSentAt = r.Op.SentAt // the lease was asked for then
		e.nextRenewalAt = now
		e.renewalPending = false
	}
	return nil
}

func (e *Election) handleRenewal(now time.Duration, r Result) []Op {
	if !e.leading || r.Op.Lease != e.lease {
		return nil
	}
	e.renewalPending = false
	switch {
	case r.NotExecuted, now >= e.Deadline():
		// The lease has ended, or authority was over before this answer came, and
		// whatever went with the term has been dropped. Taken up again, the term would
		// give tokens and attempts out for a second time.
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

func withoutLease(leases []uint64, lease uint64) []uint64 {
	kept := leases[:0]
	for _, other := range leases {
		if other != lease {
			kept = append(kept, other)
		}
	}
	return kept
}

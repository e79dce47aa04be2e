// Package readbatch batches users' checks whether jobs are still open, so that the state service
// answers many of them in one comparison: a transaction of guards that changes nothing. It is a
// state machine without input or output; times are those of the monotonic clock.
//
// A comparison must be as current as a read that begins after its checks have arrived. So a check that
// arrives while a comparison is in flight waits for the next one. When the service's rate is
// exhausted, checks wait until their deadlines, and the job that has been without an answer for
// longest goes first.
package readbatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// Waiter identifies one caller that waits for one check.
type Waiter uint64

// Params are the parameters of a Batcher.
type Params struct {
	Interval time.Duration // how long checks are collected before a comparison
	MaxBatch int           // most checks in a comparison
}

// maxInFlight is how many comparisons may be in flight at once, so that a slow answer does not block
// the next.
const maxInFlight = 3

// forgetAfter is how long after its last check the record of an unanswered job is kept.
const forgetAfter = 2 * time.Minute

// waiterChecks are the checks of all waiters for one guard.
type waiterChecks map[Waiter]check

// check is one waiter's check.
type check struct {
	guard             jobs.Guard
	waiter            Waiter
	askedAt, deadline time.Duration
}

// unanswered records since when the checks of a job have had no answer, and when the last one arrived.
type unanswered struct{ since, last time.Duration }

// Batch is a comparison to be sent to the state service.
type Batch struct {
	id     uint64
	Guards []jobs.Guard
}

// Answer is the answer to a waiter.
type Answer struct {
	Waiter Waiter
	Guard  jobs.Guard
	jobs.Result
}

// Batcher is the state machine that batches checks.
type Batcher struct {
	params      Params
	lastWaiter  Waiter
	lastBatch   uint64
	pending     map[jobs.Guard]waiterChecks
	inFlight    map[uint64]map[jobs.Guard]waiterChecks
	queue       []check // in order of arrival; may contain checks that no longer wait
	unanswered  map[model.JobID]unanswered
	lastCleanup time.Duration
	notBefore   time.Duration // earliest time of the next comparison after one was refused by the rate limit
	// Checks and Comparisons count the checks and the comparisons made for them.
	Checks, Comparisons uint64
}

// New returns a Batcher without checks.
func New(p Params) *Batcher {
	return &Batcher{params: p, pending: map[jobs.Guard]waiterChecks{}, inFlight: map[uint64]map[jobs.Guard]waiterChecks{},
		unanswered: map[model.JobID]unanswered{}}
}

// SetInterval changes how long checks are collected.
func (b *Batcher) SetInterval(d time.Duration) { b.params.Interval = d }

// AddCheck adds a check of a guard. Its answer is of no use after until.
func (b *Batcher) AddCheck(now time.Duration, g jobs.Guard, until time.Duration) Waiter {
	b.lastWaiter++
	b.Checks++
	if b.pending[g] == nil {
		b.pending[g] = waiterChecks{}
	}
	c := check{g, b.lastWaiter, now, until}
	b.pending[g][b.lastWaiter] = c
	b.queue = append(b.queue, c)
	record, ok := b.unanswered[g.Job]
	if !ok {
		record.since = now
	}
	record.last = now
	b.unanswered[g.Job] = record
	return b.lastWaiter
}

// Step returns the comparisons to send now, the answers (jobs.Busy) to checks whose deadline has
// passed, and when to call it again; 0 if nothing waits.
func (b *Batcher) Step(now time.Duration) (batches []Batch, expired []Answer, next time.Duration) {
	expired = b.expire(now)
	b.cleanUp(now)
	for len(b.pending) > 0 && len(b.inFlight) < maxInFlight && now >= b.nextBatchAt() {
		batches = append(batches, b.makeBatch())
	}
	return batches, expired, b.nextWake()
}

// oldest returns the oldest check that still waits.
func (b *Batcher) oldest() check {
	for {
		c := b.queue[0]
		if _, waits := b.pending[c.guard][c.waiter]; waits {
			return c
		}
		b.queue = b.queue[1:]
	}
}

// nextBatchAt returns when the next comparison is due. There must be a waiting check.
func (b *Batcher) nextBatchAt() time.Duration {
	if len(b.pending) >= b.params.MaxBatch {
		return b.notBefore
	}
	return max(b.notBefore, b.oldest().askedAt+b.params.Interval)
}

// nextWake returns when Step has something to do even if no check or answer arrives.
func (b *Batcher) nextWake() time.Duration {
	if len(b.pending) == 0 {
		b.queue = nil
		return 0
	}
	next := b.oldest().deadline
	if len(b.inFlight) < maxInFlight {
		next = min(next, b.nextBatchAt())
	}
	return next
}

// expire answers the checks whose deadline has passed. As all have about the same timeout, only the
// oldest are examined.
func (b *Batcher) expire(now time.Duration) (expired []Answer) {
	for len(b.pending) > 0 {
		c := b.oldest()
		if now < c.deadline {
			break
		}
		expired = append(expired, Answer{Waiter: c.waiter, Guard: c.guard, Result: jobs.Result{Outcome: jobs.Busy}})
		b.removeWaiter(c.guard, c.waiter)
	}
	return expired
}

// removeWaiter removes a waiter for a guard that is not in flight.
func (b *Batcher) removeWaiter(g jobs.Guard, id Waiter) {
	delete(b.pending[g], id)
	if len(b.pending[g]) == 0 {
		delete(b.pending, g)
	}
}

// cleanUp removes the records of jobs that nobody checks any more.
func (b *Batcher) cleanUp(now time.Duration) {
	if now-b.lastCleanup < forgetAfter/4 {
		return
	}
	b.lastCleanup = now
	for id, record := range b.unanswered {
		if now-record.last > forgetAfter {
			delete(b.unanswered, id)
		}
	}
}

// makeBatch makes a comparison of the checks whose jobs have been without an answer for longest.
func (b *Batcher) makeBatch() Batch {
	guards := make([]jobs.Guard, 0, len(b.pending))
	for g := range b.pending {
		guards = append(guards, g)
	}
	slices.SortFunc(guards, func(x, y jobs.Guard) int {
		return cmp.Or(cmp.Compare(b.unanswered[x.Job].since, b.unanswered[y.Job].since), cmp.Compare(x.Job, y.Job),
			cmp.Compare(x.Version, y.Version))
	})
	guards = guards[:min(len(guards), b.params.MaxBatch)]
	b.lastBatch++
	b.Comparisons++
	sent := map[jobs.Guard]waiterChecks{}
	for _, g := range guards {
		sent[g] = b.pending[g]
		delete(b.pending, g)
	}
	b.inFlight[b.lastBatch] = sent
	return Batch{b.lastBatch, guards}
}

// HandleOutcome takes a comparison's outcome for each guard and returns the answers. Checks that were
// refused by the rate limit wait for the next comparison.
func (b *Batcher) HandleOutcome(now time.Duration, batch Batch,
	outcome func(jobs.Guard) jobs.Outcome) (answers []Answer) {
	sent := b.inFlight[batch.id]
	delete(b.inFlight, batch.id)
	var retries []check
	for _, g := range batch.Guards {
		o := outcome(g)
		if o == jobs.Busy {
			b.notBefore = now + b.params.Interval
			retries = slices.AppendSeq(retries, maps.Values(sent[g]))
			continue
		}
		if o != jobs.Failed {
			delete(b.unanswered, g.Job)
		}
		for id := range sent[g] {
			answers = append(answers, Answer{Waiter: id, Guard: g, Result: jobs.Result{Outcome: o, Version: g.Version}})
		}
	}
	b.requeue(retries)
	return answers
}

// requeue makes checks wait again, before those that arrived later.
func (b *Batcher) requeue(checks []check) {
	if len(checks) == 0 {
		return
	}
	slices.SortFunc(checks, func(x, y check) int { return cmp.Compare(x.waiter, y.waiter) })
	for _, c := range checks {
		if b.pending[c.guard] == nil {
			b.pending[c.guard] = waiterChecks{}
		}
		b.pending[c.guard][c.waiter] = c
	}
	b.queue = append(checks, b.queue...)
}

// Cancel removes a waiter that needs no answer any more.
func (b *Batcher) Cancel(g jobs.Guard, id Waiter) {
	b.removeWaiter(g, id)
	for _, sent := range b.inFlight {
		delete(sent[g], id)
	}
}

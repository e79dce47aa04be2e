// Package readbatch gathers users' questions whether jobs are still open, so that the state
// service answers many in one comparison. It is a state machine without input or output;
// times are the steady clock's.
//
// What a comparison says is as good as a read that began after each of its questions had
// come in: a question that comes while one is under way waits for the next. When the service
// is over its rate, questions wait for their turn until their askers have no use for an
// answer any more, the job that has gone unanswered for longest first.
package readbatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// Waiter is one asker of one question.
type Waiter uint64

// Params of a batcher.
type Params struct {
	Interval time.Duration // questions are gathered for so long
	MaxBatch int           // of a comparison, in questions
}

// maxInFlight is how many comparisons may be under way at once: a slow answer does not hold up
// the next.
const maxInFlight = 3

// forgetAfter is how long it is kept since when a job goes unanswered if nobody asks again.
const forgetAfter = 2 * time.Minute

// waiterChecks are those that wait for an answer to one question.
type waiterChecks map[Waiter]check

// check is one asker's.
type check struct {
	guard             jobs.Guard
	waiter            Waiter
	askedAt, deadline time.Duration
}

// unanswered is since when a job's questions are without an answer.
type unanswered struct{ since, last time.Duration }

// Batch is a comparison to make.
type Batch struct {
	id     uint64
	Guards []jobs.Guard
}

// Answer to a waiter.
type Answer struct {
	Waiter Waiter
	Guard  jobs.Guard
	jobs.Result
}

// Batcher is the state machine.
type Batcher struct {
	params      Params
	lastWaiter  Waiter
	lastBatch   uint64
	pending     map[jobs.Guard]waiterChecks
	inFlight    map[uint64]map[jobs.Guard]waiterChecks
	queue       []check // in the order of asking; those that no longer wait among them
	unanswered  map[model.JobID]unanswered
	lastCleanup time.Duration
	notBefore   time.Duration // no comparison before then: the last found no rate
	// Questions and Comparisons count questions and comparisons.
	Questions, Comparisons uint64
}

// New returns a batcher with nothing to ask.
func New(p Params) *Batcher {
	return &Batcher{params: p, pending: map[jobs.Guard]waiterChecks{}, inFlight: map[uint64]map[jobs.Guard]waiterChecks{},
		unanswered: map[model.JobID]unanswered{}}
}

// SetInterval changes for how long questions are gathered.
func (b *Batcher) SetInterval(d time.Duration) { b.params.Interval = d }

// Ask takes a question; an answer is of use until then.
func (b *Batcher) Ask(now time.Duration, g jobs.Guard, until time.Duration) Waiter {
	b.lastWaiter++
	b.Questions++
	if b.pending[g] == nil {
		b.pending[g] = waiterChecks{}
	}
	q := check{g, b.lastWaiter, now, until}
	b.pending[g][b.lastWaiter] = q
	b.queue = append(b.queue, q)
	s, ok := b.unanswered[g.Job]
	if !ok {
		s.since = now
	}
	s.last = now
	b.unanswered[g.Job] = s
	return b.lastWaiter
}

// Step returns the comparisons to make now, the answers to those whose time is over, and
// when to call again; 0 where nothing waits.
func (b *Batcher) Step(now time.Duration) (batches []Batch, expired []Answer, next time.Duration) {
	expired = b.expire(now)
	b.cleanUp(now)
	for len(b.pending) > 0 && len(b.inFlight) < maxInFlight && now >= b.nextBatchAt() {
		batches = append(batches, b.makeBatch())
	}
	return batches, expired, b.nextWake()
}

// oldest is the first of those that wait.
func (b *Batcher) oldest() check {
	for {
		q := b.queue[0]
		if _, waits := b.pending[q.guard][q.waiter]; waits {
			return q
		}
		b.queue = b.queue[1:]
	}
}

// nextBatchAt is when the next comparison is to be made, if anybody waits.
func (b *Batcher) nextBatchAt() time.Duration {
	if len(b.pending) >= b.params.MaxBatch {
		return b.notBefore
	}
	return max(b.notBefore, b.oldest().askedAt+b.params.Interval)
}

// nextWake is when something is due without anything new.
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

// expire answers those whose time is over. Askers are about as patient as each other, so it
// is the first that are looked at.
func (b *Batcher) expire(now time.Duration) (expired []Answer) {
	for len(b.pending) > 0 {
		q := b.oldest()
		if now < q.deadline {
			break
		}
		expired = append(expired, Answer{Waiter: q.waiter, Guard: q.guard, Result: jobs.Result{Outcome: jobs.Busy}})
		b.removeWaiter(q.guard, q.waiter)
	}
	return expired
}

func (b *Batcher) removeWaiter(g jobs.Guard, id Waiter) {
	delete(b.pending[g], id)
	if len(b.pending[g]) == 0 {
		delete(b.pending, g)
	}
}

// cleanUp forgets what nobody asks about any more.
func (b *Batcher) cleanUp(now time.Duration) {
	if now-b.lastCleanup < forgetAfter/4 {
		return
	}
	b.lastCleanup = now
	for id, s := range b.unanswered {
		if now-s.last > forgetAfter {
			delete(b.unanswered, id)
		}
	}
}

// makeBatch makes a comparison of the questions that have gone unanswered for longest.
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

// HandleOutcome takes a comparison's outcome and returns the answers. Questions that found no rate
// wait for the next one.
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

// requeue has questions wait once more, in front of those that have come since.
func (b *Batcher) requeue(checks []check) {
	if len(checks) == 0 {
		return
	}
	slices.SortFunc(checks, func(x, y check) int { return cmp.Compare(x.waiter, y.waiter) })
	for _, q := range checks {
		if b.pending[q.guard] == nil {
			b.pending[q.guard] = waiterChecks{}
		}
		b.pending[q.guard][q.waiter] = q
	}
	b.queue = append(checks, b.queue...)
}

// Cancel gives up a waiter that nobody waits for any more.
func (b *Batcher) Cancel(g jobs.Guard, id Waiter) {
	b.removeWaiter(g, id)
	for _, sent := range b.inFlight {
		delete(sent[g], id)
	}
}

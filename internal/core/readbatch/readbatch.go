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

// underWay is how many comparisons may be under way at once: a slow answer does not hold up
// the next.
const underWay = 3

// forgetAfter is how long it is kept since when a job goes unanswered if nobody asks again.
const forgetAfter = 2 * time.Minute

// waiting are those that wait for an answer to one question.
type waiting map[Waiter]question

// question is one asker's.
type question struct {
	guard     jobs.Guard
	from      Waiter
	at, until time.Duration
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
	p       Params
	last    Waiter
	batches uint64
	pending map[jobs.Guard]waiting
	sent    map[uint64]map[jobs.Guard]waiting
	queue   []question // in the order of asking; those that no longer wait among them
	silent  map[model.JobID]unanswered
	tidied  time.Duration
	held    time.Duration // no comparison before then: the last found no rate
	// Questions and Comparisons count questions and comparisons.
	Questions, Comparisons uint64
}

// New returns a batcher with nothing to ask.
func New(p Params) *Batcher {
	return &Batcher{p: p, pending: map[jobs.Guard]waiting{}, sent: map[uint64]map[jobs.Guard]waiting{},
		silent: map[model.JobID]unanswered{}}
}

// SetInterval changes for how long questions are gathered.
func (b *Batcher) SetInterval(d time.Duration) { b.p.Interval = d }

// Ask takes a question; an answer is of use until then.
func (b *Batcher) Ask(now time.Duration, g jobs.Guard, until time.Duration) Waiter {
	b.last++
	b.Questions++
	if b.pending[g] == nil {
		b.pending[g] = waiting{}
	}
	q := question{g, b.last, now, until}
	b.pending[g][b.last] = q
	b.queue = append(b.queue, q)
	s, ok := b.silent[g.Job]
	if !ok {
		s.since = now
	}
	s.last = now
	b.silent[g.Job] = s
	return b.last
}

// Step returns the comparisons to make now, the answers to those whose time is over, and
// when to call again; 0 where nothing waits.
func (b *Batcher) Step(now time.Duration) (batches []Batch, over []Answer, next time.Duration) {
	over = b.expire(now)
	b.tidy(now)
	for len(b.pending) > 0 && len(b.sent) < underWay && now >= b.due() {
		batches = append(batches, b.take())
	}
	return batches, over, b.next()
}

// oldest is the first of those that wait.
func (b *Batcher) oldest() question {
	for {
		q := b.queue[0]
		if _, waits := b.pending[q.guard][q.from]; waits {
			return q
		}
		b.queue = b.queue[1:]
	}
}

// due is when the next comparison is to be made, if anybody waits.
func (b *Batcher) due() time.Duration {
	if len(b.pending) >= b.p.MaxBatch {
		return b.held
	}
	return max(b.held, b.oldest().at+b.p.Interval)
}

// next is when something is due without anything new.
func (b *Batcher) next() time.Duration {
	if len(b.pending) == 0 {
		b.queue = nil
		return 0
	}
	next := b.oldest().until
	if len(b.sent) < underWay {
		next = min(next, b.due())
	}
	return next
}

// expire answers those whose time is over. Askers are about as patient as each other, so it
// is the first that are looked at.
func (b *Batcher) expire(now time.Duration) (over []Answer) {
	for len(b.pending) > 0 {
		q := b.oldest()
		if now < q.until {
			break
		}
		over = append(over, Answer{Waiter: q.from, Guard: q.guard, Result: jobs.Result{Outcome: jobs.Busy}})
		b.drop(q.guard, q.from)
	}
	return over
}

func (b *Batcher) drop(g jobs.Guard, id Waiter) {
	delete(b.pending[g], id)
	if len(b.pending[g]) == 0 {
		delete(b.pending, g)
	}
}

// tidy forgets what nobody asks about any more.
func (b *Batcher) tidy(now time.Duration) {
	if now-b.tidied < forgetAfter/4 {
		return
	}
	b.tidied = now
	for id, s := range b.silent {
		if now-s.last > forgetAfter {
			delete(b.silent, id)
		}
	}
}

// take makes a comparison of the questions that have gone unanswered for longest.
func (b *Batcher) take() Batch {
	guards := make([]jobs.Guard, 0, len(b.pending))
	for g := range b.pending {
		guards = append(guards, g)
	}
	slices.SortFunc(guards, func(x, y jobs.Guard) int {
		return cmp.Or(cmp.Compare(b.silent[x.Job].since, b.silent[y.Job].since), cmp.Compare(x.Job, y.Job),
			cmp.Compare(x.Version, y.Version))
	})
	guards = guards[:min(len(guards), b.p.MaxBatch)]
	b.batches++
	b.Comparisons++
	out := map[jobs.Guard]waiting{}
	for _, g := range guards {
		out[g] = b.pending[g]
		delete(b.pending, g)
	}
	b.sent[b.batches] = out
	return Batch{b.batches, guards}
}

// HandleOutcome takes a comparison's outcome and returns the answers. Questions that found no rate
// wait for the next one.
func (b *Batcher) HandleOutcome(now time.Duration, batch Batch, outcome func(jobs.Guard) jobs.Outcome) (answers []Answer) {
	sent := b.sent[batch.id]
	delete(b.sent, batch.id)
	var again []question
	for _, g := range batch.Guards {
		o := outcome(g)
		if o == jobs.Busy {
			b.held = now + b.p.Interval
			again = slices.AppendSeq(again, maps.Values(sent[g]))
			continue
		}
		if o != jobs.Failed {
			delete(b.silent, g.Job)
		}
		for id := range sent[g] {
			answers = append(answers, Answer{Waiter: id, Guard: g, Result: jobs.Result{Outcome: o, Version: g.Version}})
		}
	}
	b.again(again)
	return answers
}

// again has questions wait once more, in front of those that have come since.
func (b *Batcher) again(qs []question) {
	if len(qs) == 0 {
		return
	}
	slices.SortFunc(qs, func(x, y question) int { return cmp.Compare(x.from, y.from) })
	for _, q := range qs {
		if b.pending[q.guard] == nil {
			b.pending[q.guard] = waiting{}
		}
		b.pending[q.guard][q.from] = q
	}
	b.queue = append(qs, b.queue...)
}

// Cancel gives up a waiter that nobody waits for any more.
func (b *Batcher) Cancel(g jobs.Guard, id Waiter) {
	b.drop(g, id)
	for _, sent := range b.sent {
		delete(sent[g], id)
	}
}

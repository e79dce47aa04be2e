package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/readbatch"
	"honeylock/internal/peer"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

const (
	// leaderBatchInterval is for how long the leader gathers questions, those of all controllers.
	leaderBatchInterval = 100 * time.Millisecond
	// maxBatchInterval bounds it for a controller that compares by itself, which gathers for as
	// much longer as there are controllers: together they then compare as often as a leader.
	// Its user waits 2 s.
	maxBatchInterval = 600 * time.Millisecond
	// leaderAnswerTimeout is how long the leader's answer is waited for; then this controller has
	// time left to compare by itself.
	leaderAnswerTimeout = 900 * time.Millisecond
	// siblingCheckTimeout is how long a sibling's question is worth an answer.
	siblingCheckTimeout = time.Second
)

// openChecker answers whether jobs are still open. The leader compares for all controllers,
// so that what users ask costs the same whatever their number; without a leader that
// answers, each compares by itself.
type openChecker struct {
	state        *state.Client
	startedAt    time.Time
	soloInterval time.Duration // for how long questions are gathered unless this controller leads

	mu          sync.Mutex
	batcher     *readbatch.Batcher
	waiters     map[readbatch.Waiter]checkWaiter
	nextStepAt  time.Duration // the batcher is to be stepped then; 0: nothing waits
	route       readbatch.Route
	leaderQueue *peer.Queue // of this controller's link to the leader
	lastID      uint64      // of the last question to the leader
	pending     map[uint64]chan<- jobs.Result
}

// checkWaiter waits for an answer: a user's request here, or a sibling's question.
type checkWaiter struct {
	result chan<- jobs.Result
	link   *link
	id     uint64
}

func newOpenChecker(client *state.Client, txnOps, controllers int) *openChecker {
	soloInterval := min(maxBatchInterval, time.Duration(controllers)*leaderBatchInterval)
	return &openChecker{state: client, startedAt: time.Now(), soloInterval: soloInterval, waiters: map[readbatch.Waiter]checkWaiter{},
		pending: map[uint64]chan<- jobs.Result{},
		batcher: readbatch.New(readbatch.Params{Interval: soloInterval, MaxBatch: guardsPerOp * txnOps})}
}

// guardsPerOp is how many conditions a transaction may have for each of its changes, by the
// state service's protocol.
const guardsPerOp = 4

func (q *openChecker) now() time.Duration { return time.Since(q.startedAt) }

// openCheckStats are counts since the start.
type openCheckStats struct{ compared, comparisons, forwarded uint64 }

func (q *openChecker) stats() openCheckStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return openCheckStats{compared: q.batcher.Questions, comparisons: q.batcher.Comparisons, forwarded: q.lastID}
}

// setLeading tells whether this controller leads, and so compares for all.
func (q *openChecker) setLeading(leading bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if leading {
		q.batcher.SetInterval(leaderBatchInterval)
	} else {
		q.batcher.SetInterval(q.soloInterval)
	}
}

// setLeader takes the link to a leader that compares for others; nil: there is none any more.
// What that was asked and has not answered is compared here.
func (q *openChecker) setLeader(leader *peer.Queue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leaderQueue = leader
	q.route.SetLeaderCompares(leader != nil)
	for id, result := range q.pending {
		delete(q.pending, id)
		result <- jobs.Result{Outcome: jobs.Failed}
	}
}

// stillOpen tells whether a job's open record has the version. The comparison is made after
// this was called, so the answer is as good as a read's.
func (q *openChecker) stillOpen(ctx context.Context, g jobs.Guard) jobs.Result {
	if res := q.askLeader(ctx, g); res.Outcome != jobs.Failed {
		return res
	}
	return q.compareHere(ctx, g)
}

// askLeader asks the leader; it fails where there is none, or it does not answer.
func (q *openChecker) askLeader(ctx context.Context, g jobs.Guard) jobs.Result {
	result := make(chan jobs.Result, 1)
	q.mu.Lock()
	if !q.route.UseLeader(q.now()) {
		q.mu.Unlock()
		return jobs.Result{Outcome: jobs.Failed}
	}
	q.lastID++
	id := q.lastID
	q.pending[id] = result
	q.leaderQueue.Send(&peerpb.Up{Msg: &peerpb.Up_Questions{Questions: &peerpb.Questions{Questions: []*peerpb.Question{
		{Id: id, Job: uint64(g.Job), Version: g.Version}}}}})
	q.mu.Unlock()
	timeout := time.NewTimer(leaderAnswerTimeout)
	defer timeout.Stop()
	select {
	case res := <-result:
		return res
	case <-timeout.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, waiting := q.pending[id]; waiting {
		delete(q.pending, id)
		q.route.LeaderFailed(q.now())
	}
	return jobs.Result{Outcome: jobs.Failed}
}

// handleAnswers takes the leader's answers.
func (q *openChecker) handleAnswers(answers []*peerpb.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, answer := range answers {
		result := q.pending[answer.GetId()]
		if result == nil {
			continue
		}
		delete(q.pending, answer.GetId())
		res := jobs.Result{Outcome: outcomesFromPeer[answer.GetOutcome()], Stage: jobs.Stage(answer.GetStage())}
		if res.Outcome == jobs.Failed {
			q.route.LeaderFailed(q.now())
		}
		result <- res
	}
}

// outcomesFromPeer are the answers' in the cores' terms; one that is unknown failed.
var outcomesFromPeer = map[peerpb.Outcome]jobs.Outcome{
	peerpb.Outcome_OUTCOME_FAILED: jobs.Failed,
	peerpb.Outcome_OUTCOME_OPEN:   jobs.OK,
	peerpb.Outcome_OUTCOME_CLOSED: jobs.Conflict,
	peerpb.Outcome_OUTCOME_BUSY:   jobs.Busy,
}

func answerToPeer(id uint64, r jobs.Result) *peerpb.Answer {
	a := &peerpb.Answer{Id: id, Stage: string(r.Stage)}
	switch r.Outcome {
	case jobs.OK:
		a.Outcome = peerpb.Outcome_OUTCOME_OPEN
	case jobs.Conflict:
		a.Outcome = peerpb.Outcome_OUTCOME_CLOSED
	case jobs.Busy:
		a.Outcome = peerpb.Outcome_OUTCOME_BUSY
	}
	return a
}

// compareHere has a question compared here.
func (q *openChecker) compareHere(ctx context.Context, g jobs.Guard) jobs.Result {
	result := make(chan jobs.Result, 1)
	q.mu.Lock()
	now := q.now()
	until := now + siblingCheckTimeout
	if d, ok := ctx.Deadline(); ok {
		until = d.Sub(q.startedAt)
	}
	waiter := q.batcher.Ask(now, g, until)
	q.waiters[waiter] = checkWaiter{result: result}
	q.step(now)
	q.mu.Unlock()
	select {
	case res := <-result:
		return res
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.batcher.Cancel(g, waiter)
	delete(q.waiters, waiter)
	return jobs.Result{Outcome: jobs.Busy}
}

// compareForSibling has a sibling's question compared here.
func (q *openChecker) compareForSibling(k *link, id uint64, g jobs.Guard) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	waiter := q.batcher.Ask(now, g, now+siblingCheckTimeout)
	q.waiters[waiter] = checkWaiter{link: k, id: id}
	q.step(now)
}

// step steps the batcher, and once more when that is due.
func (q *openChecker) step(now time.Duration) {
	batches, expired, next := q.batcher.Step(now)
	for _, b := range batches {
		go q.sendBatch(b)
	}
	q.deliver(expired)
	if next == 0 || q.nextStepAt != 0 && q.nextStepAt <= next && q.nextStepAt > now {
		return
	}
	q.nextStepAt = next
	time.AfterFunc(next-now, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.step(q.now())
	})
}

// sendBatch makes a comparison.
func (q *openChecker) sendBatch(b readbatch.Batch) {
	guards := make([]wire.Guard, 0, len(b.Guards))
	for _, g := range b.Guards {
		guards = append(guards, wire.Guard{Key: openPrefix + wire.JobName(g.Job), Version: g.Version})
	}
	failed, err := q.state.Compare(state.As(context.Background(), ratelimit.Comparisons), guards)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	answers := q.batcher.HandleOutcome(now, b, func(g jobs.Guard) jobs.Outcome {
		switch {
		case errors.Is(err, state.ErrBusy):
			return jobs.Busy
		case err != nil:
			return jobs.Failed
		case failed[openPrefix+wire.JobName(g.Job)]:
			return jobs.Conflict
		}
		return jobs.OK
	})
	q.deliver(answers)
	q.step(now)
}

// deliver passes answers to those that wait for them.
func (q *openChecker) deliver(answers []readbatch.Answer) {
	toSend := map[*link][]*peerpb.Answer{}
	for _, a := range answers {
		waiter, ok := q.waiters[a.Waiter]
		if !ok {
			continue
		}
		delete(q.waiters, a.Waiter)
		if waiter.link != nil {
			toSend[waiter.link] = append(toSend[waiter.link], answerToPeer(waiter.id, a.Result))
			continue
		}
		waiter.result <- a.Result
	}
	for k, batch := range toSend {
		k.queue.Send(&peerpb.Down{Msg: &peerpb.Down_Answers{Answers: &peerpb.Answers{Answers: batch}}})
	}
}

// handleQuestions takes a member's questions. A job that is known to be done needs no
// comparison, for that never changes. Of cancellations only the reader of their record
// tells, who notes that before it tells anybody.
func (l *leadership) handleQuestions(k *link, questions []*peerpb.Question) {
	for _, question := range questions {
		g := jobs.Guard{Job: model.JobID(question.GetJob()), Version: question.GetVersion()}
		if l.node.cachedFinals[g.Job] == jobs.Done {
			answer := answerToPeer(question.GetId(), jobs.Result{Outcome: jobs.Conflict, Stage: jobs.Done})
			k.queue.Send(&peerpb.Down{Msg: &peerpb.Down_Answers{Answers: &peerpb.Answers{Answers: []*peerpb.Answer{answer}}}})
			continue
		}
		l.node.openChecker.compareForSibling(k, question.GetId(), g)
	}
}

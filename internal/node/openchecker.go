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
	// leaderBatchInterval is how long the leader collects checks, its own and those of the other
	// controllers, before it compares them in one request.
	leaderBatchInterval = 100 * time.Millisecond
	// maxBatchInterval limits the interval of a controller that compares without a leader,
	// because users wait 2 s for an answer. The interval is leaderBatchInterval times the number
	// of controllers, so that all of them together compare as often as a leader would.
	maxBatchInterval = 600 * time.Millisecond
	// leaderAnswerTimeout is how long this controller waits for the leader's answer. It leaves
	// time for the controller to compare by itself.
	leaderAnswerTimeout = 900 * time.Millisecond
	// siblingCheckTimeout is how long after its arrival another controller's question is worth
	// an answer.
	siblingCheckTimeout = time.Second
)

// openChecker checks whether jobs are still open, by comparing the versions of their open records
// in the state service. The leader compares for all controllers, so that the number of
// controllers does not change the number of requests to the state service. Without a leader
// that answers, each controller compares by itself.
type openChecker struct {
	state        *state.Client
	startedAt    time.Time
	soloInterval time.Duration // batch interval while this controller does not lead

	mu          sync.Mutex
	batcher     *readbatch.Batcher
	waiters     map[readbatch.Waiter]checkWaiter
	nextStepAt  time.Duration // time of the next scheduled step; 0: none
	route       readbatch.Route
	leaderQueue *peer.Queue                   // this controller's link to the leader, nil without one
	lastID      uint64                        // ID of the last question sent to the leader
	pending     map[uint64]chan<- jobs.Result // questions sent to the leader, by ID
}

// checkWaiter is who waits for a check's result: a user's request at this controller (result is
// set) or a question of another controller (link and id are set).
type checkWaiter struct {
	result chan<- jobs.Result
	link   *link
	id     uint64
}

// newOpenChecker returns a checker that compares by itself until setLeader or setLeading is called.
func newOpenChecker(client *state.Client, txnOps, controllers int) *openChecker {
	soloInterval := min(maxBatchInterval, time.Duration(controllers)*leaderBatchInterval)
	return &openChecker{state: client, startedAt: time.Now(), soloInterval: soloInterval,
		waiters: map[readbatch.Waiter]checkWaiter{},
		pending: map[uint64]chan<- jobs.Result{},
		batcher: readbatch.New(readbatch.Params{Interval: soloInterval, MaxBatch: guardsPerOp * txnOps})}
}

// guardsPerOp is the number of conditions that a transaction may have for each change that it
// may have, as the state service's protocol defines it.
const guardsPerOp = 4

func (oc *openChecker) now() time.Duration { return time.Since(oc.startedAt) }

// openCheckStats counts, since the start, the checks that this controller compared, the comparisons
// that they took, and the checks that it sent to the leader.
type openCheckStats struct{ compared, comparisons, forwarded uint64 }

func (oc *openChecker) stats() openCheckStats {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	return openCheckStats{compared: oc.batcher.Checks, comparisons: oc.batcher.Comparisons, forwarded: oc.lastID}
}

// setLeading sets whether this controller leads and so compares for all controllers.
func (oc *openChecker) setLeading(leading bool) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	if leading {
		oc.batcher.SetInterval(leaderBatchInterval)
	} else {
		oc.batcher.SetInterval(oc.soloInterval)
	}
}

// setLeader sets the link to a leader that compares for other controllers; nil if there is none.
// Questions that the previous leader has not answered fail, and their callers compare here.
func (oc *openChecker) setLeader(leader *peer.Queue) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	oc.leaderQueue = leader
	oc.route.SetLeaderCompares(leader != nil)
	for id, result := range oc.pending {
		delete(oc.pending, id)
		result <- jobs.Result{Outcome: jobs.Failed}
	}
}

// stillOpen checks whether a job's open record still has the given version. The comparison begins
// after the call, so its answer is as recent as that of a read would be.
func (oc *openChecker) stillOpen(ctx context.Context, g jobs.Guard) jobs.Result {
	if res := oc.askLeader(ctx, g); res.Outcome != jobs.Failed {
		return res
	}
	return oc.compareHere(ctx, g)
}

// askLeader has the leader make the check. The result is Failed if there is no leader to ask, or
// if it does not answer in time; then the leader is avoided for a while.
func (oc *openChecker) askLeader(ctx context.Context, g jobs.Guard) jobs.Result {
	result := make(chan jobs.Result, 1)
	oc.mu.Lock()
	if !oc.route.UseLeader(oc.now()) {
		oc.mu.Unlock()
		return jobs.Result{Outcome: jobs.Failed}
	}
	oc.lastID++
	id := oc.lastID
	oc.pending[id] = result
	oc.leaderQueue.Send(&peerpb.Up{Msg: &peerpb.Up_Questions{Questions: &peerpb.Questions{Questions: []*peerpb.Question{
		{Id: id, Job: uint64(g.Job), Version: g.Version}}}}})
	oc.mu.Unlock()
	timeout := time.NewTimer(leaderAnswerTimeout)
	defer timeout.Stop()
	select {
	case res := <-result:
		return res
	case <-timeout.C:
	case <-ctx.Done():
	}
	oc.mu.Lock()
	defer oc.mu.Unlock()
	if _, waiting := oc.pending[id]; waiting {
		delete(oc.pending, id)
		oc.route.LeaderFailed(oc.now())
	}
	return jobs.Result{Outcome: jobs.Failed}
}

// handleAnswers passes the leader's answers to the requests that wait for them.
func (oc *openChecker) handleAnswers(answers []*peerpb.Answer) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	for _, answer := range answers {
		result := oc.pending[answer.GetId()]
		if result == nil {
			continue
		}
		delete(oc.pending, answer.GetId())
		res := jobs.Result{Outcome: outcomesFromPeer[answer.GetOutcome()], Stage: jobs.Stage(answer.GetStage())}
		if res.Outcome == jobs.Failed {
			oc.route.LeaderFailed(oc.now())
		}
		result <- res
	}
}

// outcomesFromPeer maps the outcomes in messages to those of package jobs. It must contain all of
// them: a missing one would map to jobs.OK.
var outcomesFromPeer = map[peerpb.Outcome]jobs.Outcome{
	peerpb.Outcome_OUTCOME_FAILED: jobs.Failed,
	peerpb.Outcome_OUTCOME_OPEN:   jobs.OK,
	peerpb.Outcome_OUTCOME_CLOSED: jobs.Conflict,
	peerpb.Outcome_OUTCOME_BUSY:   jobs.Busy,
}

// answerToPeer returns the message that answers a question with the result.
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

// compareHere adds a check to this controller's own next comparison and waits for its result. The
// result is Busy if the context ends first.
func (oc *openChecker) compareHere(ctx context.Context, g jobs.Guard) jobs.Result {
	result := make(chan jobs.Result, 1)
	oc.mu.Lock()
	now := oc.now()
	until := now + siblingCheckTimeout
	if d, ok := ctx.Deadline(); ok {
		until = d.Sub(oc.startedAt)
	}
	waiter := oc.batcher.AddCheck(now, g, until)
	oc.waiters[waiter] = checkWaiter{result: result}
	oc.step(now)
	oc.mu.Unlock()
	select {
	case res := <-result:
		return res
	case <-ctx.Done():
	}
	oc.mu.Lock()
	defer oc.mu.Unlock()
	oc.batcher.Cancel(g, waiter)
	delete(oc.waiters, waiter)
	return jobs.Result{Outcome: jobs.Busy}
}

// compareForSibling adds another controller's question to this controller's next comparison.
func (oc *openChecker) compareForSibling(memberLink *link, id uint64, g jobs.Guard) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	now := oc.now()
	waiter := oc.batcher.AddCheck(now, g, now+siblingCheckTimeout)
	oc.waiters[waiter] = checkWaiter{link: memberLink, id: id}
	oc.step(now)
}

// step advances the batcher: it sends the batches that are due, answers the checks that have
// expired, and schedules the next step. Called under the lock.
func (oc *openChecker) step(now time.Duration) {
	batches, expired, next := oc.batcher.Step(now)
	for _, b := range batches {
		go oc.sendBatch(b)
	}
	oc.deliver(expired)
	if next == 0 || oc.nextStepAt != 0 && oc.nextStepAt <= next && oc.nextStepAt > now {
		return
	}
	oc.nextStepAt = next
	time.AfterFunc(next-now, func() {
		oc.mu.Lock()
		defer oc.mu.Unlock()
		oc.step(oc.now())
	})
}

// sendBatch compares a batch in the state service and delivers the results.
func (oc *openChecker) sendBatch(b readbatch.Batch) {
	guards := make([]wire.Guard, 0, len(b.Guards))
	for _, g := range b.Guards {
		guards = append(guards, wire.Guard{Key: openPrefix + wire.JobName(g.Job), Version: g.Version})
	}
	failed, err := oc.state.Compare(state.WithClass(context.Background(), ratelimit.Comparisons), guards)
	oc.mu.Lock()
	defer oc.mu.Unlock()
	now := oc.now()
	answers := oc.batcher.HandleOutcome(now, b, func(g jobs.Guard) jobs.Outcome {
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
	oc.deliver(answers)
	oc.step(now)
}

// deliver passes answers to their waiters, those of one link in one message. Called under the
// lock.
func (oc *openChecker) deliver(answers []readbatch.Answer) {
	toSend := map[*link][]*peerpb.Answer{}
	for _, a := range answers {
		waiter, ok := oc.waiters[a.Waiter]
		if !ok {
			continue
		}
		delete(oc.waiters, a.Waiter)
		if waiter.link != nil {
			toSend[waiter.link] = append(toSend[waiter.link], answerToPeer(waiter.id, a.Result))
			continue
		}
		waiter.result <- a.Result
	}
	for memberLink, batch := range toSend {
		memberLink.queue.Send(&peerpb.Down{Msg: &peerpb.Down_Answers{Answers: &peerpb.Answers{Answers: batch}}})
	}
}

// handleQuestions answers another controller's questions. A job that is known to be done needs no
// comparison, because that never changes. A job that is known to be cancelled is compared all the same:
// the controller that reports the cancellation to a user must first read the final record itself and
// record the cancellation in its own log.
func (l *leadership) handleQuestions(memberLink *link, questions []*peerpb.Question) {
	for _, question := range questions {
		g := jobs.Guard{Job: model.JobID(question.GetJob()), Version: question.GetVersion()}
		if l.node.cachedFinals[g.Job] == jobs.Done {
			answer := answerToPeer(question.GetId(), jobs.Result{Outcome: jobs.Conflict, Stage: jobs.Done})
			memberLink.queue.Send(&peerpb.Down{Msg: &peerpb.Down_Answers{
				Answers: &peerpb.Answers{Answers: []*peerpb.Answer{answer}}}})
			continue
		}
		l.node.openChecker.compareForSibling(memberLink, question.GetId(), g)
	}
}

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
	// leaderGathers is for how long the leader gathers questions, those of all controllers.
	leaderGathers = 100 * time.Millisecond
	// longestGather bounds it for a controller that compares by itself, which gathers for as
	// much longer as there are controllers: together they then compare as often as a leader.
	// Its user waits 2 s.
	longestGather = 600 * time.Millisecond
	// leaderPatience is how long the leader's answer is waited for; then this controller has
	// time left to compare by itself.
	leaderPatience = 900 * time.Millisecond
	// questionPatience is how long a sibling's question is worth an answer.
	questionPatience = time.Second
)

// questions answers whether jobs are still open. The leader compares for all controllers,
// so that what users ask costs the same whatever their number; without a leader that
// answers, each compares by itself.
type questions struct {
	state *state.Client
	start time.Time
	alone time.Duration // for how long questions are gathered unless this controller leads

	mu      sync.Mutex
	batcher *readbatch.Batcher
	askers  map[readbatch.Waiter]asker
	due     time.Duration // the batcher is to be stepped then; 0: nothing waits
	route   readbatch.Route
	leader  *peer.Queue // of this controller's link to the leader
	number  uint64      // of the last question to the leader
	asked   map[uint64]chan<- jobs.Result
}

// asker waits for an answer: a user's request here, or a sibling's question.
type asker struct {
	here chan<- jobs.Result
	link *link
	id   uint64
}

func newQuestions(c *state.Client, txnOps, controllers int) *questions {
	alone := min(longestGather, time.Duration(controllers)*leaderGathers)
	return &questions{state: c, start: time.Now(), alone: alone, askers: map[readbatch.Waiter]asker{},
		asked:   map[uint64]chan<- jobs.Result{},
		batcher: readbatch.New(readbatch.Params{Interval: alone, MaxBatch: guardsPerOp * txnOps})}
}

// guardsPerOp is how many conditions a transaction may have for each of its changes, by the
// state service's protocol.
const guardsPerOp = 4

func (q *questions) now() time.Duration { return time.Since(q.start) }

// questionStats are counts since the start.
type questionStats struct{ compared, comparisons, passed uint64 }

func (q *questions) stats() questionStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return questionStats{compared: q.batcher.Questions, comparisons: q.batcher.Comparisons, passed: q.number}
}

// lead tells whether this controller leads, and so compares for all.
func (q *questions) lead(yes bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if yes {
		q.batcher.SetInterval(leaderGathers)
	} else {
		q.batcher.SetInterval(q.alone)
	}
}

// follow takes the link to a leader that compares for others; nil: there is none any more.
// What that was asked and has not answered is compared here.
func (q *questions) follow(leader *peer.Queue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leader = leader
	q.route.SetLeaderCompares(leader != nil)
	for id, c := range q.asked {
		delete(q.asked, id)
		c <- jobs.Result{Outcome: jobs.Failed}
	}
}

// stillOpen tells whether a job's open record has the version. The comparison is made after
// this was called, so the answer is as good as a read's.
func (q *questions) stillOpen(ctx context.Context, g jobs.Guard) jobs.Result {
	if res := q.askLeader(ctx, g); res.Outcome != jobs.Failed {
		return res
	}
	return q.compare(ctx, g)
}

// askLeader asks the leader; it fails where there is none, or it does not answer.
func (q *questions) askLeader(ctx context.Context, g jobs.Guard) jobs.Result {
	c := make(chan jobs.Result, 1)
	q.mu.Lock()
	if !q.route.UseLeader(q.now()) {
		q.mu.Unlock()
		return jobs.Result{Outcome: jobs.Failed}
	}
	q.number++
	id := q.number
	q.asked[id] = c
	q.leader.Send(&peerpb.Up{Msg: &peerpb.Up_Questions{Questions: &peerpb.Questions{Questions: []*peerpb.Question{
		{Id: id, Job: uint64(g.Job), Version: g.Version}}}}})
	q.mu.Unlock()
	patience := time.NewTimer(leaderPatience)
	defer patience.Stop()
	select {
	case res := <-c:
		return res
	case <-patience.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, waits := q.asked[id]; waits {
		delete(q.asked, id)
		q.route.LeaderFailed(q.now())
	}
	return jobs.Result{Outcome: jobs.Failed}
}

// answered takes the leader's answers.
func (q *questions) answered(as []*peerpb.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range as {
		c := q.asked[a.GetId()]
		if c == nil {
			continue
		}
		delete(q.asked, a.GetId())
		res := jobs.Result{Outcome: outcomes[a.GetOutcome()], Stage: jobs.Stage(a.GetStage())}
		if res.Outcome == jobs.Failed {
			q.route.LeaderFailed(q.now())
		}
		c <- res
	}
}

// outcomes are the answers' in the cores' terms; one that is unknown failed.
var outcomes = map[peerpb.Outcome]jobs.Outcome{
	peerpb.Outcome_OUTCOME_FAILED: jobs.Failed,
	peerpb.Outcome_OUTCOME_OPEN:   jobs.OK,
	peerpb.Outcome_OUTCOME_CLOSED: jobs.Conflict,
	peerpb.Outcome_OUTCOME_BUSY:   jobs.Busy,
}

func answerOf(id uint64, r jobs.Result) *peerpb.Answer {
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

// compare has a question compared here.
func (q *questions) compare(ctx context.Context, g jobs.Guard) jobs.Result {
	c := make(chan jobs.Result, 1)
	q.mu.Lock()
	now := q.now()
	until := now + questionPatience
	if d, ok := ctx.Deadline(); ok {
		until = d.Sub(q.start)
	}
	w := q.batcher.Ask(now, g, until)
	q.askers[w] = asker{here: c}
	q.step(now)
	q.mu.Unlock()
	select {
	case res := <-c:
		return res
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.batcher.Cancel(g, w)
	delete(q.askers, w)
	return jobs.Result{Outcome: jobs.Busy}
}

// compareFor has a sibling's question compared here.
func (q *questions) compareFor(k *link, id uint64, g jobs.Guard) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	w := q.batcher.Ask(now, g, now+questionPatience)
	q.askers[w] = asker{link: k, id: id}
	q.step(now)
}

// step steps the batcher, and once more when that is due.
func (q *questions) step(now time.Duration) {
	batches, over, next := q.batcher.Step(now)
	for _, b := range batches {
		go q.send(b)
	}
	q.deliver(over)
	if next == 0 || q.due != 0 && q.due <= next && q.due > now {
		return
	}
	q.due = next
	time.AfterFunc(next-now, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.step(q.now())
	})
}

// send makes a comparison.
func (q *questions) send(b readbatch.Batch) {
	guards := make([]wire.Guard, 0, len(b.Guards))
	for _, g := range b.Guards {
		guards = append(guards, wire.Guard{Key: openKeys + wire.JobName(g.Job), Version: g.Version})
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
		case failed[openKeys+wire.JobName(g.Job)]:
			return jobs.Conflict
		}
		return jobs.OK
	})
	q.deliver(answers)
	q.step(now)
}

// deliver passes answers to those that wait for them.
func (q *questions) deliver(answers []readbatch.Answer) {
	away := map[*link][]*peerpb.Answer{}
	for _, a := range answers {
		to, ok := q.askers[a.Waiter]
		if !ok {
			continue
		}
		delete(q.askers, a.Waiter)
		if to.link != nil {
			away[to.link] = append(away[to.link], answerOf(to.id, a.Result))
			continue
		}
		to.here <- a.Result
	}
	for k, as := range away {
		k.out.Send(&peerpb.Down{Msg: &peerpb.Down_Answers{Answers: &peerpb.Answers{Answers: as}}})
	}
}

// heardQuestions takes a member's questions. A job that is known to be done needs no
// comparison, for that never changes. Of cancellations only the reader of their record
// tells, who notes that before it tells anybody.
func (l *leadership) heardQuestions(k *link, qs []*peerpb.Question) {
	for _, question := range qs {
		g := jobs.Guard{Job: model.JobID(question.GetJob()), Version: question.GetVersion()}
		if l.n.finals[g.Job] == jobs.Done {
			a := answerOf(question.GetId(), jobs.Result{Outcome: jobs.Conflict, Stage: jobs.Done})
			k.out.Send(&peerpb.Down{Msg: &peerpb.Down_Answers{Answers: &peerpb.Answers{Answers: []*peerpb.Answer{a}}}})
			continue
		}
		l.n.questions.compareFor(k, question.GetId(), g)
	}
}

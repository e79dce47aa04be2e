package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

// pollGather is how long polls are gathered: the state service answers many in
// one comparison, where a read for each would use up its rate.
const pollGather = 100 * time.Millisecond

// polls gathers questions whether jobs are still open.
type polls struct {
	state *state.Client
	most  int // guards in a transaction
	mu    sync.Mutex
	asked map[wire.Guard][]chan<- jobs.Outcome
}

func newPolls(c *state.Client, txnOps int) *polls {
	return &polls{state: c, most: 4 * txnOps, asked: map[wire.Guard][]chan<- jobs.Outcome{}}
}

// stillOpen tells whether a job's open record has the version. The comparison is
// made after this was called, so the answer is as good as a read's.
func (p *polls) stillOpen(ctx context.Context, id model.JobID, version uint64) jobs.Outcome {
	c := make(chan jobs.Outcome, 1)
	g := wire.Guard{Key: openKeys + wire.JobName(id), Version: version}
	p.mu.Lock()
	p.asked[g] = append(p.asked[g], c)
	switch len(p.asked) {
	case 1:
		if len(p.asked[g]) == 1 {
			time.AfterFunc(pollGather, p.compare)
		}
	case p.most:
		go p.compare()
	}
	p.mu.Unlock()
	select {
	case o := <-c:
		return o
	case <-ctx.Done():
		return jobs.Failed
	}
}

func (p *polls) compare() {
	p.mu.Lock()
	asked := p.asked
	p.asked = map[wire.Guard][]chan<- jobs.Outcome{}
	p.mu.Unlock()
	if len(asked) == 0 {
		return
	}
	guards := make([]wire.Guard, 0, len(asked))
	for g := range asked {
		guards = append(guards, g)
	}
	for some := range slices.Chunk(guards, p.most) { // more may have come meanwhile
		p.ask(some, asked)
	}
}

func (p *polls) ask(guards []wire.Guard, asked map[wire.Guard][]chan<- jobs.Outcome) {
	failed, err := p.state.Compare(context.Background(), guards)
	for _, g := range guards {
		o := jobs.OK
		switch {
		case err != nil:
			o = jobs.Failed
		case failed[g.Key]:
			o = jobs.Conflict
		}
		for _, c := range asked[g] {
			c <- o
		}
	}
}

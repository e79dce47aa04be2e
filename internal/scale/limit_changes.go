package scale

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"honeylock/internal/client"
	"honeylock/internal/config/settingspb"
	"honeylock/internal/node"
)

const (
	// minLimitFraction is the smallest part of its platform limit that a team's limit is changed to.
	minLimitFraction = 0.8
	// changeTimeout is how long a change may take, repeated calls included.
	changeTimeout = time.Minute
)

// limitChanger changes teams' limits through the operators' API, as often as is wanted.
type limitChanger struct {
	spec         RegionSpec
	changeClient *client.Operators // by way of one controller after the other
	checkClient  *client.Operators // ... beginning with another
	rng          *rand.Rand
	latency      *histogram // from the first call to the answer: stored, and in force

	mu                  sync.Mutex
	made, failed, stale int
}

func newLimitChanger(spec RegionSpec) (*limitChanger, error) {
	addrs := make([]string, len(spec.Hosts))
	for i, h := range spec.Hosts {
		addrs[i] = h.Operators
	}
	change, err := client.NewOperators(addrs, spec.OperatorToken, "")
	if err != nil {
		return nil, fmt.Errorf("changes of limits: %w", err)
	}
	check, err := client.NewOperators(append(addrs[1:len(addrs):len(addrs)], addrs[0]), spec.OperatorToken, "")
	if err != nil {
		return nil, fmt.Errorf("changes of limits: %w", err)
	}
	return &limitChanger{spec: spec, changeClient: change, checkClient: check, rng: rand.New(rand.NewPCG(spec.Seed, 14)),
		latency: newHistogram()}, nil
}

// run makes changes until the context ends.
func (l *limitChanger) run(ctx context.Context) {
	perSecond := l.spec.LimitChangesPerDay / (24 * time.Hour).Seconds()
	if perSecond <= 0 {
		return
	}
	for sleepContext(ctx, time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second))) == nil {
		team := l.spec.Teams[l.rng.IntN(len(l.spec.Teams))]
		limit := math.Round(team.CPUsMax * (minLimitFraction + (1-minLimitFraction)*l.rng.Float64()))
		l.changeLimit(ctx, team.Name, limit)
	}
}

// changeLimit changes a team's limit, and asks another controller for it once that is answered.
func (l *limitChanger) changeLimit(ctx context.Context, team string, limit float64) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	body, err := prototext.Marshal(&settingspb.TeamChange{LimitCpus: &limit})
	if err != nil {
		panic(fmt.Sprintf("encode a change: %v", err)) // plain values always encode
	}
	started := time.Now()
	err = l.changeClient.Change(ctx, "teams/"+team, body, nil, nil)
	took := time.Since(started)
	var reply node.TeamReply
	if err == nil {
		l.latency.record(took)
		err = l.checkClient.Get(ctx, "teams/"+team, &reply)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.failed++
	case math.Abs(reply.Limit-limit) > 0.5:
		l.stale++
	default:
		l.made++
	}
}

func (l *limitChanger) stats(reset bool) LimitChangeStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LimitChangeStats{Made: l.made, Failed: l.failed, Stale: l.stale, Took: l.latency.snapshot(reset)}
}

// LimitChangeStats count changes of teams' limits.
type LimitChangeStats struct {
	Made   int // answered, and told by another controller afterwards
	Failed int // not answered within a minute
	Stale  int // answered, but another controller told an older limit afterwards
	Took   Quantiles
}

func (s LimitChangeStats) minus(before LimitChangeStats) LimitChangeStats {
	s.Made -= before.Made
	s.Failed -= before.Failed
	s.Stale -= before.Stale
	return s
}

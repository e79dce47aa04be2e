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
	// minLimitFraction is the lower bound of a changed limit, as a fraction of the team's limit in the configuration.
	minLimitFraction = 0.8
	// changeTimeout is the time limit for a change and its check, including retries.
	changeTimeout = time.Minute
)

// limitChanger changes teams' limits through the operators' API at a given rate and checks the result.
type limitChanger struct {
	spec         RegionSpec
	changeClient *client.Operators // tries the controllers in order
	checkClient  *client.Operators // starts with a different controller
	random       *rand.Rand
	latency      *histogram // from the first request to the answer, which means that the change is stored and in force

	mu                  sync.Mutex
	made, failed, stale int
}

// newLimitChanger creates a limitChanger for the region's teams.
func newLimitChanger(spec RegionSpec) (*limitChanger, error) {
	addrs := make([]string, len(spec.Hosts))
	for i, host := range spec.Hosts {
		addrs[i] = host.Operators
	}
	change, err := client.NewOperators(addrs, spec.OperatorToken, "")
	if err != nil {
		return nil, fmt.Errorf("changes of limits: %w", err)
	}
	check, err := client.NewOperators(append(addrs[1:len(addrs):len(addrs)], addrs[0]), spec.OperatorToken, "")
	if err != nil {
		return nil, fmt.Errorf("changes of limits: %w", err)
	}
	return &limitChanger{spec: spec, changeClient: change, checkClient: check,
		random: rand.New(rand.NewPCG(spec.Seed, 14)), latency: newHistogram()}, nil
}

// run makes changes at random intervals until the context ends.
func (l *limitChanger) run(ctx context.Context) {
	perSecond := l.spec.LimitChangesPerDay / (24 * time.Hour).Seconds()
	if perSecond <= 0 {
		return
	}
	for sleepContext(ctx, time.Duration(l.random.ExpFloat64()/perSecond*float64(time.Second))) == nil {
		team := l.spec.Teams[l.random.IntN(len(l.spec.Teams))]
		limit := math.Round(team.CPUsMax * (minLimitFraction + (1-minLimitFraction)*l.random.Float64()))
		l.changeLimit(ctx, team.Name, limit)
	}
}

// changeLimit changes a team's limit and then reads it from another controller, which must already have the new value.
func (l *limitChanger) changeLimit(ctx context.Context, team string, limit float64) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	body, err := prototext.Marshal(&settingspb.TeamChange{LimitCpus: &limit})
	if err != nil {
		panic(fmt.Sprintf("encode a change: %v", err)) // encoding plain values can't fail
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

// stats returns the counts since the start of the process. reset restarts the quantiles.
func (l *limitChanger) stats(reset bool) LimitChangeStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LimitChangeStats{Made: l.made, Failed: l.failed, Stale: l.stale, Took: l.latency.snapshot(reset)}
}

// LimitChangeStats counts the changes of teams' limits.
type LimitChangeStats struct {
	Made   int // answered, and another controller then returned the new limit
	Failed int // the change or its check failed, or took longer than changeTimeout
	Stale  int // answered, but another controller then returned an older limit
	Took   Quantiles
}

// minus returns the counts less those of an earlier snapshot.
func (s LimitChangeStats) minus(before LimitChangeStats) LimitChangeStats {
	s.Made -= before.Made
	s.Failed -= before.Failed
	s.Stale -= before.Stale
	return s
}

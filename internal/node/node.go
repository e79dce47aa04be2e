// Package node runs the cores of one controller: it feeds them messages and
// time, and carries out what they ask for.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/cloud"
	"honeylock/internal/config"
	"honeylock/internal/core/cancellog"
	"honeylock/internal/core/election"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/overload"
	"honeylock/internal/core/pipeline"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/storehealth"
	"honeylock/internal/peer"
	"honeylock/internal/state"
	"honeylock/internal/wire"
	"honeylock/internal/worker"
)

// Keys of the state service.
const (
	keyLeader     = "leader"
	keyTerm       = "term"
	keyCatalog    = "catalog"
	openPrefix    = "open/"
	finalPrefix   = "final/"
	donePrefix    = "done/"
	machinePrefix = "machines/"
)

// Node is one controller.
type Node struct {
	cfg      *config.Platform
	settings *config.Settings
	log      *slog.Logger
	rng      *rand.Rand
	state    *state.Client
	cloud    *cloud.Client
	workers  *worker.Client
	// dialer opens connections to siblings for users' requests.
	dialer    *peer.Dialer
	failures  *failureLog
	startedAt time.Time
	leaseTTL  time.Duration

	health processHealth

	mu                  sync.Mutex
	names               *wire.Names
	election            *election.Election
	lead                *leadership
	lastLedTerm         uint64                      // the last term that this controller took up
	local               *localShard                 // this controller's shard, nil while it may not act
	localReady          chan struct{}               // closed while there is one
	localDroppedAt      time.Duration               // since when there is none
	progress            map[model.JobID]jobProgress // of open jobs, as last told by the leader
	leader              string                      // the leader that this controller is linked to
	leaderStateServedAt time.Duration               // the state service last served the leader
	lastReportAt        time.Duration               // the last worker's report
	lastLinkHost        string                      // the last host whose link ended
	reportWaiters       map[model.MachineID][]chan struct{}
	types               []model.MachineType
	cachedFinals        map[model.JobID]jobs.Stage
	openRecords         map[model.JobID]openRecordInfo
	cancelLog           *cancellog.Log            // cancellations that users were told of here
	statusFreshness     *pipeline.StatusFreshness // as the leader that this controller is linked to has told
	siblingSeenAt       time.Duration             // a sibling was last heard
	openChecker         *openChecker
	finalOrder          []model.JobID // of finals, oldest first
	stats               Stats
	previousMachines    map[model.MachineID]map[model.Name]bool // machines of this controller's last shard, with their images
	cyclePending        bool                                    // a turn is due
	cycleDuration       time.Duration                           // of the last turn
	lastTick            time.Duration
}

// Stats are counts for operators.
type Stats struct {
	Reports, Redirected, Stalls uint64
}

const maxCachedFinals = 20_000

const (
	tickInterval   = 50 * time.Millisecond
	stallThreshold = time.Second // a tick so late: the process did not run, or far too slowly
)

// MaxDirectConns is how many sockets a controller keeps for telling workers something
// directly, those that idle until the next time included.
func MaxDirectConns(fdLimit int) int { return maxDirectSends + maxIdleDirectConns(fdLimit) }

func maxIdleDirectConns(fdLimit int) int { return fdLimit / 12 }

// New builds a controller. The random numbers' seed is injected, so that a
// test can repeat a run.
func New(cfg *config.Platform, settings *config.Settings, log *slog.Logger, rng *rand.Rand) *Node {
	teams := make([]string, len(cfg.Cluster.Teams))
	for i, t := range cfg.Cluster.Teams {
		teams[i] = t.Name
	}
	n := &Node{
		cfg: cfg, settings: settings, log: log, rng: rng, startedAt: time.Now(), leaseTTL: cfg.Cluster.LeaderTTL(),
		health:  processHealth{jitter: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))},
		cloud:   cloud.New(cfg.Services.Cloud, cfg.Cluster.Cloud.RPS*0.7, 5*time.Second),
		workers: worker.New(directTimeout, maxIdleDirectConns(cfg.Cluster.Resources.FDLimit)), dialer: peer.NewDialer(),
		failures: newFailureLog(log),
		names: &wire.Names{Teams: wire.NewTable(teams...), Types: wire.NewTable(), Zones: wire.NewTable(cfg.Cluster.Zones...),
			Images: wire.NewTable(), Classes: wire.NewTable()},
		localReady:      make(chan struct{}),
		cachedFinals:    map[model.JobID]jobs.Stage{},
		openRecords:     map[model.JobID]openRecordInfo{},
		cancelLog:       cancellog.NewLog(0),
		statusFreshness: pipeline.NewStatusFreshness(cfg.Cluster.Vouched()),
		siblingSeenAt:   -time.Hour,
		reportWaiters:   map[model.MachineID][]chan struct{}{},
	}
	n.state = state.New(cfg.Services.State, ratelimit.Params{RequestRate: cfg.Cluster.State.RPS,
		WriteRate: cfg.Cluster.State.WriteRPS, NextWriteRate: cfg.Cluster.State.Next.WriteRPS,
		Controllers: 1 + len(cfg.Siblings)}, 1500*time.Millisecond, n.recordOutcome)
	n.names.Aimed, n.names.Guaranteed = map[model.Name]bool{}, map[model.Name]bool{}
	for i, t := range cfg.Cluster.Teams {
		n.names.Guaranteed[model.Name(i)] = t.CPUs > 0 || t.GPUs > 0
	}
	for _, o := range cfg.Cluster.Objectives {
		if o.Class != "" {
			n.names.Aimed[n.names.Classes.ID(o.Class)] = true
		}
	}
	n.openChecker = newOpenChecker(n.state, cfg.Cluster.TxnOps(), 1+len(cfg.Siblings))
	index := 0
	for _, s := range cfg.Siblings {
		if s.HostName < cfg.HostName {
			index++
		}
	}
	n.election = election.New(cfg.HostName, n.leaseTTL, time.Duration(index)*150*time.Millisecond, config.Promise, 0)
	n.election.SetSiblings(len(cfg.Siblings))
	return n
}

// recordOutcome takes what became of a request to the state service.
func (n *Node) recordOutcome(sent time.Time, o storehealth.Outcome) {
	n.health.recordRequest(sent.Sub(n.startedAt), o)
}

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// Run works until the context ends.
func (n *Node) Run(ctx context.Context) {
	go n.fetchCatalog(ctx)
	go n.watchLeader(ctx)
	go n.runMember(ctx)
	go n.checkSiblings(ctx)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.tick(ctx)
		}
	}
}

// resignTimeout is what a process that is told to stop takes to give leadership up.
const resignTimeout = time.Second

// ResignLeadership gives leadership up once Run has ended, for a process that is told to stop: the
// others need not wait until its lease is over. Whoever is killed skips it.
func (n *Node) ResignLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	n.mu.Lock()
	if n.lead == nil {
		n.mu.Unlock()
		return
	}
	now := n.now()
	n.election.Resign(now, 0)
	n.syncLeadership(ctx, now)
	ops := n.election.Step(now)
	n.mu.Unlock()
	for _, op := range ops {
		n.electionOp(state.As(ctx, ratelimit.Authority), op)
	}
}

// Admit tells whether a user's request should be begun at all, or when its user
// should ask again.
func (n *Node) Admit(kind overload.Kind) (ok bool, retryAfter time.Duration) {
	return n.health.admit(n.now(), kind)
}

func (n *Node) tick(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if n.lastTick != 0 {
		since := now - n.lastTick
		n.health.recordDelay(now, since-tickInterval)
		if since > stallThreshold {
			n.stats.Stalls++
			n.log.Info("this controller stood still", "for", since, "leading", n.lead != nil)
		}
	}
	n.lastTick = now
	// First of all authority that ended meanwhile goes.
	n.runElection(ctx, n.election.Step(now))
	n.syncLeadership(ctx, now)
	if n.lead != nil {
		n.lead.tick(now)
	} else if n.local != nil {
		n.tickMember(now)
	}
}

func (n *Node) runElection(ctx context.Context, ops []election.Op) {
	for _, op := range ops {
		go func() {
			res := n.electionOp(state.As(ctx, ratelimit.Authority), op)
			n.mu.Lock()
			defer n.mu.Unlock()
			now := n.now()
			n.runElection(ctx, n.election.HandleResult(now, res))
			n.syncLeadership(ctx, now)
		}()
	}
}

func (n *Node) electionOp(ctx context.Context, op election.Op) election.Result {
	res := election.Result{Op: op}
	switch op.Verb {
	case election.Read:
		rec, err := n.readLeader(ctx)
		if err != nil {
			n.log.Debug("leader's key not read", "err", err)
			return res
		}
		res.Leader = rec
		if rec.Present { // the term matters to whoever takes the key
			res.OK = true
			return res
		}
		it, err := n.state.Get(ctx, keyTerm)
		if err != nil && !errors.Is(err, state.ErrNotFound) {
			return res
		}
		if it != nil {
			var term wire.Term
			if err := json.Unmarshal(it.Value, &term); err != nil {
				n.log.Error("stored term is unreadable", "err", err)
				return res
			}
			res.Term, res.TermVersion = term.Term, it.Version
		}
		res.OK = true
	case election.Grant:
		id, err := n.state.Grant(ctx, n.leaseTTL)
		res.Lease, res.OK = id, err == nil
	case election.Acquire:
		rev, err := n.state.Txn(ctx, wire.Txn{
			Guards: []wire.Guard{{Key: keyLeader}, {Key: keyTerm, Version: op.TermVersion}},
			Then: []wire.Op{
				{Put: keyLeader, Value: mustEncode(wire.Leader{Host: n.cfg.HostName, Term: op.Term, Lease: op.Lease}),
					Lease: op.Lease},
				{Put: keyTerm, Value: mustEncode(wire.Term{Term: op.Term})},
			}})
		res.Version, res.OK = rev, err == nil
	case election.Renew:
		// It counts from its sending, however late its answer is read; meanwhile
		// others are sent.
		err := n.state.Extend(state.Patiently(ctx, n.leaseTTL), op.Lease)
		res.OK, res.NotExecuted = err == nil, errors.Is(err, state.ErrNotFound)
		n.failures.record("leader's lease not renewed", err)
	case election.Revoke:
		res.OK = n.state.End(ctx, op.Lease) == nil
	}
	return res
}

func (n *Node) readLeader(ctx context.Context) (election.LeaderRecord, error) {
	it, err := n.state.Get(ctx, keyLeader)
	if errors.Is(err, state.ErrNotFound) {
		return election.LeaderRecord{}, nil
	}
	if err != nil {
		return election.LeaderRecord{}, err
	}
	return leaderRecord(it.Value, it.Version)
}

func leaderRecord(v json.RawMessage, version uint64) (election.LeaderRecord, error) {
	var l wire.Leader
	if err := json.Unmarshal(v, &l); err != nil {
		return election.LeaderRecord{}, fmt.Errorf("leader's key: %w", err)
	}
	return election.LeaderRecord{Present: true, Host: l.Host, Term: l.Term, Lease: l.Lease, Version: version}, nil
}

// How long a watch of the leader's key waits: the longer the more controllers there are, for
// each is a request.
const (
	minLeaderWatch = 10 * time.Second
	maxLeaderWatch = time.Minute
)

// watchLeader learns quickly when the leader's key goes or changes.
func (n *Node) watchLeader(ctx context.Context) {
	var rev uint64
	wait := min(maxLeaderWatch, max(minLeaderWatch, time.Duration(len(n.cfg.Siblings))*minLeaderWatch/2))
	for ctx.Err() == nil {
		ev, err := n.state.Watch(ctx, keyLeader, rev, wait)
		if errors.Is(err, state.ErrCompacted) || rev == 0 && err == nil {
			// Start from now; the election's own reading covers what was before.
			currentRevision, listErr := n.state.List(ctx, keyTerm, func(*wire.Item) error { return nil })
			if listErr == nil {
				rev = max(1, currentRevision)
				continue
			}
			err = listErr
		}
		if err != nil {
			sleep(ctx, 500*time.Millisecond)
			continue
		}
		rev = ev.Revision
		for _, e := range ev.Events {
			record := election.LeaderRecord{Version: e.Version}
			if e.Put == keyLeader {
				if record, err = leaderRecord(e.Value, e.Version); err != nil {
					continue
				}
			} else if e.Delete != keyLeader {
				continue
			}
			n.mu.Lock()
			n.election.Observe(n.now(), record)
			n.mu.Unlock()
		}
	}
}

// fetchCatalog gets the machine types, without which no submission can be
// judged, and keeps the prices fresh.
func (n *Node) fetchCatalog(ctx context.Context) {
	for ctx.Err() == nil {
		pause := n.catalogInterval()
		catalog, err := n.cloud.Catalog(ctx)
		fresh := err == nil
		n.failures.record("catalog not read", err)
		if err != nil {
			pause = time.Second
			n.mu.Lock()
			known := len(n.types) > 0
			n.mu.Unlock()
			if !known { // the last one that a leader read serves meanwhile
				catalog, err = n.storedCatalog(ctx)
			}
		}
		if err == nil && catalog != nil {
			n.mu.Lock()
			n.types = catalog.MachineTypes(n.names)
			l := n.lead
			if l != nil {
				l.setTypes(n.types)
			}
			n.mu.Unlock()
			if l != nil && fresh && len(mustEncode(catalog)) <= int(n.cfg.Cluster.ValueKB()*1024) {
				txn := wire.Txn{Guards: []wire.Guard{l.guard}, Then: []wire.Op{{Put: keyCatalog, Value: mustEncode(catalog)}}}
				if _, err := n.state.Txn(ctx, txn); err != nil {
					n.log.Debug("catalog not stored", "err", err)
				}
			}
		}
		sleep(ctx, pause)
	}
}

// catalogInterval is until the machine types are read again: a leader needs the prices, the
// others together read no more often than two of them, and not at the same moment.
func (n *Node) catalogInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	pause := time.Minute
	if n.lead == nil {
		pause *= time.Duration(max(1, len(n.cfg.Siblings)/2))
	}
	return time.Duration(float64(pause) * (0.75 + 0.5*n.rng.Float64()))
}

func (n *Node) storedCatalog(ctx context.Context) (*wire.Catalog, error) {
	it, err := n.state.Get(ctx, keyCatalog)
	if err != nil {
		return nil, err
	}
	var catalog wire.Catalog
	if err := json.Unmarshal(it.Value, &catalog); err != nil {
		return nil, fmt.Errorf("stored catalog: %w", err)
	}
	return &catalog, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func mustEncode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // plain structs always encode
	}
	return b
}

// Package node runs one controller. It connects the state machines of internal/core to the clock,
// the network, the state service and the cloud: it feeds them messages and time, and executes the
// operations that they request.
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
	"honeylock/internal/exactjson"
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

// Node is one controller: a member that runs a shard, and the leader while it holds the lease.
type Node struct {
	cfg      *config.Platform
	settings *config.Settings
	log      *slog.Logger
	rng      *rand.Rand
	state    *state.Client
	cloud    *cloud.Client
	workers  *worker.Client
	// dialer connects to other controllers to forward users' requests.
	dialer    *peer.Dialer
	failures  *failureLog
	startedAt time.Time
	leaseTTL  time.Duration

	health processHealth

	mu                  sync.Mutex
	names               *wire.Names
	election            *election.Election
	lead                *leadership
	lastLedTerm         uint64                              // the last term that this controller led
	local               *localShard                         // nil while this controller has no shard
	localReady          chan struct{}                       // closed while a local shard exists
	localDroppedAt      time.Duration                       // when the last local shard was dropped
	progress            map[model.JobID]jobProgress         // of open jobs, as last sent by the leader
	leader              string                              // host of the connected leader, "" if there is none
	leaderStateServedAt time.Duration                       // when the state service last served the leader
	lastReportAt        time.Duration                       // when the last worker report arrived
	lastLinkHost        string                              // leader host of the last link that ended
	reportWaiters       map[model.MachineID][]chan struct{} // reports that wait, see handleReportLater
	machineTypes        []model.MachineType
	cachedFinals        map[model.JobID]jobs.Stage
	openRecords         map[model.JobID]openRecordInfo
	cancelLog           *cancellog.Log            // cancellations that this controller acknowledged to users
	statusFreshness     *pipeline.StatusFreshness // as reported by the connected leader
	siblingSeenAt       time.Duration             // when another controller last answered or sent a message
	openChecker         *openChecker
	finalOrder          []model.JobID // keys of cachedFinals, oldest first
	stats               Stats
	previousMachines    map[model.MachineID]map[model.Name]bool // machines of the last local shard, with their images
	cyclePending        bool                                    // a cycle is scheduled
	cycleDuration       time.Duration                           // of the last cycle
	lastTick            time.Duration
}

// Stats are counters for operators: worker reports received, reports redirected to another controller,
// and stalls of this process.
type Stats struct {
	Reports, Redirected, Stalls uint64
}

// maxCachedJobs limits the number of jobs in each of the caches cachedFinals and openRecords.
const maxCachedJobs = 20_000

const (
	tickInterval   = 50 * time.Millisecond
	stallThreshold = time.Second // after a longer gap between ticks the process did not run, or far too slowly
)

// MaxDirectConns returns the maximum number of sockets for direct commands to workers, including
// idle ones that are kept for reuse.
func MaxDirectConns(fdLimit int) int { return maxDirectSends + maxIdleDirectConns(fdLimit) }

// maxIdleDirectConns returns how many idle sockets are kept for direct commands.
func maxIdleDirectConns(fdLimit int) int { return fdLimit / 12 }

// New builds a controller. The random number generator is injected so that a test can repeat a run.
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
		statusFreshness: pipeline.NewStatusFreshness(cfg.Cluster.StatusFreshness()),
		siblingSeenAt:   -time.Hour,
		reportWaiters:   map[model.MachineID][]chan struct{}{},
	}
	n.state = state.New(cfg.Services.State, ratelimit.Params{RequestRate: cfg.Cluster.State.RPS,
		WriteRate: cfg.Cluster.State.WriteRPS, NextWriteRate: cfg.Cluster.State.Next.WriteRPS,
		Controllers: 1 + len(cfg.Siblings)}, 1500*time.Millisecond, n.recordOutcome)
	n.names.ObjectiveClasses, n.names.GuaranteedTeams = map[model.Name]bool{}, map[model.Name]bool{}
	for i, t := range cfg.Cluster.Teams {
		n.names.GuaranteedTeams[model.Name(i)] = t.CPUs > 0 || t.GPUs > 0
	}
	for _, o := range cfg.Cluster.Objectives {
		if o.Class != "" {
			n.names.ObjectiveClasses[n.names.Classes.ID(o.Class)] = true
		}
	}
	n.openChecker = newOpenChecker(n.state, cfg.Cluster.TxnOps(), 1+len(cfg.Siblings))
	index := 0 // of this controller among all, by host name: staggers their attempts to take a free leader key
	for _, s := range cfg.Siblings {
		if s.HostName < cfg.HostName {
			index++
		}
	}
	n.election = election.New(cfg.HostName, n.leaseTTL, time.Duration(index)*150*time.Millisecond,
		config.PromiseDuration, 0)
	n.election.SetSiblings(len(cfg.Siblings))
	return n
}

// recordOutcome records the outcome of a request to the state service.
func (n *Node) recordOutcome(sent time.Time, outcome storehealth.Outcome) {
	n.health.recordRequest(sent.Sub(n.startedAt), outcome)
}

// now returns the time since the start of the process on the monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// Run runs the controller until the context ends.
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

// resignTimeout bounds how long a process that is told to stop takes to resign leadership.
const resignTimeout = time.Second

// ResignLeadership resigns leadership after Run has ended because the process is told to stop. The
// other controllers then need not wait for the lease to expire, as they do when a leader is killed.
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
		n.runElectionOp(state.WithClass(ctx, ratelimit.Authority), op)
	}
}

// Admit reports whether a user's request of this kind should be processed. If not, retryAfter is when
// the user should try again.
func (n *Node) Admit(kind overload.Kind) (ok bool, retryAfter time.Duration) {
	return n.health.admit(n.now(), kind)
}

// tick measures how late it is called, then steps the election, and ticks the leadership or the member's
// shard.
func (n *Node) tick(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if n.lastTick != 0 {
		since := now - n.lastTick
		n.health.recordDelay(now, since-tickInterval)
		if since > stallThreshold {
			n.stats.Stalls++
			n.log.Info("process stalled", "for", since, "leading", n.lead != nil)
		}
	}
	n.lastTick = now
	// Authority that has expired is dropped before anything can act on it.
	n.runElection(ctx, n.election.Step(now))
	n.syncLeadership(ctx, now)
	if n.lead != nil {
		n.lead.tick(now)
	} else if n.local != nil {
		n.tickMember(now)
	}
}

// runElection executes the election's operations in the background and passes it their results.
// Called under the lock.
func (n *Node) runElection(ctx context.Context, ops []election.Op) {
	for _, op := range ops {
		go func() {
			result := n.runElectionOp(state.WithClass(ctx, ratelimit.Authority), op)
			n.mu.Lock()
			defer n.mu.Unlock()
			now := n.now()
			n.runElection(ctx, n.election.HandleResult(now, result))
			n.syncLeadership(ctx, now)
		}()
	}
}

// runElectionOp executes one operation of the election at the state service.
func (n *Node) runElectionOp(ctx context.Context, op election.Op) election.Result {
	result := election.Result{Op: op}
	switch op.Verb {
	case election.Read:
		record, err := n.readLeader(ctx)
		if err != nil {
			n.log.Debug("failed to read the leader key", "err", err)
			return result
		}
		result.Leader = record
		if record.Present { // the stored term is needed only to acquire a free key
			result.OK = true
			return result
		}
		item, err := n.state.Get(ctx, keyTerm)
		if err != nil && !errors.Is(err, state.ErrNotFound) {
			return result
		}
		if item != nil {
			var term wire.Term
			if err := exactjson.Unmarshal(item.Value, &term); err != nil {
				n.log.Error("failed to decode the stored term", "err", err)
				return result
			}
			result.Term, result.TermVersion = term.Term, item.Version
		}
		result.OK = true
	case election.Grant:
		id, err := n.state.Grant(ctx, n.leaseTTL)
		result.Lease, result.OK = id, err == nil
	case election.Acquire:
		rev, err := n.state.Txn(ctx, wire.Txn{
			Guards: []wire.Guard{{Key: keyLeader}, {Key: keyTerm, Version: op.TermVersion}},
			Then: []wire.Op{
				{Put: keyLeader, Value: mustEncode(wire.Leader{Host: n.cfg.HostName, Term: op.Term, Lease: op.Lease}),
					Lease: op.Lease},
				{Put: keyTerm, Value: mustEncode(wire.Term{Term: op.Term})},
			}})
		result.Version, result.OK = rev, err == nil
	case election.Renew:
		// A renewal counts from when it was sent, however late its answer is read, so it may
		// take the whole lease. Further renewals are sent meanwhile.
		err := n.state.Extend(state.WithTimeout(ctx, n.leaseTTL), op.Lease)
		result.OK, result.NotExecuted = err == nil, errors.Is(err, state.ErrNotFound)
		n.failures.record("failed to renew the leader lease", err)
	case election.Revoke:
		result.OK = n.state.End(ctx, op.Lease) == nil
	}
	return result
}

// readLeader reads the leader key; an absent key is not an error.
func (n *Node) readLeader(ctx context.Context) (election.LeaderRecord, error) {
	item, err := n.state.Get(ctx, keyLeader)
	if errors.Is(err, state.ErrNotFound) {
		return election.LeaderRecord{}, nil
	}
	if err != nil {
		return election.LeaderRecord{}, err
	}
	return leaderRecord(item.Value, item.Version)
}

// leaderRecord decodes a value of the leader key.
func leaderRecord(value json.RawMessage, version uint64) (election.LeaderRecord, error) {
	var leader wire.Leader
	if err := exactjson.Unmarshal(value, &leader); err != nil {
		return election.LeaderRecord{}, fmt.Errorf("decode leader key: %w", err)
	}
	return election.LeaderRecord{Present: true, Host: leader.Host, Term: leader.Term, Lease: leader.Lease,
		Version: version}, nil
}

// Bounds of how long a watch of the leader key waits for a change. Each wait is a request to the
// state service, so the wait is longer the more controllers there are.
const (
	minLeaderWatch = 10 * time.Second
	maxLeaderWatch = time.Minute
)

// watchLeader watches the leader key, so that the election learns at once when it is deleted or changed.
func (n *Node) watchLeader(ctx context.Context) {
	var revision uint64
	wait := min(maxLeaderWatch, max(minLeaderWatch, time.Duration(len(n.cfg.Siblings))*minLeaderWatch/2))
	for ctx.Err() == nil {
		response, err := n.state.Watch(ctx, keyLeader, revision, wait)
		if errors.Is(err, state.ErrCompacted) || revision == 0 && err == nil {
			// Start from the current revision; the election's own reads cover earlier changes.
			currentRevision, listErr := n.state.List(ctx, keyTerm, func(*wire.Item) error { return nil })
			if listErr == nil {
				revision = max(1, currentRevision)
				continue
			}
			err = listErr
		}
		if err != nil {
			sleep(ctx, 500*time.Millisecond)
			continue
		}
		revision = response.Revision
		for _, event := range response.Events {
			record := election.LeaderRecord{Version: event.Version}
			if event.Put == keyLeader {
				if record, err = leaderRecord(event.Value, event.Version); err != nil {
					continue
				}
			} else if event.Delete != keyLeader {
				continue
			}
			n.mu.Lock()
			n.election.Observe(n.now(), record)
			n.mu.Unlock()
		}
	}
}

// fetchCatalog keeps the machine types and their prices up to date. Without machine types no
// submission can be validated, so the copy that a leader stored is used until the cloud answers.
func (n *Node) fetchCatalog(ctx context.Context) {
	for ctx.Err() == nil {
		pause := n.catalogInterval()
		catalog, err := n.cloud.Catalog(ctx)
		fresh := err == nil
		n.failures.record("failed to read the catalog of machine types", err)
		if err != nil {
			pause = time.Second
			n.mu.Lock()
			known := len(n.machineTypes) > 0
			n.mu.Unlock()
			if !known { // use the copy that a leader stored
				catalog, err = n.storedCatalog(ctx)
			}
		}
		if err == nil && catalog != nil {
			n.mu.Lock()
			n.machineTypes = catalog.MachineTypes(n.names)
			l := n.lead
			if l != nil {
				l.setTypes(n.machineTypes)
			}
			n.mu.Unlock()
			if l != nil && fresh && len(mustEncode(catalog)) <= int(n.cfg.Cluster.ValueKB()*1024) {
				txn := wire.Txn{Guards: []wire.Guard{l.guard}, Then: []wire.Op{{Put: keyCatalog, Value: mustEncode(catalog)}}}
				if _, err := n.state.Txn(ctx, txn); err != nil {
					n.log.Debug("failed to store the catalog of machine types", "err", err)
				}
			}
		}
		sleep(ctx, pause)
	}
}

// catalogInterval returns the time until the catalog is read again. The leader needs current prices
// and reads about once a minute. The other controllers together read two or three times a minute if
// there are several, however many there are. Jitter keeps them from reading at the same moment.
func (n *Node) catalogInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	pause := time.Minute
	if n.lead == nil {
		pause *= time.Duration(max(1, len(n.cfg.Siblings)/2))
	}
	return time.Duration(float64(pause) * (0.75 + 0.5*n.rng.Float64()))
}

// storedCatalog reads the copy of the catalog that a leader stored.
func (n *Node) storedCatalog(ctx context.Context) (*wire.Catalog, error) {
	item, err := n.state.Get(ctx, keyCatalog)
	if err != nil {
		return nil, err
	}
	var catalog wire.Catalog
	if err := exactjson.Unmarshal(item.Value, &catalog); err != nil {
		return nil, fmt.Errorf("decode stored catalog: %w", err)
	}
	return &catalog, nil
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// mustEncode encodes a value of this program's own types as JSON.
func mustEncode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // can't happen: plain structs always encode
	}
	return b
}

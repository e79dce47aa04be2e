package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/fleet"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/writequota"
	"honeylock/internal/peer"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

// rentRetryInterval is when what the cloud refused is asked for again.
const rentRetryInterval = 15 * time.Second

// leaderWriteShare is the leader's part of the changes that the state service takes; the
// rest is for users' jobs.
const leaderWriteShare = 0.8

// unusedJobID is a job that no user can have named.
const unusedJobID = model.JobID(1) << 62

var errTermOver = errors.New("the term is over")

// leadership is all that a controller keeps while it leads one term: its
// authority, its links, and the parts that use them. It is dropped whole when the
// term ends.
type leadership struct {
	node            *Node
	ctx             context.Context
	cancel          context.CancelFunc
	term            uint64
	guard           wire.Guard
	dispatcher      *dispatcher.Dispatcher
	localID         model.ShardID
	links           map[model.ShardID]*link
	siblingReleases map[string]uint32 // siblings that have joined this term, with their releases
	loadedSignal    chan struct{}     // closed once the store has been read
	loaded          bool
	loadedAt        time.Duration
	startedAt       time.Duration
	memberLostAt    time.Duration // the last member
	dispatchLoop    *dispatchLoop
	dependencies    *dependencyTracker
	rentals         *rentalManager
	drains          *drainManager
	components      []component
	writeQuota      *writequota.Quota
	lastFlush       time.Duration
	ratesDividedAt  time.Duration // the state service's rate
	// confirming: a sibling is being asked whether the state service serves it.
	confirming bool
}

// syncLeadership starts and drops the leader's part as the election says.
func (n *Node) syncLeadership(ctx context.Context, now time.Duration) {
	leading := n.election.Leading(now)
	if n.lead != nil && (!leading || n.lead.term != n.election.Term()) {
		n.log.Info("leadership over", "term", n.lead.term)
		n.lead.cancel()
		n.lead = nil
		n.openChecker.setLeading(false)
		n.dropLocalShard()
	}
	if leading && n.lead == nil {
		if n.election.Term() == n.lastLedTerm {
			// Dropped once, a term is over for good: a second dealer would give its
			// tokens and attempts out again, and take its jobs for new ones.
			n.election.Resign(now, 0)
			return
		}
		n.lastLedTerm = n.election.Term()
		n.lead = n.newLeadership(ctx, now)
		n.openChecker.setLeading(true)
		go n.lead.load()
	}
}

func (n *Node) newLeadership(ctx context.Context, now time.Duration) *leadership {
	termCtx, cancel := context.WithCancel(ctx)
	cluster := &n.cfg.Cluster
	l := &leadership{node: n, ctx: termCtx, cancel: cancel, term: n.election.Term(),
		guard:        wire.Guard{Key: keyLeader, Version: n.election.Version()},
		loadedSignal: make(chan struct{}), startedAt: now, links: map[model.ShardID]*link{},
		siblingReleases: map[string]uint32{},
		writeQuota:      writequota.New(cluster.State.WriteRPS*leaderWriteShare, max(8, int(cluster.State.WriteRPS*leaderWriteShare/2)))}
	// Shards of the term before may act on grants that reach to the end of
	// their leader's authority, even if its lease was ended early: up to one
	// whole length of it from now, unless they are heard to have stopped.
	l.dispatcher = dispatcher.New(dispatcher.Params{Term: l.term, Teams: n.teamLimits(), ChunkSize: chunkSize(cluster.ValueKB()),
		BlockSize: legacyBlockSize(cluster.State.ValueKB), ProgressInterval: 2 * time.Second,
		DispatchAhead: n.settings.DealAhead, MaxLease: cluster.SureLease(), MinOverloadMachines: minMachinesToSpread(cluster),
		StartWithin:         n.settings.BeginWithin,
		ReportInterruptions: len(n.settings.Budgets) > 0}, now+max(n.leaseTTL, config.Promise)+time.Second)
	l.logCharges()
	if len(n.cfg.Siblings) == 0 {
		l.dispatcher.AllControllersJoined(now)
	}
	l.localID = l.dispatcher.AddShard(now, n.cfg.HostName)
	n.dropLocalShard()
	n.installLocalShard(n.newLocalShard(l.dispatcher.FirstAttempt(l.localID)))
	n.local.shard.ReportInterruptions(len(n.settings.Budgets) > 0)
	f := fleet.New(fleet.Params{Term: l.term, TermStart: now, ListLag: config.Seconds(cluster.Cloud.ListLagS),
		IdleReturn: n.settings.IdleReturn,
		Horizon:    n.settings.RentHorizon, RetryRefusedAfter: rentRetryInterval,
		BestEffortWait: 10 * n.settings.RentHorizon})
	l.dispatchLoop = &dispatchLoop{lead: l, dispatcher: l.dispatcher, openJobsAsOf: now}
	l.dependencies = &dependencyTracker{lead: l, graph: pipeline.New()}
	l.rentals = &rentalManager{lead: l, fleet: f}
	l.drains = l.newDrainManager()
	if len(n.cfg.Siblings) == 0 {
		l.applyOldestRelease(release)
	}
	l.components = []component{l.dependencies, l.dispatchLoop, l.rentals, l.drains}
	l.setTypes(n.types)
	l.ratesDividedAt = -rateDivisionInterval
	l.divideRate(now) // the store is read with the leader's part
	n.log.Info("leading", "term", l.term, "until", n.election.Deadline()-now)
	return l
}

// reportsPerCPU is about how many reports a second take a whole core, with all that
// follows from them.
const reportsPerCPU = 2000

// minMachinesToSpread is how many machines take about a third of a controller's processor with
// their reports: fewer are sent nowhere else. Without a stated processor it has a core.
func minMachinesToSpread(cluster *config.Cluster) int {
	cpu := cluster.Resources.CPU
	if cpu <= 0 {
		cpu = 1
	}
	return int(0.3 * reportsPerCPU * cpu * cluster.Workers.ReportS)
}

// chunkSize is how many tasks' bits fit into a value, as base64 in JSON.
func chunkSize(valueKB float64) int32 {
	bytes := (valueKB*1024 - 64) * 3 / 4
	return int32(max(64, min(bytes, 8192))) * 8
}

// legacyBlockSize is how many machines 0.4 and before put into a block.
func legacyBlockSize(valueKB float64) uint64 { return uint64(max(1, min(valueKB*1024/256, 256))) }

// blockSize is how many machines' records fit into a value, beside the names of a few
// types and zones. Should they not, the block's write is refused, and it is halved.
func blockSize(valueKB float64) uint64 { return uint64(max(1, min((valueKB*1024-400)/80, 128))) }

func (l *leadership) setTypes(types []model.MachineType) {
	if len(types) == 0 {
		return
	}
	l.dispatcher.SetTypes(types)
	l.rentals.fleet.SetTypes(types)
}

// load reads the store, then lets every part follow the world.
func (l *leadership) load() {
	for l.ctx.Err() == nil {
		err := l.readStore()
		if err == nil {
			for _, comp := range l.components {
				go comp.run()
			}
			return
		}
		l.node.log.Info("store not read", "term", l.term, "err", err)
		sleep(l.ctx, 200*time.Millisecond)
	}
}

func (l *leadership) readStore() error {
	var appliers []func(time.Duration) error
	for _, comp := range l.components {
		apply, err := comp.read(state.As(l.ctx, ratelimit.Leader))
		if err != nil {
			return err
		}
		appliers = append(appliers, apply)
	}
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != l {
		return errTermOver
	}
	now := n.now()
	for _, apply := range appliers {
		if err := apply(now); err != nil {
			return err
		}
	}
	l.loaded, l.loadedAt = true, now
	l.dispatchLoop.broadcastProgress()
	close(l.loadedSignal)
	n.requestCycle()
	return nil
}

// isolated tells that this leader still reaches the state service, but hears
// neither workers nor siblings: another would serve better.
func (l *leadership) isolated(now time.Duration) bool {
	timeout := max(3*time.Second, config.Seconds(2.5*l.node.cfg.Cluster.Workers.ReportS))
	return len(l.node.cfg.Siblings) > 0 && len(l.links) == 0 &&
		now-max(l.node.lastReportAt, l.startedAt, l.memberLostAt) > timeout && l.dispatcher.HasMachines()
}

// refusedByState tells that the state service serves siblings, and refuses this leader; one of them
// has asked it just now.
func (l *leadership) refusedByState(now time.Duration) bool {
	var newest time.Duration
	var host string
	for _, memberLink := range l.links {
		if memberLink.stateServedAt > newest {
			newest, host = memberLink.stateServedAt, memberLink.host
		}
	}
	yield, confirm := l.node.health.shouldYield(now, newest)
	if confirm && !l.confirming {
		l.confirming = true
		go l.confirmRefusal(l.node.siblingAddr(host))
	}
	return yield
}

// confirmRefusal has a sibling ask the state service, as it does for a user whose request is passed on
// to it. That there is no such job is an answer; a job that existed might be answered about
// without asking.
func (l *leadership) confirmRefusal(addr string) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	var reply Reply
	err := l.node.dialer.Forward(ctx, addr, peer.UserPath, forwardedRequest{Kind: jobs.Poll, Job: unusedJobID}, &reply)
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.confirming = false
	if err == nil && (reply.Status == http.StatusOK || reply.Status == http.StatusNotFound) {
		l.node.health.yieldConfirmed(l.node.now())
	}
}

// linkTo is the link of a controller, nil if there is none.
func (l *leadership) linkTo(host string) *link {
	for _, memberLink := range l.links {
		if memberLink.host == host {
			return memberLink
		}
	}
	return nil
}

// authorityEnd is when this leader's authority ends unless it is renewed.
func (l *leadership) authorityEnd() time.Duration {
	return min(l.node.election.Deadline(), l.dispatchLoop.openJobsView.ValidUntil(l.node.cfg.Cluster.StalenessBound()))
}

// tick is called a few times a second.
func (l *leadership) tick(now time.Duration) {
	if l.loaded {
		l.dispatchLoop.updateOpenJobsView(now)
	}
	bound := l.node.cfg.Cluster.StalenessBound()
	if now > max(l.dispatchLoop.openJobsView.ValidUntil(bound), l.startedAt+bound) ||
		l.dispatchLoop.openWatchFailing(now) {
		l.node.log.Error("no news of open jobs: giving leadership up", "term", l.term)
		l.node.election.Resign(now, time.Second)
		return
	}
	if l.isolated(now) {
		l.node.log.Error("no worker and no sibling heard: giving leadership up", "term", l.term)
		l.node.election.Resign(now, 4*time.Second)
		return
	}
	if l.refusedByState(now) {
		l.node.log.Error("the state service answers a sibling, but not this controller: giving leadership up", "term", l.term)
		l.node.election.Resign(now, 4*time.Second)
		return
	}
	l.node.local.shard.SetGrant(l.authorityEnd())
	l.divideRate(now)
	if !l.loaded {
		return
	}
	writes, _ := l.node.state.Writes()
	l.writeQuota.SetRate(now, writes*leaderWriteShare)
	for _, comp := range l.components {
		comp.tick(now)
	}
	if now-l.lastFlush >= 100*time.Millisecond {
		l.lastFlush = now
		l.flushWrites(now)
	}
}

// stillLeading tells whether this term's authority still stands, right now.
func (l *leadership) stillLeading() bool {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	return l.node.lead == l && l.node.election.Leading(l.node.now())
}

// handleEvent takes an event of a shard.
func (l *leadership) handleEvent(now time.Duration, from model.ShardID, e model.Event) {
	l.logEvent(from, &e)
	l.drains.handleEvent(now, &e)
	l.dispatcher.HandleEvent(now, from, e)
}

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

// rentRetryInterval is how long to wait before asking the cloud again for what it refused.
const rentRetryInterval = 15 * time.Second

// leaderWriteShare is the leader's share of the state service's write rate. The rest is for users'
// submissions and cancellations.
const leaderWriteShare = 0.8

// unusedJobID is a job ID that no submission can have.
const unusedJobID = model.JobID(1) << 62

var errTermOver = errors.New("the term has ended")

// leadership is all state that a controller keeps while it leads one term: its authority, its links
// to the members, and the components that use them. It is dropped as a whole when the term ends.
type leadership struct {
	node            *Node
	ctx             context.Context
	cancel          context.CancelFunc
	term            uint64
	guard           wire.Guard // on the leader key: makes every write fail once the term has ended
	dispatcher      *dispatcher.Dispatcher
	localID         model.ShardID           // of the leader's own shard
	links           map[model.ShardID]*link // to the members, by their shards
	siblingReleases map[string]uint32       // releases of the other controllers that have joined in this term, by host
	loadedSignal    chan struct{}           // closed once the stored state has been read
	loaded          bool
	loadedAt        time.Duration
	startedAt       time.Duration
	memberLostAt    time.Duration // when a link to a member was last lost
	dispatchLoop    *dispatchLoop
	dependencies    *dependencyTracker
	rentals         *rentalManager
	drains          *drainManager
	components      []component
	writeQuota      *writequota.Quota
	lastFlush       time.Duration
	ratesDividedAt  time.Duration // when the state service's rate was last divided
	// confirming is whether another controller is being asked if the state service serves it.
	confirming bool
}

// syncLeadership starts or ends this controller's leadership to match the election's state.
func (n *Node) syncLeadership(ctx context.Context, now time.Duration) {
	leading := n.election.Leading(now)
	if n.lead != nil && (!leading || n.lead.term != n.election.Term()) {
		n.log.Info("leadership ended", "term", n.lead.term)
		n.lead.cancel()
		n.lead = nil
		n.openChecker.setLeading(false)
		n.dropLocalShard()
	}
	if leading && n.lead == nil {
		if n.election.Term() == n.lastLedTerm {
			// A term that was dropped is never resumed: a second dispatcher would issue
			// the same tokens and attempt numbers again, and treat the term's jobs as new.
			n.election.Resign(now, 0)
			return
		}
		n.lastLedTerm = n.election.Term()
		n.lead = n.newLeadership(ctx, now)
		n.openChecker.setLeading(true)
		go n.lead.load()
	}
}

// newLeadership builds the leader's components and the leader's own shard for a new term.
func (n *Node) newLeadership(ctx context.Context, now time.Duration) *leadership {
	termCtx, cancel := context.WithCancel(ctx)
	cluster := &n.cfg.Cluster
	l := &leadership{node: n, ctx: termCtx, cancel: cancel, term: n.election.Term(),
		guard:        wire.Guard{Key: keyLeader, Version: n.election.Version()},
		loadedSignal: make(chan struct{}), startedAt: now, links: map[model.ShardID]*link{},
		siblingReleases: map[string]uint32{},
		writeQuota: writequota.New(cluster.State.WriteRPS*leaderWriteShare,
			max(8, int(cluster.State.WriteRPS*leaderWriteShare/2)))}
	// Shards of the previous term may act on grants until their leader's authority would
	// have ended, even if its lease was revoked early: for up to one lease or promise from
	// now, unless they report earlier that they have stopped.
	l.dispatcher = dispatcher.New(dispatcher.Params{Term: l.term, Teams: n.teamLimits(),
		ChunkSize: chunkSize(cluster.ValueKB()),
		BlockSize: legacyBlockSize(cluster.State.ValueKB), ProgressInterval: 2 * time.Second,
		DispatchAhead: n.settings.DispatchAhead, MaxLease: cluster.MaxLease(),
		MinOverloadMachines: minOverloadMachines(cluster),
		StartWithin:         n.settings.BeginWithin,
		ReportInterruptions: len(n.settings.Budgets) > 0}, now+max(n.leaseTTL, config.PromiseDuration)+time.Second)
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
	l.setTypes(n.machineTypes)
	l.ratesDividedAt = -rateDivisionInterval
	l.divideRate(now) // the stored state is read with the leader's share
	n.log.Info("leading", "term", l.term, "until", n.election.Deadline()-now)
	return l
}

// reportsPerCPU is about how many worker reports per second one core can handle, with all the work that
// they cause.
const reportsPerCPU = 2000

// minOverloadMachines returns the number of machines whose reports use about a third of a controller's
// CPU. Workers of a shard with fewer machines are not redirected because of load. Without a configured
// CPU limit one core is assumed.
func minOverloadMachines(cluster *config.Cluster) int {
	cpu := cluster.Resources.CPU
	if cpu <= 0 {
		cpu = 1
	}
	return int(0.3 * reportsPerCPU * cpu * cluster.Workers.ReportS)
}

// chunkSize returns how many tasks' done bits fit into one stored value, as base64 in JSON.
func chunkSize(valueKB float64) int32 {
	bytes := (valueKB*1024 - 64) * 3 / 4
	return int32(max(64, min(bytes, 8192))) * 8
}

// legacyBlockSize returns how many machines releases up to 0.4 store in one block.
func legacyBlockSize(valueKB float64) uint64 { return uint64(max(1, min(valueKB*1024/256, 256))) }

// blockSize returns how many machines' records fit into one stored value, besides the names of a few
// types and zones. If they don't fit, the state service refuses the block and shrinkBlocks halves the
// size.
func blockSize(valueKB float64) uint64 { return uint64(max(1, min((valueKB*1024-400)/80, 128))) }

// setTypes passes the catalog's machine types to the dispatcher and the fleet, once any are known.
func (l *leadership) setTypes(types []model.MachineType) {
	if len(types) == 0 {
		return
	}
	l.dispatcher.SetTypes(types)
	l.rentals.fleet.SetTypes(types)
}

// load reads the stored state, retrying until it succeeds, then starts every component.
func (l *leadership) load() {
	for l.ctx.Err() == nil {
		err := l.readStore()
		if err == nil {
			for _, comp := range l.components {
				go comp.run()
			}
			return
		}
		l.node.log.Info("failed to read the stored state", "term", l.term, "err", err)
		sleep(l.ctx, 200*time.Millisecond)
	}
}

// readStore lets every component read its stored records without the lock. Once all of them have read
// theirs, it applies the records under the lock.
func (l *leadership) readStore() error {
	var appliers []func(time.Duration) error
	for _, comp := range l.components {
		apply, err := comp.read(state.WithClass(l.ctx, ratelimit.Leader))
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

// unreachable reports whether neither other controllers nor workers seem to reach this leader: it has no
// link to a member and has received no worker report for a while. Since it still leads it reaches the
// state service, but another controller would serve the workers better.
func (l *leadership) unreachable(now time.Duration) bool {
	timeout := max(3*time.Second, config.Seconds(2.5*l.node.cfg.Cluster.Workers.ReportS))
	return len(l.node.cfg.Siblings) > 0 && len(l.links) == 0 &&
		now-max(l.node.lastReportAt, l.startedAt, l.memberLostAt) > timeout && l.dispatcher.HasMachines()
}

// refusedByState reports whether the state service refuses this leader while it serves other
// controllers. One of them is first asked to confirm that it is still served, because a link only shows
// when the service last answered its member.
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

// confirmRefusal checks that the state service serves another controller, by forwarding a user's poll to
// it. The poll names a job that can't exist, because the controller might answer for a known job without
// asking the state service. The answer "not found" therefore confirms it.
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

// linkTo returns the link to a host, nil if it is not connected.
func (l *leadership) linkTo(host string) *link {
	for _, memberLink := range l.links {
		if memberLink.host == host {
			return memberLink
		}
	}
	return nil
}

// authorityEnd returns when this leader's authority ends unless it is extended: once both its lease and
// the promises of the other controllers have ended, or earlier once its view of the open jobs is too old.
func (l *leadership) authorityEnd() time.Duration {
	return min(l.node.election.Deadline(), l.dispatchLoop.openJobsView.ValidUntil(l.node.cfg.Cluster.StalenessBound()))
}

// tick is called a few times a second. It resigns leadership if another controller would serve better.
// Otherwise it extends the grant of the leader's own shard, and once the stored state has been read it
// ticks the components and starts their writes.
func (l *leadership) tick(now time.Duration) {
	if l.loaded {
		l.dispatchLoop.updateOpenJobsView(now)
	}
	bound := l.node.cfg.Cluster.StalenessBound()
	// A new leader has as long as the bound to read the open jobs for the first time.
	if now > max(l.dispatchLoop.openJobsView.ValidUntil(bound), l.startedAt+bound) ||
		l.dispatchLoop.openWatchFailing(now) {
		l.node.log.Error("open jobs not read for too long: resigning leadership", "term", l.term)
		l.node.election.Resign(now, time.Second)
		return
	}
	if l.unreachable(now) {
		l.node.log.Error("no worker reports and no other controller is connected: resigning leadership", "term", l.term)
		l.node.election.Resign(now, 4*time.Second)
		return
	}
	if l.refusedByState(now) {
		l.node.log.Error("the state service serves another controller, but not this one: resigning leadership",
			"term", l.term)
		l.node.election.Resign(now, 4*time.Second)
		return
	}
	l.node.local.shard.SetGrant(l.authorityEnd())
	l.divideRate(now)
	if !l.loaded {
		return
	}
	writes, _ := l.node.state.WriteRate()
	l.writeQuota.SetRate(now, writes*leaderWriteShare)
	for _, comp := range l.components {
		comp.tick(now)
	}
	if now-l.lastFlush >= 100*time.Millisecond {
		l.lastFlush = now
		l.flushWrites(now)
	}
}

// stillLeading reports whether this controller still has this term's authority at this moment.
func (l *leadership) stillLeading() bool {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	return l.node.lead == l && l.node.election.Leading(l.node.now())
}

// handleEvent logs a shard's event and passes it to the drain manager and the dispatcher.
func (l *leadership) handleEvent(now time.Duration, from model.ShardID, event model.Event) {
	l.logEvent(from, &event)
	if !l.dispatcher.IsStale(from, &event) {
		l.drains.handleEvent(now, &event)
	}
	l.dispatcher.HandleEvent(now, from, event)
}

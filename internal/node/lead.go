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

// rentProbe is when what the cloud refused is asked for again.
const rentProbe = 15 * time.Second

// leadersPart is the leader's part of the changes that the state service takes; the
// rest is for users' jobs.
const leadersPart = 0.8

// nobodys is a job that no user can have named.
const nobodys = model.JobID(1) << 62

var errTermOver = errors.New("the term is over")

// leadership is all that a controller keeps while it leads one term: its
// authority, its links, and the parts that use them. It is dropped whole when the
// term ends.
type leadership struct {
	n        *Node
	ctx      context.Context
	cancel   context.CancelFunc
	term     uint64
	guard    wire.Guard
	d        *dispatcher.Dispatcher
	local    model.ShardID
	links    map[model.ShardID]*link
	hosts    map[string]uint32 // siblings that have joined this term, with their releases
	ready    chan struct{}     // closed once the store has been read
	loaded   bool
	loadedAt time.Duration
	began    time.Duration
	lost     time.Duration // the last member
	deals    *dealing
	chains   *chaining
	rents    *renting
	drains   *draining
	parts    []part
	budget   *writequota.Quota
	stored   time.Duration
	divided  time.Duration // the state service's rate
	// confirming: a sibling is being asked whether the state service serves it.
	confirming bool
}

// followLeadership starts and drops the leader's part as the election says.
func (n *Node) followLeadership(ctx context.Context, now time.Duration) {
	leading := n.el.Leading(now)
	if n.lead != nil && (!leading || n.lead.term != n.el.Term()) {
		n.log.Info("leadership over", "term", n.lead.term)
		n.lead.cancel()
		n.lead = nil
		n.questions.lead(false)
		n.leaveSeat()
	}
	if leading && n.lead == nil {
		if n.el.Term() == n.led {
			// Dropped once, a term is over for good: a second dealer would give its
			// tokens and attempts out again, and take its jobs for new ones.
			n.el.Resign(now, 0)
			return
		}
		n.led = n.el.Term()
		n.lead = n.newLeadership(ctx, now)
		n.questions.lead(true)
		go n.lead.load()
	}
}

func (n *Node) newLeadership(ctx context.Context, now time.Duration) *leadership {
	lctx, cancel := context.WithCancel(ctx)
	c := &n.cfg.Cluster
	l := &leadership{n: n, ctx: lctx, cancel: cancel, term: n.el.Term(), guard: wire.Guard{Key: keyLeader, Version: n.el.Version()},
		ready: make(chan struct{}), began: now, links: map[model.ShardID]*link{}, hosts: map[string]uint32{},
		budget: writequota.New(c.State.WriteRPS*leadersPart, max(8, int(c.State.WriteRPS*leadersPart/2)))}
	// Shards of the term before may act on grants that reach to the end of
	// their leader's authority, even if its lease was ended early: up to one
	// whole length of it from now, unless they are heard to have stopped.
	l.d = dispatcher.New(dispatcher.Params{Term: l.term, Teams: n.teams(), ChunkSize: chunkSize(c.ValueKB()),
		BlockSize: oldBlockSize(c.State.ValueKB), ProgressInterval: 2 * time.Second,
		DispatchAhead: n.set.DealAhead, MaxLease: c.SureLease(), MinOverloadMachines: crowd(c),
		StartWithin:         n.set.BeginWithin,
		ReportInterruptions: len(n.set.Budgets) > 0}, now+max(n.ttl, config.Promise)+time.Second)
	l.logCharges()
	if len(n.cfg.Siblings) == 0 {
		l.d.AllControllersJoined(now)
	}
	l.local = l.d.AddShard(now, n.cfg.HostName)
	n.leaveSeat()
	n.takeSeat(n.newSeat(l.d.FirstAttempt(l.local)))
	n.seat.s.ReportInterruptions(len(n.set.Budgets) > 0)
	f := fleet.New(fleet.Params{Term: l.term, TermStart: now, ListLag: config.Seconds(c.Cloud.ListLagS),
		IdleReturn: n.set.IdleReturn,
		Horizon:    n.set.RentHorizon, RetryRefusedAfter: rentProbe, BestEffortWait: 10 * n.set.RentHorizon})
	l.deals = &dealing{l: l, d: l.d, fresh: now}
	l.chains = &chaining{l: l, g: pipeline.New()}
	l.rents = &renting{l: l, f: f}
	l.drains = l.newDraining()
	if len(n.cfg.Siblings) == 0 {
		l.upgraded(release)
	}
	l.parts = []part{l.chains, l.deals, l.rents, l.drains}
	l.setTypes(n.types)
	l.divided = -divideEvery
	l.divideRate(now) // the store is read with the leader's part
	n.log.Info("leading", "term", l.term, "until", n.el.Deadline()-now)
	return l
}

// reportsPerCPU is about how many reports a second take a whole core, with all that
// follows from them.
const reportsPerCPU = 2000

// crowd is how many machines take about a third of a controller's processor with
// their reports: fewer are sent nowhere else. Without a stated processor it has a core.
func crowd(c *config.Cluster) int {
	cpu := c.Resources.CPU
	if cpu <= 0 {
		cpu = 1
	}
	return int(0.3 * reportsPerCPU * cpu * c.Workers.ReportS)
}

// chunkSize is how many tasks' bits fit into a value, as base64 in JSON.
func chunkSize(valueKB float64) int32 {
	bytes := (valueKB*1024 - 64) * 3 / 4
	return int32(max(64, min(bytes, 8192))) * 8
}

// oldBlockSize is how many machines 0.4 and before put into a block.
func oldBlockSize(valueKB float64) uint64 { return uint64(max(1, min(valueKB*1024/256, 256))) }

// blockSize is how many machines' records fit into a value, beside the names of a few
// types and zones. Should they not, the block's write is refused, and it is halved.
func blockSize(valueKB float64) uint64 { return uint64(max(1, min((valueKB*1024-400)/80, 128))) }

func (l *leadership) setTypes(t []model.MachineType) {
	if len(t) == 0 {
		return
	}
	l.d.SetTypes(t)
	l.rents.f.SetTypes(t)
}

// load reads the store, then lets every part follow the world.
func (l *leadership) load() {
	for l.ctx.Err() == nil {
		err := l.read()
		if err == nil {
			for _, p := range l.parts {
				go p.run()
			}
			return
		}
		l.n.log.Info("store not read", "term", l.term, "err", err)
		sleep(l.ctx, 200*time.Millisecond)
	}
}

func (l *leadership) read() error {
	var takes []func(time.Duration) error
	for _, p := range l.parts {
		take, err := p.read(state.As(l.ctx, ratelimit.Leader))
		if err != nil {
			return err
		}
		takes = append(takes, take)
	}
	n := l.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != l {
		return errTermOver
	}
	now := n.now()
	for _, take := range takes {
		if err := take(now); err != nil {
			return err
		}
	}
	l.loaded, l.loadedAt = true, now
	l.deals.showProgress()
	close(l.ready)
	n.soon()
	return nil
}

// cutOff tells that this leader still reaches the state service, but hears
// neither workers nor siblings: another would serve better.
func (l *leadership) cutOff(now time.Duration) bool {
	patience := max(3*time.Second, config.Seconds(2.5*l.n.cfg.Cluster.Workers.ReportS))
	return len(l.n.cfg.Siblings) > 0 && len(l.links) == 0 && now-max(l.n.reported, l.began, l.lost) > patience && l.d.HasMachines()
}

// refused tells that the state service serves siblings, and refuses this leader; one of them
// has asked it just now.
func (l *leadership) refused(now time.Duration) bool {
	var newest time.Duration
	var host string
	for _, k := range l.links {
		if k.stateAt > newest {
			newest, host = k.stateAt, k.host
		}
	}
	yes, ask := l.n.health.givesWay(now, newest)
	if ask && !l.confirming {
		l.confirming = true
		go l.confirm(l.n.siblingAddr(host))
	}
	return yes
}

// confirm has a sibling ask the state service, as it does for a user whose request is passed on
// to it. That there is no such job is an answer; a job that existed might be answered about
// without asking.
func (l *leadership) confirm(addr string) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	var r Reply
	err := l.n.dialer.Forward(ctx, addr, peer.UserPath, forwarded{Kind: jobs.Poll, Job: nobodys}, &r)
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	l.confirming = false
	if err == nil && (r.Status == http.StatusOK || r.Status == http.StatusNotFound) {
		l.n.health.confirmed(l.n.now())
	}
}

// linkTo is the link of a controller, nil if there is none.
func (l *leadership) linkTo(host string) *link {
	for _, k := range l.links {
		if k.host == host {
			return k
		}
	}
	return nil
}

// until is when this leader's authority ends unless it is renewed.
func (l *leadership) until() time.Duration {
	return min(l.n.el.Deadline(), l.deals.picture.ValidUntil(l.n.cfg.Cluster.StalenessBound()))
}

// tick is called a few times a second.
func (l *leadership) tick(now time.Duration) {
	if l.loaded {
		l.deals.listen(now)
	}
	bound := l.n.cfg.Cluster.StalenessBound()
	if now > max(l.deals.picture.ValidUntil(bound), l.began+bound) || l.deals.blind(now) {
		l.n.log.Error("no news of open jobs: giving leadership up", "term", l.term)
		l.n.el.Resign(now, time.Second)
		return
	}
	if l.cutOff(now) {
		l.n.log.Error("no worker and no sibling heard: giving leadership up", "term", l.term)
		l.n.el.Resign(now, 4*time.Second)
		return
	}
	if l.refused(now) {
		l.n.log.Error("the state service answers a sibling, but not this controller: giving leadership up", "term", l.term)
		l.n.el.Resign(now, 4*time.Second)
		return
	}
	l.n.seat.s.SetGrant(l.until())
	l.divideRate(now)
	if !l.loaded {
		return
	}
	writes, _ := l.n.state.Writes()
	l.budget.SetRate(now, writes*leadersPart)
	for _, p := range l.parts {
		p.tick(now)
	}
	if now-l.stored >= 100*time.Millisecond {
		l.stored = now
		l.store(now)
	}
}

// leads tells whether this term's authority still stands, right now.
func (l *leadership) leads() bool {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	return l.n.lead == l && l.n.el.Leading(l.n.now())
}

// hear takes an event of a shard.
func (l *leadership) hear(now time.Duration, from model.ShardID, e model.Event) {
	l.logEvent(from, &e)
	l.drains.hear(now, &e)
	l.d.HandleEvent(now, from, e)
}

package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"honeylock/internal/config"
	"honeylock/internal/core/dealer"
	"honeylock/internal/core/fleet"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/state"
	"honeylock/internal/wire"
)

var errTermOver = errors.New("the term is over")

// leadership is all that a controller keeps while it leads one term. It is
// dropped whole when the term ends.
type leadership struct {
	n      *Node
	ctx    context.Context
	cancel context.CancelFunc
	term   uint64
	guard  wire.Guard
	d      *dealer.Dealer
	f      *fleet.Fleet
	local  model.ShardID
	links  map[model.ShardID]*link
	hosts  map[string]bool // siblings that have joined this term
	ready  chan struct{}   // closed once the store has been read
	loaded bool
	// fresh is when the last question about open jobs that was answered was
	// asked: a leader that hears of no cancellations must not go on.
	fresh  time.Duration
	began  time.Duration
	lost   time.Duration // the last member
	writes *rate.Limiter
	ticked time.Duration
	due    bool // to deal
	dealt  time.Duration
	// dealCost is what dealing took the last time.
	dealCost time.Duration
	fleeted  time.Duration
	shown    time.Duration
	toldLoad time.Duration
	healed   bool
	// settling: machines that can't be reached are being returned.
	settling bool
	loadedAt time.Duration
}

// followLeadership starts and drops the leader's part as the election says.
func (n *Node) followLeadership(ctx context.Context, now time.Duration) {
	leading := n.el.Leading(now)
	if n.lead != nil && (!leading || n.lead.term != n.el.Term()) {
		n.log.Info("leadership over", "term", n.lead.term)
		n.lead.cancel()
		n.lead = nil
		n.leaveSeat()
	}
	if leading && n.lead == nil {
		n.lead = n.newLeadership(ctx, now)
		go n.lead.load()
	}
}

func (n *Node) newLeadership(ctx context.Context, now time.Duration) *leadership {
	lctx, cancel := context.WithCancel(ctx)
	c := &n.cfg.Cluster
	teams := make([]dealer.Team, len(c.Teams))
	for i, t := range c.Teams {
		teams[i] = dealer.Team{Guarantee: model.Capacity(t.CPUs, t.GPUs, 0), Limit: model.Capacity(t.CPUsMax, t.GPUsMax, 0)}
	}
	l := &leadership{n: n, ctx: lctx, cancel: cancel, term: n.el.Term(), guard: wire.Guard{Key: keyLeader, Version: n.el.Version()},
		ready: make(chan struct{}), fresh: now, began: now, links: map[model.ShardID]*link{}, hosts: map[string]bool{},
		writes: rate.NewLimiter(rate.Limit(c.State.WriteRPS*0.4), max(4, int(c.State.WriteRPS*0.2)))}
	// Shards of the term before may act on grants that reach to the end of
	// their leader's authority, even if its lease was ended early: up to one
	// whole length of it from now, unless they are heard to have stopped.
	l.d = dealer.New(dealer.Params{Term: l.term, Teams: teams, ChunkSize: chunkSize(c.State.ValueKB), BlockSize: blockSize(c.State.ValueKB), Progress: 2 * time.Second,
		Ahead: n.set.DealAhead, SureLease: c.SureLease()}, now+max(n.ttl, config.Promise)+time.Second)
	if len(n.cfg.Siblings) == 0 {
		l.d.EveryoneHere(now)
	}
	l.local = l.d.Join(now, n.cfg.HostName)
	n.leaveSeat()
	n.seat = n.newSeat(l.d.Attempts(l.local))
	n.seat.s.Grant(n.el.Deadline())
	l.f = fleet.New(fleet.Params{Term: l.term, Began: now, ListLag: config.Seconds(c.Cloud.ListLagS), IdleReturn: n.set.IdleReturn,
		Horizon: n.set.RentHorizon, Probe: 15 * time.Second, Patience: 10 * n.set.RentHorizon})
	l.setTypes(n.types)
	n.log.Info("leading", "term", l.term, "until", n.el.Deadline()-now)
	return l
}

// chunkSize is how many tasks' bits fit into a value, as base64 in JSON.
func chunkSize(valueKB float64) int32 {
	bytes := (valueKB*1024 - 64) * 3 / 4
	return int32(max(64, min(bytes, 8192))) * 8
}

// blockSize is how many machines' records fit into a value.
func blockSize(valueKB float64) uint64 { return uint64(max(1, min(valueKB*1024/256, 256))) }

func (l *leadership) setTypes(t []model.MachineType) {
	if len(t) == 0 {
		return
	}
	l.d.SetTypes(t)
	l.f.SetTypes(t)
}

// load reads the store, then follows it.
func (l *leadership) load() {
	for l.ctx.Err() == nil {
		rev, err := l.read()
		if err == nil {
			l.follow(rev)
			return
		}
		l.n.log.Info("store not read", "term", l.term, "err", err)
		sleep(l.ctx, 200*time.Millisecond)
	}
}

type stored struct {
	sub     *wire.Submission
	version uint64
}

// readOpen lists the open jobs.
func (l *leadership) readOpen() (map[model.JobID]stored, uint64, error) {
	open := map[model.JobID]stored{}
	rev, err := l.n.state.List(state.Urgent(l.ctx), openKeys, func(it *wire.Item) error {
		id, sub, err := openRecord(it.Key, it.Value)
		if err != nil {
			return err
		}
		open[id] = stored{sub, it.Version}
		return nil
	})
	return open, rev, err
}

func openRecord(key string, v json.RawMessage) (model.JobID, *wire.Submission, error) {
	id, err := wire.ParseJob(strings.TrimPrefix(key, openKeys))
	if err != nil {
		return 0, nil, fmt.Errorf("open record: %w", err)
	}
	if v == nil {
		return id, nil, nil
	}
	var sub wire.Submission
	if err := json.Unmarshal(v, &sub); err != nil {
		return 0, nil, fmt.Errorf("open record %s: %w", key, err)
	}
	return id, &sub, nil
}

func (l *leadership) read() (uint64, error) {
	ctx := state.Urgent(l.ctx)
	type rec struct {
		wire.MachineBlock
		version uint64
	}
	var recs []rec
	if _, err := l.n.state.List(ctx, recordKeys, func(it *wire.Item) error {
		r := rec{version: it.Version}
		if err := json.Unmarshal(it.Value, &r.MachineBlock); err != nil {
			return fmt.Errorf("machine records %s: %w", it.Key, err)
		}
		recs = append(recs, r)
		return nil
	}); err != nil {
		return 0, err
	}
	asked := l.n.now()
	open, rev, err := l.readOpen()
	if err != nil {
		return 0, err
	}
	type part struct {
		id    model.JobID
		chunk int32
		bits  []byte
	}
	var parts []part
	var orphans []string
	if _, err := l.n.state.List(ctx, doneKeys, func(it *wire.Item) error {
		var id model.JobID
		var c int32
		name, no, _ := strings.Cut(strings.TrimPrefix(it.Key, doneKeys), "/")
		id, err := wire.ParseJob(name)
		if err != nil {
			return fmt.Errorf("done record: %w", err)
		}
		if _, err := fmt.Sscanf(no, "%d", &c); err != nil {
			return fmt.Errorf("done record %s: %w", it.Key, err)
		}
		if _, ok := open[id]; !ok {
			orphans = append(orphans, it.Key)
			return nil
		}
		var ch wire.Chunk
		if err := json.Unmarshal(it.Value, &ch); err != nil {
			return fmt.Errorf("done record %s: %w", it.Key, err)
		}
		parts = append(parts, part{id, c, ch.Bits})
		return nil
	}); err != nil {
		return 0, err
	}
	n := l.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lead != l {
		return 0, errTermOver
	}
	now := n.now()
	machines := 0
	for _, r := range recs {
		ms, err := r.Decode(n.names)
		if err != nil {
			return 0, fmt.Errorf("machine records: %w", err)
		}
		machines += len(ms)
		for _, m := range ms {
			l.d.Recorded(m, r.version)
		}
	}
	for id := range n.kept {
		l.d.Event(now, l.local, model.Event{Kind: model.Remembered, Machine: id})
	}
	for _, st := range open {
		l.add(now, st)
	}
	for _, p := range parts {
		l.d.AddDone(p.id, p.chunk, p.bits)
	}
	l.fresh = asked
	l.loaded, l.loadedAt = true, now
	l.showProgress()
	close(l.ready)
	n.log.Info("store read", "term", l.term, "open", len(open), "machines", machines)
	if len(orphans) > 0 {
		go l.dropOrphans(orphans)
	}
	go l.runCloud()
	n.soon()
	return rev, nil
}

func (l *leadership) dropOrphans(keys []string) {
	for _, k := range keys {
		if _, err := l.n.state.Txn(l.ctx, wire.Txn{Guards: []wire.Guard{l.guard}, Then: []wire.Op{{Delete: k}}}); err != nil {
			l.n.log.Debug("orphan not dropped", "key", k, "err", err)
		}
	}
}

// add takes an open record. What was stored before this term's key may have
// tasks on machines.
func (l *leadership) add(now time.Duration, st stored) {
	waited := time.Duration(max(0, time.Now().UnixMilli()-st.sub.SubmittedMS)) * time.Millisecond
	l.d.AddJob(now, st.sub.Spec(l.n.names), st.version, min(waited, time.Hour), st.version <= l.guard.Version)
}

// follow watches the open jobs.
func (l *leadership) follow(rev uint64) {
	n := l.n
	for l.ctx.Err() == nil {
		asked := n.now()
		ev, err := n.state.Watch(l.ctx, openKeys, rev, 2*time.Second)
		if errors.Is(err, state.ErrCompacted) {
			asked = n.now()
			open, r, lerr := l.readOpen()
			if lerr == nil {
				n.mu.Lock()
				if n.lead != l {
					n.mu.Unlock()
					return
				}
				now := n.now()
				known := map[model.JobID]bool{}
				for id, st := range open {
					known[id] = true
					l.add(now, st)
				}
				l.d.Sync(known, r)
				l.fresh = asked
				l.due = true
				n.soon()
				n.mu.Unlock()
				rev = r
				continue
			}
			err = lerr
		}
		if l.ctx.Err() == nil {
			n.complaints.note("open jobs not followed", err)
		}
		if err != nil {
			sleep(l.ctx, 300*time.Millisecond)
			continue
		}
		rev = ev.Revision
		n.mu.Lock()
		if n.lead != l {
			// The term ended while the watch waited: there may be no shard now.
			n.mu.Unlock()
			return
		}
		now := n.now()
		for _, e := range ev.Events {
			key := e.Put + e.Delete
			id, sub, err := openRecord(key, e.Value)
			switch {
			case err != nil:
				n.log.Error("open record unreadable", "key", key, "err", err)
			case e.Put != "":
				l.add(now, stored{sub, e.Version})
			default:
				l.d.Withdrawn(id)
			}
		}
		l.fresh = asked
		if len(ev.Events) > 0 {
			l.due = true
			n.soon()
		}
		n.mu.Unlock()
	}
}

// cutOff tells that this leader still reaches the state service, but hears
// neither workers nor siblings: another would serve better.
func (l *leadership) cutOff(now time.Duration) bool {
	patience := max(3*time.Second, config.Seconds(2.5*l.n.cfg.Cluster.Workers.ReportS))
	return len(l.n.cfg.Siblings) > 0 && len(l.links) == 0 && now-max(l.n.reported, l.began, l.lost) > patience && l.d.HasMachines()
}

// refused tells that the state service answers siblings, but has not answered
// this leader for a while: that is no outage.
func (l *leadership) refused(now time.Duration) bool {
	last := l.n.el.Renewed()
	if now-last < 2500*time.Millisecond {
		return false
	}
	for _, k := range l.links {
		if k.stateAt > last+1500*time.Millisecond {
			return true
		}
	}
	return false
}

// showProgress tells all controllers how far the open jobs are.
func (l *leadership) showProgress() {
	p := l.progress()
	for _, k := range l.links {
		k.out.Send(p)
	}
}

// progress gathers how far the open jobs are, for this controller and others.
func (l *leadership) progress() *peerpb.Down {
	l.n.progress = map[model.JobID]progress{}
	open := map[model.JobID]bool{}
	p := &peerpb.Progress{StateAgeUs: (l.n.now() - l.n.stateAt).Microseconds()}
	l.d.Open(func(id model.JobID, version uint64, done, running int) {
		l.n.progress[id] = progress{done, running, version}
		open[id] = true
		p.Jobs = append(p.Jobs, &peerpb.JobProgress{Job: uint64(id), Done: int32(done), Running: int32(running), Version: version})
	})
	l.n.seat.s.Open(open)
	return &peerpb.Down{Msg: &peerpb.Down_Progress{Progress: p}}
}

// until is when this leader's authority ends unless it is renewed.
func (l *leadership) until() time.Duration {
	return min(l.n.el.Deadline(), l.fresh+l.n.cfg.Cluster.Deaf())
}

// tick is called a few times a second.
func (l *leadership) tick(now time.Duration) {
	if now-l.fresh > l.n.cfg.Cluster.Deaf() {
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
	l.n.seat.s.Grant(l.until())
	if !l.loaded {
		return
	}
	if !l.healed && l.d.Recovered() {
		l.healed = true
		l.n.log.Info("all machines of earlier terms accounted for", "term", l.term)
	}
	l.settleUnseen(now)
	if now-l.ticked >= 100*time.Millisecond {
		l.ticked = now
		l.n.seat.s.Tick(now)
		l.d.Tick(now)
		l.due = true
		l.turn(now)
		for _, id := range l.d.Broken() {
			l.n.log.Info("job held to be broken: it fails on several machines, and is tried with one task at a time", "job", wire.JobName(id))
		}
		l.store(now)
	}
	if now-l.shown >= time.Second {
		l.shown = now
		l.showProgress()
	}
	if now-l.fleeted >= 500*time.Millisecond {
		l.fleeted = now
		l.runFleet(now)
	}
	if now-l.toldLoad >= loadEvery {
		l.toldLoad = now
		l.logLoad()
	}
}

// loadEvery is how often the leader's log tells what is open and what there is
// for it.
const loadEvery = 15 * time.Second

// classLoad sums up the open jobs of a class.
type classLoad struct{ jobs, open, held, running int }

// logLoad tells the load at info: without it a day can't be understood
// afterwards.
func (l *leadership) logLoad() {
	if !l.n.log.Enabled(l.ctx, slog.LevelInfo) {
		return
	}
	classes := map[model.Name]*classLoad{}
	for _, need := range l.d.Needs() {
		c := classes[need.Spec.Class]
		if c == nil {
			c = &classLoad{}
			classes[need.Spec.Class] = c
		}
		c.jobs++
		c.open += int(need.Open)
		c.held += int(need.Held)
		c.running += l.d.Count(need.Spec.ID).Running
	}
	var machines, ready, spot, faulty int
	var cpus, free int64
	for _, st := range l.d.Machines() {
		machines++
		if st.Machine.Spot {
			spot++
		}
		if st.Faulty {
			faulty++
		}
		if st.Ready {
			ready++
			cpus += st.Machine.Cap.CPU
			free += max(0, st.Avail.CPU)
		}
	}
	l.n.log.Info("load", "machines", machines, "spot", spot, "ready", ready, "faulty", faulty, "cpus", cpus/1000, "free", free/1000)
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		c := classes[name]
		l.n.log.Info("load of a class", "class", l.n.names.Classes.Name(name), "jobs", c.jobs, "open", c.open, "held", c.held, "running", c.running)
	}
}

// deal deals tasks with what the shards have told of their room, once their
// events have been exchanged.
func (l *leadership) deal(now time.Duration) {
	began := l.n.now()
	l.due, l.dealt = false, now
	s := l.n.seat.s
	l.d.Status(now, l.local, s.Status(now), s.Jobs(now), l.d.Dealt(l.local))
	l.d.Deal(now)
	l.dealCost = l.n.now() - began
}

// exchange carries orders and events between the dealer and the shards.
func (l *leadership) exchange(now time.Duration) {
	s := l.n.seat.s
	for {
		orders, events := l.d.Orders(), s.Events()
		if len(orders) == 0 && len(events) == 0 {
			return
		}
		for i := range orders {
			if o := &orders[i]; o.To == l.local {
				s.Order(now, *o)
				l.n.owned(o)
			} else if k := l.links[o.To]; k != nil {
				k.out.Send(k.codec.Order(now, o))
			}
		}
		for _, e := range events {
			l.d.Event(now, l.local, e)
		}
	}
}

const (
	// Of all machines, a part that may be given up for the rest: the few that
	// answer no command; more once every worker that lives has reported, too.
	// A zone that is cut off is more than that, and waits for its leases.
	fewUnseen  = 0.02
	someUnseen = 0.15
)

// settleUnseen returns the machines of earlier terms that answer neither
// reports nor commands, if they are few. All old jobs wait for them, so they
// are worth less than the time until their leases are over: once returned they
// are surely gone.
func (l *leadership) settleUnseen(now time.Duration) {
	if l.healed || l.settling {
		return
	}
	waited := now - l.loadedAt
	share := 0.0
	switch {
	case waited > config.Seconds(1.25*l.n.cfg.Cluster.Workers.ReportS)+2250*time.Millisecond:
		share = someUnseen
	case l.d.Unanswering():
		share = fewUnseen
	default:
		return
	}
	ids := l.d.Unseen(share)
	if len(ids) == 0 {
		return
	}
	l.settling = true
	l.n.log.Info("returning machines that can't be reached", "count", len(ids))
	for part := range slices.Chunk(ids, fleet.MaxReturn) {
		go l.cloudAction(fleet.Action{Kind: fleet.Return, Machine: part})
	}
}

// turn lets dealer and shards settle, and sends the direct commands. Dealing
// looks at all that is open, so it is done less often the longer it takes.
func (l *leadership) turn(now time.Duration) {
	if !l.loaded {
		return
	}
	l.exchange(now)
	if l.due && now-l.dealt >= max(4*gather, 6*l.dealCost) {
		l.deal(now)
		l.exchange(now)
	}
	l.n.seat.s.Place(now)
	l.exchange(now)
	l.n.flush(now)
}

// store writes what must last.
func (l *leadership) store(now time.Duration) {
	budget := int(l.writes.TokensAt(time.Now()))
	if budget < 1 {
		return
	}
	var batch []dealer.Write
	flush := func() {
		if len(batch) > 0 {
			go l.write(batch)
			batch = nil
		}
	}
	for _, w := range l.d.Writes(now, min(budget, 32)) {
		l.writes.AllowN(time.Now(), 1)
		if w.Kind != dealer.PutChunk {
			go l.write([]dealer.Write{w})
			continue
		}
		if batch = append(batch, w); len(batch) >= min(l.n.cfg.Cluster.State.TxnOps, 4) {
			flush()
		}
	}
	flush()
}

func chunkKey(id model.JobID, c int32) string {
	return fmt.Sprintf("%s%s/%d", doneKeys, wire.JobName(id), c)
}

func blockKey(no uint64) string { return fmt.Sprintf("%s%08d", recordKeys, no) }

func (l *leadership) write(batch []dealer.Write) {
	n := l.n
	t := wire.Txn{Guards: []wire.Guard{l.guard}}
	n.mu.Lock()
	for _, w := range batch {
		switch w.Kind {
		case dealer.PutBlock:
			// Its version: applied late, this must not undo a later record.
			key := blockKey(w.Block)
			t.Guards = append(t.Guards, wire.Guard{Key: key, Version: w.Version})
			t.Then = append(t.Then, wire.Op{Put: key, Value: encode(wire.EncodeMachines(w.Machines, n.names))})
		case dealer.PutChunk:
			t.Then = append(t.Then, wire.Op{Put: chunkKey(w.Job, w.Chunk), Value: encode(wire.Chunk{Bits: w.Bits})})
		case dealer.Finish:
			t.Guards = append(t.Guards, wire.Guard{Key: openKeys + wire.JobName(w.Job), Version: w.Version})
			t.Then = append(t.Then, finalOps(w.Job, jobs.Done)...)
			for c := range w.Chunks {
				t.Then = append(t.Then, wire.Op{Delete: chunkKey(w.Job, c)})
			}
		}
	}
	n.mu.Unlock()
	ctx := state.Urgent(l.ctx)
	rev, err := n.state.Txn(ctx, t)
	lost := false
	if errors.Is(err, state.ErrConflict) && len(t.Guards) > 1 {
		// Ours is the leader's key still, or else nothing matters any more.
		it, gerr := n.state.Get(ctx, t.Guards[1].Key)
		lost = errors.Is(gerr, state.ErrNotFound)
		if gerr == nil && batch[0].Kind == dealer.PutBlock {
			lost, rev = true, it.Version
		}
	}
	if err != nil {
		n.log.Debug("not stored", "writes", len(batch), "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, w := range batch {
		l.d.Stored(now, w, rev, err == nil, lost)
	}
	if n.lead == l {
		n.soon()
	}
}

// finalOps ends a job: from its open record to its final one.
func finalOps(id model.JobID, stage jobs.Stage) []wire.Op {
	name := wire.JobName(id)
	return []wire.Op{{Delete: openKeys + name}, {Put: finalKeys + name, Value: encode(wire.Final{Stage: string(stage)})}}
}

func (l *leadership) runFleet(now time.Duration) {
	status := l.d.Machines()
	l.f.Observe(now, status, l.d.Silent)
	var demand []fleet.Demand
	for _, need := range l.d.Needs() {
		demand = append(demand, fleet.Demand{Need: need, Placed: need.Held - int32(l.d.Count(need.Spec.ID).Waiting)})
	}
	for _, a := range l.f.Step(now, status, demand, l.d.Limit) {
		if a.Kind != fleet.Rent {
			for _, id := range a.Machine {
				l.d.Use(id, a.Kind == fleet.Undrain)
			}
		}
		switch a.Kind {
		case fleet.Rent, fleet.Return:
			go l.cloudAction(a)
		default:
			l.n.log.Info("machines drained or wanted again", "drained", a.Kind == fleet.Drain, "count", len(a.Machine))
		}
	}
	l.n.soon()
}

// leads tells whether this term's authority still stands, right now.
func (l *leadership) leads() bool {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	return l.n.lead == l && l.n.el.Leading(l.n.now())
}

func (l *leadership) cloudAction(a fleet.Action) {
	n := l.n
	if a.Kind == fleet.Return {
		names := make([]string, len(a.Machine))
		for i, id := range a.Machine {
			names[i] = wire.MachineName(id)
		}
		err := errTermOver
		if l.leads() { // it may have stood still since this was decided
			err = n.cloud.Return(l.ctx, names)
		}
		n.log.Info("machines returned", "machines", names, "err", err)
		n.mu.Lock()
		defer n.mu.Unlock()
		now := n.now()
		l.f.Returned(now, a, err == nil)
		for _, id := range a.Machine {
			if err == nil {
				l.d.Gone(id)
			} else {
				l.d.Use(id, true)
			}
		}
		if n.lead == l {
			n.soon()
		}
		return
	}
	n.mu.Lock()
	r := wire.Rental{Request: a.Rent, Type: n.names.Types.Name(a.Type), Zone: n.names.Zones.Name(a.Zone), Spot: a.Spot, Count: a.Count}
	n.mu.Unlock()
	var got []model.MachineID
	refused, doubt := false, true
	if l.leads() {
		got, refused, doubt = n.rent(l.ctx, r)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.f.Rented(n.now(), a, got, refused, doubt)
}

// runCloud keeps the machine list.
func (l *leadership) runCloud() {
	n := l.n
	for l.ctx.Err() == nil {
		asked := n.now()
		list, err := n.cloud.List(l.ctx)
		if l.ctx.Err() == nil {
			n.complaints.note("machine list not read", err)
		}
		if err != nil {
			sleep(l.ctx, time.Second)
			continue
		}
		n.mu.Lock()
		var out []fleet.Listed
		for _, m := range list {
			id, err := wire.ParseMachine(m.Name)
			if err != nil {
				continue
			}
			out = append(out, fleet.Listed{ID: id, Type: n.names.Types.ID(m.Type), Zone: n.names.Zones.ID(m.Zone), Spot: m.Spot,
				Failed: m.Stage == "failed", Age: config.Seconds(m.AgeS)})
		}
		slices.SortFunc(out, func(a, b fleet.Listed) int { return cmp.Compare(a.ID, b.ID) })
		gone := l.f.List(n.now(), asked, out)
		for _, id := range gone {
			l.d.Gone(id)
		}
		if n.lead == l && len(gone) > 0 {
			n.log.Info("machines gone from the list", "count", len(gone))
			n.soon()
		}
		n.mu.Unlock()
		sleep(l.ctx, 4*time.Second)
	}
}

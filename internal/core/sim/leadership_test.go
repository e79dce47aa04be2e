package sim

import (
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/cancellog"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
)

// leadership is a controller's state as leader of one term.
type leadership struct {
	c    *controller
	term uint64
	// Version of the leader record, which guards all writes.
	leaderVersion uint64
	dispatcher    *dispatcher.Dispatcher
	// ID of the leader's own shard.
	localID model.ShardID
	links   map[model.ShardID]*memberLink
	// Hosts of the members that have joined in this term.
	joinedHosts map[string]bool
	knownJobs   map[model.JobID]bool
	// ID of the last shard that was added.
	newestShard model.ShardID
	// The store has been read once. readAt is when the last read was sent.
	loaded       bool
	readAt       time.Duration
	startedAt    time.Duration
	openJobsView cancellog.OpenJobsView
	// A read of the store is in progress.
	reading      bool
	drains       *drainManager
	dependencies *dependencyTracker
}

// snapshot is a copy of the stored data.
type snapshot struct {
	open     map[model.JobID]openJob
	done     map[model.JobID]map[int32]chunk
	records  map[dispatcher.BlockID]record
	plans    map[string]drain.StoredPlan
	revision uint64
}

// snapshot returns a copy of the stored data.
func (s *store) snapshot() any {
	s.expireLeases()
	v := snapshot{open: map[model.JobID]openJob{}, done: map[model.JobID]map[int32]chunk{},
		records: map[dispatcher.BlockID]record{}, revision: s.revision, plans: maps.Clone(s.plans)}
	for k, x := range s.openJobs {
		v.open[k] = x
	}
	for k, x := range s.doneChunks {
		v.done[k] = map[int32]chunk{}
		for i, b := range x {
			v.done[k][i] = b
		}
	}
	for k, x := range s.records {
		v.records[k] = x
	}
	return v
}

// load reads the store. The leader repeats this in place of a watch. The first read also takes over
// machine records, drain plans and the cancellations that this controller acknowledged to users.
func (l *leadership) load() {
	c := l.c
	readAt := c.now()
	l.reading = true
	read := func(apply func(any)) { c.storeCall(c.w.store.snapshot, apply) }
	if c.w.params.pagedLists {
		read = l.loadPaged
	}
	read(func(v any) {
		if c.leadership != l {
			return
		}
		l.reading = false
		snap, ok := v.(snapshot)
		if !ok {
			return
		}
		now := c.now()
		if !l.loaded && !c.w.params.ignoreRecords {
			l.loadRecords(snap.records)
		}
		if cancelled, _ := c.cancelLog.EntriesFrom(0); !l.loaded {
			for _, id := range cancelled {
				l.openJobsView.AddCancelled(now, id)
			}
		}
		open := map[model.JobID]bool{}
		for id := range c.w.params.jobs {
			if o, ok := snap.open[model.JobID(id)]; ok {
				if l.openJobsView.IsCancelled(o.spec.ID) {
					continue
				}
				open[o.spec.ID] = true
				isNew := !l.knownJobs[o.spec.ID]
				l.knownJobs[o.spec.ID] = true
				l.dispatcher.AddJob(now, o.spec, o.version, 0, o.version <= l.leaderVersion)
				l.dependencies.add(&o)
				if isNew {
					for i, b := range snap.done[o.spec.ID] {
						l.dispatcher.AddDoneChunk(o.spec.ID, dispatcher.ChunkID{OldLayout: true, Index: i}, b.version, i*64, b.bits)
					}
				}
			}
		}
		if !l.loaded {
			l.drains.load(now, snap.plans)
		}
		for _, id := range l.dispatcher.SyncOpenJobs(open, snap.revision) {
			l.dependencies.jobEnded(id, pipeline.Unknown)
		}
		l.readAt = readAt
		l.loaded = true
		l.dependencies.applyChanges()
		l.exchangeMessages()
		l.openJobsView.Read(readAt)
		if !c.w.params.skipOpenJobs {
			c.local.shard.SetOpenJobs(l.openJobs())
		}
		l.runCycle()
	})
}

// openJobs returns the jobs that are open as far as the leader knows.
func (l *leadership) openJobs() map[model.JobID]bool {
	open := map[model.JobID]bool{}
	l.dispatcher.ForEachOpenJob(func(id model.JobID, _ uint64, _, _ int) { open[id] = true })
	return open
}

// grantDeadline is until when shards may act for this leader: while its authority and its view of the
// open jobs last.
func (l *leadership) grantDeadline() time.Duration {
	return min(l.c.election.Deadline(), l.openJobsView.ValidUntil(l.c.w.params.maxStaleness))
}

// applyCancellation handles a cancellation that a controller acknowledged to a user: the job is removed before
// the store has been read again.
func (l *leadership) applyCancellation(now time.Duration, id model.JobID) {
	if l.openJobsView.AddCancelled(now, id) && l.dispatcher.JobVersion(id) != 0 {
		l.dispatcher.JobRemoved(id)
		l.dependencies.jobEnded(id, pipeline.Cancelled)
	}
}

// applyCoverage extends the view of the open jobs by the cancellations that all members have reported.
func (l *leadership) applyCoverage(now time.Duration) {
	coverage := map[string]cancellog.Coverage{}
	for _, k := range l.links {
		if k.reportsCancellations {
			coverage[k.host] = k.coverage
		}
	}
	if len(coverage) < len(l.c.w.controllers)-1 || !l.loaded {
		return
	}
	l.exchangeMessages()
	l.openJobsView.ApplyCoverage(now, slices.Collect(maps.Values(coverage)))
}

// extendAuthority extends the leader's authority to the earliest end of the promises of all other
// controllers.
func (l *leadership) extendAuthority() {
	promised := map[string]time.Duration{}
	for _, k := range l.links {
		promised[k.host] = max(promised[k.host], k.promisedUntil)
	}
	earliest := time.Duration(1<<63 - 1)
	for _, o := range l.c.w.controllers {
		if o != l.c {
			earliest = min(earliest, promised[o.host])
		}
	}
	l.c.election.ExtendAuthority(earliest)
}

// tick advances the leader: it resigns if its view of the open jobs is too old or if only it is
// refused by the state service, removes members that stopped reporting, and writes to the store.
func (l *leadership) tick() {
	c := l.c
	now := c.now()
	l.applyCoverage(now)
	if now > max(l.openJobsView.ValidUntil(c.w.params.maxStaleness), l.startedAt+c.w.params.maxStaleness) {
		c.election.Resign(now, time.Second)
		c.followElection()
		return
	}
	if yes, ask := c.storeHealth.YieldNow(now, l.siblingLastServed()); yes {
		c.w.logf("only %s is refused by the store", c.host)
		c.election.Resign(now, 4*time.Second)
		c.followElection()
		return
	} else if ask {
		l.confirmServed()
	}
	c.local.shard.SetGrant(l.grantDeadline())
	if !l.reading {
		l.load()
	}
	if !l.loaded {
		return
	}
	for id := model.ShardID(1); id <= l.newestShard; id++ {
		k := l.links[id]
		if k == nil {
			continue
		}
		if now-k.lastReceived > 2500*time.Millisecond {
			c.w.logf("%s loses member %s", c.host, k.host)
			k.closed = true
			delete(l.links, id)
			l.memberLost(id, max(now, k.grantedUntil))
		}
	}
	c.local.shard.Tick(now)
	l.dispatcher.Tick(now)
	l.drains.tick(now)
	l.dependencies.tick(now)
	l.dispatch()
	for _, wr := range l.dispatcher.Writes(now, 20) {
		c.storeTxn(func() any { return c.w.store.write(l.leaderVersion, wr) }, func(v any) {
			r, _ := v.(writeResult)
			l.dispatcher.WriteDone(c.now(), wr, r.revision, r.ok, r.conflict)
			if wr.Kind == dispatcher.FinishJob && r.ok {
				l.dependencies.jobEnded(wr.Job, pipeline.Done)
			} else if wr.Kind == dispatcher.FinishJob && r.conflict {
				l.dependencies.jobEnded(wr.Job, pipeline.Unknown)
			}
			if c.leadership == l {
				l.runCycle()
			}
		})
	}
}

// confirmServed asks the member that the state service served last to send it a request, to learn
// whether the service refuses only this controller.
func (l *leadership) confirmServed() {
	var best *memberLink
	for id := model.ShardID(1); id <= l.newestShard; id++ {
		if k := l.links[id]; k != nil && (best == nil || k.lastServed > best.lastServed) {
			best = k
		}
	}
	if best == nil {
		return
	}
	m := best.member.c
	l.c.w.send(l.c.host, m.host, false, func() {
		if !m.running {
			return
		}
		m.storeCall(func() any { return true }, func(v any) {
			l.c.w.send(m.host, l.c.host, false, func() {
				if v != nil && l.c.leadership == l && l.c.running {
					l.c.storeHealth.ConfirmServed(l.c.now())
				}
			})
		})
	})
}

// siblingLastServed returns when a member sent the newest request that the state service served.
func (l *leadership) siblingLastServed() (newest time.Duration) {
	for _, k := range l.links {
		newest = max(newest, k.lastServed)
	}
	return newest
}

// memberLost handles the loss of a member's shard whose grant ends at end.
func (l *leadership) memberLost(id model.ShardID, end time.Duration) {
	if l.c.w.params.freeMachinesOnLoss {
		end = l.c.now() - time.Hour
	}
	l.c.w.lastHandover = l.c.w.now
	l.dispatcher.ShardLost(id, end)
	l.runCycle()
}

// dispatch updates the status of the leader's own shard and assigns waiting tasks.
func (l *leadership) dispatch() {
	s := l.c.local.shard
	now := l.c.now()
	l.exchangeMessages()
	l.dispatcher.UpdateStatus(now, l.localID, s.TakeStatus(now), s.TaskCounts(now),
		l.dispatcher.AssignmentsSent(l.localID))
	l.dispatcher.Dispatch(now)
	l.runCycle()
}

// exchangeMessages delivers orders to the shards and events of the leader's own shard until there are
// none left. Members of release 0.5 get orders without the fields that they lack.
func (l *leadership) exchangeMessages() {
	now := l.c.now()
	s := l.c.local.shard
	for {
		orders, evs := l.dispatcher.TakeOrders(), s.TakeEvents()
		if len(orders) == 0 && len(evs) == 0 {
			return
		}
		for _, o := range orders {
			l.c.w.logOrder(&o)
			if o.To == l.localID {
				s.HandleOrder(now, o)
			} else if k := l.links[o.To]; k != nil {
				if l.c.oldRelease || k.member.c.oldRelease {
					o.VerifyFirst, o.MessageID, o.Assignment.WithinLimits, o.Epoch = false, model.MessageID{}, false, 0
				}
				l.sendToMember(k, func(member *localShard) {
					member.shard.HandleOrder(member.c.now(), adjustClock(o, now, member.c.now()))
				})
			}
		}
		for _, e := range evs {
			l.handleEvent(now, l.localID, e)
		}
	}
}

// handleEvent passes a shard's event to the drain plans and the dispatcher.
func (l *leadership) handleEvent(now time.Duration, from model.ShardID, e model.Event) {
	l.c.w.logEvent(from, &e)
	if !l.dispatcher.IsStale(from, &e) {
		l.drains.handleEvent(now, &e)
	}
	if e.Kind == model.MachineInspected && !l.dispatcher.IsStale(from, &e) {
		l.drains.engine.TasksListed(now, e.Machine, e.Token, e.Placed, l.dispatcher.Spec)
	}
	if (e.Kind == model.TokenNeeded || e.Kind == model.TokenSuperseded) && l.dispatcher.Releasing(e.Machine) {
		l.c.w.observe("a token is asked for while its machine is released")
	}
	l.dispatcher.HandleEvent(now, from, e)
}

// adjustClock converts an assignment's time from the leader's to the receiver's clock.
func adjustClock(o model.Order, from, to time.Duration) model.Order {
	o.Assignment.WaitingSince += to - from
	return o
}

// sendToMember runs deliver on a member, if the connection still exists when the message arrives.
func (l *leadership) sendToMember(k *memberLink, deliver func(*localShard)) {
	member := k.member
	l.c.w.send(l.c.host, k.host, true, func() {
		if member.c.local == member && member.l != nil && member.c.running {
			member.lastReceived = member.c.now()
			deliver(member)
			member.c.runCycle()
		}
	})
}

// runCycle places tasks on the leader's own shard and sends the resulting orders and commands.
func (l *leadership) runCycle() {
	l.exchangeMessages()
	l.c.local.shard.Place(l.c.now())
	l.exchangeMessages()
	l.c.sendCommands()
}

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

type lead struct {
	c       *ctl
	term    uint64
	guard   uint64
	d       *dispatcher.Dispatcher
	local   model.ShardID
	links   map[model.ShardID]*link
	hosts   map[string]bool
	known   map[model.JobID]bool
	newest  model.ShardID
	loaded  bool
	fresh   time.Duration
	began   time.Duration
	picture cancellog.OpenJobsView
	asking  bool
	drains  *drains
	chains  *chains
}

type snapshot struct {
	open    map[model.JobID]openJob
	done    map[model.JobID]map[int32]chunk
	records map[dispatcher.BlockID]record
	plans   map[string]drain.StoredPlan
	rev     uint64
}

func (s *store) snapshot() any {
	s.expire()
	v := snapshot{open: map[model.JobID]openJob{}, done: map[model.JobID]map[int32]chunk{},
		records: map[dispatcher.BlockID]record{}, rev: s.rev, plans: maps.Clone(s.plans)}
	for k, x := range s.open {
		v.open[k] = x
	}
	for k, x := range s.done {
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

// load reads the store, and goes on reading it in place of a watch.
func (l *lead) load() {
	c := l.c
	asked := c.now()
	l.asking = true
	c.storeCall(c.w.store.snapshot, func(v any) {
		if c.lead != l {
			return
		}
		l.asking = false
		snap, ok := v.(snapshot)
		if !ok {
			return
		}
		now := c.now()
		if !l.loaded && !c.w.p.forgetRecords {
			l.loadRecords(snap.records)
		}
		if told, _ := c.told.EntriesFrom(0); !l.loaded {
			for _, id := range told {
				l.picture.AddCancelled(now, id)
			}
		}
		known := map[model.JobID]bool{}
		for id := range c.w.p.jobs {
			if o, ok := snap.open[model.JobID(id)]; ok {
				if l.picture.IsCancelled(o.spec.ID) {
					continue
				}
				known[o.spec.ID] = true
				fresh := !l.known[o.spec.ID]
				l.known[o.spec.ID] = true
				l.d.AddJob(now, o.spec, o.version, 0, o.version <= l.guard)
				l.chains.add(&o)
				if fresh {
					for i, b := range snap.done[o.spec.ID] {
						l.d.AddDoneChunk(o.spec.ID, dispatcher.ChunkID{OldLayout: true, Index: i}, b.version, i*64, b.bits)
					}
				}
			}
		}
		if !l.loaded {
			l.drains.load(now, snap.plans)
		}
		for _, id := range l.d.SyncOpenJobs(known, snap.rev) {
			l.chains.ended(id, pipeline.Unknown)
		}
		l.fresh = asked
		l.loaded = true
		l.chains.settle()
		l.exchange()
		l.picture.Read(asked)
		if !c.w.p.unvetted {
			c.seat.s.SetOpenJobs(l.open())
		}
		l.pump()
	})
}

// open is the set of open jobs as the leader sees them.
func (l *lead) open() map[model.JobID]bool {
	open := map[model.JobID]bool{}
	l.d.ForEachOpenJob(func(id model.JobID, _ uint64, _, _ int) { open[id] = true })
	return open
}

func (l *lead) until() time.Duration {
	return min(l.c.el.Deadline(), l.picture.ValidUntil(l.c.w.p.staleness))
}

// cancelled takes a controller's word that it told a user of a cancellation.
func (l *lead) cancelled(now time.Duration, id model.JobID) {
	if l.picture.AddCancelled(now, id) && l.d.JobVersion(id) != 0 {
		l.d.JobRemoved(id)
		l.chains.ended(id, pipeline.Cancelled)
	}
}

// listen brings the picture up to what all controllers have told.
func (l *lead) listen(now time.Duration) {
	words := map[string]cancellog.Coverage{}
	for _, k := range l.links {
		if k.tells {
			words[k.host] = k.word
		}
	}
	if len(words) < len(l.c.w.ctls)-1 || !l.loaded {
		return
	}
	l.exchange()
	l.picture.ApplyCoverage(now, slices.Collect(maps.Values(words)))
}

func (l *lead) back() {
	end := map[string]time.Duration{}
	for _, k := range l.links {
		end[k.host] = max(end[k.host], k.promise)
	}
	least := time.Duration(1<<63 - 1)
	for _, o := range l.c.w.ctls {
		if o != l.c {
			least = min(least, end[o.host])
		}
	}
	l.c.el.ExtendAuthority(least)
}

func (l *lead) tick() {
	c := l.c
	now := c.now()
	l.listen(now)
	if now > max(l.picture.ValidUntil(c.w.p.staleness), l.began+c.w.p.staleness) {
		c.el.Resign(now, time.Second)
		c.follow()
		return
	}
	if yes, ask := c.stands.YieldNow(now, l.servedSibling()); yes {
		c.w.note("%s is refused alone", c.host)
		c.el.Resign(now, 4*time.Second)
		c.follow()
		return
	} else if ask {
		l.confirm()
	}
	c.seat.s.SetGrant(l.until())
	if !l.asking {
		l.load()
	}
	if !l.loaded {
		return
	}
	for id := model.ShardID(1); id <= l.newest; id++ {
		k := l.links[id]
		if k == nil {
			continue
		}
		if now-k.heard > 2500*time.Millisecond {
			c.w.note("%s loses member %s", c.host, k.host)
			k.dead = true
			delete(l.links, id)
			l.lose(id, max(now, k.until))
		}
	}
	c.seat.s.Tick(now)
	l.d.Tick(now)
	l.drains.tick(now)
	l.chains.tick(now)
	l.deal()
	for _, wr := range l.d.Writes(now, 20) {
		c.storeTxn(func() any { return c.w.store.write(l.guard, wr) }, func(v any) {
			r, _ := v.(written)
			l.d.WriteDone(c.now(), wr, r.rev, r.ok, r.lost)
			if wr.Kind == dispatcher.FinishJob && r.ok {
				l.chains.ended(wr.Job, pipeline.Done)
			} else if wr.Kind == dispatcher.FinishJob && r.lost {
				l.chains.ended(wr.Job, pipeline.Unknown)
			}
			if c.lead == l {
				l.pump()
			}
		})
	}
}

// confirm has the member that was served last ask the store.
func (l *lead) confirm() {
	var best *link
	for id := model.ShardID(1); id <= l.newest; id++ {
		if k := l.links[id]; k != nil && (best == nil || k.stateAt > best.stateAt) {
			best = k
		}
	}
	if best == nil {
		return
	}
	m := best.peer.c
	l.c.w.send(l.c.host, m.host, false, func() {
		if !m.up {
			return
		}
		m.storeCall(func() any { return true }, func(v any) {
			l.c.w.send(m.host, l.c.host, false, func() {
				if v != nil && l.c.lead == l && l.c.up {
					l.c.stands.ConfirmServed(l.c.now())
				}
			})
		})
	})
}

// servedSibling is when the newest request of a member's was sent that the state service
// has served.
func (l *lead) servedSibling() (newest time.Duration) {
	for _, k := range l.links {
		newest = max(newest, k.stateAt)
	}
	return newest
}

func (l *lead) lose(id model.ShardID, end time.Duration) {
	if l.c.w.p.freeOnLoss {
		end = l.c.now() - time.Hour
	}
	l.c.w.changed = l.c.w.now
	l.d.ShardLost(id, end)
	l.pump()
}

func (l *lead) deal() {
	s := l.c.seat.s
	now := l.c.now()
	l.exchange()
	l.d.UpdateStatus(now, l.local, s.TakeStatus(now), s.TaskCounts(now), l.d.AssignmentsSent(l.local))
	l.d.Dispatch(now)
	l.pump()
}

func (l *lead) exchange() {
	now := l.c.now()
	s := l.c.seat.s
	for {
		orders, evs := l.d.TakeOrders(), s.TakeEvents()
		if len(orders) == 0 && len(evs) == 0 {
			return
		}
		for _, o := range orders {
			if o.To == l.local {
				s.HandleOrder(now, o)
			} else if k := l.links[o.To]; k != nil {
				if l.c.old || k.peer.c.old {
					o.VerifyFirst, o.MessageID, o.Assignment.WithinLimits = false, model.MessageID{}, false
				}
				l.down(k, func(st *seat) { st.s.HandleOrder(st.c.now(), shift(o, now, st.c.now())) })
			}
		}
		for _, e := range evs {
			l.hear(now, l.local, e)
		}
	}
}

func (l *lead) hear(now time.Duration, from model.ShardID, e model.Event) {
	l.drains.hear(now, &e)
	if e.Kind == model.MachineInspected {
		l.drains.e.TasksListed(now, e.Machine, e.Token, e.Placed, l.d.Spec)
	}
	l.d.HandleEvent(now, from, e)
}

// shift brings a deal's times into the receiver's clock.
func shift(o model.Order, from, to time.Duration) model.Order {
	o.Assignment.WaitingSince += to - from
	return o
}

func (l *lead) down(k *link, f func(*seat)) {
	st := k.peer
	l.c.w.send(l.c.host, k.host, true, func() {
		if st.c.seat == st && st.l != nil && st.c.up {
			st.heard = st.c.now()
			f(st)
			st.c.pump()
		}
	})
}

func (l *lead) pump() {
	l.exchange()
	l.c.seat.s.Place(l.c.now())
	l.exchange()
	l.c.flush()
}

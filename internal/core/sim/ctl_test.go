package sim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"honeylock/internal/core/dealer"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/election"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
	"honeylock/internal/core/shard"
	"honeylock/internal/core/standing"
	"honeylock/internal/core/witness"
)

// ctl is a controller: the cores wired as the node wires them.
type ctl struct {
	w      *world
	host   string
	up     bool
	life   int
	rate   float64 // of its steady clock
	origin time.Duration
	el     *election.Election
	lead   *lead
	led    uint64
	seat   *seat
	kept   []model.MachineID // of the seat before
	halt   halt
	old    bool // says and hears only what release 0.5 does
	vouch  *pipeline.Voucher
	doubt  map[model.JobID]bool // told by the leader: waiting jobs, and whether they are in doubt
	stands standing.Standing    // with the state service
	told   *witness.Log
}

// halt is a process that stands still while its clocks run on: what is sent to
// it waits in its sockets, its timers are late, and it may have decided to send
// something, yet not sent it.
type halt struct {
	until time.Duration // of the present or last halt
	span  time.Duration // of a halt that is due: it begins in the midst of sending
	sends int           // ... after so many messages more
}

func (c *ctl) halted() bool { return c.up && c.w.now < c.halt.until }

// haltIn makes the controller stand still for d, once it has sent some more.
func (c *ctl) haltIn(sends int, d time.Duration) {
	c.halt.span, c.halt.sends = d, sends
	life := c.life
	c.w.after(200*time.Millisecond, func() { // it sends little: then here
		if c.up && c.life == life {
			c.beginHalt()
		}
	})
}

func (c *ctl) beginHalt() {
	if c.halt.span > 0 {
		c.w.note("%s stands still for %v", c.host, c.halt.span)
		c.halt.until, c.halt.span = c.w.now+c.halt.span, 0
	}
}

// awake runs f as the controller: at once, or when it moves again.
func (c *ctl) awake(f func()) {
	if c.halted() {
		c.w.after(c.halt.until-c.w.now, func() { c.awake(f) })
		return
	}
	f()
}

// timer runs f later, as the controller.
func (c *ctl) timer(d time.Duration, f func()) {
	c.w.after(d, func() {
		if c.halted() { // timers and sockets come in any order afterwards
			c.w.after(c.halt.until-c.w.now+c.w.between(0, 20*time.Millisecond), func() { c.awake(f) })
			return
		}
		f()
	})
}

type lead struct {
	c      *ctl
	term   uint64
	guard  uint64
	d      *dealer.Dealer
	local  model.ShardID
	links  map[model.ShardID]*link
	hosts  map[string]bool
	known  map[model.JobID]bool
	newest model.ShardID
	loaded bool
	fresh  time.Duration
	// cancels and gone are the picture and gone that the node's dealing has.
	cancels witness.Picture
	gone    map[model.JobID]time.Duration
	asking  bool
	drains  *drains
	chains  *chains
}

const promise = 2500 * time.Millisecond

type link struct {
	promise time.Duration
	host    string
	peer    *seat
	until   time.Duration
	heard   time.Duration
	stateAt time.Duration // the state service last served the member
	word    witness.Word
	tells   bool
	dead    bool
}

type seat struct {
	s      *shard.Shard
	c      *ctl
	l      *lead // nil once the link is lost; the leader's own seat too
	lk     *link
	id     model.ShardID
	heard  time.Duration
	asked  time.Duration
	joined bool
	grants []time.Duration // sent, by the leader's clock, of those received
	toldTo int
}

func newCtl(w *world, i int) *ctl {
	return &ctl{w: w, host: fmt.Sprintf("c%d", i), rate: 1 + (w.rng.Float64()-0.5)*0.001}
}

func (c *ctl) now() time.Duration { return time.Duration(float64(c.w.now-c.origin) * c.rate) }

func (c *ctl) start() {
	c.up = true
	c.life++
	c.halt = halt{}
	c.origin = c.w.now
	c.el = election.New(c.host, c.w.p.ttl, c.w.between(0, 300*time.Millisecond), promise, 0)
	c.lead, c.seat, c.stands, c.told = nil, nil, standing.Standing{}, witness.NewLog(0)
	c.old = c.w.p.mixed && c.w.rng.IntN(2) == 0
	c.vouch, c.doubt = pipeline.NewVoucher(c.w.p.vouched()), nil
	c.tick(c.life)
}

func (c *ctl) crash(d time.Duration) {
	if !c.up {
		return
	}
	c.up = false
	c.life++
	c.lead, c.seat = nil, nil
	c.w.after(d, c.start)
}

// storeCall runs op at the store; done gets its result, or nil where there is
// no answer. Now and then the answer is lost, or the request is late.
func (c *ctl) storeCall(op func() any, done func(any)) { c.call(false, op, done) }

// storeTxn is the same for a transaction, which may be carried out late.
func (c *ctl) storeTxn(op func() any, done func(any)) { c.call(true, op, done) }

func (c *ctl) call(txn bool, op func() any, done func(any)) {
	life, answered, sent := c.life, false, c.now()
	finish := func(v any, o standing.Outcome) {
		if !answered && c.up && c.life == life {
			answered = true
			c.stands.Note(sent, o)
			done(v)
		}
	}
	c.w.send(c.host, "store", false, func() {
		if txn && c.w.store.putsOff(op) {
			return
		}
		var v any
		o := standing.Refused
		if c.w.store.serves(c.host) {
			v, o = op(), standing.Served
		}
		if c.w.rng.IntN(300) > 0 {
			c.w.send("store", c.host, false, func() { finish(v, o) })
		}
	})
	c.timer(1500*time.Millisecond, func() { finish(nil, standing.Silent) })
}

func (c *ctl) runElection(ops []election.Op) {
	for _, op := range ops {
		call := c.storeCall
		if op.Verb == election.Acquire {
			call = c.storeTxn
		}
		call(func() any { return c.w.store.election(c.host, op) }, func(v any) {
			res, ok := v.(election.Result)
			if !ok {
				res = election.Result{Op: op}
			}
			c.runElection(c.el.Done(c.now(), res))
			c.follow()
		})
	}
}

func (c *ctl) newSeat(attempts uint64) *seat {
	st := &seat{c: c, heard: c.now(), s: shard.New(shard.Params{SureLease: c.sureLease(), Report: c.w.p.report,
		Sample: 2, PaybackLimit: time.Minute, DemoteStep: 2, DoubtPause: 2 * time.Second},
		attempts, rand.New(rand.NewPCG(c.w.rng.Uint64(), 1)))}
	st.s.Tell(c.w.p.budget > 0)
	return st
}

func (c *ctl) sureLease() time.Duration {
	if c.w.p.hastyLease {
		return c.w.p.lease / 2
	}
	return c.w.p.lease*1002/1000 + 250*time.Millisecond
}

func (c *ctl) follow() {
	now := c.now()
	leading := c.el.Leading(now)
	if c.lead != nil && (!leading || c.lead.term != c.el.Term()) {
		c.w.note("%s no longer leads term %d", c.host, c.lead.term)
		c.lead, c.seat = nil, nil
	}
	if !leading || c.lead != nil {
		return
	}
	if c.led == c.el.Term() {
		c.el.Resign(now, 0)
		return
	}
	c.led = c.el.Term()
	l := &lead{c: c, term: c.el.Term(), guard: c.el.Version(), links: map[model.ShardID]*link{}, hosts: map[string]bool{}, known: map[model.JobID]bool{}, fresh: now,
		gone: map[model.JobID]time.Duration{}}
	l.cancels.Read(now)
	c.lead = l
	c.w.note("%s leads term %d", c.host, l.term)
	end := now + c.w.p.ttl + time.Second
	if c.w.p.trustOldEnd {
		end = now - time.Hour
	}
	l.d = dealer.New(dealer.Params{Term: l.term, Teams: []dealer.Team{{Limit: teamLimit}, {Limit: teamLimit}}, ChunkSize: 64, BlockSize: blockSize,
		Progress: time.Second, Ahead: 4, Begin: 30 * time.Second, SureLease: c.sureLease(), Tell: c.w.p.budget > 0}, end)
	l.d.SetTypes([]model.MachineType{theType})
	l.local = l.d.Join(now, c.host)
	l.drains = l.newDrains()
	l.chains = &chains{l: l, g: pipeline.New()}
	c.seat = c.newSeat(l.d.Attempts(l.local))
	c.seat.id = l.local
	c.seat.s.Grant(c.el.Deadline())
	l.load()
}

type snapshot struct {
	open    map[model.JobID]openJob
	done    map[model.JobID]map[int32]chunk
	records map[dealer.BlockID]record
	plans   map[string]drain.Stored
	rev     uint64
}

func (s *store) snapshot() any {
	s.expire()
	v := snapshot{open: map[model.JobID]openJob{}, done: map[model.JobID]map[int32]chunk{},
		records: map[dealer.BlockID]record{}, rev: s.rev, plans: maps.Clone(s.plans)}
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
		if told, _ := c.told.From(0); !l.loaded {
			for _, id := range told {
				l.gone[id] = now
			}
		}
		known := map[model.JobID]bool{}
		for id := range c.w.p.jobs {
			if o, ok := snap.open[model.JobID(id)]; ok {
				if _, over := l.gone[o.spec.ID]; over {
					continue
				}
				known[o.spec.ID] = true
				fresh := !l.known[o.spec.ID]
				l.known[o.spec.ID] = true
				l.d.AddJob(now, o.spec, o.version, 0, o.version <= l.guard)
				l.chains.add(&o)
				if fresh {
					for i, b := range snap.done[o.spec.ID] {
						l.d.AddDone(o.spec.ID, dealer.ChunkID{Old: true, No: i}, b.version, i*64, b.bits)
					}
				}
			}
		}
		if !l.loaded {
			l.drains.load(now, snap.plans)
		}
		for _, id := range l.d.Sync(known, snap.rev) {
			l.chains.ended(id, pipeline.Unknown)
		}
		l.fresh = asked
		l.loaded = true
		l.chains.settle()
		l.exchange()
		l.cancels.Read(asked)
		maps.DeleteFunc(l.gone, func(_ model.JobID, at time.Duration) bool { return at < asked })
		c.seat.s.Open(l.picture())
		l.pump()
	})
}

// picture is the set of open jobs as the leader sees them.
func (l *lead) picture() map[model.JobID]bool {
	open := map[model.JobID]bool{}
	l.d.Open(func(id model.JobID, _ uint64, _, _ int) { open[id] = true })
	return open
}

func (l *lead) until() time.Duration { return min(l.c.el.Deadline(), l.cancels.At()+l.c.w.p.deaf) }

// cancelled takes a controller's word that it told a user of a cancellation.
func (l *lead) cancelled(now time.Duration, id model.JobID) {
	if _, known := l.gone[id]; known {
		return
	}
	l.gone[id] = now
	if l.d.Version(id) != 0 {
		l.d.Withdrawn(id)
		l.chains.ended(id, pipeline.Cancelled)
	}
}

// listen brings the picture up to what all controllers have told.
func (l *lead) listen(now time.Duration) {
	words := map[string]witness.Word{}
	for _, k := range l.links {
		if k.tells {
			words[k.host] = k.word
		}
	}
	if len(words) < len(l.c.w.ctls)-1 || !l.loaded {
		return
	}
	l.exchange()
	l.cancels.Heard(now, slices.Collect(maps.Values(words)))
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
	l.c.el.Back(least)
}

func (c *ctl) tick(life int) {
	if !c.up || c.life != life {
		return
	}
	c.timer(c.w.between(80*time.Millisecond, 130*time.Millisecond), func() { c.tick(life) })
	c.runElection(c.el.Step(c.now()))
	c.follow()
	if c.lead != nil {
		c.lead.tick()
	} else {
		c.tickMember()
	}
}

func (l *lead) tick() {
	c := l.c
	now := c.now()
	l.listen(now)
	if now-l.cancels.At() > c.w.p.deaf {
		c.el.Resign(now, time.Second)
		c.follow()
		return
	}
	if c.stands.Yields(now, l.servedSibling()) {
		c.w.note("%s is refused alone", c.host)
		c.el.Resign(now, 4*time.Second)
		c.follow()
		return
	}
	c.seat.s.Grant(l.until())
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
			l.d.Stored(c.now(), wr, r.rev, r.ok, r.lost)
			if wr.Kind == dealer.Finish && r.ok {
				l.chains.ended(wr.Job, pipeline.Done)
			} else if wr.Kind == dealer.Finish && r.lost {
				l.chains.ended(wr.Job, pipeline.Unknown)
			}
			if c.lead == l {
				l.pump()
			}
		})
	}
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
	l.d.Lost(id, end)
	l.pump()
}

func (l *lead) deal() {
	s := l.c.seat.s
	now := l.c.now()
	l.exchange()
	l.d.Status(now, l.local, s.Status(now), s.Jobs(now), l.d.Dealt(l.local))
	l.d.Deal(now)
	l.pump()
}

func (l *lead) exchange() {
	now := l.c.now()
	s := l.c.seat.s
	for {
		orders, evs := l.d.Orders(), s.Events()
		if len(orders) == 0 && len(evs) == 0 {
			return
		}
		for _, o := range orders {
			if o.To == l.local {
				s.Order(now, o)
			} else if k := l.links[o.To]; k != nil {
				if l.c.old || k.peer.c.old {
					o.Prove, o.Numbers = false, model.Numbers{}
				}
				l.down(k, func(st *seat) { st.s.Order(st.c.now(), shift(o, now, st.c.now())) })
			}
		}
		for _, e := range evs {
			l.hear(now, l.local, e)
		}
	}
}

func (l *lead) hear(now time.Duration, from model.ShardID, e model.Event) {
	l.drains.hear(now, &e)
	if e.Kind == model.Looked {
		l.drains.e.Seen(now, e.Machine, e.Token, e.On, l.d.Spec)
	}
	l.d.Event(now, from, e)
}

// shift brings a deal's times into the receiver's clock.
func shift(o model.Order, from, to time.Duration) model.Order {
	o.Deal.Since += to - from
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

func (c *ctl) pump() {
	if c.lead != nil {
		if c.lead.loaded {
			c.lead.pump()
		}
		return
	}
	if c.seat == nil {
		return
	}
	c.seat.s.Place(c.now())
	c.flush()
	c.tell()
}

func (c *ctl) flush() {
	st := c.seat
	st.s.Flush(c.now(), 8)
	for _, d := range st.s.Directs() {
		life, answered := c.life, false
		finish := func(r *model.Report, executed bool) {
			if answered || !c.up || c.life != life {
				return
			}
			answered = true
			st.s.DirectDone(c.now(), d, r, executed)
			if c.seat == st {
				c.pump()
			}
		}
		m := c.w.workers[d.Machine]
		if c.w.p.copies {
			c.w.repeatOf(func() { m.direct(d.Token, d.Session, d.Commands, func(*model.Report, bool) {}) })
		}
		c.w.send(c.host, m.host, false, func() {
			m.direct(d.Token, d.Session, d.Commands, func(r *model.Report, ok bool) {
				c.w.send(m.host, c.host, false, func() { finish(r, ok) })
			})
		})
		c.timer(2*time.Second, func() { finish(nil, false) })
	}
}

func (st *seat) up(f func(l *lead, k *link)) {
	l, k := st.l, st.lk
	st.c.w.send(st.c.host, l.c.host, true, func() {
		if l.c.lead == l && !k.dead && l.c.up {
			k.heard = l.c.now()
			f(l, k)
		}
	})
}

func (c *ctl) tell() {
	st := c.seat
	for _, e := range st.s.Events() {
		if st.l != nil {
			if c.old || st.l.c.old {
				e.Numbers = model.Numbers{}
				e.Held = e.Held && e.Kind != model.Released
			}
			st.up(func(l *lead, k *link) {
				l.hear(l.c.now(), st.id, e)
				l.exchange()
			})
		}
	}
}

func (c *ctl) tickMember() {
	now := c.now()
	if st := c.seat; st != nil {
		st.s.Tick(now)
		c.flush()
		c.tell()
		if st.l != nil && now-st.heard > 2500*time.Millisecond {
			st.l = nil
		}
		if st.l != nil && st.joined && now-st.asked > 400*time.Millisecond {
			st.asked = now
			echo := st.grants
			status, counts, deals := st.s.Status(now), st.s.Jobs(now), st.s.Deals()
			served, known := c.stands.Served()
			stateAge := now - served
			toldFor, told := now-c.told.Since(), []model.JobID(nil)
			told, st.toldTo = c.told.From(st.toldTo)
			st.up(func(l *lead, k *link) {
				ln := l.c.now()
				if l.c.el.Leading(ln) {
					if known {
						k.stateAt = ln - stateAge
					}
					if !l.c.old && !c.old {
						for _, id := range told {
							l.cancelled(ln, id)
						}
						k.tells, k.word.Since = true, ln-(toldFor-toldFor/500)
						if n := len(echo); n > 0 {
							k.word.Until = max(k.word.Until, echo[n-1])
						}
					}
					if n := len(echo); n > 0 {
						k.promise = max(k.promise, echo[n-1]+promise-promise/200-50*time.Millisecond)
					}
					l.back()
					l.listen(ln)
					k.until = max(k.until, l.until())
					d := l.until() - ln
					age, told, doubt := ln-l.chains.settled(ln), ln-l.fresh, l.chains.tell(ln)
					l.down(k, func(st *seat) {
						st.c.vouch.Settled(now - age)
						if !st.c.old && !l.c.old {
							st.c.vouch.Told(now - told)
							st.c.doubt = doubt
						}
						st.grants = append(st.grants, ln)
						st.c.el.Promise(st.c.now() + promise)
						st.s.Grant(now + d - d/500 - 50*time.Millisecond)
					})
				}
				l.d.Status(ln, st.id, status, counts, deals)
				l.deal()
			})
		}
		if st.l != nil {
			return
		}
	}
	c.join()
}

// join opens a link to whoever leads; the shard of before acts no more.
func (c *ctl) join() {
	host := c.el.Holder()
	if host == "" || host == c.host || c.w.rng.IntN(4) > 0 {
		return
	}
	life := c.life
	if o := c.w.ctl(host); o != nil {
		c.w.send(c.host, host, true, func() {
			l := o.lead
			if l == nil || !l.loaded || !o.up {
				return
			}
			c.w.send(host, c.host, true, func() { // taken: Hello, Welcome
				if !c.up || c.life != life || c.lead != nil || c.seat != nil && c.seat.l != nil {
					return
				}
				k := &link{host: c.host}
				st := &seat{c: c, l: l, lk: k, heard: c.now()}
				if c.seat != nil {
					c.kept = slices.Sorted(maps.Keys(c.seat.s.Images()))
				}
				c.seat = nil
				c.w.send(c.host, host, true, func() {
					if o.lead != l || !o.up {
						return
					}
					for id := model.ShardID(1); id <= l.newest; id++ {
						if x := l.links[id]; x != nil && x.host == c.host {
							x.dead = true
							delete(l.links, id)
							l.lose(id, o.now())
						}
					}
					id := l.d.Join(o.now(), c.host)
					l.newest = id
					k.heard = o.now()
					l.hosts[c.host] = true
					if len(l.hosts) == c.w.p.controllers-1 {
						l.d.EveryoneHere(o.now())
					}
					attempts, picture := l.d.Attempts(id), l.picture()
					c.w.send(host, c.host, true, func() {
						if !c.up || c.life != life || c.lead != nil || c.seat != nil {
							return
						}
						n := c.newSeat(attempts)
						st.s, st.id, st.joined, st.heard = n.s, id, true, c.now()
						st.s.Open(picture)
						c.seat = st
						for _, mid := range c.kept {
							st.up(func(l *lead, _ *link) {
								l.d.Event(l.c.now(), id, model.Event{Kind: model.Remembered, Machine: mid})
								l.exchange()
							})
						}
					})
					k.peer = st
					l.links[id] = k
				})
			})
		})
	}
}

func (c *ctl) onReport(r *model.Report, answer func(bool, uint64, []model.Command, string)) {
	if !c.up {
		return
	}
	life := c.life
	keeper := ""
	try := func() bool {
		now := c.now()
		if !c.up || c.life != life || c.seat == nil || !c.seat.s.Granted(now) || c.lead != nil && !c.lead.loaded {
			return false
		}
		s := c.seat.s
		ok := s.Report(now, r)
		if c.lead != nil {
			c.lead.deal()
			if !ok {
				ok = s.Report(now, r)
			}
		}
		if !ok {
			keeper = s.Moved(r.Machine.ID)
			c.pump()
			return false
		}
		s.Place(now)
		a := s.Answer(now, r)
		c.pump()
		if a.OK {
			answer(true, a.Token, a.Commands, "")
		}
		return a.OK
	}
	refuse := func() {
		if c.up && c.life == life && c.lead == nil && c.seat == nil {
			keeper = c.el.Holder()
		}
		answer(false, 0, nil, keeper)
	}
	if try() {
		return
	}
	if c.seat == nil || keeper != "" {
		refuse()
		return
	}
	c.timer(300*time.Millisecond, func() {
		if !try() {
			refuse()
		}
	})
}

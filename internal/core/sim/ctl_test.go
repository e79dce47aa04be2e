package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"honeylock/internal/core/cancellog"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/election"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
	"honeylock/internal/core/shard"
	"honeylock/internal/core/storehealth"
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
	vouch  *pipeline.StatusFreshness
	doubt  map[model.JobID]bool // told by the leader: waiting jobs, and whether they are in doubt
	stands storehealth.Health   // with the state service
	told   *cancellog.Log
	last   map[model.JobID]asked // with the guard broken: what was asked lately
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

const promise = 2500 * time.Millisecond

type link struct {
	promise time.Duration
	host    string
	peer    *seat
	until   time.Duration
	heard   time.Duration
	stateAt time.Duration // the state service last served the member
	word    cancellog.Coverage
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

type asked struct {
	res jobs.Result
	at  time.Duration
}

func newCtl(w *world, i int) *ctl {
	return &ctl{w: w, host: fmt.Sprintf("c%d", i), rate: 1 + (w.rng.Float64()-0.5)*0.001}
}

func (c *ctl) now() time.Duration { return time.Duration(float64(c.w.now-c.origin) * c.rate) }

func (c *ctl) start() {
	c.up = true
	c.w.isBack()
	c.life++
	c.halt = halt{}
	c.origin = c.w.now
	c.el = election.New(c.host, c.w.p.ttl, c.w.between(0, 300*time.Millisecond), promise, 0)
	c.lead, c.seat, c.stands, c.told = nil, nil, storehealth.Health{}, cancellog.NewLog(0)
	c.old = c.w.p.mixed && c.w.rng.IntN(2) == 0
	c.vouch, c.doubt = pipeline.NewStatusFreshness(c.w.p.vouched()), nil
	c.tick(c.life)
}

func (c *ctl) crash(d time.Duration) {
	if !c.up {
		return
	}
	c.up = false
	c.life++
	c.w.ends(c)
	c.lead, c.seat = nil, nil
	c.w.after(d, c.start)
}

// storeCall runs op at the store; done gets its result, or nil where there is
// no answer. Now and then the answer is lost, or the request is late.
func (c *ctl) storeCall(op func() any, done func(any)) { c.call(false, op, done) }

// storeTxn is the same for a transaction, or for a lease's begin or end, which may be carried
// out late.
func (c *ctl) storeTxn(op func() any, done func(any)) { c.call(true, op, done) }

func (c *ctl) call(txn bool, op func() any, done func(any)) {
	life, answered, sent := c.life, false, c.now()
	finish := func(v any, o storehealth.Outcome) {
		if !answered && c.up && c.life == life {
			answered = true
			c.stands.RecordOutcome(sent, o)
			done(v)
		}
	}
	c.w.send(c.host, "store", false, func() {
		if txn && c.w.store.putsOff(op) {
			return
		}
		var v any
		o := storehealth.Refused
		if c.w.store.serves(c.host) {
			c.w.store.touched = nil
			v, o = op(), storehealth.Served
			if txn && c.w.store.losesAnswer() {
				c.w.saw("a transaction is done, its answer lost")
				if id := c.w.store.touched; id != nil {
					c.w.store.unread[*id] = c.host
				}
				return
			}
		}
		if c.w.rng.IntN(300) > 0 {
			c.w.send("store", c.host, false, func() { finish(v, o) })
		}
	})
	c.timer(1500*time.Millisecond, func() { finish(nil, storehealth.NoAnswer) })
}

func (c *ctl) runElection(ops []election.Op) {
	for _, op := range ops {
		call := c.storeCall
		if op.Verb != election.Read && op.Verb != election.Renew {
			call = c.storeTxn
		}
		call(func() any { return c.w.store.election(c.host, op) }, func(v any) {
			res, ok := v.(election.Result)
			if !ok {
				res = election.Result{Op: op}
			}
			c.runElection(c.el.HandleResult(c.now(), res))
			c.follow()
		})
	}
}

func (c *ctl) newSeat(attempts uint64) *seat {
	st := &seat{c: c, heard: c.now(), s: shard.New(shard.Params{MaxLease: c.sureLease(), ReportInterval: c.w.p.report,
		VictimSample: 2, PaybackLimit: time.Minute, DemotionStep: 2, DirectRetryDelay: 2 * time.Second},
		attempts, rand.New(rand.NewPCG(c.w.rng.Uint64(), 1)))}
	st.s.ReportInterruptions(c.w.p.budget > 0)
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
	l := &lead{c: c, term: c.el.Term(), guard: c.el.Version(), links: map[model.ShardID]*link{},
		hosts: map[string]bool{}, known: map[model.JobID]bool{}, fresh: now, began: now}
	c.lead = l
	c.w.note("%s leads term %d", c.host, l.term)
	c.w.begins(c)
	end := now + c.w.p.ttl + time.Second
	if c.w.p.trustOldEnd {
		end = now - time.Hour
	}
	l.d = dispatcher.New(dispatcher.Params{Term: l.term, Teams: []dispatcher.Team{{Limit: teamLimit}, {Limit: teamLimit}}, ChunkSize: 64, BlockSize: blockSize,
		ProgressInterval: time.Second, DispatchAhead: 4, StartWithin: c.w.p.begin(), MaxLease: c.sureLease(), ReportInterruptions: c.w.p.budget > 0}, end)
	l.d.SetTypes([]model.MachineType{theType})
	l.local = l.d.AddShard(now, c.host)
	l.drains = l.newDrains()
	l.chains = &chains{l: l, g: pipeline.New()}
	c.seat = c.newSeat(l.d.FirstAttempt(l.local))
	c.seat.id = l.local
	l.load()
}

func (c *ctl) tick(life int) {
	if !c.up || c.life != life {
		return
	}
	c.w.boundary()
	c.timer(c.w.between(80*time.Millisecond, 130*time.Millisecond), func() { c.tick(life) })
	c.runElection(c.el.Step(c.now()))
	c.follow()
	if c.lead != nil {
		c.lead.tick()
	} else {
		c.tickMember()
	}
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
	for _, d := range st.s.TakeDirectCommands() {
		life, answered := c.life, false
		finish := func(r *model.Report, executed bool) {
			if answered || !c.up || c.life != life {
				return
			}
			answered = true
			st.s.DirectCommandDone(c.now(), d, r, executed)
			if c.seat == st {
				c.pump()
			}
		}
		m := c.w.workers[d.Machine]
		if c.w.p.copies {
			c.w.repeatOf(func() { m.direct(d.Token, d.Session, d.Commands, func(*model.Report, bool) {}) })
		}
		sent := c.w.now
		c.w.send(c.host, m.host, false, func() {
			if c.w.now-sent > 4*time.Second {
				c.w.saw("a command arrives seconds late")
			}
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
	for _, e := range st.s.TakeEvents() {
		if st.l != nil {
			if c.old || st.l.c.old {
				e.MessageID = model.MessageID{}
				e.Held = e.Held && e.Kind != model.MachineReleased
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
			status, counts, deals := st.s.TakeStatus(now), st.s.TaskCounts(now), st.s.AssignmentsReceived()
			served, known := c.stands.LastServed()
			stateAge := now - served
			toldFor, told := now-c.told.CompleteSince(), []model.JobID(nil)
			told, st.toldTo = c.told.EntriesFrom(st.toldTo)
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
						st.c.vouch.SetPropagated(now - age)
						if !st.c.old && !l.c.old {
							st.c.vouch.SetInDoubtKnown(now - told)
							st.c.doubt = doubt
						}
						st.grants = append(st.grants, ln)
						st.c.el.Promise(st.c.now() + promise)
						st.s.SetGrant(now + d - d/500 - 50*time.Millisecond)
					})
				}
				l.d.UpdateStatus(ln, st.id, status, counts, deals)
				l.deal()
			})
		}
		if st.l != nil {
			return
		}
	}
	c.join()
}

func (c *ctl) onReport(r *model.Report, answer func(bool, uint64, []model.Command, string)) {
	if !c.up {
		return
	}
	life := c.life
	keeper := ""
	try := func() bool {
		now := c.now()
		if !c.up || c.life != life || c.seat == nil || !c.seat.s.HasGrant(now) {
			return false
		}
		s := c.seat.s
		ok := s.HandleReport(now, r)
		if c.lead != nil {
			c.lead.deal()
			if !ok {
				ok = s.HandleReport(now, r)
			}
		}
		if !ok {
			keeper = s.TakeRedirect(r.Machine.ID)
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

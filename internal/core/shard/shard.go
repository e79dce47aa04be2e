// Package shard places tasks on the machines that one controller owns:
// placement where there is room, payback eviction, demotion, and the commands
// that carry it out. It is a state machine: every input comes with the steady
// clock's time, outputs are collected and taken away.
package shard

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Params of a shard.
type Params struct {
	SureLease    time.Duration // a worker not answered for so long holds nothing
	Report       time.Duration
	Sample       int           // machines sampled for a victim
	PaybackLimit time.Duration // no eviction pays back later than this
	DemoteStep   float64       // a task that found no victim has its price divided by this
	DoubtPause   time.Duration // no direct commands for so long after one went unanswered
	MaxDirect    int           // direct commands under way at once
}

// Direct is a command to be sent straight to a worker. Its outcome comes back
// through DirectDone.
type Direct struct {
	ID       uint64
	Machine  model.MachineID
	Addr     string
	Token    uint64
	Session  uint64
	Commands []model.Command
}

type key struct {
	task    model.Task
	attempt uint64
}

type slotState uint8

const (
	starting slotState = iota // not seen on the worker yet
	live
	exited // seen exited, not cleared yet
)

// slot is an attempt that is, or may be, on a machine.
type slot struct {
	key
	t        *task // nil: an attempt that nobody here holds
	each     model.Resources
	state    slotState
	stage    model.Stage
	sent     bool
	sentSeq  uint64 // the report in whose answer the launch last went out
	direct   int    // direct commands in flight that carry the launch
	doubt    uint64 // token of a direct launch that went unanswered
	stop     bool
	grace    time.Duration
	hardAt   time.Duration // a saving task is ended then
	clear    bool
	alien    bool          // found, and not adopted
	runSince time.Duration // first seen running
}

// ran is how long the attempt has been seen running.
func (sl *slot) ran(now time.Duration) time.Duration {
	if sl.runSince == 0 {
		return 0
	}
	return now - sl.runSince
}

type machine struct {
	model.Machine
	token, shown uint64
	first        uint64 // the token whose showing fences the worker
	fenced       bool
	usable       bool
	session, seq uint64
	answered     time.Duration
	silent       bool
	told         time.Duration // silence last told to the dealer
	slots        map[key]*slot
	used         model.Resources // of all slots not exited, reservations included
	images       map[model.Name]bool
	noticeAt     time.Duration // 0: none
	inFlight     int
	quietUntil   time.Duration
	needToken    bool
	idleSince    time.Duration
	errors       []jobError
	badUntil     time.Duration
	wake         bool                // has commands that should go out directly
	roomier      bool                // has had room freed since waiting tasks were placed
	last         model.MachineStatus // as last told to the dealer
}

type jobError struct {
	job model.JobID
	at  time.Duration
}

type task struct {
	model.Deal
	price  float64 // after demotions
	on     *machine
	slot   *slot
	queued time.Duration
	// recalled: give it back instead of placing it again.
	recalled bool
}

type group struct {
	job       model.JobID
	zone      model.Name
	spec      *model.Spec
	price     float64
	since     time.Duration
	tasks     []*task
	nextEvict time.Duration
}

type groupKey struct {
	job  model.JobID
	zone model.Name
}

// inFlight is a direct command under way, with the launches it carries.
type inFlight struct {
	m        *machine
	launched []*slot
}

// Shard is the state machine.
type Shard struct {
	p        Params
	rng      *rand.Rand
	until    time.Duration
	attempt  uint64
	directID uint64
	machines map[model.MachineID]*machine
	order    []*machine // by id, so that decisions repeat under one seed
	tasks    map[model.Task]*task
	queue    map[groupKey]*group
	pending  map[uint64]inFlight
	open     map[model.JobID]bool // the leader's picture of the open jobs, nil: not told yet
	ranked   []*group             // of queue, by score when all were last placed
	replan   bool                 // more than machines' room has changed since
	roomier  []*machine
	running  map[model.JobID]int // as last counted
	counted  time.Duration
	deals    uint64
	moved    map[model.MachineID]string
	images   map[model.MachineID]map[model.Name]bool // remembered
	events   []model.Event
	directs  []Direct
	Stats    Stats
}

// Stats count what the shard has done.
type Stats struct{ Placed, Evicted, Demoted, Lost, Refused, Errors uint64 }

// New returns a shard without a grant. attempts is the first of a range of
// attempt numbers that are this shard's alone.
func New(p Params, attempts uint64, rng *rand.Rand) *Shard {
	return &Shard{p: p, rng: rng, attempt: attempts, machines: map[model.MachineID]*machine{}, tasks: map[model.Task]*task{},
		queue: map[groupKey]*group{}, pending: map[uint64]inFlight{}, moved: map[model.MachineID]string{}}
}

// Grant lets the shard act until the given time.
func (s *Shard) Grant(until time.Duration) { s.until = until }

// Open takes the leader's picture of the open jobs.
func (s *Shard) Open(jobs map[model.JobID]bool) { s.open = jobs }

// Granted tells whether the shard may act.
func (s *Shard) Granted(now time.Duration) bool { return now < s.until }

// Events takes away what the dealer must be told.
func (s *Shard) Events() []model.Event {
	e := s.events
	s.events = nil
	return e
}

// Directs takes away the commands to send.
func (s *Shard) Directs() []Direct {
	d := s.directs
	s.directs = nil
	return d
}

func (s *Shard) emit(e model.Event) { s.events = append(s.events, e) }

// Order takes an order of the dealer.
func (s *Shard) Order(now time.Duration, o model.Order) {
	switch o.Kind {
	case model.Own:
		s.own(now, o)
	case model.Disown:
		if m := s.machines[o.ID]; m != nil {
			s.loseAll(now, m)
			s.remove(m)
		}
	case model.Use:
		if m := s.machines[o.ID]; m != nil {
			m.usable = o.Usable
			s.replan = true
		}
	case model.Give:
		s.give(now, o.Deal)
	case model.Recall:
		if t := s.tasks[o.Task]; t != nil {
			s.recall(now, t)
		}
	case model.ClearIt:
		if m := s.machines[o.ID]; m != nil {
			if sl := m.slots[key{o.Task, o.Attempt}]; sl != nil {
				sl.clear = true
			}
		}
	case model.KillIt:
		if m := s.machines[o.ID]; m != nil {
			if sl := m.slots[key{o.Task, o.Attempt}]; sl != nil {
				s.stop(now, m, sl, 0)
			}
		}
	case model.EndJob:
		delete(s.open, o.Job)
		s.endJob(now, o.Job)
	case model.Reprice:
		s.reprice(o.Job, o.Price)
	case model.RecallWaiting:
		s.recallWaiting(o.Job, o.Count)
	case model.Release:
		s.letGo(o.ID, o.Keeper)
	case model.Lapse:
		// Only the dealer knows that nobody else has answered the worker; only
		// this shard, that it has not answered it since it said so.
		if m := s.machines[o.ID]; m != nil && m.silent {
			s.loseAll(now, m)
			s.emit(model.Event{Kind: model.Lapsed, Machine: m.ID, Token: m.token})
		}
	}
}

func (s *Shard) recallWaiting(job model.JobID, n int) {
	for k, g := range s.queue {
		if k.job != job {
			continue
		}
		for _, t := range slices.Clone(g.tasks) {
			if n--; n < 0 {
				return
			}
			s.dequeue(t)
			s.release(t, model.CauseStopped)
		}
	}
}

// letGo drops a machine from the books. Its tasks are where they are: the
// dealer waits for the next owner to find them.
func (s *Shard) letGo(id model.MachineID, keeper string) {
	e := model.Event{Kind: model.Released, Machine: id}
	if m := s.machines[id]; m != nil {
		for _, sl := range sorted(m.slots) {
			switch t := sl.t; {
			case t == nil || t.slot != sl:
			case !sl.sent:
				sl.t = nil
				s.release(t, model.CauseStopped)
			default:
				delete(s.tasks, t.Task)
				e.Tasks = append(e.Tasks, t.Task)
			}
		}
		s.remove(m)
		if keeper != "" {
			s.moved[id] = keeper
		}
	}
	s.emit(e)
}

func (s *Shard) remove(m *machine) {
	delete(s.machines, m.ID)
	s.order = slices.DeleteFunc(s.order, func(x *machine) bool { return x == m })
}

// Moved tells where a machine that was let go of should report instead.
// It is told once: a worker that comes back could not go there, and is welcome.
func (s *Shard) Moved(id model.MachineID) string {
	k := s.moved[id]
	delete(s.moved, id)
	return k
}

func (s *Shard) own(now time.Duration, o model.Order) {
	m := s.machines[o.Machine.ID]
	delete(s.moved, o.Machine.ID)
	if m == nil {
		m = &machine{Machine: o.Machine, first: o.Token, answered: now, idleSince: now,
			slots: map[key]*slot{}, images: s.images[o.Machine.ID]}
		if m.images == nil {
			m.images = map[model.Name]bool{}
		}
		s.machines[m.ID] = m
		i, _ := slices.BinarySearchFunc(s.order, m, func(a, b *machine) int { return cmp.Compare(a.ID, b.ID) })
		s.order = slices.Insert(s.order, i, m)
	}
	m.Machine = o.Machine
	m.token = max(m.token, o.Token)
	m.needToken = false
	m.usable = o.Usable
	m.wake = true
	s.replan = true
}

func (s *Shard) give(now time.Duration, d model.Deal) {
	s.deals++
	if s.tasks[d.Task] != nil {
		return
	}
	t := &task{Deal: d, price: d.Price}
	s.tasks[d.Task] = t
	if d.Attempt != 0 {
		m := s.machines[d.Machine]
		if m == nil {
			// The dealer asks no shard to adopt from a machine that it takes
			// away. Placing the task anew could run it twice.
			return
		}
		if sl := m.slots[key{d.Task, d.Attempt}]; sl != nil && sl.state == live {
			sl.t, t.on, t.slot, sl.alien = t, m, sl, false
			if sl.stage == model.Running {
				sl.runSince = now
			}
			m.used = m.used.Sub(sl.each).Add(d.Spec.Each)
			sl.each = d.Spec.Each
			m.images[d.Spec.Image] = true
			return
		}
		// It has exited since it was found.
	}
	s.enqueue(now, t)
}

func (s *Shard) enqueue(now time.Duration, t *task) {
	t.on, t.slot, t.queued = nil, nil, now
	k := groupKey{t.Task.Job, t.Zone}
	g := s.queue[k]
	if g == nil {
		g = &group{job: t.Task.Job, zone: t.Zone, spec: t.Spec, price: t.price, since: t.Since}
		s.queue[k] = g
	}
	g.since = min(g.since, t.Since)
	g.tasks = append(g.tasks, t)
	s.replan = true
}

func (s *Shard) dequeue(t *task) {
	k := groupKey{t.Task.Job, t.Zone}
	if g := s.queue[k]; g != nil {
		g.tasks = slices.DeleteFunc(g.tasks, func(x *task) bool { return x == t })
		if len(g.tasks) == 0 {
			delete(s.queue, k)
		}
	}
}

func (s *Shard) recall(now time.Duration, t *task) {
	t.recalled = true
	if t.on == nil {
		s.dequeue(t)
		s.release(t, model.CauseStopped)
		return
	}
	s.stop(now, t.on, t.slot, graceOf(t.Spec))
}

// release gives a task that is nowhere back to the dealer.
func (s *Shard) release(t *task, c model.Cause) {
	delete(s.tasks, t.Task)
	s.emit(model.Event{Kind: model.Gone, Task: t.Task, Cause: c})
}

func (s *Shard) endJob(now time.Duration, job model.JobID) {
	for k, g := range s.queue {
		if k.job == job {
			delete(s.queue, k)
			for _, t := range g.tasks {
				s.release(t, model.CauseStopped)
			}
			g.tasks = nil
		}
	}
	for _, m := range s.order {
		for k, sl := range m.slots {
			if k.task.Job != job {
				continue
			}
			if sl.t != nil {
				sl.t.recalled = true
			}
			if sl.state == exited {
				sl.clear = true
			} else {
				s.stop(now, m, sl, 0)
			}
		}
	}
}

// reprice changes the price of all of a job's tasks, waiting ones included: a
// task that kept an older, lower price could fall victim to its own job.
func (s *Shard) reprice(job model.JobID, price float64) {
	for k, g := range s.queue {
		if k.job == job {
			g.price = price
		}
	}
	for k, t := range s.tasks {
		if k.Job == job {
			t.price = price
		}
	}
}

// graceOf is the time that a task gets to save, with some room for timers.
func graceOf(sp *model.Spec) time.Duration {
	if sp == nil || sp.Checkpoint == 0 {
		return 0
	}
	return sp.Save + sp.Save/10 + 100*time.Millisecond
}

func (s *Shard) stop(now time.Duration, m *machine, sl *slot, grace time.Duration) {
	if sl.state == exited || sl.stop && grace >= sl.grace {
		return
	}
	if !sl.sent {
		// Never on its way: it is nowhere.
		s.drop(now, m, sl)
		s.landed(now, sl, model.CauseStopped)
		return
	}
	sl.stop, sl.grace = true, grace
	sl.hardAt = now + grace + s.p.Report + 2*time.Second
	m.wake = true
}

// drop removes a slot from its machine's books.
func (s *Shard) drop(now time.Duration, m *machine, sl *slot) {
	if sl.state != exited {
		s.free(m, sl)
	}
	delete(m.slots, sl.key)
	if len(m.slots) == 0 {
		m.idleSince = now
	}
}

// free gives an attempt's room back to its machine.
func (s *Shard) free(m *machine, sl *slot) {
	m.used = m.used.Sub(sl.each)
	if !m.roomier {
		m.roomier = true
		s.roomier = append(s.roomier, m)
	}
}

// landed settles the task of an attempt that is surely not on a machine.
func (s *Shard) landed(now time.Duration, sl *slot, c model.Cause) {
	t := sl.t
	if t == nil || t.slot != sl {
		s.alienGone(sl)
		return
	}
	sl.t = nil
	if t.recalled || c == model.CauseError || c == model.CauseUnknown {
		t.on, t.slot = nil, nil
		s.release(t, c)
		return
	}
	s.enqueue(now, t)
}

func (s *Shard) alienGone(sl *slot) {
	if sl.alien {
		sl.alien = false
		s.emit(model.Event{Kind: model.AlienGone, Task: sl.task, Attempt: sl.attempt})
	}
}

func (s *Shard) loseAll(now time.Duration, m *machine) {
	for _, sl := range sorted(m.slots) {
		s.drop(now, m, sl)
		if sl.t != nil {
			s.Stats.Lost++
		}
		s.landed(now, sl, model.CauseStopped)
	}
}

func sorted(slots map[key]*slot) []*slot {
	out := make([]*slot, 0, len(slots))
	for _, sl := range slots {
		out = append(out, sl)
	}
	slices.SortFunc(out, func(a, b *slot) int {
		return cmp.Or(a.task.Compare(b.task), cmp.Compare(a.attempt, b.attempt))
	})
	return out
}

// Answer to a report.
type Answer struct {
	OK       bool // false: not entitled
	Token    uint64
	Commands []model.Command
}

// Report takes a worker's report and tells whether this shard is entitled to
// answer it.
func (s *Shard) Report(now time.Duration, r *model.Report) bool {
	if !s.Granted(now) {
		return false
	}
	m := s.machines[r.Machine.ID]
	if m == nil {
		if s.moved[r.Machine.ID] != "" {
			return false
		}
		s.emit(model.Event{Kind: model.Unowned, Machine: r.Machine.ID, Report: r})
		return false
	}
	if r.Token > m.token {
		// Somebody has been entitled after us: an answer would be dropped.
		s.emit(model.Event{Kind: model.Superseded, Machine: m.ID, Token: r.Token})
		return false
	}
	if r.Session < m.session {
		return false
	}
	if r.Newer(m.session, m.seq) {
		s.take(now, m, r, true)
	}
	// An older message of the same session was overtaken by the answer to a
	// direct command; it still wants its own answer.
	return true
}

// Answer returns what a report that was taken is answered with. From here the
// worker's lease counts as renewed.
func (s *Shard) Answer(now time.Duration, r *model.Report) Answer {
	m := s.machines[r.Machine.ID]
	if m == nil || !s.Granted(now) {
		return Answer{}
	}
	m.answered = now
	if m.silent {
		m.silent = false
		s.emit(model.Event{Kind: model.Heard, Machine: m.ID})
	}
	cmds := append(s.vet(m, r), s.commands(now, m, r.Seq, false)...)
	// A worker that is not fenced yet shows the token sooner when it is told
	// directly as well.
	m.wake = !m.fenced
	return Answer{OK: true, Token: m.token, Commands: cmds}
}

// vet ends what a worker holds of jobs that are not open. This answer renews
// its lease, so it must not wait for the worker to be fenced, or for the dealer
// to judge what was found: under load, owners that followed each other each
// answered a worker before any of them got that far, and a cancelled task ran on.
func (s *Shard) vet(m *machine, r *model.Report) []model.Command {
	var cmds []model.Command
	if s.open == nil {
		return nil
	}
	for _, c := range r.Cells {
		if c.Stage == model.Exited || s.open[c.Task.Job] {
			continue
		}
		if sl := m.slots[key{c.Task, c.Attempt}]; sl == nil || sl.t == nil && !sl.stop {
			cmds = append(cmds, model.Command{Verb: model.Kill, Task: c.Task, Attempt: c.Attempt})
		}
	}
	return cmds
}

// take brings a machine's books in line with a newer message of its worker.
// isReport tells a report from the answer to a direct command: only a report
// proves that the answer to the report before it has arrived or never will.
func (s *Shard) take(now time.Duration, m *machine, r *model.Report, isReport bool) {
	if r.Session > m.session && m.session != 0 {
		// The worker has killed and forgotten all of its earlier session.
		s.loseAll(now, m)
	}
	m.session, m.seq, m.shown = r.Session, r.Seq, r.Token
	if m.Addr == "" {
		m.Addr = r.Machine.Addr
	}
	if r.Notice >= 0 {
		if m.noticeAt == 0 {
			m.noticeAt = now + r.Notice
		}
	} else {
		m.noticeAt = 0
	}
	if r.Token < m.first {
		// Not fenced: an earlier owner's commands may still take effect.
		m.wake = true
		return
	}
	seen := make(map[key]bool, len(r.Cells))
	for _, c := range r.Cells {
		k := key{c.Task, c.Attempt}
		seen[k] = true
		s.cell(now, m, k, c)
	}
	for _, sl := range sorted(m.slots) {
		if !seen[sl.key] {
			s.absent(now, m, sl, r, isReport)
		}
	}
	if !m.fenced {
		m.fenced = true
		s.replan = true
		s.emit(model.Event{Kind: model.Fenced, Machine: m.ID})
	}
}

func (s *Shard) cell(now time.Duration, m *machine, k key, c model.Cell) {
	sl := m.slots[k]
	if sl == nil {
		sl = &slot{key: k, sent: true, state: live, stage: c.Stage, alien: true}
		m.slots[k] = sl
		if c.Stage == model.Exited {
			sl.state, sl.alien = exited, false
		}
		s.emit(model.Event{Kind: model.Found, Machine: m.ID, Task: k.task, Attempt: k.attempt, Cell: c})
		return
	}
	if sl.state == exited {
		return
	}
	sl.stage = c.Stage
	if c.Stage != model.Exited {
		sl.state = live
		if c.Stage == model.Running && sl.runSince == 0 {
			sl.runSince = now
		}
		return
	}
	s.free(m, sl)
	sl.state = exited
	t := sl.t
	switch c.Cause {
	case model.CauseDone:
		held := t != nil && t.slot == sl
		if held {
			sl.t = nil
			delete(s.tasks, t.Task)
		}
		s.alienGone(sl)
		// Cleared once its completion is stored.
		s.emit(model.Event{Kind: model.Finished, Machine: m.ID, Task: k.task, Attempt: k.attempt, Held: held})
		return
	case model.CauseError:
		s.Stats.Errors++
		s.blame(now, m, k.task.Job)
	case model.CauseNoRoom, model.CauseBusy:
		s.Stats.Refused++
		// Our books were wrong about this machine: let reports catch up.
		m.badUntil = max(m.badUntil, now+s.p.Report)
	}
	sl.clear = true
	m.wake = true
	s.landed(now, sl, c.Cause)
}

// blame notes an error. A machine that fails several jobs is faulty; a job
// that fails on several machines is the dealer's business.
func (s *Shard) blame(now time.Duration, m *machine, job model.JobID) {
	m.errors = slices.DeleteFunc(m.errors, func(e jobError) bool { return now-e.at > 5*time.Minute })
	m.errors = append(m.errors, jobError{job, now})
	jobs := map[model.JobID]bool{}
	for _, e := range m.errors {
		jobs[e.job] = true
	}
	m.badUntil = max(m.badUntil, now+5*time.Second)
	if len(jobs) >= 2 || len(m.errors) >= 4 {
		m.badUntil = now + 2*time.Minute
	}
}

// absent settles a slot that a newer message does not show.
func (s *Shard) absent(now time.Duration, m *machine, sl *slot, r *model.Report, isReport bool) {
	switch sl.state {
	case exited: // cleared
		s.drop(now, m, sl)
	case live: // the worker knew it and knows it no more
		s.drop(now, m, sl)
		s.landed(now, sl, model.CauseStopped)
	case starting:
		if !sl.sent {
			return
		}
		// A direct launch without an answer may yet be executed, until the
		// worker has seen a higher token than it bears. A launch in an answer
		// is over once a later report was made.
		over := sl.direct == 0 && (sl.doubt == 0 || r.Token > sl.doubt) &&
			(sl.sentSeq == 0 || isReport && r.Seq > sl.sentSeq)
		if over && sl.stop {
			s.drop(now, m, sl)
			s.landed(now, sl, model.CauseStopped)
		} else if over {
			sl.sent, sl.doubt, sl.sentSeq = false, 0, 0
		}
	}
}

// commands returns what the worker must be told. They may be repeated until
// its reports show their effect.
func (s *Shard) commands(now time.Duration, m *machine, seq uint64, direct bool) []model.Command {
	if !m.fenced {
		return nil
	}
	var cmds []model.Command
	room := m.Cap
	slots := sorted(m.slots)
	for _, sl := range slots {
		if sl.state != exited && sl.sent {
			room = room.Sub(sl.each)
		}
	}
	for _, sl := range slots {
		switch {
		case sl.state == exited:
			if sl.clear && (sl.doubt == 0 || m.shown > sl.doubt) && sl.direct == 0 {
				cmds = append(cmds, model.Command{Verb: model.Clear, Task: sl.task, Attempt: sl.attempt})
			} else if sl.clear && sl.doubt != 0 {
				s.wantToken(m)
			}
		case sl.stop:
			g := sl.grace
			if sl.stage == model.Saving && now < sl.hardAt && g > 0 {
				continue
			}
			if now >= sl.hardAt {
				g = 0
			}
			if sl.state == starting && sl.doubt != 0 {
				s.wantToken(m)
			}
			cmds = append(cmds, model.Command{Verb: model.Kill, Task: sl.task, Attempt: sl.attempt, Grace: g})
		case sl.state == starting && sl.direct == 0:
			if !sl.sent {
				// A reservation waits until its victims are gone.
				if !sl.each.Fits(room) || !m.usable {
					continue
				}
				room = room.Sub(sl.each)
			}
			sl.sent = true
			if !direct {
				sl.sentSeq = seq
			}
			cmds = append(cmds, model.Command{Verb: model.Launch, Task: sl.task, Attempt: sl.attempt})
		}
	}
	return cmds
}

func (s *Shard) wantToken(m *machine) {
	if !m.needToken && m.token == m.shown {
		m.needToken = true
		s.emit(model.Event{Kind: model.NeedToken, Machine: m.ID})
	}
}

// Flush sends commands that should not wait for the next report.
func (s *Shard) Flush(now time.Duration) {
	if !s.Granted(now) {
		return
	}
	for _, m := range s.order {
		if len(s.pending) >= s.p.MaxDirect {
			return // a thousand at once would all be late
		}
		if !m.wake || m.inFlight > 0 || m.Addr == "" || now < m.quietUntil || m.silent {
			continue
		}
		m.wake = false
		cmds := s.commands(now, m, 0, true)
		if len(cmds) == 0 && m.fenced {
			continue
		}
		s.directID++
		d := Direct{ID: s.directID, Machine: m.ID, Addr: m.Addr, Token: m.token, Session: max(1, m.session), Commands: cmds}
		var launched []*slot
		for _, c := range cmds {
			if c.Verb == model.Launch {
				sl := m.slots[key{c.Task, c.Attempt}]
				sl.direct++
				launched = append(launched, sl)
			}
		}
		s.pending[d.ID] = inFlight{m, launched}
		m.inFlight++
		s.directs = append(s.directs, d)
	}
}

// DirectDone takes the outcome of a direct command: the worker's report after
// it (nil: no answer) and whether it was executed.
func (s *Shard) DirectDone(now time.Duration, d Direct, r *model.Report, executed bool) {
	sent := s.pending[d.ID]
	delete(s.pending, d.ID)
	for _, sl := range sent.launched {
		sl.direct--
		if r == nil {
			// It may be executed minutes later, as long as token and session match.
			sl.doubt = max(sl.doubt, d.Token)
		}
	}
	m := s.machines[d.Machine]
	if m == nil || m != sent.m {
		return // let go of meanwhile
	}
	m.inFlight--
	if r == nil {
		m.quietUntil = now + s.p.DoubtPause
		return
	}
	if !executed && r.Token <= m.token && r.Session >= m.session && !m.fenced {
		m.wake = true // the session was unknown: once more, with it
	}
	if r.Machine.ID != m.ID {
		return
	}
	if r.Token > m.token {
		s.emit(model.Event{Kind: model.Superseded, Machine: m.ID, Token: r.Token})
		return
	}
	if r.Newer(m.session, m.seq) && s.Granted(now) {
		s.take(now, m, r, false)
	}
}

// Tick settles what time alone decides.
func (s *Shard) Tick(now time.Duration) {
	for _, m := range s.order {
		if now-m.answered > s.p.SureLease && (!m.silent || now-m.told > 5*time.Second) {
			// Its lease is over, unless another controller has answered it:
			// the dealer knows.
			m.silent, m.told = true, now
			s.emit(model.Event{Kind: model.Silent, Machine: m.ID, Token: m.token})
		}
		if m.noticeAt != 0 {
			s.evacuate(now, m)
		}
		if s.quiet(now, m) {
			for _, sl := range sorted(m.slots) {
				if !sl.sent {
					s.stop(now, m, sl, 0)
				}
			}
		}
	}
	if s.Granted(now) {
		s.replan = true // machines may have become ready, victims cheap
		s.Place(now)
	}
	// A task pinned to a zone without room goes back, to be pinned anew.
	for _, g := range s.queue {
		if g.zone == model.None {
			continue
		}
		for _, t := range slices.Clone(g.tasks) {
			if now-t.queued > pinPatience {
				s.dequeue(t)
				s.release(t, model.CauseStopped)
			}
		}
	}
}

const pinPatience = 15 * time.Second

// quiet tells whether a worker's report is overdue: nothing new goes there.
func (s *Shard) quiet(now time.Duration, m *machine) bool {
	return now-m.answered > s.p.Report*5/2+500*time.Millisecond
}

// evacuate moves tasks off a machine that will be taken: those that save, just
// in time; those that would not finish, at once.
func (s *Shard) evacuate(now time.Duration, m *machine) {
	for _, sl := range sorted(m.slots) {
		if sl.t == nil || sl.state == exited || sl.stop {
			continue
		}
		sp := sl.t.Spec
		if !sl.sent {
			s.stop(now, m, sl, 0)
			continue
		}
		left := m.noticeAt - now
		switch {
		case sp.Checkpoint > 0 || sp.Daemon:
			// The notice may be half its nominal value: do not cut it fine.
			if left/2 < graceOf(sp)+s.p.Report {
				s.stop(now, m, sl, graceOf(sp))
			}
		case sl.stage == model.Fetching || sp.Estimate-sl.ran(now) > left:
			s.stop(now, m, sl, 0)
		}
	}
}

// Status summarises the machines whose summary has changed since it was last
// asked for.
func (s *Shard) Status(now time.Duration) []model.MachineStatus {
	var out []model.MachineStatus
	for _, m := range s.order {
		st := model.MachineStatus{Machine: m.Machine, Avail: m.Cap.Sub(m.used), Ready: s.ready(now, m),
			Draining: m.noticeAt != 0, Slots: len(m.slots), IdleSince: m.idleSince, Bad: now < m.badUntil}
		if st != m.last {
			m.last = st
			out = append(out, st)
		}
	}
	return out
}

// Waiting returns how many tasks wait, and what they ask for together.
func (s *Shard) Waiting() (int, model.Resources) {
	n, sum := 0, model.Resources{}
	for _, g := range s.queue {
		n += len(g.tasks)
		sum = sum.Add(g.spec.Each.Times(int64(len(g.tasks))))
	}
	return n, sum
}

// Images tells, for each of the shard's machines, the images that it has been
// given tasks for.
func (s *Shard) Images() map[model.MachineID]map[model.Name]bool {
	out := make(map[model.MachineID]map[model.Name]bool, len(s.order))
	for _, m := range s.order {
		out[m.ID] = m.images
	}
	return out
}

// Remember takes what the controller's shard of an earlier term knew of images:
// a hint for placing, which the machines keep when a leader is lost.
func (s *Shard) Remember(images map[model.MachineID]map[model.Name]bool) { s.images = images }

// Owns tells whether the machine is this shard's.
func (s *Shard) Owns(id model.MachineID) bool { return s.machines[id] != nil }

// Deals counts the deals received.
func (s *Shard) Deals() uint64 { return s.deals }

// Jobs counts the waiting and the running tasks of each job. The running ones,
// which are for display only, are counted once a second.
func (s *Shard) Jobs(now time.Duration) map[model.JobID]model.JobCount {
	if s.running == nil || now-s.counted >= time.Second {
		s.running, s.counted = map[model.JobID]int{}, now
		for _, m := range s.order {
			for k, sl := range m.slots {
				if sl.t != nil && sl.state == live && sl.stage == model.Running {
					s.running[k.task.Job]++
				}
			}
		}
	}
	out := make(map[model.JobID]model.JobCount, len(s.running))
	for id, n := range s.running {
		out[id] = model.JobCount{Running: n}
	}
	for k, g := range s.queue {
		c := out[k.job]
		c.Waiting += len(g.tasks)
		out[k.job] = c
	}
	return out
}

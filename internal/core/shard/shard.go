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
	MaxLease         time.Duration // a worker not answered for so long holds nothing
	ReportInterval   time.Duration
	VictimSample     int           // machines sampled for a victim
	PaybackLimit     time.Duration // no eviction pays back later than this
	DemotionStep     float64       // a task that found no victim has its price divided by this
	DirectRetryDelay time.Duration // no direct commands for so long after one went unanswered
}

type task struct {
	model.Assignment
	price  float64 // after demotions
	slot   *slot   // nil: it waits
	queued time.Duration
	// recalled: give it back instead of placing it again.
	recalled bool
	told     bool // the dealer was told that it is out of work
}

// on is the machine that the task is on, or reserved for; nil: it waits.
func (t *task) on() *machine {
	if t.slot == nil {
		return nil
	}
	return t.slot.m
}

type group struct {
	job       model.JobID
	zone      model.Name
	spec      *model.Spec
	price     float64
	worth     float64 // its score as groups were last ranked
	since     time.Duration
	tasks     []*task
	nextEvict time.Duration
}

type groupKey struct {
	job  model.JobID
	zone model.Name
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
	firsts   map[model.JobID]time.Duration // jobs that should have begun, until when that holds
	asking   int                           // of pending: questions whether a worker hears
	open     map[model.JobID]bool          // the leader's picture of the open jobs, nil: not told yet
	ranked   []*group                      // of queue, by score when all were last placed
	replan   bool                          // more than machines' room has changed since
	roomier  []*machine
	round    uint64              // of placing, from 1
	prey     []preyAt            // of the last round: its room is used again
	running  map[model.JobID]int // as last counted
	ofJob    map[model.JobID][]*slot
	takes    uint64 // reports taken
	counted  time.Duration
	deals    uint64
	moved    map[model.MachineID]string
	images   map[model.MachineID]map[model.Name]bool // remembered
	tells    bool                                    // the dealer wants to know what is out of work
	records  map[model.JobID]*record                 // of jobs that have failed
	events   []model.Event
	directs  []DirectCommand
	Stats    Stats
	// rehearsal is told what is placed and stopped; nil where the shard acts.
	rehearsal *Simulation
}

// New returns a shard without a grant. attempts is the first of a range of
// attempt numbers that are this shard's alone.
func New(p Params, attempts uint64, rng *rand.Rand) *Shard {
	return &Shard{p: p, rng: rng, attempt: attempts, round: 1, machines: map[model.MachineID]*machine{},
		tasks: map[model.Task]*task{}, queue: map[groupKey]*group{}, ofJob: map[model.JobID][]*slot{},
		pending: map[uint64]inFlight{}, moved: map[model.MachineID]string{}, records: map[model.JobID]*record{}}
}

// ReportInterruptions has the dealer told of tasks that are out of work, and when they run again.
func (s *Shard) ReportInterruptions(on bool) { s.tells = on }

// SetGrant lets the shard act until the given time.
func (s *Shard) SetGrant(until time.Duration) { s.until = until }

// SetOpenJobs takes the leader's picture of the open jobs.
func (s *Shard) SetOpenJobs(jobs map[model.JobID]bool) { s.open = jobs }

// HasGrant tells whether the shard may act.
func (s *Shard) HasGrant(now time.Duration) bool { return now < s.until }

// TakeEvents takes away what the dealer must be told.
func (s *Shard) TakeEvents() []model.Event {
	e := s.events
	s.events = nil
	return e
}

func (s *Shard) emit(e model.Event) { s.events = append(s.events, e) }

// HandleOrder takes an order of the dealer.
func (s *Shard) HandleOrder(now time.Duration, o model.Order) {
	switch o.Kind {
	case model.OwnMachine:
		s.own(now, o)
	case model.RemoveMachine:
		if m := s.machines[o.ID]; m != nil {
			s.loseAll(now, m)
			s.remove(m)
		}
	case model.SetUsable:
		if m := s.machines[o.ID]; m != nil {
			m.usable = o.Usable
			s.replan = true
			if !o.Usable {
				s.unreserve(now, m)
			}
		}
	case model.AssignTask:
		s.give(now, o.Assignment)
	case model.RecallTask:
		if t := s.tasks[o.Task]; t != nil && (o.ID == 0 || t.on() != nil && t.on().ID == o.ID) {
			s.recall(now, t)
		}
	case model.InspectMachine:
		s.lookAt(now, o)
	case model.ClearAttempt:
		if m := s.machines[o.ID]; m != nil {
			if sl := m.slots.get(key{o.Task, o.Attempt}); sl != nil {
				sl.clear = true
			}
		}
	case model.KillAttempt:
		if m := s.machines[o.ID]; m != nil {
			if sl := m.slots.get(key{o.Task, o.Attempt}); sl != nil {
				s.stop(now, sl, 0)
			}
		}
	case model.EndJob:
		delete(s.open, o.Job)
		delete(s.records, o.Job)
		s.pressed(o.Job)
		s.endJob(now, o.Job)
	case model.RepriceJob:
		s.reprice(o.Job, o.Price, o.Objective)
	case model.RecallWaitingTasks:
		s.recallWaiting(o.Job, o.Count)
	case model.ReleaseMachine:
		if m := s.machines[o.ID]; m != nil && m.fenced && o.Session != 0 &&
			(model.MessageID{Session: m.session, Seq: m.reported}).AtLeast(o.MessageID) {
			// What came in elsewhere was a copy: the worker reports here.
			s.stale(now, m)
			s.emit(model.Event{Kind: model.MachineKept, Machine: o.ID})
			return
		}
		s.letGo(o.ID, o.RedirectTo)
	case model.ExpediteJob:
		s.press(now, o.Job)
	case model.RedirectWorker:
		if s.machines[o.ID] == nil {
			s.moved[o.ID] = o.RedirectTo
		}
	case model.ConfirmLeaseExpiry:
		// Only the dealer knows that nobody else has answered the worker; only
		// this shard, that it has not answered it since it said so.
		if m := s.machines[o.ID]; m != nil && m.leaseExpired {
			s.lapse(now, m)
		}
	}
}

// unreserve takes tasks back that are not on their way to a machine yet: nothing
// is launched there any more.
func (s *Shard) unreserve(now time.Duration, m *machine) {
	for _, sl := range slices.Clone(m.slots) {
		if !sl.sent {
			s.stop(now, sl, 0)
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
	e := model.Event{Kind: model.MachineReleased, Machine: id}
	if m := s.machines[id]; m != nil {
		e.Held = !m.spoke && !m.fenced // it launched nothing either, and renewed nothing
		for _, sl := range slices.Clone(m.slots) {
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
	for _, sl := range m.slots {
		s.unlist(sl)
	}
	m.slots = nil
	s.order = slices.DeleteFunc(s.order, func(x *machine) bool { return x == m })
}

// TakeRedirect tells where a machine that was let go of should report instead.
// It is told once: a worker that comes back could not go there, and is welcome.
func (s *Shard) TakeRedirect(id model.MachineID) string {
	k := s.moved[id]
	delete(s.moved, id)
	return k
}

func (s *Shard) own(now time.Duration, o model.Order) {
	m := s.machines[o.Machine.ID]
	delete(s.moved, o.Machine.ID)
	if m == nil {
		m = &machine{Machine: o.Machine, first: o.Token, answered: now, idleSince: now,
			images: s.images[o.Machine.ID], anew: true, reachability: reachability{unproven: o.VerifyFirst}}
		if o.VerifyFirst { // this shard does not answer it before it is shown to hear
			m.answered = now - s.p.MaxLease
		}
		if m.images == nil {
			m.images = map[model.Name]bool{}
		}
		s.machines[m.ID] = m
		i, _ := slices.BinarySearchFunc(s.order, m, func(a, b *machine) int { return cmp.Compare(a.ID, b.ID) })
		s.order = slices.Insert(s.order, i, m)
	}
	s.replan = s.replan || !m.fenced || m.Machine != o.Machine || m.usable != o.Usable || m.needToken
	m.anew = m.anew || m.Machine != o.Machine
	m.Machine = o.Machine
	if o.Token > m.token {
		m.token, m.tokenSent = o.Token, false
	}
	m.needToken = false
	if m.refence {
		m.refence, m.first, m.tokenOffered = false, o.Token, 0
	}
	m.usable = o.Usable
	m.wake, m.patient = true, 0
}

func (s *Shard) give(now time.Duration, d model.Assignment) {
	s.deals++
	if s.tasks[d.Task] != nil {
		return
	}
	t := &task{Assignment: d, price: d.Price, told: d.Redispatched}
	s.tasks[d.Task] = t
	if d.Attempt != 0 {
		m := s.machines[d.Machine]
		if m == nil {
			// The dealer asks no shard to adopt from a machine that it takes
			// away. Placing the task anew could run it twice.
			return
		}
		if sl := m.slots.get(key{d.Task, d.Attempt}); sl != nil && sl.state == live {
			sl.t, t.slot, sl.stray = t, sl, false
			m.priced = false
			sl.adopted, sl.unchecked = true, !d.WithinLimits
			if sl.stage == model.Running {
				sl.runSince = now
			}
			m.used = m.used.Sub(sl.each).Add(d.Spec.PerTask)
			sl.each = d.Spec.PerTask
			m.images[d.Spec.Image] = true
			return
		}
		// It is nowhere since it was found. It was charged to be adopted, not to be started.
		s.release(t, model.CauseStopped)
		return
	}
	s.enqueue(now, t)
}

func (s *Shard) enqueue(now time.Duration, t *task) {
	t.slot, t.queued = nil, now
	k := groupKey{t.Task.Job, t.Zone}
	g := s.queue[k]
	if g == nil {
		g = &group{job: t.Task.Job, zone: t.Zone, spec: t.Spec, price: t.price, since: t.WaitingSince}
		s.queue[k] = g
	}
	g.since = min(g.since, t.WaitingSince)
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
	if t.slot == nil {
		s.dequeue(t)
		s.release(t, model.CauseStopped)
		return
	}
	s.stop(now, t.slot, graceOf(t.Spec))
}

// release gives a task that is nowhere back to the dealer.
func (s *Shard) release(t *task, c model.Cause) {
	delete(s.tasks, t.Task)
	e := model.Event{Kind: model.TaskReturned, Task: t.Task, Cause: c}
	if m := t.on(); m != nil {
		e.Machine = m.ID
	}
	t.slot = nil
	s.emit(e)
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
	for _, sl := range s.attempts(job) {
		if sl.t != nil {
			sl.t.recalled = true
		}
		if sl.state == exited {
			sl.clear = true
		} else {
			s.stop(now, sl, 0)
		}
	}
}

// reprice changes the price of all of a job's tasks, waiting ones included: a
// task that kept an older, lower price could fall victim to its own job.
func (s *Shard) reprice(job model.JobID, price float64, aim model.Objective) {
	var was, is *model.Spec
	spec := func(sp *model.Spec) *model.Spec {
		if aim == model.ObjectiveUnchanged || sp.BestEffort == (aim == model.NoObjective) {
			return sp
		}
		if sp != was { // others hold the one of before
			c := *sp
			c.BestEffort = !c.BestEffort
			was, is = sp, &c
		}
		return is
	}
	for k, g := range s.queue {
		if k.job == job {
			g.price, g.spec = price, spec(g.spec)
			for _, t := range g.tasks {
				t.price, t.Spec = price, spec(t.Spec)
			}
		}
	}
	for _, sl := range s.ofJob[job] {
		if sl.t != nil {
			sl.t.price, sl.t.Spec = price, spec(sl.t.Spec)
			sl.m.priced = false
		}
	}
}

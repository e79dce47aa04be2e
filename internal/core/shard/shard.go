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
	price    float64  // after demotions
	attempt  *attempt // nil: it waits
	queuedAt time.Duration
	// recalled: give it back instead of placing it again.
	recalled             bool
	interruptionReported bool // the dealer was told that it is out of work
}

// machine is the machine that the task is on, or reserved for; nil: it waits.
func (t *task) machine() *machine {
	if t.attempt == nil {
		return nil
	}
	return t.attempt.machine
}

type waitingGroup struct {
	job          model.JobID
	zone         model.Name
	spec         *model.Spec
	price        float64
	rankedScore  float64 // its score as groups were last ranked
	waitingSince time.Duration
	tasks        []*task
	nextEviction time.Duration
}

type groupKey struct {
	job  model.JobID
	zone model.Name
}

// Shard is the state machine.
type Shard struct {
	params               Params
	rng                  *rand.Rand
	grantedUntil         time.Duration
	lastAttempt          uint64
	lastDirectID         uint64
	machines             map[model.MachineID]*machine
	sortedMachines       []*machine // by id, so that decisions repeat under one seed
	tasks                map[model.Task]*task
	waiting              map[groupKey]*waitingGroup
	pendingCommands      map[uint64]pendingCommand
	expedited            map[model.JobID]time.Duration // jobs that should have begun, until when that holds
	pendingProbes        int                           // of pending: questions whether a worker hears
	openJobs             map[model.JobID]bool          // the leader's picture of the open jobs, nil: not told yet
	rankedGroups         []*waitingGroup               // of queue, by score when all were last placed
	replanAll            bool                          // more than machines' room has changed since
	freedMachines        []*machine
	round                uint64              // of placing, from 1
	victimMachines       []victimMachine     // of the last round: its room is used again
	runningCounts        map[model.JobID]int // as last counted
	attemptsByJob        map[model.JobID][]*attempt
	messagesApplied      uint64 // reports taken
	runningCountedAt     time.Duration
	assignmentsReceived  uint64
	redirects            map[model.MachineID]string
	rememberedImages     map[model.MachineID]map[model.Name]bool // remembered
	reportsInterruptions bool                                    // the dealer wants to know what is out of work
	failures             map[model.JobID]*jobFailures            // of jobs that have failed
	events               []model.Event
	directCommands       []DirectCommand
	Stats                Stats
	// simulation is told what is placed and stopped; nil where the shard acts.
	simulation *Simulation
}

// New returns a shard without a grant. attempts is the first of a range of
// attempt numbers that are this shard's alone.
func New(params Params, firstAttempt uint64, rng *rand.Rand) *Shard {
	return &Shard{params: params, rng: rng, lastAttempt: firstAttempt, round: 1, machines: map[model.MachineID]*machine{},
		tasks: map[model.Task]*task{}, waiting: map[groupKey]*waitingGroup{}, attemptsByJob: map[model.JobID][]*attempt{},
		pendingCommands: map[uint64]pendingCommand{}, redirects: map[model.MachineID]string{},
		failures: map[model.JobID]*jobFailures{}}
}

// ReportInterruptions has the dealer told of tasks that are out of work, and when they run again.
func (s *Shard) ReportInterruptions(on bool) { s.reportsInterruptions = on }

// SetGrant lets the shard act until the given time.
func (s *Shard) SetGrant(until time.Duration) { s.grantedUntil = until }

// SetOpenJobs takes the leader's picture of the open jobs.
func (s *Shard) SetOpenJobs(jobs map[model.JobID]bool) { s.openJobs = jobs }

// HasGrant tells whether the shard may act.
func (s *Shard) HasGrant(now time.Duration) bool { return now < s.grantedUntil }

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
		s.ownMachine(now, o)
	case model.RemoveMachine:
		if m := s.machines[o.ID]; m != nil {
			s.loseAllAttempts(now, m)
			s.removeMachine(m)
		}
	case model.SetUsable:
		if m := s.machines[o.ID]; m != nil {
			m.usable = o.Usable
			s.replanAll = true
			if !o.Usable {
				s.cancelUnsent(now, m)
			}
		}
	case model.AssignTask:
		s.acceptAssignment(now, o.Assignment)
	case model.RecallTask:
		if t := s.tasks[o.Task]; t != nil && (o.ID == 0 || t.machine() != nil && t.machine().ID == o.ID) {
			s.recallTask(now, t)
		}
	case model.InspectMachine:
		s.inspect(now, o)
	case model.ClearAttempt:
		if m := s.machines[o.ID]; m != nil {
			if a := m.attempts.get(attemptKey{o.Task, o.Attempt}); a != nil {
				a.clearable = true
			}
		}
	case model.KillAttempt:
		if m := s.machines[o.ID]; m != nil {
			if a := m.attempts.get(attemptKey{o.Task, o.Attempt}); a != nil {
				s.stopAttempt(now, a, 0)
			}
		}
	case model.EndJob:
		delete(s.openJobs, o.Job)
		delete(s.failures, o.Job)
		s.endExpedite(o.Job)
		s.endJob(now, o.Job)
	case model.RepriceJob:
		s.repriceJob(o.Job, o.Price, o.Objective)
	case model.RecallWaitingTasks:
		s.recallWaiting(o.Job, o.Count)
	case model.ReleaseMachine:
		if m := s.machines[o.ID]; m != nil && m.fenced && o.Session != 0 &&
			(model.MessageID{Session: m.session, Seq: m.reportSeq}).AtLeast(o.MessageID) {
			// What came in elsewhere was a copy: the worker reports here.
			s.handleStaleReport(now, m)
			s.emit(model.Event{Kind: model.MachineKept, Machine: o.ID})
			return
		}
		s.releaseMachine(o.ID, o.RedirectTo)
	case model.ExpediteJob:
		s.expedite(now, o.Job)
	case model.RedirectWorker:
		if s.machines[o.ID] == nil {
			s.redirects[o.ID] = o.RedirectTo
		}
	case model.ConfirmLeaseExpiry:
		// Only the dealer knows that nobody else has answered the worker; only
		// this shard, that it has not answered it since it said so.
		if m := s.machines[o.ID]; m != nil && m.leaseExpired {
			s.confirmLeaseExpiry(now, m)
		}
	}
}

// cancelUnsent takes tasks back that are not on their way to a machine yet: nothing
// is launched there any more.
func (s *Shard) cancelUnsent(now time.Duration, m *machine) {
	for _, a := range slices.Clone(m.attempts) {
		if !a.launchSent {
			s.stopAttempt(now, a, 0)
		}
	}
}

func (s *Shard) recallWaiting(job model.JobID, count int) {
	for k, g := range s.waiting {
		if k.job != job {
			continue
		}
		for _, t := range slices.Clone(g.tasks) {
			if count--; count < 0 {
				return
			}
			s.dequeue(t)
			s.returnTask(t, model.CauseStopped)
		}
	}
}

// releaseMachine drops a machine from the books. Its tasks are where they are: the
// dealer waits for the next owner to find them.
func (s *Shard) releaseMachine(machineID model.MachineID, redirectTo string) {
	event := model.Event{Kind: model.MachineReleased, Machine: machineID}
	if m := s.machines[machineID]; m != nil {
		event.Held = !m.everAnswered && !m.fenced // it launched nothing either, and renewed nothing
		for _, a := range slices.Clone(m.attempts) {
			switch t := a.assigned; {
			case t == nil || t.attempt != a:
			case !a.launchSent:
				a.assigned = nil
				s.returnTask(t, model.CauseStopped)
			default:
				delete(s.tasks, t.Task)
				event.Tasks = append(event.Tasks, t.Task)
			}
		}
		s.removeMachine(m)
		if redirectTo != "" {
			s.redirects[machineID] = redirectTo
		}
	}
	s.emit(event)
}

func (s *Shard) removeMachine(m *machine) {
	delete(s.machines, m.ID)
	for _, a := range m.attempts {
		s.removeFromJob(a)
	}
	m.attempts = nil
	s.sortedMachines = slices.DeleteFunc(s.sortedMachines, func(x *machine) bool { return x == m })
}

// TakeRedirect tells where a machine that was let go of should report instead.
// It is told once: a worker that comes back could not go there, and is welcome.
func (s *Shard) TakeRedirect(id model.MachineID) string {
	target := s.redirects[id]
	delete(s.redirects, id)
	return target
}

func (s *Shard) ownMachine(now time.Duration, o model.Order) {
	m := s.machines[o.Machine.ID]
	delete(s.redirects, o.Machine.ID)
	if m == nil {
		m = &machine{Machine: o.Machine, fencingToken: o.Token, answeredAt: now, idleSince: now,
			images: s.rememberedImages[o.Machine.ID], summaryChanged: true,
			reachability: reachability{needsVerification: o.VerifyFirst}}
		if o.VerifyFirst { // this shard does not answer it before it is shown to hear
			m.answeredAt = now - s.params.MaxLease
		}
		if m.images == nil {
			m.images = map[model.Name]bool{}
		}
		s.machines[m.ID] = m
		i, _ := slices.BinarySearchFunc(s.sortedMachines, m, func(a, b *machine) int { return cmp.Compare(a.ID, b.ID) })
		s.sortedMachines = slices.Insert(s.sortedMachines, i, m)
	}
	s.replanAll = s.replanAll || !m.fenced || m.Machine != o.Machine || m.usable != o.Usable || m.tokenNeeded
	m.summaryChanged = m.summaryChanged || m.Machine != o.Machine
	m.Machine = o.Machine
	if o.Token > m.token {
		m.token, m.tokenSent = o.Token, false
	}
	m.tokenNeeded = false
	if m.refence {
		m.refence, m.fencingToken, m.tokenOfferedAt = false, o.Token, 0
	}
	m.usable = o.Usable
	m.needsFlush, m.directNotBefore = true, 0
}

func (s *Shard) acceptAssignment(now time.Duration, assignment model.Assignment) {
	s.assignmentsReceived++
	if s.tasks[assignment.Task] != nil {
		return
	}
	t := &task{Assignment: assignment, price: assignment.Price, interruptionReported: assignment.Redispatched}
	s.tasks[assignment.Task] = t
	if assignment.Attempt != 0 {
		m := s.machines[assignment.Machine]
		if m == nil {
			// The dealer asks no shard to adopt from a machine that it takes
			// away. Placing the task anew could run it twice.
			return
		}
		if a := m.attempts.get(attemptKey{assignment.Task, assignment.Attempt}); a != nil && a.state == live {
			a.assigned, t.attempt, a.notAdopted = t, a, false
			m.minPriceValid = false
			a.adopted, a.limitsUnchecked = true, !assignment.WithinLimits
			if a.stage == model.Running {
				a.runningSince = now
			}
			m.used = m.used.Sub(a.resources).Add(assignment.Spec.PerTask)
			a.resources = assignment.Spec.PerTask
			m.images[assignment.Spec.Image] = true
			return
		}
		// It is nowhere since it was found. It was charged to be adopted, not to be started.
		s.returnTask(t, model.CauseStopped)
		return
	}
	s.enqueue(now, t)
}

func (s *Shard) enqueue(now time.Duration, t *task) {
	t.attempt, t.queuedAt = nil, now
	k := groupKey{t.Task.Job, t.Zone}
	g := s.waiting[k]
	if g == nil {
		g = &waitingGroup{job: t.Task.Job, zone: t.Zone, spec: t.Spec, price: t.price, waitingSince: t.WaitingSince}
		s.waiting[k] = g
	}
	g.waitingSince = min(g.waitingSince, t.WaitingSince)
	g.tasks = append(g.tasks, t)
	s.replanAll = true
}

func (s *Shard) dequeue(t *task) {
	k := groupKey{t.Task.Job, t.Zone}
	if g := s.waiting[k]; g != nil {
		g.tasks = slices.DeleteFunc(g.tasks, func(x *task) bool { return x == t })
		if len(g.tasks) == 0 {
			delete(s.waiting, k)
		}
	}
}

func (s *Shard) recallTask(now time.Duration, t *task) {
	t.recalled = true
	if t.attempt == nil {
		s.dequeue(t)
		s.returnTask(t, model.CauseStopped)
		return
	}
	s.stopAttempt(now, t.attempt, checkpointGrace(t.Spec))
}

// returnTask gives a task that is nowhere back to the dealer.
func (s *Shard) returnTask(t *task, cause model.Cause) {
	delete(s.tasks, t.Task)
	event := model.Event{Kind: model.TaskReturned, Task: t.Task, Cause: cause}
	if m := t.machine(); m != nil {
		event.Machine = m.ID
	}
	t.attempt = nil
	s.emit(event)
}

func (s *Shard) endJob(now time.Duration, job model.JobID) {
	for k, g := range s.waiting {
		if k.job == job {
			delete(s.waiting, k)
			for _, t := range g.tasks {
				s.returnTask(t, model.CauseStopped)
			}
			g.tasks = nil
		}
	}
	for _, a := range s.sortedAttempts(job) {
		if a.assigned != nil {
			a.assigned.recalled = true
		}
		if a.state == exited {
			a.clearable = true
		} else {
			s.stopAttempt(now, a, 0)
		}
	}
}

// repriceJob changes the price of all of a job's tasks, waiting ones included: a
// task that kept an older, lower price could fall victim to its own job.
func (s *Shard) repriceJob(job model.JobID, price float64, objective model.Objective) {
	var oldSpec, newSpec *model.Spec
	withObjective := func(spec *model.Spec) *model.Spec {
		if objective == model.ObjectiveUnchanged || spec.BestEffort == (objective == model.NoObjective) {
			return spec
		}
		if spec != oldSpec { // others hold the one of before
			changed := *spec
			changed.BestEffort = !changed.BestEffort
			oldSpec, newSpec = spec, &changed
		}
		return newSpec
	}
	for k, g := range s.waiting {
		if k.job == job {
			g.price, g.spec = price, withObjective(g.spec)
			for _, t := range g.tasks {
				t.price, t.Spec = price, withObjective(t.Spec)
			}
		}
	}
	for _, a := range s.attemptsByJob[job] {
		if a.assigned != nil {
			a.assigned.price, a.assigned.Spec = price, withObjective(a.assigned.Spec)
			a.machine.minPriceValid = false
		}
	}
}

// Package shard places tasks on the machines that one controller owns. It
// decides on placement, eviction and demotion, and issues the commands to the
// workers that carry these out. It gets orders from the leader's dispatcher and
// reports back with events. It acts only while it has a grant, which the leader
// renews. It is a deterministic state machine: each input comes with the time of
// a monotonic clock, and outputs are collected until the caller takes them.
package shard

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Params are a shard's settings.
type Params struct {
	MaxLease         time.Duration // a worker that got no answer for this long has stopped all its tasks
	ReportInterval   time.Duration // between two reports of a worker
	VictimSample     int           // machines examined per eviction
	PaybackLimit     time.Duration // evictions with a longer payback time are not made
	DemotionStep     float64       // divides the price of a group whose victims all exceed PaybackLimit
	DirectRetryDelay time.Duration // pause after a direct command that was not answered
}

// task is a task that is assigned to this shard.
type task struct {
	model.Assignment
	price    float64       // the price that the task was assigned at, or was last repriced to
	attempt  *attempt      // its current attempt; nil: the task waits for a machine
	queuedAt time.Duration // when it last began to wait at this shard
	// recalled tasks are returned to the dispatcher instead of being placed again.
	recalled bool
	// interruptionReported is true from a TaskInterrupted event until the task runs again. A task
	// that is dispatched again after an interruption starts with true.
	interruptionReported bool
}

// machine returns the machine that the task is on or is to be launched on; nil if the task waits.
func (t *task) machine() *machine {
	if t.attempt == nil {
		return nil
	}
	return t.attempt.machine
}

// waitingGroup holds the waiting tasks of one job that are pinned to the same zone, or to none.
type waitingGroup struct {
	job          model.JobID
	zone         model.Name // pinned zone, or None
	spec         *model.Spec
	price        float64       // after demotions
	rankedScore  float64       // score at the last ranking
	waitingSince time.Duration // of the task that has waited longest
	tasks        []*task
	nextEviction time.Duration // no eviction is tried before this time
}

// groupKey identifies a waitingGroup.
type groupKey struct {
	job  model.JobID
	zone model.Name
}

// Shard is the state machine that schedules the machines of one controller.
type Shard struct {
	params               Params
	rng                  *rand.Rand
	grantedUntil         time.Duration // end of the leader's grant
	lastAttempt          uint64        // number of the newest attempt
	lastDirectID         uint64        // ID of the newest direct command
	machines             map[model.MachineID]*machine
	sortedMachines       []*machine // sorted by ID, so that decisions are reproducible under one seed
	tasks                map[model.Task]*task
	waiting              map[groupKey]*waitingGroup
	pendingCommands      map[uint64]pendingCommand     // direct commands without an outcome, by ID
	expedited            map[model.JobID]time.Duration // jobs to start first, and the time until which this holds
	pendingProbes        int                           // number of pendingCommands that are probes
	openJobs             map[model.JobID]bool          // the open jobs according to the leader; nil: not known yet
	rankedGroups         []*waitingGroup               // the waiting groups by score, as of the last placeAll
	replanAll            bool                          // something other than free capacity changed since placeAll
	freedMachines        []*machine                    // machines with capacity freed since the last Place
	round                uint64                        // number of the placement round, from 1
	victimMachines       []victimMachine               // buffer of victimIndex, reused in each round
	runningCounts        map[model.JobID]int           // running tasks per job, as of runningCountedAt
	attemptsByJob        map[model.JobID][]*attempt
	messagesApplied      uint64 // number of messages of fenced workers that were applied
	runningCountedAt     time.Duration
	assignmentsReceived  uint64
	redirects            map[model.MachineID]string              // where workers of other shards' machines should report
	rememberedImages     map[model.MachineID]map[model.Name]bool // from an earlier term, see RestoreImages
	reportsInterruptions bool                                    // the dispatcher wants TaskInterrupted events
	failures             map[model.JobID]*jobFailures            // of jobs with failed tasks
	events               []model.Event                           // for the dispatcher, until TakeEvents
	directCommands       []DirectCommand                         // to be sent, until TakeDirectCommands
	Stats                Stats
	// simulation records what is placed and stopped; nil for a shard with real workers.
	simulation *Simulation
}

// New returns a shard without a grant. Attempt numbers are unique across
// shards: this shard may use a range of its own, which begins after firstAttempt.
func New(params Params, firstAttempt uint64, rng *rand.Rand) *Shard {
	return &Shard{params: params, rng: rng, lastAttempt: firstAttempt, round: 1, machines: map[model.MachineID]*machine{},
		tasks: map[model.Task]*task{}, waiting: map[groupKey]*waitingGroup{}, attemptsByJob: map[model.JobID][]*attempt{},
		pendingCommands: map[uint64]pendingCommand{}, redirects: map[model.MachineID]string{},
		failures: map[model.JobID]*jobFailures{}}
}

// ReportInterruptions sets whether the shard emits an event when a running task is interrupted.
func (s *Shard) ReportInterruptions(on bool) { s.reportsInterruptions = on }

// SetGrant permits the shard to answer workers and to place tasks until the given time.
func (s *Shard) SetGrant(until time.Duration) { s.grantedUntil = until }

// SetOpenJobs sets the open jobs as the leader knows them. A worker's attempts of other jobs are
// killed unless their tasks are assigned to this shard.
func (s *Shard) SetOpenJobs(jobs map[model.JobID]bool) { s.openJobs = jobs }

// HasGrant reports whether the shard may act.
func (s *Shard) HasGrant(now time.Duration) bool { return now < s.grantedUntil }

// TakeEvents returns the collected events for the dispatcher and empties the list.
func (s *Shard) TakeEvents() []model.Event {
	e := s.events
	s.events = nil
	return e
}

// emit adds an event for the dispatcher.
func (s *Shard) emit(e model.Event) { s.events = append(s.events, e) }

// emitAsOwner emits an event about a machine that belongs to the shard's ownership of it.
func (s *Shard) emitAsOwner(m *machine, e model.Event) {
	e.Machine, e.Epoch = m.ID, m.epoch
	s.emit(e)
}

// HandleOrder carries out an order of the dispatcher.
func (s *Shard) HandleOrder(now time.Duration, o model.Order) {
	if s.isStale(&o) {
		s.staleOrder(&o)
		return
	}
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
			// The report that reached another controller is no newer than the newest one here, so
			// it was a replayed copy: the worker still reports to this shard.
			s.handleStaleReport(now, m)
			s.emitAsOwner(m, model.Event{Kind: model.MachineKept})
			return
		}
		s.releaseMachine(&o)
	case model.ExpediteJob:
		s.expedite(now, o.Job)
	case model.RedirectWorker:
		if s.machines[o.ID] == nil {
			s.redirects[o.ID] = o.RedirectTo
		}
	case model.ConfirmLeaseExpiry:
		// Only the dispatcher knows that no other controller has answered the worker. Only this
		// shard knows that it has not answered the worker since it emitted LeaseExpired.
		if m := s.machines[o.ID]; m != nil && m.leaseExpired {
			s.confirmLeaseExpiry(now, m)
		}
	}
}

// cancelUnsent ends the attempts on a machine whose launch has not been sent, because nothing is
// to be launched there any more. Their tasks wait for another machine.
func (s *Shard) cancelUnsent(now time.Duration, m *machine) {
	for _, a := range slices.Clone(m.attempts) {
		if !a.launchSent {
			s.stopAttempt(now, a, 0)
		}
	}
}

// recallWaiting returns up to count waiting tasks of a job to the dispatcher.
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

// releaseMachine stops managing a machine because another shard is to own it. Tasks on the
// machine keep running, and the dispatcher waits for the next owner to find them. Tasks whose
// launch was not sent are returned. The worker is redirected to the order's RedirectTo if that is not
// empty.
func (s *Shard) releaseMachine(o *model.Order) {
	event := model.Event{Kind: model.MachineReleased, Machine: o.ID, Epoch: o.Epoch}
	if m := s.machines[o.ID]; m != nil {
		event.Held = !m.everAnswered && !m.fenced // so this shard neither launched a task there nor renewed the lease
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
		if o.RedirectTo != "" {
			s.redirects[o.ID] = o.RedirectTo
		}
	}
	s.emit(event)
}

// removeMachine deletes a machine and its attempts from the shard's state.
func (s *Shard) removeMachine(m *machine) {
	delete(s.machines, m.ID)
	for _, a := range m.attempts {
		s.removeFromJob(a)
	}
	m.attempts = nil
	s.sortedMachines = slices.DeleteFunc(s.sortedMachines, func(x *machine) bool { return x == m })
}

// TakeRedirect returns where the worker of a released machine should report instead, or "".
// It returns each redirect only once: a worker that reports here again could not reach the
// target, and is then accepted.
func (s *Shard) TakeRedirect(id model.MachineID) string {
	target := s.redirects[id]
	delete(s.redirects, id)
	return target
}

// ownMachine adds a machine to the shard, or updates its description, token and usability if the
// shard owns it already.
func (s *Shard) ownMachine(now time.Duration, o model.Order) {
	m := s.machines[o.Machine.ID]
	delete(s.redirects, o.Machine.ID)
	if m == nil {
		m = &machine{Machine: o.Machine, fencingToken: o.Token, answeredAt: now, idleSince: now,
			images: s.rememberedImages[o.Machine.ID], summaryChanged: true,
			reachability: reachability{needsVerification: o.VerifyFirst}}
		if o.VerifyFirst { // the shard does not answer it yet, and so has not renewed its lease
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
	m.Machine, m.epoch = o.Machine, o.Epoch
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

// acceptAssignment takes over a task that the dispatcher assigned. A task without an attempt
// waits to be placed. A task with an attempt was found on one of the shard's machines and is
// adopted there.
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
			// Not expected: the dispatcher sends no adoption for a machine that it takes away from
			// the shard. The task is not placed again, because it could then run twice.
			return
		}
		if a := m.attempts.get(attemptKey{assignment.Task, assignment.Attempt}); a != nil && a.state == live {
			a.assigned, t.attempt, a.notAdopted = t, a, false
			m.minPriceValid = false
			a.adopted, a.limitsUnchecked = true, !assignment.WithinLimits
			if a.stage == model.Running {
				a.runningSince = now
			}
			s.setResources(a, assignment.Spec.PerTask)
			m.images[assignment.Spec.Image] = true
			return
		}
		// The attempt has ended since it was found. The task was charged to its team in order to
		// be adopted, not to be started again, so the dispatcher decides.
		s.returnTask(t, model.CauseStopped)
		return
	}
	s.enqueue(now, t)
}

// enqueue adds a task to the waiting group of its job and zone.
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

// dequeue removes a task from its waiting group.
func (s *Shard) dequeue(t *task) {
	k := groupKey{t.Task.Job, t.Zone}
	if g := s.waiting[k]; g != nil {
		g.tasks = slices.DeleteFunc(g.tasks, func(x *task) bool { return x == t })
		if len(g.tasks) == 0 {
			delete(s.waiting, k)
		}
	}
}

// recallTask returns a waiting task to the dispatcher at once. A task on a machine is stopped
// first, with time to save a checkpoint.
func (s *Shard) recallTask(now time.Duration, t *task) {
	t.recalled = true
	if t.attempt == nil {
		s.dequeue(t)
		s.returnTask(t, model.CauseStopped)
		return
	}
	s.stopAttempt(now, t.attempt, checkpointGrace(t.Spec))
}

// returnTask gives a task that is on no machine back to the dispatcher.
func (s *Shard) returnTask(t *task, cause model.Cause) {
	delete(s.tasks, t.Task)
	event := model.Event{Kind: model.TaskReturned, Task: t.Task, Cause: cause}
	if m := t.machine(); m != nil {
		event.Machine = m.ID
	}
	t.attempt = nil
	s.emit(event)
}

// endJob returns a job's waiting tasks, stops its attempts without a grace period and has
// exited ones cleared.
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

// repriceJob changes the price and the objective of all tasks of a job. Running tasks are
// included, because a task with an older, lower price could be evicted for its own job.
func (s *Shard) repriceJob(job model.JobID, price float64, objective model.Objective) {
	var oldSpec, newSpec *model.Spec
	withObjective := func(spec *model.Spec) *model.Spec {
		if objective == model.ObjectiveUnchanged || spec.BestEffort == (objective == model.NoObjective) {
			return spec
		}
		if spec != oldSpec { // copied, because others share the old one
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

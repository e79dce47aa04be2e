// Package dispatcher is the leader's book: open jobs, teams' limits and
// guarantees, who holds each task, who owns each machine. It deals tasks to
// shards and takes them back. It is a state machine without input or output of
// its own.
package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/starvation"
)

// Team is what a team is guaranteed and limited to; a zero amount means none.
type Team struct{ Guarantee, Limit model.Resources }

// Params of a dealer.
type Params struct {
	Term                uint64
	Teams               []Team // by the team's index
	ChunkSize           int32  // tasks per stored chunk of a job's done set
	BlockSize           uint64 // machines per stored block of records, in the layout of 0.4 and before
	ProgressInterval    time.Duration
	DispatchAhead       int // tasks of a job dealt beyond the free room, to find victims
	MaxLease            time.Duration
	MinOverloadMachines int           // machines that are no great load for a controller
	StartWithin         time.Duration // a job's first task should begin within so long; 0: whenever
	// ReportInterruptions: it is to be told which tasks are out of work, and when they run again.
	ReportInterruptions bool
}

// member is a shard as the dealer sees it.
type member struct {
	id              model.ShardID
	host            string
	assignedOn      map[*machine]bool // with room taken since the shard's last word on them
	jobs            map[model.JobID]model.TaskCounts
	candidates      []*machine // while dealing: its machines with room
	machineKinds    []*machine // ... one of each kind that it has
	readyMachines   int        // ... and how many may get tasks
	assignmentsSent uint64     // sent
	statusAt        time.Duration
	joinedAt        time.Duration
	lastReportAt    time.Duration // the last time that it heard a worker
}

// Dispatcher is the state machine.
type Dispatcher struct {
	params              Params
	now                 time.Duration // of the last input that tells it
	tokensIssued        uint64
	jobs                map[model.JobID]*job
	jobsBySubmission    []*job // of jobs, as sortJobs orders them
	machines            map[model.MachineID]*machine
	machinesByID        []*machine // of machines
	blocks              map[BlockID]*block
	layout              uint64 // size of the blocks that are written, 0: p.BlockSize
	unaccounted         map[model.MachineID]bool
	rejected            map[uint64]rejectedAttempt
	members             map[model.ShardID]*member
	lastID              model.ShardID
	earlierTermsEnd     time.Duration // no authority of an earlier term lasts beyond
	usage               []model.Resources
	orders              []model.Order
	deferredEvents      map[model.MachineID][]model.Event // told by shards that are to let go
	types               map[model.Name]model.MachineType
	newlyBroken         []model.JobID // newly held to be broken
	freedTasks          []model.Task  // of lost shards, surely nowhere now
	pricesUpdatedAt     time.Duration
	tasksBalancedAt     time.Duration
	nextMachineBalance  time.Duration
	roundRobin          int                        // whose turn it is to get a machine without an owner
	avoidedUntil        map[zoneHost]time.Duration // controllers that a zone's workers did not reach
	cordoned            map[model.MachineID]bool
	machineCounts       map[model.ShardID]int // machines of each shard when they were last counted
	countedAt           time.Duration
	starvation          *starvation.Detector
	starvationUpdatedAt time.Duration
	onCharge            func(Charge)
	stats               Stats
}

// New returns a dealer for a term that begins now. No shard of an earlier term
// acts beyond oldEnd.
func New(params Params, earlierTermsEnd time.Duration) *Dispatcher {
	return &Dispatcher{params: params, members: map[model.ShardID]*member{}, earlierTermsEnd: earlierTermsEnd,
		avoidedUntil:   map[zoneHost]time.Duration{},
		deferredEvents: map[model.MachineID][]model.Event{},
		cordoned:       map[model.MachineID]bool{}, jobs: map[model.JobID]*job{}, machines: map[model.MachineID]*machine{},
		blocks: map[BlockID]*block{}, unaccounted: map[model.MachineID]bool{},
		rejected: map[uint64]rejectedAttempt{}, usage: make([]model.Resources, len(params.Teams)),
		types: map[model.Name]model.MachineType{}}
}

// TakeOrders takes away what shards must be told.
func (d *Dispatcher) TakeOrders() []model.Order {
	o := d.orders
	d.orders = nil
	return o
}

// order is for one shard; 0 has no shard any more and is dropped.
func (d *Dispatcher) order(to model.ShardID, o model.Order) {
	if to != 0 {
		o.To = to
		d.orders = append(d.orders, o)
	}
}

func (d *Dispatcher) broadcast(o model.Order) {
	for _, m := range d.sortedMembers() {
		d.order(m.id, o)
	}
}

func (d *Dispatcher) sortedMembers() []*member {
	out := make([]*member, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	return out
}

// AddShard takes a new shard and returns its id.
func (d *Dispatcher) AddShard(now time.Duration, host string) model.ShardID {
	d.lastID++
	d.members[d.lastID] = &member{id: d.lastID, host: host, joinedAt: now, assignedOn: map[*machine]bool{}}
	return d.lastID
}

// FirstAttempt is the first of the attempt numbers that are a shard's alone.
func (d *Dispatcher) FirstAttempt(id model.ShardID) uint64 { return d.params.Term<<36 | uint64(id)<<22 }

// AssignmentsSent counts the deals made to a shard.
func (d *Dispatcher) AssignmentsSent(id model.ShardID) uint64 {
	if m := d.members[id]; m != nil {
		return m.assignmentsSent
	}
	return 0
}

// UpdateStatus takes a shard's summary of the machines that have changed since its
// last one.
func (d *Dispatcher) UpdateStatus(now time.Duration, id model.ShardID, status []model.MachineStatus,
	jobs map[model.JobID]model.TaskCounts, acked uint64) {
	m := d.members[id]
	if m == nil {
		return
	}
	m.jobs = jobs
	// Rooms as of before the newest deals would be dealt twice: what was dealt
	// on stays taken until the shard has said how it is after them.
	upToDate := acked >= m.assignmentsSent || now-m.statusAt >= time.Second
	for i := range status {
		machine := d.machines[status[i].Machine.ID]
		if machine == nil || machine.owner != id {
			continue
		}
		machine.status, machine.statusFrom = status[i], id
		machine.status.Machine = machine.Machine
		if !m.assignedOn[machine] {
			machine.avail = machine.status.Avail
		}
	}
	if upToDate {
		m.statusAt = now
		for machine := range m.assignedOn {
			machine.avail = machine.status.Avail
		}
		clear(m.assignedOn)
	}
}

// statusKnown tells whether the machine's owner has told how it is.
func (m *machine) statusKnown() bool { return m.statusFrom == m.owner && m.owner != 0 }

// MachineStatuses is what all shards last said of their machines.
func (d *Dispatcher) MachineStatuses() []model.MachineStatus {
	out := make([]model.MachineStatus, 0, len(d.machinesByID))
	for _, m := range d.machinesByID {
		if m.statusKnown() {
			status := m.status
			status.Avail = m.avail
			out = append(out, status)
		}
	}
	return out
}

// ForEachOpenJob calls f for every open job with its counts.
func (d *Dispatcher) ForEachOpenJob(f func(id model.JobID, version uint64, done, running int)) {
	for _, j := range d.sortedJobs() {
		if !j.ended {
			f(j.spec.ID, j.version, int(j.doneCount), d.TaskCounts(j.spec.ID).Running)
		}
	}
}

// TaskCounts sums up a job's tasks at the shards.
func (d *Dispatcher) TaskCounts(id model.JobID) model.TaskCounts {
	var c model.TaskCounts
	for _, m := range d.members {
		c.Waiting += m.jobs[id].Waiting
		c.Running += m.jobs[id].Running
	}
	return c
}

// SyncOpenJobs takes the ids of all open jobs as of a revision: what is not among them
// and was there by then has ended. It returns what it did not know to have ended.
func (d *Dispatcher) SyncOpenJobs(open map[model.JobID]bool, revision uint64) (ended []model.JobID) {
	for id, j := range d.jobs {
		if !open[id] && j.version <= revision && !j.ended {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		d.JobRemoved(id)
	}
	return ended
}

// HandleEvent takes an event of a shard.
func (d *Dispatcher) HandleEvent(now time.Duration, from model.ShardID, e model.Event) {
	shard := d.members[from]
	if shard == nil {
		return
	}
	d.now = now
	shard.recordReport(now, e.Kind)
	m := d.machines[e.Machine]
	isOwner := m != nil && m.owner == from
	if isOwner && m.releasing && d.deferEvent(&e) {
		return
	}
	switch e.Kind {
	case model.UnownedWorker:
		d.unownedWorker(now, from, &e)
	case model.WorkerFenced:
		if isOwner {
			d.reportedAgain(m)
			m.fenced, m.unfencedOwners = true, 0
			d.markAccounted(m)
		}
	case model.WorkerBack:
		if isOwner {
			d.reportedAgain(m)
		}
	case model.LeaseExpired:
		if !isOwner || e.Token != m.token {
			return
		}
		m.leaseExpired = true
		// Nobody else may answer it, unless a lost shard still did. The shard
		// must confirm after that: it may have answered meanwhile.
		if now > m.authorityEnd+d.params.MaxLease {
			d.order(from, model.Order{Kind: model.ConfirmLeaseExpiry, ID: m.ID})
		}
	case model.LeaseExpiryConfirmed:
		if isOwner && e.Token == m.token {
			d.markAccounted(m)
			if !m.expiryConfirmed {
				d.stats.ExpiredMachines++
			}
			m.expiryConfirmed = true
			d.block(m.ID).dirty = true
			d.SetUsable(m.ID, false)
		}
	case model.MachineReleased:
		d.machineReleased(now, from, m, e)
	case model.TokenNeeded, model.TokenSuperseded:
		// A token of this term that is higher than the owner's was given by
		// this dealer; one of a later term shows that this term is over, and
		// then the lease says so as well.
		if isOwner && !m.gone && (e.Kind == model.TokenNeeded || e.Token>>32 == d.params.Term) {
			d.assignOwner(m, from)
		}
	case model.CommandUnanswered:
		if isOwner {
			m.unanswered, m.unreachable = true, e.Held
		}
	case model.MachineKept:
		if isOwner {
			d.machineKept(now, from, m)
		}
	case model.MachineRemembered:
		// Its worker will report there again: it is fenced there, and need not
		// change hands.
		if m != nil && m.owner == 0 && !m.gone {
			d.assignOwner(m, from)
		}
	case model.AttemptFound:
		d.attemptFound(now, from, e)
	case model.TaskFinished:
		d.taskFinished(now, from, e)
	case model.TaskReturned:
		if j := d.jobs[e.Task.Job]; j != nil && d.isAssignedTo(j, e.Task.Index, from) {
			d.taskReturned(now, j, e)
		}
	case model.RejectedAttemptGone:
		delete(d.rejected, e.Attempt)
		d.dropDeferredAttempt(e.Attempt)
	}
}

// Demand returns what waits for room, for the fleet: jobs with their tasks that
// are not on machines, as far as their teams' limits let them run.
func (d *Dispatcher) Demand() []JobDemand {
	var out []JobDemand
	for _, j := range d.sortedJobs() {
		if j.ended || j.onHold {
			continue
		}
		unfinished := j.spec.Tasks - j.doneCount
		if j.failures.broken { // no machine is rented for it
			unfinished = int32(len(j.assignments))
		}
		out = append(out, JobDemand{Spec: j.spec, Unfinished: unfinished, Assigned: int32(len(j.assignments)),
			WithinGuarantee: j.withinGuarantee, WaitingSince: j.waitingSince,
			Overdue: j.overdue})
	}
	return out
}

// JobDemand is a job's hunger.
type JobDemand struct {
	Spec                 *model.Spec
	Unfinished, Assigned int32
	WithinGuarantee      bool
	WaitingSince         time.Duration
	Overdue              bool // it should have begun
}

// SetCordoned keeps tasks from a machine, whoever owns it, or lets it have some again.
func (d *Dispatcher) SetCordoned(id model.MachineID, cordoned bool) {
	if cordoned {
		d.cordoned[id] = true
	} else {
		delete(d.cordoned, id)
	}
	if m := d.machines[id]; m != nil && m.cordoned != cordoned {
		m.cordoned = cordoned
		d.SetUsable(id, !cordoned)
	}
}

// InspectMachine asks a machine's owner what runs there. It answers with Looked, which
// bears the number.
func (d *Dispatcher) InspectMachine(id model.MachineID, seq uint64) {
	if m := d.machines[id]; m != nil {
		d.order(m.owner, model.Order{Kind: model.InspectMachine, ID: id, Token: seq})
	}
}

// RecallFrom has a task leave a machine, saving what it can. Wherever else it has
// gone meanwhile it stays.
func (d *Dispatcher) RecallFrom(id model.MachineID, t model.Task) {
	if m := d.machines[id]; m != nil {
		d.order(m.owner, model.Order{Kind: model.RecallTask, ID: id, Task: t})
	}
}

// ForEachMachine are the machines that this leader knows, and whether their owners have
// told how they are. Those whose lease is over are not known to be anywhere: the
// cloud's list tells.
func (d *Dispatcher) ForEachMachine(f func(status model.MachineStatus, reported bool)) {
	for _, m := range d.machinesByID {
		status := model.MachineStatus{Machine: m.Machine}
		reported := m.statusKnown() && !m.gone
		if reported {
			status = m.status
			status.Avail = m.avail
		}
		if !m.gone && !m.expiryConfirmed {
			f(status, reported)
		}
	}
}

// Spec is an open job's, nil if there is none.
func (d *Dispatcher) Spec(id model.JobID) *model.Spec {
	if j := d.jobs[id]; j != nil && !j.ended {
		return j.spec
	}
	return nil
}

// UnusedGuarantees is the CPU that teams have left of their guarantees, in thousandths.
func (d *Dispatcher) UnusedGuarantees() int64 { return UnusedGuarantees(d.params.Teams, d.usage) }

// TeamLimit is a team's limit.
func (d *Dispatcher) TeamLimit(team model.Name) model.Resources { return d.params.Teams[team].Limit }

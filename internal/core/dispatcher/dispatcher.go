// Package dispatcher holds the leader's view of the cluster: open jobs, teams' limits and
// guarantees, the shard that each task is assigned to, and the shard that owns each machine. It
// assigns tasks to shards and recalls them. It is a state machine: its inputs are method calls, and
// its outputs are the orders and writes that the caller collects.
//
// Terms that the package uses:
//
//   - A worker is fenced once it has shown the token of its machine's owner, a shard. It then refuses
//     commands with the lower tokens of earlier owners.
//   - A machine is accounted for once it is known which tasks earlier owners left there: its worker
//     is fenced, its lease is certainly over, or the machine is gone.
//   - A task is charged while it counts against its team's limit, because it is assigned to a shard or
//     orphaned.
//   - A task is orphaned if its shard was lost or released its machine. It may still run there until
//     the machine is accounted for.
package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/starvation"
)

// Team is a team's guarantee and limit; a zero amount means that there is none.
type Team struct{ Guarantee, Limit model.Resources }

// Params are the parameters of a Dispatcher.
type Params struct {
	Term                uint64
	Teams               []Team        // indexed by the team's name
	ChunkSize           int32         // tasks per stored chunk of a job's done set
	BlockSize           uint64        // machines per stored block of records, in the layout of version 0.4 and earlier
	ProgressInterval    time.Duration // minimum time between two writes of a job's done set
	DispatchAhead       int           // a job's tasks dispatched beyond the free capacity, to find victims
	MaxLease            time.Duration // upper bound of a worker's lease, from the last answer to it
	MinOverloadMachines int           // a shard with fewer machines is never overloaded
	StartWithin         time.Duration // time in which a job's first task should start; 0: no limit
	// ReportInterruptions enables reports of which tasks are interrupted and when they run again.
	ReportInterruptions bool
}

// member is a shard as the dispatcher sees it.
type member struct {
	id              model.ShardID
	host            string
	reservedOn      map[*machine]bool // machines with capacity reserved since the shard's last up-to-date status
	jobs            map[model.JobID]model.TaskCounts
	candidates      []*machine    // machines with free capacity; valid while dispatching
	machineKinds    []*machine    // one machine of each kind that the shard has; valid while dispatching
	readyMachines   int           // machines that may get tasks; valid while dispatching
	assignmentsSent uint64        // number of assignments sent to the shard
	statusAt        time.Duration // when the last up-to-date status arrived
	joinedAt        time.Duration
	lastReportAt    time.Duration // when the shard last received a worker's report
}

// Dispatcher is the leader's state machine that the package comment describes.
type Dispatcher struct {
	params Params
	now    time.Duration // time of the last event or tick
	// tokensIssued is the sequence number of the last machine token of this term.
	tokensIssued     uint64
	jobs             map[model.JobID]*job
	jobsBySubmission []*job // jobs, in the order of compareJobs
	machines         map[model.MachineID]*machine
	machinesByID     []*machine // machines, by ID
	blocks           map[BlockID]*block
	layout           uint64 // size of the blocks that are written; 0: Params.BlockSize
	// unaccounted are the machines of earlier terms that may run tasks unknown to this leader.
	unaccounted map[model.MachineID]bool
	// rejected are the attempts, by number, that were found but not adopted and that must end.
	rejected            map[uint64]rejectedAttempt
	members             map[model.ShardID]*member
	lastShardID         model.ShardID
	earlierTermsEnd     time.Duration     // when the authority of all earlier terms' shards has ended
	usage               []model.Resources // charged to each team, without unaccounted machines
	orders              []model.Order
	deferredEvents      map[model.MachineID][]model.Event // see deferEvent
	types               map[model.Name]model.MachineType
	newlyBroken         []model.JobID // jobs newly considered broken
	freedTasks          []model.Task  // tasks of lost shards that are certainly not running
	pricesUpdatedAt     time.Duration
	tasksBalancedAt     time.Duration
	nextMachineBalance  time.Duration
	roundRobin          int                        // selects the shard that gets the next machine without an owner
	avoidedUntil        map[zoneHost]time.Duration // until when a zone is not redirected to a host it failed to reach
	cordoned            map[model.MachineID]bool
	machineCounts       map[model.ShardID]int // machines of each shard as of machinesCountedAt
	machinesCountedAt   time.Duration
	starvation          *starvation.Detector
	starvationUpdatedAt time.Duration
	onCharge            func(Charge)
	stats               Stats
}

// New returns a dispatcher for a term that begins now. No shard of an earlier term acts after
// earlierTermsEnd.
func New(params Params, earlierTermsEnd time.Duration) *Dispatcher {
	return &Dispatcher{
		params:          params,
		members:         map[model.ShardID]*member{},
		earlierTermsEnd: earlierTermsEnd,
		avoidedUntil:    map[zoneHost]time.Duration{},
		deferredEvents:  map[model.MachineID][]model.Event{},
		cordoned:        map[model.MachineID]bool{},
		jobs:            map[model.JobID]*job{},
		machines:        map[model.MachineID]*machine{},
		blocks:          map[BlockID]*block{},
		unaccounted:     map[model.MachineID]bool{},
		rejected:        map[uint64]rejectedAttempt{},
		usage:           make([]model.Resources, len(params.Teams)),
		types:           map[model.Name]model.MachineType{},
	}
}

// TakeOrders returns the orders for shards that were collected since the last call.
func (d *Dispatcher) TakeOrders() []model.Order {
	o := d.orders
	d.orders = nil
	return o
}

// order queues an order for a shard. Shard 0 means no shard; its orders are dropped.
func (d *Dispatcher) order(to model.ShardID, o model.Order) {
	if to != 0 {
		o.To = to
		d.orders = append(d.orders, o)
	}
}

// broadcast queues an order for every shard.
func (d *Dispatcher) broadcast(o model.Order) {
	for _, m := range d.sortedMembers() {
		d.order(m.id, o)
	}
}

// sortedMembers returns the shards in the order of their IDs.
func (d *Dispatcher) sortedMembers() []*member {
	out := make([]*member, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	return out
}

// AddShard adds a shard for a controller that has joined, and returns its ID.
func (d *Dispatcher) AddShard(now time.Duration, host string) model.ShardID {
	d.lastShardID++
	d.members[d.lastShardID] = &member{id: d.lastShardID, host: host, joinedAt: now, reservedOn: map[*machine]bool{}}
	return d.lastShardID
}

// FirstAttempt returns the first number of the range of attempt numbers reserved for a shard.
func (d *Dispatcher) FirstAttempt(id model.ShardID) uint64 { return d.params.Term<<36 | uint64(id)<<22 }

// AssignmentsSent returns the number of assignments sent to a shard.
func (d *Dispatcher) AssignmentsSent(id model.ShardID) uint64 {
	if m := d.members[id]; m != nil {
		return m.assignmentsSent
	}
	return 0
}

// UpdateStatus handles a shard's status: the machines that changed since its last status, its task
// counts per job, and the number of assignments that it had received by then.
func (d *Dispatcher) UpdateStatus(now time.Duration, id model.ShardID, status []model.MachineStatus,
	jobs map[model.JobID]model.TaskCounts, assignmentsReceived uint64) {
	m := d.members[id]
	if m == nil {
		return
	}
	m.jobs = jobs
	// A status sent before the newest assignments arrived shows capacity that they will take.
	// Capacity reserved on a machine stays reserved until a status covers all assignments, or a
	// second has passed.
	upToDate := assignmentsReceived >= m.assignmentsSent || now-m.statusAt >= time.Second
	for i := range status {
		machine := d.machines[status[i].Machine.ID]
		if machine == nil || machine.owner != id {
			continue
		}
		machine.status, machine.statusFrom = status[i], id
		machine.status.Machine = machine.Machine
		if !m.reservedOn[machine] {
			machine.avail = machine.status.Avail
		}
	}
	if upToDate {
		m.statusAt = now
		for machine := range m.reservedOn {
			machine.avail = machine.status.Avail
		}
		clear(m.reservedOn)
	}
}

// statusKnown reports whether the machine's present owner has reported its status.
func (m *machine) statusKnown() bool { return m.statusFrom == m.owner && m.owner != 0 }

// MachineStatuses returns the last reported status of every machine whose owner has reported one,
// less the capacity reserved since.
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

// ForEachOpenJob calls f for every open job with the version of its record and its numbers of done
// and running tasks.
func (d *Dispatcher) ForEachOpenJob(f func(id model.JobID, version uint64, done, running int)) {
	for _, j := range d.sortedJobs() {
		if !j.ended {
			f(j.spec.ID, j.version, int(j.doneCount), d.TaskCounts(j.spec.ID).Running)
		}
	}
}

// TaskCounts returns the sum of all shards' counts of a job's tasks.
func (d *Dispatcher) TaskCounts(id model.JobID) model.TaskCounts {
	var c model.TaskCounts
	for _, m := range d.members {
		c.Waiting += m.jobs[id].Waiting
		c.Running += m.jobs[id].Running
	}
	return c
}

// SyncOpenJobs compares the jobs with the IDs of all open jobs as of a revision. A job that was
// stored by then and is not among them has ended. It returns the jobs that were not known to have
// ended.
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

// HandleEvent handles an event of a shard.
func (d *Dispatcher) HandleEvent(now time.Duration, from model.ShardID, e model.Event) {
	shard := d.members[from]
	if shard == nil {
		return
	}
	d.now = now
	shard.recordReport(now, e.Kind)
	m := d.machines[e.Machine]
	if d.IsStale(from, &e) {
		d.stats.StaleEvents++
		if e.Kind != model.MachineReleased {
			return
		}
	}
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
		// Only the owner may answer the worker now, but a lost shard may have done so until
		// authorityEnd. After that plus the longest lease the owner is asked to confirm, because it
		// may have answered the worker meanwhile.
		if now > m.authorityEnd+d.params.MaxLease {
			d.orderOwner(m, model.Order{Kind: model.ConfirmLeaseExpiry})
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
		d.machineReleased(now, from, m, &e)
	case model.TokenNeeded, model.TokenSuperseded:
		// A token of this term that is higher than the owner's was issued by this dispatcher, so
		// the owner gets a new one. A token of a later term shows that this term is over; the
		// leader learns that from its own lease, so the event is ignored.
		if isOwner && (e.Kind == model.TokenNeeded || e.Token>>32 == d.params.Term) {
			d.renewOwnership(m)
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
		// The worker will report to that shard again, which fences it, so the machine need not
		// change owners.
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

// Demand returns the demand for machines: each open job that may run, with the numbers of its
// unfinished and of its assigned tasks. The caller applies teams' limits.
func (d *Dispatcher) Demand() []JobDemand {
	var out []JobDemand
	for _, j := range d.sortedJobs() {
		if j.ended || j.onHold {
			continue
		}
		unfinished := j.spec.Tasks - j.doneCount
		if j.failures.broken { // no machines are rented for a broken job
			unfinished = int32(len(j.assignments))
		}
		out = append(out, JobDemand{
			Spec:            j.spec,
			Zones:           NewZoneQuota(j.spec, j.assignedInZone),
			Unfinished:      unfinished,
			Assigned:        int32(len(j.assignments)),
			WithinGuarantee: j.withinGuarantee,
			WaitingSince:    j.waitingSince,
			Overdue:         j.overdue,
		})
	}
	return out
}

// JobDemand is a job's demand for machines.
type JobDemand struct {
	Spec                 *model.Spec
	Zones                ZoneQuota // of its assigned tasks
	Unfinished, Assigned int32
	WithinGuarantee      bool
	WaitingSince         time.Duration
	Overdue              bool // the job has not started within Params.StartWithin
}

// SetCordoned cordons or uncordons a machine. A cordoned machine gets no new tasks, whoever owns
// it; the machine need not be known yet.
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

// InspectMachine asks a machine's owner what runs there. The answer is a MachineInspected event
// with the same sequence number.
func (d *Dispatcher) InspectMachine(id model.MachineID, seq uint64) {
	if m := d.machines[id]; m != nil {
		d.orderOwner(m, model.Order{Kind: model.InspectMachine, Token: seq})
	}
}

// RecallFrom moves a task off a machine, saving its state if possible. If the task is no longer on
// that machine, nothing happens.
func (d *Dispatcher) RecallFrom(id model.MachineID, t model.Task) {
	if m := d.machines[id]; m != nil {
		d.order(m.owner, model.Order{Kind: model.RecallTask, ID: id, Task: t})
	}
}

// ForEachMachine calls f for every machine that exists as far as this leader knows, and passes
// whether its owner has reported its status. A machine whose lease expiry is confirmed is left out:
// whether it still exists is known from the cloud's list alone.
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

// Spec returns the spec of an open job, or nil if there is none.
func (d *Dispatcher) Spec(id model.JobID) *model.Spec {
	if j := d.jobs[id]; j != nil && !j.ended {
		return j.spec
	}
	return nil
}

// UnusedGuarantees returns the sum of the CPU, in thousandths, by which teams are below their
// guarantees.
func (d *Dispatcher) UnusedGuarantees() int64 { return UnusedGuarantees(d.params.Teams, d.usage) }

// TeamLimit returns a team's limit.
func (d *Dispatcher) TeamLimit(team model.Name) model.Resources { return d.params.Teams[team].Limit }

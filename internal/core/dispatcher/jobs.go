package dispatcher

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// assignment is a task charged to its team: dealt to a shard, or orphaned.
type assignment struct {
	zone  model.Name
	shard model.ShardID
	group *orphanGroup // nil: a living shard holds it
}

type clearRequest struct {
	shard   model.ShardID
	machine model.MachineID
	task    model.Task
	attempt uint64
}

type job struct {
	spec            *model.Spec
	version         uint64 // of its stored record
	done            []uint64
	doneCount       int32
	assignments     map[int32]assignment
	assignedInZone  map[model.Name]int32 // of held: how many are charged to each zone
	nextIndex       int32                // tasks from here on were never dealt by this leader
	requeued        []int32
	waitingSince    time.Duration // began to wait
	fromEarlierTerm bool          // accepted before this term: its tasks may be anywhere
	ended           bool
	withinGuarantee bool
	price           float64
	dirtyChunks     map[int32]bool // chunks to be stored
	// storedChunks are the chunks that may be stored, with their versions as last known. A final
	// deletes only these: at four times its size a deployment used up its changes deleting
	// what never was.
	storedChunks  map[ChunkID]uint64
	writePending  bool
	lastWriteAt   time.Duration
	pendingClears []clearRequest
	failures      jobFailures
	blockedUntil  time.Duration
	// onHold: jobs that it needs are not done. It holds no part of its team's limit or
	// guarantee, and nothing is rented for it.
	onHold bool
	// rank is the highest of its own and of those of the jobs that need it.
	rank        model.Rank
	orphaned    int32         // of held
	started     bool          // a task of it has run, or runs
	overdue     bool          // none has, for too long
	expeditedAt time.Duration // the shards were last told so
}

// AddJob takes an open job. done holds its stored chunks; old tells that it
// was accepted before this term.
func (d *Dispatcher) AddJob(now time.Duration, spec *model.Spec, version uint64, waited time.Duration,
	fromEarlierTerm bool) {
	if d.jobs[spec.ID] != nil || int(spec.Team) >= len(d.params.Teams) {
		return
	}
	j := &job{
		spec:            spec,
		version:         version,
		done:            make([]uint64, (spec.Tasks+63)/64),
		assignments:     map[int32]assignment{},
		assignedInZone:  map[model.Name]int32{},
		waitingSince:    now - waited,
		fromEarlierTerm: fromEarlierTerm,
		rank:            spec.Rank,
		dirtyChunks:     map[int32]bool{},
		storedChunks:    map[ChunkID]uint64{},
	}
	j.price = Price(spec.Rank, false)
	d.jobs[spec.ID] = j
	i, _ := slices.BinarySearchFunc(d.jobsBySubmission, j, compareJobs)
	d.jobsBySubmission = slices.Insert(d.jobsBySubmission, i, j)
	d.pricesUpdatedAt = 0
}

// AddDoneChunk takes a stored chunk of a job's done set, whose first bit is that of task
// base, with its version.
func (d *Dispatcher) AddDoneChunk(id model.JobID, chunk ChunkID, version uint64, firstTask int32, doneBits []byte) {
	j := d.jobs[id]
	if j == nil || firstTask < 0 {
		return
	}
	j.storedChunks[chunk] = version
	for i, remaining := range doneBits {
		for ; remaining != 0; remaining &= remaining - 1 {
			if index := firstTask + int32(i*8+bits.TrailingZeros8(remaining)); index < j.spec.Tasks {
				d.setDone(j, index)
			}
		}
	}
}

func (j *job) isDone(index int32) bool { return j.done[index/64]&(1<<(index%64)) != 0 }

func (d *Dispatcher) setDone(j *job, index int32) bool {
	if j.isDone(index) {
		return false
	}
	j.done[index/64] |= 1 << (index % 64)
	j.doneCount++
	return true
}

// JobRemoved takes the news that a job's open record is gone: cancelled, or
// ended otherwise.
func (d *Dispatcher) JobRemoved(id model.JobID) {
	if j := d.jobs[id]; j != nil && !j.ended {
		d.endJob(j)
	}
}

func (d *Dispatcher) endJob(j *job) {
	j.ended = true
	d.broadcast(model.Order{Kind: model.EndJob, Job: j.spec.ID})
	d.removeIfUnused(j)
}

// removeIfUnused drops an ended job once none of its tasks is charged any more.
func (d *Dispatcher) removeIfUnused(j *job) {
	if j.ended && len(j.assignments) == 0 && !j.writePending {
		delete(d.jobs, j.spec.ID)
		if i, ok := slices.BinarySearchFunc(d.jobsBySubmission, j, compareJobs); ok {
			d.jobsBySubmission = slices.Delete(d.jobsBySubmission, i, i+1)
		}
	}
}

func (d *Dispatcher) isAssignedTo(j *job, index int32, id model.ShardID) bool {
	a, ok := j.assignments[index]
	return ok && a.group == nil && a.shard == id
}

func (d *Dispatcher) attemptFound(now time.Duration, from model.ShardID, e model.Event) {
	j := d.jobs[e.Task.Job]
	known := j != nil && !j.ended && e.Task.Index < j.spec.Tasks
	m := d.machines[e.Machine]
	if e.Status.Stage == model.Exited {
		if known && e.Status.Cause == model.CauseDone && !j.spec.Daemon {
			d.taskFinished(now, from, e)
			return
		}
		d.order(from, model.Order{Kind: model.ClearAttempt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
		return
	}
	if m != nil && (m.gone || m.owner != from) {
		return // the next owner will find it
	}
	if m != nil && d.isAccounted(m) {
		d.stats.UnexpectedAttempts++
	}
	if m != nil && known && !j.isDone(e.Task.Index) && j.spec.Allows(&m.Machine) && d.canAdopt(j, e.Task.Index, m) {
		allowed := d.withinLimits(j, e.Task.Index, m.Zone)
		if a, ok := j.assignments[e.Task.Index]; ok {
			delete(a.group.tasks, e.Task)
			j.orphaned--
			j.moveToZone(a.zone, m.Zone)
			a.shard, a.group, a.zone = from, nil, m.Zone
			j.assignments[e.Task.Index] = a
		} else {
			d.assign(j, e.Task.Index, m.Zone, from, Adopted)
		}
		d.sendAssignment(from, model.Assignment{Task: e.Task, Spec: j.spec, Price: j.price, Zone: j.pinnedZone(m.Zone),
			WaitingSince: j.waitingSince,
			Machine:      e.Machine, Attempt: e.Attempt, WithinLimits: allowed})
		return
	}
	// It takes room, and its team's share, until it is gone.
	d.rejected[e.Attempt] = rejectedAttempt{e.Machine, from}
	d.order(from, model.Order{Kind: model.KillAttempt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
}

// canAdopt: the task was orphaned and may be there, or nobody holds it and what earlier owners
// left on the machine is not known yet. Later than that it may have been dispatched elsewhere,
// and been taken back: to adopt it would pass by its team's limit and its job's zones.
func (d *Dispatcher) canAdopt(j *job, index int32, m *machine) bool {
	a, ok := j.assignments[index]
	if !ok {
		return !d.isAccounted(m)
	}
	return a.group != nil && a.group.machines[m.ID]
}

// withinLimits tells whether a task could be charged in a zone now, beside what else is charged: by
// its team's limit and its job's zones. An earlier leader looked at both when it dispatched the
// task, so what is not found yet need not be reckoned with.
func (d *Dispatcher) withinLimits(j *job, index int32, zone model.Name) bool {
	used := d.usage[j.spec.Team]
	inZone, total := j.assignedInZone[zone], int32(len(j.assignments))
	if a, ok := j.assignments[index]; ok { // itself
		used = used.Sub(j.spec.PerTask)
		total--
		if a.zone == zone {
			inZone--
		}
	}
	switch {
	case j.spec.PerTask.Count(d.params.Teams[j.spec.Team].Remaining(used)) <= 0:
		return false
	case j.spec.SameZone:
		return inZone == total
	case j.spec.Spread:
		return inZone < j.maxPerZone()
	}
	return true
}

// maxPerZone is how many tasks of a job that is spread may be in one zone.
func (j *job) maxPerZone() int32 { return (j.spec.Tasks + 1) / 2 }

// moveToZone has a task charged to another zone.
func (j *job) moveToZone(from, to model.Name) {
	j.removeFromZone(from)
	j.assignedInZone[to]++
}

func (j *job) removeFromZone(zone model.Name) {
	if j.assignedInZone[zone]--; j.assignedInZone[zone] == 0 {
		delete(j.assignedInZone, zone)
	}
}

func (d *Dispatcher) sendAssignment(to model.ShardID, a model.Assignment) {
	if m := d.members[to]; m != nil {
		m.assignmentsSent++
	}
	d.order(to, model.Order{Kind: model.AssignTask, Assignment: a})
}

func (j *job) pinnedZone(zone model.Name) model.Name {
	if j.spec.SameZone || j.spec.Spread {
		return zone
	}
	return model.None
}

func (d *Dispatcher) isAssigned(j *job, index int32) bool { _, ok := j.assignments[index]; return ok }

func (d *Dispatcher) assign(j *job, index int32, zone model.Name, shard model.ShardID, reason ChargeReason) {
	a := assignment{zone: zone, shard: shard}
	j.assignments[index] = a
	j.assignedInZone[zone]++
	d.usage[j.spec.Team] = d.usage[j.spec.Team].Add(j.spec.PerTask)
	d.reportCharge(j, index, a, reason)
}

func (d *Dispatcher) unassign(j *job, index int32, reason ChargeReason) {
	if a, ok := j.assignments[index]; ok {
		if a.group != nil {
			j.orphaned--
		}
		delete(j.assignments, index)
		j.removeFromZone(a.zone)
		d.usage[j.spec.Team] = d.usage[j.spec.Team].Sub(j.spec.PerTask)
		d.reportCharge(j, index, a, reason)
	}
}

func (d *Dispatcher) taskFinished(now time.Duration, from model.ShardID, e model.Event) {
	j := d.jobs[e.Task.Job]
	request := clearRequest{from, e.Machine, e.Task, e.Attempt}
	if j != nil && e.Held && d.isAssignedTo(j, e.Task.Index, from) {
		d.unassign(j, e.Task.Index, Completed)
	}
	if j == nil || j.ended || e.Task.Index >= j.spec.Tasks {
		if j != nil {
			d.removeIfUnused(j)
		}
		d.sendClear(request)
		return
	}
	if a, ok := j.assignments[e.Task.Index]; ok && a.group == nil {
		// It is done, yet started again elsewhere.
		d.order(a.shard, model.Order{Kind: model.RecallTask, Task: e.Task})
	}
	if j.spec.Daemon { // a replica has no end: it runs again
		if _, ok := j.assignments[e.Task.Index]; !ok {
			j.requeued = append(j.requeued, e.Task.Index)
		}
		d.sendClear(request)
		return
	}
	chunk := e.Task.Index / d.params.ChunkSize
	if d.setDone(j, e.Task.Index) {
		j.failures, j.blockedUntil = jobFailures{}, 0
		j.dirtyChunks[chunk] = true
	} else if !j.dirtyChunks[chunk] && !j.writePending {
		d.sendClear(request)
		return
	}
	j.pendingClears = append(j.pendingClears, request)
}

func (d *Dispatcher) sendClear(c clearRequest) {
	d.order(c.shard, model.Order{Kind: model.ClearAttempt, ID: c.machine, Task: c.task, Attempt: c.attempt})
}

// freeTask takes the certainty that a held task is nowhere.
func (d *Dispatcher) freeTask(j *job, index int32, reason ChargeReason) {
	d.unassign(j, index, reason)
	if j.ended {
		d.removeIfUnused(j)
	} else if !j.isDone(index) {
		j.requeued = append(j.requeued, index)
	}
}

func (d *Dispatcher) taskReturned(now time.Duration, j *job, e model.Event) {
	d.freeTask(j, e.Task.Index, Returned)
	if e.Cause == model.CauseError {
		d.taskFailed(now, j, e.Machine)
	}
	if e.Cause == model.CauseUnknown {
		j.blockedUntil = max(j.blockedUntil, now+2*time.Second)
	}
}

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.spec.SubmittedMS, b.spec.SubmittedMS), cmp.Compare(a.spec.ID, b.spec.ID))
}

// sortedJobs are all jobs, the earliest first: a copy, for jobs may go
// while it is walked.
func (d *Dispatcher) sortedJobs() []*job { return slices.Clone(d.jobsBySubmission) }

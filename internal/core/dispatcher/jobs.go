package dispatcher

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// assignment is a task that is charged to its team's limit, because it is assigned to a shard or
// orphaned.
type assignment struct {
	zone  model.Name
	shard model.ShardID
	group *orphanGroup // the orphan group that the task is in; nil: it is assigned to a living shard
}

// clearRequest is an ended attempt that its worker may forget once the task is stored as done.
type clearRequest struct {
	shard   model.ShardID
	machine model.MachineID
	task    model.Task
	attempt uint64
}

// job is an open job, or an ended one with tasks that are still charged.
type job struct {
	spec           *model.Spec
	version        uint64   // of its stored record
	done           []uint64 // the done set: one bit per completed task
	doneCount      int32
	assignments    map[int32]assignment // charged tasks, by index
	assignedInZone map[model.Name]int32 // assignments by the zone they are charged to
	nextIndex      int32                // tasks from here on have not been dispatched by this leader
	// requeued are tasks that were freed or returned by a shard, to be dispatched again.
	requeued        []int32
	waitingSince    time.Duration // when it began to wait
	fromEarlierTerm bool          // accepted before this term: its tasks may be on any machine
	ended           bool
	withinGuarantee bool           // fits into its team's guarantee, see updatePrices
	price           float64        // of its tasks, see Price
	dirtyChunks     map[int32]bool // chunks of the done set to be stored
	// storedChunks are the chunks that may be stored, with their last known versions. Finishing the
	// job deletes only these: deleting chunks that were never written used up the state service's
	// write rate in a deployment of four times the usual size.
	storedChunks map[ChunkID]uint64
	// writePending is true while a write for the job has no known outcome.
	writePending bool
	lastWriteAt  time.Duration
	// pendingClears are sent once the chunks of their tasks are stored.
	pendingClears []clearRequest
	failures      jobFailures
	// blockedUntil is when a task may be dispatched again after a failure.
	blockedUntil time.Duration
	// onHold is true while jobs that it depends on are not done. The job uses nothing of its team's limit
	// or guarantee, and no machines are rented for it.
	onHold bool
	// rank is the highest rank of the job and of those that depend on it.
	rank        model.Rank
	orphaned    int32         // number of assignments that are in an orphan group
	started     bool          // a task of it has run, or runs
	overdue     bool          // no task of it has started within Params.StartWithin
	expeditedAt time.Duration // when the shards were last ordered to expedite it
}

// AddJob adds an open job that has waited for the given time. fromEarlierTerm is true if it was
// accepted before this term. The stored chunks of its done set are added by AddDoneChunk.
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

// AddDoneChunk adds a stored chunk of a job's done set with its version. Its first bit stands for
// firstTask.
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

// isDone reports whether a task is in the done set.
func (j *job) isDone(index int32) bool { return j.done[index/64]&(1<<(index%64)) != 0 }

// setDone adds a task to the done set, and reports whether it was not in it before.
func (d *Dispatcher) setDone(j *job, index int32) bool {
	if j.isDone(index) {
		return false
	}
	j.done[index/64] |= 1 << (index % 64)
	j.doneCount++
	return true
}

// JobRemoved records that a job's open record is gone, because it was cancelled or has ended
// otherwise.
func (d *Dispatcher) JobRemoved(id model.JobID) {
	if j := d.jobs[id]; j != nil && !j.ended {
		d.endJob(j)
	}
}

// endJob ends a job: all shards stop its tasks.
func (d *Dispatcher) endJob(j *job) {
	j.ended = true
	d.broadcast(model.Order{Kind: model.EndJob, Job: j.spec.ID})
	d.removeIfUnused(j)
}

// removeIfUnused removes an ended job once none of its tasks is charged and no write for it is
// pending.
func (d *Dispatcher) removeIfUnused(j *job) {
	if j.ended && len(j.assignments) == 0 && !j.writePending {
		delete(d.jobs, j.spec.ID)
		if i, ok := slices.BinarySearchFunc(d.jobsBySubmission, j, compareJobs); ok {
			d.jobsBySubmission = slices.Delete(d.jobsBySubmission, i, i+1)
		}
	}
}

// isAssignedTo reports whether a task is assigned to the given shard, and not orphaned.
func (d *Dispatcher) isAssignedTo(j *job, index int32, id model.ShardID) bool {
	a, ok := j.assignments[index]
	return ok && a.group == nil && a.shard == id
}

// attemptFound handles an attempt that a shard found on one of its machines without knowing it. A
// running attempt is adopted if it may be the only one of its task, and is killed otherwise. An
// ended one is recorded as done or cleared.
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
		d.sendAssignment(from, model.Assignment{
			Task:         e.Task,
			Spec:         j.spec,
			Price:        j.price,
			Zone:         j.pinnedZone(m.Zone),
			WaitingSince: j.waitingSince,
			Machine:      e.Machine,
			Attempt:      e.Attempt,
			WithinLimits: allowed,
		})
		return
	}
	// The attempt uses resources, and possibly its team's limit, until it has ended.
	d.rejected[e.Attempt] = rejectedAttempt{e.Machine, from}
	d.order(from, model.Order{Kind: model.KillAttempt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
}

// canAdopt reports whether a found attempt may be adopted. Its task must be orphaned and may be on
// that machine, or must not be charged while the machine is not accounted for. Once the machine is
// accounted for, the task may have been dispatched elsewhere and returned, so adoption would bypass
// its team's limit and its job's zone rules.
func (d *Dispatcher) canAdopt(j *job, index int32, m *machine) bool {
	a, ok := j.assignments[index]
	if !ok {
		return !d.isAccounted(m)
	}
	return a.group != nil && a.group.machines[m.ID]
}

// withinLimits reports whether charging a task in a zone is allowed by its team's limit and its
// job's zone rules, given all other charged tasks. The earlier leader checked both when it
// dispatched the task, so tasks that have not been found yet need not be counted.
func (d *Dispatcher) withinLimits(j *job, index int32, zone model.Name) bool {
	used := d.usage[j.spec.Team]
	inZone, total := j.assignedInZone[zone], int32(len(j.assignments))
	if a, ok := j.assignments[index]; ok { // exclude the task itself
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
		return inZone < maxPerZone(j.spec)
	}
	return true
}

// maxPerZone returns how many tasks of a spread job may be in one zone: half of them, rounded up.
func maxPerZone(spec *model.Spec) int32 { return (spec.Tasks + 1) / 2 }

// moveToZone charges a task to another zone.
func (j *job) moveToZone(from, to model.Name) {
	j.removeFromZone(from)
	j.assignedInZone[to]++
}

// removeFromZone subtracts a task from a zone's count.
func (j *job) removeFromZone(zone model.Name) {
	if j.assignedInZone[zone]--; j.assignedInZone[zone] == 0 {
		delete(j.assignedInZone, zone)
	}
}

// sendAssignment orders a shard to accept an assignment.
func (d *Dispatcher) sendAssignment(to model.ShardID, a model.Assignment) {
	if m := d.members[to]; m != nil {
		m.assignmentsSent++
	}
	d.order(to, model.Order{Kind: model.AssignTask, Assignment: a})
}

// pinnedZone returns the zone that a task must run in: the given one for a pinned job, None
// otherwise.
func (j *job) pinnedZone(zone model.Name) model.Name {
	if j.spec.SameZone || j.spec.Spread {
		return zone
	}
	return model.None
}

// hasCharge reports whether a task is charged: assigned to a shard, or orphaned.
func (d *Dispatcher) hasCharge(j *job, index int32) bool { _, ok := j.assignments[index]; return ok }

// assign charges a task to its team and to a zone, and records the shard that it is assigned to.
func (d *Dispatcher) assign(j *job, index int32, zone model.Name, shard model.ShardID, reason ChargeReason) {
	a := assignment{zone: zone, shard: shard}
	j.assignments[index] = a
	j.assignedInZone[zone]++
	d.usage[j.spec.Team] = d.usage[j.spec.Team].Add(j.spec.PerTask)
	d.reportCharge(j, index, a, reason)
}

// unassign ends the charge of a task, if it is charged.
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

// taskFinished handles a completed attempt. The task is added to the done set, and the attempt is
// cleared on its machine only after that is stored. A task of a daemon is dispatched again.
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
		// The task is done but was assigned again to another shard.
		d.order(a.shard, model.Order{Kind: model.RecallTask, Task: e.Task})
	}
	if j.spec.Daemon { // a daemon's task never completes: it runs again
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

// sendClear orders a shard to let a worker forget an ended attempt.
func (d *Dispatcher) sendClear(c clearRequest) {
	d.order(c.shard, model.Order{Kind: model.ClearAttempt, ID: c.machine, Task: c.task, Attempt: c.attempt})
}

// freeTask handles a charged task that certainly runs nowhere: it is no longer charged, and is
// dispatched again unless it is done or its job has ended.
func (d *Dispatcher) freeTask(j *job, index int32, reason ChargeReason) {
	d.unassign(j, index, reason)
	if j.ended {
		d.removeIfUnused(j)
	} else if !j.isDone(index) {
		j.requeued = append(j.requeued, index)
	}
}

// taskReturned handles a task that its shard returned. After an error the failure is recorded.
// After an unknown cause the job pauses for 2 s.
func (d *Dispatcher) taskReturned(now time.Duration, j *job, e model.Event) {
	d.freeTask(j, e.Task.Index, Returned)
	if e.Cause == model.CauseError {
		d.taskFailed(now, j, e.Machine)
	}
	if e.Cause == model.CauseUnknown {
		j.blockedUntil = max(j.blockedUntil, now+2*time.Second)
	}
}

// compareJobs compares jobs by the time of submission, then by ID.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.spec.SubmittedMS, b.spec.SubmittedMS), cmp.Compare(a.spec.ID, b.spec.ID))
}

// sortedJobs returns all jobs, the earliest submitted first. It is a copy, because jobs may be
// removed during iteration.
func (d *Dispatcher) sortedJobs() []*job { return slices.Clone(d.jobsBySubmission) }

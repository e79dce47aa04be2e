package dispatcher

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// hold is a task charged to its team: dealt to a shard, or orphaned.
type hold struct {
	zone    model.Name
	shard   model.ShardID
	orphans *orphans // nil: a living shard holds it
}

type clearing struct {
	shard   model.ShardID
	machine model.MachineID
	task    model.Task
	attempt uint64
}

type job struct {
	spec    *model.Spec
	version uint64 // of its stored record
	done    []uint64
	nDone   int32
	held    map[int32]hold
	heldIn  map[model.Name]int32 // of held: how many are charged to each zone
	next    int32                // tasks from here on were never dealt by this leader
	back    []int32
	since   time.Duration // began to wait
	old     bool          // accepted before this term: its tasks may be anywhere
	ended   bool
	within  bool
	price   float64
	dirty   map[int32]bool // chunks to be stored
	// kept are the chunks that may be stored, with their versions as last known. A final
	// deletes only these: at four times its size a deployment used up its changes deleting
	// what never was.
	kept    map[ChunkID]uint64
	writing bool
	stored  time.Duration
	clears  []clearing
	trouble trouble
	blocked time.Duration
	// waits: jobs that it needs are not done. It holds no part of its team's limit or
	// guarantee, and nothing is rented for it.
	waits bool
	// rank is the highest of its own and of those of the jobs that need it.
	rank     model.Rank
	orphaned int32         // of held
	begun    bool          // a task of it has run, or runs
	late     bool          // none has, for too long
	pressed  time.Duration // the shards were last told so
}

// AddJob takes an open job. done holds its stored chunks; old tells that it
// was accepted before this term.
func (d *Dispatcher) AddJob(now time.Duration, sp *model.Spec, version uint64, waited time.Duration, old bool) {
	if d.jobs[sp.ID] != nil || int(sp.Team) >= len(d.p.Teams) {
		return
	}
	j := &job{
		spec:    sp,
		version: version,
		done:    make([]uint64, (sp.Tasks+63)/64),
		held:    map[int32]hold{},
		heldIn:  map[model.Name]int32{},
		since:   now - waited,
		old:     old,
		rank:    sp.Rank,
		dirty:   map[int32]bool{},
		kept:    map[ChunkID]uint64{},
	}
	j.price = Price(sp.Rank, false)
	d.jobs[sp.ID] = j
	i, _ := slices.BinarySearchFunc(d.inOrder, j, compareJobs)
	d.inOrder = slices.Insert(d.inOrder, i, j)
	d.repriced = 0
}

// AddDoneChunk takes a stored chunk of a job's done set, whose first bit is that of task
// base, with its version.
func (d *Dispatcher) AddDoneChunk(id model.JobID, chunk ChunkID, version uint64, base int32, b []byte) {
	j := d.jobs[id]
	if j == nil || base < 0 {
		return
	}
	j.kept[chunk] = version
	for i, x := range b {
		for ; x != 0; x &= x - 1 {
			if no := base + int32(i*8+bits.TrailingZeros8(x)); no < j.spec.Tasks {
				d.setDone(j, no)
			}
		}
	}
}

func (j *job) isDone(no int32) bool { return j.done[no/64]&(1<<(no%64)) != 0 }

func (d *Dispatcher) setDone(j *job, no int32) bool {
	if j.isDone(no) {
		return false
	}
	j.done[no/64] |= 1 << (no % 64)
	j.nDone++
	return true
}

// JobRemoved takes the news that a job's open record is gone: cancelled, or
// ended otherwise.
func (d *Dispatcher) JobRemoved(id model.JobID) {
	if j := d.jobs[id]; j != nil && !j.ended {
		d.end(j)
	}
}

func (d *Dispatcher) end(j *job) {
	j.ended = true
	d.toAll(model.Order{Kind: model.EndJob, Job: j.spec.ID})
	d.forget(j)
}

// forget drops an ended job once none of its tasks is charged any more.
func (d *Dispatcher) forget(j *job) {
	if j.ended && len(j.held) == 0 && !j.writing {
		delete(d.jobs, j.spec.ID)
		if i, ok := slices.BinarySearchFunc(d.inOrder, j, compareJobs); ok {
			d.inOrder = slices.Delete(d.inOrder, i, i+1)
		}
	}
}

func (d *Dispatcher) holds(j *job, no int32, id model.ShardID) bool {
	h, ok := j.held[no]
	return ok && h.orphans == nil && h.shard == id
}

func (d *Dispatcher) found(now time.Duration, from model.ShardID, e model.Event) {
	j := d.jobs[e.Task.Job]
	known := j != nil && !j.ended && e.Task.Index < j.spec.Tasks
	m := d.machines[e.Machine]
	if e.Status.Stage == model.Exited {
		if known && e.Status.Cause == model.CauseDone && !j.spec.Daemon {
			d.finished(now, from, e)
			return
		}
		d.order(from, model.Order{Kind: model.ClearAttempt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
		return
	}
	if m != nil && (m.gone || m.owner != from) {
		return // the next owner will find it
	}
	if m != nil && d.accountedFor(m) {
		d.stats.UnexpectedAttempts++
	}
	if m != nil && known && !j.isDone(e.Task.Index) && j.spec.Allows(&m.Machine) && d.adoptable(j, e.Task.Index, m) {
		checked := d.wouldAllow(j, e.Task.Index, m.Zone)
		if h, ok := j.held[e.Task.Index]; ok {
			delete(h.orphans.tasks, e.Task)
			j.orphaned--
			j.moveZone(h.zone, m.Zone)
			h.shard, h.orphans, h.zone = from, nil, m.Zone
			j.held[e.Task.Index] = h
		} else {
			d.hold(j, e.Task.Index, m.Zone, from, Adopted)
		}
		d.give(from, model.Assignment{Task: e.Task, Spec: j.spec, Price: j.price, Zone: j.pin(m.Zone), WaitingSince: j.since,
			Machine: e.Machine, Attempt: e.Attempt, WithinLimits: checked})
		return
	}
	// It takes room, and its team's share, until it is gone.
	d.strays[e.Attempt] = stray{e.Machine, from}
	d.order(from, model.Order{Kind: model.KillAttempt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
}

// adoptable: the task was orphaned and may be there, or nobody holds it and what earlier owners
// left on the machine is not known yet. Later than that it may have been dispatched elsewhere,
// and been taken back: to adopt it would pass by its team's limit and its job's zones.
func (d *Dispatcher) adoptable(j *job, no int32, m *machine) bool {
	h, ok := j.held[no]
	if !ok {
		return !d.accountedFor(m)
	}
	return h.orphans != nil && h.orphans.machines[m.ID]
}

// wouldAllow tells whether a task could be charged in a zone now, beside what else is charged: by
// its team's limit and its job's zones. An earlier leader looked at both when it dispatched the
// task, so what is not found yet need not be reckoned with.
func (d *Dispatcher) wouldAllow(j *job, no int32, zone model.Name) bool {
	used := d.usage[j.spec.Team]
	here, all := j.heldIn[zone], int32(len(j.held))
	if h, ok := j.held[no]; ok { // itself
		used = used.Sub(j.spec.PerTask)
		all--
		if h.zone == zone {
			here--
		}
	}
	switch {
	case j.spec.PerTask.Count(d.p.Teams[j.spec.Team].Remaining(used)) <= 0:
		return false
	case j.spec.SameZone:
		return here == all
	case j.spec.Spread:
		return here < j.mostInZone()
	}
	return true
}

// mostInZone is how many tasks of a job that is spread may be in one zone.
func (j *job) mostInZone() int32 { return (j.spec.Tasks + 1) / 2 }

// moveZone has a task charged to another zone.
func (j *job) moveZone(from, to model.Name) {
	j.leaveZone(from)
	j.heldIn[to]++
}

func (j *job) leaveZone(zone model.Name) {
	if j.heldIn[zone]--; j.heldIn[zone] == 0 {
		delete(j.heldIn, zone)
	}
}

func (d *Dispatcher) give(to model.ShardID, deal model.Assignment) {
	if m := d.members[to]; m != nil {
		m.deals++
	}
	d.order(to, model.Order{Kind: model.AssignTask, Assignment: deal})
}

func (j *job) pin(zone model.Name) model.Name {
	if j.spec.SameZone || j.spec.Spread {
		return zone
	}
	return model.None
}

func (d *Dispatcher) isHeld(j *job, no int32) bool { _, ok := j.held[no]; return ok }

func (d *Dispatcher) hold(j *job, no int32, zone model.Name, shard model.ShardID, why ChargeReason) {
	h := hold{zone: zone, shard: shard}
	j.held[no] = h
	j.heldIn[zone]++
	d.usage[j.spec.Team] = d.usage[j.spec.Team].Add(j.spec.PerTask)
	d.charged(j, no, h, why)
}

func (d *Dispatcher) release(j *job, no int32, why ChargeReason) {
	if h, ok := j.held[no]; ok {
		if h.orphans != nil {
			j.orphaned--
		}
		delete(j.held, no)
		j.leaveZone(h.zone)
		d.usage[j.spec.Team] = d.usage[j.spec.Team].Sub(j.spec.PerTask)
		d.charged(j, no, h, why)
	}
}

func (d *Dispatcher) finished(now time.Duration, from model.ShardID, e model.Event) {
	j := d.jobs[e.Task.Job]
	clear := clearing{from, e.Machine, e.Task, e.Attempt}
	if j != nil && e.Held && d.holds(j, e.Task.Index, from) {
		d.release(j, e.Task.Index, Completed)
	}
	if j == nil || j.ended || e.Task.Index >= j.spec.Tasks {
		if j != nil {
			d.forget(j)
		}
		d.clearIt(clear)
		return
	}
	if h, ok := j.held[e.Task.Index]; ok && h.orphans == nil {
		// It is done, yet started again elsewhere.
		d.order(h.shard, model.Order{Kind: model.RecallTask, Task: e.Task})
	}
	if j.spec.Daemon { // a replica has no end: it runs again
		if _, ok := j.held[e.Task.Index]; !ok {
			j.back = append(j.back, e.Task.Index)
		}
		d.clearIt(clear)
		return
	}
	c := e.Task.Index / d.p.ChunkSize
	if d.setDone(j, e.Task.Index) {
		j.trouble, j.blocked = trouble{}, 0
		j.dirty[c] = true
	} else if !j.dirty[c] && !j.writing {
		d.clearIt(clear)
		return
	}
	j.clears = append(j.clears, clear)
}

func (d *Dispatcher) clearIt(c clearing) {
	d.order(c.shard, model.Order{Kind: model.ClearAttempt, ID: c.machine, Task: c.task, Attempt: c.attempt})
}

// freed takes the certainty that a held task is nowhere.
func (d *Dispatcher) freed(j *job, no int32, why ChargeReason) {
	d.release(j, no, why)
	if j.ended {
		d.forget(j)
	} else if !j.isDone(no) {
		j.back = append(j.back, no)
	}
}

func (d *Dispatcher) returned(now time.Duration, j *job, e model.Event) {
	d.freed(j, e.Task.Index, Returned)
	if e.Cause == model.CauseError {
		d.failed(now, j, e.Machine)
	}
	if e.Cause == model.CauseUnknown {
		j.blocked = max(j.blocked, now+2*time.Second)
	}
}

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.spec.SubmittedMS, b.spec.SubmittedMS), cmp.Compare(a.spec.ID, b.spec.ID))
}

// sortedJobs are all jobs, the earliest first: a copy, for jobs may go
// while it is walked.
func (d *Dispatcher) sortedJobs() []*job { return slices.Clone(d.inOrder) }

// Package dealer is the leader's book: open jobs, teams' limits and
// guarantees, who holds each task, who owns each machine. It deals tasks to
// shards and takes them back. It is a state machine without input or output of
// its own.
package dealer

import (
	"math/bits"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Team is what a team is guaranteed and limited to; a zero amount means none.
type Team struct{ Guarantee, Limit model.Resources }

// Params of a dealer.
type Params struct {
	Term      uint64
	Teams     []Team // by the team's index
	ChunkSize int32  // tasks per stored chunk of a job's done set
	Progress  time.Duration
	Ahead     int // tasks of a job dealt beyond the free room, to find victims
}

type hold struct {
	zone  model.Name
	since time.Duration
}

type clearing struct {
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
	next    int32 // tasks from here on were never dealt by this leader
	back    []int32
	since   time.Duration // began to wait
	old     bool          // accepted before this term: its tasks may be anywhere
	ended   bool
	within  bool
	price   float64
	dirty   map[int32]bool // chunks to be stored
	writing bool
	stored  time.Duration
	clears  []clearing
	errors  int
	blocked time.Duration
}

type machine struct {
	model.Machine
	token    uint64
	recorded bool
	version  uint64
	writing  bool
	silent   bool
	gone     bool
}

// Write is a change for the state service.
type Write struct {
	Kind    WriteKind
	Machine model.Machine // PutMachine, DropMachine
	Version uint64        // DropMachine: the record's; Finish: the job's
	Job     model.JobID
	Chunk   int32
	Bits    []byte
	Chunks  int32 // Finish: how many chunk keys may exist

	clears []clearing
}

// WriteKind tells writes apart.
type WriteKind uint8

// Writes.
const (
	PutMachine WriteKind = iota
	DropMachine
	PutChunk
	Finish
)

// Dealer is the state machine.
type Dealer struct {
	p        Params
	owned    uint64
	jobs     map[model.JobID]*job
	machines map[model.MachineID]*machine
	suspects map[model.MachineID]bool
	aliens   map[uint64]model.MachineID
	usage    []model.Resources
	orders   []model.Order
	types    map[model.Name]model.MachineType
	repriced time.Duration
	Bad      map[model.MachineID]bool // machines that fail tasks
}

// New returns a dealer for a term that has just begun.
func New(p Params) *Dealer {
	return &Dealer{p: p, jobs: map[model.JobID]*job{}, machines: map[model.MachineID]*machine{}, suspects: map[model.MachineID]bool{},
		aliens: map[uint64]model.MachineID{}, usage: make([]model.Resources, len(p.Teams)), types: map[model.Name]model.MachineType{},
		Bad: map[model.MachineID]bool{}}
}

// Orders takes away what shards must be told.
func (d *Dealer) Orders() []model.Order {
	o := d.orders
	d.orders = nil
	return o
}

func (d *Dealer) order(o model.Order) { d.orders = append(d.orders, o) }

// Sync takes the ids of all open jobs as of a revision: what is not among them
// and was there by then has ended.
func (d *Dealer) Sync(open map[model.JobID]bool, revision uint64) {
	for id, j := range d.jobs {
		if !open[id] && j.version <= revision {
			d.Withdrawn(id)
		}
	}
}

// Recovered tells whether every machine that an earlier leader may have used
// has been accounted for.
func (d *Dealer) Recovered() bool { return len(d.suspects) == 0 }

// Suspects counts the machines not accounted for yet.
func (d *Dealer) Suspects() int { return len(d.suspects) }

// SetTypes takes the cloud's catalog.
func (d *Dealer) SetTypes(types []model.MachineType) {
	for _, t := range types {
		d.types[t.Name] = t
	}
	for _, m := range d.sortedMachines() {
		if t, ok := d.types[m.Type]; ok && m.Cap != t.Cap {
			m.Cap, m.FetchRate = t.Cap, t.FetchRate
			d.own(m)
		}
	}
}

func (d *Dealer) sortedMachines() []*machine {
	out := make([]*machine, 0, len(d.machines))
	for _, m := range d.machines {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *machine) int { return int(int64(a.ID) - int64(b.ID)) })
	return out
}

// Recall of the record: machines that an earlier leader may have given tasks.
// Each is suspect until its worker is fenced or its lease is surely over.
func (d *Dealer) Recorded(m model.Machine, version uint64) {
	if d.machines[m.ID] != nil {
		return
	}
	r := &machine{Machine: m, recorded: true, version: version}
	if t, ok := d.types[m.Type]; ok {
		r.Cap, r.FetchRate = t.Cap, t.FetchRate
	}
	d.machines[m.ID] = r
	d.suspects[m.ID] = true
	d.own(r)
}

// own gives the machine to the shard, under a token never used before.
func (d *Dealer) own(m *machine) {
	d.owned++
	m.token = d.p.Term<<32 | d.owned
	d.order(model.Order{Kind: model.Own, Machine: m.Machine, Token: m.token, Usable: m.recorded && m.Cap.CPU > 0})
}

// AddJob takes an open job. done holds its stored chunks; old tells that it
// was accepted before this term.
func (d *Dealer) AddJob(now time.Duration, sp *model.Spec, version uint64, waited time.Duration, old bool) {
	if d.jobs[sp.ID] != nil || int(sp.Team) >= len(d.p.Teams) {
		return
	}
	j := &job{spec: sp, version: version, done: make([]uint64, (sp.Tasks+63)/64), held: map[int32]hold{}, since: now - waited,
		old: old, dirty: map[int32]bool{}}
	j.price = price(sp.Rank, false)
	d.jobs[sp.ID] = j
	d.repriced = 0
}

// AddDone takes a stored chunk of a job's done set.
func (d *Dealer) AddDone(id model.JobID, chunk int32, b []byte) bool {
	j := d.jobs[id]
	if j == nil {
		return false
	}
	base := chunk * d.p.ChunkSize
	for i, x := range b {
		for ; x != 0; x &= x - 1 {
			if no := base + int32(i*8+bits.TrailingZeros8(x)); no < j.spec.Tasks {
				d.setDone(j, no)
			}
		}
	}
	return true
}

func (j *job) isDone(no int32) bool { return j.done[no/64]&(1<<(no%64)) != 0 }

func (d *Dealer) setDone(j *job, no int32) bool {
	if j.isDone(no) {
		return false
	}
	j.done[no/64] |= 1 << (no % 64)
	j.nDone++
	return true
}

// Withdrawn takes the news that a job's open record is gone: cancelled, or
// ended otherwise.
func (d *Dealer) Withdrawn(id model.JobID) {
	if j := d.jobs[id]; j != nil && !j.ended {
		d.end(j)
	}
}

func (d *Dealer) end(j *job) {
	j.ended = true
	d.order(model.Order{Kind: model.EndJob, Job: j.spec.ID})
	d.forget(j)
}

// forget drops an ended job once none of its tasks is charged any more.
func (d *Dealer) forget(j *job) {
	if j.ended && len(j.held) == 0 && !j.writing {
		delete(d.jobs, j.spec.ID)
	}
}

// Knows tells whether a job is open here.
func (d *Dealer) Knows(id model.JobID) bool { j := d.jobs[id]; return j != nil && !j.ended }

// Progress counts a job's done tasks, for display.
func (d *Dealer) Progress(id model.JobID) (done int, ok bool) {
	j := d.jobs[id]
	if j == nil || j.ended {
		return 0, false
	}
	return int(j.nDone), true
}

// Gone takes the certainty that a machine and everything on it are gone.
func (d *Dealer) Gone(id model.MachineID) {
	if m := d.machines[id]; m != nil && !m.gone {
		m.gone = true
		delete(d.suspects, id)
		d.order(model.Order{Kind: model.Disown, ID: id})
		if !m.recorded && !m.writing {
			delete(d.machines, id)
		}
	}
}

// Silent tells whether a machine is known to hold nothing for want of a lease.
func (d *Dealer) Silent(id model.MachineID) bool {
	m := d.machines[id]
	return m == nil || m.silent || m.gone
}

// Use lets tasks be placed on a machine, or not.
func (d *Dealer) Use(id model.MachineID, usable bool) {
	if m := d.machines[id]; m != nil {
		d.order(model.Order{Kind: model.Use, ID: id, Usable: usable && m.recorded && m.Cap.CPU > 0})
	}
}

// Drain asks the shard to move a machine's tasks away.
func (d *Dealer) Drain(id model.MachineID) { d.order(model.Order{Kind: model.Drain, ID: id}) }

// Event takes a shard's event.
func (d *Dealer) Event(now time.Duration, e model.Event) {
	switch e.Kind {
	case model.Unowned:
		d.unowned(e.Report)
	case model.Fenced:
		delete(d.suspects, e.Machine)
		if m := d.machines[e.Machine]; m != nil {
			m.silent = false
		}
	case model.Silent:
		delete(d.suspects, e.Machine)
		if m := d.machines[e.Machine]; m != nil {
			m.silent = true
		}
	case model.NeedToken, model.Superseded:
		// A token of this term that is higher than the owner's would be ours
		// too; one of a later term shows that this term is over, and then the
		// lease says so as well.
		if m := d.machines[e.Machine]; m != nil && !m.gone {
			if e.Kind == model.NeedToken || e.Token>>32 == d.p.Term && e.Token > m.token {
				d.own(m)
			}
		}
	case model.Found:
		d.found(now, e)
	case model.Finished:
		d.finished(now, e)
	case model.Gone:
		d.returned(now, e)
	case model.AlienGone:
		delete(d.aliens, e.Attempt)
	case model.Bad:
		d.Bad[e.Machine] = true
	}
}

func (d *Dealer) unowned(r *model.Report) {
	if m := d.machines[r.Machine.ID]; m != nil {
		if m.gone {
			return // its record is being dropped: next time
		}
		m.Addr = r.Machine.Addr
		d.own(m)
		return
	}
	m := &machine{Machine: r.Machine}
	t, ok := d.types[m.Type]
	if !ok {
		return // the catalog is not known yet
	}
	m.Cap, m.FetchRate = t.Cap, t.FetchRate
	d.machines[m.ID] = m
	// It gets tasks only once its record is stored: a later leader must know
	// every machine that may hold something.
	d.own(m)
}

func (d *Dealer) found(now time.Duration, e model.Event) {
	j := d.jobs[e.Task.Job]
	known := j != nil && !j.ended && e.Task.No < j.spec.Tasks
	if e.Cell.Stage == model.Exited {
		if known && e.Cell.Cause == model.CauseDone && !j.spec.Daemon {
			e.Held = false
			d.finished(now, e)
			return
		}
		d.order(model.Order{Kind: model.ClearIt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
		return
	}
	if m := d.machines[e.Machine]; known && m != nil && !j.isDone(e.Task.No) && !d.isHeld(j, e.Task.No) && j.spec.Allows(&m.Machine) {
		d.hold(now, j, e.Task.No, m.Zone)
		d.order(model.Order{Kind: model.Give, Deal: model.Deal{Task: e.Task, Spec: j.spec, Price: j.price, Zone: j.pin(m.Zone),
			Since: j.since, Machine: e.Machine, Attempt: e.Attempt}})
		return
	}
	// It takes room, and its team's share, until it is gone.
	d.aliens[e.Attempt] = e.Machine
	d.order(model.Order{Kind: model.KillIt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
}

func (j *job) pin(zone model.Name) model.Name {
	if j.spec.Together || j.spec.Spread {
		return zone
	}
	return model.None
}

func (d *Dealer) isHeld(j *job, no int32) bool { _, ok := j.held[no]; return ok }

func (d *Dealer) hold(now time.Duration, j *job, no int32, zone model.Name) {
	j.held[no] = hold{zone, now}
	d.usage[j.spec.Team] = d.usage[j.spec.Team].Add(j.spec.Each)
}

func (d *Dealer) release(j *job, no int32) {
	if _, ok := j.held[no]; ok {
		delete(j.held, no)
		d.usage[j.spec.Team] = d.usage[j.spec.Team].Sub(j.spec.Each)
	}
}

func (d *Dealer) finished(now time.Duration, e model.Event) {
	j := d.jobs[e.Task.Job]
	clear := clearing{e.Machine, e.Task, e.Attempt}
	if j == nil || j.ended || e.Task.No >= j.spec.Tasks {
		if j != nil && e.Held {
			d.release(j, e.Task.No)
			d.forget(j)
		}
		d.clearIt(clear)
		return
	}
	if e.Held {
		d.release(j, e.Task.No)
	} else if d.isHeld(j, e.Task.No) {
		d.order(model.Order{Kind: model.Recall, Task: e.Task})
	}
	if j.spec.Daemon { // a replica has no end: it runs again
		j.back = append(j.back, e.Task.No)
		d.clearIt(clear)
		return
	}
	if d.setDone(j, e.Task.No) {
		j.dirty[e.Task.No/d.p.ChunkSize] = true
	} else if !j.dirty[e.Task.No/d.p.ChunkSize] && !j.writing {
		d.clearIt(clear)
		return
	}
	j.clears = append(j.clears, clear)
}

func (d *Dealer) clearIt(c clearing) {
	d.order(model.Order{Kind: model.ClearIt, ID: c.machine, Task: c.task, Attempt: c.attempt})
}

func (d *Dealer) returned(now time.Duration, e model.Event) {
	j := d.jobs[e.Task.Job]
	if j == nil {
		return
	}
	d.release(j, e.Task.No)
	if j.ended {
		d.forget(j)
		return
	}
	if j.isDone(e.Task.No) {
		return
	}
	j.back = append(j.back, e.Task.No)
	if e.Cause == model.CauseError {
		// Mostly the machine; a job that fails everywhere must not hog room.
		j.errors++
		if j.errors >= 4 {
			j.blocked = now + min(time.Minute, time.Second<<min(6, j.errors-4))
		}
	}
	if e.Cause == model.CauseUnknown {
		j.blocked = max(j.blocked, now+2*time.Second)
	}
}

// Needs returns what waits for room, for the fleet: jobs with their tasks that
// are not on machines, as far as their teams' limits let them run.
func (d *Dealer) Needs() []Need {
	var out []Need
	for _, j := range d.sortedJobs() {
		if j.ended {
			continue
		}
		out = append(out, Need{Spec: j.spec, Open: j.spec.Tasks - j.nDone, Held: int32(len(j.held)), Within: j.within, Since: j.since})
	}
	return out
}

// Need is a job's hunger.
type Need struct {
	Spec       *model.Spec
	Open, Held int32
	Within     bool
	Since      time.Duration
}

// Limit is a team's limit.
func (d *Dealer) Limit(team model.Name) model.Resources { return d.p.Teams[team].Limit }

// Writes returns the changes to be stored now, at most n, the ends of jobs
// first. Each comes back through Stored.
func (d *Dealer) Writes(now time.Duration, n int) []Write {
	var out []Write
	jobs := d.sortedJobs()
	for _, j := range jobs {
		if len(out) >= n {
			return out
		}
		if !j.ended && !j.writing && !j.spec.Daemon && j.nDone == j.spec.Tasks {
			j.writing = true
			out = append(out, Write{Kind: Finish, Job: j.spec.ID, Version: j.version, Chunks: (j.spec.Tasks + d.p.ChunkSize - 1) / d.p.ChunkSize})
		}
	}
	for _, m := range d.sortedMachines() {
		if len(out) >= n {
			return out
		}
		if m.writing {
			continue
		}
		if !m.recorded && !m.gone {
			m.writing = true
			out = append(out, Write{Kind: PutMachine, Machine: m.Machine})
		} else if m.recorded && m.gone {
			m.writing = true
			out = append(out, Write{Kind: DropMachine, Machine: m.Machine, Version: m.version})
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return int(a.stored - b.stored) })
	for _, j := range jobs {
		if j.ended || j.writing || now-j.stored < d.p.Progress {
			continue
		}
		for c := range j.dirty {
			if len(out) >= n {
				return out
			}
			delete(j.dirty, c)
			j.writing, j.stored = true, now
			w := Write{Kind: PutChunk, Job: j.spec.ID, Chunk: c, Bits: d.chunk(j, c)}
			j.clears = slices.DeleteFunc(j.clears, func(cl clearing) bool {
				if cl.task.No/d.p.ChunkSize != c {
					return false
				}
				w.clears = append(w.clears, cl)
				return true
			})
			out = append(out, w)
			break // one at a time
		}
	}
	return out
}

func (d *Dealer) chunk(j *job, c int32) []byte {
	lo := c * d.p.ChunkSize
	hi := min(lo+d.p.ChunkSize, j.spec.Tasks)
	b := make([]byte, (hi-lo+7)/8)
	for no := lo; no < hi; no++ {
		if j.isDone(no) {
			b[(no-lo)/8] |= 1 << ((no - lo) % 8)
		}
	}
	return b
}

// Stored takes a write's outcome. lost tells that a Finish found the job's
// record gone: somebody else has ended it.
func (d *Dealer) Stored(now time.Duration, w Write, revision uint64, ok, lost bool) {
	switch w.Kind {
	case PutMachine:
		m := d.machines[w.Machine.ID]
		if m == nil {
			return
		}
		m.writing = false
		if ok {
			m.recorded, m.version = true, revision
			d.order(model.Order{Kind: model.Use, ID: m.ID, Usable: m.Cap.CPU > 0})
		}
	case DropMachine:
		m := d.machines[w.Machine.ID]
		if m == nil {
			return
		}
		m.writing = false
		if ok || lost {
			delete(d.machines, m.ID)
			delete(d.Bad, m.ID)
		}
	case PutChunk:
		j := d.jobs[w.Job]
		if j == nil {
			return
		}
		j.writing = false
		if ok {
			for _, c := range w.clears {
				d.clearIt(c)
			}
		} else {
			j.dirty[w.Chunk] = true
			j.clears = append(j.clears, w.clears...)
		}
		d.forget(j)
	case Finish:
		j := d.jobs[w.Job]
		if j == nil {
			return
		}
		j.writing = false
		if (ok || lost) && !j.ended {
			d.end(j)
		}
		d.forget(j)
	}
}

func (d *Dealer) sortedJobs() []*job {
	out := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int {
		if a.spec.SubmittedMS != b.spec.SubmittedMS {
			return int(a.spec.SubmittedMS - b.spec.SubmittedMS)
		}
		return int(int64(a.spec.ID) - int64(b.spec.ID))
	})
	return out
}

// Package dealer is the leader's book: open jobs, teams' limits and
// guarantees, who holds each task, who owns each machine. It deals tasks to
// shards and takes them back. It is a state machine without input or output of
// its own.
package dealer

import (
	"cmp"
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
	BlockSize uint64 // machines per stored block of records
	Progress  time.Duration
	Ahead     int // tasks of a job dealt beyond the free room, to find victims
	SureLease time.Duration
}

// hold is a task charged to its team: dealt to a shard, or adrift.
type hold struct {
	zone   model.Name
	shard  model.ShardID
	adrift *adrift // nil: a living shard holds it
}

// adrift is a set of tasks whose shard was lost, or let go of a machine. They
// may be on any of the machines, and are free once each of those has been
// accounted for: its worker fenced by a new owner, its lease surely over, or
// the machine gone. Those found are adopted before that.
type adrift struct {
	machines map[model.MachineID]bool
	tasks    map[model.Task]bool
}

// member is a shard as the dealer sees it.
type member struct {
	id       model.ShardID
	host     string
	dealtOn  map[*machine]bool // with room taken since the shard's last word on them
	jobs     map[model.JobID]model.JobCount
	rooms    []*machine // while dealing: its machines with room
	kinds    []*machine // ... and one of each kind that it has
	deals    uint64     // sent
	statusAt time.Duration
	joined   time.Duration
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
	recorded bool // surely in its block's record
	stored   bool // perhaps in it
	silent   bool
	// lapsed: nothing is there, and nothing goes there: it leaves the record,
	// so that a later leader need not look for it.
	lapsed    bool
	gone      bool
	owner     model.ShardID // 0: none
	next      model.ShardID // gets it once the owner has let go
	releasing bool          // the owner was asked to let go
	// authority is when the last shard that was lost as its owner could
	// answer it for the last time.
	authority time.Duration
	lost      time.Duration // authority of this term's lost shards alone
	groups    []*adrift
	orphaned  time.Duration       // seen without an owner since, 0: it has one
	status    model.MachineStatus // as its owner last told
	told      model.ShardID       // the owner that told it, 0: none has
	avail     model.Resources     // of status, less what was dealt since
	movedTo   model.ShardID       // its worker was told to report there
	movedAt   time.Duration
}

// alien is an attempt that must go; it runs unaccounted until it has.
type alien struct {
	machine model.MachineID
	owner   model.ShardID
}

// Write is a change for the state service.
type Write struct {
	Kind     WriteKind
	Block    uint64          // PutBlock
	Machines []model.Machine // PutBlock: all that the block is to hold
	Version  uint64          // PutBlock: the block's; Finish: the job's
	Job      model.JobID
	Chunk    int32
	Bits     []byte
	Chunks   int32 // Finish: how many chunk keys may exist

	clears []clearing
}

// WriteKind tells writes apart.
type WriteKind uint8

// Writes.
const (
	PutBlock WriteKind = iota
	PutChunk
	Finish
)

// Dealer is the state machine.
type Dealer struct {
	p        Params
	owned    uint64
	jobs     map[model.JobID]*job
	inOrder  []*job // of jobs, as sortJobs orders them
	machines map[model.MachineID]*machine
	byID     []*machine // of machines
	blocks   map[uint64]*block
	suspects map[model.MachineID]bool
	aliens   map[uint64]alien
	members  map[model.ShardID]*member
	lastID   model.ShardID
	oldEnd   time.Duration // no authority of an earlier term lasts beyond
	usage    []model.Resources
	orders   []model.Order
	types    map[model.Name]model.MachineType
	repriced time.Duration
	balanced time.Duration
	spreadAt time.Duration
	turn     int                     // whose turn it is to get a machine without an owner
	shunned  map[reach]time.Duration // controllers that a zone's workers did not reach
}

// New returns a dealer for a term that begins now. No shard of an earlier term
// acts beyond oldEnd.
func New(p Params, oldEnd time.Duration) *Dealer {
	return &Dealer{p: p, members: map[model.ShardID]*member{}, oldEnd: oldEnd, shunned: map[reach]time.Duration{}, jobs: map[model.JobID]*job{}, machines: map[model.MachineID]*machine{}, blocks: map[uint64]*block{}, suspects: map[model.MachineID]bool{},
		aliens: map[uint64]alien{}, usage: make([]model.Resources, len(p.Teams)), types: map[model.Name]model.MachineType{}}
}

// Orders takes away what shards must be told.
func (d *Dealer) Orders() []model.Order {
	o := d.orders
	d.orders = nil
	return o
}

// order is for one shard; 0 has no shard any more and is dropped.
func (d *Dealer) order(to model.ShardID, o model.Order) {
	if to != 0 {
		o.To = to
		d.orders = append(d.orders, o)
	}
}

func (d *Dealer) toAll(o model.Order) {
	for _, m := range d.sortedMembers() {
		d.order(m.id, o)
	}
}

func (d *Dealer) sortedMembers() []*member {
	out := make([]*member, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	return out
}

// Join takes a new shard and returns its id.
func (d *Dealer) Join(now time.Duration, host string) model.ShardID {
	d.lastID++
	d.members[d.lastID] = &member{id: d.lastID, host: host, joined: now, dealtOn: map[*machine]bool{}}
	return d.lastID
}

// Attempts is the first of the attempt numbers that are a shard's alone.
func (d *Dealer) Attempts(id model.ShardID) uint64 { return d.p.Term<<36 | uint64(id)<<22 }

// Lost takes the loss of a shard, which may have acted, unseen, until end. Its
// tasks stay charged until each of its machines is accounted for.
func (d *Dealer) Lost(id model.ShardID, end time.Duration) {
	if d.members[id] == nil {
		return
	}
	delete(d.members, id)
	g := &adrift{machines: map[model.MachineID]bool{}, tasks: map[model.Task]bool{}}
	for _, m := range d.sortedMachines() {
		if m.next == id {
			m.next = 0
		}
		if m.owner == id {
			m.owner, m.next, m.releasing = 0, 0, false
			m.lost = max(m.lost, end)
			m.authority = max(m.authority, end)
			m.silent = false
			g.machines[m.ID] = true
			m.groups = append(m.groups, g)
		}
	}
	for _, j := range d.sortedJobs() {
		for no, h := range j.held {
			if h.shard == id && h.adrift == nil {
				d.setAdrift(j, no, g)
			}
		}
	}
	d.settle(g)
}

func (d *Dealer) setAdrift(j *job, no int32, g *adrift) {
	h := j.held[no]
	h.shard, h.adrift = 0, g
	j.held[no] = h
	g.tasks[model.Task{Job: j.spec.ID, No: no}] = true
}

// settle frees what is still adrift once no machine is left to look at.
func (d *Dealer) settle(g *adrift) {
	if len(g.machines) > 0 {
		return
	}
	tasks := make([]model.Task, 0, len(g.tasks))
	for t := range g.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, model.Task.Compare)
	for _, t := range tasks {
		if j := d.jobs[t.Job]; j != nil && j.held[t.No].adrift == g {
			d.freed(j, t.No)
		}
	}
	g.tasks = nil
}

// resolve accounts for a machine: all that an earlier owner left there has
// been found, or is gone.
func (d *Dealer) resolve(m *machine) {
	delete(d.suspects, m.ID)
	for id, a := range d.aliens {
		if a.machine == m.ID && a.owner != m.owner {
			delete(d.aliens, id) // its owner has found it again, or it is gone
		}
	}
	groups := m.groups
	m.groups = nil
	for _, g := range groups {
		delete(g.machines, m.ID)
		d.settle(g)
	}
}

// EveryoneHere tells that all controllers have joined this term: nobody acts
// for an earlier one.
func (d *Dealer) EveryoneHere(now time.Duration) { d.oldEnd = min(d.oldEnd, now) }

// Tick settles what time alone decides.
func (d *Dealer) Tick(now time.Duration) {
	d.spread(now)
	members := d.sortedMembers()
	for _, m := range d.sortedMachines() {
		if d.suspects[m.ID] {
			m.authority = max(d.oldEnd, m.lost)
		}
		if m.owner != 0 || len(m.groups) == 0 && !d.suspects[m.ID] {
			m.orphaned = 0
			continue
		}
		if now > m.authority+d.p.SureLease {
			d.resolve(m)
			continue
		}
		// Nobody's, and work waits until it is accounted for: a shard is to
		// reach for its worker, for that may not report for long.
		if m.orphaned == 0 {
			m.orphaned = now
		} else if now-m.orphaned >= orphanPatience && len(members) > 0 && !m.gone {
			d.own(m, members[d.turn%len(members)].id)
			d.turn++
		}
	}
}

// orphanPatience is how long a machine that lost its owner is left to report to
// another one by itself.
const orphanPatience = time.Second

// Dealt counts the deals made to a shard.
func (d *Dealer) Dealt(id model.ShardID) uint64 {
	if m := d.members[id]; m != nil {
		return m.deals
	}
	return 0
}

// Status takes a shard's summary of the machines that have changed since its
// last one.
func (d *Dealer) Status(now time.Duration, id model.ShardID, status []model.MachineStatus, jobs map[model.JobID]model.JobCount, acked uint64) {
	m := d.members[id]
	if m == nil {
		return
	}
	m.jobs = jobs
	// Rooms as of before the newest deals would be dealt twice: what was dealt
	// on stays taken until the shard has said how it is after them.
	fresh := acked >= m.deals || now-m.statusAt >= time.Second
	for i := range status {
		r := d.machines[status[i].Machine.ID]
		if r == nil || r.owner != id {
			continue
		}
		r.status, r.told = status[i], id
		r.status.Machine = r.Machine
		if !m.dealtOn[r] {
			r.avail = r.status.Avail
		}
	}
	if fresh {
		m.statusAt = now
		for r := range m.dealtOn {
			r.avail = r.status.Avail
		}
		clear(m.dealtOn)
	}
}

// known tells whether the machine's owner has told how it is.
func (m *machine) known() bool { return m.told == m.owner && m.owner != 0 }

// Machines is what all shards last said of their machines.
func (d *Dealer) Machines() []model.MachineStatus {
	out := make([]model.MachineStatus, 0, len(d.byID))
	for _, m := range d.byID {
		if m.known() {
			st := m.status
			st.Avail = m.avail
			out = append(out, st)
		}
	}
	return out
}

// Open calls f for every open job with its counts.
func (d *Dealer) Open(f func(id model.JobID, version uint64, done, running int)) {
	for _, j := range d.sortedJobs() {
		if !j.ended {
			f(j.spec.ID, j.version, int(j.nDone), d.Count(j.spec.ID).Running)
		}
	}
}

// Count sums up a job's tasks at the shards.
func (d *Dealer) Count(id model.JobID) model.JobCount {
	var c model.JobCount
	for _, m := range d.members {
		c.Waiting += m.jobs[id].Waiting
		c.Running += m.jobs[id].Running
	}
	return c
}

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

// SetTypes takes the cloud's catalog.
func (d *Dealer) SetTypes(types []model.MachineType) {
	for _, t := range types {
		d.types[t.Name] = t
	}
	for _, m := range d.sortedMachines() {
		if t, ok := d.types[m.Type]; ok && m.Cap != t.Cap {
			m.Cap, m.FetchRate = t.Cap, t.FetchRate
			if m.owner != 0 {
				d.own(m, m.owner)
			}
		}
	}
}

func compareMachines(a, b *machine) int { return cmp.Compare(a.ID, b.ID) }

// sortedMachines are all machines by id: a copy, for machines may go while it
// is walked.
func (d *Dealer) sortedMachines() []*machine { return slices.Clone(d.byID) }

func (d *Dealer) addMachine(m *machine) {
	d.machines[m.ID] = m
	i, _ := slices.BinarySearchFunc(d.byID, m, compareMachines)
	d.byID = slices.Insert(d.byID, i, m)
}

func (d *Dealer) dropMachine(m *machine) {
	delete(d.machines, m.ID)
	if i, ok := slices.BinarySearchFunc(d.byID, m, compareMachines); ok {
		d.byID = slices.Delete(d.byID, i, i+1)
	}
}

// Recorded takes a machine that an earlier leader may have given tasks. It is
// suspect until its worker is fenced or its lease is surely over.
func (d *Dealer) Recorded(m model.Machine, version uint64) {
	if d.machines[m.ID] != nil {
		return
	}
	d.block(m.ID).version = version
	r := &machine{Machine: m, recorded: true, stored: true, authority: d.oldEnd}
	if t, ok := d.types[m.Type]; ok {
		r.Cap, r.FetchRate = t.Cap, t.FetchRate
	}
	d.addMachine(r)
	d.suspects[m.ID] = true
}

// own gives the machine to a shard, under a token never used before.
func (d *Dealer) own(m *machine, to model.ShardID) {
	if m.owner != to {
		m.silent, m.told = false, 0
	}
	d.owned++
	m.owner, m.next = to, 0
	m.token = d.p.Term<<32 | d.owned
	d.order(to, model.Order{Kind: model.Own, Machine: m.Machine, Token: m.token, Usable: m.usable()})
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
	i, _ := slices.BinarySearchFunc(d.inOrder, j, compareJobs)
	d.inOrder = slices.Insert(d.inOrder, i, j)
	d.repriced = 0
}

// AddDone takes a stored chunk of a job's done set.
func (d *Dealer) AddDone(id model.JobID, chunk int32, b []byte) {
	j := d.jobs[id]
	if j == nil {
		return
	}
	base := chunk * d.p.ChunkSize
	for i, x := range b {
		for ; x != 0; x &= x - 1 {
			if no := base + int32(i*8+bits.TrailingZeros8(x)); no < j.spec.Tasks {
				d.setDone(j, no)
			}
		}
	}
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
	d.toAll(model.Order{Kind: model.EndJob, Job: j.spec.ID})
	d.forget(j)
}

// forget drops an ended job once none of its tasks is charged any more.
func (d *Dealer) forget(j *job) {
	if j.ended && len(j.held) == 0 && !j.writing {
		delete(d.jobs, j.spec.ID)
		if i, ok := slices.BinarySearchFunc(d.inOrder, j, compareJobs); ok {
			d.inOrder = slices.Delete(d.inOrder, i, i+1)
		}
	}
}

// Gone takes the certainty that a machine and everything on it are gone.
func (d *Dealer) Gone(id model.MachineID) {
	if m := d.machines[id]; m != nil && !m.gone {
		m.gone = true
		d.order(m.owner, model.Order{Kind: model.Disown, ID: id})
		d.resolve(m)
		if m.stored {
			d.block(id).dirty = true
		} else {
			d.dropMachine(m)
		}
	}
}

// Unseen returns the machines of earlier terms that are not accounted for yet,
// if they are at most that share of all, or only one.
func (d *Dealer) Unseen(share float64) []model.MachineID {
	if len(d.suspects) > max(1, int(share*float64(len(d.machines)))) {
		return nil
	}
	var out []model.MachineID
	for _, m := range d.byID {
		if d.suspects[m.ID] {
			out = append(out, m.ID)
		}
	}
	return out
}

// Suspects counts the machines of earlier terms that are not accounted for.
func (d *Dealer) Suspects() int { return len(d.suspects) }

// HasMachines tells whether there is any machine.
func (d *Dealer) HasMachines() bool { return len(d.machines) > 0 }

// Silent tells whether no shard has answered a machine for its whole lease.
func (d *Dealer) Silent(id model.MachineID) bool {
	m := d.machines[id]
	return m == nil || m.silent || m.gone || m.owner == 0
}

// Use lets tasks be placed on a machine, or not.
func (d *Dealer) Use(id model.MachineID, usable bool) {
	if m := d.machines[id]; m != nil {
		d.order(m.owner, model.Order{Kind: model.Use, ID: id, Usable: usable && m.usable()})
	}
}

// usable: a machine gets tasks only while its record is stored for sure.
func (m *machine) usable() bool { return m.recorded && !m.lapsed && m.Cap.CPU > 0 }

// Event takes an event of a shard.
func (d *Dealer) Event(now time.Duration, from model.ShardID, e model.Event) {
	if d.members[from] == nil {
		return
	}
	m := d.machines[e.Machine]
	owner := m != nil && m.owner == from
	switch e.Kind {
	case model.Unowned:
		d.unowned(now, from, e.Report)
	case model.Fenced:
		if owner {
			d.alive(m)
		}
		// From a shard that is to let go, neither this nor what it found
		// counts: orders that follow from it would arrive too late there.
		if owner && !m.releasing {
			m.silent = false
			d.resolve(m)
		}
	case model.Heard:
		if owner {
			d.alive(m)
		}
	case model.Silent:
		if !owner || e.Token != m.token {
			return
		}
		m.silent = true
		// Nobody else may answer it, unless a lost shard still did. The shard
		// must confirm after that: it may have answered meanwhile.
		if now > m.authority+d.p.SureLease {
			d.order(from, model.Order{Kind: model.Lapse, ID: m.ID})
		}
	case model.Lapsed:
		if owner && !m.releasing && e.Token == m.token {
			d.resolve(m)
			m.lapsed = true
			d.block(m.ID).dirty = true
			d.Use(m.ID, false)
		}
	case model.Released:
		d.released(now, from, m, e)
	case model.NeedToken, model.Superseded:
		// A token of this term that is higher than the owner's was given by
		// this dealer; one of a later term shows that this term is over, and
		// then the lease says so as well.
		if owner && !m.gone && (e.Kind == model.NeedToken || e.Token>>32 == d.p.Term) {
			d.own(m, from)
		}
	case model.Remembered:
		// Its worker will report there again: it is fenced there, and need not
		// change hands.
		if m != nil && m.owner == 0 && !m.gone {
			d.own(m, from)
		}
	case model.Found:
		d.found(now, from, e)
	case model.Finished:
		d.finished(now, from, e)
	case model.Gone:
		if j := d.jobs[e.Task.Job]; j != nil && d.holds(j, e.Task.No, from) {
			d.returned(now, j, e)
		}
	case model.AlienGone:
		delete(d.aliens, e.Attempt)
	}
}

// alive takes the news that a machine's worker reports.
func (d *Dealer) alive(m *machine) {
	m.silent = false
	if !m.lapsed {
		return
	}
	m.lapsed = false
	if !m.recorded {
		d.block(m.ID).dirty = true
	}
	d.Use(m.ID, true)
}

func (d *Dealer) holds(j *job, no int32, id model.ShardID) bool {
	h, ok := j.held[no]
	return ok && h.adrift == nil && h.shard == id
}

func (d *Dealer) unowned(now time.Duration, from model.ShardID, r *model.Report) {
	m := d.machines[r.Machine.ID]
	if m != nil {
		d.arrived(now, m, from)
	}
	switch {
	case m == nil:
		t, ok := d.types[r.Machine.Type]
		if !ok {
			return // the catalog is not known yet
		}
		m = &machine{Machine: r.Machine}
		m.Cap, m.FetchRate = t.Cap, t.FetchRate
		d.addMachine(m)
		d.block(m.ID).dirty = true
		// It gets tasks only once its record is stored: a later leader must
		// know every machine that may hold something.
		d.own(m, from)
	case m.gone: // its record is being dropped: next time
	case m.owner == 0:
		m.Addr = r.Machine.Addr
		d.own(m, from)
	case m.owner == from: // the order is on its way
	case m.releasing:
		m.next = from
	default:
		// The worker has moved. What its owner knows of it must not be lost.
		m.next, m.releasing = from, true
		d.order(m.owner, model.Order{Kind: model.Release, ID: m.ID})
	}
}

func (d *Dealer) released(now time.Duration, from model.ShardID, m *machine, e model.Event) {
	if m == nil || m.owner != from {
		return
	}
	g := &adrift{machines: map[model.MachineID]bool{m.ID: true}, tasks: map[model.Task]bool{}}
	for _, t := range e.Tasks {
		if j := d.jobs[t.Job]; j != nil && d.holds(j, t.No, from) {
			d.setAdrift(j, t.No, g)
		}
	}
	m.groups = append(m.groups, g)
	m.owner, m.releasing = 0, false
	// It was answered until now at the latest.
	m.lost = max(m.lost, now)
	m.authority = max(m.authority, now)
	if m.gone {
		d.resolve(m)
	} else if d.members[m.next] != nil {
		d.own(m, m.next)
	}
	m.next = 0
}

func (d *Dealer) found(now time.Duration, from model.ShardID, e model.Event) {
	j := d.jobs[e.Task.Job]
	known := j != nil && !j.ended && e.Task.No < j.spec.Tasks
	m := d.machines[e.Machine]
	if e.Cell.Stage == model.Exited {
		if known && e.Cell.Cause == model.CauseDone && !j.spec.Daemon {
			d.finished(now, from, e)
			return
		}
		d.order(from, model.Order{Kind: model.ClearIt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
		return
	}
	if m != nil && (m.releasing || m.gone || m.owner != from) {
		return // the next owner will find it
	}
	if m != nil && known && !j.isDone(e.Task.No) && j.spec.Allows(&m.Machine) && d.adoptable(j, e.Task.No, m) {
		if h, ok := j.held[e.Task.No]; ok {
			delete(h.adrift.tasks, e.Task)
			h.shard, h.adrift, h.zone = from, nil, m.Zone
			j.held[e.Task.No] = h
		} else {
			d.hold(j, e.Task.No, m.Zone, from)
		}
		d.give(from, model.Deal{Task: e.Task, Spec: j.spec, Price: j.price, Zone: j.pin(m.Zone), Since: j.since,
			Machine: e.Machine, Attempt: e.Attempt})
		return
	}
	// It takes room, and its team's share, until it is gone.
	d.aliens[e.Attempt] = alien{e.Machine, from}
	d.order(from, model.Order{Kind: model.KillIt, ID: e.Machine, Task: e.Task, Attempt: e.Attempt})
}

// adoptable: nobody holds the task, or it was adrift and may be there.
func (d *Dealer) adoptable(j *job, no int32, m *machine) bool {
	h, ok := j.held[no]
	return !ok || h.adrift != nil && h.adrift.machines[m.ID]
}

func (d *Dealer) give(to model.ShardID, deal model.Deal) {
	if m := d.members[to]; m != nil {
		m.deals++
	}
	d.order(to, model.Order{Kind: model.Give, Deal: deal})
}

func (j *job) pin(zone model.Name) model.Name {
	if j.spec.Together || j.spec.Spread {
		return zone
	}
	return model.None
}

func (d *Dealer) isHeld(j *job, no int32) bool { _, ok := j.held[no]; return ok }

func (d *Dealer) hold(j *job, no int32, zone model.Name, shard model.ShardID) {
	j.held[no] = hold{zone: zone, shard: shard}
	d.usage[j.spec.Team] = d.usage[j.spec.Team].Add(j.spec.Each)
}

func (d *Dealer) release(j *job, no int32) {
	if _, ok := j.held[no]; ok {
		delete(j.held, no)
		d.usage[j.spec.Team] = d.usage[j.spec.Team].Sub(j.spec.Each)
	}
}

func (d *Dealer) finished(now time.Duration, from model.ShardID, e model.Event) {
	j := d.jobs[e.Task.Job]
	clear := clearing{from, e.Machine, e.Task, e.Attempt}
	if j != nil && e.Held && d.holds(j, e.Task.No, from) {
		d.release(j, e.Task.No)
	}
	if j == nil || j.ended || e.Task.No >= j.spec.Tasks {
		if j != nil {
			d.forget(j)
		}
		d.clearIt(clear)
		return
	}
	if h, ok := j.held[e.Task.No]; ok && h.adrift == nil {
		// It is done, yet started again elsewhere.
		d.order(h.shard, model.Order{Kind: model.Recall, Task: e.Task})
	}
	if j.spec.Daemon { // a replica has no end: it runs again
		if _, ok := j.held[e.Task.No]; !ok {
			j.back = append(j.back, e.Task.No)
		}
		d.clearIt(clear)
		return
	}
	c := e.Task.No / d.p.ChunkSize
	if d.setDone(j, e.Task.No) {
		j.dirty[c] = true
	} else if !j.dirty[c] && !j.writing {
		d.clearIt(clear)
		return
	}
	j.clears = append(j.clears, clear)
}

func (d *Dealer) clearIt(c clearing) {
	d.order(c.shard, model.Order{Kind: model.ClearIt, ID: c.machine, Task: c.task, Attempt: c.attempt})
}

// freed takes the certainty that a held task is nowhere.
func (d *Dealer) freed(j *job, no int32) {
	d.release(j, no)
	if j.ended {
		d.forget(j)
	} else if !j.isDone(no) {
		j.back = append(j.back, no)
	}
}

func (d *Dealer) returned(now time.Duration, j *job, e model.Event) {
	d.freed(j, e.Task.No)
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
	out = d.blockWrites(out, n)
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
// record gone, for somebody else has ended it, or that a PutBlock found the
// block at another version, which is the revision then.
func (d *Dealer) Stored(now time.Duration, w Write, revision uint64, ok, lost bool) {
	switch w.Kind {
	case PutBlock:
		d.blockStored(w, revision, ok, lost)
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

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.spec.SubmittedMS, b.spec.SubmittedMS), cmp.Compare(a.spec.ID, b.spec.ID))
}

// sortedJobs are all jobs, the earliest first: a copy, for jobs may go
// while it is walked.
func (d *Dealer) sortedJobs() []*job { return slices.Clone(d.inOrder) }

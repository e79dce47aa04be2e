package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

type machine struct {
	model.Machine
	token    uint64
	recorded bool // surely in a block's record
	// recordedIn is the layout of the block that it is recorded in.
	recordedIn   uint64
	stored       bool // perhaps in it
	leaseExpired bool // its owner has not answered it for a whole lease
	// lapsed: nothing is there, and nothing goes there: it leaves the record,
	// so that a later leader need not look for it.
	lapsed    bool
	gone      bool
	barred    bool          // gets no tasks
	owner     model.ShardID // 0: none
	next      model.ShardID // gets it once the owner has let go
	releasing bool          // the owner was asked to let go
	// authority is when the last shard that was lost as its owner could
	// answer it for the last time.
	authority      time.Duration
	lost           time.Duration // authority of this term's lost shards alone
	groups         []*orphans
	unanswered     bool                // a direct command to its worker was not answered
	unreachable    bool                // ... nor has it reported, while others of its zone do
	unownedSince   time.Duration       // seen without an owner since, 0: it has one
	status         model.MachineStatus // as its owner last told
	told           model.ShardID       // the owner that told it, 0: none has
	avail          model.Resources     // of status, less what was dealt since
	fenced         bool                // by its present owner
	unfencedOwners int                 // owners in succession that let go without having fenced it
	ownedAt        time.Duration       // its owner was told
	movedTo        model.ShardID       // its worker was told to report there
	movedAt        time.Duration
}

// AllControllersJoined tells that all controllers have joined this term: nobody acts
// for an earlier one.
func (d *Dispatcher) AllControllersJoined(now time.Duration) { d.oldEnd = min(d.oldEnd, now) }

// Tick settles what time alone decides.
func (d *Dispatcher) Tick(now time.Duration) {
	d.now = now
	d.spread(now)
	members := d.sortedMembers()
	for _, m := range d.sortedMachines() {
		if d.suspects[m.ID] {
			m.authority = max(d.oldEnd, m.lost)
		}
		if m.owner != 0 || len(m.groups) == 0 && !d.suspects[m.ID] {
			m.unownedSince = 0
			continue
		}
		if now > m.authority+d.p.MaxLease {
			d.resolve(m)
			continue
		}
		// Nobody's, and work waits until it is accounted for: a shard is to
		// reach for its worker, for that may not report for long.
		if m.unownedSince == 0 {
			m.unownedSince = now
		} else if now-m.unownedSince >= unownedPatience && len(members) > 0 && !m.gone {
			d.own(m, members[d.turn%len(members)].id)
			d.turn++
		}
	}
}

// unownedPatience is how long a machine that lost its owner is left to report to
// another one by itself.
const unownedPatience = time.Second

// Recovered tells whether every machine that an earlier leader may have used
// has been accounted for.
func (d *Dispatcher) Recovered() bool { return len(d.suspects) == 0 }

// SetTypes takes the cloud's catalog.
func (d *Dispatcher) SetTypes(types []model.MachineType) {
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
func (d *Dispatcher) sortedMachines() []*machine { return slices.Clone(d.byID) }

func (d *Dispatcher) addMachine(m *machine) {
	d.machines[m.ID] = m
	m.barred = d.barred[m.ID]
	i, _ := slices.BinarySearchFunc(d.byID, m, compareMachines)
	d.byID = slices.Insert(d.byID, i, m)
}

func (d *Dispatcher) dropMachine(m *machine) {
	delete(d.machines, m.ID)
	if i, ok := slices.BinarySearchFunc(d.byID, m, compareMachines); ok {
		d.byID = slices.Delete(d.byID, i, i+1)
	}
}

// AddStoredBlock takes a stored block of machines that an earlier leader may have given
// tasks. They are suspect until their workers are fenced or their leases are surely
// over. Blocks of the layout that is to be written come first.
func (d *Dispatcher) AddStoredBlock(id BlockID, version uint64, ms []model.Machine) {
	d.blockAt(id).version = version
	for _, m := range ms {
		d.suspect(m, id.Size)
	}
}

func (d *Dispatcher) suspect(m model.Machine, layout uint64) {
	if d.machines[m.ID] != nil {
		return
	}
	r := &machine{Machine: m, recorded: true, stored: true, recordedIn: layout, authority: d.oldEnd}
	if t, ok := d.types[m.Type]; ok {
		r.Cap, r.FetchRate = t.Cap, t.FetchRate
	}
	d.addMachine(r)
	d.suspects[m.ID] = true
}

// own gives the machine to a shard, under a token never used before.
func (d *Dispatcher) own(m *machine, to model.ShardID) {
	if m.owner != to {
		m.ownedAt = d.now
		m.leaseExpired, m.unreachable, m.told, m.fenced = false, false, 0, false
		if d.owns != nil {
			d.owns[m.owner]--
			d.owns[to]++
		}
	}
	d.owned++
	m.owner, m.next = to, 0
	m.token = d.p.Term<<32 | d.owned
	d.order(to, model.Order{Kind: model.OwnMachine, Machine: m.Machine, Token: m.token, Usable: m.usable(), VerifyFirst: m.toProve()})
}

// MachineGone takes the certainty that a machine and everything on it are gone.
func (d *Dispatcher) MachineGone(id model.MachineID) {
	if m := d.machines[id]; m != nil && !m.gone {
		m.gone = true
		d.order(m.owner, model.Order{Kind: model.RemoveMachine, ID: id})
		d.resolve(m)
		if m.stored {
			d.block(id).dirty = true
		} else {
			d.dropMachine(m)
		}
	}
}

// UnaccountedMachines returns the machines of earlier terms that are not accounted for yet,
// if they are at most that share of all, or only one.
func (d *Dispatcher) UnaccountedMachines(share float64) []model.MachineID {
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

// AllUnaccountedUnresponsive tells whether each machine of earlier terms that is not accounted
// for has left a command unanswered.
func (d *Dispatcher) AllUnaccountedUnresponsive() bool {
	for id := range d.suspects {
		if !d.machines[id].unanswered {
			return false
		}
	}
	return true
}

// UnreachableMachines are the machines whose workers neither report nor answer though others of
// their zone do.
func (d *Dispatcher) UnreachableMachines() (out []model.MachineID) {
	for _, m := range d.byID {
		if m.unreachable && m.owner != 0 && !m.gone {
			out = append(out, m.ID)
		}
	}
	return out
}

// MachineOwners are the owners of all machines that have one.
func (d *Dispatcher) MachineOwners() (out []model.ShardID) {
	for _, m := range d.byID {
		if m.owner != 0 && !m.gone {
			out = append(out, m.owner)
		}
	}
	return out
}

// HasMachines tells whether there is any machine.
func (d *Dispatcher) HasMachines() bool { return len(d.machines) > 0 }

// LeaseExpired tells whether no shard has answered a machine for its whole lease.
func (d *Dispatcher) LeaseExpired(id model.MachineID) bool {
	m := d.machines[id]
	return m == nil || m.leaseExpired || m.gone || m.owner == 0
}

// SetUsable lets tasks be placed on a machine, or not.
func (d *Dispatcher) SetUsable(id model.MachineID, usable bool) {
	if m := d.machines[id]; m != nil {
		d.order(m.owner, model.Order{Kind: model.SetUsable, ID: id, Usable: usable && m.usable()})
	}
}

// usable: a machine gets tasks only while its record is stored for sure.
func (m *machine) usable() bool { return m.recorded && !m.lapsed && !m.barred && m.Cap.CPU > 0 }

// heardAgain takes the news that a machine's worker reports.
func (d *Dispatcher) heardAgain(m *machine) {
	m.leaseExpired, m.unreachable = false, false
	if !m.lapsed {
		return
	}
	m.lapsed = false
	d.stats.ReturnedMachines++
	if !m.recorded {
		d.block(m.ID).dirty = true
	}
	d.SetUsable(m.ID, true)
}

func (d *Dispatcher) unowned(now time.Duration, from model.ShardID, e *model.Event) {
	r := e.Report
	m := d.machines[r.Machine.ID]
	if m != nil {
		d.arrived(now, m, from)
		if m.owner == 0 {
			m.Addr = r.Machine.Addr
		}
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
		if !d.elsewhere(now, m, from) {
			d.own(m, from)
		}
	case m.gone: // its record is being dropped: next time
	case m.owner == from: // the order is on its way
	case d.elsewhere(now, m, from):
	case m.owner == 0:
		d.own(m, from)
	case m.releasing:
		m.next = from
	case m.toProve() && !m.fenced && now-m.ownedAt < proveTurn:
		// Its owner is asking it whether it hears.
	default:
		// The worker has moved, unless this is a copy: its owner knows. What that knows
		// of the machine must not be lost.
		m.next, m.releasing = from, true
		d.order(m.owner, model.Order{Kind: model.ReleaseMachine, ID: m.ID, MessageID: e.MessageID})
	}
}

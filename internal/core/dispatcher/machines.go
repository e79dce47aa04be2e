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
	// recordedLayout is the layout of the block that it is recorded in.
	recordedLayout uint64
	maybeStored    bool // perhaps in it
	leaseExpired   bool // its owner has not answered it for a whole lease
	// expiryConfirmed: nothing is there, and nothing goes there: it leaves the record,
	// so that a later leader need not look for it.
	expiryConfirmed bool
	gone            bool
	cordoned        bool          // gets no tasks
	owner           model.ShardID // 0: none
	nextOwner       model.ShardID // gets it once the owner has let go
	releasing       bool          // the owner was asked to let go
	// authorityEnd is when the last shard that was lost as its owner could
	// answer it for the last time.
	authorityEnd     time.Duration
	lostAuthorityEnd time.Duration // authority of this term's lost shards alone
	orphanGroups     []*orphanGroup
	unanswered       bool                // a direct command to its worker was not answered
	unreachable      bool                // ... nor has it reported, while others of its zone do
	unownedSince     time.Duration       // seen without an owner since, 0: it has one
	status           model.MachineStatus // as its owner last told
	statusFrom       model.ShardID       // the owner that told it, 0: none has
	avail            model.Resources     // of status, less what was dealt since
	fenced           bool                // by its present owner
	unfencedOwners   int                 // owners in succession that let go without having fenced it
	ownedAt          time.Duration       // its owner was told
	redirectedTo     model.ShardID       // its worker was told to report there
	redirectedAt     time.Duration
}

// AllControllersJoined tells that all controllers have joined this term: nobody acts
// for an earlier one.
func (d *Dispatcher) AllControllersJoined(now time.Duration) {
	d.earlierTermsEnd = min(d.earlierTermsEnd, now)
}

// Tick settles what time alone decides.
func (d *Dispatcher) Tick(now time.Duration) {
	d.now = now
	d.rebalanceMachines(now)
	members := d.sortedMembers()
	for _, m := range d.sortedMachines() {
		if d.unaccounted[m.ID] {
			m.authorityEnd = max(d.earlierTermsEnd, m.lostAuthorityEnd)
		}
		if m.owner != 0 || len(m.orphanGroups) == 0 && !d.unaccounted[m.ID] {
			m.unownedSince = 0
			continue
		}
		if now > m.authorityEnd+d.params.MaxLease {
			d.markAccounted(m)
			continue
		}
		// Nobody's, and work waits until it is accounted for: a shard is to
		// reach for its worker, for that may not report for long.
		if m.unownedSince == 0 {
			m.unownedSince = now
		} else if now-m.unownedSince >= unownedTimeout && len(members) > 0 && !m.gone {
			d.assignOwner(m, members[d.roundRobin%len(members)].id)
			d.roundRobin++
		}
	}
}

// unownedTimeout is how long a machine that lost its owner is left to report to
// another one by itself.
const unownedTimeout = time.Second

// Recovered tells whether every machine that an earlier leader may have used
// has been accounted for.
func (d *Dispatcher) Recovered() bool { return len(d.unaccounted) == 0 }

// SetTypes takes the cloud's catalog.
func (d *Dispatcher) SetTypes(types []model.MachineType) {
	for _, t := range types {
		d.types[t.Name] = t
	}
	for _, m := range d.sortedMachines() {
		if t, ok := d.types[m.Type]; ok && m.Cap != t.Cap {
			m.Cap, m.FetchRate = t.Cap, t.FetchRate
			if m.owner != 0 {
				d.assignOwner(m, m.owner)
			}
		}
	}
}

func compareMachines(a, b *machine) int { return cmp.Compare(a.ID, b.ID) }

// sortedMachines are all machines by id: a copy, for machines may go while it
// is walked.
func (d *Dispatcher) sortedMachines() []*machine { return slices.Clone(d.machinesByID) }

func (d *Dispatcher) addMachine(m *machine) {
	d.machines[m.ID] = m
	m.cordoned = d.cordoned[m.ID]
	i, _ := slices.BinarySearchFunc(d.machinesByID, m, compareMachines)
	d.machinesByID = slices.Insert(d.machinesByID, i, m)
}

func (d *Dispatcher) removeMachine(m *machine) {
	delete(d.machines, m.ID)
	if i, ok := slices.BinarySearchFunc(d.machinesByID, m, compareMachines); ok {
		d.machinesByID = slices.Delete(d.machinesByID, i, i+1)
	}
}

// AddStoredBlock takes a stored block of machines that an earlier leader may have given
// tasks. They are suspect until their workers are fenced or their leases are surely
// over. Blocks of the layout that is to be written come first.
func (d *Dispatcher) AddStoredBlock(id BlockID, version uint64, machines []model.Machine) {
	d.blockAt(id).version = version
	for _, m := range machines {
		d.addUnaccounted(m, id.Size)
	}
}

func (d *Dispatcher) addUnaccounted(stored model.Machine, layout uint64) {
	if d.machines[stored.ID] != nil {
		return
	}
	m := &machine{Machine: stored, recorded: true, maybeStored: true, recordedLayout: layout,
		authorityEnd: d.earlierTermsEnd}
	if t, ok := d.types[stored.Type]; ok {
		m.Cap, m.FetchRate = t.Cap, t.FetchRate
	}
	d.addMachine(m)
	d.unaccounted[stored.ID] = true
}

// assignOwner gives the machine to a shard, under a token never used before.
func (d *Dispatcher) assignOwner(m *machine, to model.ShardID) {
	if m.owner != to {
		m.ownedAt = d.now
		m.leaseExpired, m.unreachable, m.statusFrom, m.fenced = false, false, 0, false
		if d.machineCounts != nil {
			d.machineCounts[m.owner]--
			d.machineCounts[to]++
		}
	}
	d.tokensIssued++
	m.owner, m.nextOwner = to, 0
	m.token = d.params.Term<<32 | d.tokensIssued
	d.order(to, model.Order{Kind: model.OwnMachine, Machine: m.Machine, Token: m.token, Usable: m.usable(),
		VerifyFirst: m.needsVerification()})
}

// MachineGone takes the certainty that a machine and everything on it are gone.
func (d *Dispatcher) MachineGone(id model.MachineID) {
	if m := d.machines[id]; m != nil && !m.gone {
		m.gone = true
		d.order(m.owner, model.Order{Kind: model.RemoveMachine, ID: id})
		d.markAccounted(m)
		if m.maybeStored {
			d.block(id).dirty = true
		} else {
			d.removeMachine(m)
		}
	}
}

// UnaccountedMachines returns the machines of earlier terms that are not accounted for yet,
// if they are at most that share of all, or only one.
func (d *Dispatcher) UnaccountedMachines(share float64) []model.MachineID {
	if len(d.unaccounted) > max(1, int(share*float64(len(d.machines)))) {
		return nil
	}
	var out []model.MachineID
	for _, m := range d.machinesByID {
		if d.unaccounted[m.ID] {
			out = append(out, m.ID)
		}
	}
	return out
}

// AllUnaccountedUnresponsive tells whether each machine of earlier terms that is not accounted
// for has left a command unanswered.
func (d *Dispatcher) AllUnaccountedUnresponsive() bool {
	for id := range d.unaccounted {
		if !d.machines[id].unanswered {
			return false
		}
	}
	return true
}

// UnreachableMachines are the machines whose workers neither report nor answer though others of
// their zone do.
func (d *Dispatcher) UnreachableMachines() (out []model.MachineID) {
	for _, m := range d.machinesByID {
		if m.unreachable && m.owner != 0 && !m.gone {
			out = append(out, m.ID)
		}
	}
	return out
}

// MachineOwners are the owners of all machines that have one.
func (d *Dispatcher) MachineOwners() (out []model.ShardID) {
	for _, m := range d.machinesByID {
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
func (m *machine) usable() bool {
	return m.recorded && !m.expiryConfirmed && !m.cordoned && m.Cap.CPU > 0
}

// reportedAgain takes the news that a machine's worker reports.
func (d *Dispatcher) reportedAgain(m *machine) {
	m.leaseExpired, m.unreachable = false, false
	if !m.expiryConfirmed {
		return
	}
	m.expiryConfirmed = false
	d.stats.ReturnedMachines++
	if !m.recorded {
		d.block(m.ID).dirty = true
	}
	d.SetUsable(m.ID, true)
}

func (d *Dispatcher) unownedWorker(now time.Duration, from model.ShardID, e *model.Event) {
	report := e.Report
	m := d.machines[report.Machine.ID]
	if m != nil {
		d.recordArrival(now, m, from)
		if m.owner == 0 {
			m.Addr = report.Machine.Addr
		}
	}
	switch {
	case m == nil:
		t, ok := d.types[report.Machine.Type]
		if !ok {
			return // the catalog is not known yet
		}
		m = &machine{Machine: report.Machine}
		m.Cap, m.FetchRate = t.Cap, t.FetchRate
		d.addMachine(m)
		d.block(m.ID).dirty = true
		// It gets tasks only once its record is stored: a later leader must
		// know every machine that may hold something.
		if !d.redirectWorker(now, m, from) {
			d.assignOwner(m, from)
		}
	case m.gone: // its record is being dropped: next time
	case m.owner == from: // the order is on its way
	case d.redirectWorker(now, m, from):
	case m.owner == 0:
		d.assignOwner(m, from)
	case m.releasing:
		m.nextOwner = from
	case m.needsVerification() && !m.fenced && now-m.ownedAt < verificationTimeout:
		// Its owner is asking it whether it hears.
	default:
		// The worker has moved, unless this is a copy: its owner knows. What that knows
		// of the machine must not be lost.
		m.nextOwner, m.releasing = from, true
		d.order(m.owner, model.Order{Kind: model.ReleaseMachine, ID: m.ID, MessageID: e.MessageID})
	}
}

package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// machine is a machine that this leader knows: its record in the state service, its owner, and its
// last status.
type machine struct {
	model.Machine
	token          uint64      // issued to the present or last owner
	epoch          model.Epoch // of the present or last ownership
	recorded       bool        // certainly in a stored block
	recordedLayout uint64      // layout of the block that holds the machine's record
	maybeStored    bool        // possibly in a stored block
	leaseExpired   bool        // the owner has not answered its worker for a whole lease
	// expiryConfirmed is true from the confirmed expiry of the worker's lease until the worker
	// reports again. No task is on the machine, and none is placed there. Its record is removed, so
	// a later leader need not account for it.
	expiryConfirmed bool
	gone            bool          // it no longer exists
	cordoned        bool          // gets no tasks
	owner           model.ShardID // 0: none
	nextOwner       model.ShardID // the owner after the present one has released the machine
	releasing       bool          // the owner was ordered to release the machine
	renewalDue      bool          // the ownership is to be renewed if the owner keeps the machine
	// authorityEnd is the last time at which a shard that was lost as the machine's owner could
	// have answered its worker.
	authorityEnd     time.Duration
	lostAuthorityEnd time.Duration // like authorityEnd, for shards of this term only
	orphanGroups     []*orphanGroup
	unanswered       bool                // a direct command to its worker was not answered
	unreachable      bool                // unreachable according to the owner, see model.Event.Held
	unownedSince     time.Duration       // when it was first seen without an owner; 0: it has one
	status           model.MachineStatus // as last reported by the owner
	statusFrom       model.ShardID       // the owner that reported status; 0: none
	avail            model.Resources     // the available resources of status, less those reserved since
	fenced           bool                // by the present owner
	unfencedOwners   int                 // successive owners that released the machine without having fenced it
	ownedAt          time.Duration       // when the present owner was assigned
	redirectedTo     model.ShardID       // the shard that its worker was redirected to; 0: none
	redirectedAt     time.Duration       // when its worker was redirected
}

// AllControllersJoined records that all controllers have joined this term, so no shard acts for an
// earlier term any more.
func (d *Dispatcher) AllControllersJoined(now time.Duration) {
	d.earlierTermsEnd = min(d.earlierTermsEnd, now)
}

// Tick does what depends on time alone. It rebalances machines, accounts for machines without an
// owner whose longest possible lease is over, and assigns an owner to those that have lacked one
// for unownedTimeout.
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
		// The machine has no owner, and work waits until it is accounted for. Its worker may not
		// report for a long time, so after unownedTimeout a shard is made owner and contacts the
		// worker itself.
		if m.unownedSince == 0 {
			m.unownedSince = now
		} else if now-m.unownedSince >= unownedTimeout && len(members) > 0 && !m.gone {
			d.assignOwner(m, members[d.roundRobin%len(members)].id)
			d.roundRobin++
		}
	}
}

// unownedTimeout is the time in which the worker of a machine that lost its owner may report to
// another controller by itself.
const unownedTimeout = time.Second

// Recovered reports whether every machine that an earlier leader may have used has been accounted
// for.
func (d *Dispatcher) Recovered() bool { return len(d.unaccounted) == 0 }

// SetTypes sets the machine types of the cloud's catalog. The ownership of each machine whose capacity
// changes is renewed with the new capacity.
func (d *Dispatcher) SetTypes(types []model.MachineType) {
	for _, t := range types {
		d.types[t.Name] = t
	}
	for _, m := range d.sortedMachines() {
		if t, ok := d.types[m.Type]; ok && m.Cap != t.Cap {
			m.Cap, m.FetchRate = t.Cap, t.FetchRate
			d.renewOwnership(m)
		}
	}
}

// compareMachines compares machines by ID.
func compareMachines(a, b *machine) int { return cmp.Compare(a.ID, b.ID) }

// sortedMachines returns all machines by ID. It is a copy, because machines may be removed during
// iteration.
func (d *Dispatcher) sortedMachines() []*machine { return slices.Clone(d.machinesByID) }

// addMachine adds a machine and applies a cordon that was set before it was known.
func (d *Dispatcher) addMachine(m *machine) {
	d.machines[m.ID] = m
	m.cordoned = d.cordoned[m.ID]
	i, _ := slices.BinarySearchFunc(d.machinesByID, m, compareMachines)
	d.machinesByID = slices.Insert(d.machinesByID, i, m)
}

// removeMachine removes a machine from memory; its stored record is not changed.
func (d *Dispatcher) removeMachine(m *machine) {
	delete(d.machines, m.ID)
	if i, ok := slices.BinarySearchFunc(d.machinesByID, m, compareMachines); ok {
		d.machinesByID = slices.Delete(d.machinesByID, i, i+1)
	}
}

// AddStoredBlock adds a stored block of machines that an earlier leader may have given tasks. Each
// is unaccounted until its worker is fenced or its lease is certainly over. Blocks of the layout
// that is to be written must be added first, because the first record of a machine counts.
func (d *Dispatcher) AddStoredBlock(id BlockID, version uint64, machines []model.Machine) {
	d.blockAt(id).version = version
	for _, m := range machines {
		d.addUnaccounted(m, id.Size)
	}
}

// addUnaccounted adds a machine from a stored block, unless it is known.
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

// assignOwner makes a shard the owner of a machine that has none. It begins a new ownership, with a token
// that was never used before.
func (d *Dispatcher) assignOwner(m *machine, to model.ShardID) {
	m.ownedAt = d.now
	m.leaseExpired, m.unreachable, m.statusFrom, m.fenced, m.renewalDue = false, false, 0, false, false
	if d.machineCounts != nil {
		d.machineCounts[m.owner]--
		d.machineCounts[to]++
	}
	m.owner, m.nextOwner = to, 0
	d.issueToken(m)
	m.epoch = model.Epoch(m.token)
	d.orderOwnership(m)
}

// renewOwnership sends a machine's owner a higher token and the machine's current data. An owner that
// was ordered to release the machine would get them after the release, and would then hold a machine
// that belongs to nobody here. It gets them only if it keeps the machine.
func (d *Dispatcher) renewOwnership(m *machine) {
	switch {
	case m.owner == 0 || m.gone:
	case m.releasing:
		m.renewalDue = true
	default:
		d.issueToken(m)
		d.orderOwnership(m)
	}
}

// issueToken gives a machine a token that was never used before.
func (d *Dispatcher) issueToken(m *machine) {
	d.tokensIssued++
	m.token = d.params.Term<<32 | d.tokensIssued
}

// orderOwnership orders a machine's owner to own it under the machine's token.
func (d *Dispatcher) orderOwnership(m *machine) {
	d.orderOwner(m, model.Order{Kind: model.OwnMachine, Machine: m.Machine, Token: m.token, Usable: m.usable(),
		VerifyFirst: m.needsVerification()})
}

// orderOwner queues an order for a machine's owner that is about its ownership.
func (d *Dispatcher) orderOwner(m *machine, o model.Order) {
	if o.Kind != model.OwnMachine {
		o.ID = m.ID
	}
	o.Epoch = m.epoch
	d.order(m.owner, o)
}

// MachineGone records that a machine no longer exists, with everything on it. It is kept in memory
// while it may be in a stored block, and removed once the block is written without it.
func (d *Dispatcher) MachineGone(id model.MachineID) {
	if m := d.machines[id]; m != nil && !m.gone {
		m.gone = true
		d.orderOwner(m, model.Order{Kind: model.RemoveMachine})
		d.markAccounted(m)
		if m.maybeStored {
			d.block(id).dirty = true
		} else {
			d.removeMachine(m)
		}
	}
}

// UnaccountedMachines returns the machines of earlier terms that are not accounted for yet. It
// returns none if they are more than the given share of all machines, unless there is only one.
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

// AllUnaccountedUnresponsive reports whether every unaccounted machine has left a command
// unanswered.
func (d *Dispatcher) AllUnaccountedUnresponsive() bool {
	for id := range d.unaccounted {
		if !d.machines[id].unanswered {
			return false
		}
	}
	return true
}

// UnreachableMachines returns the machines whose workers are unreachable according to their owners:
// they do not answer, though most other workers of their zone report.
func (d *Dispatcher) UnreachableMachines() (out []model.MachineID) {
	for _, m := range d.machinesByID {
		if m.unreachable && m.owner != 0 && !m.gone {
			out = append(out, m.ID)
		}
	}
	return out
}

// MachineOwners returns the owner of each machine that has one.
func (d *Dispatcher) MachineOwners() (out []model.ShardID) {
	for _, m := range d.machinesByID {
		if m.owner != 0 && !m.gone {
			out = append(out, m.owner)
		}
	}
	return out
}

// HasMachines reports whether any machine is known.
func (d *Dispatcher) HasMachines() bool { return len(d.machines) > 0 }

// LeaseExpired reports whether no shard is known to have answered a machine's worker for its whole
// lease. It is also true for a machine that is unknown, gone or without an owner.
func (d *Dispatcher) LeaseExpired(id model.MachineID) bool {
	m := d.machines[id]
	return m == nil || m.leaseExpired || m.gone || m.owner == 0
}

// SetUsable lets the owner place tasks on a machine, or forbids it. A machine that is not usable
// for another reason stays so.
func (d *Dispatcher) SetUsable(id model.MachineID, usable bool) {
	if m := d.machines[id]; m != nil {
		d.orderOwner(m, model.Order{Kind: model.SetUsable, Usable: usable && m.usable()})
	}
}

// usable reports whether the machine may get tasks: its record is certainly stored, its lease is
// not confirmed expired, it is not cordoned, and its capacity is known.
func (m *machine) usable() bool {
	return m.recorded && !m.expiryConfirmed && !m.cordoned && m.Cap.CPU > 0
}

// reportedAgain records that a machine's worker reports. A machine whose lease expiry was confirmed
// becomes usable again, once it is recorded.
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

// unownedWorker handles the report of a worker to a shard that does not own its machine. The shard
// becomes the owner if the machine has none. Otherwise the owner is asked to release the machine,
// or the worker is redirected to a shard with fewer machines.
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
			return // the catalog is not loaded yet
		}
		m = &machine{Machine: report.Machine}
		m.Cap, m.FetchRate = t.Cap, t.FetchRate
		d.addMachine(m)
		d.block(m.ID).dirty = true
		// The machine gets tasks only after its record is stored, because a later leader must know
		// every machine that may run something.
		if !d.redirectWorker(now, m, from) {
			d.assignOwner(m, from)
		}
	case m.gone: // its record is being removed; a later report adds the machine again
	case m.owner == from: // the ownership order is on its way
	case d.redirectWorker(now, m, from):
	case m.owner == 0:
		d.assignOwner(m, from)
	case m.releasing:
		m.nextOwner = from
	case m.needsVerification() && !m.fenced && now-m.ownedAt < verificationTimeout:
		// The owner is verifying whether the worker receives messages.
	default:
		// The worker has moved, unless this report is a replayed copy, which the owner can check. The
		// owner knows which tasks are on the machine, so the machine changes owners only after the
		// owner has released it and passed this on.
		m.nextOwner, m.releasing = from, true
		d.orderOwner(m, model.Order{Kind: model.ReleaseMachine, MessageID: e.MessageID})
	}
}

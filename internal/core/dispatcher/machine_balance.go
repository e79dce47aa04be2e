package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

const (
	machineBalanceInterval = 3 * time.Second  // each time one machine moves, or a twentieth of the difference
	minShardAge            = 10 * time.Second // minimum age of every shard before machines are moved
	// avoidDuration is how long a zone's workers are not redirected to a host that one of them did
	// not reach.
	avoidDuration = 2 * time.Minute
)

// zoneHost is a pair of a zone and a controller's host that the zone's workers may be unable to
// reach.
type zoneHost struct {
	zone model.Name
	host string
}

// rebalanceMachines moves machines from the shard that owns most to the one that owns fewest,
// because the loss of a controller costs more the more machines it owns. The workers of these
// machines are redirected to the new owner's host. If a worker reports elsewhere, it could not
// reach that host, and no worker of its zone is redirected there for avoidDuration.
func (d *Dispatcher) rebalanceMachines(now time.Duration) {
	if now < d.nextMachineBalance || !d.Recovered() {
		return
	}
	d.nextMachineBalance = now + machineBalanceInterval
	counts := map[model.ShardID]int{}
	for _, m := range d.machines {
		if m.releasing || m.owner == 0 || len(m.orphanGroups) > 0 {
			if m.redirectedTo != 0 && now-m.redirectedAt < minShardAge {
				return // a move is in progress
			}
			continue
		}
		counts[m.owner]++
	}
	var most, fewest *member
	for _, s := range d.sortedMembers() {
		if now-s.joinedAt < minShardAge {
			return // workers may still be reporting to their first controller
		}
		if most == nil || counts[s.id] > counts[most.id] {
			most = s
		}
		if fewest == nil || counts[s.id] < counts[fewest.id] {
			fewest = s
		}
	}
	if most == nil || counts[most.id]-counts[fewest.id] < max(3, len(d.machines)/8) {
		return
	}
	remaining := max(1, (counts[most.id]-counts[fewest.id])/20)
	for _, m := range d.machinesByID {
		if m.owner != most.id || m.releasing || m.leaseExpired || m.gone ||
			now < d.avoidedUntil[zoneHost{m.Zone, fewest.host}] {
			continue
		}
		m.releasing, m.redirectedTo, m.redirectedAt = true, fewest.id, now
		d.orderOwner(m, model.Order{Kind: model.ReleaseMachine, RedirectTo: fewest.host})
		if remaining--; remaining == 0 {
			return
		}
	}
}

// recordArrival records that a redirected worker has reported to a shard. If it is another shard
// than the intended one, that host is avoided for the worker's zone.
func (d *Dispatcher) recordArrival(now time.Duration, m *machine, at model.ShardID) {
	if m.redirectedTo == 0 {
		return
	}
	if s := d.members[m.redirectedTo]; s != nil && m.redirectedTo != at {
		d.avoidedUntil[zoneHost{m.Zone, s.host}] = now + avoidDuration
	}
	m.redirectedTo = 0
}

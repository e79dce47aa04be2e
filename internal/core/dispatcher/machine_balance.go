package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

const (
	machineBalanceInterval = 3 * time.Second  // one machine at a time, or a twentieth of the difference
	minShardAge            = 10 * time.Second // a shard so old gets and gives machines
	avoidDuration          = 2 * time.Minute
)

// zoneHost is a zone's workers and a controller.
type zoneHost struct {
	zone model.Name
	host string
}

// rebalanceMachines moves a machine from the shard with most to the one with fewest, for
// the loss of a controller is the worse the more it owns. The worker is told
// where to report; if it turns up elsewhere, it could not get there, and no
// other of its zone is sent that way for a while.
func (d *Dispatcher) rebalanceMachines(now time.Duration) {
	if now < d.nextMachineBalance || !d.Recovered() {
		return
	}
	d.nextMachineBalance = now + machineBalanceInterval
	counts := map[model.ShardID]int{}
	for _, m := range d.machines {
		if m.releasing || m.owner == 0 || len(m.orphanGroups) > 0 {
			if m.redirectedTo != 0 && now-m.redirectedAt < minShardAge {
				return // one is under way
			}
			continue
		}
		counts[m.owner]++
	}
	var most, fewest *member
	for _, s := range d.sortedMembers() {
		if now-s.joinedAt < minShardAge {
			return // its workers may still be on their way
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
		d.order(most.id, model.Order{Kind: model.ReleaseMachine, ID: m.ID, RedirectTo: fewest.host})
		if remaining--; remaining == 0 {
			return
		}
	}
}

// recordArrival notes where a worker that was sent away reports.
func (d *Dispatcher) recordArrival(now time.Duration, m *machine, at model.ShardID) {
	if m.redirectedTo == 0 {
		return
	}
	if s := d.members[m.redirectedTo]; s != nil && m.redirectedTo != at {
		d.avoidedUntil[zoneHost{m.Zone, s.host}] = now + avoidDuration
	}
	m.redirectedTo = 0
}

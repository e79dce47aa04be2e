package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

const (
	spreadEvery = 3 * time.Second  // one machine at a time, or a twentieth of the difference
	settled     = 10 * time.Second // a shard so old gets and gives machines
	shun        = 2 * time.Minute
)

// reach is a zone's workers and a controller.
type reach struct {
	zone model.Name
	host string
}

// spread moves a machine from the shard with most to the one with fewest, for
// the loss of a controller is the worse the more it owns. The worker is told
// where to report; if it turns up elsewhere, it could not get there, and no
// other of its zone is sent that way for a while.
func (d *Dispatcher) spread(now time.Duration) {
	if now < d.spreadAt || !d.Recovered() {
		return
	}
	d.spreadAt = now + spreadEvery
	owns := map[model.ShardID]int{}
	for _, m := range d.machines {
		if m.releasing || m.owner == 0 || len(m.groups) > 0 {
			if m.movedTo != 0 && now-m.movedAt < settled {
				return // one is under way
			}
			continue
		}
		owns[m.owner]++
	}
	var most, least *member
	for _, s := range d.sortedMembers() {
		if now-s.joined < settled {
			return // its workers may still be on their way
		}
		if most == nil || owns[s.id] > owns[most.id] {
			most = s
		}
		if least == nil || owns[s.id] < owns[least.id] {
			least = s
		}
	}
	if most == nil || owns[most.id]-owns[least.id] < max(3, len(d.machines)/8) {
		return
	}
	move := max(1, (owns[most.id]-owns[least.id])/20)
	for _, m := range d.byID {
		if m.owner != most.id || m.releasing || m.leaseExpired || m.gone || now < d.shunned[reach{m.Zone, least.host}] {
			continue
		}
		m.releasing, m.movedTo, m.movedAt = true, least.id, now
		d.order(most.id, model.Order{Kind: model.ReleaseMachine, ID: m.ID, RedirectTo: least.host})
		if move--; move == 0 {
			return
		}
	}
}

// arrived notes where a worker that was sent away reports.
func (d *Dispatcher) arrived(now time.Duration, m *machine, at model.ShardID) {
	if m.movedTo == 0 {
		return
	}
	if s := d.members[m.movedTo]; s != nil && m.movedTo != at {
		d.shunned[reach{m.Zone, s.host}] = now + shun
	}
	m.movedTo = 0
}

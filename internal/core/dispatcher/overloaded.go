package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

// A worker reports to whichever controller answers it. When all controllers have
// just started, the one that takes workers first is told of all of them, and with
// them come all the fences, reports and placing that were meant for several: it falls
// behind, its workers ask elsewhere and come back, and it may lose leadership over
// that. So a shard that has far more than its part gets no more machines while
// another has room for them: their workers are told to go there.
const (
	overloadFactor = 1.2 // of an equal part, and more than Params.Crowd
	// A shard of which no worker was heard for so long is cut off from them.
	workerReportTimeout = 10 * time.Second
	loadCacheInterval   = 100 * time.Millisecond
)

// machineLoads counts the machines of each shard, as of a moment ago.
func (d *Dispatcher) machineLoads(now time.Duration) map[model.ShardID]int {
	if d.machineCounts != nil && now-d.countedAt < loadCacheInterval {
		return d.machineCounts
	}
	d.machineCounts, d.countedAt = map[model.ShardID]int{}, now
	for _, m := range d.machinesByID {
		if m.owner != 0 && !m.gone && !m.expiryConfirmed {
			d.machineCounts[m.owner]++
		}
	}
	return d.machineCounts
}

// redirectWorker sends a worker that has reported to a crowded shard to another one, which
// owns the machine from here on. It tells whether it did.
func (d *Dispatcher) redirectWorker(now time.Duration, m *machine, from model.ShardID) bool {
	if len(d.members) < 2 || m.releasing {
		return false
	}
	loads := d.machineLoads(now)
	equalShare := float64(len(d.machinesByID)) / float64(len(d.members))
	if float64(loads[from]) < max(equalShare*overloadFactor, float64(d.params.MinOverloadMachines)) {
		return false
	}
	to := d.members[m.owner]
	if to == nil {
		to = d.leastLoaded(now, m, loads)
	}
	if to == nil || to.id == from || loads[to.id] >= loads[from] || !d.canReach(now, to, m) {
		return false
	}
	if m.owner != to.id {
		d.assignOwner(m, to.id)
	}
	m.redirectedTo, m.redirectedAt = to.id, now
	d.order(from, model.Order{Kind: model.RedirectWorker, ID: m.ID, RedirectTo: to.host})
	return true
}

// leastLoaded is the shard with the fewest machines that the machine's zone can reach.
func (d *Dispatcher) leastLoaded(now time.Duration, m *machine, loads map[model.ShardID]int) (best *member) {
	for _, s := range d.sortedMembers() {
		if d.canReach(now, s, m) && (best == nil || loads[s.id] < loads[best.id]) {
			best = s
		}
	}
	return best
}

// canReach tells whether a machine's worker can probably report to a shard.
func (d *Dispatcher) canReach(now time.Duration, s *member, m *machine) bool {
	return now >= d.avoidedUntil[zoneHost{m.Zone, s.host}] && now-max(s.lastReportAt, s.joinedAt) < workerReportTimeout
}

// recordReport notes that a shard has heard a worker.
func (s *member) recordReport(now time.Duration, k model.EventKind) {
	switch k {
	case model.UnownedWorker, model.WorkerFenced, model.AttemptFound, model.TaskFinished, model.WorkerBack:
		s.lastReportAt = now
	}
}

package dispatcher

import (
	"time"

	"honeylock/internal/core/model"
)

// A worker reports to whichever controller answers it. When all controllers restart at once, the
// first one that answers workers would get all of them, with all the fencing, reports and placement
// that several controllers should share. It falls behind, its workers time out, try others and
// return, and it may lose leadership. Therefore a shard that owns far more than an equal share of
// the machines gets no more of them while another shard can take them: their workers are redirected
// there.
const (
	overloadFactor = 1.2 // relative to an equal share; Params.MinOverloadMachines is the absolute minimum
	// workerReportTimeout: a shard that has received no report for this long may be partitioned
	// from the workers.
	workerReportTimeout = 10 * time.Second
	// machineCountsMaxAge is how long the counts of machines per shard are cached.
	machineCountsMaxAge = 100 * time.Millisecond
)

// cachedMachineCounts returns the number of machines of each shard. The counts are cached for
// machineCountsMaxAge.
func (d *Dispatcher) cachedMachineCounts(now time.Duration) map[model.ShardID]int {
	if d.machineCounts != nil && now-d.machinesCountedAt < machineCountsMaxAge {
		return d.machineCounts
	}
	d.machineCounts, d.machinesCountedAt = map[model.ShardID]int{}, now
	for _, m := range d.machinesByID {
		if m.owner != 0 && !m.gone && !m.expiryConfirmed {
			d.machineCounts[m.owner]++
		}
	}
	return d.machineCounts
}

// redirectWorker redirects a worker that reported to an overloaded shard to another one, which
// becomes the machine's owner. It reports whether it did.
func (d *Dispatcher) redirectWorker(now time.Duration, m *machine, from model.ShardID) bool {
	if len(d.members) < 2 || m.releasing {
		return false
	}
	counts := d.cachedMachineCounts(now)
	equalShare := float64(len(d.machinesByID)) / float64(len(d.members))
	if float64(counts[from]) < max(equalShare*overloadFactor, float64(d.params.MinOverloadMachines)) {
		return false
	}
	to := d.members[m.owner]
	if to == nil {
		to = d.leastLoaded(now, m, counts)
	}
	if to == nil || to.id == from || counts[to.id] >= counts[from] || !d.canReach(now, to, m) {
		return false
	}
	if m.owner != to.id {
		d.assignOwner(m, to.id)
	}
	m.redirectedTo, m.redirectedAt = to.id, now
	d.order(from, model.Order{Kind: model.RedirectWorker, ID: m.ID, RedirectTo: to.host})
	return true
}

// leastLoaded returns the shard with the fewest machines among those that the machine's zone can
// reach.
func (d *Dispatcher) leastLoaded(now time.Duration, m *machine, counts map[model.ShardID]int) (best *member) {
	for _, s := range d.sortedMembers() {
		if d.canReach(now, s, m) && (best == nil || counts[s.id] < counts[best.id]) {
			best = s
		}
	}
	return best
}

// canReach reports whether a machine's worker can probably report to a shard.
func (d *Dispatcher) canReach(now time.Duration, s *member, m *machine) bool {
	return now >= d.avoidedUntil[zoneHost{m.Zone, s.host}] && now-max(s.lastReportAt, s.joinedAt) < workerReportTimeout
}

// recordReport records that a shard has received a worker's report, if the event shows that.
func (s *member) recordReport(now time.Duration, k model.EventKind) {
	switch k {
	case model.UnownedWorker, model.WorkerFenced, model.AttemptFound, model.TaskFinished, model.WorkerBack:
		s.lastReportAt = now
	}
}

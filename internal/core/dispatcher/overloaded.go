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
	crowdedTimes = 1.2 // of an equal part, and more than Params.Crowd
	// A shard of which no worker was heard for so long is cut off from them.
	heardLately = 10 * time.Second
	recount     = 100 * time.Millisecond
)

// loads counts the machines of each shard, as of a moment ago.
func (d *Dispatcher) loads(now time.Duration) map[model.ShardID]int {
	if d.owns != nil && now-d.countedAt < recount {
		return d.owns
	}
	d.owns, d.countedAt = map[model.ShardID]int{}, now
	for _, m := range d.byID {
		if m.owner != 0 && !m.gone && !m.lapsed {
			d.owns[m.owner]++
		}
	}
	return d.owns
}

// elsewhere sends a worker that has reported to a crowded shard to another one, which
// owns the machine from here on. It tells whether it did.
func (d *Dispatcher) elsewhere(now time.Duration, m *machine, from model.ShardID) bool {
	if len(d.members) < 2 || m.releasing {
		return false
	}
	loads := d.loads(now)
	part := float64(len(d.byID)) / float64(len(d.members))
	if float64(loads[from]) < max(part*crowdedTimes, float64(d.p.MinOverloadMachines)) {
		return false
	}
	to := d.members[m.owner]
	if to == nil {
		to = d.emptiest(now, m, loads)
	}
	if to == nil || to.id == from || loads[to.id] >= loads[from] || !d.reaches(now, to, m) {
		return false
	}
	if m.owner != to.id {
		d.own(m, to.id)
	}
	m.movedTo, m.movedAt = to.id, now
	d.order(from, model.Order{Kind: model.RedirectWorker, ID: m.ID, RedirectTo: to.host})
	return true
}

// emptiest is the shard with the fewest machines that the machine's zone can reach.
func (d *Dispatcher) emptiest(now time.Duration, m *machine, loads map[model.ShardID]int) (best *member) {
	for _, s := range d.sortedMembers() {
		if d.reaches(now, s, m) && (best == nil || loads[s.id] < loads[best.id]) {
			best = s
		}
	}
	return best
}

// reaches tells whether a machine's worker can probably report to a shard.
func (d *Dispatcher) reaches(now time.Duration, s *member, m *machine) bool {
	return now >= d.shunned[reach{m.Zone, s.host}] && now-max(s.heard, s.joined) < heardLately
}

// heardFrom notes that a shard has heard a worker.
func (s *member) heardFrom(now time.Duration, k model.EventKind) {
	switch k {
	case model.UnownedWorker, model.WorkerFenced, model.AttemptFound, model.TaskFinished, model.WorkerBack:
		s.heard = now
	}
}

package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Price returns the price of a task. Ranks are a factor of ten apart. A task within its team's
// guarantee costs thirty times as much: that is more than borrowed work of the next rank, so a team
// can evict it to get its guarantee back, and the order of ranks within guarantees does not change.
func Price(rank model.Rank, withinGuarantee bool) float64 {
	price := 1.0
	for range rank {
		price *= 10
	}
	if withinGuarantee {
		price *= 30
	}
	return price
}

// GuaranteeChecker decides which jobs fit into their team's guarantee together with the team's
// earlier unfinished jobs. Jobs must be passed to Fits in the order of submission.
type GuaranteeChecker struct {
	teams []Team
	// demand is the sum of the tasks of each team's jobs that were passed to Fits.
	demand []model.Resources
}

// NewGuaranteeChecker returns a checker that has seen no job yet.
func NewGuaranteeChecker(teams []Team) *GuaranteeChecker {
	return &GuaranteeChecker{teams, make([]model.Resources, len(teams))}
}

// Fits reports whether the next job, with the given number of unfinished tasks, fits into its
// team's guarantee.
func (g *GuaranteeChecker) Fits(spec *model.Spec, unfinished int64) bool {
	demand, guarantee := &g.demand[spec.Team], g.teams[spec.Team].Guarantee
	*demand = demand.Add(spec.PerTask.Times(unfinished))
	return demand.CPU <= guarantee.CPU && demand.GPU <= guarantee.GPU && guarantee.CPU > 0
}

// updatePrices updates the prices of all jobs, at most once per second, and sends changed prices to
// the shards. A job that fits into its team's guarantee together with the team's earlier unfinished
// jobs costs more.
func (d *Dispatcher) updatePrices(now time.Duration, jobs []*job) {
	if d.pricesUpdatedAt != 0 && now-d.pricesUpdatedAt < time.Second {
		return
	}
	d.pricesUpdatedAt = now
	guarantees := NewGuaranteeChecker(d.params.Teams)
	for _, j := range jobs {
		if j.ended || j.onHold || j.failures.broken { // a broken job runs one task at a time: little of the guarantee
			continue
		}
		j.withinGuarantee = guarantees.Fits(j.spec, int64(j.spec.Tasks-j.doneCount))
		if price := Price(j.rank, j.withinGuarantee); price != j.price {
			j.price = price
			if len(j.assignments) > 0 {
				d.sendPrice(j)
			}
		}
	}
}

// unlimited is a resource amount greater than any that exists.
const unlimited = int64(1) << 40

// unaccountedResources returns the resources that tasks unknown to the dispatcher may be using: the
// full capacity of every machine that an earlier leader may have used and that is not accounted for
// yet, and of every machine with a rejected attempt that has not ended.
func (d *Dispatcher) unaccountedResources() model.Resources {
	var sum model.Resources
	counted := map[model.MachineID]bool{}
	add := func(id model.MachineID) {
		if m := d.machines[id]; m != nil && !counted[id] {
			counted[id] = true
			capacity := m.Cap
			if capacity.CPU == 0 { // the machine's type is not in the catalog (yet)
				capacity = model.Resources{CPU: unlimited, GPU: unlimited}
			}
			sum = sum.Add(capacity)
		}
	}
	for id := range d.unaccounted {
		add(id)
	}
	for _, a := range d.rejected {
		add(a.machine)
	}
	return sum
}

// Remaining returns what is left of a team's limit when the team uses the given resources. Memory and
// the number of attempts are not limited.
func (t Team) Remaining(used model.Resources) model.Resources {
	left := func(limit, used int64) int64 {
		if limit == 0 {
			return unlimited
		}
		return limit - used
	}
	return model.Resources{CPU: left(t.Limit.CPU, used.CPU), GPU: left(t.Limit.GPU, used.GPU), Mem: unlimited,
		Attempts: unlimited}
}

// UnusedGuarantees returns the sum of the CPU, in thousandths, by which teams are below their
// guarantees.
func UnusedGuarantees(teams []Team, usage []model.Resources) int64 {
	var sum int64
	for i, t := range teams {
		sum += max(0, t.Guarantee.CPU-usage[i].CPU)
	}
	return sum
}

// headroom returns the resources that tasks dispatched now may still take under the team's limit.
func (d *Dispatcher) headroom(team model.Name, unaccounted model.Resources) model.Resources {
	return d.params.Teams[team].Remaining(d.usage[team].Add(unaccounted))
}

// undispatched returns the number of a job's tasks that may be dispatched now, before limits. It is
// 0 while the job is on hold or waits for a retry. It is also 0 for a job of an earlier term until
// all machines of earlier terms are accounted for, because its tasks may still run there.
func (d *Dispatcher) undispatched(now time.Duration, j *job) int32 {
	if j.ended || j.onHold || now < j.blockedUntil || j.fromEarlierTerm && !d.Recovered() {
		return 0
	}
	count := j.spec.Tasks - j.doneCount - int32(len(j.assignments))
	if j.failures.broken {
		return j.retryCount(now, count)
	}
	return count
}

// nextTask picks the next task to dispatch: tasks that were freed or returned first, then those
// that this leader has not dispatched yet. redispatched is true for the former.
func (d *Dispatcher) nextTask(j *job) (index int32, redispatched, ok bool) {
	for len(j.requeued) > 0 {
		index := j.requeued[0]
		j.requeued = j.requeued[1:]
		if !j.isDone(index) && !d.hasCharge(j, index) {
			return index, true, true
		}
	}
	for ; j.nextIndex < j.spec.Tasks; j.nextIndex++ {
		if index := j.nextIndex; !j.isDone(index) && !d.hasCharge(j, index) {
			j.nextIndex++
			return index, false, true
		}
	}
	return 0, false, false
}

// Dispatch assigns waiting tasks to shards. Overdue jobs come first, then the jobs with the highest
// score of price and waiting time. Tasks are assigned as far as the shards' machines have free
// capacity and teams' limits allow, with a few more per job for which a shard may find victims to
// evict.
func (d *Dispatcher) Dispatch(now time.Duration) {
	jobs := d.sortedJobs()
	d.updatePrices(now, jobs)
	d.updateStarvation(now, jobs)
	members := d.sortedMembers()
	d.rebalanceTasks(now, jobs, members)
	jobs = slices.DeleteFunc(jobs, func(j *job) bool { return d.undispatched(now, j) <= 0 })
	if len(jobs) == 0 || len(members) == 0 {
		return
	}
	d.collectCandidates(jobs, members)
	d.sortByPriority(now, jobs)
	unaccounted := d.unaccountedResources()
	for _, j := range jobs {
		n := int64(d.undispatched(now, j))
		if allowed := j.spec.PerTask.Count(d.headroom(j.spec.Team, unaccounted)); allowed < n {
			d.stats.LimitedRounds++
			n = allowed
		}
		if n <= 0 {
			continue
		}
		for _, b := range planBatches(j, n, members) {
			n -= d.dispatchBatch(j, b)
		}
		switch {
		case n > 0 && !j.pinned():
			d.dispatchAhead(j, n, members)
		case n > 0:
			d.dispatchExpedited(j, members)
		}
	}
}

// dispatchBatch dispatches the tasks of a batch and returns how many there were.
func (d *Dispatcher) dispatchBatch(j *job, b batch) int64 {
	for i := range b.count {
		if !d.dispatchOne(j, b.shard.id, b.zone) {
			return i
		}
	}
	return b.count
}

// batch is a number of a job's tasks to be assigned to one shard, for pinned jobs in one zone.
type batch struct {
	shard *member
	zone  model.Name
	count int64
}

// pinned reports whether the zones of the job's tasks depend on each other, so that the dispatcher
// chooses the zone of each task.
func (j *job) pinned() bool { return j.spec.SameZone || j.spec.Spread }

// planBatches divides up to n tasks over shards and zones, starting with the one that has capacity
// for most of them, and reserves that capacity. For a pinned job each batch names a zone, because every task must be
// charged to a zone before a shard places it.
func planBatches(j *job, n int64, members []*member) []batch {
	zones := []model.Name{model.None}
	quota := NewZoneQuota(j.spec, j.assignedInZone)
	if j.pinned() {
		zones = zones[:0]
		for _, m := range members {
			for _, candidate := range m.candidates {
				if !slices.Contains(zones, candidate.Zone) {
					zones = append(zones, candidate.Zone)
				}
			}
		}
	}
	if quota.ChoosesZone() && len(zones) > 0 {
		// The whole job should fit into its zone, so take the one with the most free capacity.
		zones = []model.Name{zoneWithMostCapacity(j.spec, zones, n, members)}
	}
	var batches []batch
	for n > 0 {
		var best batch
		for _, z := range zones {
			limit := min(n, quota.Room(z))
			for _, m := range members {
				if fitting := m.countFitting(j.spec, z, limit, false); fitting > best.count {
					best = batch{m, z, fitting}
				}
			}
		}
		if best.count == 0 {
			break
		}
		best.shard.countFitting(j.spec, best.zone, best.count, true)
		quota.Add(best.zone, best.count)
		n -= best.count
		batches = append(batches, best)
	}
	return batches
}

// zoneWithMostCapacity returns the zone in which most of n tasks fit into the free capacity of all
// shards.
func zoneWithMostCapacity(spec *model.Spec, zones []model.Name, n int64, members []*member) model.Name {
	best, bestFitting := model.None, int64(-1)
	for _, z := range zones {
		var fitting int64
		for _, m := range members {
			fitting += m.countFitting(spec, z, n, false)
		}
		if fitting > bestFitting {
			best, bestFitting = z, fitting
		}
	}
	return best
}

// dispatchAhead dispatches a few tasks for which there is no free capacity, so that shards can find
// victims to evict for them. Tasks go to shards with suitable machines, in proportion to the number
// of their ready machines: an equal division would send as many to a controller that has just
// restarted and owns hardly any machines. Params.DispatchAhead limits the job's waiting tasks.
func (d *Dispatcher) dispatchAhead(j *job, n int64, members []*member) {
	ahead := min(n, int64(d.params.DispatchAhead-d.TaskCounts(j.spec.ID).Waiting))
	if ahead <= 0 {
		return
	}
	var eligible []*member
	for _, m := range members {
		if slices.ContainsFunc(m.machineKinds, func(kind *machine) bool {
			return j.spec.Allows(&kind.Machine) && j.spec.PerTask.Fits(kind.Cap)
		}) {
			eligible = append(eligible, m)
		}
	}
	share := func(m *member) float64 { return float64(m.jobs[j.spec.ID].Waiting+1) / float64(m.readyMachines) }
	for i := int64(0); i < ahead && len(eligible) > 0; i++ {
		m := slices.MinFunc(eligible, func(a, b *member) int { return cmp.Compare(share(a), share(b)) })
		if !d.dispatchOne(j, m.id, model.None) {
			return
		}
		// Count the task now; the shard's own count arrives later.
		if m.jobs == nil {
			m.jobs = map[model.JobID]model.TaskCounts{}
		}
		counts := m.jobs[j.spec.ID]
		counts.Waiting++
		m.jobs[j.spec.ID] = counts
	}
}

// rebalanceTasks recalls waiting tasks from a shard that lacks capacity for them while other shards
// have some, at most once per second. Tasks for which no shard has capacity stay where they are:
// their shard places them as soon as one of its machines reports, which is sooner than the
// dispatcher could assign them again.
func (d *Dispatcher) rebalanceTasks(now time.Duration, jobs []*job, members []*member) {
	if len(members) < 2 || now-d.tasksBalancedAt < time.Second {
		return
	}
	d.tasksBalancedAt = now
	d.collectCandidates(jobs, members)
	for _, j := range jobs {
		for _, m := range members {
			excess := int64(m.jobs[j.spec.ID].Waiting)
			if excess > 0 {
				excess -= m.countFitting(j.spec, model.None, excess, false)
			}
			if excess == 0 {
				continue
			}
			var capacity int64
			for _, other := range members {
				if other != m {
					capacity += other.countFitting(j.spec, model.None, excess, false)
				}
			}
			if capacity > 0 {
				d.order(m.id, model.Order{Kind: model.RecallWaitingTasks, Job: j.spec.ID, Count: int(min(capacity, excess))})
			}
		}
	}
}

// collectCandidates sets for each shard its ready machines that have enough free CPU for the
// smallest task of the jobs, the number of its ready machines, and one machine of each combination
// of type, zone and spot.
func (d *Dispatcher) collectCandidates(jobs []*job, members []*member) {
	minCPU := unlimited
	for _, j := range jobs {
		minCPU = min(minCPU, j.spec.PerTask.CPU)
	}
	for _, shard := range members {
		shard.candidates, shard.machineKinds, shard.readyMachines = shard.candidates[:0], shard.machineKinds[:0], 0
	}
	for _, m := range d.machinesByID {
		shard := d.members[m.owner]
		if shard == nil || !m.statusKnown() || !m.status.Ready || m.status.Draining {
			continue
		}
		shard.readyMachines++
		if !slices.ContainsFunc(shard.machineKinds, func(kind *machine) bool {
			return kind.Type == m.Type && kind.Zone == m.Zone && kind.Spot == m.Spot
		}) {
			shard.machineKinds = append(shard.machineKinds, m)
		}
		if m.avail.CPU >= minCPU {
			shard.candidates = append(shard.candidates, m)
		}
	}
}

// countFitting returns how many of up to n tasks fit into the free capacity of the shard's
// candidates in a zone (None: any). With reserve it also subtracts the capacity that the tasks use.
func (s *member) countFitting(spec *model.Spec, zone model.Name, n int64, reserve bool) int64 {
	var fitting int64
	for _, m := range s.candidates {
		if fitting >= n {
			break
		}
		if zone != model.None && m.Zone != zone || !spec.Allows(&m.Machine) {
			continue
		}
		if count := min(n-fitting, spec.PerTask.Count(m.avail)); count > 0 {
			if reserve {
				m.avail = m.avail.Sub(spec.PerTask.Times(count))
				s.reservedOn[m] = true
			}
			fitting += count
		}
	}
	return fitting
}

// dispatchOne charges the job's next task and assigns it to a shard. It returns false if the job
// has no task to dispatch.
func (d *Dispatcher) dispatchOne(j *job, to model.ShardID, zone model.Name) bool {
	index, redispatched, ok := d.nextTask(j)
	if !ok {
		return false
	}
	d.assign(j, index, zone, to, Dispatched)
	d.sendAssignment(to, model.Assignment{
		Task:         model.Task{Job: j.spec.ID, Index: index},
		Spec:         j.spec,
		Price:        j.price,
		Zone:         zone,
		WaitingSince: j.waitingSince,
		Redispatched: redispatched && d.params.ReportInterruptions,
	})
	return true
}

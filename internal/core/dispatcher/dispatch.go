package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Price of a task. Ranks are a factor of ten apart. What fits into its team's
// guarantee is worth thirty times as much: more than borrowed work one rank
// up, so that guarantees get their room back, and the order of ranks within
// the guarantee stays as it is.
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

// GuaranteeChecker tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs: they are asked about in the order of submission.
type GuaranteeChecker struct {
	teams  []Team
	demand []model.Resources
}

// NewGuaranteeChecker begins with no job.
func NewGuaranteeChecker(teams []Team) *GuaranteeChecker {
	return &GuaranteeChecker{teams, make([]model.Resources, len(teams))}
}

// Fits tells of the next job, which has so many tasks left.
func (g *GuaranteeChecker) Fits(spec *model.Spec, unfinished int64) bool {
	demand, guarantee := &g.demand[spec.Team], g.teams[spec.Team].Guarantee
	*demand = demand.Add(spec.PerTask.Times(unfinished))
	return demand.CPU <= guarantee.CPU && demand.GPU <= guarantee.GPU && guarantee.CPU > 0
}

// updatePrices finds out which jobs fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (d *Dispatcher) updatePrices(now time.Duration, jobs []*job) {
	if d.pricesUpdatedAt != 0 && now-d.pricesUpdatedAt < time.Second {
		return
	}
	d.pricesUpdatedAt = now
	guarantees := NewGuaranteeChecker(d.params.Teams)
	for _, j := range jobs {
		if j.ended || j.onHold || j.failures.broken { // its one probe takes hardly any of the guarantee
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

// unlimited is more than there is of anything.
const unlimited = int64(1) << 40

// unaccountedResources is what may run unseen: all of every machine that an earlier leader
// may have used, and of every machine with an attempt that must go.
func (d *Dispatcher) unaccountedResources() model.Resources {
	var sum model.Resources
	counted := map[model.MachineID]bool{}
	add := func(id model.MachineID) {
		if m := d.machines[id]; m != nil && !counted[id] {
			counted[id] = true
			capacity := m.Cap
			if capacity.CPU == 0 { // of a type that the catalog does not have (yet)
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

// Remaining is what a team's limit leaves of what it uses.
func (t Team) Remaining(used model.Resources) model.Resources {
	left := func(limit, used int64) int64 {
		if limit == 0 {
			return unlimited
		}
		return limit - used
	}
	return model.Resources{CPU: left(t.Limit.CPU, used.CPU), GPU: left(t.Limit.GPU, used.GPU), Mem: unlimited}
}

// UnusedGuarantees is the CPU that teams have left of their guarantees, in thousandths.
func UnusedGuarantees(teams []Team, usage []model.Resources) int64 {
	var sum int64
	for i, t := range teams {
		sum += max(0, t.Guarantee.CPU-usage[i].CPU)
	}
	return sum
}

// headroom is what a team may still be dealt.
func (d *Dispatcher) headroom(team model.Name, unaccounted model.Resources) model.Resources {
	return d.params.Teams[team].Remaining(d.usage[team].Add(unaccounted))
}

// undispatched counts the tasks that may be dealt now.
func (d *Dispatcher) undispatched(now time.Duration, j *job) int32 {
	if j.ended || j.onHold || now < j.blockedUntil || j.fromEarlierTerm && !d.Recovered() {
		return 0
	}
	count := j.spec.Tasks - j.doneCount - int32(len(j.assignments))
	if j.failures.broken {
		return j.probeCount(now, count)
	}
	return count
}

// nextTask picks the next task to deal. again: it was dealt before.
func (d *Dispatcher) nextTask(j *job) (index int32, redispatched, ok bool) {
	for len(j.requeued) > 0 {
		index := j.requeued[0]
		j.requeued = j.requeued[1:]
		if !j.isDone(index) && !d.isAssigned(j, index) {
			return index, true, true
		}
	}
	for ; j.nextIndex < j.spec.Tasks; j.nextIndex++ {
		if index := j.nextIndex; !j.isDone(index) && !d.isAssigned(j, index) {
			j.nextIndex++
			return index, false, true
		}
	}
	return 0, false, false
}

// Dispatch deals waiting tasks, the highest price times wait first, as far as the
// shards' machines have room, with a few more for which victims may be found.
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

func (d *Dispatcher) dispatchBatch(j *job, b batch) int64 {
	for i := range b.count {
		if !d.dispatchOne(j, b.shard.id, b.zone) {
			return i
		}
	}
	return b.count
}

// batch of a job's tasks that goes to one shard.
type batch struct {
	shard *member
	zone  model.Name
	count int64
}

func (j *job) pinned() bool { return j.spec.SameZone || j.spec.Spread }

// planBatches takes room for up to n tasks: where there is most of it first. Tasks of a
// job whose tasks' zones depend on each other are pinned: every task is charged
// to a zone before a shard sees it.
func planBatches(j *job, n int64, members []*member) []batch {
	zones := []model.Name{model.None}
	perZone := map[model.Name]int64{}
	if j.pinned() {
		zones = zones[:0]
		for _, m := range members {
			for _, r := range m.candidates {
				if !slices.Contains(zones, r.Zone) {
					zones = append(zones, r.Zone)
				}
			}
		}
		for zone, n := range j.assignedInZone {
			perZone[zone] = int64(n)
		}
	}
	if j.spec.SameZone && len(perZone) == 0 && len(zones) > 0 {
		// The whole job should fit where it goes: the zone with most room.
		zones = []model.Name{zoneWithMostCapacity(j.spec, zones, n, members)}
	}
	var batches []batch
	for n > 0 {
		var best batch
		for _, z := range zones {
			limit := n
			if j.spec.SameZone && len(perZone) > 0 && perZone[z] == 0 {
				continue
			}
			if j.spec.Spread {
				limit = min(limit, int64(j.maxPerZone())-perZone[z])
			}
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
		perZone[best.zone] += best.count
		n -= best.count
		batches = append(batches, best)
	}
	return batches
}

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

// dispatchAhead deals a few tasks without room to the shards with machines for
// them: there they may find victims, the more the more machines there are. A
// controller that has just come back has hardly any.
func (d *Dispatcher) dispatchAhead(j *job, n int64, members []*member) {
	ahead := min(n, int64(d.params.DispatchAhead-d.TaskCounts(j.spec.ID).Waiting))
	if ahead <= 0 {
		return
	}
	var eligible []*member
	for _, m := range members {
		if slices.ContainsFunc(m.machineKinds, func(kind *machine) bool {
			return j.spec.Allows(&kind.Machine) &&
				j.spec.PerTask.Fits(kind.Cap)
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
		// Counted at once: the shard's own count comes later.
		if m.jobs == nil {
			m.jobs = map[model.JobID]model.TaskCounts{}
		}
		counts := m.jobs[j.spec.ID]
		counts.Waiting++
		m.jobs[j.spec.ID] = counts
	}
}

// rebalanceTasks takes waiting tasks back from a shard that has no room for so many of them while
// another has some. What waits where nobody has room stays: it is placed as its shard's next
// machine reports, which is sooner than the dealer could have it there.
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

// collectCandidates finds, for each shard, the machines with room for the smallest of the
// jobs' tasks, and one machine of each kind that it has.
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
			return kind.Type == m.Type &&
				kind.Zone == m.Zone && kind.Spot == m.Spot
		}) {
			shard.machineKinds = append(shard.machineKinds, m)
		}
		if m.avail.CPU >= minCPU {
			shard.candidates = append(shard.candidates, m)
		}
	}
}

// countFitting tells for how many of up to n tasks there is room, and takes it.
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
				s.assignedOn[m] = true
			}
			fitting += count
		}
	}
	return fitting
}

func (d *Dispatcher) dispatchOne(j *job, to model.ShardID, zone model.Name) bool {
	index, redispatched, ok := d.nextTask(j)
	if !ok {
		return false
	}
	d.assign(j, index, zone, to, Dispatched)
	d.sendAssignment(to, model.Assignment{Task: model.Task{Job: j.spec.ID, Index: index}, Spec: j.spec, Price: j.price,
		Zone:         zone,
		WaitingSince: j.waitingSince, Redispatched: redispatched && d.params.ReportInterruptions})
	return true
}

package shard

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// ready reports whether new tasks may be placed on the machine now.
func (s *Shard) ready(now time.Duration, m *machine) bool {
	return m.fenced && m.usable &&
		!m.leaseExpired && !m.inboundLost && m.preemptionAt == 0 &&
		now >= m.faultyUntil && now >= m.refusedUntil && !m.tokenNeeded && !s.notReporting(now, m)
}

// lowestRank returns the lowest rank of the tasks on the machine. A machine without
// tasks counts as having the lowest rank there is. The result is cached for one
// placement round: without the cache, a round with hundreds of groups and 1,636
// machines of 24 tasks each took 1.8 s.
func (s *Shard) lowestRank(m *machine) model.Rank {
	if m.lowestRankRound != s.round {
		m.lowestRankRound, m.lowestRank, m.hasTasks = s.round, model.Idle, false
		for _, a := range m.attempts {
			if a.assigned != nil && a.state != exited {
				m.noteRank(a.assigned.Spec.Rank)
			}
		}
	}
	return m.lowestRank
}

// noteRank updates the cached lowest rank for a task that is on the machine.
func (m *machine) noteRank(r model.Rank) {
	if !m.hasTasks || r < m.lowestRank {
		m.lowestRank, m.hasTasks = r, true
	}
}

// score returns the group's place in the placement order: the highest score goes first.
func (g *waitingGroup) score(now time.Duration) float64 {
	return g.spec.Score(g.price, now-g.waitingSince)
}

// Place assigns waiting tasks to machines, in order of their score. If only the free
// capacity of some machines has changed since the last call, it examines only these:
// no other machine had capacity for the waiting tasks.
func (s *Shard) Place(now time.Duration) {
	if !s.HasGrant(now) {
		return
	}
	freed := s.freedMachines
	s.freedMachines = nil
	for _, m := range freed {
		m.capacityFreed = false
	}
	if len(s.waiting) == 0 {
		s.replanAll = false
		return
	}
	if s.replanAll {
		s.replanAll = false
		s.placeAll(now)
		return
	}
	for _, m := range freed {
		if s.machines[m.ID] == m {
			s.placeOn(now, m)
		}
	}
}

// PlaceOn assigns waiting tasks to one machine with freed capacity, so that the answer
// to the report of its worker can carry their launches.
func (s *Shard) PlaceOn(now time.Duration, id model.MachineID) {
	if m := s.machines[id]; m != nil && m.capacityFreed && s.HasGrant(now) {
		s.placeOn(now, m)
	}
}

// placeOn fills a machine's free capacity with waiting tasks: expedited jobs first, then
// the groups in their last ranking. It evicts nothing.
func (s *Shard) placeOn(now time.Duration, m *machine) {
	s.placeExpeditedOn(now, m)
	for _, g := range s.rankedGroups {
		if len(g.tasks) == 0 || !g.spec.PerTask.Fits(m.Cap.Sub(m.used)) || !s.canPlace(now, g, m) {
			continue
		}
		for len(g.tasks) > 0 && g.spec.PerTask.Fits(m.Cap.Sub(m.used)) {
			s.placeNext(m, g)
		}
		s.removeIfEmpty(g)
	}
}

// removeIfEmpty deletes a group without waiting tasks.
func (s *Shard) removeIfEmpty(g *waitingGroup) {
	if k := (groupKey{g.job, g.zone}); len(g.tasks) == 0 && s.waiting[k] == g {
		delete(s.waiting, k)
	}
}

// placeAll runs a full placement round: it ranks all waiting groups and places each on the
// machines with free capacity, evicting cheaper tasks where there is none.
func (s *Shard) placeAll(now time.Duration) {
	s.round++
	s.rankedGroups = s.rankedGroups[:0]
	minCPU := int64(math.MaxInt64)
	for _, g := range s.waiting {
		g.rankedScore = g.score(now)
		s.rankedGroups = append(s.rankedGroups, g)
		minCPU = min(minCPU, g.spec.PerTask.CPU)
	}
	slices.SortFunc(s.rankedGroups, func(a, b *waitingGroup) int {
		return cmp.Or(cmp.Compare(b.rankedScore, a.rankedScore), cmp.Compare(a.job, b.job), cmp.Compare(a.zone, b.zone))
	})
	var available []*machine
	s.Stats.MachinesExamined += uint64(len(s.sortedMachines))
	for _, m := range s.sortedMachines {
		if m.Cap.CPU-m.used.CPU >= minCPU && s.ready(now, m) {
			available = append(available, m)
		}
	}
	index := &victimIndex{shard: s, now: now, machines: s.victimMachines[:0]}
	s.placeExpedited(now, available, index)
	for _, g := range s.rankedGroups {
		machines := s.candidates(now, g, available)
		s.placeGroup(now, g, len(g.tasks), machines, index)
		s.removeIfEmpty(g)
	}
	s.victimMachines = index.machines
}

// placeGroup places up to count of a group's tasks: on candidate machines first, then by
// eviction. The count bounds the attempts of one round, because an eviction may put a
// task back into a waiting group.
func (s *Shard) placeGroup(now time.Duration, g *waitingGroup, count int, machines *candidates, index *victimIndex) {
	for ; count > 0 && len(g.tasks) > 0; count-- {
		m := machines.best()
		if m == nil {
			if m = s.evict(now, g, index); m == nil {
				break
			}
		}
		s.placeNext(m, g)
		machines.placedOnBest()
	}
}

// canPlace reports whether the group's tasks may run on the machine. It does not consider
// whether enough capacity is free there.
func (s *Shard) canPlace(now time.Duration, g *waitingGroup, m *machine) bool {
	s.Stats.MachinesExamined++
	return s.ready(now, m) && !m.reservedForOther(now, g.job) && (g.zone == model.None || g.zone == m.Zone) &&
		g.spec.Allows(&m.Machine) && g.spec.PerTask.Fits(m.Cap) && !s.avoids(now, g.job, m)
}

// candidates is a heap of the machines on which a group's tasks fit into the free capacity.
// The machine whose tasks have the lowest rank comes first.
type candidates struct {
	shard    *Shard
	spec     *model.Spec
	machines []candidate
}

// candidate is a machine in the heap, with its rank at the time that it was put in place.
type candidate struct {
	machine    *machine
	lowestRank model.Rank
}

// candidates returns the machines among the available ones that can take a task of the group now.
func (s *Shard) candidates(now time.Duration, g *waitingGroup, available []*machine) *candidates {
	c := &candidates{shard: s, spec: g.spec}
	if len(g.tasks) == 0 {
		return c
	}
	for _, m := range available {
		if g.spec.PerTask.Fits(m.Cap.Sub(m.used)) && s.canPlace(now, g, m) {
			c.machines = append(c.machines, candidate{m, s.lowestRank(m)})
		}
	}
	heap.Init(c)
	return c
}

// Len implements heap.Interface.
func (c *candidates) Len() int { return len(c.machines) }

// Swap implements heap.Interface.
func (c *candidates) Swap(i, j int) { c.machines[i], c.machines[j] = c.machines[j], c.machines[i] }

// Push is part of heap.Interface. The heap never grows after it was built.
func (c *candidates) Push(any) { panic("candidates are never added after the heap is built") }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	n := len(c.machines) - 1
	x := c.machines[n]
	c.machines = c.machines[:n]
	return x
}

// Less implements heap.Interface.
func (c *candidates) Less(i, j int) bool {
	a, b := c.machines[i], c.machines[j]
	if a.lowestRank != b.lowestRank {
		return a.lowestRank < b.lowestRank
	}
	return preferred(c.spec, a.machine, b.machine)
}

// best returns the machine for the next task; nil if there is none.
func (c *candidates) best() *machine {
	if len(c.machines) == 0 {
		return nil
	}
	return c.machines[0].machine
}

// placedOnBest restores the heap after a task was placed on the first machine. A machine that
// has no capacity for another task is removed.
func (c *candidates) placedOnBest() {
	if len(c.machines) == 0 {
		return
	}
	if m := c.machines[0].machine; c.spec.PerTask.Fits(m.Cap.Sub(m.used)) {
		c.machines[0].lowestRank = c.shard.lowestRank(m)
		heap.Fix(c, 0)
	} else {
		heap.Pop(c)
	}
}

// preferred reports whether machine m comes before another one of the same rank: a machine with
// the image first, then a spot machine, which is cheaper, then the one with less CPU free, then
// the one with the lower ID.
func preferred(spec *model.Spec, m, other *machine) bool {
	if a, b := m.images[spec.Image], other.images[spec.Image]; a != b {
		return a
	}
	if m.Spot != other.Spot {
		return m.Spot
	}
	if a, b := m.Cap.CPU-m.used.CPU, other.Cap.CPU-other.used.CPU; a != b {
		return a < b
	}
	return m.ID < other.ID
}

// lostWork returns how much run time a task loses if it is stopped without saving: all of it, or
// the part since its last periodic checkpoint.
func lostWork(now time.Duration, a *attempt) time.Duration {
	lost := a.ran(now)
	if interval := a.assigned.Spec.CheckpointInterval; interval > 0 {
		lost %= interval
	}
	return lost
}

// paybackTime returns how long a new task at the given price must run until the price difference
// to the victim makes up for the victim's lost work.
func paybackTime(now time.Duration, a *attempt, price float64) time.Duration {
	victimPrice := a.assigned.price
	return time.Duration(float64(lostWork(now, a)) * victimPrice / (price - victimPrice))
}

// victimGrace returns how long a victim may take to save a checkpoint before it is killed. It is
// zero if saving takes as long as the work that it would save, and if the new task is urgent,
// because urgent work cannot wait for a checkpoint.
func victimGrace(now time.Duration, a *attempt, rank model.Rank) time.Duration {
	if rank >= model.Urgent || lostWork(now, a) <= a.assigned.Spec.CheckpointTime {
		return 0
	}
	return checkpointGrace(a.assigned.Spec)
}

// victimIndex lists the machines with possible victims and the lowest task price on each. It is
// built when the first eviction of a placement round needs it.
type victimIndex struct {
	shard    *Shard
	now      time.Duration
	built    bool
	machines []victimMachine
	minPrice float64 // of all machines
}

// victimMachine is a machine with possible victims.
type victimMachine struct {
	machine  *machine
	minPrice float64 // of the tasks on the machine
}

// build collects the ready machines that run a task which may be evicted.
func (v *victimIndex) build() {
	if v.built {
		return
	}
	v.built, v.minPrice = true, math.Inf(1)
	v.shard.Stats.MachinesExamined += uint64(len(v.shard.sortedMachines))
	for _, m := range v.shard.sortedMachines {
		if price := m.minTaskPrice(); !math.IsInf(price, 1) && v.shard.ready(v.now, m) {
			v.machines = append(v.machines, victimMachine{m, price})
			v.minPrice = min(v.minPrice, price)
		}
	}
}

// sample picks up to count random machines on which the group may run and that have a
// task with a lower price. It returns indexes into v.machines. It draws at random first,
// and scans all machines only if that finds too few.
func (v *victimIndex) sample(g *waitingGroup, count int) []int {
	v.build()
	if v.minPrice >= g.price {
		return nil
	}
	matches := func(i int) bool {
		return v.machines[i].minPrice < g.price && v.shard.canPlace(v.now, g, v.machines[i].machine)
	}
	var picked []int
	for range 8 * count {
		if i := v.shard.rng.IntN(len(v.machines)); matches(i) && !slices.Contains(picked, i) {
			if picked = append(picked, i); len(picked) == count {
				return picked
			}
		}
	}
	var all []int
	for i := range v.machines {
		if matches(i) {
			all = append(all, i)
		}
	}
	v.shard.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// evict stops tasks with lower prices on one machine to free capacity for a task of the group,
// and returns that machine. It picks the machine with the shortest payback and image
// fetch time out of a random sample. It returns nil if there is none, or if it is too early
// for the eviction to pay off. If all victims exceed the payback limit, the price of the
// group is lowered by one step.
func (s *Shard) evict(now time.Duration, g *waitingGroup, index *victimIndex) *machine {
	if now < g.nextEviction {
		return nil
	}
	var best *machine
	var bestIndex int
	var bestVictims []*attempt
	var bestCost, bestTotal time.Duration
	overLimit := false
	for _, i := range index.sample(g, s.params.VictimSample) {
		m := index.machines[i].machine
		victims, cost, ok := s.victims(now, m, g)
		total := cost + m.fetchTime(g.spec)
		overLimit = overLimit || ok && cost > s.params.PaybackLimit
		if ok && cost <= s.params.PaybackLimit && (best == nil || total < bestTotal) {
			best, bestIndex, bestVictims, bestCost, bestTotal = m, i, victims, cost, total
		}
	}
	if best == nil {
		// The price is lowered only if there are victims and all cost too much. Otherwise a
		// group at a shard whose victims are all being stopped already would fall to the
		// lowest price within seconds, and stay there.
		g.nextEviction = now + time.Second/4
		if overLimit && g.price > 1 {
			g.nextEviction = now + time.Second
			s.Stats.Demoted++
			g.price = max(1, g.price/s.params.DemotionStep)
		}
		return nil
	}
	// Tasks end all the time and free capacity without an eviction. So a task must have
	// waited for at least the payback time before it may evict others.
	if remaining := bestCost - (now - g.tasks[0].queuedAt); remaining > 0 {
		g.nextEviction = now + min(remaining, time.Second)
		return nil
	}
	for _, a := range bestVictims {
		s.Stats.Evicted++
		s.stopAttempt(now, a, victimGrace(now, a, g.spec.Rank))
	}
	index.machines[bestIndex].minPrice = best.minTaskPrice()
	return best
}

// minTaskPrice returns the lowest price of the tasks on the machine that may be evicted; infinity
// if there is none. It is cached: computing it each time took half of a placement round when all
// machines were full and many tasks waited.
func (m *machine) minTaskPrice() float64 {
	if !m.minPriceValid {
		m.minPrice, m.minPriceValid = m.computeMinTaskPrice(), true
	}
	return m.minPrice
}

// computeMinTaskPrice returns what minTaskPrice caches.
func (m *machine) computeMinTaskPrice() float64 {
	lowest := math.Inf(1)
	for _, a := range m.attempts {
		if a.assigned != nil && a.state != exited && !a.stopping {
			lowest = min(lowest, a.assigned.price)
		}
	}
	return lowest
}

// victims picks tasks on a machine, shortest payback time first, that have a lower price than the
// group and whose end frees enough capacity for one of its tasks. It returns them with the sum of
// their payback times, and whether they free enough.
func (s *Shard) victims(now time.Duration, m *machine, g *waitingGroup) ([]*attempt, time.Duration, bool) {
	var candidates []*attempt
	for _, a := range m.attempts {
		if a.assigned != nil && a.state != exited && !a.stopping && !a.assigned.recalled && a.assigned.price < g.price &&
			a.task.Job != g.job {
			candidates = append(candidates, a)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *attempt) int {
		return int(paybackTime(now, a, g.price) - paybackTime(now, b, g.price))
	})
	// m.used includes both the tasks being stopped and the unsent ones they are stopped for.
	// Adding the former back leaves the capacity that no unsent task is going to use.
	free := m.Cap.Sub(m.used)
	for _, a := range m.attempts {
		if a.stopping || a.state == exited && a.clearable {
			free = free.Add(a.resources)
		}
	}
	var picked []*attempt
	var cost time.Duration
	for _, candidate := range candidates {
		if g.spec.PerTask.Fits(free) {
			break
		}
		free = free.Add(candidate.resources)
		picked = append(picked, candidate)
		cost += paybackTime(now, candidate, g.price)
	}
	return picked, cost, g.spec.PerTask.Fits(free)
}

// fetchTime returns how long the machine takes to pull a task's image: 0 if it is expected to
// have the image.
func (m *machine) fetchTime(spec *model.Spec) time.Duration {
	if m.images[spec.Image] {
		return 0
	}
	return m.pullTime(spec)
}

// pullTime returns how long the machine takes to pull a task's image; 0 if its rate is unknown.
func (m *machine) pullTime(spec *model.Spec) time.Duration {
	if m.FetchRate <= 0 {
		return 0
	}
	return time.Duration(spec.ImageGB / m.FetchRate * float64(time.Second))
}

// placeNext creates an attempt for the next task of a group on a machine. The launch is sent in the
// answer to a report, which may be requested, once its victims have gone.
func (s *Shard) placeNext(m *machine, g *waitingGroup) {
	t := g.tasks[0]
	g.tasks = g.tasks[1:]
	s.lastAttempt++
	a := &attempt{attemptKey: attemptKey{t.Task, s.lastAttempt}, assigned: t, resources: t.Spec.PerTask}
	s.addAttempt(m, a)
	if s.simulation != nil {
		a.fetchesImage = !m.images[t.Spec.Image]
		s.simulation.started = append(s.simulation.started, a)
	}
	m.images[t.Spec.Image] = true
	m.needsFlush = true
	m.noteRank(t.Spec.Rank)
	t.attempt = a
	s.endExpedite(g.job)
	s.Stats.Placed++
}

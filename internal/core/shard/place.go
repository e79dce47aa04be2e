package shard

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// maxAttemptsPerMachine is how many attempts a machine may have and still get more: a report holds
// 64 KiB, and what has ended is told until it is stored, which may take a whole outage.
const maxAttemptsPerMachine = 400

func (s *Shard) ready(now time.Duration, m *machine) bool {
	return m.fenced && m.usable && len(m.attempts) < maxAttemptsPerMachine && !m.leaseExpired && !m.inboundLost &&
		m.preemptionAt == 0 &&
		now >= m.faultyUntil &&
		now >= m.refusedUntil && !m.tokenNeeded && !s.notReporting(now, m)
}

// lowestRank is the lowest priority that runs on the machine. A machine that runs
// nothing counts as running the lowest there is. It is looked up once a round of
// placing: with hundreds of groups and 1,636 machines of 24 tasks each a round
// took 1.8 s otherwise.
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

// noteRank notes that a task of a rank is on the machine.
func (m *machine) noteRank(r model.Rank) {
	if !m.hasTasks || r < m.lowestRank {
		m.lowestRank, m.hasTasks = r, true
	}
}

func (g *waitingGroup) score(now time.Duration) float64 {
	return g.spec.Score(g.price, now-g.waitingSince)
}

// Place puts waiting tasks on machines, the highest price times wait first. As
// long as only machines' room has changed, only those machines are looked at:
// elsewhere there was no room for what waits.
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

// PlaceOn puts waiting tasks on one machine, so that the answer to its report
// can carry them.
func (s *Shard) PlaceOn(now time.Duration, id model.MachineID) {
	if m := s.machines[id]; m != nil && m.capacityFreed && s.HasGrant(now) {
		s.placeOn(now, m)
	}
}

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

// removeIfEmpty drops a group of which no task waits any more.
func (s *Shard) removeIfEmpty(g *waitingGroup) {
	if k := (groupKey{g.job, g.zone}); len(g.tasks) == 0 && s.waiting[k] == g {
		delete(s.waiting, k)
	}
}

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

// placeGroup puts up to n of a group's tasks on machines. Each is tried once a round,
// whatever evictions put back.
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

func (s *Shard) canPlace(now time.Duration, g *waitingGroup, m *machine) bool {
	s.Stats.MachinesExamined++
	return s.ready(now, m) && !m.reservedForOther(now, g.job) && (g.zone == model.None || g.zone == m.Zone) &&
		g.spec.Allows(&m.Machine) && g.spec.PerTask.Fits(m.Cap) && !s.avoids(now, g.job, m)
}

// candidates are the machines with a group's full request free, as a heap: the one
// that runs the lowest priority first.
type candidates struct {
	shard    *Shard
	spec     *model.Spec
	machines []candidate
}

type candidate struct {
	machine    *machine
	lowestRank model.Rank
}

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

func (c *candidates) Len() int      { return len(c.machines) }
func (c *candidates) Swap(i, j int) { c.machines[i], c.machines[j] = c.machines[j], c.machines[i] }
func (c *candidates) Push(any)      { panic("rooms only shrink") }
func (c *candidates) Pop() any {
	n := len(c.machines) - 1
	x := c.machines[n]
	c.machines = c.machines[:n]
	return x
}
func (c *candidates) Less(i, j int) bool {
	a, b := c.machines[i], c.machines[j]
	if a.lowestRank != b.lowestRank {
		return a.lowestRank < b.lowestRank
	}
	return preferred(c.spec, a.machine, b.machine)
}

// best is the machine for the next task, nil if there is none.
func (c *candidates) best() *machine {
	if len(c.machines) == 0 {
		return nil
	}
	return c.machines[0].machine
}

// placedOnBest puts the first machine, which has been given a task, in its new place.
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

// preferred breaks ties: a machine that has the image, then a cheaper (spot)
// one, then the fuller.
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

// lostWork is the work that a victim loses: all of its run time, or what it has
// done since it last saved by itself.
func lostWork(now time.Duration, a *attempt) time.Duration {
	lost := a.ran(now)
	if interval := a.assigned.Spec.CheckpointInterval; interval > 0 {
		lost %= interval
	}
	return lost
}

// paybackTime is the time until the new task's price has made up for the victim's
// lost work.
func paybackTime(now time.Duration, a *attempt, price float64) time.Duration {
	victimPrice := a.assigned.price
	return time.Duration(float64(lostWork(now, a)) * victimPrice / (price - victimPrice))
}

// victimGrace is the time a victim gets to save: none where saving takes as long as
// the work that it would save, nor for urgent work, which can't wait for it.
func victimGrace(now time.Duration, a *attempt, rank model.Rank) time.Duration {
	if rank >= model.Urgent || lostWork(now, a) <= a.assigned.Spec.CheckpointTime {
		return 0
	}
	return checkpointGrace(a.assigned.Spec)
}

// victimIndex is what a round of placing knows of the machines with victims: the
// lowest price that runs on each.
type victimIndex struct {
	shard    *Shard
	now      time.Duration
	built    bool
	machines []victimMachine
	minPrice float64
}

type victimMachine struct {
	machine  *machine
	minPrice float64
}

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

// sample picks up to k machines that allow the group and run something cheaper.
// It draws, and looks through all of them only where luck is out.
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

// evict samples machines for the victims of shortest payback; without any
// within the limit the group is requeued one step lower.
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
		// Only victims that are too dear lower a price. Without any the task waits
		// as it is: else what came to a shard whose victims were all being
		// stopped sank to the lowest price within seconds, and stayed there.
		g.nextEviction = now + time.Second/4
		if overLimit && g.price > 1 {
			g.nextEviction = now + time.Second
			s.Stats.Demoted++
			g.price = max(1, g.price/s.params.DemotionStep)
		}
		return nil
	}
	// Room comes free by itself all the time: an eviction must pay back sooner
	// than the task has waited for it.
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

// minTaskPrice is the lowest price that runs on the machine. Where all are full and much waits,
// looking it up anew took half of a round of placing.
func (m *machine) minTaskPrice() float64 {
	if !m.minPriceValid {
		m.minPrice, m.minPriceValid = m.computeMinTaskPrice(), true
	}
	return m.minPrice
}

func (m *machine) computeMinTaskPrice() float64 {
	lowest := math.Inf(1)
	for _, a := range m.attempts {
		if a.assigned != nil && a.state != exited && !a.stopping {
			lowest = min(lowest, a.assigned.price)
		}
	}
	return lowest
}

// victims picks lower-priced tasks whose stop frees the room, cheapest first.
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
	// What is being stopped already is spoken for by the reservations it was
	// stopped for, so only room beyond them counts.
	free := m.Cap.Sub(m.used)
	for _, a := range m.attempts {
		if a.stopping && a.state != exited {
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

// fetchTime is how long the machine takes to get a task's image, if it is not known
// to have it.
func (m *machine) fetchTime(spec *model.Spec) time.Duration {
	if m.images[spec.Image] {
		return 0
	}
	return m.pullTime(spec)
}

// pullTime is how long the machine takes to get a task's image.
func (m *machine) pullTime(spec *model.Spec) time.Duration {
	if m.FetchRate <= 0 {
		return 0
	}
	return time.Duration(spec.ImageGB / m.FetchRate * float64(time.Second))
}

// placeNext puts the next of a group's tasks on a machine.
func (s *Shard) placeNext(m *machine, g *waitingGroup) {
	t := g.tasks[0]
	g.tasks = g.tasks[1:]
	s.lastAttempt++
	a := &attempt{attemptKey: attemptKey{t.Task, s.lastAttempt}, assigned: t, resources: t.Spec.PerTask}
	s.addAttempt(m, a)
	m.used = m.used.Add(a.resources)
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

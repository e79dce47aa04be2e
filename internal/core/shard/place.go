package shard

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// mostAttempts is how many attempts a machine may have and still get more: a report holds
// 64 KiB, and what has ended is told until it is stored, which may take a whole outage.
const mostAttempts = 400

func (s *Shard) ready(now time.Duration, m *machine) bool {
	return m.fenced && m.usable && len(m.slots) < mostAttempts && !m.leaseExpired && !m.inboundLost && m.noticeAt == 0 &&
		now >= m.faultyUntil &&
		now >= m.refusedUntil && !m.needToken && !s.quiet(now, m)
}

// level is the lowest priority that runs on the machine. A machine that runs
// nothing counts as running the lowest there is. It is looked up once a round of
// placing: with hundreds of groups and 1,636 machines of 24 tasks each a round
// took 1.8 s otherwise.
func (s *Shard) level(m *machine) model.Rank {
	if m.leveled != s.round {
		m.leveled, m.lowest, m.busy = s.round, model.Idle, false
		for _, sl := range m.slots {
			if sl.t != nil && sl.state != exited {
				m.runs(sl.t.Spec.Rank)
			}
		}
	}
	return m.lowest
}

// runs notes that a task of a rank is on the machine.
func (m *machine) runs(r model.Rank) {
	if !m.busy || r < m.lowest {
		m.lowest, m.busy = r, true
	}
}

func (g *group) score(now time.Duration) float64 {
	return g.spec.Score(g.price, now-g.since)
}

// Place puts waiting tasks on machines, the highest price times wait first. As
// long as only machines' room has changed, only those machines are looked at:
// elsewhere there was no room for what waits.
func (s *Shard) Place(now time.Duration) {
	if !s.HasGrant(now) {
		return
	}
	roomier := s.roomier
	s.roomier = nil
	for _, m := range roomier {
		m.roomier = false
	}
	if len(s.queue) == 0 {
		s.replan = false
		return
	}
	if s.replan {
		s.replan = false
		s.placeAll(now)
		return
	}
	for _, m := range roomier {
		if s.machines[m.ID] == m {
			s.placeOn(now, m)
		}
	}
}

// PlaceOn puts waiting tasks on one machine, so that the answer to its report
// can carry them.
func (s *Shard) PlaceOn(now time.Duration, id model.MachineID) {
	if m := s.machines[id]; m != nil && m.roomier && s.HasGrant(now) {
		s.placeOn(now, m)
	}
}

func (s *Shard) placeOn(now time.Duration, m *machine) {
	s.placeFirstsOn(now, m)
	for _, g := range s.ranked {
		if len(g.tasks) == 0 || !g.spec.PerTask.Fits(m.Cap.Sub(m.used)) || !s.allows(now, g, m) {
			continue
		}
		for len(g.tasks) > 0 && g.spec.PerTask.Fits(m.Cap.Sub(m.used)) {
			s.putNext(m, g)
		}
		s.leave(g)
	}
}

// leave drops a group of which no task waits any more.
func (s *Shard) leave(g *group) {
	if k := (groupKey{g.job, g.zone}); len(g.tasks) == 0 && s.queue[k] == g {
		delete(s.queue, k)
	}
}

func (s *Shard) placeAll(now time.Duration) {
	s.round++
	s.ranked = s.ranked[:0]
	least := int64(math.MaxInt64)
	for _, g := range s.queue {
		g.worth = g.score(now)
		s.ranked = append(s.ranked, g)
		least = min(least, g.spec.PerTask.CPU)
	}
	slices.SortFunc(s.ranked, func(a, b *group) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.job, b.job), cmp.Compare(a.zone, b.zone))
	})
	var open []*machine
	s.Stats.MachinesExamined += uint64(len(s.order))
	for _, m := range s.order {
		if m.Cap.CPU-m.used.CPU >= least && s.ready(now, m) {
			open = append(open, m)
		}
	}
	v := &prey{s: s, now: now, at: s.prey[:0]}
	s.placeFirsts(now, open, v)
	for _, g := range s.ranked {
		r := s.rooms(now, g, open)
		s.placeGroup(now, g, len(g.tasks), r, v)
		s.leave(g)
	}
	s.prey = v.at
}

// placeGroup puts up to n of a group's tasks on machines. Each is tried once a round,
// whatever evictions put back.
func (s *Shard) placeGroup(now time.Duration, g *group, n int, r *rooms, v *prey) {
	for ; n > 0 && len(g.tasks) > 0; n-- {
		m := r.best()
		if m == nil {
			if m = s.evict(now, g, v); m == nil {
				break
			}
		}
		s.putNext(m, g)
		r.taken()
	}
}

func (s *Shard) allows(now time.Duration, g *group, m *machine) bool {
	s.Stats.MachinesExamined++
	return s.ready(now, m) && !m.kept(now, g.job) && (g.zone == model.None || g.zone == m.Zone) &&
		g.spec.Allows(&m.Machine) && g.spec.PerTask.Fits(m.Cap) && !s.shuns(now, g.job, m)
}

// rooms are the machines with a group's full request free, as a heap: the one
// that runs the lowest priority first.
type rooms struct {
	s  *Shard
	sp *model.Spec
	at []roomAt
}

type roomAt struct {
	m     *machine
	level model.Rank
}

func (s *Shard) rooms(now time.Duration, g *group, open []*machine) *rooms {
	r := &rooms{s: s, sp: g.spec}
	if len(g.tasks) == 0 {
		return r
	}
	for _, m := range open {
		if g.spec.PerTask.Fits(m.Cap.Sub(m.used)) && s.allows(now, g, m) {
			r.at = append(r.at, roomAt{m, s.level(m)})
		}
	}
	heap.Init(r)
	return r
}

func (r *rooms) Len() int      { return len(r.at) }
func (r *rooms) Swap(i, j int) { r.at[i], r.at[j] = r.at[j], r.at[i] }
func (r *rooms) Push(any)      { panic("rooms only shrink") }
func (r *rooms) Pop() any {
	n := len(r.at) - 1
	x := r.at[n]
	r.at = r.at[:n]
	return x
}
func (r *rooms) Less(i, j int) bool {
	a, b := r.at[i], r.at[j]
	if a.level != b.level {
		return a.level < b.level
	}
	return preferred(r.sp, a.m, b.m)
}

// best is the machine for the next task, nil if there is none.
func (r *rooms) best() *machine {
	if len(r.at) == 0 {
		return nil
	}
	return r.at[0].m
}

// taken puts the first machine, which has been given a task, in its new place.
func (r *rooms) taken() {
	if len(r.at) == 0 {
		return
	}
	if m := r.at[0].m; r.sp.PerTask.Fits(m.Cap.Sub(m.used)) {
		r.at[0].level = r.s.level(m)
		heap.Fix(r, 0)
	} else {
		heap.Pop(r)
	}
}

// preferred breaks ties: a machine that has the image, then a cheaper (spot)
// one, then the fuller.
func preferred(sp *model.Spec, m, than *machine) bool {
	if a, b := m.images[sp.Image], than.images[sp.Image]; a != b {
		return a
	}
	if m.Spot != than.Spot {
		return m.Spot
	}
	if a, b := m.Cap.CPU-m.used.CPU, than.Cap.CPU-than.used.CPU; a != b {
		return a < b
	}
	return m.ID < than.ID
}

// loss is the work that a victim loses: all of its run time, or what it has
// done since it last saved by itself.
func loss(now time.Duration, sl *slot) time.Duration {
	ran := sl.ran(now)
	if cp := sl.t.Spec.CheckpointInterval; cp > 0 {
		ran %= cp
	}
	return ran
}

// payback is the time until the new task's price has made up for the victim's
// lost work.
func payback(now time.Duration, sl *slot, price float64) time.Duration {
	p := sl.t.price
	return time.Duration(float64(loss(now, sl)) * p / (price - p))
}

// parting is the time a victim gets to save: none where saving takes as long as
// the work that it would save, nor for urgent work, which can't wait for it.
func parting(now time.Duration, sl *slot, rank model.Rank) time.Duration {
	if rank >= model.Urgent || loss(now, sl) <= sl.t.Spec.CheckpointTime {
		return 0
	}
	return graceOf(sl.t.Spec)
}

// prey is what a round of placing knows of the machines with victims: the
// lowest price that runs on each.
type prey struct {
	s      *Shard
	now    time.Duration
	known  bool
	at     []preyAt
	lowest float64
}

type preyAt struct {
	m     *machine
	price float64
}

func (v *prey) find() {
	if v.known {
		return
	}
	v.known, v.lowest = true, math.Inf(1)
	v.s.Stats.MachinesExamined += uint64(len(v.s.order))
	for _, m := range v.s.order {
		if p := m.cheapest(); !math.IsInf(p, 1) && v.s.ready(v.now, m) {
			v.at = append(v.at, preyAt{m, p})
			v.lowest = min(v.lowest, p)
		}
	}
}

// sample picks up to k machines that allow the group and run something cheaper.
// It draws, and looks through all of them only where luck is out.
func (v *prey) sample(g *group, k int) []int {
	v.find()
	if v.lowest >= g.price {
		return nil
	}
	fits := func(i int) bool { return v.at[i].price < g.price && v.s.allows(v.now, g, v.at[i].m) }
	var out []int
	for range 8 * k {
		if i := v.s.rng.IntN(len(v.at)); fits(i) && !slices.Contains(out, i) {
			if out = append(out, i); len(out) == k {
				return out
			}
		}
	}
	var all []int
	for i := range v.at {
		if fits(i) {
			all = append(all, i)
		}
	}
	v.s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(k, len(all))]
}

// evict samples machines for the victims of shortest payback; without any
// within the limit the group is requeued one step lower.
func (s *Shard) evict(now time.Duration, g *group, v *prey) *machine {
	if now < g.nextEvict {
		return nil
	}
	var best *machine
	var bestAt int
	var bestVictims []*slot
	var bestCost, bestTotal time.Duration
	tooDear := false
	for _, i := range v.sample(g, s.p.VictimSample) {
		m := v.at[i].m
		victims, cost, ok := s.victims(now, m, g)
		total := cost + m.fetch(g.spec)
		tooDear = tooDear || ok && cost > s.p.PaybackLimit
		if ok && cost <= s.p.PaybackLimit && (best == nil || total < bestTotal) {
			best, bestAt, bestVictims, bestCost, bestTotal = m, i, victims, cost, total
		}
	}
	if best == nil {
		// Only victims that are too dear lower a price. Without any the task waits
		// as it is: else what came to a shard whose victims were all being
		// stopped sank to the lowest price within seconds, and stayed there.
		g.nextEvict = now + time.Second/4
		if tooDear && g.price > 1 {
			g.nextEvict = now + time.Second
			s.Stats.Demoted++
			g.price = max(1, g.price/s.p.DemotionStep)
		}
		return nil
	}
	// Room comes free by itself all the time: an eviction must pay back sooner
	// than the task has waited for it.
	if early := bestCost - (now - g.tasks[0].queued); early > 0 {
		g.nextEvict = now + min(early, time.Second)
		return nil
	}
	for _, sl := range bestVictims {
		s.Stats.Evicted++
		s.stop(now, sl, parting(now, sl, g.spec.Rank))
	}
	v.at[bestAt].price = best.cheapest()
	return best
}

// cheapest is the lowest price that runs on the machine. Where all are full and much waits,
// looking it up anew took half of a round of placing.
func (m *machine) cheapest() float64 {
	if !m.priced {
		m.low, m.priced = m.lowestPrice(), true
	}
	return m.low
}

func (m *machine) lowestPrice() float64 {
	low := math.Inf(1)
	for _, sl := range m.slots {
		if sl.t != nil && sl.state != exited && !sl.stop {
			low = min(low, sl.t.price)
		}
	}
	return low
}

// victims picks lower-priced tasks whose stop frees the room, cheapest first.
func (s *Shard) victims(now time.Duration, m *machine, g *group) ([]*slot, time.Duration, bool) {
	var cands []*slot
	for _, sl := range m.slots {
		if sl.t != nil && sl.state != exited && !sl.stop && !sl.t.recalled && sl.t.price < g.price && sl.task.Job != g.job {
			cands = append(cands, sl)
		}
	}
	slices.SortStableFunc(cands, func(a, b *slot) int {
		return int(payback(now, a, g.price) - payback(now, b, g.price))
	})
	// What is being stopped already is spoken for by the reservations it was
	// stopped for, so only room beyond them counts.
	room := m.Cap.Sub(m.used)
	for _, sl := range m.slots {
		if sl.stop && sl.state != exited {
			room = room.Add(sl.each)
		}
	}
	var out []*slot
	var cost time.Duration
	for _, c := range cands {
		if g.spec.PerTask.Fits(room) {
			break
		}
		room = room.Add(c.each)
		out = append(out, c)
		cost += payback(now, c, g.price)
	}
	return out, cost, g.spec.PerTask.Fits(room)
}

// fetch is how long the machine takes to get a task's image, if it is not known
// to have it.
func (m *machine) fetch(sp *model.Spec) time.Duration {
	if m.images[sp.Image] {
		return 0
	}
	return m.pull(sp)
}

// pull is how long the machine takes to get a task's image.
func (m *machine) pull(sp *model.Spec) time.Duration {
	if m.FetchRate <= 0 {
		return 0
	}
	return time.Duration(sp.ImageGB / m.FetchRate * float64(time.Second))
}

// putNext puts the next of a group's tasks on a machine.
func (s *Shard) putNext(m *machine, g *group) {
	t := g.tasks[0]
	g.tasks = g.tasks[1:]
	s.attempt++
	sl := &slot{key: key{t.Task, s.attempt}, t: t, each: t.Spec.PerTask}
	s.put(m, sl)
	m.used = m.used.Add(sl.each)
	if s.rehearsal != nil {
		sl.fetches = !m.images[t.Spec.Image]
		s.rehearsal.begun = append(s.rehearsal.begun, sl)
	}
	m.images[t.Spec.Image] = true
	m.wake = true
	m.runs(t.Spec.Rank)
	t.slot = sl
	s.pressed(g.job)
	s.Stats.Placed++
}

package shard

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

func (s *Shard) ready(now time.Duration, m *machine) bool {
	return m.fenced && m.usable && !m.silent && m.noticeAt == 0 && now >= m.badUntil && !m.needToken && !s.quiet(now, m)
}

// level is the lowest priority that runs on the machine. A machine that runs
// nothing counts as running the lowest there is.
func (m *machine) level() model.Rank {
	low, any := model.Idle, false
	for _, sl := range m.slots {
		if sl.t != nil && sl.state != exited && (!any || sl.t.Spec.Rank < low) {
			low, any = sl.t.Spec.Rank, true
		}
	}
	return low
}

func (g *group) score(now time.Duration) float64 {
	return g.price * (now - g.since + time.Second/10).Seconds()
}

// Place puts waiting tasks on machines, the highest price times wait first.
func (s *Shard) Place(now time.Duration) {
	if len(s.queue) == 0 || !s.Granted(now) {
		return
	}
	groups := make([]*group, 0, len(s.queue))
	for _, g := range s.queue {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(b.score(now), a.score(now)), cmp.Compare(a.job, b.job))
	})
	for _, g := range groups {
		// Each waiting task is tried once a round, whatever evictions put back.
		for n := len(g.tasks); n > 0 && len(g.tasks) > 0; n-- {
			t := g.tasks[0]
			m := s.roomFor(now, g)
			if m == nil {
				if m = s.evict(now, g); m == nil {
					break
				}
			}
			g.tasks = g.tasks[1:]
			s.put(now, m, t)
		}
		if len(g.tasks) == 0 {
			delete(s.queue, groupKey{g.job, g.zone})
		}
	}
}

func (s *Shard) allows(now time.Duration, g *group, m *machine) bool {
	return s.ready(now, m) && (g.zone == model.None || g.zone == m.Zone) && g.spec.Allows(&m.Machine) && g.spec.Each.Fits(m.Cap)
}

// roomFor picks among the machines with the full request free the one that
// runs the lowest priority.
func (s *Shard) roomFor(now time.Duration, g *group) *machine {
	var best *machine
	var bestLevel model.Rank
	for _, m := range s.order {
		avail := m.Cap.Sub(m.used)
		if !g.spec.Each.Fits(avail) || !s.allows(now, g, m) {
			continue
		}
		l := m.level()
		if best != nil {
			if l > bestLevel {
				continue
			}
			if l == bestLevel && !preferred(g.spec, m, best) {
				continue
			}
		}
		best, bestLevel = m, l
	}
	return best
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
	return m.Cap.CPU-m.used.CPU < than.Cap.CPU-than.used.CPU
}

// loss is the work that a victim loses: all of its run time, or what it has
// done since it last saved by itself.
func loss(now time.Duration, sl *slot) time.Duration {
	ran := sl.ran(now)
	if cp := sl.t.Spec.Checkpoint; cp > 0 {
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
	if rank >= model.Urgent || loss(now, sl) <= sl.t.Spec.Save {
		return 0
	}
	return graceOf(sl.t.Spec)
}

// evict samples machines for the victims of shortest payback; without any
// within the limit the group is requeued one step lower.
func (s *Shard) evict(now time.Duration, g *group) *machine {
	if now < g.nextEvict {
		return nil
	}
	var eligible []*machine
	for _, m := range s.order {
		if s.allows(now, g, m) && m.inReach(g.price) {
			eligible = append(eligible, m)
		}
	}
	var best *machine
	var bestVictims []*slot
	var bestCost time.Duration
	for range min(s.p.Sample, len(eligible)) {
		i := s.rng.IntN(len(eligible))
		m := eligible[i]
		eligible = slices.Delete(eligible, i, i+1)
		victims, cost, ok := s.victims(now, m, g)
		if ok && cost <= s.p.PaybackLimit && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = m, victims, cost
		}
	}
	if best == nil {
		g.nextEvict = now + time.Second
		if g.price > 1 {
			s.Stats.Demoted++
			g.price = max(1, g.price/s.p.DemoteStep)
		}
		return nil
	}
	for _, v := range bestVictims {
		s.Stats.Evicted++
		s.stop(now, best, v, parting(now, v, g.spec.Rank))
	}
	return best
}

func (m *machine) inReach(price float64) bool {
	for _, sl := range m.slots {
		if sl.t != nil && sl.state != exited && !sl.stop && sl.t.price < price {
			return true
		}
	}
	return false
}

// victims picks lower-priced tasks whose stop frees the room, cheapest first.
func (s *Shard) victims(now time.Duration, m *machine, g *group) ([]*slot, time.Duration, bool) {
	var cands []*slot
	for _, sl := range sorted(m.slots) {
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
		if g.spec.Each.Fits(room) {
			break
		}
		room = room.Add(c.each)
		out = append(out, c)
		cost += payback(now, c, g.price)
	}
	return out, cost, g.spec.Each.Fits(room)
}

func (s *Shard) put(now time.Duration, m *machine, t *task) {
	s.attempt++
	sl := &slot{key: key{t.Task, s.attempt}, t: t, each: t.Spec.Each}
	m.slots[sl.key] = sl
	m.used = m.used.Add(sl.each)
	m.images[t.Spec.Image] = true
	m.wake = true
	t.on, t.slot = m, sl
	s.Stats.Placed++
}

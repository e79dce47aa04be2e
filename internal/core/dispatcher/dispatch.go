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
func Price(r model.Rank, within bool) float64 {
	p := 1.0
	for range r {
		p *= 10
	}
	if within {
		p *= 30
	}
	return p
}

// GuaranteeChecker tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs: they are asked about in the order of submission.
type GuaranteeChecker struct {
	teams []Team
	sum   []model.Resources
}

// NewGuaranteeChecker begins with no job.
func NewGuaranteeChecker(teams []Team) *GuaranteeChecker {
	return &GuaranteeChecker{teams, make([]model.Resources, len(teams))}
}

// Fits tells of the next job, which has so many tasks left.
func (g *GuaranteeChecker) Fits(sp *model.Spec, left int64) bool {
	sum, have := &g.sum[sp.Team], g.teams[sp.Team].Guarantee
	*sum = sum.Add(sp.PerTask.Times(left))
	return sum.CPU <= have.CPU && sum.GPU <= have.GPU && have.CPU > 0
}

// reprice finds out which jobs fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (d *Dispatcher) reprice(now time.Duration, jobs []*job) {
	if d.repriced != 0 && now-d.repriced < time.Second {
		return
	}
	d.repriced = now
	g := NewGuaranteeChecker(d.p.Teams)
	for _, j := range jobs {
		if j.ended || j.waits || j.trouble.broken { // its one probe takes hardly any of the guarantee
			continue
		}
		j.within = g.Fits(j.spec, int64(j.spec.Tasks-j.nDone))
		if p := Price(j.rank, j.within); p != j.price {
			j.price = p
			if len(j.held) > 0 {
				d.reprices(j)
			}
		}
	}
}

// boundless is more than there is of anything.
const boundless = int64(1) << 40

// exposure is what may run unseen: all of every machine that an earlier leader
// may have used, and of every machine with an attempt that must go.
func (d *Dispatcher) exposure() model.Resources {
	var sum model.Resources
	seen := map[model.MachineID]bool{}
	add := func(id model.MachineID) {
		if m := d.machines[id]; m != nil && !seen[id] {
			seen[id] = true
			c := m.Cap
			if c.CPU == 0 { // of a type that the catalog does not have (yet)
				c = model.Resources{CPU: boundless, GPU: boundless}
			}
			sum = sum.Add(c)
		}
	}
	for id := range d.suspects {
		add(id)
	}
	for _, a := range d.strays {
		add(a.machine)
	}
	return sum
}

// Remaining is what a team's limit leaves of what it uses.
func (t Team) Remaining(used model.Resources) model.Resources {
	left := func(limit, used int64) int64 {
		if limit == 0 {
			return boundless
		}
		return limit - used
	}
	return model.Resources{CPU: left(t.Limit.CPU, used.CPU), GPU: left(t.Limit.GPU, used.GPU), Mem: boundless}
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
func (d *Dispatcher) headroom(team model.Name, exposure model.Resources) model.Resources {
	return d.p.Teams[team].Remaining(d.usage[team].Add(exposure))
}

// undealt counts the tasks that may be dealt now.
func (d *Dispatcher) undealt(now time.Duration, j *job) int32 {
	if j.ended || j.waits || now < j.blocked || j.old && !d.Recovered() {
		return 0
	}
	n := j.spec.Tasks - j.nDone - int32(len(j.held))
	if j.trouble.broken {
		return j.probe(now, n)
	}
	return n
}

// take picks the next task to deal. again: it was dealt before.
func (d *Dispatcher) take(j *job) (no int32, again, ok bool) {
	for len(j.back) > 0 {
		no := j.back[0]
		j.back = j.back[1:]
		if !j.isDone(no) && !d.isHeld(j, no) {
			return no, true, true
		}
	}
	for ; j.next < j.spec.Tasks; j.next++ {
		if no := j.next; !j.isDone(no) && !d.isHeld(j, no) {
			j.next++
			return no, false, true
		}
	}
	return 0, false, false
}

// Dispatch deals waiting tasks, the highest price times wait first, as far as the
// shards' machines have room, with a few more for which victims may be found.
func (d *Dispatcher) Dispatch(now time.Duration) {
	jobs := d.sortedJobs()
	d.reprice(now, jobs)
	d.watch(now, jobs)
	members := d.sortedMembers()
	d.rebalance(now, jobs, members)
	jobs = slices.DeleteFunc(jobs, func(j *job) bool { return d.undealt(now, j) <= 0 })
	if len(jobs) == 0 || len(members) == 0 {
		return
	}
	d.open(jobs, members)
	d.ranked(now, jobs)
	exposure := d.exposure()
	for _, j := range jobs {
		n := int64(d.undealt(now, j))
		if allowed := j.spec.PerTask.Count(d.headroom(j.spec.Team, exposure)); allowed < n {
			d.stats.LimitedRounds++
			n = allowed
		}
		if n <= 0 {
			continue
		}
		for _, p := range plan(j, n, members) {
			n -= d.dealPart(j, p)
		}
		switch {
		case n > 0 && !j.pinned():
			d.dealAhead(j, n, members)
		case n > 0:
			d.dealFirst(j, members)
		}
	}
}

func (d *Dispatcher) dealPart(j *job, p part) int64 {
	for i := range p.n {
		if !d.dealOne(j, p.to.id, p.zone) {
			return i
		}
	}
	return p.n
}

// part of a job's tasks that goes to one shard.
type part struct {
	to   *member
	zone model.Name
	n    int64
}

func (j *job) pinned() bool { return j.spec.SameZone || j.spec.Spread }

// plan takes room for up to n tasks: where there is most of it first. Tasks of a
// job whose tasks' zones depend on each other are pinned: every task is charged
// to a zone before a shard sees it.
func plan(j *job, n int64, members []*member) []part {
	zones := []model.Name{model.None}
	perZone := map[model.Name]int64{}
	if j.pinned() {
		zones = zones[:0]
		for _, m := range members {
			for _, r := range m.rooms {
				if !slices.Contains(zones, r.Zone) {
					zones = append(zones, r.Zone)
				}
			}
		}
		for zone, n := range j.heldIn {
			perZone[zone] = int64(n)
		}
	}
	if j.spec.SameZone && len(perZone) == 0 && len(zones) > 0 {
		// The whole job should fit where it goes: the zone with most room.
		zones = []model.Name{roomiest(j.spec, zones, n, members)}
	}
	var out []part
	for n > 0 {
		var best part
		for _, z := range zones {
			can := n
			if j.spec.SameZone && len(perZone) > 0 && perZone[z] == 0 {
				continue
			}
			if j.spec.Spread {
				can = min(can, int64(j.mostInZone())-perZone[z])
			}
			for _, m := range members {
				if f := m.fits(j.spec, z, can, false); f > best.n {
					best = part{m, z, f}
				}
			}
		}
		if best.n == 0 {
			break
		}
		best.to.fits(j.spec, best.zone, best.n, true)
		perZone[best.zone] += best.n
		n -= best.n
		out = append(out, best)
	}
	return out
}

func roomiest(sp *model.Spec, zones []model.Name, n int64, members []*member) model.Name {
	best, most := model.None, int64(-1)
	for _, z := range zones {
		var sum int64
		for _, m := range members {
			sum += m.fits(sp, z, n, false)
		}
		if sum > most {
			best, most = z, sum
		}
	}
	return best
}

// dealAhead deals a few tasks without room to the shards with machines for
// them: there they may find victims, the more the more machines there are. A
// controller that has just come back has hardly any.
func (d *Dispatcher) dealAhead(j *job, n int64, members []*member) {
	ahead := min(n, int64(d.p.DispatchAhead-d.TaskCounts(j.spec.ID).Waiting))
	if ahead <= 0 {
		return
	}
	var able []*member
	for _, m := range members {
		if slices.ContainsFunc(m.kinds, func(k *machine) bool { return j.spec.Allows(&k.Machine) && j.spec.PerTask.Fits(k.Cap) }) {
			able = append(able, m)
		}
	}
	share := func(m *member) float64 { return float64(m.jobs[j.spec.ID].Waiting+1) / float64(m.ready) }
	for i := int64(0); i < ahead && len(able) > 0; i++ {
		m := slices.MinFunc(able, func(a, b *member) int { return cmp.Compare(share(a), share(b)) })
		if !d.dealOne(j, m.id, model.None) {
			return
		}
		// Counted at once: the shard's own count comes later.
		if m.jobs == nil {
			m.jobs = map[model.JobID]model.TaskCounts{}
		}
		c := m.jobs[j.spec.ID]
		c.Waiting++
		m.jobs[j.spec.ID] = c
	}
}

// rebalance takes waiting tasks back from a shard that has no room for so many of them while
// another has some. What waits where nobody has room stays: it is placed as its shard's next
// machine reports, which is sooner than the dealer could have it there.
func (d *Dispatcher) rebalance(now time.Duration, jobs []*job, members []*member) {
	if len(members) < 2 || now-d.balanced < time.Second {
		return
	}
	d.balanced = now
	d.open(jobs, members)
	for _, j := range jobs {
		for _, m := range members {
			w := int64(m.jobs[j.spec.ID].Waiting)
			if w > 0 {
				w -= m.fits(j.spec, model.None, w, false)
			}
			if w == 0 {
				continue
			}
			var room int64
			for _, o := range members {
				if o != m {
					room += o.fits(j.spec, model.None, w, false)
				}
			}
			if room > 0 {
				d.order(m.id, model.Order{Kind: model.RecallWaitingTasks, Job: j.spec.ID, Count: int(min(room, w))})
			}
		}
	}
}

// open finds, for each shard, the machines with room for the smallest of the
// jobs' tasks, and one machine of each kind that it has.
func (d *Dispatcher) open(jobs []*job, members []*member) {
	least := boundless
	for _, j := range jobs {
		least = min(least, j.spec.PerTask.CPU)
	}
	for _, s := range members {
		s.rooms, s.kinds, s.ready = s.rooms[:0], s.kinds[:0], 0
	}
	for _, m := range d.byID {
		s := d.members[m.owner]
		if s == nil || !m.known() || !m.status.Ready || m.status.Draining {
			continue
		}
		s.ready++
		if !slices.ContainsFunc(s.kinds, func(k *machine) bool { return k.Type == m.Type && k.Zone == m.Zone && k.Spot == m.Spot }) {
			s.kinds = append(s.kinds, m)
		}
		if m.avail.CPU >= least {
			s.rooms = append(s.rooms, m)
		}
	}
}

// fits tells for how many of up to n tasks there is room, and takes it.
func (s *member) fits(sp *model.Spec, zone model.Name, n int64, take bool) int64 {
	var got int64
	for _, r := range s.rooms {
		if got >= n {
			break
		}
		if zone != model.None && r.Zone != zone || !sp.Allows(&r.Machine) {
			continue
		}
		if k := min(n-got, sp.PerTask.Count(r.avail)); k > 0 {
			if take {
				r.avail = r.avail.Sub(sp.PerTask.Times(k))
				s.dealtOn[r] = true
			}
			got += k
		}
	}
	return got
}

func (d *Dispatcher) dealOne(j *job, to model.ShardID, zone model.Name) bool {
	no, again, ok := d.take(j)
	if !ok {
		return false
	}
	d.hold(j, no, zone, to, Dispatched)
	d.give(to, model.Assignment{Task: model.Task{Job: j.spec.ID, Index: no}, Spec: j.spec, Price: j.price, Zone: zone,
		WaitingSince: j.since, Redispatched: again && d.p.ReportInterruptions})
	return true
}

package dealer

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// price of a task. Ranks are a factor of ten apart. What fits into its team's
// guarantee is worth thirty times as much: more than borrowed work one rank
// up, so that guarantees get their room back, and the order of ranks within
// the guarantee stays as it is.
func price(r model.Rank, within bool) float64 {
	p := 1.0
	for range r {
		p *= 10
	}
	if within {
		p *= 30
	}
	return p
}

// reprice finds out which jobs fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (d *Dealer) reprice(now time.Duration, jobs []*job) {
	if d.repriced != 0 && now-d.repriced < time.Second {
		return
	}
	d.repriced = now
	sum := make([]model.Resources, len(d.p.Teams))
	for _, j := range jobs {
		if j.ended {
			continue
		}
		t := j.spec.Team
		sum[t] = sum[t].Add(j.spec.Each.Times(int64(j.spec.Tasks - j.nDone)))
		g := d.p.Teams[t].Guarantee
		j.within = sum[t].CPU <= g.CPU && (sum[t].GPU <= g.GPU) && g.CPU > 0
		if p := price(j.spec.Rank, j.within); p != j.price {
			j.price = p
			if len(j.held) > 0 {
				d.order(model.Order{Kind: model.Reprice, Job: j.spec.ID, Price: p})
			}
		}
	}
}

// exposure is what may run unseen: all of every machine that an earlier leader
// may have used, and of every machine with an attempt that must go.
func (d *Dealer) exposure() model.Resources {
	var sum model.Resources
	seen := map[model.MachineID]bool{}
	add := func(id model.MachineID) {
		if m := d.machines[id]; m != nil && !seen[id] {
			seen[id] = true
			sum = sum.Add(m.Cap)
		}
	}
	for id := range d.suspects {
		add(id)
	}
	for _, id := range d.aliens {
		add(id)
	}
	return sum
}

// headroom is what a team may still be dealt.
func (d *Dealer) headroom(team model.Name, exposure model.Resources) model.Resources {
	const boundless = int64(1) << 50
	l := d.p.Teams[team].Limit
	u := d.usage[team].Add(exposure)
	left := func(limit, used int64) int64 {
		if limit == 0 {
			return boundless
		}
		return limit - used
	}
	return model.Resources{CPU: left(l.CPU, u.CPU), GPU: left(l.GPU, u.GPU), Mem: boundless}
}

// undealt counts the tasks that may be dealt now.
func (d *Dealer) undealt(now time.Duration, j *job) int32 {
	if j.ended || now < j.blocked || j.old && !d.Recovered() {
		return 0
	}
	return j.spec.Tasks - j.nDone - int32(len(j.held))
}

// take picks the next task to deal.
func (d *Dealer) take(j *job) (int32, bool) {
	for len(j.back) > 0 {
		no := j.back[0]
		j.back = j.back[1:]
		if !j.isDone(no) && !d.isHeld(j, no) {
			return no, true
		}
	}
	for ; j.next < j.spec.Tasks; j.next++ {
		if no := j.next; !j.isDone(no) && !d.isHeld(j, no) {
			j.next++
			return no, true
		}
	}
	return 0, false
}

type room struct {
	model.MachineStatus
	avail model.Resources
}

// Deal deals waiting tasks, the highest price times wait first, as far as the
// machines have room, with a few more for which victims may be found. waiting
// tells how many of a job's tasks the shard already holds unplaced.
func (d *Dealer) Deal(now time.Duration, status []model.MachineStatus, waiting map[model.JobID]int) {
	jobs := d.sortedJobs()
	d.reprice(now, jobs)
	jobs = slices.DeleteFunc(jobs, func(j *job) bool { return d.undealt(now, j) <= 0 })
	if len(jobs) == 0 {
		return
	}
	score := func(j *job) float64 { return j.price * (now - j.since + time.Second/10).Seconds() }
	slices.SortStableFunc(jobs, func(a, b *job) int {
		switch x, y := score(a), score(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	var rooms []room
	for _, s := range status {
		if s.Ready && !s.Draining {
			rooms = append(rooms, room{s, s.Avail})
		}
	}
	exposure := d.exposure()
	for _, j := range jobs {
		n := int64(d.undealt(now, j))
		if h := d.headroom(j.spec.Team, exposure); true {
			n = min(n, j.spec.Each.Count(h))
		}
		if n <= 0 {
			continue
		}
		if j.spec.Together || j.spec.Spread {
			d.dealPinned(now, j, n, rooms)
			continue
		}
		fit := fits(j.spec, rooms, model.None, n)
		ahead := int64(0)
		if fit < n {
			ahead = min(n-fit, max(0, int64(d.p.Ahead-waiting[j.spec.ID])))
		}
		for range fit + ahead {
			if !d.dealOne(now, j, model.None) {
				break
			}
		}
	}
}

// fits takes room for up to n tasks and tells for how many there is.
func fits(sp *model.Spec, rooms []room, zone model.Name, n int64) int64 {
	var got int64
	for i := range rooms {
		r := &rooms[i]
		if got >= n {
			break
		}
		if zone != model.None && r.Machine.Zone != zone || !sp.Allows(&r.Machine) {
			continue
		}
		k := min(n-got, sp.Each.Count(r.avail))
		if k > 0 {
			r.avail = r.avail.Sub(sp.Each.Times(k))
			got += k
		}
	}
	return got
}

func (d *Dealer) dealOne(now time.Duration, j *job, zone model.Name) bool {
	no, ok := d.take(j)
	if !ok {
		return false
	}
	d.hold(now, j, no, zone)
	d.order(model.Order{Kind: model.Give, Deal: model.Deal{Task: model.Task{Job: j.spec.ID, No: no}, Spec: j.spec, Price: j.price,
		Zone: zone, Since: j.since}})
	return true
}

// dealPinned deals tasks of a job whose tasks' zones depend on each other:
// every task is charged to a zone before a shard sees it.
func (d *Dealer) dealPinned(now time.Duration, j *job, n int64, rooms []room) {
	perZone := map[model.Name]int64{}
	for _, h := range j.held {
		perZone[h.zone]++
	}
	var zones []model.Name
	for _, r := range rooms {
		if !slices.Contains(zones, r.Machine.Zone) {
			zones = append(zones, r.Machine.Zone)
		}
	}
	for n > 0 {
		best, bestFit := model.None, int64(0)
		for _, z := range zones {
			can := n
			if j.spec.Together && len(perZone) > 0 && perZone[z] == 0 {
				continue
			}
			if j.spec.Spread {
				can = min(can, int64(j.spec.Tasks+1)/2-perZone[z])
			}
			if can <= 0 {
				continue
			}
			if f := fits(j.spec, slices.Clone(rooms), z, can); f > bestFit {
				best, bestFit = z, f
			}
		}
		if best == model.None {
			return
		}
		fits(j.spec, rooms, best, bestFit)
		for range bestFit {
			if !d.dealOne(now, j, best) {
				return
			}
			perZone[best]++
			n--
		}
	}
}

package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

type room struct {
	m      model.Machine
	avail  model.Resources
	used   bool // by demand
	status *model.MachineStatus
}

// rooms are the machines that are or will be up, with what they have free.
func (f *Fleet) rooms(now time.Duration, status []model.MachineStatus) []room {
	out := make([]room, 0, len(f.units)+maxRent)
	f.turn++
	for i := range status {
		s := &status[i]
		u := f.units[s.Machine.ID]
		u.up = f.turn
		if !s.Draining && !s.Faulty && u.silent == 0 && !u.drain && !u.held {
			out = append(out, room{m: s.Machine, avail: s.Avail, status: s})
		}
	}
	for id, u := range f.units {
		t := f.typeOf(u.typ)
		if u.up == f.turn || u.drop || u.held || u.failed || t == nil || now-u.since > 2*t.Boot+10*time.Second {
			continue
		}
		out = append(out, room{m: model.Machine{ID: id, Type: u.typ, Zone: u.zone, Spot: u.spot, Cap: t.Cap}, avail: t.Cap})
	}
	slices.SortFunc(out, func(a, b room) int { return cmp.Compare(a.m.ID, b.m.ID) })
	for _, a := range f.renting {
		if t := f.typeOf(a.Type); t != nil {
			for range a.Count {
				out = append(out, room{m: a.machine(t), avail: t.Cap})
			}
		}
	}
	return out
}

// freeCPU is what the machines have free in all.
func freeCPU(rooms []room) int64 {
	var free int64
	for i := range rooms {
		free += max(0, rooms[i].avail.CPU)
	}
	return free
}

// machine is one of those that a rental asks for.
func (a *Action) machine(t *model.MachineType) model.Machine {
	return model.Machine{Type: a.Type, Zone: a.Zone, Spot: a.Spot, Cap: t.Cap}
}

// cover is what is still lacking once a rental has been carried out.
func (f *Fleet) cover(lacking []lack, a Action) []lack {
	t := f.typeOf(a.Type)
	m := a.machine(t)
	return fill(lacking, &m, t.Cap.Times(int64(a.Count)))
}

// fill is what is still lacking beside so much more room on machines of a kind.
func fill(lacking []lack, m *model.Machine, free model.Resources) []lack {
	var left []lack
	for _, l := range lacking {
		if l.spec.Allows(m) && l.spec.PerTask.Fits(m.Cap) {
			k := min(l.n, l.spec.PerTask.Count(free))
			free = free.Sub(l.spec.PerTask.Times(k))
			l.n, l.stuck = l.n-k, false
		}
		if l.n > 0 {
			left = append(left, l)
		}
	}
	return left
}

type lack struct {
	spec *model.Spec
	n    int64
	// stuck: waiting does not help, for no machine that there is could take a
	// task even if it were empty.
	stuck bool
}

// pressing is the demand that machines are rented for: work that no aim speaks
// of waits for what stands idle, but not for ever.
func (f *Fleet) pressing(now time.Duration, demand []Demand) []Demand {
	out := make([]Demand, 0, len(demand))
	for _, d := range demand {
		if d.Job.Spec.BestEffort && now-d.Job.WaitingSince < f.p.BestEffortWait {
			if !d.Job.Overdue {
				continue
			}
			d.Job.Unfinished = min(d.Job.Unfinished, d.Placed+1) // it should have begun: room for its first task
		}
		out = append(out, d)
	}
	return out
}

// unmet is the waiting work for which there is no room, now or soon.
func unmet(rooms []room, demand []Demand, limit func(model.Name) model.Resources) []lack {
	left := map[model.Name]int64{}
	for _, d := range demand {
		t := d.Job.Spec.Team
		if _, ok := left[t]; !ok {
			left[t] = 1 << 50
			if l := limit(t).CPU; l > 0 {
				left[t] = l
			}
		}
		left[t] -= int64(d.Placed) * d.Job.Spec.PerTask.CPU
	}
	var out []lack
	open := openRooms(rooms, demand)
	for _, d := range demand {
		sp := d.Job.Spec
		n := int64(d.Job.Unfinished - d.Placed)
		n = min(n, max(0, left[sp.Team]/max(1, sp.PerTask.CPU)))
		if n <= 0 {
			continue
		}
		left[sp.Team] -= n * sp.PerTask.CPU
		full := 0
		for _, r := range open {
			if n <= 0 {
				break
			}
			if r.avail.CPU == 0 {
				full++
				continue
			}
			if !sp.Allows(&r.m) {
				continue
			}
			if k := min(n, sp.PerTask.Count(r.avail)); k > 0 {
				r.avail = r.avail.Sub(sp.PerTask.Times(k))
				r.used = true
				n -= k
			}
		}
		if full > len(open)/2 {
			open = slices.DeleteFunc(open, func(r *room) bool { return r.avail.CPU == 0 })
		}
		if n > 0 {
			out = append(out, lack{sp, n, stuck(sp, rooms)})
		}
	}
	return out
}

// openRooms are the rooms that could hold the smallest of the tasks.
func openRooms(rooms []room, demand []Demand) []*room {
	least := int64(math.MaxInt64)
	for i := range demand {
		least = min(least, demand[i].Job.Spec.PerTask.CPU)
	}
	out := make([]*room, 0, len(rooms))
	for i := range rooms {
		if rooms[i].avail.CPU >= least {
			out = append(out, &rooms[i])
		}
	}
	return out
}

func stuck(sp *model.Spec, rooms []room) bool {
	for i := range rooms {
		if sp.Allows(&rooms[i].m) && sp.PerTask.Fits(rooms[i].m.Cap) {
			return false
		}
	}
	return true
}

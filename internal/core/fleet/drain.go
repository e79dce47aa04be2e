package fleet

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Placing spreads tasks over the machines that run the lowest priority, so that
// hardly a machine ever stands empty, and none of the dear ones rented for a
// burst was given back before the day's end. Once much of the room has been free
// for a while, the dearest machines get no more tasks, and go when what runs
// there has ended. Should work lack room before that, they are wanted again.
const (
	reserve = 0.2 // of all CPUs are kept free
	dear    = 3   // times the cheapest kind's price: such machines are drained
)

// drain tells which machines are to get no more tasks. How they are emptied and
// given back is core/drain's.
func (f *Fleet) drain(now time.Duration, rooms []room, moving int64) []Action {
	ids := f.toDrain(now, rooms, moving)
	if len(ids) == 0 {
		return nil
	}
	return []Action{{Kind: Drain, Machines: ids}}
}

// toDrain picks machines to run empty, once nothing has lacked room for a while. moving is the
// room that plans' moves will take.
func (f *Fleet) toDrain(now time.Duration, rooms []room, moving int64) []model.MachineID {
	free := freeCPU(rooms) - moving
	var have int64
	for i := range rooms {
		have += rooms[i].m.Cap.CPU
	}
	if float64(free) < reserve*float64(have) {
		f.tight = now
	}
	if now-max(f.tight, f.p.TermStart) < f.p.Horizon/2 {
		return nil
	}
	var cands []*room
	low := f.cheapest()
	for i := range rooms {
		if r := &rooms[i]; r.status != nil && !f.units[r.m.ID].wanted && f.price(&r.m) >= dear*low {
			cands = append(cands, r)
		}
	}
	slices.SortStableFunc(cands, func(a, b *room) int {
		return cmp.Or(cmp.Compare(f.price(&b.m), f.price(&a.m)), cmp.Compare(b.avail.CPU, a.avail.CPU))
	})
	var ids []model.MachineID
	for _, r := range cands {
		if left := free - max(0, r.avail.CPU); float64(left) >= reserve*float64(have-r.m.Cap.CPU) {
			free, have = left, have-r.m.Cap.CPU
			f.units[r.m.ID].drain = true
			ids = append(ids, r.m.ID)
		}
	}
	return ids
}

// price is what a CPU of the machine costs.
func (f *Fleet) price(m *model.Machine) float64 {
	if t := f.typeOf(m.Type); t != nil {
		return perCPU(t, m.Spot)
	}
	return 0
}

// undrain wants drained machines again for work that lacks room, the cheapest
// first, and returns what is still lacking.
func (f *Fleet) undrain(status []model.MachineStatus, lacking []lack) ([]Action, []lack) {
	var cands []*model.MachineStatus
	for i := range status {
		if u := f.units[status[i].Machine.ID]; u != nil && u.drain && !u.drop && !u.held && u.silent == 0 &&
			!status[i].Faulty && !status[i].Draining {
			cands = append(cands, &status[i])
		}
	}
	slices.SortStableFunc(cands, func(a, b *model.MachineStatus) int {
		return cmp.Or(cmp.Compare(f.price(&a.Machine), f.price(&b.Machine)), cmp.Compare(b.Avail.CPU, a.Avail.CPU))
	})
	var ids []model.MachineID
	for _, s := range cands {
		if len(lacking) == 0 {
			break
		}
		f.units[s.Machine.ID].drain = false
		ids = append(ids, s.Machine.ID)
		lacking = fill(lacking, &s.Machine, s.Avail)
	}
	if len(ids) == 0 {
		return nil, lacking
	}
	return []Action{{Kind: Undrain, Machines: ids}}, lacking
}

package fleet

import (
	"slices"

	"honeylock/internal/core/model"
)

// mostDeaf is the part of all machines that may be given up at a time: more is no
// matter of machines.
const mostDeaf = 0.15

// Deaf takes the machines whose workers neither report nor answer though others of
// their zone do. What ran on them goes on elsewhere as soon as they are surely gone,
// which they are once given back, while their leases are over much later.
func (f *Fleet) Deaf(ids []model.MachineID) {
	heard := 0
	for _, u := range f.units {
		if u.heard && !u.drop {
			heard++
		}
	}
	f.deaf = ids
	if len(ids) > max(1, int(mostDeaf*float64(heard))) {
		f.deaf = nil
	}
}

// givenUp are the machines to give back for that.
func (f *Fleet) givenUp() (out []model.MachineID) {
	for _, id := range f.deaf {
		if u := f.units[id]; u != nil && !u.drop {
			out = append(out, id)
		}
	}
	return f.giveBack(out)
}

// giveBack notes that machines are being returned, as many as go in one call.
func (f *Fleet) giveBack(ids []model.MachineID) []model.MachineID {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if len(ids) > MaxReturn {
		ids = ids[:MaxReturn]
	}
	for _, id := range ids {
		f.units[id].drop = true
	}
	return ids
}

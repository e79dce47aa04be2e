package fleet

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// mostDeaf is the part of all machines that may be given up at a time: more is no
// matter of machines.
const mostDeaf = 0.15

// Deaf takes the machines whose workers neither report nor answer though others of
// their zone do. What ran on them goes on elsewhere as soon as they are surely gone,
// which they are once given back, while their leases are over much later.
func (f *Fleet) Deaf(now time.Duration, ids []model.MachineID) {
	heard := 0
	for _, u := range f.units {
		if u.heard && !u.drop {
			heard++
		}
	}
	few := len(ids) <= max(1, int(mostDeaf*float64(heard)))
	for _, u := range f.units {
		u.deaf = false
	}
	for _, id := range ids {
		if u := f.units[id]; u != nil {
			u.deaf = few
		}
	}
}

// givenUp are the machines to give back for that.
func (f *Fleet) givenUp() (out []model.MachineID) {
	for id, u := range f.units {
		if u.deaf && !u.drop {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	if len(out) > MaxReturn {
		out = out[:MaxReturn]
	}
	for _, id := range out {
		f.units[id].drop = true
	}
	return out
}

package fleet

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// mostDeaf is the part of all machines that may be given up at a time: more is no
// matter of machines.
const mostDeaf = 0.15

// SetUnreachable takes the machines whose workers neither report nor answer though others of
// their zone do. What ran on them goes on elsewhere as soon as they are surely gone,
// which they are once given back, while their leases are over much later.
func (f *Fleet) SetUnreachable(ids []model.MachineID) {
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

const (
	// silentLong: a machine that is silent for so long is given back.
	silentLong = 90 * time.Second
	// cutLong is the same where most of a zone is: that is a cut, not machines, and they
	// come back with it.
	cutLong = 5 * time.Minute
)

// cutZones are the zones of which most machines that were ever heard are silent.
func (f *Fleet) cutZones() map[model.Name]bool {
	heard, silent := map[model.Name]int{}, map[model.Name]int{}
	for _, u := range f.units {
		if u.heard && !u.drop {
			heard[u.zone]++
			if u.silent != 0 {
				silent[u.zone]++
			}
		}
	}
	out := map[model.Name]bool{}
	for z, n := range silent {
		out[z] = n >= 3 && 2*n > heard[z]
	}
	return out
}

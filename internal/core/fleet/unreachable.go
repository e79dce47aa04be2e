package fleet

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// maxUnreachableShare is the part of all machines that may be given up at a time: more is no
// matter of machines.
const maxUnreachableShare = 0.15

// SetUnreachable takes the machines whose workers neither report nor answer though others of
// their zone do. What ran on them goes on elsewhere as soon as they are surely gone,
// which they are once given back, while their leases are over much later.
func (f *Fleet) SetUnreachable(ids []model.MachineID) {
	reported := 0
	for _, u := range f.machines {
		if u.reported && !u.returning {
			reported++
		}
	}
	f.unreachable = ids
	if len(ids) > max(1, int(maxUnreachableShare*float64(reported))) {
		f.unreachable = nil
	}
}

// selectUnreachable are the machines to give back for that.
func (f *Fleet) selectUnreachable() (unreachable []model.MachineID) {
	for _, id := range f.unreachable {
		if u := f.machines[id]; u != nil && !u.returning {
			unreachable = append(unreachable, id)
		}
	}
	return f.markReturning(unreachable)
}

// markReturning notes that machines are being returned, as many as go in one call.
func (f *Fleet) markReturning(ids []model.MachineID) []model.MachineID {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if len(ids) > MaxReturn {
		ids = ids[:MaxReturn]
	}
	for _, id := range ids {
		f.machines[id].returning = true
	}
	return ids
}

const (
	// leaseExpiredLimit: a machine that is silent for so long is given back.
	leaseExpiredLimit = 90 * time.Second
	// partitionLimit is the same where most of a zone is: that is a cut, not machines, and they
	// come back with it.
	partitionLimit = 5 * time.Minute
)

// partitionedZones are the zones of which most machines that were ever heard are silent.
func (f *Fleet) partitionedZones() map[model.Name]bool {
	reported, expired := map[model.Name]int{}, map[model.Name]int{}
	for _, u := range f.machines {
		if u.reported && !u.returning {
			reported[u.zone]++
			if u.leaseExpiredSince != 0 {
				expired[u.zone]++
			}
		}
	}
	partitioned := map[model.Name]bool{}
	for z, n := range expired {
		partitioned[z] = n >= 3 && 2*n > reported[z]
	}
	return partitioned
}

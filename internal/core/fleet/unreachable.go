package fleet

import (
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// maxUnreachableShare is the share of all machines that may be returned as unreachable at a time.
// If there are more, the fault is not in the machines.
const maxUnreachableShare = 0.15

// SetUnreachable sets the machines whose workers neither report nor answer while others of their
// zone do. They are returned, because their tasks can be restarted elsewhere as soon as the machines
// are certainly gone, which is much earlier than the end of their leases.
func (f *Fleet) SetUnreachable(ids []model.MachineID) {
	reported := 0
	for _, state := range f.machines {
		if state.reported && !state.returning {
			reported++
		}
	}
	f.unreachable = ids
	if len(ids) > max(1, int(maxUnreachableShare*float64(reported))) {
		f.unreachable = nil
	}
}

// selectUnreachable picks the unreachable machines to return.
func (f *Fleet) selectUnreachable() (unreachable []model.MachineID) {
	for _, id := range f.unreachable {
		if state := f.machines[id]; state != nil && !state.returning {
			unreachable = append(unreachable, id)
		}
	}
	return f.markReturning(unreachable)
}

// markReturning marks as many of the machines as one call can return, and returns these.
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
	// leaseExpiredLimit: a machine is returned if its lease has been expired for this time.
	leaseExpiredLimit = 90 * time.Second
	// partitionLimit is the limit in a zone where most leases have expired: the zone is
	// partitioned, and its machines will return with it.
	partitionLimit = 5 * time.Minute
)

// partitionedZones returns the zones where the leases of most machines that ever reported have
// expired.
func (f *Fleet) partitionedZones() map[model.Name]bool {
	reported, expired := map[model.Name]int{}, map[model.Name]int{}
	for _, state := range f.machines {
		if state.reported && !state.returning {
			reported[state.zone]++
			if state.leaseExpiredSince != 0 {
				expired[state.zone]++
			}
		}
	}
	partitioned := map[model.Name]bool{}
	for z, n := range expired {
		partitioned[z] = n >= 3 && 2*n > reported[z]
	}
	return partitioned
}

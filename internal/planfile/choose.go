package planfile

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/planfile/planpb"
	"honeylock/internal/wire"
)

// Candidate is a machine that a plan may select.
type Candidate struct {
	Machine model.Machine
	Age     time.Duration // since it was rented
	Free    int64         // free CPU, in thousandths of a CPU
}

// Choose returns the machines that a plan selects, in the plan's order.
func Choose(p *planpb.Plan, all []Candidate, n *wire.Names) []model.MachineID {
	s := p.GetMachines()
	position := map[string]int{}
	for i, name := range s.GetNames() {
		position[name] = i
	}
	all = slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool {
		_, named := position[wire.MachineName(c.Machine.ID)]
		return len(position) > 0 && !named ||
			len(s.GetTypes()) > 0 && !slices.Contains(s.GetTypes(), n.Types.Name(c.Machine.Type)) ||
			len(s.GetZones()) > 0 && !slices.Contains(s.GetZones(), n.Zones.Name(c.Machine.Zone)) ||
			s.GetKind() == planpb.Kind_SPOT && !c.Machine.Spot || s.GetKind() == planpb.Kind_ORDINARY && c.Machine.Spot ||
			c.Age.Seconds() < s.GetOlderThanS()
	})
	slices.SortFunc(all, func(a, b Candidate) int {
		order := 0
		switch p.GetOrder() {
		case planpb.Order_OLDEST_FIRST:
			order = cmp.Compare(b.Age, a.Age)
		case planpb.Order_EMPTIEST_FIRST:
			order = cmp.Compare(b.Free, a.Free)
		default:
			order = cmp.Compare(position[wire.MachineName(a.Machine.ID)], position[wire.MachineName(b.Machine.ID)])
		}
		return cmp.Or(order, cmp.Compare(a.Machine.ID, b.Machine.ID))
	})
	out := make([]model.MachineID, len(all))
	for i := range all {
		out[i] = all[i].Machine.ID
	}
	return out
}

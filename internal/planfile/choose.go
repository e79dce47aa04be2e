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
func Choose(p *planpb.Plan, candidates []Candidate, n *wire.Names) []model.MachineID {
	selector := p.GetMachines()
	position := map[string]int{}
	for i, name := range selector.GetNames() {
		position[name] = i
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		_, named := position[wire.MachineName(c.Machine.ID)]
		return len(position) > 0 && !named ||
			len(selector.GetTypes()) > 0 && !slices.Contains(selector.GetTypes(), n.Types.Name(c.Machine.Type)) ||
			len(selector.GetZones()) > 0 && !slices.Contains(selector.GetZones(), n.Zones.Name(c.Machine.Zone)) ||
			selector.GetKind() == planpb.Kind_SPOT && !c.Machine.Spot ||
			selector.GetKind() == planpb.Kind_ORDINARY && c.Machine.Spot ||
			c.Age.Seconds() < selector.GetOlderThanS()
	})
	slices.SortFunc(candidates, func(a, b Candidate) int {
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
	out := make([]model.MachineID, len(candidates))
	for i := range candidates {
		out[i] = candidates[i].Machine.ID
	}
	return out
}

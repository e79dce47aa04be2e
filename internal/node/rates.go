package node

import (
	"time"

	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/rateshare"
)

// rateDivisionInterval is how often the leader divides the state service's rate among the controllers.
const rateDivisionInterval = 400 * time.Millisecond

// divideRate divides the state service's rate among all controllers by their recent demand. A controller
// that reports no demand (it is not connected, or of a release before 0.9) limits itself to an equal
// share, so that share is left to it.
func (l *leadership) divideRate(now time.Duration) {
	if now-l.ratesDividedAt < rateDivisionInterval {
		return
	}
	l.ratesDividedAt = now
	n := l.node
	siblings := n.cfg.Siblings
	equalShare := rateshare.TotalShare / float64(1+len(siblings))
	links := make([]*link, len(siblings)) // nil: not connected
	requests, writes := make([]float64, len(siblings)), make([]float64, len(siblings))
	for i, sibling := range siblings {
		links[i] = l.linkTo(sibling.HostName)
		requests[i], writes[i] = equalShare, equalShare
		if memberLink := links[i]; memberLink != nil && memberLink.demand.Requests > 0 {
			requests[i], writes[i] = memberLink.demand.Requests, memberLink.demand.Writes
		}
	}
	ownDemand := n.state.Demand()
	var allocation ratelimit.Allocation
	allocation.Requests, requests = rateshare.Divide(rateshare.Requests, ownDemand.Requests, requests)
	allocation.Writes, writes = rateshare.Divide(rateshare.Changes, ownDemand.Writes, writes)
	n.state.SetAllocation(allocation, rateshare.AllocationTTL)
	for i, memberLink := range links {
		if memberLink != nil {
			memberLink.allocation = ratelimit.Allocation{Requests: requests[i], Writes: writes[i]}
		}
	}
}

// Package rateshare divides the state service's rate among the controllers of a region. The leader
// does so, and sends each member its share with its grants. The division is a pure function of the
// recent demand of all.
//
// The leader's own demand comes first: its requests to keep its authority and to end jobs must not
// wait because of users' requests to its siblings. Only its slack comes after these. The rest is
// divided by max-min fairness: no member gets less than an equal share unless its demand is lower.
package rateshare

import (
	"slices"
	"time"
)

// Shares of the service's rate.
const (
	// TotalShare is the share that all controllers together may use. The rest is for controllers
	// without an allocation, and for bursts.
	TotalShare = 0.9
	// minLeaderShare is the leader's share even if its demand is lower: it must be free for a
	// change of leader, or for many jobs that end at once.
	minLeaderShare = 0.3
	// slackFactor is the ratio of a member's share to its demand, if there is enough.
	slackFactor = 1.5
)

// Rate is one of the state service's two rate limits.
type Rate uint8

// Rates.
const (
	Requests Rate = iota
	Changes
)

// minMembersShare is the lower bound of all members' shares together, so that submissions continue
// while the leader has a large backlog. Members need few requests, because the leader sends their
// comparisons. Of changes, a submission needs one and the end of a job three.
var minMembersShare = [...]float64{Requests: 0.25, Changes: 0.4}

// AllocationTTL is how long an allocation is valid. The leader renews it with each grant. A member
// without a leader adapts to the service's refusals instead.
const AllocationTTL = 2 * time.Second

// Divide divides a rate by the recent demands of the leader and of the members, given as fractions of
// the rate. The shares add up to TotalShare.
func Divide(r Rate, leaderDemand float64, memberDemands []float64) (leaderShare float64, memberShares []float64) {
	if len(memberDemands) == 0 {
		return TotalShare, nil
	}
	maxLeaderShare := TotalShare - minMembersShare[r]
	leaderShare = max(minLeaderShare, min(leaderDemand, maxLeaderShare))
	membersWanted := 0.0
	for _, demand := range memberDemands {
		membersWanted += slackFactor * demand
	}
	// The leader's slack is half of what nobody demands, because its users submit jobs too, which
	// wait behind its own writes. Members' demand goes before it.
	unclaimed := max(0, TotalShare-leaderShare-membersWanted) / 2
	leaderShare = min(leaderShare+unclaimed, max(leaderShare, maxLeaderShare))
	return leaderShare, fairShares(TotalShare-leaderShare, memberDemands)
}

// fairShares divides a total by demand: members that demand less than an equal share get their demand
// and slack, the others share the rest equally. What nobody demands is shared equally.
func fairShares(total float64, demands []float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case demands[a] < demands[b]:
			return -1
		case demands[a] > demands[b]:
			return 1
		}
		return a - b
	})
	shares := make([]float64, len(demands))
	remaining := total
	for n, i := range order {
		equalShare := remaining / float64(len(order)-n)
		shares[i] = min(slackFactor*demands[i], equalShare)
		remaining -= shares[i]
	}
	for i := range shares {
		shares[i] += remaining / float64(len(shares))
	}
	return shares
}

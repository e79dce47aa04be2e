// Package rateshare divides the state service's rate among the controllers of a region. The
// leader does so and tells each member its part with its grants; it is a pure function of
// what all have asked for lately.
//
// The leader's own part comes first: what it asked for lately, to keep its authority and to end
// jobs, is never behind what users ask of its siblings; only its slack is. The rest is divided
// by need, max-min fair: no member gets less than an equal part unless it needs less.
package rateshare

import (
	"slices"
	"time"
)

// Parts of the service's rate.
const (
	// TotalShare is what all controllers together use at most. The rest is for those that know no
	// parts, and for bursts.
	TotalShare = 0.9
	// minLeaderShare is what the leader keeps at least, needed or not: a change of leader, or
	// many jobs that end at once, must find it free.
	minLeaderShare = 0.3
	// slackFactor is how much more than it asked for lately a member gets, where there is enough.
	slackFactor = 1.5
)

// Rate is one of the state service's two.
type Rate uint8

// Rates.
const (
	Requests Rate = iota
	Changes
)

// minMembersShare is what the members keep together at least, so that submissions go on beside a
// leader that is far behind. Of requests they need few: the leader compares for them. Of
// changes each submission is one, and an end three.
var minMembersShare = [...]float64{Requests: 0.25, Changes: 0.4}

// AllocationTTL is how long a part is good for that a member was told. A leader tells it with each
// grant; who hears of no leader any more goes by what the service refuses.
const AllocationTTL = 2 * time.Second

// Divide divides the rate, of which the leader and the members asked for the given parts
// lately. The parts add up to All.
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
	// The leader's slack is half of what nobody asked for: users of the leader submit jobs too,
	// behind its own writes. What members ask for goes before it.
	spare := max(0, TotalShare-leaderShare-membersWanted) / 2
	leaderShare = min(leaderShare+spare, max(leaderShare, maxLeaderShare))
	return leaderShare, fairShares(TotalShare-leaderShare, memberDemands)
}

// fairShares divides a total by need: those that need less than an equal part get that and a
// little more, the others share the rest equally. What nobody needs is shared equally.
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

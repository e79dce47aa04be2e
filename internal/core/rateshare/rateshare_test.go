package rateshare

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// For any demands, the shares add up to TotalShare, the leader gets its minimum, and no member gets
// less than an equal share of the rest unless its demand is lower.
func TestSharesAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.Float64Range(0, 2)
		leader := demands.Draw(t, "leader")
		members := rapid.SliceOfN(demands, 0, 30).Draw(t, "members")
		rate := rapid.SampledFrom([]Rate{Requests, Changes}).Draw(t, "rate")
		leaderShare, shares := Divide(rate, leader, members)
		sum := leaderShare
		for _, p := range shares {
			sum += p
		}
		if math.Abs(sum-TotalShare) > 1e-9 {
			t.Fatalf("the shares add up to %v", sum)
		}
		if leaderShare < minLeaderShare {
			t.Fatalf("the leader has %v", leaderShare)
		}
		rest := TotalShare - leaderShare
		if len(members) > 0 && rest < minMembersShare[rate]-1e-9 {
			t.Fatalf("%v is left to the members", rest)
		}
		for i, p := range shares {
			if equal := rest / float64(len(shares)); p < min(equal, slackFactor*members[i])-1e-9 {
				t.Fatalf("member %d demands %v and gets %v of %v", i, members[i], p, rest)
			}
		}
	})
}

// One busy member among idle ones gets nearly all that the leader does not need.
func TestBusyMemberGetsUnusedRate(t *testing.T) {
	members := make([]float64, 19)
	members[7] = 0.3
	if _, shares := Divide(Requests, 0.1, members); shares[7] < 0.45 {
		t.Errorf("%v", shares)
	}
}

// Members with a high demand get all that the leader does not demand.
func TestMemberDemandGoesBeforeLeaderSlack(t *testing.T) {
	const leader = 0.5
	leaderShare, shares := Divide(Requests, leader, []float64{1.3, 0})
	if leaderShare < leader {
		t.Errorf("the leader demands %v and gets %v", leader, leaderShare)
	}
	if wanted := TotalShare - leader; math.Abs(shares[0]-wanted) > 1e-9 {
		t.Errorf("the busy member gets %v of the %v that the leader leaves", shares[0], wanted)
	}
}

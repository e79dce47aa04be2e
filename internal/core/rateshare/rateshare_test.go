package rateshare

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Whatever is needed: the parts add up to what all may use, the leader keeps its least, and
// no member gets less than an equal part of the rest unless it needs less.
func TestPartsAreFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := rapid.Float64Range(0, 2)
		leader := need.Draw(t, "leader")
		members := rapid.SliceOfN(need, 0, 30).Draw(t, "members")
		rate := rapid.SampledFrom([]Rate{Requests, Changes}).Draw(t, "rate")
		part, parts := Divide(rate, leader, members)
		sum := part
		for _, p := range parts {
			sum += p
		}
		if math.Abs(sum-TotalShare) > 1e-9 {
			t.Fatalf("the parts add up to %v", sum)
		}
		if part < leaderLeast {
			t.Fatalf("the leader has %v", part)
		}
		rest := TotalShare - part
		if len(members) > 0 && rest < membersLeast[rate]-1e-9 {
			t.Fatalf("%v is left to the members", rest)
		}
		for i, p := range parts {
			if equal := rest / float64(len(parts)); p < min(equal, slack*members[i])-1e-9 {
				t.Fatalf("member %d needs %v and has %v of %v", i, members[i], p, rest)
			}
		}
	})
}

// One busy member among nineteen idle ones gets nearly all that the leader does not need.
func TestABusyMemberGetsWhatOthersLeave(t *testing.T) {
	members := make([]float64, 19)
	members[7] = 0.3
	if _, parts := Divide(Requests, 0.1, members); parts[7] < 0.45 {
		t.Errorf("%v", parts)
	}
}

// Members that are short of requests get what the leader did not ask for.
func TestMembersInNeedGoBeforeTheLeadersSlack(t *testing.T) {
	const leader = 0.5
	part, parts := Divide(Requests, leader, []float64{1.3, 0})
	if part < leader {
		t.Errorf("the leader needs %v and has %v", leader, part)
	}
	if wanted := TotalShare - leader; math.Abs(parts[0]-wanted) > 1e-9 {
		t.Errorf("the busy member has %v of the %v that the leader leaves", parts[0], wanted)
	}
}

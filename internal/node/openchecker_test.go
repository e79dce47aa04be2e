package node

import (
	"context"
	"testing"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/rateshare"
	"honeylock/internal/peer"
	"honeylock/internal/peer/peerpb"
)

// lastGrant returns the last grant that the leader has sent.
func (h *leaderHarness) lastGrant() *peerpb.Grant {
	h.t.Helper()
	var grant *peerpb.Grant
	for _, message := range h.takeSent(h.t) {
		if message.GetGrant() != nil {
			grant = message.GetGrant()
		}
	}
	if grant == nil {
		h.t.Fatal("no grant")
	}
	return grant
}

// Each grant carries the member's share of the state service's rate, by its demand. A member that
// reports no demand, as releases before 0.9, gets an equal share.
func TestGrantsCarryRateShares(t *testing.T) {
	h := newLeaderHarness(t)
	now := h.node.now()
	h.setOpenJobsAsOf(now)
	grantForDemand := func(now time.Duration, demand float64) *peerpb.Grant {
		h.sendGrantRequest(now, &peerpb.Ask{RequestsNeeded: demand, WritesNeeded: demand})
		h.lead.ratesDividedAt = now - rateDivisionInterval
		h.lead.divideRate(now)
		h.takeSent(t)
		h.sendGrantRequest(now, &peerpb.Ask{RequestsNeeded: demand, WritesNeeded: demand})
		return h.lastGrant()
	}
	noDemand := grantForDemand(now, 0)
	if equal := rateshare.TotalShare / 2; noDemand.GetRequestsShare() < equal-1e-9 {
		t.Errorf("%v for a member that reports no demand", noDemand)
	}
	idle, busy := grantForDemand(now, 0.01), grantForDemand(now, 0.6)
	for _, g := range []*peerpb.Grant{idle, busy} {
		if g.GetRequestsShare() <= 0 || g.GetRequestsShare()+h.node.stateShare() > rateshare.TotalShare+1e-9 {
			t.Errorf("share of the member %v, of the leader %v", g, h.node.stateShare())
		}
	}
}

// stateShare returns the node's own share of the state service's rate.
func (n *Node) stateShare() float64 {
	share, _, _ := n.state.Stats()
	return share
}

// The leader answers at once for a job that it knows to be done. For a cancelled job it does not, so
// that the member reads the final record itself and logs the cancellation before it reports it.
func TestLeaderAnswersForDoneJobs(t *testing.T) {
	h := newLeaderHarness(t)
	h.node.addFinalLocked(7, jobs.Done)
	h.node.addFinalLocked(8, jobs.Cancelled)
	h.lead.handleQuestions(h.link, []*peerpb.Question{{Id: 1, Job: 7, Version: 3}, {Id: 2, Job: 8, Version: 3}})
	var got []*peerpb.Answer
	for _, m := range h.takeSent(t) {
		got = append(got, m.GetAnswers().GetAnswers()...)
	}
	if len(got) != 1 || got[0].GetId() != 1 || got[0].GetStage() != string(jobs.Done) ||
		got[0].GetOutcome() != peerpb.Outcome_OUTCOME_CLOSED {
		t.Errorf("%v", got)
	}
}

// A member sends its checks to the leader as long as it answers. A check that the leader does not
// answer, or that is pending when the link breaks, fails there, and the leader is then avoided.
func TestOpenCheckFallsBackToOwnCompare(t *testing.T) {
	g := jobs.Guard{Job: 7, Version: 3}
	for _, c := range []struct {
		name   string
		answer func(oc *openChecker)
		want   jobs.Outcome
	}{
		{"open", func(oc *openChecker) {
			oc.handleAnswers([]*peerpb.Answer{{Id: 1, Outcome: peerpb.Outcome_OUTCOME_OPEN}})
		}, jobs.OK},
		{"over its rate", func(oc *openChecker) {
			oc.handleAnswers([]*peerpb.Answer{{Id: 1, Outcome: peerpb.Outcome_OUTCOME_BUSY}})
		}, jobs.Busy},
		{"refused", func(oc *openChecker) { oc.handleAnswers([]*peerpb.Answer{{Id: 1}}) }, jobs.Failed},
		{"the link breaks", func(oc *openChecker) { oc.setLeader(nil) }, jobs.Failed},
		{"no answer", func(*openChecker) {}, jobs.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			oc := newLeaderHarness(t).node.openChecker
			oc.setLeader(peer.NewQueue())
			go func() {
				for {
					oc.mu.Lock()
					pending := len(oc.pending)
					oc.mu.Unlock()
					if pending > 0 {
						break
					}
				}
				c.answer(oc)
			}()
			if got := oc.askLeader(context.Background(), g); got.Outcome != c.want {
				t.Errorf("%+v, want outcome %d", got, c.want)
			}
			oc.mu.Lock()
			defer oc.mu.Unlock()
			if avoided := !oc.route.UseLeader(oc.now()); avoided != (c.want == jobs.Failed) {
				t.Errorf("leader avoided: %v", avoided)
			}
		})
	}
}

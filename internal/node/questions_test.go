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

// granted is the last grant that the leader has sent.
func (r *rig) granted() *peerpb.Grant {
	r.t.Helper()
	var g *peerpb.Grant
	for _, m := range r.sent(r.t) {
		if m.GetGrant() != nil {
			g = m.GetGrant()
		}
	}
	if g == nil {
		r.t.Fatal("no grant")
	}
	return g
}

// A member is told its part of the state service's rate with each grant, by what it needs. To
// one that says nothing of its needs, as a release before 0.9, an equal part is left.
func TestPartsComeWithGrants(t *testing.T) {
	r := newRig(t)
	now := r.n.now()
	r.asOf(now)
	parts := func(now time.Duration, need float64) *peerpb.Grant {
		r.ask(now, &peerpb.Ask{RequestsNeeded: need, WritesNeeded: need})
		r.l.divided = now - divideEvery
		r.l.divideRate(now)
		r.sent(t)
		r.ask(now, &peerpb.Ask{RequestsNeeded: need, WritesNeeded: need})
		return r.granted()
	}
	silent := parts(now, 0)
	if equal := rateshare.TotalShare / 2; silent.GetRequestsShare() < equal-1e-9 {
		t.Errorf("%v for a member that tells no needs", silent)
	}
	idle, busy := parts(now, 0.01), parts(now, 0.6)
	for _, g := range []*peerpb.Grant{idle, busy} {
		if g.GetRequestsShare() <= 0 || g.GetRequestsShare()+r.n.stateShare() > rateshare.TotalShare+1e-9 {
			t.Errorf("%v beside the leader's %v", g, r.n.stateShare())
		}
	}
}

func (n *Node) stateShare() float64 {
	share, _, _ := n.state.Stats()
	return share
}

// A job that the leader knows to be done needs no comparison; of a cancellation the member has
// to read the record, so that it notes it before it tells anybody.
func TestLeaderAnswersOfWhatIsDone(t *testing.T) {
	r := newRig(t)
	r.n.cacheFinal(7, jobs.Done)
	r.n.cacheFinal(8, jobs.Cancelled)
	r.l.heardQuestions(r.k, []*peerpb.Question{{Id: 1, Job: 7, Version: 3}, {Id: 2, Job: 8, Version: 3}})
	var got []*peerpb.Answer
	for _, m := range r.sent(t) {
		got = append(got, m.GetAnswers().GetAnswers()...)
	}
	if len(got) != 1 || got[0].GetId() != 1 || got[0].GetStage() != string(jobs.Done) ||
		got[0].GetOutcome() != peerpb.Outcome_OUTCOME_CLOSED {
		t.Errorf("%v", got)
	}
}

// A member's questions go to the leader while it answers. One that it does not answer, or
// that was under way when the link broke, is compared by the member itself.
func TestQuestionsFindAWay(t *testing.T) {
	g := jobs.Guard{Job: 7, Version: 3}
	for _, c := range []struct {
		name   string
		answer func(q *questions)
		want   jobs.Outcome
	}{
		{"open", func(q *questions) {
			q.answered([]*peerpb.Answer{{Id: 1, Outcome: peerpb.Outcome_OUTCOME_OPEN}})
		}, jobs.OK},
		{"over its rate", func(q *questions) {
			q.answered([]*peerpb.Answer{{Id: 1, Outcome: peerpb.Outcome_OUTCOME_BUSY}})
		}, jobs.Busy},
		{"refused", func(q *questions) { q.answered([]*peerpb.Answer{{Id: 1}}) }, jobs.Failed},
		{"the link breaks", func(q *questions) { q.follow(nil) }, jobs.Failed},
		{"no answer", func(*questions) {}, jobs.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newRig(t).n.questions
			q.follow(peer.NewQueue())
			go func() {
				for {
					q.mu.Lock()
					under := len(q.asked)
					q.mu.Unlock()
					if under > 0 {
						break
					}
				}
				c.answer(q)
			}()
			if got := q.askLeader(context.Background(), g); got.Outcome != c.want {
				t.Errorf("%+v, want outcome %d", got, c.want)
			}
			q.mu.Lock()
			defer q.mu.Unlock()
			if shunned := !q.route.UseLeader(q.now()); shunned != (c.want == jobs.Failed) {
				t.Errorf("shunned: %v", shunned)
			}
		})
	}
}

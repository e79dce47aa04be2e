package node

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/cancellog"
	"honeylock/internal/core/election"
	"honeylock/internal/core/model"
	"honeylock/internal/core/storehealth"
	"honeylock/internal/peer"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/wire"
)

// leaderHarness is a leader of term 1 with one member, hive-1, and no world around it. Its clock is
// the node's, which began an hour ago.
type leaderHarness struct {
	t       *testing.T
	node    *Node
	lead    *leadership
	link    *link
	shardID model.ShardID
}

func newLeaderHarness(t *testing.T) *leaderHarness {
	t.Helper()
	cfg := &config.Platform{HostName: "hive-0", Siblings: []config.Sibling{{HostName: "hive-1"}}}
	c := &cfg.Cluster
	c.Teams = []config.Team{{Name: "vision"}}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = 8, 42, 67
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps = 100, 100, 16, 16
	n := New(cfg, config.DefaultSettings(), slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1)))
	n.startedAt = n.startedAt.Add(-time.Hour)
	n.election.ClearPriorPromise(0)
	op := n.election.Step(n.now())[0]
	for range 3 { // read, asked for a lease, acquired
		now := n.now()
		op.SentAt = now
		if ops := n.election.HandleResult(now, election.Result{Op: op, OK: true, Lease: 5, Version: 9}); len(ops) > 0 {
			op = ops[0]
		}
	}
	now := n.now()
	if !n.election.Leading(now) {
		t.Fatal("does not lead")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n.lastLedTerm = n.election.Term()
	n.lead = n.newLeadership(ctx, now)
	l := n.lead
	l.loaded = true
	k := &link{queue: peer.NewQueue(), codec: peer.NewCodec(n.names), grantsSent: map[uint64]time.Duration{}}
	r := &leaderHarness{t: t, node: n, lead: l, link: k}
	r.shardID = l.acceptMember(now, r.link, &peerpb.Hello{Host: "hive-1", Release: release})
	r.takeSent(t)
	return r
}

// takeSent takes away what the leader has takeSent to its member.
func (r *leaderHarness) takeSent(t *testing.T) (out []*peerpb.Down) {
	t.Helper()
	r.link.queue.Send(&peerpb.Down{}) // the last
	ctx, cancel := context.WithCancel(t.Context())
	var buf bytes.Buffer
	_ = r.link.queue.Run(ctx, &buf, func() error { cancel(); return nil })
	for in := peer.NewReader(&buf); ; {
		m := &peerpb.Down{}
		if err := in.Next(m); err != nil {
			t.Fatal(err)
		}
		if m.Msg == nil {
			return out
		}
		out = append(out, m)
	}
}

// setOpenJobsAsOf sets back what is known of the open jobs.
func (r *leaderHarness) setOpenJobsAsOf(at time.Duration) {
	r.lead.dispatchLoop.openJobsAsOf, r.lead.dispatchLoop.openJobsView = at, cancellog.OpenJobsView{}
	r.lead.dispatchLoop.openJobsView.Read(at)
	r.takeSent(r.t)
}

func (r *leaderHarness) sendAsk(now time.Duration, a *peerpb.Ask) {
	r.lead.handleMessage(now, r.shardID, r.link, &peerpb.Up{Msg: &peerpb.Up_Ask{Ask: a}})
}

// reportCancellations has the member say that it reportCancellations users of these cancellations, and all that it reportCancellations in
// the last minute, once it has had a grant.
func (r *leaderHarness) reportCancellations(now time.Duration, grant uint64, jobs ...uint64) {
	r.sendAsk(now, &peerpb.Ask{Promised: grant, Told: jobs, ToldForUs: time.Minute.Microseconds()})
}

func (r *leaderHarness) addOpenJob(job model.JobID) {
	r.node.names.Images.ID("img")
	r.lead.dispatcher.AddJob(r.node.now(), &model.Spec{ID: job, Tasks: 2, Zone: model.None}, 3, 0, false)
}

// A new leader gives no grant, and its own shard acts on none, before it has read what is open.
func TestNoGrantBeforeOpenJobsAreRead(t *testing.T) {
	r := newLeaderHarness(t)
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	now := r.node.now()
	r.sendAsk(now, &peerpb.Ask{})
	for _, m := range r.takeSent(t) {
		if g := m.GetGrant(); g.GetForUs() > 0 {
			t.Errorf("a grant for %d us", g.GetForUs())
		}
	}
	r.lead.tick(now)
	if r.node.local.shard.HasGrant(now) {
		t.Error("its own shard acts")
	}
	r.lead.dispatchLoop.markOpenJobsRead(now, now-time.Second)
	r.lead.tick(now)
	if !r.node.local.shard.HasGrant(now) {
		t.Error("its own shard does not act on a picture of a second ago")
	}
}

// Authority never runs ahead of what it rests on: a member that has a grant of after a
// cancellation, and loses its leader then, would else act on without having heard of it, from
// a picture that was asked for well after users were told.
func TestCancellationsPrecedeGrants(t *testing.T) {
	for name, learn := range map[string]func(r *leaderHarness, now time.Duration){
		"by the watch": func(r *leaderHarness, now time.Duration) {
			r.lead.dispatchLoop.applyOpenEvents(now, now, []wire.Event{{Delete: openPrefix + wire.JobName(7)}})
		},
		"by another controller": func(r *leaderHarness, now time.Duration) {
			r.sendAsk(now-time.Second, &peerpb.Ask{ToldForUs: time.Minute.Microseconds()}) // gets grant 1
			r.takeSent(r.t)
			r.reportCancellations(now, 1, 7)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newLeaderHarness(t)
			r.node.mu.Lock()
			defer r.node.mu.Unlock()
			r.addOpenJob(7)
			now := r.node.now()
			r.setOpenJobsAsOf(now - 20*time.Second)
			was := r.lead.authorityEnd()
			learn(r, now)
			r.sendAsk(now, &peerpb.Ask{})
			if r.lead.authorityEnd() <= was {
				t.Fatal("nothing was gained: the test shows nothing")
			}
			ended := false
			for _, m := range r.takeSent(t) {
				o := m.GetOrder()
				ended = ended || o != nil && model.OrderKind(o.GetKind()) == model.EndJob && o.GetJob() == 7
				if m.GetGrant() != nil && !ended {
					t.Fatal("the grant went out before the job's end")
				}
			}
			if !ended {
				t.Fatal("the member was not told")
			}
		})
	}
}

// While the state service answers nobody, the picture of the open jobs is as young as the
// member's word: counted from the grant that its word answers, and only if it has told all
// since before the picture.
func TestAuthorityFollowsMembersAcknowledgements(t *testing.T) {
	r := newLeaderHarness(t)
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	now := r.node.now()
	viewAge := func() time.Duration { return now - r.lead.dispatchLoop.openJobsView.ValidUntil(0) }
	r.setOpenJobsAsOf(now - 20*time.Second)
	r.sendAsk(now-3*time.Second, &peerpb.Ask{}) // grant 1
	r.sendAsk(now-2*time.Second, &peerpb.Ask{Promised: 1})
	if viewAge() != 20*time.Second {
		t.Errorf("a member that says nothing of what it told makes the picture %v old", viewAge())
	}
	r.sendAsk(now-time.Second, &peerpb.Ask{Promised: 2, ToldForUs: (5 * time.Second).Microseconds()})
	if viewAge() != 20*time.Second {
		t.Errorf("one that began since makes it %v old", viewAge())
	}
	r.reportCancellations(now, 2)
	if viewAge() != 2*time.Second {
		t.Errorf("one that has told all makes it %v old, want the age of the grant that it answers", viewAge())
	}
	// A job that it told of is over, even if what was asked for before still shows it.
	r.addOpenJob(7)
	r.reportCancellations(now, 2, 7, 8)
	sub, err := wire.ParseSubmission([]byte(`{"NameId":"job-000008","Comb":"train","Colony":"vision","Shape":"batch",
		"Rank":"standard","Cells":2,"Cpus":1,"Accelerators":0,"MemGb":1,"Wax":"img","ImageGb":1,"Together":false,
		"Spread":false,"SwarmBoxes":false,"ForageS":1,"CapIntervalS":0,"CapS":0}`))
	if err != nil {
		t.Fatal(err)
	}
	r.lead.dispatchLoop.addJob(now, storedJob{sub, 9}, now)
	for _, id := range []model.JobID{7, 8} {
		if r.lead.dispatcher.JobVersion(id) != 0 {
			t.Errorf("job %d is open", id)
		}
	}
}

// A leader that the state service answers, but not about the open jobs, lets another one try,
// however young its picture is by what controllers tell: it would never learn of a new job.
func TestLeaderResignsWhenOpenWatchFails(t *testing.T) {
	r := newLeaderHarness(t)
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	now := r.node.now()
	r.setOpenJobsAsOf(now)
	for d := time.Duration(0); d < 2*time.Minute; d += time.Second {
		if r.lead.dispatchLoop.openWatchFailing(now + d) {
			t.Fatalf("blind in an outage, after %v", d)
		}
	}
	back := now + 2*time.Minute
	for d := time.Duration(0); d < openWatchFailureLimit; d += time.Second {
		r.node.health.recordRequest(back+d, storehealth.Served)
		if r.lead.dispatchLoop.openWatchFailing(back + d) {
			t.Fatalf("blind %v after the outage", d)
		}
	}
	r.node.health.recordRequest(back+openWatchFailureLimit+time.Second, storehealth.Served)
	if !r.lead.dispatchLoop.openWatchFailing(back + openWatchFailureLimit + time.Second) {
		t.Error("goes on without news")
	}
	r.lead.dispatchLoop.markOpenJobsRead(back+15*time.Second, back+14*time.Second)
	r.node.health.recordRequest(back+15*time.Second, storehealth.Served)
	if r.lead.dispatchLoop.openWatchFailing(back + 15*time.Second) {
		t.Error("gives way though it has news")
	}
}

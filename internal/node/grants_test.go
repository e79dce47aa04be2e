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

// leaderHarness is a leader of term 1 with one member, hive-1, without any services. Its clock is the
// node's, which started an hour ago.
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
	cluster := &cfg.Cluster
	cluster.Teams = []config.Team{{Name: "vision"}}
	cluster.Workers.ReportS, cluster.Workers.LeaseS, cluster.Workers.CancelS = 8, 42, 67
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.ValueKB, cluster.State.TxnOps = 100, 100, 16, 16
	n := New(cfg, config.DefaultSettings(), slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1)))
	n.startedAt = n.startedAt.Add(-time.Hour)
	n.election.ClearPriorPromise(0)
	op := n.election.Step(n.now())[0]
	for range 3 { // results of Read, Grant and Acquire
		now := n.now()
		op.SentAt = now
		if ops := n.election.HandleResult(now, election.Result{Op: op, OK: true, Lease: 5, Version: 9}); len(ops) > 0 {
			op = ops[0]
		}
	}
	now := n.now()
	if !n.election.Leading(now) {
		t.Fatal("the node does not lead")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n.lastLedTerm = n.election.Term()
	n.lead = n.newLeadership(ctx, now)
	l := n.lead
	l.loaded = true
	memberLink := &link{queue: peer.NewQueue(), codec: peer.NewCodec(n.names), grantsSentAt: map[uint64]time.Duration{}}
	h := &leaderHarness{t: t, node: n, lead: l, link: memberLink}
	h.shardID = l.acceptMember(now, h.link, &peerpb.Hello{Host: "hive-1", Release: release})
	h.takeSent(t)
	return h
}

// takeSent drains and returns the messages that the leader has queued for its member.
func (h *leaderHarness) takeSent(t *testing.T) (out []*peerpb.Down) {
	t.Helper()
	h.link.queue.Send(&peerpb.Down{}) // marks the end
	ctx, cancel := context.WithCancel(t.Context())
	var buf bytes.Buffer
	_ = h.link.queue.Run(ctx, &buf, func() error { cancel(); return nil })
	for reader := peer.NewReader(&buf); ; {
		message := &peerpb.Down{}
		if err := reader.Next(message); err != nil {
			t.Fatal(err)
		}
		if message.Msg == nil {
			return out
		}
		out = append(out, message)
	}
}

// setOpenJobsAsOf sets the time as of which the open jobs are known.
func (h *leaderHarness) setOpenJobsAsOf(at time.Duration) {
	h.lead.dispatchLoop.openJobsAsOf, h.lead.dispatchLoop.openJobsView = at, cancellog.OpenJobsView{}
	h.lead.dispatchLoop.openJobsView.Read(at)
	h.takeSent(h.t)
}

// sendGrantRequest passes a grant request of the member to the leader.
func (h *leaderHarness) sendGrantRequest(now time.Duration, ask *peerpb.Ask) {
	h.lead.handleMessage(now, h.shardID, h.link, &peerpb.Up{Msg: &peerpb.Up_Ask{Ask: ask}})
}

// reportCancellations lets the member, which answers the given grant, report that it acknowledged these
// cancellations to users, and that it has reported all of the last minute.
func (h *leaderHarness) reportCancellations(now time.Duration, grant uint64, jobs ...uint64) {
	h.sendGrantRequest(now, &peerpb.Ask{Promised: grant, Told: jobs, ToldForUs: time.Minute.Microseconds()})
}

// addOpenJob adds a job with two tasks to the dispatcher.
func (h *leaderHarness) addOpenJob(job model.JobID) {
	h.node.names.Images.ID("img")
	h.lead.dispatcher.AddJob(h.node.now(), &model.Spec{ID: job, Tasks: 2, Zone: model.None}, 3, 0, false)
}

// A new leader sends no grant, and its own shard has none, before it has read the open jobs. Otherwise
// tasks of jobs that were cancelled before could start.
func TestNoGrantBeforeOpenJobsAreRead(t *testing.T) {
	h := newLeaderHarness(t)
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	now := h.node.now()
	h.sendGrantRequest(now, &peerpb.Ask{})
	for _, message := range h.takeSent(t) {
		if grant := message.GetGrant(); grant.GetForUs() > 0 {
			t.Errorf("got a grant for %d us before the open jobs were read", grant.GetForUs())
		}
	}
	h.lead.tick(now)
	if h.node.local.shard.HasGrant(now) {
		t.Error("the leader's shard has a grant before the open jobs were read")
	}
	h.lead.dispatchLoop.markOpenJobsRead(now, now-time.Second)
	h.lead.tick(now)
	if !h.node.local.shard.HasGrant(now) {
		t.Error("the leader's shard has no grant though the open jobs were read a second ago")
	}
}

// The order that ends a cancelled job is sent before a grant that is based on a later view of the open
// jobs. Otherwise a member that gets such a grant and then loses its leader would act without having
// learned of the cancellation, although users were told of it before.
func TestCancellationsPrecedeGrants(t *testing.T) {
	for name, applyCancellation := range map[string]func(h *leaderHarness, now time.Duration){
		"by the watch": func(h *leaderHarness, now time.Duration) {
			h.lead.dispatchLoop.applyOpenEvents(now, now, []wire.Event{{Delete: openPrefix + wire.JobName(7)}})
		},
		"by another controller": func(h *leaderHarness, now time.Duration) {
			h.sendGrantRequest(now-time.Second, &peerpb.Ask{ToldForUs: time.Minute.Microseconds()}) // is answered with grant 1
			h.takeSent(h.t)
			h.reportCancellations(now, 1, 7)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLeaderHarness(t)
			h.node.mu.Lock()
			defer h.node.mu.Unlock()
			h.addOpenJob(7)
			now := h.node.now()
			h.setOpenJobsAsOf(now - 20*time.Second)
			authorityBefore := h.lead.authorityEnd()
			applyCancellation(h, now)
			h.sendGrantRequest(now, &peerpb.Ask{})
			if h.lead.authorityEnd() <= authorityBefore {
				t.Fatal("authority was not extended, so the test shows nothing")
			}
			endSent := false
			for _, message := range h.takeSent(t) {
				order := message.GetOrder()
				endSent = endSent || order != nil && model.OrderKind(order.GetKind()) == model.EndJob && order.GetJob() == 7
				if message.GetGrant() != nil && !endSent {
					t.Fatal("the grant was sent before the job's end")
				}
			}
			if !endSent {
				t.Fatal("the job's end was not sent to the member")
			}
		})
	}
}

// While the state service answers nobody, the view of the open jobs is as recent as the member's reports
// of acknowledged cancellations. These count from when the grant that they answer was sent, and only if
// they are complete since before the view was read.
func TestAuthorityFollowsMembersAcknowledgements(t *testing.T) {
	h := newLeaderHarness(t)
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	now := h.node.now()
	viewAge := func() time.Duration { return now - h.lead.dispatchLoop.openJobsView.ValidUntil(0) }
	h.setOpenJobsAsOf(now - 20*time.Second)
	h.sendGrantRequest(now-3*time.Second, &peerpb.Ask{}) // grant 1
	h.sendGrantRequest(now-2*time.Second, &peerpb.Ask{Promised: 1})
	if viewAge() != 20*time.Second {
		t.Errorf("a member that does not report acknowledgements makes the view %v old", viewAge())
	}
	h.sendGrantRequest(now-time.Second, &peerpb.Ask{Promised: 2, ToldForUs: (5 * time.Second).Microseconds()})
	if viewAge() != 20*time.Second {
		t.Errorf("a member that started since makes the view %v old", viewAge())
	}
	h.reportCancellations(now, 2)
	if viewAge() != 2*time.Second {
		t.Errorf("a member that reported all makes the view %v old, want the age of the grant that it answers", viewAge())
	}
	// A job whose cancellation it reported has ended, even if an older read still shows it as open.
	h.addOpenJob(7)
	h.reportCancellations(now, 2, 7, 8)
	sub, err := wire.ParseSubmission([]byte(`{"NameId":"job-000008","Comb":"train","Colony":"vision","Shape":"batch",
		"Rank":"standard","Cells":2,"Cpus":1,"Accelerators":0,"MemGb":1,"Wax":"img","ImageGb":1,"Together":false,
		"Spread":false,"SwarmBoxes":false,"ForageS":1,"CapIntervalS":0,"CapS":0}`))
	if err != nil {
		t.Fatal(err)
	}
	h.lead.dispatchLoop.addJob(now, storedJob{sub, 9}, now)
	for _, id := range []model.JobID{7, 8} {
		if h.lead.dispatcher.JobVersion(id) != 0 {
			t.Errorf("job %d is open, want ended", id)
		}
	}
}

// A leader that the state service serves, except for requests about the open jobs, resigns, however
// recent its view is by the controllers' reports: it would never learn of a new job. In an outage of
// the whole service it goes on.
func TestLeaderResignsWhenOpenWatchFails(t *testing.T) {
	h := newLeaderHarness(t)
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	now := h.node.now()
	h.setOpenJobsAsOf(now)
	for d := time.Duration(0); d < 2*time.Minute; d += time.Second {
		if h.lead.dispatchLoop.openWatchFailing(now + d) {
			t.Fatalf("the watch counts as failing after %v of an outage", d)
		}
	}
	outageEnd := now + 2*time.Minute
	for d := time.Duration(0); d < openWatchFailureLimit; d += time.Second {
		h.node.health.recordRequest(outageEnd+d, storehealth.Served)
		if h.lead.dispatchLoop.openWatchFailing(outageEnd + d) {
			t.Fatalf("the watch counts as failing already %v after the outage", d)
		}
	}
	h.node.health.recordRequest(outageEnd+openWatchFailureLimit+time.Second, storehealth.Served)
	if !h.lead.dispatchLoop.openWatchFailing(outageEnd + openWatchFailureLimit + time.Second) {
		t.Error("the watch does not count as failing after the limit")
	}
	h.lead.dispatchLoop.markOpenJobsRead(outageEnd+15*time.Second, outageEnd+14*time.Second)
	h.node.health.recordRequest(outageEnd+15*time.Second, storehealth.Served)
	if h.lead.dispatchLoop.openWatchFailing(outageEnd + 15*time.Second) {
		t.Error("the watch counts as failing though the open jobs were read")
	}
}

package node

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/election"
	"honeylock/internal/core/model"
	"honeylock/internal/peer"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/wire"
)

// rig is a leader of term 1 with one member, hive-1, and no world around it. Its clock is
// the node's, which has just begun.
type rig struct {
	n  *Node
	l  *leadership
	k  *link
	id model.ShardID
}

func newRig(t *testing.T) *rig {
	t.Helper()
	cfg := &config.Platform{HostName: "hive-0", Siblings: []config.Sibling{{HostName: "hive-1"}}}
	c := &cfg.Cluster
	c.Teams = []config.Team{{Name: "vision"}}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = 8, 42, 67
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps = 100, 100, 16, 16
	n := New(cfg, config.DefaultSettings(), slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1)))
	n.el.Unbound(0)
	op := n.el.Step(time.Hour)[0]
	for range 3 { // read, asked for a lease, acquired
		now := n.now()
		op.SentAt = now
		if ops := n.el.Done(now, election.Result{Op: op, OK: true, Lease: 5, Version: 9}); len(ops) > 0 {
			op = ops[0]
		}
	}
	now := n.now()
	if !n.el.Leading(now) {
		t.Fatal("does not lead")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n.led = n.el.Term()
	n.lead = n.newLeadership(ctx, now)
	l := n.lead
	l.loaded = true
	r := &rig{n: n, l: l, k: &link{out: peer.NewQueue(), codec: peer.NewCodec(n.names), sent: map[uint64]time.Duration{}}}
	r.id = l.welcome(now, r.k, &peerpb.Hello{Host: "hive-1", Release: release})
	r.sent(t)
	return r
}

// sent takes away what the leader has sent to its member.
func (r *rig) sent(t *testing.T) (out []*peerpb.Down) {
	t.Helper()
	r.k.out.Send(&peerpb.Down{}) // the last
	ctx, cancel := context.WithCancel(t.Context())
	var buf bytes.Buffer
	_ = r.k.out.Run(ctx, &buf, func() error { cancel(); return nil })
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

func (r *rig) open(job model.JobID) {
	r.n.names.Images.ID("img")
	r.l.d.AddJob(r.n.now(), &model.Spec{ID: job, Tasks: 2, Zone: model.None}, 3, 0, false)
}

// Authority never runs ahead of what it rests on: a member that has a grant of after a
// cancellation, and loses its leader then, would else act on without having heard of it, from
// a picture that was asked for well after users were told.
func TestCancellationsGoOutBeforeTheGrantsThatRestOnThem(t *testing.T) {
	for name, know := range map[string]func(r *rig, now time.Duration){
		"by the watch": func(r *rig, now time.Duration) {
			r.l.deals.changed(now, now, []wire.Event{{Delete: openKeys + wire.JobName(7)}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.n.mu.Lock()
			defer r.n.mu.Unlock()
			r.open(7)
			now := r.n.now()
			r.l.deals.fresh = now - 20*time.Second
			was := r.l.until()
			know(r, now)
			r.l.heard(now, r.id, r.k, &peerpb.Up{Msg: &peerpb.Up_Ask{Ask: &peerpb.Ask{Seq: 1}}})
			if r.l.until() <= was {
				t.Fatal("nothing was gained: the test shows nothing")
			}
			ended := false
			for _, m := range r.sent(t) {
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

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

// rig is a leader of term 1 with one member, hive-1, and no world around it. Its clock is
// the node's, which began an hour ago.
type rig struct {
	t  *testing.T
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
	n.start = n.start.Add(-time.Hour)
	n.el.ClearPriorPromise(0)
	op := n.el.Step(n.now())[0]
	for range 3 { // read, asked for a lease, acquired
		now := n.now()
		op.SentAt = now
		if ops := n.el.HandleResult(now, election.Result{Op: op, OK: true, Lease: 5, Version: 9}); len(ops) > 0 {
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
	k := &link{out: peer.NewQueue(), codec: peer.NewCodec(n.names), sent: map[uint64]time.Duration{}}
	r := &rig{t: t, n: n, l: l, k: k}
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

// asOf sets back what is known of the open jobs.
func (r *rig) asOf(at time.Duration) {
	r.l.deals.fresh, r.l.deals.picture = at, cancellog.OpenJobsView{}
	r.l.deals.picture.Read(at)
	r.sent(r.t)
}

func (r *rig) ask(now time.Duration, a *peerpb.Ask) {
	r.l.heard(now, r.id, r.k, &peerpb.Up{Msg: &peerpb.Up_Ask{Ask: a}})
}

// told has the member say that it told users of these cancellations, and all that it told in
// the last minute, once it has had a grant.
func (r *rig) told(now time.Duration, grant uint64, jobs ...uint64) {
	r.ask(now, &peerpb.Ask{Promised: grant, Told: jobs, ToldForUs: time.Minute.Microseconds()})
}

func (r *rig) open(job model.JobID) {
	r.n.names.Images.ID("img")
	r.l.d.AddJob(r.n.now(), &model.Spec{ID: job, Tasks: 2, Zone: model.None}, 3, 0, false)
}

// A new leader gives no grant, and its own shard acts on none, before it has read what is open.
func TestNoAuthorityBeforeThePicture(t *testing.T) {
	r := newRig(t)
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	now := r.n.now()
	r.ask(now, &peerpb.Ask{})
	for _, m := range r.sent(t) {
		if g := m.GetGrant(); g.GetForUs() > 0 {
			t.Errorf("a grant for %d us", g.GetForUs())
		}
	}
	r.l.tick(now)
	if r.n.seat.s.HasGrant(now) {
		t.Error("its own shard acts")
	}
	r.l.deals.seen(now, now-time.Second)
	r.l.tick(now)
	if !r.n.seat.s.HasGrant(now) {
		t.Error("its own shard does not act on a picture of a second ago")
	}
}

// Authority never runs ahead of what it rests on: a member that has a grant of after a
// cancellation, and loses its leader then, would else act on without having heard of it, from
// a picture that was asked for well after users were told.
func TestCancellationsGoOutBeforeTheGrantsThatRestOnThem(t *testing.T) {
	for name, know := range map[string]func(r *rig, now time.Duration){
		"by the watch": func(r *rig, now time.Duration) {
			r.l.deals.changed(now, now, []wire.Event{{Delete: openKeys + wire.JobName(7)}})
		},
		"by another controller": func(r *rig, now time.Duration) {
			r.ask(now-time.Second, &peerpb.Ask{ToldForUs: time.Minute.Microseconds()}) // gets grant 1
			r.sent(r.t)
			r.told(now, 1, 7)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.n.mu.Lock()
			defer r.n.mu.Unlock()
			r.open(7)
			now := r.n.now()
			r.asOf(now - 20*time.Second)
			was := r.l.until()
			know(r, now)
			r.ask(now, &peerpb.Ask{})
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

// While the state service answers nobody, the picture of the open jobs is as young as the
// member's word: counted from the grant that its word answers, and only if it has told all
// since before the picture.
func TestAuthorityGoesByWhatMembersHaveTold(t *testing.T) {
	r := newRig(t)
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	now := r.n.now()
	picture := func() time.Duration { return now - r.l.deals.picture.ValidUntil(0) }
	r.asOf(now - 20*time.Second)
	r.ask(now-3*time.Second, &peerpb.Ask{}) // grant 1
	r.ask(now-2*time.Second, &peerpb.Ask{Promised: 1})
	if picture() != 20*time.Second {
		t.Errorf("a member that says nothing of what it told makes the picture %v old", picture())
	}
	r.ask(now-time.Second, &peerpb.Ask{Promised: 2, ToldForUs: (5 * time.Second).Microseconds()})
	if picture() != 20*time.Second {
		t.Errorf("one that began since makes it %v old", picture())
	}
	r.told(now, 2)
	if picture() != 2*time.Second {
		t.Errorf("one that has told all makes it %v old, want the age of the grant that it answers", picture())
	}
	// A job that it told of is over, even if what was asked for before still shows it.
	r.open(7)
	r.told(now, 2, 7, 8)
	sub, err := wire.ParseSubmission([]byte(`{"NameId":"job-000008","Comb":"train","Colony":"vision","Shape":"batch",
		"Rank":"standard","Cells":2,"Cpus":1,"Accelerators":0,"MemGb":1,"Wax":"img","ImageGb":1,"Together":false,
		"Spread":false,"SwarmBoxes":false,"ForageS":1,"CapIntervalS":0,"CapS":0}`))
	if err != nil {
		t.Fatal(err)
	}
	r.l.deals.add(now, stored{sub, 9}, now)
	for _, id := range []model.JobID{7, 8} {
		if r.l.d.JobVersion(id) != 0 {
			t.Errorf("job %d is open", id)
		}
	}
}

// A leader that the state service answers, but not about the open jobs, lets another one try,
// however young its picture is by what controllers tell: it would never learn of a new job.
func TestALeaderThatLearnsOfNoNewJobGivesWay(t *testing.T) {
	r := newRig(t)
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	now := r.n.now()
	r.asOf(now)
	for d := time.Duration(0); d < 2*time.Minute; d += time.Second {
		if r.l.deals.blind(now + d) {
			t.Fatalf("blind in an outage, after %v", d)
		}
	}
	back := now + 2*time.Minute
	for d := time.Duration(0); d < blindFor; d += time.Second {
		r.n.health.note(back+d, storehealth.Served)
		if r.l.deals.blind(back + d) {
			t.Fatalf("blind %v after the outage", d)
		}
	}
	r.n.health.note(back+blindFor+time.Second, storehealth.Served)
	if !r.l.deals.blind(back + blindFor + time.Second) {
		t.Error("goes on without news")
	}
	r.l.deals.seen(back+15*time.Second, back+14*time.Second)
	r.n.health.note(back+15*time.Second, storehealth.Served)
	if r.l.deals.blind(back + 15*time.Second) {
		t.Error("gives way though it has news")
	}
}

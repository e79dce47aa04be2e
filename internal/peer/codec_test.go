package peer

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"honeylock/internal/core/model"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/wire"
)

func newNames(shift int) *wire.Names {
	n := &wire.Names{Teams: wire.NewTable("t"), Types: wire.NewTable(), Zones: wire.NewTable(), Images: wire.NewTable(),
		Classes: wire.NewTable()}
	for range shift { // make the indices differ from those of the other process
		n.Types.ID("other")
		n.Zones.ID("elsewhere")
		n.Images.ID("old")
	}
	return n
}

// Each process has its own indices, so a name must be decoded to the same name, not to
// the same index.
func TestOrdersCarryNames(t *testing.T) {
	a, b := newNames(0), newNames(1)
	from, to := NewCodec(a), NewCodec(b)
	spec := &model.Spec{ID: 5, Class: a.Classes.ID("c"), Team: a.Teams.ID("t"), Image: a.Images.ID("img"),
		Rank: model.Urgent, Tasks: 3,
		PerTask: model.Request(2, 1, 4), Types: []model.Name{a.Types.ID("g8")}, Zone: a.Zones.ID("z"), Spread: true,
		Spot:     true,
		Estimate: time.Minute, CheckpointInterval: time.Second, CheckpointTime: 2 * time.Second, Deadline: time.Hour,
		SubmittedMS: 9}
	assignment := model.Assignment{Task: model.Task{Job: 5, Index: 2}, Spec: spec, Price: 300, Zone: spec.Zone,
		WaitingSince: 10 * time.Second, Machine: 8, Attempt: 99}
	for i := range 2 { // the job's description goes with its first task only
		p := from.Order(15*time.Second, &model.Order{Kind: model.AssignTask, Assignment: assignment}).GetOrder()
		if (p.Spec != nil) != (i == 0) {
			t.Fatalf("assignment %d: spec %v", i, p.Spec)
		}
		got, err := to.FromOrder(100*time.Second, p)
		if err != nil {
			t.Fatal(err)
		}
		want := assignment
		want.WaitingSince = 95 * time.Second // it has waited 5 s by either clock
		wantSpec := *spec
		wantSpec.Class, wantSpec.Team, wantSpec.Image = b.Classes.ID("c"), b.Teams.ID("t"), b.Images.ID("img")
		wantSpec.Types, wantSpec.Zone = []model.Name{b.Types.ID("g8")}, b.Zones.ID("z")
		want.Spec, want.Zone = &wantSpec, wantSpec.Zone
		if diff := cmp.Diff(want, got.Assignment); diff != "" {
			t.Fatal(diff)
		}
	}
}

func TestEventsAndStatusRoundTrip(t *testing.T) {
	a, b := newNames(0), newNames(1)
	task := model.Task{Job: 7, Index: 3}
	e := model.Event{Kind: model.AttemptFound, Machine: 4, Epoch: 1 << 33, Task: task, Attempt: 1 << 60,
		Status: model.AttemptStatus{Task: task, Attempt: 1 << 60, Stage: model.Exited, Cause: model.CauseDone},
		Cause:  model.CauseError, Token: 1 << 40, Held: true, Tasks: []model.Task{{Job: 1, Index: 2}},
		RunTime: 3 * time.Second, Placed: []model.PlacedTask{{Task: task, Stage: model.Saving, RunTime: time.Minute,
			Stopping: true, Adopted: true}}}
	got := NewCodec(b).FromEvent(NewCodec(a).Event(&e).GetEvent())
	if diff := cmp.Diff(e, got); diff != "" {
		t.Fatal(diff)
	}
	machines := []model.MachineStatus{{
		Machine: model.Machine{ID: 4}, Avail: model.Capacity(1, 2, 3), Ready: true, AttemptCount: 2,
		IdleSince: 8 * time.Second,
	}}
	machines[0].Avail.Attempts = 0
	jobs := map[model.JobID]model.TaskCounts{7: {Waiting: 1, Running: 2}}
	up := NewCodec(a).Status(10*time.Second, machines, jobs, 5).GetStatus()
	gotMachines, gotJobs := NewCodec(b).FromStatus(20*time.Second, up)
	machines[0].IdleSince = 18 * time.Second
	if diff := cmp.Diff(machines, gotMachines); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(jobs, gotJobs); diff != "" {
		t.Fatal(diff)
	}
	up.Machines[0].FreeAttempts = nil // of a release up to 0.9.1
	gotMachines, _ = NewCodec(b).FromStatus(20*time.Second, up)
	if free := gotMachines[0].Avail.Attempts; free != model.AttemptsPerMachine-2 {
		t.Errorf("%d attempts are free beside 2 in use", free)
	}
}

func TestQueueKeepsOrderAndFailsWhenFull(t *testing.T) {
	q := NewQueue()
	for i := range uint64(3) {
		q.Send(&peerpb.Up{Msg: &peerpb.Up_Ask{Ask: &peerpb.Ask{Seq: i}}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var buf bytes.Buffer
	if err := q.Run(ctx, &buf, func() error { cancel(); return nil }); err == nil {
		t.Fatal("Run ended without an error")
	}
	r := NewReader(&buf)
	for i := range uint64(3) {
		var m peerpb.Up
		if err := r.Next(&m); err != nil || m.GetAsk().GetSeq() != i {
			t.Fatalf("message %d: %v %v", i, &m, err)
		}
	}
	q = NewQueue()
	for range 20_001 {
		q.Send(&peerpb.Up{})
	}
	if err := q.Run(context.Background(), &buf, nil); err == nil {
		t.Fatal("Run did not fail on a full queue")
	}
}

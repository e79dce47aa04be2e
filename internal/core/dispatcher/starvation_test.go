package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// A job that waits too long to begin is dealt before all else, whatever its rank, and the
// shards are told, again and again until it has begun.
func TestAJobThatShouldHaveBegunIsDealtFirst(t *testing.T) {
	r := newRig(t, 1000)
	r.d.p.StartWithin = 60 * time.Second
	r.d.p.DispatchAhead = 1
	a := r.d.AddShard(0, "a")
	r.machine(0, 1, a)
	low := r.job(1, 2, false)
	low.Rank, low.BestEffort = model.Idle, true
	r.d.jobs[1].rank = model.Idle
	r.d.Dispatch(time.Second)
	urgent := &model.Spec{ID: 2, Tasks: 50, PerTask: model.Request(2, 0, 1), Rank: model.Prod, Zone: model.None, Spot: true}
	r.d.AddJob(10*time.Second, urgent, 9, 0, false)
	r.status(61*time.Second, a, 1)
	r.d.Dispatch(61 * time.Second)
	orders := r.d.TakeOrders()
	var first model.JobID
	told := 0
	for _, o := range orders {
		if o.Kind == model.ExpediteJob && o.Job == 1 {
			told++
		}
		if o.Kind == model.AssignTask && first == 0 {
			first = o.Assignment.Task.Job
		}
	}
	if told != 1 || first != 1 {
		t.Fatalf("told %d times, job %d dealt first", told, first)
	}
	again := func(now time.Duration) (n int) {
		r.d.Dispatch(now)
		for _, o := range r.orders(model.ExpediteJob) {
			if o.Job == 1 {
				n++
			}
		}
		return n
	}
	if n := again(72 * time.Second); n != 1 {
		t.Errorf("told %d times more after 11 s", n)
	}
	r.d.UpdateStatus(73*time.Second, a, nil, map[model.JobID]model.TaskCounts{1: {Running: 1}}, r.d.AssignmentsSent(a))
	if n := again(90 * time.Second); n != 0 || r.d.jobs[1].late {
		t.Error("told once more though it has begun")
	}
}

// A job whose tasks have to share a zone was dealt only where there was room, which what
// is dealt ahead of others always took first.
func TestAPinnedJobBeginsWithoutRoom(t *testing.T) {
	r := newRig(t, 1000)
	r.d.p.StartWithin = 60 * time.Second
	a := r.d.AddShard(0, "a")
	r.machine(0, 1, a)
	r.d.UpdateStatus(0, a, []model.MachineStatus{{Machine: model.Machine{ID: 1}, Ready: true}}, nil, 0) // full
	r.job(1, 3, false).SameZone = true
	r.d.Dispatch(59 * time.Second)
	if n := len(r.orders(model.AssignTask)); n != 0 {
		t.Fatalf("%d dealt without room", n)
	}
	r.d.Dispatch(61 * time.Second)
	if g := r.orders(model.AssignTask); len(g) != 1 || g[0].Assignment.Zone != 0 {
		t.Fatalf("%+v, want one task, pinned to the zone", g)
	}
	r.d.Dispatch(63 * time.Second)
	if n := len(r.orders(model.AssignTask)); n != 0 {
		t.Fatalf("%d more dealt", n)
	}
}

package forecast

import (
	"runtime"
	"testing"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
	"honeylock/internal/core/shard"
	"honeylock/internal/wire"
)

// params returns settings for one run.
func params() Params {
	return Params{Runs: 1, Step: time.Second, MaxDuration: time.Hour, PatchTime: time.Minute, Seed: 1}
}

// exactFactor is a RunTimeFactor of exact estimates.
func exactFactor(model.Name, float64) float64 { return 1 }

// snapshot returns a cluster of machines with 8 CPUs.
func snapshot(machines int) *Snapshot {
	s := &Snapshot{Now: time.Hour, Wall: time.Date(2026, 11, 26, 12, 0, 0, 0, time.UTC), RunTimeFactor: exactFactor,
		Teams:    []dispatcher.Team{{Guarantee: model.Capacity(1e6, 0, 0), Limit: model.Capacity(1e6, 0, 0)}},
		JobName:  wire.JobName,
		BootTime: func(model.Name) time.Duration { return 10 * time.Second },
		Shard:    shard.Params{VictimSample: 2, PaybackLimit: time.Minute, DemotionStep: 2}}
	for id := range machines {
		s.Machines = append(s.Machines, Machine{Machine: model.Machine{ID: model.MachineID(id + 1),
			Cap: model.Capacity(8, 0, 32), FetchRate: 0.5},
			Usable: true})
	}
	return s
}

// addJob adds a job with a running task of 2 CPUs for each machine in on, and further waiting tasks.
func (s *Snapshot) addJob(spec model.Spec, waiting int, ran time.Duration, on ...int) *model.Spec {
	spec.PerTask, spec.Zone, spec.Tasks = model.Request(2, 0, 1), model.None, int32(len(on)+waiting)
	spec.SubmittedMS = s.Wall.UnixMilli()
	for i, m := range on {
		s.Machines[m-1].Tasks = append(s.Machines[m-1].Tasks,
			model.PlacedTask{Task: model.Task{Job: spec.ID, Index: int32(i)}, Stage: model.Running, RunTime: ran})
	}
	s.Jobs = append(s.Jobs, Job{Spec: &spec, UnfinishedTasks: int(spec.Tasks), WaitingSince: s.Now})
	return &spec
}

// forecast returns the result of a complete forecast of a plan.
func (s *Snapshot) forecast(t testing.TB, p Params, spec drain.Spec) *Result {
	t.Helper()
	spec.Name = "p"
	if spec.MaxConcurrent == 0 {
		spec.MaxConcurrent = 1
	}
	f := New(p, s, &spec, func(e *drain.Engine, now time.Duration, wall time.Time) error {
		e.Apply(now, wall, &spec, nil, "")
		return nil
	})
	for !f.Advance() {
	}
	if f.Err() != nil || f.Progress() != 1 {
		t.Fatal(f.Err(), f.Progress())
	}
	return f.Result()
}

// wantNear checks a duration with a tolerance.
func wantNear(t *testing.T, what string, got, want, tolerance time.Duration) {
	t.Helper()
	if got < want-tolerance || got > want+tolerance {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// Tasks that move without checkpoints start over and fetch their image again. Tasks with checkpoints
// only fetch it again, and tasks that run to their end lose nothing.
func TestDelayReasons(t *testing.T) {
	ids := []model.MachineID{1}
	for name, c := range map[string]struct {
		how                drain.LeaveMode
		checkpointInterval time.Duration
		image              float64
		delay              time.Duration
		reason             string
	}{
		"finish":            {drain.Finish, 0, 0, 0, ""},
		"move":              {drain.Move, 0, 0, 100 * time.Second, "loses progress"},
		"move and fetch":    {drain.Move, 30 * time.Second, 20, 40 * time.Second, "fetches its image again"},
		"move checkpointed": {drain.MoveSaved, 30 * time.Second, 20, 40 * time.Second, "fetches its image again"},
		"no checkpoints":    {drain.MoveSaved, 0, 20, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := snapshot(3)
			s.addJob(model.Spec{ID: 5, Estimate: 200 * time.Second, CheckpointInterval: c.checkpointInterval,
				ImageGB: c.image}, 0, 100*time.Second, 1)
			r := s.forecast(t, params(), drain.Spec{Machines: ids, Default: c.how})
			if c.delay == 0 {
				if len(r.Delayed) != 0 {
					t.Fatalf("%+v", r.Delayed)
				}
				wantNear(t, "the plan", r.Duration[1], 100*time.Second, 6*time.Second)
				return
			}
			if len(r.Delayed) != 1 || r.Delayed[0].Reason != c.reason {
				t.Fatalf("%+v, want one job that %s", r.Delayed, c.reason)
			}
			wantNear(t, "delay", r.Delayed[0].Delay[1], c.delay, 6*time.Second)
		})
	}
}

// The plan takes half of all machines, so the second half of the job's waiting tasks ends a round
// later.
func TestWaitingTasksAreDelayedByLessCapacity(t *testing.T) {
	s := snapshot(4)
	s.addJob(model.Spec{ID: 5, Estimate: 60 * time.Second, Deadline: 130 * time.Second}, 32, 0)
	s.addJob(model.Spec{ID: 6, Estimate: 10 * time.Second}, 0, 0, 1, 2, 3, 4)
	r := s.forecast(t, params(), drain.Spec{Machines: []model.MachineID{1, 2}, MaxConcurrent: 2})
	if len(r.Delayed) != 1 || r.Delayed[0].Spec.ID != 5 || r.Delayed[0].Reason != "waits for room" ||
		!r.Delayed[0].MissesDeadline {
		t.Fatalf("%+v", r.Delayed)
	}
	wantNear(t, "delay", r.Delayed[0].Delay[1], 120*time.Second, 62*time.Second)
}

// A plan with a window waits for the job that it would delay past the window; without the window it
// delays the job.
func TestWindowsAreObservedByThePlan(t *testing.T) {
	s := snapshot(2)
	s.addJob(model.Spec{ID: 5, Class: 3, Estimate: 8 * time.Minute}, 0, 4*time.Minute, 1, 1)
	w := drain.Window{Classes: []model.Name{3}, Clock: 12*time.Hour + 5*time.Minute, Location: time.UTC,
		Name: "the window"}
	r := s.forecast(t, params(), drain.Spec{Machines: []model.MachineID{1}, Windows: []drain.Window{w},
		Default: drain.Move})
	if len(r.Delayed) != 0 || r.Unfinished != "" {
		t.Errorf("%+v: the engine must block the step until the job is done", r)
	}
	// Without the window the same plan delays the job past it.
	r = s.forecast(t, params(), drain.Spec{Machines: []model.MachineID{1}, Default: drain.Move})
	if len(r.Delayed) != 1 || r.Delayed[0].Delay[1] < 3*time.Minute {
		t.Errorf("%+v", r.Delayed)
	}
}

// The result says what a plan waits for that does not end.
func TestPlanThatCannotEndIsReported(t *testing.T) {
	s := snapshot(2)
	s.Machines[0].Type = 7
	s.addJob(model.Spec{ID: 5, Daemon: true, Types: []model.Name{7}}, 0, 0, 1)
	p := params()
	p.MaxDuration = 2 * time.Minute
	if r := s.forecast(t, p, drain.Spec{Machines: []model.MachineID{1}}); r.Unfinished !=
		"no other machine could run job-000005" {
		t.Errorf("%+v", r)
	}
}

// The result names a team whose tasks within the guarantee would wait for capacity because of the
// plan.
func TestMissedGuaranteesAreReported(t *testing.T) {
	s := snapshot(2)
	s.Teams = append(s.Teams, dispatcher.Team{Limit: model.Capacity(1e6, 0, 0)})
	s.addJob(model.Spec{ID: 6, Team: 1, Estimate: 5 * time.Minute, Rank: model.Prod}, 0, 0, 2, 2, 2, 2)
	s.addJob(model.Spec{ID: 5, Estimate: 60 * time.Second}, 12, 0)
	w := drain.Spec{Machines: []model.MachineID{1}, Default: drain.Move}
	if r := s.forecast(t, params(), w); len(r.Guarantees) != 1 || r.Guarantees[0].Team != 0 ||
		r.Guarantees[0].With <= r.Guarantees[0].Without {
		t.Errorf("%+v", r.Guarantees)
	}
	s.Jobs = s.Jobs[:1]
	if r := s.forecast(t, params(), w); len(r.Guarantees) != 0 {
		t.Errorf("%+v without waiting tasks", r.Guarantees)
	}
}

// Tasks that a new leader finds running have already run for an unknown time. If a forecast took them
// as just started, the plan would take a whole run time too long.
func TestAdoptedTasksHaveUnknownRunTime(t *testing.T) {
	ends := func(adopted bool) time.Duration {
		s := snapshot(2)
		s.addJob(model.Spec{ID: 5, Estimate: 100 * time.Second}, 0, 0, 1, 1, 1)
		for i := range s.Machines[0].Tasks {
			s.Machines[0].Tasks[i].Adopted = adopted
		}
		p := params()
		p.Runs = 9
		return s.forecast(t, p, drain.Spec{Machines: []model.MachineID{1}}).Duration[1]
	}
	wantNear(t, "seen from the beginning", ends(false), 100*time.Second, 6*time.Second)
	wantNear(t, "adopted", ends(true), 75*time.Second, 22*time.Second)
}

// largestDeployment returns a cluster of the size of the largest known deployment.
func largestDeployment() *Snapshot {
	const machines, tasksEach, jobs = 1636, 24, 800
	s := snapshot(0)
	for id := range machines {
		s.Machines = append(s.Machines, Machine{Machine: model.Machine{ID: model.MachineID(id + 1),
			Cap: model.Capacity(64, 0, 256), FetchRate: 0.5},
			Usable: true})
	}
	on := make([][]int, jobs)
	for i := range machines * tasksEach {
		j := (i * 7919) % jobs
		on[j] = append(on[j], i%machines+1)
	}
	for j := range on {
		s.addJob(model.Spec{ID: model.JobID(j + 1), Class: model.Name(j % 5), Estimate: time.Duration(40+j%60) * time.Second,
			ImageGB:            1,
			CheckpointInterval: time.Duration(j%2) * 20 * time.Second}, 2, time.Duration(j%40)*time.Second, on[j]...)
	}
	s.RunTimeFactor = func(_ model.Name, quantile float64) float64 { return 0.5 + quantile }
	return s
}

// BenchmarkLargestDeployment forecasts a plan of 100 machines in a cluster of 1,636 machines with
// 40,864 tasks. The targets are 2 s of processor time, 40 MB, and 50 ms for the longest step.
func BenchmarkLargestDeployment(b *testing.B) {
	s := largestDeployment()
	for b.Loop() {
		var ids []model.MachineID
		for id := range 100 {
			ids = append(ids, model.MachineID(id*16+1))
		}
		spec := drain.Spec{Name: "p", Machines: ids, MaxConcurrent: 20, Default: drain.MoveSaved}
		f := New(params(), s, &spec, func(e *drain.Engine, now time.Duration, wall time.Time) error {
			e.Apply(now, wall, &spec, nil, "")
			return nil
		})
		var before, now runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		longest, most := time.Duration(0), uint64(0)
		for n, done := 0, false; !done; n++ {
			began := time.Now()
			done = f.Advance()
			longest = max(longest, time.Since(began))
			if n%100 == 1 {
				runtime.ReadMemStats(&now)
				most = max(most, now.HeapAlloc)
			}
		}
		b.ReportMetric(float64(longest.Milliseconds()), "ms/longest")
		b.ReportMetric(float64(most-before.HeapAlloc)/(1<<20), "MB")
		b.ReportMetric(float64(len(f.Result().Delayed)), "late")
	}
}

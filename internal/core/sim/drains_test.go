package sim

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"honeylock/internal/core/disruption"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
	"honeylock/internal/wire"
)

// drainManager runs the leader's drain plans, connected as internal/node does.
type drainManager struct {
	l       *leadership
	engine  *drain.Engine
	tracker *disruption.Tracker
}

// planSpecs are the specs of a run's plans by name, as a plan's source would give them.
type planSpecs map[string]*drain.Spec

// newDrains returns the drain manager of a new term.
func (l *leadership) newDrains() *drainManager {
	return &drainManager{l, drain.New(drain.Params{Term: l.term, ReportInterval: l.c.w.params.reportInterval,
		RetryInterval: time.Second, MaxMachines: 200}),
		l.newTracker()}
}

// load takes over the stored plans and cordons their machines.
func (d *drainManager) load(now time.Duration, stored map[string]drain.StoredPlan) {
	for _, s := range stored {
		d.engine.Load(now, s, func([]byte) (*drain.Spec, error) {
			spec := *d.l.c.w.plans[s.Name]
			spec.Machines = nil
			return &spec, nil
		})
	}
	for _, a := range d.engine.Cordons() {
		d.execute(a)
	}
}

// tick advances the plans with the current state of machines and jobs, and writes their progress to
// the store.
func (d *drainManager) tick(now time.Duration) {
	requestMove := d.moveRequester(now)
	if d.engine.Idle() {
		return
	}
	w := d.l.c.w
	v := &drain.View{Now: now, Wall: time.Unix(0, 0).Add(w.now), Machines: map[model.MachineID]drain.Machine{},
		Recovered: d.l.dispatcher.Recovered(), RequestMove: requestMove,
		RunTimeFactor: func(_ model.Name, p float64) float64 {
			return 0.5 +
				p
		}, BootTime: func(model.Name) time.Duration { return time.Second }, JobName: wire.JobName}
	for _, m := range w.workers {
		if !m.returned {
			v.Machines[m.ID] = drain.Machine{MachineStatus: model.MachineStatus{Machine: m.Machine}}
		}
	}
	d.l.dispatcher.ForEachMachine(func(st model.MachineStatus, reported bool) {
		v.Machines[st.Machine.ID] = drain.Machine{MachineStatus: st, Reported: reported}
	})
	for _, n := range d.l.dispatcher.Demand() {
		v.Jobs = append(v.Jobs, drain.Job{Spec: n.Spec, UnfinishedTasks: int(n.Unfinished),
			RunningTasks: d.l.dispatcher.TaskCounts(n.Spec.ID).Running})
	}
	for _, a := range d.engine.Tick(v) {
		d.execute(a)
	}
	for _, wr := range d.engine.Writes(4) {
		d.l.c.storeTxn(func() any { return w.store.writePlan(d.l.leaderVersion, wr) }, func(r any) {
			o, answered := r.(writeResult)
			d.engine.WriteDone(wr, o.revision, o.ok, answered && o.conflict, o.revision)
		})
	}
}

// writePlan applies a plan's write if the writer still leads and the record has the expected version.
func (s *store) writePlan(guard uint64, w drain.Write) writeResult {
	s.expireLeases()
	if !s.leader.Present || s.leader.Version != guard {
		return writeResult{}
	}
	if v := s.plans[w.Name].Version; v != w.Version {
		return writeResult{revision: v, conflict: true}
	}
	s.revision++
	s.plans[w.Name] = drain.StoredPlan{Name: w.Name, Value: w.Value, Version: s.revision}
	return writeResult{revision: s.revision, ok: true}
}

// execute carries out an action of a plan.
func (d *drainManager) execute(a drain.Action) {
	l := d.l
	w := l.c.w
	switch a.Kind {
	case drain.Cordon, drain.Uncordon:
		l.dispatcher.SetCordoned(a.Machine, a.Kind == drain.Cordon)
	case drain.ListTasks:
		l.dispatcher.InspectMachine(a.Machine, a.Seq)
	case drain.Recall:
		w.recalledTasks++
		w.checkBudget(a)
		l.dispatcher.RecallFrom(a.Machine, a.Task)
	case drain.Rent: // no machine is available: these plans rent none
		d.engine.MachineRented(l.c.now(), a, nil, true)
	case drain.ReturnMachine:
		l.c.storeCall(func() any { w.returnMachine(a.Machine); return true }, func(r any) {
			ok, _ := r.(bool)
			if l.c.leadership == l && ok {
				l.dispatcher.MachineGone(a.Machine)
			}
			d.engine.MachineReturned(l.c.now(), a.Machine, ok)
		})
	}
}

// returnMachine returns a machine to the cloud for good. Without faults, no task may be on it.
func (w *world) returnMachine(id model.MachineID) {
	m := w.workers[id]
	if m.returned {
		return
	}
	for k, at := range m.attempts {
		if at.Stage != model.Exited && !w.params.faults {
			w.fail("drain", "%s is returned with %v on it", m.host, k.task)
		}
	}
	m.returned, m.attempts = true, map[attemptKey]*attempt{}
	w.returnedMachines++
}

// runOperator acts on the plans every few seconds; it cancels all plans in the last third of the run.
func (w *world) runOperator(n int) {
	ending := w.now > w.params.duration*2/3
	w.after(w.randomDuration(time.Second, 12*time.Second), func() { w.runOperator(n + 1) })
	for _, c := range w.controllers {
		if c.running && !c.paused() && c.leadership != nil && c.leadership.loaded {
			if e := c.leadership.drains.engine; ending {
				for name := range w.plans {
					_ = e.Cancel(c.now(), name)
				}
			} else {
				w.operatorAction(e, c.now(), n)
			}
			return
		}
	}
}

// operatorAction pauses, resumes, cancels or patches a random plan, or applies a new one.
func (w *world) operatorAction(e *drain.Engine, now time.Duration, n int) {
	names := make([]string, 0, len(w.plans))
	for name := range w.plans {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) > 0 && w.rng.IntN(3) > 0 {
		name := names[w.rng.IntN(len(names))]
		switch w.rng.IntN(8) {
		case 0:
			_ = e.Pause(name)
		case 1, 2:
			_ = e.Resume(name)
		case 3:
			_ = e.Cancel(now, name)
		default:
			for _, id := range w.plans[name].Machines {
				_ = e.Patched(now, name, id, "it")
			}
		}
		return
	}
	s := &drain.Spec{Name: fmt.Sprintf("p%d", n), MaxConcurrent: 1 + w.rng.IntN(3),
		Default:   drain.LeaveMode(w.rng.IntN(3)),
		WhenEmpty: drain.Patch}
	for _, m := range w.workers {
		if !m.returned && w.rng.IntN(3) == 0 {
			s.Machines = append(s.Machines, m.ID)
		}
	}
	if w.rng.IntN(4) == 0 && w.returnedMachines < len(w.workers)/4 {
		s.WhenEmpty = drain.Return
		s.Machines = s.Machines[:min(1, len(s.Machines))]
	}
	if e.Check(s, nil, func(id model.MachineID) string { return fmt.Sprint(id) }) == nil {
		w.plans[s.Name] = s
		e.Apply(now, time.Unix(0, 0).Add(w.now), s, nil, "op")
		w.logf("plan %s: machines %v, %d concurrent, how %d, after %d", s.Name, s.Machines, s.MaxConcurrent,
			s.Default, s.WhenEmpty)
	}
}

// withDrains adds drain plans.
func withDrains(p params) params {
	p.drains = true
	return p
}

// TestRulesHoldWhileMachinesAreDrained runs random simulations with drain plans and faults: a moved
// task must not run twice, nor count twice against its team's limit.
func TestRulesHoldWhileMachinesAreDrained(t *testing.T) {
	t.Parallel()
	var moved, given atomic.Int64
	t.Cleanup(func() {
		if !t.Failed() && (moved.Load() < 100 || given.Load() < 10) {
			t.Errorf("only %d tasks were moved and %d machines returned: these runs test nothing", moved.Load(), given.Load())
		}
	})
	for name, p := range map[string]params{"short lease": withDrains(shortLeaseParams()),
		"long lease": withDrains(longLeaseParams())} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(seed+500, p)
				w.run()
				moved.Add(int64(w.recalledTasks))
				given.Add(int64(w.returnedMachines))
				if len(w.violations) > 0 {
					t.Fatalf("%s\n%s", strings.Join(w.violations, "\n"), strings.Join(w.log, "\n"))
				}
			})
		}
	}
}

// TestDrainsWithoutFaultsLoseNothing checks that without faults no task is on a machine that is
// returned, and that all jobs end.
func TestDrainsWithoutFaultsLoseNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		p := withDrains(shortLeaseParams())
		p.faults = false
		p.quietPeriod = time.Minute // the last tasks may have started late
		w := newWorld(seed+900, p)
		w.run()
		if len(w.violations) > 0 {
			t.Fatal(strings.Join(w.violations, "\n"))
		}
		for id, u := range w.users {
			if u.accepted && u.finalStage == "" {
				t.Errorf("seed %d: job %d has not ended", seed, id)
			}
		}
	}
}

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

// drains is the leader's engine of drain plans, wired as the node wires it.
type drains struct {
	l    *lead
	e    *drain.Engine
	book *disruption.Tracker
}

// plans are the specs of a day's plans by name: what a plan's source would say.
type plans map[string]*drain.Spec

func (l *lead) newDrains() *drains {
	return &drains{l, drain.New(drain.Params{Term: l.term, ReportInterval: l.c.w.p.report, RetryInterval: time.Second, MaxMachines: 200}),
		l.newBook()}
}

func (x *drains) load(now time.Duration, stored map[string]drain.StoredPlan) {
	for _, s := range stored {
		x.e.Load(now, s, func([]byte) (*drain.Spec, error) {
			c := *x.l.c.w.plans[s.Name]
			c.Machines = nil
			return &c, nil
		})
	}
	for _, a := range x.e.Cordons() {
		x.do(a)
	}
}

func (x *drains) tick(now time.Duration) {
	draw := x.disrupt(now)
	if x.e.Idle() {
		return
	}
	w := x.l.c.w
	v := &drain.View{Now: now, Wall: time.Unix(0, 0).Add(w.now), Machines: map[model.MachineID]drain.Machine{},
		Recovered: x.l.d.Recovered(), RequestMove: draw,
		RunTimeFactor: func(_ model.Name, p float64) float64 {
			return 0.5 +
				p
		}, BootTime: func(model.Name) time.Duration { return time.Second }, JobName: wire.JobName}
	for _, m := range w.workers {
		if !m.dead {
			v.Machines[m.ID] = drain.Machine{MachineStatus: model.MachineStatus{Machine: m.Machine}}
		}
	}
	x.l.d.ForEachMachine(func(st model.MachineStatus, told bool) {
		v.Machines[st.Machine.ID] = drain.Machine{MachineStatus: st, Reported: told}
	})
	for _, n := range x.l.d.Demand() {
		v.Jobs = append(v.Jobs, drain.Job{Spec: n.Spec, UnfinishedTasks: int(n.Unfinished), RunningTasks: x.l.d.TaskCounts(n.Spec.ID).Running})
	}
	for _, a := range x.e.Tick(v) {
		x.do(a)
	}
	for _, wr := range x.e.Writes(4) {
		x.l.c.storeTxn(func() any { return w.store.writePlan(x.l.guard, wr) }, func(r any) {
			o, answered := r.(written)
			x.e.WriteDone(wr, o.rev, o.ok, answered && o.lost, o.rev)
		})
	}
}

// writePlan applies a plan's write, guarded by the leader key's version and the
// record's own.
func (s *store) writePlan(guard uint64, w drain.Write) written {
	s.expire()
	if !s.leader.Present || s.leader.Version != guard {
		return written{}
	}
	if v := s.plans[w.Name].Version; v != w.Version {
		return written{rev: v, lost: true}
	}
	s.rev++
	s.plans[w.Name] = drain.StoredPlan{Name: w.Name, Value: w.Value, Version: s.rev}
	return written{rev: s.rev, ok: true}
}

func (x *drains) do(a drain.Action) {
	l := x.l
	w := l.c.w
	switch a.Kind {
	case drain.Cordon, drain.Uncordon:
		l.d.SetCordoned(a.Machine, a.Kind == drain.Cordon)
	case drain.ListTasks:
		l.d.InspectMachine(a.Machine, a.Seq)
	case drain.Recall:
		w.recalled++
		w.observe(a)
		l.d.RecallFrom(a.Machine, a.Task)
	case drain.Rent: // nothing to be had: plans of these days rent nothing
		x.e.MachineRented(l.c.now(), a, nil, true)
	case drain.ReturnMachine:
		l.c.storeCall(func() any { w.giveBack(a.Machine); return true }, func(r any) {
			ok, _ := r.(bool)
			if l.c.lead == l && ok {
				l.d.MachineGone(a.Machine)
			}
			x.e.MachineReturned(l.c.now(), a.Machine, ok)
		})
	}
}

// giveBack ends a machine for good.
func (w *world) giveBack(id model.MachineID) {
	m := w.workers[id]
	if m.dead {
		return
	}
	for k, at := range m.cells {
		if at.Stage != model.Exited && !w.p.faults {
			w.fail("drain", "%s is given back with %v on it", m.host, k.t)
		}
	}
	m.dead, m.cells = true, map[key]*attempt{}
	w.given++
}

// operator applies plans at random, pauses, cancels and patches.
func (w *world) operator(n int) {
	over := w.now > w.p.length*2/3
	w.after(w.between(time.Second, 12*time.Second), func() { w.operator(n + 1) })
	for _, c := range w.ctls {
		if c.up && !c.halted() && c.lead != nil && c.lead.loaded {
			if e := c.lead.drains.e; over {
				for name := range w.plans {
					_ = e.Cancel(c.now(), name)
				}
			} else {
				w.operate(e, c.now(), n)
			}
			return
		}
	}
}

func (w *world) operate(e *drain.Engine, now time.Duration, n int) {
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
	s := &drain.Spec{Name: fmt.Sprintf("p%d", n), MaxConcurrent: 1 + w.rng.IntN(3), Default: drain.How(w.rng.IntN(3)),
		After: drain.Patch}
	for _, m := range w.workers {
		if !m.dead && w.rng.IntN(3) == 0 {
			s.Machines = append(s.Machines, m.ID)
		}
	}
	if w.rng.IntN(4) == 0 && w.given < len(w.workers)/4 {
		s.After = drain.Return
		s.Machines = s.Machines[:min(1, len(s.Machines))]
	}
	if e.Check(s, nil, func(id model.MachineID) string { return fmt.Sprint(id) }) == nil {
		w.plans[s.Name] = s
		e.Apply(now, time.Unix(0, 0).Add(w.now), s, nil, "op")
		w.note("plan %s: machines %v, %d at once, how %d, after %d", s.Name, s.Machines, s.MaxConcurrent, s.Default, s.After)
	}
}

func drained(p params) params {
	p.drains = true
	return p
}

// TestRulesHoldWhileMachinesAreDrained plays random days of plans with every kind
// of failure: a moved task must not run twice, nor count double.
func TestRulesHoldWhileMachinesAreDrained(t *testing.T) {
	t.Parallel()
	var moved, given atomic.Int64
	t.Cleanup(func() {
		if !t.Failed() && (moved.Load() < 100 || given.Load() < 10) {
			t.Errorf("%d tasks moved, %d machines given back: these days test nothing", moved.Load(), given.Load())
		}
	})
	for name, p := range map[string]params{"short lease": drained(almatyLike()), "long lease": drained(longLease())} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(seed+500, p)
				w.run()
				moved.Add(int64(w.recalled))
				given.Add(int64(w.given))
				if len(w.broken) > 0 {
					t.Fatalf("%s\n%s", strings.Join(w.broken, "\n"), strings.Join(w.log, "\n"))
				}
			})
		}
	}
}

// TestQuietDrainsLoseNothing: without failures no task is on a machine that is
// given back, all plans settle, and all jobs end.
func TestQuietDrainsLoseNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		p := drained(almatyLike())
		p.faults = false
		p.rest = time.Minute // the last tasks may have begun late
		w := newWorld(seed+900, p)
		w.run()
		if len(w.broken) > 0 {
			t.Fatal(strings.Join(w.broken, "\n"))
		}
		for id, u := range w.users {
			if u.accepted && u.ended == "" {
				t.Errorf("seed %d: job %d has not ended", seed, id)
			}
		}
	}
}

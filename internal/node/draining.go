package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/config"
	"honeylock/internal/core/audit"
	"honeylock/internal/core/disruption"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/fleet"
	"honeylock/internal/core/model"
	"honeylock/internal/core/quota"
	"honeylock/internal/core/rollout"
	"honeylock/internal/core/runtimes"
	"honeylock/internal/core/writequota"
	"honeylock/internal/planfile"
	"honeylock/internal/wire"
)

// Keys of what operators have declared and changed.
const (
	planKeys  = "ops/plan/"
	auditKeys = "ops/audit/"
)

// learnFrom is how many reports a task must be estimated to last, for its run time
// to be learnt from.
const learnFrom = 5

// auditSlots are the operators' changes that are kept.
const auditSlots = 256

// draining is the leader's part that empties machines, for operators' plans and
// for their price, and keeps the record of what operators change.
type draining struct {
	l      *leadership
	e      *drain.Engine
	audit  *audit.Log
	learnt *runtimes.Estimator
	book   *disruption.Tracker // of budgets of disruption, nil: there are none
	teams  *quota.Overrides    // what operators changed about teams
	fares  *rollout.Evaluator  // how tasks fare on machines, nil: no plan has a gate
	ticked time.Duration
	ahead  foresight
}

func (l *leadership) newDraining() *draining {
	c := &l.n.cfg.Cluster
	// A step takes three bytes as base64 for its number, two for its state.
	most := int(c.State.ValueKB*1024-2*planfile.MaxSource) / 5
	value := 0
	if c.ValueKB() < c.State.ValueKB {
		value = int(c.ValueKB() * 1024)
	}
	return &draining{l: l, audit: audit.New(auditSlots), learnt: runtimes.New(), book: l.n.newBook(),
		teams: quota.New(l.n.teams()), e: drain.New(drain.Params{
			Term: l.term, ReportInterval: config.Seconds(c.Workers.ReportS), RetryInterval: rentProbe, MaxMachines: max(1, most), MaxRecordBytes: value})}
}

// read gets the stored plans and the audit record, where there is an operators'
// door: without one there are none.
func (p *draining) read(ctx context.Context) (func(time.Duration) error, error) {
	var plans []drain.StoredPlan
	var entries []audit.Entry
	var teams []storedTeam
	if p.l.n.set.Operator != nil {
		if _, err := p.l.n.state.List(ctx, planKeys, func(it *wire.Item) error {
			plans = append(plans, drain.StoredPlan{Name: strings.TrimPrefix(it.Key, planKeys), Value: it.Value, Version: it.Version})
			return nil
		}); err != nil {
			return nil, err
		}
		if _, err := p.l.n.state.List(ctx, auditKeys, func(it *wire.Item) error {
			var e audit.Entry
			if err := json.Unmarshal(it.Value, &e); err != nil {
				p.l.n.log.Error("audit record unreadable", "key", it.Key, "err", err)
				return nil
			}
			entries = append(entries, e)
			return nil
		}); err != nil {
			return nil, err
		}
		var err error
		if teams, err = p.readTeams(ctx); err != nil {
			return nil, err
		}
	}
	return func(now time.Duration) error {
		for _, s := range plans {
			p.e.Load(now, s, p.resolve)
		}
		for _, e := range entries {
			p.audit.Load(e)
		}
		for _, t := range teams {
			p.teams.Load(t.team, t.value, t.version)
		}
		p.limit()
		for _, a := range p.e.Cordons() {
			p.do(now, a)
		}
		return nil
	}, nil
}

// resolve turns a stored plan into the cores' terms.
func (p *draining) resolve(source []byte) (*drain.Spec, error) {
	pb, err := planfile.Decode(source)
	if err != nil {
		return nil, err
	}
	return planfile.Spec(pb, p.l.n.names), nil
}

// run has nothing to follow.
func (p *draining) run() {}

// tick moves what is being drained on.
func (p *draining) tick(now time.Duration) {
	if now-p.ticked < 500*time.Millisecond {
		return
	}
	p.ticked = now
	draw := p.disrupt(now)
	p.limit()
	if p.e.Idle() {
		return
	}
	var empty []model.MachineID
	v := p.view(now)
	v.RequestMove = draw
	if !p.e.HasGate() {
		p.fares = nil
	} else if p.fares == nil {
		p.fares = rollout.New()
	}
	for _, a := range p.e.Tick(v) {
		if a.Kind == drain.ReturnMachine {
			empty = append(empty, a.Machine)
			continue
		}
		p.do(now, a)
	}
	p.give(now, empty)
	p.l.rents.f.SetDrainPlans(p.e.MachinePlans()) // after: with the last plan's end nothing is held
	p.l.n.soon()
}

// do carries out what the engine asks for.
func (p *draining) do(now time.Duration, a drain.Action) {
	l := p.l
	switch a.Kind {
	case drain.Cordon, drain.Uncordon:
		l.d.SetCordoned(a.Machine, a.Kind == drain.Cordon)
		l.n.log.Info("machine drained or wanted again", "machine", wire.MachineName(a.Machine), "drained",
			a.Kind == drain.Cordon)
	case drain.ListTasks:
		l.d.InspectMachine(a.Machine, a.Seq)
	case drain.Recall:
		l.d.RecallFrom(a.Machine, a.Task)
	case drain.Rent:
		go p.rent(a, a.Template)
	}
}

// give returns empty machines in one call; one is under way at a time, and the
// cloud takes only so many: the engine asks again for the rest.
func (p *draining) give(now time.Duration, ids []model.MachineID) {
	if len(ids) == 0 {
		return
	}
	some := ids[:min(len(ids), fleet.MaxReturn)]
	if !p.l.rents.f.BeginReturn(some) {
		some = nil
	}
	for _, id := range ids[len(some):] {
		p.e.MachineReturned(now, id, false)
	}
	if some == nil {
		return
	}
	go p.l.rents.giveBack(fleet.Action{Kind: fleet.Return, Machines: some}, func(now time.Duration, ok bool) {
		for _, id := range some {
			p.e.MachineReturned(now, id, ok)
		}
	})
}

// rent asks the cloud for a machine like the one that is to go.
func (p *draining) rent(a drain.Action, like model.Machine) {
	got, refused, _ := p.l.rents.ask(a.Request, like, 1)
	p.l.n.mu.Lock()
	defer p.l.n.mu.Unlock()
	now := p.l.n.now()
	p.l.rents.f.AddRented(now, got, like)
	p.e.MachineRented(now, a, got, refused)
}

// hear takes what shards tell.
func (p *draining) hear(now time.Duration, e *model.Event) {
	if p.book.Enabled() {
		if sp := p.l.d.Spec(e.Task.Job); sp != nil {
			p.book.HandleEvent(now, e, sp)
		}
	}
	if p.fares != nil {
		p.fare(e)
	}
	switch e.Kind {
	case model.MachineInspected:
		if p.ahead.heard(e) {
			return
		}
		p.e.TasksListed(now, e.Machine, e.Token, e.Placed, p.l.d.Spec)
	case model.TaskFinished:
		if p.l.n.set.Operator == nil {
			return
		}
		// How long it ran is seen from reports: of short tasks that tells little.
		sp := p.l.d.Spec(e.Task.Job)
		if sp != nil && sp.Estimate >= learnFrom*config.Seconds(p.l.n.cfg.Cluster.Workers.ReportS) {
			p.learnt.Add(sp.Class, sp.Estimate, e.RunTime)
		}
	}
}

// fare takes how a task ended on a machine.
func (p *draining) fare(e *model.Event) {
	switch sp := p.l.d.Spec(e.Task.Job); {
	case sp == nil || sp.Daemon:
	case e.Kind == model.TaskFinished:
		ran := e.RunTime
		if sp.Estimate < learnFrom*config.Seconds(p.l.n.cfg.Cluster.Workers.ReportS) {
			ran = 0 // of short tasks reports tell too little
		}
		p.fares.AddCompleted(e.Machine, sp.Class, sp.Estimate, ran)
	case e.Kind == model.TaskReturned && e.Cause == model.CauseError && !p.l.d.IsJobBroken(e.Task.Job):
		p.fares.AddFailed(e.Machine)
	}
}

// view is the present for the engine.
func (p *draining) view(now time.Duration) *drain.View {
	l := p.l
	v := &drain.View{Now: now, Wall: time.Now(), Machines: map[model.MachineID]drain.Machine{}, UnusedGuaranteeCPU: l.d.UnusedGuarantees(),
		RunTimeFactor: p.learnt.Factor, BootTime: l.rents.f.BootTime, JobName: wire.JobName}
	listed := l.rents.f.ForEachMachine(now, func(m model.Machine, since time.Duration) {
		v.Machines[m.ID] = drain.Machine{MachineStatus: model.MachineStatus{Machine: m}, KnownSince: since}
	})
	l.d.ForEachMachine(func(st model.MachineStatus, told bool) {
		v.Machines[st.Machine.ID] = drain.Machine{MachineStatus: st, Reported: told, KnownSince: v.Machines[st.Machine.ID].KnownSince}
	})
	if p.fares != nil {
		v.EvaluateGate = p.fares.Evaluate
	}
	v.Recovered = listed && l.d.Recovered()
	for _, need := range l.d.Demand() {
		v.Jobs = append(v.Jobs, drain.Job{Spec: need.Spec, UnfinishedTasks: int(need.Unfinished), RunningTasks: l.d.TaskCounts(need.Spec.ID).Running})
	}
	return v
}

// writes are the plans that have changed, each with the audit entries about it,
// and entries that stand alone.
func (p *draining) writes(now time.Duration, c writequota.Class, n int) []write {
	if c != writequota.OperatorRecords {
		return nil
	}
	var out []write
	most := max(1, min(3, p.l.n.cfg.Cluster.TxnOps()-1))
	busy := map[string]bool{}
	for _, w := range p.e.Writes(n) {
		busy[w.Name] = true
		out = append(out, p.planWrite(w, p.audit.Unstored(most, func(name string) bool { return name == w.Name })))
	}
	for _, w := range p.teams.Writes(n - len(out)) {
		about := teamEntry(p.l.n.names.Teams.Name(w.Team))
		busy[about] = true
		out = append(out, p.teamWrite(w, p.audit.Unstored(most, func(name string) bool { return name == about })))
	}
	alone := p.audit.Unstored(most, func(name string) bool { return !busy[name] && p.synced(name) })
	if len(alone) > 0 && len(out) < n {
		out = append(out, p.auditWrite(alone))
	}
	return out
}

// pending tells whether something is to be stored.
func (p *draining) pending() bool {
	return !p.e.AllSynced() || p.teams.HasPendingWrites() || len(p.audit.Unstored(1, func(string) bool { return true })) > 0
}

func (p *draining) planWrite(w drain.Write, about []*audit.Entry) write {
	return p.recordWrite(planKeys+w.Name, w.Value, w.Version, about, func(o outcome) {
		p.e.WriteDone(w, o.rev, o.err == nil, o.conflict, o.at)
	})
}

// recordWrite stores a record of operators' (nil: it goes) over that of a version, with
// the audit entries about it.
func (p *draining) recordWrite(key string, value []byte, version uint64, about []*audit.Entry,
	wrote func(outcome)) write {
	op := wire.Op{Put: key, Value: value}
	if value == nil {
		op = wire.Op{Delete: key}
	}
	out := p.auditWrite(about)
	out.guards = []wire.Guard{{Key: key, Version: version}}
	out.ops = append([]wire.Op{op}, out.ops...)
	entries := out.done
	out.done = func(now time.Duration, o outcome) {
		wrote(o)
		entries(now, o)
	}
	return out
}

// synced tells whether all that an audit entry's name stands for is surely stored.
func (p *draining) synced(name string) bool {
	team, of := strings.CutPrefix(name, teamEntry(""))
	if !of {
		return p.e.Synced(name)
	}
	id, ok := p.l.n.names.Teams.Lookup(team)
	return !ok || p.teams.Synced(id)
}

// auditWrite stores entries. One that is applied late can do no more harm than
// show an entry older than the newest 256 again.
func (p *draining) auditWrite(es []*audit.Entry) write {
	w := write{done: func(_ time.Duration, o outcome) {
		if o.err == nil {
			for _, e := range es {
				p.audit.MarkStored(e)
			}
		}
	}}
	for _, e := range es {
		w.ops = append(w.ops, wire.Op{Put: fmt.Sprintf("%s%03d", auditKeys, p.audit.Slot(e)), Value: encode(e)})
	}
	return w
}

var errRequest = errors.New("this request's id was used for something else")

// known is what became of a request that was made before, nil if it was not.
func (p *draining) known(c *Call) (*audit.Entry, error) {
	e := p.audit.ByRequest(c.Request)
	if e != nil && e.Digest != c.digest() {
		return nil, errRequest
	}
	return e, nil
}

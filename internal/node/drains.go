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
	planPrefix  = "ops/plan/"
	auditPrefix = "ops/audit/"
)

// minReportsToLearn is how many reports a task must be estimated to last, for its run time
// to be learnt from.
const minReportsToLearn = 5

// auditSlots are the operators' changes that are kept.
const auditSlots = 256

// drainManager is the leader's part that empties machines, for operators' plans and
// for their price, and keeps the record of what operators change.
type drainManager struct {
	lead          *leadership
	engine        *drain.Engine
	audit         *audit.Log
	runTimes      *runtimes.Estimator
	disruptions   *disruption.Tracker // of budgets of disruption, nil: there are none
	teamOverrides *quota.Overrides    // what operators changed about teams
	evaluator     *rollout.Evaluator  // how tasks fare on machines, nil: no plan has a gate
	lastTick      time.Duration
	forecasts     forecasts
}

func (l *leadership) newDrainManager() *drainManager {
	cluster := &l.node.cfg.Cluster
	// A step takes three bytes as base64 for its number, two for its state.
	maxSteps := int(cluster.State.ValueKB*1024-2*planfile.MaxSource) / 5
	maxRecordBytes := 0
	if cluster.ValueKB() < cluster.State.ValueKB {
		maxRecordBytes = int(cluster.ValueKB() * 1024)
	}
	return &drainManager{lead: l, audit: audit.New(auditSlots), runTimes: runtimes.New(),
		disruptions:   l.node.newDisruptionTracker(),
		teamOverrides: quota.New(l.node.teamLimits()), engine: drain.New(drain.Params{
			Term: l.term, ReportInterval: config.Seconds(cluster.Workers.ReportS), RetryInterval: rentRetryInterval,
			MaxMachines: max(1, maxSteps), MaxRecordBytes: maxRecordBytes})}
}

// read gets the stored plans and the audit record, where there is an operators'
// door: without one there are none.
func (dm *drainManager) read(ctx context.Context) (func(time.Duration) error, error) {
	var plans []drain.StoredPlan
	var entries []audit.Entry
	var teams []storedTeam
	if dm.lead.node.settings.Operator != nil {
		if _, err := dm.lead.node.state.List(ctx, planPrefix, func(item *wire.Item) error {
			plans = append(plans, drain.StoredPlan{Name: strings.TrimPrefix(item.Key, planPrefix), Value: item.Value,
				Version: item.Version})
			return nil
		}); err != nil {
			return nil, err
		}
		if _, err := dm.lead.node.state.List(ctx, auditPrefix, func(item *wire.Item) error {
			var e audit.Entry
			if err := json.Unmarshal(item.Value, &e); err != nil {
				dm.lead.node.log.Error("audit record unreadable", "key", item.Key, "err", err)
				return nil
			}
			entries = append(entries, e)
			return nil
		}); err != nil {
			return nil, err
		}
		var err error
		if teams, err = dm.readTeams(ctx); err != nil {
			return nil, err
		}
	}
	return func(now time.Duration) error {
		for _, s := range plans {
			dm.engine.Load(now, s, dm.decodePlan)
		}
		for _, e := range entries {
			dm.audit.Load(e)
		}
		for _, t := range teams {
			dm.teamOverrides.Load(t.team, t.value, t.version)
		}
		dm.applyTeamOverrides()
		for _, a := range dm.engine.Cordons() {
			dm.execute(now, a)
		}
		return nil
	}, nil
}

// decodePlan turns a stored plan into the cores' terms.
func (dm *drainManager) decodePlan(source []byte) (*drain.Spec, error) {
	pb, err := planfile.Decode(source)
	if err != nil {
		return nil, err
	}
	return planfile.Spec(pb, dm.lead.node.names), nil
}

// run has nothing to follow.
func (dm *drainManager) run() {}

// tick moves what is being drained on.
func (dm *drainManager) tick(now time.Duration) {
	if now-dm.lastTick < 500*time.Millisecond {
		return
	}
	dm.lastTick = now
	requestMove := dm.updateDisruptions(now)
	dm.applyTeamOverrides()
	if dm.engine.Idle() {
		return
	}
	var empty []model.MachineID
	view := dm.engineView(now)
	view.RequestMove = requestMove
	if !dm.engine.HasGate() {
		dm.evaluator = nil
	} else if dm.evaluator == nil {
		dm.evaluator = rollout.New()
	}
	for _, a := range dm.engine.Tick(view) {
		if a.Kind == drain.ReturnMachine {
			empty = append(empty, a.Machine)
			continue
		}
		dm.execute(now, a)
	}
	dm.returnMachines(now, empty)
	dm.lead.rentals.fleet.SetDrainPlans(dm.engine.MachinePlans()) // after: with the last plan's end nothing is held
	dm.lead.node.requestCycle()
}

// execute carries out what the engine asks for.
func (dm *drainManager) execute(now time.Duration, action drain.Action) {
	l := dm.lead
	switch action.Kind {
	case drain.Cordon, drain.Uncordon:
		l.dispatcher.SetCordoned(action.Machine, action.Kind == drain.Cordon)
		l.node.log.Info("machine drained or wanted again", "machine", wire.MachineName(action.Machine), "drained",
			action.Kind == drain.Cordon)
	case drain.ListTasks:
		l.dispatcher.InspectMachine(action.Machine, action.Seq)
	case drain.Recall:
		l.dispatcher.RecallFrom(action.Machine, action.Task)
	case drain.Rent:
		go dm.rentReplacement(action, action.Template)
	}
}

// returnMachines returns empty machines in one call; one is under way at a time, and the
// cloud takes only so many: the engine asks again for the rest.
func (dm *drainManager) returnMachines(now time.Duration, ids []model.MachineID) {
	if len(ids) == 0 {
		return
	}
	batch := ids[:min(len(ids), fleet.MaxReturn)]
	if !dm.lead.rentals.fleet.BeginReturn(batch) {
		batch = nil
	}
	for _, id := range ids[len(batch):] {
		dm.engine.MachineReturned(now, id, false)
	}
	if batch == nil {
		return
	}
	go dm.lead.rentals.returnMachines(fleet.Action{Kind: fleet.Return, Machines: batch}, func(now time.Duration, ok bool) {
		for _, id := range batch {
			dm.engine.MachineReturned(now, id, ok)
		}
	})
}

// rentReplacement asks the cloud for a machine like the one that is to go.
func (dm *drainManager) rentReplacement(action drain.Action, template model.Machine) {
	got, refused, _ := dm.lead.rentals.rentMachines(action.Request, template, 1)
	dm.lead.node.mu.Lock()
	defer dm.lead.node.mu.Unlock()
	now := dm.lead.node.now()
	dm.lead.rentals.fleet.AddRented(now, got, template)
	dm.engine.MachineRented(now, action, got, refused)
}

// handleEvent takes what shards tell.
func (dm *drainManager) handleEvent(now time.Duration, event *model.Event) {
	if dm.disruptions.Enabled() {
		if spec := dm.lead.dispatcher.Spec(event.Task.Job); spec != nil {
			dm.disruptions.HandleEvent(now, event, spec)
		}
	}
	if dm.evaluator != nil {
		dm.recordTaskOutcome(event)
	}
	switch event.Kind {
	case model.MachineInspected:
		if dm.forecasts.handleAnswer(event) {
			return
		}
		dm.engine.TasksListed(now, event.Machine, event.Token, event.Placed, dm.lead.dispatcher.Spec)
	case model.TaskFinished:
		if dm.lead.node.settings.Operator == nil {
			return
		}
		// How long it ran is seen from reports: of short tasks that tells little.
		spec := dm.lead.dispatcher.Spec(event.Task.Job)
		if spec != nil && spec.Estimate >= minReportsToLearn*config.Seconds(dm.lead.node.cfg.Cluster.Workers.ReportS) {
			dm.runTimes.Add(spec.Class, spec.Estimate, event.RunTime)
		}
	}
}

// recordTaskOutcome takes how a task ended on a machine.
func (dm *drainManager) recordTaskOutcome(event *model.Event) {
	switch spec := dm.lead.dispatcher.Spec(event.Task.Job); {
	case spec == nil || spec.Daemon:
	case event.Kind == model.TaskFinished:
		ran := event.RunTime
		if spec.Estimate < minReportsToLearn*config.Seconds(dm.lead.node.cfg.Cluster.Workers.ReportS) {
			ran = 0 // of short tasks reports tell too little
		}
		dm.evaluator.AddCompleted(event.Machine, spec.Class, spec.Estimate, ran)
	case event.Kind == model.TaskReturned && event.Cause == model.CauseError && !dm.lead.dispatcher.IsJobBroken(event.Task.Job):
		dm.evaluator.AddFailed(event.Machine)
	}
}

// engineView is the present for the engine.
func (dm *drainManager) engineView(now time.Duration) *drain.View {
	l := dm.lead
	view := &drain.View{Now: now, Wall: time.Now(), Machines: map[model.MachineID]drain.Machine{},
		UnusedGuaranteeCPU: l.dispatcher.UnusedGuarantees(),
		RunTimeFactor:      dm.runTimes.Factor, BootTime: l.rentals.fleet.BootTime, JobName: wire.JobName}
	listed := l.rentals.fleet.ForEachMachine(now, func(m model.Machine, since time.Duration) {
		view.Machines[m.ID] = drain.Machine{MachineStatus: model.MachineStatus{Machine: m}, KnownSince: since}
	})
	l.dispatcher.ForEachMachine(func(status model.MachineStatus, reported bool) {
		view.Machines[status.Machine.ID] = drain.Machine{MachineStatus: status, Reported: reported,
			KnownSince: view.Machines[status.Machine.ID].KnownSince}
	})
	if dm.evaluator != nil {
		view.EvaluateGate = dm.evaluator.Evaluate
	}
	view.Recovered = listed && l.dispatcher.Recovered()
	for _, demand := range l.dispatcher.Demand() {
		view.Jobs = append(view.Jobs, drain.Job{Spec: demand.Spec, UnfinishedTasks: int(demand.Unfinished),
			RunningTasks: l.dispatcher.TaskCounts(demand.Spec.ID).Running})
	}
	return view
}

// writes are the plans that have changed, each with the audit entries about it,
// and entries that stand alone.
func (dm *drainManager) writes(now time.Duration, class writequota.Class, maxWrites int) []storeWrite {
	if class != writequota.OperatorRecords {
		return nil
	}
	var out []storeWrite
	maxEntries := max(1, min(3, dm.lead.node.cfg.Cluster.TxnOps()-1))
	hasWrite := map[string]bool{}
	for _, w := range dm.engine.Writes(maxWrites) {
		hasWrite[w.Name] = true
		out = append(out, dm.planWrite(w, dm.audit.Unstored(maxEntries, func(name string) bool { return name == w.Name })))
	}
	for _, w := range dm.teamOverrides.Writes(maxWrites - len(out)) {
		auditName := teamAuditName(dm.lead.node.names.Teams.Name(w.Team))
		hasWrite[auditName] = true
		out = append(out, dm.teamWrite(w, dm.audit.Unstored(maxEntries, func(name string) bool { return name == auditName })))
	}
	standalone := dm.audit.Unstored(maxEntries, func(name string) bool { return !hasWrite[name] && dm.isStored(name) })
	if len(standalone) > 0 && len(out) < maxWrites {
		out = append(out, dm.auditWrite(standalone))
	}
	return out
}

// hasUnstored tells whether something is to be stored.
func (dm *drainManager) hasUnstored() bool {
	return !dm.engine.AllSynced() || dm.teamOverrides.HasPendingWrites() ||
		len(dm.audit.Unstored(1, func(string) bool { return true })) > 0
}

func (dm *drainManager) planWrite(w drain.Write, entries []*audit.Entry) storeWrite {
	return dm.recordWrite(planPrefix+w.Name, w.Value, w.Version, entries, func(o writeOutcome) {
		dm.engine.WriteDone(w, o.revision, o.err == nil, o.conflict, o.foundVersion)
	})
}

// recordWrite stores a record of operators' (nil: it goes) over that of a version, with
// the audit entries about it.
func (dm *drainManager) recordWrite(key string, value []byte, version uint64, about []*audit.Entry,
	onWritten func(writeOutcome)) storeWrite {
	op := wire.Op{Put: key, Value: value}
	if value == nil {
		op = wire.Op{Delete: key}
	}
	out := dm.auditWrite(about)
	out.guards = []wire.Guard{{Key: key, Version: version}}
	out.ops = append([]wire.Op{op}, out.ops...)
	entriesDone := out.onDone
	out.onDone = func(now time.Duration, o writeOutcome) {
		onWritten(o)
		entriesDone(now, o)
	}
	return out
}

// isStored tells whether all that an audit entry's name stands for is surely stored.
func (dm *drainManager) isStored(name string) bool {
	team, isTeam := strings.CutPrefix(name, teamAuditName(""))
	if !isTeam {
		return dm.engine.Synced(name)
	}
	id, ok := dm.lead.node.names.Teams.Lookup(team)
	return !ok || dm.teamOverrides.Synced(id)
}

// auditWrite stores entries. One that is applied late can do no more harm than
// show an entry older than the newest 256 again.
func (dm *drainManager) auditWrite(entries []*audit.Entry) storeWrite {
	w := storeWrite{onDone: func(_ time.Duration, o writeOutcome) {
		if o.err == nil {
			for _, e := range entries {
				dm.audit.MarkStored(e)
			}
		}
	}}
	for _, e := range entries {
		w.ops = append(w.ops, wire.Op{Put: fmt.Sprintf("%s%03d", auditPrefix, dm.audit.Slot(e)), Value: mustEncode(e)})
	}
	return w
}

var errRequestReused = errors.New("this request's id was used for something else")

// knownRequest is what became of a request that was made before, nil if it was not.
func (dm *drainManager) knownRequest(call *Call) (*audit.Entry, error) {
	entry := dm.audit.ByRequest(call.Request)
	if entry != nil && entry.Digest != call.digest() {
		return nil, errRequestReused
	}
	return entry, nil
}

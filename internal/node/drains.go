package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

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
	"honeylock/internal/exactjson"
	"honeylock/internal/planfile"
	"honeylock/internal/wire"
)

// Key prefixes in the state service of operators' plans and of the audit log.
const (
	planPrefix  = "ops/plan/"
	auditPrefix = "ops/audit/"
)

// minReportsToLearn is the shortest estimated run time, in worker report intervals, of a task
// whose run time is used for estimates. Run times are seen through reports only, so those of
// shorter tasks are too coarse.
const minReportsToLearn = 5

// auditSlots is the number of operators' changes that the audit log keeps, the newest ones.
const auditSlots = 256

// drainManager is the leader's component that drains machines, for operators' plans and to
// save cost, and that stores operators' changes and their audit log.
type drainManager struct {
	lead          *leadership
	engine        *drain.Engine
	audit         *audit.Log
	runTimes      *runtimes.Estimator
	disruptions   *disruption.Tracker // use of the disruption budgets; nil if none are configured
	teamOverrides *quota.Overrides    // operators' changes of teams' limits and guarantees
	evaluator     *rollout.Evaluator  // how tasks run on each machine; nil if no active plan has a gate
	lastTick      time.Duration
	forecasts     forecasts
}

// newDrainManager returns the component. The largest value that the state service stores limits how
// many machines a plan may have and how large its record may be.
func (l *leadership) newDrainManager() *drainManager {
	cluster := &l.node.cfg.Cluster
	// In base64, a step takes three bytes for its machine number and two for its state.
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

// read lists the stored plans, audit entries and team changes, and returns a function that
// loads them. Without an operators' endpoint in the settings nothing is read.
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
			if err := exactjson.Unmarshal(item.Value, &e); err != nil {
				dm.lead.node.log.Error("failed to decode an audit record", "key", item.Key, "err", err)
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

// decodePlan decodes a stored plan into the drain engine's spec.
func (dm *drainManager) decodePlan(source []byte) (*drain.Spec, error) {
	pb, err := planfile.Decode(source)
	if err != nil {
		return nil, err
	}
	return planfile.Spec(pb, dm.lead.node.names), nil
}

// run does nothing: this component watches no service.
func (dm *drainManager) run() {}

// tick advances all drains, at most twice a second.
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
	dm.lead.rentals.fleet.SetDrainPlans(dm.engine.MachinePlans()) // after the tick, which may have ended the last plan
	dm.lead.node.requestCycle()
}

// execute carries out an action of the engine other than returning a machine.
func (dm *drainManager) execute(now time.Duration, action drain.Action) {
	l := dm.lead
	switch action.Kind {
	case drain.Cordon, drain.Uncordon:
		l.dispatcher.SetCordoned(action.Machine, action.Kind == drain.Cordon)
		l.node.log.Info("machine cordoned or uncordoned", "machine", wire.MachineName(action.Machine), "drained",
			action.Kind == drain.Cordon)
	case drain.ListTasks:
		l.dispatcher.InspectMachine(action.Machine, action.Seq)
	case drain.Recall:
		l.dispatcher.RecallFrom(action.Machine, action.Task)
	case drain.Rent:
		go dm.rentReplacement(action, action.Template)
	}
}

// returnMachines returns empty machines to the cloud in one call. Only one such call runs at
// a time, and it takes at most fleet.MaxReturn machines. The others are reported to the engine
// as not returned, and it tries them again.
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

// rentReplacement rents a machine like the one that a plan drains, and passes the outcome to
// the engine.
func (dm *drainManager) rentReplacement(action drain.Action, template model.Machine) {
	got, refused, _ := dm.lead.rentals.rentMachines(action.Request, template, 1)
	dm.lead.node.mu.Lock()
	defer dm.lead.node.mu.Unlock()
	now := dm.lead.node.now()
	dm.lead.rentals.fleet.AddRented(now, got, template)
	dm.engine.MachineRented(now, action, got, refused)
}

// handleEvent updates the disruption budgets, gates, drains and run time estimates from a
// shard's event.
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
		// Run times are seen through reports, so those of short tasks are too coarse.
		spec := dm.lead.dispatcher.Spec(event.Task.Job)
		if spec != nil && spec.Estimate >= minReportsToLearn*config.Seconds(dm.lead.node.cfg.Cluster.Workers.ReportS) {
			dm.runTimes.Add(spec.Class, spec.Estimate, event.RunTime)
		}
	}
}

// recordTaskOutcome records for the gates how a task ended on a machine. Daemons never
// complete, and failures of a broken job say nothing about the machine.
func (dm *drainManager) recordTaskOutcome(event *model.Event) {
	switch spec := dm.lead.dispatcher.Spec(event.Task.Job); {
	case spec == nil || spec.Daemon:
	case event.Kind == model.TaskFinished:
		ran := event.RunTime
		if spec.Estimate < minReportsToLearn*config.Seconds(dm.lead.node.cfg.Cluster.Workers.ReportS) {
			ran = 0 // too coarse for short tasks
		}
		dm.evaluator.AddCompleted(event.Machine, spec.Class, spec.Estimate, ran)
	case event.Kind == model.TaskReturned && event.Cause == model.CauseError &&
		!dm.lead.dispatcher.IsJobBroken(event.Task.Job):
		dm.evaluator.AddFailed(event.Machine)
	}
}

// engineView returns the current machines and jobs as the engine needs them.
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

// writes returns at most maxWrites writes of this component's records: changed plans and
// teams, each with the audit entries about it, then audit entries whose record needs no write.
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

// hasUnstored reports whether a plan, a team change or an audit entry is not stored yet.
func (dm *drainManager) hasUnstored() bool {
	return !dm.engine.AllSynced() || dm.teamOverrides.HasPendingWrites() ||
		len(dm.audit.Unstored(1, func(string) bool { return true })) > 0
}

// planWrite returns the write of a plan's record with the audit entries about it.
func (dm *drainManager) planWrite(w drain.Write, entries []*audit.Entry) storeWrite {
	return dm.recordWrite(planPrefix+w.Name, w.Value, w.Version, entries, func(o writeOutcome) {
		dm.engine.WriteDone(w, o.revision, o.err == nil, o.conflict, o.foundVersion)
	})
}

// recordWrite returns a transaction that replaces the record at the given version (a nil value
// deletes it) and stores the audit entries about the change with it.
func (dm *drainManager) recordWrite(key string, value []byte, version uint64, entries []*audit.Entry,
	onWritten func(writeOutcome)) storeWrite {
	op := wire.Op{Put: key, Value: value}
	if value == nil {
		op = wire.Op{Delete: key}
	}
	out := dm.auditWrite(entries)
	out.guards = []wire.Guard{{Key: key, Version: version}}
	out.ops = append([]wire.Op{op}, out.ops...)
	entriesDone := out.onDone
	out.onDone = func(now time.Duration, o writeOutcome) {
		onWritten(o)
		entriesDone(now, o)
	}
	return out
}

// isStored reports whether the plan or team that an audit entry names is certainly stored in
// its current state.
func (dm *drainManager) isStored(name string) bool {
	team, isTeam := strings.CutPrefix(name, teamAuditName(""))
	if !isTeam {
		return dm.engine.Synced(name)
	}
	id, ok := dm.lead.node.names.Teams.Lookup(team)
	return !ok || dm.teamOverrides.Synced(id)
}

// auditWrite returns a write of audit entries. It needs no guards on versions: the worst effect of a
// delayed write is that an entry older than the newest auditSlots reappears.
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

// knownRequest returns the audit entry of an earlier call with the same request ID, nil if there
// was none. It fails if that call asked for a different change.
func (dm *drainManager) knownRequest(call *Call) (*audit.Entry, error) {
	entry := dm.audit.ByRequest(call.Request)
	if entry != nil && entry.Digest != call.digest() {
		return nil, errRequestReused
	}
	return entry, nil
}

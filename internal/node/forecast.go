package node

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/forecast"
	"honeylock/internal/core/model"
	"honeylock/internal/core/shard"
	"honeylock/internal/wire"
)

// forecasts holds the leader's forecasts. One runs at a time, and the newest are kept. They are
// not stored: after a change of leader they have to be requested again.
type forecasts struct {
	survey  *survey // of the forecast that is starting, nil if none is
	recent  []*forecastRun
	started uint64 // number of forecasts started, also their seed
}

const (
	maxKeptForecasts = 8
	// maxPartialDone is the highest progress reported for a forecast without a result, because
	// 1 means that the result is included.
	maxPartialDone = 0.99
)

// survey collects which tasks run on each machine, from the shards that own the machines.
type survey struct {
	seq     uint64                   // sequence number of the requests and of their answers
	pending map[model.MachineID]bool // machines without an answer yet
	tasks   map[model.MachineID][]model.PlacedTask
}

// surveySeqBase separates the sequence numbers of surveys from those that the drain engine uses
// when it lists a machine's tasks.
const surveySeqBase = 1 << 40

// handleAnswer records an answer to the survey. It returns false if the answer is to a request of
// the drain engine.
func (f *forecasts) handleAnswer(e *model.Event) bool {
	if e.Token < surveySeqBase {
		return false
	}
	if s := f.survey; s != nil && s.seq == e.Token {
		delete(s.pending, e.Machine)
		s.tasks[e.Machine] = e.Placed
	}
	return true
}

// forecastRun is a forecast that is running or complete.
type forecastRun struct {
	request, digest string             // of the call that started it
	forecast        *forecast.Forecast // nil during the survey and once it is complete
	spec            *drain.Spec
	result          *forecast.Result // nil until it is complete
	unreported      int              // machines whose owner did not answer the survey
	err             error
	done            float64 // progress, 0 to 1
}

// find returns the forecast that an earlier call with the same request ID and content started, nil if
// there is none.
func (f *forecasts) find(c *Call) *forecastRun {
	for _, run := range f.recent {
		if run.request == c.Request && run.digest == c.digest() {
			return run
		}
	}
	return nil
}

// running reports whether a forecast is running.
func (f *forecasts) running() bool {
	for _, run := range f.recent {
		if run.result == nil && run.err == nil {
			return true
		}
	}
	return false
}

var errForecastRunning = errors.New("another forecast is running: try again later")

// startForecast starts a forecast with a survey of all machines that have reported, or returns the
// one that was started with the same request ID.
func (dm *drainManager) startForecast(now time.Duration, c *Call) (*forecastRun, error) {
	if run := dm.forecasts.find(c); run != nil {
		return run, run.err
	}
	spec, startPlan, patchTime, err := dm.planToForecast(now, c)
	if err != nil {
		return nil, err
	}
	if dm.forecasts.running() {
		return nil, errForecastRunning
	}
	run := &forecastRun{request: c.Request, digest: c.digest(), spec: spec}
	dm.forecasts.recent = append(dm.forecasts.recent, run)
	if n := len(dm.forecasts.recent) - maxKeptForecasts; n > 0 {
		dm.forecasts.recent = dm.forecasts.recent[n:]
	}
	dm.forecasts.started++
	s := &survey{seq: surveySeqBase + dm.forecasts.started, pending: map[model.MachineID]bool{},
		tasks: map[model.MachineID][]model.PlacedTask{}}
	dm.forecasts.survey = s
	dm.lead.dispatcher.ForEachMachine(func(status model.MachineStatus, reported bool) {
		if reported {
			s.pending[status.Machine.ID] = true
		}
	})
	for id := range s.pending {
		dm.lead.dispatcher.InspectMachine(id, s.seq)
	}
	dm.lead.node.requestCycle()
	go dm.runForecast(run, s, startPlan, patchTime)
	return run, nil
}

// planToForecast returns the plan that a call asks to forecast: the one in the call, or one under way,
// which continues from its stored state. It also returns a function that starts the plan in the
// forecast's own engine, and the time that patching a machine takes.
func (dm *drainManager) planToForecast(now time.Duration,
	c *Call) (*drain.Spec, forecast.StartPlan, time.Duration, error) {
	if c.Verb == DrainForecast {
		stored, spec, err := dm.engine.Export(c.Name)
		if err != nil {
			return nil, nil, 0, err
		}
		return spec, func(e *drain.Engine, now time.Duration, _ time.Time) error {
			e.Load(now, stored, func([]byte) (*drain.Spec, error) { s := *spec; s.Machines = nil; return &s, nil })
			return nil
		}, defaultPatchTime, nil
	}
	declared, err := dm.parsePlan(now, c.Plan)
	if err != nil {
		return nil, nil, 0, err
	}
	if err := dm.engine.Check(declared.spec, declared.source, wire.MachineName); err != nil {
		return nil, nil, 0, err
	}
	patchTime := defaultPatchTime
	if declared.pb.PatchS != nil {
		patchTime = config.Seconds(declared.pb.GetPatchS())
	}
	return declared.spec, func(e *drain.Engine, now time.Duration, wall time.Time) error {
		e.Apply(now, wall, declared.spec, nil, "")
		return nil
	}, patchTime, nil
}

const (
	defaultPatchTime = 5 * time.Minute
	surveyTimeout    = 3 * time.Second
	// A forecast computes for one slice and then pauses, to leave the processor to scheduling.
	forecastSlice = 4 * time.Millisecond
	forecastPause = 4 * time.Millisecond
)

// runForecast waits until the survey is complete or times out, and then simulates the plan in short
// slices until the forecast is complete or the term ends.
func (dm *drainManager) runForecast(run *forecastRun, s *survey, startPlan forecast.StartPlan,
	patchTime time.Duration) {
	n := dm.lead.node
	for end := n.now() + surveyTimeout; n.now() < end && dm.lead.ctx.Err() == nil; sleep(dm.lead.ctx,
		20*time.Millisecond) {
		n.mu.Lock()
		remaining := len(s.pending)
		n.mu.Unlock()
		if remaining == 0 {
			break
		}
	}
	n.mu.Lock()
	snap := dm.forecastSnapshot(n.now(), s)
	run.unreported = len(s.pending)
	params := forecast.Params{Runs: 5, Step: forecast.StepInterval(len(snap.Machines)), MaxDuration: 4 * time.Hour,
		PatchTime: patchTime,
		Seed:      dm.forecasts.started}
	if len(snap.Machines) > 200 {
		params.Runs = 1 // with many machines, random differences between runs average out in one run
	}
	run.forecast = forecast.New(params, snap, run.spec, startPlan)
	if dm.forecasts.survey == s {
		dm.forecasts.survey = nil
	}
	n.mu.Unlock()
	for done := false; !done && dm.lead.ctx.Err() == nil; {
		for began := n.now(); !done && n.now()-began < forecastSlice; {
			done = run.forecast.Advance()
		}
		n.mu.Lock()
		run.done = run.forecast.Progress()
		if done {
			if run.err = run.forecast.Err(); run.err == nil {
				run.result = run.forecast.Result()
			}
			run.forecast = nil
		}
		n.mu.Unlock()
		sleep(dm.lead.ctx, forecastPause)
	}
}

// forecastSnapshot copies the teams, machines and jobs that a forecast starts from. Machines that
// did not answer the survey are left out. Called under the lock.
func (dm *drainManager) forecastSnapshot(now time.Duration, s *survey) *forecast.Snapshot {
	l := dm.lead
	snapshot := &forecast.Snapshot{Now: now, Wall: time.Now(), RunTimeFactor: dm.runTimes.Copy().Factor,
		Teams:   l.dispatcher.Teams(),
		JobName: wire.JobName,
		Shard:   l.node.shardParams()}
	bootTimes := map[model.Name]time.Duration{}
	for _, t := range l.node.machineTypes {
		bootTimes[t.Name] = t.Boot
	}
	snapshot.BootTime = func(t model.Name) time.Duration { return bootTimes[t] }
	l.dispatcher.ForEachMachine(func(status model.MachineStatus, reported bool) {
		tasks, ok := s.tasks[status.Machine.ID]
		if reported && ok {
			snapshot.Machines = append(snapshot.Machines, forecast.Machine{Machine: status.Machine, Tasks: tasks,
				Usable: status.Ready && !status.Draining && !status.Faulty})
		}
	})
	for _, demand := range l.dispatcher.Demand() {
		snapshot.Jobs = append(snapshot.Jobs, forecast.Job{Spec: demand.Spec, UnfinishedTasks: int(demand.Unfinished),
			WaitingSince: demand.WaitingSince})
	}
	return snapshot
}

// teamLimits returns the teams' limits and guarantees from the platform file.
func (n *Node) teamLimits() []dispatcher.Team {
	out := make([]dispatcher.Team, len(n.cfg.Cluster.Teams))
	for i, t := range n.cfg.Cluster.Teams {
		out[i] = dispatcher.Team{Guarantee: model.Capacity(t.CPUs, t.GPUs, 0), Limit: model.Capacity(t.CPUsMax, t.GPUsMax, 0)}
	}
	return out
}

// shardParams returns the parameters of a shard on this platform.
func (n *Node) shardParams() shard.Params {
	cluster := &n.cfg.Cluster
	return shard.Params{MaxLease: cluster.MaxLease(), ReportInterval: config.Seconds(cluster.Workers.ReportS),
		VictimSample: n.settings.SampleSize,
		PaybackLimit: n.settings.PaybackLimit, DemotionStep: n.settings.DemotionStep,
		DirectRetryDelay: config.Seconds(cluster.Workers.ReportS) + 2*time.Second}
}

// answerForecast starts a forecast if needed, and answers with its result or its progress.
func (dm *drainManager) answerForecast(now time.Duration, c *Call) CallReply {
	run, err := dm.startForecast(now, c)
	switch {
	case errors.Is(err, errForecastRunning):
		return errorReply(http.StatusServiceUnavailable, err)
	case err != nil:
		return errorReply(errorStatus(err), err)
	case run.result == nil:
		// All runs may be complete without a result yet, so the progress stays below 1.
		return okReply(ForecastReply{Name: run.spec.Name, Done: min(run.done, maxPartialDone)})
	}
	return okReply(dm.forecastReply(run))
}

// forecastBeforeApply has a plan with windows forecast before it is applied, so that checkWindows
// can refuse it. pending is set while there is no result yet; r is the answer then.
func (dm *drainManager) forecastBeforeApply(now time.Duration, c *Call) (r CallReply, pending bool) {
	if c.Verb != DrainApply || !strings.Contains(c.Plan, "windows") {
		return r, false
	}
	run, err := dm.startForecast(now, c)
	switch {
	case errors.Is(err, errForecastRunning):
		return errorReply(http.StatusServiceUnavailable, err), true
	case err != nil:
		return r, false // applyPlan fails in the same way and reports the error
	case run.result == nil:
		return errorReply(http.StatusServiceUnavailable,
			errors.New("windows: the plan is forecast before it is applied: try again with the same request id")), true
	}
	return r, false
}

// checkWindows refuses a plan if its forecast delays a job past one of its windows. The first few
// such jobs are named.
func (dm *drainManager) checkWindows(c *Call) error {
	run := dm.forecasts.find(c)
	if run == nil || run.result == nil {
		return nil
	}
	var jobs []string
	for i := range run.result.Delayed {
		if delayed := &run.result.Delayed[i]; delayed.Window != "" {
			jobs = append(jobs, wire.JobName(delayed.Spec.ID)+" by "+delayed.Delay[1].Round(time.Second).String()+
				" past "+delayed.Window)
		}
	}
	if len(jobs) == 0 {
		return nil
	}
	if len(jobs) > 5 {
		jobs = append(jobs[:5], "and more")
	}
	return &drain.RefusedError{Reason: "windows: the plan would delay " + strings.Join(jobs, ", ")}
}

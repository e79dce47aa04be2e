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

// foresight is the leader's forecasts: one at a time is played, the newest are
// kept. They are nobody's record: a new leader forecasts anew.
type foresight struct {
	survey *survey
	kept   []*prophecy
	n      uint64
}

const (
	keptForecasts = 8
	almost        = 0.99
)

// survey asks all machines' owners what runs there.
type survey struct {
	seq  uint64
	left map[model.MachineID]bool
	on   map[model.MachineID][]model.PlacedTask
}

// Surveys are numbered apart from the engine's questions.
const surveyBase = 1 << 40

// heard takes an answer to a survey; false tells that it is to something else.
func (f *foresight) heard(e *model.Event) bool {
	if e.Token < surveyBase {
		return false
	}
	if s := f.survey; s != nil && s.seq == e.Token {
		delete(s.left, e.Machine)
		s.on[e.Machine] = e.Placed
	}
	return true
}

// prophecy is a forecast under way or complete.
type prophecy struct {
	request, digest string
	f               *forecast.Forecast // nil: the survey is under way
	spec            *drain.Spec
	result          *forecast.Result
	untold          int // machines whose owner did not tell what runs there
	err             error
	done            float64
}

func (f *foresight) find(c *Call) *prophecy {
	for _, x := range f.kept {
		if x.request == c.Request && x.digest == c.digest() {
			return x
		}
	}
	return nil
}

// busy tells whether a forecast is being made.
func (f *foresight) busy() bool {
	for _, x := range f.kept {
		if x.result == nil && x.err == nil {
			return true
		}
	}
	return false
}

var errForecasting = errors.New("another forecast is being made: come back")

// begin begins a forecast, or finds the one begun under the request's id.
func (p *draining) begin(now time.Duration, c *Call) (*prophecy, error) {
	if x := p.ahead.find(c); x != nil {
		return x, x.err
	}
	spec, plan, patch, err := p.toForecast(now, c)
	if err != nil {
		return nil, err
	}
	if p.ahead.busy() {
		return nil, errForecasting
	}
	x := &prophecy{request: c.Request, digest: c.digest(), spec: spec}
	p.ahead.kept = append(p.ahead.kept, x)
	if n := len(p.ahead.kept) - keptForecasts; n > 0 {
		p.ahead.kept = p.ahead.kept[n:]
	}
	p.ahead.n++
	s := &survey{seq: surveyBase + p.ahead.n, left: map[model.MachineID]bool{},
		on: map[model.MachineID][]model.PlacedTask{}}
	p.ahead.survey = s
	p.l.d.ForEachMachine(func(st model.MachineStatus, told bool) {
		if told {
			s.left[st.Machine.ID] = true
		}
	})
	for id := range s.left {
		p.l.d.InspectMachine(id, s.seq)
	}
	p.l.n.soon()
	go p.play(x, s, plan, patch)
	return x, nil
}

// toForecast is the plan that a call is about: one given, or one under way.
func (p *draining) toForecast(now time.Duration, c *Call) (*drain.Spec, forecast.StartPlan, time.Duration, error) {
	if c.Verb == DrainAgain {
		stored, spec, err := p.e.Export(c.Name)
		if err != nil {
			return nil, nil, 0, err
		}
		return spec, func(e *drain.Engine, now time.Duration, _ time.Time) error {
			e.Load(now, stored, func([]byte) (*drain.Spec, error) { s := *spec; s.Machines = nil; return &s, nil })
			return nil
		}, defaultPatch, nil
	}
	d, err := p.declared(now, c.Plan)
	if err != nil {
		return nil, nil, 0, err
	}
	if err := p.e.Check(d.spec, d.source, wire.MachineName); err != nil {
		return nil, nil, 0, err
	}
	patch := defaultPatch
	if d.pb.PatchS != nil {
		patch = config.Seconds(d.pb.GetPatchS())
	}
	return d.spec, func(e *drain.Engine, now time.Duration, wall time.Time) error {
		e.Apply(now, wall, d.spec, nil, "")
		return nil
	}, patch, nil
}

const (
	defaultPatch = 5 * time.Minute
	surveyWait   = 3 * time.Second
	// A forecast works for so long at a time and then lets others go first.
	playFor  = 4 * time.Millisecond
	playRest = 4 * time.Millisecond
)

// play waits for the survey, then plays.
func (p *draining) play(x *prophecy, s *survey, plan forecast.StartPlan, patch time.Duration) {
	n := p.l.n
	for end := n.now() + surveyWait; n.now() < end && p.l.ctx.Err() == nil; sleep(p.l.ctx, 20*time.Millisecond) {
		n.mu.Lock()
		left := len(s.left)
		n.mu.Unlock()
		if left == 0 {
			break
		}
	}
	n.mu.Lock()
	snap := p.snapshot(n.now(), s)
	x.untold = len(s.left)
	params := forecast.Params{Runs: 5, Step: forecast.StepInterval(len(snap.Machines)), MaxDuration: 4 * time.Hour, PatchTime: patch,
		Seed: p.ahead.n}
	if len(snap.Machines) > 200 {
		params.Runs = 1 // the more runs, the less luck matters
	}
	x.f = forecast.New(params, snap, x.spec, plan)
	if p.ahead.survey == s {
		p.ahead.survey = nil
	}
	n.mu.Unlock()
	for done := false; !done && p.l.ctx.Err() == nil; {
		for began := n.now(); !done && n.now()-began < playFor; {
			done = x.f.Advance()
		}
		n.mu.Lock()
		x.done = x.f.Progress()
		if done {
			if x.err = x.f.Err(); x.err == nil {
				x.result = x.f.Result()
			}
			x.f = nil
		}
		n.mu.Unlock()
		sleep(p.l.ctx, playRest)
	}
}

// snapshot copies what a forecast needs.
func (p *draining) snapshot(now time.Duration, s *survey) *forecast.Snapshot {
	l := p.l
	out := &forecast.Snapshot{Now: now, Wall: time.Now(), RunTimeFactor: p.learnt.Copy().Factor, Teams: l.d.Teams(),
		JobName: wire.JobName,
		Shard:   l.n.shardParams()}
	boots := map[model.Name]time.Duration{}
	for _, t := range l.n.types {
		boots[t.Name] = t.Boot
	}
	out.BootTime = func(t model.Name) time.Duration { return boots[t] }
	l.d.ForEachMachine(func(st model.MachineStatus, told bool) {
		on, ok := s.on[st.Machine.ID]
		if told && ok {
			out.Machines = append(out.Machines, forecast.Machine{Machine: st.Machine, Tasks: on,
				Usable: st.Ready && !st.Draining && !st.Faulty})
		}
	})
	for _, need := range l.d.Demand() {
		out.Jobs = append(out.Jobs, forecast.Job{Spec: need.Spec, UnfinishedTasks: int(need.Unfinished), Since: need.WaitingSince})
	}
	return out
}

func (n *Node) teams() []dispatcher.Team {
	out := make([]dispatcher.Team, len(n.cfg.Cluster.Teams))
	for i, t := range n.cfg.Cluster.Teams {
		out[i] = dispatcher.Team{Guarantee: model.Capacity(t.CPUs, t.GPUs, 0), Limit: model.Capacity(t.CPUsMax, t.GPUsMax, 0)}
	}
	return out
}

func (n *Node) shardParams() shard.Params {
	c := &n.cfg.Cluster
	return shard.Params{MaxLease: c.SureLease(), ReportInterval: config.Seconds(c.Workers.ReportS), VictimSample: n.set.SampleSize,
		PaybackLimit: n.set.PaybackLimit, DemotionStep: n.set.DemotionStep,
		DirectRetryDelay: config.Seconds(c.Workers.ReportS) + 2*time.Second}
}

// askForecast answers with a forecast, or with how far it is.
func (p *draining) askForecast(now time.Duration, c *Call) CallReply {
	x, err := p.begin(now, c)
	switch {
	case errors.Is(err, errForecasting):
		return callError(http.StatusServiceUnavailable, err)
	case err != nil:
		return callError(statusOf(err), err)
	case x.result == nil:
		// 1 says that the rest is there: all may have been played, yet not summed up.
		return body(ForecastReply{Name: x.spec.Name, Done: min(x.done, almost)})
	}
	return body(p.forecastReply(x))
}

// foresee has a plan with windows forecast before it is applied; wait tells that
// the answer is not there yet.
func (p *draining) foresee(now time.Duration, c *Call) (r CallReply, wait bool) {
	if c.Verb != DrainApply || !strings.Contains(c.Plan, "windows") {
		return r, false
	}
	x, err := p.begin(now, c)
	switch {
	case errors.Is(err, errForecasting):
		return callError(http.StatusServiceUnavailable, err), true
	case err != nil:
		return r, false // it is refused as it is made
	case x.result == nil:
		return callError(http.StatusServiceUnavailable,
			errors.New("it is being forecast, for it has windows: ask again under the same request id")), true
	}
	return r, false
}

// pushed refuses a plan whose forecast pushes a job past one of its windows.
func (p *draining) pushed(c *Call) error {
	x := p.ahead.find(c)
	if x == nil || x.result == nil {
		return nil
	}
	var jobs []string
	for i := range x.result.Delayed {
		if l := &x.result.Delayed[i]; l.Window != "" {
			jobs = append(jobs, wire.JobName(l.Spec.ID)+" by "+l.Delay[1].Round(time.Second).String()+" past "+l.Window)
		}
	}
	if len(jobs) == 0 {
		return nil
	}
	if len(jobs) > 5 {
		jobs = append(jobs[:5], "and more")
	}
	return &drain.RefusedError{Reason: "windows: it would push " + strings.Join(jobs, ", ")}
}

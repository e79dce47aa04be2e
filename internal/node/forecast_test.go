package node

import (
	"encoding/json"
	"testing"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/fleet"
	"honeylock/internal/core/forecast"
	"honeylock/internal/core/model"
	"honeylock/internal/wire"
)

// BenchmarkLargeSnapshot measures the part of a forecast that holds the controller's lock. With 1,636
// machines, 39,264 tasks and 800 jobs it must delay dispatching by less than 50 ms.
func BenchmarkLargeSnapshot(b *testing.B) {
	n := &Node{cfg: &config.Platform{}, settings: config.DefaultSettings()}
	n.cfg.Cluster.Teams = []config.Team{{Name: "t", CPUs: 100, CPUsMax: 1e6}}
	l := &leadership{node: n, dispatcher: dispatcher.New(dispatcher.Params{Term: 1, Teams: n.teamLimits(), ChunkSize: 64,
		BlockSize: 64}, 0)}
	l.rentals = &rentalManager{lead: l, fleet: fleet.New(fleet.Params{})}
	dm := l.newDrainManager()
	l.dispatcher.SetTypes([]model.MachineType{{Cap: model.Capacity(64, 0, 256)}})
	s := &survey{tasks: map[model.MachineID][]model.PlacedTask{}}
	shard := l.dispatcher.AddShard(0, "a")
	var status []model.MachineStatus
	for id := range model.MachineID(1636) {
		m := model.Machine{ID: id, Addr: "x"}
		l.dispatcher.HandleEvent(0, shard, model.Event{Kind: model.UnownedWorker, Machine: id,
			Report: &model.Report{Machine: m}})
		status = append(status, model.MachineStatus{Machine: m, Ready: true})
		s.tasks[id] = make([]model.PlacedTask, 24)
	}
	l.dispatcher.UpdateStatus(0, shard, status, nil, 0)
	for id := range model.JobID(800) {
		l.dispatcher.AddJob(0, &model.Spec{ID: id, Tasks: 50}, uint64(id)+1, 0, false)
	}
	for b.Loop() {
		if snapshot := dm.forecastSnapshot(time.Second, s); len(snapshot.Machines) != 1636 || len(snapshot.Jobs) != 800 {
			b.Fatalf("%d machines, %d jobs", len(snapshot.Machines), len(snapshot.Jobs))
		}
	}
}

// A forecast is reported as complete only with its result. Between the end of its last run and its
// result it must not be reported as complete, because the reply would have no content.
func TestForecastDoneOnlyWithResult(t *testing.T) {
	n := &Node{cfg: &config.Platform{}, settings: config.DefaultSettings()}
	n.names = &wire.Names{Teams: wire.NewTable(), Classes: wire.NewTable()}
	dm := (&leadership{node: n}).newDrainManager()
	call := &Call{Verb: DrainPlan, Request: "r"}
	run := &forecastRun{request: "r", digest: call.digest(), spec: &drain.Spec{Name: "p"}, done: 1}
	dm.forecasts.recent = []*forecastRun{run}
	query := func() (r ForecastReply) {
		t.Helper()
		if err := json.Unmarshal(dm.answerForecast(0, call).Body, &r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := query(); r.Done >= 1 {
		t.Errorf("%+v without a result", r)
	}
	run.result = &forecast.Result{Runs: 5}
	if r := query(); r.Done != 1 || r.Runs != 5 {
		t.Errorf("%+v with a result", r)
	}
}

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

// BenchmarkGrownSnapshot is what a forecast does under the controller's lock: with
// 1,636 machines, 39,264 tasks and 800 jobs it must not hold dealing up for 50 ms.
func BenchmarkGrownSnapshot(b *testing.B) {
	n := &Node{cfg: &config.Platform{}, set: config.DefaultSettings()}
	n.cfg.Cluster.Teams = []config.Team{{Name: "t", CPUs: 100, CPUsMax: 1e6}}
	l := &leadership{n: n, d: dispatcher.New(dispatcher.Params{Term: 1, Teams: n.teams(), ChunkSize: 64, BlockSize: 64}, 0)}
	l.rents = &renting{l: l, f: fleet.New(fleet.Params{})}
	p := l.newDraining()
	l.d.SetTypes([]model.MachineType{{Cap: model.Capacity(64, 0, 256)}})
	s := &survey{on: map[model.MachineID][]model.PlacedTask{}}
	shard := l.d.AddShard(0, "a")
	var status []model.MachineStatus
	for id := range model.MachineID(1636) {
		m := model.Machine{ID: id, Addr: "x"}
		l.d.HandleEvent(0, shard, model.Event{Kind: model.UnownedWorker, Machine: id, Report: &model.Report{Machine: m}})
		status = append(status, model.MachineStatus{Machine: m, Ready: true})
		s.on[id] = make([]model.PlacedTask, 24)
	}
	l.d.UpdateStatus(0, shard, status, nil, 0)
	for id := range model.JobID(800) {
		l.d.AddJob(0, &model.Spec{ID: id, Tasks: 50}, uint64(id)+1, 0, false)
	}
	for b.Loop() {
		if snap := p.snapshot(time.Second, s); len(snap.Machines) != 1636 || len(snap.Jobs) != 800 {
			b.Fatalf("%d machines, %d jobs", len(snap.Machines), len(snap.Jobs))
		}
	}
}

// A forecast that was played to its end, yet not summed up, was told as complete,
// with nothing in it.
func TestAForecastIsCompleteWithItsResult(t *testing.T) {
	n := &Node{cfg: &config.Platform{}, set: config.DefaultSettings()}
	n.names = &wire.Names{Teams: wire.NewTable(), Classes: wire.NewTable()}
	p := (&leadership{n: n}).newDraining()
	c := &Call{Verb: DrainPlan, Request: "r"}
	x := &prophecy{request: "r", digest: c.digest(), spec: &drain.Spec{Name: "p"}, done: 1}
	p.ahead.kept = []*prophecy{x}
	ask := func() (r ForecastReply) {
		t.Helper()
		if err := json.Unmarshal(p.askForecast(0, c).Body, &r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := ask(); r.Done >= 1 {
		t.Errorf("%+v without a result", r)
	}
	x.result = &forecast.Result{Runs: 5}
	if r := ask(); r.Done != 1 || r.Plays != 5 {
		t.Errorf("%+v with one", r)
	}
}

package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
	"honeylock/internal/core/shard"
)

const (
	testZones = 3
	testTypes = 2
	testTerm  = 1
)

// testCapacity returns the capacity of a machine type.
func testCapacity(typeName model.Name) model.Resources {
	return model.Capacity(8+8*float64(typeName), 2, 64)
}

// cluster is a dispatcher with one shard, which owns all machines.
type cluster struct {
	limit      model.Resources
	dispatcher *dispatcher.Dispatcher
	shard      *shard.Shard
	id         model.ShardID
	now        time.Duration
	tokens     uint64
}

// newCluster returns a cluster without machines, whose only team has a limit.
func newCluster(limit model.Resources) *cluster {
	d := dispatcher.New(dispatcher.Params{Term: testTerm, Teams: []dispatcher.Team{{Limit: limit}}, ChunkSize: 64,
		BlockSize: 64, DispatchAhead: 4, MaxLease: time.Minute, MinOverloadMachines: 100}, 0)
	var types []model.MachineType
	for name := range model.Name(testTypes) {
		types = append(types, model.MachineType{Name: name, Cap: testCapacity(name)})
	}
	d.SetTypes(types)
	id := d.AddShard(0, "a")
	s := shard.New(shard.Params{MaxLease: time.Hour, ReportInterval: time.Hour, VictimSample: 2,
		PaybackLimit: time.Minute, DemotionStep: 2, DirectRetryDelay: time.Second}, d.FirstAttempt(id),
		rand.New(rand.NewPCG(1, 1)))
	s.SetGrant(time.Hour)
	return &cluster{limit: limit, dispatcher: d, shard: s, id: id, now: time.Second}
}

// exchange delivers orders and events until there are none left, and the shard's status.
func (c *cluster) exchange() {
	for {
		orders, events := c.dispatcher.TakeOrders(), c.shard.TakeEvents()
		if len(orders) == 0 && len(events) == 0 {
			break
		}
		for _, o := range orders {
			c.shard.HandleOrder(c.now, o)
		}
		for _, e := range events {
			c.dispatcher.HandleEvent(c.now, c.id, e)
		}
	}
	c.dispatcher.UpdateStatus(c.now, c.id, c.shard.TakeStatus(c.now), c.shard.TaskCounts(c.now),
		c.dispatcher.AssignmentsSent(c.id))
}

// report has a machine's worker report without tasks, under a token.
func (c *cluster) report(m *model.Machine, seq, token uint64) {
	r := &model.Report{Machine: *m, Session: 1, Seq: seq, Token: token, PreemptionNotice: -1}
	if c.shard.HandleReport(c.now, r) {
		c.shard.Answer(c.now, r)
	}
	c.exchange()
}

// addMachine adds a machine that is recorded and fenced.
func (c *cluster) addMachine(m model.Machine) {
	c.tokens++
	c.report(&m, 1, 0)
	for _, w := range c.dispatcher.Writes(c.now, 100) {
		c.dispatcher.WriteDone(c.now, w, 1, true, false)
	}
	c.exchange()
	c.report(&m, 2, 0)
	c.report(&m, 3, testTerm<<32|c.tokens)
}

// demand returns the job's demand as the leader passes it to the fleet.
func (c *cluster) demand() Demand {
	c.now += 2 * time.Second // task counts are cached for a second
	c.exchange()
	d := c.dispatcher.Demand()[0]
	return Demand{Job: d, Placed: d.Assigned - int32(c.dispatcher.TaskCounts(d.Spec.ID).Waiting)}
}

// place dispatches and places what fits, and returns how many more tasks are on machines.
func (c *cluster) place() int64 {
	before := c.demand().Placed
	for range 3 {
		c.dispatcher.Dispatch(c.now)
		c.exchange()
		c.shard.Place(c.now)
		c.exchange()
		c.now += 10 * time.Millisecond
	}
	return int64(c.demand().Placed - before)
}

// covered returns how many of the job's waiting tasks findShortages finds capacity for, within the
// team's limit.
func (c *cluster) covered() int64 {
	var machines []availableMachine
	for _, status := range c.dispatcher.MachineStatuses() {
		machines = append(machines, availableMachine{machine: status.Machine, free: status.Avail, status: &status})
	}
	demand := []Demand{c.demand()}
	limit := func(model.Name) model.Resources { return c.limit }
	wanted := newLimitCheck(demand, limit).take(demand[0].Job.Spec, int64(demand[0].Job.Unfinished-demand[0].Placed))
	for _, missing := range findShortages(machines, demand, limit) {
		wanted -= missing.tasks
	}
	return wanted
}

// drawMachine draws a machine of any type, in any zone.
func drawMachine(t *rapid.T, id model.MachineID) model.Machine {
	typeName := model.Name(rapid.IntRange(0, testTypes-1).Draw(t, "type"))
	return model.Machine{ID: id, Addr: "x", Type: typeName, Cap: testCapacity(typeName),
		Zone: model.Name(rapid.IntRange(0, testZones-1).Draw(t, "zone")), Spot: rapid.Bool().Draw(t, "spot")}
}

// drawJob draws a job with any of the rules of placement.
func drawJob(t *rapid.T) *model.Spec {
	spec := &model.Spec{ID: 1, Tasks: int32(rapid.IntRange(1, 30).Draw(t, "tasks")), Zone: model.None,
		PerTask: model.Request(float64(rapid.IntRange(1, 6).Draw(t, "CPUs")), float64(rapid.IntRange(0, 1).Draw(t, "GPUs")),
			float64(rapid.IntRange(1, 20).Draw(t, "memory"))),
		Spot: rapid.Bool().Draw(t, "may use spot"), Rank: model.Standard, Estimate: time.Hour}
	if rapid.IntRange(0, 3).Draw(t, "tiny") == 0 { // so many fit that the number of attempts decides
		spec.Tasks, spec.PerTask = int32(rapid.IntRange(400, 2000).Draw(t, "tiny tasks")), model.Request(0.004, 0, 0.004)
	}
	switch rapid.IntRange(0, 3).Draw(t, "zone rule") {
	case 0:
		spec.Spread = true
	case 1:
		spec.SameZone = true
	case 2:
		spec.Zone = model.Name(rapid.IntRange(0, testZones-1).Draw(t, "only zone"))
	}
	if rapid.Bool().Draw(t, "one type") {
		spec.Types = []model.Name{model.Name(rapid.IntRange(0, testTypes-1).Draw(t, "only type"))}
	}
	return spec
}

// Guards against free capacity that counts as capacity for tasks that may not be placed there: no
// machine was rented for them, and they waited for ever. Machines are added twice, so that some tasks
// are placed already the second time.
func TestCoveredDemandCanBePlaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limit model.Resources
		if rapid.Bool().Draw(t, "limited") {
			limit = model.Capacity(float64(rapid.IntRange(1, 60).Draw(t, "CPU limit")),
				float64(rapid.IntRange(0, 6).Draw(t, "GPU limit")), 0)
		}
		c := newCluster(limit)
		spec := drawJob(t)
		c.dispatcher.AddJob(c.now, spec, 1, 0, false)
		id := model.MachineID(0)
		for range 2 {
			for range rapid.IntRange(1, 5).Draw(t, "machines") {
				c.addMachine(drawMachine(t, id))
				id++
			}
			covered := c.covered()
			if placed := c.place(); placed != covered {
				t.Fatalf("%d tasks count as covered, and %d are placed: %+v", covered, placed, *spec)
			}
		}
	})
}

// Guards against a job that waits for ever beside free CPUs: a machine with as many attempts as it may have
// counted as capacity, so that no machine was rented.
func TestMachineFullOfTinyTasksIsNoCapacity(t *testing.T) {
	f := newFleet()
	status := []model.MachineStatus{{Machine: model.Machine{ID: 1, Cap: model.Capacity(8, 0, 32)},
		Avail: model.Resources{CPU: 6000, Mem: 24_000}, Ready: true, AttemptCount: model.AttemptsPerMachine}}
	f.Observe(0, status, func(model.MachineID) bool { return false })
	spec := &model.Spec{ID: 1, Tasks: 1, PerTask: model.Request(4, 0, 4), Zone: model.None, Rank: model.Prod}
	demand := []Demand{{Job: dispatcher.JobDemand{Spec: spec, Unfinished: 1}}}
	if a := findRental(f.Step(time.Second, status, demand, noLimit)); a == nil {
		t.Error("no machine is rented")
	}
}

// As many machines are rented for tiny tasks as their number takes, not only their CPUs.
func TestTinyTasksAreRentedForByNumber(t *testing.T) {
	f := newFleet()
	f.Observe(0, nil, func(model.MachineID) bool { return false })
	spec := &model.Spec{ID: 1, Tasks: 4 * model.AttemptsPerMachine, PerTask: model.Request(0.001, 0, 0.001), Zone: model.None,
		Estimate: time.Hour}
	demand := []Demand{{Job: dispatcher.JobDemand{Spec: spec, Unfinished: spec.Tasks}}}
	if a := findRental(f.Step(time.Second, nil, demand, noLimit)); a == nil || a.Count != 4 {
		t.Errorf("%+v, want four machines", a)
	}
}

// Guards against a replica that waits for ever beside free capacity in a zone that its service must not
// use any more.
func TestCapacityInForbiddenZoneDoesNotCount(t *testing.T) {
	for _, tasks := range []int32{2, 3, 5} {
		f := newFleet()
		f.types[0].Zones = []model.Name{0, 1}
		status := []model.MachineStatus{{Machine: model.Machine{ID: 1, Cap: model.Capacity(8, 0, 32)},
			Avail: model.Capacity(6, 0, 24), Ready: true, AttemptCount: 1}}
		f.Observe(0, status, func(model.MachineID) bool { return false })
		spec := &model.Spec{ID: 1, Tasks: tasks, PerTask: model.Request(1, 0, 1), Zone: model.None, Daemon: true,
			Spread: true}
		placed := (tasks + 1) / 2
		demand := []Demand{{Placed: placed, Job: dispatcher.JobDemand{Spec: spec, Unfinished: tasks, Assigned: placed,
			Zones: dispatcher.NewZoneQuota(spec, map[model.Name]int32{0: placed})}}}
		a := findRental(f.Step(time.Second, status, demand, noLimit))
		if a == nil || a.Zone != 1 {
			t.Errorf("%d replicas: %+v, want a machine in the other zone", tasks, a)
		}
	}
}

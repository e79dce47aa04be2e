package sim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/fleet"
	"honeylock/internal/core/model"
	"honeylock/internal/core/shard"
)

// benchCluster is a cluster without faults: a dispatcher, its shards and its fleet, with workers that
// execute commands at once. It measures the processor time of decisions; no message is lost or late.
type benchCluster struct {
	dispatcher *dispatcher.Dispatcher
	fleet      *fleet.Fleet
	// By ID from 1; the first is the leader's own.
	shards  []*shard.Shard
	workers []*benchWorker
	specs   map[model.JobID]*model.Spec
	now     time.Duration
	nextJob model.JobID
	// Jobs per second.
	arrivalRate float64
	// Fraction of a job that is due but not yet submitted.
	pendingJobs float64
	rng         *rand.Rand
	// Processor time by component.
	timeSpent      map[string]time.Duration
	finishedTasks  int
	reportCount    int
	directCommands int
	workload       workload
}

// workload describes the machines and tasks of a benchmark: CPUs of a machine, seconds between
// reports, number of shards, machines per arriving job and second, and number of images.
type workload struct {
	cpus, reportSeconds, shards, jobs, images int
	// CPUs of a task.
	cpusPerTask float64
}

// Two workloads: small machines that report rarely, and large ones with many tasks that report often.
var (
	smallMachines = workload{cpus: 8, reportSeconds: 8, shards: 3, jobs: 900, images: 24, cpusPerTask: 4}
	largeMachines = workload{cpus: 48, reportSeconds: 3, shards: 5, jobs: 140, images: 24, cpusPerTask: 2}
)

// benchWorker is a worker.
type benchWorker struct {
	machine model.Machine
	// Index of the shard that it reports to.
	shard        int
	token        uint64
	seq          uint64
	nextReportAt time.Duration
	attempts     []model.AttemptStatus
	// When each of the attempts ends.
	endTimes []time.Duration
}

// newReport returns its next report.
func (w *benchWorker) newReport() *model.Report {
	w.seq++
	return &model.Report{Machine: w.machine, Session: 1, Seq: w.seq, Token: w.token, PreemptionNotice: -1,
		Attempts: w.attempts}
}

// types returns the only type of machine.
func (l workload) types() []model.MachineType {
	c := float64(l.cpus)
	return []model.MachineType{{Name: 0, Cap: model.Capacity(c, 0, 2*c), Price: 0.07 * c, SpotPrice: 0.03 * c,
		Boot: 20 * time.Second, Zones: []model.Name{0, 1, 2}}}
}

// reportInterval is the time between reports.
func (l workload) reportInterval() time.Duration { return time.Duration(l.reportSeconds) * time.Second }

// newBenchCluster returns a cluster in the given term.
func newBenchCluster(load workload, machines int, term uint64) *benchCluster {
	cluster := &benchCluster{specs: map[model.JobID]*model.Spec{}, rng: rand.New(rand.NewPCG(7, uint64(machines))),
		now:       time.Minute,
		timeSpent: map[string]time.Duration{}, arrivalRate: float64(machines) / float64(load.jobs), workload: load}
	for i := range machines {
		cluster.workers = append(cluster.workers, &benchWorker{machine: model.Machine{ID: model.MachineID(i), Addr: "w",
			Zone: model.Name(i % 3),
			Spot: i%2 == 0}, shard: i % load.shards,
			nextReportAt: cluster.now + time.Duration(i)*load.reportInterval()/time.Duration(machines)})
	}
	cluster.startTerm(term)
	return cluster
}

// startTerm starts a term with an empty dispatcher, fleet and shards.
func (b *benchCluster) startTerm(term uint64) {
	b.dispatcher = dispatcher.New(dispatcher.Params{Term: term, Teams: []dispatcher.Team{{}}, ChunkSize: 64,
		BlockSize:        128,
		ProgressInterval: 2 * time.Second, DispatchAhead: 12, MaxLease: 43 * time.Second}, b.now)
	b.dispatcher.SetTypes(b.workload.types())
	b.fleet = fleet.New(fleet.Params{Term: term, TermStart: b.now, ListLag: 10 * time.Second, IdleReturn: time.Hour,
		Horizon: 90 * time.Second, RetryRefusedAfter: 15 * time.Second})
	b.fleet.SetTypes(b.workload.types())
	b.fleet.UpdateListed(b.now, b.now, nil)
	b.shards = nil
	for i := range b.workload.shards {
		id := b.dispatcher.AddShard(b.now, fmt.Sprint("c", i))
		localShard := shard.New(shard.Params{MaxLease: 43 * time.Second, ReportInterval: b.workload.reportInterval(),
			VictimSample: 3,
			PaybackLimit: time.Minute, DemotionStep: 2, DirectRetryDelay: time.Second}, b.dispatcher.FirstAttempt(id), b.rng)
		localShard.SetGrant(time.Hour * 24)
		b.shards = append(b.shards, localShard)
	}
}

// timed runs f and adds its time to the component.
func (b *benchCluster) timed(component string, f func()) {
	began := time.Now()
	f()
	b.timeSpent[component] += time.Since(began)
}

// exchangeMessages delivers orders and events between dispatcher and shards until there are none left.
func (b *benchCluster) exchangeMessages() {
	for again := true; again; {
		again = false
		for _, o := range b.dispatcher.TakeOrders() {
			again = true
			b.shards[o.To-1].HandleOrder(b.now, o)
		}
		for i, s := range b.shards {
			for _, e := range s.TakeEvents() {
				again = true
				if e.Kind == model.TaskFinished {
					b.finishedTasks++
				}
				b.dispatcher.HandleEvent(b.now, model.ShardID(i+1), e)
			}
		}
	}
}

// sendReport has a worker report and execute the commands in the answer.
func (b *benchCluster) sendReport(worker *benchWorker) {
	b.reportCount++
	worker.nextReportAt = b.now + b.workload.reportInterval()
	s := b.shards[worker.shard]
	r := worker.newReport()
	if !s.HandleReport(b.now, r) {
		b.exchangeMessages()
		if !s.HandleReport(b.now, r) {
			return
		}
	}
	s.PlaceOn(b.now, worker.machine.ID)
	a := s.Answer(b.now, r)
	b.execute(worker, a.Token, a.Commands)
}

// execute carries out commands on a worker.
func (b *benchCluster) execute(worker *benchWorker, token uint64, cmds []model.Command) {
	worker.token = max(worker.token, token)
	for _, c := range cmds {
		index := -1
		for i := range worker.attempts {
			if worker.attempts[i].Task == c.Task && worker.attempts[i].Attempt == c.Attempt {
				index = i
			}
		}
		switch {
		case c.Verb == model.Launch && index < 0:
			worker.attempts = append(worker.attempts, model.AttemptStatus{Task: c.Task, Attempt: c.Attempt,
				Stage: model.Running})
			worker.endTimes = append(worker.endTimes, b.now+time.Duration(20+b.rng.IntN(60))*time.Second)
		case c.Verb == model.Kill && index >= 0:
			worker.attempts[index].Stage, worker.attempts[index].Cause = model.Exited, model.CauseStopped
		case c.Verb == model.Clear && index >= 0:
			worker.attempts = append(worker.attempts[:index:index], worker.attempts[index+1:]...)
			worker.endTimes = append(worker.endTimes[:index:index], worker.endTimes[index+1:]...)
		}
	}
}

// step advances the cluster by a tenth of a second.
func (b *benchCluster) step() {
	b.now += 100 * time.Millisecond
	for b.pendingJobs += b.arrivalRate / 10; b.pendingJobs >= 1; b.pendingJobs-- {
		b.nextJob++
		sp := &model.Spec{ID: b.nextJob, Rank: model.Rank(b.rng.IntN(2)), Tasks: int32(20 + b.rng.IntN(60)),
			Zone: model.None, PerTask: model.Request(b.workload.cpusPerTask, 0,
				b.workload.cpusPerTask*(1.1+0.7*b.rng.Float64())), Spot: true,
			Estimate: 50 * time.Second, Image: model.Name(b.rng.IntN(b.workload.images))}
		b.specs[sp.ID] = sp
		b.dispatcher.AddJob(b.now, sp, uint64(b.nextJob), 0, false)
	}
	for _, worker := range b.workers {
		due := b.now >= worker.nextReportAt
		for i, end := range worker.endTimes {
			if worker.attempts[i].Stage == model.Running && b.now >= end {
				worker.attempts[i].Stage, worker.attempts[i].Cause = model.Exited, model.CauseDone
				due = true
			}
		}
		if due {
			b.timed("reports", func() { b.sendReport(worker) })
		}
	}
	b.timed("events", b.exchangeMessages)
	b.timed("ticks", func() {
		for _, s := range b.shards {
			s.Tick(b.now)
		}
		b.dispatcher.Tick(b.now)
	})
	b.dispatch()
	b.timed("events", b.exchangeMessages)
	b.timed("place", func() {
		for _, s := range b.shards {
			s.Place(b.now)
		}
	})
	b.timed("flush", b.sendCommands)
	b.timed("writes", func() {
		for _, w := range b.dispatcher.Writes(b.now, 3) {
			b.dispatcher.WriteDone(b.now, w, uint64(b.now), true, false)
		}
	})
	b.timed("events", b.exchangeMessages)
	if b.now%(500*time.Millisecond) == 0 {
		b.timed("fleet", b.stepFleet)
	}
}

// dispatch updates the shards' status and assigns waiting tasks.
func (b *benchCluster) dispatch() {
	b.timed("status", func() {
		for i, s := range b.shards {
			b.dispatcher.UpdateStatus(b.now, model.ShardID(i+1), s.TakeStatus(b.now), s.TaskCounts(b.now),
				s.AssignmentsReceived())
		}
	})
	b.timed("deal", func() { b.dispatcher.Dispatch(b.now) })
}

// sendCommands executes the shards' direct commands at once.
func (b *benchCluster) sendCommands() {
	for _, s := range b.shards {
		s.Flush(b.now, 48)
		for _, d := range s.TakeDirectCommands() {
			worker := b.workers[d.Machine]
			b.directCommands++
			b.execute(worker, d.Token, d.Commands)
			s.DirectCommandDone(b.now, d, worker.newReport(), true)
		}
	}
}

// stepFleet advances the fleet by the current demand.
func (b *benchCluster) stepFleet() {
	status := b.dispatcher.MachineStatuses()
	b.fleet.Observe(b.now, status, b.dispatcher.LeaseExpired)
	var demand []fleet.Demand
	for _, need := range b.dispatcher.Demand() {
		demand = append(demand, fleet.Demand{Job: need,
			Placed: need.Assigned - int32(b.dispatcher.TaskCounts(need.Spec.ID).Waiting)})
	}
	b.fleet.Step(b.now, status, demand, b.dispatcher.TeamLimit)
}

// BenchmarkSteadyState measures the processor time of the decisions of a second without faults, for
// all shards together, in milliseconds by component.
func BenchmarkSteadyState(b *testing.B) {
	for _, c := range []struct {
		name string
		l    workload
		n    int
	}{{"small", smallMachines, 1373}, {"small", smallMachines, 2746}, {"small", smallMachines, 5492},
		{"large", largeMachines, 740},
		{"large", largeMachines, 2960}} {
		b.Run(fmt.Sprint(c.name, "/", c.n), func(b *testing.B) {
			cluster := newBenchCluster(c.l, c.n, 1)
			for range 900 {
				cluster.step()
			}
			cluster.timeSpent = map[string]time.Duration{}
			cluster.finishedTasks, cluster.reportCount, cluster.directCommands = 0, 0, 0
			b.ResetTimer()
			for range b.N {
				for range 10 {
					cluster.step()
				}
			}
			for part, d := range cluster.timeSpent {
				b.ReportMetric(d.Seconds()*1000/float64(b.N), part+"-ms/s")
			}
			b.ReportMetric(float64(cluster.finishedTasks)/float64(b.N), "done/s")
			b.ReportMetric(float64(cluster.reportCount)/float64(b.N), "reports/s")
			b.ReportMetric(float64(cluster.directCommands)/float64(b.N), "directs/s")
		})
	}
}

// BenchmarkFencing measures the cost of a change of leader: all machines run tasks of the previous
// term and report to shards that know nothing. Processor time and heap growth are per machine.
func BenchmarkFencing(b *testing.B) {
	for _, c := range []struct {
		name string
		l    workload
		n    int
	}{{"small", smallMachines, 1373}, {"small", smallMachines, 5000}, {"large", largeMachines, 740}} {
		b.Run(fmt.Sprint(c.name, "/", c.n), func(b *testing.B) {
			cluster := newBenchCluster(c.l, c.n, 1)
			for range 600 {
				cluster.step()
			}
			var spent time.Duration
			var bytes, recovered int64
			b.ResetTimer()
			for i := range b.N {
				open := map[model.JobID]bool{}
				cluster.dispatcher.ForEachOpenJob(func(id model.JobID, _ uint64, _, _ int) { open[id] = true })
				cluster.dispatcher, cluster.fleet, cluster.shards = nil, nil, nil
				before := heapInUse()
				began, at := time.Now(), cluster.now
				cluster.startNextTerm(uint64(i+2), open)
				for !cluster.dispatcher.Recovered() {
					cluster.step()
				}
				spent += time.Since(began)
				bytes += heapInUse() - before
				recovered += int64(cluster.now - at)
			}
			each := float64(b.N) * float64(c.n)
			b.ReportMetric(spent.Seconds()*1e6/each, "us/machine")
			b.ReportMetric(float64(bytes)/each, "B/machine")
			b.ReportMetric(time.Duration(recovered).Seconds()/float64(b.N), "simulated-s")
		})
	}
}

// startNextTerm starts a term that reads what the previous one has stored.
func (b *benchCluster) startNextTerm(term uint64, open map[model.JobID]bool) {
	b.startTerm(term)
	for i := range b.workers {
		m := b.workers[i].machine
		m.Cap = b.workload.types()[0].Cap
		b.dispatcher.AddStoredBlock(dispatcher.BlockID{}, 1, []model.Machine{m})
	}
	for id := range b.nextJob + 1 {
		if open[id] {
			b.dispatcher.AddJob(b.now, b.specs[id], uint64(id), 0, true)
		}
	}
}

// heapInUse returns the size of the live heap.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

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
func (h *benchWorker) newReport() *model.Report {
	h.seq++
	return &model.Report{Machine: h.machine, Session: 1, Seq: h.seq, Token: h.token, PreemptionNotice: -1,
		Attempts: h.attempts}
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
func newBenchCluster(l workload, machines int, term uint64) *benchCluster {
	y := &benchCluster{specs: map[model.JobID]*model.Spec{}, rng: rand.New(rand.NewPCG(7, uint64(machines))),
		now:       time.Minute,
		timeSpent: map[string]time.Duration{}, arrivalRate: float64(machines) / float64(l.jobs), workload: l}
	for i := range machines {
		y.workers = append(y.workers, &benchWorker{machine: model.Machine{ID: model.MachineID(i), Addr: "w",
			Zone: model.Name(i % 3),
			Spot: i%2 == 0}, shard: i % l.shards,
			nextReportAt: y.now + time.Duration(i)*l.reportInterval()/time.Duration(machines)})
	}
	y.startTerm(term)
	return y
}

// startTerm starts a term with an empty dispatcher, fleet and shards.
func (y *benchCluster) startTerm(term uint64) {
	y.dispatcher = dispatcher.New(dispatcher.Params{Term: term, Teams: []dispatcher.Team{{}}, ChunkSize: 64,
		BlockSize:        128,
		ProgressInterval: 2 * time.Second, DispatchAhead: 12, MaxLease: 43 * time.Second}, y.now)
	y.dispatcher.SetTypes(y.workload.types())
	y.fleet = fleet.New(fleet.Params{Term: term, TermStart: y.now, ListLag: 10 * time.Second, IdleReturn: time.Hour,
		Horizon: 90 * time.Second, RetryRefusedAfter: 15 * time.Second})
	y.fleet.SetTypes(y.workload.types())
	y.fleet.UpdateListed(y.now, y.now, nil)
	y.shards = nil
	for i := range y.workload.shards {
		id := y.dispatcher.AddShard(y.now, fmt.Sprint("c", i))
		localShard := shard.New(shard.Params{MaxLease: 43 * time.Second, ReportInterval: y.workload.reportInterval(),
			VictimSample: 3,
			PaybackLimit: time.Minute, DemotionStep: 2, DirectRetryDelay: time.Second}, y.dispatcher.FirstAttempt(id), y.rng)
		localShard.SetGrant(time.Hour * 24)
		y.shards = append(y.shards, localShard)
	}
}

// timed runs f and adds its time to the component.
func (y *benchCluster) timed(component string, f func()) {
	began := time.Now()
	f()
	y.timeSpent[component] += time.Since(began)
}

// exchangeMessages delivers orders and events between dispatcher and shards until there are none left.
func (y *benchCluster) exchangeMessages() {
	for again := true; again; {
		again = false
		for _, o := range y.dispatcher.TakeOrders() {
			again = true
			y.shards[o.To-1].HandleOrder(y.now, o)
		}
		for i, s := range y.shards {
			for _, e := range s.TakeEvents() {
				again = true
				if e.Kind == model.TaskFinished {
					y.finishedTasks++
				}
				y.dispatcher.HandleEvent(y.now, model.ShardID(i+1), e)
			}
		}
	}
}

// sendReport has a worker report and execute the commands in the answer.
func (y *benchCluster) sendReport(worker *benchWorker) {
	y.reportCount++
	worker.nextReportAt = y.now + y.workload.reportInterval()
	s := y.shards[worker.shard]
	r := worker.newReport()
	if !s.HandleReport(y.now, r) {
		y.exchangeMessages()
		if !s.HandleReport(y.now, r) {
			return
		}
	}
	s.PlaceOn(y.now, worker.machine.ID)
	a := s.Answer(y.now, r)
	y.execute(worker, a.Token, a.Commands)
}

// execute carries out commands on a worker.
func (y *benchCluster) execute(worker *benchWorker, token uint64, cmds []model.Command) {
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
			worker.endTimes = append(worker.endTimes, y.now+time.Duration(20+y.rng.IntN(60))*time.Second)
		case c.Verb == model.Kill && index >= 0:
			worker.attempts[index].Stage, worker.attempts[index].Cause = model.Exited, model.CauseStopped
		case c.Verb == model.Clear && index >= 0:
			worker.attempts = append(worker.attempts[:index:index], worker.attempts[index+1:]...)
			worker.endTimes = append(worker.endTimes[:index:index], worker.endTimes[index+1:]...)
		}
	}
}

// step advances the cluster by a tenth of a second.
func (y *benchCluster) step() {
	y.now += 100 * time.Millisecond
	for y.pendingJobs += y.arrivalRate / 10; y.pendingJobs >= 1; y.pendingJobs-- {
		y.nextJob++
		sp := &model.Spec{ID: y.nextJob, Rank: model.Rank(y.rng.IntN(2)), Tasks: int32(20 + y.rng.IntN(60)),
			Zone: model.None, PerTask: model.Request(y.workload.cpusPerTask, 0,
				y.workload.cpusPerTask*(1.1+0.7*y.rng.Float64())), Spot: true,
			Estimate: 50 * time.Second, Image: model.Name(y.rng.IntN(y.workload.images))}
		y.specs[sp.ID] = sp
		y.dispatcher.AddJob(y.now, sp, uint64(y.nextJob), 0, false)
	}
	for _, worker := range y.workers {
		due := y.now >= worker.nextReportAt
		for i, end := range worker.endTimes {
			if worker.attempts[i].Stage == model.Running && y.now >= end {
				worker.attempts[i].Stage, worker.attempts[i].Cause = model.Exited, model.CauseDone
				due = true
			}
		}
		if due {
			y.timed("reports", func() { y.sendReport(worker) })
		}
	}
	y.timed("events", y.exchangeMessages)
	y.timed("ticks", func() {
		for _, s := range y.shards {
			s.Tick(y.now)
		}
		y.dispatcher.Tick(y.now)
	})
	y.dispatch()
	y.timed("events", y.exchangeMessages)
	y.timed("place", func() {
		for _, s := range y.shards {
			s.Place(y.now)
		}
	})
	y.timed("flush", y.sendCommands)
	y.timed("writes", func() {
		for _, w := range y.dispatcher.Writes(y.now, 3) {
			y.dispatcher.WriteDone(y.now, w, uint64(y.now), true, false)
		}
	})
	y.timed("events", y.exchangeMessages)
	if y.now%(500*time.Millisecond) == 0 {
		y.timed("fleet", y.stepFleet)
	}
}

// dispatch updates the shards' status and assigns waiting tasks.
func (y *benchCluster) dispatch() {
	y.timed("status", func() {
		for i, s := range y.shards {
			y.dispatcher.UpdateStatus(y.now, model.ShardID(i+1), s.TakeStatus(y.now), s.TaskCounts(y.now),
				s.AssignmentsReceived())
		}
	})
	y.timed("deal", func() { y.dispatcher.Dispatch(y.now) })
}

// sendCommands executes the shards' direct commands at once.
func (y *benchCluster) sendCommands() {
	for _, s := range y.shards {
		s.Flush(y.now, 48)
		for _, d := range s.TakeDirectCommands() {
			worker := y.workers[d.Machine]
			y.directCommands++
			y.execute(worker, d.Token, d.Commands)
			s.DirectCommandDone(y.now, d, worker.newReport(), true)
		}
	}
}

// stepFleet advances the fleet by the current demand.
func (y *benchCluster) stepFleet() {
	status := y.dispatcher.MachineStatuses()
	y.fleet.Observe(y.now, status, y.dispatcher.LeaseExpired)
	var demand []fleet.Demand
	for _, need := range y.dispatcher.Demand() {
		demand = append(demand, fleet.Demand{Job: need,
			Placed: need.Assigned - int32(y.dispatcher.TaskCounts(need.Spec.ID).Waiting)})
	}
	y.fleet.Step(y.now, status, demand, y.dispatcher.TeamLimit)
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
			y := newBenchCluster(c.l, c.n, 1)
			for range 900 {
				y.step()
			}
			y.timeSpent = map[string]time.Duration{}
			y.finishedTasks, y.reportCount, y.directCommands = 0, 0, 0
			b.ResetTimer()
			for range b.N {
				for range 10 {
					y.step()
				}
			}
			for part, d := range y.timeSpent {
				b.ReportMetric(d.Seconds()*1000/float64(b.N), part+"-ms/s")
			}
			b.ReportMetric(float64(y.finishedTasks)/float64(b.N), "done/s")
			b.ReportMetric(float64(y.reportCount)/float64(b.N), "reports/s")
			b.ReportMetric(float64(y.directCommands)/float64(b.N), "directs/s")
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
			y := newBenchCluster(c.l, c.n, 1)
			for range 600 {
				y.step()
			}
			var spent time.Duration
			var bytes, recovered int64
			b.ResetTimer()
			for i := range b.N {
				open := map[model.JobID]bool{}
				y.dispatcher.ForEachOpenJob(func(id model.JobID, _ uint64, _, _ int) { open[id] = true })
				y.dispatcher, y.fleet, y.shards = nil, nil, nil
				before := heapInUse()
				began, at := time.Now(), y.now
				y.startNextTerm(uint64(i+2), open)
				for !y.dispatcher.Recovered() {
					y.step()
				}
				spent += time.Since(began)
				bytes += heapInUse() - before
				recovered += int64(y.now - at)
			}
			each := float64(b.N) * float64(c.n)
			b.ReportMetric(spent.Seconds()*1e6/each, "us/machine")
			b.ReportMetric(float64(bytes)/each, "B/machine")
			b.ReportMetric(time.Duration(recovered).Seconds()/float64(b.N), "simulated-s")
		})
	}
}

// startNextTerm starts a term that reads what the previous one has stored.
func (y *benchCluster) startNextTerm(term uint64, open map[model.JobID]bool) {
	y.startTerm(term)
	for i := range y.workers {
		m := y.workers[i].machine
		m.Cap = y.workload.types()[0].Cap
		y.dispatcher.AddStoredBlock(dispatcher.BlockID{}, 1, []model.Machine{m})
	}
	for id := range y.nextJob + 1 {
		if open[id] {
			y.dispatcher.AddJob(y.now, y.specs[id], uint64(id), 0, true)
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

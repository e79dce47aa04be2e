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

// yard is a term on a plain day: a dealer, its shards and its fleet, with workers
// that do as they are told at once. It measures what decisions cost; nothing is
// lost or late in it.
type yard struct {
	d       *dispatcher.Dispatcher
	f       *fleet.Fleet
	shards  []*shard.Shard // by id, from 1; the first is the leader's own
	hands   []*hand
	specs   map[model.JobID]*model.Spec
	now     time.Duration
	nextJob model.JobID
	arrive  float64 // jobs a second
	owed    float64
	rng     *rand.Rand
	spent   map[string]time.Duration
	done    int
	reports int
	directs int
	load    load
}

// load is what a yard's machines are like, and its tasks.
type load struct {
	cpus, report, shards, jobs, images int
	each                               float64 // CPUs of a task
}

// Two loads: small machines that report seldom, and large ones with many tasks
// that report often.
var (
	small = load{cpus: 8, report: 8, shards: 3, jobs: 900, images: 24, each: 4}
	large = load{cpus: 48, report: 3, shards: 5, jobs: 140, images: 24, each: 2}
)

// hand is a worker.
type hand struct {
	m     model.Machine
	at    int // the shard that it reports to
	token uint64
	seq   uint64
	next  time.Duration
	cells []model.AttemptStatus
	ends  []time.Duration // of cells
}

// account is its next message about itself.
func (h *hand) account() *model.Report {
	h.seq++
	return &model.Report{Machine: h.m, Session: 1, Seq: h.seq, Token: h.token, PreemptionNotice: -1, Attempts: h.cells}
}

func (l load) types() []model.MachineType {
	c := float64(l.cpus)
	return []model.MachineType{{Name: 0, Cap: model.Capacity(c, 0, 2*c), Price: 0.07 * c, SpotPrice: 0.03 * c,
		Boot: 20 * time.Second, Zones: []model.Name{0, 1, 2}}}
}

func (l load) every() time.Duration { return time.Duration(l.report) * time.Second }

func newYard(l load, machines int, term uint64) *yard {
	y := &yard{specs: map[model.JobID]*model.Spec{}, rng: rand.New(rand.NewPCG(7, uint64(machines))), now: time.Minute,
		spent: map[string]time.Duration{}, arrive: float64(machines) / float64(l.jobs), load: l}
	for i := range machines {
		y.hands = append(y.hands, &hand{m: model.Machine{ID: model.MachineID(i), Addr: "w", Zone: model.Name(i % 3),
			Spot: i%2 == 0}, at: i % l.shards,
			next: y.now + time.Duration(i)*l.every()/time.Duration(machines)})
	}
	y.lead(term)
	return y
}

// lead begins a term.
func (y *yard) lead(term uint64) {
	y.d = dispatcher.New(dispatcher.Params{Term: term, Teams: []dispatcher.Team{{}}, ChunkSize: 64, BlockSize: 128,
		ProgressInterval: 2 * time.Second, DispatchAhead: 12, MaxLease: 43 * time.Second}, y.now)
	y.d.SetTypes(y.load.types())
	y.f = fleet.New(fleet.Params{Term: term, TermStart: y.now, ListLag: 10 * time.Second, IdleReturn: time.Hour,
		Horizon: 90 * time.Second, RetryRefusedAfter: 15 * time.Second})
	y.f.SetTypes(y.load.types())
	y.f.UpdateListed(y.now, y.now, nil)
	y.shards = nil
	for i := range y.load.shards {
		id := y.d.AddShard(y.now, fmt.Sprint("c", i))
		s := shard.New(shard.Params{MaxLease: 43 * time.Second, ReportInterval: y.load.every(), VictimSample: 3,
			PaybackLimit: time.Minute, DemotionStep: 2, DirectRetryDelay: time.Second}, y.d.FirstAttempt(id), y.rng)
		s.SetGrant(time.Hour * 24)
		y.shards = append(y.shards, s)
	}
}

// timed runs a part and counts what it took.
func (y *yard) timed(part string, f func()) {
	began := time.Now()
	f()
	y.spent[part] += time.Since(began)
}

func (y *yard) exchange() {
	for again := true; again; {
		again = false
		for _, o := range y.d.TakeOrders() {
			again = true
			y.shards[o.To-1].HandleOrder(y.now, o)
		}
		for i, s := range y.shards {
			for _, e := range s.TakeEvents() {
				again = true
				if e.Kind == model.TaskFinished {
					y.done++
				}
				y.d.HandleEvent(y.now, model.ShardID(i+1), e)
			}
		}
	}
}

// report lets a worker report and do what it is told.
func (y *yard) report(h *hand) {
	y.reports++
	h.next = y.now + y.load.every()
	s := y.shards[h.at]
	r := h.account()
	if !s.HandleReport(y.now, r) {
		y.exchange()
		if !s.HandleReport(y.now, r) {
			return
		}
	}
	s.PlaceOn(y.now, h.m.ID)
	a := s.Answer(y.now, r)
	y.obey(h, a.Token, a.Commands)
}

func (y *yard) obey(h *hand, token uint64, cmds []model.Command) {
	h.token = max(h.token, token)
	for _, c := range cmds {
		at := -1
		for i := range h.cells {
			if h.cells[i].Task == c.Task && h.cells[i].Attempt == c.Attempt {
				at = i
			}
		}
		switch {
		case c.Verb == model.Launch && at < 0:
			h.cells = append(h.cells, model.AttemptStatus{Task: c.Task, Attempt: c.Attempt, Stage: model.Running})
			h.ends = append(h.ends, y.now+time.Duration(20+y.rng.IntN(60))*time.Second)
		case c.Verb == model.Kill && at >= 0:
			h.cells[at].Stage, h.cells[at].Cause = model.Exited, model.CauseStopped
		case c.Verb == model.Clear && at >= 0:
			h.cells = append(h.cells[:at:at], h.cells[at+1:]...)
			h.ends = append(h.ends[:at:at], h.ends[at+1:]...)
		}
	}
}

// step is a tenth of a second.
func (y *yard) step() {
	y.now += 100 * time.Millisecond
	for y.owed += y.arrive / 10; y.owed >= 1; y.owed-- {
		y.nextJob++
		sp := &model.Spec{ID: y.nextJob, Rank: model.Rank(y.rng.IntN(2)), Tasks: int32(20 + y.rng.IntN(60)),
			Zone: model.None, PerTask: model.Request(y.load.each, 0, y.load.each*(1.1+0.7*y.rng.Float64())), Spot: true,
			Estimate: 50 * time.Second, Image: model.Name(y.rng.IntN(y.load.images))}
		y.specs[sp.ID] = sp
		y.d.AddJob(y.now, sp, uint64(y.nextJob), 0, false)
	}
	for _, h := range y.hands {
		due := y.now >= h.next
		for i, end := range h.ends {
			if h.cells[i].Stage == model.Running && y.now >= end {
				h.cells[i].Stage, h.cells[i].Cause = model.Exited, model.CauseDone
				due = true
			}
		}
		if due {
			y.timed("reports", func() { y.report(h) })
		}
	}
	y.timed("events", y.exchange)
	y.timed("ticks", func() {
		for _, s := range y.shards {
			s.Tick(y.now)
		}
		y.d.Tick(y.now)
	})
	y.deal()
	y.timed("events", y.exchange)
	y.timed("place", func() {
		for _, s := range y.shards {
			s.Place(y.now)
		}
	})
	y.timed("flush", y.flush)
	y.timed("writes", func() {
		for _, w := range y.d.Writes(y.now, 3) {
			y.d.WriteDone(y.now, w, uint64(y.now), true, false)
		}
	})
	y.timed("events", y.exchange)
	if y.now%(500*time.Millisecond) == 0 {
		y.timed("fleet", y.fleet)
	}
}

func (y *yard) deal() {
	y.timed("status", func() {
		for i, s := range y.shards {
			y.d.UpdateStatus(y.now, model.ShardID(i+1), s.TakeStatus(y.now), s.TaskCounts(y.now), s.AssignmentsReceived())
		}
	})
	y.timed("deal", func() { y.d.Dispatch(y.now) })
}

func (y *yard) flush() {
	for _, s := range y.shards {
		s.Flush(y.now, 48)
		for _, d := range s.TakeDirectCommands() {
			h := y.hands[d.Machine]
			y.directs++
			y.obey(h, d.Token, d.Commands)
			s.DirectCommandDone(y.now, d, h.account(), true)
		}
	}
}

func (y *yard) fleet() {
	status := y.d.MachineStatuses()
	y.f.Observe(y.now, status, y.d.LeaseExpired)
	var demand []fleet.Demand
	for _, need := range y.d.Demand() {
		demand = append(demand, fleet.Demand{Job: need, Placed: need.Assigned - int32(y.d.TaskCounts(need.Spec.ID).Waiting)})
	}
	y.f.Step(y.now, status, demand, y.d.TeamLimit)
}

// BenchmarkCalm measures what the decisions of a calm second cost, all shards'
// together, in milliseconds of processor time by part.
func BenchmarkCalm(b *testing.B) {
	for _, c := range []struct {
		name string
		l    load
		n    int
	}{{"small", small, 1373}, {"small", small, 2746}, {"small", small, 5492}, {"large", large, 740},
		{"large", large, 2960}} {
		b.Run(fmt.Sprint(c.name, "/", c.n), func(b *testing.B) {
			y := newYard(c.l, c.n, 1)
			for range 900 {
				y.step()
			}
			y.spent = map[string]time.Duration{}
			y.done, y.reports, y.directs = 0, 0, 0
			b.ResetTimer()
			for range b.N {
				for range 10 {
					y.step()
				}
			}
			for part, d := range y.spent {
				b.ReportMetric(d.Seconds()*1000/float64(b.N), part+"-ms/s")
			}
			b.ReportMetric(float64(y.done)/float64(b.N), "done/s")
			b.ReportMetric(float64(y.reports)/float64(b.N), "reports/s")
			b.ReportMetric(float64(y.directs)/float64(b.N), "directs/s")
		})
	}
}

// BenchmarkFencing measures what a change of leader costs: all machines hold tasks
// of the term before, and report to shards that know nothing. Processor time and
// what is kept are per machine.
func BenchmarkFencing(b *testing.B) {
	for _, c := range []struct {
		name string
		l    load
		n    int
	}{{"small", small, 1373}, {"small", small, 5000}, {"large", large, 740}} {
		b.Run(fmt.Sprint(c.name, "/", c.n), func(b *testing.B) {
			y := newYard(c.l, c.n, 1)
			for range 600 {
				y.step()
			}
			var spent time.Duration
			var bytes, recovered int64
			b.ResetTimer()
			for i := range b.N {
				open := map[model.JobID]bool{}
				y.d.ForEachOpenJob(func(id model.JobID, _ uint64, _, _ int) { open[id] = true })
				y.d, y.f, y.shards = nil, nil, nil
				before := inUse()
				began, at := time.Now(), y.now
				y.succeed(uint64(i+2), open)
				for !y.d.Recovered() {
					y.step()
				}
				spent += time.Since(began)
				bytes += inUse() - before
				recovered += int64(y.now - at)
			}
			each := float64(b.N) * float64(c.n)
			b.ReportMetric(spent.Seconds()*1e6/each, "us/machine")
			b.ReportMetric(float64(bytes)/each, "B/machine")
			b.ReportMetric(time.Duration(recovered).Seconds()/float64(b.N), "simulated-s")
		})
	}
}

// succeed begins a term that reads what the one before has stored.
func (y *yard) succeed(term uint64, open map[model.JobID]bool) {
	y.lead(term)
	for i := range y.hands {
		m := y.hands[i].m
		m.Cap = y.load.types()[0].Cap
		y.d.AddStoredBlock(dispatcher.BlockID{}, 1, []model.Machine{m})
	}
	for id := range y.nextJob + 1 {
		if open[id] {
			y.d.AddJob(y.now, y.specs[id], uint64(id), 0, true)
		}
	}
}

// inUse is what the heap holds, garbage aside.
func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

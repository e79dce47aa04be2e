package readbatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/rateshare"
	"honeylock/internal/core/readbatch"
)

// cluster is a scripted cluster under one state service's rate: controller 0 leads. Users ask,
// submit and see jobs end at a fixed total rate, whatever the number of controllers.
type cluster struct {
	t       *testing.T
	n       int
	central bool // the leader compares for all, and tells parts; else each for itself
	rate    float64
	writes  float64
	asked   float64 // questions a second
	open    int     // jobs they are about
	jobs    float64 // a second that are submitted, and end

	old     int // the last so many members are of a release that knows neither parts nor one comparison
	leaders int // how many act as leaders: 0, 1 or 2
	trouble func(c *cluster)

	rng     *rand.Rand
	now     time.Duration
	tokens  [2]float64 // requests, changes
	members []*member

	served, refused      int
	answered, unanswered int
	ends, lateEnds       int
	longest              map[model.JobID]time.Duration // since the first question without an answer
	about                map[model.JobID]bool          // answered about
	worst                time.Duration
}

// member is one controller.
type member struct {
	limiter *ratelimit.Limiter
	batcher *readbatch.Batcher
	waits   []*request
}

// request is one that waits for the limiter.
type request struct {
	ticket *ratelimit.Ticket
	class  ratelimit.Class
	writes int
	began  time.Duration
	batch  readbatch.Batch
}

const (
	clusterStep = 5 * time.Millisecond
	patience    = 1500 * time.Millisecond // of the state service's client
	userTimeout = 1800 * time.Millisecond
	endInTime   = time.Second
)

func (c *cluster) start() {
	c.rng = rand.New(rand.NewPCG(uint64(c.n), 7))
	c.tokens = [2]float64{c.rate, c.writes}
	c.leaders = 1
	c.longest, c.about = map[model.JobID]time.Duration{}, map[model.JobID]bool{}
	for range c.n {
		c.members = append(c.members, &member{
			limiter: ratelimit.New(ratelimit.Params{RequestRate: c.rate, WriteRate: c.writes, Controllers: c.n}),
			batcher: readbatch.New(readbatch.Params{Interval: 100 * time.Millisecond, MaxBatch: 80}),
		})
	}
}

// often is how many of something that comes so often a second come in this step.
func (c *cluster) often(perSecond float64) int {
	n := int(perSecond * clusterStep.Seconds())
	if c.rng.Float64() < perSecond*clusterStep.Seconds()-float64(n) {
		n++
	}
	return n
}

func (c *cluster) any() *member { return c.members[c.rng.IntN(c.n)] }

func (c *cluster) ask(m *member, class ratelimit.Class, writes int) *request {
	r := &request{class: class, writes: writes, began: c.now, ticket: m.limiter.Request(c.now, class, writes, c.now+patience)}
	m.waits = append(m.waits, r)
	return r
}

// serve carries a request out, unless it is over the rate.
func (c *cluster) serve(m *member, r *request) bool {
	if c.tokens[0] < 1 || r.writes > 0 && c.tokens[1] < float64(r.writes) {
		c.refused++
		m.limiter.HandleRefusal(c.now)
		return false
	}
	c.tokens[0]--
	c.tokens[1] -= float64(r.writes)
	c.served++
	return true
}

func (c *cluster) run(length time.Duration) {
	c.start()
	for c.now = clusterStep; c.now < length; c.now += clusterStep {
		c.tokens[0] = min(c.rate, c.tokens[0]+c.rate*clusterStep.Seconds())
		c.tokens[1] = min(c.writes, c.tokens[1]+c.writes*clusterStep.Seconds())
		if c.trouble != nil {
			c.trouble(c)
		}
		c.load()
		for i, m := range c.members {
			c.step(i, m)
		}
	}
	for _, at := range c.longest {
		c.worst = max(c.worst, c.now-at)
	}
}

// load is what users, the leader and all controllers by themselves do.
func (c *cluster) load() {
	leader := c.members[0]
	for range c.often(c.asked) {
		i := c.rng.IntN(c.n)
		m := c.members[i]
		if c.central && c.leaders > 0 && i < c.n-c.old {
			m = c.members[c.rng.IntN(c.leaders)]
		}
		g := jobs.Guard{Job: model.JobID(1 + c.rng.IntN(c.open)), Version: 1}
		if _, ok := c.longest[g.Job]; !ok {
			c.longest[g.Job] = c.now
		}
		m.batcher.Ask(c.now, g, c.now+userTimeout)
	}
	for range c.often(c.jobs) {
		c.ask(c.any(), ratelimit.Changes, 1)
	}
	for range c.often(c.jobs) {
		if c.leaders == 0 {
			break
		}
		c.ask(leader, ratelimit.Leader, 2)
		if !c.central { // else the leader says how the job ended
			c.ask(c.any(), ratelimit.Reads, 0)
		}
	}
	for i := range c.leaders {
		for range c.often(2*c.jobs + 2.7) { // its watch of the open jobs, its lease
			c.ask(c.members[i], ratelimit.Authority, 0)
		}
	}
	each := 2.0 // the leader's key and the term, once a second
	if c.central {
		each = 2 / max(1, float64(c.n-1))
	}
	for _, m := range c.members[1:] {
		for range c.often(each) {
			c.ask(m, ratelimit.Authority, 0)
		}
	}
	if c.central && c.now%(400*time.Millisecond) < clusterStep {
		for i := range c.leaders {
			c.tellParts(c.members[i])
		}
	}
}

// tellParts has a leader divide the rate. Of two at once each tells the other one as well, who
// goes by its own word.
func (c *cluster) tellParts(leader *member) {
	var others []*member
	var requests, writes []float64
	for i, m := range c.members {
		if m == leader {
			continue
		}
		need := ratelimit.Allocation{Requests: rateshare.TotalShare / float64(c.n), Writes: rateshare.TotalShare / float64(c.n)}
		if i < c.n-c.old {
			need = m.limiter.Demand(c.now)
		}
		others = append(others, m)
		requests, writes = append(requests, need.Requests), append(writes, need.Writes)
	}
	own := leader.limiter.Demand(c.now)
	r, rs := rateshare.Divide(rateshare.Requests, own.Requests, requests)
	w, ws := rateshare.Divide(rateshare.Changes, own.Writes, writes)
	until := c.now + rateshare.AllocationTTL
	leader.limiter.SetAllocation(c.now, ratelimit.Allocation{Requests: r, Writes: w}, until)
	for i, m := range others {
		if leads := slices.Index(c.members, m) < c.leaders; !leads && slices.Index(c.members, m) < c.n-c.old {
			m.limiter.SetAllocation(c.now, ratelimit.Allocation{Requests: rs[i], Writes: ws[i]}, until)
		}
	}
}

func (c *cluster) step(i int, m *member) {
	m.limiter.Step(c.now)
	batches, over, _ := m.batcher.Step(c.now)
	c.unanswered += len(over)
	for _, b := range batches {
		r := c.ask(m, ratelimit.Comparisons, 0)
		r.batch = b
	}
	kept := m.waits[:0]
	for _, r := range m.waits {
		select {
		case <-r.ticket.Decided:
			c.done(m, r, !r.ticket.Refused && c.serve(m, r))
		default:
			kept = append(kept, r)
		}
	}
	m.waits = kept
}

// done takes what became of a request.
func (c *cluster) done(m *member, r *request, served bool) {
	switch {
	case len(r.batch.Guards) > 0:
		out := jobs.Busy
		if served {
			out = jobs.OK
		}
		for _, a := range m.batcher.HandleOutcome(c.now, r.batch, func(jobs.Guard) jobs.Outcome { return out }) {
			c.answered++
			if since, ok := c.longest[a.Guard.Job]; ok {
				c.worst = max(c.worst, c.now-since)
				delete(c.longest, a.Guard.Job)
			}
			c.about[a.Guard.Job] = true
		}
	case r.class == ratelimit.Leader && served:
		c.ends++
		if c.now-r.began > endInTime {
			c.lateEnds++
		}
	case r.class == ratelimit.Leader: // until it is stored
		began := r.began
		m.limiter.Cancel(r.ticket)
		again := c.ask(m, ratelimit.Leader, 2)
		again.began = began
	}
}

func (c *cluster) String() string {
	return fmt.Sprintf("%d controllers: %d served, %d refused; %d answered, %d not; %d ends, %d late; longest without %v",
		c.n, c.served, c.refused, c.answered, c.unanswered, c.ends, c.lateEnds, c.worst)
}

// monthEnd is the load of a region of 3,127 workers as it was played on the users' bench.
func monthEnd(t *testing.T, n int, central bool) *cluster {
	t.Helper()
	c := &cluster{t: t, n: n, central: central, rate: 70, writes: 25, asked: 90, open: 450, jobs: 3.3}
	c.run(3 * time.Minute)
	t.Log(c)
	return c
}

// What users ask costs the same whatever the number of controllers, and the leader's ends of
// jobs wait for nobody's reads.
func TestCostIsIndependentOfControllers(t *testing.T) {
	three := monthEnd(t, 3, true)
	for _, n := range []int{3, 7, 20} {
		c := monthEnd(t, n, true)
		if c.served > three.served*11/10 {
			t.Errorf("%v: over a tenth more than %d", c, three.served)
		}
		if c.refused > c.served/200 || c.lateEnds > 0 || c.unanswered > c.answered/200 {
			t.Errorf("%v", c)
		}
	}
}

// The harness sees what the mechanism is for: where each controller compares for itself and
// goes by refusals alone, seven use the whole rate up, and with twenty jobs end too late or
// not at all.
func TestOwnComparisonsUseTheRateUp(t *testing.T) {
	three := monthEnd(t, 3, true)
	if c := monthEnd(t, 7, false); c.served+c.refused < 2*three.served {
		t.Errorf("%v: no more than %v", c, three)
	}
	if c := monthEnd(t, 20, false); c.ends-c.lateEnds > three.ends/2 || c.refused < c.served/10 {
		t.Errorf("%v: nothing is wrong", c)
	}
}

// Ends of jobs are stored in time in every state that the cluster can be in. The load is that
// of the month end; the trouble begins after a minute.
func TestEndsGoFirstInEveryState(t *testing.T) {
	const begins = time.Minute
	during := func(length time.Duration, f func(c *cluster)) func(*cluster) {
		return func(c *cluster) {
			if c.now >= begins && c.now < begins+length {
				f(c)
			} else if c.now >= begins+length {
				c.leaders = 1
			}
		}
	}
	for _, s := range []struct {
		name    string
		old     int
		trouble func(*cluster)
	}{
		{"no leader for 10 s", 0, during(10*time.Second, func(c *cluster) { c.leaders = 0 })},
		{"two leaders for 3 s", 0, during(3*time.Second, func(c *cluster) { c.leaders = 2 })},
		{"members of the release before", 2, nil},
		{"the rate falls by a third", 0, func(c *cluster) {
			if c.now >= begins {
				c.rate = 47
			}
		}},
		{"all users ask at once", 0, func(c *cluster) {
			c.asked = 90
			if c.now >= begins && c.now < begins+5*time.Second {
				c.asked = 900
			}
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			for _, n := range []int{3, 7, 20} {
				c := &cluster{t: t, n: n, central: true, rate: 70, writes: 25, asked: 90, open: 450,
					jobs: 3.3, old: min(s.old, n-1),
					trouble: s.trouble}
				c.run(2 * time.Minute)
				t.Log(c)
				if c.lateEnds > c.ends/100 || c.worst > 30*time.Second {
					t.Errorf("%v", c)
				}
			}
		})
	}
}

// In a storm of questions, under a rate that is far too low for them one by one, the leader's
// ends are stored in time and each job is answered about, the longest unanswered first.
func TestStormOfQuestions(t *testing.T) {
	for _, n := range []int{3, 20} {
		c := &cluster{t: t, n: n, central: true, rate: 16, writes: 25, asked: 800, open: 4000, jobs: 1}
		c.run(2 * time.Minute)
		t.Log(c)
		if c.lateEnds > 0 || c.worst > 75*time.Second {
			t.Errorf("%v", c)
		}
		if len(c.about) < c.open {
			t.Errorf("%d of %d jobs were answered about", len(c.about), c.open)
		}
	}
}

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

// cluster simulates controllers that share one state service's rate; controller 0 leads. Users check
// and submit jobs, and jobs end, at fixed total rates, whatever the number of controllers.
type cluster struct {
	t           *testing.T
	controllers int
	central     bool // the leader sends comparisons for all and allocates rates; else each controller is on its own
	requestRate float64
	writeRate   float64
	checkRate   float64 // checks per second
	openJobs    int     // jobs that are checked
	jobRate     float64 // jobs per second that are submitted, and that end

	oldMembers  int // number of members, the last ones, of a release without allocations and central comparisons
	leaderCount int // controllers that act as leader: 0, 1 or 2
	fault       func(c *cluster)

	rng     *rand.Rand
	now     time.Duration
	tokens  [2]float64 // requests, changes
	members []*member

	served, refused      int
	answered, unanswered int
	jobEnds, lateJobEnds int
	unansweredSince      map[model.JobID]time.Duration // when the first check without an answer arrived
	answeredJobs         map[model.JobID]bool          // jobs with an answered check
	longestUnanswered    time.Duration
}

// member is one controller.
type member struct {
	limiter *ratelimit.Limiter
	batcher *readbatch.Batcher
	waiting []*request
}

// request is a request that waits for the limiter.
type request struct {
	ticket    *ratelimit.Ticket
	class     ratelimit.Class
	writes    int
	startedAt time.Duration
	batch     readbatch.Batch
}

const (
	clusterStep    = 5 * time.Millisecond
	requestTimeout = 1500 * time.Millisecond // of the state service's client
	userTimeout    = 1800 * time.Millisecond
	maxJobEndDelay = time.Second
)

// start creates the controllers.
func (c *cluster) start() {
	c.rng = rand.New(rand.NewPCG(uint64(c.controllers), 7))
	c.tokens = [2]float64{c.requestRate, c.writeRate}
	c.leaderCount = 1
	c.unansweredSince, c.answeredJobs = map[model.JobID]time.Duration{}, map[model.JobID]bool{}
	for range c.controllers {
		c.members = append(c.members, &member{
			limiter: ratelimit.New(ratelimit.Params{RequestRate: c.requestRate, WriteRate: c.writeRate,
				Controllers: c.controllers}),
			batcher: readbatch.New(readbatch.Params{Interval: 100 * time.Millisecond, MaxBatch: 80}),
		})
	}
}

// arrivals returns how many events of a rate happen in this step.
func (c *cluster) arrivals(perSecond float64) int {
	n := int(perSecond * clusterStep.Seconds())
	if c.rng.Float64() < perSecond*clusterStep.Seconds()-float64(n) {
		n++
	}
	return n
}

// randomMember returns a random controller.
func (c *cluster) randomMember() *member { return c.members[c.rng.IntN(c.controllers)] }

// request asks a member's limiter for a request.
func (c *cluster) request(m *member, class ratelimit.Class, writes int) *request {
	r := &request{class: class, writes: writes, startedAt: c.now,
		ticket: m.limiter.Request(c.now, class, writes, c.now+requestTimeout)}
	m.waiting = append(m.waiting, r)
	return r
}

// serve executes a request unless the rate is exhausted.
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

// run simulates the cluster for a time.
func (c *cluster) run(length time.Duration) {
	c.start()
	for c.now = clusterStep; c.now < length; c.now += clusterStep {
		c.tokens[0] = min(c.requestRate, c.tokens[0]+c.requestRate*clusterStep.Seconds())
		c.tokens[1] = min(c.writeRate, c.tokens[1]+c.writeRate*clusterStep.Seconds())
		if c.fault != nil {
			c.fault(c)
		}
		c.load()
		for i, m := range c.members {
			c.step(i, m)
		}
	}
	for _, at := range c.unansweredSince {
		c.longestUnanswered = max(c.longestUnanswered, c.now-at)
	}
}

// load makes the requests of users, of the leader and of all controllers for this step.
func (c *cluster) load() {
	leader := c.members[0]
	for range c.arrivals(c.checkRate) {
		i := c.rng.IntN(c.controllers)
		m := c.members[i]
		if c.central && c.leaderCount > 0 && i < c.controllers-c.oldMembers {
			m = c.members[c.rng.IntN(c.leaderCount)]
		}
		g := jobs.Guard{Job: model.JobID(1 + c.rng.IntN(c.openJobs)), Version: 1}
		if _, ok := c.unansweredSince[g.Job]; !ok {
			c.unansweredSince[g.Job] = c.now
		}
		m.batcher.AddCheck(c.now, g, c.now+userTimeout)
	}
	for range c.arrivals(c.jobRate) {
		c.request(c.randomMember(), ratelimit.Changes, 1)
	}
	for range c.arrivals(c.jobRate) {
		if c.leaderCount == 0 {
			break
		}
		c.request(leader, ratelimit.Leader, 2)
		if !c.central { // else the leader reports how the job ended
			c.request(c.randomMember(), ratelimit.Reads, 0)
		}
	}
	for i := range c.leaderCount {
		for range c.arrivals(2*c.jobRate + 2.7) { // watch of the open jobs, and lease renewal
			c.request(c.members[i], ratelimit.Authority, 0)
		}
	}
	readsPerSecond := 2.0 // reads of the leader's key and the term, once per second
	if c.central {
		readsPerSecond = 2 / max(1, float64(c.controllers-1))
	}
	for _, m := range c.members[1:] {
		for range c.arrivals(readsPerSecond) {
			c.request(m, ratelimit.Authority, 0)
		}
	}
	if c.central && c.now%(400*time.Millisecond) < clusterStep {
		for i := range c.leaderCount {
			c.allocateRates(c.members[i])
		}
	}
}

// allocateRates lets a leader divide the rates. If there are two leaders, each keeps to its own
// allocation rather than that of the other.
func (c *cluster) allocateRates(leader *member) {
	var others []*member
	var requests, writes []float64
	for i, m := range c.members {
		if m == leader {
			continue
		}
		demand := ratelimit.Allocation{Requests: rateshare.TotalShare / float64(c.controllers),
			Writes: rateshare.TotalShare / float64(c.controllers)}
		if i < c.controllers-c.oldMembers {
			demand = m.limiter.Demand(c.now)
		}
		others = append(others, m)
		requests, writes = append(requests, demand.Requests), append(writes, demand.Writes)
	}
	leaderDemand := leader.limiter.Demand(c.now)
	leaderRequests, memberRequests := rateshare.Divide(rateshare.Requests, leaderDemand.Requests, requests)
	leaderWrites, memberWrites := rateshare.Divide(rateshare.Changes, leaderDemand.Writes, writes)
	until := c.now + rateshare.AllocationTTL
	leader.limiter.SetAllocation(c.now, ratelimit.Allocation{Requests: leaderRequests, Writes: leaderWrites}, until)
	for i, m := range others {
		if leads := slices.Index(c.members, m) < c.leaderCount; !leads &&
			slices.Index(c.members, m) < c.controllers-c.oldMembers {
			m.limiter.SetAllocation(c.now, ratelimit.Allocation{Requests: memberRequests[i], Writes: memberWrites[i]}, until)
		}
	}
}

// step makes one member send its comparisons and the requests that its limiter has decided.
func (c *cluster) step(i int, m *member) {
	m.limiter.Step(c.now)
	batches, expired, _ := m.batcher.Step(c.now)
	c.unanswered += len(expired)
	for _, b := range batches {
		r := c.request(m, ratelimit.Comparisons, 0)
		r.batch = b
	}
	kept := m.waiting[:0]
	for _, r := range m.waiting {
		select {
		case <-r.ticket.Decided:
			c.handleOutcome(m, r, !r.ticket.Refused && c.serve(m, r))
		default:
			kept = append(kept, r)
		}
	}
	m.waiting = kept
}

// handleOutcome takes the outcome of a request.
func (c *cluster) handleOutcome(m *member, r *request, served bool) {
	switch {
	case len(r.batch.Guards) > 0:
		outcome := jobs.Busy
		if served {
			outcome = jobs.OK
		}
		for _, a := range m.batcher.HandleOutcome(c.now, r.batch, func(jobs.Guard) jobs.Outcome { return outcome }) {
			c.answered++
			if since, ok := c.unansweredSince[a.Guard.Job]; ok {
				c.longestUnanswered = max(c.longestUnanswered, c.now-since)
				delete(c.unansweredSince, a.Guard.Job)
			}
			c.answeredJobs[a.Guard.Job] = true
		}
	case r.class == ratelimit.Leader && served:
		c.jobEnds++
		if c.now-r.startedAt > maxJobEndDelay {
			c.lateJobEnds++
		}
	case r.class == ratelimit.Leader: // retried until it is stored
		startedAt := r.startedAt
		m.limiter.Cancel(r.ticket)
		retry := c.request(m, ratelimit.Leader, 2)
		retry.startedAt = startedAt
	}
}

// String summarizes the outcome of a run.
func (c *cluster) String() string {
	return fmt.Sprintf("%d controllers: %d served, %d refused; %d answered, %d not; %d ends, %d late; longest without %v",
		c.controllers, c.served, c.refused, c.answered, c.unanswered, c.jobEnds, c.lateJobEnds, c.longestUnanswered)
}

// runMonthEnd runs the month-end load of a region with 3,127 workers.
func runMonthEnd(t *testing.T, n int, central bool) *cluster {
	t.Helper()
	c := &cluster{t: t, controllers: n, central: central, requestRate: 70, writeRate: 25, checkRate: 90, openJobs: 450,
		jobRate: 3.3}
	c.run(3 * time.Minute)
	t.Log(c)
	return c
}

// Users' checks cost the same whatever the number of controllers, and the leader's requests to store
// ends of jobs do not wait for reads.
func TestCostIsIndependentOfControllers(t *testing.T) {
	three := runMonthEnd(t, 3, true)
	for _, n := range []int{3, 7, 20} {
		c := runMonthEnd(t, n, true)
		if c.served > three.served*11/10 {
			t.Errorf("%v: more than a tenth above %d", c, three.served)
		}
		if c.refused > c.served/200 || c.lateJobEnds > 0 || c.unanswered > c.answered/200 {
			t.Errorf("%v", c)
		}
	}
}

// Shows that the simulation detects the problem: if each controller sends its own comparisons and
// only adapts to refusals, seven exhaust the rate, and with twenty, jobs end too late or not at all.
func TestSeparateComparisonsExhaustTheRate(t *testing.T) {
	three := runMonthEnd(t, 3, true)
	if c := runMonthEnd(t, 7, false); c.served+c.refused < 2*three.served {
		t.Errorf("%v: not more than %v", c, three)
	}
	if c := runMonthEnd(t, 20, false); c.jobEnds-c.lateJobEnds > three.jobEnds/2 || c.refused < c.served/10 {
		t.Errorf("%v: the problem does not show", c)
	}
}

// Ends of jobs are stored in time in each state of the cluster. The load is that of the month end;
// the fault begins after a minute.
func TestJobEndsAreStoredInTime(t *testing.T) {
	const faultStart = time.Minute
	faultDuring := func(length time.Duration, f func(c *cluster)) func(*cluster) {
		return func(c *cluster) {
			if c.now >= faultStart && c.now < faultStart+length {
				f(c)
			} else if c.now >= faultStart+length {
				c.leaderCount = 1
			}
		}
	}
	for _, test := range []struct {
		name       string
		oldMembers int
		fault      func(*cluster)
	}{
		{"no leader for 10 s", 0, faultDuring(10*time.Second, func(c *cluster) { c.leaderCount = 0 })},
		{"two leaders for 3 s", 0, faultDuring(3*time.Second, func(c *cluster) { c.leaderCount = 2 })},
		{"members of the previous release", 2, nil},
		{"the rate falls by a third", 0, func(c *cluster) {
			if c.now >= faultStart {
				c.requestRate = 47
			}
		}},
		{"all users check at once", 0, func(c *cluster) {
			c.checkRate = 90
			if c.now >= faultStart && c.now < faultStart+5*time.Second {
				c.checkRate = 900
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, n := range []int{3, 7, 20} {
				c := &cluster{t: t, controllers: n, central: true, requestRate: 70, writeRate: 25, checkRate: 90, openJobs: 450,
					jobRate: 3.3, oldMembers: min(test.oldMembers, n-1),
					fault: test.fault}
				c.run(2 * time.Minute)
				t.Log(c)
				if c.lateJobEnds > c.jobEnds/100 || c.longestUnanswered > 30*time.Second {
					t.Errorf("%v", c)
				}
			}
		})
	}
}

// If there are far more checks than the rate allows one by one, the leader's ends of jobs are still
// stored in time, and each job's checks are answered, the longest unanswered first.
func TestOverloadOfChecks(t *testing.T) {
	for _, n := range []int{3, 20} {
		c := &cluster{t: t, controllers: n, central: true, requestRate: 16, writeRate: 25, checkRate: 800, openJobs: 4000,
			jobRate: 1}
		c.run(2 * time.Minute)
		t.Log(c)
		if c.lateJobEnds > 0 || c.longestUnanswered > 75*time.Second {
			t.Errorf("%v", c)
		}
		if len(c.answeredJobs) < c.openJobs {
			t.Errorf("checks of %d of %d jobs were answered", len(c.answeredJobs), c.openJobs)
		}
	}
}

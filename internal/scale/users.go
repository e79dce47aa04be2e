package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"honeylock/internal/exactjson"
	"honeylock/internal/wire"
)

// Ranks of the submitted jobs.
const (
	urgentRank   = "urgent"
	standardRank = "standard"
)

// Behavior of the simulated users.
const (
	urgentShare         = 0.2 // fraction of all jobs that are urgent
	urgentSizeDivisor   = 20  // an urgent job has fewer tasks by this factor
	teamsPerService     = 8   // one in so many teams runs a service
	serviceReplicas     = 2   // number of tasks of a service
	pollInterval        = 5 * time.Second
	pollTimeout         = 2 * time.Second
	requestTimeout      = 5 * time.Second
	minRetryDelay       = time.Second
	maxRetryDelay       = 30 * time.Second
	retryPeriod         = time.Minute
	maxControllersTried = 3 // number of controllers that the load balancer tries for one request
)

// users simulates the users of a region: they submit jobs, poll them until they end, and cancel some.
type users struct {
	spec          RegionSpec
	client        *http.Client
	submitLatency *histogram
	pollLatency   *histogram
	finishLatency *histogram

	polls, unansweredPolls atomic.Int64
	canceller              *canceller

	mu                sync.Mutex
	random            *rand.Rand
	lastJob           int
	nextController    int               // counter that selects the next controller
	descriptions      map[string][]byte // encoded job descriptions by job name
	lastAnswered      map[string]time.Time
	totals            WorldStats
	longestUnanswered time.Duration
}

func newUsers(spec RegionSpec) *users {
	u := &users{
		spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 11)),
		descriptions: map[string][]byte{}, lastAnswered: map[string]time.Time{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true,
			IdleConnTimeout: 30 * time.Second}},
		submitLatency: newHistogram(), pollLatency: newHistogram(), finishLatency: newHistogram(),
	}
	u.canceller = &canceller{users: u, answerLatency: newHistogram()}
	return u
}

// run submits jobs until the context ends. It first submits the services and as many tasks as run on average, then
// new jobs at the rate at which tasks end.
func (u *users) run(ctx context.Context) {
	for i := 0; i < len(u.spec.Teams); i += teamsPerService {
		u.startJob(ctx, u.newJob(i, "daemon", standardRank, serviceReplicas, false))
	}
	for tasks := u.spec.Workers * u.spec.TasksPerWorker; tasks > 0; {
		size := min(tasks, u.randomArraySize())
		u.startJob(ctx, u.newJob(u.randomTeam(), "batch", standardRank, size, true))
		tasks -= size
	}
	meanTasksPerJob := float64(u.spec.TasksPerJob) * (1 - urgentShare + urgentShare/urgentSizeDivisor)
	meanInterval := float64(time.Second) * meanTasksPerJob / u.spec.startsPerSecond()
	for sleepContext(ctx, time.Duration(u.randomExponential()*meanInterval)) == nil {
		if u.randomBool(urgentShare) {
			u.startJob(ctx, u.newJob(u.randomTeam(), "batch", urgentRank, max(1, u.randomArraySize()/urgentSizeDivisor), false))
		} else {
			u.startJob(ctx, u.newJob(u.randomTeam(), "batch", standardRank, u.randomArraySize(), false))
		}
	}
}

// randomExponential returns an exponentially distributed number with mean 1.
func (u *users) randomExponential() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.ExpFloat64()
}

// randomBool returns true with probability p.
func (u *users) randomBool(p float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64() < p
}

// randomTeam returns the index of a random team.
func (u *users) randomTeam() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.IntN(len(u.spec.Teams))
}

// randomArraySize returns a number of tasks for an array job: 0.5 to 1.5 times the mean.
func (u *users) randomArraySize() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(1, int(float64(u.spec.TasksPerJob)*(0.5+u.random.Float64())))
}

// job is a submitted job.
type job struct {
	name, rank, shape string
	body              []byte
	submittedAt       time.Time
}

// newJob creates a job with its description. The tasks of a residual job count as already running for a while, so
// they have only their remaining run time; see runTimeFactor.
func (u *users) newJob(team int, shape, rank string, tasks int, residual bool) *job {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastJob++
	j := &job{name: fmt.Sprintf("job-%06d", u.lastJob), rank: rank, shape: shape, submittedAt: time.Now()}
	estimate := u.spec.MeanTask.Seconds()
	if shape != "batch" {
		estimate = 0
	}
	body, err := json.Marshal(map[string]any{
		"NameId": j.name, "Comb": shape + "-" + rank, "Colony": u.spec.Teams[team].Name, "Shape": shape, "Rank": rank,
		"Cells": tasks, "Cpus": taskCPUs, "Accelerators": 0, "MemGb": taskMemGB, "Wax": "image-" + rank, "ImageGb": 0,
		"Together": false, "Spread": false, "SwarmBoxes": false, "ForageS": estimate, "CapIntervalS": 0, "CapS": 0,
		"AskedMs": j.submittedAt.UnixMilli(), "Residual": residual,
	})
	if err != nil {
		panic(fmt.Sprintf("encode a job: %v", err)) // encoding plain values can't fail
	}
	j.body = body
	u.descriptions[j.name] = body
	u.totals.Submitted++
	return j
}

// description returns the description of a job, or nil if there is no job of that name.
func (u *users) description(name string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.descriptions[name]
}

// startJob starts the goroutine of a job's user.
func (u *users) startJob(ctx context.Context, j *job) { go u.runJob(ctx, j) }

// runJob submits a job and polls it until it ends, is lost, or the context ends. Some jobs are cancelled.
func (u *users) runJob(ctx context.Context, j *job) {
	if !u.submitJob(ctx, j) {
		return
	}
	if j.shape == "batch" && u.randomBool(u.spec.CancelledShare) {
		go u.canceller.cancelAndCheck(ctx, j.name, time.Duration(u.randomExponential()*float64(u.spec.MeanTask)))
	}
	acceptedAt := time.Now()
	u.withLock(func() { u.lastAnswered[j.name] = acceptedAt })
	for sleepContext(ctx, u.withJitter(pollInterval)) == nil {
		state, status := u.pollJob(ctx, j.name)
		switch {
		case ctx.Err() != nil:
			return
		case status == http.StatusNotFound:
			u.withLock(func() {
				u.totals.Lost++
				u.totals.Losses = append(u.totals.Losses, j.name+" was accepted, but a later poll returned status 404")
				delete(u.lastAnswered, j.name)
			})
			return
		case status != http.StatusOK:
			continue
		}
		now := time.Now()
		u.withLock(func() {
			u.longestUnanswered = max(u.longestUnanswered, now.Sub(u.lastAnswered[j.name]))
			u.lastAnswered[j.name] = now
		})
		if state.Stage == "done" || state.Stage == "aborted" {
			u.finishLatency.record(now.Sub(j.submittedAt))
			u.withLock(func() {
				u.totals.Done++
				delete(u.lastAnswered, j.name)
			})
			return
		}
	}
}

// withLock calls f with the lock held.
func (u *users) withLock(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

// withJitter returns a duration changed at random by up to 10 % either way.
func (u *users) withJitter(d time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(float64(d) * (0.9 + 0.2*u.random.Float64()))
}

// submitJob submits a job and retries until it is accepted or refused, for up to retryPeriod. It reports whether the
// job was accepted.
func (u *users) submitJob(ctx context.Context, j *job) bool {
	status := u.retryCall(ctx, j.submittedAt, "/v1/jobs", j.body, http.StatusOK, http.StatusCreated, http.StatusBadRequest,
		http.StatusUnprocessableEntity)
	switch {
	case status == http.StatusOK || status == http.StatusCreated:
		u.submitLatency.record(time.Since(j.submittedAt))
		u.withLock(func() { u.totals.Accepted++ })
		return true
	case ctx.Err() == nil:
		u.withLock(func() { u.totals.Refused++ })
	}
	return false
}

// retryCall repeats a POST request until its status is one of the final ones, which it returns. It returns 0 if that
// does not happen within retryPeriod of started, or if the context ends.
func (u *users) retryCall(ctx context.Context, started time.Time, path string, body []byte, final ...int) int {
	for time.Since(started) < retryPeriod {
		status, retryAfter, _ := u.callOnce(ctx, requestTimeout, http.MethodPost, path, body)
		if slices.Contains(final, status) {
			return status
		}
		if sleepContext(ctx, u.withJitter(retryAfter)) != nil {
			return 0
		}
	}
	return 0
}

// pollJob requests the state of a job once. The status is 0 if there was no usable answer.
func (u *users) pollJob(ctx context.Context, name string) (state wire.JobState, status int) {
	u.polls.Add(1)
	started := time.Now()
	status, _, answer := u.callOnce(ctx, pollTimeout, http.MethodGet, "/v1/jobs/"+name, nil)
	if status != http.StatusOK && status != http.StatusNotFound {
		u.unansweredPolls.Add(1)
		return state, status
	}
	u.pollLatency.record(time.Since(started))
	if status == http.StatusOK && exactjson.Unmarshal(answer, &state) != nil {
		status = 0
	}
	return state, status
}

// callOnce makes one request through the simulated load balancer. The status is 0 if there was no answer; retryAfter
// is the delay before the next attempt.
func (u *users) callOnce(ctx context.Context, timeout time.Duration, method, path string, body []byte) (status int,
	retryAfter time.Duration, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := u.doBalanced(ctx, method, path, body)
	if err != nil {
		return 0, minRetryDelay, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, minRetryDelay, nil
	}
	retryAfter = minRetryDelay
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		retryAfter = min(max(retryAfter, time.Duration(seconds)*time.Second), maxRetryDelay)
	}
	return response.StatusCode, retryAfter, answer
}

// doBalanced sends a request to the controllers in round-robin order. If a controller refuses the connection, the
// request goes to the next one, up to maxControllersTried in total.
func (u *users) doBalanced(ctx context.Context, method, path string, body []byte) (response *http.Response, err error) {
	for range maxControllersTried {
		u.mu.Lock()
		u.nextController++
		addr := u.spec.Hosts[u.nextController%len(u.spec.Hosts)].Bind
		u.mu.Unlock()
		var request *http.Request
		if request, err = http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body)); err != nil {
			return nil, err
		}
		if response, err = u.client.Do(request); !errors.Is(err, syscall.ECONNREFUSED) {
			return response, err
		}
	}
	return nil, err
}

// stats returns the counts since the start of the process. reset restarts the quantiles and longestUnanswered.
func (u *users) stats(reset bool) WorldStats {
	u.mu.Lock()
	stats := u.totals
	stats.Open = len(u.lastAnswered)
	longest := u.longestUnanswered
	for _, answeredAt := range u.lastAnswered {
		longest = max(longest, time.Since(answeredAt))
	}
	if reset {
		u.longestUnanswered = 0
	}
	u.mu.Unlock()
	stats.LongestUnanswered = longest.Seconds()
	stats.Polls, stats.PollsUnanswered = u.polls.Load(), u.unansweredPolls.Load()
	stats.Cancels = u.canceller.snapshot(reset)
	stats.Submit, stats.Poll, stats.Finish = u.submitLatency.snapshot(reset), u.pollLatency.snapshot(reset),
		u.finishLatency.snapshot(reset)
	return stats
}

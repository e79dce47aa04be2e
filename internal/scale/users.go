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

	"honeylock/internal/wire"
)

// Ranks of the load.
const (
	urgentRank   = "urgent"
	standardRank = "standard"
)

// What users do, by their protocol.
const (
	urgentShare         = 0.2 // of all jobs; an urgent job is smaller
	urgentSizeDivisor   = 20  // ... by so many times
	teamsPerService     = 8   // of so many teams one runs a service
	serviceReplicas     = 2   // of a service
	pollInterval        = 5 * time.Second
	pollTimeout         = 2 * time.Second
	requestTimeout      = 5 * time.Second
	minRetryDelay       = time.Second
	maxRetryDelay       = 30 * time.Second
	retryPeriod         = time.Minute
	maxControllersTried = 3 // controllers that the load balancer tries for one connection
)

// users submit a region's jobs and poll them.
type users struct {
	spec          RegionSpec
	client        *http.Client
	submitLatency *histogram
	pollLatency   *histogram
	finishLatency *histogram

	polls, unansweredPolls atomic.Int64
	canceller              *canceller

	mu                sync.Mutex
	rng               *rand.Rand
	lastJob           int
	nextController    int               // controller
	descriptions      map[string][]byte // described, by name
	lastAnswered      map[string]time.Time
	counts            WorldStats
	longestUnanswered time.Duration
}

func newUsers(spec RegionSpec) *users {
	u := &users{
		spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 11)), descriptions: map[string][]byte{}, lastAnswered: map[string]time.Time{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true,
			IdleConnTimeout: 30 * time.Second}},
		submitLatency: newHistogram(), pollLatency: newHistogram(), finishLatency: newHistogram(),
	}
	u.canceller = &canceller{users: u, answerLatency: newHistogram()}
	return u
}

// run submits jobs until the context ends: as many tasks at once as are to run on average,
// then as many as end.
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

func (u *users) randomExponential() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.ExpFloat64()
}

func (u *users) randomBool(p float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.Float64() < p
}

func (u *users) randomTeam() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.IntN(len(u.spec.Teams))
}

// randomArraySize is an array's number of tasks: half to one and a half times the mean.
func (u *users) randomArraySize() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(1, int(float64(u.spec.TasksPerJob)*(0.5+u.rng.Float64())))
}

// job is one job with what its user does about it.
type job struct {
	name, rank, shape string
	body              []byte
	submittedAt       time.Time
}

// newJob describes a job. The tasks of a residual one are taken to have run for a while.
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
		panic(fmt.Sprintf("encode a job: %v", err)) // plain values always encode
	}
	j.body = body
	u.descriptions[j.name] = body
	u.counts.Submitted++
	return j
}

// description is a job's description, nil if there is none of that name.
func (u *users) description(name string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.descriptions[name]
}

func (u *users) startJob(ctx context.Context, j *job) { go u.runJob(ctx, j) }

// runJob is a user's life with one job.
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
				u.counts.Lost++
				u.counts.Losses = append(u.counts.Losses, j.name+" was accepted, then answered with 404")
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
				u.counts.Done++
				delete(u.lastAnswered, j.name)
			})
			return
		}
	}
}

func (u *users) withLock(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

// withJitter is a duration plus or minus a tenth.
func (u *users) withJitter(d time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(float64(d) * (0.9 + 0.2*u.rng.Float64()))
}

// submitJob submits a job until it is accepted, for up to a minute.
func (u *users) submitJob(ctx context.Context, j *job) bool {
	status := u.retryCall(ctx, j.submittedAt, "/v1/jobs", j.body, http.StatusOK, http.StatusCreated, http.StatusBadRequest,
		http.StatusUnprocessableEntity)
	switch {
	case status == http.StatusOK || status == http.StatusCreated:
		u.submitLatency.record(time.Since(j.submittedAt))
		u.withLock(func() { u.counts.Accepted++ })
		return true
	case ctx.Err() == nil:
		u.withLock(func() { u.counts.Refused++ })
	}
	return false
}

// retryCall repeats a call until it is answered with one of the final statuses, and returns that;
// 0 if it was not for a minute since the first try, or the context has ended.
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

// pollJob polls a job once.
func (u *users) pollJob(ctx context.Context, name string) (state wire.JobState, status int) {
	u.polls.Add(1)
	started := time.Now()
	status, _, answer := u.callOnce(ctx, pollTimeout, http.MethodGet, "/v1/jobs/"+name, nil)
	if status != http.StatusOK && status != http.StatusNotFound {
		u.unansweredPolls.Add(1)
		return state, status
	}
	u.pollLatency.record(time.Since(started))
	if status == http.StatusOK && json.Unmarshal(answer, &state) != nil {
		status = 0
	}
	return state, status
}

// callOnce makes one request by way of a load balancer; again is when to try once more.
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
	if s, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		retryAfter = min(max(retryAfter, time.Duration(s)*time.Second), maxRetryDelay)
	}
	return response.StatusCode, retryAfter, answer
}

// doBalanced makes a request at the next controller in turn; one that refuses the connection is
// passed over for the next, for up to maxTurns in all.
func (u *users) doBalanced(ctx context.Context, method, path string, body []byte) (response *http.Response, err error) {
	for range maxControllersTried {
		u.mu.Lock()
		u.nextController++
		addr := u.spec.Hosts[u.nextController%len(u.spec.Hosts)].Bind
		u.mu.Unlock()
		var req *http.Request
		if req, err = http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body)); err != nil {
			return nil, err
		}
		if response, err = u.client.Do(req); !errors.Is(err, syscall.ECONNREFUSED) {
			return response, err
		}
	}
	return nil, err
}

func (u *users) stats(reset bool) WorldStats {
	u.mu.Lock()
	stats := u.counts
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
	stats.Submit, stats.Poll, stats.Finish = u.submitLatency.snapshot(reset), u.pollLatency.snapshot(reset), u.finishLatency.snapshot(reset)
	return stats
}

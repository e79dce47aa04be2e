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
	urgentShare  = 0.2 // of all jobs; an urgent job is smaller
	urgentPart   = 20  // ... by so many times
	servicesEach = 8   // of so many teams one runs a service
	replicas     = 2   // of a service
	pollEvery    = 5 * time.Second
	pollPatience = 2 * time.Second
	askPatience  = 5 * time.Second
	askAgain     = time.Second
	longestAgain = 30 * time.Second
	giveUpAfter  = time.Minute
	maxTurns     = 3 // controllers that the load balancer tries for one connection
)

// users submit a region's jobs and poll them.
type users struct {
	spec   RegionSpec
	http   *http.Client
	submit *histogram
	poll   *histogram
	finish *histogram

	polls, unanswered atomic.Int64
	cancels           *cancellations

	mu      sync.Mutex
	rng     *rand.Rand
	last    int
	next    int               // controller
	jobs    map[string][]byte // described, by name
	open    map[string]time.Time
	counts  WorldStats
	longest time.Duration
}

func newUsers(spec RegionSpec) *users {
	u := &users{
		spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 11)), jobs: map[string][]byte{}, open: map[string]time.Time{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true,
			IdleConnTimeout: 30 * time.Second}},
		submit: newHistogram(), poll: newHistogram(), finish: newHistogram(),
	}
	u.cancels = &cancellations{users: u, answer: newHistogram()}
	return u
}

// run submits jobs until the context ends: as many tasks at once as are to run on average,
// then as many as end.
func (u *users) run(ctx context.Context) {
	for i := 0; i < len(u.spec.Teams); i += servicesEach {
		u.start(ctx, u.newJob(i, "daemon", standardRank, replicas, false))
	}
	for tasks := u.spec.Workers * u.spec.TasksPerWorker; tasks > 0; {
		size := min(tasks, u.size())
		u.start(ctx, u.newJob(u.team(), "batch", standardRank, size, true))
		tasks -= size
	}
	perJob := float64(u.spec.TasksPerJob) * (1 - urgentShare + urgentShare/urgentPart)
	mean := float64(time.Second) * perJob / u.spec.startsPerSecond()
	for sleep(ctx, time.Duration(u.exponential()*mean)) == nil {
		if u.chance(urgentShare) {
			u.start(ctx, u.newJob(u.team(), "batch", urgentRank, max(1, u.size()/urgentPart), false))
		} else {
			u.start(ctx, u.newJob(u.team(), "batch", standardRank, u.size(), false))
		}
	}
}

func (u *users) exponential() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.ExpFloat64()
}

func (u *users) chance(p float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.Float64() < p
}

func (u *users) team() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.IntN(len(u.spec.Teams))
}

// size is an array's number of tasks: half to one and a half times the mean.
func (u *users) size() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(1, int(float64(u.spec.TasksPerJob)*(0.5+u.rng.Float64())))
}

// job is one job with what its user does about it.
type job struct {
	name, rank, shape string
	body              []byte
	asked             time.Time
}

// newJob describes a job. The tasks of a residual one are taken to have run for a while.
func (u *users) newJob(team int, shape, rank string, tasks int, residual bool) *job {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last++
	j := &job{name: fmt.Sprintf("job-%06d", u.last), rank: rank, shape: shape, asked: time.Now()}
	estimate := u.spec.MeanTask.Seconds()
	if shape != "batch" {
		estimate = 0
	}
	body, err := json.Marshal(map[string]any{
		"NameId": j.name, "Comb": shape + "-" + rank, "Colony": u.spec.Teams[team].Name, "Shape": shape, "Rank": rank,
		"Cells": tasks, "Cpus": taskCPUs, "Accelerators": 0, "MemGb": taskMemGB, "Wax": "image-" + rank, "ImageGb": 0,
		"Together": false, "Spread": false, "SwarmBoxes": false, "ForageS": estimate, "CapIntervalS": 0, "CapS": 0,
		"AskedMs": j.asked.UnixMilli(), "Residual": residual,
	})
	if err != nil {
		panic(fmt.Sprintf("encode a job: %v", err)) // plain values always encode
	}
	j.body = body
	u.jobs[j.name] = body
	u.counts.Submitted++
	return j
}

// described is a job's description, nil if there is none of that name.
func (u *users) described(name string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.jobs[name]
}

func (u *users) start(ctx context.Context, j *job) { go u.follow(ctx, j) }

// follow is a user's life with one job.
func (u *users) follow(ctx context.Context, j *job) {
	if !u.accepted(ctx, j) {
		return
	}
	if j.shape == "batch" && u.chance(u.spec.CancelledShare) {
		go u.cancels.cancel(ctx, j.name, time.Duration(u.exponential()*float64(u.spec.MeanTask)))
	}
	answered := time.Now()
	u.note(func() { u.open[j.name] = answered })
	for sleep(ctx, u.jittered(pollEvery)) == nil {
		st, status := u.ask(ctx, j.name)
		switch {
		case ctx.Err() != nil:
			return
		case status == http.StatusNotFound:
			u.note(func() {
				u.counts.Lost++
				u.counts.Losses = append(u.counts.Losses, j.name+" was accepted, then answered with 404")
				delete(u.open, j.name)
			})
			return
		case status != http.StatusOK:
			continue
		}
		now := time.Now()
		u.note(func() {
			u.longest = max(u.longest, now.Sub(u.open[j.name]))
			u.open[j.name] = now
		})
		if st.Stage == "done" || st.Stage == "aborted" {
			u.finish.record(now.Sub(j.asked))
			u.note(func() {
				u.counts.Done++
				delete(u.open, j.name)
			})
			return
		}
	}
}

func (u *users) note(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

// jittered is a duration plus or minus a tenth.
func (u *users) jittered(d time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(float64(d) * (0.9 + 0.2*u.rng.Float64()))
}

// accepted submits a job until it is accepted, for up to a minute.
func (u *users) accepted(ctx context.Context, j *job) bool {
	status := u.insist(ctx, j.asked, "/v1/jobs", j.body, http.StatusOK, http.StatusCreated, http.StatusBadRequest,
		http.StatusUnprocessableEntity)
	switch {
	case status == http.StatusOK || status == http.StatusCreated:
		u.submit.record(time.Since(j.asked))
		u.note(func() { u.counts.Accepted++ })
		return true
	case ctx.Err() == nil:
		u.note(func() { u.counts.Refused++ })
	}
	return false
}

// insist repeats a call until it is answered with one of the final statuses, and returns that;
// 0 if it was not for a minute since the first try, or the context has ended.
func (u *users) insist(ctx context.Context, began time.Time, path string, body []byte, final ...int) int {
	for time.Since(began) < giveUpAfter {
		status, again, _ := u.call(ctx, askPatience, http.MethodPost, path, body)
		if slices.Contains(final, status) {
			return status
		}
		if sleep(ctx, u.jittered(again)) != nil {
			return 0
		}
	}
	return 0
}

// ask polls a job once.
func (u *users) ask(ctx context.Context, name string) (st wire.JobState, status int) {
	u.polls.Add(1)
	began := time.Now()
	status, _, b := u.call(ctx, pollPatience, http.MethodGet, "/v1/jobs/"+name, nil)
	if status != http.StatusOK && status != http.StatusNotFound {
		u.unanswered.Add(1)
		return st, status
	}
	u.poll.record(time.Since(began))
	if status == http.StatusOK && json.Unmarshal(b, &st) != nil {
		status = 0
	}
	return st, status
}

// call makes one request by way of a load balancer; again is when to try once more.
func (u *users) call(ctx context.Context, patience time.Duration, method, path string, body []byte) (status int,
	again time.Duration, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	res, err := u.balanced(ctx, method, path, body)
	if err != nil {
		return 0, askAgain, nil
	}
	defer res.Body.Close()
	answer, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, askAgain, nil
	}
	again = askAgain
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		again = min(max(again, time.Duration(s)*time.Second), longestAgain)
	}
	return res.StatusCode, again, answer
}

// balanced makes a request at the next controller in turn; one that refuses the connection is
// passed over for the next, for up to maxTurns in all.
func (u *users) balanced(ctx context.Context, method, path string, body []byte) (res *http.Response, err error) {
	for range maxTurns {
		u.mu.Lock()
		u.next++
		addr := u.spec.Hosts[u.next%len(u.spec.Hosts)].Bind
		u.mu.Unlock()
		var req *http.Request
		if req, err = http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body)); err != nil {
			return nil, err
		}
		if res, err = u.http.Do(req); !errors.Is(err, syscall.ECONNREFUSED) {
			return res, err
		}
	}
	return nil, err
}

func (u *users) stats(reset bool) WorldStats {
	u.mu.Lock()
	s := u.counts
	s.Open = len(u.open)
	longest := u.longest
	for _, at := range u.open {
		longest = max(longest, time.Since(at))
	}
	if reset {
		u.longest = 0
	}
	u.mu.Unlock()
	s.LongestUnanswered = longest.Seconds()
	s.Polls, s.PollsUnanswered = u.polls.Load(), u.unanswered.Load()
	s.Cancels = u.cancels.take(reset)
	s.Submit, s.Poll, s.Finish = u.submit.take(reset), u.poll.take(reset), u.finish.take(reset)
	return s
}

package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"honeylock/internal/client"
	"honeylock/internal/wire"
)

// Class of a workload's jobs. Times are in life; the pace makes them shorter.
type Class struct {
	Name, Team, Rank, Image string
	Tasks                   int // on average
	CPUs, MemGB, ImageGB    float64
	RunS, SaveEveryS, SaveS float64
	DeadlineS               float64 // 0: none
	PerMinute               float64
	AtStart                 int
	Spot                    bool
	CancelledFraction       float64 // part that its user cancels
}

// Counts of a workload's jobs.
type Counts struct {
	Accepted, Done, Cancelled, Open, Refused, Lost int
	Losses                                         []string
}

// Users submit a workload's jobs, poll them and cancel some.
type Users struct {
	newClient  func() (*client.Users, error)
	classes    []Class
	speed      float64
	rng        *rand.Rand
	mu         sync.Mutex
	lastNumber int
	open       map[string]bool
	counts     Counts
	pending    sync.WaitGroup
	// OnAccepted gets every job as it is accepted.
	OnAccepted func(Submitted)
}

// Submitted is a job that was accepted.
type Submitted struct {
	Job   string
	Class string
	At    time.Time
}

// NewUsers returns the users of a workload.
func NewUsers(addrs []string, classes []Class, speed float64, seed uint64) *Users {
	u := &Users{classes: classes, speed: max(speed, 0.01), rng: rand.New(rand.NewPCG(seed, 5)), open: map[string]bool{},
		lastNumber: 100}
	u.newClient = func() (*client.Users, error) {
		u.mu.Lock()
		defer u.mu.Unlock()
		return client.NewUsers(addrs, rand.New(rand.NewPCG(u.rng.Uint64(), 1)))
	}
	return u
}

// Run submits until arrive ends, then follows what is open until ctx ends or all
// of it has ended.
func (u *Users) Run(arrivals, ctx context.Context) {
	for i := range u.classes {
		c := &u.classes[i]
		for range c.AtStart {
			u.submitJob(ctx, c)
		}
		if c.PerMinute > 0 {
			u.pending.Add(1)
			go u.submitArrivals(arrivals, ctx, c)
		}
	}
	u.pending.Wait()
}

func (u *Users) submitArrivals(arrivals, ctx context.Context, c *Class) {
	defer u.pending.Done()
	mean := float64(time.Minute) / c.PerMinute / u.speed
	for {
		u.mu.Lock()
		d := time.Duration(u.rng.ExpFloat64() * mean)
		u.mu.Unlock()
		select {
		case <-arrivals.Done():
			return
		case <-time.After(d):
			u.submitJob(ctx, c)
		}
	}
}

func (u *Users) submitJob(ctx context.Context, c *Class) {
	u.mu.Lock()
	u.lastNumber++
	id := fmt.Sprintf("job-%06d", u.lastNumber)
	body, err := json.Marshal(u.submission(id, c))
	cancelled := u.rng.Float64() < c.CancelledFraction
	u.mu.Unlock()
	if err != nil {
		return // plain values always encode
	}
	u.pending.Add(1)
	go func() {
		defer u.pending.Done()
		u.runJob(ctx, id, c.Name, body, cancelled)
	}()
}

// submission is a job of the class, in the wire's words.
func (u *Users) submission(id string, c *Class) map[string]any {
	tasks := max(1, int(float64(c.Tasks)*(0.5+u.rng.Float64())))
	submission := map[string]any{"NameId": id, "Comb": c.Name, "Colony": c.Team, "Shape": "batch", "Rank": c.Rank,
		"Cells":        tasks,
		"Cpus":         c.CPUs,
		"Accelerators": 0, "MemGb": c.MemGB, "Wax": c.Image, "ImageGb": c.ImageGB, "Together": false, "Spread": false,
		"SwarmBoxes": c.Spot,
		"ForageS":    c.RunS / u.speed, "CapIntervalS": c.SaveEveryS / u.speed, "CapS": c.SaveS / u.speed}
	if c.DeadlineS > 0 {
		submission["HarvestS"] = c.DeadlineS / u.speed
	}
	return submission
}

// runJob is a user's life with one job.
func (u *Users) runJob(ctx context.Context, id, class string, body []byte, cancelled bool) {
	user, err := u.newClient()
	if err != nil {
		return
	}
	if _, _, err := user.Submit(ctx, body); err != nil {
		u.update(func() { u.counts.Refused++ })
		return
	}
	u.update(func() {
		u.counts.Accepted++
		u.open[id] = true
		if u.OnAccepted != nil {
			u.OnAccepted(Submitted{id, class, time.Now()})
		}
	})
	if cancelled {
		_, err := user.Withdraw(ctx, id)
		u.checkUnknown(ctx, id, err)
	}
	pollInterval := time.Duration(float64(5*time.Second) / min(u.speed, 10))
	state, err := user.Wait(ctx, id, pollInterval, func(*wire.JobState) {})
	if err != nil {
		u.checkUnknown(ctx, id, err)
		return
	}
	u.update(func() {
		delete(u.open, id)
		if state.Stage == "aborted" {
			u.counts.Cancelled++
		} else {
			u.counts.Done++
		}
		if !cancelled && state.Stage == "aborted" {
			u.recordLoss("%s was called cancelled, which nobody asked for", id)
		}
	})
}

// checkUnknown counts an accepted job that is answered as if it were unknown.
func (u *Users) checkUnknown(ctx context.Context, id string, err error) {
	var refused *client.Refused
	if ctx.Err() != nil || err == nil || !errors.As(err, &refused) {
		return
	}
	u.update(func() {
		if u.open[id] {
			delete(u.open, id)
			u.recordLoss("%s was accepted, then answered with %d", id, refused.Status)
		}
	})
}

func (u *Users) recordLoss(format string, args ...any) {
	u.counts.Lost++
	u.counts.Losses = append(u.counts.Losses, fmt.Sprintf(format, args...))
}

func (u *Users) update(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

// Counts so far.
func (u *Users) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts
	c.Open = len(u.open)
	return c
}

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
	Withdrawn               float64 // part that its user cancels
}

// Counts of a workload's jobs.
type Counts struct {
	Accepted, Done, Cancelled, Open, Refused, Lost int
	Losses                                         []string
}

// Users submit a workload's jobs, poll them and cancel some.
type Users struct {
	client  func() (*client.Users, error)
	classes []Class
	pace    float64
	rng     *rand.Rand
	mu      sync.Mutex
	last    int
	open    map[string]bool
	c       Counts
	wg      sync.WaitGroup
	// Told gets every job as it is accepted.
	Told func(Submitted)
}

// Submitted is a job that was accepted.
type Submitted struct {
	Job   string
	Class string
	At    time.Time
}

// NewUsers returns the users of a workload.
func NewUsers(addrs []string, classes []Class, pace float64, seed uint64) *Users {
	u := &Users{classes: classes, pace: max(pace, 0.01), rng: rand.New(rand.NewPCG(seed, 5)), open: map[string]bool{},
		last: 100}
	u.client = func() (*client.Users, error) {
		u.mu.Lock()
		defer u.mu.Unlock()
		return client.NewUsers(addrs, rand.New(rand.NewPCG(u.rng.Uint64(), 1)))
	}
	return u
}

// Run submits until arrive ends, then follows what is open until ctx ends or all
// of it has ended.
func (u *Users) Run(arrive, ctx context.Context) {
	for i := range u.classes {
		c := &u.classes[i]
		for range c.AtStart {
			u.start(ctx, c)
		}
		if c.PerMinute > 0 {
			u.wg.Add(1)
			go u.arrivals(arrive, ctx, c)
		}
	}
	u.wg.Wait()
}

func (u *Users) arrivals(arrive, ctx context.Context, c *Class) {
	defer u.wg.Done()
	mean := float64(time.Minute) / c.PerMinute / u.pace
	for {
		u.mu.Lock()
		d := time.Duration(u.rng.ExpFloat64() * mean)
		u.mu.Unlock()
		select {
		case <-arrive.Done():
			return
		case <-time.After(d):
			u.start(ctx, c)
		}
	}
}

func (u *Users) start(ctx context.Context, c *Class) {
	u.mu.Lock()
	u.last++
	id := fmt.Sprintf("job-%06d", u.last)
	body, err := json.Marshal(u.submission(id, c))
	withdraw := u.rng.Float64() < c.Withdrawn
	u.mu.Unlock()
	if err != nil {
		return // plain values always encode
	}
	u.wg.Add(1)
	go func() {
		defer u.wg.Done()
		u.follow(ctx, id, c.Name, body, withdraw)
	}()
}

// submission is a job of the class, in the wire's words.
func (u *Users) submission(id string, c *Class) map[string]any {
	tasks := max(1, int(float64(c.Tasks)*(0.5+u.rng.Float64())))
	s := map[string]any{"NameId": id, "Comb": c.Name, "Colony": c.Team, "Shape": "batch", "Rank": c.Rank, "Cells": tasks,
		"Cpus":         c.CPUs,
		"Accelerators": 0, "MemGb": c.MemGB, "Wax": c.Image, "ImageGb": c.ImageGB, "Together": false, "Spread": false,
		"SwarmBoxes": c.Spot,
		"ForageS":    c.RunS / u.pace, "CapIntervalS": c.SaveEveryS / u.pace, "CapS": c.SaveS / u.pace}
	if c.DeadlineS > 0 {
		s["HarvestS"] = c.DeadlineS / u.pace
	}
	return s
}

// follow is a user's life with one job.
func (u *Users) follow(ctx context.Context, id, class string, body []byte, withdraw bool) {
	c, err := u.client()
	if err != nil {
		return
	}
	if _, _, err := c.Submit(ctx, body); err != nil {
		u.count(func() { u.c.Refused++ })
		return
	}
	u.count(func() {
		u.c.Accepted++
		u.open[id] = true
		if u.Told != nil {
			u.Told(Submitted{id, class, time.Now()})
		}
	})
	if withdraw {
		_, err := c.Withdraw(ctx, id)
		u.failed(ctx, id, err)
	}
	every := time.Duration(float64(5*time.Second) / min(u.pace, 10))
	st, err := c.Wait(ctx, id, every, func(*wire.JobState) {})
	if err != nil {
		u.failed(ctx, id, err)
		return
	}
	u.count(func() {
		delete(u.open, id)
		if st.Stage == "aborted" {
			u.c.Cancelled++
		} else {
			u.c.Done++
		}
		if !withdraw && st.Stage == "aborted" {
			u.lose("%s was called cancelled, which nobody asked for", id)
		}
	})
}

// failed counts an accepted job that is answered as if it were unknown.
func (u *Users) failed(ctx context.Context, id string, err error) {
	var r *client.Refused
	if ctx.Err() != nil || err == nil || !errors.As(err, &r) {
		return
	}
	u.count(func() {
		if u.open[id] {
			delete(u.open, id)
			u.lose("%s was accepted, then answered with %d", id, r.Status)
		}
	})
}

func (u *Users) lose(format string, args ...any) {
	u.c.Lost++
	u.c.Losses = append(u.c.Losses, fmt.Sprintf(format, args...))
}

func (u *Users) count(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

// Counts so far.
func (u *Users) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.c
	c.Open = len(u.open)
	return c
}

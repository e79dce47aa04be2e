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

// Class is a class of a workload's jobs. Its times are those at a speed of 1.
type Class struct {
	Name, Team, Rank, Image string
	Tasks                   int // of a job, on average
	CPUs, MemGB, ImageGB    float64
	RunS, SaveEveryS, SaveS float64
	DeadlineS               float64 // 0: no deadline
	PerMinute               float64
	AtStart                 int
	Spot                    bool
	CancelledFraction       float64 // of the jobs; their users cancel them
}

// Counts are the counts of a workload's jobs by outcome.
type Counts struct {
	Accepted, Done, Cancelled, Open, Refused, Lost int
	Losses                                         []string
}

// Users simulates users that submit a workload's jobs, poll them and cancel some.
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
	// OnAccepted is called for every accepted job; it may be nil.
	OnAccepted func(Submitted)
}

// Submitted is a job that was accepted.
type Submitted struct {
	Job   string
	Class string
	At    time.Time
}

// NewUsers returns the users of a workload, who send their requests to the addresses.
func NewUsers(addrs []string, classes []Class, speed float64, seed uint64) *Users {
	users := &Users{
		classes: classes, speed: max(speed, 0.01), rng: rand.New(rand.NewPCG(seed, 5)), open: map[string]bool{},
		lastNumber: 100,
	}
	users.newClient = func() (*client.Users, error) {
		users.mu.Lock()
		defer users.mu.Unlock()
		return client.NewUsers(addrs, rand.New(rand.NewPCG(users.rng.Uint64(), 1)))
	}
	return users
}

// Run submits jobs until arrivals ends. It returns when all jobs have ended or ctx ends.
func (u *Users) Run(arrivals, ctx context.Context) {
	for i := range u.classes {
		class := &u.classes[i]
		for range class.AtStart {
			u.submitJob(ctx, class)
		}
		if class.PerMinute > 0 {
			u.pending.Add(1)
			go u.submitArrivals(arrivals, ctx, class)
		}
	}
	u.pending.Wait()
}

// submitArrivals submits jobs of a class at random times until arrivals ends.
func (u *Users) submitArrivals(arrivals, ctx context.Context, class *Class) {
	defer u.pending.Done()
	mean := float64(time.Minute) / class.PerMinute / u.speed
	for {
		u.mu.Lock()
		delay := time.Duration(u.rng.ExpFloat64() * mean)
		u.mu.Unlock()
		select {
		case <-arrivals.Done():
			return
		case <-time.After(delay):
			u.submitJob(ctx, class)
		}
	}
}

// submitJob starts a user with one job of a class.
func (u *Users) submitJob(ctx context.Context, class *Class) {
	u.mu.Lock()
	u.lastNumber++
	id := fmt.Sprintf("job-%06d", u.lastNumber)
	body, err := json.Marshal(u.submission(id, class))
	cancelled := u.rng.Float64() < class.CancelledFraction
	u.mu.Unlock()
	if err != nil {
		return // cannot happen: a submission holds only plain values
	}
	u.pending.Add(1)
	go func() {
		defer u.pending.Done()
		u.runJob(ctx, id, class.Name, body, cancelled)
	}()
}

// submission returns the JSON fields of a job of the class.
func (u *Users) submission(id string, class *Class) map[string]any {
	tasks := max(1, int(float64(class.Tasks)*(0.5+u.rng.Float64())))
	submission := map[string]any{
		"NameId": id, "Comb": class.Name, "Colony": class.Team, "Shape": "batch", "Rank": class.Rank, "Cells": tasks,
		"Cpus": class.CPUs, "Accelerators": 0, "MemGb": class.MemGB, "Wax": class.Image, "ImageGb": class.ImageGB,
		"Together": false, "Spread": false, "SwarmBoxes": class.Spot, "ForageS": class.RunS / u.speed,
		"CapIntervalS": class.SaveEveryS / u.speed, "CapS": class.SaveS / u.speed,
	}
	if class.DeadlineS > 0 {
		submission["HarvestS"] = class.DeadlineS / u.speed
	}
	return submission
}

// runJob submits a job, cancels it if asked to, and polls it until it ends.
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
			u.recordLoss("%s was reported as cancelled, but nobody cancelled it", id)
		}
	})
}

// checkUnknown records an accepted job as lost if a request for it was refused.
func (u *Users) checkUnknown(ctx context.Context, id string, err error) {
	var refused *client.Refused
	if ctx.Err() != nil || err == nil || !errors.As(err, &refused) {
		return
	}
	u.update(func() {
		if u.open[id] {
			delete(u.open, id)
			u.recordLoss("%s was accepted, but later refused with status %d", id, refused.Status)
		}
	})
}

// recordLoss records a lost job; u.mu is held.
func (u *Users) recordLoss(format string, args ...any) {
	u.counts.Lost++
	u.counts.Losses = append(u.counts.Losses, fmt.Sprintf(format, args...))
}

// update calls f while it holds u.mu.
func (u *Users) update(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

// Counts returns the counts so far.
func (u *Users) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := u.counts
	counts.Open = len(u.open)
	return counts
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pipelineCase: a pipeline of two jobs is submitted while a leader that has just restarted reads the
// open jobs. Its first job is cancelled later. The second one must then be called aborted.
func pipelineCase(r *record, trouble bool) (bool, error) {
	o := registry()
	const first, second = "job-000007", "job-990001"
	var phase atomic.Int32 // 1: the leader was killed; 2: page 2 was asked for
	var watchHeld, lookupHeld atomic.Bool
	pageAsked := make(chan int, 1)
	o.onStore = func(node int, method, path, query string, _ []byte) (v verdictOnStore) {
		switch {
		case path == "/store" && strings.Contains(query, "Starts=open%2F") && strings.Contains(query, "From=") &&
			phase.CompareAndSwap(1, 2):
			r.logf("store: page 2 of the open jobs is answered 350 ms late to hive-%d", node)
			pageAsked <- node
			v.before = 350 * time.Millisecond
		case phase.Load() == 2 && path == "/watch" && strings.Contains(query, "Starts=open%2F") && watchHeld.CompareAndSwap(false, true):
			r.logf("store: watch of the open jobs is answered 250 ms late to hive-%d", node)
			v.after = 250 * time.Millisecond
		case phase.Load() == 2 && path == "/store/final/"+first && lookupHeld.CompareAndSwap(false, true):
			r.logf("store: final record of %s is answered 400 ms late to hive-%d", first, node)
			v.after = 400 * time.Millisecond
		}
		return v
	}
	c, err := start(o, r, 1)
	defer c.close()
	if err != nil {
		return false, err
	}
	if err := c.waitFor("health", 10*time.Second, func() bool {
		return c.healthy(c.controllers[0]) && c.healthy(c.controllers[1]) && c.healthy(c.controllers[2])
	}); err != nil {
		return false, err
	}
	// A burst of jobs: 210 are open at a time.
	var wg sync.WaitGroup
	var failed atomic.Int32
	next := make(chan int, 300)
	for i := range 210 {
		next <- 100000 + 3571*i%90000
	}
	close(next)
	for k := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for id := range next {
				j := newJob(id, "photo-thumbnails", "catalogue-unit", "idle", 4, 2, 300)
				if c.submit(k, j) != nil {
					failed.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	if failed.Load() > 0 {
		return false, fmt.Errorf("%w: %d jobs were not accepted", errSetup, failed.Load())
	}
	if err := c.waitFor("a leader", 5*time.Second, func() bool { return c.leader() != nil }); err != nil {
		return false, err
	}
	leader := c.leader()
	other := c.controllers[(leader.index+1)%3]
	if trouble {
		phase.Store(1)
		c.kill(leader)
		restarted := make(chan struct{})
		defer func() { <-restarted }()
		time.AfterFunc(6*time.Second, func() { _ = c.launch(leader); close(restarted) })
		select {
		case node := <-pageAsked:
			other = c.controllers[3-node-leader.index]
		case <-time.After(10 * time.Second):
			return false, fmt.Errorf("%w: no leader read the second page", errSetup)
		}
	}
	a := newJob(7, "ornament-tagging", "audit-cell", "idle", 1, 1, 600)
	b := newJob(990001, "hallmark-verify", "audit-cell", "standard", 1, 2, 20)
	b.Awaits = []string{first}
	if a.NameId != first || b.NameId != second {
		return false, fmt.Errorf("names")
	}
	for _, j := range []*job{a, b} {
		if err := c.submit(other.index, j); err != nil {
			return false, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	var told time.Duration
	for told == 0 {
		if status, s := c.withdraw(other, first); status == 200 && s.Stage == "aborted" {
			told = c.at()
		} else if c.at() > 40*time.Second {
			return false, fmt.Errorf("%w: not cancelled", errSetup)
		} else {
			time.Sleep(time.Second)
		}
	}
	// The user of the second job polls every 5 s. Others ask about their jobs.
	var lastAnswer = told
	answers, othersAsked, othersAnswered := 0, 0, 0
	for i := 0; c.at() < 117*time.Second; i++ {
		for c.at() < told+3200*time.Millisecond+time.Duration(i)*5*time.Second {
			time.Sleep(20 * time.Millisecond)
			if silent := c.at() - lastAnswer; silent > 75*time.Second {
				r.logf("no question about %s was answered for %.1f s; of others %d of %d were", second, silent.Seconds(),
					othersAnswered, othersAsked)
				return true, nil
			}
		}
		n := c.controllers[i%3]
		if status, s := c.poll(n, second); status == 200 {
			answers++
			lastAnswer = c.at()
			if s.Stage == "aborted" {
				r.logf("%s is aborted %.1f s after its user was told", second, (lastAnswer - told).Seconds())
				return false, nil
			}
			if lastAnswer-told > seconds(c.cancelS) {
				r.logf("%s is called %s %.1f s after the cancellation", second, s.Stage, (lastAnswer - told).Seconds())
				return true, nil
			}
		}
		othersAsked++
		if status, _ := c.poll(n, fmt.Sprintf("job-%06d", 100000+3571*(i%200)%90000)); status == 200 {
			othersAnswered++
		}
	}
	r.logf("last answer about %s %.1f s ago", second, (c.at() - lastAnswer).Seconds())
	return false, fmt.Errorf("%w: the end of the time was reached", errSetup)
}

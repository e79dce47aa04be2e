package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["awaits"] = awaitsCase }

// awaitsCase: a job names 20 others. The last of them was cancelled longer than cancel_s ago. The job may
// then not be called queued.
func awaitsCase(r *record, trouble bool) (bool, error) {
	o := registry()
	o.next = "[cluster.state.next]\nwrite_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 5\n\n"
	c, err := start(o, r, 1)
	defer c.close()
	if err != nil {
		return false, err
	}
	if err := c.waitFor("health and a leader", 10*time.Second, func() bool {
		return c.leader() != nil && c.healthy(c.controllers[0]) && c.healthy(c.controllers[1]) && c.healthy(c.controllers[2])
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	last := newJob(990001, "certificate-issue", "audit-cell", "urgent", 1, 1, 8)
	leader := c.leader()
	n, other := c.controllers[(leader.index+1)%3], c.controllers[(leader.index+2)%3]
	for i := range 20 {
		j := newJob(1000+i, "ornament-tagging", "audit-cell", "idle", 2, 4, 120)
		if err := c.submit(n.index, j); err != nil {
			return false, err
		}
		last.Awaits = append(last.Awaits, j.NameId)
	}
	if c.leader() != leader {
		return false, fmt.Errorf("%w: the leader has changed", errSetup)
	}
	cancelled := last.Awaits[19]
	if status, s := c.withdraw(other, cancelled); status != http.StatusOK || s.Stage != "aborted" {
		return false, fmt.Errorf("%w: %s was not cancelled", errSetup, cancelled)
	}
	told := c.at()
	for c.at() < told+seconds(c.cancelS)+2*time.Second {
		time.Sleep(200 * time.Millisecond)
	}
	if trouble {
		c.kill(leader)
		restarted := make(chan struct{})
		defer func() { <-restarted }()
		time.AfterFunc(6*time.Second, func() { _ = c.launch(leader); close(restarted) })
	}
	if err := c.submit(n.index, last); err != nil {
		return false, err
	}
	// The answer to the submission, and questions within half a second of it, do not count.
	time.Sleep(500 * time.Millisecond)
	calledQueued := 0
	for end := c.at() + 15*time.Second; c.at() < end; time.Sleep(200 * time.Millisecond) {
		for _, asked := range []*controller{n, other} {
			sent := c.at()
			if status, s := c.poll(asked, last.NameId); status == 200 && (s.Stage == "queued" || s.Stage == "running") {
				calledQueued++
				r.logf("%s is called %s by %s %.1f s after its user was told that %s is cancelled", last.NameId, s.Stage, asked.name,
					(sent - told).Seconds(), cancelled)
			}
		}
	}
	return calledQueued > 0, nil
}

package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// twice: machines change hands between controllers while direct commands are held up on their way.
func twice(w *world, trouble bool) error {
	slow, err := w.slowLinks()
	if err != nil {
		return err
	}
	path := &commandPath{}
	for i, c := range w.controllers {
		if w.hosts[i].Addr, err = path.reports(c.bind); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	if !w.healthy(10 * time.Second) {
		return errors.New("controllers are not healthy")
	}
	leader := -1
	for end := time.Now().Add(10 * time.Second); leader < 0 || !w.joined(leader); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the controllers have not joined a leader")
		}
		leader = w.leader()
	}
	first := (leader + 1) % len(w.controllers)
	w.firstHost = func(int) int { return first }
	w.note("%s leads; all workers report to %s first", w.controllers[leader].host, w.controllers[first].host)
	w.cloud.SetNoCapacity(true) // the deployment has no more machines than these
	machines := 48
	for i := range machines {
		if err := w.cloud.AddMachines(0, w.site.zones[i%2], false, 1); err != nil {
			return err
		}
	}
	time.Sleep(time.Second) // all machines have reported
	const long = "job-000001"
	if status, _ := w.submit(w.controllers[0], job(long, object{"Cells": 2 * machines, "Cpus": 4.0, "ForageS": 90.0,
		"ImageGb": 0.0, "SwarmBoxes": false, "Rank": "urgent"})); status != 201 {
		return fmt.Errorf("submission: %d", status)
	}
	if !w.waitRunning(long, 2*machines, 10*time.Second) {
		return errors.New("the long tasks do not run")
	}
	if trouble {
		if os.Getenv("SLOW") != "" {
			d, _ := time.ParseDuration(os.Getenv("SLOW"))
			slow.Store(int64(d))
		}
		path.delay.Store(int64(16 * time.Second))
		w.note("direct commands are held up for 16 s")
	}
	var users sync.WaitGroup
	for n := 2; time.Since(w.begun) < 50*time.Second; n++ {
		name := fmt.Sprintf("job-%06d", n)
		users.Add(1)
		go func() {
			defer users.Done()
			w.submit(w.controllers[n%len(w.controllers)], job(name, object{"Cells": 1000, "Cpus": 0.5, "MemGb": 0.5,
				"ForageS": 1.0, "ImageGb": 0.0, "SwarmBoxes": false}))
		}()
		time.Sleep(600 * time.Millisecond)
		if v := w.tasks.Violations(); len(v) > 0 {
			break
		}
	}
	path.delay.Store(0)
	slow.Store(0)
	w.note("trouble over; commands held up: %d", path.held.Load())
	users.Wait()
	for time.Since(w.begun) < 75*time.Second && len(w.tasks.Violations()) == 0 {
		time.Sleep(500 * time.Millisecond)
	}
	if v := w.tasks.Violations(); len(v) > 0 {
		w.interesting = map[string]bool{long: true}
		return fmt.Errorf("%w: %d times: %s", errBroken, len(v), v[0])
	}
	return nil
}

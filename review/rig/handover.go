package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	handoverMachines = 48
	handoverSlots    = 64   // tasks that fit on a machine at a time
	handoverTasks    = 1000 // of each job
	handoverLoad     = 0.8  // of what the machines can run
	handoverDelay    = 300 * time.Millisecond
	handoverTrouble  = 25500 * time.Millisecond // the links are slow, and jobs submitted, until then
	waitingLimit     = 90 * time.Second
)

// handover: there is more work than room, machines change hands between controllers, and the links between
// the controllers are slow. Once that is over, every accepted job must run to its end.
func handover(w *world, trouble bool) error {
	delay, err := w.slowLinks()
	if err != nil {
		return err
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
	for i := range handoverMachines {
		if err := w.cloud.AddMachines(0, w.site.zones[i%2], false, 1); err != nil {
			return err
		}
	}
	time.Sleep(time.Second) // all machines have reported
	if trouble {
		delay.Store(int64(handoverDelay))
		w.note("the links between the controllers are slow: %v each way", handoverDelay)
	}
	const cpus, seconds = 0.5, 1.0
	tasksPerSecond := handoverMachines * handoverSlots / seconds * handoverLoad
	every := time.Duration(handoverTasks / tasksPerSecond * float64(time.Second))
	var users sync.WaitGroup
	var mu sync.Mutex
	open := map[string]bool{} // accepted jobs of which no user has been told that they are done
	for n := 1; time.Since(w.begun) < handoverTrouble; n++ {
		name := fmt.Sprintf("job-%06d", n)
		users.Add(1)
		go func() {
			defer users.Done()
			status, _ := w.submit(w.controllers[n%len(w.controllers)], job(name, object{"Cells": handoverTasks, "Cpus": cpus,
				"MemGb": 0.5, "ForageS": seconds, "ImageGb": 0.0, "SwarmBoxes": false}))
			if status == 200 || status == 201 {
				mu.Lock()
				open[name] = true
				mu.Unlock()
			}
		}()
		time.Sleep(every)
	}
	delay.Store(0)
	w.note("no more submissions; the links are as fast as ever")
	users.Wait()
	calm := time.Now()
	roomSince := calm // since when a machine has had room at each look
	for time.Since(w.begun) < 118*time.Second {
		for range 10 {
			if w.tasks.TotalRunning() >= handoverMachines*handoverSlots {
				roomSince = time.Now()
			}
			time.Sleep(200 * time.Millisecond)
		}
		w.note("%d tasks run on %d machines, which have room for %d", w.tasks.TotalRunning(),
			len(w.cloud.RunningInZone("")), handoverMachines*handoverSlots)
		for _, name := range slices.Sorted(maps.Keys(open)) {
			status, v := w.poll(w.controllers[leader], name)
			if v["Stage"] == "done" {
				delete(open, name)
			} else if time.Since(calm) > 30*time.Second {
				w.note("question about %s: %d %v", name, status, v)
			}
		}
		if len(open) == 0 {
			return nil
		}
		if time.Since(roomSince) > waitingLimit {
			w.interesting = map[string]bool{slices.Min(slices.Collect(maps.Keys(open))): true}
			return fmt.Errorf("%w: %d accepted jobs have waited for %v while machines had room: %v", errBroken, len(open),
				waitingLimit, slices.Sorted(maps.Keys(open)))
		}
	}
	return errors.New("no machine had room for so long")
}

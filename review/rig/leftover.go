package main

import (
	"errors"
	"fmt"
	"time"
)

// leftover: the service of one team fills a machine, a batch job of another team runs on a second
// machine. The cloud takes the second one. The job must run all the same.
func leftover(w *world, trouble bool) error {
	const service, batch = "job-000001", "job-000002"
	if err := w.cloud.AddMachines(0, "almaty-west", true, 1); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	if !w.healthy(15 * time.Second) {
		return errors.New("controllers are not healthy")
	}
	if status, _ := w.submit(w.controllers[0], job(service, object{"Colony": "audit-cell", "Shape": "daemon", "Cells": 8,
		"ForageS": 0.0})); status != 201 {
		return fmt.Errorf("submission of the service: %d", status)
	}
	if !w.waitRunning(service, 8, 20*time.Second) {
		return errors.New("the service does not run")
	}
	first := w.cloud.RunningInZone("")
	if err := w.cloud.AddMachines(0, "almaty-west", true, 1); err != nil {
		return err
	}
	if status, _ := w.submit(w.controllers[1], job(batch, object{"Colony": "payments-office", "Cells": 3,
		"ForageS": 8.0})); status != 201 {
		return fmt.Errorf("submission of the batch job: %d", status)
	}
	if !w.waitRunning(batch, 3, 15*time.Second) {
		return errors.New("the batch job does not run")
	}
	w.note("tasks of the batch job run: %v", w.running(batch))
	if trouble {
		for _, name := range w.cloud.RunningInZone("") {
			if name != first[0] {
				w.take(name)
			}
		}
	}
	for end := time.Now().Add(observation(95 * time.Second)); time.Now().Before(end); {
		time.Sleep(5 * time.Second)
		status, v := w.poll(w.controllers[1], batch)
		w.note("question about %s at %s: %d %v; running tasks: %v; machines: %v", batch, w.controllers[1].host, status, v,
			w.running(batch), w.cloud.RunningInZone(""))
		if v["Stage"] == "done" {
			return nil
		}
	}
	if n := len(w.running(batch)); n > 0 {
		return nil // it runs again
	}
	return fmt.Errorf("%w: no task of the accepted job runs again", errBroken)
}

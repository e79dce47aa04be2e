package main

import (
	"errors"
	"fmt"
	"time"
)

// replicas: of a service with a replica in each of two zones, one loses its machine. It must run again.
func replicas(w *world, trouble bool) error {
	const service = "job-000001"
	for _, zone := range []string{"almaty-east", "almaty-west"} {
		if err := w.cloud.AddMachines(0, zone, true, 1); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	if !w.healthy(15 * time.Second) {
		return errors.New("controllers are not healthy")
	}
	if status, _ := w.submit(w.controllers[0], job(service, object{"Shape": "daemon", "Cells": 2, "Spread": true,
		"ForageS": 0.0})); status != 201 {
		return fmt.Errorf("submission: %d", status)
	}
	if !w.waitRunning(service, 2, 20*time.Second) {
		return errors.New("the service does not run")
	}
	w.note("replicas run: %v", w.running(service))
	if trouble {
		for _, name := range w.cloud.RunningInZone("almaty-west") {
			w.take(name)
		}
	}
	for end := time.Now().Add(observation(95 * time.Second)); time.Now().Before(end); {
		time.Sleep(5 * time.Second)
		status, v := w.poll(w.controllers[1], service)
		w.note("question about %s at %s: %d %v; running replicas: %v; machines: %v", service, w.controllers[1].host, status,
			v, w.running(service), w.cloud.RunningInZone(""))
	}
	if n := len(w.running(service)); n < 2 {
		return fmt.Errorf("%w: %d of 2 replicas run", errBroken, n)
	}
	return nil
}

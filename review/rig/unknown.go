package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// unknown: a submission has a field that the protocol does not know.
func unknown(w *world, trouble bool) error {
	const name = "job-000001"
	if err := w.cloud.AddMachines(0, "almaty-east", false, 1); err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	if !w.healthy(15 * time.Second) {
		return errors.New("controllers are not healthy")
	}
	submission := job(name, object{"Cells": 6, "ForageS": 4.0})
	if trouble {
		submission["cells"] = 1
	}
	body, _ := json.Marshal(submission)
	w.note("submission: %s", body)
	if status, _ := w.submit(w.controllers[0], submission); status != 201 {
		return fmt.Errorf("submission: %d", status)
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status, v := w.poll(w.controllers[1], name)
		completed := map[string]bool{}
		for _, r := range w.tasks.Runs() {
			if strings.HasPrefix(r.Task, name+"/") && r.Cause == "done" {
				completed[r.Task] = true
			}
		}
		w.note("question about %s at %s: %d %v; completed tasks: %d of 6", name, w.controllers[1].host, status, v,
			len(completed))
		if v["Stage"] == "done" {
			if len(completed) < 6 {
				return fmt.Errorf("%w: the job is called done after %d of 6 tasks", errBroken, len(completed))
			}
			return nil
		}
	}
	return errors.New("the job is not done after 60 s")
}

package standin

import (
	"fmt"
	"strings"
	"time"

	"honeylock/internal/config"
)

type cell struct {
	task         string
	attempt      uint64
	job          *Job
	stage, cause string
	saved        bool
	run          *Run
	base         time.Duration // progress at its beginning
	began        time.Time     // running since
	need         time.Duration // run time still needed then
	saveEnd      time.Time
	fails        bool
}

// progress is the work done so far, in the world's own time.
func (c *cell) progress(now time.Time) time.Duration {
	if c.began.IsZero() {
		return c.base
	}
	return c.base + min(now.Sub(c.began), c.need)
}

// forget kills all tasks.
func (w *Worker) forget(now time.Time) {
	for k, c := range w.cells {
		w.leave(c, now, "killed")
		delete(w.cells, k)
	}
}

// leave ends a task's stay; what it last saved by itself is kept.
func (w *Worker) leave(c *cell, now time.Time, cause string) {
	if c.run == nil || !c.run.Ended.IsZero() {
		return
	}
	kept := c.base
	if every := config.Seconds(c.job.CapIntervalS); every > 0 {
		p := c.progress(now)
		kept = max(kept, p-p%every)
		if c.saved {
			kept = p
		}
	}
	w.depot.end(c.run, cause, kept)
}

func (w *Worker) step(now time.Time) {
	if now.Sub(w.renewed) > w.timing.Lease {
		w.forget(now)
		w.session++
		w.renewed = now
		w.meter.Expired.Add(1)
		w.change()
	}
	for img, end := range w.fetches {
		if !now.Before(end) {
			w.images[img] = true
			delete(w.fetches, img)
		}
	}
	for _, c := range w.cells {
		switch c.stage {
		case "fetching":
			w.fetch(now, c)
		case "running":
			if c.job.Shape != "daemon" && now.Sub(c.began) >= c.need {
				cause := "done"
				if c.fails {
					cause = "error"
				}
				w.exit(now, c, cause)
			}
		case "saving":
			if !now.Before(c.saveEnd) {
				c.saved = true
				w.exit(now, c, "stopped")
			}
		}
	}
}

func (w *Worker) fetch(now time.Time, c *cell) {
	if !w.images[c.job.Wax] {
		if _, ok := w.fetches[c.job.Wax]; !ok {
			w.fetches[c.job.Wax] = now.Add(config.Seconds(c.job.ImageGb / w.kind.PullGbPerS))
		}
		return
	}
	r, base, done := w.depot.begin(c.job, c.task, w.Name, c.attempt)
	w.meter.Starts.Add(1)
	c.run, c.base, c.began, c.stage = r, base, now, "running"
	c.need = config.Seconds(c.job.ForageS*w.depot.factor(c.job, c.task)) - base
	if c.fails = w.depot.fails(c.task, w.Name); c.fails {
		c.need /= 4
	}
	w.change()
	if done {
		w.exit(now, c, "done")
	}
}

func (w *Worker) exit(now time.Time, c *cell, cause string) {
	w.leave(c, now, cause)
	c.stage, c.cause = "exited", cause
	w.change()
}

type command struct {
	Dance, Cell string
	Brood       uint64
	SettleS     float64
}

func (w *Worker) execute(now time.Time, cmds []command) {
	for _, d := range cmds {
		key := fmt.Sprintf("%s#%d", d.Cell, d.Brood)
		c := w.cells[key]
		switch {
		case d.Dance == "launch" && c == nil:
			w.cells[key] = w.launch(d)
			w.change()
		case d.Dance == "kill" && c != nil && c.stage != "exited":
			w.kill(now, c, d.SettleS)
		case d.Dance == "clear" && c != nil && c.stage == "exited":
			delete(w.cells, key)
			w.change()
		}
	}
	w.step(now)
	w.schedule(now)
}

func (w *Worker) launch(d command) *cell {
	name, _, _ := strings.Cut(d.Cell, "/")
	c := &cell{task: d.Cell, attempt: d.Brood, stage: "exited"}
	c.job = w.depot.job(name)
	if c.job == nil {
		c.cause = "unknown"
		return c
	}
	cpus, gpus, mem := c.job.Cpus, c.job.Accelerators, c.job.MemGb
	for _, o := range w.cells {
		if o.stage == "exited" {
			continue
		}
		if o.task == c.task {
			c.cause = "busy"
			return c
		}
		cpus, gpus, mem = cpus+o.job.Cpus, gpus+o.job.Accelerators, mem+o.job.MemGb
	}
	const slack = 1e-6
	if cpus > w.kind.Cpus+slack || gpus > w.kind.Accelerators+slack || mem > w.kind.MemGb+slack {
		c.cause = "no_room"
		return c
	}
	c.stage = "fetching"
	return c
}

func (w *Worker) kill(now time.Time, c *cell, settle float64) {
	saves := c.job.CapIntervalS > 0 && c.stage == "running" && settle >= c.job.CapS
	if !saves {
		if c.stage == "saving" && settle > 0 {
			return
		}
		w.exit(now, c, "stopped")
		return
	}
	c.stage, c.saveEnd = "saving", now.Add(config.Seconds(c.job.CapS))
	w.change()
}

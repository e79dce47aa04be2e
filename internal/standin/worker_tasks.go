package standin

import (
	"fmt"
	"strings"
	"time"

	"honeylock/internal/config"
)

// attempt is one attempt of a task on a machine.
type attempt struct {
	task          string
	number        uint64
	job           *Job
	stage, cause  string
	saved         bool // its progress was saved when it was stopped
	run           *Run
	savedProgress time.Duration // progress when it started to run
	startedAt     time.Time     // when it started to run
	remaining     time.Duration // run time that was needed at startedAt
	saveEndsAt    time.Time
	fails         bool // it ends with an error
}

// progress returns the run time that the task has completed so far.
func (a *attempt) progress(now time.Time) time.Duration {
	if a.startedAt.IsZero() {
		return a.savedProgress
	}
	return a.savedProgress + min(now.Sub(a.startedAt), a.remaining)
}

// killTasks kills all tasks, which lose what they have not saved.
func (w *Worker) killTasks(now time.Time) {
	for k, a := range w.attempts {
		w.endRun(a, now, "killed")
		delete(w.attempts, k)
	}
}

// endRun records the end of an attempt, with the progress of its last periodic save or, if it
// saved when it was stopped, with all of its progress.
func (w *Worker) endRun(a *attempt, now time.Time, cause string) {
	if a.run == nil || !a.run.EndedAt.IsZero() {
		return
	}
	saved := a.savedProgress
	if saveInterval := config.Seconds(a.job.CapIntervalS); saveInterval > 0 {
		progress := a.progress(now)
		saved = max(saved, progress-progress%saveInterval)
		if a.saved {
			saved = progress
		}
	}
	w.tasks.endRun(a.run, cause, saved)
}

// advanceTasks applies what is due by now: the expiry of the lease, image fetches, and the ends
// of tasks.
func (w *Worker) advanceTasks(now time.Time) {
	if now.Sub(w.leaseRenewedAt) > w.timing.Lease {
		w.killTasks(now)
		w.session++
		w.leaseRenewedAt = now
		w.stats.Expired.Add(1)
		w.markChanged()
	}
	for image, end := range w.imageFetches {
		if !now.Before(end) {
			w.images[image] = true
			delete(w.imageFetches, image)
		}
	}
	for _, a := range w.attempts {
		switch a.stage {
		case "fetching":
			w.fetchImage(now, a)
		case "running":
			if a.job.Shape != "daemon" && now.Sub(a.startedAt) >= a.remaining {
				cause := "done"
				if a.fails {
					cause = "error"
				}
				w.exitAttempt(now, a, cause)
			}
		case "saving":
			if !now.Before(a.saveEndsAt) {
				a.saved = true
				w.exitAttempt(now, a, "stopped")
			}
		}
	}
}

// fetchImage starts to fetch an attempt's image, or runs the task if the image is there. An
// attempt that is to fail does so after a quarter of its run time.
func (w *Worker) fetchImage(now time.Time, a *attempt) {
	if !w.images[a.job.Wax] {
		if _, ok := w.imageFetches[a.job.Wax]; !ok {
			w.imageFetches[a.job.Wax] = now.Add(config.Seconds(a.job.ImageGb / w.machineType.PullGbPerS))
		}
		return
	}
	run, savedProgress, completed := w.tasks.startRun(a.job, a.task, w.Name, a.number)
	w.stats.Starts.Add(1)
	a.run, a.savedProgress, a.startedAt, a.stage = run, savedProgress, now, "running"
	a.remaining = config.Seconds(a.job.ForageS*w.tasks.runTimeFactor(a.job, a.task)) - savedProgress
	if a.fails = w.tasks.attemptFails(a.task, w.Name); a.fails {
		a.remaining /= 4
	}
	w.markChanged()
	if completed {
		w.exitAttempt(now, a, "done")
	}
}

// exitAttempt ends an attempt; it is reported until a command clears it.
func (w *Worker) exitAttempt(now time.Time, a *attempt, cause string) {
	w.endRun(a, now, cause)
	a.stage, a.cause = "exited", cause
	w.markChanged()
}

// command is a command from a controller.
type command struct {
	Dance, Cell string
	Brood       uint64
	SettleS     float64
}

// execute executes commands. A command that does not apply to the current state is ignored.
func (w *Worker) execute(now time.Time, commands []command) {
	for _, cmd := range commands {
		key := fmt.Sprintf("%s#%d", cmd.Cell, cmd.Brood)
		a := w.attempts[key]
		switch {
		case cmd.Dance == "launch" && a == nil:
			w.attempts[key] = w.launch(cmd)
			w.markChanged()
		case cmd.Dance == "kill" && a != nil && a.stage != "exited":
			w.kill(now, a, cmd.SettleS)
		case cmd.Dance == "clear" && a != nil && a.stage == "exited":
			delete(w.attempts, key)
			w.markChanged()
		}
	}
	w.advanceTasks(now)
	w.resetTimer(now)
}

// launch returns a new attempt, which has already exited if its job is unknown, another attempt
// of the task is on the machine, or the free capacity is too small.
func (w *Worker) launch(cmd command) *attempt {
	name, _, _ := strings.Cut(cmd.Cell, "/")
	a := &attempt{task: cmd.Cell, number: cmd.Brood, stage: "exited"}
	a.job = w.tasks.job(name)
	if a.job == nil {
		a.cause = "unknown"
		return a
	}
	cpus, gpus, mem := a.job.Cpus, a.job.Accelerators, a.job.MemGb
	for _, other := range w.attempts {
		if other.stage == "exited" {
			continue
		}
		if other.task == a.task {
			a.cause = "busy"
			return a
		}
		cpus, gpus, mem = cpus+other.job.Cpus, gpus+other.job.Accelerators, mem+other.job.MemGb
	}
	const slack = 1e-6
	if cpus > w.machineType.Cpus+slack || gpus > w.machineType.Accelerators+slack || mem > w.machineType.MemGb+slack {
		a.cause = "no_room"
		return a
	}
	a.stage = "fetching"
	return a
}

// kill stops an attempt, after saving its progress if the grace period allows that.
func (w *Worker) kill(now time.Time, a *attempt, graceS float64) {
	saves := a.job.CapIntervalS > 0 && a.stage == "running" && graceS >= a.job.CapS
	if !saves {
		if a.stage == "saving" && graceS > 0 {
			return
		}
		w.exitAttempt(now, a, "stopped")
		return
	}
	a.stage, a.saveEndsAt = "saving", now.Add(config.Seconds(a.job.CapS))
	w.markChanged()
}

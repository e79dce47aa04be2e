package sim

import (
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

const (
	// How long a job may wait beside free capacity after the last fault.
	maxWaitBesideCapacity = 90 * time.Second
	// Time within which each job has to start.
	maxStartDelay = 4 * time.Minute
	// How long after a confirmed cancellation a start may come, without faults.
	maxLateStart = 3 * time.Second
)

// checkWaitingJobs checks every 2 s that no job takes too long to start. After the last fault it also
// checks that no job waits while a suitable machine has free capacity and its team is below its limit.
func (w *world) checkWaitingJobs() {
	w.after(2*time.Second, w.checkWaitingJobs)
	for id, u := range w.users {
		if !u.accepted || u.finalStage != "" || u.cancelRequested || len(u.dependsOn) > 0 ||
			len(u.doneTasks) == int(u.spec.Tasks) {
			delete(w.waitingSince, id)
			continue
		}
		if waitingFrom := max(u.acceptedAt, w.faultsOverAt); !u.started && w.now-waitingFrom > maxStartDelay {
			w.fail("not_started", "job %d (%+v) was accepted at %v", id, u.spec, u.acceptedAt)
		}
		if w.now < w.faultsOverAt || !w.waitsBesideCapacity(u) {
			delete(w.waitingSince, id)
			continue
		}
		since, ok := w.waitingSince[id]
		if !ok || u.lastChangeAt > since {
			w.waitingSince[id] = w.now
		} else if w.now-since > maxWaitBesideCapacity {
			w.fail("capacity_unused", "job %d (%+v) waits, %d of %d tasks done", id, u.spec, len(u.doneTasks), u.spec.Tasks)
		}
	}
}

// waitsBesideCapacity reports whether a job has a task that could run now on some machine within its
// team's limit.
func (w *world) waitsBesideCapacity(u *user) bool {
	active, zones := 0, map[model.Name]int{}
	for _, m := range w.workers {
		for k, a := range m.attempts {
			if k.task.Job == u.spec.ID && a.Stage != model.Exited {
				active++
				zones[m.Zone]++
			}
		}
	}
	if active+len(u.doneTasks) >= int(u.spec.Tasks) || w.teamCPU(u.spec.Team)+u.spec.PerTask.CPU > teamLimit.CPU {
		return false
	}
	for _, m := range w.workers {
		at := m.Machine
		switch {
		case m.returned, w.now < m.hungUntil, !u.spec.Allows(&at), !u.spec.PerTask.Fits(m.freeCapacity()):
		case len(m.attempts) >= model.AttemptsPerMachine: // one more would make its reports too long
		case u.spec.SameZone && active > 0 && zones[m.Zone] == 0:
		case u.spec.Spread && zones[m.Zone] >= (int(u.spec.Tasks)+1)/2:
		default:
			return true
		}
	}
	return false
}

// checkCancelledGone checks that no task is on a machine later than cancelBound after the user knew of
// the cancellation. This includes machines that hung and run again.
func (w *world) checkCancelledGone(m *machine, k attemptKey, a *attempt) {
	if u := w.users[k.task.Job]; a.active && u.finalStage == jobs.Cancelled && w.now > u.endedAt+w.params.cancelBound {
		w.fail("ran_cancelled", "task %v still runs on %s, %v after the cancellation", k.task, m.host, w.now-u.endedAt)
	}
}

// checkLateStart checks, without faults, that a task starts only so long after a confirmed
// cancellation as commands need that were already on their way.
func (w *world) checkLateStart(u *user, t model.Task, m *machine) {
	if u.finalStage != jobs.Cancelled {
		return
	}
	w.observe("a start after a confirmed cancellation")
	if w.params.checkWaiting && w.now > w.faultsOverAt && w.now > u.endedAt+maxLateStart && u.endedAt > w.faultsOverAt {
		w.fail("started_after_cancel", "task %v starts on %s, %v after the cancellation", t, m.host, w.now-u.endedAt)
	}
}

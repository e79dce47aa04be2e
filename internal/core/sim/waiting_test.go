package sim

import (
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

const (
	maxWaitBesideCapacity = 90 * time.Second // that a job may wait beside room, troubles over
	maxStartDelay         = 4 * time.Minute  // in which each job has to begin
	maxLateStart          = 3 * time.Second  // that a start may come after a confirmed cancellation, without troubles
)

// checkWaitingJobs looks, once troubles are over, for jobs that wait while a machine that fits has
// room and their team is under its limit; and always for jobs that don't begin.
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
		case u.spec.SameZone && active > 0 && zones[m.Zone] == 0:
		case u.spec.Spread && zones[m.Zone] >= (int(u.spec.Tasks)+1)/2:
		default:
			return true
		}
	}
	return false
}

// checkCancelledGone: from cancel_s after the user was told no task is on a machine, one that hung and
// goes on included.
func (w *world) checkCancelledGone(m *machine, k attemptKey, a *attempt) {
	if u := w.users[k.task.Job]; a.active && u.finalStage == jobs.Cancelled && w.now > u.endedAt+w.params.cancelBound {
		w.fail("ran_cancelled", "task %v goes on on %s, %v after", k.task, m.host, w.now-u.endedAt)
	}
}

// checkLateStart: without troubles a start comes at most as long after a confirmed
// cancellation as orders take that were under way.
func (w *world) checkLateStart(u *user, t model.Task, m *machine) {
	if u.finalStage != jobs.Cancelled {
		return
	}
	w.observe("a start after a confirmed cancellation")
	if w.params.checkWaiting && w.now > w.faultsOverAt && w.now > u.endedAt+maxLateStart && u.endedAt > w.faultsOverAt {
		w.fail("started_after_cancel", "task %v starts on %s, %v after", t, m.host, w.now-u.endedAt)
	}
}

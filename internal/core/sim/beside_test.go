package sim

import (
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

const (
	besideFor = 90 * time.Second // that a job may wait beside room, troubles over
	beginIn   = 4 * time.Minute  // in which each job has to begin
	startLate = 3 * time.Second  // that a start may come after a confirmed cancellation, without troubles
)

// checkBeside looks, once troubles are over, for jobs that wait while a machine that fits has
// room and their team is under its limit; and always for jobs that don't begin.
func (w *world) checkBeside() {
	w.after(2*time.Second, w.checkBeside)
	for id, u := range w.users {
		if !u.accepted || u.ended != "" || u.wants || len(u.awaits) > 0 || len(u.done) == int(u.spec.Tasks) {
			delete(w.room, id)
			continue
		}
		if from := max(u.acceptedAt, w.calm); !u.begun && w.now-from > beginIn {
			w.fail("not begun", "job %d (%+v) was accepted at %v", id, u.spec, u.acceptedAt)
		}
		if w.now < w.calm || !w.waitsBesideRoom(u) {
			delete(w.room, id)
			continue
		}
		since, ok := w.room[id]
		if !ok || u.movedAt > since {
			w.room[id] = w.now
		} else if w.now-since > besideFor {
			w.fail("beside room", "job %d (%+v) waits, %d of %d tasks done", id, u.spec, len(u.done), u.spec.Tasks)
		}
	}
}

func (w *world) waitsBesideRoom(u *user) bool {
	on, zones := 0, map[model.Name]int{}
	for _, m := range w.workers {
		for k, a := range m.cells {
			if k.t.Job == u.spec.ID && a.Stage != model.Exited {
				on++
				zones[m.Zone]++
			}
		}
	}
	if on+len(u.done) >= int(u.spec.Tasks) || w.used(u.spec.Team)+u.spec.PerTask.CPU > teamLimit.CPU {
		return false
	}
	for _, m := range w.workers {
		at := m.Machine
		switch {
		case m.dead, w.now < m.hungUntil, !u.spec.Allows(&at), !u.spec.PerTask.Fits(m.free()):
		case u.spec.SameZone && on > 0 && zones[m.Zone] == 0:
		case u.spec.Spread && zones[m.Zone] >= (int(u.spec.Tasks)+1)/2:
		default:
			return true
		}
	}
	return false
}

// checkGone: from cancel_s after the user was told no task is on a machine, one that hung and
// goes on included.
func (w *world) checkGone(m *machine, k key, a *attempt) {
	if u := w.users[k.t.Job]; a.on && u.ended == jobs.Cancelled && w.now > u.endedAt+w.p.cancel {
		w.fail("ran_cancelled", "task %v goes on on %s, %v after", k.t, m.host, w.now-u.endedAt)
	}
}

// checkLateStart: without troubles a start comes at most as long after a confirmed
// cancellation as orders take that were under way.
func (w *world) checkLateStart(u *user, t model.Task, m *machine) {
	if u.ended != jobs.Cancelled {
		return
	}
	w.saw("a start after a confirmed cancellation")
	if w.p.beside && w.now > w.calm && w.now > u.endedAt+startLate && u.endedAt > w.calm {
		w.fail("started cancelled", "task %v starts on %s, %v after", t, m.host, w.now-u.endedAt)
	}
}

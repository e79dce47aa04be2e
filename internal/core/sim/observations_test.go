package sim

import (
	"slices"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// Observations show that a situation which a scenario is about has occurred. A run in which it has not
// tests nothing.

// observe counts a situation.
func (w *world) observe(what string) { w.observed[what]++ }

// controllerEnded observes the end of a controller process.
func (w *world) controllerEnded(c *controller) {
	if c.leadership != nil {
		w.lastHandover = w.now
		for _, m := range w.workers {
			if m.addedAt > 0 && w.now-m.addedAt < 10*time.Second && !w.isRecorded(m) && len(m.attempts) > 0 {
				w.observe("the leader crashes before a machine with tasks is recorded")
			}
			if m.addedAt > 0 && w.now-m.addedAt < 10*time.Second && len(m.attempts) > 0 {
				w.observe("the leader crashes just after a new machine got tasks")
			}
		}
	}
	if !slices.ContainsFunc(w.controllers, func(o *controller) bool { return o.running }) {
		w.observe("all controllers crash")
		w.allDownSince = w.now
	}
}

// isRecorded reports whether the store has a record of a machine.
func (w *world) isRecorded(m *machine) bool {
	for _, r := range w.store.records {
		for _, x := range r.machines {
			if x.ID == m.ID {
				return true
			}
		}
	}
	return false
}

// controllerStarted observes the start of a controller process.
func (w *world) controllerStarted() {
	if w.allDownSince > 0 && w.now-w.allDownSince > w.params.lease {
		w.observe("no controller runs for longer than the lease")
	}
	if w.allDownSince > 0 && w.now-w.allDownSince < time.Second {
		w.observe("a controller restarts within a second")
	}
	w.allDownSince = 0
}

// leaderStarted observes the start of a leader and delivers the reports that were kept for it.
func (w *world) leaderStarted(c *controller) {
	w.lastHandover = w.now
	w.leaderStarts = append(w.leaderStarts, w.now)
	if n := len(w.leaderStarts); n >= 10 && w.now-w.leaderStarts[n-10] < 2*time.Minute {
		w.observe("ten leaders in two minutes")
		if w.store.down {
			w.observe("ten leaders in two minutes, during an outage")
		}
	}
	for _, u := range w.users {
		if u.accepted && u.finalStage == "" && len(u.doneTasks) > 0 && len(u.doneTasks) < int(u.spec.Tasks) {
			w.observe("a leader starts while some tasks of a job are done")
		}
	}
	for _, m := range w.workers {
		u, atLimit := w.userOn(m)
		if u == nil {
			continue
		}
		if w.now < m.hungUntil || w.unreachable(m) {
			w.observe("a leader starts while a machine with tasks is unreachable")
			if atLimit {
				w.observe("a leader starts while a machine with tasks is unreachable and its team is at its limit")
			}
		}
	}
	w.deliverKeptReports(c)
}

// userOn returns the user of a task on a machine, nil if there is none, and whether its team is at its
// limit. It prefers tasks of teams at their limit.
func (w *world) userOn(m *machine) (u *user, atLimit bool) {
	for _, k := range m.sortedAttempts() {
		if m.attempts[k].active {
			u = w.users[k.task.Job]
			if w.atLimit(u.spec.Team) {
				return u, true
			}
		}
	}
	return u, false
}

// teamCPU returns the CPUs that a team's tasks use now.
func (w *world) teamCPU(team model.Name) (cpu int64) {
	for _, m := range w.workers {
		for k, a := range m.attempts {
			if u := w.users[k.task.Job]; a.Stage != model.Exited && u.spec.Team == team {
				cpu += u.spec.PerTask.CPU
			}
		}
	}
	return cpu
}

// atLimit reports whether another task of four CPUs would exceed the team's limit.
func (w *world) atLimit(team model.Name) bool {
	return w.teamCPU(team)+model.Request(4, 0, 1).CPU > teamLimit.CPU
}

// unreachable reports whether no controller reaches a machine.
func (w *world) unreachable(m *machine) bool {
	return !slices.ContainsFunc(w.controllers, func(c *controller) bool {
		_, cut := w.cuts[hostPair{c.host, m.host}]
		return !cut
	})
}

// observeCancellation observes the circumstances in which a user learns of a cancellation.
func (w *world) observeCancellation(c *controller, u *user, a *jobs.Answer) {
	if a.Stage != jobs.Cancelled || u.finalStage != "" {
		return
	}
	w.observe("cancelled")
	w.lastAcknowledger = c
	if w.now < w.storeSlowUntil {
		w.observe("cancelled while the store is slow")
	}
	if w.now-w.lastHandover < 4*time.Second {
		w.observe("cancelled during a shard handover")
	}
	if u.lastChangeAt > 0 && len(u.doneTasks) > 0 && w.now-u.lastChangeAt < time.Second {
		w.observe("cancelled as a task ends")
	}
	for _, other := range w.controllers {
		if other == c || !other.running {
			continue
		}
		if w.now < w.store.refusedUntil[other.host] {
			w.observe("cancelled while the store refuses only another controller")
		}
		_, fromStore := w.cuts[hostPair{other.host, "store"}]
		if _, fromSibling := w.cuts[hostPair{other.host, c.host}]; fromStore && fromSibling {
			w.observe("cancelled through another controller than the isolated one")
		}
	}
	for _, m := range w.workers {
		for k, at := range m.attempts {
			if k.task.Job != u.spec.ID || !at.active {
				continue
			}
			switch {
			case w.now < m.hungUntil:
				w.observe("cancelled with a task on a hung machine")
			case w.unreachable(m):
				w.observe("cancelled with a task on an unreachable machine")
			default:
				w.observe("cancelled with a task on a reachable machine")
			}
			if w.isolatedZone != nil && w.isolatedZone.contains(m) {
				w.observe("cancelled from outside an isolated zone that holds a task")
			}
			if w.atLimit(u.spec.Team) {
				w.observe("cancelled with its team at its limit")
			}
		}
	}
}

// keptReport is a copy of a report that is kept for the next leader.
type keptReport struct {
	machine  *machine
	report   *model.Report
	captured bool
	term     uint64
}

// captureReport copies the first report of each machine that lists attempts, if reports are to be
// kept.
func (w *world) captureReport(m *machine, r *model.Report) {
	for _, h := range w.keptReports {
		if h.machine == m && !h.captured && len(r.Attempts) > 0 {
			h.report, h.captured, h.term = r, true, w.store.term
		}
	}
}

// deliverKeptReports delivers the copies to every controller as a leader starts, and to that leader
// again after it has loaded the store.
func (w *world) deliverKeptReports(c *controller) {
	kept := w.keptReports
	w.keptReports = nil
	for _, h := range kept {
		if !h.captured {
			w.keptReports = append(w.keptReports, h)
			continue
		}
		h.term = min(h.term, c.election.Term()-1)
		for _, o := range w.controllers {
			w.after(w.randomDuration(0, 200*time.Millisecond), func() {
				o.whenRunning(func() {
					if o.running && (o.local != nil || o.leadership != nil) {
						w.observe("an old report arrives as a leader starts")
					}
					h.machine.deliverCopy(o, h.report)
				})
			})
		}
		var deliverAfterFirstCycle func()
		deliverAfterFirstCycle = func() {
			l := c.leadership
			if l == nil || l.term <= h.term {
				return // it is no longer leader
			}
			if !l.loaded {
				w.after(300*time.Millisecond, deliverAfterFirstCycle)
				return
			}
			w.observe("an old report arrives after a new leader has loaded the store")
			if h.report.Session < h.machine.session {
				w.observe("an old report is of an earlier session")
			}
			c.whenRunning(func() { h.machine.deliverCopy(c, h.report) })
		}
		w.after(w.randomDuration(time.Second, 4*time.Second), deliverAfterFirstCycle)
	}
}

// isolatedZone is a zone that is cut off, with its machines and one controller, from all other hosts.
type isolatedZone struct {
	zone       model.Name
	controller *controller
}

// contains reports whether a machine is in the zone.
func (z *isolatedZone) contains(m *machine) bool { return m.Zone == z.zone }

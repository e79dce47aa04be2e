package sim

import (
	"slices"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// Evidence that what a meeting is about did happen: a day on which it didn't shows nothing.

func (w *world) saw(what string) { w.seen[what]++ }

// ends notes that a controller ends.
func (w *world) ends(c *ctl) {
	if c.lead != nil {
		w.changed = w.now
		for _, m := range w.workers {
			if m.upAt > 0 && w.now-m.upAt < 10*time.Second && !w.recorded(m) && len(m.cells) > 0 {
				w.saw("the leader ends before a machine with work is recorded")
			}
			if m.upAt > 0 && w.now-m.upAt < 10*time.Second && len(m.cells) > 0 {
				w.saw("the leader ends just after a new machine got work")
			}
		}
	}
	if !slices.ContainsFunc(w.ctls, func(o *ctl) bool { return o.up }) {
		w.saw("all controllers end")
		w.gone = w.now
	}
}

func (w *world) recorded(m *machine) bool {
	for _, r := range w.store.records {
		for _, x := range r.machines {
			if x.ID == m.ID {
				return true
			}
		}
	}
	return false
}

// isBack notes that a controller begins.
func (w *world) isBack() {
	if w.gone > 0 && w.now-w.gone > w.p.lease {
		w.saw("no controller for longer than the lease")
	}
	if w.gone > 0 && w.now-w.gone < time.Second {
		w.saw("one is back within a second")
	}
	w.gone = 0
}

// begins notes that a controller begins to lead, and has it get what was kept for it.
func (w *world) begins(c *ctl) {
	w.changed = w.now
	w.ledAt = append(w.ledAt, w.now)
	if n := len(w.ledAt); n >= 10 && w.now-w.ledAt[n-10] < 2*time.Minute {
		w.saw("ten leaders in two minutes")
		if w.store.out {
			w.saw("ten leaders in two minutes, in an outage")
		}
	}
	for _, u := range w.users {
		if u.accepted && u.ended == "" && len(u.done) > 0 && len(u.done) < int(u.spec.Tasks) {
			w.saw("a leader begins between the ends of a job's tasks")
		}
	}
	for _, m := range w.workers {
		u, full := w.heldBy(m)
		if u == nil {
			continue
		}
		if w.now < m.hungUntil || w.unreachable(m) {
			w.saw("a leader begins while a machine with tasks can't be asked")
			if full {
				w.saw("... and its team is at its limit")
			}
		}
	}
	w.deliverKept(c)
}

// heldBy is the user of a task on a machine, nil if there is none, and whether its team is
// at its limit.
func (w *world) heldBy(m *machine) (u *user, full bool) {
	for _, k := range m.sorted() {
		if m.cells[k].on {
			u = w.users[k.t.Job]
			if w.atLimit(u.spec.Team) {
				return u, true
			}
		}
	}
	return u, false
}

// used is what a team's tasks take now.
func (w *world) used(team model.Name) (cpu int64) {
	for _, m := range w.workers {
		for k, a := range m.cells {
			if u := w.users[k.t.Job]; u.spec.Team == team && a.Stage != model.Exited {
				cpu += u.spec.PerTask.CPU
			}
		}
	}
	return cpu
}

// atLimit: a task of four CPUs would be too much for the team.
func (w *world) atLimit(team model.Name) bool {
	return w.used(team)+model.Request(4, 0, 1).CPU > teamLimit.CPU
}

// unreachable tells whether no controller reaches a machine.
func (w *world) unreachable(m *machine) bool {
	return !slices.ContainsFunc(w.ctls, func(c *ctl) bool {
		_, cut := w.cuts[pair{c.host, m.host}]
		return !cut
	})
}

// settles notes what a cancellation meets that a controller tells its user of.
func (w *world) settles(c *ctl, u *user, a *jobs.Answer) {
	if a.Stage != jobs.Cancelled || u.ended != "" {
		return
	}
	w.saw("cancelled")
	w.teller = c
	if w.now < w.slow {
		w.saw("cancelled while the store is slow")
	}
	if w.now-w.changed < 4*time.Second {
		w.saw("cancelled while work changes hands")
	}
	if u.movedAt > 0 && len(u.done) > 0 && w.now-u.movedAt < time.Second {
		w.saw("cancelled as a task ends")
	}
	for _, o := range w.ctls {
		if o == c || !o.up {
			continue
		}
		if w.now < w.store.refuses[o.host] {
			w.saw("cancelled while another controller is refused alone")
		}
		_, fromStore := w.cuts[pair{o.host, "store"}]
		if _, fromSibling := w.cuts[pair{o.host, c.host}]; fromStore && fromSibling {
			w.saw("cancelled through another than the one cut off")
		}
	}
	for _, m := range w.workers {
		for k, at := range m.cells {
			if k.t.Job != u.spec.ID || !at.on {
				continue
			}
			switch {
			case w.now < m.hungUntil:
				w.saw("cancelled with a task on a machine that hangs")
			case w.unreachable(m):
				w.saw("cancelled with a task out of reach")
			default:
				w.saw("cancelled with a task at work")
			}
			if w.zoneCut != nil && w.zoneCut.holds(m) {
				w.saw("cancelled outside, with a task in a zone that is cut off")
			}
			if w.atLimit(u.spec.Team) {
				w.saw("cancelled with its team at its limit")
			}
		}
	}
}

// heldReport is a copy of a report that is kept for the next leader.
type heldReport struct {
	m     *machine
	r     *model.Report
	taken bool
	term  uint64
}

// keep keeps the first report of each machine, once that is asked for.
func (w *world) keep(m *machine, r *model.Report) {
	for _, h := range w.kept {
		if h.m == m && !h.taken && len(r.Attempts) > 0 {
			h.r, h.taken, h.term = r, true, w.store.term
		}
	}
}

// deliverKept has the copies arrive at every controller as a leader begins, and at that
// leader once it has acted.
func (w *world) deliverKept(c *ctl) {
	kept := w.kept
	w.kept = nil
	for _, h := range kept {
		if !h.taken {
			w.kept = append(w.kept, h)
			continue
		}
		h.term = min(h.term, c.el.Term()-1)
		for _, o := range w.ctls {
			w.after(w.between(0, 200*time.Millisecond), func() {
				o.awake(func() {
					if o.up && (o.seat != nil || o.lead != nil) {
						w.saw("an old report as a leader begins")
					}
					h.m.sendCopy(o, h.r)
				})
			})
		}
		var acted func()
		acted = func() {
			l := c.lead
			if l == nil || l.term <= h.term {
				return // it leads no more
			}
			if !l.loaded {
				w.after(300*time.Millisecond, acted)
				return
			}
			w.saw("a report held back until a new leader has acted")
			if h.r.Session < h.m.session {
				w.saw("a report of an earlier session")
			}
			c.awake(func() { h.m.sendCopy(c, h.r) })
		}
		w.after(w.between(time.Second, 4*time.Second), acted)
	}
}

// zoneCut is a zone with its machines and a controller, cut off from all else.
type zoneCut struct {
	zone model.Name
	in   *ctl
}

func (z *zoneCut) holds(m *machine) bool { return m.Zone == z.zone }

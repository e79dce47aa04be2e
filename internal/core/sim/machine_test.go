package sim

import (
	"fmt"
	"slices"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

type attempt struct {
	model.AttemptStatus
	readyAt, endAt time.Duration
	on             bool // it has its image: it counts for the rules
}

type key struct {
	t model.Task
	a uint64
}

// machine is a worker that keeps to the protocol to the letter.
type machine struct {
	w    *world
	host string
	model.Machine
	session, seq, token uint64
	cells               map[key]*attempt
	leaseFrom           time.Duration
	target              int
	nextAt              time.Duration
	awaiting            uint64 // number of the report in flight
	sentAt              time.Duration
	reports             uint64
	hungUntil           time.Duration
	results             map[model.Task]bool
	dead                bool          // given back
	unheard             time.Duration // its reports get lost until then, its answers to commands don't
	upAt                time.Duration // when it came up
}

func newMachine(w *world, id model.MachineID, zone int) *machine {
	return &machine{w: w, host: fmt.Sprintf("m%d", id), session: 1, cells: map[key]*attempt{}, target: int(id) % w.p.controllers,
		Machine: model.Machine{ID: id, Addr: fmt.Sprintf("m%d", id), Type: 0, Zone: model.Name(zone), Spot: id%4 == 3}, results: map[model.Task]bool{}}
}

// restart: the worker loses everything and comes up anew with its next session.
func (m *machine) restart() { m.nextSession() }

// left notes that a task is on the machine no more.
func (m *machine) left(k key) {
	u := m.w.users[k.t.Job]
	u.movedAt = m.w.now
	if u.ended == jobs.Cancelled {
		m.w.longest = max(m.w.longest, m.w.now-u.endedAt)
	}
}

func (m *machine) nextSession() {
	for k, a := range m.cells {
		if a.on {
			m.left(k)
		}
	}
	m.cells = map[key]*attempt{}
	m.session++
	m.leaseFrom = m.w.now
	m.awaiting = 0
}

func (m *machine) tick() {
	w := m.w
	if m.dead {
		return
	}
	w.after(50*time.Millisecond, m.tick)
	if w.now < m.hungUntil {
		return
	}
	if w.now-m.leaseFrom > w.p.lease {
		m.nextSession()
	}
	for _, k := range m.sorted() {
		a := m.cells[k]
		w.checkGone(m, k, a)
		switch {
		case a.Stage == model.Fetching && w.now >= a.readyAt:
			if m.results[k.t] {
				m.exit(a, model.CauseDone)
				continue
			}
			a.Stage, a.on = model.Running, true
			m.w.starts(m, k.t)
		case a.Stage == model.Running && w.now >= a.endAt && w.users[k.t.Job].fails:
			m.exit(a, model.CauseError)
		case a.Stage == model.Running && w.now >= a.endAt:
			m.results[k.t] = true
			for _, o := range w.workers {
				o.results[k.t] = true
			}
			w.completed(k.t)
			m.exit(a, model.CauseDone)
		case a.Stage == model.Saving && w.now >= a.endAt:
			a.Saved = true
			m.exit(a, model.CauseStopped)
		}
	}
	if m.awaiting != 0 && w.now-m.sentAt > 4*time.Second {
		m.awaiting = 0
		m.target = (m.target + 1) % w.p.controllers
		m.nextAt = w.now + time.Second
	}
	if m.awaiting == 0 && w.now >= m.nextAt {
		m.sendReport()
	}
}

func (m *machine) exit(a *attempt, c model.Cause) {
	if a.on {
		m.left(key{a.Task, a.Attempt})
	}
	a.Stage, a.Cause, a.on = model.Exited, c, false
	if m.awaiting == 0 {
		m.nextAt = min(m.nextAt, max(m.w.now, m.sentAt+500*time.Millisecond))
	}
}

func (m *machine) sorted() []key {
	ks := make([]key, 0, len(m.cells))
	for k := range m.cells {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b key) int {
		if a.t.Job != b.t.Job {
			return int(a.t.Job) - int(b.t.Job)
		}
		if a.t.Index != b.t.Index {
			return int(a.t.Index - b.t.Index)
		}
		return int(int64(a.a) - int64(b.a))
	})
	return ks
}

func (m *machine) report() *model.Report {
	m.seq++
	r := &model.Report{Machine: m.Machine, Session: m.session, Seq: m.seq, Token: m.token, PreemptionNotice: -1}
	for _, k := range m.sorted() {
		r.Attempts = append(r.Attempts, m.cells[k].AttemptStatus)
	}
	return r
}

func (m *machine) sendReport() {
	w := m.w
	r := m.report()
	m.reports++
	no, sent, c := m.reports, w.now, w.ctls[m.target]
	m.awaiting, m.sentAt = no, sent
	if w.p.copies {
		w.copyOf(func(c *ctl) { m.sendCopy(c, r) })
	}
	w.keep(m, r)
	if w.now < m.unheard {
		return
	}
	w.send(m.host, c.host, false, func() {
		c.onReport(r, func(ok bool, token uint64, cmds []model.Command, keeper string) {
			w.send(c.host, m.host, false, func() { m.answered(no, sent, r.Session, ok, token, cmds, keeper) })
		})
	})
}

// sendCopy has a copy of a report arrive; nobody hears what is answered.
func (m *machine) sendCopy(c *ctl, r *model.Report) {
	copied := *r
	if r.Session < m.session {
		m.w.saw("a copy of an earlier session")
	}
	if r.Seq < m.seq {
		m.w.saw("a copy after a newer report")
	}
	if m.w.p.believed {
		m.seq++
		copied.Session, copied.Seq, copied.Token = m.session, m.seq, m.token
	}
	c.onReport(&copied, func(bool, uint64, []model.Command, string) {})
}

func (m *machine) answered(no uint64, sent time.Duration, session uint64, ok bool, token uint64, cmds []model.Command, keeper string) {
	if m.dead {
		return
	}
	w := m.w
	if m.awaiting != no || w.now-sent > 4*time.Second || session != m.session {
		return
	}
	if w.now < m.hungUntil {
		w.after(m.hungUntil-w.now, func() { m.answered(no, sent, session, ok, token, cmds, keeper) })
		return
	}
	if w.now-m.leaseFrom > w.p.lease { // it woke up too late
		m.nextSession()
		return
	}
	m.awaiting = 0
	if !ok {
		m.target = (m.target + 1) % w.p.controllers
		m.nextAt = w.now + time.Second
		for i, c := range w.ctls {
			if c.host == keeper {
				m.target = i
				m.nextAt = w.now + w.between(0, 500*time.Millisecond)
			}
		}
		return
	}
	m.nextAt = w.now + w.between(w.p.report*3/4, w.p.report*5/4)
	if token < m.token {
		return
	}
	changed := token > m.token
	m.token = token
	m.leaseFrom = sent
	if m.execute(cmds) || changed {
		m.nextAt = w.now + 500*time.Millisecond
	}
}

// direct takes a command sent straight to the worker.
func (m *machine) direct(token, session uint64, cmds []model.Command, answer func(*model.Report, bool)) {
	if m.dead {
		return // nobody answers
	}
	w := m.w
	if w.now < m.hungUntil {
		w.after(m.hungUntil-w.now, func() { m.direct(token, session, cmds, answer) })
		return
	}
	if w.now-m.leaseFrom > w.p.lease {
		m.nextSession()
	}
	if token < m.token && !w.p.anyToken || session != m.session {
		answer(m.report(), false)
		return
	}
	m.token = max(m.token, token)
	if w.now < m.unheard && len(cmds) > 0 {
		w.saw("a command reaches a machine whose reports don't")
	}
	m.execute(cmds)
	answer(m.report(), true)
}

func (m *machine) free() model.Resources {
	room := theType.Cap
	for k, a := range m.cells {
		if a.Stage != model.Exited {
			room = room.Sub(m.w.users[k.t.Job].spec.PerTask)
		}
	}
	return room
}

func (m *machine) execute(cmds []model.Command) bool {
	w := m.w
	for _, c := range cmds {
		k := key{c.Task, c.Attempt}
		a := m.cells[k]
		switch c.Verb {
		case model.Launch:
			if a != nil {
				continue
			}
			a = &attempt{AttemptStatus: model.AttemptStatus{Task: c.Task, Attempt: c.Attempt}}
			u := w.users[c.Task.Job]
			cause := model.CauseOther
			for o, x := range m.cells {
				if o.t == c.Task && x.Stage != model.Exited {
					cause = model.CauseBusy
				}
			}
			switch {
			case u == nil:
				cause = model.CauseUnknown
			case cause == model.CauseOther && !u.spec.PerTask.Fits(m.free()):
				cause = model.CauseNoCapacity
			}
			m.cells[k] = a
			if cause != model.CauseOther {
				a.Stage, a.Cause = model.Exited, cause
				continue
			}
			a.readyAt = w.now + w.between(0, 2*time.Second)
			a.endAt = a.readyAt + w.between(time.Second, 2*u.spec.Estimate)
			if w.p.apart {
				a.endAt = a.readyAt + w.runsFor(u, c.Task.Index)
			}
		case model.Kill:
			if a == nil || a.Stage == model.Exited {
				continue
			}
			sp := w.users[c.Task.Job].spec
			if a.Stage == model.Running && sp.CheckpointInterval > 0 && c.Grace >= sp.CheckpointTime {
				a.Stage, a.endAt = model.Saving, w.now+sp.CheckpointTime
			} else if a.Stage != model.Saving || c.Grace == 0 {
				m.exit(a, model.CauseStopped)
			}
		case model.Clear:
			if a != nil && a.Stage == model.Exited {
				delete(m.cells, k)
			}
		}
	}
	return len(cmds) > 0
}

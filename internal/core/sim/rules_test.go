package sim

import (
	"net/http"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

var theType = model.MachineType{Name: 0, Cap: model.Capacity(16, 0, 64), FetchRate: 1}

var teamLimit = model.Capacity(48, 0, 0)

// user is one job's user, with what it was told.
type user struct {
	spec      *model.Spec
	submitted bool
	accepted  bool
	version   uint64 // of its open record, once a controller has seen it
	wants     bool   // has asked to cancel
	ended     jobs.Stage
	endedAt   time.Duration
	done      map[int32]bool
	fails     bool // submitted with a mistake: its tasks fail everywhere
	awaits    []model.JobID

	acceptedAt time.Duration
	answeredAt time.Duration // the last time that a question was
	begun      bool          // a task of it has started
	movedAt    time.Duration // when a task of it last started, ended or left a machine
}

func (w *world) submit(id model.JobID) {
	r := w.rng
	sp := &model.Spec{ID: id, Team: model.Name(r.IntN(2)), Rank: model.Rank(r.IntN(3)), Tasks: int32(1 + r.IntN(12)),
		PerTask: model.Request(float64(1+r.IntN(4)), 0, float64(1+r.IntN(8))), Zone: model.None, Spot: r.IntN(3) > 0,
		Estimate: w.between(2*time.Second, 20*time.Second)}
	switch r.IntN(8) {
	case 0:
		sp.SameZone = true
	case 1:
		sp.Spread = true
	case 2:
		sp.Zone = model.Name(r.IntN(3))
	}
	if r.IntN(3) == 0 {
		sp.CheckpointInterval, sp.CheckpointTime = 5*time.Second, time.Second
	}
	u := &user{spec: sp, submitted: true, done: map[int32]bool{}}
	if w.p.apart {
		w.farApart(u)
	}
	if w.p.guests {
		switch {
		case id%20 == 0: // one array of many small tasks
			sp.Tasks, sp.PerTask, sp.Rank, sp.BestEffort = 400, model.Request(0.25, 0, 0.25), model.Idle, true
			sp.Estimate, sp.SameZone, sp.Spread, sp.Zone = w.between(time.Second, 3*time.Second), false, false, model.None
		case id%3 == 0: // a swarm of single small ones
			sp.Tasks, sp.PerTask, sp.BestEffort = 1, model.Request(0.25, 0, 0.25), true
		}
		u.fails = r.IntN(8) == 0
	}
	if w.p.chains {
		w.chain(u)
	}
	w.shape(u)
	w.users[id] = u
	w.ask(u, jobs.Submit)
	if u.fails || r.IntN(5) == 0 || w.p.swarm && id%4 == 0 {
		w.after(w.between(0, 30*time.Second), func() {
			u.wants = true
			w.ask(u, jobs.Withdraw)
		})
	}
	w.after(5*time.Second, func() { w.poll(u) })
}

func (w *world) poll(u *user) {
	w.ask(u, jobs.Poll)
	w.after(w.between(2*time.Second, 8*time.Second), func() { w.poll(u) })
}

// ask sends a request through a random controller, again and again until it
// has an answer.
func (w *world) ask(u *user, k jobs.Kind) { w.askAt(w.ctls[w.rng.IntN(len(w.ctls))], u, k) }

func (w *world) askAt(c *ctl, u *user, k jobs.Kind) {
	before, asked := *u, w.now
	answered := false
	if c.up {
		req, op := c.request(u, k)
		var step func(op jobs.Op)
		step = func(op jobs.Op) {
			call := c.storeCall
			if op.Kind == jobs.Create || op.Kind == jobs.Cancel {
				call = c.storeTxn
			}
			call(func() any { return w.store.job(c.host, u, op) }, func(res any) {
				out := jobs.Result{Outcome: jobs.Failed}
				if r, ok := res.(jobs.Result); ok {
					out = r
				}
				out = c.shares(op, out)
				if op.Kind == jobs.ReadOpen && op.Job == u.spec.ID && out.Outcome == jobs.OK {
					u.version = out.Version
				}
				next, ans := req.Next(op, out)
				if ans == nil {
					step(next)
					return
				}
				if !answered {
					answered = true
					w.settles(c, u, ans)
					if ans.Stage == jobs.Cancelled && !w.p.mum {
						c.told.Acknowledge(c.now(), u.spec.ID)
						if c.lead != nil && c.lead.loaded {
							c.lead.cancelled(c.now(), u.spec.ID)
						}
					}
					w.told(u, k, asked, &before, c.vet(u, ans))
				}
			})
		}
		step(op)
	}
	w.after(3*time.Second, func() {
		if !answered {
			answered = true
			if k != jobs.Poll {
				w.ask(u, k)
			}
		}
	})
}

// told checks an answer against what the user had been told before asking.
func (w *world) told(u *user, k jobs.Kind, asked time.Duration, before *user, a *jobs.Answer) {
	switch a.Status {
	case http.StatusServiceUnavailable:
		if k != jobs.Poll {
			w.after(time.Second, func() { w.ask(u, k) })
		}
		return
	case http.StatusNotFound:
		if before.accepted {
			w.fail("forgotten", "job %d", u.spec.ID)
		}
		if k == jobs.Withdraw {
			w.after(time.Second, func() { w.ask(u, k) })
		}
		return
	}
	if before.accepted && a.Created {
		w.fail("went_back", "job %d was accepted, and is taken as new", u.spec.ID)
	}
	w.checkAnswered(u)
	u.answeredAt = w.now
	if !u.accepted {
		u.accepted, u.acceptedAt = true, w.now
		w.lookClosely(u)
	}
	w.checkOrphan(u, asked, a.Stage)
	if before.ended != "" && a.Stage != before.ended {
		w.fail("went_back", "job %d was %s and is %s", u.spec.ID, before.ended, a.Stage)
	}
	switch a.Stage {
	case jobs.Done:
		if len(u.done) < int(u.spec.Tasks) {
			w.fail("not_done", "job %d has %d of %d tasks", u.spec.ID, len(u.done), u.spec.Tasks)
		}
	case jobs.Cancelled:
		if !u.wants && !w.needsCancelled(u) {
			w.fail("went_back", "job %d was never cancelled by its user", u.spec.ID)
		}
	}
	if a.Stage.Ended() && u.ended == "" {
		u.ended, u.endedAt = a.Stage, w.now
		w.lookClosely(u)
		if a.Stage == jobs.Cancelled {
			w.after(w.p.cancel, func() {
				for _, m := range w.workers {
					for k, at := range m.cells {
						if k.t.Job == u.spec.ID && at.on && w.now >= m.hungUntil && w.now-m.leaseFrom <= w.p.lease {
							w.fail("ran_cancelled", "task %v on %s", k.t, m.host)
						}
					}
				}
			})
		}
	}
}

func (w *world) completed(t model.Task) {
	u := w.users[t.Job]
	u.done[t.Index], u.movedAt = true, w.now
	delete(w.moved, t)
	if len(u.done) == int(u.spec.Tasks) {
		w.meetsEnd(u)
	}
}

// starts checks a task that has just started on a machine.
func (w *world) starts(m *machine, t model.Task) {
	w.started++
	delete(w.moved, t)
	u := w.users[t.Job]
	u.begun, u.movedAt = true, w.now
	if u.ended == jobs.Cancelled && w.now > u.endedAt+w.p.cancel {
		w.fail("ran_cancelled", "task %v starts on %s", t, m.host)
	}
	w.checkLateStart(u, t, m)
	w.checkEarly(u, t)
	at := m.Machine
	if !u.spec.Allows(&at) {
		w.fail("wrong_place", "task %v on %s", t, m.host)
	}
	used := make([]int64, 2)
	zones := map[model.Name]int{}
	for _, o := range w.workers {
		if w.now-o.leaseFrom > w.p.lease {
			continue // it hangs, and will find its lease over
		}
		for k, a := range o.cells {
			if !a.on {
				continue
			}
			x := w.users[k.t.Job]
			used[x.spec.Team] += x.spec.PerTask.CPU
			if k.t == t && o != m {
				w.fail("ran_twice", "task %v starts on %s and is on %s", t, m.host, o.host)
			}
			if k.t.Job == t.Job {
				zones[o.Zone]++
			}
		}
	}
	if used[u.spec.Team] > teamLimit.CPU {
		w.fail("quota", "team %d uses %d of %d", u.spec.Team, used[u.spec.Team], teamLimit.CPU)
	}
	if u.spec.SameZone && len(zones) > 1 {
		w.fail("wrong_place", "job %d is in %d zones", t.Job, len(zones))
	}
	if u.spec.Spread && zones[m.Zone] > (int(u.spec.Tasks)+1)/2 {
		w.fail("wrong_place", "job %d has %d of %d tasks in a zone", t.Job, zones[m.Zone], u.spec.Tasks)
	}
}

package sim

import (
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// sharedFor is how long answers are shared for with that guard broken.
const sharedFor = 300 * time.Millisecond

// shares gives, with the guard broken, what was read shortly before a question as its answer.
func (c *ctl) shares(op jobs.Op, out jobs.Result) jobs.Result {
	if !c.w.p.sharedAnswers || op.Kind != jobs.CompareOpen && op.Kind != jobs.ReadOpen {
		return out
	}
	if c.last == nil {
		c.last = map[model.JobID]asked{}
	}
	if was, ok := c.last[op.Job]; ok && c.now()-was.at < sharedFor && was.res.Outcome == jobs.OK {
		return was.res
	}
	c.last[op.Job] = asked{out, c.now()}
	return out
}

// lookClosely has all controllers asked within milliseconds of an answer that settled
// something, again and again, and the job submitted once more; some users cancel at once.
func (w *world) lookClosely(u *user) {
	if !w.p.looks || w.now > w.p.length {
		return
	}
	for range 2 {
		for _, c := range w.ctls {
			w.after(w.between(0, 60*time.Millisecond), func() {
				w.saw("asked within milliseconds of an answer")
				w.askAt(c, u, jobs.Poll)
			})
		}
	}
	c := w.ctls[w.rng.IntN(len(w.ctls))]
	w.after(w.between(0, 20*time.Millisecond), func() { w.askAt(c, u, jobs.Submit) })
	if u.ended == "" && w.rng.IntN(4) == 0 && !u.wants {
		u.wants = true
		w.after(w.between(0, 50*time.Millisecond), func() { w.ask(u, jobs.Withdraw) })
	}
}

// meetsEnd has users cancel a job, ask about it and submit it again, all around the end of
// its last task.
func (w *world) meetsEnd(u *user) {
	if !w.p.atEnd || w.now > w.p.length || u.ended != "" {
		return
	}
	around := func(k jobs.Kind) {
		w.after(w.between(0, 1200*time.Millisecond), func() {
			if u.ended == "" {
				w.saw("at the end of a last task")
			}
			w.ask(u, k)
		})
	}
	around(jobs.Poll)
	around(jobs.Submit)
	if w.rng.IntN(2) == 0 && !u.wants {
		u.wants = true
		around(jobs.Withdraw)
	}
}

// shape gives a day's jobs what its meeting is about.
func (w *world) shape(u *user) {
	sp, r := u.spec, w.rng
	if w.p.heavy {
		sp.Tasks, sp.PerTask = int32(3+r.IntN(9)), model.Request(float64(3+r.IntN(2)), 0, 4)
		sp.SameZone, sp.Spread, sp.Zone = false, false, model.None
		sp.Estimate = w.p.cancel + w.between(time.Second, w.p.cancel/4) // all tasks run for as long
	}
	if w.p.limited {
		w.limited(sp)
	}
	if w.p.zoned {
		sp.Spread, sp.SameZone, sp.Zone = false, sp.ID%3 == 0, model.None
		if !sp.SameZone {
			sp.Zone = model.Name(r.IntN(3))
		}
	}
	if w.p.swarm {
		sp.Tasks, sp.PerTask, sp.BestEffort = 1, model.Request(1, 0, 1), false
		sp.SameZone, sp.Spread, sp.Zone = false, false, model.None
		sp.Estimate = w.between(time.Second, 4*time.Second)
	}
}

// begin is within what time a job should begin, as the settings of a dealer have it.
func (p *params) begin() time.Duration {
	if p.noFloor {
		return 0
	}
	return 30 * time.Second
}

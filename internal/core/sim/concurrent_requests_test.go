package sim

import (
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// answerCacheTime is how long a controller reuses answers with the guard cacheAnswers broken.
const answerCacheTime = 300 * time.Millisecond

// cachedResult returns, with that guard broken, what was read shortly before the request as its
// result.
func (c *controller) cachedResult(op jobs.Op, out jobs.Result) jobs.Result {
	if !c.w.params.cacheAnswers || op.Kind != jobs.CompareOpen && op.Kind != jobs.ReadOpen {
		return out
	}
	if c.answerCache == nil {
		c.answerCache = map[model.JobID]cachedAnswer{}
	}
	if cached, ok := c.answerCache[op.Job]; ok && c.now()-cached.at < answerCacheTime && cached.result.Outcome == jobs.OK {
		return cached.result
	}
	c.answerCache[op.Job] = cachedAnswer{out, c.now()}
	return out
}

// requestConcurrently sends every controller two requests within 60 ms of an answer that changed what
// the user knows, and submits the job once more. A quarter of the users cancel the job at once.
func (w *world) requestConcurrently(u *user) {
	if !w.params.concurrentRequests || w.now > w.params.duration {
		return
	}
	for range 2 {
		for _, c := range w.controllers {
			w.after(w.randomDuration(0, 60*time.Millisecond), func() {
				w.observe("requests within milliseconds of an answer")
				w.sendRequestTo(c, u, jobs.Poll)
			})
		}
	}
	c := w.controllers[w.rng.IntN(len(w.controllers))]
	w.after(w.randomDuration(0, 20*time.Millisecond), func() { w.sendRequestTo(c, u, jobs.Submit) })
	if u.finalStage == "" && w.rng.IntN(4) == 0 && !u.cancelRequested {
		u.cancelRequested = true
		w.after(w.randomDuration(0, 50*time.Millisecond), func() { w.sendRequest(u, jobs.Withdraw) })
	}
}

// requestAroundEnd has users poll, resubmit and perhaps cancel a job within 1.2 s of the end of its
// last task.
func (w *world) requestAroundEnd(u *user) {
	if !w.params.requestsAtEnd || w.now > w.params.duration || u.finalStage != "" {
		return
	}
	requestLater := func(k jobs.Kind) {
		w.after(w.randomDuration(0, 1200*time.Millisecond), func() {
			if u.finalStage == "" {
				w.observe("a request around the end of a last task")
			}
			w.sendRequest(u, k)
		})
	}
	requestLater(jobs.Poll)
	requestLater(jobs.Submit)
	if w.rng.IntN(2) == 0 && !u.cancelRequested {
		u.cancelRequested = true
		requestLater(jobs.Withdraw)
	}
}

// adjustJob adjusts a job to the run's settings.
func (w *world) adjustJob(u *user) {
	sp, r := u.spec, w.rng
	if w.params.overcommitted {
		sp.Tasks, sp.PerTask = int32(3+r.IntN(9)), model.Request(float64(3+r.IntN(2)), 0, 4)
		sp.SameZone, sp.Spread, sp.Zone = false, false, model.None
		sp.Estimate = w.params.cancelBound + w.randomDuration(time.Second,
			w.params.cancelBound/4) // all tasks run for this long
	}
	if w.params.jobsAtLimits {
		w.shapeAtLimits(sp)
	}
	if w.params.handovers {
		w.shapeShortTasks(sp)
	}
	if w.params.tinyTasks {
		w.shapeTinyTasks(sp)
	}
	if w.params.zoneBoundJobs {
		sp.Spread, sp.SameZone, sp.Zone = false, sp.ID%3 == 0, model.None
		if !sp.SameZone {
			sp.Zone = model.Name(r.IntN(3))
		}
	}
	if w.params.singleTaskJobs {
		sp.Tasks, sp.PerTask, sp.BestEffort = 1, model.Request(1, 0, 1), false
		sp.SameZone, sp.Spread, sp.Zone = false, false, model.None
		sp.Estimate = w.randomDuration(time.Second, 4*time.Second)
	}
}

// startWithin is the dispatcher's setting for the time within which a job should start; 0 means that no
// job is expedited.
func (p *params) startWithin() time.Duration {
	if p.noExpediting {
		return 0
	}
	return 30 * time.Second
}

package sim

import (
	"net/http"
	"time"

	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
)

// machineType is the only type of machine.
var machineType = model.MachineType{Name: 0, Cap: model.Capacity(16, 0, 64), FetchRate: 1}

// teamLimit is the limit of each of the two teams.
var teamLimit = model.Capacity(48, 0, 0)

// user is the user of one job, with the answers that the user got and what the job's tasks did.
type user struct {
	spec      *model.Spec
	submitted bool
	accepted  bool
	// Version of the open record, once a controller has read it.
	openVersion uint64
	// The user has asked to cancel the job.
	cancelRequested bool
	// Final state that was reported to the user, and when.
	finalStage jobs.Stage
	endedAt    time.Duration
	// Tasks that have ended successfully on some machine.
	doneTasks map[int32]bool
	// The job's tasks fail on every machine until the user cancels it.
	alwaysFails bool
	dependsOn   []model.JobID

	acceptedAt time.Duration
	// When a request about the job was last answered.
	lastAnsweredAt time.Duration
	// A task of the job has started.
	started bool
	// When a task of the job last started, ended or left a machine.
	lastChangeAt time.Duration
}

// scheduleSubmissions has users submit all jobs of the run.
func (w *world) scheduleSubmissions() {
	if w.params.pipelines {
		w.submitPipelines()
		return
	}
	for i := range w.params.jobs {
		at := w.randomDuration(0, w.params.duration*2/3)
		if w.params.singleTaskJobs {
			at = 20*time.Second + time.Duration(i)*250*time.Millisecond
		}
		w.after(at, func() { w.submit(model.JobID(i)) })
	}
}

// submit creates a job with random properties and has its user submit it, poll it, and perhaps cancel
// it.
func (w *world) submit(id model.JobID) {
	r := w.rng
	sp := &model.Spec{ID: id, Team: model.Name(r.IntN(2)), Rank: model.Rank(r.IntN(3)), Tasks: int32(1 + r.IntN(12)),
		PerTask: model.Request(float64(1+r.IntN(4)), 0, float64(1+r.IntN(8))), Zone: model.None, Spot: r.IntN(3) > 0,
		Estimate: w.randomDuration(2*time.Second, 20*time.Second)}
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
	u := &user{spec: sp, submitted: true, doneTasks: map[int32]bool{}}
	if w.params.staggeredTasks {
		w.staggerTasks(u)
	}
	if w.params.bulkJobs {
		switch {
		case id%20 == 0:
			sp.Tasks, sp.PerTask, sp.Rank, sp.BestEffort = 400, model.Request(0.25, 0, 0.25), model.Idle, true
			sp.Estimate, sp.SameZone, sp.Spread, sp.Zone = w.randomDuration(time.Second, 3*time.Second), false, false, model.None
		case id%3 == 0:
			sp.Tasks, sp.PerTask, sp.BestEffort = 1, model.Request(0.25, 0, 0.25), true
		}
		u.alwaysFails = r.IntN(8) == 0
	}
	if w.params.pipelines {
		u.dependsOn, w.nextDependsOn = w.nextDependsOn, nil
	} else if w.params.dependencies {
		w.addDependencies(u)
	}
	w.adjustJob(u)
	w.users[id] = u
	w.sendRequest(u, jobs.Submit)
	if u.alwaysFails || r.IntN(5) == 0 || w.params.singleTaskJobs && id%4 == 0 {
		w.after(w.randomDuration(0, 30*time.Second), func() {
			u.cancelRequested = true
			w.sendRequest(u, jobs.Withdraw)
		})
	}
	w.after(5*time.Second, func() { w.poll(u) })
}

// poll asks for the job's state every few seconds.
func (w *world) poll(u *user) {
	w.sendRequest(u, jobs.Poll)
	w.after(w.randomDuration(2*time.Second, 8*time.Second), func() { w.poll(u) })
}

// sendRequest sends a request to a random controller and repeats it until it is answered. Polls are
// not repeated.
func (w *world) sendRequest(u *user, k jobs.Kind) {
	w.sendRequestTo(w.controllers[w.rng.IntN(len(w.controllers))], u, k)
}

// sendRequestTo sends a request to a given controller, which reads or changes the job's records in the
// store as internal/node does.
func (w *world) sendRequestTo(c *controller, u *user, k jobs.Kind) {
	before, askedAt := *u, w.now
	answered := false
	if c.running {
		req, op := c.newRequest(u, k)
		var step func(op jobs.Op)
		step = func(op jobs.Op) {
			call := c.storeCall
			if op.Kind == jobs.Create || op.Kind == jobs.Cancel {
				call = c.storeTxn
			}
			call(func() any { return w.store.handleJobOp(c.host, u, op) }, func(res any) {
				out := jobs.Result{Outcome: jobs.Failed}
				if r, ok := res.(jobs.Result); ok {
					out = r
				}
				out = c.cachedResult(op, out)
				if op.Kind == jobs.ReadOpen && op.Job == u.spec.ID && out.Outcome == jobs.OK {
					u.openVersion = out.Version
				}
				next, ans := req.Next(op, out)
				if ans == nil {
					step(next)
					return
				}
				if !answered {
					answered = true
					w.observeCancellation(c, u, ans)
					if ans.Stage == jobs.Cancelled && !w.params.dropCancellationLog {
						c.cancelLog.Acknowledge(c.now(), u.spec.ID)
						if c.leadership != nil && c.leadership.loaded {
							c.leadership.applyCancellation(c.now(), u.spec.ID)
						}
					}
					w.checkAnswer(u, k, askedAt, &before, c.checkFreshness(u, ans))
				}
			})
		}
		step(op)
	}
	w.after(3*time.Second, func() {
		if !answered {
			answered = true
			if k != jobs.Poll {
				w.sendRequest(u, k)
			}
		}
	})
}

// checkAnswer checks an answer against what the user knew before the request was sent, and repeats a
// request that was refused for now. The rule went_back forbids answers that contradict earlier
// ones, or cancel a job without cause; forgotten forbids losing an accepted job.
func (w *world) checkAnswer(u *user, k jobs.Kind, askedAt time.Duration, before *user, a *jobs.Answer) {
	switch a.Status {
	case http.StatusServiceUnavailable:
		if k != jobs.Poll {
			w.after(time.Second, func() { w.sendRequest(u, k) })
		}
		return
	case http.StatusNotFound:
		if before.accepted {
			w.fail("forgotten", "job %d was accepted and is reported as unknown", u.spec.ID)
		}
		if k == jobs.Withdraw {
			w.after(time.Second, func() { w.sendRequest(u, k) })
		}
		return
	}
	if before.accepted && a.Created {
		w.fail("went_back", "job %d was accepted before and is created again", u.spec.ID)
	}
	w.checkAnswerDelay(u)
	u.lastAnsweredAt = w.now
	if !u.accepted {
		u.accepted, u.acceptedAt = true, w.now
		w.requestConcurrently(u)
	}
	w.checkDependentCancelled(u, askedAt, a.Stage)
	if before.finalStage != "" && a.Stage != before.finalStage {
		w.fail("went_back", "job %d was reported as %s and now as %s", u.spec.ID, before.finalStage, a.Stage)
	}
	switch a.Stage {
	case jobs.Done:
		if len(u.doneTasks) < int(u.spec.Tasks) {
			w.fail("not_done", "job %d is reported as done with %d of %d tasks done", u.spec.ID, len(u.doneTasks), u.spec.Tasks)
		}
	case jobs.Cancelled:
		if !u.cancelRequested && !w.dependsOnCancelled(u) {
			w.fail("went_back", "job %d is reported as cancelled, which its user never asked for", u.spec.ID)
		}
	}
	if a.Stage.Ended() && u.finalStage == "" {
		u.finalStage, u.endedAt = a.Stage, w.now
		w.requestConcurrently(u)
		if a.Stage == jobs.Cancelled {
			w.after(w.params.cancelBound, func() {
				for _, m := range w.workers {
					for k, at := range m.attempts {
						if k.task.Job == u.spec.ID && at.active && w.now >= m.hungUntil && w.now-m.leaseStart <= w.params.lease {
							w.fail("ran_cancelled", "task %v still runs on %s", k.task, m.host)
						}
					}
				}
			})
		}
	}
}

// taskCompleted records that a task has ended successfully.
func (w *world) taskCompleted(t model.Task) {
	u := w.users[t.Job]
	u.doneTasks[t.Index], u.lastChangeAt = true, w.now
	delete(w.interrupted, t)
	if len(u.doneTasks) == int(u.spec.Tasks) {
		w.requestAroundEnd(u)
	}
}

// checkStart checks a task that has just started: it runs nowhere else, its job may run here and was
// not cancelled too long ago, its dependencies are done, and its team is within its limit.
func (w *world) checkStart(m *machine, t model.Task) {
	w.startedTasks++
	delete(w.interrupted, t)
	u := w.users[t.Job]
	u.started, u.lastChangeAt = true, w.now
	if u.finalStage == jobs.Cancelled && w.now > u.endedAt+w.params.cancelBound {
		w.fail("ran_cancelled", "task %v starts on %s", t, m.host)
	}
	w.checkLateStart(u, t, m)
	w.checkDependenciesDone(u, t)
	at := m.Machine
	if !u.spec.Allows(&at) {
		w.fail("wrong_place", "task %v on %s", t, m.host)
	}
	used := make([]int64, 2)
	zones := map[model.Name]int{}
	for _, o := range w.workers {
		if w.now-o.leaseStart > w.params.lease {
			continue // its lease is over, which it finds out when it runs again
		}
		for k, a := range o.attempts {
			if !a.active {
				continue
			}
			x := w.users[k.task.Job]
			used[x.spec.Team] += x.spec.PerTask.CPU
			if k.task == t && o != m {
				w.fail("ran_twice", "task %v starts on %s and is on %s", t, m.host, o.host)
			}
			if k.task.Job == t.Job {
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

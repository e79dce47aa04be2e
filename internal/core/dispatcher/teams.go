package dispatcher

import "honeylock/internal/core/model"

// SetTeam changes a team's limit and guarantee. Below what the team uses nothing new
// starts until that has ended; nothing is stopped for it.
func (d *Dispatcher) SetTeam(team model.Name, t Team) {
	if d.params.Teams[team] != t {
		d.params.Teams[team] = t
		d.pricesUpdatedAt = 0
	}
}

// Teams are all teams' limits and guarantees now: a copy.
func (d *Dispatcher) Teams() []Team { return append([]Team(nil), d.params.Teams...) }

// TeamStatus is how a team stands.
type TeamStatus struct {
	Team
	Used             model.Resources // charged: dealt, or orphaned
	Orphaned         int             // of its tasks, those whose owner was lost
	Unaccounted      model.Resources // charged to every team for machines that are not accounted for
	Waiting          int             // tasks that could be dealt, but for room and the limit
	SmallestTask     model.Resources // the smallest of them
	AwaitingRecovery int             // tasks that wait until all machines of earlier terms are accounted for
	JobsOnHold       int             // jobs that wait for other jobs
}

// TeamStatus tells how each team stands, by its index.
func (d *Dispatcher) TeamStatus() []TeamStatus {
	out := make([]TeamStatus, len(d.params.Teams))
	unaccounted := d.unaccountedResources()
	for i := range out {
		out[i] = TeamStatus{Team: d.params.Teams[i], Used: d.usage[i], Unaccounted: unaccounted}
	}
	for _, j := range d.jobsBySubmission {
		t := &out[j.spec.Team]
		t.Orphaned += int(j.orphaned)
		n := int(j.spec.Tasks-j.doneCount) - len(j.assignments)
		switch {
		case j.ended || n <= 0:
		case j.onHold:
			t.JobsOnHold++
		case j.fromEarlierTerm && !d.Recovered():
			t.AwaitingRecovery += n
		default:
			if t.Waiting == 0 || j.spec.PerTask.CPU < t.SmallestTask.CPU {
				t.SmallestTask = j.spec.PerTask
			}
			t.Waiting += n
		}
	}
	return out
}

// LimitReached tells whether the limit, with what is charged unseen, keeps the smallest
// waiting task from being dealt.
func (t *TeamStatus) LimitReached() bool {
	return t.Waiting > 0 && t.SmallestTask.Count(t.Remaining(t.Used.Add(t.Unaccounted))) <= 0
}

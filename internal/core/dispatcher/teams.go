package dispatcher

import "honeylock/internal/core/model"

// SetTeam changes a team's limit and guarantee. If the team uses more than its new limit, nothing
// is stopped, but no new task starts until its use is below the limit.
func (d *Dispatcher) SetTeam(team model.Name, t Team) {
	if d.params.Teams[team] != t {
		d.params.Teams[team] = t
		d.pricesUpdatedAt = 0
	}
}

// Teams returns a copy of the limits and guarantees of all teams.
func (d *Dispatcher) Teams() []Team { return append([]Team(nil), d.params.Teams...) }

// TeamStatus is the state of a team's work.
type TeamStatus struct {
	Team
	Used             model.Resources // charged tasks: assigned or orphaned
	Orphaned         int             // number of charged tasks that are orphaned
	Unaccounted      model.Resources // charged to every team for unaccounted machines
	Waiting          int             // tasks that only lack free capacity or exceed the limit
	SmallestTask     model.Resources // the smallest waiting task
	AwaitingRecovery int             // tasks that wait until all machines of earlier terms are accounted for
	JobsOnHold       int             // jobs that wait for other jobs
}

// TeamStatus returns the state of each team, indexed by team.
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

// LimitReached reports whether the limit, with the resources of unaccounted machines, keeps the
// smallest waiting task from being dispatched.
func (t *TeamStatus) LimitReached() bool {
	return t.Waiting > 0 && t.SmallestTask.Count(t.Remaining(t.Used.Add(t.Unaccounted))) <= 0
}

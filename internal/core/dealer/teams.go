package dealer

import "honeylock/internal/core/model"

// SetTeam changes a team's limit and guarantee. Below what the team uses nothing new
// starts until that has ended; nothing is stopped for it.
func (d *Dealer) SetTeam(team model.Name, t Team) {
	if d.p.Teams[team] != t {
		d.p.Teams[team] = t
		d.repriced = 0
	}
}

// Teams are all teams' limits and guarantees now: a copy.
func (d *Dealer) Teams() []Team { return append([]Team(nil), d.p.Teams...) }

// TeamStatus is how a team stands.
type TeamStatus struct {
	Team
	Used     model.Resources // charged: dealt, or orphaned
	Orphaned int             // of its tasks, those whose owner was lost
	Unseen   model.Resources // charged to every team for machines that are not accounted for
	Waiting  int             // tasks that could be dealt, but for room and the limit
	Least    model.Resources // the smallest of them
	Old      int             // tasks that wait until all machines of earlier terms are accounted for
	Awaiting int             // jobs that wait for other jobs
}

// TeamStatus tells how each team stands, by its index.
func (d *Dealer) TeamStatus() []TeamStatus {
	out := make([]TeamStatus, len(d.p.Teams))
	unseen := d.exposure()
	for i := range out {
		out[i] = TeamStatus{Team: d.p.Teams[i], Used: d.usage[i], Unseen: unseen}
	}
	for _, j := range d.inOrder {
		t := &out[j.spec.Team]
		t.Orphaned += int(j.orphaned)
		n := int(j.spec.Tasks-j.nDone) - len(j.held)
		switch {
		case j.ended || n <= 0:
		case j.waits:
			t.Awaiting++
		case j.old && !d.Recovered():
			t.Old += n
		default:
			if t.Waiting == 0 || j.spec.Each.CPU < t.Least.CPU {
				t.Least = j.spec.Each
			}
			t.Waiting += n
		}
	}
	return out
}

// Stopped tells whether the limit, with what is charged unseen, keeps the smallest
// waiting task from being dealt.
func (t *TeamStatus) Stopped() bool {
	return t.Waiting > 0 && t.Least.Count(t.Left(t.Used.Add(t.Unseen))) <= 0
}

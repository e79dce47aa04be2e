package drain

import (
	"fmt"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// What is told of a machine counts for so many reports.
const freshReports = 5

// look asks the machine's owner now and then what runs there.
func (e *Engine) look(now time.Duration, id model.MachineID) {
	if a, ok := e.asked[id]; !ok || now-a.at >= 2*e.p.ReportInterval {
		e.looks++
		e.asked[id] = asked{now, e.looks}
		e.act(Action{Kind: ListTasks, Machine: id, Seq: e.looks})
	}
}

// unlook forgets what was told of a machine.
func (e *Engine) unlook(id model.MachineID) {
	delete(e.seen, id)
	delete(e.asked, id)
}

// empty tells that nothing is on a barred machine, and nothing will be: its owner
// has said so after it heard that the machine gets no tasks.
func (e *Engine) empty(now time.Duration, m *Machine) bool {
	id := m.Machine.ID
	if !m.Reported || m.Slots > 0 || !e.barred[id] {
		return false
	}
	s, fresh := e.fresh(now, id)
	return fresh && s.none
}

// fresh is what runs on the machine, if that is known well enough; its owner is
// asked again.
func (e *Engine) fresh(now time.Duration, id model.MachineID) (seen, bool) {
	e.look(now, id)
	s, ok := e.seen[id]
	return s, ok && now-s.at <= freshReports*e.p.ReportInterval
}

// hold tells why a machine can't be drained at present, "" if it can. It is asked
// anew every time, so a reason goes away by itself.
func (e *Engine) hold(v *View, p *Plan, id model.MachineID, r *rooms) string {
	m := v.Machines[id]
	if !m.Reported {
		return "no controller has told how it is"
	}
	if why := floor(v, p, r, id); why != "" {
		return why
	}
	if why := stranded(v, r, id); why != "" {
		return why
	}
	if len(p.Windows) > 0 {
		s, fresh := e.fresh(v.Now, id)
		if !fresh {
			return "its controller has not told what runs there"
		}
		for i := range s.tasks {
			if !p.moves(s.tasks[i].sp) {
				continue
			}
			if why := late(v, p, &s.tasks[i]); why != "" {
				return why
			}
		}
		return crowded(v, p, r, id)
	}
	return ""
}

// floor: what teams have left of their guarantees stays free elsewhere, as far
// as the plan asks for.
func floor(v *View, p *Plan, r *rooms, id model.MachineID) string {
	need := int64(p.FreeCapacityFloor * float64(v.UnusedGuaranteeCPU))
	if free := r.without(id); free < need {
		return fmt.Sprintf("%.1f CPUs would be free elsewhere, the floor of teams' guarantees is %.1f", cpus(free),
			cpus(need))
	}
	return ""
}

func cpus(n int64) float64 { return float64(n) / 1000 }

// stranded: a job with open tasks must have some machine left that it may use.
func stranded(v *View, r *rooms, id model.MachineID) string {
	m := v.Machines[id].Machine
	var out []string
	for _, j := range v.Jobs {
		if j.UnfinishedTasks > 0 && j.Spec.Allows(&m) && j.Spec.PerTask.Fits(m.Cap) && r.holds(j.Spec, id) == 0 {
			out = append(out, v.JobName(j.Spec.ID))
		}
	}
	if len(out) > 0 {
		return "no other machine could run " + names(out)
	}
	return ""
}

// Of all tasks of a class so many take no longer than is reckoned with.
const (
	careful = 0.9
	likely  = 0.5
)

// late: a task that is stopped here and goes on elsewhere ends past a window that
// it would have kept where it is.
func late(v *View, p *Plan, t *task) string {
	moved := v.Wall.Add(v.anew(t, careful))
	w, limit := p.pushes(v.Wall, t.sp, v.Wall.Add(v.left(t, likely)), moved)
	if w == nil {
		return ""
	}
	return fmt.Sprintf("%s would end at %s if it moved, past %s at %s", v.JobName(t.sp.ID), clock(moved, w), w.Name,
		clock(limit, w))
}

func clock(t time.Time, w *Window) string {
	if w.Location != nil {
		t = t.In(w.Location)
	}
	return t.Format("15:04:05")
}

// crowded: the tasks of a job that wait would end past a window for want of the
// machine's room, even had they all that is left to themselves.
func crowded(v *View, p *Plan, r *rooms, id model.MachineID) string {
	for _, j := range v.Jobs {
		waiting := int64(j.UnfinishedTasks - j.RunningTasks)
		if waiting <= 0 {
			continue
		}
		without := ends(v, j.Spec, waiting, r.holds(j.Spec, id))
		w, limit := p.pushes(v.Wall, j.Spec, ends(v, j.Spec, waiting, r.holds(j.Spec, 0)), without)
		if w != nil {
			return fmt.Sprintf("%s has %d tasks waiting and would end at %s without its room, past %s at %s",
				v.JobName(j.Spec.ID), waiting, clock(without, w), w.Name, clock(limit, w))
		}
	}
	return ""
}

// ends is when so many tasks end with room for a number at a time.
func ends(v *View, sp *model.Spec, tasks, atOnce int64) time.Time {
	rounds := (tasks + max(1, atOnce) - 1) / max(1, atOnce)
	return v.Wall.Add(time.Duration(rounds) * v.whole(sp, careful))
}

// draining moves what runs on a machine, and goes on once it is empty.
func (e *Engine) draining(v *View, p *Plan, i int) {
	s, r := &p.Steps[i], &p.rt[i]
	m := v.Machines[s.Machine]
	if !m.Reported {
		r.held = "no controller has told how it is"
		return
	}
	if p.Phase == Paused {
		r.held = "the plan is paused"
		return
	}
	if e.empty(v.Now, &m) {
		if p.After == Patch {
			p.set(v.Now, i, Patching)
		} else {
			p.set(v.Now, i, Returning)
		}
		return
	}
	r.held = ""
	if told, fresh := e.fresh(v.Now, s.Machine); fresh && e.barred[s.Machine] {
		e.moveTasks(v, p, i, told.tasks)
	}
}

// room is what is free for tasks that move: once a tick, so that two machines do
// not count on the same.
func (e *Engine) room(v *View) *rooms {
	if e.free == nil {
		e.free = v.rooms(e.planned())
	}
	return e.free
}

// moveTasks recalls what the plan moves, as far as there is room elsewhere and
// nothing is pushed past a window.
func (e *Engine) moveTasks(v *View, p *Plan, i int, tasks []task) {
	id, room := p.Steps[i].Machine, e.room(v)
	var held []string
	moving := map[model.JobID]bool{}
	for k := range tasks {
		t := &tasks[k]
		if !p.moves(t.sp) || t.Stopping {
			moving[t.sp.ID] = moving[t.sp.ID] || t.Stopping
			continue
		}
		why := ""
		switch {
		case t.sp.Daemon && (moving[t.sp.ID] || !allRun(v, t.sp) || e.movedLately(v.Now, t.sp.ID)):
			why = v.JobName(t.sp.ID) + ": its replicas move one at a time, once all run"
		default:
			why = late(v, p, t)
		}
		if why == "" && !room.take(t.sp) {
			why = "no room elsewhere for " + v.JobName(t.sp.ID)
		}
		if why == "" {
			why = v.draws(t, false)
		}
		if why != "" {
			if !slices.Contains(held, why) {
				held = append(held, why)
			}
			continue
		}
		moving[t.sp.ID], t.Stopping = true, true // until it is looked at anew
		if t.sp.Daemon {
			e.moved[t.sp.ID] = v.Now
		}
		e.act(Action{Kind: Recall, Machine: id, Task: t.Task})
	}
	p.rt[i].held = names(held)
}

// movedLately: what is told of how many replicas run may be older than the last
// move.
func (e *Engine) movedLately(now time.Duration, id model.JobID) bool {
	at, ok := e.moved[id]
	return ok && now-at < 3*time.Second+freshReports*e.p.ReportInterval
}

// allRun tells whether all replicas of a service run.
func allRun(v *View, sp *model.Spec) bool {
	for _, j := range v.Jobs {
		if j.Spec.ID == sp.ID {
			return j.RunningTasks >= int(sp.Tasks)
		}
	}
	return false
}

package forecast

import (
	"slices"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
)

// arrivals brings up the machines that the plan has rented, and takes an
// operator's word for those that are patched by now.
func (x *run) arrivals() {
	x.booting = slices.DeleteFunc(x.booting, func(b boot) bool {
		if b.at > x.now {
			return false
		}
		x.r.AddMachine(x.now, b.m, true)
		return true
	})
	for id, at := range x.patched {
		if x.now >= at && x.e.Patched(x.now, x.f.spec.Name, id, "") == nil {
			delete(x.patched, id)
		}
	}
}

// view is the played present, for the engine.
func (x *run) view() *drain.View {
	s := x.f.s
	v := &drain.View{Now: x.now, Wall: s.Wall.Add(x.now - s.Now),
		Machines:  make(map[model.MachineID]drain.Machine, len(s.Machines)),
		Recovered: true, RunTimeFactor: s.RunTimeFactor, BootTime: s.BootTime, JobName: s.JobName, UnusedGuaranteeCPU: dispatcher.UnusedGuarantees(s.Teams, x.usage)}
	x.r.ForEachMachine(x.now, func(st model.MachineStatus) {
		v.Machines[st.Machine.ID] = drain.Machine{MachineStatus: st,
			Reported: true}
	})
	for _, b := range x.booting {
		v.Machines[b.m.ID] = drain.Machine{MachineStatus: model.MachineStatus{Machine: b.m}}
	}
	for _, j := range x.jobs {
		if j.left > 0 {
			v.Jobs = append(v.Jobs, drain.Job{Spec: j.Spec, UnfinishedTasks: j.left, RunningTasks: j.running})
		}
	}
	return v
}

// drain lets the engine decide on the played present, and carries it out.
func (x *run) drain() {
	if x.planEnd > 0 {
		return
	}
	for _, a := range x.e.Tick(x.view()) {
		x.do(a)
	}
	for _, w := range x.e.Writes(64) {
		x.e.WriteDone(w, 1, true, false, 0)
	}
	if st := x.e.Status(x.now, x.f.spec.Name); st != nil {
		for _, t := range st.Steps {
			if _, ok := x.patched[t.Machine]; !ok && t.State == drain.Patching.String() {
				x.patched[t.Machine] = x.now + x.f.p.PatchTime
			}
		}
		if st.Phase != drain.Active && st.Phase != drain.Paused && x.e.Idle() {
			x.planEnd = max(1, x.now-x.f.s.Now)
		}
	}
}

func (x *run) do(a drain.Action) {
	switch a.Kind {
	case drain.Cordon, drain.Uncordon:
		x.r.SetUsable(x.now, a.Machine, a.Kind == drain.Uncordon)
	case drain.ListTasks:
		x.e.TasksListed(x.now, a.Machine, a.Seq, x.r.TasksOn(x.now, a.Machine), func(id model.JobID) *model.Spec {
			if j := x.byID[id]; j != nil {
				return j.Spec
			}
			return nil
		})
	case drain.Recall:
		if s, ok := x.r.Recall(x.now, a.Machine, a.Task); ok {
			x.stopped(s, true)
		}
	case drain.ReturnMachine:
		x.r.RemoveMachine(a.Machine)
		x.e.MachineReturned(x.now, a.Machine, true)
	case drain.Rent:
		m := a.Template
		x.next++
		m.ID = x.next
		x.booting = append(x.booting, boot{x.now + x.f.s.BootTime(m.Type), m})
		x.e.MachineRented(x.now, a, []model.MachineID{m.ID}, false)
	}
}

// waitsFor is what a plan that does not end waits for.
func (x *run) waitsFor() string {
	if st := x.e.Status(x.now, x.f.spec.Name); st != nil {
		for _, t := range st.Steps {
			if t.BlockedReason != "" {
				return t.BlockedReason
			}
		}
	}
	return "it takes longer than was played"
}

// StepInterval is how often decisions are made in a forecast for so many machines: as
// often as they are made in life, or less often where that takes long.
func StepInterval(machines int) time.Duration {
	if machines <= 50 {
		return 250 * time.Millisecond
	}
	return time.Second
}

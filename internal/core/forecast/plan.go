package forecast

import (
	"slices"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/drain"
	"honeylock/internal/core/model"
)

// updateMachines adds rented machines that have come up, and reports patched machines to the engine as
// an operator would.
func (r *run) updateMachines() {
	r.booting = slices.DeleteFunc(r.booting, func(b bootingMachine) bool {
		if b.upAt > r.now {
			return false
		}
		r.simulation.AddMachine(r.now, b.machine, true)
		return true
	})
	for id, at := range r.patchDoneAt {
		if r.now >= at && r.engine.Patched(r.now, r.forecast.spec.Name, id, "") == nil {
			delete(r.patchDoneAt, id)
		}
	}
}

// view returns the simulated state of the cluster for the engine.
func (r *run) view() *drain.View {
	s := r.forecast.snapshot
	v := &drain.View{Now: r.now, Wall: s.Wall.Add(r.now - s.Now),
		Machines:  make(map[model.MachineID]drain.Machine, len(s.Machines)),
		Recovered: true, RunTimeFactor: s.RunTimeFactor, BootTime: s.BootTime, JobName: s.JobName,
		UnusedGuaranteeCPU: dispatcher.UnusedGuarantees(s.Teams, r.usage)}
	r.simulation.ForEachMachine(r.now, func(st model.MachineStatus) {
		v.Machines[st.Machine.ID] = drain.Machine{MachineStatus: st,
			Reported: true}
	})
	for _, b := range r.booting {
		v.Machines[b.machine.ID] = drain.Machine{MachineStatus: model.MachineStatus{Machine: b.machine}}
	}
	for _, j := range r.jobs {
		if j.unfinished > 0 {
			v.Jobs = append(v.Jobs, drain.Job{Spec: j.Spec, UnfinishedTasks: j.unfinished, RunningTasks: j.runningTasks})
		}
	}
	return v
}

// advancePlan lets the engine decide on the simulated state, and carries out its actions. Writes
// always succeed at once.
func (r *run) advancePlan() {
	if r.planDuration > 0 {
		return
	}
	for _, a := range r.engine.Tick(r.view()) {
		r.execute(a)
	}
	for _, w := range r.engine.Writes(64) {
		r.engine.WriteDone(w, 1, true, false, 0)
	}
	if st := r.engine.Status(r.now, r.forecast.spec.Name); st != nil {
		for _, t := range st.Steps {
			if _, ok := r.patchDoneAt[t.Machine]; !ok && t.State == drain.Patching.String() {
				r.patchDoneAt[t.Machine] = r.now + r.forecast.params.PatchTime
			}
		}
		if st.Phase != drain.Active && st.Phase != drain.Paused && r.engine.Idle() {
			r.planDuration = max(1, r.now-r.forecast.snapshot.Now)
		}
	}
}

// execute carries out an action in the simulation.
func (r *run) execute(a drain.Action) {
	switch a.Kind {
	case drain.Cordon, drain.Uncordon:
		r.simulation.SetUsable(r.now, a.Machine, a.Kind == drain.Uncordon)
	case drain.ListTasks:
		r.engine.TasksListed(r.now, a.Machine, a.Seq, r.simulation.TasksOn(r.now, a.Machine),
			func(id model.JobID) *model.Spec {
				if j := r.byID[id]; j != nil {
					return j.Spec
				}
				return nil
			})
	case drain.Recall:
		if s, ok := r.simulation.Recall(r.now, a.Machine, a.Task); ok {
			r.taskStopped(s, true)
		}
	case drain.ReturnMachine:
		r.simulation.RemoveMachine(a.Machine)
		r.engine.MachineReturned(r.now, a.Machine, true)
	case drain.Rent:
		m := a.Template
		r.lastMachineID++
		m.ID = r.lastMachineID
		r.booting = append(r.booting, bootingMachine{r.now + r.forecast.snapshot.BootTime(m.Type), m})
		r.engine.MachineRented(r.now, a, []model.MachineID{m.ID}, false)
	}
}

// planBlocker returns what a plan that does not end waits for.
func (r *run) planBlocker() string {
	if st := r.engine.Status(r.now, r.forecast.spec.Name); st != nil {
		for _, t := range st.Steps {
			if t.BlockedReason != "" {
				return t.BlockedReason
			}
		}
	}
	return "it takes longer than was played"
}

// StepInterval returns the simulated time between decisions for a cluster of so many machines: as
// often as a leader decides in small clusters, less often in large ones, where the forecast would take
// too long.
func StepInterval(machines int) time.Duration {
	if machines <= 50 {
		return 250 * time.Millisecond
	}
	return time.Second
}

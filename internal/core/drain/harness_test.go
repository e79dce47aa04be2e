package drain

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/core/rollout"
	"honeylock/internal/wire"
)

// harness runs an engine against a simulated cluster: machines with tasks, a store that may lose
// answers, and a cloud that may refuse requests.
type harness struct {
	engine             *Engine
	now                time.Duration
	wall               time.Time
	term               uint64
	machines           map[model.MachineID]*harnessMachine
	jobs               map[model.JobID]*Job
	stored             map[string]StoredPlan // the store's records
	rev                uint64
	spec               *Spec
	storeLosesAnswers  bool // writes take effect, but their answers are lost
	ownersUnresponsive bool // owners don't answer ListTasks
	cloudRefuses       bool // the cloud rents no machines and takes none back
	rented             map[string]model.MachineID
	returned           map[model.MachineID]int
	recalled           []model.Task
	violations         []string
	rentals            int
	evaluateGate       func(rollout.Gate, []model.MachineID) rollout.Verdict
}

// harnessMachine is a machine of the simulated cluster.
type harnessMachine struct {
	model.Machine
	cordoned   bool
	tasks      []model.PlacedTask
	bootTicks  int // ticks until it is up
	knownSince time.Duration
	unreported bool // its owner does not report its state
}

const gb = 1000

// newHarness returns a harness with a leader and without machines.
func newHarness() *harness {
	h := &harness{wall: time.Date(2026, 11, 26, 12, 0, 0, 0, time.UTC), machines: map[model.MachineID]*harnessMachine{},
		jobs:   map[model.JobID]*Job{},
		stored: map[string]StoredPlan{}, rented: map[string]model.MachineID{}, returned: map[model.MachineID]int{}}
	h.startLeader()
	return h
}

// startLeader starts a new term with an engine that loads the stored plans.
func (h *harness) startLeader() {
	h.term++
	h.engine = New(Params{Term: h.term, ReportInterval: time.Second, RetryInterval: 5 * time.Second, MaxMachines: 100})
	for _, m := range h.machines {
		m.cordoned = false // the new leader starts without knowing any cordons
	}
	for _, s := range h.stored {
		h.engine.Load(h.now, s, func([]byte) (*Spec, error) { c := *h.spec; c.Machines = nil; return &c, nil })
	}
	for _, a := range h.engine.Cordons() {
		h.carryOut(a)
	}
}

// addMachine adds a machine with 8 CPUs.
func (h *harness) addMachine(id model.MachineID, zone model.Name) *harnessMachine {
	m := &harnessMachine{Machine: model.Machine{ID: id, Zone: zone, Cap: model.Resources{CPU: 8000, Mem: 32 * gb}},
		knownSince: h.now}
	h.machines[id] = m
	return m
}

// addJob adds a job with a running task of 2 CPUs on each of the machines.
func (h *harness) addJob(spec model.Spec, on ...model.MachineID) *Job {
	spec.PerTask, spec.Tasks = model.Resources{CPU: 2000, Mem: gb}, int32(len(on))
	spec.Zone = model.None
	if spec.SubmittedMS == 0 {
		spec.SubmittedMS = h.wall.UnixMilli()
	}
	j := &Job{Spec: &spec, UnfinishedTasks: len(on), RunningTasks: len(on)}
	h.jobs[spec.ID] = j
	for i, id := range on {
		h.machines[id].tasks = append(h.machines[id].tasks, model.PlacedTask{Task: model.Task{Job: spec.ID, Index: int32(i)},
			Stage: model.Running})
	}
	return j
}

// free returns the resources that no task uses.
func (m *harnessMachine) free(h *harness) model.Resources {
	f := m.Cap
	for _, t := range m.tasks {
		f = f.Sub(h.jobs[t.Task.Job].Spec.PerTask)
	}
	return f
}

// view returns the state of the simulated cluster for the engine.
func (h *harness) view() *View {
	v := &View{Now: h.now, Wall: h.wall.Add(h.now), Machines: map[model.MachineID]Machine{}, Recovered: true,
		RunTimeFactor: func(_ model.Name, quantile float64) float64 {
			return 0.5 + quantile
		}, BootTime: func(model.Name) time.Duration { return time.Second }, JobName: wire.JobName,
		EvaluateGate: h.evaluateGate}
	for id, m := range h.machines {
		st := model.MachineStatus{Machine: m.Machine, Avail: m.free(h), Ready: !m.cordoned && m.bootTicks == 0,
			AttemptCount: len(m.tasks)}
		v.Machines[id] = Machine{MachineStatus: st, Reported: m.bootTicks == 0 && !m.unreported, KnownSince: m.knownSince}
	}
	for _, j := range h.jobs {
		v.Jobs = append(v.Jobs, *j)
	}
	slices.SortFunc(v.Jobs, func(a, b Job) int { return int(a.Spec.ID) - int(b.Spec.ID) })
	return v
}

// replacement returns the only machine that was rented.
func (h *harness) replacement(t *testing.T) model.MachineID {
	t.Helper()
	if len(h.rented) != 1 {
		t.Fatalf("rented %v, want one machine", h.rented)
	}
	for _, id := range h.rented {
		return id
	}
	return 0
}

// tick advances time by half a second, and carries out the engine's actions and writes.
func (h *harness) tick() {
	h.now += 500 * time.Millisecond
	for _, m := range h.machines {
		m.bootTicks = max(0, m.bootTicks-1)
		for i := range m.tasks {
			m.tasks[i].RunTime += 500 * time.Millisecond
		}
	}
	for _, a := range h.engine.Tick(h.view()) {
		h.carryOut(a)
	}
	for _, w := range h.engine.Writes(4) {
		h.write(w)
	}
}

// ticks calls tick n times.
func (h *harness) ticks(n int) {
	for range n {
		h.tick()
	}
}

// write applies a write to the store if the version matches.
func (h *harness) write(w Write) {
	if s := h.stored[w.Name]; s.Version != w.Version {
		h.engine.WriteDone(w, 0, false, true, s.Version)
		return
	}
	h.rev++
	if w.Value == nil {
		delete(h.stored, w.Name)
	} else {
		h.stored[w.Name] = StoredPlan{w.Name, w.Value, h.rev}
	}
	if h.storeLosesAnswers {
		h.engine.WriteDone(w, 0, false, false, 0)
		return
	}
	h.engine.WriteDone(w, h.rev, true, false, 0)
}

// state returns the stored state of a machine's step, 255 if there is none.
func (h *harness) state(plan string, id model.MachineID) State {
	var stored record
	_ = json.Unmarshal(h.stored[plan].Value, &stored)
	p := &Plan{Spec: Spec{Name: plan}}
	if p.decode(0, h.stored[plan].Value, func([]byte) (*Spec, error) { return &Spec{}, nil }) != nil {
		return 255
	}
	for _, s := range p.Steps {
		if s.Machine == id {
			return s.State
		}
	}
	return 255
}

// recordViolation records that the engine has broken an invariant.
func (h *harness) recordViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf("%v: ", h.now)+fmt.Sprintf(format, args...))
}

// carryOut carries out an action and checks that its preconditions hold.
func (h *harness) carryOut(a Action) {
	m := h.machines[a.Machine]
	planned := h.spec != nil && slices.Contains(h.spec.Machines, a.Machine)
	switch a.Kind {
	case Cordon:
		if s := h.state("p", a.Machine); planned && !s.isCordoned() {
			h.recordViolation("machine %d is cordoned while its step is stored as %v", a.Machine, s)
		}
		if m != nil {
			m.cordoned = true
		}
	case Uncordon:
		if m != nil {
			m.cordoned = false
		}
	case ListTasks:
		if m != nil && !h.ownersUnresponsive && m.bootTicks == 0 {
			h.engine.TasksListed(h.now, a.Machine, a.Seq, slices.Clone(m.tasks), func(id model.JobID) *model.Spec {
				if j := h.jobs[id]; j != nil {
					return j.Spec
				}
				return nil
			})
		}
	case Recall:
		h.recalled = append(h.recalled, a.Task)
		h.moveTask(a.Machine, a.Task)
	case Rent:
		id, ok := h.rented[a.Request]
		if !ok && !h.cloudRefuses {
			h.rentals++
			id = model.MachineID(1000 + h.rentals)
			h.rented[a.Request] = id
			h.addMachine(id, m.Zone).bootTicks = 6
			ok = true
		}
		if ok {
			h.engine.MachineRented(h.now, a, []model.MachineID{id}, false)
		} else {
			h.engine.MachineRented(h.now, a, nil, true)
		}
	case ReturnMachine:
		h.returnMachine(a, m, planned)
	}
}

// returnMachine removes a machine, unless the cloud refuses. It must be empty, cordoned and stored as
// Returning.
func (h *harness) returnMachine(a Action, m *harnessMachine, planned bool) {
	if m != nil && (len(m.tasks) > 0 || !m.cordoned) {
		h.recordViolation("machine %d is returned with %d tasks, cordoned: %v", a.Machine, len(m.tasks), m.cordoned)
	}
	if planned && h.state("p", a.Machine) != Returning {
		h.recordViolation("machine %d is returned while its step is stored as %v", a.Machine, h.state("p", a.Machine))
	}
	if !h.cloudRefuses {
		h.returned[a.Machine]++
		delete(h.machines, a.Machine)
	}
	h.engine.MachineReturned(h.now, a.Machine, !h.cloudRefuses)
}

// moveTask stops a task and starts it on the first other machine where it fits, if there is one.
func (h *harness) moveTask(from model.MachineID, t model.Task) {
	m := h.machines[from]
	i := slices.IndexFunc(m.tasks, func(other model.PlacedTask) bool { return other.Task == t })
	if i < 0 {
		return
	}
	m.tasks = slices.Delete(m.tasks, i, i+1)
	j := h.jobs[t.Job]
	for _, id := range h.ids() {
		if other := h.machines[id]; !other.cordoned && other.bootTicks == 0 && j.Spec.PerTask.Fits(other.free(h)) &&
			j.Spec.Allows(&other.Machine) {
			other.tasks = append(other.tasks, model.PlacedTask{Task: t, Stage: model.Running})
			return
		}
	}
	j.RunningTasks--
}

// ids returns the machines' IDs in ascending order.
func (h *harness) ids() []model.MachineID {
	out := map[model.MachineID]bool{}
	for id := range h.machines {
		out[id] = true
	}
	return sortedIDs(out)
}

// finishJob ends all tasks of a job.
func (h *harness) finishJob(id model.JobID) {
	for _, m := range h.machines {
		m.tasks = slices.DeleteFunc(m.tasks, func(o model.PlacedTask) bool { return o.Task.Job == id })
	}
	delete(h.jobs, id)
}

// loseMachine removes a machine with all tasks on it.
func (h *harness) loseMachine(id model.MachineID) {
	if m := h.machines[id]; m != nil {
		for _, t := range m.tasks {
			if j := h.jobs[t.Task.Job]; j != nil {
				j.RunningTasks--
			}
		}
		delete(h.machines, id)
	}
}

// apply checks and applies a plan named p.
func (h *harness) apply(s Spec) error {
	s.Name = "p"
	if s.MaxConcurrent == 0 {
		s.MaxConcurrent = 1
	}
	h.spec = &s
	if err := h.engine.Check(&s, []byte("source"), func(id model.MachineID) string { return fmt.Sprint(id) }); err != nil {
		return err
	}
	h.engine.Apply(h.now, h.wall.Add(h.now), &s, []byte("source"), "ops")
	return nil
}

// blockedReason returns what the plan waits for.
func (h *harness) blockedReason() string { return h.engine.Status(h.now, "p").firstBlockedReason() }

// firstBlockedReason returns the reason of the first blocked step.
func (s *Status) firstBlockedReason() string {
	for _, t := range s.Steps {
		if t.BlockedReason != "" {
			return t.BlockedReason
		}
	}
	return ""
}

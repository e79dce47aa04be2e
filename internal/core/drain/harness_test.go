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

// rig is a scripted cluster round an engine: machines with tasks, a store that
// may lose answers, and a cloud that may refuse.
type rig struct {
	e      *Engine
	now    time.Duration
	wall   time.Time
	term   uint64
	ms     map[model.MachineID]*rigMachine
	jobs   map[model.JobID]*Job
	stored map[string]StoredPlan // the store
	rev    uint64
	spec   *Spec
	loses  bool // the store's answers are lost, though it writes
	mute   bool // owners do not tell what runs on their machines
	refuse bool // the cloud has nothing, and takes nothing back
	rented map[string]model.MachineID
	given  map[model.MachineID]int
	recall []model.Task
	broken []string
	names  int
	judge  func(rollout.Gate, []model.MachineID) rollout.Verdict
}

type rigMachine struct {
	model.Machine
	barred bool
	tasks  []model.PlacedTask
	boots  int // ticks until it is up
	since  time.Duration
	deaf   bool // its owner does not tell how it is
}

const gb = 1000

func newRig() *rig {
	r := &rig{wall: time.Date(2026, 11, 26, 12, 0, 0, 0, time.UTC), ms: map[model.MachineID]*rigMachine{},
		jobs:   map[model.JobID]*Job{},
		stored: map[string]StoredPlan{}, rented: map[string]model.MachineID{}, given: map[model.MachineID]int{}}
	r.lead()
	return r
}

// lead begins a term with what is stored.
func (r *rig) lead() {
	r.term++
	r.e = New(Params{Term: r.term, ReportInterval: time.Second, RetryInterval: 5 * time.Second, MaxMachines: 100})
	for _, m := range r.ms {
		m.barred = false // another leader, other books
	}
	for _, s := range r.stored {
		r.e.Load(r.now, s, func([]byte) (*Spec, error) { c := *r.spec; c.Machines = nil; return &c, nil })
	}
	for _, a := range r.e.Cordons() {
		r.do(a)
	}
}

func (r *rig) machine(id model.MachineID, zone model.Name) *rigMachine {
	m := &rigMachine{Machine: model.Machine{ID: id, Zone: zone, Cap: model.Resources{CPU: 8000, Mem: 32 * gb}},
		since: r.now}
	r.ms[id] = m
	return m
}

// job adds one with a task of 2 CPUs on each of the machines.
func (r *rig) job(sp model.Spec, on ...model.MachineID) *Job {
	sp.PerTask, sp.Tasks = model.Resources{CPU: 2000, Mem: gb}, int32(len(on))
	sp.Zone = model.None
	if sp.SubmittedMS == 0 {
		sp.SubmittedMS = r.wall.UnixMilli()
	}
	j := &Job{Spec: &sp, UnfinishedTasks: len(on), RunningTasks: len(on)}
	r.jobs[sp.ID] = j
	for i, id := range on {
		r.ms[id].tasks = append(r.ms[id].tasks, model.PlacedTask{Task: model.Task{Job: sp.ID, Index: int32(i)},
			Stage: model.Running})
	}
	return j
}

func (m *rigMachine) free(r *rig) model.Resources {
	f := m.Cap
	for _, t := range m.tasks {
		f = f.Sub(r.jobs[t.Task.Job].Spec.PerTask)
	}
	return f
}

func (r *rig) view() *View {
	v := &View{Now: r.now, Wall: r.wall.Add(r.now), Machines: map[model.MachineID]Machine{}, Recovered: true,
		RunTimeFactor: func(_ model.Name, part float64) float64 {
			return 0.5 +
				part
		}, BootTime: func(model.Name) time.Duration { return time.Second }, JobName: wire.JobName, EvaluateGate: r.judge}
	for id, m := range r.ms {
		st := model.MachineStatus{Machine: m.Machine, Avail: m.free(r), Ready: !m.barred && m.boots == 0, Slots: len(m.tasks)}
		v.Machines[id] = Machine{MachineStatus: st, Reported: m.boots == 0 && !m.deaf, KnownSince: m.since}
	}
	for _, j := range r.jobs {
		v.Jobs = append(v.Jobs, *j)
	}
	slices.SortFunc(v.Jobs, func(a, b Job) int { return int(a.Spec.ID) - int(b.Spec.ID) })
	return v
}

// replacement is the only machine that was rented.
func (r *rig) replacement(t *testing.T) model.MachineID {
	t.Helper()
	if len(r.rented) != 1 {
		t.Fatalf("rented %v, want one machine", r.rented)
	}
	for _, id := range r.rented {
		return id
	}
	return 0
}

// tick lets half a second go by.
func (r *rig) tick() {
	r.now += 500 * time.Millisecond
	for _, m := range r.ms {
		m.boots = max(0, m.boots-1)
		for i := range m.tasks {
			m.tasks[i].RunTime += 500 * time.Millisecond
		}
	}
	for _, a := range r.e.Tick(r.view()) {
		r.do(a)
	}
	for _, w := range r.e.Writes(4) {
		r.write(w)
	}
}

func (r *rig) ticks(n int) {
	for range n {
		r.tick()
	}
}

func (r *rig) write(w Write) {
	if s := r.stored[w.Name]; s.Version != w.Version {
		r.e.WriteDone(w, 0, false, true, s.Version)
		return
	}
	r.rev++
	if w.Value == nil {
		delete(r.stored, w.Name)
	} else {
		r.stored[w.Name] = StoredPlan{w.Name, w.Value, r.rev}
	}
	if r.loses {
		r.e.WriteDone(w, 0, false, false, 0)
		return
	}
	r.e.WriteDone(w, r.rev, true, false, 0)
}

// state is what the store says of a machine's step.
func (r *rig) state(plan string, id model.MachineID) State {
	var rec record
	_ = json.Unmarshal(r.stored[plan].Value, &rec)
	p := &Plan{Spec: Spec{Name: plan}}
	if p.decode(0, r.stored[plan].Value, func([]byte) (*Spec, error) { return &Spec{}, nil }) != nil {
		return 255
	}
	for _, s := range p.Steps {
		if s.Machine == id {
			return s.State
		}
	}
	return 255
}

func (r *rig) breaks(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf("%v: ", r.now)+fmt.Sprintf(format, args...))
}

// do carries an action out and checks that its conditions hold.
func (r *rig) do(a Action) {
	m := r.ms[a.Machine]
	planned := r.spec != nil && slices.Contains(r.spec.Machines, a.Machine)
	switch a.Kind {
	case Cordon:
		if s := r.state("p", a.Machine); planned && !s.barred() {
			r.breaks("machine %d is drained while it is stored as %v", a.Machine, s)
		}
		if m != nil {
			m.barred = true
		}
	case Uncordon:
		if m != nil {
			m.barred = false
		}
	case ListTasks:
		if m != nil && !r.mute && m.boots == 0 {
			r.e.TasksListed(r.now, a.Machine, a.Seq, slices.Clone(m.tasks), func(id model.JobID) *model.Spec {
				if j := r.jobs[id]; j != nil {
					return j.Spec
				}
				return nil
			})
		}
	case Recall:
		r.recall = append(r.recall, a.Task)
		r.move(a.Machine, a.Task)
	case Rent:
		id, ok := r.rented[a.Request]
		if !ok && !r.refuse {
			r.names++
			id = model.MachineID(1000 + r.names)
			r.rented[a.Request] = id
			r.machine(id, m.Zone).boots = 6
			ok = true
		}
		if ok {
			r.e.MachineRented(r.now, a, []model.MachineID{id}, false)
		} else {
			r.e.MachineRented(r.now, a, nil, true)
		}
	case ReturnMachine:
		r.give(a, m, planned)
	}
}

func (r *rig) give(a Action, m *rigMachine, planned bool) {
	if m != nil && (len(m.tasks) > 0 || !m.barred) {
		r.breaks("machine %d is given back with %d tasks, barred: %v", a.Machine, len(m.tasks), m.barred)
	}
	if planned && r.state("p", a.Machine) != Returning {
		r.breaks("machine %d is given back while it is stored as %v", a.Machine, r.state("p", a.Machine))
	}
	if !r.refuse {
		r.given[a.Machine]++
		delete(r.ms, a.Machine)
	}
	r.e.MachineReturned(r.now, a.Machine, !r.refuse)
}

// move stops a task here and places it where there is room, if there is any.
func (r *rig) move(from model.MachineID, t model.Task) {
	m := r.ms[from]
	i := slices.IndexFunc(m.tasks, func(o model.PlacedTask) bool { return o.Task == t })
	if i < 0 {
		return
	}
	m.tasks = slices.Delete(m.tasks, i, i+1)
	j := r.jobs[t.Job]
	for _, id := range r.ids() {
		if o := r.ms[id]; !o.barred && o.boots == 0 && j.Spec.PerTask.Fits(o.free(r)) && j.Spec.Allows(&o.Machine) {
			o.tasks = append(o.tasks, model.PlacedTask{Task: t, Stage: model.Running})
			return
		}
	}
	j.RunningTasks--
}

func (r *rig) ids() []model.MachineID {
	out := map[model.MachineID]bool{}
	for id := range r.ms {
		out[id] = true
	}
	return sortedIDs(out)
}

// finish ends a job's tasks.
func (r *rig) finish(id model.JobID) {
	for _, m := range r.ms {
		m.tasks = slices.DeleteFunc(m.tasks, func(o model.PlacedTask) bool { return o.Task.Job == id })
	}
	delete(r.jobs, id)
}

// lose lets a machine stop with all that is on it.
func (r *rig) lose(id model.MachineID) {
	if m := r.ms[id]; m != nil {
		for _, t := range m.tasks {
			if j := r.jobs[t.Task.Job]; j != nil {
				j.RunningTasks--
			}
		}
		delete(r.ms, id)
	}
}

func (r *rig) apply(s Spec) error {
	s.Name = "p"
	if s.MaxConcurrent == 0 {
		s.MaxConcurrent = 1
	}
	r.spec = &s
	if err := r.e.Check(&s, []byte("source"), func(id model.MachineID) string { return fmt.Sprint(id) }); err != nil {
		return err
	}
	r.e.Apply(r.now, r.wall.Add(r.now), &s, []byte("source"), "ops")
	return nil
}

// held is what the plan waits for.
func (r *rig) held() string { return r.e.Status(r.now, "p").brief() }

func (s *Status) brief() string {
	for _, t := range s.Steps {
		if t.BlockedReason != "" {
			return t.BlockedReason
		}
	}
	return ""
}

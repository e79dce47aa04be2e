// Package peer carries the leader's orders and the shards' events between controllers
// over HTTP/2 streams of length-delimited protobuf messages. Messages contain names as
// strings; the receiver maps them to the indices of its own process.
package peer

import (
	"fmt"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/wire"
)

// Codec encodes and decodes the messages of one stream. Its user holds the controller's
// lock.
type Codec struct {
	names *wire.Names
	specs map[model.JobID]*model.Spec // job descriptions sent or received on this stream
}

// NewCodec returns the codec of a new stream.
func NewCodec(n *wire.Names) *Codec { return &Codec{names: n, specs: map[model.JobID]*model.Spec{}} }

func task(t model.Task) *peerpb.Task { return &peerpb.Task{Job: uint64(t.Job), No: t.Index} }

func fromTask(t *peerpb.Task) model.Task {
	return model.Task{Job: model.JobID(t.GetJob()), Index: t.GetNo()}
}

func (c *Codec) machine(m *model.Machine) *peerpb.Machine {
	return &peerpb.Machine{Id: uint64(m.ID), Addr: m.Addr, Type: c.names.Types.Name(m.Type),
		Zone: c.names.Zones.Name(m.Zone),
		Spot: m.Spot, Cpu: m.Cap.CPU, Gpu: m.Cap.GPU, Mem: m.Cap.Mem, FetchRate: m.FetchRate}
}

func (c *Codec) fromMachine(m *peerpb.Machine) model.Machine {
	return model.Machine{ID: model.MachineID(m.GetId()), Addr: m.GetAddr(), Type: c.names.Types.ID(m.GetType()),
		Zone: c.names.Zones.ID(m.GetZone()),
		Spot: m.GetSpot(), Cap: model.Resources{CPU: m.GetCpu(), GPU: m.GetGpu(), Mem: m.GetMem(),
			Attempts: model.AttemptsPerMachine},
		FetchRate: m.GetFetchRate()}
}

// Event encodes a shard's event.
func (c *Codec) Event(e *model.Event) *peerpb.Up {
	p := &peerpb.Event{Kind: uint32(e.Kind), Machine: uint64(e.Machine), Task: task(e.Task), Attempt: e.Attempt,
		Stage: uint32(e.Status.Stage), CellCause: uint32(e.Status.Cause), Cause: uint32(e.Cause),
		Token: e.Token, Held: e.Held, RanUs: e.RunTime.Microseconds(), Session: e.Session, Seq: e.Seq,
		Epoch: uint64(e.Epoch)}
	for _, o := range e.Placed {
		p.On = append(p.On, &peerpb.OnMachine{Task: task(o.Task), Stage: uint32(o.Stage), RanUs: o.RunTime.Microseconds(),
			Stopping: o.Stopping, Adopted: o.Adopted})
	}
	if e.Report != nil {
		p.Reporter = c.machine(&e.Report.Machine)
	}
	for _, t := range e.Tasks {
		p.Tasks = append(p.Tasks, task(t))
	}
	return &peerpb.Up{Msg: &peerpb.Up_Event{Event: p}}
}

// FromEvent decodes a shard's event.
func (c *Codec) FromEvent(p *peerpb.Event) model.Event {
	t := fromTask(p.GetTask())
	e := model.Event{Kind: model.EventKind(p.GetKind()), Machine: model.MachineID(p.GetMachine()), Task: t,
		Attempt: p.GetAttempt(),
		Status: model.AttemptStatus{Task: t, Attempt: p.GetAttempt(), Stage: model.Stage(p.GetStage()),
			Cause: model.Cause(p.GetCellCause())},
		Cause: model.Cause(p.GetCause()), Token: p.GetToken(), Held: p.GetHeld(),
		MessageID: model.MessageID{Session: p.GetSession(), Seq: p.GetSeq()},
		RunTime:   time.Duration(p.GetRanUs()) * time.Microsecond,
		Epoch:     model.Epoch(p.GetEpoch())}
	for _, o := range p.GetOn() {
		e.Placed = append(e.Placed, model.PlacedTask{Task: fromTask(o.GetTask()), Stage: model.Stage(o.GetStage()),
			RunTime: time.Duration(o.GetRanUs()) * time.Microsecond, Stopping: o.GetStopping(), Adopted: o.GetAdopted()})
	}
	if r := p.GetReporter(); r != nil {
		e.Report = &model.Report{Machine: c.fromMachine(r)}
	}
	for _, x := range p.GetTasks() {
		e.Tasks = append(e.Tasks, fromTask(x))
	}
	return e
}

// Status encodes a shard's status.
func (c *Codec) Status(now time.Duration, machines []model.MachineStatus, jobs map[model.JobID]model.TaskCounts,
	assignmentsReceived uint64) *peerpb.Up {
	p := &peerpb.Status{Deals: assignmentsReceived}
	for i := range machines {
		m := &machines[i]
		p.Machines = append(p.Machines, &peerpb.MachineStatus{Id: uint64(m.Machine.ID), Cpu: m.Avail.CPU, Gpu: m.Avail.GPU,
			Mem: m.Avail.Mem, FreeAttempts: &m.Avail.Attempts,
			Ready: m.Ready, Draining: m.Draining, Slots: int32(m.AttemptCount), IdleUs: (now - m.IdleSince).Microseconds(),
			Bad: m.Faulty})
	}
	for id, n := range jobs {
		p.Jobs = append(p.Jobs, &peerpb.JobStatus{Job: uint64(id), Waiting: int32(n.Waiting), Running: int32(n.Running)})
	}
	return &peerpb.Up{Msg: &peerpb.Up_Status{Status: p}}
}

// FromStatus decodes a shard's status. It converts the relative times to the local clock.
func (c *Codec) FromStatus(now time.Duration, p *peerpb.Status) ([]model.MachineStatus,
	map[model.JobID]model.TaskCounts) {
	machines := make([]model.MachineStatus, 0, len(p.GetMachines()))
	microseconds := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	for _, m := range p.GetMachines() {
		machines = append(machines, model.MachineStatus{Machine: model.Machine{ID: model.MachineID(m.GetId())},
			Avail: availableResources(m), Ready: m.GetReady(),
			Draining:     m.GetDraining(),
			AttemptCount: int(m.GetSlots()), IdleSince: now - microseconds(m.GetIdleUs()), Faulty: m.GetBad()})
	}
	jobs := make(map[model.JobID]model.TaskCounts, len(p.GetJobs()))
	for _, j := range p.GetJobs() {
		jobs[model.JobID(j.GetJob())] = model.TaskCounts{Waiting: int(j.GetWaiting()), Running: int(j.GetRunning())}
	}
	return machines, jobs
}

// availableResources decodes what is free of a machine. An older release tells the attempts in use only.
func availableResources(m *peerpb.MachineStatus) model.Resources {
	available := model.Resources{CPU: m.GetCpu(), GPU: m.GetGpu(), Mem: m.GetMem(), Attempts: m.GetFreeAttempts()}
	if m.FreeAttempts == nil {
		available.Attempts = model.AttemptsPerMachine - int64(m.GetSlots())
	}
	return available
}

func (c *Codec) spec(jobSpec *model.Spec) *peerpb.Spec {
	p := &peerpb.Spec{Job: uint64(jobSpec.ID), Class: c.names.Classes.Name(jobSpec.Class),
		Team: c.names.Teams.Name(jobSpec.Team), Image: c.names.Images.Name(jobSpec.Image),
		Daemon: jobSpec.Daemon, Rank: uint32(jobSpec.Rank), Tasks: jobSpec.Tasks, Cpu: jobSpec.PerTask.CPU,
		Gpu: jobSpec.PerTask.GPU, Mem: jobSpec.PerTask.Mem, ImageGb: jobSpec.ImageGB,
		AnyType: jobSpec.Types == nil, Together: jobSpec.SameZone, Spread: jobSpec.Spread, Spot: jobSpec.Spot,
		EstimateUs:   jobSpec.Estimate.Microseconds(),
		CheckpointUs: jobSpec.CheckpointInterval.Microseconds(), SaveUs: jobSpec.CheckpointTime.Microseconds(),
		DeadlineUs: jobSpec.Deadline.Microseconds(), SubmittedMs: jobSpec.SubmittedMS, Aimed: !jobSpec.BestEffort}
	for _, t := range jobSpec.Types {
		p.Types = append(p.Types, c.names.Types.Name(t))
	}
	if jobSpec.Zone != model.None {
		z := c.names.Zones.Name(jobSpec.Zone)
		p.Zone = &z
	}
	return p
}

func (c *Codec) fromSpec(p *peerpb.Spec) *model.Spec {
	microseconds := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	s := &model.Spec{ID: model.JobID(p.GetJob()), Class: c.names.Classes.ID(p.GetClass()),
		Team: c.names.Teams.ID(p.GetTeam()), Image: c.names.Images.ID(p.GetImage()),
		Daemon: p.GetDaemon(), Rank: model.Rank(p.GetRank()), Tasks: p.GetTasks(),
		PerTask: model.Resources{CPU: p.GetCpu(), GPU: p.GetGpu(), Mem: p.GetMem(), Attempts: 1},
		ImageGB: p.GetImageGb(), Zone: model.None, SameZone: p.GetTogether(), Spread: p.GetSpread(), Spot: p.GetSpot(),
		Estimate: microseconds(p.GetEstimateUs()), CheckpointInterval: microseconds(p.GetCheckpointUs()),
		CheckpointTime: microseconds(p.GetSaveUs()), Deadline: microseconds(p.GetDeadlineUs()),
		SubmittedMS: p.GetSubmittedMs()}
	s.BestEffort = !p.GetAimed() && c.names.IsBestEffort(s.Class, s.Team)
	if !p.GetAnyType() {
		s.Types = []model.Name{}
		for _, t := range p.GetTypes() {
			s.Types = append(s.Types, c.names.Types.ID(t))
		}
	}
	if p.Zone != nil {
		s.Zone = c.names.Zones.ID(p.GetZone())
	}
	return s
}

// Order encodes an order. A job's description goes with its first task on the stream only.
func (c *Codec) Order(now time.Duration, o *model.Order) *peerpb.Down {
	p := &peerpb.Order{Kind: uint32(o.Kind), Token: o.Token, Usable: o.Usable, Id: uint64(o.ID), Task: task(o.Task),
		Attempt: o.Attempt, Job: uint64(o.Job), Price: o.Price, Count: int32(o.Count), Keeper: o.RedirectTo,
		Aim: uint32(o.Objective), Prove: o.VerifyFirst, Session: o.Session, Seq: o.Seq,
		Epoch: uint64(o.Epoch)}
	switch o.Kind {
	case model.OwnMachine:
		p.Machine = c.machine(&o.Machine)
	case model.AssignTask:
		assignment := &o.Assignment
		p.Task, p.Price, p.Id, p.Attempt = task(assignment.Task), assignment.Price, uint64(assignment.Machine),
			assignment.Attempt
		p.Again, p.Checked = assignment.Redispatched, assignment.WithinLimits
		p.WaitedUs = (now - assignment.WaitingSince).Microseconds()
		if assignment.Zone != model.None {
			z := c.names.Zones.Name(assignment.Zone)
			p.Zone = &z
		}
		if c.specs[assignment.Task.Job] == nil {
			c.specs[assignment.Task.Job] = assignment.Spec
			p.Spec = c.spec(assignment.Spec)
		}
	case model.EndJob:
		delete(c.specs, o.Job)
	}
	return &peerpb.Down{Msg: &peerpb.Down_Order{Order: p}}
}

// FromOrder decodes an order. It fails if a task arrives whose job description has not
// been received on this stream.
func (c *Codec) FromOrder(now time.Duration, p *peerpb.Order) (model.Order, error) {
	o := model.Order{Kind: model.OrderKind(p.GetKind()), Token: p.GetToken(), Usable: p.GetUsable(),
		ID:   model.MachineID(p.GetId()),
		Task: fromTask(p.GetTask()), Attempt: p.GetAttempt(), Job: model.JobID(p.GetJob()),
		Price: p.GetPrice(), Count: int(p.GetCount()),
		RedirectTo: p.GetKeeper(), Objective: model.Objective(p.GetAim()), VerifyFirst: p.GetProve(),
		MessageID: model.MessageID{Session: p.GetSession(), Seq: p.GetSeq()}, Epoch: model.Epoch(p.GetEpoch())}
	switch o.Kind {
	case model.OwnMachine:
		o.Machine = c.fromMachine(p.GetMachine())
	case model.AssignTask:
		if s := p.GetSpec(); s != nil {
			c.specs[o.Task.Job] = c.fromSpec(s)
		}
		spec := c.specs[o.Task.Job]
		if spec == nil {
			return o, fmt.Errorf("received a task of %s without the job's description", wire.JobName(o.Task.Job))
		}
		o.Assignment = model.Assignment{Task: o.Task, Spec: spec, Price: o.Price, Zone: model.None, Machine: o.ID,
			Attempt: o.Attempt, Redispatched: p.GetAgain(), WithinLimits: p.GetChecked(),
			WaitingSince: now - time.Duration(p.GetWaitedUs())*time.Microsecond}
		if p.Zone != nil {
			o.Assignment.Zone = c.names.Zones.ID(p.GetZone())
		}
	case model.RepriceJob:
		// Later assignments of the job come without its description, so the stored one
		// is replaced by an updated copy.
		if spec := c.specs[o.Job]; spec != nil && o.Objective != model.ObjectiveUnchanged {
			updated := *spec
			updated.BestEffort = o.Objective == model.NoObjective
			c.specs[o.Job] = &updated
		}
	case model.EndJob:
		delete(c.specs, o.Job)
	}
	return o, nil
}

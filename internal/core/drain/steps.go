package drain

import (
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Tick moves the plans on and returns what to do.
func (e *Engine) Tick(v *View) []Action {
	e.out, e.free = nil, nil
	plans := e.sorted()
	for i := range plans {
		// By turns: what is left of a budget is not always the first one's.
		p := plans[(i+e.turns)%len(plans)]
		if p.foreign == "" && !p.ended() {
			e.step(v, p)
		}
	}
	if v.RequestMove != nil {
		e.turns++
	}
	e.drainPrice(v)
	e.bars()
	return e.out
}

// Cordons tells which machines get no tasks, before the first Tick: a new leader
// must not place anything there meanwhile.
func (e *Engine) Cordons() []Action {
	e.out = nil
	e.bars()
	return e.out
}

// bars tells what has changed about which machines get tasks. What lets a machine
// have tasks again counts at once; what keeps it from them, once it is stored.
func (e *Engine) bars() {
	want := e.keep(func(p *Plan, id model.MachineID) bool { return p.synced() || e.barred[id] })
	for _, id := range sortedIDs(want) {
		if !e.barred[id] {
			e.act(Action{Kind: Cordon, Machine: id})
			e.unlook(id)
		}
	}
	for _, id := range sortedIDs(e.barred) {
		if !want[id] {
			e.act(Action{Kind: Uncordon, Machine: id})
			e.unlook(id)
		}
	}
	e.barred = want
}

func sortedIDs[V any](m map[model.MachineID]V) []model.MachineID {
	out := make([]model.MachineID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// drainPrice gives back what was drained for its price and is empty.
func (e *Engine) drainPrice(v *View) {
	for _, id := range sortedIDs(e.price) {
		m, ok := v.Machines[id]
		switch {
		case !ok && v.Recovered:
			delete(e.price, id)
			delete(e.giving, id)
		case ok && !e.giving[id] && e.empty(v.Now, &m):
			e.giving[id] = true
			e.act(Action{Kind: ReturnMachine, Machine: id})
		case ok && m.Reported && m.Slots > 0 && e.barred[id]:
			e.consolidate(v, id)
		}
	}
}

// consolidate moves what can save its progress from a machine that costs too much
// to one with room, where it would hold the machine for long.
func (e *Engine) consolidate(v *View, id model.MachineID) {
	told, fresh := e.fresh(v.Now, id)
	if !fresh {
		return
	}
	room := e.room(v)
	for i := range told.tasks {
		t := &told.tasks[i]
		long := v.left(t, likely) > 2*(t.sp.CheckpointTime+5*time.Second)
		if t.Stopping || t.sp.Daemon || t.sp.CheckpointInterval == 0 || t.sp.Rank >= model.Urgent || !long || !room.take(t.sp) {
			continue
		}
		if v.draws(t, true) != "" {
			continue
		}
		t.Stopping = true
		e.act(Action{Kind: Recall, Machine: id, Task: t.Task})
	}
}

// step moves one plan on.
func (e *Engine) step(v *View, p *Plan) {
	if p.Phase == Active && !p.LatestEnd.IsZero() && v.Wall.After(p.LatestEnd) {
		e.end(v.Now, p, Overdue)
	}
	for i := range p.Steps {
		if _, ok := v.Machines[p.Steps[i].Machine]; !ok && v.Recovered && !p.Steps[i].State.over() {
			p.set(v.Now, i, Gone)
		}
	}
	if !p.synced() {
		return // nothing is done before it is stored
	}
	e.begin(v, p)
	for i := range p.Steps {
		switch p.Steps[i].State {
		case Renting:
			e.renting(v, p, i)
		case Draining:
			e.draining(v, p, i)
		case Returning:
			e.giveBack(v, p, i)
		}
	}
	if p.Phase == Active && !slices.ContainsFunc(p.Steps, func(s Step) bool { return !s.State.over() }) {
		p.Phase = Done
		p.gen++
	}
}

// begin begins as many steps as may be under way, if nothing speaks against it.
func (e *Engine) begin(v *View, p *Plan) {
	if p.Phase != Active {
		return
	}
	busy, zones := 0, map[model.Name]int{}
	for i := range p.Steps {
		if s := p.Steps[i].State; !s.over() && s != Waiting {
			busy++
			zones[v.Machines[p.Steps[i].Machine].Machine.Zone]++
		}
	}
	limit, why := e.until(v, p)
	if p.Phase != Active || !p.synced() {
		return // a gate closed, or a wave was passed: stored first
	}
	var r *rooms
	for i := range p.Steps {
		s := &p.Steps[i]
		if s.State != Waiting {
			continue
		}
		if i >= limit {
			p.rt[i].held = why
			return
		}
		m := v.Machines[s.Machine]
		if busy >= p.MaxConcurrent {
			p.rt[i].held = ""
			return
		}
		if p.MaxPerZone > 0 && zones[m.Machine.Zone] >= p.MaxPerZone {
			p.rt[i].held = "enough machines of its zone are being drained"
			continue
		}
		next := Draining
		if r == nil {
			r = v.rooms(e.planned())
		}
		if p.RentFirst {
			next = Renting
		} else if why := e.hold(v, p, s.Machine, r); why != "" {
			p.rt[i].held = why
			return // in the order of the plan
		}
		busy++
		zones[m.Machine.Zone]++
		r.drop(s.Machine)
		p.set(v.Now, i, next)
	}
}

// planned are the machines that no task will be given, stored or not.
func (e *Engine) planned() map[model.MachineID]bool {
	return e.keep(func(*Plan, model.MachineID) bool { return true })
}

// keep are the machines that are to be kept from tasks: for their price, and those
// of plans that the condition holds for.
func (e *Engine) keep(when func(*Plan, model.MachineID) bool) map[model.MachineID]bool {
	out := maps.Clone(e.price)
	for _, p := range e.plans {
		for i := range p.Steps {
			if s := &p.Steps[i]; s.State.barred() && when(p, s.Machine) {
				out[s.Machine] = true
			}
		}
	}
	return out
}

// renting waits for a step's replacement.
func (e *Engine) renting(v *View, p *Plan, i int) {
	r, s := &p.rt[i], &p.Steps[i]
	m := v.Machines[s.Machine].Machine
	if r.renewed != 0 {
		n, ok := v.Machines[r.renewed]
		switch {
		case p.Phase != Active:
		case ok && n.Reported && n.Ready:
			if why := e.hold(v, p, s.Machine, v.rooms(e.planned())); why != "" {
				r.held = why
				return
			}
			p.set(v.Now, i, Draining)
		case v.Now-r.asked > 4*v.BootTime(m.Type)+20*time.Second:
			// It never came up, or is gone: another.
			s.RentAttempt++
			p.set(v.Now, i, Renting)
			p.rt[i].renewed = 0
		default:
			r.held = "its replacement has not come up yet"
		}
		return
	}
	if !r.asking && p.Phase == Active && (r.asked == 0 || v.Now-r.asked >= e.p.RetryInterval) {
		r.asking = true
		e.act(Action{Kind: Rent, Machine: s.Machine, Template: m, Plan: p.Name, Step: i, Request: p.request(i)})
	}
}

// giveBack returns a machine until the cloud has it. A leader that comes in
// between can't know what was placed there before it had heard of the plan: it
// looks once more, and drains the machine again if it must.
func (e *Engine) giveBack(v *View, p *Plan, i int) {
	r := &p.rt[i]
	m := v.Machines[p.Steps[i].Machine]
	switch {
	case r.asking:
	case m.Reported && m.Slots > 0 && p.Phase == Cancelled:
		p.set(v.Now, i, Abandoned)
	case m.Reported && m.Slots > 0:
		p.set(v.Now, i, Draining)
	case !e.empty(v.Now, &m):
		r.held = "its controller has not told that it is empty"
	case r.asked == 0 || v.Now-r.asked >= time.Second:
		r.asking = true
		e.act(Action{Kind: ReturnMachine, Machine: p.Steps[i].Machine})
	}
}

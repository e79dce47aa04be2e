package drain

import (
	"maps"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// Tick advances all plans and price drains, and returns the actions to carry out.
func (e *Engine) Tick(v *View) []Action {
	e.actions, e.moveCapacity = nil, nil
	plans := e.sortedPlans()
	for i := range plans {
		// The first plan changes with each tick, so that the rest of a disruption budget does not
		// always go to the same plan.
		p := plans[(i+e.firstPlanIndex)%len(plans)]
		if p.unsupportedReason == "" && !p.ended() {
			e.advancePlan(v, p)
		}
	}
	if v.RequestMove != nil {
		e.firstPlanIndex++
	}
	e.advancePriceDrains(v)
	e.updateCordons()
	return e.actions
}

// Cordons returns the Cordon actions that follow from the stored plans. A new leader carries them out
// before its first Tick, so that it places no task on a machine that is being drained.
func (e *Engine) Cordons() []Action {
	e.actions = nil
	e.updateCordons()
	return e.actions
}

// updateCordons emits actions for what has changed in the set of cordoned machines. An uncordon takes
// effect at once; a cordon only after the plan's state is stored. A machine's task list is forgotten
// with each change, because only a list from after the cordon shows that the machine stays empty.
func (e *Engine) updateCordons() {
	desired := e.machinesToCordon(func(p *Plan, id model.MachineID) bool { return p.synced() || e.cordoned[id] })
	for _, id := range sortedIDs(desired) {
		if !e.cordoned[id] {
			e.emit(Action{Kind: Cordon, Machine: id})
			e.forgetTaskList(id)
		}
	}
	for _, id := range sortedIDs(e.cordoned) {
		if !desired[id] {
			e.emit(Action{Kind: Uncordon, Machine: id})
			e.forgetTaskList(id)
		}
	}
	e.cordoned = desired
}

// sortedIDs returns the map's keys in ascending order.
func sortedIDs[V any](m map[model.MachineID]V) []model.MachineID {
	out := make([]model.MachineID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// advancePriceDrains advances the drains of machines that cost too much. It returns empty machines to
// the cloud, moves tasks off the others, and forgets machines that no longer exist.
func (e *Engine) advancePriceDrains(v *View) {
	for _, id := range sortedIDs(e.priceDrains) {
		m, ok := v.Machines[id]
		switch {
		case !ok && v.Recovered:
			delete(e.priceDrains, id)
			delete(e.priceReturns, id)
		case ok && !e.priceReturns[id] && e.isEmpty(v.Now, &m):
			e.priceReturns[id] = true
			e.emit(Action{Kind: ReturnMachine, Machine: id})
		case ok && m.Reported && m.AttemptCount > 0 && e.cordoned[id]:
			e.consolidate(v, id)
		}
	}
}

// consolidate moves tasks off a machine that costs too much, if they can save their progress, would
// run for long, and fit elsewhere. Replicas of services and urgent tasks stay.
func (e *Engine) consolidate(v *View, id model.MachineID) {
	list, fresh := e.freshTaskList(v.Now, id)
	if !fresh {
		return
	}
	capacity := e.capacityForMoves(v)
	for i := range list.tasks {
		t := &list.tasks[i]
		worthMoving := v.remainingRunTime(t, medianQuantile) > 2*(t.spec.CheckpointTime+5*time.Second)
		if t.Stopping || t.spec.Daemon || t.spec.CheckpointInterval == 0 || t.spec.Rank >= model.Urgent || !worthMoving ||
			!capacity.reserve(t.spec) {
			continue
		}
		if v.requestMove(t, true) != "" {
			continue
		}
		t.Stopping = true
		e.emit(Action{Kind: Recall, Machine: id, Task: t.Task})
	}
}

// advancePlan advances one plan: it ends an overdue plan, marks the steps of lost machines, starts
// steps that may start, and advances those under way. Nothing is started or moved before the plan's
// current state is stored.
func (e *Engine) advancePlan(v *View, p *Plan) {
	if p.Phase == Active && !p.LatestEnd.IsZero() && v.Wall.After(p.LatestEnd) {
		e.endPlan(v.Now, p, Overdue)
	}
	for i := range p.Steps {
		if _, ok := v.Machines[p.Steps[i].Machine]; !ok && v.Recovered && !p.Steps[i].State.isFinal() {
			p.setState(v.Now, i, Gone)
		}
	}
	if !p.synced() {
		return
	}
	e.startSteps(v, p)
	for i := range p.Steps {
		switch p.Steps[i].State {
		case Renting:
			e.advanceRenting(v, p, i)
		case Draining:
			e.advanceDraining(v, p, i)
		case Returning:
			e.advanceReturning(v, p, i)
		}
	}
	if p.Phase == Active && !slices.ContainsFunc(p.Steps, func(s Step) bool { return !s.State.isFinal() }) {
		p.Phase = Done
		p.generation++
	}
}

// startSteps starts waiting steps in the plan's order, as far as its waves, its concurrency limits and
// the blockers of each machine allow. Steps in a zone that has reached MaxPerZone are skipped; anything
// else that blocks a step also blocks the steps after it.
func (e *Engine) startSteps(v *View, p *Plan) {
	if p.Phase != Active {
		return
	}
	busy, zones := 0, map[model.Name]int{}
	for i := range p.Steps {
		if s := p.Steps[i].State; !s.isFinal() && s != Waiting {
			busy++
			zones[v.Machines[p.Steps[i].Machine].Machine.Zone]++
		}
	}
	limit, reason := e.stepLimit(v, p)
	if p.Phase != Active || !p.synced() {
		return // a gate closed or a wave was passed, which must be stored first
	}
	var capacity *freeCapacity
	for i := range p.Steps {
		s := &p.Steps[i]
		if s.State != Waiting {
			continue
		}
		if i >= limit {
			p.runtime[i].blockedReason = reason
			return
		}
		m := v.Machines[s.Machine]
		if busy >= p.MaxConcurrent {
			p.runtime[i].blockedReason = ""
			return
		}
		if p.MaxPerZone > 0 && zones[m.Machine.Zone] >= p.MaxPerZone {
			p.runtime[i].blockedReason = "enough machines of its zone are being drained"
			continue
		}
		next := Draining
		if capacity == nil {
			capacity = v.freeCapacity(e.plannedCordons())
		}
		if p.RentFirst {
			next = Renting
		} else if reason := e.blockedReason(v, p, s.Machine, capacity); reason != "" {
			p.runtime[i].blockedReason = reason
			return // steps start in the plan's order
		}
		busy++
		zones[m.Machine.Zone]++
		capacity.remove(s.Machine)
		p.setState(v.Now, i, next)
	}
}

// plannedCordons returns all machines that are to get no tasks, including those of steps that are not
// stored yet.
func (e *Engine) plannedCordons() map[model.MachineID]bool {
	return e.machinesToCordon(func(*Plan, model.MachineID) bool { return true })
}

// machinesToCordon returns the machines drained for their price, and those of plan steps in a cordoned
// state for which include is true.
func (e *Engine) machinesToCordon(include func(*Plan, model.MachineID) bool) map[model.MachineID]bool {
	out := maps.Clone(e.priceDrains)
	for _, p := range e.plans {
		for i := range p.Steps {
			if s := &p.Steps[i]; s.State.isCordoned() && include(p, s.Machine) {
				out[s.Machine] = true
			}
		}
	}
	return out
}

// advanceRenting rents a step's replacement, and starts draining once the replacement is ready and
// nothing blocks the step. A replacement that does not come up in time is given up, and another is
// rented.
func (e *Engine) advanceRenting(v *View, p *Plan, i int) {
	status, step := &p.runtime[i], &p.Steps[i]
	m := v.Machines[step.Machine].Machine
	if status.replacement != 0 {
		replacement, ok := v.Machines[status.replacement]
		switch {
		case p.Phase != Active: // a paused plan starts no drain
		case ok && replacement.Reported && replacement.Ready:
			if reason := e.blockedReason(v, p, step.Machine, v.freeCapacity(e.plannedCordons())); reason != "" {
				status.blockedReason = reason
				return
			}
			p.setState(v.Now, i, Draining)
		case v.Now-status.lastAnswerAt > 4*v.BootTime(m.Type)+20*time.Second:
			// The replacement never came up, or is gone: rent another.
			step.RentAttempt++
			p.setState(v.Now, i, Renting)
			p.runtime[i].replacement = 0
		default:
			status.blockedReason = "its replacement has not come up yet"
		}
		return
	}
	if !status.requestPending && p.Phase == Active && (status.lastAnswerAt == 0 ||
		v.Now-status.lastAnswerAt >= e.params.RetryInterval) {
		status.requestPending = true
		e.emit(Action{Kind: Rent, Machine: step.Machine, Template: m, Plan: p.Name, Step: i, Request: p.rentRequest(i)})
	}
}

// advanceReturning asks the cloud to take an empty machine back until it has done so. It checks the
// machine for tasks again, because a new leader may have placed some there before it read the plan. A
// machine with tasks is drained again, or abandoned if the plan was cancelled.
func (e *Engine) advanceReturning(v *View, p *Plan, i int) {
	status := &p.runtime[i]
	m := v.Machines[p.Steps[i].Machine]
	switch {
	case status.requestPending: // the cloud has not answered yet
	case m.Reported && m.AttemptCount > 0 && p.Phase == Cancelled:
		p.setState(v.Now, i, Abandoned)
	case m.Reported && m.AttemptCount > 0:
		p.setState(v.Now, i, Draining)
	case !e.isEmpty(v.Now, &m):
		status.blockedReason = "its controller has not told that it is empty"
	case status.lastAnswerAt == 0 || v.Now-status.lastAnswerAt >= time.Second:
		status.requestPending = true
		e.emit(Action{Kind: ReturnMachine, Machine: p.Steps[i].Machine})
	}
}

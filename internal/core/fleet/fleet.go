// Package fleet decides what machines to rent and which to give back. It is a
// state machine of the leader's; the cloud's answers come in as inputs.
package fleet

import (
	"fmt"
	"slices"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
)

// Params of a fleet.
type Params struct {
	Term              uint64
	TermStart         time.Duration // nothing could be heard of any machine before
	ListLag           time.Duration
	IdleReturn        time.Duration // an unneeded machine is given back after so long
	Horizon           time.Duration // waiting work should be done within so long
	RetryRefusedAfter time.Duration // a kind that was refused is asked for again after
	BestEffortWait    time.Duration // work that no aim speaks of waits so long for idle room
}

type machineKind struct {
	machineType, zone model.Name
	spot              bool
}

type machineState struct {
	machineKind
	knownSince        time.Duration // known since
	reported          bool          // its worker has reported
	lastListed        time.Duration // last time that it was listed
	firstListed       time.Duration // first time that it was, by this leader
	failed            bool
	leaseExpiredSince time.Duration // since when it is silent, 0: it is not
	returning         bool          // being returned
	draining          bool          // gets no tasks any more, and goes once it is empty
	planDraining      bool          // a plan drains it: neither room nor surplus
	planScheduled     bool          // a plan will drain it
	lastSeenCycle     uint64        // the turn in which a shard last told of it
}

// Action to carry out. The cloud's outcome comes back through Rented or Returned.
type Action struct {
	Kind        ActionKind
	RequestName string // Rent: the request's name
	Type        model.Name
	Zone        model.Name
	Spot        bool
	Count       int
	Machines    []model.MachineID
}

// ActionKind tells actions apart.
type ActionKind uint8

// Actions.
const (
	Return ActionKind = iota
	Rent
	Drain   // no more tasks for these machines
	Undrain // they are wanted again
)

// Fleet is the state machine.
type Fleet struct {
	params           Params
	types            []model.MachineType
	machines         map[model.MachineID]*machineState
	listed           bool
	refusedUntil     map[machineKind]time.Duration
	renting          map[string]Action // rentals under way, by their request's name
	returnInProgress bool
	unreachable      []model.MachineID                 // to be given up
	retries          []Action                          // rentals in doubt: asked for again
	gone             map[model.MachineID]time.Duration // given back; the list shows them for a while
	requestCount     uint64
	cycle            uint64
	lastShortageAt   time.Duration
	lastScarceAt     time.Duration // little room was free, or work lacked some
}

// New returns a fleet that knows no machines.
func New(p Params) *Fleet {
	return &Fleet{params: p, machines: map[model.MachineID]*machineState{}, renting: map[string]Action{},
		refusedUntil: map[machineKind]time.Duration{}, gone: map[model.MachineID]time.Duration{}}
}

// SetTypes takes the catalog with its current prices.
func (f *Fleet) SetTypes(t []model.MachineType) { f.types = t }

func (f *Fleet) typeOf(n model.Name) *model.MachineType {
	for i := range f.types {
		if f.types[i].Name == n {
			return &f.types[i]
		}
	}
	return nil
}

func (f *Fleet) ensureMachine(now time.Duration, id model.MachineID, k machineKind) *machineState {
	u := f.machines[id]
	if u == nil {
		u = &machineState{machineKind: k, knownSince: now}
		f.machines[id] = u
	}
	return u
}

// ListedMachine is an entry of the machine list.
type ListedMachine struct {
	ID     model.MachineID
	Type   model.Name
	Zone   model.Name
	Spot   bool
	Failed bool
	Age    time.Duration
}

// UpdateListed takes the machine list that was asked for then, and returns the machines
// that it shows to be gone. It describes a time up to twice its lag ago, so that
// absence alone proves nothing; but a machine, once listed, stays so until it is
// gone, and one that was listed long enough before the question was asked must
// be there.
func (f *Fleet) UpdateListed(now, askedAt time.Duration, listed []ListedMachine) []model.MachineID {
	f.listed = true
	for id, at := range f.gone {
		if now-at > 3*f.params.ListLag+time.Minute {
			delete(f.gone, id)
		}
	}
	for _, e := range listed {
		if _, ok := f.gone[e.ID]; ok {
			continue
		}
		u := f.machines[e.ID]
		if u == nil {
			u = f.ensureMachine(now, e.ID, machineKind{e.Type, e.Zone, e.Spot})
			u.knownSince = now - e.Age
		}
		// What a new leader first heard of by a report is older than that.
		u.knownSince = min(u.knownSince, now-e.Age)
		u.lastListed = now
		if u.firstListed == 0 {
			u.firstListed = now
		}
		u.failed = u.failed || e.Failed
	}
	var gone []model.MachineID
	for id, u := range f.machines {
		if u.firstListed != 0 && u.lastListed != now && askedAt-u.firstListed > 2*f.params.ListLag+listLagMargin {
			gone = append(gone, id)
			delete(f.machines, id)
			f.gone[id] = now
		}
	}
	slices.Sort(gone)
	return gone
}

// listLagMargin is on top of twice the list's lag, for drifting clocks and slow answers.
const listLagMargin = 5 * time.Second

// RentDone takes the outcome of a rental: the machines, or why there are none.
func (f *Fleet) RentDone(now time.Duration, a Action, rented []model.MachineID, refused, inDoubt bool) {
	delete(f.renting, a.RequestName)
	kind := machineKind{a.Type, a.Zone, a.Spot}
	switch {
	case inDoubt:
		// It may have been carried out: the same request again tells.
		f.retries = append(f.retries, a)
	case refused || len(rented) < a.Count:
		f.refusedUntil[kind] = now + f.params.RetryRefusedAfter
	}
	for _, id := range rented {
		f.ensureMachine(now, id, kind)
	}
}

// ReturnDone takes the outcome of a return.
func (f *Fleet) ReturnDone(now time.Duration, a Action, ok bool) {
	f.returnInProgress = false
	for _, id := range a.Machines {
		if ok {
			delete(f.machines, id)
			f.gone[id] = now
		} else if u := f.machines[id]; u != nil {
			u.returning = false
		}
	}
}

const (
	maxConcurrentRentals = 3  // rentals under way
	maxRentCount         = 50 // machines the cloud rents in one call
)

// MaxReturn is how many machines the cloud takes back in one call.
const MaxReturn = 100

// Demand is what the dealer needs.
type Demand struct {
	Job    dispatcher.JobDemand
	Placed int32 // of its tasks are on machines
}

// Observe brings the fleet up to date with the shards' machines.
func (f *Fleet) Observe(now time.Duration, status []model.MachineStatus, leaseExpired func(model.MachineID) bool) {
	for i := range status {
		m := &status[i].Machine
		f.ensureMachine(now, m.ID, machineKind{m.Type, m.Zone, m.Spot})
	}
	for id, u := range f.machines {
		if !leaseExpired(id) {
			u.reported, u.leaseExpiredSince = true, 0
		} else if u.reported && u.leaseExpiredSince == 0 {
			u.leaseExpiredSince = now
		}
	}
}

// Step returns what to ask of the cloud now.
func (f *Fleet) Step(now time.Duration, status []model.MachineStatus, demand []Demand,
	limit func(model.Name) model.Resources) []Action {
	if !f.listed || len(f.types) == 0 {
		return nil
	}
	var out []Action
	for _, a := range f.retries {
		f.renting[a.RequestName] = a
		out = append(out, a)
	}
	f.retries = nil
	machines := f.availableMachines(now, status)
	rentable := f.rentableDemand(now, demand)
	shortages := findShortages(machines, rentable, limit)
	if len(shortages) > 0 {
		f.lastShortageAt, f.lastScarceAt = now, now
		var undrained []Action
		undrained, shortages = f.undrainActions(status, shortages)
		out = append(out, undrained...)
	}
	movingCPU := f.movingCPU(status)
	out = append(out, f.drainActions(now, machines, movingCPU)...)
	remaining := shortages
	for len(f.renting) < maxConcurrentRentals && len(remaining) > 0 {
		a, ok := f.selectRental(now, remaining)
		if !ok {
			break
		}
		f.renting[a.RequestName] = a
		out = append(out, a)
		remaining = f.shortagesAfterRental(remaining, a)
	}
	if !f.returnInProgress {
		ids := f.selectUnreachable()
		if len(ids) == 0 {
			ids = f.selectReturns(now, status, machines, demandIsLow(machines, demand), movingCPU)
		}
		if len(ids) > 0 {
			out = append(out, Action{Kind: Return, Machines: ids})
			f.returnInProgress = true
		}
	}
	return out
}

// hourlyCPUCost is what a machine's CPU costs an hour, boot time included in
// proportion.
func hourlyCPUCost(t *model.MachineType, spot bool) float64 {
	price := t.Price
	if spot {
		price = t.SpotPrice
	}
	return price / float64(t.Cap.CPU) * (1 + t.Boot.Minutes()/4)
}

// minCPUCost is the least that a CPU costs.
func (f *Fleet) minCPUCost() float64 {
	minCost := 0.0
	for i := range f.types {
		for _, spot := range []bool{true, false} {
			if cost := hourlyCPUCost(&f.types[i], spot); minCost == 0 || cost < minCost {
				minCost = cost
			}
		}
	}
	return minCost
}

// tasksWorthRenting is how many tasks justify a machine at this price: the dearer it is,
// the longer work may wait for room that there is already.
func (f *Fleet) tasksWorthRenting(missing shortage, costRatio float64) int64 {
	if missing.fitsNoMachine {
		return missing.tasks
	}
	horizon := time.Duration(float64(f.params.Horizon) * costRatio)
	if estimate := missing.spec.Estimate; estimate > 0 && estimate < horizon {
		return int64(float64(missing.tasks) * float64(estimate) / float64(horizon))
	}
	return missing.tasks
}

// selectRental picks the cheapest kind of machine for the work that lacks room.
func (f *Fleet) selectRental(now time.Duration, shortages []shortage) (Action, bool) {
	minCost := f.minCPUCost()
	counts := f.countByKind()
	total := 0
	for _, n := range counts {
		total += n
	}
	for _, missing := range shortages {
		var best *machineKind
		var bestCost, costRatio float64
		for i := range f.types {
			t := &f.types[i]
			if missing.spec.PerTask.Count(t.Cap) == 0 {
				continue
			}
			for _, zone := range t.Zones {
				for _, spot := range []bool{true, false} {
					kind := machineKind{t.Name, zone, spot}
					m := model.Machine{Type: t.Name, Zone: zone, Spot: spot}
					if !missing.spec.Allows(&m) || now < f.refusedUntil[kind] {
						continue
					}
					// Among equals spread over the zones, however many there are.
					cost := hourlyCPUCost(t, spot) * (1 + 0.2*float64(counts[kind])/float64(total+10))
					if best == nil || cost < bestCost {
						best, bestCost, costRatio = &kind, cost, max(1, hourlyCPUCost(t, spot)/minCost)
					}
				}
			}
		}
		if best == nil {
			continue
		}
		var worthCPU, totalCPU int64
		for _, other := range shortages {
			m := model.Machine{Type: best.machineType, Zone: best.zone, Spot: best.spot}
			if other.spec.Allows(&m) {
				worthCPU += f.tasksWorthRenting(other, costRatio) * other.spec.PerTask.CPU
				totalCPU += other.tasks * other.spec.PerTask.CPU
			}
		}
		size := f.typeOf(best.machineType).Cap.CPU
		count := (worthCPU + size/2) / size
		if count == 0 && worthCPU > 0 && counts[*best] == 0 && totalCPU >= size {
			count = 1
		}
		if count == 0 && missing.fitsNoMachine {
			count = 1
		}
		if count == 0 {
			continue
		}
		f.requestCount++
		return Action{Kind: Rent, RequestName: fmt.Sprintf("t%d-%d", f.params.Term, f.requestCount), Type: best.machineType,
			Zone: best.zone, Spot: best.spot, Count: int(min(count, max(4, count/3), maxRentCount))}, true
	}
	return Action{}, false
}

// countByKind are the machines of each kind, those asked for included.
func (f *Fleet) countByKind() map[machineKind]int {
	n := map[machineKind]int{}
	for _, u := range f.machines {
		n[u.machineKind]++
	}
	for _, a := range f.renting {
		n[machineKind{a.Type, a.Zone, a.Spot}] += a.Count
	}
	return n
}

// demandIsLow tells that open work has become little beside the machines: a day
// ends, and what is idle will hardly be wanted soon.
func demandIsLow(machines []availableMachine, demand []Demand) bool {
	var demandCPU, totalCPU int64
	for i := range demand {
		demandCPU += int64(demand[i].Job.Unfinished) * demand[i].Job.Spec.PerTask.CPU
	}
	for i := range machines {
		totalCPU += machines[i].machine.Cap.CPU
	}
	return demandCPU < totalCPU/8
}

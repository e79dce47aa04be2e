// Package fleet decides which machines to rent from the cloud, which to drain because they are
// expensive, and which to return. It is a state machine of the leader, which does no I/O: the
// shards' machine statuses, the demand and the cloud's answers are passed in, and the requests to
// the cloud are returned as actions.
package fleet

import (
	"fmt"
	"slices"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
)

// Params are the parameters of a Fleet.
type Params struct {
	Term              uint64
	TermStart         time.Duration // no machine can have reported to this leader before
	ListLag           time.Duration // delay of the cloud's machine list; see UpdateListed
	IdleReturn        time.Duration // an unneeded machine is returned after this time
	Horizon           time.Duration // waiting work should be done within this time
	RetryRefusedAfter time.Duration // a refused kind of machine is requested again after this time
	BestEffortWait    time.Duration // best-effort work waits so long for idle capacity before machines are rented for it
}

// machineKind is what a rental chooses: machines of a kind are interchangeable.
type machineKind struct {
	machineType, zone model.Name
	spot              bool
}

// machineState is what the fleet knows about one machine.
type machineState struct {
	machineKind
	knownSince        time.Duration // since when it exists, as far as known
	reported          bool          // its worker has reported to this leader
	lastListed        time.Duration // when the cloud's list last contained it
	firstListed       time.Duration // when this leader first read a list that contained it; 0: never
	failed            bool
	leaseExpiredSince time.Duration // since when no shard has renewed its lease; 0: renewed
	returning         bool          // being returned to the cloud
	draining          bool          // drained for its price: gets no tasks, and is returned once empty
	planDraining      bool          // a plan drains it: counts neither as capacity nor as surplus
	planScheduled     bool          // a plan will drain it later
	lastSeenCycle     uint64        // the cycle in which a shard last reported it
}

// Action is a request to carry out. The outcome comes back through RentDone or ReturnDone.
type Action struct {
	Kind        ActionKind
	RequestName string // Rent: makes retries idempotent at the cloud
	Type        model.Name
	Zone        model.Name
	Spot        bool
	Count       int
	Machines    []model.MachineID
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	Return ActionKind = iota
	Rent
	Drain   // place no more tasks on these machines
	Undrain // place tasks on these machines again
)

// Fleet is the state machine that the package comment describes.
type Fleet struct {
	params           Params
	types            []model.MachineType
	machines         map[model.MachineID]*machineState
	listed           bool // a machine list has been read
	refusedUntil     map[machineKind]time.Duration
	renting          map[string]Action // rentals in progress, by request name
	returnInProgress bool
	unreachable      []model.MachineID                 // machines to return before their leases have expired
	retries          []Action                          // rentals with an unknown outcome, to be requested again
	gone             map[model.MachineID]time.Duration // returned or gone; the list may contain them for a while
	requestCount     uint64
	cycle            uint64
	lastShortageAt   time.Duration         // when there were shortages
	lastScarceAt     time.Duration         // when little capacity was free, or there were shortages
	stalls           map[model.JobID]stall // of the jobs with shortages
}

// New returns a Fleet that knows no machines.
func New(p Params) *Fleet {
	return &Fleet{params: p, machines: map[model.MachineID]*machineState{}, renting: map[string]Action{},
		refusedUntil: map[machineKind]time.Duration{}, gone: map[model.MachineID]time.Duration{},
		stalls: map[model.JobID]stall{}}
}

// SetTypes sets the cloud's machine types with their current prices.
func (f *Fleet) SetTypes(t []model.MachineType) { f.types = t }

// typeOf returns the catalog's entry of a type, nil if there is none.
func (f *Fleet) typeOf(n model.Name) *model.MachineType {
	for i := range f.types {
		if f.types[i].Name == n {
			return &f.types[i]
		}
	}
	return nil
}

// ensureMachine returns the state of a machine, which it creates if necessary.
func (f *Fleet) ensureMachine(now time.Duration, id model.MachineID, k machineKind) *machineState {
	state := f.machines[id]
	if state == nil {
		state = &machineState{machineKind: k, knownSince: now}
		f.machines[id] = state
	}
	return state
}

// ListedMachine is an entry of the cloud's machine list.
type ListedMachine struct {
	ID     model.MachineID
	Type   model.Name
	Zone   model.Name
	Spot   bool
	Failed bool
	Age    time.Duration
}

// UpdateListed takes the cloud's machine list, requested at askedAt, and returns the machines that
// no longer exist. The list may show a state of up to twice its lag ago, so a machine that is
// missing may only be too new. But a machine stays listed until it is gone, so one that was listed
// long enough before askedAt and is missing now is gone.
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
		state := f.machines[e.ID]
		if state == nil {
			state = f.ensureMachine(now, e.ID, machineKind{e.Type, e.Zone, e.Spot})
			state.knownSince = now - e.Age
		}
		// A new leader may know a machine from a report first; its age says since when it exists.
		state.knownSince = min(state.knownSince, now-e.Age)
		state.lastListed = now
		if state.firstListed == 0 {
			state.firstListed = now
		}
		state.failed = state.failed || e.Failed
	}
	var gone []model.MachineID
	for id, state := range f.machines {
		if state.firstListed != 0 && state.lastListed != now && askedAt-state.firstListed > 2*f.params.ListLag+listLagMargin {
			gone = append(gone, id)
			delete(f.machines, id)
			f.gone[id] = now
		}
	}
	slices.Sort(gone)
	return gone
}

// listLagMargin is added to twice the list's lag, for clock drift and slow answers.
const listLagMargin = 5 * time.Second

// RentDone takes the outcome of a rental: the rented machines, which may be fewer than requested,
// or that it was refused, or that its outcome is unknown (inDoubt).
func (f *Fleet) RentDone(now time.Duration, a Action, rented []model.MachineID, refused, inDoubt bool) {
	delete(f.renting, a.RequestName)
	kind := machineKind{a.Type, a.Zone, a.Spot}
	switch {
	case inDoubt:
		// It may have been carried out: the same request name returns its result.
		f.retries = append(f.retries, a)
	case refused || len(rented) < a.Count:
		f.refusedUntil[kind] = now + f.params.RetryRefusedAfter
	}
	for _, id := range rented {
		f.ensureMachine(now, id, kind)
	}
}

// ReturnDone takes the outcome of a Return action.
func (f *Fleet) ReturnDone(now time.Duration, a Action, ok bool) {
	f.returnInProgress = false
	for _, id := range a.Machines {
		if ok {
			delete(f.machines, id)
			f.gone[id] = now
		} else if state := f.machines[id]; state != nil {
			state.returning = false
		}
	}
}

const (
	maxConcurrentRentals = 3  // rentals in progress at the same time
	maxRentCount         = 50 // machines that the cloud rents in one call
)

// MaxReturn is the number of machines that the cloud takes back in one call.
const MaxReturn = 100

// Demand is a job that needs capacity.
type Demand struct {
	Job    dispatcher.JobDemand
	Placed int32 // number of its tasks that are on machines
}

// Observe updates the fleet with the shards' machines. leaseExpired reports whether no shard has
// renewed a machine's lease for its whole length.
func (f *Fleet) Observe(now time.Duration, status []model.MachineStatus, leaseExpired func(model.MachineID) bool) {
	for i := range status {
		m := &status[i].Machine
		f.ensureMachine(now, m.ID, machineKind{m.Type, m.Zone, m.Spot})
	}
	for id, state := range f.machines {
		if !leaseExpired(id) {
			state.reported, state.leaseExpiredSince = true, 0
		} else if state.reported && state.leaseExpiredSince == 0 {
			state.leaseExpiredSince = now
		}
	}
}

// Step returns the actions to carry out now. limit returns a team's limit.
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
	f.markStalled(now, shortages, rentable)
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

// hourlyCPUCost returns the price of one CPU for an hour, raised in proportion to the boot time.
func hourlyCPUCost(t *model.MachineType, spot bool) float64 {
	price := t.Price
	if spot {
		price = t.SpotPrice
	}
	return price / float64(t.Cap.CPU) * (1 + t.Boot.Minutes()/4)
}

// minCPUCost returns the lowest hourly cost of a CPU.
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

// tasksWorthRenting returns for how many of the missing tasks machines should be rented whose CPU
// costs costRatio times the lowest. The more expensive they are, the longer tasks may wait for
// existing machines: short tasks count only in part.
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

// selectRental picks the cheapest allowed kind of machine for the first shortage that is worth a
// rental, and the number of machines for all shortages that can use that kind.
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
			for _, zone := range t.Zones {
				for _, spot := range []bool{true, false} {
					kind := machineKind{t.Name, zone, spot}
					m := model.Machine{Type: t.Name, Zone: zone, Spot: spot, Cap: t.Cap}
					if !missing.mayUse(&m) || now < f.refusedUntil[kind] {
						continue
					}
					// Kinds of equal cost are spread over the zones, in proportion to the machines rented.
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
		size := f.typeOf(best.machineType).Cap
		for _, other := range shortages {
			m := model.Machine{Type: best.machineType, Zone: best.zone, Spot: best.spot, Cap: size}
			if other.mayUse(&m) {
				other.tasks = min(other.tasks, other.zones.Room(best.zone))
				perTask := cpuShare(other.spec.PerTask, size)
				worthCPU += f.tasksWorthRenting(other, costRatio) * perTask
				totalCPU += other.tasks * perTask
			}
		}
		count := (worthCPU + size.CPU/2) / size.CPU
		if count == 0 && worthCPU > 0 && counts[*best] == 0 && totalCPU >= size.CPU {
			count = 1
		}
		if count == 0 && (missing.fitsNoMachine || missing.stalled) {
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

// cpuShare returns how much of the CPU of a machine of the given size a task counts for: what it uses, but
// no less than its share of the attempts that the machine may have.
func cpuShare(perTask, size model.Resources) int64 {
	return max(perTask.CPU, size.CPU*perTask.Attempts/max(1, size.Attempts))
}

// countByKind counts the machines of each kind, including those being rented.
func (f *Fleet) countByKind() map[machineKind]int {
	n := map[machineKind]int{}
	for _, state := range f.machines {
		n[state.machineKind]++
	}
	for _, a := range f.renting {
		n[machineKind{a.Type, a.Zone, a.Spot}] += a.Count
	}
	return n
}

// demandIsLow reports whether the unfinished work is small compared to the machines, as at the end
// of a day: idle machines will hardly be needed soon.
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

package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/fleet"
	"honeylock/internal/core/model"
	"honeylock/internal/core/writequota"
	"honeylock/internal/wire"
)

// rentalManager is the leader's component that rents machines and returns them to the cloud.
type rentalManager struct {
	lead          *leadership
	fleet         *fleet.Fleet
	lastFleetRun  time.Duration
	fleetDuration time.Duration // of the fleet's last run, which covers all open jobs and all machines
	// returningUnaccounted is set once the unaccounted machines are being returned.
	returningUnaccounted bool
}

// read does nothing: this component stores nothing, since the machines are known from the cloud's
// list and the workers' reports.
func (rm *rentalManager) read(context.Context) (func(time.Duration) error, error) {
	return func(time.Duration) error { return nil }, nil
}

// tick returns unaccounted machines if few are left, and runs the fleet, less often the longer a run
// takes.
func (rm *rentalManager) tick(now time.Duration) {
	rm.returnUnaccounted(now)
	if now-rm.lastFleetRun >= max(500*time.Millisecond, 8*rm.fleetDuration) {
		rm.lastFleetRun = now
		rm.runFleet(now)
		rm.fleetDuration = rm.lead.node.now() - now
	}
}

// writes returns nothing: this component stores nothing.
func (rm *rentalManager) writes(time.Duration, writequota.Class, int) []storeWrite { return nil }

const (
	// unaccountedShareEarly and unaccountedShareLate are the largest shares of all machines
	// that are returned because they are unaccounted. The smaller one applies once all of these
	// machines have left a command unanswered, the larger one once every live worker must have
	// reported. The machines of a zone that is cut off exceed both, so the leader waits for
	// their leases to expire.
	unaccountedShareEarly = 0.02
	unaccountedShareLate  = 0.15
	// rentMaxOpenJobsAge is how long ago the open jobs may have been read for the leader to rent
	// machines. A machine gets tasks only once its record is stored, which is not possible while
	// the state service does not answer.
	rentMaxOpenJobsAge = 15 * time.Second
)

// returnUnaccounted returns the machines of earlier terms whose workers neither report nor answer
// commands, if they are few. All jobs of earlier terms wait until these machines are accounted for, and
// a few machines are worth less than that wait. Returning them ends it sooner than the expiry of their
// leases would, because a returned machine is certainly gone.
func (rm *rentalManager) returnUnaccounted(now time.Duration) {
	if rm.lead.dispatchLoop.recovered || rm.returningUnaccounted {
		return
	}
	waited := now - rm.lead.loadedAt
	share := 0.0
	switch {
	case waited > config.Seconds(1.25*rm.lead.node.cfg.Cluster.Workers.ReportS)+2250*time.Millisecond:
		share = unaccountedShareLate
	case rm.lead.dispatcher.AllUnaccountedUnresponsive():
		share = unaccountedShareEarly
	default:
		return
	}
	ids := rm.lead.dispatcher.UnaccountedMachines(share)
	if len(ids) == 0 {
		return
	}
	rm.returningUnaccounted = true
	rm.lead.node.log.Info("returning machines that can't be reached", "count", len(ids))
	for batch := range slices.Chunk(ids, fleet.MaxReturn) {
		go rm.returnMachines(fleet.Action{Kind: fleet.Return, Machines: batch}, nil)
	}
}

// runFleet updates the fleet with the machines and the demand, and carries out what it decides.
func (rm *rentalManager) runFleet(now time.Duration) {
	status := rm.lead.dispatcher.MachineStatuses()
	rm.fleet.Observe(now, status, rm.lead.dispatcher.LeaseExpired)
	if rm.shouldReturnUnreachable() {
		rm.fleet.SetUnreachable(rm.lead.dispatcher.UnreachableMachines())
	}
	var demand []fleet.Demand
	for _, jobDemand := range rm.lead.dispatcher.Demand() {
		demand = append(demand, fleet.Demand{Job: jobDemand,
			Placed: jobDemand.Assigned - int32(rm.lead.dispatcher.TaskCounts(jobDemand.Spec.ID).Waiting)})
	}
	for _, a := range rm.fleet.Step(now, status, demand, rm.lead.dispatcher.TeamLimit) {
		switch a.Kind {
		case fleet.Drain:
			rm.lead.drains.engine.DrainForPrice(a.Machines)
		case fleet.Undrain:
			rm.lead.drains.engine.CancelPriceDrain(a.Machines)
		case fleet.Return:
			for _, id := range a.Machines {
				rm.lead.dispatcher.SetUsable(id, false)
			}
			go rm.returnMachines(a, nil)
		case fleet.Rent:
			if now-rm.lead.dispatchLoop.openJobsAsOf > rentMaxOpenJobsAge {
				rm.fleet.RentDone(now, a, nil, true, false)
				continue
			}
			go rm.rent(a)
		}
	}
	rm.lead.node.requestCycle()
}

// shouldReturnUnreachable reports whether unreachable machines should be returned before their leases
// expire. That is so if a lease lasts much longer than it takes to detect that a worker does not answer:
// then the worker's tasks should not wait for the expiry.
func (rm *rentalManager) shouldReturnUnreachable() bool {
	params := rm.lead.node.shardParams()
	return params.MaxLease-params.OverdueAfter()-directTimeout > 15*time.Second
}

// returnMachines returns machines to the cloud. onDone, if not nil, is then called under the lock
// with whether that succeeded.
func (rm *rentalManager) returnMachines(a fleet.Action, onDone func(now time.Duration, ok bool)) {
	n := rm.lead.node
	names := make([]string, len(a.Machines))
	for i, id := range a.Machines {
		names[i] = wire.MachineName(id)
	}
	err := errTermOver
	if rm.lead.stillLeading() { // this process may have been paused since the decision
		err = n.cloud.Return(rm.lead.ctx, names)
	}
	n.log.Info("machines returned", "machines", names, "err", err)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	rm.fleet.ReturnDone(now, a, err == nil)
	for _, id := range a.Machines {
		if err == nil {
			rm.lead.dispatcher.MachineGone(id)
		} else {
			rm.lead.dispatcher.SetUsable(id, true)
		}
	}
	if onDone != nil {
		onDone(now, err == nil)
	}
	if n.lead == rm.lead {
		n.requestCycle()
	}
}

// rent rents machines for the fleet and passes it the outcome.
func (rm *rentalManager) rent(a fleet.Action) {
	got, refused, uncertain := rm.rentMachines(a.RequestName, model.Machine{Type: a.Type, Zone: a.Zone, Spot: a.Spot},
		a.Count)
	rm.lead.node.mu.Lock()
	defer rm.lead.node.mu.Unlock()
	rm.fleet.RentDone(rm.lead.node.now(), a, got, refused, uncertain)
}

// rentMachines rents machines like the template. name identifies the request, so that repeating it
// rents nothing twice; it is used for no other rental. refused and uncertain are as for
// rentFromCloud. Called without the lock.
func (rm *rentalManager) rentMachines(name string, template model.Machine,
	count int) (got []model.MachineID, refused, uncertain bool) {
	n := rm.lead.node
	n.mu.Lock()
	r := wire.Rental{Request: name, Type: n.names.Types.Name(template.Type), Zone: n.names.Zones.Name(template.Zone),
		Spot: template.Spot, Count: count}
	n.mu.Unlock()
	if !rm.lead.stillLeading() {
		return nil, false, true
	}
	return n.rentFromCloud(rm.lead.ctx, r)
}

// run lists the cloud's machines every few seconds, and drops machines that are no longer there.
func (rm *rentalManager) run() {
	n := rm.lead.node
	for rm.lead.ctx.Err() == nil {
		askedAt := n.now()
		list, err := n.cloud.List(rm.lead.ctx)
		if rm.lead.ctx.Err() == nil {
			n.failures.record("failed to read the list of machines", err)
		}
		if err != nil {
			sleep(rm.lead.ctx, time.Second)
			continue
		}
		n.mu.Lock()
		var machines []fleet.ListedMachine
		for _, m := range list {
			id, err := wire.ParseMachine(m.Name)
			if err != nil {
				continue
			}
			machines = append(machines, fleet.ListedMachine{ID: id, Type: n.names.Types.ID(m.Type),
				Zone:   n.names.Zones.ID(m.Zone),
				Spot:   m.Spot,
				Failed: m.Stage == "failed", Age: config.Seconds(m.AgeS)})
		}
		slices.SortFunc(machines, func(a, b fleet.ListedMachine) int { return cmp.Compare(a.ID, b.ID) })
		removed := rm.fleet.UpdateListed(n.now(), askedAt, machines)
		for _, id := range removed {
			rm.lead.dispatcher.MachineGone(id)
		}
		if n.lead == rm.lead && len(removed) > 0 {
			n.log.Info("machines gone from the list", "count", len(removed))
			n.requestCycle()
		}
		n.mu.Unlock()
		sleep(rm.lead.ctx, 4*time.Second)
	}
}

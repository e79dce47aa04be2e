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

// renting is the leader's part that rents machines and gives them back.
type renting struct {
	l       *leadership
	f       *fleet.Fleet
	fleeted time.Duration
	cost    time.Duration // of the fleet's last turn: it looks at all that is open, and at all machines
	// settling: machines that can't be reached are being returned.
	settling bool
}

// read has nothing to get: the cloud's list and the workers' reports tell all.
func (p *renting) read(context.Context) (func(time.Duration) error, error) {
	return func(time.Duration) error { return nil }, nil
}

func (p *renting) tick(now time.Duration) {
	p.settleUnseen(now)
	if now-p.fleeted >= max(500*time.Millisecond, 8*p.cost) {
		p.fleeted = now
		p.runFleet(now)
		p.cost = p.l.n.now() - now
	}
}

func (p *renting) writes(time.Duration, writequota.Class, int) []write { return nil }

const (
	// Of all machines, a part that may be given up for the rest: the few that
	// answer no command; more once every worker that lives has reported, too.
	// A zone that is cut off is more than that, and waits for its leases.
	fewUnseen  = 0.02
	someUnseen = 0.15
	// A leader that has not heard of the state service for so long rents nothing: a machine
	// gets tasks only once its record is stored.
	blind = 15 * time.Second
)

// settleUnseen returns the machines of earlier terms that answer neither
// reports nor commands, if they are few. All old jobs wait for them, so they
// are worth less than the time until their leases are over: once returned they
// are surely gone.
func (p *renting) settleUnseen(now time.Duration) {
	if p.l.deals.healed || p.settling {
		return
	}
	waited := now - p.l.loadedAt
	share := 0.0
	switch {
	case waited > config.Seconds(1.25*p.l.n.cfg.Cluster.Workers.ReportS)+2250*time.Millisecond:
		share = someUnseen
	case p.l.d.AllUnaccountedUnresponsive():
		share = fewUnseen
	default:
		return
	}
	ids := p.l.d.UnaccountedMachines(share)
	if len(ids) == 0 {
		return
	}
	p.settling = true
	p.l.n.log.Info("returning machines that can't be reached", "count", len(ids))
	for some := range slices.Chunk(ids, fleet.MaxReturn) {
		go p.giveBack(fleet.Action{Kind: fleet.Return, Machines: some}, nil)
	}
}

func (p *renting) runFleet(now time.Duration) {
	status := p.l.d.MachineStatuses()
	p.f.Observe(now, status, p.l.d.LeaseExpired)
	if p.worthGivingUp() {
		p.f.SetUnreachable(p.l.d.UnreachableMachines())
	}
	var demand []fleet.Demand
	for _, need := range p.l.d.Demand() {
		demand = append(demand, fleet.Demand{Job: need, Placed: need.Assigned - int32(p.l.d.TaskCounts(need.Spec.ID).Waiting)})
	}
	for _, a := range p.f.Step(now, status, demand, p.l.d.TeamLimit) {
		switch a.Kind {
		case fleet.Drain:
			p.l.drains.e.DrainForPrice(a.Machines)
		case fleet.Undrain:
			p.l.drains.e.CancelPriceDrain(a.Machines)
		case fleet.Return:
			for _, id := range a.Machines {
				p.l.d.SetUsable(id, false)
			}
			go p.giveBack(a, nil)
		case fleet.Rent:
			if now-p.l.deals.fresh > blind {
				p.f.RentDone(now, a, nil, true, false)
				continue
			}
			go p.rent(a)
		}
	}
	p.l.n.soon()
}

// worthGivingUp tells whether the lease of a worker that does not answer lasts so
// much longer than it takes to find that out that its work should not wait for it.
func (p *renting) worthGivingUp() bool {
	s := p.l.n.shardParams()
	return s.MaxLease-s.OverdueAfter()-directTimeout > 15*time.Second
}

// giveBack returns machines to the cloud. told, if it is given, hears under the lock
// whether it has them.
func (p *renting) giveBack(a fleet.Action, told func(now time.Duration, ok bool)) {
	n := p.l.n
	names := make([]string, len(a.Machines))
	for i, id := range a.Machines {
		names[i] = wire.MachineName(id)
	}
	err := errTermOver
	if p.l.leads() { // it may have stood still since this was decided
		err = n.cloud.Return(p.l.ctx, names)
	}
	n.log.Info("machines returned", "machines", names, "err", err)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	p.f.ReturnDone(now, a, err == nil)
	for _, id := range a.Machines {
		if err == nil {
			p.l.d.MachineGone(id)
		} else {
			p.l.d.SetUsable(id, true)
		}
	}
	if told != nil {
		told(now, err == nil)
	}
	if n.lead == p.l {
		n.soon()
	}
}

func (p *renting) rent(a fleet.Action) {
	got, refused, doubt := p.ask(a.RequestName, model.Machine{Type: a.Type, Zone: a.Zone, Spot: a.Spot}, a.Count)
	p.l.n.mu.Lock()
	defer p.l.n.mu.Unlock()
	p.f.RentDone(p.l.n.now(), a, got, refused, doubt)
}

// ask asks the cloud for machines like one, under a name that is used for nothing
// else. It is called without the lock.
func (p *renting) ask(name string, like model.Machine, count int) (got []model.MachineID, refused, doubt bool) {
	n := p.l.n
	n.mu.Lock()
	r := wire.Rental{Request: name, Type: n.names.Types.Name(like.Type), Zone: n.names.Zones.Name(like.Zone),
		Spot: like.Spot, Count: count}
	n.mu.Unlock()
	if !p.l.leads() {
		return nil, false, true
	}
	return n.rent(p.l.ctx, r)
}

// run keeps the machine list.
func (p *renting) run() {
	n := p.l.n
	for p.l.ctx.Err() == nil {
		asked := n.now()
		list, err := n.cloud.List(p.l.ctx)
		if p.l.ctx.Err() == nil {
			n.complaints.note("machine list not read", err)
		}
		if err != nil {
			sleep(p.l.ctx, time.Second)
			continue
		}
		n.mu.Lock()
		var out []fleet.ListedMachine
		for _, m := range list {
			id, err := wire.ParseMachine(m.Name)
			if err != nil {
				continue
			}
			out = append(out, fleet.ListedMachine{ID: id, Type: n.names.Types.ID(m.Type), Zone: n.names.Zones.ID(m.Zone), Spot: m.Spot,
				Failed: m.Stage == "failed", Age: config.Seconds(m.AgeS)})
		}
		slices.SortFunc(out, func(a, b fleet.ListedMachine) int { return cmp.Compare(a.ID, b.ID) })
		gone := p.f.UpdateListed(n.now(), asked, out)
		for _, id := range gone {
			p.l.d.MachineGone(id)
		}
		if n.lead == p.l && len(gone) > 0 {
			n.log.Info("machines gone from the list", "count", len(gone))
			n.soon()
		}
		n.mu.Unlock()
		sleep(p.l.ctx, 4*time.Second)
	}
}

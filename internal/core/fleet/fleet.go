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

type kind struct {
	typ, zone model.Name
	spot      bool
}

type unit struct {
	kind
	since  time.Duration // known since
	heard  bool          // its worker has reported
	listed time.Duration // last time that it was listed
	first  time.Duration // first time that it was, by this leader
	failed bool
	silent time.Duration // since when it is silent, 0: it is not
	drop   bool          // being returned
	drain  bool          // gets no tasks any more, and goes once it is empty
	held   bool          // a plan drains it: neither room nor surplus
	wanted bool          // a plan will drain it
	up     uint64        // the turn in which a shard last told of it
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
	p       Params
	types   []model.MachineType
	units   map[model.MachineID]*unit
	listed  bool
	refused map[kind]time.Duration
	renting map[string]Action // rentals under way, by their request's name
	giving  bool
	deaf    []model.MachineID                 // to be given up
	again   []Action                          // rentals in doubt: asked for again
	gone    map[model.MachineID]time.Duration // given back; the list shows them for a while
	n       uint64
	turn    uint64
	want    time.Duration
	tight   time.Duration // little room was free, or work lacked some
}

// New returns a fleet that knows no machines.
func New(p Params) *Fleet {
	return &Fleet{p: p, units: map[model.MachineID]*unit{}, renting: map[string]Action{}, refused: map[kind]time.Duration{}, gone: map[model.MachineID]time.Duration{}}
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

func (f *Fleet) unit(now time.Duration, id model.MachineID, k kind) *unit {
	u := f.units[id]
	if u == nil {
		u = &unit{kind: k, since: now}
		f.units[id] = u
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
func (f *Fleet) UpdateListed(now, asked time.Duration, l []ListedMachine) []model.MachineID {
	f.listed = true
	for id, at := range f.gone {
		if now-at > 3*f.p.ListLag+time.Minute {
			delete(f.gone, id)
		}
	}
	for _, e := range l {
		if _, ok := f.gone[e.ID]; ok {
			continue
		}
		u := f.units[e.ID]
		if u == nil {
			u = f.unit(now, e.ID, kind{e.Type, e.Zone, e.Spot})
			u.since = now - e.Age
		}
		// What a new leader first heard of by a report is older than that.
		u.since = min(u.since, now-e.Age)
		u.listed = now
		if u.first == 0 {
			u.first = now
		}
		u.failed = u.failed || e.Failed
	}
	var gone []model.MachineID
	for id, u := range f.units {
		if u.first != 0 && u.listed != now && asked-u.first > 2*f.p.ListLag+listMargin {
			gone = append(gone, id)
			delete(f.units, id)
			f.gone[id] = now
		}
	}
	slices.Sort(gone)
	return gone
}

// listMargin is on top of twice the list's lag, for drifting clocks and slow answers.
const listMargin = 5 * time.Second

// RentDone takes the outcome of a rental: the machines, or why there are none.
func (f *Fleet) RentDone(now time.Duration, a Action, got []model.MachineID, refused, doubt bool) {
	delete(f.renting, a.RequestName)
	k := kind{a.Type, a.Zone, a.Spot}
	switch {
	case doubt:
		// It may have been carried out: the same request again tells.
		f.again = append(f.again, a)
	case refused || len(got) < a.Count:
		f.refused[k] = now + f.p.RetryRefusedAfter
	}
	for _, id := range got {
		f.unit(now, id, k)
	}
}

// ReturnDone takes the outcome of a return.
func (f *Fleet) ReturnDone(now time.Duration, a Action, ok bool) {
	f.giving = false
	for _, id := range a.Machines {
		if ok {
			delete(f.units, id)
			f.gone[id] = now
		} else if u := f.units[id]; u != nil {
			u.drop = false
		}
	}
}

const (
	atOnce  = 3  // rentals under way
	maxRent = 50 // machines the cloud rents in one call
)

// MaxReturn is how many machines the cloud takes back in one call.
const MaxReturn = 100

// Demand is what the dealer needs.
type Demand struct {
	Job    dispatcher.JobDemand
	Placed int32 // of its tasks are on machines
}

// Observe brings the fleet up to date with the shards' machines.
func (f *Fleet) Observe(now time.Duration, status []model.MachineStatus, silent func(model.MachineID) bool) {
	for i := range status {
		m := &status[i].Machine
		f.unit(now, m.ID, kind{m.Type, m.Zone, m.Spot})
	}
	for id, u := range f.units {
		if !silent(id) {
			u.heard, u.silent = true, 0
		} else if u.heard && u.silent == 0 {
			u.silent = now
		}
	}
}

// Step returns what to ask of the cloud now.
func (f *Fleet) Step(now time.Duration, status []model.MachineStatus, demand []Demand, limit func(model.Name) model.Resources) []Action {
	if !f.listed || len(f.types) == 0 {
		return nil
	}
	var out []Action
	for _, a := range f.again {
		f.renting[a.RequestName] = a
		out = append(out, a)
	}
	f.again = nil
	rooms := f.rooms(now, status)
	pressing := f.pressing(now, demand)
	lacking := unmet(rooms, pressing, limit)
	if len(lacking) > 0 {
		f.want, f.tight = now, now
		var again []Action
		again, lacking = f.undrain(status, lacking)
		out = append(out, again...)
	}
	moving := f.moving(status)
	out = append(out, f.drain(now, rooms, moving)...)
	left := lacking
	for len(f.renting) < atOnce && len(left) > 0 {
		a, ok := f.rent(now, left)
		if !ok {
			break
		}
		f.renting[a.RequestName] = a
		out = append(out, a)
		left = f.cover(left, a)
	}
	if !f.giving {
		ids := f.givenUp()
		if len(ids) == 0 {
			ids = f.surplus(now, status, rooms, slackening(rooms, demand), moving)
		}
		if len(ids) > 0 {
			out = append(out, Action{Kind: Return, Machines: ids})
			f.giving = true
		}
	}
	return out
}

// perCPU is what a machine's CPU costs an hour, boot time included in
// proportion.
func perCPU(t *model.MachineType, spot bool) float64 {
	p := t.Price
	if spot {
		p = t.SpotPrice
	}
	return p / float64(t.Cap.CPU) * (1 + t.Boot.Minutes()/4)
}

// cheapest is the least that a CPU costs.
func (f *Fleet) cheapest() float64 {
	low := 0.0
	for i := range f.types {
		for _, spot := range []bool{true, false} {
			if p := perCPU(&f.types[i], spot); low == 0 || p < low {
				low = p
			}
		}
	}
	return low
}

// worth is how many tasks justify a machine at this price: the dearer it is,
// the longer work may wait for room that there is already.
func (f *Fleet) worth(l lack, ratio float64) int64 {
	if l.stuck {
		return l.n
	}
	horizon := time.Duration(float64(f.p.Horizon) * ratio)
	if est := l.spec.Estimate; est > 0 && est < horizon {
		return int64(float64(l.n) * float64(est) / float64(horizon))
	}
	return l.n
}

// rent picks the cheapest kind of machine for the work that lacks room.
func (f *Fleet) rent(now time.Duration, unmet []lack) (Action, bool) {
	low := f.cheapest()
	counts := f.counts()
	total := 0
	for _, n := range counts {
		total += n
	}
	for _, l := range unmet {
		var best *kind
		var bestCost, ratio float64
		for i := range f.types {
			t := &f.types[i]
			if l.spec.PerTask.Count(t.Cap) == 0 {
				continue
			}
			for _, z := range t.Zones {
				for _, spot := range []bool{true, false} {
					k := kind{t.Name, z, spot}
					m := model.Machine{Type: t.Name, Zone: z, Spot: spot}
					if !l.spec.Allows(&m) || now < f.refused[k] {
						continue
					}
					// Among equals spread over the zones, however many there are.
					cost := perCPU(t, spot) * (1 + 0.2*float64(counts[k])/float64(total+10))
					if best == nil || cost < bestCost {
						best, bestCost, ratio = &k, cost, max(1, perCPU(t, spot)/low)
					}
				}
			}
		}
		if best == nil {
			continue
		}
		var need, demand int64
		for _, o := range unmet {
			m := model.Machine{Type: best.typ, Zone: best.zone, Spot: best.spot}
			if o.spec.Allows(&m) {
				need += f.worth(o, ratio) * o.spec.PerTask.CPU
				demand += o.n * o.spec.PerTask.CPU
			}
		}
		size := f.typeOf(best.typ).Cap.CPU
		count := (need + size/2) / size
		if count == 0 && need > 0 && counts[*best] == 0 && demand >= size {
			count = 1
		}
		if count == 0 && l.stuck {
			count = 1
		}
		if count == 0 {
			continue
		}
		f.n++
		return Action{Kind: Rent, RequestName: fmt.Sprintf("t%d-%d", f.p.Term, f.n), Type: best.typ, Zone: best.zone, Spot: best.spot, Count: int(min(count, max(4, count/3), maxRent))}, true
	}
	return Action{}, false
}

// counts are the machines of each kind, those asked for included.
func (f *Fleet) counts() map[kind]int {
	n := map[kind]int{}
	for _, u := range f.units {
		n[u.kind]++
	}
	for _, a := range f.renting {
		n[kind{a.Type, a.Zone, a.Spot}] += a.Count
	}
	return n
}

// slackening tells that open work has become little beside the machines: a day
// ends, and what is idle will hardly be wanted soon.
func slackening(rooms []room, demand []Demand) bool {
	var cpu, have int64
	for i := range demand {
		cpu += int64(demand[i].Job.Unfinished) * demand[i].Job.Spec.PerTask.CPU
	}
	for i := range rooms {
		have += rooms[i].m.Cap.CPU
	}
	return cpu < have/8
}

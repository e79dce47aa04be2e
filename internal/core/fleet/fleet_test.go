package fleet

import (
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/model"
)

// newFleet returns a fleet with one type of machines, in one zone, and none rented.
func newFleet() *Fleet {
	f := New(Params{Term: 7, ListLag: 10 * time.Second, IdleReturn: time.Minute, Horizon: 30 * time.Second,
		RetryRefusedAfter: 15 * time.Second})
	f.SetTypes([]model.MachineType{{Name: 0, Cap: model.Capacity(8, 0, 32), Price: 1, SpotPrice: 0.3,
		Boot: 20 * time.Second, Zones: []model.Name{0}}})
	f.UpdateListed(0, 0, nil)
	return f
}

// noLimit is a limit function for teams without limits.
func noLimit(model.Name) model.Resources { return model.Resources{} }

// testDemand returns the demand of a job whose tasks need half a machine of newFleet each.
func testDemand(tasks int32, spot bool) []Demand {
	spec := &model.Spec{ID: 1, Tasks: tasks, PerTask: model.Request(4, 0, 4), Zone: model.None, Spot: spot,
		Estimate: 10 * time.Minute}
	return []Demand{{Job: dispatcher.JobDemand{Spec: spec, Unfinished: tasks}}}
}

// findRental returns the first rental among actions, nil if there is none.
func findRental(actions []Action) *Action {
	for i := range actions {
		if actions[i].RequestName != "" {
			return &actions[i]
		}
	}
	return nil
}

func TestRentsCheapestAllowedKind(t *testing.T) {
	for _, spot := range []bool{true, false} {
		a := findRental(newFleet().Step(time.Second, nil, testDemand(4, spot), noLimit))
		if a == nil || a.Spot != spot || a.Count != 2 {
			t.Errorf("%+v, want two machines for four tasks, spot %v", a, spot)
		}
	}
}

func TestBootingMachinesCountAsCapacity(t *testing.T) {
	f := newFleet()
	a := findRental(f.Step(time.Second, nil, testDemand(4, true), noLimit))
	f.RentDone(2*time.Second, *a, []model.MachineID{1, 2}, false, false)
	if b := findRental(f.Step(3*time.Second, nil, testDemand(4, true), noLimit)); b != nil {
		t.Errorf("%+v though two machines boot", b)
	}
	b := findRental(f.Step(3*time.Second, nil, testDemand(8, true), noLimit))
	if b == nil || b.RequestName == a.RequestName {
		t.Errorf("%+v, want another request than %q", b, a.RequestName)
	}
}

func TestRefusedKindIsReplacedByAnother(t *testing.T) {
	f := newFleet()
	a := findRental(f.Step(time.Second, nil, testDemand(40, true), noLimit))
	f.RentDone(time.Second, *a, nil, true, false)
	if b := findRental(f.Step(2*time.Second, nil, testDemand(40, true), noLimit)); b == nil || b.Spot {
		t.Errorf("%+v, want ordinary machines once spot ones are refused", b)
	}
}

// A rental without an answer may have been carried out: the same request name returns its result.
func TestRentalInDoubtIsRetriedUnderSameName(t *testing.T) {
	f := newFleet()
	a := findRental(f.Step(time.Second, nil, testDemand(4, true), noLimit))
	f.RentDone(2*time.Second, *a, nil, false, true)
	if b := findRental(f.Step(3*time.Second, nil, testDemand(4, true), noLimit)); b == nil ||
		b.RequestName != a.RequestName {
		t.Errorf("%+v, want %q again", b, a.RequestName)
	}
}

// Short tasks wait for existing machines, unless none of them could ever run them.
func TestTaskThatFitsNoMachineRentsOne(t *testing.T) {
	f := newFleet()
	d := testDemand(1, true)
	d[0].Job.Spec.Estimate = time.Second
	if a := findRental(f.Step(time.Second, nil, d, noLimit)); a == nil || a.Count != 1 {
		t.Errorf("%+v, want one machine", a)
	}
}

func TestIdleAndLostMachinesAreReturned(t *testing.T) {
	f := newFleet()
	status := []model.MachineStatus{{Machine: model.Machine{ID: 1, Spot: true, Cap: model.Capacity(8, 0, 32)},
		Avail: model.Capacity(8, 0, 32), Ready: true}}
	notExpired := func(model.MachineID) bool { return false }
	f.Observe(0, status, notExpired)
	// While there is demand an idle machine is kept for a while, because a replacement must boot
	// and fetch images first. When demand is low it is returned soon.
	spec := &model.Spec{ID: 1, Tasks: 1, PerTask: model.Request(4, 0, 4), Zone: model.None, Estimate: time.Minute}
	placedDemand := []Demand{{Job: dispatcher.JobDemand{Spec: spec, Unfinished: 1, Assigned: 1}, Placed: 1}}
	if as := f.Step(30*time.Second, status, placedDemand, noLimit); len(as) != 0 {
		t.Errorf("%+v returned too early while there is demand", as)
	}
	as := f.Step(30*time.Second, status, nil, noLimit)
	if len(as) != 1 || len(as[0].Machines) != 1 {
		t.Fatalf("%+v, want the idle machine returned", as)
	}
	f.ReturnDone(2*time.Minute, as[0], true)
	// The list lags: the machine is not new.
	f.UpdateListed(2*time.Minute+time.Second, 2*time.Minute+time.Second, []ListedMachine{{ID: 1, Spot: true}})
	if len(f.machines) != 0 {
		t.Error("a returned machine was added again")
	}
}

// No machine has reported to a new leader yet, however old it is according to the list. The leader
// must not return machines for that before they could report. Guards against returning a hundred
// busy machines.
func TestNewLeaderWaitsForReportsBeforeReturning(t *testing.T) {
	termStart := time.Hour
	f := New(Params{Term: 7, TermStart: termStart, ListLag: 10 * time.Second, IdleReturn: time.Minute,
		Horizon: 30 * time.Second, RetryRefusedAfter: 15 * time.Second})
	f.SetTypes([]model.MachineType{{Name: 0, Cap: model.Capacity(8, 0, 32), Price: 1, SpotPrice: 0.3,
		Boot: 20 * time.Second, Zones: []model.Name{0}}})
	f.UpdateListed(termStart, termStart, []ListedMachine{{ID: 1, Age: time.Hour}})
	expired := func(model.MachineID) bool { return true }
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{10 * time.Second, 0}, {2 * time.Minute, 1}} {
		f.Observe(termStart+c.after, nil, expired)
		n := 0
		for _, a := range f.Step(termStart+c.after, nil, nil, noLimit) {
			n += len(a.Machines)
		}
		if n != c.want {
			t.Errorf("%v after the term began %d machines are returned, want %d", c.after, n, c.want)
		}
	}
}

// A machine that the cloud takes without notice leaves the list long before its lease is over, and
// its tasks need not wait for the lease. But a list may be older than the one before: a machine
// that was listed only recently may be missing from it.
func TestUnlistedMachineIsGone(t *testing.T) {
	f := newFleet()
	both, one := []ListedMachine{{ID: 1}, {ID: 2}}, []ListedMachine{{ID: 1}}
	f.UpdateListed(5*time.Second, 5*time.Second, both)
	if gone := f.UpdateListed(29*time.Second, 29*time.Second, one); len(gone) != 0 {
		t.Fatalf("%v gone, by a list that may be older than the first", gone)
	}
	if gone := f.UpdateListed(40*time.Second, 29*time.Second, one); len(gone) != 0 {
		t.Fatalf("%v gone, by a list that was requested too early", gone)
	}
	if gone := f.UpdateListed(31*time.Second, 31*time.Second, one); len(gone) != 1 || gone[0] != 2 {
		t.Fatalf("%v gone, want the machine that is no longer listed", gone)
	}
	if gone := f.UpdateListed(35*time.Second, 35*time.Second, one); len(gone) != 0 {
		t.Fatalf("%v gone for a second time", gone)
	}
}

// No machine is rented for best-effort work at first, as it can wait for idle ones. After a while
// one is rented, or it would wait forever where no machine is ever idle.
func TestBestEffortRentsOnlyAfterWait(t *testing.T) {
	f := newFleet()
	f.params.BestEffortWait = 5 * time.Minute
	d := testDemand(40, true)
	d[0].Job.Spec.BestEffort = true
	if a := findRental(f.Step(time.Second, nil, d, noLimit)); a != nil {
		t.Errorf("%+v rented for work that can wait", a)
	}
	if a := findRental(f.Step(6*time.Minute, nil, d, noLimit)); a == nil {
		t.Error("nothing is rented after the wait")
	}
}

// Tasks spread over all machines keep the expensive machines of a burst from ever being empty, so
// these must be drained; for new work they are undrained before others are rented.
func TestExpensiveMachinesAreDrainedAndUndrained(t *testing.T) {
	f := newFleet()
	var status []model.MachineStatus
	for id := range model.MachineID(10) {
		status = append(status, model.MachineStatus{Machine: model.Machine{ID: id, Spot: id < 5,
			Cap: model.Capacity(8, 0, 32)},
			Avail: model.Capacity(4, 0, 16), AttemptCount: 1, Ready: true})
	}
	f.Observe(0, status, func(model.MachineID) bool { return false })
	drainsAndUndrains := func(actions []Action) (drained, undrained []model.MachineID) {
		for _, a := range actions {
			switch a.Kind {
			case Drain:
				drained = append(drained, a.Machines...)
			case Undrain:
				undrained = append(undrained, a.Machines...)
			}
		}
		return drained, undrained
	}
	if d, _ := drainsAndUndrains(f.Step(time.Second, status, nil, noLimit)); d != nil {
		t.Fatalf("%v drained at once", d)
	}
	d, _ := drainsAndUndrains(f.Step(20*time.Second, status, nil, noLimit))
	if len(d) == 0 {
		t.Fatal("half of the capacity is free, and nothing is drained")
	}
	for _, id := range d {
		if id < 5 {
			t.Errorf("machine %d is cheap, but drained", id)
		}
	}
	if again, _ := drainsAndUndrains(f.Step(20*time.Second, status, nil, noLimit)); again != nil {
		t.Errorf("%v drained for a second time", again)
	}
	// More work than the other machines can run: machines are undrained before any is rented.
	actions := f.Step(21*time.Second, status, testDemand(8, true), noLimit)
	if _, undrained := drainsAndUndrains(actions); len(undrained) == 0 || findRental(actions) != nil {
		t.Errorf("%+v, want drained machines undrained, and none rented", actions)
	}
	// Machines that a plan drains are neither capacity nor surplus, and not drained for their price.
	f.SetDrainPlans(func(id model.MachineID) (bool, bool) { return true, true })
	actions = f.Step(22*time.Second, status, testDemand(8, true), noLimit)
	if findRental(actions) == nil {
		t.Errorf("%+v: machines that plans drain count as capacity", actions)
	}
	for i := range status {
		status[i].Avail, status[i].AttemptCount = status[i].Machine.Cap, 0
	}
	actions = f.Step(time.Hour, status, nil, noLimit)
	if d, _ := drainsAndUndrains(actions); d != nil || slices.ContainsFunc(actions,
		func(a Action) bool { return a.Kind == Return && slices.Contains(a.Machines, 0) }) {
		t.Errorf("%+v, though plans drain these machines", actions)
	}
}

// Tasks on machines that plans drain must move. If the machines rented for them are drained or
// returned meanwhile, the plan makes no progress until the tasks end.
func TestCapacityForMovedTasksIsKept(t *testing.T) {
	const drained, free = 4, 5
	var status []model.MachineStatus
	for id := range model.MachineID(drained + free) {
		s := model.MachineStatus{Machine: model.Machine{ID: id, Cap: model.Capacity(8, 0, 32)},
			Avail: model.Capacity(8, 0, 32), Ready: true}
		if id < drained {
			s.Avail, s.AttemptCount = model.Capacity(0, 0, 0), 4
		}
		status = append(status, s)
	}
	for _, moving := range []bool{true, false} {
		f := newFleet()
		f.Observe(0, status, func(model.MachineID) bool { return false })
		f.SetDrainPlans(func(id model.MachineID) (draining, scheduled bool) { return id < drained, id < drained })
		gone := map[model.MachineID]bool{}
		for at := time.Second; at < 10*time.Minute; at += time.Second {
			for _, a := range f.Step(at, status, nil, noLimit) {
				for _, id := range a.Machines {
					gone[id] = true
				}
			}
		}
		if moving && len(gone) > free-drained {
			t.Errorf("%d of %d free machines drained or returned: no capacity for the tasks of %d", len(gone), free, drained)
		}
		if !moving && len(gone) != free {
			t.Errorf("%d of %d idle machines returned once there is nothing to move", len(gone), free)
		}
		for i := range drained { // the tasks have ended
			status[i].Avail, status[i].AttemptCount = status[i].Machine.Cap, 0
		}
	}
}

package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// What is drained stays so, whoever owns it, and whether it is known yet or not: a
// new owner gave drained machines tasks until they were drained once more.
func TestBarsOutliveOwners(t *testing.T) {
	r := newRig(t, 100)
	a, b := r.d.AddShard(0, "a"), r.d.AddShard(0, "b")
	r.machine(0, 1, a)
	r.d.TakeOrders()
	r.d.SetCordoned(1, true)
	r.d.SetCordoned(2, true)
	if o := r.orders(model.SetUsable); len(o) != 1 || o[0].ID != 1 || o[0].Usable {
		t.Errorf("%+v", o)
	}
	r.machine(0, 2, b)
	for _, o := range r.d.TakeOrders() {
		if (o.Kind == model.SetUsable || o.Kind == model.OwnMachine) && o.Usable {
			t.Errorf("%+v for a machine that is barred", o)
		}
	}
	r.d.ShardLost(a, 0)
	r.d.HandleEvent(time.Second, b, model.Event{Kind: model.UnownedWorker, Machine: 1,
		Report: &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
	if o := r.orders(model.OwnMachine); len(o) != 1 || o[0].To != b || o[0].Usable {
		t.Errorf("%+v", o)
	}
	r.d.SetUsable(1, true) // a return that failed
	r.d.SetCordoned(1, false)
	if o := r.orders(model.SetUsable); len(o) != 2 || o[0].Usable || !o[1].Usable {
		t.Errorf("%+v", o)
	}
}

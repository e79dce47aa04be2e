package dispatcher

import (
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// A cordon outlives the machine's owner, and may be set before the machine is known. Guards against
// a new owner placing tasks on drained machines.
func TestCordonOutlivesOwner(t *testing.T) {
	h := newHarness(t, 100)
	a, b := h.d.AddShard(0, "a"), h.d.AddShard(0, "b")
	h.addMachine(0, 1, a)
	h.d.TakeOrders()
	h.d.SetCordoned(1, true)
	h.d.SetCordoned(2, true)
	if o := h.takeOrders(model.SetUsable); len(o) != 1 || o[0].ID != 1 || o[0].Usable {
		t.Errorf("orders %+v, want machine 1 not usable", o)
	}
	h.addMachine(0, 2, b)
	for _, o := range h.d.TakeOrders() {
		if (o.Kind == model.SetUsable || o.Kind == model.OwnMachine) && o.Usable {
			t.Errorf("%+v for a cordoned machine", o)
		}
	}
	h.d.ShardLost(a, 0)
	h.d.HandleEvent(time.Second, b, model.Event{Kind: model.UnownedWorker, Machine: 1,
		Report: &model.Report{Machine: model.Machine{ID: 1, Addr: "x"}}})
	if o := h.takeOrders(model.OwnMachine); len(o) != 1 || o[0].To != b || o[0].Usable {
		t.Errorf("orders %+v, want b to own machine 1, not usable", o)
	}
	h.d.SetUsable(1, true) // after a failed return to the cloud
	h.d.SetCordoned(1, false)
	if o := h.takeOrders(model.SetUsable); len(o) != 2 || o[0].Usable || !o[1].Usable {
		t.Errorf("orders %+v, want machine 1 usable once it is uncordoned", o)
	}
}

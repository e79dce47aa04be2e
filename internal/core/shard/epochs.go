package shard

import "honeylock/internal/core/model"

// isStale reports whether an order is about an ownership that has ended here: the machine was released or
// removed, or is held in a later ownership.
func (s *Shard) isStale(o *model.Order) bool {
	if o.Epoch == 0 {
		return false
	}
	switch o.Kind {
	case model.OwnMachine:
		m := s.machines[o.Machine.ID]
		if m == nil {
			return o.Token != uint64(o.Epoch) // a renewal, not the beginning of an ownership
		}
		return o.Epoch < m.epoch
	case model.RemoveMachine, model.SetUsable, model.ReleaseMachine, model.ConfirmLeaseExpiry, model.InspectMachine:
		m := s.machines[o.ID]
		return m == nil || m.epoch != o.Epoch
	}
	return false
}

// staleOrder drops an order about an ownership that has ended here. The dispatcher waits for the answer
// to an order to release a machine, so that one is answered.
func (s *Shard) staleOrder(o *model.Order) {
	s.Stats.StaleOrders++
	if o.Kind == model.ReleaseMachine {
		s.emit(model.Event{Kind: model.MachineReleased, Machine: o.ID, Epoch: o.Epoch})
	}
}

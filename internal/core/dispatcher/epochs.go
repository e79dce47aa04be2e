package dispatcher

import "honeylock/internal/core/model"

// Orders and events travel in order in each direction, but cross each other. An event about an ownership
// that has ended must not be taken for one about a later ownership, though the same shard owns the
// machine again: it would show a worker as fenced that is not, or a machine as released that is held.
// That can happen when a machine is considered gone and is seen again, because its owner is not asked to
// release it then.

// IsStale reports whether an event of a shard is about an ownership that has ended.
func (d *Dispatcher) IsStale(from model.ShardID, e *model.Event) bool {
	m := d.machines[e.Machine]
	return m != nil && e.Epoch != 0 && (m.owner != from || m.epoch != e.Epoch)
}

package shard

import "honeylock/internal/core/model"

// ForEachTask calls f for each task that the shard holds: those that wait for a machine, and those
// on one. Each of them is charged to this shard in the dispatcher's books.
func (s *Shard) ForEachTask(f func(model.Task)) {
	for t := range s.tasks {
		f(t)
	}
}

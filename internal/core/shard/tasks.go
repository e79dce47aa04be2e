package shard

import "honeylock/internal/core/model"

// ForEachTask calls f for each task that is assigned to the shard, whether it waits for a machine or
// is on one. The dispatcher records each of them as assigned to this shard.
func (s *Shard) ForEachTask(f func(model.Task)) {
	for t := range s.tasks {
		f(t)
	}
}

// Knows reports whether a task is assigned to the shard.
func (s *Shard) Knows(t model.Task) bool { return s.tasks[t] != nil }

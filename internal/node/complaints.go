package node

import (
	"log/slog"
	"sync"
	"time"
)

// complaints keeps a service that stays away from filling the log: its first
// failure and its return are told at info, what lies between at debug.
type complaints struct {
	log   *slog.Logger
	mu    sync.Mutex
	since map[string]time.Time
}

func newComplaints(log *slog.Logger) *complaints {
	return &complaints{log: log, since: map[string]time.Time{}}
}

// note takes the outcome of what is done again and again.
func (c *complaints) note(what string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, failing := c.since[what]
	switch {
	case err == nil && failing:
		delete(c.since, what)
		c.log.Info(what+": over", "after", time.Since(since).Round(time.Millisecond))
	case err != nil && failing:
		c.log.Debug(what, "err", err)
	case err != nil:
		c.since[what] = time.Now()
		c.log.Info(what, "err", err)
	}
}

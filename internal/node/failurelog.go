package node

import (
	"log/slog"
	"sync"
	"time"
)

// failureLog keeps a service that stays away from filling the log: its first
// failure and its return are told at info, what lies between at debug.
type failureLog struct {
	log          *slog.Logger
	mu           sync.Mutex
	failingSince map[string]time.Time
}

func newFailureLog(log *slog.Logger) *failureLog {
	return &failureLog{log: log, failingSince: map[string]time.Time{}}
}

// record takes the outcome of what is done again and again.
func (f *failureLog) record(what string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, failing := f.failingSince[what]
	switch {
	case err == nil && failing:
		delete(f.failingSince, what)
		f.log.Info(what+": over", "after", time.Since(since).Round(time.Millisecond))
	case err != nil && failing:
		f.log.Debug(what, "err", err)
	case err != nil:
		f.failingSince[what] = time.Now()
		f.log.Info(what, "err", err)
	}
}

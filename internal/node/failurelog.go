package node

import (
	"log/slog"
	"sync"
	"time"
)

// failureLog keeps repeated failures from filling the log: the first failure and the recovery are logged
// at info level, the failures in between at debug level.
type failureLog struct {
	log          *slog.Logger
	mu           sync.Mutex
	failingSince map[string]time.Time
}

func newFailureLog(log *slog.Logger) *failureLog {
	return &failureLog{log: log, failingSince: map[string]time.Time{}}
}

// record logs the outcome of an operation that is repeated. what is the message for its failure.
func (f *failureLog) record(what string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, failing := f.failingSince[what]
	switch {
	case err == nil && failing:
		delete(f.failingSince, what)
		f.log.Info(what+": recovered", "after", time.Since(since).Round(time.Millisecond))
	case err != nil && failing:
		f.log.Debug(what, "err", err)
	case err != nil:
		f.failingSince[what] = time.Now()
		f.log.Info(what, "err", err)
	}
}

package scale

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// canceller has users cancel some of their jobs, and finds out whether the tasks are gone
// in time.
type canceller struct {
	users         *users
	answerLatency *histogram // from the first call to the answer
	// runningTasks counts a job's tasks on machines, by the workers' word.
	runningTasks func(ctx context.Context, job string) (int, error)

	mu    sync.Mutex
	stats CancelStats
}

// CancelStats count cancellations.
type CancelStats struct {
	Answered   int
	Unanswered int // within a minute
	Checked    int // cancel_s after the answer
	StillRun   int // of those checked, jobs with tasks on machines: a rule is broken
	Answer     Quantiles
}

func (s CancelStats) minus(before CancelStats) CancelStats {
	s.Answered -= before.Answered
	s.Unanswered -= before.Unanswered
	s.Checked -= before.Checked
	s.StillRun -= before.StillRun
	return s
}

func (c *canceller) snapshot(reset bool) CancelStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Answer = c.answerLatency.snapshot(reset)
	return stats
}

func (c *canceller) updateStats(f func(*CancelStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

// cancelAndCheck cancels a job after a while, and looks for its tasks cancel_s after the answer.
func (c *canceller) cancelAndCheck(ctx context.Context, name string, delay time.Duration) {
	if sleepContext(ctx, delay) != nil {
		return
	}
	if !c.cancelJob(ctx, name) {
		return
	}
	if sleepContext(ctx, c.users.spec.Timing.Cancel) != nil {
		return
	}
	remaining, err := c.runningTasks(ctx, name)
	if err != nil {
		return // the workers' process has ended, and the run with it
	}
	c.updateStats(func(s *CancelStats) {
		s.Checked++
		if remaining > 0 {
			s.StillRun++
		}
	})
}

// cancelJob cancels a job until that is answered, for up to a minute.
func (c *canceller) cancelJob(ctx context.Context, name string) bool {
	started := time.Now()
	switch {
	case c.users.retryCall(ctx, started, "/v1/jobs/"+name+"/withdraw", nil, http.StatusOK) == http.StatusOK:
		c.answerLatency.record(time.Since(started))
		c.updateStats(func(s *CancelStats) { s.Answered++ })
		return true
	case ctx.Err() == nil:
		c.updateStats(func(s *CancelStats) { s.Unanswered++ })
	}
	return false
}

package scale

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// canceller cancels jobs for their users and checks that their tasks are gone from the machines in time.
type canceller struct {
	users         *users
	answerLatency *histogram // from the first request to the answer
	// runningTasks returns the number of the job's tasks on machines, as the workers report it.
	runningTasks func(ctx context.Context, job string) (int, error)

	mu    sync.Mutex
	stats CancelStats
}

// CancelStats counts the cancellations of jobs.
type CancelStats struct {
	Answered   int
	Unanswered int // not answered within retryPeriod
	Checked    int // checked for remaining tasks cancel_s after the answer
	StillRun   int // checked jobs that still had tasks on machines: a broken rule
	Answer     Quantiles
}

// minus returns the counts less those of an earlier snapshot.
func (s CancelStats) minus(before CancelStats) CancelStats {
	s.Answered -= before.Answered
	s.Unanswered -= before.Unanswered
	s.Checked -= before.Checked
	s.StillRun -= before.StillRun
	return s
}

// snapshot returns the counts since the start of the process. reset restarts the quantiles.
func (c *canceller) snapshot(reset bool) CancelStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Answer = c.answerLatency.snapshot(reset)
	return stats
}

// updateStats calls f with the lock held.
func (c *canceller) updateStats(f func(*CancelStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

// cancelAndCheck cancels a job after a delay and checks for remaining tasks cancel_s after the answer.
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
		return // the hollow process has exited, which ends the run
	}
	c.updateStats(func(s *CancelStats) {
		s.Checked++
		if remaining > 0 {
			s.StillRun++
		}
	})
}

// cancelJob cancels a job and retries for up to retryPeriod. It reports whether the request was answered.
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

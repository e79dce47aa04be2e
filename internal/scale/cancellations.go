package scale

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// cancellations has users cancel some of their jobs, and finds out whether the tasks are gone
// in time.
type cancellations struct {
	users  *users
	answer *histogram // from the first call to the answer
	// running counts a job's tasks on machines, by the workers' word.
	running func(ctx context.Context, job string) (int, error)

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

func (s CancelStats) since(before CancelStats) CancelStats {
	s.Answered -= before.Answered
	s.Unanswered -= before.Unanswered
	s.Checked -= before.Checked
	s.StillRun -= before.StillRun
	return s
}

func (c *cancellations) take(reset bool) CancelStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Answer = c.answer.take(reset)
	return s
}

func (c *cancellations) count(f func(*CancelStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

// cancel cancels a job after a while, and looks for its tasks cancel_s after the answer.
func (c *cancellations) cancel(ctx context.Context, name string, after time.Duration) {
	if sleep(ctx, after) != nil {
		return
	}
	if !c.answered(ctx, name) {
		return
	}
	if sleep(ctx, c.users.spec.Timing.Cancel) != nil {
		return
	}
	n, err := c.running(ctx, name)
	if err != nil {
		return // the workers' process has ended, and the run with it
	}
	c.count(func(s *CancelStats) {
		s.Checked++
		if n > 0 {
			s.StillRun++
		}
	})
}

// answered cancels a job until that is answered, for up to a minute.
func (c *cancellations) answered(ctx context.Context, name string) bool {
	began := time.Now()
	switch {
	case c.users.insist(ctx, began, "/v1/jobs/"+name+"/withdraw", nil, http.StatusOK) == http.StatusOK:
		c.answer.record(time.Since(began))
		c.count(func(s *CancelStats) { s.Answered++ })
		return true
	case ctx.Err() == nil:
		c.count(func(s *CancelStats) { s.Unanswered++ })
	}
	return false
}

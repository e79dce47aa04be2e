package server

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"honeylock/internal/core/overload"
	"honeylock/internal/node"
)

// A flood of polls must not use up the capacity for submissions and cancellations.
func TestPollsLeaveCapacityForSubmissions(t *testing.T) {
	s := New(&node.Node{}, 400, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	s.admit = func(overload.Kind) (bool, time.Duration) { return true, time.Second }
	w := newWaitingPolls(t, s)
	defer close(w.release)
	w.start(maxPolls)
	if rec := serve(t, w.poll); rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" {
		t.Errorf("poll above the limit: status %d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
	}
	submit := s.user(&s.changes, func(c echo.Context) error { return c.NoContent(http.StatusCreated) })
	if rec := serve(t, submit); rec.Code != http.StatusCreated {
		t.Errorf("submission during a flood of polls: status %d", rec.Code)
	}
}

// The limit of concurrent polls must let one comparison of the state service be full. A
// poll waits half a second for a comparison, which answers 80 polls. With a limit of 48
// polls an idle controller refused two of three, and some jobs had no answer for 75 s.
func TestPollLimitFillsOneComparison(t *testing.T) {
	const comparison = 4 * 20 // conditions of a transaction of 20 changes
	s := New(&node.Node{}, 400, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	s.admit = func(overload.Kind) (bool, time.Duration) { return true, time.Second }
	w := newWaitingPolls(t, s)
	defer close(w.release)
	w.start(comparison)
	go serve(t, w.poll)
	select {
	case <-w.started:
	case <-time.After(2 * time.Second):
		t.Errorf("a poll is refused while %d wait", comparison)
	}
}

// waitingPolls are polls that the server has admitted and that block until release is closed.
type waitingPolls struct {
	t       *testing.T
	poll    echo.HandlerFunc
	started chan struct{} // one value for each admitted poll
	release chan struct{} // closed to answer all polls
}

func newWaitingPolls(t *testing.T, s *Server) *waitingPolls {
	t.Helper()
	w := &waitingPolls{t: t, started: make(chan struct{}, 2*maxPolls), release: make(chan struct{})}
	w.poll = s.user(&s.polls, func(c echo.Context) error {
		w.started <- struct{}{}
		<-w.release
		return c.NoContent(http.StatusOK)
	})
	return w
}

// start starts n polls and waits until all of them are admitted.
func (w *waitingPolls) start(n int) {
	w.t.Helper()
	for range n {
		go serve(w.t, w.poll)
	}
	for i := range n {
		select {
		case <-w.started:
		case <-time.After(2 * time.Second):
			w.t.Fatalf("%d of %d polls were admitted", i, n)
		}
	}
}

// serve calls a handler and returns its response.
func serve(t *testing.T, h echo.HandlerFunc) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	if err := h(echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/", nil), rec)); err != nil {
		t.Error(err)
	}
	return rec
}

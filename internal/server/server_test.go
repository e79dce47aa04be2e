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

// Polls many times as often took all the places, and submissions and
// cancellations were refused with them.
func TestPollsLeaveCapacityForSubmissions(t *testing.T) {
	s := New(&node.Node{}, 400, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	s.admit = func(overload.Kind) (bool, time.Duration) { return true, time.Second }
	w := newWaitingPolls(t, s)
	defer close(w.release)
	w.start(maxPolls)
	if rec := serve(t, w.poll); rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" {
		t.Errorf("one poll too many: status %d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
	}
	submit := s.user(&s.changes, func(c echo.Context) error { return c.NoContent(http.StatusCreated) })
	if rec := serve(t, submit); rec.Code != http.StatusCreated {
		t.Errorf("a submission in the storm: status %d", rec.Code)
	}
}

// Questions wait half a second for the state service, which answers 80 at once. With 48 at the
// door at a time two of three were turned away at random, by a controller that had time for
// them: jobs went unanswered for 75 s.
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
		t.Errorf("a question is turned away beside %d that wait", comparison)
	}
}

// waitingPolls are questions that a server has let in, and that wait for their answers.
type waitingPolls struct {
	t       *testing.T
	poll    echo.HandlerFunc
	started chan struct{} // one each
	release chan struct{} // closed to let them go
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

// start has so many wait.
func (w *waitingPolls) start(n int) {
	w.t.Helper()
	for range n {
		go serve(w.t, w.poll)
	}
	for i := range n {
		select {
		case <-w.started:
		case <-time.After(2 * time.Second):
			w.t.Fatalf("%d of %d questions were let in", i, n)
		}
	}
}

// serve has a request served.
func serve(t *testing.T, h echo.HandlerFunc) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	if err := h(echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/", nil), rec)); err != nil {
		t.Error(err)
	}
	return rec
}

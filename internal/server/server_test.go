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
func TestPollsLeaveRoomForSubmissions(t *testing.T) {
	s := New(&node.Node{}, 400, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	s.takes = func(overload.Kind) (bool, time.Duration) { return true, time.Second }
	hold, held := make(chan struct{}), make(chan struct{}, maxPolls)
	slow := s.user(&s.polls, func(c echo.Context) error {
		held <- struct{}{}
		<-hold
		return c.NoContent(http.StatusOK)
	})
	e := echo.New()
	serve := func(h echo.HandlerFunc) *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		if err := h(e.NewContext(httptest.NewRequest(http.MethodGet, "/", nil), rec)); err != nil {
			t.Error(err)
		}
		return rec
	}
	for range maxPolls {
		go serve(slow)
	}
	for range maxPolls {
		<-held
	}
	if rec := serve(slow); rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" {
		t.Errorf("one poll too many: status %d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
	}
	if rec := serve(s.user(&s.changes, func(c echo.Context) error { return c.NoContent(http.StatusCreated) })); rec.Code != http.StatusCreated {
		t.Errorf("a submission in the storm: status %d", rec.Code)
	}
	close(hold)
}

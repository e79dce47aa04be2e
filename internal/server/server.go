// Package server is the HTTP server for users, workers and health checks.
package server

import (
	"context"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/net/netutil"

	"honeylock/internal/core/model"
	"honeylock/internal/core/overload"
	"honeylock/internal/httpserve"
	"honeylock/internal/node"
	"honeylock/internal/wire"
)

const (
	maxBody     = 64 << 10 // bytes
	maxPolls    = 96       // concurrent polls; they mostly wait, and one comparison answers about 80
	maxChanges  = 64       // concurrent submissions and cancellations
	userTimeout = 1800 * time.Millisecond
)

// Server serves users' requests, workers' reports, health checks and metrics.
type Server struct {
	node  *node.Node
	http  *http.Server
	limit int
	conns *connTracker
	// Separate limits, so that many polls never block submissions and cancellations.
	polls, changes callLimit
	shed           *prometheus.CounterVec
	admit          func(overload.Kind) (ok bool, retryAfter time.Duration)
}

// callLimit bounds the number of concurrent calls of a kind.
type callLimit struct {
	kind     string
	loadKind overload.Kind
	max      int32
	current  atomic.Int32
}

// acquire reports whether one more call may be served. The caller must call release in
// either case.
func (l *callLimit) acquire() bool { return l.current.Add(1) <= l.max }
func (l *callLimit) release()      { l.current.Add(-1) }

type connKey struct{}

// New returns a server. fdLimit is the number of files that the process may open. Part of
// it is reserved for the controller's own connections, another part for workers.
func New(n *node.Node, fdLimit int, log *slog.Logger, reg *prometheus.Registry) *Server {
	limit := fdLimit - reservedSockets(fdLimit, node.MaxDirectConns(fdLimit))
	s := &Server{node: n, limit: limit, conns: newConnTracker(limit), admit: n.Admit,
		polls:   callLimit{kind: "poll", loadKind: overload.Poll, max: maxPolls},
		changes: callLimit{kind: "change", loadKind: overload.Change, max: maxChanges},
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "honeylock_requests_shed_total",
			Help: "Users' requests refused for overload."}, []string{"kind"})}
	reg.MustRegister(s.shed)
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.JSONSerializer = serializer{}
	e.HTTPErrorHandler = httpserve.ErrorHandler(log, func(c echo.Context, status int, msg string) error {
		return c.JSON(status, errorBody{msg})
	})
	e.POST("/agent/beat", s.report)
	e.POST("/v1/jobs", s.user(&s.changes, s.submit))
	e.GET("/v1/jobs/:id", s.user(&s.polls, s.poll))
	e.POST("/v1/jobs/:id/withdraw", s.user(&s.changes, s.withdraw))
	e.GET("/healthz", s.health)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(reg, promhttp.HandlerOpts{})))
	s.http = &http.Server{
		Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10,
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:   s.conns.onStateChange,
	}
	return s
}

// Serve serves until the context ends. If it can't listen it tries again, so that the
// process never exits by itself.
func (s *Server) Serve(ctx context.Context, addr string, log *slog.Logger) {
	httpserve.Serve(ctx, s.http, addr, "", log, func(l net.Listener) net.Listener {
		log.Info("serving", "addr", addr)
		return netutil.LimitListener(l, s.limit)
	})
}

// overloadedBody is encoded in advance, because it is sent when CPU time is short.
var overloadedBody = []byte(`{"error":"overloaded"}`)

type errorBody struct {
	Error string `json:"error"`
}

func (s *Server) user(limit *callLimit, handler echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		conn, _ := c.Request().Context().Value(connKey{}).(net.Conn)
		limitReached := !limit.acquire()
		defer limit.release()
		connRefused := conn != nil && !s.conns.admitUser(conn)
		if connRefused {
			c.Response().Header().Set("Connection", "close")
		}
		if ok, retryAfter := s.admit(limit.loadKind); !ok || limitReached || connRefused {
			s.shed.WithLabelValues(limit.kind).Inc()
			c.Response().Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
			return c.Blob(http.StatusServiceUnavailable, echo.MIMEApplicationJSON, overloadedBody)
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), userTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return handler(c)
	}
}

func reply(c echo.Context, r node.Reply) error {
	if r.Status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", "1")
	}
	if r.State != nil {
		return c.JSON(r.Status, r.State)
	}
	return c.JSON(r.Status, errorBody{r.Err})
}

func readBody(c echo.Context) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
}

func (s *Server) submit(c echo.Context) error {
	b, err := readBody(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{"the body is over 64 KiB or could not be read"})
	}
	return reply(c, s.node.Submit(c.Request().Context(), b))
}

func (s *Server) job(c echo.Context, f func(context.Context, model.JobID) node.Reply) error {
	id, err := wire.ParseJob(c.Param("id"))
	if err != nil {
		return c.JSON(http.StatusNotFound, errorBody{"no such job"})
	}
	return reply(c, f(c.Request().Context(), id))
}

func (s *Server) poll(c echo.Context) error { return s.job(c, s.node.Poll) }

func (s *Server) withdraw(c echo.Context) error { return s.job(c, s.node.Withdraw) }

func (s *Server) report(c echo.Context) error {
	if !s.conns.mayKeepWorker() {
		c.Response().Header().Set("Connection", "close")
	}
	b, err := readBody(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{"the body is over 64 KiB or could not be read"})
	}
	raw, err := wire.ParseReport(b)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{err.Error()})
	}
	answer, redirectTo, err := s.node.Report(c.Request().Context(), raw)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{err.Error()})
	}
	if !answer.OK {
		return c.JSON(http.StatusMisdirectedRequest, wire.Redirect{RedirectTo: redirectTo})
	}
	return c.JSON(http.StatusOK, wire.ReportAnswer(answer.Token, answer.Commands))
}

func (s *Server) health(c echo.Context) error {
	if s.node.Healthy() {
		return c.NoContent(http.StatusOK)
	}
	return c.NoContent(http.StatusServiceUnavailable)
}

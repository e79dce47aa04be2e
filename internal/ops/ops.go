// Package ops is the operators' HTTP server. It has an address of its own, which users
// and workers don't use, and requires bearer tokens. Any controller accepts a call; the
// leader answers it.
package ops

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/net/netutil"

	"honeylock/internal/config"
	"honeylock/internal/httpserve"
	"honeylock/internal/node"
)

const (
	maxBody  = 64 << 10 // bytes
	maxConns = 32
	timeout  = 8 * time.Second
	// RequestHeader carries the caller's id of a change. A change that is repeated with
	// the same id is answered but not made again.
	RequestHeader = "Request-Id"
)

// Handler executes operators' calls.
type Handler interface {
	Operate(context.Context, node.Call) node.CallReply
}

// Server is the operators' server.
type Server struct {
	handler Handler
	http    *http.Server
	cert    *certificate // nil: no TLS
	tokens  *tokenChecker
	log     *slog.Logger
	calls   *prometheus.CounterVec
}

// New returns a server. It fails if the TLS certificate can't be loaded.
func New(handler Handler, settings *config.Operator, log *slog.Logger, reg *prometheus.Registry) (*Server, error) {
	s := &Server{handler: handler, log: log, tokens: newTokenChecker(settings.Access),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "honeylock_operator_calls_total",
			Help: "Operators' calls, by status."}, []string{"status"})}
	reg.MustRegister(s.calls)
	if settings.CertFile != "" {
		var err error
		if s.cert, err = loadCertificate(settings.CertFile, settings.KeyFile, log); err != nil {
			return nil, err
		}
	}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = httpserve.ErrorHandler(log, func(c echo.Context, status int, msg string) error {
		return s.answer(c, node.CallReply{Status: status, Err: msg})
	})
	e.Use(s.authorise)
	e.GET("/ops/v1/audit", s.call(node.AuditList))
	e.GET("/ops/v1/drains", s.call(node.DrainList))
	e.GET("/ops/v1/members", s.call(node.MemberList))
	e.GET("/ops/v1/teams", s.call(node.TeamList))
	e.GET("/ops/v1/teams/:name", s.call(node.TeamShow))
	e.POST("/ops/v1/teams/:name", s.call(node.TeamSet))
	e.POST("/ops/v1/teams/:name/unset", s.call(node.TeamUnset))
	e.GET("/ops/v1/budgets", s.call(node.DrainBudgets))
	e.GET("/ops/v1/drains/:name", s.call(node.DrainStatus))
	e.POST("/ops/v1/forecasts", s.call(node.DrainPlan))
	e.POST("/ops/v1/drains/:name/forecast", s.call(node.DrainForecast))
	e.POST("/ops/v1/drains", s.call(node.DrainApply))
	e.POST("/ops/v1/drains/:name/pause", s.call(node.DrainPause))
	e.POST("/ops/v1/drains/:name/resume", s.call(node.DrainResume))
	e.POST("/ops/v1/drains/:name/cancel", s.call(node.DrainCancel))
	e.POST("/ops/v1/drains/:name/machines/:machine/patched", s.call(node.DrainPatched))
	s.http = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		MaxHeaderBytes: 16 << 10,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return s, nil
}

// Serve serves until the context ends. If it can't listen it tries again.
func (s *Server) Serve(ctx context.Context, addr string) {
	httpserve.Serve(ctx, s.http, addr, " operators", s.log, func(l net.Listener) net.Listener {
		s.log.Info("serving operators", "addr", addr, "tls", s.cert != nil)
		l = netutil.LimitListener(l, maxConns)
		if s.cert != nil {
			l = tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.cert.get})
		}
		return l
	})
}

type errorBody struct {
	Error string `json:"error"`
}

var requestID = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// call returns the handler that passes a request with a verb on to the leader.
func (s *Server) call(verb node.Verb) echo.HandlerFunc {
	return func(c echo.Context) error {
		b, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
		if err != nil {
			return s.answer(c, node.CallReply{Status: http.StatusBadRequest,
				Err: "the body is over 64 KiB or could not be read"})
		}
		id := c.Request().Header.Get(RequestHeader)
		if id == "" {
			id = rand.Text()
		}
		if !requestID.MatchString(id) {
			return s.answer(c, node.CallReply{Status: http.StatusBadRequest, Err: RequestHeader +
				": must be 1 to 64 letters, digits, '.', '_', ':' and '-'"})
		}
		c.Response().Header().Set(RequestHeader, id)
		ctx, cancel := context.WithTimeout(c.Request().Context(), timeout)
		defer cancel()
		a, _ := c.Get(accessKey).(*config.Access)
		if verb.Changes() && !a.Operate {
			return s.answer(c, node.CallReply{Status: http.StatusForbidden, Err: a.Name +
				" has role read; changes need role operate"})
		}
		return s.answer(c, s.handler.Operate(ctx, node.Call{Verb: verb, Name: c.Param("name"), Machine: c.Param("machine"),
			Plan: string(b),
			Who:  a.Name, Request: id}))
	}
}

func (s *Server) answer(c echo.Context, r node.CallReply) error {
	s.calls.WithLabelValues(http.StatusText(r.Status)).Inc()
	if r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests {
		c.Response().Header().Set("Retry-After", "1")
	}
	if r.Err != "" {
		return c.JSON(r.Status, errorBody{r.Err})
	}
	return c.JSONBlob(r.Status, r.Body)
}

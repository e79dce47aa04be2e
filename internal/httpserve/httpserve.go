// Package httpserve contains what the controllers' HTTP servers share: serving with
// retries, and answers to errors that no handler answered.
package httpserve

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Serve serves on an address until the context ends. If it can't listen or serve it tries
// again, so that the process never exits by itself. It calls wrap with every new listener.
// label follows "not serving" in the log.
func Serve(ctx context.Context, srv *http.Server, addr, label string, log *slog.Logger,
	wrap func(net.Listener) net.Listener) {
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	for ctx.Err() == nil {
		l, err := net.Listen("tcp4", addr)
		if err == nil {
			err = srv.Serve(wrap(l))
		}
		if ctx.Err() == nil {
			log.Error("not serving"+label+"; retrying", "addr", addr, "err", err)
			time.Sleep(time.Second)
		}
	}
}

// ErrorHandler returns an error handler for echo. It answers requests that no handler answered,
// and logs errors that the caller did not cause.
func ErrorHandler(log *slog.Logger, answer func(c echo.Context, status int, msg string) error) echo.HTTPErrorHandler {
	return func(err error, c echo.Context) {
		status, msg := http.StatusInternalServerError, "internal error"
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status, msg = he.Code, http.StatusText(he.Code)
		} else {
			log.Error("request failed", "path", c.Path(), "err", err)
		}
		if !c.Response().Committed {
			if err := answer(c, status, msg); err != nil {
				log.Debug("failed to write answer", "err", err)
			}
		}
	}
}

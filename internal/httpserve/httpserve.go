// Package httpserve is what the controllers' HTTP doors share: a port that is taken
// is tried again, and errors that no handler answered are.
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

// Until serves on an address until the context ends, and tries again where it
// can't: the service never ends by itself. open gets every new listener; what is
// for the log, after "not serving".
func Until(ctx context.Context, srv *http.Server, addr, label string, log *slog.Logger,
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
			log.Error("not serving"+label+"; trying again", "addr", addr, "err", err)
			time.Sleep(time.Second)
		}
	}
}

// OnError answers what no handler did, and logs what is not the caller's doing.
func OnError(log *slog.Logger, answer func(c echo.Context, status int, msg string) error) echo.HTTPErrorHandler {
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
				log.Debug("answer not written", "err", err)
			}
		}
	}
}

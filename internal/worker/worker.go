// Package worker sends direct commands to workers, which need not wait for the workers' reports.
package worker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"honeylock/internal/core/model"
	"honeylock/internal/jsonhttp"
	"honeylock/internal/wire"
)

// Client sends direct commands to workers.
type Client struct {
	http    *jsonhttp.Client
	timeout time.Duration
}

// New returns a client whose commands time out after timeout. It keeps up to idle unused
// connections, to all workers together, for later commands.
func New(timeout time.Duration, idle int) *Client {
	return &Client{http: jsonhttp.New(1, idle, timeout), timeout: timeout}
}

// Send sends commands and returns the report that the worker answers. executed is false if
// the worker refused the commands because of their token or session (409).
func (c *Client) Send(ctx context.Context, addr string, token, session uint64,
	cmds []model.Command) (report *wire.RawReport, executed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, body, err := c.http.Do(ctx, http.MethodPost, "http://"+addr+"/commands", wire.Direct(token, session, cmds),
		nil)
	if err != nil {
		return nil, false, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, false, fmt.Errorf("worker %s: status %d", addr, status)
	}
	report, err = wire.ParseReport(body)
	return report, status == http.StatusOK, err
}

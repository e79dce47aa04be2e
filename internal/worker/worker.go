// Package worker sends commands to workers directly.
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

// Client sends direct commands.
type Client struct {
	http    *jsonhttp.Client
	timeout time.Duration
}

// New returns a client whose commands are given up after timeout. It keeps up to
// idle connections, of all workers together, for the next command.
func New(timeout time.Duration, idle int) *Client {
	return &Client{http: jsonhttp.New(1, idle, timeout), timeout: timeout}
}

// Send sends commands and returns the worker's report after them. executed is
// false if the worker refused them for their token or session (409).
func (c *Client) Send(ctx context.Context, addr string, token, session uint64,
	cmds []model.Command) (rep *wire.RawReport, executed bool, err error) {
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
	rep, err = wire.ParseReport(body)
	return rep, status == http.StatusOK, err
}

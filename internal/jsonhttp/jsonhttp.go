// Package jsonhttp sends JSON requests over HTTP/1.1 and reads answers of bounded size.
package jsonhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"honeylock/internal/exactjson"
)

// ErrNoAnswer means that the outcome is unknown: the request may or may not have been
// executed, or may still be executed later.
var ErrNoAnswer = errors.New("no answer")

const maxAnswer = 8 << 20 // bytes

// Client sends requests with common connection limits.
type Client struct{ http *http.Client }

// New returns a client with at most perHost connections to a server. It keeps up to idle
// unused connections, to all servers together, for later requests; 0: all of them.
func New(perHost, idle int, dial time.Duration) *Client {
	d := net.Dialer{Timeout: dial, KeepAlive: 15 * time.Second}
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, MaxConnsPerHost: perHost, MaxIdleConnsPerHost: perHost, MaxIdleConns: idle,
			IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends in as JSON (nil: no body) and decodes a 2xx answer into out (nil: the answer is
// discarded). It returns other statuses with the body and without an error.
func (c *Client) Do(ctx context.Context, method, url string, in, out any) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, nil, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil, fmt.Errorf("build request: %w", err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if out != nil && res.StatusCode/100 == 2 {
		if err := exactjson.Unmarshal(b, out); err != nil {
			return res.StatusCode, b, fmt.Errorf("%w: body can't be decoded: %w", ErrNoAnswer, err)
		}
	}
	return res.StatusCode, b, nil
}

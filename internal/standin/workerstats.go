package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// WorkerStats counts the workers' traffic with controllers and the outcomes of their reports. All
// workers of a group share it.
type WorkerStats struct {
	Reports    atomic.Int64 // sent
	Commands   atomic.Int64 // requests with direct commands that were executed
	Starts     atomic.Int64 // tasks that started to run
	Redirected atomic.Int64 // reports that were answered with another controller's name
	Unanswered atomic.Int64 // reports without a usable answer
	Dropped    atomic.Int64 // answers with a lower token or for an earlier session
	Expired    atomic.Int64 // leases that expired
	BytesIn    atomic.Int64 // on the workers' connections, including HTTP headers
	BytesOut   atomic.Int64
}

// newClient returns an HTTP client for one worker, which keeps one connection to a controller.
func (s *WorkerStats) newClient(timeout time.Duration) *http.Client {
	dialer := net.Dialer{Timeout: timeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{c, s}, nil
	}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1,
		DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}}
}

// countingConn counts the bytes that pass through a connection.
type countingConn struct {
	net.Conn
	stats *WorkerStats
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stats.BytesIn.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.stats.BytesOut.Add(int64(n))
	return n, err
}

package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Meter counts what workers spend on control and what becomes of their reports. It is
// shared by all workers of a group.
type Meter struct {
	Reports    atomic.Int64 // sent
	Commands   atomic.Int64 // direct calls that were carried out
	Starts     atomic.Int64 // tasks that came onto a machine
	Redirected atomic.Int64 // reports answered with another controller's name
	Unanswered atomic.Int64 // reports without an answer that helps
	Dropped    atomic.Int64 // answers with a lower token or for an earlier session
	Expired    atomic.Int64 // leases that ran out
	BytesIn    atomic.Int64 // on workers' connections, HTTP included
	BytesOut   atomic.Int64
}

// newClient returns a worker's own client: it keeps one connection to a controller.
func (m *Meter) newClient(timeout time.Duration) *http.Client {
	dialer := net.Dialer{Timeout: timeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{c, m}, nil
	}
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1,
		DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	stats *Meter
}

// Read counts what it reads.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stats.BytesIn.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.stats.BytesOut.Add(int64(n))
	return n, err
}

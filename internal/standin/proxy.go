package standin

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Proxy forwards TCP connections to an address on loopback and can simulate a network
// partition: connections then stay open but carry no data, and new ones are not forwarded.
type Proxy struct {
	target      string
	listener    net.Listener
	mu          sync.Mutex
	cond        *sync.Cond
	partitioned bool
	closed      bool
	connections map[net.Conn]bool
}

// NewProxy starts a proxy for an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	r := &Proxy{target: target, listener: l, connections: map[net.Conn]bool{}}
	r.cond = sync.NewCond(&r.mu)
	go r.acceptLoop()
	return r, nil
}

// Addr returns the address at which the proxy listens.
func (r *Proxy) Addr() string { return r.listener.Addr().String() }

// SetPartitioned holds back all data, or lets it pass again.
func (r *Proxy) SetPartitioned(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = on
	r.cond.Broadcast()
}

// Close stops the proxy and closes its connections.
func (r *Proxy) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed, r.partitioned = true, false
	for c := range r.connections {
		_ = c.Close()
	}
	r.cond.Broadcast()
}

// waitWhilePartitioned blocks until no partition is simulated.
func (r *Proxy) waitWhilePartitioned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.partitioned {
		r.cond.Wait()
	}
}

// acceptLoop accepts connections until the proxy is closed.
func (r *Proxy) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// track adds or removes an open connection. Adding returns false if the proxy is closed.
func (r *Proxy) track(c net.Conn, add bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if add && !r.closed {
		r.connections[c] = true
		return true
	}
	delete(r.connections, c)
	return false
}

// forward connects a client to the target and copies data in both directions.
func (r *Proxy) forward(client net.Conn) {
	defer client.Close()
	if !r.track(client, true) {
		return
	}
	defer r.track(client, false)
	r.waitWhilePartitioned()
	upstream, err := net.Dial("tcp4", r.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	if !r.track(upstream, true) {
		return
	}
	defer r.track(upstream, false)
	go func() { r.copyStream(upstream, client); _ = client.Close() }()
	r.copyStream(client, upstream)
}

// copyStream copies data in one direction until either side ends.
func (r *Proxy) copyStream(to io.Writer, from io.Reader) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		r.waitWhilePartitioned()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

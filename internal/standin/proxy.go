package standin

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Proxy stands between a client and an address on loopback, and can be cut: connections
// then stay open and carry nothing, and new ones are taken by nobody, as behind a cut of
// the network.
type Proxy struct {
	target      string
	listener    net.Listener
	mu          sync.Mutex
	cond        *sync.Cond
	partitioned bool
	closed      bool
	connections map[net.Conn]bool
}

// NewProxy begins to relay to an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Proxy{target: target, listener: l, connections: map[net.Conn]bool{}}
	r.cond = sync.NewCond(&r.mu)
	go r.acceptLoop()
	return r, nil
}

// Addr is where it listens.
func (r *Proxy) Addr() string { return r.listener.Addr().String() }

// SetPartitioned holds everything back, or lets it go on.
func (r *Proxy) SetPartitioned(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = on
	r.cond.Broadcast()
}

// Close ends it, with all its connections.
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

// waitWhilePartitioned waits while it is cut.
func (r *Proxy) waitWhilePartitioned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.partitioned {
		r.cond.Wait()
	}
}

func (r *Proxy) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// track notes an open connection; false: the relay has ended.
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

// copyStream carries what one side says to the other, piece by piece.
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

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
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	proxy := &Proxy{target: target, listener: listener, connections: map[net.Conn]bool{}}
	proxy.cond = sync.NewCond(&proxy.mu)
	go proxy.acceptLoop()
	return proxy, nil
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetPartitioned holds back all data, or lets it pass again.
func (p *Proxy) SetPartitioned(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = on
	p.cond.Broadcast()
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed, p.partitioned = true, false
	for c := range p.connections {
		_ = c.Close()
	}
	p.cond.Broadcast()
}

// waitWhilePartitioned blocks until no partition is simulated.
func (p *Proxy) waitWhilePartitioned() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.partitioned {
		p.cond.Wait()
	}
}

// acceptLoop accepts connections until the proxy is closed.
func (p *Proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// track adds or removes an open connection. Adding returns false if the proxy is closed.
func (p *Proxy) track(c net.Conn, add bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add && !p.closed {
		p.connections[c] = true
		return true
	}
	delete(p.connections, c)
	return false
}

// forward connects a client to the target and copies data in both directions.
func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	if !p.track(client, true) {
		return
	}
	defer p.track(client, false)
	p.waitWhilePartitioned()
	upstream, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	if !p.track(upstream, true) {
		return
	}
	defer p.track(upstream, false)
	go func() { p.copyStream(upstream, client); _ = client.Close() }()
	p.copyStream(client, upstream)
}

// copyStream copies data in one direction until either side ends.
func (p *Proxy) copyStream(to io.Writer, from io.Reader) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.waitWhilePartitioned()
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

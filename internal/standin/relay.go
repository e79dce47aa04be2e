package standin

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Relay stands between a client and an address on loopback, and can be cut: connections
// then stay open and carry nothing, and new ones are taken by nobody, as behind a cut of
// the network.
type Relay struct {
	to   string
	l    net.Listener
	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
	done bool
	open map[net.Conn]bool
}

// NewRelay begins to relay to an address.
func NewRelay(to string) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", to, err)
	}
	r := &Relay{to: to, l: l, open: map[net.Conn]bool{}}
	r.cond = sync.NewCond(&r.mu)
	go r.serve()
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.l.Addr().String() }

// Cut holds everything back, or lets it go on.
func (r *Relay) Cut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = on
	r.cond.Broadcast()
}

// Close ends it, with all its connections.
func (r *Relay) Close() {
	_ = r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done, r.cut = true, false
	for c := range r.open {
		_ = c.Close()
	}
	r.cond.Broadcast()
}

// pass waits while it is cut.
func (r *Relay) pass() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut {
		r.cond.Wait()
	}
}

func (r *Relay) serve() {
	for {
		a, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.join(a)
	}
}

// keep notes an open connection; false: the relay has ended.
func (r *Relay) keep(c net.Conn, on bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on && !r.done {
		r.open[c] = true
		return true
	}
	delete(r.open, c)
	return false
}

func (r *Relay) join(a net.Conn) {
	defer a.Close()
	if !r.keep(a, true) {
		return
	}
	defer r.keep(a, false)
	r.pass()
	b, err := net.Dial("tcp4", r.to)
	if err != nil {
		return
	}
	defer b.Close()
	if !r.keep(b, true) {
		return
	}
	defer r.keep(b, false)
	go func() { r.copy(b, a); _ = a.Close() }()
	r.copy(a, b)
}

// copy carries what one side says to the other, piece by piece.
func (r *Relay) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		r.pass()
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

package main

import (
	"net"
	"sync"
	"time"
)

// slowLink forwards TCP connections to an address. Each byte arrives later by the delay, in order; while the
// link is held nothing arrives.
type slowLink struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	cond     *sync.Cond
	delay    time.Duration
	held     bool
	closed   bool
	conns    map[net.Conn]bool
}

func newSlowLink(target string) (*slowLink, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &slowLink{target: target, listener: l, conns: map[net.Conn]bool{}}
	s.cond = sync.NewCond(&s.mu)
	go s.accept()
	return s, nil
}

// Addr returns the address at which the link listens.
func (s *slowLink) Addr() string { return s.listener.Addr().String() }

// SetPartitioned holds back all bytes, or lets them pass again.
func (s *slowLink) SetPartitioned(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = on
	s.cond.Broadcast()
}

// SetDelay sets how late bytes arrive.
func (s *slowLink) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Close ends the link and its connections.
func (s *slowLink) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed, s.held = true, false
	for c := range s.conns {
		_ = c.Close()
	}
	s.cond.Broadcast()
}

func (s *slowLink) accept() {
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.forward(client)
	}
}

// track records a connection, and returns false if the link is closed.
func (s *slowLink) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return !s.closed
}

func (s *slowLink) forward(client net.Conn) {
	defer client.Close()
	s.pass(time.Now())
	upstream, err := net.Dial("tcp4", s.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	if !s.track(client) || !s.track(upstream) {
		return
	}
	go func() { s.copy(upstream, client); _ = client.Close() }()
	s.copy(client, upstream)
	s.mu.Lock()
	delete(s.conns, client)
	delete(s.conns, upstream)
	s.mu.Unlock()
}

// pass waits until what was sent at a time has arrived.
func (s *slowLink) pass(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.held {
		s.cond.Wait()
	}
	wait := time.Until(sent.Add(s.delay))
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
	for s.held {
		s.cond.Wait()
	}
}

type piece struct {
	sent time.Time
	data []byte
}

// copy copies one direction until either side ends.
func (s *slowLink) copy(to, from net.Conn) {
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{time.Now(), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		s.pass(p.sent)
		if _, err := to.Write(p.data); err != nil {
			_ = from.Close()
			for range pieces { // until the reader has seen that
			}
			return
		}
	}
}

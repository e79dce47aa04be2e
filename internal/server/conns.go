package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connTracker counts the server's connections and shares the sockets between users and
// workers. Both use the same port and can't be distinguished before a request arrives.
// Users never get more than maxUsers connections, and once evictThreshold connections
// are open each new one closes the user connection that has been idle for longest. While
// workers hold more than maxOthers, their connections are closed after each answer.
type connTracker struct {
	mu             sync.Mutex
	evictThreshold int // with more open connections, idle ones of users are closed
	maxUsers       int // limit of connections that carry users' requests
	maxOthers      int // limit of all others: workers, and connections without a request so far
	open           int
	users          map[net.Conn]*list.Element // nil: a request is in progress
	idleUsers      *list.List                 // values are net.Conn, the longest idle first
}

func newConnTracker(limit int) *connTracker {
	return &connTracker{
		evictThreshold: limit * 9 / 10,
		maxUsers:       limit * 6 / 10,
		maxOthers:      limit * 8 / 10,
		users:          map[net.Conn]*list.Element{},
		idleUsers:      list.New(),
	}
}

// admitUser reports whether a connection may carry a user's request.
func (t *connTracker) admitUser(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.users[c]; ok {
		return true
	}
	if len(t.users) >= t.maxUsers {
		return false
	}
	t.users[c] = nil
	return true
}

// mayKeepWorker reports whether a worker's connection may stay open after its answer. If
// workers held all sockets, neither users nor the load balancer's health checks could
// connect. Workers report every few seconds and need no connection in between.
func (t *connTracker) mayKeepWorker() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open-len(t.users) <= t.maxOthers
}

// onStateChange is the server's ConnState hook.
func (t *connTracker) onStateChange(c net.Conn, st http.ConnState) {
	if evicted := t.track(c, st); evicted != nil {
		evicted.Close() // its user reconnects with the next request
	}
}

// track records a connection's state and returns the idle connection to close, if any.
func (t *connTracker) track(c net.Conn, st http.ConnState) (evicted net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	idleElement, isUser := t.users[c]
	switch st {
	case http.StateNew:
		if t.open++; t.open > t.evictThreshold && t.idleUsers.Len() > 0 {
			return t.idleUsers.Front().Value.(net.Conn)
		}
	case http.StateActive:
		if idleElement != nil {
			t.idleUsers.Remove(idleElement)
			t.users[c] = nil
		}
	case http.StateIdle:
		if isUser && idleElement == nil {
			t.users[c] = t.idleUsers.PushBack(c)
		}
	case http.StateClosed, http.StateHijacked:
		t.open--
		if idleElement != nil {
			t.idleUsers.Remove(idleElement)
		}
		delete(t.users, c)
	}
	return nil
}

// reservedSockets returns the number of sockets that a controller reserves for connections it
// opens itself: to the state service, the cloud, other controllers, and workers that get
// direct commands.
func reservedSockets(fdLimit, directConns int) int { return min(fdLimit/3, 64+directConns) }

package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connTracker keeps count of the server's connections. Users and workers come through the same
// port, and nothing tells them apart until a request arrives. Neither can crowd out the
// other: a part of the sockets is never the users', and once nearly all are taken the
// users that have been idle for longest are closed; another part is never the workers',
// whose connections are closed after each answer while they hold more.
type connTracker struct {
	mu             sync.Mutex
	evictThreshold int // from so many connections on idle users are let go
	maxUsers       int // users
	maxOthers      int // others: workers, and whoever has not said anything yet
	open           int
	users          map[net.Conn]*list.Element // nil: it carries a request
	idleUsers      *list.List                 // of net.Conn, the longest idle first
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

// admitUser tells whether a connection may carry a user's request.
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

// mayKeepWorker tells whether a worker's connection may stay open after its answer. With all
// sockets taken by workers neither a user nor the load balancer's health check gets in, while
// workers that report each few seconds need none in between.
func (t *connTracker) mayKeepWorker() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open-len(t.users) <= t.maxOthers
}

// onStateChange follows a connection.
func (t *connTracker) onStateChange(c net.Conn, st http.ConnState) {
	if evicted := t.track(c, st); evicted != nil {
		evicted.Close() // its user opens another when it asks again
	}
}

// track returns the connection that must go, if any.
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

// reservedSockets is how many of its sockets a controller keeps for what it opens itself: the
// state service, the cloud, siblings, and workers that it tells something directly.
func reservedSockets(fdLimit, directConns int) int { return min(fdLimit/3, 64+directConns) }

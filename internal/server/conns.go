package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// conns keeps count of the server's connections. Users and workers come through the same
// port, and nothing tells them apart until a request arrives. Neither can crowd out the
// other: a part of the sockets is never the users', and once nearly all are taken the
// users that have been idle for longest are closed; another part is never the workers',
// whose connections are closed after each answer while they hold more.
type conns struct {
	mu   sync.Mutex
	full int // from so many connections on idle users are let go
	most int // users
	rest int // others: workers, and whoever has not said anything yet
	open int
	user map[net.Conn]*list.Element // nil: it carries a request
	idle *list.List                 // of net.Conn, the longest idle first
}

func newConns(limit int) *conns {
	return &conns{
		full: limit * 9 / 10,
		most: limit * 6 / 10,
		rest: limit * 8 / 10,
		user: map[net.Conn]*list.Element{},
		idle: list.New(),
	}
}

// admit tells whether a connection may carry a user's request.
func (u *conns) admit(c net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.user[c]; ok {
		return true
	}
	if len(u.user) >= u.most {
		return false
	}
	u.user[c] = nil
	return true
}

// keepsWorker tells whether a worker's connection may stay open after its answer. With all
// sockets taken by workers neither a user nor the load balancer's health check gets in, while
// workers that report each few seconds need none in between.
func (u *conns) keepsWorker() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open-len(u.user) <= u.rest
}

// state follows a connection.
func (u *conns) state(c net.Conn, st http.ConnState) {
	if out := u.follow(c, st); out != nil {
		out.Close() // its user opens another when it asks again
	}
}

// follow returns the connection that must go, if any.
func (u *conns) follow(c net.Conn, st http.ConnState) (out net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e, isUser := u.user[c]
	switch st {
	case http.StateNew:
		if u.open++; u.open > u.full && u.idle.Len() > 0 {
			return u.idle.Front().Value.(net.Conn)
		}
	case http.StateActive:
		if e != nil {
			u.idle.Remove(e)
			u.user[c] = nil
		}
	case http.StateIdle:
		if isUser && e == nil {
			u.user[c] = u.idle.PushBack(c)
		}
	case http.StateClosed, http.StateHijacked:
		u.open--
		if e != nil {
			u.idle.Remove(e)
		}
		delete(u.user, c)
	}
	return nil
}

// own is how many of its sockets a controller keeps for what it opens itself: the
// state service, the cloud, siblings, and workers that it tells something directly.
func own(fdLimit, directs int) int { return min(fdLimit/3, 64+directs) }

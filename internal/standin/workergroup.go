package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// MachineSpec describes a machine that is to boot.
type MachineSpec struct {
	Name, Yard string
	Spot       bool
	Kind       MachineType
	First      int // index of the controller to which it reports first
}

// maxGroupWorkers is the number of loopback addresses of a group: a /16 network without the
// first and the last address of each /24.
const maxGroupWorkers = 256 * 254

var errGroupFull = errors.New("worker group has no free address")

// WorkerGroup runs many workers in one process behind one listener. Each worker has its own
// loopback address, 127.NETWORK.x.y, and all share one port.
type WorkerGroup struct {
	Stats   WorkerStats
	timing  Timing
	tasks   *TaskRegistry
	hosts   []Host
	network byte
	port    int
	server  *http.Server

	mu            sync.Mutex
	nextIndex     int
	handlersByIP  map[string]http.Handler
	workersByName map[string]*Worker
}

// NewWorkerGroup starts a group. network is the second byte of its workers' addresses.
func NewWorkerGroup(network byte, t Timing, tasks *TaskRegistry, hosts []Host) (*WorkerGroup, error) {
	// A single socket can serve the whole loopback range only on the unspecified address;
	// loopbackListener closes connections to all other addresses.
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("worker group: %w", err)
	}
	g := &WorkerGroup{timing: t, tasks: tasks, hosts: hosts, network: network, port: listener.Addr().(*net.TCPAddr).Port,
		handlersByIP: map[string]http.Handler{}, workersByName: map[string]*Worker{}}
	g.server = &http.Server{Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = g.server.Serve(&loopbackListener{listener, &g.Stats}) }() // returns when Close is called
	return g, nil
}

// loopbackListener accepts only connections to loopback addresses and counts their bytes.
type loopbackListener struct {
	net.Listener
	stats *WorkerStats
}

// Accept returns the next connection to a loopback address.
func (l *loopbackListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if a, ok := c.LocalAddr().(*net.TCPAddr); ok && a.IP.IsLoopback() {
			return &countingConn{c, l.stats}, nil
		}
		c.Close()
	}
}

// serve forwards a request to the worker that has its destination address.
func (g *WorkerGroup) serve(rw http.ResponseWriter, r *http.Request) {
	a, _ := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	var h http.Handler
	if a != nil {
		g.mu.Lock()
		h = g.handlersByIP[a.IP.String()]
		g.mu.Unlock()
	}
	if h == nil { // no machine has this address: the client gets no answer
		<-r.Context().Done()
		return
	}
	h.ServeHTTP(rw, r)
}

// address returns the group's nth loopback address.
func (g *WorkerGroup) address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", g.network, n/254, n%254+1)
}

// Boot boots a machine and returns its worker's address.
func (g *WorkerGroup) Boot(m MachineSpec) (addr string, err error) {
	w := newWorker(m, g.timing, g.tasks, g.hosts, &g.Stats)
	g.mu.Lock()
	if g.nextIndex >= maxGroupWorkers {
		g.mu.Unlock()
		return "", errGroupFull
	}
	ip := g.address(g.nextIndex)
	g.nextIndex++
	w.addr = fmt.Sprintf("%s:%d", ip, g.port)
	w.unlisten = func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.handlersByIP, ip)
		delete(g.workersByName, m.Name)
	}
	g.handlersByIP[ip], g.workersByName[m.Name] = w.handler(), w
	g.mu.Unlock()
	w.start()
	return w.addr, nil
}

// Worker returns the running machine with that name, or nil.
func (g *WorkerGroup) Worker(name string) *Worker {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.workersByName[name]
}

// End stops a machine and its tasks; the name may be unknown.
func (g *WorkerGroup) End(name string) {
	if w := g.Worker(name); w != nil {
		w.Kill()
	}
}

// Size returns the number of running machines.
func (g *WorkerGroup) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.workersByName)
}

// Close stops all machines and the listener.
func (g *WorkerGroup) Close() {
	g.mu.Lock()
	all := make([]*Worker, 0, len(g.workersByName))
	for _, w := range g.workersByName {
		all = append(all, w)
	}
	g.mu.Unlock()
	for _, w := range all {
		w.Kill()
	}
	_ = g.server.Close()
}

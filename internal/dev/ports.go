package dev

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Clusters listen on ports below the range of ephemeral ports. An outgoing connection could
// otherwise take a port before its controller listens, or while the controller is restarted,
// and the controller could then not be reached.
const (
	firstPort       = 10_240
	portCount       = 20_000
	maxPortAttempts = 50
)

// allocatedPorts are the ports that this process has allocated. The port of a stopped controller
// looks free until it is started again; if another cluster of this process got that port, its
// controller would answer requests for the wrong cluster.
var allocatedPorts = struct {
	mu    sync.Mutex
	taken map[int]bool
}{taken: map[int]bool{}}

var errNoPort = errors.New("all ports that were tried are already allocated")

// FreeAddr returns a loopback address that is free. It never returns an address twice.
func FreeAddr() (string, error) {
	allocatedPorts.mu.Lock()
	defer allocatedPorts.mu.Unlock()
	err := errNoPort
	for range maxPortAttempts {
		port := firstPort + rand.IntN(portCount)
		if allocatedPorts.taken[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		var l net.Listener
		if l, err = net.Listen("tcp4", addr); err == nil {
			allocatedPorts.taken[port] = true
			return addr, l.Close()
		}
	}
	return "", fmt.Errorf("no free port: %w", err)
}

package dev

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports that clusters listen on: below those that outgoing connections get. One that was
// free when it was chosen was now and then taken by a connection before its controller
// listened, or while it was restarted, and the controller could not be reached.
const (
	firstPort       = 10_240
	portCount       = 20_000
	maxPortAttempts = 50
)

// allocatedPorts are those that this process has given away. The port of a controller that is
// stopped is free until it is started again: given to another cluster of the same process,
// it answered for a cluster that it was not of.
var allocatedPorts = struct {
	mu    sync.Mutex
	taken map[int]bool
}{taken: map[int]bool{}}

var errNoPort = errors.New("those that were tried are given away")

// FreeAddr returns a loopback address that was free just now. It returns none twice.
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

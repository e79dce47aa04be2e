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
	firstPort = 10_240
	ports     = 20_000
	portTries = 50
)

// givenPorts are those that this process has given away. The port of a controller that is
// stopped is free until it is started again: given to another cluster of the same process,
// it answered for a cluster that it was not of.
var givenPorts = struct {
	mu sync.Mutex
	by map[int]bool
}{by: map[int]bool{}}

var errNoPort = errors.New("those that were tried are given away")

// FreeAddr returns a loopback address that was free just now. It returns none twice.
func FreeAddr() (string, error) {
	givenPorts.mu.Lock()
	defer givenPorts.mu.Unlock()
	err := errNoPort
	for range portTries {
		port := firstPort + rand.IntN(ports)
		if givenPorts.by[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		var l net.Listener
		if l, err = net.Listen("tcp4", addr); err == nil {
			givenPorts.by[port] = true
			return addr, l.Close()
		}
	}
	return "", fmt.Errorf("no free port: %w", err)
}

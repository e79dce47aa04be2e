// Package standin contains stand-ins for the services that controllers depend on: the state
// service, the cloud and the workers. They listen on loopback and follow the published
// protocols. Tests, `honeylock dev` and scale runs use them; a deployed controller does not.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// object is a JSON object.
type object = map[string]any

// writeJSON answers a request with a status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected; a stand-in need not care
}

// loopbackServer is an HTTP server on its own loopback port.
type loopbackServer struct {
	addr   string
	server *http.Server
}

// startServer serves a handler on a free loopback port.
func startServer(h http.Handler) (*loopbackServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &loopbackServer{listener.Addr().String(), &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}}
	go func() { _ = server.server.Serve(listener) }() // returns when close is called
	return server, nil
}

// close stops the server and closes its connections.
func (s *loopbackServer) close() { _ = s.server.Close() }

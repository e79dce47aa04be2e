// Package standin plays the outside world of the controllers on loopback, by its
// published protocol: the state service, the cloud and the workers. Tests and
// `honeylock dev` use it; nothing of it runs in a deployed controller.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

type object = map[string]any

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a reader that is gone is no concern of a stand-in's
}

// loopbackServer serves a handler on a loopback port of its own.
type loopbackServer struct {
	addr   string
	server *http.Server
}

func startServer(h http.Handler) (*loopbackServer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &loopbackServer{l.Addr().String(), &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}}
	go func() { _ = d.server.Serve(l) }() // it ends with Close
	return d, nil
}

func (d *loopbackServer) close() { _ = d.server.Close() }

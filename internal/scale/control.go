package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Paths of the control servers of a run's own processes.
const (
	pathAttach  = "/attach"  // hollow: where users' jobs are described
	pathBoot    = "/boot"    // hollow: a machine comes up
	pathEnd     = "/end"     // hollow: a machine ends
	pathRunning = "/running" // hollow: how many tasks of a job are on machines
	pathStats   = "/stats"   // both; ?reset=1 begins the quantiles anew
	pathJob     = "/job/"    // world: a job's description
	pathSeed    = "/seed"    // world: the machines that are up from the beginning
	pathLoad    = "/load"    // world: users begin
	pathLose    = "/lose"    // world: machines stop
)

// Ready is what a child says on its standard output once it serves.
type Ready struct {
	Control string
	State   []string // world: the state service's address for each controller
	Cloud   string   // world
}

// AttachRequest tells a hollow process where jobs are described.
type AttachRequest struct{ World string }

// NameRequest is a machine's name.
type NameRequest struct{ Name string }

// LoseRequest has machines stop: Count of a zone, or of all zones. For good: the zone has no others.
type LoseRequest struct {
	Count   int
	Zone    string
	ForGood bool
}

// RunningReply is how many tasks of a job are on machines.
type RunningReply struct{ Tasks int }

// BootReply is a machine's address.
type BootReply struct{ Addr string }

// maxControlBytes is the largest message between a run's own processes.
const maxControlBytes = 64 << 20

// serveControl serves a child's control requests on loopback and returns its address.
func serveControl(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("control server: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // it ends with Close
	return listener.Addr().String(), nil
}

// controlHandler serves a control request: In is read from its body, what f returns is answered.
func controlHandler[In, Out any](f func(In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
		if err == nil && len(b) > 0 {
			err = json.Unmarshal(b, &in)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out) // a caller that is gone needs no answer
	}
}

// controlClient is for calls between a run's own processes.
var controlClient = &http.Client{Timeout: 2 * time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// callControl calls a child's control server.
func callControl(ctx context.Context, method, addr, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer response.Body.Close()
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %.200s", path, response.StatusCode, encoded)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(encoded, out); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// announceReady tells the parent that this child serves, and waits until the parent is gone or
// the context ends.
func announceReady(ctx context.Context, in io.Reader, out io.Writer, ready Ready) error {
	if err := json.NewEncoder(out).Encode(ready); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	parentGone := make(chan struct{})
	go func() {
		defer close(parentGone)
		_, _ = io.Copy(io.Discard, in) // until the parent closes it, or ends
	}()
	select {
	case <-ctx.Done():
	case <-parentGone:
	}
	return nil
}

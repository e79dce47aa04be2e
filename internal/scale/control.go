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

// Attach tells a hollow process where jobs are described.
type Attach struct{ World string }

// Named is a machine's name.
type Named struct{ Name string }

// Lose has machines stop: Count of a zone, or of all zones. For good: the zone has no others.
type Lose struct {
	Count   int
	Zone    string
	ForGood bool
}

// Running is how many tasks of a job are on machines.
type Running struct{ Tasks int }

// Booted is a machine's address.
type Booted struct{ Addr string }

// maxControl is the largest message between a run's own processes.
const maxControl = 64 << 20

// serveControl serves a child's control requests on loopback and returns its address.
func serveControl(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("control server: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }() // it ends with Close
	return l.Addr().String(), nil
}

// handle serves a control request: In is read from its body, what f returns is answered.
func handle[In, Out any](f func(In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControl))
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

// control calls a child's control server.
func control(ctx context.Context, method, addr, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	res, err := controlClient.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxControl))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %.200s", path, res.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// announce tells the parent that this child serves, and waits until the parent is gone or
// the context ends.
func announce(ctx context.Context, in io.Reader, out io.Writer, r Ready) error {
	if err := json.NewEncoder(out).Encode(r); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, in) // until the parent closes it, or ends
	}()
	select {
	case <-ctx.Done():
	case <-gone:
	}
	return nil
}

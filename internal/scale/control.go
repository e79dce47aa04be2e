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

	"honeylock/internal/exactjson"
)

// Paths of the control servers of the hollow and world processes.
const (
	pathAttach  = "/attach"  // hollow: sets the address that serves job descriptions
	pathBoot    = "/boot"    // hollow: starts a machine
	pathEnd     = "/end"     // hollow: stops a machine
	pathRunning = "/running" // hollow: number of a job's tasks on machines
	pathStats   = "/stats"   // both: counts and quantiles; ?reset=1 restarts the quantiles
	pathJob     = "/job/"    // world: description of a job
	pathSeed    = "/seed"    // world: starts the initial machines
	pathLoad    = "/load"    // world: starts the users
	pathLose    = "/lose"    // world: stops machines abruptly
)

// ReadyMessage is the message that a child process writes to its standard output once it is ready.
type ReadyMessage struct {
	Control string   // address of the control server
	State   []string // world: address of the state service for each controller
	Cloud   string   // world: address of the cloud
}

// AttachRequest gives a hollow process the control address of its region's world process.
type AttachRequest struct{ World string }

// NameRequest names a machine or a job.
type NameRequest struct{ Name string }

// LoseRequest stops Count machines of a zone, or of all zones if Zone is empty. With ForGood the cloud offers no more
// machines in the zone.
type LoseRequest struct {
	Count   int
	Zone    string
	ForGood bool
}

// RunningReply holds the number of a job's tasks on machines.
type RunningReply struct{ Tasks int }

// BootReply holds the address of a started machine's worker.
type BootReply struct{ Addr string }

// maxControlBytes is the size limit of requests and answers of the control servers.
const maxControlBytes = 64 << 20

// serveControl starts a control server on the loopback interface and returns its address. It stops with the context.
func serveControl(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("control server: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // returns after Close
	return listener.Addr().String(), nil
}

// controlHandler returns a handler that decodes the request body as In, calls f and encodes its result as the answer.
func controlHandler[In, Out any](f func(In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var input In
		encoded, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
		if err == nil && len(encoded) > 0 {
			err = exactjson.Unmarshal(encoded, &input)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		output, err := f(input)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(output) // the error is ignored: a caller that has disconnected needs no answer
	}
}

// controlClient is the HTTP client for control requests.
var controlClient = &http.Client{Timeout: 2 * time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// callControl sends a request to a child's control server. in is the body unless nil; out receives the answer unless
// nil.
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
	if err := exactjson.Unmarshal(encoded, out); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// announceReady writes the ReadyMessage for the parent, then waits until the parent closes the child's standard input
// or exits, or the context ends.
func announceReady(ctx context.Context, in io.Reader, out io.Writer, ready ReadyMessage) error {
	if err := json.NewEncoder(out).Encode(ready); err != nil {
		return fmt.Errorf("write the ready message: %w", err)
	}
	parentGone := make(chan struct{})
	go func() {
		defer close(parentGone)
		_, _ = io.Copy(io.Discard, in) // until the parent closes it or exits
	}()
	select {
	case <-ctx.Done():
	case <-parentGone:
	}
	return nil
}

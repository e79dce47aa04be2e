package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"
	"time"
)

// commandPath is the way of direct commands to the machines. While delay is set, each command is held up
// on its way, unanswered, and delivered once, so much later. Workers name the addresses of this way in
// their reports, which pass through it as well.
type commandPath struct {
	delay  atomic.Int64
	held   atomic.Int64 // number of commands that were held up
	mu     sync.Mutex
	byAddr map[string]string // address of the way by the worker's own
	client http.Client
}

var addrField = regexp.MustCompile(`"Addr":"([0-9.:]+)"`)

// reports serves an address at which workers reach a controller.
func (p *commandPath) reports(controller string) (addr string, err error) {
	return p.serve(func(rw http.ResponseWriter, r *http.Request, body []byte) {
		body = addrField.ReplaceAllFunc(body, func(field []byte) []byte {
			way, err := p.way(string(addrField.FindSubmatch(field)[1]))
			if err != nil {
				return field
			}
			return []byte(`"Addr":"` + way + `"`)
		})
		p.pass(r.Context(), rw, r, "http://"+controller+r.URL.RequestURI(), body)
	})
}

// way returns the address at which controllers reach a worker.
func (p *commandPath) way(worker string) (addr string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr = p.byAddr[worker]; addr != "" {
		return addr, nil
	}
	addr, err = p.serve(func(rw http.ResponseWriter, r *http.Request, body []byte) {
		to := "http://" + worker + r.URL.RequestURI()
		if late := time.Duration(p.delay.Load()); late > 0 {
			p.held.Add(1)
			time.AfterFunc(late, func() { p.pass(context.Background(), discard{}, r, to, body) })
			<-r.Context().Done() // its sender gives up
			return
		}
		p.pass(r.Context(), rw, r, to, body)
	})
	if err == nil {
		if p.byAddr == nil {
			p.byAddr = map[string]string{}
		}
		p.byAddr[worker] = addr
	}
	return addr, err
}

// serve serves requests on a free address.
func (p *commandPath) serve(handle func(http.ResponseWriter, *http.Request, []byte)) (addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		handle(rw, r, body)
	}), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// pass sends a request on and its answer back.
func (p *commandPath) pass(ctx context.Context, rw http.ResponseWriter, r *http.Request, url string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	res, err := p.client.Do(req)
	if err != nil {
		if _, late := rw.(discard); !late {
			panic(http.ErrAbortHandler)
		}
		return
	}
	defer res.Body.Close()
	rw.WriteHeader(res.StatusCode)
	_, _ = io.Copy(rw, res.Body)
}

// discard is the answer to a request whose sender has given up.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

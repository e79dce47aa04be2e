package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

type object = map[string]any

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type item struct {
	v     json.RawMessage
	frame uint64
	lease uint64
}

// stateService is a stand-in of the state service.
type stateService struct {
	mu     sync.Mutex
	rev    uint64
	keys   map[string]item
	leases map[uint64]time.Time
	ttl    map[uint64]time.Duration
	events []object
	change chan struct{}
}

// front is one controller's way to the state service, which may refuse it.
type front struct {
	addr    string
	refuses atomic.Bool
}

// newState starts a state service with a front for each of n controllers.
func newState(t *testing.T, n int) (*stateService, []*front) {
	s := &stateService{rev: 1, keys: map[string]item{}, leases: map[uint64]time.Time{}, ttl: map[uint64]time.Duration{}, change: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /grants", s.grant)
	mux.HandleFunc("POST /grants/{id}/extend", s.extend)
	mux.HandleFunc("DELETE /grants/{id}", s.end)
	mux.HandleFunc("GET /watch", s.watch)
	fronts := make([]*front, n)
	for i := range fronts {
		f := &front{}
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if f.refuses.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
			mux.ServeHTTP(w, r)
		}))
		t.Cleanup(srv.CloseClientConnections)
		f.addr = srv.Listener.Addr().String()
		fronts[i] = f
	}
	return s, fronts
}

func (s *stateService) expire() {
	for id, end := range s.leases {
		if time.Now().After(end) {
			s.drop(id)
		}
	}
}

func (s *stateService) drop(id uint64) {
	delete(s.leases, id)
	s.rev++
	for k, it := range s.keys {
		if it.lease == id {
			delete(s.keys, k)
			s.event(object{"Drop": k, "Frame": s.rev})
		}
	}
}

func (s *stateService) event(e object) {
	s.events = append(s.events, e)
	close(s.change)
	s.change = make(chan struct{})
}

func (s *stateService) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.keys[r.PathValue("key")]
	if !ok {
		write(w, http.StatusNotFound, object{"FrameCount": s.rev})
		return
	}
	write(w, http.StatusOK, object{"K": r.PathValue("key"), "V": it.v, "Frame": it.frame, "Nectar": it.lease})
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var ks []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("Starts")) && k > q.Get("From") {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	entries := []object{}
	for _, k := range ks {
		entries = append(entries, object{"K": k, "V": s.keys[k].v, "Frame": s.keys[k].frame})
	}
	write(w, http.StatusOK, object{"Entries": entries, "Truncated": false, "FrameCount": s.rev})
}

func (s *stateService) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Guards []struct {
			K     string
			Frame uint64
		}
		Then []struct {
			Put    string
			V      json.RawMessage
			Nectar uint64
			Drop   string
		}
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		write(w, http.StatusBadRequest, object{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range t.Then {
		if _, ok := s.leases[op.Nectar]; op.Nectar != 0 && !ok {
			write(w, http.StatusBadRequest, object{"error": "no such lease"})
			return
		}
	}
	for _, g := range t.Guards {
		if s.keys[g.K].frame != g.Frame {
			write(w, http.StatusConflict, object{"failed": []string{g.K}, "FrameCount": s.rev})
			return
		}
	}
	s.rev++
	for _, op := range t.Then {
		if op.Put != "" {
			s.keys[op.Put] = item{op.V, s.rev, op.Nectar}
			s.event(object{"Put": op.Put, "V": op.V, "Frame": s.rev})
		} else {
			delete(s.keys, op.Drop)
			s.event(object{"Drop": op.Drop, "Frame": s.rev})
		}
	}
	write(w, http.StatusOK, object{"FrameCount": s.rev})
}

func (s *stateService) grant(w http.ResponseWriter, r *http.Request) {
	var b struct{ TtlMs int64 }
	_ = json.NewDecoder(r.Body).Decode(&b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.ttl[s.rev] = time.Duration(b.TtlMs) * time.Millisecond
	s.leases[s.rev] = time.Now().Add(s.ttl[s.rev])
	write(w, http.StatusOK, object{"Nectar": s.rev})
}

func (s *stateService) extend(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		write(w, http.StatusNotFound, object{})
		return
	}
	s.leases[id] = time.Now().Add(s.ttl[id])
	write(w, http.StatusOK, object{"Nectar": id})
}

func (s *stateService) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	write(w, http.StatusOK, object{})
}

func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("From"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	over := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		evs := []object{}
		for _, e := range s.events {
			k, _ := e["Put"].(string)
			if k == "" {
				k, _ = e["Drop"].(string)
			}
			if e["Frame"].(uint64) > from && strings.HasPrefix(k, q.Get("Starts")) {
				evs = append(evs, e)
			}
		}
		rev, change := s.rev, s.change
		s.mu.Unlock()
		if len(evs) > 0 {
			write(w, http.StatusOK, object{"FrameCount": rev, "Events": evs})
			return
		}
		select {
		case <-change:
		case <-time.After(100 * time.Millisecond): // leases end
		case <-over:
			write(w, http.StatusOK, object{"FrameCount": rev, "Events": evs})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// cloudService is a stand-in of the cloud: it has no machines to rent beyond
// the workers that are up.
type cloudService struct {
	mu      sync.Mutex
	workers []*agent
}

func newCloud(t *testing.T, workers []*agent) string {
	c := &cloudService{workers: workers}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		write(w, http.StatusOK, object{"Breeds": []object{{"Label": "g8", "Cpus": 8, "Accelerators": 0, "MemGb": 32, "LocalGb": 50, "PullGbPerS": 1,
			"Hourly": 1, "MarketPrice": 0.3, "ReadyS": 10, "Yards": []string{"a", "b"}}}})
	})
	mux.HandleFunc("GET /rentals", func(w http.ResponseWriter, _ *http.Request) {
		hives := []object{}
		for _, a := range c.workers {
			hives = append(hives, object{"NameId": a.name, "Addr": a.addr, "Breed": "g8", "Yard": "a", "SwarmBoxes": false, "Stage": "running", "HeldS": 60})
		}
		write(w, http.StatusOK, object{"Hives": hives, "Truncated": false})
	})
	mux.HandleFunc("POST /rentals", func(w http.ResponseWriter, _ *http.Request) {
		write(w, http.StatusServiceUnavailable, object{"error": "no capacity"})
	})
	mux.HandleFunc("POST /rentals/return", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, object{}) })
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.CloseClientConnections)
	return srv.Listener.Addr().String()
}

type running struct {
	stage, cause string
	end          time.Time
}

// agent is a stand-in of a worker.
type agent struct {
	mu       sync.Mutex
	t        *testing.T
	name     string
	addr     string
	nodes    map[string]string // host -> address
	hosts    []string
	target   int
	seq      uint64
	token    uint64
	cells    map[string]*running // task#attempt
	starts   map[string]int
	duration time.Duration
}

func newAgent(t *testing.T, i int, duration time.Duration) *agent {
	a := &agent{t: t, name: fmt.Sprintf("m-%06d", i), cells: map[string]*running{}, starts: map[string]int{}, duration: duration, target: i}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			QueenMark, Flight uint64
			Dances            []dance
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		a.mu.Lock()
		defer a.mu.Unlock()
		if b.QueenMark < a.token || b.Flight != 1 {
			write(w, http.StatusConflict, a.report())
			return
		}
		a.token = b.QueenMark
		a.execute(b.Dances)
		write(w, http.StatusOK, a.report())
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.CloseClientConnections)
	a.addr = srv.Listener.Addr().String()
	return a
}

type dance struct {
	Dance, Cell string
	Brood       uint64
}

func (a *agent) execute(ds []dance) {
	for _, d := range ds {
		k := fmt.Sprintf("%s#%d", d.Cell, d.Brood)
		c := a.cells[k]
		switch {
		case d.Dance == "launch" && c == nil:
			a.cells[k] = &running{stage: "running", end: time.Now().Add(a.duration)}
			a.starts[d.Cell]++
		case d.Dance == "kill" && c != nil && c.stage == "running":
			c.stage, c.cause = "exited", "stopped"
		case d.Dance == "clear" && c != nil && c.stage == "exited":
			delete(a.cells, k)
		}
	}
}

func (a *agent) report() object {
	a.seq++
	cells := []object{}
	for k, c := range a.cells {
		if c.stage == "running" && time.Now().After(c.end) {
			c.stage, c.cause = "exited", "done"
		}
		task, attempt, _ := strings.Cut(k, "#")
		cells = append(cells, object{"Cell": task, "Brood": json.Number(attempt), "Stage": c.stage, "Cause": c.cause})
	}
	return object{"Hive": a.name, "Addr": a.addr, "Breed": "g8", "Yard": "a", "SwarmBoxes": false, "Flight": 1, "Buzz": a.seq,
		"QueenMark": a.token, "SmokeS": nil, "Cells": cells}
}

// run reports until stop is closed.
func (a *agent) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: 4 * time.Second}
	for {
		a.mu.Lock()
		body, _ := json.Marshal(a.report())
		host := a.hosts[a.target%len(a.hosts)]
		a.mu.Unlock()
		pause := 300 * time.Millisecond
		res, err := client.Post("http://"+a.nodes[host]+"/agent/beat", "application/json", bytes.NewReader(body))
		if err != nil {
			a.target++
		} else {
			b, _ := io.ReadAll(res.Body)
			res.Body.Close()
			var ans struct {
				QueenMark uint64
				Dances    []dance
				Keeper    string
			}
			_ = json.Unmarshal(b, &ans)
			a.mu.Lock()
			switch {
			case res.StatusCode == http.StatusOK && ans.QueenMark >= a.token:
				a.token = ans.QueenMark
				a.execute(ans.Dances)
			case res.StatusCode != http.StatusOK:
				a.target++
				for i, h := range a.hosts {
					if h == ans.Keeper {
						a.target = i
					}
				}
			}
			a.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// freeAddr returns a loopback address that was free just now.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

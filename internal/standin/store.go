package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"
	"golang.org/x/time/rate"
)

// StoreLimits are the state service's limits; 0 means none.
type StoreLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

// keptChanges is how many changes a watch can look back.
const keptChanges = 10_000

type entry struct {
	key   string
	value json.RawMessage
	frame uint64
	lease uint64
}

type change struct {
	key   string
	value json.RawMessage // nil: dropped
	frame uint64
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in of the state service.
type Store struct {
	mu      sync.Mutex
	limits  StoreLimits
	reqs    *rate.Limiter
	writes  *rate.Limiter
	rev     uint64
	keys    *btree.BTreeG[entry]
	leases  map[uint64]*lease
	lastID  uint64
	changes []change
	oldest  uint64 // changes after this revision are kept
	changed chan struct{}
	out     bool
	doors   []*door
	counts  StoreCounts
}

// NewStore returns an empty store.
func NewStore(l StoreLimits) *Store {
	limiter := func(r float64) *rate.Limiter {
		if r <= 0 {
			return rate.NewLimiter(rate.Inf, 1)
		}
		return rate.NewLimiter(rate.Limit(r), max(1, int(math.Ceil(r))))
	}
	return &Store{limits: l, reqs: limiter(l.RPS), writes: limiter(l.WriteRPS), rev: 1, leases: map[uint64]*lease{},
		keys: btree.NewG(16, func(a, b entry) bool { return a.key < b.key }), changed: make(chan struct{})}
}

// Front is one controller's way to the store, which may refuse it, or be slow.
type Front struct {
	Addr    string
	mu      sync.Mutex
	refuses bool
	slow    time.Duration
	loses   int // of so many transactions one gets no answer; 0: none
	txns    int
	counts  FrontCounts
}

// FrontCounts are one controller's requests so far.
type FrontCounts struct {
	Requests, Refused, Watches int
}

// Counts of this controller's requests; those refused for the rate are among them.
func (f *Front) Counts() FrontCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func (f *Front) count(r *http.Request, refused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Requests++
	if refused {
		f.counts.Refused++
	}
	if r.URL.Path == "/watch" {
		f.counts.Watches++
	}
}

// Refuse lets the store answer this controller alone with 503, or no longer.
func (f *Front) Refuse(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses = on
}

// Slow delays every answer to this controller.
func (f *Front) Slow(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = d
}

// Lose has one of every n transactions of this controller carried out at once, and its answer
// lost; 0: none.
func (f *Front) Lose(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loses = n
}

// lost tells whether a transaction's answer is lost.
func (f *Front) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.txns++
	return f.loses > 0 && f.txns%f.loses == 0
}

func (f *Front) fault() (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuses, f.slow
}

// Front opens a way to the store.
func (s *Store) Front() (*Front, error) {
	f := &Front{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /txn", func(w http.ResponseWriter, r *http.Request) {
		if !f.lost() {
			s.txn(w, r)
			return
		}
		s.txn(httptest.NewRecorder(), r)
		<-r.Context().Done() // until its asker has lost patience
	})
	mux.HandleFunc("POST /grants", s.grant)
	mux.HandleFunc("POST /grants/{id}/extend", s.extend)
	mux.HandleFunc("DELETE /grants/{id}", s.end)
	watch := func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, f) }
	mux.HandleFunc("GET /watch", watch)
	d, err := open(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuses, slow := f.fault()
		time.Sleep(slow)
		if refuses || s.isOut() {
			answer(w, http.StatusServiceUnavailable, object{})
			return
		}
		allowed := s.reqs.Allow()
		f.count(r, !allowed)
		switch {
		case !allowed:
			answer(w, http.StatusTooManyRequests, object{})
		default:
			mux.ServeHTTP(w, r)
		}
	}))
	if err != nil {
		return nil, fmt.Errorf("stand-in store: %w", err)
	}
	f.Addr = d.addr
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doors = append(s.doors, d)
	return f, nil
}

// StoreCounts is what the store holds and has done so far.
type StoreCounts struct {
	Keys, Bytes    int
	Changes        int // puts and deletes that were carried out
	RefusedChanges int // ... that were refused for the rate
}

// Counts of the whole store.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Keys = s.keys.Len()
	s.keys.Ascend(func(e entry) bool {
		c.Bytes += len(e.key) + len(e.value)
		return true
	})
	return c
}

// Close ends all fronts.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.doors {
		d.close()
	}
}

// Out begins or ends an outage; at its end every lease has its full time again.
func (s *Store) Out(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = on
	if !on {
		for _, l := range s.leases {
			l.end = time.Now().Add(l.ttl)
		}
	}
}

func (s *Store) isOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out
}

// Peek reads a key past all limits; nil if it is absent.
func (s *Store) Peek(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.keys.Get(entry{key: key})
	return e.value
}

// Poke writes a key past all limits, as another release might have left it.
func (s *Store) Poke(key string, v json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, v, 0)
	s.tell()
}

// Below calls f for every key with the prefix, in order.
func (s *Store) Below(prefix string, f func(key string, v json.RawMessage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.AscendGreaterOrEqual(entry{key: prefix}, func(e entry) bool {
		if !strings.HasPrefix(e.key, prefix) {
			return false
		}
		f(e.key, e.value)
		return true
	})
}

// expire ends the leases whose time is over. While the store is out none ends.
func (s *Store) expire() {
	if s.out {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	s.keys.Ascend(func(e entry) bool {
		if e.lease == id {
			gone = append(gone, e.key)
		}
		return true
	})
	if len(gone) == 0 {
		return
	}
	s.rev++
	for _, k := range gone {
		s.drop(k)
	}
	s.tell()
}

func (s *Store) put(key string, v json.RawMessage, lease uint64) {
	s.keys.ReplaceOrInsert(entry{key, v, s.rev, lease})
	s.note(change{key, v, s.rev})
}

func (s *Store) drop(key string) {
	if _, ok := s.keys.Delete(entry{key: key}); ok {
		s.note(change{key, nil, s.rev})
	}
}

func (s *Store) note(c change) {
	s.counts.Changes++
	s.changes = append(s.changes, c)
	if n := len(s.changes) - keptChanges; n > 0 {
		s.oldest = s.changes[n-1].frame
		s.changes = s.changes[n:] // append moves the rest once the room behind is used up
	}
}

// tell wakes the watches.
func (s *Store) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

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

// maxKeptChanges is how many changes a watch can look back.
const maxKeptChanges = 10_000

type entry struct {
	key      string
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type change struct {
	key      string
	value    json.RawMessage // nil: dropped
	revision uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is a stand-in of the state service.
type Store struct {
	mu                sync.Mutex
	limits            StoreLimits
	requestLimiter    *rate.Limiter
	writeLimiter      *rate.Limiter
	revision          uint64
	keys              *btree.BTreeG[entry]
	leases            map[uint64]*lease
	lastLeaseID       uint64
	changes           []change
	compactedRevision uint64 // changes after this revision are kept
	changed           chan struct{}
	outage            bool
	servers           []*loopbackServer
	counts            StoreCounts
}

// NewStore returns an empty store.
func NewStore(l StoreLimits) *Store {
	limiter := func(r float64) *rate.Limiter {
		if r <= 0 {
			return rate.NewLimiter(rate.Inf, 1)
		}
		return rate.NewLimiter(rate.Limit(r), max(1, int(math.Ceil(r))))
	}
	return &Store{limits: l, requestLimiter: limiter(l.RPS), writeLimiter: limiter(l.WriteRPS), revision: 1, leases: map[uint64]*lease{},
		keys: btree.NewG(16, func(a, b entry) bool { return a.key < b.key }), changed: make(chan struct{})}
}

// Front is one controller's way to the store, which may refuse it, or be slow.
type Front struct {
	Addr               string
	mu                 sync.Mutex
	refusing           bool
	delay              time.Duration
	lostAnswerInterval int // of so many transactions one gets no answer; 0: none
	transactions       int
	counts             EndpointCounts
}

// EndpointCounts are one controller's requests so far.
type EndpointCounts struct {
	Requests, Refused, Watches int
}

// Counts of this controller's requests; those refused for the rate are among them.
func (f *Front) Counts() EndpointCounts {
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

// SetRefusing lets the store answer this controller alone with 503, or no longer.
func (f *Front) SetRefusing(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusing = on
}

// Slow delays every answer to this controller.
func (f *Front) Slow(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// LoseAnswers has one of every n transactions of this controller carried out at once, and its answer
// lost; 0: none.
func (f *Front) LoseAnswers(interval int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostAnswerInterval = interval
}

// loseNextAnswer tells whether a transaction's answer is lost.
func (f *Front) loseNextAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transactions++
	return f.lostAnswerInterval > 0 && f.transactions%f.lostAnswerInterval == 0
}

func (f *Front) faults() (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusing, f.delay
}

// Front opens a way to the store.
func (s *Store) Front() (*Front, error) {
	f := &Front{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /txn", func(w http.ResponseWriter, r *http.Request) {
		if !f.loseNextAnswer() {
			s.txn(w, r)
			return
		}
		s.txn(httptest.NewRecorder(), r)
		<-r.Context().Done() // until its asker has lost patience
	})
	mux.HandleFunc("POST /grants", s.createLease)
	mux.HandleFunc("POST /grants/{id}/extend", s.extendLease)
	mux.HandleFunc("DELETE /grants/{id}", s.revokeLease)
	watch := func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, f) }
	mux.HandleFunc("GET /watch", watch)
	d, err := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refusing, delay := f.faults()
		time.Sleep(delay)
		if refusing || s.hasOutage() {
			writeJSON(w, http.StatusServiceUnavailable, object{})
			return
		}
		allowed := s.requestLimiter.Allow()
		f.count(r, !allowed)
		switch {
		case !allowed:
			writeJSON(w, http.StatusTooManyRequests, object{})
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
	s.servers = append(s.servers, d)
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
	for _, d := range s.servers {
		d.close()
	}
}

// SetOutage begins or ends an outage; at its end every lease has its full time again.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.expiresAt = time.Now().Add(l.ttl)
		}
	}
}

func (s *Store) hasOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// ReadKey reads a key past all limits; nil if it is absent.
func (s *Store) ReadKey(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.keys.Get(entry{key: key})
	return e.value
}

// WriteKey writes a key past all limits, as another release might have left it.
func (s *Store) WriteKey(key string, v json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putKey(key, v, 0)
	s.notifyWatches()
}

// ScanPrefix calls f for every key with the prefix, in order.
func (s *Store) ScanPrefix(prefix string, f func(key string, v json.RawMessage)) {
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

// expireLeases ends the leases whose time is over. While the store is out none ends.
func (s *Store) expireLeases() {
	if s.outage {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.removeLease(id)
		}
	}
}

func (s *Store) removeLease(id uint64) {
	delete(s.leases, id)
	var expired []string
	s.keys.Ascend(func(e entry) bool {
		if e.lease == id {
			expired = append(expired, e.key)
		}
		return true
	})
	if len(expired) == 0 {
		return
	}
	s.revision++
	for _, k := range expired {
		s.deleteKey(k)
	}
	s.notifyWatches()
}

func (s *Store) putKey(key string, v json.RawMessage, lease uint64) {
	s.keys.ReplaceOrInsert(entry{key, v, s.revision, lease})
	s.recordChange(change{key, v, s.revision})
}

func (s *Store) deleteKey(key string) {
	if _, ok := s.keys.Delete(entry{key: key}); ok {
		s.recordChange(change{key, nil, s.revision})
	}
}

func (s *Store) recordChange(c change) {
	s.counts.Changes++
	s.changes = append(s.changes, c)
	if n := len(s.changes) - maxKeptChanges; n > 0 {
		s.compactedRevision = s.changes[n-1].revision
		s.changes = s.changes[n:] // append moves the rest once the room behind is used up
	}
}

// notifyWatches wakes the watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

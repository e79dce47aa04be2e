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

// StoreLimits are the limits of the state service; 0 means no limit.
type StoreLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

// maxKeptChanges is the number of past changes that a watch can still read.
const maxKeptChanges = 10_000

// entry is a key with its value, the revision of its last change and its lease.
type entry struct {
	key      string
	value    json.RawMessage
	revision uint64
	lease    uint64
}

// change is one put or delete in the history that watches read.
type change struct {
	key      string
	value    json.RawMessage // nil: the key was deleted
	revision uint64
}

// lease is a lease that keys can be bound to; they are deleted when it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is a stand-in for the state service.
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
	compactedRevision uint64 // only changes after this revision are still kept
	changed           chan struct{}
	outage            bool
	servers           []*loopbackServer
	counts            StoreCounts
}

// NewStore returns an empty store with the given limits.
func NewStore(l StoreLimits) *Store {
	limiter := func(r float64) *rate.Limiter {
		if r <= 0 {
			return rate.NewLimiter(rate.Inf, 1)
		}
		return rate.NewLimiter(rate.Limit(r), max(1, int(math.Ceil(r))))
	}
	return &Store{limits: l, requestLimiter: limiter(l.RPS), writeLimiter: limiter(l.WriteRPS), revision: 1,
		leases: map[uint64]*lease{},
		keys:   btree.NewG(16, func(a, b entry) bool { return a.key < b.key }), changed: make(chan struct{})}
}

// StoreEndpoint is the address at which one controller reaches the store. Faults can be injected
// for this controller alone.
type StoreEndpoint struct {
	Addr               string
	mu                 sync.Mutex
	refusing           bool
	delay              time.Duration
	lostAnswerInterval int // one of this many transactions gets no answer; 0: none
	transactions       int
	counts             EndpointCounts
}

// EndpointCounts counts the requests of one controller.
type EndpointCounts struct {
	Requests, Refused, Watches int
}

// Counts returns the number of this controller's requests, including those that were
// refused because of the rate limit.
func (e *StoreEndpoint) Counts() EndpointCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// count records a request.
func (e *StoreEndpoint) count(r *http.Request, refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Requests++
	if refused {
		e.counts.Refused++
	}
	if r.URL.Path == "/watch" {
		e.counts.Watches++
	}
}

// SetRefusing makes the store answer all requests of this controller with 503, or stops that.
func (e *StoreEndpoint) SetRefusing(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = on
}

// SetDelay delays every answer to this controller.
func (e *StoreEndpoint) SetDelay(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = delay
}

// LoseAnswers makes the store commit one of every interval transactions of this controller
// without answering it; 0 ends that.
func (e *StoreEndpoint) LoseAnswers(interval int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lostAnswerInterval = interval
}

// loseNextAnswer counts a transaction and reports whether its answer is to be lost.
func (e *StoreEndpoint) loseNextAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.transactions++
	return e.lostAnswerInterval > 0 && e.transactions%e.lostAnswerInterval == 0
}

// faults reports whether requests are refused and by how much answers are delayed.
func (e *StoreEndpoint) faults() (bool, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refusing, e.delay
}

// NewEndpoint opens a new address at which a controller can reach the store.
func (s *Store) NewEndpoint() (*StoreEndpoint, error) {
	endpoint := &StoreEndpoint{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /txn", func(w http.ResponseWriter, r *http.Request) {
		if !endpoint.loseNextAnswer() {
			s.txn(w, r)
			return
		}
		s.txn(httptest.NewRecorder(), r)
		<-r.Context().Done() // until the client times out
	})
	mux.HandleFunc("POST /grants", s.createLease)
	mux.HandleFunc("POST /grants/{id}/extend", s.extendLease)
	mux.HandleFunc("DELETE /grants/{id}", s.revokeLease)
	watch := func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, endpoint) }
	mux.HandleFunc("GET /watch", watch)
	server, err := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refusing, delay := endpoint.faults()
		time.Sleep(delay)
		if refusing || s.hasOutage() {
			writeJSON(w, http.StatusServiceUnavailable, object{})
			return
		}
		allowed := s.requestLimiter.Allow()
		endpoint.count(r, !allowed)
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
	endpoint.Addr = server.addr
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
	return endpoint, nil
}

// StoreCounts is the size of the store's data and the number of changes so far.
type StoreCounts struct {
	Keys, Bytes    int
	Changes        int // puts and deletes that were committed
	RefusedChanges int // puts and deletes that were refused because of the write rate limit
}

// Counts returns the counts of the whole store.
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

// Close closes all addresses of the store.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.close()
	}
}

// SetOutage starts or ends an outage for all controllers. At its end every lease gets its
// full time again.
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

// hasOutage reports whether the store is in an outage.
func (s *Store) hasOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// ReadKey returns the value of a key without any limits, or nil if it does not exist.
func (s *Store) ReadKey(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.keys.Get(entry{key: key})
	return e.value
}

// WriteKey writes a key without any limits, for example as another release would have left it.
func (s *Store) WriteKey(key string, v json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putKey(key, v, 0)
	s.notifyWatches()
}

// ScanPrefix calls f for every key with the prefix, in the order of the keys.
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

// expireLeases removes leases that have expired. During an outage no lease expires.
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

// removeLease removes a lease and deletes the keys that are bound to it.
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

// putKey sets a key at the current revision.
func (s *Store) putKey(key string, v json.RawMessage, lease uint64) {
	s.keys.ReplaceOrInsert(entry{key, v, s.revision, lease})
	s.recordChange(change{key, v, s.revision})
}

// deleteKey deletes a key at the current revision, if it exists.
func (s *Store) deleteKey(key string) {
	if _, ok := s.keys.Delete(entry{key: key}); ok {
		s.recordChange(change{key, nil, s.revision})
	}
}

// recordChange appends a change to the history and drops the oldest beyond maxKeptChanges.
func (s *Store) recordChange(c change) {
	s.counts.Changes++
	s.changes = append(s.changes, c)
	if n := len(s.changes) - maxKeptChanges; n > 0 {
		s.compactedRevision = s.changes[n-1].revision
		s.changes = s.changes[n:] // append reallocates once the capacity is used up
	}
}

// notifyWatches wakes all waiting watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

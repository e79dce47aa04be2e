package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"honeylock/internal/exactjson"
)

// Limits of the protocol.
const (
	maxPageSize   = 1000
	maxReplyBytes = 512 << 10
	maxTxnBytes   = 64 << 10
)

// get answers with one key.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	e, ok := s.keys.Get(entry{key: r.PathValue("key")})
	if !ok {
		writeJSON(w, http.StatusNotFound, object{"FrameCount": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, object{"K": e.key, "V": e.value, "Frame": e.revision, "Nectar": e.lease})
}

// list answers with a page of the keys that have a prefix.
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := strconv.Atoi(query.Get("Page"))
	if err != nil || page < 1 || page > maxPageSize {
		page = maxPageSize
	}
	prefix, from := query.Get("Starts"), query.Get("From")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	entries, size, truncated := []object{}, 0, false
	s.keys.AscendGreaterOrEqual(entry{key: max(prefix, from)}, func(e entry) bool {
		if e.key == from && from != "" {
			return true
		}
		if !strings.HasPrefix(e.key, prefix) {
			return e.key < prefix
		}
		if size += len(e.key) + len(e.value) + 60; len(entries) == page || size > maxReplyBytes {
			truncated = true
			return false
		}
		entries = append(entries, object{"K": e.key, "V": e.value, "Frame": e.revision})
		return true
	})
	writeJSON(w, http.StatusOK, object{"Entries": entries, "Truncated": truncated, "FrameCount": s.revision})
}

// txn is a transaction: its operations are committed if every guard still has its revision.
type txn struct {
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

// malformed reports whether a transaction exceeds the limits or has an invalid key.
func (s *Store) malformed(t *txn) bool {
	maxOps := s.limits.TxnOps
	if maxOps > 0 && (len(t.Then) > maxOps || len(t.Guards) > 4*maxOps) {
		return true
	}
	validKey := func(k string) bool { return len(k) > 0 && len(k) <= 200 && !strings.Contains(k, " ") }
	for _, g := range t.Guards {
		if !validKey(g.K) {
			return true
		}
	}
	for _, op := range t.Then {
		if !validKey(op.Put+op.Drop) || s.limits.ValueKB > 0 && float64(len(op.V)) > s.limits.ValueKB*1024 {
			return true
		}
	}
	return false
}

// txn commits a transaction, or answers with the guards that failed.
func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if exactjson.Decode(http.MaxBytesReader(w, r.Body, maxTxnBytes), &t) != nil || s.malformed(&t) {
		writeJSON(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	if n := len(t.Then); n > 0 && !s.writeLimiter.AllowN(time.Now(), min(n, s.writeLimiter.Burst())) {
		s.mu.Lock()
		s.counts.RefusedChanges += n
		s.mu.Unlock()
		writeJSON(w, http.StatusTooManyRequests, object{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, op := range t.Then {
		if op.Nectar != 0 && s.leases[op.Nectar] == nil {
			writeJSON(w, http.StatusBadRequest, object{"error": "no such lease"})
			return
		}
	}
	failedGuards := []string{}
	for _, g := range t.Guards {
		if e, _ := s.keys.Get(entry{key: g.K}); e.revision != g.Frame {
			failedGuards = append(failedGuards, g.K)
		}
	}
	if len(failedGuards) > 0 {
		writeJSON(w, http.StatusConflict, object{"failed": failedGuards, "FrameCount": s.revision})
		return
	}
	if len(t.Then) > 0 {
		s.revision++
		for _, op := range t.Then {
			if op.Put != "" {
				s.putKey(op.Put, op.V, op.Nectar)
			} else {
				s.deleteKey(op.Drop)
			}
		}
		s.notifyWatches()
	}
	writeJSON(w, http.StatusOK, object{"FrameCount": s.revision})
}

// createLease creates a lease.
func (s *Store) createLease(w http.ResponseWriter, r *http.Request) {
	var request struct{ TtlMs int64 }
	if exactjson.Decode(r.Body, &request) != nil || request.TtlMs < 100 || request.TtlMs > 600_000 {
		writeJSON(w, http.StatusBadRequest, object{"error": "TtlMs"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	ttl := time.Duration(request.TtlMs) * time.Millisecond
	s.leases[s.lastLeaseID] = &lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, object{"Nectar": s.lastLeaseID})
}

// extendLease gives a lease its full time again.
func (s *Store) extendLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		writeJSON(w, http.StatusNotFound, object{})
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, object{"Nectar": id})
}

// revokeLease ends a lease before it expires.
func (s *Store) revokeLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		writeJSON(w, http.StatusNotFound, object{})
		return
	}
	s.removeLease(id)
	writeJSON(w, http.StatusOK, object{})
}

// changesSince returns the changes to keys with a prefix after a revision. ok is false if
// they are no longer kept.
func (s *Store) changesSince(prefix string, from uint64) (events []object, ok bool) {
	events = []object{}
	if from < s.compactedRevision {
		return nil, false
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].revision > from })
	for _, c := range s.changes[first:] {
		switch {
		case !strings.HasPrefix(c.key, prefix):
		case c.value == nil:
			events = append(events, object{"Drop": c.key, "Frame": c.revision})
		default:
			events = append(events, object{"Put": c.key, "V": c.value, "Frame": c.revision})
		}
	}
	return events, true
}

// watch waits for changes to keys with a prefix. During an outage, or while the controller
// is refused, it keeps waiting without an answer.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, endpoint *StoreEndpoint) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("From"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	timeout := time.After(time.Duration(min(waitMs, 60_000)) * time.Millisecond)
	for timedOut := false; ; {
		refusing, _ := endpoint.faults()
		s.mu.Lock()
		s.expireLeases()
		events, ok := s.changesSince(query.Get("Starts"), from)
		revision, changed, unavailable := s.revision, s.changed, s.outage || refusing
		s.mu.Unlock()
		if !unavailable && !ok {
			writeJSON(w, http.StatusGone, object{"FrameCount": revision})
			return
		}
		if !unavailable && (len(events) > 0 || timedOut) {
			writeJSON(w, http.StatusOK, object{"FrameCount": revision, "Events": events})
			return
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // check for expired leases
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	maxPage  = 1000
	maxReply = 512 << 10
	maxTxn   = 64 << 10
)

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.keys.Get(entry{key: r.PathValue("key")})
	if !ok {
		answer(w, http.StatusNotFound, object{"FrameCount": s.rev})
		return
	}
	answer(w, http.StatusOK, object{"K": e.key, "V": e.value, "Frame": e.frame, "Nectar": e.lease})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, err := strconv.Atoi(q.Get("Page"))
	if err != nil || page < 1 || page > maxPage {
		page = maxPage
	}
	starts, from := q.Get("Starts"), q.Get("From")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entries, size, more := []object{}, 0, false
	s.keys.AscendGreaterOrEqual(entry{key: max(starts, from)}, func(e entry) bool {
		if e.key == from && from != "" {
			return true
		}
		if !strings.HasPrefix(e.key, starts) {
			return e.key < starts
		}
		if size += len(e.key) + len(e.value) + 60; len(entries) == page || size > maxReply {
			more = true
			return false
		}
		entries = append(entries, object{"K": e.key, "V": e.value, "Frame": e.frame})
		return true
	})
	answer(w, http.StatusOK, object{"Entries": entries, "Truncated": more, "FrameCount": s.rev})
}

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

// malformed tells whether a transaction is beyond the limits.
func (s *Store) malformed(t *txn) bool {
	most := s.limits.TxnOps
	if most > 0 && (len(t.Then) > most || len(t.Guards) > 4*most) {
		return true
	}
	name := func(k string) bool { return len(k) > 0 && len(k) <= 200 && !strings.Contains(k, " ") }
	for _, g := range t.Guards {
		if !name(g.K) {
			return true
		}
	}
	for _, op := range t.Then {
		if !name(op.Put+op.Drop) || s.limits.ValueKB > 0 && float64(len(op.V)) > s.limits.ValueKB*1024 {
			return true
		}
	}
	return false
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxn)).Decode(&t) != nil || s.malformed(&t) {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	if n := len(t.Then); n > 0 && !s.writes.AllowN(time.Now(), min(n, s.writes.Burst())) {
		s.mu.Lock()
		s.counts.RefusedChanges += n
		s.mu.Unlock()
		answer(w, http.StatusTooManyRequests, object{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, op := range t.Then {
		if op.Nectar != 0 && s.leases[op.Nectar] == nil {
			answer(w, http.StatusBadRequest, object{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		if e, _ := s.keys.Get(entry{key: g.K}); e.frame != g.Frame {
			failed = append(failed, g.K)
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusConflict, object{"failed": failed, "FrameCount": s.rev})
		return
	}
	if len(t.Then) > 0 {
		s.rev++
		for _, op := range t.Then {
			if op.Put != "" {
				s.put(op.Put, op.V, op.Nectar)
			} else {
				s.drop(op.Drop)
			}
		}
		s.tell()
	}
	answer(w, http.StatusOK, object{"FrameCount": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.TtlMs < 100 || b.TtlMs > 600_000 {
		answer(w, http.StatusBadRequest, object{"error": "TtlMs"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(b.TtlMs) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, object{"Nectar": s.lastID})
}

func (s *Store) extend(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, object{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, object{"Nectar": id})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, object{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, object{})
}

// since gathers the changes below a prefix after a revision; ok is false where
// they are no longer kept.
func (s *Store) since(prefix string, from uint64) (evs []object, ok bool) {
	evs = []object{}
	if from < s.oldest {
		return nil, false
	}
	newer := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].frame > from })
	for _, c := range s.changes[newer:] {
		switch {
		case !strings.HasPrefix(c.key, prefix):
		case c.value == nil:
			evs = append(evs, object{"Drop": c.key, "Frame": c.frame})
		default:
			evs = append(evs, object{"Put": c.key, "V": c.value, "Frame": c.frame})
		}
	}
	return evs, true
}

// watch waits for changes. During an outage, or for one who is refused, it goes
// on waiting.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, f *Front) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("From"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	over := time.After(time.Duration(min(ms, 60_000)) * time.Millisecond)
	for ended := false; ; {
		refuses, _ := f.fault()
		s.mu.Lock()
		s.expire()
		evs, ok := s.since(q.Get("Starts"), from)
		rev, changed, quiet := s.rev, s.changed, s.out || refuses
		s.mu.Unlock()
		if !quiet && !ok {
			answer(w, http.StatusGone, object{"FrameCount": rev})
			return
		}
		if !quiet && (len(evs) > 0 || ended) {
			answer(w, http.StatusOK, object{"FrameCount": rev, "Events": evs})
			return
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // leases end
		case <-over:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

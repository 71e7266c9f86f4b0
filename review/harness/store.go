//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one key of the store, or the removal of one.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// kvStore is a stand-in for the platform's store. It serves each call at once, and never loses what it
// has acknowledged.
type kvStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
	leases   map[uint64]*storeLease
	next     uint64
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newKVStore() *kvStore {
	return &kvStore{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{}), leases: map[uint64]*storeLease{}}
}

// put writes a key as an operator or a runner does, and returns the revision that acknowledges it.
func (s *kvStore) put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitLocked([]storeItem{{Key: key, Value: text}})
}

// remove removes a key as an operator does.
func (s *kvStore) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitLocked([]storeItem{{Key: key, Gone: true}})
}

func (s *kvStore) commitLocked(changes []storeItem) uint64 {
	s.revision++
	for _, c := range changes {
		c.Revision = s.revision
		if c.Gone {
			if _, known := s.items[c.Key]; !known {
				continue
			}
			delete(s.items, c.Key)
		} else {
			c.Made = s.revision
			if old, known := s.items[c.Key]; known {
				c.Made = old.Made
			}
			s.items[c.Key] = c
		}
		s.history = append(s.history, c)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveGrant)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveEnd)
	return mux
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, known := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	reply(w, map[string]any{"items": list, "at": at, "more": false})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := s.eventsLocked(q.Get("pathPrefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": []storeItem{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) eventsLocked(prefix string, after uint64) []storeItem {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	var events []storeItem
	for _, it := range s.history[first:] {
		if strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []storeItem `json:"expected"`
		Put      []storeItem `json:"put"`
		Remove   []string    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, map[string]any{"items": []storeItem{}})
			return
		}
	}
	var changes []storeItem
	for _, p := range t.Put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		changes = append(changes, storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		changes = append(changes, storeItem{Key: key, Gone: true})
	}
	reply(w, map[string]any{"revision": s.commitLocked(changes)})
}

func (s *kvStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id, ttl := s.next, time.Duration(max(q.TTL, 1000))*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	reply(w, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Stop() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, map[string]any{})
}

func (s *kvStore) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	known := s.leases[id] != nil
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, map[string]any{})
}

func (s *kvStore) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	var gone []storeItem
	for key, it := range s.items {
		if it.Lease == id {
			gone = append(gone, storeItem{Key: key, Gone: true})
		}
	}
	if len(gone) > 0 {
		s.commitLocked(gone)
	}
}

func reply(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v)
}

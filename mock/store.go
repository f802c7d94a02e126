package mock

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store treats calls.
type Mode int32

// Modes of a store.
const (
	// Well answers.
	Well Mode = iota
	// Busy answers 503.
	Busy
	// Silent takes calls and gives no answer.
	Silent
	// Reset ends connections.
	Reset
	// Lossy does what is asked and ends the connection.
	Lossy
)

// silentLimit bounds the time for which a call is held without an answer.
const silentLimit = 3 * time.Second

type row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createRev,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is a stand-in of the platform's store.
type Store struct {
	mu       sync.Mutex
	mode     Mode
	revision uint64
	rows     map[string]row
	history  []row
	dropped  uint64
	leases   map[uint64]*lease
	next     uint64
	changed  chan struct{}
	// held is what readings that may lag return, nil while they are up to date.
	held *held
}

// held is the state of a store at a moment.
type held struct {
	rows     map[string]row
	revision uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1,
		rows:     map[string]row{},
		leases:   map[uint64]*lease{},
		changed:  make(chan struct{}),
	}
}

// Set changes how calls are treated from now on.
func (s *Store) Set(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Put writes a key as the operator or a target does.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Key: key, Value: b})
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Key: key, Deleted: true})
}

// Compact drops the history, after which older watches get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
}

// Hold has readings that may lag return the present state until Release.
func (s *Store) Hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = &held{rows: maps.Clone(s.rows), revision: s.revision}
}

// Release ends Hold.
func (s *Store) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = nil
}

// write makes a change; the lock is held.
func (s *Store) write(r row) {
	s.revision++
	r.Revision, r.Created = s.revision, s.revision
	if old, known := s.rows[r.Key]; known {
		r.Created = old.Created
	}
	if r.Deleted {
		delete(s.rows, r.Key)
	} else {
		s.rows[r.Key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// lapse ends leases whose time is over; the lock is held.
func (s *Store) lapse(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
	delete(s.leases, id)
	for key, r := range s.rows {
		if r.Lease == id {
			s.write(row{Key: key, Deleted: true})
		}
	}
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.lapse(time.Now())
	s.mu.Unlock()
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		// A server learns of a caller that has left only once it has read the body, so the time is bounded.
		select {
		case <-r.Context().Done():
		case <-time.After(silentLimit):
		}
		panic(http.ErrAbortHandler)
	case Reset:
		panic(http.ErrAbortHandler)
	}
	status, answer := s.call(r)
	if mode == Lossy && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has left where this fails.
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) call(r *http.Request) (int, any) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-range":
		return s.list(query.Get("prefix"), query.Get("after"), query.Get("allowStale") == "1")
	case path == "/api/kv-watch":
		after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, errWait := strconv.Atoi(query.Get("waitMs"))
		if errAfter != nil || errWait != nil {
			return http.StatusBadRequest, nil
		}
		return s.watch(r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/api/kv-txn":
		return s.transact(r)
	case path == "/api/kv-lease":
		return s.grant(r)
	case strings.HasPrefix(path, "/api/kv-keep/"), strings.HasPrefix(path, "/api/kv-lease-end/"):
		return s.renew(path)
	}
	return http.StatusNotFound, nil
}

// pageSize is the number of items of a page.
const pageSize = 50

func (s *Store) list(prefix, after string, stale bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, revision := s.rows, s.revision
	if stale && s.held != nil {
		rows, revision = s.held.rows, s.held.revision
	}
	keys := []string{}
	for key := range rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	items := []row{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, rows[key])
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": revision}
}

func (s *Store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []row{}
		for _, h := range s.history {
			if h.Revision > after && strings.HasPrefix(h.Key, prefix) {
				events = append(events, h)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (s *Store) transact(r *http.Request) (int, any) {
	var in struct {
		SetKeys []row `json:"setKeys"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range in.SetKeys {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		s.write(w)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grant(r *http.Request) (int, any) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.next] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.next, "ttlMs": in.TTLMs}
}

func (s *Store) renew(path string) (int, any) {
	id, err := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if err != nil || l == nil {
		return http.StatusNotFound, nil
	}
	if strings.Contains(path, "lease-end") {
		s.end(id)
		return http.StatusOK, nil
	}
	l.ends = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
}

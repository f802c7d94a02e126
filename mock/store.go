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

// Mode determines how the store responds to calls.
type Mode int32

// Modes of the store.
const (
	// Healthy answers calls normally.
	Healthy Mode = iota
	// Unavailable answers all calls with 503.
	Unavailable
	// Silent accepts calls but doesn't answer them.
	Silent
	// Reset closes the connection of each call without executing it.
	Reset
	// LoseReplies executes writes but closes their connections without an answer.
	LoseReplies
)

// silentTimeout bounds the time for which mode Silent holds a call.
const silentTimeout = 3 * time.Second

// row is one version of a key, or its deletion, as it appears in lists and watches.
type row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createRev,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease holds the duration and the end of a lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a test double of the platform's key-value store with leases and watches.
type Store struct {
	mu       sync.Mutex
	mode     Mode
	revision uint64
	rows     map[string]row
	// history holds the changes since the last compaction, which watches can read.
	history           []row
	compactedRevision uint64
	leases            map[uint64]*lease
	lastLease         uint64
	// changed is closed and replaced on every change, which wakes all watches.
	changed chan struct{}
	// staleReads is the state that reads with allowStale return; if it is nil, they return the current state.
	staleReads *staleSnapshot
	// epoch is stated in all answers and rises by one with each Restore; zero states none.
	epoch uint64
}

// Copy is a copy of a store's contents.
type Copy struct {
	revision  uint64
	rows      map[string]row
	leases    map[uint64]lease
	lastLease uint64
}

// staleSnapshot is the content of a store at some revision.
type staleSnapshot struct {
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

// StateEpoch makes the store state its epoch in all answers from now on.
func (s *Store) StateEpoch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = max(s.epoch, 1)
}

// Copy returns a copy of the present contents.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{
		revision:  s.revision,
		rows:      maps.Clone(s.rows),
		leases:    map[uint64]lease{},
		lastLease: s.lastLease,
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the contents by an older copy and begins the next epoch. Revisions and ids of leases are given out again, and the history is gone.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.revision, s.rows, s.lastLease = c.revision, maps.Clone(c.rows), c.lastLease
	s.history, s.compactedRevision, s.staleReads = nil, c.revision, nil
	s.leases = map[uint64]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &l
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode changes the mode for all calls from now on.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Put writes a key with a JSON value, as the operator or a target would.
func (s *Store) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(key, encoded)
}

// PutBytes writes a key with a value that needn't be JSON.
func (s *Store) PutBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Key: key, Value: value})
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Key: key, Deleted: true})
}

// Compact discards the history. Watches from a revision before the current one then get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
}

// FreezeStaleReads makes reads with allowStale return the present state until ReleaseStaleReads is called.
func (s *Store) FreezeStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleReads = &staleSnapshot{rows: maps.Clone(s.rows), revision: s.revision}
}

// ReleaseStaleReads makes reads with allowStale return the current state again.
func (s *Store) ReleaseStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleReads = nil
}

// write records a change at the next revision and wakes all watches. The lock is held.
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

// expireLeases ends all expired leases. The lock is held.
func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys bound to it. The lock is held.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, r := range s.rows {
		if r.Lease == id {
			s.write(row{Key: key, Deleted: true})
		}
	}
}

// ServeHTTP handles a call according to the current mode.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(_ string, value []byte) []byte { return value })
}

// View returns a handler for calls to the store that replaces each value it returns by what rewrite makes of it.
func (s *Store) View(rewrite func(key string, value []byte) []byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, rewrite) })
}

// serve answers a call.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, rewrite func(key string, value []byte) []byte) {
	s.mu.Lock()
	mode := s.mode
	s.expireLeases(time.Now())
	if s.epoch > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.epoch, 10))
	}
	s.mu.Unlock()
	switch mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		// The server notices that the caller has disconnected only once it has read the body, so the wait is bounded.
		select {
		case <-r.Context().Done():
		case <-time.After(silentTimeout):
		}
		panic(http.ErrAbortHandler)
	case Reset:
		panic(http.ErrAbortHandler)
	}
	status, answer := s.route(r)
	if fields, ok := answer.(map[string]any); ok {
		for _, field := range []string{"items", "events"} {
			if rows, ok := fields[field].([]row); ok {
				fields[field] = rewriteRows(rows, rewrite)
			}
		}
	}
	if mode == LoseReplies && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}

// rewriteRows returns copies of rows with rewritten values.
func rewriteRows(rows []row, rewrite func(key string, value []byte) []byte) []row {
	rewritten := make([]row, len(rows))
	for i, r := range rows {
		rewritten[i] = r
		if !r.Deleted {
			rewritten[i].Value = rewrite(r.Key, r.Value)
		}
	}
	return rewritten
}

// route executes a call and returns the status and body of its answer.
func (s *Store) route(r *http.Request) (int, any) {
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
		return s.grantLease(r)
	case strings.HasPrefix(path, "/api/kv-keep/"), strings.HasPrefix(path, "/api/kv-lease-end/"):
		return s.renewOrEndLease(path)
	}
	return http.StatusNotFound, nil
}

// pageSize is the maximum number of items of a page.
const pageSize = 50

// list returns a page of the keys that have a prefix and follow the key after, in order.
func (s *Store) list(prefix, after string, stale bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, revision := s.rows, s.revision
	if stale && s.staleReads != nil {
		rows, revision = s.staleReads.rows, s.staleReads.revision
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

// watch is a long poll: it returns the changes of keys with a prefix after a revision, or none when the wait is over.
func (s *Store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.compactedRevision || after > s.revision {
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

// transact writes keys in order. It stops at a key whose lease has ended, or which only the operator or targets may write.
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

// grantLease creates a lease with the requested time to live.
func (s *Store) grantLease(r *http.Request) (int, any) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.lastLease, "ttlMs": in.TTLMs}
}

// renewOrEndLease handles both calls on an existing lease, whose id is the last element of the path.
func (s *Store) renewOrEndLease(path string) (int, any) {
	id, err := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if err != nil || l == nil {
		return http.StatusNotFound, nil
	}
	if strings.Contains(path, "lease-end") {
		s.endLease(id)
		return http.StatusOK, nil
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
}

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

// row is one version of a key, or its deletion.
type row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"createRev,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	// at is when the change was made.
	at time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]row
	history  []row
	leases   map[uint64]*lease
	last     uint64
	changed  chan struct{}
	// late decides, for each write of a host, whether its answer is lost and for how long its execution is delayed. It may be nil.
	late func(keys []string) (lost bool, delay time.Duration)
}

func newStore() *store {
	return &store{
		revision: 1,
		rows:     map[string]row{},
		leases:   map[uint64]*lease{},
		changed:  make(chan struct{}),
	}
}

// put writes a key as the operator or a target does.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Key: key, Value: b})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.rows[key]; found {
		s.write(row{Key: key, Deleted: true})
	}
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var all []string
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) {
			all = append(all, k)
		}
	}
	sort.Strings(all)
	return all
}

// write records a change and wakes all watches. The lock is held.
func (s *store) write(r row) {
	s.revision++
	r.Revision, r.Created, r.at = s.revision, s.revision, time.Now()
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

// expire ends the leases that are over. The lock is held.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys. The lock is held.
func (s *store) end(id uint64) {
	delete(s.leases, id)
	for k, r := range s.rows {
		if r.Lease == id {
			s.write(row{Key: k, Deleted: true})
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP answers a call; reads with allowStale are up to date.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, 0) }

// behind returns a handler of calls whose reads with allowStale are older by age.
func (s *store) behind(age time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, age) })
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, age time.Duration) {
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		s.mu.Lock()
		item, found := s.rows[q.Get("key")]
		s.mu.Unlock()
		if !found {
			s.answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		s.answer(w, http.StatusOK, item)
	case path == "/api/kv-range":
		if q.Get("allowStale") != "1" {
			age = 0
		}
		s.list(w, q.Get("prefix"), q.Get("after"), age)
	case path == "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/api/kv-txn":
		s.transact(w, r)
	case path == "/api/kv-lease":
		var in struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			s.answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		s.mu.Lock()
		s.last++
		id, ttl := s.last, time.Duration(in.TTLMs)*time.Millisecond
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		s.answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": in.TTLMs})
	case strings.HasPrefix(path, "/api/kv-keep/"), strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		ttl := int64(0)
		if l != nil {
			ttl = l.ttl.Milliseconds()
			if strings.Contains(path, "lease-end") {
				s.end(id)
			} else {
				l.expires = time.Now().Add(l.ttl)
			}
		}
		s.mu.Unlock()
		if l == nil {
			s.answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		s.answer(w, http.StatusOK, map[string]any{"ttlMs": ttl})
	default:
		s.answer(w, http.StatusNotFound, map[string]any{})
	}
}

// stateBefore returns the contents and the revision as they were some time ago. The lock is held.
func (s *store) stateBefore(age time.Duration) (map[string]row, uint64) {
	if age == 0 {
		return s.rows, s.revision
	}
	rows, revision := map[string]row{}, uint64(1)
	for _, h := range s.history {
		if time.Since(h.at) < age {
			break
		}
		revision = h.Revision
		if h.Deleted {
			delete(rows, h.Key)
		} else {
			rows[h.Key] = h
		}
	}
	return rows, revision
}

// list answers a page of at most 500 items, as the store was some time ago.
func (s *store) list(w http.ResponseWriter, prefix, after string, age time.Duration) {
	s.mu.Lock()
	rows, revision := s.stateBefore(age)
	var keys []string
	for k := range rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	items := []row{}
	for _, k := range keys[:min(len(keys), 500)] {
		items = append(items, rows[k])
	}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

// watch answers as soon as there is an event after a revision, or when the wait is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(min(wait, 30*time.Second))
	for {
		s.mu.Lock()
		if after > s.revision {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		events := []row{}
		for _, h := range s.history {
			if h.Revision > after && strings.HasPrefix(h.Key, prefix) {
				events = append(events, h)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		over := len(events) > 0
		if !over {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		s.answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
		return
	}
}

// transact executes a transaction: now, or later without an answer if late says so.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []row    `json:"expectedRev"`
		Sets       []row    `json:"setKeys"`
		Deletes    []string `json:"deleteKeys"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	execute := func() (int, any) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		for _, c := range in.Conditions {
			if s.rows[c.Key].Revision != c.Revision {
				return http.StatusPreconditionFailed, map[string]any{"items": []row{}}
			}
		}
		for _, x := range in.Sets {
			if x.Lease != 0 && s.leases[x.Lease] == nil {
				return http.StatusNotFound, map[string]any{}
			}
			if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
				return http.StatusForbidden, map[string]any{}
			}
		}
		for _, x := range in.Sets {
			s.write(row{Key: x.Key, Value: x.Value, Lease: x.Lease})
		}
		for _, k := range in.Deletes {
			s.write(row{Key: k, Deleted: true})
		}
		return http.StatusOK, map[string]any{"revision": s.revision}
	}
	var keys []string
	for _, x := range in.Sets {
		keys = append(keys, x.Key)
	}
	if s.late != nil {
		if lost, delay := s.late(keys); lost {
			time.AfterFunc(delay, func() { execute() })
			// A connection on which an answer is lost returns nothing further.
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := execute()
	s.answer(w, status, body)
}

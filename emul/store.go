package emul

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/units"
)

// StoreFaults are the faults that the store can be given.
type StoreFaults struct {
	// Down refuses all calls.
	Down bool `json:"down"`
	// Slow is added to each call.
	Slow units.Duration `json:"slow"`
	// LoseReplies is the number of writes still to come that take effect without their reply being sent.
	LoseReplies int `json:"losereplies"`
	// StaleBy hides that many of the newest revisions from reads.
	StaleBy uint64 `json:"staleby"`
}

// PathFaults is where the emulated parts take their faults.
const PathFaults = "/v1/faults"

const defaultLimit = 1000

// Store emulates the platform's key-value service.
type Store struct {
	clock *timer.Clock

	mu       sync.Mutex
	entries  map[string]store.Entry
	revision uint64
	leases   map[uint64]lease
	changed  chan struct{}
	faults   StoreFaults
	calls    map[string]uint64
	// past holds each key's earlier versions, for stale reads.
	past map[string][]store.Entry
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// NewStore returns an empty store.
func NewStore(clock *timer.Clock) *Store {
	return &Store{
		clock:   clock,
		entries: map[string]store.Entry{},
		leases:  map[uint64]lease{},
		changed: make(chan struct{}),
		calls:   map[string]uint64{},
		past:    map[string][]store.Entry{},
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the number of calls by kind.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]uint64, len(s.calls))
	for k, v := range s.calls {
		calls[k] = v
	}
	return calls
}

// Handler returns the routes of the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.PathKey+"{key...}", s.faulty("get", s.get))
	mux.HandleFunc("PUT "+store.PathKey+"{key...}", s.faulty("put", s.put))
	mux.HandleFunc("DELETE "+store.PathKey+"{key...}", s.faulty("delete", s.remove))
	mux.HandleFunc("GET "+store.PathList, s.faulty("list", s.list))
	mux.HandleFunc("GET "+store.PathWatch, s.faulty("watch", s.watch))
	mux.HandleFunc("POST "+store.PathLease, s.faulty("grant", s.grant))
	mux.HandleFunc("PUT "+store.PathLease, s.faulty("keepalive", s.keepAlive))
	mux.HandleFunc("POST "+PathFaults, s.takeFaults)
	return mux
}

func (s *Store) takeFaults(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) faulty(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		f := s.faults
		s.mu.Unlock()
		if f.Slow > 0 && s.clock.Sleep(r.Context(), f.Slow.D()) != nil {
			return
		}
		if f.Down {
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.lapse()
	e, found := s.read(r.PathValue("key"))
	s.mu.Unlock()
	if !found {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, e)
}

// seen is the revision up to which reads see the store: that of a replica which lags by the fault's number of revisions.
func (s *Store) seen() uint64 {
	return s.revision - min(s.faults.StaleBy, s.revision)
}

// read returns the key as a replica sees it that lags by the fault's number of revisions.
func (s *Store) read(key string) (store.Entry, bool) {
	e, found := s.entries[key]
	if s.faults.StaleBy == 0 {
		return e, found
	}
	seen := s.seen()
	if found && e.Revision <= seen {
		return e, true
	}
	for _, old := range slices.Backward(s.past[key]) {
		if old.Revision <= seen {
			return old, true
		}
	}
	return store.Entry{}, false
}

// Put writes a key without conditions, for the set-up of tests and demos.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, store.Write{Value: value})
}

func (s *Store) write(key string, w store.Write) uint64 {
	s.revision++
	if old, found := s.entries[key]; found {
		s.past[key] = append(s.past[key], old)
	}
	s.entries[key] = store.Entry{
		Key:      key,
		Value:    w.Value,
		Revision: s.revision,
		Lease:    w.Lease,
	}
	s.wake()
	return s.revision
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	var in store.Write
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if units.Size(len(in.Value)) > store.MaxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	s.lapse()
	if s.entries[r.PathValue("key")].Revision != in.Expect {
		s.mu.Unlock()
		http.Error(w, "key was changed", http.StatusConflict)
		return
	}
	if _, alive := s.leases[in.Lease]; in.Lease != 0 && !alive {
		s.mu.Unlock()
		http.Error(w, "lease has lapsed", http.StatusNotFound)
		return
	}
	revision := s.write(r.PathValue("key"), in)
	lose := s.loseReply()
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, store.Written{Revision: revision})
}

func (s *Store) loseReply() bool {
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

func (s *Store) remove(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, r.PathValue("key"))
	s.revision++
	s.wake()
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultLimit
	}
	s.mu.Lock()
	s.lapse()
	page := store.Page{Revision: s.seen()}
	for key := range s.entries {
		if !strings.HasPrefix(key, q.Get("prefix")) || key <= q.Get("after") {
			continue
		}
		if e, found := s.read(key); found {
			page.Entries = append(page.Entries, e)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	page.Entries = page.Entries[:min(limit, len(page.Entries))]
	reply(w, http.StatusOK, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	ctx, cancel := s.clock.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		page, changed := s.since(q.Get("prefix"), after)
		if len(page.Entries) > 0 {
			reply(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			reply(w, http.StatusOK, page)
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) (store.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	page := store.Page{Revision: max(s.seen(), after)}
	for key := range s.entries {
		e, found := s.read(key)
		if found && strings.HasPrefix(key, prefix) && e.Revision > after {
			page.Entries = append(page.Entries, e)
		}
	}
	slices.SortFunc(page.Entries, func(a, b store.Entry) int { return int(a.Revision) - int(b.Revision) })
	return page, s.changed
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var l store.Lease
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil || l.TTL <= 0 {
		http.Error(w, "a lease needs a ttl", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	l.ID = s.revision
	s.leases[l.ID] = lease{ttl: l.TTL.D(), end: s.clock.Now().Add(l.TTL.D())}
	reply(w, http.StatusOK, l)
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	var l store.Lease
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	held, alive := s.leases[l.ID]
	if !alive {
		http.Error(w, "lease has lapsed", http.StatusNotFound)
		return
	}
	held.end = s.clock.Now().Add(held.ttl)
	s.leases[l.ID] = held
	reply(w, http.StatusOK, l)
}

// lapse removes the leases whose time is over, and their keys.
func (s *Store) lapse() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.Lease == id {
				delete(s.entries, key)
				s.revision++
			}
		}
	}
}

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

// StoreFaults are the faults that can be injected into the store.
type StoreFaults struct {
	// Down answers all calls with 503.
	Down bool `json:"down"`
	// Slow is the delay that is added to each call.
	Slow units.Duration `json:"slow"`
	// LoseReplies is the number of further writes that take effect but whose replies are not sent.
	LoseReplies int `json:"losereplies"`
	// StaleBy is the number of newest revisions that reads and watches don't see.
	StaleBy uint64 `json:"staleby"`
}

// PathFaults is the path at which the emulated store and targets accept injected faults.
const PathFaults = "/v1/faults"

// defaultPageSize is the number of entries of a list without a valid limit.
const defaultPageSize = 1000

// Store emulates the platform's key-value store with leases and watches.
type Store struct {
	clock *timer.Clock

	mu       sync.Mutex
	entries  map[string]store.Entry
	revision uint64
	leases   map[uint64]lease
	// changed is closed and replaced on every change, which wakes all watches.
	changed chan struct{}
	faults  StoreFaults
	// calls counts the calls by kind.
	calls map[string]uint64
	// history holds the earlier versions of each key, for stale reads.
	history map[string][]store.Entry
}

// lease holds the duration and the end of a lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore(clock *timer.Clock) *Store {
	return &Store{
		clock:   clock,
		entries: map[string]store.Entry{},
		leases:  map[uint64]lease{},
		changed: make(chan struct{}),
		calls:   map[string]uint64{},
		history: map[string][]store.Entry{},
	}
}

// SetFaults replaces the injected faults and wakes all watches, since the visible revision may change.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
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

// Handler returns the HTTP handler of the store's protocol and of its fault injection.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.PathKey+"{key...}", s.withFaults("get", s.get))
	mux.HandleFunc("PUT "+store.PathKey+"{key...}", s.withFaults("put", s.put))
	mux.HandleFunc("DELETE "+store.PathKey+"{key...}", s.withFaults("delete", s.remove))
	mux.HandleFunc("GET "+store.PathList, s.withFaults("list", s.list))
	mux.HandleFunc("GET "+store.PathWatch, s.withFaults("watch", s.watch))
	mux.HandleFunc("POST "+store.PathLease, s.withFaults("grant", s.grantLease))
	mux.HandleFunc("PUT "+store.PathLease, s.withFaults("keepalive", s.renewLease))
	mux.HandleFunc("POST "+PathFaults, s.handleFaults)
	return mux
}

// handleFaults replaces the injected faults with those in the request's body.
func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// withFaults wraps a handler: it counts the call by its kind and applies the faults Slow and Down.
func (s *Store) withFaults(kind string, h http.HandlerFunc) http.HandlerFunc {
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

// writeJSON sends a value as a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// get returns the newest visible version of a key.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expireLeases()
	e, found := s.visibleEntry(r.PathValue("key"))
	s.mu.Unlock()
	if !found {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, e)
}

// visibleRevision returns the newest revision that reads may see: the current one less the injected staleness. The lock is held.
func (s *Store) visibleRevision() uint64 {
	return s.revision - min(s.faults.StaleBy, s.revision)
}

// visibleEntry returns the newest version of a key that reads may see. The lock is held.
func (s *Store) visibleEntry(key string) (store.Entry, bool) {
	e, found := s.entries[key]
	if s.faults.StaleBy == 0 {
		return e, found
	}
	visible := s.visibleRevision()
	if found && e.Revision <= visible {
		return e, true
	}
	for _, old := range slices.Backward(s.history[key]) {
		if old.Revision <= visible {
			return old, true
		}
	}
	return store.Entry{}, false
}

// Put writes a key unconditionally, for the set-up of tests and demos.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, store.Write{Value: value})
}

// write stores a key at the next revision and wakes all watches; it returns the revision. The lock is held.
func (s *Store) write(key string, w store.Write) uint64 {
	s.revision++
	if old, found := s.entries[key]; found {
		s.history[key] = append(s.history[key], old)
	}
	s.entries[key] = store.Entry{
		Key:      key,
		Value:    w.Value,
		Revision: s.revision,
		Lease:    w.Lease,
	}
	s.notifyWatchers()
	return s.revision
}

// notifyWatchers wakes all watches. The lock is held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key if its revision is the expected one and its lease, if any, is alive.
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
	s.expireLeases()
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
	loseReply := s.consumeLostReply()
	s.mu.Unlock()
	if loseReply {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, store.Written{Revision: revision})
}

// consumeLostReply reports whether the reply to this write is to be lost, and decrements the number of replies still to lose. The lock is held.
func (s *Store) consumeLostReply() bool {
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

// remove deletes a key.
func (s *Store) remove(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, r.PathValue("key"))
	s.revision++
	s.notifyWatchers()
}

// list returns a page of the entries whose keys have a prefix and follow the key after, sorted by key.
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultPageSize
	}
	s.mu.Lock()
	s.expireLeases()
	page := store.Page{Revision: s.visibleRevision()}
	for key := range s.entries {
		if !strings.HasPrefix(key, q.Get("prefix")) || key <= q.Get("after") {
			continue
		}
		if e, found := s.visibleEntry(key); found {
			page.Entries = append(page.Entries, e)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	page.Entries = page.Entries[:min(limit, len(page.Entries))]
	writeJSON(w, http.StatusOK, page)
}

// watch is a long poll: it returns the entries that changed after a revision, or an empty page when the wait is over.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	ctx, cancel := s.clock.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		page, changed := s.changesSince(q.Get("prefix"), after)
		if len(page.Entries) > 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			writeJSON(w, http.StatusOK, page)
			return
		}
	}
}

// changesSince returns the visible entries with a prefix that changed after a revision, sorted by revision, and a channel that is closed on the next change.
func (s *Store) changesSince(prefix string, after uint64) (store.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	page := store.Page{Revision: max(s.visibleRevision(), after)}
	for key := range s.entries {
		e, found := s.visibleEntry(key)
		if found && strings.HasPrefix(key, prefix) && e.Revision > after {
			page.Entries = append(page.Entries, e)
		}
	}
	slices.SortFunc(page.Entries, func(a, b store.Entry) int { return int(a.Revision) - int(b.Revision) })
	return page, s.changed
}

// grantLease creates a lease with the requested time to live.
func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var l store.Lease
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil || l.TTL <= 0 {
		http.Error(w, "a lease needs a ttl", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	l.ID = s.revision
	s.leases[l.ID] = lease{ttl: l.TTL.D(), expires: s.clock.Now().Add(l.TTL.D())}
	writeJSON(w, http.StatusOK, l)
}

// renewLease extends a lease by its time to live from now.
func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	var l store.Lease
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	held, alive := s.leases[l.ID]
	if !alive {
		http.Error(w, "lease has lapsed", http.StatusNotFound)
		return
	}
	held.expires = s.clock.Now().Add(held.ttl)
	s.leases[l.ID] = held
	writeJSON(w, http.StatusOK, l)
}

// expireLeases removes expired leases and the keys bound to them; it doesn't wake watches. The lock is held.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
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

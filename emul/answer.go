package emul

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/shard"
	"kingcupcross/target"
)

func (t *Target) query(w http.ResponseWriter, r *http.Request) {
	var q target.Query
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		refuse(w, target.Refusal{Reason: target.ReasonBad})
		return
	}
	if refusal := t.check(q); refusal != nil {
		refuse(w, *refusal)
		return
	}
	if refusal := t.Begin(); refusal != nil {
		refuse(w, *refusal)
		return
	}
	defer t.End()
	ctx, cancel := context.WithCancel(r.Context())
	defer t.track(q.ID, cancel)()
	if err := t.work(ctx, q.Deadline.D()); err != nil {
		http.Error(w, "given up", http.StatusGatewayTimeout)
		return
	}
	t.answer(w, q)
}

func (t *Target) track(id string, cancel context.CancelFunc) (untrack func()) {
	t.mu.Lock()
	t.running[id] = cancel
	t.mu.Unlock()
	return func() {
		t.mu.Lock()
		delete(t.running, id)
		t.mu.Unlock()
		cancel()
	}
}

// check refuses a snapshot or shard that the target doesn't hold.
func (t *Target) check(q target.Query) *target.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	refusal := &target.Refusal{Reason: target.ReasonAbsent, State: t.state()}
	for _, h := range t.settings.Holdings {
		if h.Service != q.Service || len(h.Indexes) == 0 {
			continue
		}
		newest := shard.Snapshot{Map: h.Map, Index: slices.Max(h.Indexes)}
		if refusal.Newest.Less(newest) {
			refusal.Newest = newest
		}
		if h.Map == q.Snapshot.Map && slices.Contains(h.Indexes, q.Snapshot.Index) && containsAll(h.Shards, q.Shards) {
			return nil
		}
	}
	if q.Snapshot.Less(refusal.Newest) {
		refusal.Reason = target.ReasonGone
	}
	return refusal
}

func containsAll(held, asked []int) bool {
	for _, s := range asked {
		if !slices.Contains(held, s) {
			return false
		}
	}
	return true
}

// Payload returns what every replica of a shard answers to a query, so that callers can check it.
func Payload(service string, s shard.Snapshot, n int, query []byte) []byte {
	return fmt.Appendf(nil, "%s map %d index %d shard %d query %016x", service, s.Map, s.Index, n, xxhash.Sum64(query))
}

func (t *Target) answer(w http.ResponseWriter, q target.Query) {
	t.mu.Lock()
	out := target.Reply{ID: q.ID, Snapshot: q.Snapshot, State: t.state()}
	f := t.faults
	t.mu.Unlock()
	for _, s := range q.Shards {
		p := target.NewPart(s, Payload(q.Service, q.Snapshot, s, q.Payload))
		if f.Corrupt {
			p.Sum++
		}
		out.Parts = append(out.Parts, p)
	}
	if f.Cut {
		cutShort(w, out)
		return
	}
	reply(w, http.StatusOK, out)
}

// cutShort sends the first half of a reply and resets the connection.
func cutShort(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Write(body[:len(body)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (t *Target) cancel(_ http.ResponseWriter, r *http.Request) {
	var c target.Cancel
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if stop := t.running[c.ID]; stop != nil {
		stop()
	}
}

func refuse(w http.ResponseWriter, r target.Refusal) {
	reply(w, http.StatusServiceUnavailable, r)
}

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

// handleQuery checks the requested snapshot and shards, takes a slot, simulates the work and answers.
func (t *Target) handleQuery(w http.ResponseWriter, r *http.Request) {
	var q target.Query
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		writeRefusal(w, target.Refusal{Reason: target.ReasonBad})
		return
	}
	if refusal := t.checkHoldings(q); refusal != nil {
		writeRefusal(w, *refusal)
		return
	}
	if refusal := t.AcquireSlot(); refusal != nil {
		writeRefusal(w, *refusal)
		return
	}
	defer t.ReleaseSlot()
	ctx, cancel := context.WithCancel(r.Context())
	defer t.trackCancel(q.ID, cancel)()
	if err := t.simulateWork(ctx, q.Deadline.D()); err != nil {
		http.Error(w, "given up", http.StatusGatewayTimeout)
		return
	}
	t.writeAnswer(w, q)
}

// trackCancel registers the cancel function of a sub-request, so that a cancel request can find it by id; untrack removes it again.
func (t *Target) trackCancel(id string, cancel context.CancelFunc) (untrack func()) {
	t.mu.Lock()
	t.cancels[id] = cancel
	t.mu.Unlock()
	return func() {
		t.mu.Lock()
		delete(t.cancels, id)
		t.mu.Unlock()
		cancel()
	}
}

// checkHoldings returns nil if the target holds the query's snapshot with all requested shards, otherwise a refusal.
// Its reason is ReasonGone for a snapshot older than the newest one held of the service, ReasonAbsent in all other cases.
func (t *Target) checkHoldings(q target.Query) *target.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	refusal := &target.Refusal{Reason: target.ReasonAbsent, State: t.currentState()}
	for _, h := range t.settings.Holdings {
		if h.Service != q.Service || len(h.Indexes) == 0 {
			continue
		}
		newest := shard.Snapshot{Map: h.Map, Index: slices.Max(h.Indexes)}
		if refusal.Newest.Less(newest) {
			refusal.Newest = newest
		}
		if h.Map == q.Snapshot.Map && slices.Contains(h.Indexes, q.Snapshot.Index) && holdsAll(h.Shards, q.Shards) {
			return nil
		}
	}
	if q.Snapshot.Less(refusal.Newest) {
		refusal.Reason = target.ReasonGone
	}
	return refusal
}

// holdsAll reports whether every requested shard is among those held.
func holdsAll(held, requested []int) bool {
	for _, s := range requested {
		if !slices.Contains(held, s) {
			return false
		}
	}
	return true
}

// PartPayload returns the payload with which every replica of a shard answers a query. It is deterministic, so that callers can verify it.
func PartPayload(service string, s shard.Snapshot, shardIndex int, query []byte) []byte {
	return fmt.Appendf(nil, "%s map %d index %d shard %d query %016x", service, s.Map, s.Index, shardIndex, xxhash.Sum64(query))
}

// writeAnswer answers a query for all of its shards, with the injected faults Corrupt and Cut applied.
func (t *Target) writeAnswer(w http.ResponseWriter, q target.Query) {
	t.mu.Lock()
	out := target.Reply{ID: q.ID, Snapshot: q.Snapshot, State: t.currentState()}
	f := t.faults
	t.mu.Unlock()
	for _, s := range q.Shards {
		p := target.NewPart(s, PartPayload(q.Service, q.Snapshot, s, q.Payload))
		if f.Corrupt {
			p.Sum++
		}
		out.Parts = append(out.Parts, p)
	}
	if f.Cut {
		writeTruncated(w, out)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

// writeTruncated sends the first half of a JSON reply and then aborts the connection.
func writeTruncated(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Write(body[:len(body)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// handleCancel cancels a running query by its id; unknown ids and malformed bodies are ignored.
func (t *Target) handleCancel(_ http.ResponseWriter, r *http.Request) {
	var c target.Cancel
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancelQuery := t.cancels[c.ID]; cancelQuery != nil {
		cancelQuery()
	}
}

// writeRefusal sends a refusal with status 503.
func writeRefusal(w http.ResponseWriter, r target.Refusal) {
	writeJSON(w, http.StatusServiceUnavailable, r)
}

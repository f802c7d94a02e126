package emul

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/target"
)

// handleOrder executes an order, counts the execution by the order's id and replies.
func (t *Target) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeRefusal(w, target.Refusal{Reason: target.ReasonBad})
		return
	}
	if refusal := t.AcquireSlot(); refusal != nil {
		writeRefusal(w, *refusal)
		return
	}
	defer t.ReleaseSlot()
	t.mu.Lock()
	t.orderRuns[o.ID]++
	run := t.orderRuns[o.ID]
	f := t.faults
	t.mu.Unlock()
	// An order that has begun runs to completion even if its sender disconnects.
	if err := t.simulateWork(context.WithoutCancel(r.Context()), 0); err != nil || f.ResetOrders {
		panic(http.ErrAbortHandler)
	}
	payload := fmt.Appendf(nil, "%s done at %s, run %d", o.ID, t.settings.Name, run)
	t.mu.Lock()
	state := t.currentState()
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, target.OrderReply{
		ID:      o.ID,
		State:   state,
		Payload: payload,
		Sum:     xxhash.Sum64(payload),
	})
}

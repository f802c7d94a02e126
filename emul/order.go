package emul

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"kingcupcross/target"
)

func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, target.Refusal{Reason: target.ReasonBad})
		return
	}
	if refusal := t.Begin(); refusal != nil {
		refuse(w, *refusal)
		return
	}
	defer t.End()
	t.mu.Lock()
	t.runs[o.ID]++
	run := t.runs[o.ID]
	f := t.faults
	t.mu.Unlock()
	// An order that has begun runs to its end, also when its sender has gone.
	if err := t.work(context.WithoutCancel(r.Context()), 0); err != nil || f.ResetOrders {
		panic(http.ErrAbortHandler)
	}
	payload := fmt.Appendf(nil, "%s done at %s, run %d", o.ID, t.settings.Name, run)
	t.mu.Lock()
	s := t.state()
	t.mu.Unlock()
	reply(w, http.StatusOK, target.OrderReply{
		ID:      o.ID,
		State:   s,
		Payload: payload,
		Sum:     xxhash.Sum64(payload),
	})
}

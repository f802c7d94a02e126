package entry

import (
	"context"
	"encoding/json"
	"slices"

	"kingcupcross/apiv1"
	"kingcupcross/fault"
	"kingcupcross/query"
	"kingcupcross/wire"
)

// handleQuery runs a query.
func (e *API) handleQuery(ctx context.Context, r request) (any, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	var q apiv1.Query
	if err := json.Unmarshal(r.body, &q); err != nil {
		return nil, fault.New(fault.Invalid, "%v", err)
	}
	if f := e.checkSize(q.Service, q.Payload); f != nil {
		return nil, f
	}
	minCoverage := -1.0
	if q.Coverage != nil {
		minCoverage = *q.Coverage
	}
	a, err := e.engine.Run(ctx, query.Request{
		ID:       r.id,
		Service:  q.Service,
		Payload:  q.Payload,
		Class:    wire.Class(apiv1.Classes[q.Class]),
		Deadline: q.Deadline.D(),
		Coverage: minCoverage,
	})
	if err != nil {
		return nil, err
	}
	return toAnswer(r.id, q.Service, a), nil
}

// toAnswer converts the engine's answer to the API's form, with the parts sorted by shard.
func toAnswer(id, service string, a *query.Answer) apiv1.Answer {
	out := apiv1.Answer{
		ID:       id,
		Service:  service,
		Snapshot: a.Snapshot,
		Shards:   a.ShardCount,
		Answered: len(a.Parts),
		First:    a.SubRequests.First,
		Extra:    a.SubRequests.Extra(),
		Missing:  []apiv1.MissingShard{},
		Parts:    make([]apiv1.Part, 0, len(a.Parts)),
	}
	for _, m := range a.Missing {
		out.Missing = append(out.Missing, apiv1.MissingShard{Shard: m.Shard, Reason: m.Reason})
	}
	for s, p := range a.Parts {
		out.Parts = append(out.Parts, apiv1.Part{Shard: s, Payload: p})
	}
	slices.SortFunc(out.Parts, func(a, b apiv1.Part) int { return a.Shard - b.Shard })
	return out
}

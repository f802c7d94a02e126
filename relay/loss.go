package relay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Reasons why a part is missing from an answer.
const (
	// lossNoTarget: no target may be asked; all are gone, leaving, in backoff, cold, out of service or not allowed for the route.
	lossNoTarget = "target"
	// lossSaturated: this host had as many sub-requests in flight at the part's targets as it may.
	lossSaturated = "full"
	// lossFailed: all sub-requests of the part failed.
	lossFailed = "failed"
	// lossDelegated: the part was delegated to another host and is missing from its answer.
	lossDelegated = "group"
	// lossSeveralAsked: two or more targets were asked and none has answered.
	lossSeveralAsked = "two"
	// lossNoOtherTarget: the target was overdue and no other target could be asked.
	lossNoOtherTarget = "only"
	// lossTooLate: the target was overdue, and another one was expected to answer too late.
	lossTooLate = "late"
	// lossNoBudget: the target was overdue, and the service had no budget for a hedge.
	lossNoBudget = "budget"
	// lossBusy: the target was overdue, and too many sub-requests were in flight for a hedge.
	lossBusy = "load"
	// lossUnanswered: the target was overdue, and no target had answered any part of the request, so that only one more target was tried at a time.
	lossUnanswered = "unanswered"
	// lossNotOverdue: the target was not overdue yet.
	lossNotOverdue = "due"
)

// recordUnhedged records why a part is not hedged now. lossTooLate does not replace an earlier reason, since an earlier obstacle is the cause of the lateness.
func (p *part) recordUnhedged(reason string) {
	if p.unhedgedReason == "" || reason != lossTooLate {
		p.unhedgedReason = reason
	}
}

// lossReason returns why a part has no reply.
func (q *query) lossReason(p *part) string {
	switch {
	case p.delegated:
		return lossDelegated
	case len(p.subRequests) == 0 && p.saturated:
		return lossSaturated
	case len(p.subRequests) == 0:
		return lossNoTarget
	case p.openCount() == 0:
		return lossFailed
	case len(p.subRequests) > 1:
		return lossSeveralAsked
	case p.unhedgedReason != "":
		return p.unhedgedReason
	default:
		return lossNotOverdue
	}
}

// lossSummary returns the number of missing parts per reason, as the log field "lost" shows them.
func (q *query) lossSummary() string {
	counts := map[string]int{}
	for _, p := range q.parts {
		if p.reply == nil && !p.delegated {
			counts[q.lossReason(p)]++
		}
	}
	for _, g := range q.delegations {
		missing := len(g.parts)
		if g.answer != nil {
			missing -= len(g.answer.Signatures)
		}
		if missing > 0 && g.parts[0].delegated {
			counts[lossDelegated] += missing
		}
	}
	var all []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		all = append(all, fmt.Sprintf("%s:%d", reason, counts[reason]))
	}
	return strings.Join(all, " ")
}

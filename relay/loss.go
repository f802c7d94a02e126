package relay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Reasons why a part is not in an answer.
const (
	// lossTarget is a part that no target may be asked for: all are gone, leaving, quiet, cold, or not allowed.
	lossTarget = "target"
	// lossFull is a part at whose targets this host had as much under way as it may.
	lossFull = "full"
	// lossFailed is a part all of whose sub-requests failed.
	lossFailed = "failed"
	// lossGroup is a part that another host was asked for.
	lossGroup = "group"
	// lossTwo is a part of which two targets or more were asked and none has answered.
	lossTwo = "two"
	// lossOnly is a part whose target was overdue while no other one could be asked.
	lossOnly = "only"
	// lossLate is a part whose target was overdue when another one would have answered too late.
	lossLate = "late"
	// lossBudget is one for which there was no budget.
	lossBudget = "budget"
	// lossLoad is one that wasn't hedged because much was under way.
	lossLoad = "load"
	// lossDue is a part whose target was not overdue yet.
	lossDue = "due"
)

// leave notes why a part is not hedged now. That it is too late says nothing where another reason stood in the way before.
func (p *part) leave(reason string) {
	if p.unhedged == "" || reason != lossLate {
		p.unhedged = reason
	}
}

// loss returns why a part has no reply.
func (q *run) loss(p *part) string {
	switch {
	case p.elsewhere:
		return lossGroup
	case len(p.flights) == 0 && p.full:
		return lossFull
	case len(p.flights) == 0:
		return lossTarget
	case p.open() == 0:
		return lossFailed
	case len(p.flights) > 1:
		return lossTwo
	case p.unhedged != "":
		return p.unhedged
	default:
		return lossDue
	}
}

// losses tells how many parts are missing for each reason.
func (q *run) losses() string {
	counts := map[string]int{}
	for _, p := range q.parts {
		if p.reply == nil && !p.elsewhere {
			counts[q.loss(p)]++
		}
	}
	for _, g := range q.asked {
		missing := len(g.parts)
		if g.answer != nil {
			missing -= len(g.answer.Signatures)
		}
		if missing > 0 && g.parts[0].elsewhere {
			counts[lossGroup] += missing
		}
	}
	var all []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		all = append(all, fmt.Sprintf("%s:%d", reason, counts[reason]))
	}
	return strings.Join(all, " ")
}

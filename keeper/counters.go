package keeper

import (
	"github.com/uber-go/tally/v4"

	"kingcupcross/fault"
)

// counters holds the metrics of a keeper.
type counters struct {
	admitted          tally.Counter
	queued            tally.Counter
	limitReductions   tally.Counter
	leavingSignals    tally.Counter
	foreignWork       tally.Counter
	claims            tally.Counter
	targetsTaken      tally.Counter
	targetsHandedOver tally.Counter
	// refusals counts the refused requests by the kind of their fault.
	refusals map[fault.Kind]tally.Counter
}

// newCounters registers the keeper's metrics in scope.
func newCounters(scope tally.Scope) *counters {
	c := &counters{
		admitted:          scope.Counter("admitted"),
		queued:            scope.Counter("queued"),
		limitReductions:   scope.Counter("cold_falls"),
		leavingSignals:    scope.Counter("leaving_signs"),
		foreignWork:       scope.Counter("foreign_work"),
		claims:            scope.Counter("claims"),
		targetsTaken:      scope.Counter("targets_taken"),
		targetsHandedOver: scope.Counter("targets_handed_over"),
		refusals:          map[fault.Kind]tally.Counter{},
	}
	for _, k := range fault.Kinds() {
		c.refusals[k] = scope.Tagged(map[string]string{"kind": k.String()}).Counter("refused")
	}
	return c
}

// countRefusal counts a request that was refused with a fault of kind k.
func (c *counters) countRefusal(k fault.Kind) {
	if n := c.refusals[k]; n != nil {
		n.Inc(1)
	}
}

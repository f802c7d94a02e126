package keeper

import (
	"github.com/uber-go/tally/v4"

	"kingcupcross/fault"
)

// counters are the metrics of a keeper.
type counters struct {
	admitted  tally.Counter
	queued    tally.Counter
	fell      tally.Counter
	signs     tally.Counter
	witnessed tally.Counter
	claims    tally.Counter
	kept      tally.Counter
	yielded   tally.Counter
	// kinds counts the refusals by their kind.
	kinds map[fault.Kind]tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		admitted:  scope.Counter("admitted"),
		queued:    scope.Counter("queued"),
		fell:      scope.Counter("cold_falls"),
		signs:     scope.Counter("leaving_signs"),
		witnessed: scope.Counter("foreign_work"),
		claims:    scope.Counter("claims"),
		kept:      scope.Counter("targets_taken"),
		yielded:   scope.Counter("targets_handed_over"),
		kinds:     map[fault.Kind]tally.Counter{},
	}
	for _, k := range fault.Kinds() {
		c.kinds[k] = scope.Tagged(map[string]string{"kind": k.String()}).Counter("refused")
	}
	return c
}

func (c *counters) refused(k fault.Kind) {
	if n := c.kinds[k]; n != nil {
		n.Inc(1)
	}
}

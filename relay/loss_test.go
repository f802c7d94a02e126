package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestLineTellsWhyPartsAreMissing names a reason for each part that an answer leaves out, so that losses can be summed from the logs.
func TestLineTellsWhyPartsAreMissing(t *testing.T) {
	late := answers(400*time.Millisecond, "late")
	for _, one := range []struct {
		name    string
		prepare func(*fleet)
		lost    string
	}{
		{
			name: "both targets are late",
			prepare: func(l *fleet) {
				l.set("s01", 0, late)
				l.set("s01", 1, late)
			},
			lost: "two:1",
		},
		{
			name: "no target",
			prepare: func(l *fleet) {
				l.says("s01", 0, Word{Quiet: time.Minute})
				l.says("s01", 1, Word{Quiet: time.Minute})
			},
			lost: "target:1",
		},
		{
			name: "only one target, and it is late",
			prepare: func(l *fleet) {
				l.set("s01", 0, late)
				l.says("s01", 1, Word{Quiet: time.Minute})
			},
			lost: "only:1",
		},
		{
			name: "no budget",
			prepare: func(l *fleet) {
				l.set("s01", 0, late)
				for l.engine.budgets.spend("s01") {
				}
			},
			lost: "budget:1",
		},
		{
			name: "much other work",
			prepare: func(l *fleet) {
				l.hosts = 1
				l.set("s01", 0, late)
				l.engine.load.add(groupOf(&l.config.Routes[0], nil), 200)
			},
			lost: "load:1",
		},
		{
			name: "both fail",
			prepare: func(l *fleet) {
				l.set("s01", 0, breaks)
				l.set("s01", 1, breaks)
			},
			lost: "failed:1",
		},
	} {
		t.Run(one.name, func(t *testing.T) {
			withFleet(t, func(l *fleet) {
				core, seen := observer.New(zap.InfoLevel)
				l.engine.log = zap.New(core)
				l.fanout(20, 0.89)
				one.prepare(l)
				a, _ := l.ask("/all/1")
				require.Nil(t, a.Fault)
				require.Equal(t, 1, a.Missing)
				lines := seen.FilterMessage("request answered").All()
				require.Len(t, lines, 1)
				require.Equal(t, one.lost, lines[0].ContextMap()["lost"])
			})
		})
	}
}

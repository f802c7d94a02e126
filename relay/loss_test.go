package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestLogGivesReasonsForMissingParts checks that the log line of an answer gives the reason for each missing part, so that losses can be summed up from the logs.
func TestLogGivesReasonsForMissingParts(t *testing.T) {
	late := answersAfter(400*time.Millisecond, "late")
	for _, tc := range []struct {
		name    string
		prepare func(*testCluster)
		lost    string
	}{
		{
			name: "both targets are late",
			prepare: func(l *testCluster) {
				l.setBehaviour("s01", 0, late)
				l.setBehaviour("s01", 1, late)
			},
			lost: "two:1",
		},
		{
			name: "no target",
			prepare: func(l *testCluster) {
				l.notify("s01", 0, TargetNotice{Backoff: time.Minute})
				l.notify("s01", 1, TargetNotice{Backoff: time.Minute})
			},
			lost: "target:1",
		},
		{
			name: "only one target, and it is late",
			prepare: func(l *testCluster) {
				l.setBehaviour("s01", 0, late)
				l.notify("s01", 1, TargetNotice{Backoff: time.Minute})
			},
			lost: "only:1",
		},
		{
			name: "no budget",
			prepare: func(l *testCluster) {
				l.setBehaviour("s01", 0, late)
				for l.engine.budgets.spend("s01") {
				}
			},
			lost: "budget:1",
		},
		{
			name: "high load",
			prepare: func(l *testCluster) {
				l.hosts = 1
				l.setBehaviour("s01", 0, late)
				l.engine.load.add(loadGroup(&l.config.Routes[0], nil), 200)
			},
			lost: "load:1",
		},
		{
			name: "both fail",
			prepare: func(l *testCluster) {
				l.setBehaviour("s01", 0, losesConnection)
				l.setBehaviour("s01", 1, losesConnection)
			},
			lost: "failed:1",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(l *testCluster) {
				core, seen := observer.New(zap.InfoLevel)
				l.engine.log = zap.New(core)
				l.setFanoutRoute(20, 0.89)
				tc.prepare(l)
				a, _ := l.request("/all/1")
				require.Nil(t, a.Fault)
				require.Equal(t, 1, a.Missing)
				lines := seen.FilterMessage("request answered").All()
				require.Len(t, lines, 1)
				require.Equal(t, tc.lost, lines[0].ContextMap()["lost"])
			})
		})
	}
}

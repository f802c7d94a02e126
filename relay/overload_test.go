package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
)

// TestOverloadRefusalsAreImmediate guards against queueing requests for capacity and then refusing them with less of their time left.
func TestOverloadRefusalsAreImmediate(t *testing.T) {
	const maxRefusalTime = 5 * time.Millisecond
	withBoundedTargets(t, func(l *testCluster) {
		answers, times := l.sendAtRate(3, 1600, 2*time.Second)
		refused := 0
		for i, a := range answers {
			if a.Fault != nil && a.Fault.Kind == fault.Overload && !a.ReachedTargets {
				refused++
				require.LessOrEqual(t, times[i], maxRefusalTime)
				require.Positive(t, a.Fault.RetryAfter())
				require.True(t, a.Fault.NotRun())
			}
		}
		require.Positive(t, refused)
	})
}

// TestNoHedgesUnderHighLoad guards against hedges that take the targets' slots when these are scarce: a stalled target is hedged under low load, but not under high load.
func TestNoHedgesUnderHighLoad(t *testing.T) {
	for _, tc := range []struct {
		name  string
		busy  float64
		asked int
	}{
		{name: "low load", busy: 0.1, asked: 1},
		{name: "high load", busy: 0.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(l *testCluster) {
				l.hosts = 1
				l.setFanoutRoute(10, 0.9)
				l.setBehaviour("s03", 0, answersAfter(300*time.Millisecond, "late"))
				q := l.engine.newQuery(t.Context(), &Request{Host: "h", Path: "/all/1"}, l.config, l.config.Match("h", "/all/1"), time.Now())
				l.engine.load.add(loadGroup(q.route, nil), int(tc.busy*q.concurrencyLimit()))
				q.cancelSubs()
				a, _ := l.request("/all/1")
				require.Nil(t, a.Fault)
				require.Equal(t, tc.asked, l.sentTo(l.targetEntry("s03", 1).ID))
			})
		})
	}
}

// TestSingleShardRouteHasItsOwnLimit guards against refusing requests to a single service because of queries over an index whose first shard is that service.
func TestSingleShardRouteHasItsOwnLimit(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		all := l.config.Routes[0]
		alone := all
		alone.Name, alone.Prefix, alone.Shards, alone.Top, alone.Least = "alone", "/alone/", nil, 0, 0
		alone.Shares = l.onlyService("s00")
		l.setConfig(l.config.Services, all, alone)
		l.engine.load.add(loadGroup(&all, nil), 1000)
		a, _ := l.request("/alone/1")
		require.Nil(t, a.Fault)
	})
}

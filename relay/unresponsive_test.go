package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
)

// silenceTargets silences the targets in the other data centre and, for the first n shards, also those in the engine's own, as when the region is cut off from the network.
func (l *testCluster) silenceTargets(n int) {
	for i := range 20 {
		s := fmt.Sprintf("s%02d", i)
		l.setBehaviour(s, 1, neverAnswers)
		if i < n {
			l.setBehaviour(s, 0, neverAnswers)
		}
	}
}

// TestCutOffRegionRefusesAtOnceAndRecovers checks that queries with too few responsive shards are refused at once, with a retry delay and nothing run, apart from one probe per period, that no query is held until its deadline, and that queries succeed again soon after the targets are back.
func TestCutOffRegionRefusesAtOnceAndRecovers(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		for range 20 {
			a, _ := l.request("/all/1")
			require.Nil(t, a.Fault)
		}
		l.silenceTargets(8)
		// The first query cannot know yet that the targets are silent.
		l.request("/all/1")
		probed, refused, start := 0, 0, time.Now()
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			sent := l.sent()
			a, took := l.request("/all/1")
			require.NotNil(t, a.Fault)
			require.Less(t, took, deadline-deadlineMargin)
			if a.Fault.Kind != fault.NoReplica {
				probed++
				continue
			}
			refused++
			require.Zero(t, took)
			require.Equal(t, sent, l.sent())
			require.True(t, a.Fault.NotRun())
			require.Equal(t, unresponsiveRetryAfter, a.Fault.RetryAfter())
		}
		require.Positive(t, refused)
		require.LessOrEqual(t, probed, 1+int(time.Since(start)/probePeriod))
		for i := range 20 {
			s := fmt.Sprintf("s%02d", i)
			l.setBehaviour(s, 0, answersAfter(10*time.Millisecond, s))
		}
		time.Sleep(probePeriod)
		l.request("/all/1")
		time.Sleep(unusedLinger)
		served := 0
		for range 20 {
			if a, _ := l.request("/all/1"); a.Fault == nil {
				served++
			}
		}
		require.Equal(t, 20, served)
	})
}

// TestFewSilentShardsOnlyLowerCoverage checks that a few silent shards neither delay nor fail the queries that can do without them.
func TestFewSilentShardsOnlyLowerCoverage(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		l.silenceTargets(2)
		for range 20 {
			a, took := l.request("/all/1")
			require.Nil(t, a.Fault)
			require.Equal(t, 2, a.Missing)
			require.LessOrEqual(t, took, objective)
		}
	})
}

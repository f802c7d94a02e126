package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// suspected reports whether a suspicion that the way to the targets is lost is pending, and takes it.
func suspected(l *testCluster) bool {
	select {
	case <-l.engine.ReachSuspicions():
		return true
	default:
		return false
	}
}

// TestSilenceOfAllTargetsIsSuspicious guards against a loss of the way to the targets being noticed only when they count as unresponsive, and against checks while some answer.
func TestSilenceOfAllTargetsIsSuspicious(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.5)
		for i := range 5 {
			l.setBehaviour(l.config.Routes[0].Shards[i], 0, neverAnswers)
		}
		for range 10 {
			l.request("/all/x")
		}
		require.False(t, suspected(l), "most targets answer")
		for _, s := range l.config.Routes[0].Shards {
			l.setBehaviour(s, 0, neverAnswers)
			l.setBehaviour(s, 1, neverAnswers)
		}
		go l.request("/all/x")
		time.Sleep(minSilenceOfAll + 50*time.Millisecond)
		synctest.Wait()
		require.True(t, suspected(l))
	})
}

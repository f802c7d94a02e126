package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
)

// cutOff takes the targets of the other data centre away, and for n shards also those of the own: a host whose region is cut off reaches only what lies there.
func (l *fleet) cutOff(n int) {
	for i := range 20 {
		s := fmt.Sprintf("s%02d", i)
		l.set(s, 1, silent)
		if i < n {
			l.set(s, 0, silent)
		}
	}
}

// TestRegionThatIsCutOff refuses at once what can't be served, with when to come back and truthfully, holds none to its deadline, and serves again soon after the cut.
func TestRegionThatIsCutOff(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		for range 20 {
			a, _ := l.ask("/all/1")
			require.Nil(t, a.Fault)
		}
		l.cutOff(8)
		// The first one can't know yet.
		l.ask("/all/1")
		held, refused, began := 0, 0, time.Now()
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			sent := l.sent()
			a, took := l.ask("/all/1")
			require.NotNil(t, a.Fault)
			require.Less(t, took, deadline-endMargin)
			if a.Fault.Kind != fault.NoReplica {
				held++
				continue
			}
			refused++
			require.Zero(t, took)
			require.Equal(t, sent, l.sent())
			require.True(t, a.Fault.NotRun())
			require.Equal(t, silentRetry, a.Fault.RetryAfter())
		}
		require.Positive(t, refused)
		require.LessOrEqual(t, held, 1+int(time.Since(began)/probePeriod))
		for i := range 20 {
			s := fmt.Sprintf("s%02d", i)
			l.set(s, 0, answers(10*time.Millisecond, s))
		}
		time.Sleep(probePeriod)
		l.ask("/all/1")
		time.Sleep(loserLinger)
		served := 0
		for range 20 {
			if a, _ := l.ask("/all/1"); a.Fault == nil {
				served++
			}
		}
		require.Equal(t, 20, served)
	})
}

// TestFewSilentShards leave the others' answer as it is.
func TestFewSilentShards(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		l.cutOff(2)
		for range 20 {
			a, took := l.ask("/all/1")
			require.Nil(t, a.Fault)
			require.Equal(t, 2, a.Missing)
			require.LessOrEqual(t, took, aim)
		}
	})
}

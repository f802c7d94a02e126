package timer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withManual runs f with a manual clock.
func withManual(t *testing.T, f func(*Clock, *ManualClock)) {
	t.Helper()
	s, m := NewManualClock(time.Unix(1000, 0))
	f(s, m)
}

func TestManualCallsInOrderOfTime(t *testing.T) {
	withManual(t, func(s *Clock, m *ManualClock) {
		var calls []string
		s.AfterFunc(2*time.Second, func() { calls = append(calls, "late") })
		s.AfterFunc(time.Second, func() { calls = append(calls, "early") })
		stop := s.AfterFunc(time.Second, func() { calls = append(calls, "stopped") })
		require.True(t, stop())
		m.Advance(1500 * time.Millisecond)
		require.Equal(t, []string{"early"}, calls)
		m.Advance(time.Second)
		require.Equal(t, []string{"early", "late"}, calls)
	})
}

func TestTickerDropsTicksThatAreNotRead(t *testing.T) {
	withManual(t, func(s *Clock, m *ManualClock) {
		tick := s.Every(time.Second)
		m.Advance(3 * time.Second)
		require.Len(t, tick.C, 1)
		tick.Stop()
		require.Zero(t, m.PendingCalls())
	})
}

func TestWithTimeoutNamesItsCause(t *testing.T) {
	withManual(t, func(s *Clock, m *ManualClock) {
		ctx, cancel := s.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.NoError(t, ctx.Err())
		m.Advance(time.Second)
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}

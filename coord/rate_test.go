package coord

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestRateHysteresis follows a host through low load, one second of high load, medium load and low load again: medium load must not switch between forwarding and answering.
func TestRequestRateHysteresis(t *testing.T) {
	var r requestRate
	now := time.Unix(1000, 0)
	send := func(perSecond int, d time.Duration) (low bool) {
		gap := time.Second / time.Duration(perSecond)
		for range int(d / gap) {
			low, _ = r.record(now)
			now = now.Add(gap)
		}
		return low
	}
	require.True(t, send(2, 10*time.Second))
	require.True(t, send(5, 10*time.Second), "below highRate nothing changes")
	require.False(t, send(20, 2*time.Second))
	require.False(t, send(5, 10*time.Second), "above lowRate nothing changes")
	require.True(t, send(2, 6*time.Second))
}

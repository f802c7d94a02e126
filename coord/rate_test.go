package coord

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRateChangesOnlyWithTheLoad follows a quiet host, one busy second, a middling load, and quiet again.
func TestRateChangesOnlyWithTheLoad(t *testing.T) {
	var r rate
	now := time.Unix(1000, 0)
	play := func(perSecond int, d time.Duration) (few bool) {
		gap := time.Second / time.Duration(perSecond)
		for range int(d / gap) {
			few, _ = r.note(now)
			now = now.Add(gap)
		}
		return few
	}
	require.True(t, play(2, 10*time.Second))
	require.True(t, play(5, 10*time.Second), "below the upper rate nothing changes")
	require.False(t, play(20, 2*time.Second))
	require.False(t, play(5, 10*time.Second), "above the lower rate nothing changes")
	require.True(t, play(2, 6*time.Second))
}

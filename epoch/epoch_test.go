package epoch

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRevisionsAreOrderedByEpochFirst guards against an order by number alone, in which what is written after a restore seems older than what was lost.
func TestRevisionsAreOrderedByEpochFirst(t *testing.T) {
	ordered := []Revision{{}, {Number: 9}, {Epoch: 1, Number: 5}, {Epoch: 1, Number: 6}, {Epoch: 2, Number: 1}}
	require.True(t, slices.IsSortedFunc(ordered, Revision.Compare))
	for i, r := range ordered {
		for k, other := range ordered {
			require.Equal(t, i < k, r.Before(other))
		}
	}
	require.Equal(t, "9", ordered[1].String())
	require.Equal(t, "2/1", ordered[4].String())
}

func TestParse(t *testing.T) {
	for _, value := range []string{"", " ", "0", "-1", "+1", "1.0", "0x1", "18446744073709551616", strings.Repeat("x", 1000)} {
		_, err := Parse(value)
		require.Error(t, err, value)
		require.Less(t, len(err.Error()), 200)
	}
	e, err := Parse(" 12 ")
	require.NoError(t, err)
	require.EqualValues(t, 12, e)
}

func TestTrackerKeepsTheNewestEpoch(t *testing.T) {
	var tracker Tracker
	var rises [][2]uint64
	tracker.Subscribe(func(old, current uint64) { rises = append(rises, [2]uint64{old, current}) })
	for _, e := range []uint64{0, 3, 3, 2, 0, 7} {
		require.Equal(t, e >= tracker.Current(), tracker.Observe(e))
	}
	require.Equal(t, [][2]uint64{{0, 3}, {3, 7}}, rises)
}

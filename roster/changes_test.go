package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestChangesLeadToTheLaterView checks that changes lead from the earlier view to the later one and are refused by any other.
func TestChangesLeadToTheLaterView(t *testing.T) {
	a := Target{ID: "a", Service: "s", Revision: 1}
	b := Target{ID: "b", Service: "s", Revision: 2}
	c := Target{ID: "c", Service: "t", Revision: 3}
	old := Empty().Merge(listing(3, a, b), start, time.Time{})
	b.Draining, b.Revision = true, 4
	next := old.Merge(listing(5, b, c), start.Add(time.Second), time.Time{})
	changes := next.ChangesSince(old)
	require.ElementsMatch(t, []Target{b, c}, changes.Changed)
	require.Equal(t, []string{"a"}, changes.Gone)
	p, ok := old.Apply(changes)
	require.True(t, ok)
	got := old.Merge(p, start, time.Time{})
	require.Equal(t, next.Hash, got.Hash)
	require.Equal(t, next.Revision, got.Revision)
	require.Len(t, got.Services["t"], 1)
	require.Empty(t, got.Services["s"])
	_, ok = got.Apply(changes)
	require.False(t, ok)
}

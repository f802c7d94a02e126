package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestChangesLeadToTheLaterView and are refused where they start from another one.
func TestChangesLeadToTheLaterView(t *testing.T) {
	a := Target{ID: "a", Service: "s", Revision: 1}
	b := Target{ID: "b", Service: "s", Revision: 2}
	c := Target{ID: "c", Service: "t", Revision: 3}
	old := Empty().Merge(page(3, a, b), start, time.Time{})
	b.Draining, b.Revision = true, 4
	next := old.Merge(page(5, b, c), start.Add(time.Second), time.Time{})
	changes := next.Since(old)
	require.ElementsMatch(t, []Target{b, c}, changes.Changed)
	require.Equal(t, []string{"a"}, changes.Gone)
	p, applies := old.Apply(changes)
	require.True(t, applies)
	got := old.Merge(p, start, time.Time{})
	require.Equal(t, next.Sum, got.Sum)
	require.Equal(t, next.Revision, got.Revision)
	require.Len(t, got.Services["t"], 1)
	require.Empty(t, got.Services["s"])
	_, applies = got.Apply(changes)
	require.False(t, applies)
}

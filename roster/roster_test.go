package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// listing returns a listing of some targets at a revision.
func listing(revision uint64, targets ...Target) Listing {
	return Listing{Revision: revision, Targets: targets}
}

func TestMergeDropsDrainingAndDeletedTargets(t *testing.T) {
	a := Target{ID: "a", Service: "s", Revision: 1}
	b := Target{ID: "b", Service: "s", Revision: 2}
	v := Empty().Merge(listing(2, a, b), start, time.Time{})
	require.Len(t, v.Services["s"], 2)
	b.Draining, b.Revision = true, 3
	v = v.Merge(listing(3, a, b), start, time.Time{})
	require.Len(t, v.Services["s"], 1)
	v = v.Merge(listing(4), start, time.Time{})
	require.Empty(t, v.Services["s"])
	require.Empty(t, v.Entries)
}

func TestMergeIgnoresAnOlderListing(t *testing.T) {
	v := Empty().Merge(listing(5), start, time.Time{})
	require.Nil(t, v.Merge(listing(4, Target{ID: "a"}), start, time.Time{}))
}

// TestExpiredEntriesAreKeptAfterAnOutage checks that targets whose entries expired during an outage of the store are kept until the grace period ends.
func TestExpiredEntriesAreKeptAfterAnOutage(t *testing.T) {
	a := Target{ID: "a", Service: "s", Revision: 1}
	draining := Target{ID: "left", Service: "s", Revision: 1, Draining: true}
	v := Empty().Merge(listing(1, a, draining), start, time.Time{})
	back := start.Add(5 * time.Second)
	v = v.Merge(listing(2), back, back)
	require.Len(t, v.Services["s"], 1)
	require.Nil(t, v.Entries["left"])
	v = v.Merge(listing(3), back.Add(2*time.Second), back)
	require.Len(t, v.Services["s"], 1)
	returned := v.Merge(listing(4, a), back.Add(2*time.Second), back)
	require.True(t, returned.Entries["a"].MissingSince.IsZero())
	v = v.Merge(listing(4), back.Add(3*time.Second), back)
	require.Empty(t, v.Services["s"])
}

func TestMergeKeepsColdUntil(t *testing.T) {
	a := Target{ID: "a", Service: "s", Revision: 1, Cold: 3 * time.Second}
	v := Empty().Merge(listing(1, a), start, time.Time{})
	v = v.Merge(listing(2, a), start.Add(time.Second), time.Time{})
	require.Equal(t, start.Add(3*time.Second), v.Entries["a"].ColdUntil)
}

// TestUpdateAfterAnOutage guards against a target whose entry expired during an outage being taken for one that exists, because the view that keeps it is the base of the next update.
func TestUpdateAfterAnOutage(t *testing.T) {
	a, b := Target{ID: "a", Service: "s", Revision: 1}, Target{ID: "b", Service: "s", Revision: 1}
	v := Empty().Merge(listing(1, a, b), start, time.Time{})
	back := start.Add(5 * time.Second)
	v = v.Update(Update{Gone: []string{"a"}, Revision: 2}, back, back)
	require.Len(t, v.Services["s"], 2)
	b.Revision, b.Draining = 3, true
	v = v.Update(Update{Changed: []Target{b}, Revision: 3}, back.Add(time.Second), back)
	require.Len(t, v.Services["s"], 1)
	require.False(t, v.Entries["a"].MissingSince.IsZero())
	v = v.Update(Update{Revision: 3}, back.Add(3*time.Second), back)
	require.Empty(t, v.Services["s"])
	require.Nil(t, v.Update(Update{Revision: 2}, back.Add(3*time.Second), back), "an older update returns nil")
}

// TestUpdateWithoutChanges guards against rebuilding the whole roster for an update without changes.
func TestUpdateWithoutChanges(t *testing.T) {
	v := Empty().Merge(listing(1, Target{ID: "a", Service: "s", Revision: 1}), start, time.Time{})
	later := start.Add(time.Second)
	next := v.Update(Update{Revision: 7}, later, time.Time{})
	require.EqualValues(t, 7, next.Revision)
	require.Equal(t, later, next.ReadAt)
	require.Same(t, v.Entries["a"], next.Entries["a"])
	require.LessOrEqual(t, testing.AllocsPerRun(10, func() { v.Update(Update{Revision: 7}, later, time.Time{}) }), 1.0)
}

package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/roster"
	"kingcupcross/timer"
)

// TestTargetThatLeavesAgainIsToldToReaders guards against work for a target that has started again under its id and announced a second time that it leaves: the reading host knew its id from the first time.
func TestTargetThatLeavesAgainIsToldToReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := time.UnixMilli(1000), time.UnixMilli(2000)
		source := New(timer.New(), Store{}, propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
		leavers := []roster.Leaver{{ID: "a", Born: second}}
		service := NewService(source, func() []coord.Member { return nil }, func() []roster.Leaver { return leavers }, func() []roster.RateLimit { return nil })
		known := []roster.Leaver{{ID: "a", Born: first}}
		feed := Feed{
			Members: func() []coord.Member { return nil },
			Leavers: func() []roster.Leaver { return known },
		}
		fed := New(timer.New(), Store{}, propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
		var s State
		require.NoError(t, service.Read(fed.knownWithNotices(feed), &s))
		require.Equal(t, leavers, s.Leavers)
		known = leavers
		s = State{}
		require.NoError(t, service.Read(fed.knownWithNotices(feed), &s))
		require.Empty(t, s.Leavers)
		s = State{}
		require.NoError(t, service.Read(Known{Leavers: []string{"a"}}, &s), "a host of an earlier build")
		require.Empty(t, s.Leavers)
	})
}

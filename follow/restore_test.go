package follow

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/epoch"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// restore makes the store unreachable for a moment and brings it back in the next epoch with older contents.
func (s *fakeStore) restore(o route.OperatorState, p roster.Listing) {
	s.modify(func() {
		s.down = true
		close(s.cutWatches)
		s.cutWatches = make(chan struct{})
	})
	time.Sleep(300 * time.Millisecond)
	s.modify(func() {
		s.epoch++
		s.targetRevisions, s.notifiedListing = map[string]uint64{}, roster.Listing{}
		s.operator, s.listing, s.down = o, p, false
	})
}

// target returns a target of service s whose entry has a revision.
func target(id string, revision uint64, draining bool) roster.Target {
	return roster.Target{
		ID:       id,
		Service:  "s",
		Born:     time.UnixMilli(1),
		Draining: draining,
		Revision: revision,
	}
}

// listing returns the targets at a revision of the store.
func listing(revision uint64, targets ...roster.Target) roster.Listing {
	return roster.Listing{
		Targets:  targets,
		Revision: revision,
	}
}

// configVersion returns a configuration without routes.
func configVersion(t *testing.T, version uint64) *route.Config {
	c, err := route.New(route.Config{Version: version})
	require.NoError(t, err)
	return c
}

// operatorState returns the operator data at a revision of the store.
func operatorState(t *testing.T, revision, version uint64, out ...string) route.OperatorState {
	return route.OperatorState{
		Config:   configVersion(t, version),
		Out:      outOf(out),
		Revision: revision,
	}
}

// outOf returns data centres out of service as operator data hold them.
func outOf(names []string) map[string]bool {
	out := map[string]bool{}
	for _, name := range names {
		out[name] = true
	}
	return out
}

// servedBy returns the ids of the targets of service s that may get work.
func (f *Follower) servedBy() []string {
	var ids []string
	for _, e := range f.View().Services["s"] {
		ids = append(ids, e.ID)
	}
	return ids
}

// restoredCopy is the state of the store in which a draining target was ready, a removed one was there, a new one was missing, and no data centre was out of service.
func restoredCopy(t *testing.T) (route.OperatorState, roster.Listing) {
	return operatorState(t, 30, 5), listing(30, target("draining", 10, false), target("ready", 10, false), target("removed", 10, false))
}

// beforeRestore brings the store to the state from which it is later restored to restoredCopy.
func (s *fakeStore) beforeRestore(t *testing.T) {
	s.modify(func() { s.epoch = 1 })
	o, p := restoredCopy(t)
	s.modify(func() { s.listing = p })
	s.putOperator(o)
	time.Sleep(3 * time.Second)
	s.modify(func() {
		s.listing = listing(50, target("draining", 41, true), target("new", 45, false), target("ready", 10, false))
	})
	s.putOperator(operatorState(t, 50, 6, "z"))
	time.Sleep(3 * time.Second)
}

// requireStateBeforeRestore checks that a host still acts on the state that beforeRestore has brought about.
func requireStateBeforeRestore(t *testing.T, f *Follower) {
	t.Helper()
	require.EqualValues(t, 6, f.Config().Version)
	require.True(t, f.DatacentreOut("z"))
	require.Equal(t, []string{"new", "ready"}, f.servedBy())
}

// TestRestoredStoreTakesNothingBack guards against a configuration, targets or data centres out of service that go back to an older copy of the store, and against changes after the restore that are dropped because their revisions are lower than earlier ones.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		s.beforeRestore(t)
		requireStateBeforeRestore(t, f)
		s.restore(restoredCopy(t))
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			requireStateBeforeRestore(t, f)
		}
		// What operator and targets wrote is written again, with revisions that were given out before.
		s.modify(func() {
			s.listing = listing(41, target("draining", 40, true), target("new", 41, false), target("ready", 10, false), target("removed", 10, false))
		})
		s.putOperator(operatorState(t, 41, 6, "z"))
		time.Sleep(propagationLimit)
		requireStateBeforeRestore(t, f)
		s.modify(func() {
			s.listing = listing(44, target("new", 44, true), target("ready", 10, false))
		})
		s.putOperator(operatorState(t, 44, 7))
		time.Sleep(propagationLimit)
		require.EqualValues(t, 7, f.Config().Version)
		require.False(t, f.DatacentreOut("z"))
		require.Equal(t, []string{"ready"}, f.servedBy())
	})
}

// TestMissingTargetsAreGoneAfterRestoreGrace checks that what isn't written again after a restore holds no longer than the targets have to write again.
func TestMissingTargetsAreGoneAfterRestoreGrace(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		s.beforeRestore(t)
		s.restore(restoredCopy(t))
		time.Sleep(retryPeriod + roster.OutageGrace + 100*time.Millisecond)
		require.EqualValues(t, 6, f.Config().Version)
		require.False(t, f.DatacentreOut("z"))
		require.Equal(t, []string{"ready"}, f.servedBy())
	})
}

// TestRemovedTargetThatRegistersAgainIsUsed checks that a target that was removed before a restore serves again once it has written its entry.
func TestRemovedTargetThatRegistersAgainIsUsed(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		s.beforeRestore(t)
		s.restore(restoredCopy(t))
		time.Sleep(time.Second)
		s.modify(func() { s.listing = listing(31, target("ready", 10, false), target("removed", 31, false)) })
		time.Sleep(propagationLimit)
		require.Equal(t, []string{"ready", "removed"}, f.servedBy())
	})
}

// TestRestoresInARow checks that a second restore while the first one's grace lasts takes nothing back either.
func TestRestoresInARow(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		s.beforeRestore(t)
		s.restore(restoredCopy(t))
		time.Sleep(time.Second)
		s.restore(operatorState(t, 20, 4), listing(20, target("draining", 10, false), target("removed", 10, false)))
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			requireStateBeforeRestore(t, f)
		}
		s.modify(func() { s.listing = listing(22, target("ready", 22, false)) })
		s.putOperator(operatorState(t, 21, 8))
		time.Sleep(propagationLimit)
		require.EqualValues(t, 8, f.Config().Version)
		require.Equal(t, []string{"ready"}, f.servedBy())
	})
}

// TestHostsOnBothSidesOfARestore guards against views of the earlier epoch that replace those of the newer one, and checks that a host that saw nothing of the restore learns of it from another one.
func TestHostsOnBothSidesOfARestore(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		s.beforeRestore(t)
		members := func() []coord.Member { return nil }
		feed := Feed{
			Members:    members,
			SetMembers: func([]coord.Member) {},
		}
		newHost := func() *Follower {
			return New(timer.New(), Store{}, propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
		}
		cutOff, started := newHost(), newHost()
		earlier := f.AwaitDiff(cutOff.known(nil), members)
		cutOff.applyState(earlier, feed)
		requireStateBeforeRestore(t, cutOff)
		s.restore(restoredCopy(t))
		time.Sleep(time.Second)
		s.modify(func() {
			s.listing = listing(33, target("new", 33, false), target("ready", 10, false), target("removed", 10, false))
		})
		s.putOperator(operatorState(t, 33, 9))
		time.Sleep(time.Second)
		f.applyState(cutOff.AwaitDiff(f.known(nil), members), feed)
		require.EqualValues(t, 9, f.Config().Version)
		f.applyState(earlier, feed)
		require.EqualValues(t, 9, f.Config().Version)
		require.EqualValues(t, 2, f.View().Epoch)

		later := f.AwaitDiff(cutOff.known(nil), members)
		cutOff.applyState(later, feed)
		require.EqualValues(t, 9, cutOff.Config().Version)
		require.Equal(t, []string{"new", "ready"}, cutOff.servedBy())
		require.True(t, cutOff.DatacentreOut("z"), "the grace of this host begins when it learns of the restore")

		started.applyState(f.AwaitDiff(started.known(nil), members), feed)
		require.Equal(t, f.servedBy(), started.servedBy())
		started.applyState(earlier, feed)
		require.Equal(t, f.servedBy(), started.servedBy())
		time.Sleep(roster.OutageGrace)
		require.False(t, f.DatacentreOut("z"))
		synctest.Wait()
	})
}

// TestStoreWithoutEpochIsFollowedAsBefore checks that a store that states no epoch is ordered by revision alone.
func TestStoreWithoutEpochIsFollowedAsBefore(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		for i := range 5 {
			revision := uint64(10 * (i + 1))
			s.modify(func() { s.listing = listing(revision, target(fmt.Sprint("t", i), revision, false)) })
			s.putOperator(operatorState(t, revision, revision))
			time.Sleep(propagationLimit)
			require.Equal(t, []string{fmt.Sprint("t", i)}, f.servedBy())
			require.EqualValues(t, revision, f.Config().Version)
		}
		require.Zero(t, f.View().Epoch)
	})
}

// TestRestoreCausesNoStormOfCalls guards against hosts that all read the store anew after a restore: only those that read it for others do, and the others learn of the restore from them.
func TestRestoreCausesNoStormOfCalls(t *testing.T) {
	withCluster(t, false, func(c *cluster) {
		c.store.modify(func() { c.store.epoch = 1 })
		time.Sleep(5 * time.Second)
		var before route.OperatorState
		var listed roster.Listing
		c.store.modify(func() { before, listed = c.store.operator, c.store.listing })
		c.store.restore(before, listed)
		require.Less(t, c.callsDuring(3*time.Second), clusterHosts)
		for _, h := range c.hosts {
			require.EqualValues(t, 2, h.epochs.Current())
		}
	})
}

// TestEpochsWithEqualRevisionsAreTold guards against a host that keeps the targets of an earlier epoch of the store because those of the restored one have the same ids and revisions.
func TestEpochsWithEqualRevisionsAreTold(t *testing.T) {
	withFollower(t, func(source *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		members := func() []coord.Member { return nil }
		fed := New(timer.New(), s.client(), propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
		feed := Feed{SetMembers: func([]coord.Member) {}}
		require.NoError(t, fed.applyState(source.AwaitDiff(fed.known(nil), members), feed))
		o := source.operator.Load()
		require.True(t, source.epochs.Observe(2))
		drained := roster.Listing{
			Revision: source.View().Revision,
			Epoch:    2,
			Targets: []roster.Target{{
				ID:       "a",
				Service:  "s",
				Revision: 1,
				Draining: true,
			}},
		}
		source.applyTargets(drained, time.Now())
		require.True(t, source.applyOperator(route.OperatorState{
			Config:   o.Config,
			Out:      maps.Clone(o.Out),
			Revision: o.Revision,
			Epoch:    2,
		}))
		require.NoError(t, fed.applyState(source.AwaitDiff(fed.known(nil), members), feed))
		require.Empty(t, fed.View().Services["s"])
		require.Equal(t, epoch.Revision{Epoch: 2, Number: o.Revision}, fed.operator.Load().At())
	})
}

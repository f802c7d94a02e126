package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
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

const (
	propagationLimit = 3 * time.Second
	outageThreshold  = 2400 * time.Millisecond
)

// fakeStore is a store whose contents and faults a test sets.
type fakeStore struct {
	mu       sync.Mutex
	operator route.OperatorState
	listing  roster.Listing
	down     bool
	// operatorDown makes only the readings of the operator data fail.
	operatorDown bool
	// missChanges makes calls that wait miss all changes.
	missChanges bool
	// hangWatches leaves calls that wait without an answer until their context ends or the client's timeout has passed.
	hangWatches bool
	// missTargets makes calls that wait for targets miss all changes.
	missTargets bool
	// compactedTo is the revision before which the history is gone.
	compactedTo uint64
	// epoch rises with each restore of the store from an older copy.
	epoch uint64
	// calls counts the calls of all kinds.
	calls int
	// latency is how long each reading takes.
	latency time.Duration
	// staleListing is the answer to readings of the targets that needn't be exact; nil means the current listing.
	staleListing    *roster.Listing
	operatorChanged chan struct{}
	// targetRevisions holds the revision at which each target's entry last changed or was removed. notifiedListing is the listing that it was last computed from.
	targetRevisions map[string]uint64
	notifiedListing roster.Listing
	targetsChanged  chan struct{}
	// Closing cutWatches ends the calls that wait; cutAllWatches makes every call that would wait fail at once.
	cutWatches    chan struct{}
	cutAllWatches bool
}

var errDown = errors.New("store is down")

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{
		operatorChanged: make(chan struct{}),
		targetRevisions: map[string]uint64{},
		targetsChanged:  make(chan struct{}),
		cutWatches:      make(chan struct{}),
	}
	s.putConfig(t, 1)
	s.modify(func() {
		s.listing = roster.Listing{Revision: 1, Targets: []roster.Target{{ID: "a", Service: "s", Revision: 1}}}
	})
	return s
}

// putConfig writes a version of the configuration.
func (s *fakeStore) putConfig(t *testing.T, version uint64) {
	c, err := route.New(route.Config{Version: version})
	require.NoError(t, err)
	var revision uint64
	s.modify(func() { revision = s.operator.Revision + 1 })
	s.putOperator(route.OperatorState{Config: c, Out: map[string]bool{}, Revision: revision})
}

// putOperator replaces the operator data and wakes the calls that wait for them.
func (s *fakeStore) putOperator(o route.OperatorState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operator = o
	close(s.operatorChanged)
	s.operatorChanged = make(chan struct{})
}

// modify changes the store under its lock and wakes the calls that wait for targets.
func (s *fakeStore) modify(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.notifyTargets()
}

// notifyTargets records which targets have changed and wakes the calls that wait for them. The caller holds the lock.
func (s *fakeStore) notifyTargets() {
	old := map[string]roster.Target{}
	for _, t := range s.notifiedListing.Targets {
		old[t.ID] = t
	}
	for _, t := range s.listing.Targets {
		if was, known := old[t.ID]; !known || was != t {
			s.targetRevisions[t.ID] = s.listing.Revision
		}
		delete(old, t.ID)
	}
	for id := range old {
		s.targetRevisions[id] = s.listing.Revision
	}
	s.notifiedListing = s.listing
	close(s.targetsChanged)
	s.targetsChanged = make(chan struct{})
}

// awaitTargets waits for changes of targets and applies the faults that the test has set.
func (s *fakeStore) awaitTargets(ctx context.Context, after uint64, wait time.Duration) (roster.Update, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	end := time.After(wait)
	for {
		s.mu.Lock()
		u, changed, down, missChanges, compactedTo := s.changesAfter(after), s.targetsChanged, s.down, s.missChanges || s.missTargets, s.compactedTo
		cutWatches, cutAllWatches, hangWatches := s.cutWatches, s.cutAllWatches, s.hangWatches
		s.mu.Unlock()
		switch {
		case down, cutAllWatches:
			return u, errDown
		case after < compactedTo:
			return u, ErrCompacted
		case missChanges, hangWatches:
			u = roster.Update{Revision: after}
		case len(u.Changed)+len(u.Gone) > 0:
			return u, nil
		}
		select {
		case <-cutWatches:
			return u, s.resetCut()
		case <-changed:
		case <-end:
			if s.hangAfterWait(ctx) {
				return u, errDown
			}
			return u, ctx.Err()
		case <-ctx.Done():
			return u, ctx.Err()
		}
	}
}

// resetCut lets later calls wait again after a cut.
func (s *fakeStore) resetCut() error {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutWatches = make(chan struct{})
	return errDown
}

// hangAfterWait adds the time by which the client's timeout exceeds the wait if calls are to hang, and reports whether the call gets no answer.
func (s *fakeStore) hangAfterWait(ctx context.Context) bool {
	s.mu.Lock()
	hangWatches := s.hangWatches
	s.mu.Unlock()
	if !hangWatches {
		return false
	}
	select {
	case <-time.After(500 * time.Millisecond):
	case <-ctx.Done():
	}
	return true
}

// changesAfter returns the changes after a revision. The caller holds the lock.
func (s *fakeStore) changesAfter(after uint64) roster.Update {
	u := roster.Update{Revision: max(after, s.listing.Revision)}
	present := map[string]bool{}
	for _, t := range s.listing.Targets {
		present[t.ID] = true
		if s.targetRevisions[t.ID] > after {
			u.Changed = append(u.Changed, t)
		}
	}
	for id, at := range s.targetRevisions {
		if at > after && !present[id] {
			u.Gone = append(u.Gone, id)
		}
	}
	return u
}

// client returns the store as a follower reads it.
func (s *fakeStore) client() Store {
	return Store{
		Operator: func(context.Context) (route.OperatorState, error) {
			s.sleepLatency()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			if s.down || s.operatorDown {
				return route.OperatorState{}, errDown
			}
			o := s.operator
			o.Epoch = s.epoch
			return o, nil
		},
		AwaitOperator: func(ctx context.Context, after epoch.Revision, wait time.Duration) (epoch.Revision, bool, error) {
			revision, changed, err := s.awaitOperator(ctx, after.Number, wait)
			return s.at(revision), changed, s.compactedIfRestored(after, err)
		},
		AwaitTargets: func(ctx context.Context, after epoch.Revision, wait time.Duration) (roster.Update, error) {
			u, err := s.awaitTargets(ctx, after.Number, wait)
			u.Epoch = s.at(0).Epoch
			return u, s.compactedIfRestored(after, err)
		},
		Targets: func(_ context.Context, exact bool) (roster.Listing, error) {
			s.sleepLatency()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			if s.down {
				return roster.Listing{}, errDown
			}
			if !exact && s.staleListing != nil {
				return *s.staleListing, nil
			}
			p := s.listing
			p.Epoch = s.epoch
			return p, nil
		},
	}
}

// at returns a revision in the store's present epoch.
func (s *fakeStore) at(revision uint64) epoch.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return epoch.Revision{Epoch: s.epoch, Number: revision}
}

// compactedIfRestored returns err, or ErrCompacted if the store was restored since a revision.
func (s *fakeStore) compactedIfRestored(after epoch.Revision, err error) error {
	if err == nil && s.at(0).Epoch != after.Epoch {
		return ErrCompacted
	}
	return err
}

// sleepLatency waits for the latency of a reading.
func (s *fakeStore) sleepLatency() {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency)
}

// awaitOperator waits for a change of the operator data and applies the faults that the test has set.
func (s *fakeStore) awaitOperator(ctx context.Context, after uint64, wait time.Duration) (uint64, bool, error) {
	s.mu.Lock()
	s.calls++
	changed, missChanges := s.operatorChanged, s.missChanges
	revision, down, compactedTo := s.operator.Revision, s.down || s.operatorDown, s.compactedTo
	cutWatches, cutAllWatches := s.cutWatches, s.cutAllWatches
	s.mu.Unlock()
	switch {
	case down, cutAllWatches:
		return after, false, errDown
	case after < compactedTo:
		return after, false, ErrCompacted
	case revision > after && !missChanges:
		return revision, true, nil
	case missChanges:
		changed = nil
	}
	select {
	case <-cutWatches:
		return after, false, s.resetCut()
	case <-changed:
		return after + 1, true, nil
	case <-time.After(wait):
		hung := s.hangAfterWait(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down || hung {
			return after, false, errDown
		}
		if missChanges {
			return after, false, nil
		}
		if s.operator.Revision > after {
			// The change came in the moment in which the wait ended.
			return s.operator.Revision, true, nil
		}
		return max(after, s.listing.Revision), false, nil
	case <-ctx.Done():
		return after, false, ctx.Err()
	}
}

// withFollower runs f beside a follower of a store, in simulated time.
func withFollower(t *testing.T, f func(*Follower, *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(t)
		follower := New(timer.New(), s.client(), propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { follower.RunOperator(ctx) })
		loops.Go(func() { follower.RunTargets(ctx) })
		defer loops.Wait()
		defer cancel()
		f(follower, s)
	})
}

// withTargetsOnly runs f beside a follower that runs only the loop of the targets; prepare sets up the store first.
func withTargetsOnly(t *testing.T, prepare func(*fakeStore), f func(*Follower)) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(t)
		store.modify(func() { prepare(store) })
		follower := New(timer.New(), store.client(), propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		loops.Go(func() { follower.RunTargets(ctx) })
		f(follower)
	})
}

func TestOnlyNewerConfigurationIsApplied(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Millisecond)
		require.True(t, f.Ready())
		s.putConfig(t, 4)
		time.Sleep(time.Millisecond)
		require.EqualValues(t, 4, f.Config().Version)
		s.putConfig(t, 3)
		time.Sleep(time.Second)
		require.EqualValues(t, 4, f.Config().Version, "a version never goes back")
	})
}

// TestAwaitReadyAtStart checks that requests wait for the first configuration and targets while the store may deliver them soon, and no longer than that.
func TestAwaitReadyAtStart(t *testing.T) {
	for _, tt := range []struct {
		name           string
		latency, waits time.Duration
		ready          bool
	}{
		{name: "healthy store", latency: 60 * time.Millisecond, waits: 60 * time.Millisecond, ready: true},
		{name: "slow store", latency: 2 * time.Second, waits: startupWait},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore(t)
				s.latency = tt.latency
				f := New(timer.New(), s.client(), propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
				ctx, cancel := context.WithCancel(context.Background())
				var loops sync.WaitGroup
				defer loops.Wait()
				defer cancel()
				loops.Go(func() { f.RunOperator(ctx) })
				loops.Go(func() { f.RunTargets(ctx) })
				began := time.Now()
				f.AwaitReady(ctx)
				require.Equal(t, tt.waits, time.Since(began))
				require.Equal(t, tt.ready, f.Ready())
				f.AwaitReady(ctx)
				require.Equal(t, tt.waits, time.Since(began), "a later request is not held up")
			})
		})
	}
}

// TestTargetsRegisteringAfterStartAreFoundSoon checks that targets are known soon after they register again. Their entries had expired because all hosts lost power during an outage of the store.
func TestTargetsRegisteringAfterStartAreFoundSoon(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		c, err := route.New(route.Config{Version: 2, Routes: []route.Route{{
			Prefix:  "/",
			Timeout: time.Second,
			Shares:  []route.WeightedService{{Service: "s", Weight: 1}},
		}}})
		require.NoError(t, err)
		listing := s.listing
		s.modify(func() { s.listing = roster.Listing{Revision: 2} })
		s.putOperator(route.OperatorState{Config: c, Revision: 2})
		time.Sleep(1100 * time.Millisecond)
		require.Empty(t, f.View().Services["s"])
		listing.Revision = 3
		s.modify(func() { s.listing = listing })
		time.Sleep(251 * time.Millisecond)
		require.Len(t, f.View().Services["s"], 1)
		var callsBefore, callsAfter int
		s.modify(func() { callsBefore = s.calls })
		time.Sleep(4 * time.Second)
		s.modify(func() { callsAfter = s.calls })
		require.LessOrEqual(t, callsAfter-callsBefore, 8, "readings are rare again")
	})
}

// TestConfigurationChangeMissedByWatchIsApplied checks that a change that the watch misses, and whose history is then compacted, is in force in time all the same.
func TestConfigurationChangeMissedByWatchIsApplied(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		s.modify(func() { s.missChanges = true })
		time.Sleep(propagationLimit)
		s.putConfig(t, 9)
		s.modify(func() { s.compactedTo = s.operator.Revision })
		time.Sleep(propagationLimit)
		require.EqualValues(t, 9, f.Config().Version)
	})
}

func TestTargetsKeptAcrossStoreOutage(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		s.modify(func() { s.down = true })
		time.Sleep(10 * time.Second)
		require.Len(t, f.View().Services["s"], 1)
		require.NotNil(t, f.Config())
		// The entry has expired meanwhile and is written again a second after the store is back.
		listing := s.listing
		s.modify(func() { s.down, s.listing = false, roster.Listing{Revision: 2} })
		time.Sleep(time.Second + time.Millisecond)
		require.Len(t, f.View().Services["s"], 1)
		listing.Revision = 3
		s.modify(func() { s.listing = listing })
		time.Sleep(3 * time.Second)
		require.Len(t, f.View().Services["s"], 1)
		s.modify(func() { s.listing = roster.Listing{Revision: 4} })
		time.Sleep(time.Second + time.Millisecond)
		require.Empty(t, f.View().Services["s"])
	})
}

func TestUnreadableConfigurationKeepsThePrevious(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		s.modify(func() { s.operator = route.OperatorState{Unreadable: "broken", Revision: 7} })
		time.Sleep(propagationLimit)
		require.EqualValues(t, 1, f.Config().Version)
	})
}

// TestTargetsOfNewShardsAreFoundDespiteStaleReads has a configuration name services whose targets a stale reading doesn't show yet.
func TestTargetsOfNewShardsAreFoundDespiteStaleReads(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(1500 * time.Millisecond)
		c, err := route.New(route.Config{Version: 2, Routes: []route.Route{{
			Prefix:  "/",
			Timeout: time.Second,
			Top:     1,
			Shards:  []string{"new"},
		}}})
		require.NoError(t, err)
		old := s.listing
		s.modify(func() {
			s.staleListing = &old
			s.listing = roster.Listing{Revision: 8, Targets: []roster.Target{{ID: "n", Service: "new", Revision: 8}}}
		})
		s.putOperator(route.OperatorState{Config: c, Revision: 9})
		time.Sleep(time.Millisecond)
		require.EqualValues(t, 2, f.Config().Version)
		require.Len(t, f.View().Services["new"], 1)
	})
}

// TestStaleReadBehindOperatorRevisionIsRepeated checks that a stale reading of the targets is followed by an exact one if it is known to be older than the operator data.
func TestStaleReadBehindOperatorRevisionIsRepeated(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		old := s.listing
		s.modify(func() {
			s.staleListing = &old
			s.listing = roster.Listing{Revision: 9}
		})
		s.putConfig(t, 7)
		s.modify(func() { s.operator.Revision = 9 })
		s.putConfig(t, 8)
		time.Sleep(3500 * time.Millisecond)
		require.Empty(t, f.View().Entries)
	})
}

// TestLeavingTargetIsNoticedDespiteStaleReads guards against requests to a target whose leaving doesn't show in stale readings: it has to be known within the 3 s after which the target gets no more work.
func TestLeavingTargetIsNoticedDespiteStaleReads(t *testing.T) {
	draining := []roster.Target{{ID: "a", Service: "s", Revision: 9, Draining: true}}
	for _, tt := range []struct {
		name        string
		remaining   []roster.Target
		missTargets bool
	}{
		{name: "draining", remaining: draining},
		{name: "gone"},
		{name: "draining, missed by the watch", remaining: draining, missTargets: true},
		{name: "gone, missed by the watch", missTargets: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			// The change hits the calls that wait at a different point each time.
			for after := time.Second; after < 3*time.Second; after += 100 * time.Millisecond {
				withFollower(t, func(f *Follower, s *fakeStore) {
					time.Sleep(after)
					require.Len(t, f.View().Services["s"], 1)
					old := s.listing
					s.modify(func() {
						s.staleListing = &old
						s.missTargets = tt.missTargets
						s.listing = roster.Listing{Revision: 9, Targets: tt.remaining}
					})
					time.Sleep(3 * time.Second)
					require.Empty(t, f.View().Services["s"], "change after %s", after)
				})
			}
		})
	}
}

// TestChangesSinceStaleFirstReadAreApplied guards against a host that takes a stale first reading for the present: the changes since have to be known at once.
func TestChangesSinceStaleFirstReadAreApplied(t *testing.T) {
	withTargetsOnly(t, func(s *fakeStore) {
		old := s.listing
		s.staleListing = &old
		s.listing = roster.Listing{Revision: 9, Targets: []roster.Target{{ID: "b", Service: "s", Revision: 9}}}
	}, func(f *Follower) {
		time.Sleep(time.Millisecond)
		require.Len(t, f.View().Services["s"], 1)
		require.NotNil(t, f.View().Entries["b"])
	})
}

// TestCompactedHistoryAtStartForcesExactRead guards against a stale first reading whose revision the history no longer reaches: the targets have to be read exactly.
func TestCompactedHistoryAtStartForcesExactRead(t *testing.T) {
	withTargetsOnly(t, func(s *fakeStore) {
		old := s.listing
		s.staleListing = &old
		s.listing = roster.Listing{Revision: 9}
		s.compactedTo = 9
	}, func(f *Follower) {
		time.Sleep(time.Second)
		require.Empty(t, f.View().Entries)
	})
}

// TestManyTargetChangesShareStoreCalls guards against one call to the store for each of many changes in quick succession, as cold targets make them; the store counts its calls.
func TestManyTargetChangesShareStoreCalls(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		var callsBefore, callsAfter int
		s.modify(func() { callsBefore = s.calls })
		for i := range 500 {
			s.modify(func() {
				s.listing.Revision++
				s.listing.Targets = append([]roster.Target{}, s.listing.Targets...)
				s.listing.Targets[0].Revision, s.listing.Targets[0].Draining = s.listing.Revision, i%2 == 0
			})
			time.Sleep(10 * time.Millisecond)
		}
		s.modify(func() { callsAfter = s.calls })
		require.LessOrEqual(t, callsAfter-callsBefore, 15, "calls in 5 s, including those for the operator data")
		time.Sleep(maxTargetsPause)
		require.Equal(t, s.listing.Revision, f.View().Revision)
	})
}

// TestTargetsThatExpireDuringOutageAreKept guards against dropping targets whose entries expired while no call was answered. Whichever call is answered first, the targets are kept until they should have registered again.
func TestTargetsThatExpireDuringOutageAreKept(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		listing := s.listing
		s.modify(func() { s.down, s.operatorDown = true, true })
		time.Sleep(4 * time.Second)
		s.modify(func() { s.down, s.listing = false, roster.Listing{Revision: 2} })
		time.Sleep(retryPeriod)
		require.Len(t, f.View().Services["s"], 1)
		s.modify(func() { s.operatorDown = false })
		time.Sleep(2*time.Second - retryPeriod)
		require.Len(t, f.View().Services["s"], 1)
		listing.Revision = 3
		s.modify(func() { s.listing = listing })
		time.Sleep(4 * time.Second)
		require.Len(t, f.View().Services["s"], 1)
		require.True(t, f.View().Entries["a"].MissingSince.IsZero())
	})
}

// TestRemovedTargetIsDroppedWhileWatchesHang guards against keeping a target for 2.5 s after it is gone, because watches got no answer. The store answers other calls meanwhile, as it does when it compacts its history.
func TestRemovedTargetIsDroppedWhileWatchesHang(t *testing.T) {
	for after := time.Duration(0); after < 2*time.Second; after += 200 * time.Millisecond {
		withFollower(t, func(f *Follower, s *fakeStore) {
			time.Sleep(4*time.Second + after)
			s.modify(func() {
				s.hangWatches = true
				s.listing = roster.Listing{Revision: 2}
			})
			for range 6 {
				time.Sleep(500 * time.Millisecond)
				f.NoteAnswer()
			}
			require.Empty(t, f.View().Entries, "after %s", after)
		})
	}
}

// TestInterruptedWatchIsNotAnOutage guards against a target that is gone and gets work for another 2.5 s, because an interrupted watch counted as an outage in which entries expire.
func TestInterruptedWatchIsNotAnOutage(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(4 * time.Second)
		s.modify(func() { close(s.cutWatches) })
		time.Sleep(retryPeriod + 10*time.Millisecond)
		require.False(t, f.StoreUnreachable())
		s.modify(func() { s.listing = roster.Listing{Revision: 2} })
		time.Sleep(10 * time.Millisecond)
		require.Empty(t, f.View().Entries)
	})
}

// TestInterruptedWatchesAreRetriedWithPauses guards against a new watch right after each interrupted one while the store answers only readings.
func TestInterruptedWatchesAreRetriedWithPauses(t *testing.T) {
	withFollower(t, func(_ *Follower, s *fakeStore) {
		time.Sleep(4 * time.Second)
		s.modify(func() { close(s.cutWatches) })
		s.modify(func() { s.cutAllWatches = true })
		var callsBefore, callsAfter int
		s.modify(func() { callsBefore = s.calls })
		time.Sleep(10 * time.Second)
		s.modify(func() { callsAfter = s.calls })
		require.LessOrEqual(t, callsAfter-callsBefore, 2*2*25+4, "two loops, each with one reading and one call that waits per retryPeriod")
	})
}

// TestRemovedTargetIsDroppedWhileOperatorReadsFail guards against never dropping a target that is gone, because each answer counted as the first after an outage.
func TestRemovedTargetIsDroppedWhileOperatorReadsFail(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		s.modify(func() { s.operatorDown = true })
		time.Sleep(10 * time.Second)
		s.modify(func() { s.listing = roster.Listing{Revision: 2} })
		time.Sleep(roster.OutageGrace)
		require.Empty(t, f.View().Entries)
	})
}

// TestUnregisteredTargetsAreDroppedAfterOutageGrace checks that targets that don't register again are dropped when the grace after the outage is over, without any further change in the store.
func TestUnregisteredTargetsAreDroppedAfterOutageGrace(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		s.modify(func() { s.down = true })
		time.Sleep(20 * time.Second)
		s.modify(func() { s.down, s.listing = false, roster.Listing{Revision: 2} })
		time.Sleep(time.Second)
		require.Len(t, f.View().Services["s"], 1)
		time.Sleep(roster.OutageGrace)
		require.Empty(t, f.View().Entries)
	})
}

// fedHost is a follower that reads the views of a source and has a store of its own to fall back to.
type fedHost struct {
	*Follower
	ownStore    *fakeStore
	sourceUp    atomic.Bool
	sourceReads atomic.Int64
	members     []coord.Member
	// sourceAlone makes the source know no hosts.
	sourceAlone atomic.Bool
	// alter changes the answers of the source; nil leaves them as they are.
	alter atomic.Pointer[func(State) State]
	// spins counts the reads that followed maxReadsAtOnce others without any time between them.
	spins atomic.Int64
}

// maxReadsAtOnce is the number of reads of a source at one moment of simulated time from which the next one is delayed.
const maxReadsAtOnce = 20

// spinGuard delays reads of one host that follow each other without any time between them. Without it, simulated time would stand still for a host that asks again without pause.
type spinGuard struct {
	mu    sync.Mutex
	at    time.Time
	reads int
}

// delay counts a read and reports whether it had to be delayed.
func (g *spinGuard) delay() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads++
	if now := time.Now(); now.After(g.at) {
		g.at, g.reads = now, 0
	}
	if g.reads <= maxReadsAtOnce {
		return false
	}
	time.Sleep(100 * time.Millisecond)
	return true
}

// withFedHost runs f beside a source and a host that reads its views.
func withFedHost(t *testing.T, f func(fed *fedHost, source *Follower, s *fakeStore)) {
	withFollower(t, func(source *Follower, s *fakeStore) {
		time.Sleep(time.Millisecond)
		own := newFakeStore(t)
		fed := &fedHost{
			Follower: New(timer.New(), own.client(), propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope),
			ownStore: own,
			members:  []coord.Member{{Name: "source"}},
		}
		fed.sourceUp.Store(true)
		var guard spinGuard
		members := func() []coord.Member { return fed.members }
		feed := Feed{
			Sources: members,
			Read: func(_ context.Context, _ coord.Member, k Known) (State, error) {
				if !fed.sourceUp.Load() {
					return State{}, errDown
				}
				fed.sourceReads.Add(1)
				if guard.delay() {
					fed.spins.Add(1)
				}
				answer := source.AwaitDiff(k, func() []coord.Member {
					if fed.sourceAlone.Load() {
						return []coord.Member{}
					}
					return fed.members
				})
				if alter := fed.alter.Load(); alter != nil {
					answer = (*alter)(answer)
				}
				return answer, nil
			},
			Members:    members,
			SetMembers: func(all []coord.Member) { fed.members = all },
		}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		loops.Go(func() { fed.RunFeed(ctx, feed) })
		time.Sleep(time.Millisecond)
		loops.Go(func() { fed.RunOperator(ctx) })
		loops.Go(func() { fed.RunTargets(ctx) })
		f(fed, source, s)
	})
}

// configWithShards returns a configuration with one route over the given shards.
func configWithShards(t *testing.T, version uint64, shards ...string) *route.Config {
	c, err := route.New(route.Config{Version: version, Routes: []route.Route{{
		Prefix:  "/",
		Timeout: time.Second,
		Top:     1,
		Shards:  shards,
	}}})
	require.NoError(t, err)
	return c
}

// TestConfigurationIsHeldUntilItsTargetsAreKnown guards against refusals because a version that names new shards comes into force before their targets have registered, while the targets of the previous version still serve.
func TestConfigurationIsHeldUntilItsTargetsAreKnown(t *testing.T) {
	for _, tt := range []struct {
		name string
		// registers is when the new shard's target registers, zero for never; inForce is when the new version has to come into force.
		registers, inForce time.Duration
		old                []string
	}{
		{name: "targets register in time", registers: 600 * time.Millisecond, inForce: 600 * time.Millisecond, old: []string{"s"}},
		{name: "targets don't register", inForce: 900 * time.Millisecond, old: []string{"s"}},
		{name: "the previous version has no targets either", old: []string{"other"}},
		{name: "the previous version has no larger share of services with targets", old: []string{"s", "other"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withFollower(t, func(f *Follower, s *fakeStore) {
				time.Sleep(time.Second)
				s.putOperator(route.OperatorState{Config: configWithShards(t, 2, tt.old...), Revision: 2})
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 2, f.Config().Version)
				next := []string{"new"}
				if len(tt.old) > 1 {
					next = append(next, "s")
				}
				began := time.Now()
				s.putOperator(route.OperatorState{Config: configWithShards(t, 3, next...), Out: map[string]bool{"d": true}, Revision: 3})
				if tt.registers > 0 {
					go func() {
						time.Sleep(tt.registers)
						s.modify(func() {
							s.listing.Revision = 4
							s.listing.Targets = append(s.listing.Targets[:1:1], roster.Target{ID: "n", Service: "new", Revision: 4})
						})
					}()
				}
				time.Sleep(time.Millisecond)
				require.True(t, f.DatacentreOut("d"), "a data centre goes out of service at once, even while the configuration is held back")
				for f.Config().Version < 3 {
					time.Sleep(time.Millisecond)
				}
				require.InDelta(t, tt.inForce.Seconds(), time.Since(began).Seconds(), 0.005)
			})
		})
	}
}

// TestHoldEndsDespiteNewVersions checks that versions in quick succession are not held back for longer than the first of them.
func TestHoldEndsDespiteNewVersions(t *testing.T) {
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		s.putOperator(route.OperatorState{Config: configWithShards(t, 2, "s"), Revision: 2})
		time.Sleep(time.Second)
		for version := uint64(3); version < 13; version++ {
			s.putOperator(route.OperatorState{Config: configWithShards(t, version, "new"), Revision: version})
			time.Sleep(200 * time.Millisecond)
			if version > 8 {
				require.Equal(t, version, f.Config().Version)
			}
		}
	})
}

// TestFedHostFollowsSourceAndFallsBack checks that a host uses the views of a source, and reads the store once the source fails.
func TestFedHostFollowsSourceAndFallsBack(t *testing.T) {
	withFedHost(t, func(fed *fedHost, _ *Follower, s *fakeStore) {
		time.Sleep(5 * time.Second)
		require.Zero(t, fed.ownStore.calls)
		require.LessOrEqual(t, fed.sourceReads.Load(), int64(7), "the source delays its answer while nothing changes")
		s.putConfig(t, 6)
		time.Sleep(10 * time.Millisecond)
		require.EqualValues(t, 6, fed.Config().Version)
		s.modify(func() { s.listing = roster.Listing{Revision: 2} })
		time.Sleep(1010 * time.Millisecond)
		require.Empty(t, fed.View().Entries)
		fed.ownStore.putConfig(t, 8)
		fed.sourceUp.Store(false)
		time.Sleep(longPollWait + longPollGrace + retryPeriod)
		require.EqualValues(t, 8, fed.Config().Version)
	})
}

// TestFedHostReadsStoreWhenSourceLosesIt guards against an age of the views that leaves out the delay of the answer: the reading host has to turn to the store within the propagation limit for leaving targets.
func TestFedHostReadsStoreWhenSourceLosesIt(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			withFedHost(t, func(fed *fedHost, source *Follower, s *fakeStore) {
				time.Sleep(3*time.Second + after)
				outageStart := time.Now()
				s.modify(func() { s.down, s.hangWatches = true, true })
				fed.ownStore.modify(func() { fed.ownStore.listing = roster.Listing{Revision: 2} })
				time.Sleep(3 * time.Second)
				require.Empty(t, fed.View().Entries)
				asked := time.Now()
				state := source.AwaitDiff(source.known(fed.members), func() []coord.Member { return fed.members })
				require.GreaterOrEqual(t, state.TargetsAge, time.Since(outageStart))
				require.Less(t, time.Since(asked), longPollWait, "an answer that is too old to be used is not delayed")
			})
		})
	}
}

// TestAgeIncludesLongPollWait guards against an age that is measured at the time of the read instead of the time of its answer.
func TestAgeIncludesLongPollWait(t *testing.T) {
	withFollower(t, func(source *Follower, s *fakeStore) {
		time.Sleep(3 * time.Second)
		members := func() []coord.Member { return nil }
		operator, targets := source.Ages()
		s.modify(func() { s.down, s.hangWatches = true, true })
		asked := time.Now()
		state := source.AwaitDiff(source.known(nil), members)
		waited := time.Since(asked)
		require.Positive(t, waited)
		require.Equal(t, operator+waited, state.OperatorAge)
		require.Equal(t, targets+waited, state.TargetsAge)
	})
}

// TestSourceReportsAgeDuringOutage checks that a host that has lost the store reports an age above maxFreshAge, so that no host uses its views instead of the store.
func TestSourceReportsAgeDuringOutage(t *testing.T) {
	withFollower(t, func(source *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		s.modify(func() { s.down = true })
		time.Sleep(10 * time.Second)
		state := source.AwaitDiff(Known{}, func() []coord.Member { return nil })
		require.Greater(t, state.OperatorAge, source.maxFreshAge())
		require.Greater(t, state.TargetsAge, source.maxFreshAge())
	})
}

// withFallback runs f with a follower whose store is down at its start. It can read from a host that follows another store, and from one that never answers.
func withFallback(t *testing.T, f func(own *Follower, ownStore, otherStore *fakeStore)) {
	withFollower(t, func(other *Follower, otherStore *fakeStore) {
		time.Sleep(time.Second)
		ownStore := newFakeStore(t)
		ownStore.down = true
		own := New(timer.New(), ownStore.client(), propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
		ctx, cancel := context.WithCancel(context.Background())
		members := []coord.Member{}
		feed := Feed{
			Fallbacks: func() []coord.Member { return []coord.Member{{Name: "dead"}} },
			Read: func(ctx context.Context, from coord.Member, k Known) (State, error) {
				if from.Name == "dead" {
					<-ctx.Done()
					return State{}, ctx.Err()
				}
				return other.AwaitDiff(k, func() []coord.Member { return members }), nil
			},
			Members:    func() []coord.Member { return members },
			SetMembers: func([]coord.Member) {},
		}
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		loops.Go(func() { own.RunOperator(ctx) })
		loops.Go(func() { own.RunTargets(ctx) })
		loops.Go(func() { own.RunFallbacks(ctx, feed) })
		loops.Go(func() {
			for ctx.Err() == nil {
				var ready bool
				if err := NewService(own, nil, nil, nil).Greet(coord.Member{Name: "other"}, &ready); err != nil {
					t.Error(err)
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
		f(own, ownStore, otherStore)
	})
}

// TestStartDuringStoreOutageUsesPeerViews checks that a host takes the views of another host at once, and those of the store when that is back.
func TestStartDuringStoreOutageUsesPeerViews(t *testing.T) {
	withFallback(t, func(own *Follower, ownStore, _ *fakeStore) {
		own.AwaitReady(context.Background())
		require.True(t, own.Ready())
		require.EqualValues(t, 1, own.Config().Version)
		require.Len(t, own.View().Services["s"], 1)
		ownStore.modify(func() { ownStore.operator.Revision = 4 })
		ownStore.putConfig(t, 6)
		ownStore.modify(func() { ownStore.down = false })
		time.Sleep(2 * retryPeriod)
		require.EqualValues(t, 6, own.Config().Version)
	})
}

// TestChangesComeFromPeersDuringStoreOutage checks that changes come from other hosts within a few seconds.
func TestChangesComeFromPeersDuringStoreOutage(t *testing.T) {
	withFallback(t, func(own *Follower, _, otherStore *fakeStore) {
		time.Sleep(3 * time.Second)
		otherStore.putConfig(t, 8)
		otherStore.modify(func() { otherStore.listing = roster.Listing{Revision: 5} })
		time.Sleep(2 * (longPollWait + longPollGrace + retryPeriod))
		require.EqualValues(t, 8, own.Config().Version)
		require.Empty(t, own.View().Services["s"])
	})
}

// TestFeedSendsChangesOnly checks that a change of one target among many is sent as its entry alone, and that all targets are sent if the source no longer has the view that the reading host knows.
func TestFeedSendsChangesOnly(t *testing.T) {
	withFollower(t, func(source *Follower, s *fakeStore) {
		listing := roster.Listing{Revision: 2}
		for i := range 300 {
			listing.Targets = append(listing.Targets, roster.Target{ID: fmt.Sprint("t", i), Service: "s", Revision: 2})
		}
		s.modify(func() { s.listing = listing })
		time.Sleep(1100 * time.Millisecond)
		fed := New(timer.New(), s.client(), propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
		members := func() []coord.Member { return nil }
		feed := Feed{SetMembers: func([]coord.Member) {}}
		all := source.AwaitDiff(fed.known(nil), members)
		require.NotEmpty(t, all.Targets)
		fed.applyState(all, feed)
		require.Equal(t, source.View().Hash, fed.View().Hash)
		listing.Targets = append([]roster.Target{}, listing.Targets...)
		listing.Targets[7].Draining, listing.Targets[7].Revision, listing.Revision = true, 3, 3
		s.modify(func() { s.listing = listing })
		time.Sleep(1100 * time.Millisecond)
		changes := source.AwaitDiff(fed.known(nil), members)
		require.Empty(t, changes.Targets)
		require.Len(t, changes.Changes.Changed, 1)
		fed.applyState(changes, feed)
		require.Equal(t, source.View().Hash, fed.View().Hash)
		require.Len(t, fed.View().Services["s"], 299)
		unknown := fed.known(nil)
		unknown.Targets++
		require.NotEmpty(t, source.AwaitDiff(unknown, members).Targets)
	})
}

// TestFedHostLearnsRateLimits guards against hosts that send to a target at its limit because they had no response of it yet: they learn the limit from the host whose views they read. Limits that both know aren't sent again.
func TestFedHostLearnsRateLimits(t *testing.T) {
	withFollower(t, func(source *Follower, _ *fakeStore) {
		limit := roster.RateLimit{ID: "t", Limited: true, PerSecond: 3, Age: time.Second}
		var learned []roster.RateLimit
		feed := Feed{
			Members:       func() []coord.Member { return nil },
			SetMembers:    func([]coord.Member) {},
			RateLimits:    func() []roster.RateLimit { return learned },
			AddRateLimits: func(all []roster.RateLimit) { learned = all },
		}
		service := NewService(source, func() []coord.Member { return nil }, func() []roster.Leaver { return nil }, func() []roster.RateLimit { return []roster.RateLimit{limit} })
		fed := New(timer.New(), Store{}, propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
		for _, wanted := range []int{1, 0} {
			var s State
			require.NoError(t, service.Read(fed.knownWithNotices(feed), &s))
			require.Len(t, s.RateLimits, wanted)
			fed.applyState(s, feed)
			require.Equal(t, []roster.RateLimit{limit}, learned)
		}
		limit.PerSecond = 2
		var s State
		require.NoError(t, service.Read(fed.knownWithNotices(feed), &s))
		require.Len(t, s.RateLimits, 1, "the limit has changed")
	})
}

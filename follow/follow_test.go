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
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

const (
	apply = 3 * time.Second
	lapse = 2400 * time.Millisecond
)

// shelf is a store that a test fills; its watches hear of a change unless they are deaf.
type shelf struct {
	mu       sync.Mutex
	operator route.Operator
	page     roster.Page
	down     bool
	// operatorDown says that only readings of the operator's part fail.
	operatorDown bool
	deaf         bool
	// hangs says that calls that wait get no answer until their context ends.
	hangs bool
	// mute says that calls that wait for targets hear of no change.
	mute      bool
	compacted uint64
	reads     int
	// slow is the time that each reading takes.
	slow time.Duration
	// lagging is what readings of the targets return that needn't be exact, nil for the page itself.
	lagging *roster.Page
	changed chan struct{}
	// touched holds the revision at which a target's entry last changed or went, from noted to noted page.
	touched map[string]uint64
	noted   roster.Page
	moved   chan struct{}
	// cut ends calls that wait when it is closed, cuts ends each at once.
	cut  chan struct{}
	cuts bool
}

var errDown = errors.New("store is down")

func newShelf(t *testing.T) *shelf {
	s := &shelf{
		changed: make(chan struct{}),
		touched: map[string]uint64{},
		moved:   make(chan struct{}),
		cut:     make(chan struct{}),
	}
	s.put(t, 1)
	s.set(func() {
		s.page = roster.Page{Revision: 1, Targets: []roster.Target{{ID: "a", Service: "s", Revision: 1}}}
	})
	return s
}

// put writes a version of the configuration.
func (s *shelf) put(t *testing.T, version uint64) {
	c, err := route.New(route.Config{Version: version})
	require.NoError(t, err)
	var revision uint64
	s.set(func() { revision = s.operator.Revision + 1 })
	s.change(route.Operator{Config: c, Out: map[string]bool{}, Revision: revision})
}

// change replaces the operator's part, of which watches hear.
func (s *shelf) change(o route.Operator) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operator = o
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *shelf) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.note()
}

// note tells those who wait what has changed of the targets; the lock is held.
func (s *shelf) note() {
	old := map[string]roster.Target{}
	for _, t := range s.noted.Targets {
		old[t.ID] = t
	}
	for _, t := range s.page.Targets {
		if was, known := old[t.ID]; !known || was != t {
			s.touched[t.ID] = s.page.Revision
		}
		delete(old, t.ID)
	}
	for id := range old {
		s.touched[id] = s.page.Revision
	}
	s.noted = s.page
	close(s.moved)
	s.moved = make(chan struct{})
}

// awaitTargets waits for changes of targets; a deaf one hears of none.
func (s *shelf) awaitTargets(ctx context.Context, after uint64, wait time.Duration) (roster.Update, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	end := time.After(wait)
	for {
		s.mu.Lock()
		u, moved, down, deaf, compacted := s.update(after), s.moved, s.down, s.deaf || s.mute, s.compacted
		cut, cuts, hangs := s.cut, s.cuts, s.hangs
		s.mu.Unlock()
		switch {
		case down, cuts:
			return u, errDown
		case after < compacted:
			return u, ErrCompacted
		case deaf, hangs:
			u = roster.Update{Revision: after}
		case len(u.Changed)+len(u.Gone) > 0:
			return u, nil
		}
		select {
		case <-cut:
			return u, s.mend()
		case <-moved:
		case <-end:
			if s.hang(ctx) {
				return u, errDown
			}
			return u, ctx.Err()
		case <-ctx.Done():
			return u, ctx.Err()
		}
	}
}

// mend lets later calls wait again after a cut.
func (s *shelf) mend() error {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = make(chan struct{})
	return errDown
}

// hang keeps a call that waits for the time that the store's client adds to the wait, and reports whether it gets no answer.
func (s *shelf) hang(ctx context.Context) bool {
	s.mu.Lock()
	hangs := s.hangs
	s.mu.Unlock()
	if !hangs {
		return false
	}
	select {
	case <-time.After(500 * time.Millisecond):
	case <-ctx.Done():
	}
	return true
}

// update returns the changes after a revision; the lock is held.
func (s *shelf) update(after uint64) roster.Update {
	u := roster.Update{Revision: max(after, s.page.Revision)}
	present := map[string]bool{}
	for _, t := range s.page.Targets {
		present[t.ID] = true
		if s.touched[t.ID] > after {
			u.Changed = append(u.Changed, t)
		}
	}
	for id, at := range s.touched {
		if at > after && !present[id] {
			u.Gone = append(u.Gone, id)
		}
	}
	return u
}

func (s *shelf) store() Store {
	return Store{
		Operator: func(context.Context) (route.Operator, error) {
			s.answer()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			if s.down || s.operatorDown {
				return route.Operator{}, errDown
			}
			return s.operator, nil
		},
		AwaitOperator: s.await,
		AwaitTargets:  s.awaitTargets,
		Targets: func(_ context.Context, exact bool) (roster.Page, error) {
			s.answer()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			if s.down {
				return roster.Page{}, errDown
			}
			if !exact && s.lagging != nil {
				return *s.lagging, nil
			}
			return s.page, nil
		},
	}
}

// answer takes the time of a reading.
func (s *shelf) answer() {
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()
	time.Sleep(slow)
}

func (s *shelf) await(ctx context.Context, after uint64, wait time.Duration) (uint64, bool, error) {
	s.mu.Lock()
	s.reads++
	changed, deaf := s.changed, s.deaf
	revision, down, compacted := s.operator.Revision, s.down || s.operatorDown, s.compacted
	cut, cuts := s.cut, s.cuts
	s.mu.Unlock()
	switch {
	case down, cuts:
		return after, false, errDown
	case after < compacted:
		return after, false, ErrCompacted
	case revision > after && !deaf:
		return revision, true, nil
	case deaf:
		changed = nil
	}
	select {
	case <-cut:
		return after, false, s.mend()
	case <-changed:
		return after + 1, true, nil
	case <-time.After(wait):
		hung := s.hang(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down || hung {
			return after, false, errDown
		}
		if deaf {
			return after, false, nil
		}
		return max(after, s.page.Revision), false, nil
	case <-ctx.Done():
		return after, false, ctx.Err()
	}
}

// withFollower runs f beside a follower of a store within simulated time.
func withFollower(t *testing.T, f func(*Follower, *shelf)) {
	synctest.Test(t, func(t *testing.T) {
		s := newShelf(t)
		follower := New(timer.New(), s.store(), apply, lapse, zap.NewNop(), tally.NoopScope)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { follower.RunOperator(ctx) })
		loops.Go(func() { follower.RunTargets(ctx) })
		defer loops.Wait()
		defer cancel()
		f(follower, s)
	})
}

// withTargets runs f beside a follower of the targets of a store alone.
func withTargets(t *testing.T, s func(*shelf), f func(*Follower)) {
	synctest.Test(t, func(t *testing.T) {
		store := newShelf(t)
		store.set(func() { s(store) })
		follower := New(timer.New(), store.store(), apply, lapse, zap.NewNop(), tally.NoopScope)
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		loops.Go(func() { follower.RunTargets(ctx) })
		f(follower)
	})
}

func TestChangesComeIntoForce(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Millisecond)
		require.True(t, f.Ready())
		s.put(t, 4)
		time.Sleep(time.Millisecond)
		require.EqualValues(t, 4, f.Config().Version)
		s.put(t, 3)
		time.Sleep(time.Second)
		require.EqualValues(t, 4, f.Config().Version, "a version never goes back")
	})
}

// TestRequestsAtAStart wait for the first configuration and targets while these may come at once, and no longer.
func TestRequestsAtAStart(t *testing.T) {
	for _, one := range []struct {
		name        string
		slow, waits time.Duration
		ready       bool
	}{
		{name: "store is well", slow: 60 * time.Millisecond, waits: 60 * time.Millisecond, ready: true},
		{name: "store is slow", slow: 2 * time.Second, waits: startLimit},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newShelf(t)
				s.slow = one.slow
				f := New(timer.New(), s.store(), apply, lapse, zap.NewNop(), tally.NoopScope)
				ctx, cancel := context.WithCancel(context.Background())
				var loops sync.WaitGroup
				defer loops.Wait()
				defer cancel()
				loops.Go(func() { f.RunOperator(ctx) })
				loops.Go(func() { f.RunTargets(ctx) })
				began := time.Now()
				f.AwaitReady(ctx)
				require.Equal(t, one.waits, time.Since(began))
				require.Equal(t, one.ready, f.Ready())
				f.AwaitReady(ctx)
				require.Equal(t, one.waits, time.Since(began), "a later request is not held up")
			})
		})
	}
}

// TestTargetsThatComeBackAfterAStart are known soon: their entries had lapsed when all hosts lost power during an outage of the store.
func TestTargetsThatComeBackAfterAStart(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		c, err := route.New(route.Config{Version: 2, Routes: []route.Route{{
			Prefix:  "/",
			Timeout: time.Second,
			Shares:  []route.Share{{Service: "s", Weight: 1}},
		}}})
		require.NoError(t, err)
		page := s.page
		s.set(func() { s.page = roster.Page{Revision: 2} })
		s.change(route.Operator{Config: c, Revision: 2})
		time.Sleep(1100 * time.Millisecond)
		require.Empty(t, f.View().Services["s"])
		page.Revision = 3
		s.set(func() { s.page = page })
		time.Sleep(251 * time.Millisecond)
		require.Len(t, f.View().Services["s"], 1)
		var before, after int
		s.set(func() { before = s.reads })
		time.Sleep(4 * time.Second)
		s.set(func() { after = s.reads })
		require.LessOrEqual(t, after-before, 8, "readings are rare again")
	})
}

// TestDeafWatch misses a change whose history is dropped, and still has it in force in time.
func TestDeafWatch(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Second)
		s.set(func() { s.deaf = true })
		time.Sleep(apply)
		s.put(t, 9)
		s.set(func() { s.compacted = s.operator.Revision })
		time.Sleep(apply)
		require.EqualValues(t, 9, f.Config().Version)
	})
}

func TestOutageOfTheStore(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Second)
		s.set(func() { s.down = true })
		time.Sleep(10 * time.Second)
		require.Len(t, f.View().Services["s"], 1)
		require.NotNil(t, f.Config())
		// The entry has lapsed meanwhile and comes back only a second after the store.
		page := s.page
		s.set(func() { s.down, s.page = false, roster.Page{Revision: 2} })
		time.Sleep(time.Second + time.Millisecond)
		require.Len(t, f.View().Services["s"], 1)
		page.Revision = 3
		s.set(func() { s.page = page })
		time.Sleep(3 * time.Second)
		require.Len(t, f.View().Services["s"], 1)
		s.set(func() { s.page = roster.Page{Revision: 4} })
		time.Sleep(time.Second + time.Millisecond)
		require.Empty(t, f.View().Services["s"])
	})
}

func TestUnreadableConfigurationLeavesTheLastInForce(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Second)
		s.set(func() { s.operator = route.Operator{Unreadable: "broken", Revision: 7} })
		time.Sleep(apply)
		require.EqualValues(t, 1, f.Config().Version)
	})
}

// TestNewShardsWhileReadingsLag has a configuration name services whose targets a lagging reading doesn't show yet.
func TestNewShardsWhileReadingsLag(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(1500 * time.Millisecond)
		c, err := route.New(route.Config{Version: 2, Routes: []route.Route{{
			Prefix:  "/",
			Timeout: time.Second,
			Top:     1,
			Shards:  []string{"new"},
		}}})
		require.NoError(t, err)
		old := s.page
		s.set(func() {
			s.lagging = &old
			s.page = roster.Page{Revision: 8, Targets: []roster.Target{{ID: "n", Service: "new", Revision: 8}}}
		})
		s.change(route.Operator{Config: c, Revision: 9})
		time.Sleep(time.Millisecond)
		require.EqualValues(t, 2, f.Config().Version)
		require.Len(t, f.View().Services["new"], 1)
	})
}

// TestLaggingReadings are followed by an exact one where they are known to be older than the operator's part.
func TestLaggingReadings(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Second)
		old := s.page
		s.set(func() {
			s.lagging = &old
			s.page = roster.Page{Revision: 9}
		})
		s.put(t, 7)
		s.set(func() { s.operator.Revision = 9 })
		s.put(t, 8)
		time.Sleep(3500 * time.Millisecond)
		require.Empty(t, f.View().Entries)
	})
}

// TestTargetLeavesWhileReadingsLag guards against requests to a target whose leaving no lagging reading shows: it must be known within the 3 s after which the target gets no more work.
func TestTargetLeavesWhileReadingsLag(t *testing.T) {
	draining := []roster.Target{{ID: "a", Service: "s", Revision: 9, Draining: true}}
	for _, one := range []struct {
		name string
		left []roster.Target
		mute bool
	}{
		{name: "draining", left: draining},
		{name: "gone"},
		{name: "draining, and the call that waits for it hears nothing", left: draining, mute: true},
		{name: "gone, and the call that waits for it hears nothing", mute: true},
	} {
		t.Run(one.name, func(t *testing.T) {
			// The calls that wait are at another point each time.
			for after := time.Second; after < 3*time.Second; after += 100 * time.Millisecond {
				withFollower(t, func(f *Follower, s *shelf) {
					time.Sleep(after)
					require.Len(t, f.View().Services["s"], 1)
					old := s.page
					s.set(func() {
						s.lagging = &old
						s.mute = one.mute
						s.page = roster.Page{Revision: 9, Targets: one.left}
					})
					time.Sleep(3 * time.Second)
					require.Empty(t, f.View().Services["s"], "known for %s", after)
				})
			}
		})
	}
}

// TestStartWithALaggingReading guards against a host that takes an old reading for the present: what has changed since must be known at once.
func TestStartWithALaggingReading(t *testing.T) {
	withTargets(t, func(s *shelf) {
		old := s.page
		s.lagging = &old
		s.page = roster.Page{Revision: 9, Targets: []roster.Target{{ID: "b", Service: "s", Revision: 9}}}
	}, func(f *Follower) {
		time.Sleep(time.Millisecond)
		require.Len(t, f.View().Services["s"], 1)
		require.NotNil(t, f.View().Entries["b"])
	})
}

// TestHistoryGoneAtAStart guards against a lagging reading from which no changes lead on any more: the targets are read exactly.
func TestHistoryGoneAtAStart(t *testing.T) {
	withTargets(t, func(s *shelf) {
		old := s.page
		s.lagging = &old
		s.page = roster.Page{Revision: 9}
		s.compacted = 9
	}, func(f *Follower) {
		time.Sleep(time.Second)
		require.Empty(t, f.View().Entries)
	})
}

// TestManyChangesOfTargets guards against a call for each of many changes in quick succession, as cold targets make them, which the store counts.
func TestManyChangesOfTargets(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Second)
		var before, after int
		s.set(func() { before = s.reads })
		for i := range 500 {
			s.set(func() {
				s.page.Revision++
				s.page.Targets = append([]roster.Target{}, s.page.Targets...)
				s.page.Targets[0].Revision, s.page.Targets[0].Draining = s.page.Revision, i%2 == 0
			})
			time.Sleep(10 * time.Millisecond)
		}
		s.set(func() { after = s.reads })
		require.LessOrEqual(t, after-before, 15, "calls in 5 s, those for the operator included")
		time.Sleep(mostSettle)
		require.Equal(t, s.page.Revision, f.View().Revision)
	})
}

// TestEntriesThatLapseInASilentOutage guards against targets that are dropped because their entries lapsed while no call was answered: whichever call is answered first, they are kept until they can be back.
func TestEntriesThatLapseInASilentOutage(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Second)
		page := s.page
		s.set(func() { s.down, s.operatorDown = true, true })
		time.Sleep(4 * time.Second)
		s.set(func() { s.down, s.page = false, roster.Page{Revision: 2} })
		time.Sleep(retryPeriod)
		require.Len(t, f.View().Services["s"], 1)
		s.set(func() { s.operatorDown = false })
		time.Sleep(2*time.Second - retryPeriod)
		require.Len(t, f.View().Services["s"], 1)
		page.Revision = 3
		s.set(func() { s.page = page })
		time.Sleep(4 * time.Second)
		require.Len(t, f.View().Services["s"], 1)
		require.True(t, f.View().Entries["a"].Absent.IsZero())
	})
}

// TestTargetLeavesWhileCallsThatWaitAreSilent guards against a target that is gone and kept for 2.5 s more, because calls that wait got no answer while the store answered others, as it does when it drops its history.
func TestTargetLeavesWhileCallsThatWaitAreSilent(t *testing.T) {
	for after := time.Duration(0); after < 2*time.Second; after += 200 * time.Millisecond {
		withFollower(t, func(f *Follower, s *shelf) {
			time.Sleep(4*time.Second + after)
			s.set(func() {
				s.hangs = true
				s.page = roster.Page{Revision: 2}
			})
			for range 6 {
				time.Sleep(500 * time.Millisecond)
				f.Answered()
			}
			require.Empty(t, f.View().Entries, "after %s", after)
		})
	}
}

// TestCutCallIsNoOutage guards against a target that is gone and gets work for a further 2.5 s, because a call that was cut counted as an outage in which entries lapse.
func TestCutCallIsNoOutage(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(4 * time.Second)
		s.set(func() { close(s.cut) })
		time.Sleep(retryPeriod + 10*time.Millisecond)
		require.False(t, f.Away())
		s.set(func() { s.page = roster.Page{Revision: 2} })
		time.Sleep(10 * time.Millisecond)
		require.Empty(t, f.View().Entries)
	})
}

// TestCallsThatAreAlwaysCut guards against a call right after each that is cut, where the store answers readings only.
func TestCallsThatAreAlwaysCut(t *testing.T) {
	withFollower(t, func(_ *Follower, s *shelf) {
		time.Sleep(4 * time.Second)
		s.set(func() { close(s.cut) })
		s.set(func() { s.cuts = true })
		var before, after int
		s.set(func() { before = s.reads })
		time.Sleep(10 * time.Second)
		s.set(func() { after = s.reads })
		require.LessOrEqual(t, after-before, 2*2*25+4, "two loops, a reading and a call each 0.4 s")
	})
}

// TestTargetLeavesWhileOnlyTheOperatorsPartCantBeRead guards against a target that is gone and kept for good, because each answer counts as the first after an outage.
func TestTargetLeavesWhileOnlyTheOperatorsPartCantBeRead(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Second)
		s.set(func() { s.operatorDown = true })
		time.Sleep(10 * time.Second)
		s.set(func() { s.page = roster.Page{Revision: 2} })
		time.Sleep(roster.ReturnGrace)
		require.Empty(t, f.View().Entries)
	})
}

// TestEntriesThatDontComeBack are given up on when the time in which they come back is over, without any news of them.
func TestEntriesThatDontComeBack(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Second)
		s.set(func() { s.down = true })
		time.Sleep(20 * time.Second)
		s.set(func() { s.down, s.page = false, roster.Page{Revision: 2} })
		time.Sleep(time.Second)
		require.Len(t, f.View().Services["s"], 1)
		time.Sleep(roster.ReturnGrace)
		require.Empty(t, f.View().Entries)
	})
}

// fedHost is a host that lives by the views of a source and has a store of its own to turn to.
type fedHost struct {
	*Follower
	own     *shelf
	alive   atomic.Bool
	tells   atomic.Int64
	members []coord.Member
}

// withFed runs f beside a source and a host that is fed by it.
func withFed(t *testing.T, f func(fed *fedHost, source *Follower, s *shelf)) {
	withFollower(t, func(source *Follower, s *shelf) {
		time.Sleep(time.Millisecond)
		own := newShelf(t)
		fed := &fedHost{
			Follower: New(timer.New(), own.store(), apply, lapse, zap.NewNop(), tally.NoopScope),
			own:      own,
			members:  []coord.Member{{Name: "source"}},
		}
		fed.alive.Store(true)
		members := func() []coord.Member { return fed.members }
		feed := Feed{
			Sources: members,
			Read: func(_ context.Context, _ coord.Member, k Known) (State, error) {
				if !fed.alive.Load() {
					return State{}, errDown
				}
				fed.tells.Add(1)
				return source.Tell(k, members), nil
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

// shardsOf returns a version with one route over some shards.
func shardsOf(t *testing.T, version uint64, shards ...string) *route.Config {
	c, err := route.New(route.Config{Version: version, Routes: []route.Route{{
		Prefix:  "/",
		Timeout: time.Second,
		Top:     1,
		Shards:  shards,
	}}})
	require.NoError(t, err)
	return c
}

// TestConfigurationBeforeItsTargets guards against refusals because a version that names new shards comes into force before their targets have written their entries, while those of the version before still serve.
func TestConfigurationBeforeItsTargets(t *testing.T) {
	for _, one := range []struct {
		name string
		// comes is the time after which the new shard's target is there, zero for never.
		comes, forced time.Duration
		old           []string
	}{
		{name: "targets come", comes: 600 * time.Millisecond, forced: 600 * time.Millisecond, old: []string{"s"}},
		{name: "targets don't come", forced: 900 * time.Millisecond, old: []string{"s"}},
		{name: "the version before has none either", old: []string{"other"}},
		{name: "the version before has no more of them", old: []string{"s", "other"}},
	} {
		t.Run(one.name, func(t *testing.T) {
			withFollower(t, func(f *Follower, s *shelf) {
				time.Sleep(time.Second)
				s.change(route.Operator{Config: shardsOf(t, 2, one.old...), Revision: 2})
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 2, f.Config().Version)
				next := []string{"new"}
				if len(one.old) > 1 {
					next = append(next, "s")
				}
				began := time.Now()
				s.change(route.Operator{Config: shardsOf(t, 3, next...), Out: map[string]bool{"d": true}, Revision: 3})
				if one.comes > 0 {
					go func() {
						time.Sleep(one.comes)
						s.set(func() {
							s.page.Revision = 4
							s.page.Targets = append(s.page.Targets[:1:1], roster.Target{ID: "n", Service: "new", Revision: 4})
						})
					}()
				}
				time.Sleep(time.Millisecond)
				require.True(t, f.Out("d"), "a data centre is out at once")
				for f.Config().Version < 3 {
					time.Sleep(time.Millisecond)
				}
				require.InDelta(t, one.forced.Seconds(), time.Since(began).Seconds(), 0.005)
			})
		})
	}
}

// TestVersionsInQuickSuccession are not held back longer than the first of them.
func TestVersionsInQuickSuccession(t *testing.T) {
	withFollower(t, func(f *Follower, s *shelf) {
		time.Sleep(time.Second)
		s.change(route.Operator{Config: shardsOf(t, 2, "s"), Revision: 2})
		time.Sleep(time.Second)
		for version := uint64(3); version < 13; version++ {
			s.change(route.Operator{Config: shardsOf(t, version, "new"), Revision: version})
			time.Sleep(200 * time.Millisecond)
			if version > 8 {
				require.Equal(t, version, f.Config().Version)
			}
		}
	})
}

// TestFeed has a host live by another's views, and read the store at once when they end.
func TestFeed(t *testing.T) {
	withFed(t, func(fed *fedHost, _ *Follower, s *shelf) {
		time.Sleep(5 * time.Second)
		require.Zero(t, fed.own.reads)
		require.LessOrEqual(t, fed.tells.Load(), int64(7), "a question is held back while nothing changes")
		s.put(t, 6)
		time.Sleep(10 * time.Millisecond)
		require.EqualValues(t, 6, fed.Config().Version)
		s.set(func() { s.page = roster.Page{Revision: 2} })
		time.Sleep(1010 * time.Millisecond)
		require.Empty(t, fed.View().Entries)
		fed.own.put(t, 8)
		fed.alive.Store(false)
		time.Sleep(feedWait + feedGrace + retryPeriod)
		require.EqualValues(t, 8, fed.Config().Version)
	})
}

// TestSourceThatLosesTheStore guards against views whose age leaves out the time for which the question for them was held back: the host that is fed turns to the store within the bound on leaving targets.
func TestSourceThatLosesTheStore(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			withFed(t, func(fed *fedHost, source *Follower, s *shelf) {
				time.Sleep(3*time.Second + after)
				lost := time.Now()
				s.set(func() { s.down, s.hangs = true, true })
				fed.own.set(func() { fed.own.page = roster.Page{Revision: 2} })
				time.Sleep(3 * time.Second)
				require.Empty(t, fed.View().Entries)
				asked := time.Now()
				state := source.Tell(source.known(fed.members), func() []coord.Member { return fed.members })
				require.GreaterOrEqual(t, state.TargetsAge, time.Since(lost))
				require.Less(t, time.Since(asked), feedWait, "a question that brings nothing of use is not held back")
			})
		})
	}
}

// TestAgeOfAHeldQuestion guards against an age that counts to the time of the question, not to that of its answer.
func TestAgeOfAHeldQuestion(t *testing.T) {
	withFollower(t, func(source *Follower, s *shelf) {
		time.Sleep(3 * time.Second)
		members := func() []coord.Member { return nil }
		operator, targets := source.Ages()
		s.set(func() { s.down, s.hangs = true, true })
		asked := time.Now()
		state := source.Tell(source.known(nil), members)
		held := time.Since(asked)
		require.Positive(t, held)
		require.Equal(t, operator+held, state.OperatorAge)
		require.Equal(t, targets+held, state.TargetsAge)
	})
}

// TestStaleSource doesn't live by a host that has lost the store.
func TestStaleSource(t *testing.T) {
	withFollower(t, func(source *Follower, s *shelf) {
		time.Sleep(time.Second)
		s.set(func() { s.down = true })
		time.Sleep(10 * time.Second)
		state := source.Tell(Known{}, func() []coord.Member { return nil })
		require.Greater(t, state.OperatorAge, source.fresh())
		require.Greater(t, state.TargetsAge, source.fresh())
	})
}

// withSpare runs f with a follower whose store is away at its start and that may ask a host which reads another store.
func withSpare(t *testing.T, f func(own *Follower, ownStore, otherStore *shelf)) {
	withFollower(t, func(other *Follower, otherStore *shelf) {
		time.Sleep(time.Second)
		ownStore := newShelf(t)
		ownStore.down = true
		own := New(timer.New(), ownStore.store(), apply, lapse, zap.NewNop(), tally.NoopScope)
		ctx, cancel := context.WithCancel(context.Background())
		members := []coord.Member{}
		feed := Feed{
			Spares: func() []coord.Member { return []coord.Member{{Name: "dead"}} },
			Read: func(ctx context.Context, from coord.Member, k Known) (State, error) {
				if from.Name == "dead" {
					<-ctx.Done()
					return State{}, ctx.Err()
				}
				return other.Tell(k, func() []coord.Member { return members }), nil
			},
			Members:    func() []coord.Member { return members },
			SetMembers: func([]coord.Member) {},
		}
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		loops.Go(func() { own.RunOperator(ctx) })
		loops.Go(func() { own.RunTargets(ctx) })
		loops.Go(func() { own.RunSpares(ctx, feed) })
		loops.Go(func() {
			for ctx.Err() == nil {
				var known bool
				if err := NewService(own, nil, nil).Greet(coord.Member{Name: "other"}, &known); err != nil {
					t.Error(err)
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
		f(own, ownStore, otherStore)
	})
}

// TestStartWhileTheStoreIsAway takes what another host knows, at once, and goes on to the store's own word when it is back.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	withSpare(t, func(own *Follower, ownStore, _ *shelf) {
		own.AwaitReady(context.Background())
		require.True(t, own.Ready())
		require.EqualValues(t, 1, own.Config().Version)
		require.Len(t, own.View().Services["s"], 1)
		ownStore.set(func() { ownStore.operator.Revision = 4 })
		ownStore.put(t, 6)
		ownStore.set(func() { ownStore.down = false })
		time.Sleep(2 * retryPeriod)
		require.EqualValues(t, 6, own.Config().Version)
	})
}

// TestNewsWhileOnlyThisHostHasLostTheStore come from the others within about a second.
func TestNewsWhileOnlyThisHostHasLostTheStore(t *testing.T) {
	withSpare(t, func(own *Follower, _, otherStore *shelf) {
		time.Sleep(3 * time.Second)
		otherStore.put(t, 8)
		otherStore.set(func() { otherStore.page = roster.Page{Revision: 5} })
		time.Sleep(2 * (feedWait + feedGrace + retryPeriod))
		require.EqualValues(t, 8, own.Config().Version)
		require.Empty(t, own.View().Services["s"])
	})
}

// TestFeedTellsChangesOnly has a host that is fed hear of one target among many by its entry alone, and of all again where the source doesn't remember what it knew.
func TestFeedTellsChangesOnly(t *testing.T) {
	withFollower(t, func(source *Follower, s *shelf) {
		page := roster.Page{Revision: 2}
		for i := range 300 {
			page.Targets = append(page.Targets, roster.Target{ID: fmt.Sprint("t", i), Service: "s", Revision: 2})
		}
		s.set(func() { s.page = page })
		time.Sleep(1100 * time.Millisecond)
		fed := New(timer.New(), s.store(), apply, lapse, zap.NewNop(), tally.NoopScope)
		members := func() []coord.Member { return nil }
		feed := Feed{SetMembers: func([]coord.Member) {}}
		all := source.Tell(fed.known(nil), members)
		require.NotEmpty(t, all.Targets)
		fed.takeState(all, feed)
		require.Equal(t, source.View().Sum, fed.View().Sum)
		page.Targets = append([]roster.Target{}, page.Targets...)
		page.Targets[7].Draining, page.Targets[7].Revision, page.Revision = true, 3, 3
		s.set(func() { s.page = page })
		time.Sleep(1100 * time.Millisecond)
		changes := source.Tell(fed.known(nil), members)
		require.Empty(t, changes.Targets)
		require.Len(t, changes.Changes.Changed, 1)
		fed.takeState(changes, feed)
		require.Equal(t, source.View().Sum, fed.View().Sum)
		require.Len(t, fed.View().Services["s"], 299)
		stranger := fed.known(nil)
		stranger.Targets++
		require.NotEmpty(t, source.Tell(stranger, members).Targets)
	})
}

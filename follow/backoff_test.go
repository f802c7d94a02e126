package follow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/epoch"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// cluster is a set of hosts of one data centre, of which the first ones read the store for the others.
type cluster struct {
	store   *fakeStore
	hosts   []*Follower
	readers []coord.Member
	// readersDown makes the readers answer no other host.
	readersDown bool
	// readersCutOff makes the store unreachable for the readers.
	readersCutOff bool
	mu            sync.Mutex
}

// modify sets the faults of the readers under the lock.
func (c *cluster) modify(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// cutOff reports whether a host can't reach the store.
func (c *cluster) cutOff(isReader bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return isReader && c.readersCutOff
}

// storeFor returns the store as a host reaches it.
func (c *cluster) storeFor(isReader bool) Store {
	s := c.store.client()
	operator, awaitOperator := s.Operator, s.AwaitOperator
	s.Operator = func(ctx context.Context) (route.OperatorState, error) {
		if c.cutOff(isReader) {
			return route.OperatorState{}, errDown
		}
		return operator(ctx)
	}
	s.AwaitOperator = func(ctx context.Context, after epoch.Revision, wait time.Duration) (epoch.Revision, bool, error) {
		revision, changed, err := awaitOperator(ctx, after, wait)
		if c.cutOff(isReader) {
			return after, false, errDown
		}
		return revision, changed, err
	}
	return s
}

const (
	clusterHosts   = 50
	clusterReaders = 2
)

// withCluster starts all hosts at once and runs f; first is set if the whole fleet starts for the first time.
func withCluster(t *testing.T, first bool, f func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{store: newFakeStore(t)}
		for i := range clusterReaders {
			c.readers = append(c.readers, coord.Member{Name: fmt.Sprint(i)})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		members := func() []coord.Member { return c.readers }
		for i := range clusterHosts {
			c.hosts = append(c.hosts, New(timer.New(), c.storeFor(i < clusterReaders), propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope))
		}
		for i, h := range c.hosts {
			isReader := i < clusterReaders
			h.SetHostGroup(HostGroup{
				IsReader: func() bool { return isReader },
				Size:     func() int { return clusterHosts },
			}, first)
			feed := Feed{
				Sources: func() []coord.Member {
					if isReader {
						return nil
					}
					return c.readers
				},
				Read: func(_ context.Context, from coord.Member, k Known) (State, error) {
					c.mu.Lock()
					down := c.readersDown
					c.mu.Unlock()
					if down {
						return State{}, errDown
					}
					var n int
					if _, err := fmt.Sscan(from.Name, &n); err != nil {
						return State{}, err
					}
					return c.hosts[n].AwaitDiff(k, members), nil
				},
				Members:    members,
				SetMembers: func([]coord.Member) {},
			}
			loops.Go(func() { h.RunFeed(ctx, feed) })
			loops.Go(func() { h.RunOperator(ctx) })
			loops.Go(func() { h.RunTargets(ctx) })
		}
		f(c)
	})
}

// callsDuring waits for d and returns the number of calls to the store meanwhile.
func (c *cluster) callsDuring(d time.Duration) int {
	c.store.mu.Lock()
	before := c.store.calls
	c.store.mu.Unlock()
	time.Sleep(d)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.calls - before
}

// readyHosts returns the number of hosts that know configuration and targets.
func (c *cluster) readyHosts() int {
	n := 0
	for _, h := range c.hosts {
		if h.Ready() {
			n++
		}
	}
	return n
}

// TestOnlyReadersCallStoreAtFleetStart guards against several calls of each host to the store when a fleet starts, or when all its hosts were killed. Only the readers may ask the store, and the other hosts have to be ready just as soon.
func TestOnlyReadersCallStoreAtFleetStart(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprint("first ", first), func(t *testing.T) {
			withCluster(t, first, func(c *cluster) {
				require.Less(t, c.callsDuring(startupWait), clusterHosts/2)
				require.Equal(t, clusterHosts, c.readyHosts())
				require.Less(t, c.callsDuring(10*time.Second), clusterHosts)
			})
		})
	}
}

// TestHostsBecomeReadyWhileReadersAreDown checks that every host soon asks the store itself if the readers don't answer.
func TestHostsBecomeReadyWhileReadersAreDown(t *testing.T) {
	withCluster(t, false, func(c *cluster) {
		c.modify(func() { c.readersDown = true })
		time.Sleep(startWait*3/2 + startRetryPeriod)
		require.Equal(t, clusterHosts, c.readyHosts())
	})
}

// TestHostsBackOffDuringStoreOutage guards against hosts that call a store which doesn't answer as often as without backing off, and against hosts that don't notice its return.
func TestHostsBackOffDuringStoreOutage(t *testing.T) {
	withCluster(t, false, func(c *cluster) {
		time.Sleep(time.Second)
		c.store.modify(func() { c.store.down = true })
		time.Sleep(4 * time.Second)
		const outage = 10 * time.Second
		// Without backing off, each host would try two readings per retryPeriod.
		callsWithoutBackoff := 2 * clusterHosts * int(outage/retryPeriod)
		require.Less(t, c.callsDuring(outage), callsWithoutBackoff/5)
		c.store.modify(func() { c.store.down = false })
		c.store.putOperator(route.OperatorState{Config: configWithShards(t, 2, "s"), Revision: 2})
		time.Sleep(2 * retryPeriod)
		for _, h := range c.hosts {
			require.EqualValues(t, 2, h.Config().Version)
		}
	})
}

// TestChangeReachesHostsWhoseReaderLostTheStore guards against hosts that learn of a change too late because the reader they depend on can't reach the store, although they could.
func TestChangeReachesHostsWhoseReaderLostTheStore(t *testing.T) {
	withCluster(t, false, func(c *cluster) {
		time.Sleep(time.Second)
		c.modify(func() { c.readersCutOff = true })
		time.Sleep(propagationLimit)
		c.store.putOperator(route.OperatorState{Config: configWithShards(t, 2, "s"), Revision: 2})
		time.Sleep(propagationLimit)
		for _, h := range c.hosts[clusterReaders:] {
			require.EqualValues(t, 2, h.Config().Version)
		}
	})
}

// TestStoreOutageIsProbedByOneLoop guards against a host that has just started and probes an unreachable store from both its loops, where one call shows whether the store is back.
func TestStoreOutageIsProbedByOneLoop(t *testing.T) {
	const outage = 10 * time.Second
	withFollower(t, func(f *Follower, s *fakeStore) {
		time.Sleep(time.Second)
		s.modify(func() { s.down = true })
		time.Sleep(4 * time.Second)
		s.mu.Lock()
		before := s.calls
		s.mu.Unlock()
		time.Sleep(outage)
		s.mu.Lock()
		probes := s.calls - before
		s.down = false
		s.mu.Unlock()
		require.LessOrEqual(t, probes, int(outage/retryPeriod)+1)
		s.putOperator(route.OperatorState{Config: configWithShards(t, 2, "s"), Revision: 2})
		time.Sleep(retryPeriod + 100*time.Millisecond)
		require.EqualValues(t, 2, f.Config().Version)
	})
}

// TestStoreReachableOncePeersFeedAgain guards against a host that still takes the store for unreachable while other hosts feed it after an outage, and so neither registers nor stops reading from fallback hosts.
func TestStoreReachableOncePeersFeedAgain(t *testing.T) {
	withCluster(t, false, func(c *cluster) {
		time.Sleep(time.Second)
		c.store.modify(func() { c.store.down = true })
		time.Sleep(10 * time.Second)
		c.store.modify(func() { c.store.down = false })
		time.Sleep(10 * time.Second)
		for _, h := range c.hosts {
			require.False(t, h.StoreUnreachable())
		}
	})
}

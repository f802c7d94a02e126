package follow

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
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
	orderHosts = 6
	// orderCoordinators is the number of hosts that read the store whatever their traffic is.
	orderCoordinators = 2
	// stableTime is how long a host has to be without disturbance for its bounds to hold.
	stableTime = 4 * time.Second
	// leaveLimit and configLimit are the times within which a change of targets or configuration has to reach a host.
	leaveLimit  = 3 * time.Second
	configLimit = 3 * time.Second
)

// orderHost is one host of an orderRun.
type orderHost struct {
	follower atomic.Pointer[Follower]
	// busy hosts read the store themselves. The store doesn't answer silenced hosts. Frozen hosts neither answer nor get answers.
	busy, silenced, frozen atomic.Bool
	// disturbedAt is the time of the last disturbance, spins counts the reads of other hosts without pause.
	disturbedAt time.Time
	spins       atomic.Int64
	stop        func()
}

// orderRun is a store with hosts, to which random changes and disturbances happen. It runs within a synctest bubble.
type orderRun struct {
	t      *testing.T
	random *rand.Rand
	store  *fakeStore
	hosts  []*orderHost
	out    map[string]bool
	// version is the configuration's, draining says whether the store's only target drains; each At is the time of the last change.
	version                      uint64
	draining                     bool
	outAt, versionAt, drainingAt time.Time
	revision                     uint64
	steps                        []string
	pauses                       sync.WaitGroup
}

// thaw waits while a host is frozen.
func (h *orderHost) thaw(ctx context.Context) {
	for h.frozen.Load() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// reach passes a call to the store on unless the store is silent to the host, which is noticed after a while.
func reach[T any](ctx context.Context, h *orderHost, call func() (T, error)) (T, error) {
	h.thaw(ctx)
	var zero T
	if h.silenced.Load() {
		time.Sleep(500 * time.Millisecond)
		return zero, errDown
	}
	v, err := call()
	h.thaw(ctx)
	if h.silenced.Load() {
		return zero, errDown
	}
	return v, err
}

// storeOf returns the store as a host reaches it.
func (r *orderRun) storeOf(h *orderHost) Store {
	client := r.store.client()
	type watched struct {
		at      epoch.Revision
		changed bool
	}
	return Store{
		Operator: func(ctx context.Context) (route.OperatorState, error) {
			return reach(ctx, h, func() (route.OperatorState, error) { return client.Operator(ctx) })
		},
		AwaitOperator: func(ctx context.Context, after epoch.Revision, wait time.Duration) (epoch.Revision, bool, error) {
			w, err := reach(ctx, h, func() (watched, error) {
				at, changed, err := client.AwaitOperator(ctx, after, wait)
				return watched{at: at, changed: changed}, err
			})
			if err != nil {
				return after, false, err
			}
			return w.at, w.changed, nil
		},
		Targets: func(ctx context.Context, exact bool) (roster.Listing, error) {
			return reach(ctx, h, func() (roster.Listing, error) { return client.Targets(ctx, exact) })
		},
		AwaitTargets: func(ctx context.Context, after epoch.Revision, wait time.Duration) (roster.Update, error) {
			return reach(ctx, h, func() (roster.Update, error) { return client.AwaitTargets(ctx, after, wait) })
		},
	}
}

// start starts a new process of a host.
func (r *orderRun) start(i int) {
	h := r.hosts[i]
	h.frozen.Store(false)
	f := New(timer.New(), r.storeOf(h), propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
	h.follower.Store(f)
	var members []coord.Member
	for k := range orderCoordinators {
		members = append(members, coord.Member{Name: strconv.Itoa(k)})
	}
	known := func() []coord.Member { return members }
	var guard spinGuard
	feed := Feed{
		Sources: func() []coord.Member {
			if i < orderCoordinators || h.busy.Load() {
				return nil
			}
			return members
		},
		Read: func(ctx context.Context, from coord.Member, k Known) (State, error) {
			if guard.delay() {
				h.spins.Add(1)
			}
			n, err := strconv.Atoi(from.Name)
			if err != nil {
				return State{}, err
			}
			source := r.hosts[n]
			source.thaw(ctx)
			s := source.follower.Load().AwaitDiff(k, known)
			h.thaw(ctx)
			return s, ctx.Err()
		},
		Fallbacks:  known,
		Members:    known,
		SetMembers: func([]coord.Member) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { f.RunFeed(ctx, feed) })
	loops.Go(func() { f.RunFallbacks(ctx, feed) })
	loops.Go(func() { f.RunOperator(ctx) })
	loops.Go(func() { f.RunTargets(ctx) })
	h.stop = func() {
		cancel()
		loops.Wait()
	}
}

// write writes the present state to the store at its next revision.
func (r *orderRun) write() {
	r.revision += 1 + r.random.Uint64N(3)
	c, err := route.New(route.Config{Version: r.version})
	require.NoError(r.t, err)
	old := r.store.operator
	if old.Config == nil || old.Config.Version != r.version || !maps.Equal(old.Out, r.out) {
		r.store.putOperator(route.OperatorState{Config: c, Out: maps.Clone(r.out), Revision: r.revision})
	}
	targets := []roster.Target{{ID: "a", Service: "s", Revision: 1}, {ID: "b", Service: "s", Revision: 1}}
	if r.draining {
		targets = targets[:1]
	} else {
		targets[1].Revision = max(r.store.targetRevisions["b"], 1)
		if len(r.store.listing.Targets) < 2 {
			targets[1].Revision = r.revision
		}
	}
	r.store.modify(func() { r.store.listing = roster.Listing{Revision: r.revision, Targets: targets} })
}

// step makes one random change or disturbance.
func (r *orderRun) step() {
	now := time.Now()
	i := r.random.IntN(orderHosts)
	h := r.hosts[i]
	name := ""
	switch r.random.IntN(10) {
	case 0, 1, 2:
		datacentre := []string{"y", "z"}[r.random.IntN(2)]
		if r.out[datacentre] {
			delete(r.out, datacentre)
		} else {
			r.out[datacentre] = true
		}
		name, r.outAt = fmt.Sprint("out ", r.out), now
		r.write()
	case 3:
		r.version++
		name, r.versionAt = fmt.Sprint("version ", r.version), now
		r.write()
	case 4:
		r.draining = !r.draining
		name, r.drainingAt = fmt.Sprint("removed ", r.draining), now
		r.write()
	case 5, 6:
		h.busy.Store(!h.busy.Load())
		name = fmt.Sprintf("host %d busy %t", i, h.busy.Load())
	case 7:
		pause := time.Duration(r.random.IntN(5000)) * time.Millisecond
		h.frozen.Store(true)
		h.disturbedAt = now.Add(pause)
		r.pauses.Go(func() {
			time.Sleep(pause)
			h.frozen.Store(false)
		})
		name = fmt.Sprintf("host %d frozen for %s", i, pause)
	case 8:
		h.stop()
		time.Sleep(time.Duration(r.random.IntN(1000)) * time.Millisecond)
		h.disturbedAt = time.Now()
		r.start(i)
		name = fmt.Sprintf("host %d replaced", i)
	case 9:
		h.silenced.Store(!h.silenced.Load())
		h.disturbedAt = now
		name = fmt.Sprintf("host %d silenced %t", i, h.silenced.Load())
	}
	r.steps = append(r.steps, fmt.Sprintf("%s %s", now.Format("05.000"), name))
}

// check requires that every host that is without disturbance knows all changes within their limits.
func (r *orderRun) check() {
	now := time.Now()
	for i, h := range r.hosts {
		f := h.follower.Load()
		if h.frozen.Load() || h.silenced.Load() || now.Sub(h.disturbedAt) < stableTime {
			continue
		}
		state := fmt.Sprintf("host %d at %s (busy %t, fed %t) after %q", i, now.Format("05.000"), h.busy.Load(), f.FedByPeer(), r.steps)
		calmSince := h.disturbedAt
		if now.Sub(later(r.outAt, calmSince)) > outLimit {
			for d := range map[string]bool{"y": true, "z": true} {
				require.Equal(r.t, r.out[d], f.DatacentreOut(d), "data centre %s: %s", d, state)
			}
		}
		if now.Sub(later(r.versionAt, calmSince)) > configLimit {
			require.Equal(r.t, r.version, f.Config().Version, state)
		}
		if now.Sub(later(r.drainingAt, calmSince)) > leaveLimit && r.draining {
			require.Nil(r.t, f.View().Entries["b"], state)
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestRandomOrdersOfChangesReachAllHosts guards against views that stay behind the store after data centres that are taken out again, removals and versions, in any order with traffic that falls and rises, hosts that freeze or are replaced, and a store that is silent to some hosts; and against reads without pause.
func TestRandomOrdersOfChangesReachAllHosts(t *testing.T) {
	const seeds, steps = 10, 80
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &orderRun{
					t:       t,
					random:  rand.New(rand.NewPCG(seed, 17)),
					store:   newFakeStore(t),
					out:     map[string]bool{},
					version: 2,
				}
				r.revision = 10
				r.write()
				for range orderHosts {
					r.hosts = append(r.hosts, &orderHost{disturbedAt: time.Now()})
				}
				for i := range r.hosts {
					r.start(i)
				}
				defer func() {
					r.pauses.Wait()
					for _, h := range r.hosts {
						h.frozen.Store(false)
						h.stop()
					}
				}()
				for range steps {
					r.step()
					for range 1 + r.random.IntN(30) {
						time.Sleep(100 * time.Millisecond)
						r.check()
					}
				}
				for i, h := range r.hosts {
					require.Zero(t, h.spins.Load(), "reads of host %d without pause", i)
				}
			})
		})
	}
}

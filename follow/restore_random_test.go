package follow

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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

// restoreRun is a store with a few hosts, to which random changes and faults happen. It runs within a synctest bubble.
type restoreRun struct {
	t      *testing.T
	random *rand.Rand
	store  *fakeStore
	hosts  []*restoreHost
	// operator and targets are what the operator and the targets wrote last; the store may have lost it.
	operator route.OperatorState
	targets  map[string]roster.Target
	// left holds the targets that have ever been draining or removed; ids aren't used again.
	left    map[string]bool
	created int
	// copies are earlier contents of the store.
	copies []storeCopy
}

// storeCopy is a copy of the store's contents.
type storeCopy struct {
	operator route.OperatorState
	listing  roster.Listing
}

// restoreHost is one host of a restoreRun.
type restoreHost struct {
	*Follower
	cut  atomic.Bool
	stop func()
	// version is the newest version of the configuration that the host has had in force.
	version uint64
	// knownToHaveLeft holds the targets that the host once knew and then gave no more work.
	served, knownToHaveLeft map[string]bool
}

// start starts a new process of a host.
func (r *restoreRun) start(h *restoreHost) {
	client := r.store.client()
	reachable := func() error {
		if h.cut.Load() {
			return errDown
		}
		return nil
	}
	operator, targets, awaitOperator, awaitTargets := client.Operator, client.Targets, client.AwaitOperator, client.AwaitTargets
	h.Follower = New(timer.New(), Store{
		Operator: func(ctx context.Context) (route.OperatorState, error) {
			if err := reachable(); err != nil {
				return route.OperatorState{}, err
			}
			return operator(ctx)
		},
		Targets: func(ctx context.Context, exact bool) (roster.Listing, error) {
			if err := reachable(); err != nil {
				return roster.Listing{}, err
			}
			return targets(ctx, exact)
		},
		AwaitOperator: func(ctx context.Context, after epoch.Revision, wait time.Duration) (epoch.Revision, bool, error) {
			at, changed, err := awaitOperator(ctx, after, wait)
			if cut := reachable(); cut != nil {
				return after, false, cut
			}
			return at, changed, err
		},
		AwaitTargets: func(ctx context.Context, after epoch.Revision, wait time.Duration) (roster.Update, error) {
			u, err := awaitTargets(ctx, after, wait)
			if cut := reachable(); cut != nil {
				return roster.Update{}, cut
			}
			return u, err
		},
	}, propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
	h.version, h.served, h.knownToHaveLeft = 0, map[string]bool{}, map[string]bool{}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { h.RunOperator(ctx) })
	loops.Go(func() { h.RunTargets(ctx) })
	h.stop = func() {
		cancel()
		loops.Wait()
	}
}

// write writes what the operator and the targets wrote last to the store, at its next revision.
func (r *restoreRun) write() {
	next := max(r.store.operator.Revision, r.store.listing.Revision) + 1
	before := map[string]roster.Target{}
	for _, t := range r.store.listing.Targets {
		before[t.ID] = t
	}
	p := roster.Listing{Revision: next}
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		t := r.targets[id]
		old, present := before[t.ID]
		t.Revision = next
		if present && old.Draining == t.Draining {
			t.Revision = old.Revision
		}
		p.Targets = append(p.Targets, t)
	}
	o := r.operator
	o.Revision = next
	// A call that ends between the two changes states the revision of the targets, so these come second.
	r.store.putOperator(o)
	r.store.modify(func() { r.store.listing = p })
	r.copies = append(r.copies, storeCopy{operator: o, listing: p})
}

// ready returns the number of targets that neither drain nor have left.
func (r *restoreRun) ready() int {
	n := 0
	for _, t := range r.targets {
		if !t.Draining {
			n++
		}
	}
	return n
}

// change makes a random change by the operator or a target.
func (r *restoreRun) change() {
	switch r.random.IntN(4) {
	case 0:
		r.operator.Config = configVersion(r.t, r.operator.Config.Version+1+r.random.Uint64N(3))
	case 1:
		r.created++
		id := fmt.Sprint("t", r.created)
		r.targets[id] = target(id, 0, false)
	default:
		ids := slices.Sorted(maps.Keys(r.targets))
		id := ids[r.random.IntN(len(ids))]
		switch t := r.targets[id]; {
		case t.Draining:
			delete(r.targets, id)
		case r.ready() < 2:
		case r.random.IntN(2) == 0:
			delete(r.targets, id)
			r.left[id] = true
		default:
			t.Draining = true
			r.targets[id] = t
			r.left[id] = true
		}
	}
	r.write()
}

// disturb causes one random fault or exchange between hosts.
func (r *restoreRun) disturb() {
	h := r.hosts[r.random.IntN(len(r.hosts))]
	other := r.hosts[r.random.IntN(len(r.hosts))]
	members := func() []coord.Member { return nil }
	feed := Feed{Members: members, SetMembers: func([]coord.Member) {}}
	switch r.random.IntN(6) {
	case 0:
		h.cut.Store(!h.cut.Load())
	case 1:
		h.stop()
		r.start(h)
	case 2:
		older := r.copies[max(len(r.copies)-1-r.random.IntN(4), 0)]
		r.store.restore(older.operator, older.listing)
		time.Sleep(time.Duration(r.random.IntN(1500)) * time.Millisecond)
		r.write()
	default:
		h.applyState(other.AwaitDiff(h.known(nil), members), feed)
	}
}

// check checks what must hold at any moment: no host goes back to an earlier version, or to a target that it knew to have left.
func (r *restoreRun) check() {
	for i, h := range r.hosts {
		if c := h.Config(); c != nil {
			require.GreaterOrEqual(r.t, c.Version, h.version, "version in force at host %d", i)
			h.version = c.Version
		}
		serves := map[string]bool{}
		for _, id := range h.servedBy() {
			serves[id] = true
			require.False(r.t, h.knownToHaveLeft[id], "host %d knew that target %s has left", i, id)
		}
		for id := range h.served {
			if !serves[id] && r.left[id] {
				h.knownToHaveLeft[id] = true
			}
		}
		h.served = serves
	}
}

// TestRandomRestoresTakeNothingBack runs random changes, restores of the store, cuts, restarts and exchanges between hosts, and checks that no host goes back and that all hosts catch up within the propagation limit.
func TestRandomRestoresTakeNothingBack(t *testing.T) {
	const seeds, steps = 60, 60
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &restoreRun{
					t:        t,
					random:   rand.New(rand.NewPCG(seed, 3)),
					store:    newFakeStore(t),
					operator: operatorState(t, 1, 1),
					targets:  map[string]roster.Target{"t0": target("t0", 0, false)},
					left:     map[string]bool{},
				}
				r.store.modify(func() { r.store.epoch = 1 })
				r.write()
				for range 4 {
					h := &restoreHost{}
					r.start(h)
					r.hosts = append(r.hosts, h)
				}
				defer func() {
					for _, h := range r.hosts {
						h.stop()
					}
				}()
				for range steps {
					if r.random.IntN(2) == 0 {
						r.change()
					} else {
						r.disturb()
					}
					for range 1 + r.random.IntN(8) {
						time.Sleep(100 * time.Millisecond)
						r.check()
					}
				}
				for _, h := range r.hosts {
					h.cut.Store(false)
				}
				r.change()
				time.Sleep(propagationLimit + roster.OutageGrace + retryPeriod)
				r.check()
				for i, h := range r.hosts {
					require.Equal(t, r.operator.Config.Version, h.Config().Version, "host %d", i)
					for _, id := range h.servedBy() {
						require.False(t, r.left[id], "host %d, target %s", i, id)
					}
					require.NotEmpty(t, h.servedBy())
				}
			})
		})
	}
}

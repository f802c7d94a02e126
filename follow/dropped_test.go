package follow

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// setTargets writes targets to the store of the source and to that of the fed host.
func (h *fedHost) setTargets(s *fakeStore, revision uint64, targets ...roster.Target) {
	for _, store := range []*fakeStore{s, h.ownStore} {
		store.modify(func() { store.listing = roster.Listing{Revision: revision, Targets: targets} })
	}
}

// mustPack packs a value.
func mustPack(t *testing.T, v any) Packed {
	p, err := pack(v)
	require.NoError(t, err)
	return p
}

// TestDroppedViewsDoNotCountAsCurrent guards against a host that drops what another host sends, counts its views as current all the same, and so doesn't read the store: it misses a data centre that is taken out of service and a removed target.
func TestDroppedViewsDoNotCountAsCurrent(t *testing.T) {
	for name, alter := range map[string]func(t *testing.T, s State) State{
		"operator data at an earlier revision, as an earlier build sends them": func(t *testing.T, s State) State {
			if s.Operator != nil {
				o, err := unpackOperator(s.Operator)
				require.NoError(t, err)
				o.Revision = 1
				s.Operator = mustPack(t, o)
			}
			return s
		},
		"targets at an earlier revision": func(t *testing.T, s State) State {
			s.Changes, s.Targets = nil, mustPack(t, roster.Listing{})
			return s
		},
		"operator data that can't be decoded": func(_ *testing.T, s State) State {
			s.Operator = Packed("no data")
			return s
		},
		"targets that can't be decoded": func(_ *testing.T, s State) State {
			s.Targets = Packed("no data")
			return s
		},
		"changes of another view": func(_ *testing.T, s State) State {
			if s.Changes != nil {
				changes := *s.Changes
				changes.From++
				s.Changes = &changes
			}
			return s
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFedHost(t, func(fed *fedHost, _ *Follower, s *fakeStore) {
				time.Sleep(3 * time.Second)
				fed.setTargets(s, 5, roster.Target{ID: "a", Service: "s", Revision: 1}, roster.Target{ID: "b", Service: "s", Revision: 5})
				fed.setOut(s, "z")
				time.Sleep(3 * time.Second)
				altered := func(s State) State { return alter(t, s) }
				fed.alter.Store(&altered)
				fed.setOut(s)
				fed.setTargets(s, 30, roster.Target{ID: "b", Service: "s", Revision: 5})
				fed.requireOut(t, "put back")
				time.Sleep(outLimit)
				require.Len(t, fed.View().Services["s"], 1, "the removed target")
				require.LessOrEqual(t, fed.spins.Load(), int64(2*outLimit/(100*time.Millisecond)))
				before := fed.sourceReads.Load()
				time.Sleep(10 * time.Second)
				require.LessOrEqual(t, fed.sourceReads.Load()-before, int64(10*maxReadsPerSecond))
			})
		})
	}
}

// TestDeviatingHostDoesNotSpin guards against reads without pause by a host that keeps something else in force than its source, which answers at once as long as the two differ.
func TestDeviatingHostDoesNotSpin(t *testing.T) {
	for name, deviate := range map[string]func(t *testing.T, fed *fedHost, source *Follower, s *fakeStore){
		"a configuration is held back": func(t *testing.T, fed *fedHost, source *Follower, _ *fakeStore) {
			fed.operator.Update(func(old *route.OperatorState) *route.OperatorState {
				next := *old
				next.Config = configWithShards(t, 2, "s")
				return &next
			})
			source.operator.Update(func(old *route.OperatorState) *route.OperatorState {
				next := *old
				next.Config, next.Revision = configWithShards(t, 3, "new"), 9
				return &next
			})
		},
		"a data centre stays out of service after a restore": func(_ *testing.T, fed *fedHost, source *Follower, _ *fakeStore) {
			out := map[string]bool{"z": true}
			fed.operator.Update(func(old *route.OperatorState) *route.OperatorState {
				next := *old
				next.Out = out
				return &next
			})
			fed.restoredAt.Store(fed.sinceEpoch(time.Now()))
			source.operator.Update(func(old *route.OperatorState) *route.OperatorState {
				next := *old
				next.Out, next.Revision = map[string]bool{}, 9
				return &next
			})
		},
		"the source has an older version, as one that started after a restore": func(t *testing.T, fed *fedHost, _ *Follower, _ *fakeStore) {
			fed.operator.Update(func(old *route.OperatorState) *route.OperatorState {
				next := *old
				next.Config = configVersion(t, 40)
				return &next
			})
		},
		"the source keeps a target that the host knows to be gone": func(_ *testing.T, fed *fedHost, source *Follower, _ *fakeStore) {
			gone := source.View().Update(roster.Update{Gone: []string{"a"}, Revision: 7}, time.Now(), time.Now())
			source.view.Update(func(*roster.View) *roster.View { return gone })
			fed.view.Update(func(old *roster.View) *roster.View {
				return old.Update(roster.Update{Gone: []string{"a"}, Revision: 6}, time.Now(), time.Time{})
			})
		},
		"the source knows no hosts": func(_ *testing.T, fed *fedHost, _ *Follower, _ *fakeStore) {
			fed.sourceAlone.Store(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFedHost(t, func(fed *fedHost, source *Follower, s *fakeStore) {
				time.Sleep(3500 * time.Millisecond)
				deviate(t, fed, source, s)
				before := fed.sourceReads.Load()
				time.Sleep(2 * time.Second)
				require.Zero(t, fed.spins.Load(), "reads without pause")
				require.LessOrEqual(t, fed.sourceReads.Load()-before, int64(4*maxReadsPerSecond))
				require.NotZero(t, fed.sourceReads.Load()-before)
			})
		})
	}
}

// TestSourceThatHasReadNothingFeedsNobody guards against a host that relies on a source that has just started and can't reach the store: it states no changes, since it knows nothing.
func TestSourceThatHasReadNothingFeedsNobody(t *testing.T) {
	withFedHost(t, func(fed *fedHost, _ *Follower, s *fakeStore) {
		time.Sleep(3 * time.Second)
		members := func() []coord.Member { return fed.members }
		replaced := func(State) State {
			// Each answer comes from a process that is as young as can be.
			empty := New(timer.New(), Store{}, propagationLimit, outageThreshold, zap.NewNop(), tally.NoopScope)
			return empty.AwaitDiff(fed.known(fed.members), members)
		}
		fed.alter.Store(&replaced)
		fed.setOut(s, "z")
		fed.requireOut(t, "taken out while the source knows nothing", "z")
	})
}

// TestOddTargetsOfAnotherHostAreLeftOut guards against odd entries that a host of an earlier build passes on, whole or as changes: they are left out, counted once, and the other targets hold.
func TestOddTargetsOfAnotherHostAreLeftOut(t *testing.T) {
	withFedHost(t, func(fed *fedHost, _ *Follower, s *fakeStore) {
		time.Sleep(3 * time.Second)
		good := roster.Target{ID: "a", Service: "s", Revision: 1}
		odd := []roster.Target{
			{ID: "cold", Service: "s", Revision: 5, Cold: math.MaxInt64},
			{ID: "slots", Service: "s", Revision: 5, Slots: math.MaxInt64},
			{ID: "born", Service: "s", Revision: 5, Born: time.Unix(1<<50, 0)},
			{ID: "a b", Service: "s", Revision: 5},
			{ID: "long", Service: strings.Repeat("s", 1<<20), Revision: 5},
			{ID: "address", Service: "s", Revision: 5, Address: netip.MustParseAddrPort("0.0.0.0:80")},
		}
		s.modify(func() { s.listing = roster.Listing{Revision: 5, Targets: append(odd, good)} })
		time.Sleep(10 * time.Second)
		require.Len(t, fed.View().Entries, 1)
		require.Zero(t, fed.spins.Load(), "reads without pause")
		fed.unreadable.mu.Lock()
		require.Len(t, fed.unreadable.revisions, len(odd), "reported")
		fed.unreadable.mu.Unlock()
		good.Draining, good.Revision = true, 9
		s.modify(func() { s.listing = roster.Listing{Revision: 9, Targets: append(odd, good)} })
		time.Sleep(3 * time.Second)
		require.Empty(t, fed.View().Services["s"])
	})
}

package trial

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/emul"
	"kingcupcross/query"
	"kingcupcross/shard"
)

func withSite(t *testing.T, f func(*Site)) {
	t.Helper()
	s, err := New(Size{
		Hosts:   2,
		Targets: 6,
		Shards:  12,
		Slots:   3,
		Conns:   20,
		Median:  time.Millisecond,
		Spread:  0.3,
		Seed:    1,
	}, query.Policy{}, false)
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Change("deadline", "30s"))
	f(s)
}

// hold sets what all targets hold, for the partition of m.
func (s *Site) hold(i int, m *shard.Map, indexes ...uint64) {
	var shards []int
	for n, replicas := range m.Shards {
		for _, r := range replicas {
			if r == i {
				shards = append(shards, n)
			}
		}
	}
	s.Targets[i].SetHoldings([]emul.Holding{{Service: Service, Map: m.Version, Shards: shards, Indexes: indexes}})
}

func requireOwn(t *testing.T, a *query.Answer, text string) {
	t.Helper()
	require.Equal(t, a.Total, len(a.Parts)+len(a.Missing))
	for n, p := range a.Parts {
		require.Equal(t, string(emul.Payload(Service, a.Snapshot, n, []byte(text))), string(p))
	}
}

// queries asks all hosts at once, again and again, until the context ends.
func (s *Site) queries(ctx context.Context, t *testing.T) (wait func()) {
	var group sync.WaitGroup
	for i, h := range s.Hosts {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				text := fmt.Sprintf("query %d of %d", n, i)
				a, err := h.Engine.Run(context.Background(), query.Request{Service: Service, Payload: []byte(text)})
				if err != nil {
					t.Errorf("query: %v", err)
					return
				}
				requireOwn(t, a, text)
			}
		})
	}
	return group.Wait
}

func TestVersionsAndPartitionsChangeInFlight(t *testing.T) {
	withSite(t, func(s *Site) {
		ctx, cancel := context.WithCancel(t.Context())
		wait := s.queries(ctx, t)
		for index := uint64(2); index < 5; index++ {
			for i := range s.Targets {
				s.hold(i, s.Map, index-1, index)
			}
			for i := range s.Targets {
				s.hold(i, s.Map, index)
			}
		}
		next, _ := emul.Spread(Service, 18, len(s.Targets), len(places))
		next.Version, next.Index, next.Targets = 2, 4, s.Map.Targets
		for i := range s.Targets {
			s.hold(i, &next, 4)
		}
		for _, h := range s.Hosts {
			h.Board.PutShardMap(&next)
		}
		cancel()
		wait()
		a, err := s.Hosts[0].Engine.Run(t.Context(), query.Request{Service: Service, Payload: []byte("salt")})
		require.NoError(t, err)
		requireOwn(t, a, "salt")
		require.Equal(t, next.Snapshot(), a.Snapshot)
		require.Empty(t, a.Missing)
	})
}

func TestCutAndCorruptRepliesCostNoCoverage(t *testing.T) {
	tests := map[string]emul.TargetFaults{
		"cut":     {Cut: true},
		"corrupt": {Corrupt: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(s *Site) {
				s.Targets[0].SetFaults(faults)
				a, err := s.Hosts[0].Engine.Run(t.Context(), query.Request{Service: Service, Payload: []byte("salt")})
				require.NoError(t, err)
				requireOwn(t, a, "salt")
				require.Empty(t, a.Missing)
				require.Positive(t, a.Load.Retries)
			})
		})
	}
}

func TestDatacentreOutKeepsCoverage(t *testing.T) {
	withSite(t, func(s *Site) {
		require.NoError(t, s.Change("out", []string{"odense"}))
		a, err := s.Hosts[0].Engine.Run(t.Context(), query.Request{Service: Service, Payload: []byte("salt")})
		require.NoError(t, err)
		requireOwn(t, a, "salt")
		require.Empty(t, a.Missing)
		for i := 1; i < len(s.Targets); i += len(places) {
			require.Zero(t, s.Targets[i].Witness().Served)
		}
	})
}

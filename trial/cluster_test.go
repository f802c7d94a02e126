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

// withCluster runs a test on a small cluster whose keepers have their targets from the start. Its deadline is long, so that a slow machine costs no coverage.
func withCluster(t *testing.T, f func(*Cluster)) {
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
	require.NoError(t, s.ApplySetting("deadline", "30s"))
	f(s)
}

// setHoldings makes target i hold its shards according to the map m, at the given index versions.
func (s *Cluster) setHoldings(i int, m *shard.Map, indexes ...uint64) {
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

// requireAnswerTo checks that an answer accounts for all shards, and that each part answers the query with the given payload.
func requireAnswerTo(t *testing.T, a *query.Answer, payload string) {
	t.Helper()
	require.Equal(t, a.ShardCount, len(a.Parts)+len(a.Missing))
	for n, p := range a.Parts {
		require.Equal(t, string(emul.PartPayload(Service, a.Snapshot, n, []byte(payload))), string(p))
	}
}

// startQueries sends queries to all hosts concurrently until the context ends, and checks every answer; wait waits for the last ones.
func (s *Cluster) startQueries(ctx context.Context, t *testing.T) (wait func()) {
	var group sync.WaitGroup
	for i, h := range s.Hosts {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				payload := fmt.Sprintf("query %d of %d", n, i)
				a, err := h.Engine.Run(context.Background(), query.Request{Service: Service, Payload: []byte(payload)})
				if err != nil {
					t.Errorf("query: %v", err)
					return
				}
				requireAnswerTo(t, a, payload)
			}
		})
	}
	return group.Wait
}

// TestIndexVersionAndShardMapChangeUnderLoad guards against answers that mix index versions or shard maps while both change under load.
func TestIndexVersionAndShardMapChangeUnderLoad(t *testing.T) {
	withCluster(t, func(s *Cluster) {
		ctx, cancel := context.WithCancel(t.Context())
		wait := s.startQueries(ctx, t)
		for index := uint64(2); index < 5; index++ {
			for i := range s.Targets {
				s.setHoldings(i, s.Map, index-1, index)
			}
			for i := range s.Targets {
				s.setHoldings(i, s.Map, index)
			}
		}
		next, _ := emul.PlaceReplicas(Service, 18, len(s.Targets), len(places))
		next.Version, next.Index, next.Targets = 2, 4, s.Map.Targets
		for i := range s.Targets {
			s.setHoldings(i, &next, 4)
		}
		for _, h := range s.Hosts {
			h.Board.PutShardMap(&next)
		}
		cancel()
		wait()
		a, err := s.Hosts[0].Engine.Run(t.Context(), query.Request{Service: Service, Payload: []byte("salt")})
		require.NoError(t, err)
		requireAnswerTo(t, a, "salt")
		require.Equal(t, next.Snapshot(), a.Snapshot)
		require.Empty(t, a.Missing)
	})
}

// TestCutAndCorruptRepliesCostNoCoverage checks that truncated and corrupt replies are detected and retried at another replica.
func TestCutAndCorruptRepliesCostNoCoverage(t *testing.T) {
	tests := map[string]emul.TargetFaults{
		"cut":     {Cut: true},
		"corrupt": {Corrupt: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(s *Cluster) {
				s.Targets[0].SetFaults(faults)
				a, err := s.Hosts[0].Engine.Run(t.Context(), query.Request{Service: Service, Payload: []byte("salt")})
				require.NoError(t, err)
				requireAnswerTo(t, a, "salt")
				require.Empty(t, a.Missing)
				require.Positive(t, a.SubRequests.Retries)
			})
		})
	}
}

// TestDatacentreOutKeepsCoverage checks that a drained data centre gets no requests and that the replicas elsewhere cover all shards.
func TestDatacentreOutKeepsCoverage(t *testing.T) {
	withCluster(t, func(s *Cluster) {
		require.NoError(t, s.ApplySetting("out", []string{"odense"}))
		a, err := s.Hosts[0].Engine.Run(t.Context(), query.Request{Service: Service, Payload: []byte("salt")})
		require.NoError(t, err)
		requireAnswerTo(t, a, "salt")
		require.Empty(t, a.Missing)
		for i := 1; i < len(s.Targets); i += len(places) {
			require.Zero(t, s.Targets[i].Stats().Served)
		}
	})
}

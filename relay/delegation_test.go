package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/pool"
)

// setRegionalRoute installs a route over 20 shards whose targets are alternately in the engine's data centre and in another one of the region. Delegations to the other one are answered by forward.
func (l *testCluster) setRegionalRoute(forward func(*Request) (*Answer, error)) {
	l.setFanoutRoute(20, 0.89)
	l.view.Services = nil
	l.view = l.view.Merge(l.view.Listing(time.Now()), time.Now(), time.Time{})
	for i := range 20 {
		s := fmt.Sprintf("s%02d", i)
		near := l.view.Services[s][0]
		near.Region = "r0"
		near.Datacentre = fmt.Sprintf("dc%d", i%2)
		l.view.Services[s] = l.view.Services[s][:1]
	}
	l.engine.SetDelegates(Delegates{
		Available: func(datacentre string) bool { return datacentre == "dc1" },
		Forward:   func(_ context.Context, _ string, r *Request, _ time.Time) (*Answer, error) { return forward(r) },
	})
}

// mergedAnswer returns a merged answer for the first n shards of a request.
func mergedAnswer(r *Request, n int) *Answer {
	a := &Answer{Status: http.StatusOK, Merged: true, Missing: len(r.Shards) - n, Body: recordFrom("zzz")}
	for i := range n {
		a.Signatures = append(a.Signatures, fmt.Sprint("helped", r.Shards[i]))
	}
	return a
}

// TestShardsOfAnotherDatacentreAreDelegated checks that shards in another data centre of the region are requested with one message and that the answer counts each shard once.
func TestShardsOfAnotherDatacentreAreDelegated(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		var asked *Request
		l.setRegionalRoute(func(r *Request) (*Answer, error) {
			asked = r
			return mergedAnswer(r, len(r.Shards)), nil
		})
		a, _ := l.request("/all/1")
		require.Nil(t, a.Fault)
		require.Len(t, a.Signatures, 20)
		require.Zero(t, a.Missing)
		require.Equal(t, 10, l.sent())
		require.Equal(t, []int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19}, asked.Shards)
		require.Equal(t, l.config.Version, asked.Version)
		require.Equal(t, recordFrom("zzz"), a.Body[:recordSize])
	})
}

// TestDelegationOutcomes checks that declined and unsent delegations are sent to targets from here, and that lost ones are not repeated.
func TestDelegationOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		forward func(*Request) (*Answer, error)
		missing int
		kind    fault.Kind
		sends   int
	}{
		{
			name:    "one shard missing",
			forward: func(r *Request) (*Answer, error) { return mergedAnswer(r, 9), nil },
			missing: 1,
			sends:   10,
		},
		{
			name:    "connection refused",
			forward: func(*Request) (*Answer, error) { return nil, &pool.Error{Err: errors.New("refused")} },
			sends:   20,
		},
		{
			name:    "host declines",
			forward: func(*Request) (*Answer, error) { return &Answer{Declined: true}, nil },
			sends:   20,
		},
		{
			name:    "too few targets answer there",
			forward: func(*Request) (*Answer, error) { return &Answer{Status: http.StatusServiceUnavailable}, nil },
			sends:   20,
		},
		{
			name:    "connection lost after sending",
			forward: func(*Request) (*Answer, error) { return nil, &pool.Error{Sent: true, Err: errors.New("reset")} },
			kind:    fault.Failed,
			sends:   10,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(l *testCluster) {
				l.setRegionalRoute(tc.forward)
				a, took := l.request("/all/1")
				require.Less(t, took, objective)
				require.Equal(t, tc.sends, l.sent())
				if tc.kind != 0 {
					require.Equal(t, tc.kind, a.Fault.Kind)
					require.False(t, a.Fault.NotRun())
					return
				}
				require.Nil(t, a.Fault)
				require.Equal(t, tc.missing, a.Missing)
			})
		})
	}
}

// TestDelegatedRequestAsksOnlyNamedShards checks that a request for named shards asks only these, and is refused if it names another configuration version or an unknown shard.
func TestDelegatedRequestAsksOnlyNamedShards(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		r := &Request{ID: "q", Host: "h", Path: "/all/1", TimeLeft: deadline, Shards: []int{2, 4, 6}, Version: l.config.Version}
		a := l.engine.Handle(context.Background(), r)
		require.Nil(t, a.Fault)
		require.Len(t, a.Signatures, 3)
		require.Equal(t, 3, l.sent())
		r.Version++
		require.Equal(t, fault.Starting, l.engine.Handle(context.Background(), r).Fault.Kind)
		r.Version, r.Shards = l.config.Version, []int{20}
		require.Equal(t, fault.Invalid, l.engine.Handle(context.Background(), r).Fault.Kind)
	})
}

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

// regional puts a route over 20 shards into force, with targets by turns in the own and in another data centre of the region, and a helper there.
func (l *fleet) regional(help func(*Request) (*Answer, error)) {
	l.fanout(20, 0.89)
	l.view.Services = nil
	l.view = l.view.Merge(l.view.Listing(), time.Now(), time.Time{})
	for i := range 20 {
		s := fmt.Sprintf("s%02d", i)
		near := l.view.Services[s][0]
		near.Region = "r0"
		near.Datacentre = fmt.Sprintf("dc%d", i%2)
		l.view.Services[s] = l.view.Services[s][:1]
	}
	l.engine.SetHelpers(Helpers{
		Has: func(datacentre string) bool { return datacentre == "dc1" },
		Ask: func(_ context.Context, _ string, r *Request, _ time.Time) (*Answer, error) { return help(r) },
	})
}

// mergedOf answers for the first n of the shards that are asked for.
func mergedOf(r *Request, n int) *Answer {
	a := &Answer{Status: http.StatusOK, Merged: true, Missing: len(r.Shards) - n, Body: recordOf("zzz")}
	for i := range n {
		a.Signatures = append(a.Signatures, fmt.Sprint("helped", r.Shards[i]))
	}
	return a
}

// TestManyShardsInAnotherDatacentre are merged there: one message goes between the data centres, and the answer counts each shard once.
func TestManyShardsInAnotherDatacentre(t *testing.T) {
	withFleet(t, func(l *fleet) {
		var asked *Request
		l.regional(func(r *Request) (*Answer, error) {
			asked = r
			return mergedOf(r, len(r.Shards)), nil
		})
		a, _ := l.ask("/all/1")
		require.Nil(t, a.Fault)
		require.Len(t, a.Signatures, 20)
		require.Zero(t, a.Missing)
		require.Equal(t, 10, l.sent())
		require.Equal(t, []int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19}, asked.Shards)
		require.Equal(t, l.config.Version, asked.Version)
		require.Equal(t, recordOf("zzz"), a.Body[:recordSize])
	})
}

func TestHelpersOutcomes(t *testing.T) {
	for _, one := range []struct {
		name    string
		help    func(*Request) (*Answer, error)
		missing int
		kind    fault.Kind
		sends   int
	}{
		{
			name:    "one shard is missing there",
			help:    func(r *Request) (*Answer, error) { return mergedOf(r, 9), nil },
			missing: 1,
			sends:   10,
		},
		{
			name:  "nobody listens",
			help:  func(*Request) (*Answer, error) { return nil, &pool.Error{Err: errors.New("refused")} },
			sends: 20,
		},
		{
			name:  "it is behind",
			help:  func(*Request) (*Answer, error) { return &Answer{Aside: true}, nil },
			sends: 20,
		},
		{
			name:  "too few targets answer it",
			help:  func(*Request) (*Answer, error) { return &Answer{Status: http.StatusServiceUnavailable}, nil },
			sends: 20,
		},
		{
			name:  "it is lost after it was asked",
			help:  func(*Request) (*Answer, error) { return nil, &pool.Error{Sent: true, Err: errors.New("reset")} },
			kind:  fault.Failed,
			sends: 10,
		},
	} {
		t.Run(one.name, func(t *testing.T) {
			withFleet(t, func(l *fleet) {
				l.regional(one.help)
				a, took := l.ask("/all/1")
				require.Less(t, took, aim)
				require.Equal(t, one.sends, l.sent())
				if one.kind != 0 {
					require.Equal(t, one.kind, a.Fault.Kind)
					require.False(t, a.Fault.NotRun())
					return
				}
				require.Nil(t, a.Fault)
				require.Equal(t, one.missing, a.Missing)
			})
		})
	}
}

// TestPartOfARequest asks only the shards that are named, and none where they are from another version.
func TestPartOfARequest(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		r := &Request{ID: "q", Host: "h", Path: "/all/1", Left: deadline, Shards: []int{2, 4, 6}, Version: l.config.Version}
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

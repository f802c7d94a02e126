package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/route"
)

func TestSingleRequestTable(t *testing.T) {
	for _, one := range []struct {
		name       string
		idempotent bool
		acts       []behaviour
		status     int
		kind       fault.Kind
		notRun     bool
		sends      int
	}{
		{name: "answered", idempotent: true, acts: []behaviour{nil, nil}, status: 200, sends: 1},
		{name: "idempotent, lost answer", idempotent: true, acts: []behaviour{breaks, nil}, status: 200, sends: 2},
		{name: "not idempotent, lost answer", acts: []behaviour{breaks, nil}, kind: fault.Failed, sends: 1},
		{name: "not idempotent, shed", acts: []behaviour{sheds, nil}, status: 200, sends: 2},
		{name: "not idempotent, nobody listens", acts: []behaviour{closed, nil}, status: 200, sends: 2},
		{name: "not idempotent, shed by all", acts: []behaviour{sheds, sheds}, kind: fault.Overload, notRun: true, sends: 4},
		{name: "not idempotent, shed, then lost", acts: []behaviour{sheds, breaks}, kind: fault.Failed, sends: 2},
		{name: "idempotent, one target that fails", idempotent: true, acts: []behaviour{breaks}, kind: fault.Failed, sends: 4},
	} {
		t.Run(one.name, func(t *testing.T) {
			withFleet(t, func(l *fleet) {
				l.one(one.idempotent, 2)
				for i, act := range one.acts {
					l.add("one", i, act)
				}
				a, took := l.ask("/one/1")
				require.Less(t, took, aim)
				require.Equal(t, one.sends, l.sent())
				if one.kind != 0 {
					require.Equal(t, one.kind, a.Fault.Kind)
					require.Equal(t, one.notRun, a.Fault.NotRun())
					return
				}
				require.Nil(t, a.Fault)
				require.Equal(t, one.status, a.Status)
				require.NotEmpty(t, a.Signature)
			})
		})
	}
}

// TestSilentTarget of a request that may not be repeated is waited for, and what it did stays unknown.
func TestSilentTarget(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.one(false, 2)
		l.add("one", 0, silent)
		l.add("one", 1, nil)
		a, took := l.ask("/one/1")
		require.Equal(t, fault.TooLate, a.Fault.Kind)
		require.False(t, a.Fault.NotRun())
		require.Less(t, took, deadline)
		require.Equal(t, 1, l.sent())
	})
}

func TestTargetsOwnFailureIsPassedOn(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.one(true, 1)
		l.add("one", 0, func() (time.Duration, *Reply, error) {
			return time.Millisecond, &Reply{Status: 500, Signature: "x", Body: []byte("broken")}, nil
		})
		a, _ := l.ask("/one/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 500, a.Status)
		require.Equal(t, "x", a.Signature)
	})
}

// TestSuccessWithoutSignature proves nothing and is no answer.
func TestSuccessWithoutSignature(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.one(true, 2)
		l.add("one", 0, func() (time.Duration, *Reply, error) {
			return time.Millisecond, &Reply{Status: http.StatusOK}, nil
		})
		l.add("one", 1, nil)
		a, _ := l.ask("/one/1")
		require.Nil(t, a.Fault)
		require.NotEmpty(t, a.Signature)
	})
}

func TestRefusals(t *testing.T) {
	withFleet(t, func(l *fleet) {
		a, _ := l.ask("/one/1")
		require.Equal(t, fault.Starting, a.Fault.Kind)
		l.one(true, 2)
		a, _ = l.ask("/two/1")
		require.Equal(t, fault.NoService, a.Fault.Kind)
		a, took := l.ask("/one/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
		require.Zero(t, took)
	})
}

func TestSharesFollowTheWeights(t *testing.T) {
	var dealt turns
	r := &route.Route{Name: "r", Shares: []route.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	got := map[string]int{}
	for range 400 {
		got[dealt.next(r)]++
	}
	require.Equal(t, map[string]int{"a": 300, "b": 100}, got)
}

// TestColdTargetsGetTheirShare counts the requests of one second to a cold target.
func TestColdTargetsGetTheirShare(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.one(true, 1)
		l.config.Services["one"] = route.Service{Name: "one", ColdRate: 10}
		l.hosts = 2
		id := l.add("one", 0, answers(time.Millisecond, "x"))
		l.view.Entries[id].ColdUntil = time.Now().Add(time.Minute)
		for range 40 {
			l.ask("/one/1")
			time.Sleep(time.Millisecond)
		}
		require.LessOrEqual(t, l.sentTo(id), (10*3/2+5)/l.hosts)
		require.Positive(t, l.sentTo(id))
	})
}

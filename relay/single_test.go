package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/poison"
	"kingcupcross/roster"
	"kingcupcross/route"
)

// TestSingleRequestTable checks, for requests to a single service, when another sub-request is sent and what the caller is told.
func TestSingleRequestTable(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		behaviours []behaviour
		status     int
		kind       fault.Kind
		notRun     bool
		sends      int
	}{
		{name: "answered", idempotent: true, behaviours: []behaviour{nil, nil}, status: 200, sends: 1},
		{name: "idempotent, connection lost", idempotent: true, behaviours: []behaviour{losesConnection, nil}, status: 200, sends: 2},
		{name: "not idempotent, connection lost", behaviours: []behaviour{losesConnection, nil}, kind: fault.Failed, sends: 1},
		{name: "not idempotent, refused", behaviours: []behaviour{refusesWithoutRunning, nil}, status: 200, sends: 2},
		{name: "not idempotent, connection refused", behaviours: []behaviour{refusesConnection, nil}, status: 200, sends: 2},
		{name: "not idempotent, refused by all", behaviours: []behaviour{refusesWithoutRunning, refusesWithoutRunning}, kind: fault.Overload, notRun: true, sends: 4},
		{name: "not idempotent, refused, then connection lost", behaviours: []behaviour{refusesWithoutRunning, losesConnection}, kind: fault.Failed, sends: 2},
		{name: "idempotent, only target fails", idempotent: true, behaviours: []behaviour{losesConnection}, kind: fault.Failed, sends: 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(l *testCluster) {
				l.setSingleRoute(tc.idempotent, 2)
				for i, behave := range tc.behaviours {
					l.addTarget("one", i, behave)
				}
				a, took := l.request("/one/1")
				require.Less(t, took, objective)
				require.Equal(t, tc.sends, l.sent())
				if tc.kind != 0 {
					require.Equal(t, tc.kind, a.Fault.Kind)
					require.Equal(t, tc.notRun, a.Fault.NotRun())
					return
				}
				require.Nil(t, a.Fault)
				require.Equal(t, tc.status, a.Status)
				require.NotEmpty(t, a.Signature)
			})
		})
	}
}

// TestFailureNamesTheLastReply guards against a caller that is told that a request failed without the target and the reply that it failed by.
func TestFailureNamesTheLastReply(t *testing.T) {
	for text, reply := range map[string]*Reply{
		"one-0-0: status 200 without a signature":              {Status: 200},
		"one-0-0: status 503, not run":                         {Status: 503, NotRun: true},
		"one-0-0: status 421 of another target at its address": {Status: 421, WrongTarget: true},
	} {
		withCluster(t, func(l *testCluster) {
			l.setSingleRoute(false, 1)
			l.addTarget("one", 0, func() (time.Duration, *Reply, error) { return time.Millisecond, reply, nil })
			a, _ := l.request("/one/1")
			require.NotNil(t, a.Fault)
			require.Contains(t, a.Fault.Text, "; last: "+text)
		})
	}
}

// TestNonIdempotentRequestIsNotRepeatedOnSilence checks that a request that must not be repeated waits for its silent target, and that the failure does not claim that it did not run.
func TestNonIdempotentRequestIsNotRepeatedOnSilence(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(false, 2)
		l.addTarget("one", 0, neverAnswers)
		l.addTarget("one", 1, nil)
		a, took := l.request("/one/1")
		require.Equal(t, fault.TooLate, a.Fault.Kind)
		require.False(t, a.Fault.NotRun())
		require.Less(t, took, deadline)
		require.Equal(t, 1, l.sent())
	})
}

func TestTargetErrorIsPassedOn(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 1)
		l.addTarget("one", 0, func() (time.Duration, *Reply, error) {
			return time.Millisecond, &Reply{Status: 500, Signature: "x", Body: []byte("broken")}, nil
		})
		a, _ := l.request("/one/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 500, a.Status)
		require.Equal(t, "x", a.Signature)
	})
}

// TestUnsignedSuccessIsRetried checks that a success without a signature is not accepted as an answer.
func TestUnsignedSuccessIsRetried(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 2)
		l.addTarget("one", 0, func() (time.Duration, *Reply, error) {
			return time.Millisecond, &Reply{Status: http.StatusOK}, nil
		})
		l.addTarget("one", 1, nil)
		a, _ := l.request("/one/1")
		require.Nil(t, a.Fault)
		require.NotEmpty(t, a.Signature)
	})
}

// TestUnsignedErrorIsNoAnswer guards against callers getting the 404 of a server that has taken the address of a target which ended, after which they stay away, or its 503, which promises that the request hasn't run: only a signature shows that a target has answered.
func TestUnsignedErrorIsNoAnswer(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		for _, idempotent := range []bool{true, false} {
			withCluster(t, func(l *testCluster) {
				l.setSingleRoute(idempotent, 2)
				other := l.addTarget("one", 0, func() (time.Duration, *Reply, error) {
					return time.Millisecond, &Reply{Status: status, Body: []byte("no such page")}, nil
				})
				content := contentOf("/one/1")
				l.engine.poison.Registry.RecordCrashes(content, []roster.Process{{ID: "ended"}}, false)
				// A suspect is tried after a pause.
				time.Sleep(2 * time.Second)
				a, _ := l.request("/one/1")
				require.NotNil(t, a.Fault, status)
				require.Equal(t, fault.Failed, a.Fault.Kind)
				require.False(t, a.Fault.NotRun())
				require.Equal(t, poison.Suspect, l.engine.poison.Registry.State(content), "an unsigned reply clears nothing")
				if !idempotent {
					return
				}
				l.addTarget("one", 1, nil)
				for range 20 {
					a, _ = l.request("/one/2")
					require.Nil(t, a.Fault, status)
					require.Equal(t, http.StatusOK, a.Status)
				}
				require.Less(t, l.sentTo(other), 15, "the target that answers is preferred")
			})
		}
	}
}

// TestRefusals checks the fault without a configuration, without a matching route and without targets.
func TestRefusals(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		a, _ := l.request("/one/1")
		require.Equal(t, fault.Starting, a.Fault.Kind)
		l.setSingleRoute(true, 2)
		a, _ = l.request("/two/1")
		require.Equal(t, fault.NoService, a.Fault.Kind)
		a, took := l.request("/one/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
		require.Zero(t, took)
	})
}

func TestTrafficSplitFollowsWeights(t *testing.T) {
	var splitter trafficSplitter
	r := &route.Route{Name: "r", Shares: []route.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	counts := map[string]int{}
	for range 400 {
		counts[splitter.next(r)]++
	}
	require.Equal(t, map[string]int{"a": 300, "b": 100}, counts)
}

// TestColdTargetRateIsBounded checks the number of requests to a cold target within one second.
func TestColdTargetRateIsBounded(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setSingleRoute(true, 1)
		l.config.Services["one"] = route.Service{Name: "one", ColdRate: 10}
		l.hosts = 2
		id := l.addTarget("one", 0, answersAfter(time.Millisecond, "x"))
		l.view.Entries[id].ColdUntil = time.Now().Add(time.Minute)
		for range 40 {
			l.request("/one/1")
			time.Sleep(time.Millisecond)
		}
		require.LessOrEqual(t, l.sentTo(id), (10*3/2+5)/l.hosts)
		require.Positive(t, l.sentTo(id))
	})
}

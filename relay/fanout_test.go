package relay

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/rank"
	"kingcupcross/roster"
)

func TestFanoutMergesAllShards(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		a, took := l.request("/all/1")
		require.Nil(t, a.Fault)
		require.Equal(t, http.StatusOK, a.Status)
		require.Len(t, a.Signatures, 20)
		require.Zero(t, a.Missing)
		require.Len(t, a.Body, 5*recordSize)
		require.Greater(t, firstNumber(a.Body), firstNumber(a.Body[recordSize:]))
		require.Less(t, took, 15*time.Millisecond)
		require.Equal(t, 20, l.sent())
	})
}

// TestPausedTargetIsHedged checks that a paused target is hedged in time for a complete answer, at the cost of one extra sub-request.
func TestPausedTargetIsHedged(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		l.setBehaviour("s03", 0, func() (time.Duration, *Reply, error) {
			_, r, err := answersAfter(0, "late")()
			return 200 * time.Millisecond, r, err
		})
		a, took := l.request("/all/1")
		require.Nil(t, a.Fault)
		require.Zero(t, a.Missing)
		require.Less(t, took, objective)
		require.Equal(t, 21, l.sent())
	})
}

// TestAnswerOmitsSilentShardAtObjective checks that an answer is sent at the latency objective without a silent shard, and states that it is missing.
func TestAnswerOmitsSilentShardAtObjective(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		l.setBehaviour("s03", 0, neverAnswers)
		l.setBehaviour("s03", 1, neverAnswers)
		a, took := l.request("/all/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 1, a.Missing)
		require.Len(t, a.Signatures, 19)
		require.Equal(t, objective-answerMargin, took)
	})
}

// TestUnreachableShardDoesNotDelayAnswer checks that the answer does not wait for the latency objective when the missing shard is known to be unreachable.
func TestUnreachableShardDoesNotDelayAnswer(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		l.setBehaviour("s03", 0, refusesConnection)
		l.setBehaviour("s03", 1, refusesConnection)
		a, took := l.request("/all/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 1, a.Missing)
		require.Less(t, took, objective-answerMargin)
	})
}

// TestTooManyShardsWithoutTargetAreRefused checks that a query with too few available shards is refused at once, with a retry delay and without running anything.
func TestTooManyShardsWithoutTargetAreRefused(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		for i := range 3 {
			delete(l.view.Services, fmt.Sprintf("s%02d", i))
		}
		a, took := l.request("/all/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
		require.True(t, a.Fault.NotRun())
		require.Positive(t, a.Fault.RetryAfter())
		require.Zero(t, took)
		require.Zero(t, l.sent())
	})
}

// TestTooManyShardsFail checks that a query fails as soon as it can no longer succeed, and does not claim that nothing ran.
func TestTooManyShardsFail(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		for i := range 3 {
			l.setBehaviour(fmt.Sprintf("s%02d", i), 0, losesConnection)
			l.setBehaviour(fmt.Sprintf("s%02d", i), 1, losesConnection)
		}
		a, took := l.request("/all/1")
		require.Equal(t, fault.Failed, a.Fault.Kind)
		require.False(t, a.Fault.NotRun())
		require.Less(t, took, objective)
	})
}

// TestLateAnswerIsDeliveredBeforeDeadline checks that a query continues past the latency objective if it has too few parts by then.
func TestLateAnswerIsDeliveredBeforeDeadline(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		for i := range 10 {
			slow := answersAfter(400*time.Millisecond, fmt.Sprint("slow", i))
			l.setBehaviour(fmt.Sprintf("s%02d", i), 0, slow)
			l.setBehaviour(fmt.Sprintf("s%02d", i), 1, slow)
		}
		a, took := l.request("/all/1")
		require.Nil(t, a.Fault)
		require.GreaterOrEqual(t, len(a.Signatures), 18)
		require.Greater(t, took, objective)
		require.Less(t, took, deadline)
	})
}

// TestManyPausedTargets checks that hedges stay within the budget: the share of the service's requests plus this host's portion of the slack.
func TestManyPausedTargets(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(10, 0.5)
		for i := range 10 {
			l.setBehaviour(fmt.Sprintf("s%02d", i), 0, neverAnswers)
			l.setBehaviour(fmt.Sprintf("s%02d", i), 1, neverAnswers)
		}
		const queries = 40
		for range queries {
			// A query within a probe period would be refused at once, because no target responds.
			time.Sleep(probePeriod)
			a, _ := l.request("/all/1")
			require.Contains(t, []fault.Kind{fault.TooLate, fault.Failed}, a.Fault.Kind)
		}
		extra := l.sent() - queries*10
		require.LessOrEqual(t, float64(extra), 10*(0.2*queries+50/float64(l.hosts)))
		require.Positive(t, extra)
	})
}

func TestDisabledDatacentresAndRegionsGetNoRequests(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(4, 1)
		l.outDatacentres["dc0"] = true
		a, _ := l.request("/all/1")
		require.Nil(t, a.Fault)
		for _, e := range l.view.Entries {
			require.Equal(t, e.Datacentre == "dc1", l.sentTo(e.ID) == 1, e.ID)
		}
		l.config.Routes[0].Regions = []string{"r0"}
		a, _ = l.request("/all/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
	})
}

// TestCallerDisconnectCancelsSubRequests checks that sub-requests are cancelled shortly after the caller disconnects, and that this does not count against the targets.
func TestCallerDisconnectCancelsSubRequests(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(4, 1)
		for i := range 4 {
			l.setBehaviour(fmt.Sprintf("s%02d", i), 0, neverAnswers)
			l.setBehaviour(fmt.Sprintf("s%02d", i), 1, neverAnswers)
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		start := time.Now()
		a := l.engine.Handle(ctx, &Request{ID: "q", Method: "GET", Host: "h", Path: "/all/1", URI: "/all/1"})
		require.NotNil(t, a.Fault)
		require.Equal(t, 20*time.Millisecond, time.Since(start))
		time.Sleep(cancelledLinger + time.Millisecond)
		for _, e := range l.view.Entries {
			r := l.engine.estimatorOf(e)
			require.Less(t, r.Estimate(time.Now(), 2), time.Second)
		}
	})
}

func TestTopRecords(t *testing.T) {
	record := func(b byte) []byte { return bytes.Repeat([]byte{b}, recordSize) }
	var first, second []byte
	for _, b := range []byte{3, 9, 9, 1} {
		first = append(first, record(b)...)
	}
	second = append(append(second, record(200)...), 255, 255)
	got := topRecords([][]byte{first, second}, 4)
	var want []byte
	for _, b := range []byte{200, 9, 9, 3} {
		want = append(want, record(b)...)
	}
	require.Equal(t, want, got)
	require.Empty(t, topRecords(nil, 4))
}

// TestStalledTargetWithVaryingLatencyIsHedgedInTime guards against a hedge that comes too late for the latency objective because the first target's varying latencies put its overdue time too far out.
func TestStalledTargetWithVaryingLatencyIsHedgedInTime(t *testing.T) {
	withCluster(t, func(l *testCluster) {
		l.setFanoutRoute(20, 0.89)
		near, far := l.view.Services["s03"][0], l.view.Services["s03"][1]
		learn := func(e *roster.Entry, took time.Duration) {
			r := l.engine.estimatorOf(e)
			f := r.Begin(time.Now())
			time.Sleep(took)
			r.End(f, time.Now(), rank.Answered)
		}
		for range 10 {
			learn(near, 10*time.Millisecond)
			learn(near, 80*time.Millisecond)
			learn(far, 60*time.Millisecond)
		}
		require.Greater(t, l.engine.estimatorOf(near).OverdueAfter(time.Now()), objective-answerMargin-60*time.Millisecond)
		l.setBehaviour("s03", 0, neverAnswers)
		l.setBehaviour("s03", 1, answersAfter(60*time.Millisecond, "far"))
		a, took := l.request("/all/1")
		require.Nil(t, a.Fault)
		require.Zero(t, a.Missing)
		require.Less(t, took, objective)
	})
}

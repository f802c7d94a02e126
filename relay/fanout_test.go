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

func TestWholeAnswer(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		a, took := l.ask("/all/1")
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

// TestPausedTarget answers whole within the objective although a target pauses: the other replica is asked, at the cost of one sub-request.
func TestPausedTarget(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		l.set("s03", 0, func() (time.Duration, *Reply, error) {
			_, r, err := answers(0, "late")()
			return 200 * time.Millisecond, r, err
		})
		a, took := l.ask("/all/1")
		require.Nil(t, a.Fault)
		require.Zero(t, a.Missing)
		require.Less(t, took, aim)
		require.Equal(t, 21, l.sent())
	})
}

// TestSilentShard goes out at the objective with the parts there are and says that one is missing.
func TestSilentShard(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		l.set("s03", 0, silent)
		l.set("s03", 1, silent)
		a, took := l.ask("/all/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 1, a.Missing)
		require.Len(t, a.Signatures, 19)
		require.Equal(t, aim-answerMargin, took)
	})
}

// TestShardsThatCannotBeReached are known to be lost, so that the answer doesn't wait for the objective.
func TestShardsThatCannotBeReached(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		l.set("s03", 0, closed)
		l.set("s03", 1, closed)
		a, took := l.ask("/all/1")
		require.Nil(t, a.Fault)
		require.Equal(t, 1, a.Missing)
		require.Less(t, took, aim-answerMargin)
	})
}

// TestTooManyShardsWithoutTarget is refused at once, with when to come back, and nothing has run.
func TestTooManyShardsWithoutTarget(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		for i := range 3 {
			delete(l.view.Services, fmt.Sprintf("s%02d", i))
		}
		a, took := l.ask("/all/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
		require.True(t, a.Fault.NotRun())
		require.Positive(t, a.Fault.RetryAfter())
		require.Zero(t, took)
		require.Zero(t, l.sent())
	})
}

// TestTooManyShardsFail ends as soon as the answer can't come any more, and doesn't say that nothing ran.
func TestTooManyShardsFail(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		for i := range 3 {
			l.set(fmt.Sprintf("s%02d", i), 0, breaks)
			l.set(fmt.Sprintf("s%02d", i), 1, breaks)
		}
		a, took := l.ask("/all/1")
		require.Equal(t, fault.Failed, a.Fault.Kind)
		require.False(t, a.Fault.NotRun())
		require.Less(t, took, aim)
	})
}

// TestLateAnswerIsDelivered waits beyond the objective where the parts don't suffice at it.
func TestLateAnswerIsDelivered(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		for i := range 10 {
			slow := answers(400*time.Millisecond, fmt.Sprint("slow", i))
			l.set(fmt.Sprintf("s%02d", i), 0, slow)
			l.set(fmt.Sprintf("s%02d", i), 1, slow)
		}
		a, took := l.ask("/all/1")
		require.Nil(t, a.Fault)
		require.GreaterOrEqual(t, len(a.Signatures), 18)
		require.Greater(t, took, aim)
		require.Less(t, took, deadline)
	})
}

// TestManyPausedTargets stays within the budget: extra sub-requests to a service never exceed the share of its requests and the host's part of the slack.
func TestManyPausedTargets(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(10, 0.5)
		for i := range 10 {
			l.set(fmt.Sprintf("s%02d", i), 0, silent)
			l.set(fmt.Sprintf("s%02d", i), 1, silent)
		}
		const queries = 40
		for range queries {
			// One that comes sooner is refused at once, since nothing answers.
			time.Sleep(probePeriod)
			a, _ := l.ask("/all/1")
			require.Contains(t, []fault.Kind{fault.TooLate, fault.Failed}, a.Fault.Kind)
		}
		extra := l.sent() - queries*10
		require.LessOrEqual(t, float64(extra), 10*(0.2*queries+50/float64(l.hosts)))
		require.Positive(t, extra)
	})
}

func TestDatacentresOutAndRegionsNotAllowedGetNothing(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(4, 1)
		l.out["dc0"] = true
		a, _ := l.ask("/all/1")
		require.Nil(t, a.Fault)
		for _, e := range l.view.Entries {
			require.Equal(t, e.Datacentre == "dc1", l.sentTo(e.ID) == 1, e.ID)
		}
		l.config.Routes[0].Regions = []string{"r0"}
		a, _ = l.ask("/all/1")
		require.Equal(t, fault.NoReplica, a.Fault.Kind)
	})
}

// TestCallerThatLeaves ends the work at the targets shortly after.
func TestCallerThatLeaves(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(4, 1)
		for i := range 4 {
			l.set(fmt.Sprintf("s%02d", i), 0, silent)
			l.set(fmt.Sprintf("s%02d", i), 1, silent)
		}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		start := time.Now()
		a := l.engine.Handle(ctx, &Request{ID: "q", Method: "GET", Host: "h", Path: "/all/1", URI: "/all/1"})
		require.NotNil(t, a.Fault)
		require.Equal(t, 20*time.Millisecond, time.Since(start))
		time.Sleep(goneLinger + time.Millisecond)
		for _, e := range l.view.Entries {
			r := l.engine.rank(e)
			require.Less(t, r.Estimate(time.Now(), 2), time.Second)
		}
	})
}

func TestGreatestRecords(t *testing.T) {
	record := func(b byte) []byte { return bytes.Repeat([]byte{b}, recordSize) }
	var first, second []byte
	for _, b := range []byte{3, 9, 9, 1} {
		first = append(first, record(b)...)
	}
	second = append(append(second, record(200)...), 255, 255)
	got := greatest([][]byte{first, second}, 4)
	var want []byte
	for _, b := range []byte{200, 9, 9, 3} {
		want = append(want, record(b)...)
	}
	require.Equal(t, want, got)
	require.Empty(t, greatest(nil, 4))
}

// TestUnsteadyTargetThatStalls is given up on while another can still answer by the objective, although its own latencies would allow for longer.
func TestUnsteadyTargetThatStalls(t *testing.T) {
	withFleet(t, func(l *fleet) {
		l.fanout(20, 0.89)
		near, far := l.view.Services["s03"][0], l.view.Services["s03"][1]
		learn := func(e *roster.Entry, took time.Duration) {
			r := l.engine.rank(e)
			f := r.Begin(time.Now())
			time.Sleep(took)
			r.End(f, time.Now(), rank.Answered)
		}
		for range 10 {
			learn(near, 10*time.Millisecond)
			learn(near, 80*time.Millisecond)
			learn(far, 60*time.Millisecond)
		}
		require.Greater(t, l.engine.rank(near).OverdueAfter(time.Now()), aim-answerMargin-60*time.Millisecond)
		l.set("s03", 0, silent)
		l.set("s03", 1, answers(60*time.Millisecond, "far"))
		a, took := l.ask("/all/1")
		require.Nil(t, a.Fault)
		require.Zero(t, a.Missing)
		require.Less(t, took, aim)
	})
}

package front

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/relay"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// TestStoppingHostTakesOnlyWhatItCanFinish guards against requests that a stopping host begins although their time ends after its process, at any moment of the grace.
func TestStoppingHostTakesOnlyWhatItCanFinish(t *testing.T) {
	const remaining = 5700 * time.Millisecond
	config, err := route.New(route.Config{
		Version: 1,
		Routes: []route.Route{{
			Host:    "h",
			Prefix:  "/",
			Timeout: 2500 * time.Millisecond,
			Shares:  []route.WeightedService{{Service: "s", Weight: 1}},
		}},
	})
	require.NoError(t, err)
	for _, left := range []time.Duration{0, 50 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second, time.Hour} {
		clock, control := timer.NewManualClock(time.Unix(0, 0))
		n := newFinisher(clock, func() *route.Config { return config })
		need := 2500 * time.Millisecond
		if left > 0 {
			need = min(need, left)
		}
		begun := 0
		handle := n.wrap(func(context.Context, *relay.Request) *relay.Answer {
			begun++
			return &relay.Answer{Status: 200}
		})
		ask := func(host string) *relay.Answer {
			return handle(n.requests, &relay.Request{Host: host, Path: "/x", TimeLeft: left})
		}
		require.Nil(t, ask("h").Fault, "before the stop")
		began := clock.Now()
		n.begin(began.Add(remaining))
		for clock.Since(began) < remaining {
			before, fits := begun, clock.Since(began)+need <= remaining-answerMargin
			a := ask("h")
			require.Equal(t, fits, a.Fault == nil, "%s left at %s", left, clock.Since(began))
			require.Equal(t, fits, begun > before)
			if !fits {
				require.Equal(t, fault.Leaving, a.Fault.Kind)
				require.True(t, a.Fault.NotRun())
			}
			require.Equal(t, clock.Since(began) <= remaining-answerMargin, ask("no route").Fault == nil, "what needs no work takes no time")
			control.Advance(10 * time.Millisecond)
		}
	}
}

// TestRequestInFlightIsAnsweredAtTheEndOfTheGrace guards against requests that were begun before the stop and are cut off at its end: they get an answer that promises nothing.
func TestRequestInFlightIsAnsweredAtTheEndOfTheGrace(t *testing.T) {
	clock, control := timer.NewManualClock(time.Unix(0, 0))
	n := newFinisher(clock, func() *route.Config { return nil })
	answers := make(chan *relay.Answer)
	started := make(chan struct{})
	handle := n.wrap(func(ctx context.Context, _ *relay.Request) *relay.Answer {
		close(started)
		<-ctx.Done()
		return &relay.Answer{Fault: fault.New(fault.TooLate, "the caller has left")}
	})
	go func() { answers <- handle(n.requests, &relay.Request{}) }()
	<-started
	n.begin(clock.Now().Add(time.Second))
	control.Advance(time.Second - answerMargin)
	a := <-answers
	require.False(t, a.Fault.NotRun())
	require.Contains(t, a.Fault.Text, "has to stop")
	left, cancel := context.WithCancelCause(context.Background())
	cancel(context.Canceled)
	require.False(t, errors.Is(context.Cause(left), errStopped))
}

// TestStoppingHostDeclinesForwardedRequests guards against requests of other hosts on connections that close under them: they are declined while the listener is still open.
func TestStoppingHostDeclinesForwardedRequests(t *testing.T) {
	n := newFinisher(timer.New(), func() *route.Config { return nil })
	handle := n.wrapForwarded(func(context.Context, *relay.Request) *relay.Answer { return &relay.Answer{Status: 200} })
	require.Nil(t, handle(context.Background(), &relay.Request{}).Fault)
	n.declines.Store(true)
	require.Equal(t, fault.Leaving, handle(context.Background(), &relay.Request{}).Fault.Kind)
}

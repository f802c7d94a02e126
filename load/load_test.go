package load

import (
	"bytes"
	"context"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/timer"
	"kingcupcross/units"
)

// newPlan returns a plan with the given maximum numbers of arrivals and of queries in flight.
func newPlan(count, inFlight int) Plan {
	return Plan{
		Name:  "test",
		Rate:  100,
		Count: count,
		Time:  units.Duration(time.Minute),
		Drain: units.Duration(time.Second),
		Cap:   inFlight,
		Seed:  7,
	}
}

// runPlan runs a plan on a manual clock and returns the report. It advances the clock whenever the sender sleeps or advance returns true.
func runPlan(t *testing.T, p Plan, advance func() bool, query func(*timer.ManualClock) Query) *Report {
	t.Helper()
	clock, manual := timer.NewManualClock(time.Unix(1000, 0))
	r := New(clock, p, query(manual))
	done := make(chan *Report)
	go func() {
		report, err := r.Run(context.Background())
		if err != nil {
			panic(err)
		}
		done <- report
	}()
	for {
		select {
		case report := <-done:
			return report
		default:
		}
		// One waiter on the clock is the timeout of the run; a second one means that the sender sleeps.
		if manual.PendingCalls() > 1 || advance() {
			manual.Advance(time.Millisecond)
		}
		runtime.Gosched()
	}
}

// neverAdvance makes runPlan advance the clock only while the sender sleeps.
func neverAdvance() bool { return false }

func TestArrivalsAreDeterministicAndBounded(t *testing.T) {
	p := newPlan(1000, 1)
	require.Equal(t, p.arrivalTimes(), p.arrivalTimes())
	require.Len(t, p.arrivalTimes(), 1000)
	otherSeed := p
	otherSeed.Seed++
	require.NotEqual(t, p.arrivalTimes(), otherSeed.arrivalTimes())
	p.Time = units.Duration(time.Second)
	require.InDelta(t, 100, len(p.arrivalTimes()), 40)
	for _, a := range p.arrivalTimes() {
		require.LessOrEqual(t, a, time.Second)
	}
}

// TestLatencyCountsFromIntendedStart guards against coordinated omission. Queries arrive faster than they are served one at a time,
// so the latency of each must include its wait for the earlier ones.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	const serviceTime = 20 * time.Millisecond
	report := runPlan(t, newPlan(200, 1), neverAdvance, func(manual *timer.ManualClock) Query {
		return func(context.Context) Outcome {
			manual.Advance(serviceTime)
			return Outcome{Shards: 4, Answered: 4, First: 2, Extra: 1}
		}
	})
	require.Equal(t, 200, report.Answered)
	require.Greater(t, report.Answers.P99.D(), 50*serviceTime, "latency must include the wait for earlier queries, not just the service time")
	require.Equal(t, Load{Extra: 0.5, Shard: 0.75}, report.Load)
	require.Equal(t, Coverage{Mean: 1, Lowest: 1, Whole: 1}, report.Coverage)
}

func TestOutcomesAreCounted(t *testing.T) {
	outcomes := []Outcome{
		{Shards: 10, Answered: 10},
		{Shards: 10, Answered: 5},
		{Refused: "overload"},
		{Lost: true},
		{Wrong: true, Shards: 10, Answered: 10},
	}
	var next atomic.Int64
	report := runPlan(t, newPlan(len(outcomes), 1), neverAdvance, func(*timer.ManualClock) Query {
		return func(context.Context) Outcome { return outcomes[next.Add(1)-1] }
	})
	require.Equal(t, 3, report.Answered)
	require.Equal(t, map[string]int{"overload": 1}, report.Refusals)
	require.Equal(t, 1, report.Lost)
	require.Equal(t, 1, report.Wrong)
	require.InDelta(t, 2.5/3, report.Coverage.Mean, 1e-9)
	require.Equal(t, 0.5, report.Coverage.Lowest)
	require.InDelta(t, 2.0/3, report.Coverage.Whole, 1e-9)
	require.Zero(t, report.Load)
}

// TestRunEndCountsOpenQueriesAsLostAndWaitingAsUnsent checks the counts when all queries in flight hang until the run ends.
func TestRunEndCountsOpenQueriesAsLostAndWaitingAsUnsent(t *testing.T) {
	p := newPlan(50, 2)
	p.Time = units.Duration(time.Second)
	var open atomic.Int64
	atCap := func() bool { return open.Load() == int64(p.Cap) }
	report := runPlan(t, p, atCap, func(*timer.ManualClock) Query {
		return func(ctx context.Context) Outcome {
			open.Add(1)
			<-ctx.Done()
			return Outcome{Lost: true}
		}
	})
	require.Equal(t, 2, report.Lost)
	require.Equal(t, report.Arrivals-2, report.Unsent)
}

func TestSavedReportIsComparedWithLaterOne(t *testing.T) {
	first := &Report{Plan: newPlan(1, 1), Answered: 10, Refusals: map[string]int{"out": 2}, Answers: Quantiles{P99: units.Duration(100 * time.Millisecond)}}
	name := filepath.Join(t.TempDir(), "run.json")
	require.NoError(t, first.Save(name))
	read, err := Read(name)
	require.NoError(t, err)
	require.Equal(t, first, read)
	second := &Report{Plan: newPlan(1, 1), Answered: 10, Answers: Quantiles{P99: units.Duration(150 * time.Millisecond)}}
	var out bytes.Buffer
	require.NoError(t, second.Compare(&out, read))
	require.Regexp(t, `p99 +100ms +150ms +1\.500`, out.String())
	require.Regexp(t, `out +2 +- +-`, out.String())
}

func TestCheckNamesInvalidField(t *testing.T) {
	for name, change := range map[string]func(*Plan){
		"rate":  func(p *Plan) { p.Rate = 0 },
		"count": func(p *Plan) { p.Count = 0 },
		"time":  func(p *Plan) { p.Time = 0 },
		"cap":   func(p *Plan) { p.Cap = 0 },
	} {
		p := newPlan(1, 1)
		change(&p)
		require.ErrorContains(t, p.Check(), name)
	}
}

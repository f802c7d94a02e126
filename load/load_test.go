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

func planOf(count, room int) Plan {
	return Plan{
		Name:  "test",
		Rate:  100,
		Count: count,
		Time:  units.Duration(time.Minute),
		Drain: units.Duration(time.Second),
		Cap:   room,
		Seed:  7,
	}
}

// withRun runs a plan on a manual clock, which moves on while the sender sleeps or more says so.
func withRun(t *testing.T, p Plan, more func() bool, query func(*timer.ManualClock) Query) *Report {
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
		// One call that waits is the end of the run, a second one the sender's sleep.
		if manual.PendingCalls() > 1 || more() {
			manual.Advance(time.Millisecond)
		}
		runtime.Gosched()
	}
}

func never() bool { return false }

func TestArrivalsAreFixedBySeedAndBounded(t *testing.T) {
	p := planOf(1000, 1)
	require.Equal(t, p.arrivals(), p.arrivals())
	require.Len(t, p.arrivals(), 1000)
	other := p
	other.Seed++
	require.NotEqual(t, p.arrivals(), other.arrivals())
	p.Time = units.Duration(time.Second)
	require.InDelta(t, 100, len(p.arrivals()), 40)
	for _, a := range p.arrivals() {
		require.LessOrEqual(t, a, time.Second)
	}
}

// TestLatencyCountsFromIntendedStart sends arrivals faster than one slot takes: the wait for the slot has to show.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	const work = 20 * time.Millisecond
	report := withRun(t, planOf(200, 1), never, func(manual *timer.ManualClock) Query {
		return func(context.Context) Outcome {
			manual.Advance(work)
			return Outcome{Shards: 4, Answered: 4, First: 2, Extra: 1}
		}
	})
	require.Equal(t, 200, report.Answered)
	require.Greater(t, report.Answers.P99.D(), 50*work, "each query takes one work by itself, but waits for those before it")
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
	report := withRun(t, planOf(len(outcomes), 1), never, func(*timer.ManualClock) Query {
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

func TestRunEndsWithOpenQueriesLostAndOthersUnsent(t *testing.T) {
	p := planOf(50, 2)
	p.Time = units.Duration(time.Second)
	var open atomic.Int64
	full := func() bool { return open.Load() == int64(p.Cap) }
	report := withRun(t, p, full, func(*timer.ManualClock) Query {
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
	first := &Report{Plan: planOf(1, 1), Answered: 10, Refusals: map[string]int{"out": 2}, Answers: Quantiles{P99: units.Duration(100 * time.Millisecond)}}
	name := filepath.Join(t.TempDir(), "run.json")
	require.NoError(t, first.Save(name))
	read, err := Read(name)
	require.NoError(t, err)
	require.Equal(t, first, read)
	second := &Report{Plan: planOf(1, 1), Answered: 10, Answers: Quantiles{P99: units.Duration(150 * time.Millisecond)}}
	var out bytes.Buffer
	require.NoError(t, second.Compare(&out, read))
	require.Regexp(t, `p99 +100ms +150ms +1\.500`, out.String())
	require.Regexp(t, `out +2 +- +-`, out.String())
}

func TestPlansThatCannotRun(t *testing.T) {
	for name, change := range map[string]func(*Plan){
		"rate":  func(p *Plan) { p.Rate = 0 },
		"count": func(p *Plan) { p.Count = 0 },
		"time":  func(p *Plan) { p.Time = 0 },
		"cap":   func(p *Plan) { p.Cap = 0 },
	} {
		p := planOf(1, 1)
		change(&p)
		require.ErrorContains(t, p.Check(), name)
	}
}

package load

import (
	"context"
	"sync"
	"time"

	"kingcupcross/timer"
	"kingcupcross/units"
)

// Runner sends the queries of one plan and measures their outcomes.
type Runner struct {
	clock *timer.Clock
	plan  Plan
	query Query
	// Progress, if not nil, is called periodically during the run and once at its end.
	Progress func(Progress)
	// ProgressPeriod is the time between two calls of Progress.
	ProgressPeriod time.Duration
}

// defaultProgressPeriod is the time between two calls of Progress of a new Runner.
const defaultProgressPeriod = time.Second

// New returns a runner that sends the plan's queries by calling query, concurrently from several goroutines.
func New(clock *timer.Clock, p Plan, query Query) *Runner {
	return &Runner{
		clock:          clock,
		plan:           p,
		query:          query,
		ProgressPeriod: defaultProgressPeriod,
	}
}

// Run sends all queries and waits for their answers. If the context ends first, the report covers the queries that were sent.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	if err := r.plan.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := r.clock.WithTimeout(ctx, r.plan.Time.D()+r.plan.Drain.D())
	defer cancel()
	arrivals := r.plan.arrivalTimes()
	c := newCollector(len(arrivals))
	start := r.clock.Now()
	stopProgress := r.startProgress(start, c)
	r.sendAll(ctx, start, arrivals, c)
	stopProgress()
	report := c.report(r.plan)
	report.Elapsed = units.Duration(r.clock.Since(start))
	return report, nil
}

// sendAll sends each query at its arrival time, or as soon as fewer than Plan.Cap queries are in flight, and waits until all have finished.
func (r *Runner) sendAll(ctx context.Context, start time.Time, arrivals []time.Duration, c *collector) {
	var group sync.WaitGroup
	defer group.Wait()
	inFlight := make(chan struct{}, r.plan.Cap)
	for _, a := range arrivals {
		intended := start.Add(a)
		if wait := intended.Sub(r.clock.Now()); wait > 0 && r.clock.Sleep(ctx, wait) != nil {
			return
		}
		select {
		case inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		c.recordSent()
		group.Go(func() {
			o := r.query(ctx)
			// Latency counts from the intended start, so that queueing behind slow queries is included (no coordinated omission).
			c.recordOutcome(o, r.clock.Since(intended))
			<-inFlight
		})
	}
}

// startProgress reports the progress periodically until the returned function is called, which reports it once more.
func (r *Runner) startProgress(start time.Time, c *collector) (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	tick := r.clock.Every(r.ProgressPeriod)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-tick.C:
				r.Progress(c.snapshot(r.clock.Since(start)))
			case <-done:
				return
			}
		}
	})
	return func() {
		tick.Stop()
		close(done)
		group.Wait()
		r.Progress(c.snapshot(r.clock.Since(start)))
	}
}

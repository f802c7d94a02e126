package load

import (
	"context"
	"sync"
	"time"

	"kingcupcross/timer"
	"kingcupcross/units"
)

// Runner carries out one plan.
type Runner struct {
	clock *timer.Clock
	plan  Plan
	query Query
	// Progress is called about once a Period while the run goes on, and once at its end; nil shows none.
	Progress func(Progress)
	// Period is the time between two calls of Progress.
	Period time.Duration
}

const defaultPeriod = time.Second

// New returns a runner that sends the plan's queries by calling query, from several goroutines at once.
func New(clock *timer.Clock, p Plan, query Query) *Runner {
	return &Runner{
		clock:  clock,
		plan:   p,
		query:  query,
		Period: defaultPeriod,
	}
}

// Run sends all queries and waits for their answers; the report covers what was sent also where the context ends first.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	if err := r.plan.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := r.clock.WithTimeout(ctx, r.plan.Time.D()+r.plan.Drain.D())
	defer cancel()
	arrivals := r.plan.arrivals()
	c := newCollector(len(arrivals))
	start := r.clock.Now()
	stop := r.report(start, c)
	r.send(ctx, start, arrivals, c)
	stop()
	report := c.report(r.plan)
	report.Elapsed = units.Duration(r.clock.Since(start))
	return report, nil
}

// send starts each query at its time, or as soon as there is room, and waits for all of them.
func (r *Runner) send(ctx context.Context, start time.Time, arrivals []time.Duration, c *collector) {
	var group sync.WaitGroup
	defer group.Wait()
	room := make(chan struct{}, r.plan.Cap)
	for _, a := range arrivals {
		at := start.Add(a)
		if wait := at.Sub(r.clock.Now()); wait > 0 && r.clock.Sleep(ctx, wait) != nil {
			return
		}
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return
		}
		c.begin()
		group.Go(func() {
			o := r.query(ctx)
			// The time counts from the intended start, so that a slow system can't hide the wait of later arrivals.
			c.end(o, r.clock.Since(at))
			<-room
		})
	}
}

// report shows the progress until the returned function is called.
func (r *Runner) report(start time.Time, c *collector) (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	tick := r.clock.Every(r.Period)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-tick.C:
				r.Progress(c.progress(r.clock.Since(start)))
			case <-done:
				return
			}
		}
	})
	return func() {
		tick.Stop()
		close(done)
		group.Wait()
		r.Progress(c.progress(r.clock.Since(start)))
	}
}

package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/fault"
	"kingcupcross/poison"
	"kingcupcross/pool"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

const (
	// bystanderHosts is the number of hosts that share the targets, and tellingTime the time that a message between them takes.
	bystanderHosts = 9
	tellingTime    = 5 * time.Millisecond
)

// hostGroup is a number of hosts that share targets and tell each other of requests that end them.
type hostGroup struct {
	*endingTargets
	ctx     context.Context
	engines []*Engine
	// delegating lets hosts of one data centre answer for the parts of another.
	delegating bool
}

// withHostGroup runs f with several hosts over the same targets.
func withHostGroup(t *testing.T, f func(*hostGroup)) {
	withEndingTargets(t, func(c *endingTargets) {
		g := &hostGroup{endingTargets: c}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g.ctx = ctx
		for n := range bystanderHosts {
			g.engines = append(g.engines, g.newHost(n))
		}
		f(g)
	})
}

// newHost returns an engine whose registry is in touch with those of all others.
func (g *hostGroup) newHost(n int) *Engine {
	location := g.engine.location
	location.Datacentre = fmt.Sprintf("dc%d", n%2)
	e := New(timer.New(), location, g.engine.state, g.engine.limits, g.endingTargets.send, zap.NewNop(), tally.NoopScope)
	r := poison.NewRegistry(timer.New(), zap.NewNop(), tally.NoopScope)
	e.SetPoisonControl(PoisonControl{
		Registry: r,
		Ended:    g.check,
		Reached:  g.reached,
	})
	e.SetDelegates(Delegates{
		Available: func(string) bool { return g.delegating },
		Forward: func(ctx context.Context, datacentre string, r *Request, _ time.Time) (*Answer, error) {
			for _, other := range g.hosts() {
				if other.location.Datacentre == datacentre {
					forwarded := *r
					forwarded.Origin = "origin"
					return other.Handle(ctx, &forwarded), nil
				}
			}
			return nil, &pool.Error{Err: errors.New("no host there")}
		},
	})
	go func() {
		for {
			select {
			case <-r.Changes():
			case <-g.ctx.Done():
				return
			}
			records := r.TakeChanged()
			time.Sleep(tellingTime)
			for _, other := range g.hosts() {
				if other != e {
					other.poison.Registry.Learn(records)
				}
			}
		}
	}()
	return e
}

// hosts returns the hosts of the group.
func (g *hostGroup) hosts() []*Engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.engines)
}

// startAgain replaces a host by one that has just started and knows what the others know.
func (g *hostGroup) startAgain(n int) {
	e := g.newHost(n)
	for _, other := range g.hosts() {
		e.poison.Registry.Learn(other.poison.Registry.Records())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engines[n] = e
}

// setOneService sets a route to one service with seven targets, which work for some time on each request.
func (g *hostGroup) setOneService(idempotent bool, work time.Duration) {
	g.setConfig(map[string]route.Service{"one": {Name: "one", Conns: 110}}, route.Route{
		Name:       "one",
		Host:       "h",
		Prefix:     "/one/",
		Idempotent: idempotent,
		Timeout:    2500 * time.Millisecond,
		Aim:        time.Second,
		Attempts:   2,
		Shares:     g.onlyService("one"),
	})
	g.restartWork = work
	for i := range 7 {
		id := g.addTarget("one", i%3, nil)
		g.behaviours[id] = answersAfter(work, id)
	}
}

// ask sends a request to the nth host.
func (g *hostGroup) ask(n int, method, path string) *Answer {
	hosts := g.hosts()
	return hosts[n%len(hosts)].Handle(context.Background(), &Request{
		ID:       "q",
		Method:   method,
		Host:     "h",
		Path:     path,
		URI:      path,
		TimeLeft: 2500 * time.Millisecond,
	})
}

// crashAll ends all targets one after the other.
func (g *hostGroup) crashAll(gap time.Duration) {
	for _, all := range g.currentView().Services {
		for _, e := range all {
			g.end(e.ID)
			time.Sleep(gap)
		}
	}
}

// takeAddresses has another server take the addresses of some targets.
func (g *hostGroup) takeAddresses(n int) {
	entries := g.currentView().Services["one"]
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range entries[:n] {
		g.taken[e.ID] = true
	}
}

// outcomes counts what callers got from a time on.
type outcomes struct {
	mu             sync.Mutex
	served, failed int
	denied         int
	lastFault      *fault.Error
}

// count adds an answer.
func (o *outcomes) count(a *Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.Fault != nil {
		o.lastFault = a.Fault
	}
	switch {
	case a.Fault == nil && a.Status < 300:
		o.served++
	case a.Fault == nil && a.Status < 500:
		o.denied++
	case a.Fault == nil:
		o.failed++
	case fault.Describe(a.Fault.Kind).Status < 500 && a.Fault.Kind != fault.Overload:
		o.denied++
	default:
		o.failed++
	}
}

// servedCount returns the number of answers so far.
func (o *outcomes) servedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served
}

// TestPageBesideCrashesIsNotRefused guards against a page that many callers ask for being refused after its targets have crashed for another reason, with 400 at any time, or at all once the targets are back.
func TestPageBesideCrashesIsNotRefused(t *testing.T) {
	for _, tt := range []struct {
		name string
		// gap is the time between two crashes, waves the number of times that all targets crash.
		gap   time.Duration
		waves int
		// alone leaves out the requests for other pages.
		alone bool
		// unknown has callers ask for the page only from the moment of the crashes on.
		unknown bool
		orders  bool
		// shards has the page come from all shards, delegated with parts that hosts of another data centre answer for.
		shards, delegated bool
		// taken is the number of targets whose addresses another server takes until they are back.
		taken int
		// restarts has hosts start again while the targets are away.
		restarts bool
		work     time.Duration
		// wait is the time after the targets are back from which the page must be served, a run and some more if it is zero.
		wait time.Duration
	}{
		{name: "one shortly after the other", gap: 35 * time.Millisecond, waves: 1, work: 250 * time.Millisecond},
		{name: "page alone", gap: 35 * time.Millisecond, waves: 1, alone: true, work: 250 * time.Millisecond},
		{name: "never asked for before", gap: 35 * time.Millisecond, waves: 1, alone: true, unknown: true, work: 250 * time.Millisecond},
		{name: "orders", gap: 35 * time.Millisecond, waves: 1, orders: true, work: 250 * time.Millisecond},
		{name: "shards", gap: 5 * time.Millisecond, waves: 1, shards: true, work: 60 * time.Millisecond},
		{name: "shards, page alone", gap: time.Millisecond, waves: 2, shards: true, alone: true, unknown: true, work: 60 * time.Millisecond},
		{name: "parts of other hosts", gap: time.Millisecond, waves: 2, shards: true, delegated: true, work: 60 * time.Millisecond},
		{name: "another server at an address", gap: 35 * time.Millisecond, waves: 1, taken: 1, work: 250 * time.Millisecond},
		{name: "another server at most addresses", gap: 35 * time.Millisecond, waves: 2, taken: 5, work: 250 * time.Millisecond},
		{name: "orders, another server at an address", gap: 35 * time.Millisecond, waves: 1, taken: 1, orders: true, work: 250 * time.Millisecond},
		{name: "hosts that start", gap: 35 * time.Millisecond, waves: 2, restarts: true, work: 250 * time.Millisecond},
		{name: "some hundred ms apart", gap: 300 * time.Millisecond, waves: 1, work: 540 * time.Millisecond},
		{name: "half a second apart", gap: 500 * time.Millisecond, waves: 2, alone: true, work: 540 * time.Millisecond},
		{name: "most of a second apart", gap: 800 * time.Millisecond, waves: 2, alone: true, unknown: true, work: 540 * time.Millisecond, wait: 4 * time.Second},
		{name: "waves", gap: 35 * time.Millisecond, waves: 4, work: 250 * time.Millisecond},
		{name: "slow waves", gap: 300 * time.Millisecond, waves: 4, alone: true, work: 540 * time.Millisecond},
		{name: "waves that hit each run", gap: 5 * time.Millisecond, waves: 4, alone: true, unknown: true, work: 700 * time.Millisecond, wait: 4 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withHostGroup(t, func(g *hostGroup) {
				prefix := "/one/"
				if tt.shards {
					prefix = "/all/"
					g.setFanoutRoute(20, 0.89)
					for _, e := range g.view.Entries {
						e.Region = "r0"
						g.behaviours[e.ID] = answersAfter(tt.work, e.ID)
					}
					g.delegating = tt.delegated
				} else {
					g.setOneService(!tt.orders, tt.work)
				}
				g.restartWork = tt.work
				method := "GET"
				if tt.orders {
					method = "POST"
				}
				var during, after outcomes
				count := &during
				var mu sync.Mutex
				stop := make(chan struct{})
				var callers sync.WaitGroup
				crashed := make(chan struct{})
				callers.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(45 * time.Millisecond):
						}
						path := prefix + "popular"
						if tt.unknown {
							select {
							case <-crashed:
							default:
								continue
							}
						}
						if n%6 == 0 {
							if tt.alone {
								continue
							}
							path = fmt.Sprint(prefix, n)
						}
						mu.Lock()
						o := count
						mu.Unlock()
						callers.Go(func() { o.count(g.ask(n, method, path)) })
					}
				})
				time.Sleep(3 * time.Second)
				close(crashed)
				if tt.unknown {
					time.Sleep(200 * time.Millisecond)
				}
				for range tt.waves {
					g.crashAll(tt.gap)
					g.takeAddresses(tt.taken)
					if tt.restarts {
						for n := range 4 {
							g.startAgain(n)
						}
					}
					time.Sleep(3500 * time.Millisecond)
					g.restart()
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(max(tt.wait, tt.work+300*time.Millisecond))
				mu.Lock()
				count = &after
				mu.Unlock()
				time.Sleep(10 * time.Second)
				close(stop)
				callers.Wait()
				synctest.Wait()
				require.Zero(t, during.denied)
				require.Zero(t, after.denied)
				require.Zero(t, after.failed, "%d were served, the latest fault is %v", after.served, after.lastFault)
				require.Greater(t, after.served, 150)
			})
		})
	}
}

// TestDeadlyRequestsBesideAPageDontHaveItRefused guards against a caller who has the page of others refused by crashing targets with requests of its own, each of another content, while the page runs there.
func TestDeadlyRequestsBesideAPageDontHaveItRefused(t *testing.T) {
	withHostGroup(t, func(g *hostGroup) {
		g.setOneService(true, 250*time.Millisecond)
		var page outcomes
		var callers sync.WaitGroup
		for n := range 600 {
			if n%80 > 40 {
				// The other half of the time, targets start.
				path := fmt.Sprintf("/one/%s/%d", deadlyMark, n)
				callers.Go(func() { g.ask(n, "GET", path) })
			}
			if n%80 == 0 {
				g.restart()
			}
			callers.Go(func() { page.count(g.ask(n, "GET", "/one/popular")) })
			time.Sleep(45 * time.Millisecond)
		}
		callers.Wait()
		require.Zero(t, page.denied)
		require.Greater(t, page.served, 150, "of 600")
	})
}

// TestTrialBesideOtherEndsProvesNothing guards against a page being quarantined because its targets crash once more while it is being tried.
func TestTrialBesideOtherEndsProvesNothing(t *testing.T) {
	for _, withOther := range []bool{false, true} {
		withEndingTargets(t, func(c *endingTargets) {
			c.setSingleRoute(true, 2)
			c.restartWork = 300 * time.Millisecond
			for i := range 7 {
				c.addTarget("one", i%3, answersAfter(c.restartWork, "one"))
			}
			entries := c.view.Services["one"]
			content := contentOf("/one/page")
			// Three targets have ended under the page before.
			for _, e := range entries[:3] {
				c.end(e.ID)
				c.engine.poison.Registry.RecordCrashes(content, []roster.Process{e.Process()}, false)
			}
			c.restart()
			time.Sleep(time.Second)
			go c.request("/one/page")
			time.Sleep(100 * time.Millisecond)
			tried := ""
			c.mu.Lock()
			for id, running := range c.running {
				if len(running) > 0 {
					tried = id
				}
			}
			c.mu.Unlock()
			require.NotEmpty(t, tried)
			c.end(tried)
			time.Sleep(200 * time.Millisecond)
			expected := poison.Quarantined
			if withOther {
				expected = poison.Suspect
				c.mu.Lock()
				other := slices.IndexFunc(c.view.Services["one"], func(e *roster.Entry) bool { return e.ID != tried })
				c.mu.Unlock()
				c.end(c.currentView().Services["one"][other].ID)
			}
			time.Sleep(settleTime - 100*time.Millisecond)
			require.Equal(t, expected, c.engine.poison.Registry.State(content))
		})
	}
}

// repeatDeadly has callers ask for a deadly page for some time, then mends the page and has them go on for longer. Targets that have ended are back every three seconds. It returns what callers got before and after, the number of targets that ended later than settled after the third one, and the time from the mending to the first answer.
func (g *hostGroup) repeatDeadly(lasts, longer, settled time.Duration) (before, after *outcomes, late int, servedAfter time.Duration) {
	before, after = &outcomes{}, &outcomes{}
	const period = 50 * time.Millisecond
	restarts := int(3 * time.Second / period)
	var callers sync.WaitGroup
	defer callers.Wait()
	var third, mended time.Time
	endsWhenSettled := -1
	for n := range int((lasts + longer) / period) {
		if n%restarts == 0 {
			g.restart()
		}
		g.mu.Lock()
		now := time.Now()
		if g.ends >= 3 && third.IsZero() {
			third = now
		}
		if endsWhenSettled < 0 && !third.IsZero() && now.Sub(third) >= settled {
			endsWhenSettled = g.ends
		}
		if mended.IsZero() && n >= int(lasts/period) {
			g.mended, mended = true, now
		}
		if endsWhenSettled >= 0 {
			late = g.ends - endsWhenSettled
		}
		g.mu.Unlock()
		o := before
		if !mended.IsZero() {
			o = after
		}
		callers.Go(func() { o.count(g.ask(n, "GET", "/one/"+deadlyMark)) })
		time.Sleep(period)
		if servedAfter == 0 && after.servedCount() > 0 {
			servedAfter = time.Since(mended)
		}
	}
	return before, after, late, servedAfter
}

// TestPageIsServedSecondsAfterAnyVerdict guards against callers of a page staying away for good, or for minutes or hours, because each of its runs so far was hit when a target ended: they get no final status, and the page is served seconds after targets go on. Until then few of its copies reach targets.
func TestPageIsServedSecondsAfterAnyVerdict(t *testing.T) {
	const (
		// longestRefusal is the longest time for which one verdict has copies refused.
		longestRefusal = 30 * time.Second
		// settled is the time after the third end from which all hosts know the request, and maxLate the number of copies that may still end targets.
		settled = 4 * time.Second
		maxLate = 3
	)
	for _, idempotent := range []bool{true, false} {
		for _, lasts := range []time.Duration{5 * time.Second, 15 * time.Second, 34 * time.Second} {
			t.Run(fmt.Sprintf("idempotent %t, for %s", idempotent, lasts), func(t *testing.T) {
				withHostGroup(t, func(g *hostGroup) {
					g.setOneService(idempotent, 250*time.Millisecond)
					before, after, late, servedAfter := g.repeatDeadly(lasts, longestRefusal+2*time.Second, settled)
					require.Zero(t, before.denied, "the latest fault is %v", before.lastFault)
					require.Zero(t, after.denied, "the latest fault is %v", after.lastFault)
					require.LessOrEqual(t, late, maxLate)
					require.Positive(t, after.served)
					require.LessOrEqual(t, servedAfter, longestRefusal)
				})
			})
		}
	}
}

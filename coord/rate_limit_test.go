package coord_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/relay"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// The platform's rule: from graceTime after a target first states a rate limit, it gets in no period of rateWindow more than rateTolerance times what the limit allows, plus rateSlack requests.
const (
	graceTime     = 4 * time.Second
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
)

// rateTarget is a simulated target that may state a rate limit.
type rateTarget struct {
	id string
	// limit returns the limit at a time, and whether the target states one.
	limit func(since time.Duration) (perSecond float64, stated bool)

	mu       sync.Mutex
	arrivals []time.Duration
}

// rateHost is one host of a rateFleet.
type rateHost struct {
	member coord.Member
	coord  *coord.Coord
	engine *relay.Engine
	scope  tally.TestScope
}

// rateFleet is a set of hosts with real engines and simulated targets. It runs within a synctest bubble.
type rateFleet struct {
	t       *testing.T
	ctx     context.Context
	start   time.Time
	hosts   []*rateHost
	targets map[string]*rateTarget
	config  *route.Config
	view    *roster.View
	random  *rand.Rand

	mu sync.Mutex
	// served and refused count the callers' requests.
	served, refused int
}

// Latencies of the simulated network and targets.
const (
	linkDelay = 4 * time.Millisecond
	workTime  = 10 * time.Millisecond
)

// withRateFleet runs f with a fleet of hosts in three regions, and a service with several targets in simulated time.
func withRateFleet(t *testing.T, hosts, targets int, f func(*rateFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &rateFleet{
			t:       t,
			ctx:     ctx,
			start:   time.Now(),
			targets: map[string]*rateTarget{},
			view:    roster.Empty(),
			random:  rand.New(rand.NewPCG(1, 2)),
		}
		for i := range targets {
			c.addTarget("s", i)
		}
		var err error
		c.config, err = route.New(route.Config{
			Version:  1,
			Services: map[string]route.Service{"s": {Name: "s", Conns: 1000}},
			Routes: []route.Route{{
				Name:       "one",
				Host:       "h",
				Prefix:     "/one/",
				Idempotent: true,
				Timeout:    time.Second,
				Aim:        100 * time.Millisecond,
				Attempts:   2,
				Shares:     []route.WeightedService{{Service: "s", Weight: 1}},
			}},
		})
		require.NoError(t, err)
		for i := range hosts {
			c.hosts = append(c.hosts, c.newHost(i))
		}
		for _, h := range c.hosts {
			h.coord.SetMembers(c.members())
		}
		f(c)
		cancel()
		time.Sleep(time.Hour)
		synctest.Wait()
	})
}

// addTarget adds a target without a limit.
func (c *rateFleet) addTarget(service string, i int) {
	e := &roster.Entry{Target: roster.Target{
		ID:         fmt.Sprintf("%s-%d", service, i),
		Service:    service,
		Address:    netip.MustParseAddrPort("127.0.0.1:1"),
		Datacentre: fmt.Sprintf("r%dd0", i%3),
		Region:     fmt.Sprintf("r%d", i%3),
		Slots:      20,
	}}
	c.view.Entries[e.ID] = e
	c.view.Services[service] = append(c.view.Services[service], e)
	c.targets[e.ID] = &rateTarget{id: e.ID, limit: unlimited}
}

// unlimited is the limit of a target that states none.
func unlimited(time.Duration) (float64, bool) { return 0, false }

// limitedFrom returns the limit of a target that states perSecond from a time on.
func limitedFrom(from time.Duration, perSecond float64) func(time.Duration) (float64, bool) {
	return func(since time.Duration) (float64, bool) { return perSecond, since >= from }
}

// newHost returns host i with its engine.
func (c *rateFleet) newHost(i int) *rateHost {
	h := &rateHost{
		member: coord.Member{
			Name:       fmt.Sprintf("h%03d", i),
			Datacentre: fmt.Sprintf("r%dd0", i%3),
			Region:     fmt.Sprintf("r%d", i%3),
			Requests:   netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", i/100, i%100+1)),
			Views:      netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:2", i/100, i%100+1)),
			Cores:      1,
		},
		scope: tally.NewTestScope("", nil),
	}
	clock := timer.New()
	h.coord = coord.New(clock, coord.Dependencies{
		Self:   h.member,
		Ping:   func(context.Context, coord.Member) error { return nil },
		Config: func() *route.Config { return c.config },
		View:   func() *roster.View { return c.view },
	}, zap.NewNop(), tally.NoopScope)
	h.engine = relay.New(clock, relay.Location{Datacentre: h.member.Datacentre, Region: h.member.Region}, relay.ClusterState{
		Config:        func() *route.Config { return c.config },
		View:          func() *roster.View { return c.view },
		DatacentreOut: func(string) bool { return false },
		LimitsShare:   h.coord.LimitShare,
		SlotsShare:    func() float64 { return 1 },
	}, relay.Limits{ExtraShare: 0.2, ExtraSlack: 50}, c.send, zap.NewNop(), h.scope)
	return h
}

// members returns the members of all hosts.
func (c *rateFleet) members() []coord.Member {
	var all []coord.Member
	for _, h := range c.hosts {
		all = append(all, h.member)
	}
	return all
}

// send is the engines' sending function: the target answers after workTime and states its limit.
func (c *rateFleet) send(_ context.Context, to *roster.Entry, _ *relay.Request, s relay.SendOptions) (*relay.Reply, error) {
	time.Sleep(linkDelay)
	target := c.targets[to.ID]
	target.mu.Lock()
	target.arrivals = append(target.arrivals, time.Since(c.start))
	target.mu.Unlock()
	time.Sleep(workTime)
	perSecond, stated := target.limit(time.Since(c.start))
	time.Sleep(linkDelay)
	s.OnNotice(relay.TargetNotice{Rate: relay.StatedRate{Known: true, Limited: stated, PerSecond: perSecond}})
	return &relay.Reply{Status: 200, Signature: to.ID}, nil
}

// play has callers send requests to each host at perSecond(host) until a time, at random intervals.
func (c *rateFleet) play(until time.Duration, path string, perSecond func(host int, since time.Duration) float64) {
	var callers sync.WaitGroup
	for time.Since(c.start) < until {
		const step = 5 * time.Millisecond
		for i := range c.hosts {
			if c.random.Float64() < perSecond(i, time.Since(c.start))*step.Seconds() {
				h := c.hosts[i]
				callers.Go(func() { c.request(h, path) })
			}
		}
		time.Sleep(step)
	}
	callers.Wait()
}

// request sends one request of a caller to a host.
func (c *rateFleet) request(h *rateHost, path string) {
	a := h.engine.Handle(c.ctx, &relay.Request{
		ID:       "q",
		Method:   "GET",
		Host:     "h",
		Path:     path,
		URI:      path,
		TimeLeft: time.Second,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Fault != nil {
		c.refused++
	} else {
		c.served++
	}
}

// requireRateKept checks the platform's rule for a target that states a constant limit between two times.
func (c *rateFleet) requireRateKept(id string, from, to time.Duration, perSecond float64) {
	arrivals := c.targets[id].arrivals
	allowed := rateTolerance*perSecond*rateWindow.Seconds() + rateSlack
	most, first := 0, 0
	for i, at := range arrivals {
		if at < from+graceTime || at > to {
			first = i + 1
			continue
		}
		for at-arrivals[first] >= rateWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	require.LessOrEqual(c.t, float64(most), allowed, "requests to %s within %s, of a limit of %g/s", id, rateWindow, perSecond)
}

// TestHostsKeepRateLimitOfTargetTogether guards against hosts that ignore the rate limit that a target states for all hosts together, or each keep it alone.
func TestHostsKeepRateLimitOfTargetTogether(t *testing.T) {
	const from, to = 2 * time.Second, 20 * time.Second
	for _, perSecond := range []float64{1, 3, 7, 25} {
		t.Run(fmt.Sprintf("%g a second", perSecond), func(t *testing.T) {
			withRateFleet(t, 9, 3, func(c *rateFleet) {
				c.targets["s-0"].limit = limitedFrom(from, perSecond)
				c.targets["s-1"].limit = limitedFrom(from, perSecond)
				// The hosts get very different shares of the callers.
				c.play(to, "/one/1", func(host int, _ time.Duration) float64 { return float64(2 + 3*host) })
				c.requireRateKept("s-0", from, to, perSecond)
				c.requireRateKept("s-1", from, to, perSecond)
				require.Zero(t, c.refused, "the third target has no limit")
			})
		})
	}
}

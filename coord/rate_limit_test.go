package coord_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
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

// The platform's rule: from graceTime after a target first states a rate limit, it gets in no period of rateWindow more than rateTolerance times what the limit allows, plus rateSlack requests, from hosts that have had a response with the limit for toldTime.
const (
	graceTime     = 4 * time.Second
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
	toldTime      = 500 * time.Millisecond
)

// rateTarget is a simulated target that may state a rate limit.
type rateTarget struct {
	id string
	// limit returns the limit at a time, and whether the target states one.
	limit func(since time.Duration) (perSecond float64, stated bool)

	mu       sync.Mutex
	arrivals []arrival
	// told holds the time of the first response with a limit, by host.
	told map[*rateHost]time.Duration
	// endTold is the time of the first response without a limit after one with a limit, zero before it.
	endTold time.Duration
}

// arrival is a request that reached a target.
type arrival struct {
	at time.Duration
	// told is set if the sending host had known the limit for toldTime.
	told bool
}

// rateHost is one host of a rateFleet.
type rateHost struct {
	member coord.Member
	coord  *coord.Coord
	engine *relay.Engine
	shares *coord.RateShares
	// stop ends the renewal of the host's shares.
	stop context.CancelFunc
	// cut is set while no other host reaches this one and the other way round.
	cut atomic.Bool
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
	// served and refused count the callers' requests; lastRefused is the time of the last refusal.
	served, refused int
	lastRefused     time.Duration
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
	c.targets[e.ID] = &rateTarget{id: e.ID, limit: unlimited, told: map[*rateHost]time.Duration{}}
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
		RateShare:     func(target string, born time.Time) float64 { return h.shares.Share(target, born) },
	}, relay.Limits{ExtraShare: 0.2, ExtraSlack: 50}, func(_ context.Context, to *roster.Entry, _ *relay.Request, s relay.SendOptions) (*relay.Reply, error) {
		return c.send(h, to, s)
	}, zap.NewNop(), tally.NoopScope)
	h.shares = coord.NewRateShares(clock, h.coord, func(ctx context.Context, to coord.Member, r coord.RateShareRequest) (coord.RateShareReply, error) {
		return c.call(ctx, h, to, r)
	}, h.engine.LearnRateLimits, zap.NewNop(), tally.NoopScope)
	ctx, stop := context.WithCancel(c.ctx)
	h.stop = stop
	go func() {
		for ctx.Err() == nil {
			if demands := h.engine.RateDemands(); len(demands) > 0 {
				h.shares.Renew(ctx, demands)
			}
			time.Sleep(coord.RateSharePeriod)
		}
	}()
	return h
}

// errCut is the error of a call to a host that is cut off.
var errCut = errors.New("no answer")

// call carries a call for shares of rate limits from one host to another.
func (c *rateFleet) call(_ context.Context, from *rateHost, to coord.Member, r coord.RateShareRequest) (coord.RateShareReply, error) {
	time.Sleep(linkDelay)
	c.mu.Lock()
	i := slices.IndexFunc(c.hosts, func(h *rateHost) bool { return h.member.Name == to.Name })
	other := c.hosts[i]
	c.mu.Unlock()
	if from.cut.Load() || other.cut.Load() {
		time.Sleep(150 * time.Millisecond)
		return coord.RateShareReply{}, errCut
	}
	var reply coord.RateShareReply
	err := coord.NewRateService(other.shares).Lease(r, &reply)
	time.Sleep(linkDelay)
	return reply, err
}

// restart replaces host i by a new process that knows the other hosts.
func (c *rateFleet) restart(i int) {
	c.hosts[i].stop()
	h := c.newHost(i)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[i] = h
	h.coord.SetMembers(c.members())
}

// indexOfOwner returns the index of the host that divides the limits of the targets of a region.
func (c *rateFleet) indexOfOwner(region string) int {
	owner := coord.RateOwners(c.members(), region)[0]
	return slices.IndexFunc(c.hosts, func(h *rateHost) bool { return h.member.Name == owner.Name })
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
func (c *rateFleet) send(from *rateHost, to *roster.Entry, s relay.SendOptions) (*relay.Reply, error) {
	time.Sleep(linkDelay)
	target := c.targets[to.ID]
	now := time.Since(c.start)
	target.mu.Lock()
	told, known := target.told[from]
	target.arrivals = append(target.arrivals, arrival{at: now, told: known && now-told >= toldTime})
	target.mu.Unlock()
	time.Sleep(workTime)
	perSecond, stated := target.limit(time.Since(c.start))
	time.Sleep(linkDelay)
	target.mu.Lock()
	if _, known := target.told[from]; stated && !known {
		target.told[from] = time.Since(c.start)
	}
	if !stated && target.endTold == 0 && len(target.told) > 0 {
		target.endTold = time.Since(c.start)
	}
	target.mu.Unlock()
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
				c.mu.Lock()
				h := c.hosts[i]
				c.mu.Unlock()
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
		c.lastRefused = time.Since(c.start)
	} else {
		c.served++
	}
}

// requireRateKept checks the platform's rule for a target that states a constant limit between two times.
func (c *rateFleet) requireRateKept(id string, from, to time.Duration, perSecond float64) {
	var arrivals []time.Duration
	for _, a := range c.targets[id].arrivals {
		if a.told {
			arrivals = append(arrivals, a.at)
		}
	}
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

// arrivalsBetween returns the number of requests that reached a target between two times.
func (c *rateFleet) arrivalsBetween(id string, from, to time.Duration) int {
	n := 0
	for _, a := range c.targets[id].arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
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

// TestRateLimitIsUsedWhereCallersAre guards against equal shares of a rate limit: hosts without callers leave theirs unused, and small ones can't be used at all.
func TestRateLimitIsUsedWhereCallersAre(t *testing.T) {
	const from, moved, to = 2 * time.Second, 14 * time.Second, 26 * time.Second
	atTwo := func(first int) func(int) float64 {
		return func(host int) float64 {
			if host == first || host == first+1 {
				return 40
			}
			return 0
		}
	}
	everywhere := func(int) float64 { return 8 }
	for _, tc := range []struct {
		name          string
		before, after func(host int) float64
	}{
		{name: "at two hosts, then at two others", before: atTwo(0), after: atTwo(6)},
		{name: "at one host of many, then everywhere", before: func(host int) float64 { return 60 * float64(max(1-host, 0)) }, after: everywhere},
		{name: "everywhere, then at two hosts", before: everywhere, after: atTwo(3)},
	} {
		for _, perSecond := range []float64{0.2, 1, 3, 20} {
			t.Run(fmt.Sprintf("%s, %g a second", tc.name, perSecond), func(t *testing.T) {
				withRateFleet(t, 9, 2, func(c *rateFleet) {
					for _, target := range c.targets {
						target.limit = limitedFrom(from, perSecond)
					}
					c.play(to, "/one/1", func(host int, since time.Duration) float64 {
						if since < moved {
							return tc.before(host)
						}
						return tc.after(host)
					})
					for id := range c.targets {
						c.requireRateKept(id, from, to, perSecond)
						for _, period := range [][2]time.Duration{{from + graceTime, moved}, {moved + graceTime, to}} {
							used := float64(c.arrivalsBetween(id, period[0], period[1]))
							// One request may fall on either side of the period.
							require.GreaterOrEqual(t, used+1, 0.75*perSecond*(period[1]-period[0]).Seconds(), "requests to %s from %s to %s, of a limit of %g/s", id, period[0], period[1], perSecond)
						}
					}
				})
			})
		}
	}
}

// TestRateLimitHoldsWhileHostsComeAndGo guards against shares that add up to more than the limit, or to almost nothing, while hosts restart, are cut off or join.
func TestRateLimitHoldsWhileHostsComeAndGo(t *testing.T) {
	const from, to = 2 * time.Second, 40 * time.Second
	for _, tc := range []struct {
		name    string
		trouble func(*rateFleet)
		// minUsed is the fraction of the limit that is used at least.
		minUsed float64
	}{
		{name: "owner restarts", minUsed: 0.6, trouble: func(c *rateFleet) { c.restart(c.indexOfOwner("r0")) }},
		{name: "all restart", minUsed: 0.5, trouble: func(c *rateFleet) {
			for i := range c.hosts {
				c.restart(i)
			}
		}},
		{name: "owner is cut off", minUsed: 0.5, trouble: func(c *rateFleet) {
			owner := c.hosts[c.indexOfOwner("r0")]
			owner.cut.Store(true)
			time.AfterFunc(8*time.Second, func() { owner.cut.Store(false) })
		}},
		{name: "another host is cut off", minUsed: 0.6, trouble: func(c *rateFleet) {
			other := c.hosts[(c.indexOfOwner("r0")+1)%len(c.hosts)]
			other.cut.Store(true)
			time.AfterFunc(8*time.Second, func() { other.cut.Store(false) })
		}},
		{name: "hosts learn of a new owner one after the other", minUsed: 0.5, trouble: func(c *rateFleet) {
			all := slices.DeleteFunc(c.members(), func(m coord.Member) bool { return m.Name == c.hosts[c.indexOfOwner("r0")].member.Name })
			for i, h := range c.hosts {
				time.AfterFunc(time.Duration(i)*400*time.Millisecond, func() { h.coord.SetMembers(all) })
			}
		}},
	} {
		for _, perSecond := range []float64{3, 12} {
			t.Run(fmt.Sprintf("%s, %g a second", tc.name, perSecond), func(t *testing.T) {
				withRateFleet(t, 9, 2, func(c *rateFleet) {
					for _, target := range c.targets {
						target.limit = limitedFrom(from, perSecond)
					}
					for _, at := range []time.Duration{10 * time.Second, 22 * time.Second} {
						time.AfterFunc(at, func() { tc.trouble(c) })
					}
					c.play(to, "/one/1", func(host int, _ time.Duration) float64 { return float64(1 + 2*host) })
					for id := range c.targets {
						c.requireRateKept(id, from, to, perSecond)
						used := float64(c.arrivalsBetween(id, from+graceTime, to))
						require.GreaterOrEqual(t, used, tc.minUsed*perSecond*(to-from-graceTime).Seconds(), "requests to %s, of a limit of %g/s", id, perSecond)
					}
				})
			})
		}
	}
}

// TestEndOfRateLimitReachesHostsWithoutShare guards against hosts that refuse callers for seconds after a limit has ended, because they have no share of it and so no response that shows the end.
func TestEndOfRateLimitReachesHostsWithoutShare(t *testing.T) {
	const from, end = 2 * time.Second, 12 * time.Second
	withRateFleet(t, 9, 2, func(c *rateFleet) {
		for _, target := range c.targets {
			target.limit = func(since time.Duration) (float64, bool) { return 2, since >= from && since < end }
		}
		c.play(end+10*time.Second, "/one/1", func(int, time.Duration) float64 { return 6 })
		// One renewal carries the end to the host that divides the limit, the next one to each other host.
		first := min(c.targets["s-0"].endTold, c.targets["s-1"].endTold)
		require.Positive(t, first)
		require.Less(t, c.lastRefused, first+2*coord.RateSharePeriod+100*time.Millisecond)
	})
}

// TestManyHostsKeepSmallRateLimit guards against hosts that each use a little of a small limit: many of them with one saved request each are several times the limit.
func TestManyHostsKeepSmallRateLimit(t *testing.T) {
	const hosts, from, to, perSecond = 295, 2 * time.Second, 20 * time.Second, 7.0
	for _, tc := range []struct {
		name      string
		perSecond func(host int) float64
	}{
		{name: "all hosts with few callers", perSecond: func(int) float64 { return 0.3 }},
		{name: "callers at some hosts", perSecond: func(host int) float64 {
			if host%12 == 0 {
				return 4
			}
			return 0
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withRateFleet(t, hosts, 2, func(c *rateFleet) {
				for _, target := range c.targets {
					target.limit = limitedFrom(from, perSecond)
				}
				c.play(to, "/one/1", func(host int, _ time.Duration) float64 { return tc.perSecond(host) })
				for id := range c.targets {
					c.requireRateKept(id, from, to, perSecond)
					used := float64(c.arrivalsBetween(id, from+graceTime, to))
					require.GreaterOrEqual(t, used, 0.5*perSecond*(to-from-graceTime).Seconds(), "requests to %s", id)
				}
			})
		})
	}
}

// TestInvalidRateShareMessagesAreRejected guards against a malformed message of another host that sets a share or limit beyond any sense.
func TestInvalidRateShareMessagesAreRejected(t *testing.T) {
	limit := roster.RateLimit{ID: "t", Limited: true, PerSecond: 1}
	nan := math.NaN()
	for _, r := range []coord.RateShareRequest{
		{},
		{Host: "h", Rank: -1},
		{Host: "h", Rank: 100},
		{Host: "h", LimitsShare: 2},
		{Host: "h", LimitsShare: nan},
		{Host: "h", Demands: []relay.RateDemand{{PerSecond: 1}}},
		{Host: "h", Demands: []relay.RateDemand{{Limit: limit, PerSecond: nan}}},
		{Host: "h", Demands: []relay.RateDemand{{Limit: limit, PerSecond: math.Inf(1)}}},
		{Host: "h", Demands: []relay.RateDemand{{Limit: roster.RateLimit{ID: "t", PerSecond: nan}}}},
		{Host: "h", Demands: []relay.RateDemand{{Limit: roster.RateLimit{ID: "t", Age: -1}}}},
	} {
		require.Error(t, r.Validate(), "%+v", r)
	}
	valid := coord.RateShareRequest{Host: "h", Demands: []relay.RateDemand{{Limit: limit, PerSecond: 3}}}
	require.NoError(t, valid.Validate())
	for _, share := range []float64{-1, 1.1, nan} {
		r := coord.RateShareReply{Shares: []coord.RateShare{{Limit: limit, Share: share}}}
		require.Error(t, r.Validate(), "%g", share)
	}
}

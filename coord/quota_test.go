package coord

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/pool"
	"kingcupcross/relay"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

// fleet is a set of hosts that send requests and groups of shards to each other without a network.
type fleet struct {
	all   []Member
	hosts map[string]*Coord
	down  map[string]bool
}

func newFleet(t *testing.T, hosts, regions int) *fleet {
	c := &fleet{
		hosts: map[string]*Coord{},
		down:  map[string]bool{},
	}
	config, err := route.New(route.Config{Version: 1, Routes: []route.Route{{
		Name:       "all",
		Host:       "h",
		Prefix:     "/",
		Idempotent: true,
		Timeout:    time.Second,
		Aim:        100 * time.Millisecond,
		Shares:     []route.WeightedService{{Service: "s", Weight: 1}},
	}}})
	require.NoError(t, err)
	for i := range hosts {
		region := i % regions
		c.all = append(c.all, Member{
			Name:       fmt.Sprintf("h%03d", i),
			Region:     fmt.Sprint("r", region),
			Datacentre: fmt.Sprintf("r%dd%d", region, i/regions%2),
			Requests:   netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", i/100, i%100+1)),
			Views:      netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:2", i/100, i%100+1)),
			Cores:      0.2 + 0.6/float64(1+i/regions/2),
		})
	}
	for _, m := range c.all {
		self := m
		c.hosts[m.Name] = New(timer.New(), Dependencies{
			Self: m,
			AnswerLocally: func(ctx context.Context, r *relay.Request) *relay.Answer {
				host := c.hosts[self.Name]
				for _, d := range []string{self.Region + "d0", self.Region + "d1"} {
					if r.Shards == nil && d != self.Datacentre && host.HasShardProxy(d) {
						group := *r
						group.Shards = []int{1}
						// Where the proxy is down, this host keeps the shards itself.
						_, _ = host.AskShardProxy(ctx, d, &group, time.Now().Add(time.Second))
					}
				}
				return &relay.Answer{Status: 200, Version: 1}
			},
			Send: func(ctx context.Context, to Member, r *relay.Request, _ time.Time) (*relay.Answer, error) {
				if c.down[to.Name] {
					return nil, &pool.Error{Err: errors.New("refused")}
				}
				return c.hosts[to.Name].Answer(ctx, r), nil
			},
			Ping:   func(context.Context, Member) error { return nil },
			Config: func() *route.Config { return config },
			View:   roster.Empty,
		}, zap.NewNop(), tally.NoopScope)
	}
	c.updateMembers()
	return c
}

// updateMembers sets the list of hosts at each host to those that are up.
func (c *fleet) updateMembers() {
	up := slices.DeleteFunc(slices.Clone(c.all), func(m Member) bool { return c.down[m.Name] })
	for _, h := range c.hosts {
		h.SetMembers(up)
	}
}

// totalShare returns the sum of the limit shares of the hosts that are up.
func (c *fleet) totalShare() float64 {
	total := 0.0
	for name, h := range c.hosts {
		if !c.down[name] {
			total += h.LimitShare()
		}
	}
	return total
}

// TestLimitSharesNeverExceedOne guards against limit shares that add up to more than one: while coordinators send each other groups of shards, hosts switch between forwarding and answering, and coordinators change.
func TestLimitSharesNeverExceedOne(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 17))
			c := newFleet(t, 90, 3)
			ask := func(m Member) {
				if !c.down[m.Name] {
					c.hosts[m.Name].Handle(t.Context(), &relay.Request{Host: "h", Path: "/x", TimeLeft: time.Second})
				}
			}
			rounds := 0
			for second := range 90 {
				if second%15 == 14 {
					// In each region one coordinator goes down, so that another takes over, and earlier ones come back.
					clear(c.down)
					for r := range 3 {
						own := Coordinators(c.all, fmt.Sprint("r", r), nil)
						c.down[own[random.IntN(len(own))].Name] = true
					}
					if random.IntN(2) == 0 {
						c.updateMembers()
					}
				}
				for range 4 {
					highLoad := second%30 > 20
					for _, m := range c.all {
						n := random.IntN(2)
						if highLoad && random.IntN(2) == 0 {
							n = 6
						}
						for range n {
							ask(m)
						}
					}
					require.LessOrEqual(t, c.totalShare(), 1.0, "second %d", second)
					rounds++
					time.Sleep(250 * time.Millisecond)
				}
			}
			require.Positive(t, rounds)
			synctest.Wait()
		})
	}
}

// TestCoordinatorsHoldMostLimitShares guards against limit shares that stay unused with hosts that forward their requests.
func TestCoordinatorsHoldMostLimitShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFleet(t, 90, 3)
		for range 8 {
			for _, m := range c.all {
				c.hosts[m.Name].Handle(t.Context(), &relay.Request{Host: "h", Path: "/x", TimeLeft: time.Second})
			}
			time.Sleep(500 * time.Millisecond)
		}
		total := 0.0
		for r := range 3 {
			for _, m := range Coordinators(c.all, fmt.Sprint("r", r), nil) {
				total += c.hosts[m.Name].LimitShare()
			}
		}
		require.GreaterOrEqual(t, total, 0.5)
		synctest.Wait()
	})
}

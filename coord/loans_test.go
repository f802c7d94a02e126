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

// crowd is the hosts of a fleet that send each other requests and groups of shards directly.
type crowd struct {
	all   []Member
	hosts map[string]*Coord
	down  map[string]bool
}

func newCrowd(t *testing.T, hosts, regions int) *crowd {
	c := &crowd{
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
		Shares:     []route.Share{{Service: "s", Weight: 1}},
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
		c.hosts[m.Name] = New(timer.New(), Parts{
			Self: m,
			Local: func(ctx context.Context, r *relay.Request) *relay.Answer {
				host := c.hosts[self.Name]
				for _, d := range []string{self.Region + "d0", self.Region + "d1"} {
					if r.Shards == nil && d != self.Datacentre && host.HasHelper(d) {
						group := *r
						group.Shards = []int{1}
						// A helper that is down leaves the shards to this host.
						_, _ = host.AskHelper(ctx, d, &group, time.Now().Add(time.Second))
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
	c.know()
	return c
}

// know has all hosts know those that are up.
func (c *crowd) know() {
	up := slices.DeleteFunc(slices.Clone(c.all), func(m Member) bool { return c.down[m.Name] })
	for _, h := range c.hosts {
		h.SetMembers(up)
	}
}

// held is the sum of the parts of the limits that the hosts which are up may use.
func (c *crowd) held() float64 {
	total := 0.0
	for name, h := range c.hosts {
		if !c.down[name] {
			total += h.Share()
		}
	}
	return total
}

// TestSharesOfAllHostsAddUp guards against limits over all hosts that are used several times: coordinators that ask each other for groups of shards, hosts that turn from sending requests on to answering them, and coordinators that change.
func TestSharesOfAllHostsAddUp(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 17))
			c := newCrowd(t, 90, 3)
			ask := func(m Member) {
				if !c.down[m.Name] {
					c.hosts[m.Name].Handle(t.Context(), &relay.Request{Host: "h", Path: "/x", Left: time.Second})
				}
			}
			rounds := 0
			for second := range 90 {
				if second%15 == 14 {
					// Of each region's first coordinator another takes over, and earlier ones come back.
					clear(c.down)
					for r := range 3 {
						own := Coordinators(c.all, fmt.Sprint("r", r), nil)
						c.down[own[random.IntN(len(own))].Name] = true
					}
					if random.IntN(2) == 0 {
						c.know()
					}
				}
				for range 4 {
					crowded := second%30 > 20
					for _, m := range c.all {
						n := random.IntN(2)
						if crowded && random.IntN(2) == 0 {
							n = 6
						}
						for range n {
							ask(m)
						}
					}
					require.LessOrEqual(t, c.held(), 1.0, "second %d", second)
					rounds++
					time.Sleep(250 * time.Millisecond)
				}
			}
			require.Positive(t, rounds)
			synctest.Wait()
		})
	}
}

// TestCoordinatorsHoldMostOfTheLimits guards against limits that nobody can use, since they lie with hosts that send their requests on.
func TestCoordinatorsHoldMostOfTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t, 90, 3)
		for range 8 {
			for _, m := range c.all {
				c.hosts[m.Name].Handle(t.Context(), &relay.Request{Host: "h", Path: "/x", Left: time.Second})
			}
			time.Sleep(500 * time.Millisecond)
		}
		held := 0.0
		for r := range 3 {
			for _, m := range Coordinators(c.all, fmt.Sprint("r", r), nil) {
				held += c.hosts[m.Name].Share()
			}
		}
		require.GreaterOrEqual(t, held, 0.5)
		synctest.Wait()
	})
}

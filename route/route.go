package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// WeightedService is a service that gets a weighted share of a route's requests.
type WeightedService struct {
	Service string
	// Weight is the share in proportion to the sum of all weights.
	Weight float64
}

// Route describes how requests for a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Aim is the latency objective.
	Aim time.Duration
	// Attempts is the largest number of targets that one request may be sent to, per shard.
	Attempts int
	// Priority is the rank of the route's requests; zero is the most urgent.
	Priority int
	// Shares are the alternative services: each request goes to one of them.
	Shares []WeightedService
	// Shards are the services of a fan-out route: each request goes to all of them. It is empty for other routes.
	Shards []string
	// Top is the number of records in the merged answer of a fan-out route.
	Top int
	// Least is the fraction of shards, from 0 to 1, that must answer.
	Least float64
	// Regions are the regions in which the route may be served; empty means all.
	Regions []string
}

// Fanout reports whether each request goes to all shards.
func (r *Route) Fanout() bool {
	return len(r.Shards) > 0
}

// Allows reports whether the route may be served in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// RequiredShards returns how many of n shards must answer, at least one.
func (r *Route) RequiredShards(n int) int {
	for k := range n + 1 {
		if float64(k) >= r.Least*float64(n)-roundingError {
			return max(k, 1)
		}
	}
	return n
}

// roundingError keeps a fraction such as 0.89 of 100 shards from being rounded up to one shard more.
const roundingError = 1e-9

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// Conns is the number of connections that each target accepts from all hosts together; zero means unknown.
	Conns int
	// ColdRate is the number of requests a second that a cold target can take; zero means that none is stated.
	ColdRate float64
}

// Limits bounds what a caller may send; zero means no bound.
type Limits struct {
	// Body is the largest request body, in bytes.
	Body int64
}

// Config is one version of the configuration. It is immutable once built.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	// hosts holds the routes by host, those with the longest prefix first.
	hosts map[string][]*Route
}

// New validates and indexes a configuration; an error names the invalid route and the reason.
func New(c Config) (*Config, error) {
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.check(); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, all := range c.hosts {
		slices.SortStableFunc(all, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return &c, nil
}

// check returns an error if the route can't be served.
func (r *Route) check() error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %s is not positive", r.Timeout)
	case len(r.Shares) == 0 && len(r.Shards) == 0:
		return fmt.Errorf("no service is named")
	case r.Fanout() && r.Top <= 0:
		return fmt.Errorf("number of records %d is not positive", r.Top)
	case r.Least < 0 || r.Least > 1:
		return fmt.Errorf("share of shards %g is not from 0 to 1", r.Least)
	}
	return nil
}

// Match returns the route for a host whose prefix is the longest that matches the path, or nil if none does.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func withRoutes(routes ...Route) Config {
	for i := range routes {
		if routes[i].Timeout == 0 {
			routes[i].Timeout = time.Second
		}
	}
	return Config{Version: 1, Routes: routes}
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	c, err := New(withRoutes(
		Route{Name: "short", Host: "a", Prefix: "/x/", Shares: []WeightedService{{Service: "s", Weight: 1}}},
		Route{Name: "long", Host: "a", Prefix: "/x/y/", Shares: []WeightedService{{Service: "s", Weight: 1}}},
		Route{Name: "other", Host: "b", Prefix: "/", Shares: []WeightedService{{Service: "s", Weight: 1}}},
	))
	require.NoError(t, err)
	for _, tc := range []struct{ host, path, want string }{
		{host: "a", path: "/x/1", want: "short"},
		{host: "a", path: "/x/y/1", want: "long"},
		{host: "a", path: "/x/y", want: "short"},
		{host: "a", path: "/x%2Fy/", want: ""},
		{host: "b", path: "/x/", want: "other"},
		{host: "c", path: "/x/", want: ""},
	} {
		r := c.Match(tc.host, tc.path)
		if tc.want == "" {
			require.Nil(t, r, tc.path)
			continue
		}
		require.Equal(t, tc.want, r.Name, tc.path)
	}
}

func TestNewRejectsInvalidRoutes(t *testing.T) {
	for name, r := range map[string]Route{
		"prefix":  {Prefix: "/x", Shares: []WeightedService{{Service: "s"}}},
		"service": {Prefix: "/x/"},
		"records": {Prefix: "/x/", Shards: []string{"s"}},
		"share":   {Prefix: "/x/", Shards: []string{"s"}, Top: 1, Least: 1.1},
	} {
		_, err := New(withRoutes(r))
		require.Error(t, err, name)
	}
}

func TestRequiredShards(t *testing.T) {
	for _, tc := range []struct {
		shards int
		least  float64
		want   int
	}{
		{shards: 20, least: 0.89, want: 18},
		{shards: 100, least: 0.89, want: 89},
		{shards: 20, least: 0.75, want: 15},
		{shards: 3, least: 0, want: 1},
		{shards: 3, least: 1, want: 3},
	} {
		r := Route{Least: tc.least}
		require.Equal(t, tc.want, r.RequiredShards(tc.shards))
	}
}

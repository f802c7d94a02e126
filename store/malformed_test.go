package store_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/mock"
	"kingcupcross/store"
	"kingcupcross/timer"
)

// TestMalformedResponseOfTheStore guards against a store, or another server at its address, whose malformed response is taken for an entry, a change or an accepted write. A write that got one may have taken effect.
func TestMalformedResponseOfTheStore(t *testing.T) {
	server, err := mock.NewCutter()
	require.NoError(t, err)
	t.Cleanup(server.Close)
	const body = `{"revision":7,"hosts":[]}`
	sound := mock.OddResponses("", body)["empty value"]
	for call, do := range map[string]func(*store.Client) error{
		"get":   func(c *store.Client) error { _, _, err := c.Get(ctx, "k"); return err },
		"list":  func(c *store.Client) error { _, err := c.List(ctx, "k", "", 10); return err },
		"watch": func(c *store.Client) error { _, err := c.Watch(ctx, "k", 1, time.Second); return err },
		"hosts": func(c *store.Client) error { _, err := c.Hosts(ctx); return err },
		"put":   func(c *store.Client) error { _, err := c.Put(ctx, "k", store.Write{}); return err },
		"renew": func(c *store.Client) error { return c.KeepAlive(ctx, store.Lease{ID: 1}) },
	} {
		t.Run(call, func(t *testing.T) {
			isWrite := call == "put" || call == "renew"
			for name, response := range mock.BrokenResponses("", body) {
				for _, reused := range []bool{false, true} {
					c := store.New(timer.New(), server.Address)
					if reused {
						server.Answer.Store(&sound)
						require.NoError(t, do(c))
					}
					server.Answer.Store(&response)
					err := do(c)
					require.ErrorContains(t, err, "malformed response: ", name)
					require.True(t, fault.Is(err, fault.Store), name)
					require.Equal(t, isWrite, fault.Of(err).Ran, name)
					server.Answer.Store(&sound)
					require.NoError(t, do(c), name)
					require.False(t, server.IsFollowed(response), "%s, reused %t: the connection is used again", name, reused)
				}
			}
			for name, response := range mock.OddResponses("", body) {
				if name == "status 299" {
					// The store's calls succeed with 200 only.
					continue
				}
				c := store.New(timer.New(), server.Address)
				server.Answer.Store(&response)
				for range 2 {
					require.NoError(t, do(c), name)
				}
			}
		})
	}
}

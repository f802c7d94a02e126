package target_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"kingcupcross/bound"
	"kingcupcross/mock"
	"kingcupcross/target"
)

// newCutter starts a mock target that sends raw responses.
func newCutter(t *testing.T) *mock.Cutter {
	c, err := mock.NewCutter()
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// calls returns the calls of a client and a body that is a success for all of them.
func calls(t *testing.T) (all map[string]func(*target.Client) error, body string) {
	ctx := context.Background()
	order := target.Order{ID: "q1", Service: "silo"}
	encoded, err := json.Marshal(target.OrderReply{
		ID:      order.ID,
		Payload: []byte("done"),
		Sum:     xxhash.Sum64String("done"),
	})
	require.NoError(t, err)
	return map[string]func(*target.Client) error{
		"query": func(c *target.Client) error {
			_, err := c.Query(ctx, target.Query{ID: "q1"})
			return err
		},
		"state": func(c *target.Client) error {
			_, err := c.State(ctx)
			return err
		},
		"cancel": func(c *target.Client) error { return c.Cancel(ctx, "q1") },
		"order": func(c *target.Client) error {
			_, err := c.Order(ctx, ctx, func() error { return nil }, order)
			return err
		},
	}, string(encoded)
}

// TestMalformedResponseIsNoReply guards against a target whose malformed response is taken for a reply, whose connection is used again after it, or that seems to have ended by it. An order of which the body was sent may have run.
func TestMalformedResponseIsNoReply(t *testing.T) {
	all, body := calls(t)
	sound := mock.OddResponses("", body)["empty value"]
	server := newCutter(t)
	for call, do := range all {
		for name, response := range mock.BrokenResponses("", body) {
			for _, reused := range []bool{false, true} {
				var ends atomic.Int64
				c := target.NewClient(server.Address, 2, bound.NewMemory(1<<20))
				c.OnDisconnect(func() { ends.Add(1) })
				if reused {
					server.Answer.Store(&sound)
					require.NoError(t, do(c), call)
				}
				server.Answer.Store(&response)
				err := do(c)
				require.ErrorContains(t, err, "malformed response: ", "%s, %s", call, name)
				if call == "order" {
					var failed *target.SendError
					require.ErrorAs(t, err, &failed)
					require.True(t, failed.Sent)
				}
				server.Answer.Store(&sound)
				require.NoError(t, do(c), "%s, %s", call, name)
				require.False(t, server.IsFollowed(response), "%s, %s, reused %t: the connection is used again", call, name, reused)
				require.Zero(t, ends.Load(), "%s, %s", call, name)
				c.Close()
			}
		}
	}
}

// TestOddResponseIsAReply guards against a check that rejects responses which are unusual and sound.
func TestOddResponseIsAReply(t *testing.T) {
	all, body := calls(t)
	server := newCutter(t)
	for call, do := range all {
		for name, response := range mock.OddResponses("", body) {
			if name == "status 299" {
				// Calls of a target succeed with 200 only.
				continue
			}
			c := target.NewClient(server.Address, 2, bound.NewMemory(1<<20))
			server.Answer.Store(&response)
			for range 2 {
				require.NoError(t, do(c), "%s, %s", call, name)
			}
			c.Close()
		}
	}
}

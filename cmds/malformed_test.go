package cmds

import (
	"context"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"kingcupcross/apiv1"
	"kingcupcross/mock"
)

// TestMalformedResponseFailsACommand guards against a host, or another server at its address, whose malformed response a command shows as an answer.
func TestMalformedResponseFailsACommand(t *testing.T) {
	server, err := mock.NewCutter()
	require.NoError(t, err)
	t.Cleanup(server.Close)
	ctx := context.Background()
	const body = `{"name":"h1","answered":1}`
	fields := fmt.Sprintf("%s: %x\r\n", apiv1.ChecksumHeader, xxhash.Sum64String(body))
	load := newQuerySender(&LoadCmd{Cap: 2}).client
	for command, do := range map[string]func() error{
		"query": func() error {
			return postJSON(ctx, commandClient, server.Address, apiv1.PathQuery, apiv1.Query{}, &apiv1.Answer{})
		},
		"load": func() error {
			return postJSON(ctx, load, server.Address, apiv1.PathQuery, apiv1.Query{}, &apiv1.Answer{})
		},
		"status": func() error {
			_, err := fetchStatus(ctx, server.Address)
			return err
		},
	} {
		t.Run(command, func(t *testing.T) {
			sound := mock.OddResponses(fields, body)["empty value"]
			for name, response := range mock.BrokenResponses(fields, body) {
				for _, next := range []string{response, sound, response} {
					server.Answer.Store(&next)
					err := do()
					if next == sound {
						require.NoError(t, err, name)
						continue
					}
					require.ErrorContains(t, err, "malformed response: ", name)
				}
				require.False(t, server.IsFollowed(response), "%s: the connection is used again", name)
			}
			for name, response := range mock.OddResponses(fields, body) {
				if name == "status 299" {
					// A host's answer to a command has the status 200.
					continue
				}
				server.Answer.Store(&response)
				require.NoError(t, do(), name)
			}
		})
	}
}

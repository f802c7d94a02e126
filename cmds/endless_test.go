package cmds

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupcross/apiv1"
	"kingcupcross/mock"
)

// commandMemory is the memory that a command may use on an operator's machine.
const commandMemory = 256 << 20

// askEndlessHost sends a query and asks for the status of the host at an address.
func askEndlessHost(address string) {
	host := netip.MustParseAddrPort(address)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for range 3 {
		// Whether a request fails depends on the endless part.
		_ = postJSON(ctx, commandClient, host, apiv1.PathQuery, apiv1.Query{}, &apiv1.Answer{})
		_, _ = fetchStatus(ctx, host)
	}
}

// TestEndlessResponsesOfAHost guards against a host, or another server at its address, that fills the memory of an operator's machine by an endless response to a command. The command runs in a process of its own, so that the memory of the sender doesn't count.
func TestEndlessResponsesOfAHost(t *testing.T) {
	for _, part := range mock.EndlessParts {
		t.Run(string(part), func(t *testing.T) {
			server, err := mock.NewEndlessServer(part)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			peak, err := mock.PeakMemory(t.Name(), server.Address.String(), askEndlessHost)
			require.NoError(t, err)
			t.Logf("peak memory: %.1f MB", float64(peak)/(1<<20))
			require.Less(t, peak, int64(commandMemory/2))
		})
	}
}

package store

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/timer"
)

// TestWriteAfterTheStoreClosed checks that a write after the store's process has ended is known not to have taken effect, even if a connection was kept from an earlier call.
func TestWriteAfterTheStoreClosed(t *testing.T) {
	for range 20 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(`{"revision":1}`))
		}))
		c := New(timer.New(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
		_, err := c.Put(context.Background(), "k", Write{})
		require.NoError(t, err)
		_, _, err = c.Get(context.Background(), "k")
		require.NoError(t, err)
		server.Close()
		_, err = c.Put(context.Background(), "k", Write{})
		require.True(t, fault.Of(err).NotRun())
	}
}

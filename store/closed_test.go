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

// TestWriteAfterTheStoreHasEnded finds nobody listening, although a connection was kept from earlier: it is certain that nothing was written.
func TestWriteAfterTheStoreHasEnded(t *testing.T) {
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

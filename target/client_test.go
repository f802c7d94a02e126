package target

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/bound"
	"kingcupcross/shard"
)

// runWithStaleTarget runs f with a client of a target that sends the first reply as usual and then, for each request, the reply to the previous one. The client has one connection.
func runWithStaleTarget(t *testing.T, f func(*Client)) {
	t.Helper()
	var previous *Reply
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q Query
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			return
		}
		own := Reply{ID: q.ID, Snapshot: q.Snapshot, Parts: []Part{NewPart(0, append([]byte("to "), q.Payload...))}}
		out := own
		if previous != nil {
			out = *previous
		}
		previous = &own
		json.NewEncoder(w).Encode(out)
	}))
	defer server.Close()
	c := NewClient(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 1, bound.NewMemory(1<<20))
	defer c.Close()
	f(c)
}

// TestReplyIDIsChecked checks that a reply to an earlier request is rejected, and that without the check it would be accepted.
func TestReplyIDIsChecked(t *testing.T) {
	for _, checkID := range []bool{false, true} {
		runWithStaleTarget(t, func(c *Client) {
			if !checkID {
				c.idMatches = func(_, _ string) bool { return true }
			}
			q := Query{ID: "q1", Service: "dispatch", Snapshot: shard.Snapshot{Map: 1, Index: 1}, Payload: []byte("salt")}
			_, err := c.Query(t.Context(), q)
			require.NoError(t, err)
			q.ID, q.Payload = "q2", []byte("feed")
			r, err := c.Query(t.Context(), q)
			if checkID {
				require.ErrorContains(t, err, `reply to "q1" came for "q2"`)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "to salt", string(r.Parts[0].Payload), "without the id check")
		})
	}
}

// TestTruncatedReplyIsRejected truncates a reply at each byte, with and without a Content-Length that exceeds it.
func TestTruncatedReplyIsRejected(t *testing.T) {
	complete, err := json.Marshal(Reply{ID: "q1", Snapshot: shard.Snapshot{Map: 1, Index: 1}, Parts: []Part{NewPart(3, []byte("salt"))}})
	require.NoError(t, err)
	for _, withLength := range []bool{true, false} {
		for n := range complete {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if withLength {
					w.Header().Set("Content-Length", "9999")
				}
				w.Write(complete[:n])
			}))
			c := NewClient(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 1, bound.NewMemory(1<<20))
			_, err := c.Query(t.Context(), Query{ID: "q1"})
			require.Error(t, err)
			c.Close()
			server.Close()
		}
	}
}

// FuzzReply checks that a decoded reply contains no shard twice and survives encoding and decoding.
func FuzzReply(f *testing.F) {
	complete, err := json.Marshal(Reply{ID: "q1", Snapshot: shard.Snapshot{Map: 1, Index: 1}, Parts: []Part{NewPart(3, []byte("salt"))}})
	require.NoError(f, err)
	f.Add(complete)
	f.Add(complete[:len(complete)/2])
	f.Add([]byte(`{"id":"q1","parts":[{"shard":1},{"shard":1}]}`))
	f.Add([]byte(`{"parts":[{"shard":-1,"payload":"!","sum":-1}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var r Reply
		if json.Unmarshal(b, &r) != nil {
			return
		}
		seen := map[int]bool{}
		for _, p := range r.Parts {
			require.False(t, seen[p.Shard])
			seen[p.Shard] = true
			p.ChecksumMatches()
		}
		encoded, err := json.Marshal(r)
		require.NoError(t, err)
		var decoded Reply
		require.NoError(t, json.Unmarshal(encoded, &decoded))
		require.Equal(t, r.ID, decoded.ID)
		require.Len(t, decoded.Parts, len(r.Parts))
	})
}

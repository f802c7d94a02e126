package target

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/shard"
)

// withStale runs f with a client of one connection to a target that answers each request with the reply to the one before it.
func withStale(t *testing.T, f func(*Client)) {
	t.Helper()
	var before *Reply
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q Query
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			return
		}
		own := Reply{ID: q.ID, Snapshot: q.Snapshot, Parts: []Part{NewPart(0, append([]byte("to "), q.Payload...))}}
		out := own
		if before != nil {
			out = *before
		}
		before = &own
		json.NewEncoder(w).Encode(out)
	}))
	defer server.Close()
	c := NewClient(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 1)
	defer c.Close()
	f(c)
}

func TestReplyOnReusedConnectionIsChecked(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		withStale(t, func(c *Client) {
			if !guarded {
				c.matches = func(_, _ string) bool { return true }
			}
			q := Query{ID: "q1", Service: "dispatch", Snapshot: shard.Snapshot{Map: 1, Index: 1}, Payload: []byte("salt")}
			_, err := c.Query(t.Context(), q)
			require.NoError(t, err)
			q.ID, q.Payload = "q2", []byte("feed")
			r, err := c.Query(t.Context(), q)
			if guarded {
				require.ErrorContains(t, err, `reply to "q1" came for "q2"`)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "to salt", string(r.Parts[0].Payload), "without the guard")
		})
	}
}

// TestReplyCutShortIsRefused cuts a reply at each of its bytes, with and without a length that says so.
func TestReplyCutShortIsRefused(t *testing.T) {
	whole, err := json.Marshal(Reply{ID: "q1", Snapshot: shard.Snapshot{Map: 1, Index: 1}, Parts: []Part{NewPart(3, []byte("salt"))}})
	require.NoError(t, err)
	for _, length := range []bool{true, false} {
		for n := range whole {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length {
					w.Header().Set("Content-Length", "9999")
				}
				w.Write(whole[:n])
			}))
			c := NewClient(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 1)
			_, err := c.Query(t.Context(), Query{ID: "q1"})
			require.Error(t, err)
			c.Close()
			server.Close()
		}
	}
}

func FuzzReply(f *testing.F) {
	whole, err := json.Marshal(Reply{ID: "q1", Snapshot: shard.Snapshot{Map: 1, Index: 1}, Parts: []Part{NewPart(3, []byte("salt"))}})
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
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
			p.Whole()
		}
		again, err := json.Marshal(r)
		require.NoError(t, err)
		var back Reply
		require.NoError(t, json.Unmarshal(again, &back))
		require.Equal(t, r.ID, back.ID)
		require.Len(t, back.Parts, len(r.Parts))
	})
}

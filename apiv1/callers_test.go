package apiv1

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// fuzzRoundTrip decodes arbitrary bytes and checks that every accepted value survives encoding and decoding unchanged.
func fuzzRoundTrip[T any](f *testing.F, seeds ...string) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var first, second T
		if json.Unmarshal(b, &first) != nil {
			return
		}
		encoded, err := json.Marshal(first)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(encoded, &second), "%s", encoded)
		reencoded, err := json.Marshal(second)
		require.NoError(t, err)
		require.Equal(t, string(encoded), string(reencoded))
	})
}

func FuzzQuery(f *testing.F) {
	fuzzRoundTrip[Query](f, `{"service":"dispatch","payload":"c2FsdA==","deadline":"150ms","coverage":0.5,"class":"recall"}`, `{"service":""}`, `{"coverage":2}`, `[`)
}

func FuzzTickets(f *testing.F) {
	fuzzRoundTrip[TicketsRequest](f, `{"count":3}`, `{}`, `{"count":-1}`, `{"count":1e9}`)
}

func FuzzOrder(f *testing.F) {
	fuzzRoundTrip[Order](f,
		`{"service":"silo","shard":7,"payload":"b25l","ticket":"AAAA","attempt":2,"repeat":true}`,
		`{"service":"silo","key":"r-1","since":"2026-12-03T06:00:00Z","deadline":"2s"}`,
		`{"service":"silo","key":"r-1"}`,
		`{"service":"silo","since":"2026-12-03T06:00:00Z"}`,
		`{"service":"silo","key":"a","ticket":"b"}`,
		`{"service":"silo","shard":-1}`,
	)
}

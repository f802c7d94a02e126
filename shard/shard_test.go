package shard

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

const minimalMap = `{"service":"dispatch","version":1,"index":1,"targets":[{"name":"t1","address":"127.0.0.1:1","datacentre":"aarhus","slots":2,"conns":2}],"shards":[[0]]}`

func TestMapIsChecked(t *testing.T) {
	tests := map[string]string{
		`{}`: "service, version and shards must be given",
		`{"service":"a","version":1,"shards":[[0]]}`:                                                                                         "lists target 0, which doesn't exist",
		`{"service":"a","version":1,"shards":[[]]}`:                                                                                          "has no replica",
		`{"service":"a","version":1,"targets":[{"name":"t"}],"shards":[[0]]}`:                                                                "needs name, address and datacentre",
		`{"service":"a","version":1,"targets":[{"name":"t","address":"127.0.0.1:1","datacentre":"d"}],"shards":[[0]]}`:                       "slots and conns above zero",
		`{"service":"a","version":1,"targets":[{"name":"t","address":"127.0.0.1:1","datacentre":"d","slots":1,"conns":1}],"shards":[[0,0]]}`: "is listed twice",
	}
	for text, want := range tests {
		var m Map
		require.ErrorContains(t, json.Unmarshal([]byte(text), &m), want)
	}
}

func TestWithIndexLeavesTheMapUnchanged(t *testing.T) {
	var m Map
	require.NoError(t, json.Unmarshal([]byte(minimalMap), &m))
	next := m.WithIndex(2)
	require.True(t, next.Supersedes(&m))
	require.Equal(t, Snapshot{Map: 1, Index: 1}, m.Snapshot())
	require.Equal(t, Snapshot{Map: 1, Index: 2}, next.Snapshot())
}

func FuzzMap(f *testing.F) {
	f.Add([]byte(minimalMap))
	f.Add([]byte(minimalMap[:len(minimalMap)/2]))
	f.Add([]byte(`{"service":"a","version":1,"shards":[[-1]]}`))
	f.Add([]byte(`{"service":"a","version":18446744073709551615,"shards":[[0,0]]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Map
		if json.Unmarshal(b, &m) != nil {
			return
		}
		for _, replicas := range m.Shards {
			require.NotEmpty(t, replicas)
			for _, r := range replicas {
				require.NotNil(t, m.Target(m.Targets[r].Name))
			}
		}
	})
}

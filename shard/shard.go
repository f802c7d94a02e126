package shard

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// Snapshot is the pair of the versions of shard map and index from which all parts of one answer come.
type Snapshot struct {
	// Map is the version of the shard map.
	Map uint64 `json:"map"`
	// Index is the version of the index.
	Index uint64 `json:"index"`
}

// Less reports whether s is older than o.
func (s Snapshot) Less(o Snapshot) bool {
	if s.Map != o.Map {
		return s.Map < o.Map
	}
	return s.Index < o.Index
}

// Target is a shard map's entry for one target: its address, data centre and limits.
type Target struct {
	Name       string         `json:"name"`
	Address    netip.AddrPort `json:"address"`
	Datacentre string         `json:"datacentre"`
	// Slots is the number of requests that a warm target processes concurrently.
	Slots int `json:"slots"`
	// Conns is the maximum number of connections that the target accepts.
	Conns int `json:"conns"`
}

// Map is the shard map of one service: it says which targets hold each shard. It is immutable once decoded.
type Map struct {
	Service string `json:"service"`
	// Version increases with each repartitioning.
	Version uint64 `json:"version"`
	// Index is the newest index version that has been built for every shard.
	Index   uint64   `json:"index"`
	Targets []Target `json:"targets"`
	// Shards holds, for each shard, the positions in Targets of its replicas.
	Shards [][]int `json:"shards"`
}

// Snapshot returns the versions at which a query that is planned with this map is executed.
func (m *Map) Snapshot() Snapshot {
	return Snapshot{Map: m.Version, Index: m.Index}
}

// Supersedes reports whether m is newer than o, which may be nil, and has to replace it.
func (m *Map) Supersedes(o *Map) bool {
	return o == nil || o.Snapshot().Less(m.Snapshot())
}

// WithIndex returns a copy of the map with another index version.
func (m *Map) WithIndex(index uint64) *Map {
	c := *m
	c.Index = index
	return &c
}

// Target returns the target with that name, or nil.
func (m *Map) Target(name string) *Target {
	for i := range m.Targets {
		if m.Targets[i].Name == name {
			return &m.Targets[i]
		}
	}
	return nil
}

// UnmarshalJSON decodes a map and validates it.
func (m *Map) UnmarshalJSON(b []byte) error {
	type plain Map
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*m = Map(p)
	return m.check()
}

// check validates the fields that each map and target must have.
func (m *Map) check() error {
	if m.Service == "" || m.Version == 0 || len(m.Shards) == 0 {
		return fmt.Errorf("shard map: service, version and shards must be given")
	}
	for i, t := range m.Targets {
		if t.Name == "" || !t.Address.IsValid() || t.Datacentre == "" {
			return fmt.Errorf("shard map of %s: target %d needs name, address and datacentre", m.Service, i)
		}
		if t.Slots <= 0 || t.Conns <= 0 {
			return fmt.Errorf("shard map of %s: target %s needs slots and conns above zero", m.Service, t.Name)
		}
	}
	for i, s := range m.Shards {
		if err := m.checkShard(i, s); err != nil {
			return err
		}
	}
	return nil
}

// checkShard returns an error unless the shard has replicas and each is a distinct target of the map.
func (m *Map) checkShard(shard int, replicas []int) error {
	if len(replicas) == 0 {
		return fmt.Errorf("shard map of %s: shard %d has no replica", m.Service, shard)
	}
	seen := map[int]bool{}
	for _, r := range replicas {
		if r < 0 || r >= len(m.Targets) || seen[r] {
			return fmt.Errorf("shard map of %s: shard %d lists target %d, which doesn't exist or is listed twice", m.Service, shard, r)
		}
		seen[r] = true
	}
	return nil
}

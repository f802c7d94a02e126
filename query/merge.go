package query

import (
	"kingcupcross/shard"
	"kingcupcross/wire"
)

// merge collects the parts of one snapshot; a shard counts once, whatever comes late or twice.
type merge struct {
	snapshot shard.Snapshot
	total    int
	parts    map[int][]byte
	reasons  map[int]string
}

func newMerge(m *shard.Map) *merge {
	return &merge{
		snapshot: m.Snapshot(),
		total:    len(m.Shards),
		parts:    make(map[int][]byte, len(m.Shards)),
		reasons:  map[int]string{},
	}
}

// add takes the parts of one result and returns the asked shards that are still without an answer.
func (m *merge) add(asked []int, r wire.Result) (open []int) {
	reason := "the target's reply holds no part for the shard"
	switch {
	case r.Fault != nil:
		reason = r.Fault.Error()
	case r.Snapshot != m.snapshot:
		reason = "the target answered from another snapshot"
	default:
		m.keep(asked, r)
	}
	for _, s := range asked {
		if _, done := m.parts[s]; !done {
			m.reasons[s] = reason
			open = append(open, s)
		}
	}
	return open
}

func (m *merge) keep(asked []int, r wire.Result) {
	wanted := make(map[int]bool, len(asked))
	for _, s := range asked {
		wanted[s] = true
	}
	for _, p := range r.Parts {
		if _, done := m.parts[p.Shard]; done || !wanted[p.Shard] || !p.Whole() {
			continue
		}
		m.parts[p.Shard] = p.Payload
	}
}

func (m *merge) complete() bool {
	return len(m.parts) == m.total
}

// answer labels what has come; shards without a reason were never answered in time.
func (m *merge) answer() *Answer {
	a := &Answer{Snapshot: m.snapshot, Total: m.total, Parts: m.parts}
	for s := range m.total {
		if _, done := m.parts[s]; done {
			continue
		}
		reason, known := m.reasons[s]
		if !known {
			reason = "no reply before the deadline"
		}
		a.Missing = append(a.Missing, Missing{Shard: s, Reason: reason})
	}
	return a
}

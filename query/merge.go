package query

import (
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// guards are the conditions of the merge; tests replace one to show what it prevents.
type guards struct {
	// total is the number of shards that coverage is a share of.
	total func(*shard.Map) int
	// same says whether a reply's snapshot fits the one that was asked for.
	same func(asked, got shard.Snapshot) bool
	// whole says whether a part arrived as it was sent.
	whole func(target.Part) bool
	// fresh says whether a part is taken, given whether its shard has answered.
	fresh func(answered bool) bool
	// wanted says whether a part is taken, given whether its shard was asked of this target.
	wanted func(asked bool) bool
	// left returns those of the asked shards that are without an answer after a reply.
	left func(asked []int, answered func(int) bool) []int
	// waits says whether a replica that is on its way to another keeper is asked again.
	waits func() bool
}

func newGuards() guards {
	return guards{
		total:  func(m *shard.Map) int { return len(m.Shards) },
		same:   func(asked, got shard.Snapshot) bool { return asked == got },
		whole:  target.Part.ChecksumMatches,
		fresh:  func(answered bool) bool { return !answered },
		wanted: func(asked bool) bool { return asked },
		left:   without,
		waits:  func() bool { return true },
	}
}

func without(asked []int, answered func(int) bool) (open []int) {
	for _, s := range asked {
		if !answered(s) {
			open = append(open, s)
		}
	}
	return open
}

// merge collects the parts of one snapshot; a shard counts once, whatever comes late or twice.
type merge struct {
	guards   guards
	snapshot shard.Snapshot
	total    int
	// count is the number of shards that have answered.
	count   int
	parts   map[int][]byte
	reasons map[int]string
}

func newMerge(m *shard.Map, g guards) *merge {
	return &merge{
		guards:   g,
		snapshot: m.Snapshot(),
		total:    g.total(m),
		parts:    make(map[int][]byte, len(m.Shards)),
		reasons:  map[int]string{},
	}
}

// add takes the parts of one result and returns the asked shards that are still without an answer.
func (m *merge) add(asked []int, r wire.Result) (open []int) {
	reason := r.Target + " left the shard out of its reply"
	switch {
	case r.Fault != nil:
		reason = r.Fault.Error()
	case !m.guards.same(m.snapshot, r.Snapshot):
		reason = r.Target + " answered from another snapshot"
	case m.keep(asked, r.Parts) > 0:
		reason = "checksum of " + r.Target + "'s part is wrong"
	}
	open = m.guards.left(asked, m.has)
	for _, s := range open {
		m.reasons[s] = reason
	}
	return open
}

// keep takes what fits and returns the number of broken parts.
func (m *merge) keep(asked []int, parts []target.Part) (broken int) {
	wanted := make(map[int]bool, len(asked))
	for _, s := range asked {
		wanted[s] = true
	}
	for _, p := range parts {
		if !m.guards.wanted(wanted[p.Shard]) || !m.guards.fresh(m.has(p.Shard)) {
			continue
		}
		if !m.guards.whole(p) {
			broken++
			continue
		}
		m.parts[p.Shard] = p.Payload
		m.count++
	}
	return broken
}

func (m *merge) has(s int) bool {
	_, done := m.parts[s]
	return done
}

func (m *merge) complete() bool {
	return m.count >= m.total
}

// answer labels what has come; a shard without a reason gets the given one.
func (m *merge) answer(reason string) *Answer {
	a := &Answer{Snapshot: m.snapshot, Total: m.total, Parts: m.parts}
	for s := range m.total {
		if m.has(s) {
			continue
		}
		known, found := m.reasons[s]
		if !found {
			known = reason
		}
		a.Missing = append(a.Missing, Missing{Shard: s, Reason: known})
	}
	return a
}

package query

import (
	"kingcupcross/shard"
	"kingcupcross/target"
	"kingcupcross/wire"
)

// resultChecks are the checks that results have to pass. Tests replace one at a time to show what it prevents.
type resultChecks struct {
	// shardTotal returns the number of shards that coverage is computed over.
	shardTotal func(*shard.Map) int
	// sameSnapshot reports whether a result comes from the snapshot that was asked for.
	sameSnapshot func(asked, got shard.Snapshot) bool
	// checksumMatches reports whether a part arrived undamaged.
	checksumMatches func(target.Part) bool
	// notAnswered reports whether a part may be merged, given whether its shard has already answered.
	notAnswered func(answered bool) bool
	// wasRequested reports whether a part may be merged, given whether the target was asked for its shard.
	wasRequested func(asked bool) bool
	// unansweredOf returns the requested shards that are unanswered after a result was merged.
	unansweredOf func(asked []int, answered func(int) bool) []int
	// awaitsHandover reports whether a target that is being handed over to another keeper is asked again.
	awaitsHandover func() bool
}

func newResultChecks() resultChecks {
	return resultChecks{
		shardTotal:      func(m *shard.Map) int { return len(m.Shards) },
		sameSnapshot:    func(asked, got shard.Snapshot) bool { return asked == got },
		checksumMatches: target.Part.ChecksumMatches,
		notAnswered:     func(answered bool) bool { return !answered },
		wasRequested:    func(asked bool) bool { return asked },
		unansweredOf:    filterUnanswered,
		awaitsHandover:  func() bool { return true },
	}
}

// filterUnanswered returns the requested shards that have not answered.
func filterUnanswered(requested []int, answered func(int) bool) (unanswered []int) {
	for _, s := range requested {
		if !answered(s) {
			unanswered = append(unanswered, s)
		}
	}
	return unanswered
}

// merger collects the parts of one snapshot. Each shard counts once, however many replies bring it.
type merger struct {
	checks     resultChecks
	snapshot   shard.Snapshot
	shardTotal int
	// answeredCount is the number of shards that have answered.
	answeredCount int
	parts         map[int][]byte
	// reasons says for each unanswered shard why it has not answered, as far as known.
	reasons map[int]string
}

func newMerger(m *shard.Map, checks resultChecks) *merger {
	return &merger{
		checks:     checks,
		snapshot:   m.Snapshot(),
		shardTotal: checks.shardTotal(m),
		parts:      make(map[int][]byte, len(m.Shards)),
		reasons:    map[int]string{},
	}
}

// add merges one result and returns the requested shards that are still unanswered.
func (m *merger) add(requested []int, r wire.Result) (unanswered []int) {
	reason := r.Target + " left the shard out of its reply"
	switch {
	case r.Fault != nil:
		reason = r.Fault.Error()
	case !m.checks.sameSnapshot(m.snapshot, r.Snapshot):
		reason = r.Target + " answered from another snapshot"
	case m.takeParts(requested, r.Parts) > 0:
		reason = "checksum of " + r.Target + "'s part is wrong"
	}
	unanswered = m.checks.unansweredOf(requested, m.answered)
	for _, s := range unanswered {
		m.reasons[s] = reason
	}
	return unanswered
}

// takeParts merges the parts that pass the checks and returns the number of damaged ones.
func (m *merger) takeParts(requested []int, parts []target.Part) (damaged int) {
	isRequested := make(map[int]bool, len(requested))
	for _, s := range requested {
		isRequested[s] = true
	}
	for _, p := range parts {
		if !m.checks.wasRequested(isRequested[p.Shard]) || !m.checks.notAnswered(m.answered(p.Shard)) {
			continue
		}
		if !m.checks.checksumMatches(p) {
			damaged++
			continue
		}
		m.parts[p.Shard] = p.Payload
		m.answeredCount++
	}
	return damaged
}

func (m *merger) answered(s int) bool {
	_, done := m.parts[s]
	return done
}

func (m *merger) complete() bool {
	return m.answeredCount >= m.shardTotal
}

// answer returns the merged parts and lists the missing shards; the given reason is for shards without a known one.
func (m *merger) answer(reason string) *Answer {
	a := &Answer{Snapshot: m.snapshot, ShardCount: m.shardTotal, Parts: m.parts}
	for s := range m.shardTotal {
		if m.answered(s) {
			continue
		}
		why, found := m.reasons[s]
		if !found {
			why = reason
		}
		a.Missing = append(a.Missing, MissingShard{Shard: s, Reason: why})
	}
	return a
}

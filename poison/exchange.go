package poison

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"kingcupcross/roster"
)

// noteChange marks an entry as changed and signals it. The caller must hold r.mu.
func (r *Registry) noteChange(e *entry) {
	e.changed = true
	select {
	case r.changes <- struct{}{}:
	default:
	}
}

// Changes returns a channel that receives a value after a change of which other hosts have to be told.
func (r *Registry) Changes() <-chan struct{} {
	return r.changes
}

// SetComplete states that this host knows what the others know, so that hosts which start may rely on it.
func (r *Registry) SetComplete() {
	r.complete.Store(true)
}

// TakeChanged returns the records that have changed since the last call.
func (r *Registry) TakeChanged() []Record {
	return r.export(func(e *entry) bool {
		changed := e.changed
		e.changed = false
		return changed
	})
}

// Records returns all records.
func (r *Registry) Records() []Record {
	return r.export(func(*entry) bool { return true })
}

// export returns the records of the entries that include accepts.
func (r *Registry) export(include func(*entry) bool) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var all []Record
	for d, e := range r.entries {
		if include(e) {
			all = append(all, e.record(d, now))
		}
	}
	return all
}

// record returns the entry in the form in which hosts exchange it.
func (e *entry) record(d Digest, now time.Time) Record {
	record := Record{
		Digest:      d,
		Quarantines: e.quarantines,
		Remaining:   max(e.quarantineEnd.Sub(now), 0),
		Cleared:     !e.clearedAt.IsZero(),
	}
	if e.claimed(now) {
		record.Claim, record.ClaimAge = e.claim, now.Sub(e.claimedAt)
	}
	if e.quarantines > 0 {
		record.QuarantineAge = now.Sub(e.quarantinedAt)
	}
	if record.Cleared {
		record.ClearedAge = now.Sub(e.clearedAt)
	}
	for _, c := range e.crashes {
		record.Crashes = append(record.Crashes, Crash{
			Target: c.target,
			Trial:  c.proven,
			Tried:  c.tried,
			Age:    now.Sub(c.at),
		})
	}
	return record
}

// Learn takes over what another host knows. What is new is passed on as a change.
func (r *Registry) Learn(all []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, record := range all {
		if err := record.Validate(); err != nil {
			r.log.Info("record of another host ignored", zap.Error(err))
			continue
		}
		r.learn(record, now)
	}
	r.updateGauges(now)
}

// learn takes over one record. The caller must hold r.mu.
func (r *Registry) learn(record Record, now time.Time) {
	known := r.entries[record.Digest] != nil
	if !known && len(record.Crashes) == 0 && record.Quarantines == 0 && !record.Cleared {
		return
	}
	e := r.entryOf(record.Digest, now)
	if !known && record.Cleared {
		// Reports of earlier crashes may be on their way.
		e.clearedAt = now.Add(-record.ClearedAge)
	}
	learned := false
	if clearedAt := now.Add(-record.ClearedAge); record.Cleared && e.hasBefore(clearedAt) {
		r.clear(record.Digest, e, clearedAt, "host")
		learned = true
	}
	for _, c := range record.Crashes {
		// To hosts of earlier versions any retry is a trial. They don't set Tried.
		proven := c.Trial && c.Tried
		learned = r.addCrash(record.Digest, e, crash{target: c.Target, tried: c.Tried, proven: proven, at: now.Add(-c.Age)}, false) || learned
		learned = (proven && e.prove(c.Target)) || learned
	}
	learned = e.learnClaim(record, now) || learned
	from := now.Add(-record.QuarantineAge)
	// If none of its crashes counts here, an answer has ended the quarantine.
	refuted := len(record.Crashes) > 0 && len(e.crashes) == 0
	if record.Quarantines > e.quarantines && from.After(e.clearedAt) && !refuted {
		// Hosts of earlier versions keep longer quarantines.
		length := min(record.Remaining, quarantineLength(record.Quarantines))
		r.quarantine(record.Digest, e, record.Quarantines, from, now.Add(length), "host")
		learned = true
	}
	if endedAt, proven := e.latestCrash(); len(e.crashes) > 0 && r.clearedByAnswer(record.Digest, endedAt, proven || e.quarantines > 0, now) {
		r.clear(record.Digest, e, now, "memory")
		r.noteChange(e)
		return
	}
	if learned {
		r.quarantineIfProven(record.Digest, e, now)
		r.noteChange(e)
	}
}

// learnClaim takes over the claim of another host to try the request and reports whether it is new. Of two claims at the same time the lower one counts.
func (e *entry) learnClaim(record Record, now time.Time) bool {
	switch {
	case record.Claim == 0 || record.Claim == e.claim:
		return false
	case record.ClaimAge >= claimPeriod/2:
		// Each message makes a claim seem a little younger, so that old ones would be passed on without end.
		return false
	case e.claimed(now) && e.claim < record.Claim:
		return false
	}
	// A trial that this host has sent already goes on.
	e.claimLost = e.trialRunning
	e.claim, e.claimedAt = record.Claim, now.Add(-record.ClaimAge)
	return true
}

// latestCrash returns the time of the latest crash, and whether one is proven by a trial.
func (e *entry) latestCrash() (at time.Time, proven bool) {
	for _, c := range e.crashes {
		at, proven = later(at, c.at), proven || c.proven
	}
	return at, proven
}

// hasBefore reports whether anything is recorded against the request from a time or before it.
func (e *entry) hasBefore(at time.Time) bool {
	return (e.quarantines > 0 && !e.quarantinedAt.After(at)) || slices.ContainsFunc(e.crashes, func(c crash) bool { return !c.at.After(at) })
}

// ServiceName is the name under which the calls between hosts are registered.
const ServiceName = "Poison"

// Service serves the calls of other hosts.
type Service struct {
	registry *Registry
	check    func([]roster.Process) []Reachability
}

// NewService returns a service that exchanges the records of a registry; check connects to targets and returns one result for each.
func NewService(r *Registry, check func([]roster.Process) []Reachability) *Service {
	return &Service{registry: r, check: check}
}

// Learn takes over the records of the calling host. The error names an invalid one.
func (s *Service) Learn(all Records, reply *bool) error {
	if err := all.Validate(); err != nil {
		return err
	}
	s.registry.Learn(all.Records)
	*reply = true
	return nil
}

// List returns the records of this host.
func (s *Service) List(_ bool, reply *Records) error {
	reply.Records, reply.Complete = s.registry.Records(), s.registry.complete.Load()
	return nil
}

// Check connects to targets for a host that has lost its connections to them. The error says why the request is invalid.
func (s *Service) Check(r CheckRequest, reply *CheckReply) error {
	if err := r.Validate(); err != nil {
		return err
	}
	reply.Results = s.check(r.Targets)
	return nil
}

package follow

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/epoch"
	"kingcupcross/roster"
	"kingcupcross/route"
)

const (
	// longPollWait is how long a host delays the answer to another host's read while nothing has changed.
	longPollWait = time.Second
	// longPollGrace is added to longPollWait as time for the network.
	longPollGrace = 400 * time.Millisecond
	// freshnessSlack is added to the time that a call for operator changes waits to give the greatest age at which another host's views may replace reading the store. It is also how long an overdue answer to such a call is still expected.
	freshnessSlack = 500 * time.Millisecond
)

// ServiceName is the name under which the calls between hosts are registered.
const ServiceName = "Views"

// Known describes what the reading host has already: the hashes of its parts and the store revisions that they are from.
type Known struct {
	Operator, OperatorRevision uint64
	Targets, TargetsRevision   uint64
	Members                    uint64
	// OperatorEpoch and TargetsEpoch are the store's epochs of the revisions.
	OperatorEpoch, TargetsEpoch uint64
	// Leavers are the targets that the host knows to have announced that they are leaving, for hosts of earlier builds, which look at ids only.
	Leavers []string
	// LeavingProcesses identifies the processes of these targets: one that starts again under its id announces anew. It is nil in the calls of hosts of earlier builds.
	LeavingProcesses []roster.Process
	// RateLimits is the hash of the targets' rate limits that the host knows.
	RateLimits uint64
}

// State is the answer to another host's read: the parts that differ, and the age of the answering host's views.
type State struct {
	// Operator is a packed route.OperatorState, Targets a packed roster.Listing; Changes replaces Targets where the reading host's view is still in the history.
	Operator Packed
	Targets  Packed
	Changes  *roster.Changes
	Members  []coord.Member
	// Leavers are targets that have announced that they are leaving and that the reading host didn't name.
	Leavers []roster.Leaver
	// RateLimits are the targets' rate limits, unless the reading host knows the same.
	RateLimits []roster.RateLimit
	// Epoch is the newest epoch of the store that the answering host knows.
	Epoch uint64
	// OperatorAge and TargetsAge are the times since the views were last known to include all changes.
	OperatorAge, TargetsAge time.Duration
}

// age returns the age of the older part.
func (s *State) age() time.Duration {
	return max(s.OperatorAge, s.TargetsAge)
}

// maxFreshAge returns the greatest age that the views of a host reading the store normally reach.
func (f *Follower) maxFreshAge() time.Duration {
	return f.watchWait + freshnessSlack
}

// Feed gives a follower access to the views of other hosts and to what else hosts exchange with them.
type Feed struct {
	// Sources returns the hosts to read from, in order of preference; none means that this host reads the store.
	Sources func() []coord.Member
	// Read asks another host for what differs from known; that host may delay the answer for up to longPollWait.
	Read func(ctx context.Context, from coord.Member, known Known) (State, error)
	// Fallbacks returns hosts to read from while this host can't reach the store or has read nothing from it yet.
	Fallbacks func() []coord.Member
	// Members returns the known hosts, SetMembers replaces them.
	Members    func() []coord.Member
	SetMembers func([]coord.Member)
	// Leavers returns the targets that have announced that they are leaving, AddLeavers adds those that another host knows of; both may be nil.
	Leavers    func() []roster.Leaver
	AddLeavers func([]roster.Leaver)
	// RateLimits returns the targets' rate limits, AddRateLimits adds those that another host knows; both may be nil.
	RateLimits    func() []roster.RateLimit
	AddRateLimits func([]roster.RateLimit)
}

// FedByPeer reports whether this host uses another host's views instead of reading the store.
func (f *Follower) FedByPeer() bool {
	return f.sinceEpoch(f.clock.Now()) < f.fedUntil.Load()
}

// RunFeed reads the views of other hosts until the context ends.
func (f *Follower) RunFeed(ctx context.Context, feed Feed) error {
	f.readPeersAtStart(ctx, feed)
	for ctx.Err() == nil {
		if !f.readFromSource(ctx, feed) {
			// A host without views of its own can't serve and has nothing to wait for.
			if f.fedUntil.Swap(0) != 0 && f.Ready() {
				f.backOff(fallbackSpacing, maxFallbackDelay)
				f.log.Info("no other host has fresh views, reading the store")
			}
			f.pause(ctx)
		}
	}
	return nil
}

// readFromSource reads from the first source whose views are fresh and reports whether there was one.
func (f *Follower) readFromSource(ctx context.Context, feed Feed) bool {
	for _, m := range feed.Sources() {
		known := f.knownWithNotices(feed)
		limited, cancel := f.clock.WithTimeout(ctx, longPollWait+longPollGrace)
		s, err := feed.Read(limited, m, known)
		cancel()
		if err != nil && ctx.Err() != nil {
			return false
		}
		if err != nil {
			f.scope.Counter("feed_failures").Inc(1)
			f.log.Info("failed to read views from another host", zap.String("from", m.Name), zap.Error(err))
			continue
		}
		if s.age() >= f.maxFreshAge() || s.Epoch < f.epochs.Current() {
			f.scope.Counter("feed_stale").Inc(1)
			if !f.Ready() {
				// A part of the views is better than none; this host goes on asking.
				f.noteDropped(m, f.applyState(s, feed))
			}
			continue
		}
		switch err := f.applyState(s, feed); {
		case errors.Is(err, errViewChanged):
			// The next read states the present view.
			return true
		case err != nil:
			f.noteDropped(m, err)
			continue
		}
		// Fresh views of another host also count as an answer of the store.
		f.noteRecovery("views")
		f.lastAnswer.Store(f.sinceEpoch(f.clock.Now()))
		if f.fedUntil.Swap(f.sinceEpoch(f.clock.Now().Add(longPollWait+longPollGrace))) == 0 {
			f.log.Info("using another host's views instead of reading the store", zap.String("from", m.Name))
		}
		if s.hasViews() && known.sameViews(f.known(feed.Members())) {
			// This host deviates from the source on purpose, for instance by holding a configuration back. The source answers at once as long as it does.
			f.scope.Counter("feed_repeated").Inc(1)
			f.pause(ctx)
		}
		return true
	}
	return false
}

// noteDropped counts and logs views of another host that could not be applied. Changes of another view aren't counted, since the next read replaces them.
func (f *Follower) noteDropped(from coord.Member, err error) {
	if err == nil || errors.Is(err, errViewChanged) {
		return
	}
	f.scope.Counter("feed_dropped").Inc(1)
	f.log.Info("views of another host were dropped", zap.String("from", from.Name), zap.Error(err))
}

// sameViews reports whether two hosts, or one host at two times, have the same views and know the same hosts.
func (k *Known) sameViews(other Known) bool {
	return k.Operator == other.Operator && k.OperatorRevision == other.OperatorRevision && k.OperatorEpoch == other.OperatorEpoch &&
		k.Targets == other.Targets && k.TargetsRevision == other.TargetsRevision && k.TargetsEpoch == other.TargetsEpoch &&
		k.Members == other.Members
}

// RunFallbacks reads the views of other hosts while this host can't read the store, until the context ends.
//
// The views of those hosts may be out of date too. They never replace newer ones, and this host keeps trying the store.
func (f *Follower) RunFallbacks(ctx context.Context, feed Feed) error {
	for ctx.Err() == nil {
		var greeters []coord.Member
		select {
		case m := <-f.greetings:
			greeters = append(greeters, m)
		case <-f.clock.After(retryPeriod):
		case <-ctx.Done():
			return nil
		}
		if !f.Ready() || f.storeUnreachable.Load() {
			f.readFallbacks(ctx, feed, append(feed.Fallbacks(), greeters...))
		}
	}
	return nil
}

// readFallbacks reads the views of all given hosts in parallel, since any of them may be unreachable too, and applies each answer.
func (f *Follower) readFallbacks(ctx context.Context, feed Feed, hosts []coord.Member) {
	known := f.knownWithNotices(feed)
	limited, cancel := f.clock.WithTimeout(ctx, longPollWait+longPollGrace)
	defer cancel()
	var reads sync.WaitGroup
	for _, m := range hosts {
		reads.Go(func() {
			s, err := feed.Read(limited, m, known)
			if err != nil {
				f.scope.Counter("feed_failures").Inc(1)
				f.log.Debug("failed to read views from a fallback host", zap.String("from", m.Name), zap.Error(err))
				return
			}
			if s.Operator != nil || s.Targets != nil || s.Changes != nil {
				f.scope.Counter("spare_reads").Inc(1)
				f.log.Info("using another host's views while the store can't be reached", zap.String("from", m.Name), zap.Duration("operator_age", s.OperatorAge), zap.Duration("targets_age", s.TargetsAge))
			}
			f.noteDropped(m, f.applyState(s, feed))
		})
	}
	reads.Wait()
}

// knownWithNotices returns what this host knows, including what targets have announced themselves: that they are leaving, and their rate limits.
func (f *Follower) knownWithNotices(feed Feed) Known {
	k := f.known(feed.Members())
	if feed.Leavers != nil {
		for _, l := range feed.Leavers() {
			k.Leavers = append(k.Leavers, l.ID)
			k.LeavingProcesses = append(k.LeavingProcesses, l.Process())
		}
	}
	if feed.RateLimits != nil {
		k.RateLimits = roster.RateLimitsHash(feed.RateLimits())
	}
	return k
}

// known returns the hashes and revisions of this host's views.
func (f *Follower) known(members []coord.Member) Known {
	o, v := f.operator.Load(), f.View()
	return Known{
		Operator:         o.Hash(),
		OperatorRevision: o.Revision,
		OperatorEpoch:    o.Epoch,
		Targets:          v.Hash,
		TargetsRevision:  v.Revision,
		TargetsEpoch:     v.Epoch,
		Members:          coord.MembersHash(members),
	}
}

// errViewChanged is returned for changes of targets that start from another view than the present one.
var errViewChanged = errors.New("the changes of targets start from another view")

// applyState applies another host's answer to the views, the hosts, the leaving targets and the rate limits. A view counts as current up to the age that the answer states only if all of the answer about it was applied; the error says why something was not.
func (f *Follower) applyState(s State, feed Feed) error {
	if !f.epochs.Observe(s.Epoch) {
		// The host doesn't know yet that the store was restored.
		f.scope.Counter("feed_earlier_epoch").Inc(1)
		return fmt.Errorf("views are from epoch %d of the store, the newest is %d", s.Epoch, f.epochs.Current())
	}
	now := f.clock.Now()
	operatorErr := f.applyPeerOperator(s)
	targetsErr := f.applyPeerTargets(s, now)
	if len(s.Members) > 0 {
		feed.SetMembers(s.Members)
	}
	if len(s.Leavers) > 0 && feed.AddLeavers != nil {
		feed.AddLeavers(s.Leavers)
	}
	if len(s.RateLimits) > 0 && feed.AddRateLimits != nil {
		feed.AddRateLimits(s.RateLimits)
	}
	if operatorErr == nil {
		advance(&f.operatorCurrentAt, f.sinceEpoch(now.Add(-s.OperatorAge)))
	}
	if targetsErr == nil {
		advance(&f.targetsCurrentAt, f.sinceEpoch(now.Add(-s.TargetsAge)))
	}
	return cmp.Or(operatorErr, targetsErr)
}

// applyPeerOperator applies the operator data in another host's answer, if there are any. It fails if they can't be decoded, or differ from the present ones and are older.
func (f *Follower) applyPeerOperator(s State) error {
	if s.Operator == nil {
		return nil
	}
	o, err := unpackOperator(s.Operator)
	if err != nil {
		f.log.Error("cannot decode configuration from another host", zap.Error(err))
		return fmt.Errorf("configuration can't be decoded: %w", err)
	}
	if present := f.operator.Load(); !f.applyOperator(o) && o.Hash() != present.Hash() {
		return fmt.Errorf("operator data are from revision %s, those in force from %s", o.At(), present.At())
	}
	return nil
}

// applyPeerTargets applies the targets in another host's answer, if there are any. It fails if they can't be decoded, are older than the present ones, or are changes of another view. The end of the last outage doesn't matter: that host has already kept the targets that may come back.
func (f *Follower) applyPeerTargets(s State, now time.Time) error {
	var p roster.Listing
	view := f.View()
	switch {
	case s.Targets != nil:
		if err := s.Targets.unpack(&p); err != nil {
			f.log.Error("cannot decode targets from another host", zap.Error(err))
			return fmt.Errorf("targets can't be decoded: %w", err)
		}
	case s.Changes != nil:
		changed, applies := view.Apply(*s.Changes)
		if !applies {
			return errViewChanged
		}
		p = changed
	default:
		return nil
	}
	p.Targets = slices.DeleteFunc(p.Targets, func(t roster.Target) bool {
		err := t.Validate()
		if err != nil {
			// A host of an earlier build checks less of what it reads from the store.
			f.NoteUnreadable(&roster.EntryError{Key: t.ID, Revision: t.Revision, Err: err})
		}
		return err != nil
	})
	applied := f.replaceView(now, func(old *roster.View) *roster.View { return old.Merge(p, now, time.Time{}) })
	if !applied {
		return fmt.Errorf("targets are from revision %s, those known from %s", p.At(), view.At())
	}
	return nil
}

// unpackOperator decodes operator data and rebuilds the index of the configuration, which isn't sent.
func unpackOperator(p Packed) (route.OperatorState, error) {
	var o route.OperatorState
	if err := p.unpack(&o); err != nil || o.Config == nil {
		return o, err
	}
	indexed, err := route.New(*o.Config)
	o.Config = indexed
	return o, err
}

// advance sets a time to a later one and never to an earlier one: of this host and the one that it reads from, either may have the more recent data.
func advance(at *atomic.Int64, to int64) {
	for {
		old := at.Load()
		if to <= old || at.CompareAndSwap(old, to) {
			return
		}
	}
}

// AwaitDiff returns what differs from what another host knows. It returns as soon as something differs, after longPollWait, or when the views of this host are too old to replace reading the store.
func (f *Follower) AwaitDiff(known Known, members func() []coord.Member) State {
	end := f.clock.Now().Add(longPollWait)
	for {
		operatorChanged, viewChanged := f.operator.Changed(), f.view.Changed()
		s, differs := f.diff(known, members())
		remaining := end.Sub(f.clock.Now())
		if f.Ready() {
			// A host that has just started is about to read its views.
			remaining = min(remaining, f.maxFreshAge()-s.age())
		}
		if differs || remaining <= 0 {
			return s
		}
		select {
		case <-operatorChanged:
		case <-viewChanged:
		case <-f.clock.After(remaining):
		}
	}
}

// unknownAge is stated as the age of a view that has never been read: above all ages at which views are used.
const unknownAge = 24 * time.Hour

// Ages returns the times since the operator data and the targets were last known to include all changes, unknownAge before the first reading.
func (f *Follower) Ages() (operator, targets time.Duration) {
	now := f.sinceEpoch(f.clock.Now())
	operator, targets = unknownAge, unknownAge
	if f.Config() != nil {
		operator = time.Duration(now - f.operatorCurrentAt.Load())
	}
	if !f.View().ReadAt.IsZero() {
		targets = time.Duration(now - f.targetsCurrentAt.Load())
	}
	return operator, targets
}

// diff returns the parts that differ from what another host knows, and whether there are any. The age of a part that differs and can't be encoded is unknownAge.
func (f *Follower) diff(known Known, members []coord.Member) (State, bool) {
	s := State{Epoch: f.epochs.Current()}
	s.OperatorAge, s.TargetsAge = f.Ages()
	if o := f.operator.Load(); o.Config != nil && needsView(o.Hash(), o.At(), known.Operator, epoch.Revision{Epoch: known.OperatorEpoch, Number: known.OperatorRevision}) {
		packed, err := f.operatorCache.get(o.At(), o.Hash(), o)
		if err != nil {
			f.log.Error("cannot encode configuration for other hosts", zap.Error(err))
			s.OperatorAge = unknownAge
		}
		s.Operator = packed
	}
	if v := f.View(); !v.ReadAt.IsZero() && needsView(v.Hash, v.At(), known.Targets, epoch.Revision{Epoch: known.TargetsEpoch, Number: known.TargetsRevision}) {
		f.addTargets(&s, v, known.Targets)
	}
	if len(members) > 0 && coord.MembersHash(members) != known.Members {
		s.Members = members
	}
	return s, s.hasViews()
}

// needsView reports whether a reading host needs a view with a hash at a revision, given those of its own view. Hashes are made from revisions of the store's entries, which mean the same within one epoch only.
func needsView(hash uint64, at epoch.Revision, known uint64, knownAt epoch.Revision) bool {
	return (hash != known || at.Epoch != knownAt.Epoch) && !at.Before(knownAt)
}

// hasViews reports whether the answer holds a view or hosts, for which the reading host needn't wait.
func (s *State) hasViews() bool {
	return s.Operator != nil || s.Targets != nil || s.Changes != nil || s.Members != nil
}

// addTargets adds the changes from the view with the hash known to the present one, or all targets if that view is no longer in the history or targets are kept whose entries are missing, which changes don't show.
func (f *Follower) addTargets(s *State, v *roster.View, known uint64) {
	if old := f.viewHistory.find(known); old != nil && old.Epoch == v.Epoch && !v.HasMissing() {
		c := v.ChangesSince(old)
		s.Changes = &c
		return
	}
	p := v.Listing(f.clock.Now())
	packed, err := Packed(nil), error(nil)
	if len(p.Missing) > 0 {
		// The times for which entries have been missing change.
		packed, err = pack(p)
	} else {
		packed, err = f.targetsCache.get(v.At(), v.Hash, p)
	}
	if err != nil {
		f.log.Error("cannot encode targets for other hosts", zap.Error(err))
		s.TargetsAge = unknownAge
	}
	s.Targets = packed
}

// hasLeaver reports whether the reading host knows that a process of a target is leaving.
func (k *Known) hasLeaver(l roster.Leaver) bool {
	if k.LeavingProcesses == nil {
		return slices.Contains(k.Leavers, l.ID)
	}
	return slices.ContainsFunc(k.LeavingProcesses, l.Process().Equal)
}

// Service serves the calls of other hosts.
type Service struct {
	follower   *Follower
	members    func() []coord.Member
	leavers    func() []roster.Leaver
	rateLimits func() []roster.RateLimit
}

// NewService returns the service through which other hosts read a follower's views; the functions return the hosts, the leaving targets and the rate limits to report.
func NewService(f *Follower, members func() []coord.Member, leavers func() []roster.Leaver, rateLimits func() []roster.RateLimit) *Service {
	return &Service{
		follower:   f,
		members:    members,
		leavers:    leavers,
		rateLimits: rateLimits,
	}
}

// Read returns what differs from what the calling host knows.
func (s *Service) Read(known Known, reply *State) error {
	*reply = s.follower.AwaitDiff(known, s.members)
	for _, l := range s.leavers() {
		if !known.hasLeaver(l) {
			reply.Leavers = append(reply.Leavers, l)
		}
	}
	if all := s.rateLimits(); roster.RateLimitsHash(all) != known.RateLimits {
		reply.RateLimits = all
	}
	return nil
}

// Greet hands the calling host, which knows configuration and targets, to RunFallbacks as a host to read from, unless another one is still waiting there. It reports whether this host knows configuration and targets itself.
func (s *Service) Greet(from coord.Member, reply *bool) error {
	*reply = s.follower.Ready()
	select {
	case s.follower.greetings <- from:
	default:
	}
	return nil
}

// Ping returns at once, which shows that this host is alive.
func (s *Service) Ping(_ bool, reply *bool) error {
	*reply = true
	return nil
}

package follow

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/roster"
	"kingcupcross/route"
)

const (
	// feedWait is how long another host holds a question back while nothing has changed.
	feedWait = time.Second
	// feedGrace is added to that for the way.
	feedGrace = 400 * time.Millisecond
	// watchSlack is the age of views beyond the time that a call for the operator's changes waits, up to which they stand for the store's own.
	watchSlack = 500 * time.Millisecond
)

// Views is the name of the calls between hosts.
const Views = "Views"

// Known says what a host knows already: the sums of its parts and the store's revisions that they are from.
type Known struct {
	Operator, OperatorRevision uint64
	Targets, TargetsRevision   uint64
	Members                    uint64
	// Leavers are the targets that are known to have said that they leave.
	Leavers []string
}

// State is what a host tells another: the parts that differ, and how old its knowledge is.
type State struct {
	// Operator is a route.Operator, Targets a roster.Page; Changes stand for Targets where the earlier view is known.
	Operator Packed
	Targets  Packed
	Changes  *roster.Changes
	Members  []coord.Member
	// Leavers are targets that have said that they leave and that the other host didn't name.
	Leavers []roster.Leaver
	// OperatorAge and TargetsAge are the times since the views were last known to show all changes.
	OperatorAge, TargetsAge time.Duration
}

// age returns the age of the older part.
func (s *State) age() time.Duration {
	return max(s.OperatorAge, s.TargetsAge)
}

// fresh returns the age up to which views of a host that follows the store are expected to be.
func (f *Follower) fresh() time.Duration {
	return f.watch + watchSlack
}

// Feed is what a host needs to be fed by others.
type Feed struct {
	// Sources returns the hosts to read from, the best first; none means that this host reads the store.
	Sources func() []coord.Member
	// Read asks another host for what differs from what is known, which it may hold back for feedWait.
	Read func(ctx context.Context, from coord.Member, known Known) (State, error)
	// Spares returns hosts to read from while this host can't reach the store or has learned nothing of it yet.
	Spares func() []coord.Member
	// Members returns the hosts that are known, SetMembers replaces them.
	Members    func() []coord.Member
	SetMembers func([]coord.Member)
	// Leavers returns the targets that have said that they leave, Learn takes those that another host knows of; both may be nil.
	Leavers func() []roster.Leaver
	Learn   func([]roster.Leaver)
}

// Fed reports whether another host's views stand for the store's.
func (f *Follower) Fed() bool {
	return f.stamp(f.clock.Now()) < f.fed.Load()
}

// RunFeed reads the views of other hosts until the context ends.
func (f *Follower) RunFeed(ctx context.Context, feed Feed) error {
	f.takeTurn(ctx, feed)
	for ctx.Err() == nil {
		if !f.readOne(ctx, feed) {
			if f.fed.Swap(0) != 0 {
				f.giveWay(turnEach, turnMost)
				f.log.Info("no host's views can be had, reading the store")
			}
			f.pause(ctx)
		}
	}
	return nil
}

// readOne reads from the first source that is fresh.
func (f *Follower) readOne(ctx context.Context, feed Feed) bool {
	for _, m := range feed.Sources() {
		known := f.knownOf(feed)
		limited, cancel := f.clock.WithTimeout(ctx, feedWait+feedGrace)
		s, err := feed.Read(limited, m, known)
		cancel()
		if err != nil && ctx.Err() != nil {
			return false
		}
		if err != nil {
			f.scope.Counter("feed_failures").Inc(1)
			f.log.Info("views of a host can't be had", zap.String("from", m.Name), zap.Error(err))
			continue
		}
		if s.age() >= f.fresh() {
			f.scope.Counter("feed_stale").Inc(1)
			continue
		}
		f.takeState(s, feed)
		// Views that stand for the store's are its answers, too.
		f.regained("views")
		f.answered.Store(f.stamp(f.clock.Now()))
		if f.fed.Swap(f.stamp(f.clock.Now().Add(feedWait+feedGrace))) == 0 {
			f.log.Info("views come from another host", zap.String("from", m.Name))
		}
		return true
	}
	return false
}

// RunSpares reads what other hosts know while this host can't learn it from the store, until the context ends.
//
// What they know may be old as well. It never replaces anything newer, and the store is tried all the while.
func (f *Follower) RunSpares(ctx context.Context, feed Feed) error {
	for ctx.Err() == nil {
		var greeted []coord.Member
		select {
		case m := <-f.greeted:
			greeted = append(greeted, m)
		case <-f.clock.After(retryPeriod):
		case <-ctx.Done():
			return nil
		}
		if !f.Ready() || f.away.Load() {
			f.readSpares(ctx, feed, append(feed.Spares(), greeted...))
		}
	}
	return nil
}

// readSpares asks all spares at once, since any of them may be away as well.
func (f *Follower) readSpares(ctx context.Context, feed Feed, spares []coord.Member) {
	known := f.knownOf(feed)
	limited, cancel := f.clock.WithTimeout(ctx, feedWait+feedGrace)
	defer cancel()
	var all sync.WaitGroup
	for _, m := range spares {
		all.Go(func() {
			s, err := feed.Read(limited, m, known)
			if err != nil {
				f.scope.Counter("feed_failures").Inc(1)
				f.log.Debug("views of a spare can't be had", zap.String("from", m.Name), zap.Error(err))
				return
			}
			if s.Operator != nil || s.Targets != nil || s.Changes != nil {
				f.scope.Counter("spare_reads").Inc(1)
				f.log.Info("views come from another host while the store can't be reached", zap.String("from", m.Name), zap.Duration("operator_age", s.OperatorAge), zap.Duration("targets_age", s.TargetsAge))
			}
			f.takeState(s, feed)
		})
	}
	all.Wait()
}

// knownOf returns what this host knows, with what targets have said of themselves.
func (f *Follower) knownOf(feed Feed) Known {
	k := f.known(feed.Members())
	if feed.Leavers != nil {
		for _, l := range feed.Leavers() {
			k.Leavers = append(k.Leavers, l.ID)
		}
	}
	return k
}

func (f *Follower) known(members []coord.Member) Known {
	o, v := f.operator.Load(), f.View()
	return Known{
		Operator:         o.Sum(),
		OperatorRevision: o.Revision,
		Targets:          v.Sum,
		TargetsRevision:  v.Revision,
		Members:          coord.Sum(members),
	}
}

func (f *Follower) takeState(s State, feed Feed) {
	now := f.clock.Now()
	if s.Operator != nil {
		if o, err := unpackOperator(s.Operator); err != nil {
			f.log.Error("another host's configuration can't be used", zap.Error(err))
		} else {
			f.takeOperator(o)
		}
	}
	if p, err := f.targetsOf(s); err != nil {
		f.log.Error("another host's targets can't be used", zap.Error(err))
	} else if p != nil {
		f.takeFed(*p, now)
	}
	if len(s.Members) > 0 {
		feed.SetMembers(s.Members)
	}
	if len(s.Leavers) > 0 && feed.Learn != nil {
		feed.Learn(s.Leavers)
	}
	later(&f.operatorRead, f.stamp(now.Add(-s.OperatorAge)))
	later(&f.targetsRead, f.stamp(now.Add(-s.TargetsAge)))
}

// targetsOf returns the targets that another host told, nil where it told none that are new here.
func (f *Follower) targetsOf(s State) (*roster.Page, error) {
	switch {
	case s.Targets != nil:
		var p roster.Page
		return &p, s.Targets.unpack(&p)
	case s.Changes != nil:
		// Where the view has changed meanwhile, the next question brings what is missing.
		if p, applies := f.View().Apply(*s.Changes); applies {
			return &p, nil
		}
	}
	return nil, nil
}

// unpackOperator returns an operator's part with its index, which doesn't travel.
func unpackOperator(p Packed) (route.Operator, error) {
	var o route.Operator
	if err := p.unpack(&o); err != nil || o.Config == nil {
		return o, err
	}
	indexed, err := route.New(*o.Config)
	o.Config = indexed
	return o, err
}

// later moves a time forward, never back: another host may have heard of the store before this one did.
func later(at *atomic.Int64, to int64) {
	for {
		old := at.Load()
		if to <= old || at.CompareAndSwap(old, to) {
			return
		}
	}
}

// Tell returns what differs from what another host knows, as soon as something does, after feedWait, or when the views here no longer stand for the store's.
func (f *Follower) Tell(known Known, members func() []coord.Member) State {
	end := f.clock.Now().Add(feedWait)
	for {
		operatorChanged, viewChanged := f.operator.Changed(), f.view.Changed()
		s, differs := f.differs(known, members())
		left := min(end.Sub(f.clock.Now()), f.fresh()-s.age())
		if differs || left <= 0 {
			return s
		}
		select {
		case <-operatorChanged:
		case <-viewChanged:
		case <-f.clock.After(left):
		}
	}
}

// Ages returns the times since the operator's part and the targets were last known to show all changes.
func (f *Follower) Ages() (operator, targets time.Duration) {
	now := f.stamp(f.clock.Now())
	return time.Duration(now - f.operatorRead.Load()), time.Duration(now - f.targetsRead.Load())
}

func (f *Follower) differs(known Known, members []coord.Member) (State, bool) {
	var s State
	s.OperatorAge, s.TargetsAge = f.Ages()
	if o := f.operator.Load(); o.Config != nil && o.Sum() != known.Operator && o.Revision >= known.OperatorRevision {
		packed, err := f.operatorPacks.of(o.Sum(), o)
		if err != nil {
			f.log.Error("configuration can't be told to other hosts", zap.Error(err))
		}
		s.Operator = packed
	}
	if v := f.View(); !v.Read.IsZero() && v.Sum != known.Targets && v.Revision >= known.TargetsRevision {
		f.tellTargets(&s, v, known.Targets)
	}
	if coord.Sum(members) != known.Members {
		s.Members = members
	}
	return s, s.Operator != nil || s.Targets != nil || s.Changes != nil || s.Members != nil
}

// tellTargets adds what leads from a known view to the present one, or all of it where the known one isn't remembered.
func (f *Follower) tellTargets(s *State, v *roster.View, known uint64) {
	if old := f.past.find(known); old != nil {
		c := v.Since(old)
		s.Changes = &c
		return
	}
	packed, err := f.targetsPacks.of(v.Sum, v.Page())
	if err != nil {
		f.log.Error("targets can't be told to other hosts", zap.Error(err))
	}
	s.Targets = packed
}

// Service answers the calls of other hosts.
type Service struct {
	follower *Follower
	members  func() []coord.Member
	leavers  func() []roster.Leaver
}

// NewService returns the calls that a follower answers, which tell of members and of targets that have said that they leave.
func NewService(f *Follower, members func() []coord.Member, leavers func() []roster.Leaver) *Service {
	return &Service{
		follower: f,
		members:  members,
		leavers:  leavers,
	}
}

// Read answers what differs from what the caller knows.
func (s *Service) Read(known Known, reply *State) error {
	*reply = s.follower.Tell(known, s.members)
	for _, l := range s.leavers() {
		if !slices.Contains(known.Leavers, l.ID) {
			reply.Leavers = append(reply.Leavers, l)
		}
	}
	return nil
}

// Greet takes note of a host that knows configuration and targets, and tells whether this one does.
func (s *Service) Greet(from coord.Member, reply *bool) error {
	*reply = s.follower.Ready()
	select {
	case s.follower.greeted <- from:
	default:
	}
	return nil
}

// Ping answers at once.
func (s *Service) Ping(_ bool, reply *bool) error {
	*reply = true
	return nil
}

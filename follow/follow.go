package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/coord"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

const (
	// watchShare is the part of the shortest bound on news for which one call waits for a change: a call that hears nothing, although there was a change, is followed by one that does.
	watchShare = 0.6
	// afterOperator is the time after an answer about the operator's part at which one about the targets is due: the revision of the first shows whether the second has missed anything.
	afterOperator = 50 * time.Millisecond
	// leastSettle is the time between the answer to a call that brought changes of targets and the next call; it doubles up to mostSettle while changes follow each other, as cold targets make them.
	leastSettle = 250 * time.Millisecond
	mostSettle  = time.Second
	// startLimit is the time after a start within which a store that is well has given configuration and targets, also to a host with a fifth of a core.
	startLimit = 300 * time.Millisecond
	// refusedLook is the time between two looks whether the operator's part can be read again.
	refusedLook = 20 * time.Millisecond
	// retryPeriod is the time between two tries while the store gives no answer.
	retryPeriod = 400 * time.Millisecond
)

// Store is what is read of the platform's store.
type Store struct {
	Operator      func(context.Context) (route.Operator, error)
	AwaitOperator func(ctx context.Context, after uint64, wait time.Duration) (revision uint64, changed bool, err error)
	// Targets reads the targets; unless it is to be exact, the reading may be old by any time.
	Targets func(ctx context.Context, exact bool) (roster.Page, error)
	// AwaitTargets waits up to wait for changes of targets after a revision.
	AwaitTargets func(ctx context.Context, after uint64, wait time.Duration) (roster.Update, error)
}

// Follower keeps the views.
type Follower struct {
	clock *timer.Service
	store Store
	// watch is how long one call waits for a change at most.
	watch time.Duration
	log   *zap.Logger
	scope tally.Scope

	operator *board.Cell[route.Operator]
	view     *board.Cell[roster.View]

	// hold is the time for which a configuration is held back at most, held the one that is.
	hold time.Duration
	held atomic.Pointer[held]

	// refused says that the last reading of the operator's part failed.
	refused atomic.Bool
	// away says that the store gave no answer lately.
	away atomic.Bool
	// targetsAt is the time of the last reading of the targets; only their loop uses it.
	targetsAt time.Time
	// crowd is what is known of the hosts that need the same news; turn is closed when this host may ask the store after its start, nil where it needn't wait, and turnLimit bounds that wait.
	crowd     Crowd
	turn      chan struct{}
	turnLimit time.Duration
	// waitUntil is the time until which the store is left to other hosts.
	waitUntil atomic.Int64
	// settle is the time until the next call for changes of targets after one that brought some.
	settle time.Duration
	// lapse is the shortest outage of the store in which entries of targets lapse.
	lapse time.Duration
	// answered is the time of the last answer to any call, back that of the first one after an outage, zero before the first.
	answered, back atomic.Int64
	// began is the time that the next fields count from, in nanoseconds, so that no step of the time of day moves them.
	began time.Time
	// operatorRead and targetsRead are the times up to which the views are known to show all changes.
	operatorRead, targetsRead atomic.Int64
	// operatorDue is the time at which the call that waits for the operator is to be answered.
	operatorDue atomic.Int64
	// fed is the time until which another host's views stand for the store's.
	fed atomic.Int64
	// behind tells whether the targets show all that the store is known to hold.
	behind behind
	// operatorPacks, targetsPacks and past are what other hosts are told from.
	operatorPacks, targetsPacks packs
	past                        past
	// greeted holds the last host that said that it knows configuration and targets.
	greeted chan coord.Member
}

// ErrCompacted says that the store has dropped the history after a revision.
var ErrCompacted = errors.New("the store has dropped the history after this revision")

// New returns a follower of a store that knows each change within news; lapse is the shortest outage of the store in which entries of targets lapse.
func New(clock *timer.Service, store Store, news, lapse time.Duration, log *zap.Logger, scope tally.Scope) *Follower {
	return &Follower{
		clock:    clock,
		store:    store,
		watch:    time.Duration(watchShare * float64(news)),
		hold:     time.Duration(holdShare * float64(news)),
		lapse:    lapse,
		log:      log,
		scope:    scope,
		began:    clock.Now(),
		operator: board.NewCell(&route.Operator{}),
		view:     board.NewCell(roster.Empty()),
		greeted:  make(chan coord.Member, 1),
		settle:   leastSettle,
	}
}

// stamp returns a time as it is kept in atomics.
func (f *Follower) stamp(t time.Time) int64 { return int64(t.Sub(f.began)) }

// Config returns the configuration in force, nil before the first.
func (f *Follower) Config() *route.Config { return f.operator.Load().Config }

// View returns the roster of targets.
func (f *Follower) View() *roster.View { return f.view.Load() }

// Out reports whether a data centre is out of service.
func (f *Follower) Out(datacentre string) bool { return f.operator.Load().Out[datacentre] }

// Away reports whether the store gave no answer lately.
func (f *Follower) Away() bool { return f.away.Load() }

// Ready reports whether configuration and targets are known.
func (f *Follower) Ready() bool {
	return f.Config() != nil && !f.View().Read.IsZero()
}

// AwaitReady waits until configuration and targets are known, or can no longer be expected at once after the start.
func (f *Follower) AwaitReady(ctx context.Context) {
	left := startLimit - f.clock.Since(f.began)
	if f.Ready() || left <= 0 {
		return
	}
	due := f.clock.After(left)
	for {
		operatorChanged, viewChanged := f.operator.Changed(), f.view.Changed()
		if f.Ready() {
			return
		}
		select {
		case <-operatorChanged:
		case <-viewChanged:
		case <-due:
			return
		case <-ctx.Done():
			return
		}
	}
}

// RunOperator follows the operator until the context ends.
func (f *Follower) RunOperator(ctx context.Context) error {
	f.awaitTurn(ctx)
	for ctx.Err() == nil {
		if f.Fed() || f.waits() {
			f.pause(ctx)
			continue
		}
		sent := f.clock.Now()
		o, err := f.store.Operator(ctx)
		f.refused.Store(err != nil)
		if err != nil {
			f.lost("operator", err)
			f.pause(ctx)
			continue
		}
		f.regained("operator")
		f.Answered()
		f.heard(o.Revision, sent)
		f.takeOperator(o)
		f.awaitChange(ctx, o.Revision)
	}
	return nil
}

// awaitChange returns as soon as something is to be read anew.
func (f *Follower) awaitChange(ctx context.Context, after uint64) {
	for ctx.Err() == nil && !f.Fed() {
		asked := f.clock.Now()
		f.operatorDue.Store(f.stamp(asked.Add(f.watch)))
		next, changed, err := f.store.AwaitOperator(ctx, after, f.watch)
		switch {
		case errors.Is(err, ErrCompacted):
			f.Answered()
			f.log.Info("history of the store is gone, reading anew", zap.Uint64("after", after))
			return
		case err != nil && f.clock.Since(asked) < f.watch:
			// A call that waits may be cut; whether the store can be reached shows in the reading that follows.
			f.scope.Counter("calls_cut").Inc(1)
			f.log.Info("operator's part is read anew", zap.Uint64("after", after), zap.Error(err))
			f.pause(ctx)
			return
		case err != nil:
			f.lost("operator", err)
			f.pause(ctx)
			return
		}
		f.Answered()
		if changed {
			return
		}
		// The answer to a call that waits holds for the time at which it is made.
		f.heard(next, f.clock.Now())
		after = next
	}
}

// heard notes that the store had a revision at a time, up to which the operator's part is known.
func (f *Follower) heard(revision uint64, at time.Time) {
	later(&f.operatorRead, f.stamp(at))
	if !f.behind.heard(revision, f.clock.Now()) {
		later(&f.targetsRead, f.stamp(at))
	}
}

// takeOperator puts a reading into force, unless it is older than the last; a configuration never goes back.
func (f *Follower) takeOperator(o route.Operator) {
	if o.Unreadable != "" {
		f.scope.Counter("unreadable_configs").Inc(1)
		f.log.Error("configuration can't be read, the last one stays in force", zap.String("cause", o.Unreadable), zap.Uint64("revision", o.Revision))
	}
	f.operator.Update(func(old *route.Operator) *route.Operator {
		if o.Revision < old.Revision {
			return nil
		}
		if o.Config == nil || (old.Config != nil && o.Config.Version <= old.Config.Version) || f.holds(o.Config, old.Config) {
			o.Config = old.Config
		} else {
			f.sayConfig(&o)
		}
		for d := range o.Out {
			if !old.Out[d] {
				f.log.Info("data centre is out of service", zap.String("datacentre", d), zap.Uint64("revision", o.Revision))
			}
		}
		for d := range old.Out {
			if !o.Out[d] {
				f.log.Info("data centre is back in service", zap.String("datacentre", d), zap.Uint64("revision", o.Revision))
			}
		}
		return &o
	})
}

func (f *Follower) sayConfig(o *route.Operator) {
	f.log.Info("configuration is in force", zap.Uint64("version", o.Config.Version), zap.Uint64("revision", o.Revision), zap.Int("routes", len(o.Config.Routes)))
	f.scope.Gauge("config_version").Update(float64(o.Config.Version))
}

// RunTargets follows the targets until the context ends.
//
// A reading may be old, so it is only what changes lead on from: each call after it brings all changes since the last, however old that was.
func (f *Follower) RunTargets(ctx context.Context) error {
	f.awaitTurn(ctx)
	following := false
	for ctx.Err() == nil {
		switch {
		case f.Fed() || f.waits():
			following = false
			f.pause(ctx)
		case following:
			following = f.awaitTargets(ctx)
		case f.refused.Load():
			// One call tells whether the store is back.
			_ = f.clock.Sleep(ctx, refusedLook)
		default:
			following = f.readTargets(ctx)
		}
	}
	return nil
}

// readTargets reads all targets, not more often than each retryPeriod, and reports whether that succeeded.
//
// The first reading may lag, so that hosts that start together don't all take from what the store can bear.
func (f *Follower) readTargets(ctx context.Context) bool {
	if left := retryPeriod - f.clock.Since(f.targetsAt); left > 0 && f.clock.Sleep(ctx, left) != nil {
		return false
	}
	sent := f.clock.Now()
	f.targetsAt = sent
	exact := !f.View().Read.IsZero()
	p, err := f.store.Targets(ctx, exact)
	if err != nil {
		f.lost("targets", err)
		return false
	}
	f.regained("targets")
	f.Answered()
	if exact {
		later(&f.targetsRead, f.stamp(sent))
	}
	f.takeTargets(p, f.clock.Now())
	return true
}

// awaitTargets waits for changes and reports whether the next ones lead on from the view.
func (f *Follower) awaitTargets(ctx context.Context) bool {
	asked := f.clock.Now()
	u, err := f.store.AwaitTargets(ctx, f.View().Revision, f.targetsWait(asked))
	switch {
	case errors.Is(err, ErrCompacted):
		f.Answered()
		f.log.Info("history of the store is gone, reading targets anew", zap.Uint64("after", f.View().Revision))
		return false
	case ctx.Err() != nil:
		return false
	case err != nil:
		// A call that waits may be cut; whether the store can be reached shows in the reading that follows.
		f.scope.Counter("calls_cut").Inc(1)
		f.log.Info("targets are read anew", zap.Uint64("after", f.View().Revision), zap.Error(err))
		return false
	}
	f.Answered()
	now := f.clock.Now()
	later(&f.targetsRead, f.stamp(now))
	f.takeUpdate(u, now)
	if f.behind.is() {
		f.log.Info("changes of targets aren't heard of, reading targets anew", zap.Uint64("after", u.Revision))
		return false
	}
	if now.Sub(asked) >= mostSettle {
		f.settle = leastSettle
	}
	if len(u.Changed)+len(u.Gone) > 0 {
		// The error says that the context has ended, which the caller's loop sees.
		_ = f.clock.Sleep(ctx, f.settle)
		f.settle = min(2*f.settle, mostSettle)
	}
	return true
}

// targetsWait returns how long a call waits for changes of targets: until the answer about the operator that is due next has come.
func (f *Follower) targetsWait(now time.Time) time.Duration {
	switch due := time.Duration(f.operatorDue.Load() - f.stamp(now)); {
	case due > 0:
		return due + afterOperator
	case due > -watchSlack:
		return 2 * afterOperator
	default:
		// The operator's part isn't followed at the moment.
		return f.watch
	}
}

// returned returns the time at which the store was reached again after an outage, zero where there was none.
func (f *Follower) returned() time.Time {
	back := f.back.Load()
	if back == 0 {
		return time.Time{}
	}
	return f.began.Add(time.Duration(back))
}

// takeTargets puts a reading in the place of the view, unless it is older.
func (f *Follower) takeTargets(p roster.Page, now time.Time) {
	f.takeView(now, func(old *roster.View) *roster.View { return old.Merge(p, now, f.returned()) })
}

// takeFed puts another host's targets in the place of the view, unless they are older; that host keeps those that may come back.
func (f *Follower) takeFed(p roster.Page, now time.Time) {
	f.takeView(now, func(old *roster.View) *roster.View { return old.Merge(p, now, time.Time{}) })
}

// takeUpdate puts changes into the view, unless it is newer.
func (f *Follower) takeUpdate(u roster.Update, now time.Time) {
	f.takeView(now, func(old *roster.View) *roster.View { return old.Update(u, now, f.returned()) })
}

func (f *Follower) takeView(now time.Time, after func(*roster.View) *roster.View) {
	f.view.Update(func(old *roster.View) *roster.View {
		next := after(old)
		if next == nil {
			f.scope.Counter("older_readings").Inc(1)
			return nil
		}
		f.say(old, next)
		if next.Sum != old.Sum {
			f.past.add(next)
		}
		return next
	})
	f.sayBehind(now)
	f.release()
}

// sayBehind logs that readings have been behind the store for a while, and that they no longer are.
func (f *Follower) sayBehind(now time.Time) {
	lag, news := f.behind.shows(f.View().Revision, now)
	if !news || f.Fed() {
		return
	}
	store, shown := f.behind.revisions()
	message := "targets have caught up with the store"
	if shown < store {
		message = "targets are behind the store"
	}
	f.log.Info(message, zap.Uint64("revision", shown), zap.Uint64("store", store), zap.Int64("behind_ms", lag.Milliseconds()))
}

// Lag returns the time for which the targets have been known to be behind the store; a host that is fed doesn't know.
func (f *Follower) Lag() time.Duration {
	if f.Fed() {
		return 0
	}
	return f.behind.lag(f.clock.Now())
}

// say logs what a reading changes.
func (f *Follower) say(old, next *roster.View) {
	for id, e := range next.Entries {
		was := old.Entries[id]
		switch {
		case was == nil:
			f.log.Info("target is known", zap.String("target", id), zap.String("service", e.Service), zap.Bool("draining", e.Draining), zap.Uint64("revision", e.Revision))
		case e.Draining && !was.Draining:
			f.log.Info("target is draining", zap.String("target", id), zap.String("service", e.Service), zap.Uint64("revision", e.Revision))
		}
	}
	for id, e := range old.Entries {
		if next.Entries[id] == nil {
			f.log.Info("target is gone", zap.String("target", id), zap.String("service", e.Service), zap.Uint64("revision", next.Revision))
		}
	}
}

// Unreadable counts an entry of a target that can't be read and names the first ones.
func (f *Follower) Unreadable(err error) {
	f.scope.Counter("unreadable_entries").Inc(1)
	f.log.Debug("entry of a target can't be read", zap.Error(err))
}

func (f *Follower) pause(ctx context.Context) {
	// The error says that the context has ended, which the caller's loop sees.
	_ = f.clock.Sleep(ctx, retryPeriod)
}

func (f *Follower) lost(what string, err error) {
	f.scope.Counter("store_failures").Inc(1)
	f.giveWay(retryEach, retryMost)
	if !f.away.Swap(true) {
		f.log.Warn("store can't be reached", zap.String("reading", what), zap.Error(err))
	}
}

func (f *Follower) regained(what string) {
	if f.away.Swap(false) {
		f.log.Info("store is reached again", zap.String("reading", what))
	}
}

// Answered notes that the store has answered a call, of any kind.
//
// The first answer after an outage has targets that are missing from then on kept until they can no longer be expected back. Calls that wait may be lost while others are answered, so only a time without any answer is an outage.
func (f *Follower) Answered() {
	now := f.stamp(f.clock.Now())
	silent := time.Duration(now - f.answered.Swap(now))
	if silent < f.lapse || f.Fed() {
		return
	}
	f.log.Info("store answers again", zap.Int64("silent_ms", silent.Milliseconds()))
	f.back.Store(now)
	f.clock.AfterFunc(roster.ReturnGrace, func() {
		f.takeUpdate(roster.Update{Revision: f.View().Revision}, f.clock.Now())
	})
}

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
	// targetsPeriod is the time between two readings of the targets: with the lag of such a reading, of about a second, it stays within the 3 s in which a leaving target must get no more work.
	targetsPeriod = time.Second
	// watchShare is the part of the time within which a change is to be in force that one call waits for it: a call that hears nothing, although there was a change, is followed by one that does.
	watchShare = 0.6
	// returnPeriod is the time between two readings while targets are missing that may come back any moment, and returnLimit the time after a start or an outage in which they do: entries that lapsed are back within about two seconds.
	returnPeriod = 250 * time.Millisecond
	returnLimit  = 4 * time.Second
	// startLimit is the time after a start within which a store that is well has given configuration and targets, also to a host with a fifth of a core.
	startLimit = 300 * time.Millisecond
	// retryPeriod is the time between two tries while the store gives no answer.
	retryPeriod = 400 * time.Millisecond
)

// Store is what is read of the platform's store.
type Store struct {
	Operator      func(context.Context) (route.Operator, error)
	AwaitOperator func(ctx context.Context, after uint64, wait time.Duration) (revision uint64, changed bool, err error)
	// Targets reads the targets; unless it is to be exact, the reading may lag by seconds.
	Targets func(ctx context.Context, exact bool) (roster.Page, error)
}

// Follower keeps the views.
type Follower struct {
	clock *timer.Service
	store Store
	// watch is how long one call waits for a change by the operator.
	watch time.Duration
	log   *zap.Logger
	scope tally.Scope

	operator *board.Cell[route.Operator]
	view     *board.Cell[roster.View]

	// away says that the store gave no answer lately.
	away atomic.Bool
	// targetsLost says that the last reading of the targets failed; only their loop uses it.
	targetsLost bool
	// targetsBack is the time since which the targets are read again after an outage, zero before the first.
	targetsBack atomic.Int64
	// began is the time that the next fields count from, in nanoseconds, so that no step of the time of day moves them.
	began time.Time
	// operatorRead and targetsRead are the times of the last answers of the store, or of another host less the age that it stated.
	operatorRead, targetsRead atomic.Int64
	// operatorSet is the time at which the operator's part last changed.
	operatorSet atomic.Int64
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

// New returns a follower of a store that has a change of the configuration in force within apply.
func New(clock *timer.Service, store Store, apply time.Duration, log *zap.Logger, scope tally.Scope) *Follower {
	return &Follower{
		clock:    clock,
		store:    store,
		watch:    time.Duration(watchShare * float64(apply)),
		log:      log,
		scope:    scope,
		began:    clock.Now(),
		operator: board.NewCell(&route.Operator{}),
		view:     board.NewCell(roster.Empty()),
		greeted:  make(chan coord.Member, 1),
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
	for ctx.Err() == nil {
		if f.Fed() {
			f.pause(ctx)
			continue
		}
		o, err := f.store.Operator(ctx)
		if err != nil {
			f.lost("operator", err)
			f.pause(ctx)
			continue
		}
		f.regained("operator")
		now := f.clock.Now()
		f.operatorRead.Store(f.stamp(now))
		f.behind.heard(o.Revision, now)
		f.takeOperator(o)
		f.awaitChange(ctx, o.Revision)
	}
	return nil
}

// awaitChange returns as soon as something is to be read anew.
func (f *Follower) awaitChange(ctx context.Context, after uint64) {
	for ctx.Err() == nil && !f.Fed() {
		next, changed, err := f.store.AwaitOperator(ctx, after, f.watch)
		switch {
		case errors.Is(err, ErrCompacted):
			f.log.Info("history of the store is gone, reading anew", zap.Uint64("after", after))
			return
		case err != nil:
			f.lost("operator", err)
			f.pause(ctx)
			return
		case changed:
			return
		}
		now := f.clock.Now()
		f.operatorRead.Store(f.stamp(now))
		f.behind.heard(next, now)
		after = next
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
		if o.Config == nil || (old.Config != nil && o.Config.Version <= old.Config.Version) {
			o.Config = old.Config
		} else {
			f.log.Info("configuration is in force", zap.Uint64("version", o.Config.Version), zap.Uint64("revision", o.Revision), zap.Int("routes", len(o.Config.Routes)))
			f.scope.Gauge("config_version").Update(float64(o.Config.Version))
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
		f.operatorSet.Store(f.stamp(f.clock.Now()))
		return &o
	})
}

// RunTargets follows the targets until the context ends.
func (f *Follower) RunTargets(ctx context.Context) error {
	var exactAt time.Time
	for ctx.Err() == nil {
		if f.Fed() {
			f.pause(ctx)
			continue
		}
		now := f.clock.Now()
		// Readings that follow each other soon needn't be exact each time.
		exact := f.needsExact(now) && now.Sub(exactAt) >= targetsPeriod
		if exact {
			exactAt = now
		}
		p, err := f.store.Targets(ctx, exact)
		if err != nil {
			f.targetsLost = true
			f.lost("targets", err)
			f.pause(ctx)
			continue
		}
		now = f.clock.Now()
		f.targetsRead.Store(f.stamp(now))
		if f.targetsLost {
			f.targetsLost = false
			f.targetsBack.Store(f.stamp(now))
			f.regained("targets")
		}
		f.takeTargets(p, now)
		f.sayBehind(now)
		f.awaitTargets(ctx)
	}
	return nil
}

// awaitTargets waits until the targets are to be read again: after a while, or at once where a new configuration names a service without targets.
func (f *Follower) awaitTargets(ctx context.Context) {
	changed := f.operator.Changed()
	period := targetsPeriod
	if now := f.clock.Now(); f.mayReturn(now) && f.needsExact(now) {
		period = returnPeriod
	}
	due := f.clock.After(period)
	for {
		select {
		case <-changed:
			changed = nil
			if f.needsExact(f.clock.Now()) {
				return
			}
		case <-due:
			return
		case <-ctx.Done():
			return
		}
	}
}

// mayReturn reports whether targets that are missing may come back any moment.
func (f *Follower) mayReturn(now time.Time) bool {
	return now.Sub(f.began) < returnLimit || now.Sub(f.returned()) < returnLimit
}

// lagLimit is the time by which a reading of the targets may lag behind the operator's part before one is made that doesn't lag.
const lagLimit = 1500 * time.Millisecond

// needsExact reports whether readings that lag don't suffice: the configuration names a service without targets, or the last reading is known to be old.
func (f *Follower) needsExact(now time.Time) bool {
	o, v := f.operator.Load(), f.View()
	if o.Config == nil || v.Read.IsZero() {
		return false
	}
	if v.Revision < o.Revision && f.stamp(now)-f.operatorSet.Load() > int64(lagLimit) {
		return true
	}
	for _, r := range o.Config.Routes {
		for _, s := range r.Shards {
			if len(v.Services[s]) == 0 {
				return true
			}
		}
		for _, s := range r.Shares {
			if len(v.Services[s.Service]) == 0 {
				return true
			}
		}
	}
	return false
}

// returned returns the time at which the store was reached again after an outage, zero where there was none.
func (f *Follower) returned() time.Time {
	back := f.targetsBack.Load()
	if back == 0 {
		return time.Time{}
	}
	return f.began.Add(time.Duration(back))
}

func (f *Follower) takeTargets(p roster.Page, now time.Time) {
	f.view.Update(func(old *roster.View) *roster.View {
		next := old.Merge(p, now, f.returned())
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
}

// sayBehind logs that readings have been behind the store for a while, and that they no longer are.
func (f *Follower) sayBehind(now time.Time) {
	lag, news := f.behind.shows(f.View().Revision, now)
	if !news {
		return
	}
	store, shown := f.behind.revisions()
	message := "targets have caught up with the store"
	if shown < store {
		message = "targets are behind the store"
	}
	f.log.Info(message, zap.Uint64("revision", shown), zap.Uint64("store", store), zap.Int64("behind_ms", lag.Milliseconds()))
}

// Lag returns the time for which the targets have been known to be behind the store.
func (f *Follower) Lag() time.Duration {
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
	if !f.away.Swap(true) {
		f.log.Warn("store can't be reached", zap.String("reading", what), zap.Error(err))
	}
}

func (f *Follower) regained(what string) {
	if f.away.Swap(false) {
		f.log.Info("store is reached again", zap.String("reading", what))
	}
}

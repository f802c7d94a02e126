package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"kingcupcross/board"
	"kingcupcross/coord"
	"kingcupcross/epoch"
	"kingcupcross/roster"
	"kingcupcross/route"
	"kingcupcross/timer"
)

const (
	// watchWaitFraction is the fraction of the shortest propagation limit for which one call waits for a change, so that a call that misses a change is followed in time by one that sees it.
	watchWaitFraction = 0.6
	// targetsWaitMargin is how long after an answer to the call for operator changes the call for target changes is due: the revision in the first answer shows whether the second has missed a change.
	targetsWaitMargin = 50 * time.Millisecond
	// minTargetsPause is the pause after an answer with changes of targets before the next call; it doubles up to maxTargetsPause while changes follow each other, as they do when cold targets warm up.
	minTargetsPause = 250 * time.Millisecond
	maxTargetsPause = time.Second
	// startupWait is how long after the start callers wait for configuration and targets. A healthy store delivers both within it, even to a host with a fifth of a core.
	startupWait = 300 * time.Millisecond
	// operatorFailedPollPeriod is the period at which the loop of the targets checks whether the operator data can be read again.
	operatorFailedPollPeriod = 20 * time.Millisecond
	// retryPeriod is the time between two attempts while the store gives no answer.
	retryPeriod = 400 * time.Millisecond
)

// Store is the part of the platform's store that a follower reads. The operator data are the configuration and the data centres out of service.
type Store struct {
	Operator      func(context.Context) (route.OperatorState, error)
	AwaitOperator func(ctx context.Context, after epoch.Revision, wait time.Duration) (at epoch.Revision, changed bool, err error)
	// Targets reads all targets. Unless exact is set, the reading may be out of date by any amount.
	Targets func(ctx context.Context, exact bool) (roster.Listing, error)
	// AwaitTargets waits up to wait for changes of targets after a revision.
	AwaitTargets func(ctx context.Context, after epoch.Revision, wait time.Duration) (roster.Update, error)
}

// Follower keeps the views of the configuration and the targets and answers other hosts from them.
type Follower struct {
	clock *timer.Clock
	store Store
	// watchWait is how long one call to the store waits for a change at most.
	watchWait time.Duration
	log       *zap.Logger
	scope     tally.Scope

	operator *board.Observable[route.OperatorState]
	view     *board.Observable[roster.View]

	// maxHold is how long a configuration may be held back; heldConfig is the one that is held back, nil where there is none.
	maxHold    time.Duration
	heldConfig atomic.Pointer[heldConfig]

	// operatorFailed is set if the last reading of the operator data failed.
	operatorFailed atomic.Bool
	// storeUnreachable is set if the last attempt to read the store failed.
	storeUnreachable atomic.Bool
	// targetsReadAt is the time of the last reading of all targets; only the loop of the targets uses it.
	targetsReadAt time.Time
	// hostGroup describes the hosts of the data centre. storeAllowed is closed when this host may ask the store after its start; it is nil where no wait is needed. startWaitLimit limits that wait.
	hostGroup      HostGroup
	storeAllowed   chan struct{}
	startWaitLimit time.Duration
	// backoffUntil is the time until which this host leaves the store to other hosts.
	backoffUntil atomic.Int64
	// targetsPause is the pause after the next answer that brings changes of targets.
	targetsPause time.Duration
	// outageThreshold is the shortest outage of the store in which entries of targets can expire.
	outageThreshold time.Duration
	// epochs holds the newest known epoch of the store.
	epochs *epoch.Tracker
	// restoredAt is when this host learned that the store was restored from an older copy, zero if it never was.
	restoredAt atomic.Int64
	// lastOperator holds the operator data as last read, before the rules for a restored store are applied.
	lastOperator atomic.Pointer[route.OperatorState]
	// lastAnswer is the time of the last answer to any call, outageEnd that of the first answer after an outage or a restore, zero before the first one.
	lastAnswer, outageEnd atomic.Int64
	// epoch is the time from which the atomic times of the follower count in nanoseconds, so that steps of the wall clock don't affect them.
	epoch time.Time
	// operatorCurrentAt and targetsCurrentAt are the times up to which the views are known to include all changes.
	operatorCurrentAt, targetsCurrentAt atomic.Int64
	// operatorAnswerDue is the time at which the pending call for operator changes is due to be answered.
	operatorAnswerDue atomic.Int64
	// fedUntil is the time until which views of another host replace reading the store.
	fedUntil atomic.Int64
	// unreadable remembers the entries that have been reported as unusable.
	unreadable unreadableEntries
	// revisionLag tracks whether the targets include every revision that the store is known to have.
	revisionLag revisionLag
	// operatorCache, targetsCache and viewHistory hold what is needed to answer the reads of other hosts.
	operatorCache, targetsCache packCache
	viewHistory                 viewHistory
	// greetings holds one host that has announced that it knows configuration and targets, until RunFallbacks receives it.
	greetings chan coord.Member
}

// ErrCompacted reports that the store has dropped the history after a revision.
var ErrCompacted = errors.New("the store has compacted the history after this revision")

// New returns a follower of a store that learns of each change within propagationLimit; outageThreshold is the shortest outage of the store in which entries of targets can expire.
func New(clock *timer.Clock, store Store, propagationLimit, outageThreshold time.Duration, log *zap.Logger, scope tally.Scope) *Follower {
	f := &Follower{
		clock:           clock,
		store:           store,
		watchWait:       time.Duration(watchWaitFraction * float64(propagationLimit)),
		maxHold:         time.Duration(holdFraction * float64(propagationLimit)),
		outageThreshold: outageThreshold,
		log:             log,
		scope:           scope,
		epoch:           clock.Now(),
		operator:        board.NewObservable(&route.OperatorState{}),
		view:            board.NewObservable(roster.Empty()),
		greetings:       make(chan coord.Member, 1),
		targetsPause:    minTargetsPause,
	}
	f.UseEpochs(&epoch.Tracker{})
	return f
}

// sinceEpoch converts a time to the form in which the atomic fields hold it.
func (f *Follower) sinceEpoch(t time.Time) int64 { return int64(t.Sub(f.epoch)) }

// Config returns the configuration in force, nil before the first.
func (f *Follower) Config() *route.Config { return f.operator.Load().Config }

// View returns the current view of the targets.
func (f *Follower) View() *roster.View { return f.view.Load() }

// DatacentreOut reports whether a data centre is out of service.
func (f *Follower) DatacentreOut(datacentre string) bool { return f.operator.Load().Out[datacentre] }

// StoreUnreachable reports whether the last attempt to read the store failed.
func (f *Follower) StoreUnreachable() bool { return f.storeUnreachable.Load() }

// Ready reports whether both configuration and targets are known.
func (f *Follower) Ready() bool {
	return f.Config() != nil && !f.View().ReadAt.IsZero()
}

// AwaitReady waits until configuration and targets are known, at most until startupWait after the start.
func (f *Follower) AwaitReady(ctx context.Context) {
	remaining := startupWait - f.clock.Since(f.epoch)
	if f.Ready() || remaining <= 0 {
		return
	}
	timeout := f.clock.After(remaining)
	for {
		operatorChanged, viewChanged := f.operator.Changed(), f.view.Changed()
		if f.Ready() {
			return
		}
		select {
		case <-operatorChanged:
		case <-viewChanged:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// RunOperator keeps the operator data up to date until the context ends.
func (f *Follower) RunOperator(ctx context.Context) error {
	f.awaitStoreAllowed(ctx)
	for ctx.Err() == nil {
		if f.FedByPeer() || f.backingOff() {
			f.pause(ctx)
			continue
		}
		sent := f.clock.Now()
		o, err := f.store.Operator(ctx)
		f.operatorFailed.Store(err != nil)
		if err != nil {
			f.noteFailure("operator", err)
			f.pause(ctx)
			continue
		}
		f.noteRecovery("operator")
		f.NoteAnswer()
		if !f.epochs.Observe(o.Epoch) {
			f.pause(ctx)
			continue
		}
		f.observeRevision(o.At(), sent)
		f.applyOperator(o)
		f.awaitOperatorChange(ctx, o.At())
	}
	return nil
}

// awaitOperatorChange waits until the operator data have to be read again: after a change, after a failed call, or once another host's views are used instead.
func (f *Follower) awaitOperatorChange(ctx context.Context, after epoch.Revision) {
	for ctx.Err() == nil && !f.FedByPeer() {
		asked := f.clock.Now()
		f.operatorAnswerDue.Store(f.sinceEpoch(asked.Add(f.watchWait)))
		next, changed, err := f.store.AwaitOperator(ctx, after, f.watchWait)
		switch {
		case errors.Is(err, ErrCompacted):
			f.NoteAnswer()
			f.log.Info("store has compacted the history, reading the operator data again", zap.Stringer("after", after))
			return
		case err != nil && f.clock.Since(asked) < f.watchWait:
			// A call that waits may fail although the store is up; the reading that follows shows whether the store can be reached.
			f.scope.Counter("calls_cut").Inc(1)
			f.log.Info("watch of operator data failed, reading the operator data again", zap.Stringer("after", after), zap.Error(err))
			f.pause(ctx)
			return
		case err != nil:
			f.noteFailure("operator", err)
			f.pause(ctx)
			return
		}
		f.NoteAnswer()
		if changed {
			return
		}
		// The answer to a call that waits describes the store at the time of the answer.
		f.observeRevision(next, f.clock.Now())
		after = next
	}
}

// observeRevision records that the store was at a revision at a given time, up to which the operator data include all changes. The targets do as well unless they are behind that revision.
func (f *Follower) observeRevision(revision epoch.Revision, at time.Time) {
	advance(&f.operatorCurrentAt, f.sinceEpoch(at))
	if !f.revisionLag.observeStore(revision, f.clock.Now()) {
		advance(&f.targetsCurrentAt, f.sinceEpoch(at))
	}
}

// applyOperator puts operator data into force unless they are older than the present ones, and reports whether it did; the configuration never goes back to an earlier version.
func (f *Follower) applyOperator(o route.OperatorState) bool {
	if o.Unreadable != "" {
		f.scope.Counter("unreadable_configs").Inc(1)
		f.log.Error("cannot decode configuration, keeping the current one", zap.String("cause", o.Unreadable), zap.Uint64("revision", o.Revision))
	}
	return f.operator.Update(func(old *route.OperatorState) *route.OperatorState {
		if o.At().Before(old.At()) {
			return nil
		}
		read := o
		f.lastOperator.Store(&read)
		if f.InRestoreGrace() {
			// The operator may not have written again yet which data centres are out of service.
			o.Out = unionOf(o.Out, old.Out)
		}
		if o.Config == nil || (old.Config != nil && o.Config.Version <= old.Config.Version) || f.shouldHold(o.Config, old.Config) {
			o.Config = old.Config
		} else {
			f.logConfig(&o)
		}
		for d := range o.Out {
			if !old.Out[d] {
				f.log.Info("data centre taken out of service", zap.String("datacentre", d), zap.Uint64("revision", o.Revision))
			}
		}
		for d := range old.Out {
			if !o.Out[d] {
				f.log.Info("data centre put back into service", zap.String("datacentre", d), zap.Uint64("revision", o.Revision))
			}
		}
		return &o
	})
}

// logConfig logs and counts a configuration that comes into force.
func (f *Follower) logConfig(o *route.OperatorState) {
	f.log.Info("configuration applied", zap.Uint64("version", o.Config.Version), zap.Uint64("revision", o.Revision), zap.Int("routes", len(o.Config.Routes)))
	f.scope.Gauge("config_version").Update(float64(o.Config.Version))
}

// RunTargets keeps the targets up to date until the context ends.
//
// It reads all targets once and then waits for changes. The reading may be out of date: each call after it returns all changes since the revision of the view, however old that is.
func (f *Follower) RunTargets(ctx context.Context) error {
	f.awaitStoreAllowed(ctx)
	following := false
	for ctx.Err() == nil {
		switch {
		case f.FedByPeer() || f.backingOff():
			following = false
			f.pause(ctx)
		case following:
			following = f.awaitTargetChanges(ctx)
		case f.operatorFailed.Load():
			// The other loop's reading shows whether the store is back, so a second call is not needed.
			_ = f.clock.Sleep(ctx, operatorFailedPollPeriod)
		default:
			following = f.readTargets(ctx)
		}
	}
	return nil
}

// readTargets reads all targets, at most once per retryPeriod, and reports whether that succeeded.
//
// The first reading needn't be exact, so that hosts that start together don't overload the store.
func (f *Follower) readTargets(ctx context.Context) bool {
	if left := retryPeriod - f.clock.Since(f.targetsReadAt); left > 0 && f.clock.Sleep(ctx, left) != nil {
		return false
	}
	sent := f.clock.Now()
	f.targetsReadAt = sent
	exact := !f.View().ReadAt.IsZero()
	p, err := f.store.Targets(ctx, exact)
	if err != nil {
		f.noteFailure("targets", err)
		return false
	}
	f.noteRecovery("targets")
	f.NoteAnswer()
	if !f.epochs.Observe(p.Epoch) {
		return false
	}
	if exact {
		advance(&f.targetsCurrentAt, f.sinceEpoch(sent))
	}
	f.applyTargets(p, f.clock.Now())
	return true
}

// awaitTargetChanges waits for changes of targets and applies them. It reports whether later changes can be applied as well; otherwise all targets have to be read again.
func (f *Follower) awaitTargetChanges(ctx context.Context) bool {
	asked := f.clock.Now()
	after := f.View().At()
	u, err := f.store.AwaitTargets(ctx, after, f.targetsWait(asked))
	switch {
	case errors.Is(err, ErrCompacted):
		f.NoteAnswer()
		f.log.Info("store has compacted the history, reading all targets again", zap.Stringer("after", after))
		return false
	case ctx.Err() != nil:
		return false
	case err != nil:
		// A call that waits may fail although the store is up; the reading that follows shows whether the store can be reached.
		f.scope.Counter("calls_cut").Inc(1)
		f.log.Info("watch of targets failed, reading all targets again", zap.Stringer("after", after), zap.Error(err))
		return false
	}
	f.NoteAnswer()
	now := f.clock.Now()
	advance(&f.targetsCurrentAt, f.sinceEpoch(now))
	f.applyUpdate(u, now)
	if f.revisionLag.isBehind() {
		f.log.Info("watch of targets missed changes, reading all targets again", zap.Uint64("after", u.Revision))
		return false
	}
	if now.Sub(asked) >= maxTargetsPause {
		f.targetsPause = minTargetsPause
	}
	if len(u.Changed)+len(u.Gone) > 0 {
		// The error says that the context has ended, which the caller's loop sees.
		_ = f.clock.Sleep(ctx, f.targetsPause)
		f.targetsPause = min(2*f.targetsPause, maxTargetsPause)
	}
	return true
}

// targetsWait returns how long a call waits for changes of targets: until shortly after the next answer to the call for operator changes is due.
func (f *Follower) targetsWait(now time.Time) time.Duration {
	switch due := time.Duration(f.operatorAnswerDue.Load() - f.sinceEpoch(now)); {
	case due > 0:
		return due + targetsWaitMargin
	case due > -freshnessSlack:
		return 2 * targetsWaitMargin
	default:
		// The operator data aren't being followed at the moment.
		return f.watchWait
	}
}

// outageEndTime returns the time at which the store answered again after the last outage, zero where there was none.
func (f *Follower) outageEndTime() time.Time {
	end := f.outageEnd.Load()
	if end == 0 {
		return time.Time{}
	}
	return f.epoch.Add(time.Duration(end))
}

// applyTargets replaces the view by a reading of all targets, unless that is older.
func (f *Follower) applyTargets(p roster.Listing, now time.Time) {
	f.replaceView(now, func(old *roster.View) *roster.View { return old.Merge(p, now, f.outageEndTime()) })
}

// applyUpdate applies changes to the view, unless the view is newer.
func (f *Follower) applyUpdate(u roster.Update, now time.Time) {
	f.replaceView(now, func(old *roster.View) *roster.View { return old.Update(u, now, f.outageEndTime()) })
}

// replaceView replaces the view by the one that change returns and reports whether it did; nil means that the reading was older than the view.
func (f *Follower) replaceView(now time.Time, change func(*roster.View) *roster.View) bool {
	replaced := f.view.Update(func(old *roster.View) *roster.View {
		next := change(old)
		if next == nil {
			f.scope.Counter("older_readings").Inc(1)
			return nil
		}
		f.logTargetChanges(old, next)
		if next.Hash != old.Hash {
			f.viewHistory.add(next)
		}
		return next
	})
	f.logLag(now)
	f.releaseHeld()
	return replaced
}

// logLag logs once when the targets have been behind the store for lagLogThreshold, and again when they have caught up.
func (f *Follower) logLag(now time.Time) {
	lag, shouldLog := f.revisionLag.observeTargets(f.View().At(), now)
	if !shouldLog || f.FedByPeer() {
		return
	}
	store, targets := f.revisionLag.revisions()
	message := "targets have caught up with the store"
	if targets.Before(store) {
		message = "targets are behind the store"
	}
	f.log.Info(message, zap.Stringer("revision", targets), zap.Stringer("store", store), zap.Int64("behind_ms", lag.Milliseconds()))
}

// TargetsLag returns how long the targets have been known to be behind the store. It is zero while the views come from another host, because the lag is unknown then.
func (f *Follower) TargetsLag() time.Duration {
	if f.FedByPeer() {
		return 0
	}
	return f.revisionLag.lag(f.clock.Now())
}

// logTargetChanges logs the targets that are new, draining or gone in the next view.
func (f *Follower) logTargetChanges(old, next *roster.View) {
	for id, e := range next.Entries {
		before := old.Entries[id]
		switch {
		case before == nil:
			f.log.Info("target added", zap.String("target", id), zap.String("service", e.Service), zap.Bool("draining", e.Draining), zap.Uint64("revision", e.Revision))
		case e.Draining && !before.Draining:
			f.log.Info("target is draining", zap.String("target", id), zap.String("service", e.Service), zap.Uint64("revision", e.Revision))
		}
	}
	for id, e := range old.Entries {
		if next.Entries[id] == nil {
			f.log.Info("target removed", zap.String("target", id), zap.String("service", e.Service), zap.Uint64("revision", next.Revision))
		}
	}
}

// NoteUnreadable counts and logs an entry that can't be used. If err is a roster.EntryError, it does so once for each revision of the entry.
func (f *Follower) NoteUnreadable(err error) {
	var entry *roster.EntryError
	if errors.As(err, &entry) && !f.unreadable.add(entry.Key, entry.Revision) {
		return
	}
	f.scope.Counter("unreadable_entries").Inc(1)
	f.log.Warn("entry can't be used", zap.Error(err))
}

// maxUnreadable is the number of entries that are remembered as unusable; beyond it, all are forgotten.
const maxUnreadable = 1024

// unreadableEntries remembers the entries that have been reported as unusable.
type unreadableEntries struct {
	mu sync.Mutex
	// revisions holds the revision that was reported, by key.
	revisions map[string]uint64
}

// add remembers a revision of an entry and reports whether it is another one than before.
func (u *unreadableEntries) add(key string, revision uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reported, found := u.revisions[key]; found && reported == revision {
		return false
	}
	if u.revisions == nil || len(u.revisions) >= maxUnreadable {
		u.revisions = map[string]uint64{}
	}
	u.revisions[key] = revision
	return true
}

// pause waits for retryPeriod or until the context ends.
func (f *Follower) pause(ctx context.Context) {
	// The error says that the context has ended, which the caller's loop sees.
	_ = f.clock.Sleep(ctx, retryPeriod)
}

// noteFailure records a failed call to the store and backs off; the first failure in a row is logged.
func (f *Follower) noteFailure(reading string, err error) {
	f.scope.Counter("store_failures").Inc(1)
	f.backOff(retrySpacing, maxRetryDelay)
	if !f.storeUnreachable.Swap(true) {
		f.log.Warn("store is unreachable", zap.String("reading", reading), zap.Error(err))
	}
}

// noteRecovery records a successful reading, after which the store no longer counts as unreachable.
func (f *Follower) noteRecovery(reading string) {
	if f.storeUnreachable.Swap(false) {
		f.log.Info("store is reachable again", zap.String("reading", reading))
	}
}

// NoteAnswer records that the store has answered a call, of any kind.
//
// After the first answer that ends an outage, targets that are missing from the store are kept until they should have registered again. Calls that wait may be lost while other calls are answered, so only a time without any answer counts as an outage.
func (f *Follower) NoteAnswer() {
	now := f.sinceEpoch(f.clock.Now())
	silent := time.Duration(now - f.lastAnswer.Swap(now))
	if silent < f.outageThreshold || f.FedByPeer() {
		return
	}
	f.log.Info("store responds again after an outage", zap.Int64("silent_ms", silent.Milliseconds()))
	f.keepMissingTargets()
}

// keepMissingTargets keeps targets that are missing from the store until they should have registered again.
func (f *Follower) keepMissingTargets() {
	f.outageEnd.Store(f.sinceEpoch(f.clock.Now()))
	f.clock.AfterFunc(roster.OutageGrace, func() {
		at := f.View().At()
		f.applyUpdate(roster.Update{Epoch: at.Epoch, Revision: at.Number}, f.clock.Now())
	})
}

package follow

import (
	"maps"

	"go.uber.org/zap"

	"kingcupcross/epoch"
	"kingcupcross/roster"
)

// The store may be restored from a copy that is some seconds old. What operator and targets wrote since then is missing until they have written it again, and what they removed since then is back. Revisions are given out again, so that only those of one epoch can be compared.

// UseEpochs makes the follower share the newest known epoch of the store with others. It must be called before the follower runs.
func (f *Follower) UseEpochs(t *epoch.Tracker) {
	f.epochs = t
	t.Subscribe(f.handleEpoch)
}

// handleEpoch keeps targets and data centres out of service as they are for roster.OutageGrace after a restore of the store, until they have been written again.
func (f *Follower) handleEpoch(old, current uint64) {
	f.scope.Gauge("store_epoch").Update(float64(current))
	if old == 0 {
		return
	}
	f.scope.Counter("store_restores").Inc(1)
	f.log.Warn("store was restored from an older copy",
		zap.Uint64("old_epoch", old),
		zap.Uint64("epoch", current),
		zap.Stringer("operator", f.operator.Load().At()),
		zap.Stringer("targets", f.View().At()))
	f.restoredAt.Store(max(f.sinceEpoch(f.clock.Now()), 1))
	f.keepMissingTargets()
	f.clock.AfterFunc(roster.OutageGrace, func() {
		if o := f.lastOperator.Load(); o != nil {
			f.applyOperator(*o)
		}
	})
}

// InRestoreGrace reports whether the store was restored from an older copy less than roster.OutageGrace ago.
func (f *Follower) InRestoreGrace() bool {
	restored := f.restoredAt.Load()
	return restored != 0 && f.sinceEpoch(f.clock.Now())-restored < int64(roster.OutageGrace)
}

// unionOf returns the data centres that are out of service in either set.
func unionOf(a, b map[string]bool) map[string]bool {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]bool{}
	}
	for d, out := range b {
		if out {
			all[d] = true
		}
	}
	return all
}

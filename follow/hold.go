package follow

import (
	"time"

	"go.uber.org/zap"

	"kingcupcross/roster"
	"kingcupcross/route"
)

// holdFraction is the fraction of the shortest propagation limit for which a configuration may be held back; the rest of the limit is left for reading it.
const holdFraction = 0.3

// heldConfig is a configuration that has been read but is not in force yet, because its services lack targets.
type heldConfig struct {
	config *route.Config
	until  time.Time
}

// shouldHold reports whether a configuration has to be held back, and records it in heldConfig if so. After an outage of the store it can name services whose targets are only about to register, while those of the previous configuration still serve.
func (f *Follower) shouldHold(next, old *route.Config) bool {
	if old == nil || !losesTargets(next, old, f.View()) {
		f.heldConfig.Store(nil)
		return false
	}
	now := f.clock.Now()
	h := heldConfig{config: next, until: now.Add(f.maxHold)}
	if before := f.heldConfig.Load(); before != nil {
		// A newer version keeps the deadline of the first one held back, so that a series of versions is not held back for longer.
		h.until = before.until
	} else {
		f.log.Info("configuration held back until its services have targets", zap.Uint64("version", next.Version), zap.Duration("most", f.maxHold))
		f.clock.AfterFunc(f.maxHold, f.releaseHeld)
	}
	f.heldConfig.Store(&h)
	return now.Before(h.until)
}

// releaseHeld puts the held configuration into force once its targets are known or maxHold has passed.
func (f *Follower) releaseHeld() {
	h := f.heldConfig.Load()
	if h == nil {
		return
	}
	f.operator.Update(func(old *route.OperatorState) *route.OperatorState {
		if h.config.Version <= old.Config.Version || (f.clock.Now().Before(h.until) && losesTargets(h.config, old.Config, f.View())) {
			return nil
		}
		next := *old
		next.Config = h.config
		f.logConfig(&next)
		f.heldConfig.CompareAndSwap(h, nil)
		return &next
	})
}

// losesTargets reports whether a smaller share of some route's services has targets in the next configuration than in the old one.
func losesTargets(next, old *route.Config, view *roster.View) bool {
	for i := range next.Routes {
		r := &next.Routes[i]
		if before := old.Match(r.Host, r.Prefix); before != nil && targetCoverage(r, view) < targetCoverage(before, view) {
			return true
		}
	}
	return false
}

// targetCoverage returns the share of a route's services, by weight, that have a target.
func targetCoverage(r *route.Route, view *roster.View) float64 {
	total, withTargets := 0.0, 0.0
	add := func(service string, weight float64) {
		total += weight
		if len(view.Services[service]) > 0 {
			withTargets += weight
		}
	}
	for _, s := range r.Shards {
		add(s, 1)
	}
	for _, s := range r.Shares {
		add(s.Service, s.Weight)
	}
	if total == 0 {
		return 0
	}
	return withTargets / total
}

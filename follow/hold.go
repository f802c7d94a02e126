package follow

import (
	"time"

	"go.uber.org/zap"

	"kingcupcross/roster"
	"kingcupcross/route"
)

// holdShare is the part of the shortest bound on news for which a configuration is held back at most: the rest is left for the news of it.
const holdShare = 0.3

// held is a configuration that is known but not in force yet, because its services lack targets.
type held struct {
	config *route.Config
	until  time.Time
}

// holds reports whether a configuration is to be held back: after an outage of the store it can name services whose targets are only about to write their entries, while those of the one before still serve.
func (f *Follower) holds(next, old *route.Config) bool {
	if old == nil || !loses(next, old, f.View()) {
		f.held.Store(nil)
		return false
	}
	now := f.clock.Now()
	h := held{config: next, until: now.Add(f.hold)}
	if before := f.held.Load(); before != nil {
		// Versions in quick succession are not held back longer than the first of them.
		h.until = before.until
	} else {
		f.log.Info("configuration waits for targets of its services", zap.Uint64("version", next.Version), zap.Duration("most", f.hold))
		f.clock.AfterFunc(f.hold, f.release)
	}
	f.held.Store(&h)
	return now.Before(h.until)
}

// release puts a configuration that is held back into force if there is no longer a reason to hold it.
func (f *Follower) release() {
	h := f.held.Load()
	if h == nil {
		return
	}
	f.operator.Update(func(old *route.Operator) *route.Operator {
		if h.config.Version <= old.Config.Version || (f.clock.Now().Before(h.until) && loses(h.config, old.Config, f.View())) {
			return nil
		}
		next := *old
		next.Config = h.config
		f.sayConfig(&next)
		f.held.CompareAndSwap(h, nil)
		return &next
	})
}

// loses reports whether a route has targets for less of its services in a configuration than in the one before.
func loses(next, old *route.Config, view *roster.View) bool {
	for i := range next.Routes {
		r := &next.Routes[i]
		if before := old.Match(r.Host, r.Prefix); before != nil && covered(r, view) < covered(before, view) {
			return true
		}
	}
	return false
}

// covered returns the share of a route's services, by weight, that have a target.
func covered(r *route.Route, view *roster.View) float64 {
	total, found := 0.0, 0.0
	add := func(service string, weight float64) {
		total += weight
		if len(view.Services[service]) > 0 {
			found += weight
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
	return found / total
}

package coord

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"kingcupcross/relay"
	"kingcupcross/roster"
)

const (
	// rateGrantMargin is added to rateLeaseTime as the time for which an owner counts a lease, since the host counts from when it sent its request.
	rateGrantMargin = RateSharePeriod
	// rateGrantRetention is how long an owner keeps a target after the last request for it.
	rateGrantRetention = time.Minute
)

// rateGrants are the shares of rate limits that this host has leased to hosts as the owner of the limits.
type rateGrants struct {
	mu      sync.Mutex
	targets map[rateKey]*rateGrant
}

// rateGrant is the division of one target's rate limit.
type rateGrant struct {
	limit   roster.RateLimit
	heardAt time.Time
	// since is when this host was first asked for the target. Another owner's leases, or those of an earlier process of this host, may be valid for some time after it.
	since, askedAt time.Time
	holders        map[string]*rateHolder
}

// rateHolder is a host's lease of a share, which may be zero.
type rateHolder struct {
	host        string
	wanted      float64
	limitsShare float64
	// fallback is set if the host could not reach the first owner.
	fallback bool
	share    float64
	until    time.Time
}

// handle grants the requested shares.
func (g *rateGrants) handle(r RateShareRequest, now time.Time) []RateShare {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.targets, func(_ rateKey, t *rateGrant) bool { return now.Sub(t.askedAt) > rateGrantRetention })
	shares := make([]RateShare, 0, len(r.Demands))
	for _, d := range r.Demands {
		k := keyOf(d.Limit.ID, d.Limit.Born)
		t := g.targets[k]
		if t == nil {
			t = &rateGrant{since: now, holders: map[string]*rateHolder{}}
			g.targets[k] = t
		}
		t.askedAt = now
		shares = append(shares, t.handle(r, d, now))
	}
	return shares
}

// handle merges the limit that a host reports with the one known here and grants the host its share.
func (t *rateGrant) handle(r RateShareRequest, d relay.RateDemand, now time.Time) RateShare {
	if heardAt := now.Add(-d.Limit.Age); t.heardAt.IsZero() || heardAt.After(t.heardAt) {
		t.limit, t.heardAt = d.Limit, heardAt
	}
	reply := RateShare{Limit: t.limit}
	reply.Limit.Age = now.Sub(t.heardAt)
	maps.DeleteFunc(t.holders, func(_ string, h *rateHolder) bool { return !now.Before(h.until) })
	if !t.limit.Limited {
		return reply
	}
	h := t.holders[r.Host]
	if h == nil {
		h = &rateHolder{host: r.Host}
		t.holders[r.Host] = h
	}
	h.wanted, h.limitsShare, h.fallback, h.until = d.PerSecond, r.LimitsShare, r.Rank > 0, now.Add(rateLeaseTime+rateGrantMargin)
	if now.Sub(t.since) < rateLeaseTime+rateGrantMargin {
		return reply
	}
	h.share = min(t.fairShare(h), max(t.total()-t.leasedToOthers(h), 0))
	reply.Share, reply.Granted = h.share, true
	return reply
}

// leasedToOthers returns the sum of the shares that other hosts hold.
func (t *rateGrant) leasedToOthers(than *rateHolder) float64 {
	sum := 0.0
	for _, h := range t.holders {
		if h != than {
			sum += h.share
		}
	}
	return sum
}

// total returns the fraction of the limit that may be leased: all of it, or the sum of the holders' equal shares if one of them couldn't reach the first owner, which may lease shares to hosts that can.
func (t *rateGrant) total() float64 {
	fallback, sum := false, 0.0
	for _, h := range t.holders {
		fallback = fallback || h.fallback
		sum += h.limitsShare
	}
	if !fallback {
		return 1
	}
	return min(sum, 1)
}

// hysteresis is the factor by which the demand of a host without a share must exceed what is enough for a host that has one. A share that moves with each change of the demand is never held long enough to save a token.
const hysteresis = 1.5

// priority returns the host's demand, higher for one that has a share.
func (h *rateHolder) priority() float64 {
	if h.share > 0 {
		return hysteresis * h.wanted
	}
	return h.wanted
}

// fairShare returns the share of the limit that is proportional to a host's demand. Where that is too small to be used, the hosts with the lowest demand get none.
func (t *rateGrant) fairShare(of *rateHolder) float64 {
	all := slices.SortedFunc(maps.Values(t.holders), func(a, b *rateHolder) int {
		return cmp.Or(cmp.Compare(b.priority(), a.priority()), strings.Compare(a.host, b.host))
	})
	total, wanted := t.total(), 0.0
	for _, h := range all {
		wanted += h.wanted
	}
	for len(all) > 1 {
		lowest := all[len(all)-1]
		share := total * lowest.wanted / max(wanted, lowest.wanted)
		if lowest.share == 0 {
			share /= hysteresis
		}
		if lowest.wanted > 0 && relay.UsableRateShare(share, t.limit.PerSecond) {
			break
		}
		wanted -= lowest.wanted
		all = all[:len(all)-1]
	}
	switch {
	case !slices.Contains(all, of):
		return 0
	case len(all) == 1:
		return total
	default:
		return total * of.wanted / wanted
	}
}

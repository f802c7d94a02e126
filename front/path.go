package front

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/poison"
	"kingcupcross/roster"
)

const (
	// pathSample is the number of targets at random by which a host checks its way to all of them.
	pathSample = poison.MaxChecked
	// minReached is the number of these that another host must reach to answer this one's requests.
	minReached = 2
	// pathCheckPeers is the number of other hosts that are asked whether they reach these targets.
	pathCheckPeers = 5
	// pathCheckPeriod is the time between two checks while the way is lost, and the least time between two suspicions that are checked.
	pathCheckPeriod = 250 * time.Millisecond
	// peerCheckPeriod is the time between two questions to other hosts while the way is lost.
	peerCheckPeriod = 2 * time.Second
)

// watchPath has other hosts answer this host's requests while it has no way to the targets and they have, until the context ends.
func (f *Front) watchPath(ctx context.Context) error {
	for {
		select {
		case <-f.engine.ReachSuspicions():
		case <-ctx.Done():
			return nil
		}
		if hosts := f.findFailoverHosts(ctx); len(hosts) > 0 {
			f.log.Warn("host has lost its way to the targets, other hosts answer its requests", zap.Int("hosts", len(hosts)))
			f.coord.SetFailoverHosts(hosts)
			f.engine.SetPathLost(true)
			f.closeTargetConnections()
			f.awaitPath(ctx)
			f.engine.SetPathLost(false)
			f.coord.SetFailoverHosts(nil)
			f.log.Info("host has a way to the targets again")
		}
		if f.clock.Sleep(ctx, pathCheckPeriod) != nil {
			return nil
		}
	}
}

// awaitPath returns once this host reaches about as many targets as others do.
func (f *Front) awaitPath(ctx context.Context) {
	asked := f.clock.Now()
	for f.clock.Sleep(ctx, pathCheckPeriod) == nil {
		if countReached(f.reachAll(ctx, f.sampleTargets())) == 0 && f.clock.Since(asked) < peerCheckPeriod {
			continue
		}
		asked = f.clock.Now()
		own, best, hosts := f.comparePaths(ctx)
		if own > 0 && 2*own >= best {
			return
		}
		if len(hosts) > 0 {
			f.coord.SetFailoverHosts(hosts)
		}
	}
}

// findFailoverHosts returns the hosts that reach targets which this one doesn't, none if this host reaches at least half as many as any other.
func (f *Front) findFailoverHosts(ctx context.Context) []coord.Member {
	own, best, hosts := f.comparePaths(ctx)
	if 2*own >= best || best < minReached {
		return nil
	}
	return hosts
}

// comparePaths connects to a sample of the targets from here and from other hosts. It returns the number that this host reached, the greatest number that another one did, and the hosts that reached at least half of that and more than this host.
func (f *Front) comparePaths(ctx context.Context) (own, best int, hosts []coord.Member) {
	sample := f.sampleTargets()
	peers := f.coord.CheckPeers(pathCheckPeers)
	if len(sample) == 0 {
		return 0, 0, nil
	}
	var request poison.CheckRequest
	for _, t := range sample {
		request.Targets = append(request.Targets, t.Process())
	}
	reached := make([]int, len(peers))
	var checks sync.WaitGroup
	checks.Go(func() { own = countReached(f.reachAll(ctx, sample)) })
	for i, m := range peers {
		checks.Go(func() { reached[i] = countReached(f.askPeerToCheck(ctx, m, request)) })
	}
	checks.Wait()
	for _, n := range reached {
		best = max(best, n)
	}
	for i, m := range peers {
		if reached[i] > own && 2*reached[i] >= best {
			hosts = append(hosts, m)
		}
	}
	f.log.Info("compared with what other hosts reach", zap.Int("reached", own), zap.Int("reached_by_others", best), zap.Int("of", len(sample)), zap.Int("hosts_that_reach_more", len(hosts)), zap.Int("hosts_asked", len(peers)))
	return own, best, hosts
}

// countReached returns the number of targets that were reached.
func countReached(results []poison.Reachability) int {
	n := 0
	for _, r := range results {
		if r == poison.Reached {
			n++
		}
	}
	return n
}

// sampleTargets returns some targets at random of those that may get work.
func (f *Front) sampleTargets() []*roster.Entry {
	var all []*roster.Entry
	for _, e := range f.follow.View().Entries {
		if !e.Draining && !f.engine.IsLeaving(e) && !f.follow.DatacentreOut(e.Datacentre) {
			all = append(all, e)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), pathSample)]
}

// closeTargetConnections closes the idle connections to targets, which may never answer again.
func (f *Front) closeTargetConnections() {
	hosts := map[netip.AddrPort]bool{}
	for _, m := range f.coord.Members() {
		hosts[m.Requests] = true
	}
	f.pool.CloseUnusable(func(a netip.AddrPort) bool { return hosts[a] })
}

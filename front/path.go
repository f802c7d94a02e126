package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"kingcupcross/coord"
	"kingcupcross/poison"
	"kingcupcross/roster"
)

const (
	// pathSample is the number of targets at random by which a host checks its way to all of them.
	pathSample = 6
	// pathWitnesses is the number of other hosts that are asked whether they reach these targets.
	pathWitnesses = 5
	// pathCheckPeriod is the least time between two suspicions that are checked.
	pathCheckPeriod = 250 * time.Millisecond
)

// watchPath finds out, where no target answers this host, whether other hosts reach them, until the context ends.
func (f *Front) watchPath(ctx context.Context) error {
	for {
		select {
		case <-f.engine.ReachSuspicions():
		case <-ctx.Done():
			return nil
		}
		f.findRelief(ctx)
		if f.clock.Sleep(ctx, pathCheckPeriod) != nil {
			return nil
		}
	}
}

// findRelief returns the hosts that reach targets which this one doesn't, none if this host reaches half of a sample itself.
func (f *Front) findRelief(ctx context.Context) []coord.Member {
	sample := f.sampleTargets()
	witnesses := f.coord.Witnesses(pathWitnesses)
	if len(sample) == 0 || len(witnesses) == 0 {
		return nil
	}
	var request poison.CheckRequest
	for _, t := range sample {
		request.Targets = append(request.Targets, t.Process())
	}
	var own []poison.Reachability
	others := make([][]poison.Reachability, len(witnesses))
	var checks sync.WaitGroup
	checks.Go(func() { own = f.reachAll(ctx, sample) })
	for i, m := range witnesses {
		checks.Go(func() { others[i] = f.askWitness(ctx, m, request) })
	}
	checks.Wait()
	if 2*countReached(own) >= len(sample) {
		return nil
	}
	var relief []coord.Member
	for i, m := range witnesses {
		if 2*countReached(others[i]) >= len(sample) {
			relief = append(relief, m)
		}
	}
	f.log.Info("few targets can be reached", zap.Int("reached", countReached(own)), zap.Int("of", len(sample)), zap.Int("hosts_that_reach_them", len(relief)), zap.Int("hosts_asked", len(witnesses)))
	return relief
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

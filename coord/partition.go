package coord

import (
	"context"
	"math/rand/v2"
	"sync"
)

// pingsPerDatacentre is the number of hosts that are pinged in each data centre. A data centre counts as unreachable if none of them answers; more than one is pinged because a single host may be down itself.
const pingsPerDatacentre = 2

// InMinorityPartition reports whether this host is on the minority side of a network partition: no host answers in more than half of the data centres that have hosts. Its own data centre counts as reachable.
//
// In a partition, the hosts on the side with fewer data centres report true and the others false; if both sides are equal, none does.
func (c *Coord) InMinorityPartition(ctx context.Context) bool {
	candidates := map[string][]Member{}
	for _, m := range c.Members() {
		if m.Datacentre != c.Self.Datacentre {
			candidates[m.Datacentre] = append(candidates[m.Datacentre], m)
		}
	}
	var mu sync.Mutex
	reached := map[string]bool{}
	var pings sync.WaitGroup
	for d, members := range candidates {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for _, m := range members[:min(len(members), pingsPerDatacentre)] {
			pings.Go(func() {
				if c.Ping(ctx, m) == nil {
					mu.Lock()
					defer mu.Unlock()
					reached[d] = true
				}
			})
		}
	}
	pings.Wait()
	return 2*(len(candidates)-len(reached)) > len(candidates)+1
}

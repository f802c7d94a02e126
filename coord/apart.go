package coord

import (
	"context"
	"math/rand/v2"
	"sync"
)

// askedEach is the number of hosts of a data centre that are asked before it counts as out of reach: one of them may be down itself.
const askedEach = 2

// Apart reports whether this host is cut off: no host answers it in most of the data centres with hosts, its own counted as reached.
//
// In a cut, the hosts on the side of fewer data centres say so, and the others don't.
func (c *Coord) Apart(ctx context.Context) bool {
	hosts := map[string][]Member{}
	for _, m := range c.Members() {
		if m.Datacentre != c.Self.Datacentre {
			hosts[m.Datacentre] = append(hosts[m.Datacentre], m)
		}
	}
	var mu sync.Mutex
	reached := map[string]bool{}
	var all sync.WaitGroup
	for d, members := range hosts {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		for _, m := range members[:min(len(members), askedEach)] {
			all.Go(func() {
				if c.Ping(ctx, m) == nil {
					mu.Lock()
					defer mu.Unlock()
					reached[d] = true
				}
			})
		}
	}
	all.Wait()
	return 2*(len(hosts)-len(reached)) > len(hosts)+1
}

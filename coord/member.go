package coord

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one host as it registers itself in the platform's store.
type Member struct {
	Name       string `json:"name"`
	Datacentre string `json:"datacentre"`
	Region     string `json:"region"`
	// Requests is the address to which other hosts forward callers' requests.
	Requests netip.AddrPort `json:"requests"`
	// Views is the address from which other hosts read configuration and targets.
	Views netip.AddrPort `json:"views"`
	// Cores is the number of processor cores that the host may use; it can be fractional.
	Cores float64 `json:"cores"`
}

// maxCores is above the number of cores of any machine. Hosts with most cores become coordinators.
const maxCores = 1 << 12

// UnmarshalJSON decodes a member and checks that it has a name, a location, valid addresses and a possible number of cores.
func (m *Member) UnmarshalJSON(b []byte) error {
	type plain Member
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	switch {
	case p.Name == "" || p.Datacentre == "" || p.Region == "":
		return errors.New("member must have a name, a data centre and a region")
	case !p.Requests.IsValid() || !p.Views.IsValid():
		return fmt.Errorf("member %s has no valid address", p.Name)
	case p.Cores < 0 || p.Cores > maxCores:
		return fmt.Errorf("member %s has %g cores, not 0 to %d", p.Name, p.Cores, maxCores)
	}
	*m = Member(p)
	return nil
}

// Lease is the lease under which a host is registered in the platform's store. The zero value means none.
type Lease struct {
	ID uint64
	// Epoch is the store's epoch that granted it; in a later one the id may be another host's.
	Epoch uint64
}

// hostsPerCoordinator is the number of hosts of a region for each coordinator. The fewer coordinators there are, the more each learns about the targets.
const hostsPerCoordinator = 32

// strongCoresFraction is the fraction of the cores of the region's largest host from which a host counts as strong.
const strongCoresFraction = 0.5

// Coordinators returns the coordinators of a region in an order on which all hosts that know the same members agree. Strong hosts come first, among them those in the data centre with most targets, then those with more cores. The map targets counts the targets by data centre.
func Coordinators(all []Member, region string, targets map[string]int) []Member {
	var inRegion []Member
	for _, m := range all {
		if m.Region == region {
			inRegion = append(inRegion, m)
		}
	}
	maxCores := 0.0
	for _, m := range inRegion {
		maxCores = max(maxCores, m.Cores)
	}
	weak := func(m Member) int {
		if m.Cores < strongCoresFraction*maxCores {
			return 1
		}
		return 0
	}
	slices.SortFunc(inRegion, func(a, b Member) int {
		return cmp.Or(
			weak(a)-weak(b),
			cmp.Compare(targets[b.Datacentre], targets[a.Datacentre]),
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return inRegion[:min(len(inRegion), spareCoordinators+(len(inRegion)+hostsPerCoordinator-1)/hostsPerCoordinator)]
}

// spareCoordinators is the number of coordinators that are no host's first choice. They answer where the others can't be reached.
const spareCoordinators = 1

// orderForHost returns the coordinators in a host's order of preference, the spares last. Rendezvous hashing spreads hosts evenly over the others and keeps each with its first choice.
func orderForHost(coordinators []Member, host string) []Member {
	sorted := slices.Clone(coordinators)
	weight := func(m Member) uint64 { return xxhash.Sum64String(host + "/" + m.Name) }
	slices.SortFunc(sorted[:max(len(sorted)-spareCoordinators, 0)], func(a, b Member) int { return cmp.Compare(weight(b), weight(a)) })
	return sorted
}

// MembersHash returns a hash of the hosts' names and addresses that doesn't depend on their order.
func MembersHash(all []Member) uint64 {
	var sum uint64
	for _, m := range all {
		sum += xxhash.Sum64String(m.Name + "/" + m.Requests.String())
	}
	return sum
}

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
	// Requests is where other hosts send callers' requests on.
	Requests netip.AddrPort `json:"requests"`
	// Views is where other hosts read configuration and targets.
	Views netip.AddrPort `json:"views"`
	// Cores is the processor time a second that the host may use.
	Cores float64 `json:"cores"`
}

// UnmarshalJSON decodes a member and checks that it can be reached.
func (m *Member) UnmarshalJSON(b []byte) error {
	type plain Member
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	switch {
	case p.Name == "" || p.Datacentre == "" || p.Region == "":
		return errors.New("member without name, data centre or region")
	case !p.Requests.IsValid() || !p.Views.IsValid():
		return fmt.Errorf("member %s without an address", p.Name)
	}
	*m = Member(p)
	return nil
}

// hostsEach is the number of hosts of a region for each coordinator: the fewer there are, the more each learns of the targets.
const hostsEach = 32

// strongShare is the part of the strongest host's processor time from which a host of the region is strong.
const strongShare = 0.5

// Coordinators returns the coordinators of a region in an order that all hosts agree on who know the same members: strong hosts first, of these the ones in the data centre with most targets, there the strongest; targets counts those by data centre.
func Coordinators(all []Member, region string, targets map[string]int) []Member {
	var own []Member
	for _, m := range all {
		if m.Region == region {
			own = append(own, m)
		}
	}
	most := 0.0
	for _, m := range own {
		most = max(most, m.Cores)
	}
	weak := func(m Member) int {
		if m.Cores < strongShare*most {
			return 1
		}
		return 0
	}
	slices.SortFunc(own, func(a, b Member) int {
		return cmp.Or(
			weak(a)-weak(b),
			cmp.Compare(targets[b.Datacentre], targets[a.Datacentre]),
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return own[:min(len(own), spares+(len(own)+hostsEach-1)/hostsEach)]
}

// spares is the number of coordinators beyond those that all hosts are spread over; they answer where those can't be had.
const spares = 1

// order returns the coordinators in a host's own order, the spares last, so that hosts spread over the others and stay with their first.
func order(coordinators []Member, host string) []Member {
	sorted := slices.Clone(coordinators)
	weight := func(m Member) uint64 { return xxhash.Sum64String(host + "/" + m.Name) }
	slices.SortFunc(sorted[:max(len(sorted)-spares, 0)], func(a, b Member) int { return cmp.Compare(weight(b), weight(a)) })
	return sorted
}

// Sum returns a sum that two lists of the same hosts at the same addresses share, in any order.
func Sum(all []Member) uint64 {
	var sum uint64
	for _, m := range all {
		sum += xxhash.Sum64String(m.Name + "/" + m.Requests.String())
	}
	return sum
}
